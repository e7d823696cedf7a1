//! Real nodes over the fake platform, on virtual time.

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

/// The interval of the nodes' ticks, the same as the daemon's.
const TICK: Duration = Duration::from_millis(25);
/// The one-way delay between a node and the platform or another node.
const DELAY: Duration = Duration::from_millis(2);
const REGION_COUNT: u32 = 3;
/// The time at which the services are published. The batches follow.
const SERVICES_AT: Duration = Duration::from_secs(10);
/// The maximum number of batches that are published.
const MAX_BATCHES: u32 = 60;

/// The size of a fleet, with the nodes and workers per failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Size {
    pub(crate) domains: u32,
    pub(crate) nodes: u32,
    pub(crate) workers: u32,
}

/// The role of a node in its failure domain.
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

/// The resources used by a node: processor time, bytes by kind of traffic, and the number of messages
/// between nodes.
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

/// An event of the simulation. The `usize` is the index of the node.
#[derive(Debug)]
enum SimEvent {
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

/// A simulation of real nodes over the fake platform.
pub(crate) struct Fleet {
    size: Size,
    overhead: Overhead,
    now: Time,
    seq: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    members: Vec<Member>,
    platform: FakePlatform,
    calls_at_reset: (u64, u64),
}

impl Fleet {
    pub(crate) fn new(size: Size, overhead: Overhead) -> Self {
        let plan = RunPlan {
            declared: load::run_times(MAX_BATCHES),
            declared_error_factor: 1,
            ..RunPlan::default()
        };
        let platform = FakePlatform::new(&PlatformSpec {
            domains: size.domains,
            regions: REGION_COUNT,
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
            events: BTreeMap::new(),
            members: Vec::new(),
            platform,
            calls_at_reset: (0, 0),
        };
        for i in 0..size.domains * size.nodes {
            fleet.add_member(i);
        }
        let services = load::services(size.domains, size.workers);
        fleet.schedule_operator_call(Time::ZERO + SERVICES_AT, 0, services);
        fleet.push(
            Time::ZERO + SERVICES_AT + load::BATCH_INTERVAL,
            SimEvent::Batch(0),
        );
        fleet
    }

    fn add_member(&mut self, i: u32) {
        let domain = i % self.size.domains + 1;
        let region = (domain - 1) % REGION_COUNT + 1;
        let identity = Identity {
            node: NodeId(i + 1),
            incarnation: Incarnation(1),
            region: format!("r{region}").parse().expect("a short name is valid"),
            domain: format!("d{domain}").parse().expect("a short name is valid"),
            peer_address: format!("10.0.{}.{}:7100", i / 250, i % 250),
        };
        self.push(
            Time::from_ms(u64::from(i * 7 % 25)),
            SimEvent::Tick(i as usize),
        );
        self.members.push(Member {
            domain: identity.domain,
            node: Node::new(NodeConfig::default(), identity),
            costs: Costs::default(),
        });
    }

    fn push(&mut self, at: Time, event: SimEvent) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq)));
        self.events.insert(self.seq, event);
    }

    fn schedule_operator_call(&mut self, at: Time, node: usize, req: node::api::OperatorReq) {
        let id = OperatorCallId(self.seq);
        let event = Event::Operator(id, req);
        self.push(at, SimEvent::Event(node, Box::new(event)));
    }

    pub(crate) fn run_until(&mut self, since_start: Duration) {
        let end = Time::ZERO + since_start;
        while let Some(Reverse((at, seq))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&seq) {
                self.process(event);
            }
        }
        self.now = end;
        self.platform.advance(end);
    }

    fn process(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(i) => {
                self.push(self.now + TICK, SimEvent::Tick(i));
                self.handle_event(i, Event::Tick);
            }
            SimEvent::Event(i, event) => self.handle_event(i, *event),
            SimEvent::Table(i, call, req) => {
                let resp = self.platform.table.call(&req);
                self.members[i].costs.table += self.overhead.call(&req, &resp);
                self.schedule_reply(i, Event::Table(call, Ok(resp)));
            }
            SimEvent::Worker(i, call, req) => {
                let resp = self.platform.call_worker(self.now, &req);
                if let Ok(report) = &resp {
                    self.members[i].costs.worker += self.overhead.call(&req, report);
                }
                self.schedule_reply(i, Event::Worker(call, req.worker, resp));
            }
            SimEvent::Batch(n) if n < MAX_BATCHES => {
                let req = load::batch(n, self.size.domains, self.size.workers);
                let node = n as usize % self.members.len();
                self.schedule_operator_call(self.now, node, req);
                self.push(self.now + load::BATCH_INTERVAL, SimEvent::Batch(n + 1));
            }
            SimEvent::Batch(_) => {}
        }
    }

    fn schedule_reply(&mut self, i: usize, event: Event) {
        self.push(self.now + DELAY, SimEvent::Event(i, Box::new(event)));
    }

    fn handle_event(&mut self, i: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        let started = Instant::now();
        self.members[i].node.handle(now, event, &mut actions);
        self.members[i].costs.cpu += started.elapsed();
        for action in actions {
            self.execute(i, action);
        }
    }

    fn execute(&mut self, i: usize, action: Action) {
        let at = self.now + DELAY;
        match action {
            Action::Table(call, req) => self.push(at, SimEvent::Table(i, call, req)),
            Action::Worker(call, req) => self.push(at, SimEvent::Worker(i, call, req)),
            Action::Vms => {
                let vms = self.platform.vms(self.now, self.members[i].domain);
                self.members[i].costs.vms += self.overhead.call(&(), &vms);
                self.schedule_reply(i, Event::Vms(Ok(vms)));
            }
            Action::Peer { to, msg, .. } => {
                let bytes = message_len(&msg);
                let from = NodeId(u32::try_from(i + 1).unwrap_or(0));
                let to = to.0 as usize - 1;
                for end in [i, to] {
                    self.members[end].costs.peer += bytes;
                    self.members[end].costs.messages += 1;
                }
                self.push(at, SimEvent::Event(to, Box::new(Event::Peer(from, msg))));
            }
            _ => {}
        }
    }

    pub(crate) fn reset_counts(&mut self) {
        for member in &mut self.members {
            member.costs = Costs::default();
        }
        self.calls_at_reset = (self.platform.table.reads(), self.platform.table.writes());
    }

    pub(crate) fn table_calls(&self) -> (u64, u64) {
        let (reads, writes) = self.calls_at_reset;
        (
            self.platform.table.reads() - reads,
            self.platform.table.writes() - writes,
        )
    }

    /// Returns the mean costs of the nodes of a role.
    pub(crate) fn mean_costs(&self, role: Role) -> Costs {
        let mut sum = Costs::default();
        let mut count = 0;
        for member in &self.members {
            let is_scheduler = member.node.dump(self.now).scheduler.is_some();
            if is_scheduler != (role == Role::Scheduler) {
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

    /// Returns the number of running tasks.
    pub(crate) fn running(&self) -> usize {
        let runs = self.platform.workers().flat_map(fakes::FakeWorker::runs);
        runs.filter(|run| run.ended.is_none()).count()
    }

    /// Returns the number of tasks that started between two times.
    pub(crate) fn starts_between(&self, from: Duration, to: Duration) -> usize {
        let span = Time::ZERO + from..Time::ZERO + to;
        let runs = self.platform.workers().flat_map(fakes::FakeWorker::runs);
        runs.filter(|run| span.contains(&run.began)).count()
    }
}
