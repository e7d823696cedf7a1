//! Tests of the router's policy: the order of service, the choice of targets, refusals and retries.

use std::time::Duration;

use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};
use route::{
    AttemptEnd, Backend, ClaimResult, Grant, IncomingRequest, Outcome, Reason, Remote, ReqId,
    RouteAction, RouteConfig, Router, ServicePolicy,
};

const W1: WorkerId = WorkerId(1);
const W2: WorkerId = WorkerId(2);

/// A router with a virtual clock, and helpers to drive it step by step.
struct TestRouter {
    inner: Router,
    now: Time,
    last_req: u64,
}

impl TestRouter {
    fn new() -> Self {
        Self {
            inner: Router::new(RouteConfig::default()),
            now: Time::ZERO,
            last_req: 0,
        }
    }

    fn add_service(&mut self, name: &str, team: &str, class: Class, workers: &[WorkerId]) {
        let policy = ServicePolicy {
            team: team.to_owned(),
            class,
            repeat: Repeat::Safe,
            deadline: Duration::from_secs(1),
        };
        self.inner.set_service(name, policy);
        self.set_backends(name, workers);
    }

    /// Changes whether the requests of a service may be repeated.
    fn set_repeat(&mut self, name: &str, repeat: Repeat) {
        let policy = ServicePolicy {
            team: "t".to_owned(),
            class: Class::Standard,
            repeat,
            deadline: Duration::from_secs(1),
        };
        self.inner.set_service(name, policy);
    }

    fn set_backends(&mut self, name: &str, workers: &[WorkerId]) {
        let backend = |worker: &WorkerId| Backend {
            worker: *worker,
            endpoint: worker.to_string(),
        };
        self.inner
            .set_backends(name, workers.iter().map(backend).collect());
    }

    fn grant(&mut self, worker: WorkerId, slots: u32) {
        let grant = Grant {
            slots,
            connections: slots * 8,
            until: Time::MAX,
        };
        self.inner.set_grant(worker, grant);
    }

    fn submit(&mut self, service: &str) -> (ReqId, Vec<RouteAction>) {
        self.last_req += 1;
        let req = ReqId(self.last_req);
        let mut out = Vec::new();
        let incoming = IncomingRequest {
            req,
            service: service.to_owned(),
            key: Some(format!("key {req:?}")),
            ..IncomingRequest::default()
        };
        self.inner.submit(self.now, &incoming, &mut out);
        (req, out)
    }

    fn finish_claim(&mut self, req: ReqId, result: ClaimResult) -> Vec<RouteAction> {
        let mut out = Vec::new();
        self.inner.claim_finished(self.now, req, result, &mut out);
        out
    }

    fn finish(&mut self, req: ReqId, attempt: u32, outcome: Outcome) -> Vec<RouteAction> {
        let mut out = Vec::new();
        let end = AttemptEnd::new(req, attempt, outcome);
        self.inner.attempt_finished(self.now, &end, &mut out);
        out
    }

    fn advance(&mut self, ms: u64) -> Vec<RouteAction> {
        let mut out = Vec::new();
        self.now += Duration::from_millis(ms);
        self.inner.tick(self.now, &mut out);
        out
    }
}

/// Returns the requests and backend servers of all dispatches.
fn dispatched(out: &[RouteAction]) -> Vec<(ReqId, WorkerId)> {
    let dispatches = out.iter().filter_map(|action| match action {
        RouteAction::Dispatch(dispatch) => Some((dispatch.req, dispatch.worker)),
        _ => None,
    });
    dispatches.collect()
}

/// Returns the verdicts, reasons and retry times of all refusals.
fn refused(out: &[RouteAction]) -> Vec<(Verdict, Reason, Option<Duration>)> {
    let refusals = out.iter().filter_map(|action| match action {
        RouteAction::Refuse(refusal) => {
            Some((refusal.verdict, refusal.reason, refusal.retry_after))
        }
        _ => None,
    });
    refusals.collect()
}

/// The router must not overload one backend server while another has free slots, or use more slots than
/// it was granted.
#[test]
fn the_least_loaded_server_is_chosen() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Interactive, &[W1, W2]);
    router.grant(W1, 2);
    router.grant(W2, 4);
    let workers = (0..6).flat_map(|_| dispatched(&router.submit("s").1));
    let mut workers: Vec<u32> = workers.map(|(_, worker)| worker.0).collect();
    assert!(router.submit("s").1.is_empty(), "no slot is left");
    workers.sort_unstable();
    assert_eq!(workers, [1, 1, 2, 2, 2, 2]);
}

/// Bulk requests that arrive first must not take all slots of a server with an interactive service.
#[test]
fn slots_are_reserved_for_interactive_requests() {
    let mut router = TestRouter::new();
    router.add_service("bulk", "t", Class::Bulk, &[W1]);
    router.add_service("lookup", "t", Class::Interactive, &[W1]);
    router.grant(W1, 8);
    let sent = (0..10).map(|_| dispatched(&router.submit("bulk").1).len());
    assert_eq!(sent.sum::<usize>(), 6);
    for _ in 0..2 {
        assert_eq!(dispatched(&router.submit("lookup").1).len(), 1);
    }
    // A slot that becomes free goes to the interactive request, not to the older bulk requests.
    let (lookup, out) = router.submit("lookup");
    assert!(out.is_empty());
    let out = router.finish(ReqId(1), 1, Outcome::Answered);
    assert_eq!(dispatched(&out), [(lookup, W1)]);
}

/// A team with two backlogged services must not get more slot time than a team with one.
#[test]
fn teams_and_services_get_equal_slot_time() {
    let mut router = TestRouter::new();
    router.add_service("a1", "a", Class::Standard, &[W1]);
    router.add_service("a2", "a", Class::Standard, &[W1]);
    router.add_service("b", "b", Class::Standard, &[W1]);
    router.grant(W1, 1);
    let mut names = std::collections::BTreeMap::new();
    let mut running = Vec::new();
    for _ in 0..12 {
        for name in ["a1", "a2", "b"] {
            let (req, out) = router.submit(name);
            names.insert(req, name);
            running.extend(dispatched(&out));
        }
    }
    let mut served = std::collections::BTreeMap::new();
    for _ in 0..12 {
        let (req, _) = running.pop().unwrap();
        *served.entry(names[&req]).or_insert(0) += 1;
        router.now += Duration::from_millis(10);
        running.extend(dispatched(&router.finish(req, 1, Outcome::Answered)));
    }
    assert_eq!(served["b"], 6);
    assert_eq!((served["a1"], served["a2"]), (3, 3));
}

/// Without early refusals, requests would fill the queue and then miss their deadlines one after another.
#[test]
fn overload_is_refused_at_once_with_a_retry_time() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1]);
    router.grant(W1, 1);
    let refusals: Vec<_> = (0..100)
        .flat_map(|_| refused(&router.submit("s").1))
        .collect();
    // One request runs for 50 ms, and 19 more fit into the deadline of 1 s.
    assert_eq!(refusals.len(), 80);
    for (verdict, reason, retry_after) in refusals {
        assert_eq!((verdict, reason), (Verdict::NotRun, Reason::Overloaded));
        assert!(retry_after.is_some_and(|wait| wait >= Duration::from_secs(1)));
    }
    // No slot becomes free, so the queued requests are given up before their deadline.
    let late = refused(&router.advance(950));
    assert_eq!(late.len(), 19);
    assert!(
        late.iter()
            .all(|(v, r, _)| (*v, *r) == (Verdict::NotRun, Reason::TooLate))
    );
}

/// A backend server that was removed from the list must get no new request, although its grant is valid.
#[test]
fn a_removed_server_gets_no_new_requests() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1, W2]);
    router.grant(W1, 4);
    router.grant(W2, 1);
    router.submit("s");
    router.set_backends("s", &[W2]);
    let sent: Vec<_> = (0..4)
        .flat_map(|_| dispatched(&router.submit("s").1))
        .collect();
    assert!(sent.len() <= 1 && sent.iter().all(|(_, worker)| *worker == W2));
}

/// Requests must use their own failure domain first and then their own region, because traffic between
/// regions is billed. Its bytes are counted.
#[test]
fn requests_stay_in_the_domain_then_in_the_region() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[]);
    let near = Remote {
        node: NodeId(2),
        is_same_region: true,
    };
    let far = Remote {
        node: NodeId(3),
        is_same_region: false,
    };
    router.inner.set_remotes("s", vec![far, near]);
    let target = |out: &[RouteAction]| match out {
        [RouteAction::Forward(forward)] => Some(forward.node),
        _ => None,
    };
    assert_eq!(target(&router.submit("s").1), Some(near.node));
    router.inner.set_remotes("s", vec![far]);
    let (req, out) = router.submit("s");
    assert_eq!(target(&out), Some(far.node));
    let end = AttemptEnd {
        bytes: 1_234,
        ..AttemptEnd::new(req, 1, Outcome::Answered)
    };
    router
        .inner
        .attempt_finished(router.now, &end, &mut Vec::new());
    assert_eq!(router.inner.counters("s").cross_region_bytes, 1_234);
    router.set_backends("s", &[W1]);
    router.grant(W1, 1);
    assert_eq!(dispatched(&router.submit("s").1).len(), 1);
}

/// Retries must not multiply the load of servers of which all attempts fail.
#[test]
fn retries_stay_within_the_budget() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1, W2]);
    router.grant(W1, 8);
    router.grant(W2, 8);
    for _ in 0..1_000 {
        let (_, out) = router.submit("s");
        let mut sent = dispatched(&out);
        let mut attempt = 1;
        while let Some((req, _)) = sent.pop() {
            router.finish(req, attempt, Outcome::NotSent);
            attempt += 1;
            sent = dispatched(&router.advance(100));
        }
    }
    let counters = router.inner.counters("s");
    assert!(counters.retries > 50, "{counters:?}");
    assert!(
        counters.retries * 10 <= counters.offered + 10,
        "{counters:?}"
    );
}

/// The end of an attempt can arrive after its request was retried. It must not end the newer attempt.
#[test]
fn the_end_of_an_earlier_attempt_is_ignored() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1, W2]);
    router.grant(W1, 1);
    router.grant(W2, 1);
    let (req, _) = router.submit("s");
    router.finish(req, 1, Outcome::Silent);
    let again = dispatched(&router.advance(100));
    assert_eq!(again.len(), 1);
    assert!(router.finish(req, 1, Outcome::Answered).is_empty());
    assert!(router.inner.is_open(req));
    router.finish(req, 2, Outcome::Answered);
    assert!(!router.inner.is_open(req));
}

/// If the first attempt may have run and the retry was not sent, the verdict must not be that of the retry.
#[test]
fn a_safe_request_that_may_have_run_is_never_reported_as_not_run() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1]);
    router.grant(W1, 1);
    let (req, _) = router.submit("s");
    router.finish(req, 1, Outcome::CutShort);
    assert_eq!(dispatched(&router.advance(100)).len(), 1);
    let out = router.finish(req, 2, Outcome::NotSent);
    let out = if refused(&out).is_empty() {
        router.advance(2_000)
    } else {
        out
    };
    assert_eq!(refused(&out)[0].0, Verdict::MayHaveRun);
}

/// A request that was sent under a claim must not run twice because its service became safe in the meantime.
#[test]
fn a_claimed_request_runs_once_though_its_service_becomes_safe() {
    for becomes_safe_during_claim in [false, true] {
        let mut router = TestRouter::new();
        router.add_service("s", "t", Class::Standard, &[W1, W2]);
        router.set_repeat("s", Repeat::Never);
        router.grant(W1, 1);
        router.grant(W2, 1);
        let (req, out) = router.submit("s");
        assert!(matches!(out[..], [RouteAction::Claim { .. }]), "{out:?}");
        if becomes_safe_during_claim {
            router.set_repeat("s", Repeat::Safe);
        }
        let out = router.finish_claim(req, ClaimResult::Claimed);
        let [RouteAction::Dispatch(dispatch)] = &out[..] else {
            panic!("{out:?}");
        };
        router.set_repeat("s", Repeat::Safe);
        let mut out = router.finish(req, 1, Outcome::CutShort);
        out.extend(router.advance(100));
        let lost = (Verdict::MayHaveRun, Reason::AnswerLost, None);
        assert_eq!((dispatched(&out), refused(&out)), (vec![], vec![lost]));
        // No time is kept for a retry, and a connection that may have broken unnoticed is not used.
        assert_eq!(dispatch.first_byte_timeout, dispatch.timeout);
        assert!(dispatch.needs_new_connection);
    }
}

/// A request that was forwarded under `never` must not run twice because its service became safe.
#[test]
fn a_forwarded_request_runs_once_though_its_service_becomes_safe() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[]);
    router.set_repeat("s", Repeat::Never);
    let remote = Remote {
        node: NodeId(9),
        is_same_region: true,
    };
    router.inner.set_remotes("s", vec![remote]);
    let (req, out) = router.submit("s");
    assert!(matches!(out[..], [RouteAction::Forward(_)]), "{out:?}");
    router.set_repeat("s", Repeat::Safe);
    router.set_backends("s", &[W1]);
    router.grant(W1, 1);
    let mut out = router.finish(req, 1, Outcome::CutShort);
    out.extend(router.advance(100));
    let lost = (Verdict::MayHaveRun, Reason::AnswerLost, None);
    assert_eq!((dispatched(&out), refused(&out)), (vec![], vec![lost]));
}

/// Another node would refuse a claimed request as one that may have run, and that refusal would be stored.
#[test]
fn a_claimed_request_is_not_forwarded() {
    let remote = Remote {
        node: NodeId(9),
        is_same_region: true,
    };
    for was_sent in [false, true] {
        for server_returns in [false, true] {
            let mut router = TestRouter::new();
            router.add_service("s", "t", Class::Standard, &[W1]);
            router.set_repeat("s", Repeat::Never);
            router.grant(W1, 1);
            let (req, _) = router.submit("s");
            if was_sent {
                let out = router.finish_claim(req, ClaimResult::Claimed);
                assert_eq!(dispatched(&out), [(req, W1)]);
            }
            router.set_backends("s", &[]);
            router.inner.set_remotes("s", vec![remote]);
            let out = if was_sent {
                let mut out = router.finish(req, 1, Outcome::NotSent);
                out.extend(router.advance(100));
                out
            } else {
                router.finish_claim(req, ClaimResult::Claimed)
            };
            assert!(out.is_empty(), "it waits for a local server: {out:?}");
            if server_returns {
                router.set_backends("s", &[W1]);
                assert_eq!(dispatched(&router.advance(200)), [(req, W1)]);
                continue;
            }
            // Once it can no longer start in time, it is refused as not run, with its claim voided first.
            let out = router.advance(if was_sent { 850 } else { 950 });
            assert_eq!(out, [RouteAction::VoidClaim(req)]);
            let mut out = Vec::new();
            router.inner.void_finished(router.now, req, true, &mut out);
            let [(verdict, reason, Some(_))] = refused(&out)[..] else {
                panic!("{out:?}");
            };
            assert_eq!((verdict, reason), (Verdict::NotRun, Reason::TooLate));
            assert_eq!(out.len(), 1);
        }
    }
}

/// A claimed request that waits for a local server must not keep those behind it from other nodes.
#[test]
fn a_waiting_claimed_request_does_not_block_its_queue() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1]);
    router.set_repeat("s", Repeat::Never);
    router.grant(W1, 1);
    let (claimed, _) = router.submit("s");
    let (behind, out) = router.submit("s");
    assert!(out.is_empty(), "no slot is left");
    router.set_backends("s", &[]);
    let remote = Remote {
        node: NodeId(9),
        is_same_region: true,
    };
    router.inner.set_remotes("s", vec![remote]);
    let out = router.finish_claim(claimed, ClaimResult::Claimed);
    let [RouteAction::Forward(forward)] = &out[..] else {
        panic!("{out:?}");
    };
    assert_eq!(forward.req, behind);
    // A local slot goes to the claimed request, which came first.
    let (later, out) = router.submit("s");
    assert!(matches!(out[..], [RouteAction::Forward(_)]), "{out:?}");
    assert!(router.inner.is_open(later));
    router.set_backends("s", &[W1]);
    let (last, out) = router.submit("s");
    assert_eq!(dispatched(&out), [(claimed, W1)]);
    // The last request is still queued, and is claimed once the slot is free again.
    let out = router.finish(claimed, 1, Outcome::Answered);
    assert!(
        out.iter()
            .any(|action| matches!(action, RouteAction::Claim { req, .. } if *req == last)),
        "{out:?}"
    );
}

/// A request that may have run must not be claimed or sent again once its service became `never`.
#[test]
fn a_request_that_may_have_run_is_not_claimed_once_its_service_becomes_never() {
    for has_second_attempt in [false, true] {
        let mut router = TestRouter::new();
        router.add_service("s", "t", Class::Standard, &[W1, W2]);
        router.grant(W1, 1);
        router.grant(W2, 1);
        // These requests leave enough of the retry budget for both retries.
        for _ in 0..20 {
            let (req, _) = router.submit("s");
            router.finish(req, 1, Outcome::Answered);
        }
        let (req, _) = router.submit("s");
        let mut out = router.finish(req, 1, Outcome::CutShort);
        assert!(out.is_empty(), "a retry is scheduled: {out:?}");
        if has_second_attempt {
            assert_eq!(dispatched(&router.advance(100)).len(), 1);
            router.set_repeat("s", Repeat::Never);
            out = router.finish(req, 2, Outcome::NotSent);
        } else {
            router.set_repeat("s", Repeat::Never);
            out = router.advance(100);
        }
        let lost = (Verdict::MayHaveRun, Reason::AnswerLost, None);
        assert_eq!(refused(&out), [lost], "{out:?}");
        assert_eq!(out.len(), 1, "no claim and no dispatch: {out:?}");
        assert!(!router.inner.is_open(req));
        // The request took no slot with it.
        router.set_repeat("s", Repeat::Safe);
        let sent = (0..2).map(|_| dispatched(&router.submit("s").1).len());
        assert_eq!(sent.sum::<usize>(), 2);
    }
}

/// A failing server must get no requests while it is ejected, and must come back once a probe succeeds.
#[test]
fn a_failing_server_is_ejected_and_returns_after_a_probe() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1, W2]);
    router.grant(W1, 8);
    router.grant(W2, 8);
    let serve = |router: &mut TestRouter, bad: Option<WorkerId>| {
        let (_, out) = router.submit("s");
        let (req, worker) = dispatched(&out)[0];
        let outcome = if bad == Some(worker) {
            Outcome::Faulty
        } else {
            Outcome::Answered
        };
        router.finish(req, 1, outcome);
        worker
    };
    for _ in 0..20 {
        serve(&mut router, Some(W1));
    }
    assert_eq!(router.inner.dump().services["s"].ejected, ["w1"]);
    assert!((0..20).all(|_| serve(&mut router, None) == W2));
    // When the ejection expires, the server gets one request as a probe, and its answer ends the ejection.
    router.advance(2_000);
    assert!((0..4).any(|_| serve(&mut router, None) == W1));
    assert!(router.inner.dump().services["s"].ejected.is_empty());
}

/// A server that answers every request, but far slower than the others, must be ejected as well.
#[test]
fn a_slow_server_is_ejected() {
    let mut router = TestRouter::new();
    router.add_service("s", "t", Class::Standard, &[W1, W2]);
    router.grant(W1, 8);
    router.grant(W2, 8);
    for _ in 0..60 {
        let (_, out) = router.submit("s");
        let (req, worker) = dispatched(&out)[0];
        router.now += Duration::from_millis(if worker == W1 { 300 } else { 5 });
        router.finish(req, 1, Outcome::Answered);
    }
    assert_eq!(router.inner.dump().services["s"].ejected, ["w1"]);
}
