//! A whole cell in one process, on virtual time: the daemon's own state machines over the stand-ins
//! for the platform, with seeded faults.

mod promises;
mod queue;

use std::{collections::BTreeMap, time::Duration};

use fakes::{FakePlatform, Fate, FaultLevel, Faults, PlatformSpec};
use model::{Incarnation, NodeId, Time};
use node::{
    Action, CallId, Event, Identity, Node, NodeConfig, OperatorId,
    api::{OperatorReq, OperatorResp},
};
use store::{StoreError, TableReq, WorkerCall};

use self::queue::Queue;

/// How often a node's clock ticks.
const TICK: Duration = Duration::from_millis(50);
/// After this time a call without an answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The round trip between a node and the platform.
const PLATFORM_ROUND_TRIP: Duration = Duration::from_millis(4);

/// How a cell is made up.
#[derive(Clone, Debug)]
pub struct CellConfig {
    /// All that is random depends on it. 1 by default.
    pub seed: u64,
    /// How many faults there are. None by default.
    pub faults: FaultLevel,
    /// The platform.
    pub platform: PlatformSpec,
    /// How many nodes each failure domain has. 2 by default.
    pub nodes_per_domain: u32,
    /// The nodes' settings.
    pub node: NodeConfig,
}

impl Default for CellConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: FaultLevel::None,
            platform: PlatformSpec::default(),
            nodes_per_domain: 2,
            node: NodeConfig::default(),
        }
    }
}

/// What is to happen at a point in time.
#[derive(Clone, Debug)]
enum Happening {
    Tick(NodeId),
    Event(NodeId, Event),
    TableArrives {
        node: NodeId,
        call: CallId,
        req: TableReq,
        fate: Fate,
        again: bool,
    },
    WorkerArrives {
        node: NodeId,
        call: CallId,
        req: WorkerCall,
        fate: Fate,
        again: bool,
    },
}

/// A whole cell on virtual time.
#[derive(Debug)]
pub struct Cell {
    now: Time,
    queue: Queue<Happening>,
    platform: FakePlatform,
    faults: Faults,
    nodes: BTreeMap<NodeId, Node>,
    domains: BTreeMap<NodeId, model::DomainId>,
    answers: BTreeMap<OperatorId, OperatorResp>,
    last_operator: u64,
}

impl Cell {
    /// A cell whose nodes have just started.
    ///
    /// # Panics
    ///
    /// Never: the names that it makes for domains and regions are valid.
    #[must_use]
    pub fn new(cfg: &CellConfig) -> Self {
        let mut queue = Queue::default();
        let mut nodes = BTreeMap::new();
        let mut domains = BTreeMap::new();
        let count = cfg.platform.domains * cfg.nodes_per_domain;
        for i in 0..count {
            let me = identity(i, cfg);
            domains.insert(me.node, me.domain);
            queue.push(Time::from_ms(u64::from(i)), Happening::Tick(me.node));
            nodes.insert(me.node, Node::new(cfg.node.clone(), me));
        }
        Self {
            now: Time::ZERO,
            queue,
            platform: FakePlatform::new(&cfg.platform),
            faults: Faults::new(cfg.seed, cfg.faults),
            nodes,
            domains,
            answers: BTreeMap::new(),
            last_operator: 0,
        }
    }

    /// The present virtual time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Runs up to a point in virtual time.
    pub fn run_until(&mut self, since_start: Duration) {
        let end = Time::ZERO + since_start;
        while let Some((at, happening)) = self.queue.pop_until(end) {
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
        self.platform.advance(end);
    }

    /// Sends an operator's call to a node and runs until it is answered, for a minute at the most.
    pub fn operator(&mut self, node: NodeId, req: OperatorReq) -> Option<OperatorResp> {
        self.last_operator += 1;
        let id = OperatorId(self.last_operator);
        self.queue
            .push(self.now, Happening::Event(node, Event::Operator(id, req)));
        let limit = self.now + Duration::from_secs(60);
        while !self.answers.contains_key(&id) && self.now < limit {
            let next = self.now + TICK;
            self.run_until(next.since(Time::ZERO));
        }
        self.answers.remove(&id)
    }

    /// The promises that did not hold, as workers saw it.
    #[must_use]
    pub fn broken_promises(&self) -> Vec<String> {
        promises::broken(&self.platform)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(node) => {
                self.queue.push(self.now + TICK, Happening::Tick(node));
                self.event(node, Event::Tick);
            }
            Happening::Event(node, event) => self.event(node, event),
            Happening::TableArrives {
                node,
                call,
                req,
                fate,
                again,
            } => {
                let resp = self.platform.table.call(&req);
                if fate.answered && !again {
                    let event = Event::Table(call, Ok(resp));
                    self.queue
                        .push(self.now + fate.back, Happening::Event(node, event));
                }
            }
            Happening::WorkerArrives {
                node,
                call,
                req,
                fate,
                again,
            } => {
                let resp = self.platform.call_worker(self.now, &req);
                if fate.answered && !again {
                    let event = Event::Worker(call, req.worker, resp);
                    self.queue
                        .push(self.now + fate.back, Happening::Event(node, event));
                }
            }
        }
    }

    fn event(&mut self, id: NodeId, event: Event) {
        let mut actions = Vec::new();
        if let Some(node) = self.nodes.get_mut(&id) {
            node.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.act(id, action);
        }
    }

    fn act(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Table(call, req) => self.call_table(node, call, req),
            Action::Worker(call, req) => self.call_worker(node, call, req),
            Action::Vms => {
                let vms = self.platform.vms(self.now, self.domains[&node]);
                let event = Event::Vms(Ok(vms));
                self.queue.push(
                    self.now + PLATFORM_ROUND_TRIP,
                    Happening::Event(node, event),
                );
            }
            Action::Operator(id, resp) => {
                self.answers.insert(id, resp);
            }
            Action::Object(..)
            | Action::Peer { .. }
            | Action::Dispatch { .. }
            | Action::Forward { .. }
            | Action::Refuse { .. }
            | Action::Exit => {}
        }
    }

    fn call_table(&mut self, node: NodeId, call: CallId, req: TableReq) {
        let fate = self.faults.draw(PLATFORM_ROUND_TRIP);
        if self.faults.is_cut(self.now) {
            let event = Event::Table(call, Err(unreachable_error()));
            self.queue.push(
                self.now + PLATFORM_ROUND_TRIP,
                Happening::Event(node, event),
            );
            return;
        }
        if !(fate.arrives && fate.answered) {
            let event = Event::Table(call, Err(lost_error()));
            self.queue
                .push(self.now + CALL_TIMEOUT, Happening::Event(node, event));
        }
        if fate.arrives {
            let at = self.now + fate.there;
            if fate.twice {
                let again = at + CALL_TIMEOUT / 2;
                let req = req.clone();
                self.queue.push(
                    again,
                    Happening::TableArrives {
                        node,
                        call,
                        req,
                        fate,
                        again: true,
                    },
                );
            }
            self.queue.push(
                at,
                Happening::TableArrives {
                    node,
                    call,
                    req,
                    fate,
                    again: false,
                },
            );
        }
    }

    fn call_worker(&mut self, node: NodeId, call: CallId, req: WorkerCall) {
        let fate = self.faults.draw(PLATFORM_ROUND_TRIP);
        if !(fate.arrives && fate.answered) {
            let event = Event::Worker(call, req.worker, Err(lost_error()));
            self.queue
                .push(self.now + CALL_TIMEOUT, Happening::Event(node, event));
        }
        if fate.arrives {
            let at = self.now + fate.there;
            if fate.twice {
                let again = at + CALL_TIMEOUT / 2;
                let req = req.clone();
                self.queue.push(
                    again,
                    Happening::WorkerArrives {
                        node,
                        call,
                        req,
                        fate,
                        again: true,
                    },
                );
            }
            self.queue.push(
                at,
                Happening::WorkerArrives {
                    node,
                    call,
                    req,
                    fate,
                    again: false,
                },
            );
        }
    }
}

fn identity(i: u32, cfg: &CellConfig) -> Identity {
    let domain = i % cfg.platform.domains + 1;
    let region = (domain - 1) % cfg.platform.regions.max(1) + 1;
    Identity {
        node: NodeId(i + 1),
        incarnation: Incarnation(1),
        region: format!("r{region}").parse().expect("a short name is valid"),
        domain: format!("d{domain}").parse().expect("a short name is valid"),
        peer_address: format!("10.0.0.{}:7100", i + 1),
    }
}

fn unreachable_error() -> StoreError {
    StoreError::Unreachable("the table is cut off".to_owned())
}

fn lost_error() -> StoreError {
    StoreError::Lost("no answer in time".to_owned())
}
