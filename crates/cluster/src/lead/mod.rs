//! Runs the scheduler on the node that holds the lease: feeds it events, stores its changes and executes
//! its actions.

mod feeds;
mod forget;
mod lists;
mod orders;
mod peers;
mod teams;

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration,
};

use jobs::{Crash, JobId};
use model::WorkerId;
use sched::{Action, Now, Scheduler};
use tokio::{
    sync::{Notify, Semaphore, mpsc},
    task::JoinSet,
    time::{sleep, timeout},
};

use self::lists::{Pools, Schedule};
use crate::{
    Metrics, Node, Ports, Workers, access::Owner, lease::LeaseWriter, message::Message,
    order_times::OrderTimes, recover::FeedPositions, succession::Standing,
};

/// The shortest time between two scheduling passes. Events that arrive within it are handled together.
const PASS_INTERVAL: Duration = Duration::from_millis(4);

/// The pause after a pass, as a multiple of the time that the pass took.
const PASS_PAUSE_FACTOR: u32 = 4;

/// The longest time between two passes while steps wait. Tickets and workers'
/// quarantines expire without an event.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(250);

/// The number of workers that are polled for the first time at the same time. It covers the latency between
/// regions, and leaves room beside workers that do not answer.
const MAX_FIRST_POLLS: usize = 128;

/// Another node that has opened a link to this one.
struct Peer {
    tx: mpsc::Sender<Message>,
    /// The address at which the node accepts links.
    address: String,
    /// The node's protocol level.
    level: u32,
    /// The workers that the node was sent last.
    workers: Pools,
    /// How well the node could schedule; `None` until it has told.
    standing: Option<Standing>,
    /// The rank that the node was told last.
    rank: Option<u32>,
}

/// The scheduler and the tasks that connect it to the platform and the other nodes.
pub(crate) struct Leader<P> {
    node: Node<P>,
    pub(crate) scheduler: RefCell<Scheduler>,
    /// Wakes [`decide`](Self::decide) after an event that may require a scheduling pass.
    wake: Notify,
    /// Wakes the poller of each worker, by worker id.
    pollers: RefCell<Vec<Rc<Notify>>>,
    /// The durations of answered start orders.
    order_times: RefCell<OrderTimes>,
    /// Limits the number of workers that are polled for the first time at the same time.
    first_polls: Semaphore,
    /// The linked nodes, by name.
    peers: RefCell<BTreeMap<Arc<str>, Peer>>,
    /// The teams of jobs that the linked nodes have not been told yet.
    new_owners: RefCell<Vec<(JobId, Owner)>>,
    /// Whether the linked nodes were last told to refuse jobs.
    has_admissions: Cell<bool>,
    /// The teams whose work their limits hold back, as of the last summary.
    held_teams: RefCell<BTreeSet<Arc<str>>>,
    tasks: RefCell<JoinSet<()>>,
    writer: RefCell<Option<LeaseWriter>>,
    is_draining: Cell<bool>,
    /// When the list of nodes is sent.
    nodes_schedule: Cell<Schedule>,
    /// Signals that another node has replaced this scheduler.
    deposed: Notify,
    /// Signals that a task of this scheduler has panicked.
    panicked: Rc<Notify>,
    /// Signals that there may be changes to store.
    changed: Notify,
    /// The number of the last transaction that deletes rows of jobs.
    last_deletion: Cell<u64>,
}

/// Signals when it is dropped by a panic.
struct PanicSignal(Rc<Notify>);

impl Drop for PanicSignal {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.notify_one();
        }
    }
}

impl<P: Ports> Leader<P> {
    pub(crate) fn new(node: Node<P>, scheduler: Scheduler, writer: LeaseWriter) -> Rc<Self> {
        Rc::new(Self {
            node,
            scheduler: RefCell::new(scheduler),
            wake: Notify::new(),
            pollers: RefCell::default(),
            order_times: RefCell::default(),
            first_polls: Semaphore::new(MAX_FIRST_POLLS),
            peers: RefCell::default(),
            new_owners: RefCell::default(),
            has_admissions: Cell::default(),
            held_teams: RefCell::default(),
            tasks: RefCell::default(),
            writer: RefCell::new(Some(writer)),
            is_draining: Cell::default(),
            nodes_schedule: Cell::new(Schedule::of_nodes()),
            deposed: Notify::new(),
            panicked: Rc::default(),
            changed: Notify::new(),
            last_deletion: Cell::default(),
        })
    }

    pub(crate) fn now(&self) -> Now {
        self.node.0.clock.now()
    }

    /// Makes [`run`](Self::run) release the lease row and return.
    pub(crate) fn drain(&self) {
        self.is_draining.set(true);
        self.wake.notify_one();
        self.changed.notify_one();
    }

    /// Schedules until another node has taken over or this one has handed over, which it also does after a task has
    /// panicked. Follows the tables from `positions`.
    pub(crate) async fn run(self: Rc<Self>, positions: FeedPositions) {
        self.set_queues();
        self.set_approvers();
        let Some(mut writer) = self.writer.borrow_mut().take() else {
            return;
        };
        self.spawn(self.clone().follow_jobs(positions.jobs));
        self.spawn(self.clone().follow_workers(positions.workers));
        self.spawn(self.clone().follow_queues());
        self.spawn(self.clone().send_heartbeats());
        self.spawn(self.clone().forget_jobs());
        let both = async {
            let deciding = self.clone().decide();
            tokio::join!(deciding, self.clone().store(&mut writer))
        };
        // A scheduler that learns from workers that it was replaced does not wait for the table.
        tokio::select! {
            _ = both => {}
            () = self.deposed.notified() => {}
            () = self.panicked.notified() => {
                log::error!("event=scheduling_failed epoch={} error=\"a task has panicked\"", self.epoch());
            }
        }
        let mut tasks = self.tasks.take();
        tasks.shutdown().await;
        // Workers accept a limited number of connections, and the successor needs some.
        self.node.0.ports.disconnect();
        if self.scheduler.borrow().is_deposed() {
            log::warn!("event=deposed epoch={}", self.epoch());
        } else {
            writer.release(&self.node).await;
        }
        let row = self.node.0.candidacy.borrow().row().cloned();
        self.broadcast(&Message::NotScheduler(row));
        self.peers.borrow_mut().clear();
        self.node.0.metrics.set_teams(BTreeMap::new());
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        // Removes ended tasks, so that the set does not grow without limit.
        while tasks.try_join_next().is_some() {}
        let signal = PanicSignal(self.panicked.clone());
        tasks.spawn_local(async move {
            let _signal = signal;
            task.await;
        });
    }

    /// Stores the scheduler's changes, one batch at a time, and executes the actions that depend on them.
    async fn store(self: Rc<Self>, writer: &mut LeaseWriter) {
        while !self.is_draining.get() {
            let now = self.now();
            let batch = self.scheduler.borrow_mut().take_batch(now);
            let Some(batch) = batch else {
                // The next iteration checks both cases: there are changes, or the lease row is due for
                // renewal.
                let _ = timeout(
                    self.node.0.settings.sched.heartbeat_interval / 4,
                    self.changed.notified(),
                )
                .await;
                continue;
            };
            if !writer.commit(&self.node, &batch).await {
                self.scheduler.borrow_mut().depose();
                self.wake.notify_one();
                return;
            }
            let actions = {
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.batch_stored(self.now());
                scheduler.take_actions()
            };
            self.execute(actions);
            self.wake.notify_one();
        }
    }

    /// Runs a scheduling pass after each event, and at least every [`MAX_PASS_INTERVAL`].
    async fn decide(self: Rc<Self>) {
        loop {
            let now = self.now();
            let began = std::time::Instant::now();
            let (actions, due) = {
                let mut scheduler = self.scheduler.borrow_mut();
                if scheduler.is_deposed() {
                    self.deposed.notify_one();
                    return;
                }
                if self.is_draining.get() {
                    return;
                }
                scheduler.decide(now);
                (scheduler.take_actions(), scheduler.next_due(now))
            };
            self.execute(actions);
            self.changed.notify_one();
            // A pass over a long queue takes long. The pause leaves most of the processor time to other
            // work.
            let interval = PASS_INTERVAL
                .max(began.elapsed() * PASS_PAUSE_FACTOR)
                .min(MAX_PASS_INTERVAL);
            let pause = (due - now.time).clamp(PASS_INTERVAL, MAX_PASS_INTERVAL);
            // Without an event, the next pass covers all waiting steps because tickets and quarantines may
            // have expired.
            if timeout(pause, self.wake.notified()).await.is_err() {
                self.scheduler.borrow_mut().request_pass();
            } else {
                sleep(interval).await;
            }
        }
    }

    /// Executes the scheduler's actions.
    fn execute(self: &Rc<Self>, actions: Vec<Action>) {
        let mut states = Vec::new();
        for action in actions {
            match action {
                Action::Start(order) => self.spawn(self.clone().start(order)),
                Action::Stop(order) => self.spawn(self.clone().stop(order)),
                Action::Publish { job, state } => states.push((job, state)),
                Action::Wake(worker) => self.wake_poller(worker),
                Action::Preempted { key, worker, by } => {
                    let scheduler = self.scheduler.borrow();
                    let worker = &scheduler.worker_info(worker).name;
                    log::info!("event=preempted task={key} worker={worker} by={by}");
                    self.node.0.metrics.count("preempted");
                }
                Action::Interrupted {
                    key,
                    run,
                    worker,
                    cause,
                } => {
                    let scheduler = self.scheduler.borrow();
                    let worker = &scheduler.worker_info(worker).name;
                    log::info!(
                        "event=interrupted task={key} run={run} worker={worker} cause={cause:?}"
                    );
                    self.node.0.metrics.count("interrupted");
                }
                Action::Restarted {
                    worker,
                    started_unix_ms,
                    leases_last,
                } => self.log_restart(worker, started_unix_ms, leases_last),
                Action::LapseAwaited { worker, runs, wait } => {
                    self.log_awaited_lapse(worker, runs, wait);
                }
                Action::StopsOverdue {
                    worker,
                    runs,
                    due_for,
                } => self.log_overdue_stops(worker, runs, due_for),
                Action::Waits {
                    step,
                    tasks,
                    reason,
                } => log::info!("event=waits step={step} tasks={tasks} reason={reason:?}"),
                Action::StartsHeld(Some(cause)) => {
                    log::warn!("event=starts_held cause={cause:?}");
                    self.node.0.metrics.count("starts_held");
                }
                Action::StartsHeld(None) => log::info!("event=starts_resumed"),
                Action::Crashed {
                    crash,
                    worker,
                    count,
                    weight,
                } => self.log_crash(&crash, worker, count, weight),
                Action::GivenUp { key, weight } => {
                    log::warn!("event=given_up task={key} weight_milli={weight}");
                    self.node.0.metrics.count("jobs_given_up");
                }
                Action::Stray { key, run, worker } => {
                    let scheduler = self.scheduler.borrow();
                    let worker = &scheduler.worker_info(worker).name;
                    log::warn!("event=stray task={key} run={run} worker={worker}");
                    self.node.0.metrics.count("strays");
                }
                Action::EndIgnored { worker, end } => {
                    let scheduler = self.scheduler.borrow();
                    let worker = &scheduler.worker_info(worker).name;
                    log::warn!(
                        "event=end_ignored task={} run={} how={:?} worker={worker}",
                        end.key,
                        end.run,
                        end.kind
                    );
                    self.node.0.metrics.count("ends_ignored");
                }
                Action::Ask {
                    approver,
                    step,
                    workers,
                    cost,
                } => self.request_approval(&approver, step, workers, cost),
            }
        }
        if !states.is_empty() {
            // A new scheduler publishes all states; only changed ones are logged.
            for (job, state) in states
                .iter()
                .filter(|(job, state)| self.node.is_state_changed(*job, *state))
            {
                log::info!(
                    "event=state job={job} state={state:?} epoch={}",
                    self.epoch()
                );
            }
            self.node.update_states(states.iter().copied());
            self.broadcast(&Message::States(states));
        }
    }

    fn log_restart(&self, worker: WorkerId, started_unix_ms: u64, leases_last: Duration) {
        let scheduler = self.scheduler.borrow();
        let worker = &scheduler.worker_info(worker).name;
        log::info!(
            "event=worker_restarted worker={worker} started_unix_ms={started_unix_ms} leases_last_ms={}",
            leases_last.as_millis()
        );
        self.node.0.metrics.count("workers_restarted");
    }

    fn log_awaited_lapse(&self, worker: WorkerId, runs: usize, wait: Duration) {
        let scheduler = self.scheduler.borrow();
        let worker = &scheduler.worker_info(worker).name;
        log::info!(
            "event=lapse_awaited worker={worker} runs={runs} wait_ms={} epoch={}",
            wait.as_millis(),
            scheduler.epoch()
        );
    }

    fn log_overdue_stops(&self, worker: WorkerId, runs: usize, due_for: Duration) {
        let scheduler = self.scheduler.borrow();
        let worker = &scheduler.worker_info(worker).name;
        log::warn!(
            "event=stops_overdue worker={worker} runs={runs} for_ms={}",
            due_for.as_millis()
        );
        self.node.0.metrics.count("workers_with_overdue_stops");
    }

    fn log_crash(&self, crash: &Crash, worker: WorkerId, count: u32, weight: i32) {
        let scheduler = self.scheduler.borrow();
        let worker = &scheduler.worker_info(worker).name;
        log::warn!(
            "event=crashed_under task={} run={} worker={worker} count={count} certain={} alone={} weight_milli={weight}",
            crash.key,
            crash.run,
            crash.is_certain,
            crash.is_alone
        );
        self.node.0.metrics.count("crashes_under_tasks");
    }

    pub(crate) fn metrics(&self) -> &Metrics {
        &self.node.0.metrics
    }

    /// Returns whether a linked node has a lower protocol level.
    pub(crate) fn has_peers_below(&self, level: u32) -> bool {
        self.peers.borrow().values().any(|peer| peer.level < level)
    }

    /// Passes an event to the scheduler, and requests a scheduling pass.
    pub(crate) fn with_scheduler(&self, handle: impl FnOnce(&mut Scheduler, Now)) {
        let now = self.now();
        handle(&mut self.scheduler.borrow_mut(), now);
        self.wake.notify_one();
    }

    fn epoch(&self) -> u64 {
        self.scheduler.borrow().epoch()
    }

    /// Requests approvals through the node named `approver`.
    fn request_approval(
        &self,
        approver: &Arc<str>,
        step: jobs::StepKey,
        workers: Vec<Arc<str>>,
        cost: Duration,
    ) {
        if *approver == self.node.0.settings.name {
            self.node.ask(step, workers, cost);
            return;
        }
        let message = Message::Ask {
            step,
            workers,
            cost_ms: u64::try_from(cost.as_millis()).unwrap_or(u64::MAX),
        };
        let peers = self.peers.borrow();
        let peer = peers.get(approver);
        let is_sent = peer.is_some_and(|peer| peer.tx.try_send(message).is_ok());
        if !is_sent {
            let now = self.now();
            self.scheduler.borrow_mut().approval_failed(now, step);
        }
    }

    fn set_queues(&self) {
        if let Some(routes) = self.node.routes() {
            let mut scheduler = self.scheduler.borrow_mut();
            scheduler.set_queues(routes.queues().cloned());
            scheduler.set_teams(routes.teams().cloned());
        }
    }

    fn set_approvers(&self) {
        let peers = self.peers.borrow();
        // A node that is about to stop would take its requests with it.
        let stays = |peer: &Peer| peer.standing.is_none_or(|standing| !standing.is_draining);
        let staying = peers.iter().filter(|(_, peer)| stays(peer));
        let mut nodes: Vec<Arc<str>> = staying.map(|(name, _)| name.clone()).collect();
        if !self.node.0.settings.policy.spreads_approvals {
            nodes.clear();
        }
        nodes.push(self.node.0.settings.name.clone());
        self.scheduler.borrow_mut().set_approvers(nodes);
    }
}
