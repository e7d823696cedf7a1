//! A simulation of a whole cell in one process, on virtual time.
//!
//! The cell runs the state machines of the daemon on the fake platform of `fakes`, with simulated callers, backend
//! servers and network links, and with faults drawn from a seed. All actions go through one event queue, so a seed
//! always gives the same run.

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
    links::{Links, NodeLocation},
    log::Log,
    peers::MessageInFlight,
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

/// The interval of a node's tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which the cell's externally visible state is recorded.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// The longest time that an operator waits for an answer.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(60);

/// An event of the simulation.
#[derive(Clone, Debug)]
enum SimEvent {
    /// A tick of the process of a node with this start number.
    Tick(NodeId, u64),
    /// An event for the process of a node with this start number.
    Event(NodeId, u64, Event),
    /// An operator's call for the process that runs on the node's VM at the time.
    Operator(NodeId, OperatorCallId, OperatorReq),
    Peer(MessageInFlight),
    Call(PlatformCall),
    Traffic(TrafficStep),
    Fault(Fault),
    /// The start of a process on the node's VM.
    StartProcess(NodeId),
    /// The end of a pause of the process of a node with this start number.
    Resume(NodeId, u64),
    /// The periodic recording of the cell's externally visible state.
    Observe,
}

/// Counts of the messages and calls in a cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Costs {
    /// The number of messages between nodes.
    pub peer_messages: u64,
    /// The number of calls to workers.
    pub worker_calls: u64,
    /// The number of read calls to the table.
    pub table_reads: u64,
    /// The number of attempted transactions on the table.
    pub table_writes: u64,
    /// The number of requests that were forwarded to a node of another region.
    pub cross_region_requests: u64,
}

/// A simulated cell on virtual time.
#[derive(Debug)]
pub struct Cell {
    cfg: CellConfig,
    now: Time,
    rng: Rng,
    queue: Queue<SimEvent>,
    platform: FakePlatform,
    faults: Faults,
    links: Links,
    locations: BTreeMap<NodeId, NodeLocation>,
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
    /// Creates a cell and schedules the start of its nodes and, depending on the fault level, random faults.
    ///
    /// # Panics
    ///
    /// Does not panic: the generated names of domains and regions are valid.
    #[must_use]
    pub fn new(cfg: &CellConfig) -> Self {
        let mut cell = Self {
            now: Time::ZERO,
            rng: Rng::new(cfg.seed ^ 0x6365_6c6c),
            queue: Queue::default(),
            platform: FakePlatform::new(&cfg.platform),
            faults: Faults::new(cfg.seed, cfg.faults),
            links: Links::new(cfg.seed, cfg.faults),
            locations: BTreeMap::new(),
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
            let location = location(i, cfg);
            cell.locations.insert(location.node, location);
            cell.records.nodes.insert(location.node, location.domain);
            let at = Time::from_ms(u64::from(i));
            cell.queue.push(at, SimEvent::StartProcess(location.node));
        }
        cell.queue.push(Time::ZERO, SimEvent::Observe);
        chaos::schedule(&mut cell);
        cell
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> Time {
        self.now
    }

    /// Runs the cell up to a point in virtual time, given as the time since the start.
    pub fn run_until(&mut self, since_start: Duration) {
        let end = Time::ZERO + since_start;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
        self.platform.advance(end);
    }

    /// Schedules a fault at a point in virtual time, in milliseconds.
    pub fn schedule_fault(&mut self, ms: u64, fault: Fault) {
        self.queue.push(Time::from_ms(ms), SimEvent::Fault(fault));
    }

    /// Starts to send the requests of a load.
    pub fn start_load(&mut self, load: Load) {
        let at = load.from.max(self.now);
        let i = self.callers.add(load);
        let step = TrafficStep::NextRequest(i);
        self.queue.push(at, SimEvent::Traffic(step));
    }

    /// Ends all loads. Requests that were sent before are still processed.
    pub fn stop_load(&mut self) {
        self.callers.stop(self.now);
    }

    /// Sends an operator's call to a node and runs the cell until the call is answered, or for 60 s of virtual
    /// time. Returns the answer, if any.
    pub fn call_operator(&mut self, node: NodeId, req: OperatorReq) -> Option<OperatorResp> {
        let id = self.schedule_operator_call(self.now.as_ms(), node, req);
        let limit = self.now + OPERATOR_TIMEOUT;
        while !self.answers.contains_key(&id) && self.now < limit {
            let next = self.now + TICK_INTERVAL;
            self.run_until(next.since(Time::ZERO));
        }
        self.answers.remove(&id)
    }

    /// Schedules an operator's call at a point in virtual time, in milliseconds. Returns the id for
    /// [`take_answer`](Self::take_answer).
    pub fn schedule_operator_call(
        &mut self,
        ms: u64,
        node: NodeId,
        req: OperatorReq,
    ) -> OperatorCallId {
        if let OperatorReq::Publish { files, .. } = &req {
            self.record_at_most_once(files);
        }
        self.last_operator += 1;
        let id = OperatorCallId(self.last_operator);
        let at = Time::from_ms(ms);
        self.queue.push(at, SimEvent::Operator(node, id, req));
        id
    }

    /// Removes and returns the answer to an operator's call, if it has arrived.
    pub fn take_answer(&mut self, id: OperatorCallId) -> Option<OperatorResp> {
        self.answers.remove(&id)
    }

    /// Returns the nodes whose processes run, are not paused, and are ready to serve.
    #[must_use]
    pub fn ready_nodes(&self) -> Vec<NodeId> {
        let ready = self.processes.iter().filter(|(_, p)| p.is_ready());
        ready.map(|(id, _)| *id).collect()
    }

    /// Returns a node's state as `lacewing dump` shows it, or `None` if its process does not run.
    #[must_use]
    pub fn dump(&self, node: NodeId) -> Option<node::Dump> {
        let process = self.processes.get(&node)?;
        Some(process.node.dump(process.local_time(self.now)))
    }

    /// Returns the event log of the session, one line for each event.
    #[must_use]
    pub fn log(&self) -> &[String] {
        self.log.lines()
    }

    /// Returns the counts of messages and calls so far.
    #[must_use]
    pub fn costs(&self) -> Costs {
        Costs {
            table_reads: self.platform.table.reads(),
            table_writes: self.platform.table.writes(),
            ..self.costs
        }
    }

    /// Returns the fake platform, for example to examine the workers' runs.
    #[must_use]
    pub const fn platform(&self) -> &FakePlatform {
        &self.platform
    }

    /// Returns the externally visible behaviour up to now.
    #[must_use]
    pub fn records(&self) -> Records {
        let mut records = self.records.clone();
        records.end = self.now;
        records.workers = self
            .platform
            .workers()
            .map(|w| self.worker_peak(w))
            .collect();
        let runs = self.platform.workers().flat_map(FakeWorker::runs);
        records.runs = runs.cloned().collect();
        records
    }

    /// Returns the number of a unit's attempts that run now, according to the workers.
    #[must_use]
    pub fn running_attempts(&self, unit: &str) -> usize {
        let runs = self.platform.workers().flat_map(FakeWorker::runs);
        let open = runs.filter(|run| run.ended.is_none() && run.task.unit.as_str() == unit);
        open.count()
    }

    /// Returns the number of a unit's tasks that have a successful attempt, according to the workers.
    #[must_use]
    pub fn succeeded_tasks(&self, unit: &str) -> usize {
        let runs = self.platform.workers().flat_map(FakeWorker::runs);
        let of_unit = runs.filter(|run| run.task.unit.as_str() == unit);
        let ended = of_unit.filter(|run| run.phase == TaskPhase::Succeeded);
        let tasks: BTreeSet<u32> = ended.map(|run| run.task.index).collect();
        tasks.len()
    }

    /// Returns the promises that were broken up to now, one line each. See [`broken_promises`].
    #[must_use]
    pub fn broken_promises(&self) -> Vec<String> {
        promises::broken_promises(&self.records())
    }

    fn worker_peak(&self, worker: &FakeWorker) -> WorkerPeak {
        WorkerPeak {
            worker: worker.id(),
            size: worker.size(),
            peak: worker.peak(),
            requests: self.traffic.peak_open(worker.id()),
        }
    }

    /// Records the units and services of published files that must not run more than once.
    fn record_at_most_once(&mut self, files: &[FileText]) {
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

    /// Processes an event of the simulation.
    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Tick(node, start) => {
                if self.is_running(node, start) {
                    let next = self.now + TICK_INTERVAL;
                    self.queue.push(next, SimEvent::Tick(node, start));
                    self.deliver_event(node, start, Event::Tick);
                }
            }
            SimEvent::Event(node, start, event) => self.deliver_event(node, start, event),
            SimEvent::Operator(node, id, req) => {
                let start = self.current_start(node);
                self.deliver_event(node, start, Event::Operator(id, req));
            }
            SimEvent::Peer(message) => self.deliver_peer_message(message),
            SimEvent::Call(call) => self.execute_call(call),
            SimEvent::Traffic(step) => self.traffic_step(step),
            SimEvent::Fault(fault) => self.inject(&fault),
            SimEvent::StartProcess(node) => self.start_process(node),
            SimEvent::Resume(node, start) => self.resume(node, start),
            SimEvent::Observe => self.observe(),
        }
    }

    /// Delivers an event to the process of a node with this start number. A paused process receives it when it
    /// resumes; if the process has ended, the event is dropped.
    fn deliver_event(&mut self, id: NodeId, start: u64, event: Event) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&id).filter(|p| p.start == start) else {
            return;
        };
        if process.is_paused() {
            process.defer(event);
            return;
        }
        let mut actions = Vec::new();
        let local_time = process.local_time(now);
        process.node.handle(local_time, event, &mut actions);
        for action in actions {
            self.perform(id, start, action);
        }
    }

    /// Performs an action that a node requested.
    fn perform(&mut self, node: NodeId, start: u64, action: Action) {
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
            Action::Answer(req, answer) => self.answer_stored(req, &answer),
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

    /// Records the cell's externally visible state and schedules the next recording.
    fn observe(&mut self) {
        self.queue
            .push(self.now + OBSERVATION_INTERVAL, SimEvent::Observe);
        self.platform.advance(self.now);
        self.log.record_progress(self.now, &self.platform);
        for (id, process) in self.processes.iter().filter(|(_, p)| !p.is_paused()) {
            let dump = process.node.dump(process.local_time(self.now));
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

/// Returns the location of the node with index `i`. Nodes are spread over domains, and domains over regions, in
/// round-robin order.
fn location(i: u32, cfg: &CellConfig) -> NodeLocation {
    let domain = i % cfg.platform.domains + 1;
    let region = (domain - 1) % cfg.platform.regions.max(1) + 1;
    NodeLocation {
        node: NodeId(i + 1),
        region: format!("r{region}").parse().expect("a short name is valid"),
        domain: format!("d{domain}").parse().expect("a short name is valid"),
    }
}
