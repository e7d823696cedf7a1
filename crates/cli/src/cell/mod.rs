//! A whole cell in one process, on virtual time: the daemon's own state machines over the stand-ins
//! for the platform, with callers, backend servers, links and seeded faults.

mod callers;
mod calls;
mod chaos;
mod config;
mod fault;
mod faults;
mod hops;
mod links;
mod log;
mod peers;
mod process;
mod promises;
mod queue;
mod records;
mod traffic;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::{FakePlatform, FakeWorker, Faults, Rng};
use model::{Kind, NodeId, Repeat, Time};
use node::{
    Action, Event, OperatorCallId,
    api::{FileText, OperatorReq, OperatorResp, parse_files},
};

use store::TaskPhase;

use self::{
    callers::Callers,
    calls::PlatformCall,
    hops::Traffic,
    links::{Links, Place},
    log::Log,
    peers::Delivery,
    process::Process,
    queue::Queue,
    traffic::TrafficStep,
};
pub use self::{
    config::{CellConfig, Load},
    fault::Fault,
    promises::broken_promises,
    records::{
        Answer, Disturbance, Execution, Leaving, Records, Try, TryId, VersionObservation,
        WorkerPeak,
    },
};

/// How often a node's clock ticks.
const TICK: Duration = Duration::from_millis(50);
/// How often the cell is looked at from outside.
const LOOK: Duration = Duration::from_millis(500);
/// An operator waits for an answer this long.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(60);

/// What is to happen at a point in time.
#[derive(Clone, Debug)]
enum Happening {
    Tick(NodeId, u64),
    /// An event for one start of a node.
    Event(NodeId, u64, Event),
    /// An event for whatever runs on the node's VM by then.
    Operator(NodeId, OperatorCallId, OperatorReq),
    Peer(Delivery),
    Call(PlatformCall),
    Traffic(TrafficStep),
    Fault(Fault),
    /// A process starts on the node's VM.
    Boot(NodeId),
    Resume(NodeId, u64),
    Look,
}

/// Counts of what the cell cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Costs {
    /// Messages between nodes.
    pub peer_messages: u64,
    /// Calls to workers.
    pub worker_calls: u64,
    /// Calls that read the table.
    pub table_reads: u64,
    /// Transactions that were tried.
    pub table_writes: u64,
    /// Requests that were passed on to a node of another region.
    pub cross_region_requests: u64,
}

/// A whole cell on virtual time.
#[derive(Debug)]
pub struct Cell {
    cfg: CellConfig,
    now: Time,
    rng: Rng,
    queue: Queue<Happening>,
    platform: FakePlatform,
    faults: Faults,
    links: Links,
    places: BTreeMap<NodeId, Place>,
    processes: BTreeMap<NodeId, Process>,
    starts: BTreeMap<NodeId, u64>,
    answers: BTreeMap<OperatorCallId, OperatorResp>,
    last_operator: u64,
    traffic: Traffic,
    callers: Callers,
    records: Records,
    costs: Costs,
    log: Log,
}

impl Cell {
    /// A cell whose nodes have just started.
    ///
    /// # Panics
    ///
    /// Never: the names that it makes for domains and regions are valid.
    #[must_use]
    pub fn new(cfg: &CellConfig) -> Self {
        let mut cell = Self {
            now: Time::ZERO,
            rng: Rng::new(cfg.seed ^ 0x6365_6c6c),
            queue: Queue::default(),
            platform: FakePlatform::new(&cfg.platform),
            faults: Faults::new(cfg.seed, cfg.faults),
            links: Links::new(cfg.seed, cfg.faults),
            places: BTreeMap::new(),
            processes: BTreeMap::new(),
            starts: BTreeMap::new(),
            answers: BTreeMap::new(),
            last_operator: 0,
            traffic: Traffic::new(cfg.seed, cfg.faults),
            callers: Callers::default(),
            records: Records::default(),
            costs: Costs::default(),
            log: Log::default(),
            cfg: cfg.clone(),
        };
        for i in 0..cfg.platform.domains * cfg.nodes_per_domain {
            let place = place(i, cfg);
            cell.places.insert(place.node, place);
            cell.records.nodes.insert(place.node, place.domain);
            let at = Time::from_ms(u64::from(i));
            cell.queue.push(at, Happening::Boot(place.node));
        }
        cell.queue.push(Time::ZERO, Happening::Look);
        chaos::schedule(&mut cell);
        cell
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

    /// Schedules a fault at a point in virtual time, in milliseconds.
    pub fn schedule_fault(&mut self, ms: u64, fault: Fault) {
        self.queue.push(Time::from_ms(ms), Happening::Fault(fault));
    }

    /// Begins to send callers' requests.
    pub fn start_load(&mut self, load: Load) {
        let at = load.from.max(self.now);
        let i = self.callers.add(load);
        let step = TrafficStep::NextCaller(i);
        self.queue.push(at, Happening::Traffic(step));
    }

    /// Ends all load. Requests on their way go on.
    pub fn stop_load(&mut self) {
        self.callers.stop(self.now);
    }

    /// Sends an operator's call to a node and runs until it is answered, for a minute at the most.
    pub fn call_operator(&mut self, node: NodeId, req: OperatorReq) -> Option<OperatorResp> {
        let id = self.schedule_operator_call(self.now.as_ms(), node, req);
        let limit = self.now + OPERATOR_TIMEOUT;
        while !self.answers.contains_key(&id) && self.now < limit {
            let next = self.now + TICK;
            self.run_until(next.since(Time::ZERO));
        }
        self.answers.remove(&id)
    }

    /// Sends an operator's call at a point in virtual time, in milliseconds, without waiting.
    pub fn schedule_operator_call(
        &mut self,
        ms: u64,
        node: NodeId,
        req: OperatorReq,
    ) -> OperatorCallId {
        if let OperatorReq::Publish { files, .. } = &req {
            self.note_once(files);
        }
        self.last_operator += 1;
        let id = OperatorCallId(self.last_operator);
        let at = Time::from_ms(ms);
        self.queue.push(at, Happening::Operator(node, id, req));
        id
    }

    /// Takes the answer to an operator's call, if there is one yet.
    pub fn take_answer(&mut self, id: OperatorCallId) -> Option<OperatorResp> {
        self.answers.remove(&id)
    }

    /// The nodes that run and serve now.
    #[must_use]
    pub fn ready_nodes(&self) -> Vec<NodeId> {
        let ready = self.processes.iter().filter(|(_, p)| p.is_ready());
        ready.map(|(id, _)| *id).collect()
    }

    /// A node's state as its operator sees it.
    #[must_use]
    pub fn dump(&self, node: NodeId) -> Option<node::Dump> {
        let process = self.processes.get(&node)?;
        Some(process.node.dump(process.local(self.now)))
    }

    /// The log of the session, a line for each thing that happened.
    #[must_use]
    pub fn log(&self) -> &[String] {
        self.log.lines()
    }

    /// What the cell cost so far.
    #[must_use]
    pub fn costs(&self) -> Costs {
        Costs {
            table_reads: self.platform.table.reads(),
            table_writes: self.platform.table.writes(),
            ..self.costs
        }
    }

    /// The platform, to look at what workers ran.
    #[must_use]
    pub const fn platform(&self) -> &FakePlatform {
        &self.platform
    }

    /// All that was seen from outside up to now.
    #[must_use]
    pub fn records(&self) -> Records {
        let mut records = self.records.clone();
        records.end = self.now;
        records.workers = self.platform.workers().map(|w| self.peak(w)).collect();
        let runs = self.platform.workers().flat_map(FakeWorker::runs);
        records.runs = runs.cloned().collect();
        records
    }

    /// How many attempts of a unit run now, as its workers see it.
    #[must_use]
    pub fn running_attempts(&self, unit: &str) -> usize {
        let runs = self.platform.workers().flat_map(FakeWorker::runs);
        let open = runs.filter(|run| run.ended.is_none() && run.task.unit.as_str() == unit);
        open.count()
    }

    /// How many tasks of a unit have an attempt that ended well, as its workers see it.
    #[must_use]
    pub fn succeeded_tasks(&self, unit: &str) -> usize {
        let runs = self.platform.workers().flat_map(FakeWorker::runs);
        let of_unit = runs.filter(|run| run.task.unit.as_str() == unit);
        let ended = of_unit.filter(|run| run.phase == TaskPhase::Succeeded);
        let tasks: BTreeSet<u32> = ended.map(|run| run.task.index).collect();
        tasks.len()
    }

    /// The promises that did not hold, as workers, backend servers, callers and operators saw it.
    #[must_use]
    pub fn broken_promises(&self) -> Vec<String> {
        promises::broken_promises(&self.records())
    }

    fn peak(&self, worker: &FakeWorker) -> WorkerPeak {
        WorkerPeak {
            worker: worker.id(),
            size: worker.size(),
            peak: worker.peak(),
            requests: self.traffic.peak_open(worker.id()),
        }
    }

    /// Remembers what must not run twice, from the files that an operator publishes.
    fn note_once(&mut self, files: &[FileText]) {
        let Ok(catalog) = parse_files(files) else {
            return;
        };
        for unit in catalog.units.values() {
            let repeat = match unit.kind {
                Kind::Service { requests, .. } => requests.repeat,
                Kind::Batch { .. } | Kind::Gang { .. } => unit.repeat,
            };
            if repeat == Repeat::Never {
                self.records.at_most_once.insert(unit.name.clone());
            }
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Tick(node, start) => {
                if self.runs(node, start) {
                    let next = self.now + TICK;
                    self.queue.push(next, Happening::Tick(node, start));
                    self.event(node, start, Event::Tick);
                }
            }
            Happening::Event(node, start, event) => self.event(node, start, event),
            Happening::Operator(node, id, req) => {
                let start = self.start_of(node);
                self.event(node, start, Event::Operator(id, req));
            }
            Happening::Peer(delivery) => self.peer_arrives(delivery),
            Happening::Call(call) => self.call_arrives(call),
            Happening::Traffic(step) => self.traffic_step(step),
            Happening::Fault(fault) => self.inject(&fault),
            Happening::Boot(node) => self.boot(node),
            Happening::Resume(node, start) => self.resume(node, start),
            Happening::Look => self.look(),
        }
    }

    /// Hands an event to one start of a node. A paused process takes it later.
    fn event(&mut self, id: NodeId, start: u64, event: Event) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&id).filter(|p| p.start == start) else {
            return;
        };
        if process.is_paused() {
            process.defer(event);
            return;
        }
        let mut actions = Vec::new();
        let local = process.local(now);
        process.node.handle(local, event, &mut actions);
        for action in actions {
            self.act(id, start, action);
        }
    }

    fn act(&mut self, node: NodeId, start: u64, action: Action) {
        match action {
            Action::Table(call, req) => self.call_table(node, start, call, req),
            Action::Object(call, req) => self.call_objects(node, start, call, &req),
            Action::Worker(call, req) => self.call_worker(node, start, call, req),
            Action::Vms => self.call_vms(node, start),
            Action::Operator(id, resp) => self.operator_answered(node, id, resp),
            Action::Peer {
                to,
                needs_new_connection,
                msg,
                ..
            } => self.send_peer(node, start, to, needs_new_connection, msg),
            Action::Dispatch(dispatch) => self.dispatch(&dispatch),
            Action::Forward(forward) => self.forward(&forward),
            Action::Answer(req, answer) => self.answer_kept(req, &answer),
            Action::Refuse(refuse) => {
                let reason = refuse.reason.as_str();
                self.refuse(refuse.req, refuse.verdict, reason, refuse.retry_after);
            }
            Action::Exit => self.exit(node, start),
        }
    }

    fn operator_answered(&mut self, node: NodeId, id: OperatorCallId, resp: OperatorResp) {
        match &resp {
            OperatorResp::Done { message, version } => {
                if *version > 0 {
                    self.records.accepted_versions.push((self.now, *version));
                }
                self.log.add(self.now, format!("{node} did: {message}"));
            }
            OperatorResp::Failed { verdict, message } => {
                let line = format!("{node} refused ({verdict}): {message}");
                self.log.add(self.now, line);
            }
            OperatorResp::Status(_)
            | OperatorResp::Changes { .. }
            | OperatorResp::Recalls(_)
            | OperatorResp::InForce { .. } => {}
        }
        self.answers.insert(id, resp);
    }

    /// Looks at the cell from outside.
    fn look(&mut self) {
        self.queue.push(self.now + LOOK, Happening::Look);
        self.platform.advance(self.now);
        self.log.look(self.now, &self.platform);
        for (id, process) in self.processes.iter().filter(|(_, p)| !p.is_paused()) {
            let dump = process.node.dump(process.local(self.now));
            self.records.versions.push(VersionObservation {
                at: self.now,
                node: *id,
                incarnation: process.incarnation(),
                version: dump.config_version,
                is_ready: process.node.is_ready(),
            });
        }
    }
}

fn place(i: u32, cfg: &CellConfig) -> Place {
    let domain = i % cfg.platform.domains + 1;
    let region = (domain - 1) % cfg.platform.regions.max(1) + 1;
    Place {
        node: NodeId(i + 1),
        region: format!("r{region}").parse().expect("a short name is valid"),
        domain: format!("d{domain}").parse().expect("a short name is valid"),
    }
}
