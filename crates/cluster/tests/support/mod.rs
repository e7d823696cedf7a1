//! A platform in memory: a table with a feed, workers that do as told, and switches for faults.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use cluster::{
    Approval, Approver, AskError, CallError, Clock, CommitError, Directory, FeedError, FeedPage,
    Metrics, Node, NodeSettings, Page, Route, Routes, Row, RowKey, Table, Transaction, Versioned,
    WorkerChanges, Workers,
};
use jobs::{ApprovalCost, End, EndKind, Job, Queue, Step, StepKey, TaskKey};
use model::Size;
use sched::{
    CandidacyConfig, EndedRow, Listing, PollFailure, PollOrder, RunningRow, SchedConfig,
    StartAnswer, StartOrder, StopOrder, WorkerInfo,
};
use tokio::{
    net::TcpListener,
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

/// Whatever a test waits for comes within this time, or the test fails.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long tickets hold: longer than any test takes.
const TICKETS_HOLD: Duration = Duration::from_secs(60);

/// What becomes of calls to the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    /// They are served.
    #[default]
    None,
    /// They are refused, and nothing is done.
    Refuses,
    /// They are not answered, and nothing is done.
    Silent,
    /// Transactions are done and not answered.
    LosesAnswers,
}

#[derive(Default)]
struct Store {
    version: u64,
    rows: BTreeMap<(String, String, String), (Vec<u8>, u64)>,
    log: Vec<(u64, &'static str, Row)>,
}

#[derive(Default)]
struct Host {
    fence: u64,
    running: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRow>,
    last: u64,
    started: BTreeSet<(TaskKey, u32)>,
}

/// What all nodes share.
pub struct World {
    store: RefCell<Store>,
    hosts: BTreeMap<Arc<str>, RefCell<Host>>,
    pub routes: RefCell<Routes>,
    /// How long each task takes.
    pub task_time: Cell<Duration>,
    /// How often approvals were asked for.
    pub asked: RefCell<BTreeMap<StepKey, u32>>,
    began: Instant,
}

/// A node's way to the platform.
#[derive(Clone)]
pub struct Platform {
    pub world: Rc<World>,
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
            valid: TICKETS_HOLD,
        }),
        ..Queue::default()
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

/// A platform with three workers.
pub fn platform() -> Platform {
    let hosts = ["w1", "w2", "w3"].map(|name| (Arc::from(name), RefCell::default()));
    let route = Route {
        host: "desk.example".into(),
        path_prefix: "/l/".into(),
        queue: queue(),
    };
    let world = World {
        store: RefCell::default(),
        hosts: hosts.into_iter().collect(),
        routes: RefCell::new(Routes::new(1, [route])),
        task_time: Cell::new(Duration::from_millis(20)),
        asked: RefCell::default(),
        began: Instant::now(),
    };
    Platform {
        world: Rc::new(world),
        fault: Rc::default(),
    }
}

impl Platform {
    /// The same platform as another node reaches it, with faults of its own.
    pub fn for_another(&self) -> Self {
        Self {
            fault: Rc::default(),
            ..self.clone()
        }
    }

    /// How many rows of a table there are.
    pub fn rows(&self, table: &str) -> usize {
        let store = self.world.store.borrow();
        store.rows.keys().filter(|(t, _, _)| t == table).count()
    }

    /// How often tasks were started on workers.
    pub fn starts(&self) -> usize {
        self.world
            .hosts
            .values()
            .map(|host| host.borrow().started.len())
            .sum()
    }

    async fn faulty<T>(&self, refused: T) -> Option<T> {
        match self.fault.get() {
            TableFault::None | TableFault::LosesAnswers => None,
            TableFault::Refuses => Some(refused),
            TableFault::Silent => {
                sleep(PATIENCE).await;
                Some(refused)
            }
        }
    }
}

fn full(key: &RowKey) -> (String, String, String) {
    (key.table.to_owned(), key.part.clone(), key.key.clone())
}

impl Table for Platform {
    async fn commit(&self, tx: &Transaction) -> Result<u64, CommitError> {
        if let Some(e) = self.faulty(CommitError::NotStored("503".into())).await {
            return Err(e);
        }
        let outcome = apply(&mut self.world.store.borrow_mut(), tx);
        if self.fault.get() == TableFault::LosesAnswers {
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
        if let Some(e) = self.faulty(CallError::Refused("503".into())).await {
            return Err(e);
        }
        let store = self.world.store.borrow();
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
        if let Some(e) = self.faulty(refused).await {
            return Err(e);
        }
        let news = || {
            let store = self.world.store.borrow();
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
        while news().rows.is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        Ok(news())
    }
}

fn apply(store: &mut Store, tx: &Transaction) -> Result<u64, CommitError> {
    let version_of = |key: &RowKey| {
        store
            .rows
            .get(&full(key))
            .map_or(0, |(_, version)| *version)
    };
    if tx
        .expected
        .iter()
        .any(|(key, version)| version_of(key) != *version)
    {
        let current = tx.expected.iter().map(|(key, _)| Row {
            key: key.key.clone(),
            value: store.rows.get(&full(key)).map(|(value, _)| value.clone()),
            version: version_of(key),
        });
        return Err(CommitError::Conflict {
            current: current.collect(),
        });
    }
    store.version += 1;
    let version = store.version;
    for (key, value) in &tx.set {
        store.rows.insert(full(key), (value.clone(), version));
        let row = Row {
            key: key.key.clone(),
            value: Some(value.clone()),
            version,
        };
        store.log.push((version, key.table, row));
    }
    for key in &tx.delete {
        store.rows.remove(&full(key));
    }
    Ok(version)
}

impl Workers for Platform {
    async fn start(&self, to: &WorkerInfo, fence: u64, order: &StartOrder) -> StartAnswer {
        let host = &self.world.hosts[&to.name];
        {
            let mut host = host.borrow_mut();
            if fence < host.fence {
                return StartAnswer::Fenced;
            }
            host.fence = fence;
            assert!(order.ticket.is_some(), "a start without a ticket");
            if !host.started.insert((order.key, order.run)) {
                return StartAnswer::Started;
            }
            host.running.insert(order.key, order.run);
        }
        let (world, name) = (self.world.clone(), to.name.clone());
        let (key, run) = (order.key, order.run);
        spawn_local(async move {
            sleep(world.task_time.get()).await;
            world.end(&name, key, run, EndKind::Done);
        });
        StartAnswer::Started
    }

    async fn stop(&self, to: &WorkerInfo, _: u64, order: &StopOrder) -> Result<(), CallError> {
        self.world
            .end(&to.name, order.key, order.run, EndKind::Interrupted);
        Ok(())
    }

    async fn poll(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &PollOrder,
    ) -> Result<Listing, PollFailure> {
        let host = &self.world.hosts[&to.name];
        {
            let mut host = host.borrow_mut();
            if fence < host.fence {
                return Err(PollFailure::Fenced);
            }
            host.fence = fence;
            host.ended.retain(|row| row.number > order.acknowledged);
        }
        let deadline = Instant::now() + order.wait;
        while host.borrow().ended.is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        let host = host.borrow();
        let running = host.running.iter().map(|(&key, &run)| RunningRow {
            key,
            run,
            ..RunningRow::default()
        });
        Ok(Listing {
            started_unix_ms: 1,
            clock_ms: 1 + u64::try_from(self.world.began.elapsed().as_millis()).unwrap(),
            running: running.collect(),
            ended: host.ended.clone(),
        })
    }
}

impl World {
    fn end(&self, host: &Arc<str>, key: TaskKey, run: u32, kind: EndKind) {
        let mut host = self.hosts[host].borrow_mut();
        if host.running.get(&key) != Some(&run) {
            return;
        }
        host.running.remove(&key);
        host.last += 1;
        let number = host.last;
        let end = End {
            key,
            run,
            kind,
            checkpoint: String::new(),
        };
        host.ended.push(EndedRow { number, end });
    }
}

impl Approver for Platform {
    async fn ask(&self, step: StepKey, workers: &[Arc<str>]) -> Result<Approval, AskError> {
        *self.world.asked.borrow_mut().entry(step).or_default() += 1;
        Ok(Approval {
            allowed: workers
                .iter()
                .map(|name| (name.clone(), Arc::from("ticket")))
                .collect(),
            valid: TICKETS_HOLD,
        })
    }
}

impl Directory for Platform {
    async fn workers(&self) -> Result<Versioned<Vec<WorkerInfo>>, CallError> {
        if let Some(e) = self.faulty(CallError::Refused("503".into())).await {
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
            value: self.world.hosts.keys().map(info).collect(),
            version: 1,
        })
    }

    async fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<WorkerChanges>, FeedError> {
        let refused = FeedError::Call(CallError::Refused("503".into()));
        if let Some(e) = self.faulty(refused).await {
            return Err(e);
        }
        sleep(wait).await;
        Ok(Versioned {
            value: WorkerChanges::new(),
            version: after,
        })
    }

    async fn routes(&self) -> Result<Versioned<Option<Routes>>, CallError> {
        if let Some(e) = self.faulty(CallError::Refused("503".into())).await {
            return Err(e);
        }
        Ok(Versioned {
            value: Some(self.world.routes.borrow().clone()),
            version: 1,
        })
    }

    async fn route_changes(
        &self,
        after: u64,
        _: Duration,
    ) -> Result<Versioned<Option<Routes>>, FeedError> {
        let refused = FeedError::Call(CallError::Refused("503".into()));
        if let Some(e) = self.faulty(refused).await {
            return Err(e);
        }
        sleep(Duration::from_millis(20)).await;
        Ok(Versioned {
            value: Some(self.world.routes.borrow().clone()),
            version: after,
        })
    }
}

/// Starts a node.
pub async fn start(name: &str, rank: u32, platform: &Platform) -> Node<Platform> {
    let links = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let settings = NodeSettings {
        name: name.into(),
        link_address: links.local_addr().unwrap(),
        rank,
        sched: SchedConfig::default(),
        candidacy: CandidacyConfig::default(),
    };
    let node = Node::new(
        settings,
        Clock::runtime(),
        platform.clone(),
        Metrics::default(),
    );
    let running = node.clone();
    spawn_local(async move { running.run(links).await });
    until("the configuration is in force", || node.is_ready()).await;
    node
}

/// Waits until something is so.
pub async fn until(what: &str, is_so: impl Fn() -> bool) {
    let waiting = async {
        while !is_so() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(
        timeout(PATIENCE, waiting).await.is_ok(),
        "not within {PATIENCE:?}: {what}"
    );
}

/// A deadline that a client would set.
pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}
