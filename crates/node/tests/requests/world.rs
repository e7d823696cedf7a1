//! A few nodes' request parts over the stand-in table, with backend servers and callers whose faults
//! are drawn from a seed or scripted.

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
const BEAT: Duration = Duration::from_secs(1);
const LINK: Duration = Duration::from_millis(1);
const LOST_AFTER: Duration = Duration::from_secs(1);
const TERM: Duration = Duration::from_secs(6);

/// One sending of a request by a caller.
#[derive(Clone, Debug)]
pub struct Try {
    pub service: &'static str,
    pub key: String,
    pub node: usize,
    /// The node's start that took it.
    pub start: u64,
    /// How often backend servers ran it.
    pub runs: usize,
    /// The verdict and the body of each final answer.
    pub answers: Vec<(Verdict, String)>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick(usize, u64),
    Beat(usize, u64),
    Event(usize, u64, Event),
    Table(usize, u64, CallId, TableReq, bool),
    Object(usize, u64, CallId, ObjectReq),
    Arrives(usize, u64, Dispatch),
    Ends(usize, u64, AttemptEnd),
}

/// An attempt that a node has under way.
#[derive(Clone, Debug)]
struct Open {
    worker: WorkerId,
    /// It is over by then at the latest.
    until: Time,
}

pub struct Process {
    pub start: u64,
    node: Option<RequestNode>,
    pub exited: bool,
    beat: u64,
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
    /// Backend servers that answer nothing before a point in time.
    pub silent: BTreeMap<WorkerId, Time>,
    /// Backend servers that get no new work.
    pub leaving: BTreeSet<WorkerId>,
    /// How long a request runs, and the parts of 1,000 that are cut short.
    pub run_time: (Duration, Duration),
    pub cut_per_mille: u32,
    pub peak: BTreeMap<WorkerId, usize>,
    objects: FakeObjects,
    config: Config,
    book: GrantAllocator,
    open: BTreeMap<(usize, u64, ReqId, u32), Open>,
    steps: BTreeMap<(Time, u64), Step>,
    last_step: u64,
    workers: Vec<WorkerId>,
}

impl World {
    pub fn new(seed: u64, level: FaultLevel, nodes: usize, workers: u32) -> Self {
        let workers: Vec<WorkerId> = (1..=workers).map(WorkerId).collect();
        let mut book = GrantAllocator::new(GrantConfig::default(), Time::ZERO, false);
        book.set_workers(workers.iter().copied());
        let mut world = Self {
            now: Time::ZERO,
            log: Vec::new(),
            tries: Vec::new(),
            nodes: Vec::new(),
            faults: Faults::new(seed, level),
            rng: Rng::new(seed),
            table: FakeTable::default(),
            silent: BTreeMap::new(),
            leaving: BTreeSet::new(),
            run_time: (Duration::from_millis(20), Duration::from_millis(21)),
            cut_per_mille: 0,
            peak: BTreeMap::new(),
            objects: FakeObjects::default(),
            config: config(),
            book,
            open: BTreeMap::new(),
            steps: BTreeMap::new(),
            last_step: 0,
            workers,
        };
        for i in 0..nodes {
            world.nodes.push(Process {
                start: 0,
                node: None,
                exited: false,
                beat: 0,
                applied: 0,
            });
            world.start(i);
        }
        world
    }

    fn note(&mut self, text: &str) {
        self.log.push(format!("{} {text}", self.now));
    }

    fn step(&mut self, after: Duration, step: Step) {
        self.last_step += 1;
        self.steps.insert((self.now + after, self.last_step), step);
    }

    /// Starts a node anew; what the last start had under way is gone.
    pub fn start(&mut self, i: usize) {
        let start = self.nodes[i].start + 1;
        let id = NodeId(u32::try_from(i).unwrap() + 1);
        let mut node = RequestNode::new(RouteConfig::default(), id, Incarnation(start));
        let mut out = Vec::new();
        node.set_config(self.now, &self.config, &mut out);
        self.nodes[i] = Process {
            start,
            node: Some(node),
            exited: false,
            beat: 0,
            applied: 0,
        };
        self.note(&format!("{id} starts"));
        self.step(Duration::ZERO, Step::Beat(i, start));
        self.step(Duration::ZERO, Step::Tick(i, start));
    }

    pub fn shut_down(&mut self, i: usize) {
        self.note(&format!("n{} is asked to shut down", i + 1));
        let start = self.nodes[i].start;
        self.event(i, start, Event::Shutdown);
    }

    /// A caller sends a request; returns its number.
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
        let offer = IncomingRequest {
            req: ReqId(id as u64),
            service: service.to_owned(),
            key: Some(key.to_owned()),
            ..IncomingRequest::default()
        };
        self.event(i, start, Event::Request(offer));
        id
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.steps.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), step) = entry.remove_entry();
            self.now = at;
            self.happen(step);
        }
        self.now = end;
    }

    fn happen(&mut self, step: Step) {
        match step {
            Step::Tick(i, start) if self.runs(i, start) => {
                self.step(TICK, Step::Tick(i, start));
                self.event(i, start, Event::Tick);
            }
            Step::Beat(i, start) if self.runs(i, start) => self.beat(i, start),
            Step::Event(i, start, event) => self.event(i, start, event),
            Step::Table(i, start, call, req, answered) => {
                let resp = self.table.call(&req);
                if answered {
                    self.step(LINK, Step::Event(i, start, Event::Table(call, Ok(resp))));
                }
            }
            Step::Object(i, start, call, req) => {
                let resp = self.objects.call(&req);
                self.step(LINK, Step::Event(i, start, Event::Object(call, Ok(resp))));
            }
            Step::Arrives(i, start, dispatch) => self.arrives(i, start, &dispatch),
            Step::Ends(i, start, end) => self.ends(i, start, end),
            Step::Tick(..) | Step::Beat(..) => {}
        }
    }

    fn runs(&self, i: usize, start: u64) -> bool {
        let process = &self.nodes[i];
        process.start == start && !process.exited
    }

    /// A heartbeat and its answer, which is lost now and then.
    fn beat(&mut self, i: usize, start: u64) {
        self.step(BEAT, Step::Beat(i, start));
        let lost = self.rng.chance(100);
        let id = NodeId(u32::try_from(i).unwrap() + 1);
        let process = &mut self.nodes[i];
        process.beat += 1;
        let Some(node) = &mut process.node else {
            return;
        };
        let report = NodeShares {
            applied: process.applied,
            shares: node.shares(self.now),
        };
        let (beat, start) = (process.beat, Incarnation(start));
        self.book.report(self.now, id, start, beat, &report);
        let shares = self.book.grant(self.now, id, start);
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
        if !lost {
            process.applied = beat;
            node.set_view(self.now + TERM, &content);
        }
    }

    fn event(&mut self, i: usize, start: u64, event: Event) {
        if !self.runs(i, start) {
            return;
        }
        let mut actions = Vec::new();
        if let Some(node) = &mut self.nodes[i].node {
            node.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.act(i, start, action);
        }
    }

    fn act(&mut self, i: usize, start: u64, action: Action) {
        let name = format!("n{}", i + 1);
        match action {
            Action::Table(call, req) => self.call_table(i, start, call, req),
            Action::Object(call, req) => self.step(LINK, Step::Object(i, start, call, req)),
            Action::Dispatch(dispatch) => {
                let (req, attempt, worker) = (dispatch.req, dispatch.attempt, dispatch.worker);
                self.note(&format!(
                    "{name}: try {} attempt {attempt} to {worker}",
                    req.0
                ));
                let until = self.now + dispatch.timeout;
                self.open
                    .insert((i, start, req, attempt), Open { worker, until });
                self.count(worker);
                let mut end = AttemptEnd::new(req, attempt, Outcome::Silent);
                end.is_replayable = true;
                self.step(dispatch.first_byte_timeout, Step::Ends(i, start, end));
                self.step(LINK, Step::Arrives(i, start, dispatch));
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
            Action::Exit if !self.nodes[i].exited => {
                self.note(&format!("{name} exits"));
                self.nodes[i].exited = true;
            }
            _ => {}
        }
    }

    fn count(&mut self, worker: WorkerId) {
        let now = self.now;
        self.open.retain(|(i, start, ..), open| {
            let process = &self.nodes[*i];
            // The server may still run what a dead node has sent.
            process.start == *start || now < open.until
        });
        let n = self.open.values().filter(|o| o.worker == worker).count();
        let peak = self.peak.entry(worker).or_default();
        *peak = n.max(*peak);
    }

    fn call_table(&mut self, i: usize, start: u64, call: CallId, req: TableReq) {
        let delivery = self.faults.draw(LINK * 2);
        let txn = match &req {
            TableReq::Commit(txn) => txn.writes.as_slice(),
            TableReq::Get { .. } | TableReq::Scan { .. } => &[],
        };
        // The first write is the marker's.
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
            self.step(LINK, Step::Event(i, start, Event::Table(call, Err(e))));
            return;
        }
        let answered = delivery.is_delivered && delivery.is_answered;
        if !answered {
            let e = StoreError::Lost("no answer".to_owned());
            self.step(
                LOST_AFTER,
                Step::Event(i, start, Event::Table(call, Err(e))),
            );
        }
        if delivery.is_delivered {
            if delivery.is_duplicated {
                let again = Step::Table(i, start, call, req.clone(), false);
                self.step(LOST_AFTER / 2, again);
            }
            self.step(
                delivery.request_delay,
                Step::Table(i, start, call, req, answered),
            );
        }
    }

    fn arrives(&mut self, i: usize, start: u64, dispatch: &Dispatch) {
        let id = usize::try_from(dispatch.req.0).unwrap();
        let until = self.silent.get(&dispatch.worker).copied();
        let silent = until.is_some_and(|until| self.now < until);
        if silent && self.rng.chance(500) {
            // The connection lost the request itself.
            return;
        }
        self.tries[id].runs += 1;
        let body = format!("{} {}", self.tries[id].service, self.tries[id].key);
        self.note(&format!("{}: runs {body} for try {id}", dispatch.worker));
        if silent {
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
            // The end is told a second time, much later.
            self.step(
                takes * 20,
                Step::Event(i, start, Event::AttemptFinished(end.clone())),
            );
        }
        self.step(takes, Step::Ends(i, start, end));
    }

    /// The end of an attempt reaches its node, unless the attempt was given up before.
    fn ends(&mut self, i: usize, start: u64, end: AttemptEnd) {
        let key = (i, start, end.req, end.attempt);
        if !self.runs(i, start) || self.open.remove(&key).is_none() {
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
