//! A simulation of a few [`RequestNode`]s with the fake table and object store, backend servers and
//! callers. Faults are drawn from a seed or scripted.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use config::{Change, Config, Proposal, Submission};
use fakes::{FakeObjects, FakeTable, FaultLevel, Faults, Rng};
use model::{
    Class, Incarnation, Kind, NodeId, Repeat, Size, Spread, Time, Unit, Verdict, WorkerId,
};
use node::{Action, CallId, Event, RequestNode};
use peer::{BackendView, GrantView, ViewContent};
use route::{
    AttemptEnd, Dispatch, GrantAllocator, GrantConfig, IncomingRequest, NodeShares, Outcome, ReqId,
    RouteConfig, StoredAnswer,
};
use store::{ObjectReq, StoreError, TableReq};

const TICK: Duration = Duration::from_millis(25);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const LINK_DELAY: Duration = Duration::from_millis(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const GRANT_TERM: Duration = Duration::from_secs(6);

/// One request that a caller has sent. A resend is another try.
#[derive(Clone, Debug)]
pub struct Try {
    pub service: &'static str,
    pub key: String,
    pub node: usize,
    /// The start of the node that received it.
    pub start: u64,
    /// The number of times that backend servers ran it.
    pub runs: usize,
    /// The verdict and the body of each final answer.
    pub answers: Vec<(Verdict, String)>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick(usize, u64),
    Heartbeat(usize, u64),
    Event(usize, u64, Event),
    Table(usize, u64, CallId, TableReq, bool),
    Object(usize, u64, CallId, ObjectReq),
    RequestArrives(usize, u64, Dispatch),
    AttemptEnds(usize, u64, AttemptEnd),
}

/// An attempt that a node has in progress.
#[derive(Clone, Debug)]
struct OpenAttempt {
    worker: WorkerId,
    /// The latest time at which the attempt ends.
    until: Time,
}

pub struct Process {
    pub start: u64,
    node: Option<RequestNode>,
    pub has_exited: bool,
    heartbeat: u64,
    applied: u64,
}

pub struct World {
    pub now: Time,
    pub log: Vec<String>,
    pub tries: Vec<Try>,
    pub nodes: Vec<Process>,
    pub faults: Faults,
    pub rng: Rng,
    pub table: FakeTable,
    /// Whether the table carries out all calls but its replies are lost.
    pub loses_replies: bool,
    /// Workers whose backend servers do not answer before the given time.
    pub silent: BTreeMap<WorkerId, Time>,
    /// Workers whose backend servers get no new requests.
    pub leaving: BTreeSet<WorkerId>,
    /// The minimum and maximum run time of a request.
    pub run_time: (Duration, Duration),
    /// The number of answers in 1,000 that are cut short.
    pub cut_per_mille: u32,
    /// The maximum number of concurrent attempts at each worker.
    pub peak: BTreeMap<WorkerId, usize>,
    objects: FakeObjects,
    config: Config,
    allocator: GrantAllocator,
    open_attempts: BTreeMap<(usize, u64, ReqId, u32), OpenAttempt>,
    events: BTreeMap<(Time, u64), Step>,
    last_event: u64,
    workers: Vec<WorkerId>,
}

impl World {
    pub fn new(seed: u64, level: FaultLevel, nodes: usize, workers: u32) -> Self {
        let workers: Vec<WorkerId> = (1..=workers).map(WorkerId).collect();
        let mut allocator = GrantAllocator::new(GrantConfig::default(), Time::ZERO, false);
        allocator.set_workers(workers.iter().copied());
        let mut world = Self {
            now: Time::ZERO,
            log: Vec::new(),
            tries: Vec::new(),
            nodes: Vec::new(),
            faults: Faults::new(seed, level),
            rng: Rng::new(seed),
            table: FakeTable::default(),
            loses_replies: false,
            silent: BTreeMap::new(),
            leaving: BTreeSet::new(),
            run_time: (Duration::from_millis(20), Duration::from_millis(21)),
            cut_per_mille: 0,
            peak: BTreeMap::new(),
            objects: FakeObjects::default(),
            config: config(),
            allocator,
            open_attempts: BTreeMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            workers,
        };
        for i in 0..nodes {
            world.nodes.push(Process {
                start: 0,
                node: None,
                has_exited: false,
                heartbeat: 0,
                applied: 0,
            });
            world.start(i);
        }
        world
    }

    fn note(&mut self, text: &str) {
        self.log.push(format!("{} {text}", self.now));
    }

    fn schedule(&mut self, after: Duration, step: Step) {
        self.last_event += 1;
        self.events
            .insert((self.now + after, self.last_event), step);
    }

    /// Starts a node without the state and the open requests of its last start.
    pub fn start(&mut self, i: usize) {
        let start = self.nodes[i].start + 1;
        let id = NodeId(u32::try_from(i).unwrap() + 1);
        let mut node = RequestNode::new(RouteConfig::default(), id, Incarnation(start));
        let mut out = Vec::new();
        node.set_config(self.now, &self.config, &mut out);
        self.nodes[i] = Process {
            start,
            node: Some(node),
            has_exited: false,
            heartbeat: 0,
            applied: 0,
        };
        self.note(&format!("{id} starts"));
        self.schedule(Duration::ZERO, Step::Heartbeat(i, start));
        self.schedule(Duration::ZERO, Step::Tick(i, start));
    }

    pub fn shut_down(&mut self, i: usize) {
        self.note(&format!("n{} is asked to shut down", i + 1));
        let start = self.nodes[i].start;
        self.event(i, start, Event::Shutdown);
    }

    /// Sends a request from a caller to a node, and returns its index in `tries`.
    pub fn send(&mut self, i: usize, service: &'static str, key: &str) -> usize {
        let id = self.tries.len();
        let start = self.nodes[i].start;
        self.tries.push(Try {
            service,
            key: key.to_owned(),
            node: i,
            start,
            runs: 0,
            answers: Vec::new(),
        });
        self.note(&format!(
            "caller: try {id} of {service} {key} to n{}",
            i + 1
        ));
        let req = IncomingRequest {
            req: ReqId(id as u64),
            service: service.to_owned(),
            key: Some(key.to_owned()),
            ..IncomingRequest::default()
        };
        self.event(i, start, Event::Request(req));
        id
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), step) = entry.remove_entry();
            self.now = at;
            self.handle(step);
        }
        self.now = end;
    }

    fn handle(&mut self, step: Step) {
        match step {
            Step::Tick(i, start) if self.is_running(i, start) => {
                self.schedule(TICK, Step::Tick(i, start));
                self.event(i, start, Event::Tick);
            }
            Step::Heartbeat(i, start) if self.is_running(i, start) => self.heartbeat(i, start),
            Step::Event(i, start, event) => self.event(i, start, event),
            Step::Table(i, start, call, req, answered) => {
                let resp = self.table.call(&req);
                if answered {
                    self.schedule(
                        LINK_DELAY,
                        Step::Event(i, start, Event::Table(call, Ok(resp))),
                    );
                }
            }
            Step::Object(i, start, call, req) => {
                let resp = self.objects.call(&req);
                self.schedule(
                    LINK_DELAY,
                    Step::Event(i, start, Event::Object(call, Ok(resp))),
                );
            }
            Step::RequestArrives(i, start, dispatch) => self.request_arrives(i, start, &dispatch),
            Step::AttemptEnds(i, start, end) => self.attempt_ends(i, start, end),
            Step::Tick(..) | Step::Heartbeat(..) => {}
        }
    }

    fn is_running(&self, i: usize, start: u64) -> bool {
        let process = &self.nodes[i];
        process.start == start && !process.has_exited
    }

    /// Sends a heartbeat and delivers its answer, which is lost in one case of ten.
    fn heartbeat(&mut self, i: usize, start: u64) {
        self.schedule(HEARTBEAT_INTERVAL, Step::Heartbeat(i, start));
        let is_lost = self.rng.chance(100);
        let id = NodeId(u32::try_from(i).unwrap() + 1);
        let process = &mut self.nodes[i];
        process.heartbeat += 1;
        let Some(node) = &mut process.node else {
            return;
        };
        let report = NodeShares {
            applied: process.applied,
            shares: node.shares(self.now),
        };
        let (heartbeat, start) = (process.heartbeat, Incarnation(start));
        self.allocator
            .report(self.now, id, start, heartbeat, &report);
        let shares = self.allocator.grant(self.now, id, start);
        let open = self.workers.iter().filter(|w| !self.leaving.contains(w));
        let backends = open.flat_map(|worker| {
            ["lookup", "send"].map(|service| BackendView {
                service: service.to_owned(),
                worker: *worker,
                endpoint: format!("http://{worker}"),
            })
        });
        let content = ViewContent {
            backends: backends.collect(),
            grants: shares
                .into_iter()
                .map(|share| GrantView {
                    worker: share.worker,
                    slots: share.slots,
                    connections: share.connections,
                })
                .collect(),
        };
        if !is_lost {
            process.applied = heartbeat;
            node.set_view(self.now + GRANT_TERM, &content);
        }
    }

    fn event(&mut self, i: usize, start: u64, event: Event) {
        if !self.is_running(i, start) {
            return;
        }
        let mut actions = Vec::new();
        if let Some(node) = &mut self.nodes[i].node {
            node.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.carry_out(i, start, action);
        }
    }

    fn carry_out(&mut self, i: usize, start: u64, action: Action) {
        let name = format!("n{}", i + 1);
        match action {
            Action::Table(call, req) => self.call_table(i, start, call, req),
            Action::Object(call, req) => {
                self.schedule(LINK_DELAY, Step::Object(i, start, call, req));
            }
            Action::Dispatch(dispatch) => {
                let (req, attempt, worker) = (dispatch.req, dispatch.attempt, dispatch.worker);
                self.note(&format!(
                    "{name}: try {} attempt {attempt} to {worker}",
                    req.0
                ));
                let until = self.now + dispatch.timeout;
                self.open_attempts
                    .insert((i, start, req, attempt), OpenAttempt { worker, until });
                self.update_peak(worker);
                let mut end = AttemptEnd::new(req, attempt, Outcome::Silent);
                end.is_replayable = true;
                self.schedule(
                    dispatch.first_byte_timeout,
                    Step::AttemptEnds(i, start, end),
                );
                self.schedule(LINK_DELAY, Step::RequestArrives(i, start, dispatch));
            }
            Action::Refuse(refuse) => {
                let wait = refuse.retry_after.map_or(String::new(), |wait| {
                    format!(", come back in {} ms", wait.as_millis())
                });
                let (verdict, reason) = (refuse.verdict, refuse.reason);
                let text = format!("{name}: try {}: {verdict}: {reason}{wait}", refuse.req.0);
                self.note(&text);
                self.answer(refuse.req, verdict, String::new());
            }
            Action::Answer(req, answer) => {
                let body = String::from_utf8(answer.body).unwrap();
                self.note(&format!("{name}: try {}: ran, kept answer {body:?}", req.0));
                self.answer(req, Verdict::Ran, body);
            }
            Action::Exit if !self.nodes[i].has_exited => {
                self.note(&format!("{name} exits"));
                self.nodes[i].has_exited = true;
            }
            _ => {}
        }
    }

    fn update_peak(&mut self, worker: WorkerId) {
        let now = self.now;
        self.open_attempts.retain(|(i, start, ..), open| {
            let process = &self.nodes[*i];
            // The server may still run requests that a dead node has sent.
            process.start == *start || now < open.until
        });
        let n = self
            .open_attempts
            .values()
            .filter(|o| o.worker == worker)
            .count();
        let peak = self.peak.entry(worker).or_default();
        *peak = n.max(*peak);
    }

    fn call_table(&mut self, i: usize, start: u64, call: CallId, req: TableReq) {
        let mut delivery = self.faults.draw(LINK_DELAY * 2);
        delivery.is_answered &= !self.loses_replies;
        let txn = match &req {
            TableReq::Commit(txn) => txn.writes.as_slice(),
            TableReq::Get { .. } | TableReq::Scan { .. } => &[],
        };
        // The first write is the marker of the group commit.
        let writes: Vec<String> = txn
            .iter()
            .skip(1)
            .map(|w| format!("{}{}", if w.value.is_some() { "" } else { "void " }, w.key))
            .collect();
        let cut = self.faults.is_cut(self.now);
        if !writes.is_empty() {
            let how = match (cut, delivery.is_delivered && delivery.is_answered) {
                (true, _) => " (unreachable)",
                (false, true) => "",
                (false, false) => " (no answer)",
            };
            self.note(&format!("n{}: writes {}{how}", i + 1, writes.join(", ")));
        }
        if cut {
            let e = StoreError::Unreachable("cut off".to_owned());
            self.schedule(
                LINK_DELAY,
                Step::Event(i, start, Event::Table(call, Err(e))),
            );
            return;
        }
        let answered = delivery.is_delivered && delivery.is_answered;
        if !answered {
            let e = StoreError::Lost("no answer".to_owned());
            self.schedule(
                CALL_TIMEOUT,
                Step::Event(i, start, Event::Table(call, Err(e))),
            );
        }
        if delivery.is_delivered {
            if delivery.is_duplicated {
                let again = Step::Table(i, start, call, req.clone(), false);
                self.schedule(CALL_TIMEOUT / 2, again);
            }
            self.schedule(
                delivery.request_delay,
                Step::Table(i, start, call, req, answered),
            );
        }
    }

    fn request_arrives(&mut self, i: usize, start: u64, dispatch: &Dispatch) {
        let id = usize::try_from(dispatch.req.0).unwrap();
        let until = self.silent.get(&dispatch.worker).copied();
        let is_silent = until.is_some_and(|until| self.now < until);
        if is_silent && self.rng.chance(500) {
            // The request itself was lost with the connection.
            return;
        }
        self.tries[id].runs += 1;
        let body = format!("{} {}", self.tries[id].service, self.tries[id].key);
        self.note(&format!("{}: runs {body} for try {id}", dispatch.worker));
        if is_silent {
            return;
        }
        let takes = self.rng.span(self.run_time.0, self.run_time.1);
        let outcome = if self.rng.chance(self.cut_per_mille) {
            Outcome::CutShort
        } else {
            Outcome::Answered
        };
        let answer = StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: body.into_bytes(),
        };
        let end = AttemptEnd {
            answer: (outcome == Outcome::Answered).then_some(answer),
            ..AttemptEnd::new(dispatch.req, dispatch.attempt, outcome)
        };
        if self.rng.chance(self.cut_per_mille) {
            // The end is reported a second time, much later.
            self.schedule(
                takes * 20,
                Step::Event(i, start, Event::AttemptFinished(end.clone())),
            );
        }
        self.schedule(takes, Step::AttemptEnds(i, start, end));
    }

    /// Delivers the end of an attempt to its node, unless the attempt has ended before.
    fn attempt_ends(&mut self, i: usize, start: u64, end: AttemptEnd) {
        let key = (i, start, end.req, end.attempt);
        if !self.is_running(i, start) || self.open_attempts.remove(&key).is_none() {
            return;
        }
        if end.outcome == Outcome::Answered {
            let body = end.answer.clone().unwrap_or_default().body;
            let body = String::from_utf8(body).unwrap();
            self.note(&format!("n{}: try {}: ran, {body:?}", i + 1, end.req.0));
            self.answer(end.req, Verdict::Ran, body);
        } else {
            let text = format!("n{}: try {}: {:?}", i + 1, end.req.0, end.outcome);
            self.note(&text);
        }
        self.event(i, start, Event::AttemptFinished(end));
    }

    fn answer(&mut self, req: ReqId, verdict: Verdict, body: String) {
        let id = usize::try_from(req.0).unwrap();
        self.tries[id].answers.push((verdict, body));
    }
}

fn config() -> Config {
    let services = [
        ("lookup", Class::Interactive, Repeat::Safe, 800),
        ("send", Class::Standard, Repeat::Never, 2_000),
    ];
    let changes = services.map(|(name, class, repeat, deadline_ms)| {
        Change::SetUnit(Unit {
            name: name.to_owned(),
            team: "t".to_owned(),
            command: Vec::new(),
            size: Size::ZERO,
            class,
            repeat: Repeat::Safe,
            attempts: u32::MAX,
            run_time: Duration::ZERO,
            kind: Kind::Service {
                replicas: 1,
                spread: Spread::Rack,
                requests: model::RequestPolicy {
                    repeat,
                    deadline: Duration::from_millis(deadline_ms),
                },
            },
        })
    });
    let mut config = Config::default();
    let submission = Submission::new("id-1", "test", changes.to_vec());
    let proposal = Proposal {
        submission,
        base: 0,
    };
    let entry = config.merge(&[proposal]).entry.unwrap();
    config.apply(&entry).unwrap();
    config
}
