//! A simulation of nodes with virtual time, one table and in-memory links, for tests of the
//! configuration.
//!
//! There are no workers: the nodes only follow and change the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::{FakeTable, Rng};
use model::{DomainId, Incarnation, NodeId, Time};
use node::{
    Action, CallId, Event, Identity, Node, NodeConfig, OperatorCallId,
    api::{OperatorReq, OperatorResp},
};
use peer::PeerMsg;
use store::{Row, StoreError, TableReq, TableResp, encode};

const TICK: Duration = Duration::from_millis(25);
/// The one-way delay between a node and the table.
const TABLE_DELAY: Duration = Duration::from_millis(2);
/// The one-way delay within a region.
const DOMAIN_DELAY: Duration = Duration::from_millis(1);
/// The one-way delay between two regions.
const REGION_DELAY: Duration = Duration::from_millis(10);
/// The time after which a call that cannot reach the table fails.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const REGIONS: u32 = 3;
const HEAD_KEY: &str = "config/head";

/// A scheduled step of the simulation.
#[derive(Debug)]
enum Step {
    Tick(NodeId, Incarnation),
    Event(NodeId, Incarnation, Box<Event>),
    Table(NodeId, Incarnation, CallId, TableReq),
}

/// The traffic of the nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The number of reads of the configuration's rows.
    pub table_reads: u64,
    /// The payload of these reads and their answers, in bytes.
    pub table_bytes: u64,
    /// The payload of messages between nodes that request or carry configuration entries, in bytes.
    pub update_bytes: u64,
    /// The payload of all messages between nodes, in bytes.
    pub peer_bytes: u64,
}

/// The nodes with their table and links.
pub struct Fleet {
    pub now: Time,
    queue: BTreeMap<(Time, u64), Step>,
    seq: u64,
    nodes: BTreeMap<NodeId, (Identity, Node)>,
    pub table: FakeTable,
    rng: Rng,
    /// The domains from which the table cannot be reached.
    pub cut: BTreeSet<DomainId>,
    /// The nodes whose commits are made but whose replies are lost.
    pub losing_replies: BTreeSet<NodeId>,
    /// The head row that all nodes read in place of the true one, if set.
    pub stale_head: Option<Row>,
    /// Whether nodes exchange configuration entries.
    pub has_gossip: bool,
    pub answers: BTreeMap<OperatorCallId, OperatorResp>,
    last_call: u64,
    pub traffic: Traffic,
    /// The time at which each node first had each version in force.
    pub seen: Vec<(Time, NodeId, u64)>,
    versions: BTreeMap<NodeId, u64>,
}

impl Fleet {
    pub fn new(domains: u32, per_domain: u32, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            queue: BTreeMap::new(),
            seq: 0,
            nodes: BTreeMap::new(),
            table: FakeTable::default(),
            rng: Rng::new(seed),
            cut: BTreeSet::new(),
            losing_replies: BTreeSet::new(),
            stale_head: None,
            has_gossip: true,
            answers: BTreeMap::new(),
            last_call: 0,
            traffic: Traffic::default(),
            seen: Vec::new(),
            versions: BTreeMap::new(),
        };
        for i in 0..domains * per_domain {
            fleet.start(NodeId(i + 1), domain(i % domains + 1), 1);
        }
        fleet
    }

    /// Starts a node, or restarts it without the state that it had in memory.
    pub fn start(&mut self, node: NodeId, domain: DomainId, incarnation: u64) {
        let number: u32 = domain.to_string()[1..].parse().expect("a domain's number");
        let me = Identity {
            node,
            incarnation: Incarnation(incarnation),
            region: format!("r{}", number % REGIONS).parse().expect("a name"),
            domain,
            peer_address: format!("10.0.0.{}:7100", node.0),
        };
        self.versions.remove(&node);
        let machine = Node::new(NodeConfig::default(), me.clone());
        let start = me.incarnation;
        self.nodes.insert(node, (me, machine));
        let phase = self.rng.span(Duration::ZERO, Duration::from_secs(1));
        self.push(phase, Step::Tick(node, start));
    }

    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            self.now = at;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    /// Sends an operator's call to a node.
    pub fn ask(&mut self, node: u32, req: OperatorReq) -> OperatorCallId {
        self.last_call += 1;
        let id = OperatorCallId(self.last_call);
        self.event(NodeId(node), Event::Operator(id, req));
        id
    }

    /// Sends an operator's call to a node and runs until it is answered.
    pub fn call(&mut self, node: u32, req: OperatorReq) -> String {
        let id = self.ask(node, req);
        let limit = self.now + Duration::from_secs(30);
        while !self.answers.contains_key(&id) && self.now < limit {
            self.run(TICK);
        }
        self.answer(id)
    }

    /// Returns an answer as operators see it.
    pub fn answer(&self, id: OperatorCallId) -> String {
        match self.answers.get(&id) {
            None => "no answer yet".to_owned(),
            Some(OperatorResp::Done { message, .. }) => format!("done: {message}"),
            Some(OperatorResp::Failed { verdict, message }) => format!("{verdict}: {message}"),
            Some(other) => format!("{other:?}"),
        }
    }

    /// Returns the head row in the table.
    pub fn head(&mut self) -> Option<Row> {
        let key = HEAD_KEY.to_owned();
        match self.table.call(&TableReq::Get { key }) {
            TableResp::Row(row) => row,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the number of rows in the table with this key prefix.
    pub fn rows(&mut self, prefix: &str) -> usize {
        let req = TableReq::Scan {
            prefix: prefix.to_owned(),
            after: String::new(),
            limit: 10_000,
        };
        match self.table.call(&req) {
            TableResp::Rows(rows) => rows.len(),
            other => panic!("{other:?}"),
        }
    }

    pub fn node(&self, node: u32) -> &Node {
        &self.nodes[&NodeId(node)].1
    }

    /// Returns the version that each node has in force, as `n1=3 n2=3`.
    pub fn versions(&self) -> String {
        let texts: Vec<String> = self
            .nodes
            .iter()
            .map(|(id, (_, node))| {
                let ready = if node.is_ready() { "" } else { " (not ready)" };
                format!("{id}={}{ready}", node.config().version())
            })
            .collect();
        texts.join(" ")
    }

    fn push(&mut self, after: Duration, event: Step) {
        self.seq += 1;
        self.queue.insert((self.now + after, self.seq), event);
    }

    fn is_current(&self, node: NodeId, start: Incarnation) -> bool {
        let found = self.nodes.get(&node);
        found.is_some_and(|(me, _)| me.incarnation == start)
    }

    fn handle(&mut self, event: Step) {
        match event {
            Step::Tick(node, start) if self.is_current(node, start) => {
                self.push(TICK, Step::Tick(node, start));
                self.event(node, Event::Tick);
            }
            Step::Event(node, start, event) if self.is_current(node, start) => {
                self.event(node, *event);
            }
            Step::Table(node, start, call, req) => self.table_arrives(node, start, call, &req),
            Step::Tick(..) | Step::Event(..) => {}
        }
    }

    fn event(&mut self, id: NodeId, event: Event) {
        let mut actions = Vec::new();
        let Some((me, node)) = self.nodes.get_mut(&id) else {
            return;
        };
        let me = me.clone();
        node.handle(self.now, event, &mut actions);
        let version = node.config().version();
        let before = self.versions.insert(id, version).unwrap_or(0);
        assert!(
            before <= version,
            "{id} went from {before} down to {version}"
        );
        if version > before {
            self.seen.push((self.now, id, version));
        }
        for action in actions {
            self.carry_out(&me, action);
        }
    }

    fn carry_out(&mut self, me: &Identity, action: Action) {
        match action {
            Action::Table(call, req) => self.call_table(me, call, req),
            Action::Vms => {
                let event = Box::new(Event::Vms(Ok(Vec::new())));
                self.push(TABLE_DELAY * 2, Step::Event(me.node, me.incarnation, event));
            }
            Action::Operator(id, resp) => {
                self.answers.insert(id, resp);
            }
            Action::Peer { to, msg, .. } => self.send(me, to, msg),
            _ => {}
        }
    }

    fn call_table(&mut self, me: &Identity, call: CallId, req: TableReq) {
        let (node, start) = (me.node, me.incarnation);
        if self.cut.contains(&me.domain) {
            let error = StoreError::Unreachable("cut off".to_owned());
            let event = Box::new(Event::Table(call, Err(error)));
            self.push(CALL_TIMEOUT, Step::Event(node, start, event));
        } else {
            self.push(TABLE_DELAY, Step::Table(node, start, call, req));
        }
    }

    fn table_arrives(&mut self, node: NodeId, start: Incarnation, call: CallId, req: &TableReq) {
        let mut resp = self.table.call(req);
        self.count_traffic(req, &resp);
        if let (TableReq::Get { key }, Some(stale)) = (req, &self.stale_head)
            && key == HEAD_KEY
        {
            resp = TableResp::Row(Some(stale.clone()));
        }
        let is_lost = req.is_write() && self.losing_replies.contains(&node);
        let (result, after) = if is_lost {
            let error = StoreError::Lost("no answer in time".to_owned());
            (Err(error), CALL_TIMEOUT)
        } else {
            (Ok(resp), TABLE_DELAY)
        };
        let event = Box::new(Event::Table(call, result));
        self.push(after, Step::Event(node, start, event));
    }

    fn count_traffic(&mut self, req: &TableReq, resp: &TableResp) {
        let is_config_read = match req {
            TableReq::Get { key } => key.starts_with("config/"),
            TableReq::Scan { prefix, .. } => prefix.starts_with("config/"),
            TableReq::Commit(_) => false,
        };
        if is_config_read {
            self.traffic.table_reads += 1;
            self.traffic.table_bytes += json_len(req) + json_len(resp);
        }
    }

    fn send(&mut self, me: &Identity, to: NodeId, msg: PeerMsg) {
        let Some((other, _)) = self.nodes.get(&to) else {
            return;
        };
        let (start, region) = (other.incarnation, other.region);
        let bytes = encode(&msg).len() as u64;
        self.traffic.peer_bytes += bytes;
        if matches!(
            msg,
            PeerMsg::ConfigWanted { .. } | PeerMsg::ConfigEntries(_)
        ) {
            if !self.has_gossip {
                return;
            }
            self.traffic.update_bytes += bytes;
        }
        let delay = if region == me.region {
            DOMAIN_DELAY
        } else {
            REGION_DELAY
        };
        let event = Box::new(Event::Peer(me.node, msg));
        self.push(delay, Step::Event(to, start, event));
    }
}

pub fn domain(n: u32) -> DomainId {
    format!("d{n}").parse().expect("a short name is valid")
}

fn json_len(value: &impl serde::Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}
