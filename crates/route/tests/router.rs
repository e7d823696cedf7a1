//! The router's policy: who is served next, where requests go, what is refused and what is tried again.

use std::time::Duration;

use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};
use route::{
    AttemptEnd, Backend, Grant, IncomingRequest, Outcome, Reason, Remote, ReqId, RouteAction,
    RouteConfig, Router, ServicePolicy,
};

const W1: WorkerId = WorkerId(1);
const W2: WorkerId = WorkerId(2);

/// A router and what it wants done, with small steps to drive it.
struct Desk {
    router: Router,
    now: Time,
    last: u64,
}

impl Desk {
    fn new() -> Self {
        Self {
            router: Router::new(RouteConfig::default()),
            now: Time::ZERO,
            last: 0,
        }
    }

    fn service(&mut self, name: &str, team: &str, class: Class, workers: &[WorkerId]) {
        let policy = ServicePolicy {
            team: team.to_owned(),
            class,
            repeat: Repeat::Safe,
            deadline: Duration::from_secs(1),
        };
        self.router.set_service(name, policy);
        self.backends(name, workers);
    }

    fn backends(&mut self, name: &str, workers: &[WorkerId]) {
        let backend = |worker: &WorkerId| Backend {
            worker: *worker,
            endpoint: worker.to_string(),
        };
        self.router
            .set_backends(name, workers.iter().map(backend).collect());
    }

    fn grant(&mut self, worker: WorkerId, slots: u32) {
        let grant = Grant {
            slots,
            connections: slots * 8,
            until: Time::MAX,
        };
        self.router.set_grant(worker, grant);
    }

    fn offer(&mut self, service: &str) -> (ReqId, Vec<RouteAction>) {
        self.last += 1;
        let req = ReqId(self.last);
        let mut out = Vec::new();
        let offer = IncomingRequest {
            req,
            service: service.to_owned(),
            ..IncomingRequest::default()
        };
        self.router.submit(self.now, &offer, &mut out);
        (req, out)
    }

    fn end(&mut self, req: ReqId, attempt: u32, outcome: Outcome) -> Vec<RouteAction> {
        let mut out = Vec::new();
        let end = AttemptEnd::new(req, attempt, outcome);
        self.router.attempt_finished(self.now, &end, &mut out);
        out
    }

    fn pass(&mut self, ms: u64) -> Vec<RouteAction> {
        let mut out = Vec::new();
        self.now += Duration::from_millis(ms);
        self.router.tick(self.now, &mut out);
        out
    }
}

fn dispatched(out: &[RouteAction]) -> Vec<(ReqId, WorkerId)> {
    let dispatches = out.iter().filter_map(|action| match action {
        RouteAction::Dispatch(dispatch) => Some((dispatch.req, dispatch.worker)),
        _ => None,
    });
    dispatches.collect()
}

fn refused(out: &[RouteAction]) -> Vec<(Verdict, Reason, Option<Duration>)> {
    let refusals = out.iter().filter_map(|action| match action {
        RouteAction::Refuse(refuse) => Some((refuse.verdict, refuse.reason, refuse.retry_after)),
        _ => None,
    });
    refusals.collect()
}

#[test]
fn the_least_loaded_server_is_chosen() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Interactive, &[W1, W2]);
    desk.grant(W1, 2);
    desk.grant(W2, 4);
    let workers = (0..6).flat_map(|_| dispatched(&desk.offer("s").1));
    let mut workers: Vec<u32> = workers.map(|(_, worker)| worker.0).collect();
    assert!(desk.offer("s").1.is_empty(), "no slot is left");
    workers.sort_unstable();
    assert_eq!(workers, [1, 1, 2, 2, 2, 2]);
}

#[test]
fn slots_are_kept_for_interactive_requests() {
    let mut desk = Desk::new();
    desk.service("bulk", "t", Class::Bulk, &[W1]);
    desk.service("lookup", "t", Class::Interactive, &[W1]);
    desk.grant(W1, 8);
    let sent = (0..10).map(|_| dispatched(&desk.offer("bulk").1).len());
    assert_eq!(sent.sum::<usize>(), 6);
    for _ in 0..2 {
        assert_eq!(dispatched(&desk.offer("lookup").1).len(), 1);
    }
    // A slot that comes free goes to the interactive request, not to the older ones.
    let (lookup, out) = desk.offer("lookup");
    assert!(out.is_empty());
    let out = desk.end(ReqId(1), 1, Outcome::Answered);
    assert_eq!(dispatched(&out), [(lookup, W1)]);
}

#[test]
fn teams_and_services_get_even_parts_of_slot_time() {
    let mut desk = Desk::new();
    desk.service("a1", "a", Class::Standard, &[W1]);
    desk.service("a2", "a", Class::Standard, &[W1]);
    desk.service("b", "b", Class::Standard, &[W1]);
    desk.grant(W1, 1);
    let mut names = std::collections::BTreeMap::new();
    let mut running = Vec::new();
    for _ in 0..12 {
        for name in ["a1", "a2", "b"] {
            let (req, out) = desk.offer(name);
            names.insert(req, name);
            running.extend(dispatched(&out));
        }
    }
    let mut served = std::collections::BTreeMap::new();
    for _ in 0..12 {
        let (req, _) = running.pop().unwrap();
        *served.entry(names[&req]).or_insert(0) += 1;
        desk.now += Duration::from_millis(10);
        running.extend(dispatched(&desk.end(req, 1, Outcome::Answered)));
    }
    assert_eq!(served["b"], 6);
    assert_eq!((served["a1"], served["a2"]), (3, 3));
}

#[test]
fn overload_is_refused_at_once_with_the_time_to_come_back() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1]);
    desk.grant(W1, 1);
    let refusals: Vec<_> = (0..100).flat_map(|_| refused(&desk.offer("s").1)).collect();
    // One runs for 50 ms, and 19 more fit into the deadline.
    assert_eq!(refusals.len(), 80);
    for (verdict, reason, retry_after) in refusals {
        assert_eq!((verdict, reason), (Verdict::NotRun, Reason::Overloaded));
        assert!(retry_after.is_some_and(|wait| wait >= Duration::from_secs(1)));
    }
    // Nothing more is started: those that can't be run in time are given up before their deadline.
    let late = refused(&desk.pass(950));
    assert_eq!(late.len(), 19);
    assert!(
        late.iter()
            .all(|(v, r, _)| (*v, *r) == (Verdict::NotRun, Reason::TooLate))
    );
}

#[test]
fn a_server_that_leaves_gets_nothing_more() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1, W2]);
    desk.grant(W1, 4);
    desk.grant(W2, 1);
    desk.offer("s");
    desk.backends("s", &[W2]);
    let sent: Vec<_> = (0..4)
        .flat_map(|_| dispatched(&desk.offer("s").1))
        .collect();
    assert!(sent.len() <= 1 && sent.iter().all(|(_, worker)| *worker == W2));
}

#[test]
fn requests_stay_in_the_domain_then_in_the_region() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[]);
    let near = Remote {
        node: NodeId(2),
        is_same_region: true,
    };
    let far = Remote {
        node: NodeId(3),
        is_same_region: false,
    };
    desk.router.set_remotes("s", vec![far, near]);
    let target = |out: &[RouteAction]| match out {
        [RouteAction::Forward(forward)] => Some(forward.node),
        _ => None,
    };
    assert_eq!(target(&desk.offer("s").1), Some(near.node));
    desk.router.set_remotes("s", vec![far]);
    let (req, out) = desk.offer("s");
    assert_eq!(target(&out), Some(far.node));
    let end = AttemptEnd {
        bytes: 1_234,
        ..AttemptEnd::new(req, 1, Outcome::Answered)
    };
    desk.router
        .attempt_finished(desk.now, &end, &mut Vec::new());
    assert_eq!(desk.router.counters("s").cross_region_bytes, 1_234);
    desk.backends("s", &[W1]);
    desk.grant(W1, 1);
    assert_eq!(dispatched(&desk.offer("s").1).len(), 1);
}

#[test]
fn retries_stay_within_the_budget() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1, W2]);
    desk.grant(W1, 8);
    desk.grant(W2, 8);
    for _ in 0..1_000 {
        let (_, out) = desk.offer("s");
        let mut sent = dispatched(&out);
        let mut attempt = 1;
        while let Some((req, _)) = sent.pop() {
            desk.end(req, attempt, Outcome::NotSent);
            attempt += 1;
            sent = dispatched(&desk.pass(100));
        }
    }
    let counters = desk.router.counters("s");
    assert!(counters.retries > 50, "{counters:?}");
    assert!(
        counters.retries * 10 <= counters.offered + 10,
        "{counters:?}"
    );
}

#[test]
fn the_end_of_another_attempt_is_passed_over() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1, W2]);
    desk.grant(W1, 1);
    desk.grant(W2, 1);
    let (req, _) = desk.offer("s");
    desk.end(req, 1, Outcome::Silent);
    let again = dispatched(&desk.pass(100));
    assert_eq!(again.len(), 1);
    assert!(desk.end(req, 1, Outcome::Answered).is_empty());
    assert!(desk.router.is_open(req));
    desk.end(req, 2, Outcome::Answered);
    assert!(!desk.router.is_open(req));
}

#[test]
fn a_safe_request_that_may_have_run_is_never_told_not_run() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1]);
    desk.grant(W1, 1);
    let (req, _) = desk.offer("s");
    desk.end(req, 1, Outcome::CutShort);
    assert_eq!(dispatched(&desk.pass(100)).len(), 1);
    let out = desk.end(req, 2, Outcome::NotSent);
    let out = if refused(&out).is_empty() {
        desk.pass(2_000)
    } else {
        out
    };
    assert_eq!(refused(&out)[0].0, Verdict::MayHaveRun);
}

#[test]
fn a_failing_server_is_ejected_and_probed_back() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1, W2]);
    desk.grant(W1, 8);
    desk.grant(W2, 8);
    let serve = |desk: &mut Desk, bad: Option<WorkerId>| {
        let (_, out) = desk.offer("s");
        let (req, worker) = dispatched(&out)[0];
        let outcome = if bad == Some(worker) {
            Outcome::Faulty
        } else {
            Outcome::Answered
        };
        desk.end(req, 1, outcome);
        worker
    };
    for _ in 0..20 {
        serve(&mut desk, Some(W1));
    }
    assert_eq!(desk.router.dump().services["s"].ejected, ["w1"]);
    assert!((0..20).all(|_| serve(&mut desk, None) == W2));
    // After the ejection one request at a time goes there; its answer ends the ejection.
    desk.pass(2_000);
    assert!((0..4).any(|_| serve(&mut desk, None) == W1));
    assert!(desk.router.dump().services["s"].ejected.is_empty());
}

#[test]
fn a_slow_server_is_ejected() {
    let mut desk = Desk::new();
    desk.service("s", "t", Class::Standard, &[W1, W2]);
    desk.grant(W1, 8);
    desk.grant(W2, 8);
    for _ in 0..60 {
        let (_, out) = desk.offer("s");
        let (req, worker) = dispatched(&out)[0];
        desk.now += Duration::from_millis(if worker == W1 { 300 } else { 5 });
        desk.end(req, 1, Outcome::Answered);
    }
    assert_eq!(desk.router.dump().services["s"].ejected, ["w1"]);
}
