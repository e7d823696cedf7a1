//! An in-memory platform: a table with a feed, workers that execute all orders, and switches for faults
//! of the table.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use cluster::{
    AccessSettings, Approval, Approver, AskError, CallError, Clock, CommitError, Directory,
    FeedError, FeedPage, Metrics, Node, NodeSettings, Page, Route, Routes, Row, RowKey,
    StartOutcome, Table, Transaction, Versioned, WorkerChanges, Workers,
};
use jobs::{ApprovalCost, End, EndKind, Job, Queue, Step, StepKey, TaskKey};
use model::Size;
use sched::{
    CandidacyConfig, EndedRow, LeaseRow, Listing, PollFailure, PollOrder, RunningRow, SchedConfig,
    StartAnswer, StartOrder, StopOrder, WorkerInfo,
};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, timeout},
};

/// How long a test waits for a condition before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long tickets are valid: longer than any test takes.
const TICKET_VALIDITY: Duration = Duration::from_secs(60);

/// A fault of a node's calls to the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    /// Calls are served.
    #[default]
    None,
    /// Calls are refused and have no effect.
    Refuses,
    /// Calls are not answered and have no effect.
    Silent,
    /// Transactions are stored, but their answers are lost.
    LosesAnswers,
    /// Transactions are stored, and the calls wait for an answer that never comes.
    HoldsAnswers,
    /// Transactions are refused, and reads are served.
    RefusesTransactions,
    /// Transactions with rows of jobs are not answered, and are carried out this much later if their conditions hold then.
    CarriesOutJobsLate(Duration),
    /// Transactions with rows of jobs are not answered, and wait for [`Platform::carry_out_held`].
    KeepsJobs,
    /// The next transaction that deletes rows of jobs is not answered, and waits for [`Platform::carry_out_held`].
    KeepsDeletion,
    /// The next transaction that deletes rows of jobs is stored, and its answer is lost.
    LosesDeletionAnswer,
}

/// The rows of all tables, and the log of their changes.
#[derive(Default)]
struct Store {
    version: u64,
    rows: BTreeMap<(String, String, String), (Vec<u8>, u64)>,
    log: Vec<(u64, &'static str, Row)>,
}

/// The tasks of a worker.
#[derive(Default)]
struct WorkerState {
    fence: u64,
    running: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRow>,
    last_number: u64,
    started: BTreeSet<(TaskKey, u32)>,
}

/// The state of the platform, shared by all nodes.
pub struct SharedState {
    store: RefCell<Store>,
    workers: BTreeMap<Arc<str>, RefCell<WorkerState>>,
    /// The workers that answer no calls.
    pub silent: RefCell<BTreeSet<Arc<str>>>,
    pub routes: RefCell<Routes>,
    /// How long the table takes for each call. Transactions of a part are executed one at a time.
    pub table_time: Cell<Duration>,
    /// When the last transaction of each part ends.
    part_times: RefCell<BTreeMap<String, Instant>>,
    /// How long each task takes.
    pub task_time: Cell<Duration>,
    /// The number of approval requests for each step.
    pub asked: RefCell<BTreeMap<StepKey, u32>>,
    /// How many stop orders fail, from the next one on. Each takes longer than schedulers pause between two.
    pub stops_to_fail: Cell<u32>,
    /// The runs with a stop order that is not answered yet.
    open_stops: RefCell<BTreeSet<(TaskKey, u32)>>,
    /// Whether a stop order was sent beside an open one for the same run.
    pub is_stop_doubled: Cell<bool>,
    /// Whether the next call for changes of workers panics.
    pub next_changes_panic: Cell<bool>,
    /// Whether the next transaction of the scheduler panics.
    pub next_renewal_panics: Cell<bool>,
    /// How often a node has closed its idle connections to workers.
    pub disconnects: Cell<u32>,
    /// The transactions that wait to be carried out.
    held: RefCell<Vec<Transaction>>,
    started_at: Instant,
}

/// A node's access to the platform.
#[derive(Clone)]
pub struct Platform {
    pub shared: Rc<SharedState>,
    pub fault: Rc<Cell<TableFault>>,
}

pub fn queue() -> Queue {
    Queue {
        name: "lookups".into(),
        pool: "desk".into(),
        max_failures: 2,
        approval: Some(ApprovalCost {
            base_ms: 1.0,
            per_worker_ms: 0.1,
            valid: TICKET_VALIDITY,
        }),
        ..Queue::default()
    }
}

pub fn route() -> Route {
    Route {
        host: "desk.example".into(),
        path_prefix: "/l/".into(),
        queue: queue(),
        is_anonymous: false,
    }
}

pub fn job(tasks: u32) -> Job {
    Job {
        queue: queue(),
        spec: "look".into(),
        steps: vec![Step {
            tasks,
            size: Size::new(1_000, 1_000, 0),
            ..Step::default()
        }],
        ..Job::default()
    }
}

/// Creates a platform with three workers.
pub fn platform() -> Platform {
    let workers = ["w1", "w2", "w3"].map(|name| (Arc::from(name), RefCell::default()));
    let shared = SharedState {
        store: RefCell::default(),
        workers: workers.into_iter().collect(),
        silent: RefCell::default(),
        routes: RefCell::new(Routes::new(1, [route()])),
        table_time: Cell::default(),
        part_times: RefCell::default(),
        task_time: Cell::new(Duration::from_millis(20)),
        asked: RefCell::default(),
        stops_to_fail: Cell::default(),
        open_stops: RefCell::default(),
        is_stop_doubled: Cell::default(),
        next_changes_panic: Cell::default(),
        next_renewal_panics: Cell::default(),
        disconnects: Cell::default(),
        held: RefCell::default(),
        started_at: Instant::now(),
    };
    Platform {
        shared: Rc::new(shared),
        fault: Rc::default(),
    }
}

impl Platform {
    /// Returns access to the same platform for another node, with its own fault switch.
    pub fn for_another(&self) -> Self {
        Self {
            fault: Rc::default(),
            ..self.clone()
        }
    }

    /// Returns the number of rows of a table.
    pub fn rows(&self, table: &str) -> usize {
        let store = self.shared.store.borrow();
        store.rows.keys().filter(|(t, _, _)| t == table).count()
    }

    /// Returns whether the table of jobs has a row with this key.
    pub fn has_job_row(&self, key: &str) -> bool {
        let store = self.shared.store.borrow();
        store
            .rows
            .keys()
            .any(|(table, _, k)| table == "jobs" && k == key)
    }

    /// Returns the versions of the guards of the parts of the table of jobs.
    pub fn guard_versions(&self) -> Vec<u64> {
        let store = self.shared.store.borrow();
        let guards = store.rows.iter().filter(|((t, _, _), _)| t == "guards");
        guards.map(|(_, (_, version))| *version).collect()
    }

    /// Returns the lease row, if there is one.
    pub fn lease(&self) -> Option<LeaseRow> {
        let store = self.shared.store.borrow();
        let mut rows = store.rows.iter().filter(|((t, _, _), _)| t == "lease");
        rows.next()
            .map(|(_, (value, _))| jobs::decode(value).unwrap())
    }

    /// Replaces the lease row with one of another node at this address.
    pub fn name_scheduler(&self, node: &str, address: SocketAddr) {
        let mut store = self.shared.store.borrow_mut();
        let store = &mut *store;
        let mut rows = store.rows.iter_mut();
        let ((_, _, key), (value, version)) =
            rows.find(|((table, _, _), _)| table == "lease").unwrap();
        let old: LeaseRow = jobs::decode(value).unwrap();
        *value = jobs::encode(&LeaseRow {
            holder: node.to_owned(),
            address: address.to_string(),
            epoch: old.next_epoch(),
            ..old
        });
        store.version += 1;
        *version = store.version;
        let row = Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        };
        store.log.push((*version, "lease", row));
    }

    /// Returns the number of runs that were started on workers.
    pub fn starts(&self) -> usize {
        self.shared
            .workers
            .values()
            .map(|worker| worker.borrow().started.len())
            .sum()
    }

    /// Returns the workers that run tasks.
    pub fn busy_workers(&self) -> Vec<Arc<str>> {
        let workers = self.shared.workers.iter();
        let busy = workers.filter(|(_, worker)| !worker.borrow().running.is_empty());
        busy.map(|(name, _)| name.clone()).collect()
    }

    fn is_silent(&self, worker: &WorkerInfo) -> bool {
        self.shared.silent.borrow().contains(&worker.name)
    }

    /// Waits for the transactions of a part before this one, and for this one.
    async fn wait_for_part(&self, part: &str) {
        let end = {
            let mut times = self.shared.part_times.borrow_mut();
            let now = Instant::now();
            let end = times.entry(part.to_owned()).or_insert(now);
            *end = now.max(*end) + self.shared.table_time.get();
            *end
        };
        tokio::time::sleep_until(end).await;
    }

    /// Returns `refused` if the current fault prevents the call, after a long wait if the table is silent.
    async fn injected_error<T>(&self, refused: T) -> Option<T> {
        match self.fault.get() {
            TableFault::None
            | TableFault::LosesAnswers
            | TableFault::HoldsAnswers
            | TableFault::RefusesTransactions
            | TableFault::CarriesOutJobsLate(_)
            | TableFault::KeepsJobs
            | TableFault::KeepsDeletion
            | TableFault::LosesDeletionAnswer => None,
            TableFault::Refuses => Some(refused),
            TableFault::Silent => {
                sleep(WAIT_TIMEOUT).await;
                Some(refused)
            }
        }
    }
}

impl Platform {
    /// Keeps a transaction whose answer is lost.
    fn hold(&self, tx: &Transaction) -> CommitError {
        self.shared.held.borrow_mut().push(tx.clone());
        CommitError::Unknown("the answer was lost".into())
    }

    /// Carries out the transactions that wait, and returns whether the conditions of each hold.
    pub fn carry_out_held(&self) -> Vec<bool> {
        let held = self.shared.held.take();
        let mut store = self.shared.store.borrow_mut();
        held.iter()
            .map(|tx| apply(&mut store, tx).is_ok())
            .collect()
    }
}

fn row_index(key: &RowKey) -> (String, String, String) {
    (key.table.to_owned(), key.part.clone(), key.key.clone())
}

impl Table for Platform {
    async fn commit(&self, tx: &Transaction) -> Result<u64, CommitError> {
        let is_renewal = tx.set.iter().any(|(key, _)| key.table == "lease");
        if is_renewal {
            assert!(!self.shared.next_renewal_panics.take(), "as the test wants");
        }
        if let Some(e) = self
            .injected_error(CommitError::NotStored("503".into()))
            .await
        {
            return Err(e);
        }
        if self.fault.get() == TableFault::RefusesTransactions {
            return Err(CommitError::NotStored("503".into()));
        }
        let has_job =
            (tx.set.iter()).any(|(key, _)| key.table == "jobs" && !key.key.ends_with('!'));
        let deletes_job = tx.delete.iter().any(|key| key.table == "jobs");
        match self.fault.get() {
            TableFault::CarriesOutJobsLate(delay) if has_job => {
                let (shared, tx) = (self.shared.clone(), tx.clone());
                spawn_local(async move {
                    sleep(delay).await;
                    // Nobody waits for the answer any more.
                    let _ = apply(&mut shared.store.borrow_mut(), &tx);
                });
                return Err(CommitError::Unknown("the answer was lost".into()));
            }
            TableFault::KeepsJobs if has_job => return Err(self.hold(tx)),
            TableFault::KeepsDeletion if deletes_job => {
                self.fault.set(TableFault::None);
                return Err(self.hold(tx));
            }
            TableFault::LosesDeletionAnswer if deletes_job => {
                let outcome = apply(&mut self.shared.store.borrow_mut(), tx);
                if outcome.is_ok() {
                    self.fault.set(TableFault::None);
                    return Err(CommitError::Unknown("the answer was lost".into()));
                }
                return outcome;
            }
            _ => {}
        }
        if let Some((key, _)) = tx.set.first() {
            self.wait_for_part(&key.part).await;
        }
        let fault = self.fault.get();
        let outcome = apply(&mut self.shared.store.borrow_mut(), tx);
        if fault == TableFault::HoldsAnswers {
            sleep(WAIT_TIMEOUT).await;
        }
        if matches!(fault, TableFault::LosesAnswers | TableFault::HoldsAnswers) {
            return Err(CommitError::Unknown("the answer was lost".into()));
        }
        outcome
    }

    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Result<Page, CallError> {
        if let Some(e) = self.injected_error(CallError::Refused("503".into())).await {
            return Err(e);
        }
        sleep(self.shared.table_time.get()).await;
        let store = self.shared.store.borrow();
        let rows = store.rows.iter().filter(|((t, p, key), _)| {
            t == table && p == part && key.as_str() >= from && to.is_none_or(|to| key.as_str() < to)
        });
        let rows = rows.map(|((_, _, key), (value, version))| Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        });
        Ok(Page {
            rows: rows.collect(),
            has_more: false,
            version: store.version,
        })
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait: Duration,
    ) -> Result<FeedPage, FeedError> {
        let refused = FeedError::Call(CallError::Refused("503".into()));
        if let Some(e) = self.injected_error(refused).await {
            return Err(e);
        }
        let page = || {
            let store = self.shared.store.borrow();
            let rows = store
                .log
                .iter()
                .filter(|(v, t, _)| *v > after && *t == table);
            FeedPage {
                rows: rows.map(|(_, _, row)| row.clone()).collect(),
                version: store.version,
            }
        };
        let deadline = Instant::now() + wait;
        while page().rows.is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        if self.fault.get() == TableFault::Refuses {
            return Err(FeedError::Call(CallError::Refused("503".into())));
        }
        let page = page();
        sleep(self.shared.table_time.get()).await;
        Ok(page)
    }
}

fn apply(store: &mut Store, tx: &Transaction) -> Result<u64, CommitError> {
    let version_of = |key: &RowKey| {
        store
            .rows
            .get(&row_index(key))
            .map_or(0, |(_, version)| *version)
    };
    if tx
        .expected
        .iter()
        .any(|(key, version)| version_of(key) != *version)
    {
        let current = tx.expected.iter().map(|(key, _)| Row {
            key: key.key.clone(),
            value: store
                .rows
                .get(&row_index(key))
                .map(|(value, _)| value.clone()),
            version: version_of(key),
        });
        return Err(CommitError::Conflict {
            current: current.collect(),
        });
    }
    store.version += 1;
    let version = store.version;
    for (key, value) in &tx.set {
        store.rows.insert(row_index(key), (value.clone(), version));
        let row = Row {
            key: key.key.clone(),
            value: Some(value.clone()),
            version,
        };
        store.log.push((version, key.table, row));
    }
    for key in &tx.delete {
        if store.rows.remove(&row_index(key)).is_some() {
            let row = Row {
                key: key.key.clone(),
                value: None,
                version,
            };
            store.log.push((version, key.table, row));
        }
    }
    Ok(version)
}

impl Workers for Platform {
    async fn start(
        &self,
        to: &WorkerInfo,
        order: &StartOrder,
        _: Duration,
        _: impl Fn() -> bool,
    ) -> StartOutcome {
        if self.is_silent(to) {
            return StartAnswer::Unknown.into();
        }
        let worker = &self.shared.workers[&to.name];
        {
            let mut worker = worker.borrow_mut();
            if order.fence < worker.fence {
                return StartAnswer::Fenced.into();
            }
            worker.fence = order.fence;
            assert!(order.ticket.is_some(), "a start without a ticket");
            if !worker.started.insert((order.key, order.run)) {
                return StartAnswer::Started.into();
            }
            worker.running.insert(order.key, order.run);
        }
        let (shared, name) = (self.shared.clone(), to.name.clone());
        let (key, run) = (order.key, order.run);
        spawn_local(async move {
            sleep(shared.task_time.get()).await;
            shared.end(&name, key, run, EndKind::Done);
        });
        StartAnswer::Started.into()
    }

    async fn stop(&self, to: &WorkerInfo, _: u64, order: &StopOrder) -> Result<(), CallError> {
        let run = (order.key, order.run);
        if !self.shared.open_stops.borrow_mut().insert(run) {
            self.shared.is_stop_doubled.set(true);
        }
        let failures = self.shared.stops_to_fail.get();
        if failures > 0 {
            self.shared.stops_to_fail.set(failures - 1);
            sleep(SchedConfig::default().stop_retry * 2).await;
        }
        self.shared.open_stops.borrow_mut().remove(&run);
        if failures > 0 {
            return Err(CallError::NoAnswer("reset".into()));
        }
        self.shared
            .end(&to.name, order.key, order.run, EndKind::Interrupted);
        Ok(())
    }

    async fn poll(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &PollOrder,
    ) -> Result<Listing, PollFailure> {
        if self.is_silent(to) {
            return Err(PollFailure::Silent);
        }
        let worker = &self.shared.workers[&to.name];
        {
            let mut worker = worker.borrow_mut();
            if fence < worker.fence {
                return Err(PollFailure::Fenced);
            }
            worker.fence = fence;
            worker.ended.retain(|row| row.number > order.acknowledged);
        }
        let deadline = Instant::now() + order.wait;
        while worker.borrow().ended.is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        let worker = worker.borrow();
        let running = worker.running.iter().map(|(&key, &run)| RunningRow {
            key,
            run,
            ..RunningRow::default()
        });
        Ok(Listing {
            started_unix_ms: 1,
            clock_ms: 1 + u64::try_from(self.shared.started_at.elapsed().as_millis()).unwrap(),
            running: running.collect(),
            ended: worker.ended.clone(),
        })
    }

    fn disconnect(&self) {
        self.shared
            .disconnects
            .set(self.shared.disconnects.get() + 1);
    }
}

impl SharedState {
    fn end(&self, worker: &Arc<str>, key: TaskKey, run: u32, kind: EndKind) {
        let mut worker = self.workers[worker].borrow_mut();
        if worker.running.get(&key) != Some(&run) {
            return;
        }
        worker.running.remove(&key);
        worker.last_number += 1;
        let number = worker.last_number;
        let end = End {
            key,
            run,
            kind,
            checkpoint: String::new(),
        };
        worker.ended.push(EndedRow { number, end });
    }
}

impl Approver for Platform {
    async fn ask(&self, step: StepKey, workers: &[Arc<str>]) -> Result<Approval, AskError> {
        *self.shared.asked.borrow_mut().entry(step).or_default() += 1;
        Ok(Approval {
            allowed: workers
                .iter()
                .map(|name| (name.clone(), Arc::from("ticket")))
                .collect(),
            valid: TICKET_VALIDITY,
        })
    }
}

impl Directory for Platform {
    async fn workers(&self) -> Result<Versioned<Vec<WorkerInfo>>, CallError> {
        if let Some(e) = self.injected_error(CallError::Refused("503".into())).await {
            return Err(e);
        }
        let info = |name: &Arc<str>| WorkerInfo {
            name: name.clone(),
            address: name.to_string(),
            pool: "desk".into(),
            size: Size::new(8_000, 8_000, 0),
            started_unix_ms: 1,
            ..WorkerInfo::default()
        };
        Ok(Versioned {
            value: self.shared.workers.keys().map(info).collect(),
            version: 1,
        })
    }

    async fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<WorkerChanges>, FeedError> {
        let refused = FeedError::Call(CallError::Refused("503".into()));
        if let Some(e) = self.injected_error(refused).await {
            return Err(e);
        }
        assert!(!self.shared.next_changes_panic.take(), "as the test wants");
        sleep(wait).await;
        Ok(Versioned {
            value: WorkerChanges::new(),
            version: after,
        })
    }

    async fn routes(&self) -> Result<Versioned<Option<Routes>>, CallError> {
        if let Some(e) = self.injected_error(CallError::Refused("503".into())).await {
            return Err(e);
        }
        Ok(Versioned {
            value: Some(self.shared.routes.borrow().clone()),
            version: 1,
        })
    }

    async fn route_changes(
        &self,
        after: u64,
        _: Duration,
    ) -> Result<Versioned<Option<Routes>>, FeedError> {
        let refused = FeedError::Call(CallError::Refused("503".into()));
        if let Some(e) = self.injected_error(refused).await {
            return Err(e);
        }
        sleep(Duration::from_millis(20)).await;
        Ok(Versioned {
            value: Some(self.shared.routes.borrow().clone()),
            version: after,
        })
    }
}

/// Starts a node, and waits until it has a configuration.
pub async fn start(name: &str, rank: u32, platform: &Platform) -> Node<Platform> {
    start_with(name, rank, platform, AccessSettings::default()).await
}

/// Starts a node with settings for keys, and waits until it has a configuration.
pub async fn start_with(
    name: &str,
    rank: u32,
    platform: &Platform,
    access: AccessSettings,
) -> Node<Platform> {
    let (node, running) = start_running(name, rank, platform, access).await;
    // The node runs on without its handle.
    drop(running);
    node
}

/// Starts a node, waits until it has a configuration, and also returns the task that runs it.
pub async fn start_running(
    name: &str,
    rank: u32,
    platform: &Platform,
    access: AccessSettings,
) -> (Node<Platform>, JoinHandle<()>) {
    start_adjusted(name, rank, platform, |settings| settings.access = access).await
}

/// Starts a node whose scheduler keeps cancellations of unknown jobs, and ended jobs, for `retention`, and waits until it has a
/// configuration.
pub async fn start_with_retention(
    name: &str,
    rank: u32,
    platform: &Platform,
    retention: Duration,
) -> Node<Platform> {
    let adjust = |settings: &mut NodeSettings| {
        settings.sched.early_cancel_retention = retention;
        settings.sched.job_retention = retention;
    };
    let (node, running) = start_adjusted(name, rank, platform, adjust).await;
    // The node runs on without its handle.
    drop(running);
    node
}

async fn start_adjusted(
    name: &str,
    rank: u32,
    platform: &Platform,
    adjust: impl FnOnce(&mut NodeSettings),
) -> (Node<Platform>, JoinHandle<()>) {
    let links = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let mut settings = NodeSettings {
        name: name.into(),
        link_address: links.local_addr().unwrap(),
        rank,
        processor_milli: 1_000,
        policy: cluster::NodePolicy::default(),
        sched: SchedConfig::default(),
        candidacy: CandidacyConfig::default(),
        access: AccessSettings::default(),
        links: cluster::InboundLimits::default(),
    };
    adjust(&mut settings);
    let node = Node::new(
        settings,
        Clock::runtime(),
        platform.clone(),
        Metrics::default(),
    );
    let running = node.clone();
    let running = spawn_local(async move { running.run(links).await });
    until("the configuration is in force", || node.is_ready()).await;
    (node, running)
}

/// Waits until `condition` returns true. Panics after [`WAIT_TIMEOUT`]; `what` describes the condition.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        timeout(WAIT_TIMEOUT, waiting).await.is_ok(),
        "not within {WAIT_TIMEOUT:?}: {what}"
    );
}

/// Returns a deadline as a client would set it.
pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}
