//! Carries out what the scheduler decides.

mod feeds;
mod orders;
mod peers;

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use sched::{Action, Now, Scheduler};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{Node, Ports, lease::LeaseWriter, message::Message, recover::Versions};

/// The least time between two passes over all that waits. Events that come together are handled together.
const PASS_INTERVAL: Duration = Duration::from_millis(4);

/// After a pass, this many times its own length go by before the next one.
const PASS_SHARE: u32 = 4;

/// The longest time between two passes while something waits: tickets and quarantines end meanwhile.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Another node.
struct Peer {
    tx: mpsc::Sender<Message>,
    /// Where it takes links.
    address: String,
}

/// The scheduler at work.
pub(crate) struct Lead<P> {
    node: Node<P>,
    scheduler: RefCell<Scheduler>,
    wake: Notify,
    /// Wakes the poller of each worker.
    pollers: RefCell<Vec<Rc<Notify>>>,
    /// Links to the other nodes.
    peers: RefCell<BTreeMap<Arc<str>, Peer>>,
    tasks: RefCell<JoinSet<()>>,
    writer: RefCell<Option<LeaseWriter>>,
    is_draining: Cell<bool>,
    deposed: Notify,
    /// There may be something to store.
    changed: Notify,
}

impl<P: Ports> Lead<P> {
    pub(crate) fn new(node: Node<P>, scheduler: Scheduler, writer: LeaseWriter) -> Rc<Self> {
        Rc::new(Self {
            node,
            scheduler: RefCell::new(scheduler),
            wake: Notify::new(),
            pollers: RefCell::default(),
            peers: RefCell::default(),
            tasks: RefCell::default(),
            writer: RefCell::new(Some(writer)),
            is_draining: Cell::default(),
            deposed: Notify::new(),
            changed: Notify::new(),
        })
    }

    fn now(&self) -> Now {
        self.node.0.clock.now()
    }

    /// Lets [`run`](Self::run) hand over and return.
    pub(crate) fn drain(&self) {
        self.is_draining.set(true);
        self.wake.notify_one();
        self.changed.notify_one();
    }

    /// Schedules until another node has taken over, or this one has handed over.
    pub(crate) async fn run(self: Rc<Self>, from: Versions) {
        self.set_queues();
        self.set_approvers();
        let Some(mut writer) = self.writer.borrow_mut().take() else {
            return;
        };
        self.spawn(self.clone().follow_jobs(from.jobs));
        self.spawn(self.clone().follow_workers(from.workers));
        self.spawn(self.clone().follow_queues());
        self.spawn(self.clone().beat());
        self.spawn(self.clone().forget());
        let both = async {
            let deciding = self.clone().decide();
            tokio::join!(deciding, self.clone().store(&mut writer))
        };
        // A scheduler that workers have told of a newer one does not wait for the table.
        tokio::select! {
            _ = both => {}
            () = self.deposed.notified() => {}
        }
        self.tasks.borrow_mut().abort_all();
        if self.scheduler.borrow().is_deposed() {
            log::warn!("event=deposed epoch={}", self.epoch());
        } else {
            writer.release(&self.node).await;
        }
        let row = self.node.0.candidacy.borrow().row().cloned();
        self.broadcast(&Message::NotScheduler(row));
        self.peers.borrow_mut().clear();
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.tasks.borrow_mut();
        // Tasks that have ended are dropped here, so that the set does not grow.
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Stores what was decided, a batch after the other, and carries out what rests on it.
    async fn store(self: Rc<Self>, writer: &mut LeaseWriter) {
        while !self.is_draining.get() {
            let now = self.now();
            let batch = self.scheduler.borrow_mut().take_batch(now);
            let Some(batch) = batch else {
                // Whether there is a change or the row is due to be renewed, the next round tells.
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
            self.carry_out(actions);
            self.wake.notify_one();
        }
    }

    /// Decides, whenever something has happened.
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
            self.carry_out(actions);
            self.changed.notify_one();
            // A long line takes long to go over. Other work gets most of the processor all the same.
            let interval = PASS_INTERVAL
                .max(began.elapsed() * PASS_SHARE)
                .min(LOOK_INTERVAL);
            let pause = (due - now.time).clamp(PASS_INTERVAL, LOOK_INTERVAL);
            // Whether something has happened or the time has passed makes no difference.
            if timeout(pause, self.wake.notified()).await.is_err() {
                self.scheduler.borrow_mut().request_pass();
            } else {
                sleep(interval).await;
            }
        }
    }

    fn carry_out(self: &Rc<Self>, actions: Vec<Action>) {
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
                Action::Ask {
                    approver,
                    step,
                    workers,
                    cost,
                } => self.have_asked(&approver, step, workers, cost),
            }
        }
        if !states.is_empty() {
            // A new scheduler tells all states; those that are known are no news.
            for (job, state) in states
                .iter()
                .filter(|(job, state)| self.node.is_news(*job, *state))
            {
                log::info!(
                    "event=state job={job} state={state:?} epoch={}",
                    self.epoch()
                );
            }
            self.node.learn_states(states.iter().copied());
            self.broadcast(&Message::States(states));
        }
    }

    fn epoch(&self) -> u64 {
        self.scheduler.borrow().epoch()
    }

    fn have_asked(
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
            self.scheduler
                .borrow_mut()
                .set_queues(routes.queues().cloned());
        }
    }

    fn set_approvers(&self) {
        let mut nodes: Vec<Arc<str>> = self.peers.borrow().keys().cloned().collect();
        nodes.push(self.node.0.settings.name.clone());
        self.scheduler.borrow_mut().set_approvers(nodes);
    }
}
