//! Real nodes over the stand-in platform, on virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use fakes::{FakePlatform, PlatformSpec, RunPlan};
use model::{DomainId, Incarnation, NodeId, Time};
use node::{Action, CallId, Event, Identity, Node, NodeConfig, OperatorCallId};
use store::{TableReq, WorkerCall};

use crate::{
    load,
    wire::{Overhead, message_len},
};

/// The daemon's tick.
const TICK: Duration = Duration::from_millis(25);
/// One way between a node and the platform, or another node.
const DELAY: Duration = Duration::from_millis(2);
const REGIONS: u32 = 3;
/// When the services are published; the batches follow.
const SERVICES_AT: Duration = Duration::from_secs(10);
/// No more batches than this are published.
const BATCHES_MAX: u32 = 60;

/// How large a fleet is: nodes and workers per failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Size {
    pub(crate) domains: u32,
    pub(crate) nodes: u32,
    pub(crate) workers: u32,
}

/// What a node is to its domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Scheduler,
    Member,
}

impl Role {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Scheduler => "scheduler",
            Self::Member => "member",
        }
    }
}

/// What a node has used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Costs {
    pub(crate) cpu: Duration,
    pub(crate) peer: u64,
    pub(crate) table: u64,
    pub(crate) worker: u64,
    pub(crate) vms: u64,
    pub(crate) messages: u64,
}

impl Costs {
    pub(crate) const fn bytes(&self) -> u64 {
        self.peer + self.table + self.worker + self.vms
    }
}

#[derive(Debug)]
enum Happening {
    Tick(usize),
    Event(usize, Box<Event>),
    Table(usize, CallId, TableReq),
    Worker(usize, CallId, WorkerCall),
    Batch(u32),
}

struct Member {
    node: Node,
    domain: DomainId,
    costs: Costs,
}

/// Real nodes over the stand-in platform.
pub(crate) struct Fleet {
    size: Size,
    overhead: Overhead,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    members: Vec<Member>,
    platform: FakePlatform,
    calls_before: (u64, u64),
}

impl Fleet {
    pub(crate) fn new(size: Size, overhead: Overhead) -> Self {
        let plan = RunPlan {
            declared: load::run_times(BATCHES_MAX),
            declared_error_factor: 1,
            ..RunPlan::default()
        };
        let platform = FakePlatform::new(&PlatformSpec {
            domains: size.domains,
            regions: REGIONS,
            workers: size.domains * size.workers,
            plan,
            ..PlatformSpec::default()
        });
        let mut fleet = Self {
            size,
            overhead,
            now: Time::ZERO,
            seq: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            members: Vec::new(),
            platform,
            calls_before: (0, 0),
        };
        for i in 0..size.domains * size.nodes {
            fleet.add_member(i);
        }
        let services = load::services(size.domains, size.workers);
        fleet.operator(Time::ZERO + SERVICES_AT, 0, services);
        fleet.push(
            Time::ZERO + SERVICES_AT + load::BATCH_EVERY,
            Happening::Batch(0),
        );
        fleet
    }

    fn add_member(&mut self, i: u32) {
        let domain = i % self.size.domains + 1;
        let region = (domain - 1) % REGIONS + 1;
        let me = Identity {
            node: NodeId(i + 1),
            incarnation: Incarnation(1),
            region: format!("r{region}").parse().expect("a short name is valid"),
            domain: format!("d{domain}").parse().expect("a short name is valid"),
            peer_address: format!("10.0.{}.{}:7100", i / 250, i % 250),
        };
        self.push(
            Time::from_ms(u64::from(i * 7 % 25)),
            Happening::Tick(i as usize),
        );
        self.members.push(Member {
            domain: me.domain,
            node: Node::new(NodeConfig::default(), me),
            costs: Costs::default(),
        });
    }

    fn push(&mut self, at: Time, what: Happening) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.happenings.insert(self.seq, what);
    }

    fn operator(&mut self, at: Time, node: usize, req: node::api::OperatorReq) {
        let id = OperatorCallId(self.seq);
        let event = Event::Operator(id, req);
        self.push(at, Happening::Event(node, Box::new(event)));
    }

    pub(crate) fn run_until(&mut self, since_start: Duration) {
        let end = Time::ZERO + since_start;
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(what) = self.happenings.remove(&seq) {
                self.happen(what);
            }
        }
        self.now = end;
        self.platform.advance(end);
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick(i) => {
                self.push(self.now + TICK, Happening::Tick(i));
                self.event(i, Event::Tick);
            }
            Happening::Event(i, event) => self.event(i, *event),
            Happening::Table(i, call, req) => {
                let resp = self.platform.table.call(&req);
                self.members[i].costs.table += self.overhead.call(&req, &resp);
                self.answer(i, Event::Table(call, Ok(resp)));
            }
            Happening::Worker(i, call, req) => {
                let resp = self.platform.call_worker(self.now, &req);
                if let Ok(report) = &resp {
                    self.members[i].costs.worker += self.overhead.call(&req, report);
                }
                self.answer(i, Event::Worker(call, req.worker, resp));
            }
            Happening::Batch(n) if n < BATCHES_MAX => {
                let req = load::batch(n, self.size.domains, self.size.workers);
                let node = n as usize % self.members.len();
                self.operator(self.now, node, req);
                self.push(self.now + load::BATCH_EVERY, Happening::Batch(n + 1));
            }
            Happening::Batch(_) => {}
        }
    }

    fn answer(&mut self, i: usize, event: Event) {
        self.push(self.now + DELAY, Happening::Event(i, Box::new(event)));
    }

    fn event(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        let began = Instant::now();
        self.members[i].node.handle(now, event, &mut actions);
        self.members[i].costs.cpu += began.elapsed();
        for action in actions {
            self.act(i, action);
        }
    }

    fn act(&mut self, i: usize, action: Action) {
        let at = self.now + DELAY;
        match action {
            Action::Table(call, req) => self.push(at, Happening::Table(i, call, req)),
            Action::Worker(call, req) => self.push(at, Happening::Worker(i, call, req)),
            Action::Vms => {
                let vms = self.platform.vms(self.now, self.members[i].domain);
                self.members[i].costs.vms += self.overhead.call(&(), &vms);
                self.answer(i, Event::Vms(Ok(vms)));
            }
            Action::Peer { to, msg, .. } => {
                let bytes = message_len(&msg);
                let from = NodeId(u32::try_from(i + 1).unwrap_or(0));
                let to = to.0 as usize - 1;
                for end in [i, to] {
                    self.members[end].costs.peer += bytes;
                    self.members[end].costs.messages += 1;
                }
                self.push(at, Happening::Event(to, Box::new(Event::Peer(from, msg))));
            }
            _ => {}
        }
    }

    pub(crate) fn reset_counts(&mut self) {
        for member in &mut self.members {
            member.costs = Costs::default();
        }
        self.calls_before = (self.platform.table.reads(), self.platform.table.writes());
    }

    pub(crate) fn table_calls(&self) -> (u64, u64) {
        let (reads, writes) = self.calls_before;
        (
            self.platform.table.reads() - reads,
            self.platform.table.writes() - writes,
        )
    }

    /// The mean costs of the nodes of a role.
    pub(crate) fn mean_costs(&self, role: Role) -> Costs {
        let mut sum = Costs::default();
        let mut count = 0;
        for member in &self.members {
            let schedules = member.node.dump(self.now).scheduler.is_some();
            if schedules != (role == Role::Scheduler) {
                continue;
            }
            count += 1;
            sum.cpu += member.costs.cpu;
            sum.peer += member.costs.peer;
            sum.table += member.costs.table;
            sum.worker += member.costs.worker;
            sum.vms += member.costs.vms;
            sum.messages += member.costs.messages;
        }
        let n = u64::from(count).max(1);
        Costs {
            cpu: sum.cpu / count.max(1),
            peer: sum.peer / n,
            table: sum.table / n,
            worker: sum.worker / n,
            vms: sum.vms / n,
            messages: sum.messages / n,
        }
    }

    /// How many tasks run.
    pub(crate) fn running(&self) -> usize {
        let runs = self.platform.workers().flat_map(fakes::FakeWorker::runs);
        runs.filter(|run| run.ended.is_none()).count()
    }

    /// How many tasks began in a span.
    pub(crate) fn starts_between(&self, from: Duration, to: Duration) -> usize {
        let span = Time::ZERO + from..Time::ZERO + to;
        let runs = self.platform.workers().flat_map(fakes::FakeWorker::runs);
        runs.filter(|run| span.contains(&run.began)).count()
    }
}
