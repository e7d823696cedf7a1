//! Carries out what the scheduler decides.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jobs::CodecError;
use model::{Time, WorkerId};
use sched::{
    Action, Batch, LeaseRow, Now, Poll, PollOrder, Scheduler, StartAnswer, StartOrder, StopOrder,
};
use tokio::{
    sync::{Notify, mpsc},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

use crate::{
    Change, Directory, FeedError, Node, Ports, Row, Table, Transaction, WorkerChanges, Workers,
    commit::{self, Outcome},
    link::Link,
    message::Message,
    recover::Versions,
    rows::{JOBS, JobRow, LEASE_KEY, job_key, lease_key, parse_job_key, progress_key},
};

/// How often the other nodes are told that the scheduler is alive.
const BEAT: Duration = Duration::from_millis(250);

/// Every so many signs of life also tell how much waits.
const BEATS_PER_SUMMARY: u64 = 2;

/// A node that has not said anything for so long is gone. It does each second.
const PEER_SILENCE: Duration = Duration::from_millis(3_500);

/// The least time between two passes over all that waits. Events that come together are handled together.
const PASS_INTERVAL: Duration = Duration::from_millis(4);

/// After a pass, this many times its own length go by before the next one.
const PASS_SHARE: u32 = 4;

/// The longest time between two passes while something waits: tickets and quarantines end meanwhile.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// The pause between two reads of new jobs. Each read is a call that is paid for.
const JOBS_PAUSE: Duration = Duration::from_millis(15);

/// The pause between two reads of changes of workers. Each of them renews its entry every 1.5 s, and it
/// may be given work for 2.5 s after it is said to be leaving.
const WORKERS_PAUSE: Duration = Duration::from_millis(400);

/// How long one call waits for changes. It bounds how long a silent connection goes unnoticed.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// The pause after a failed call.
const RETRY: Duration = Duration::from_millis(100);

/// After this time without an outcome a transaction is logged as stuck. It is sent again.
const STUCK: Duration = Duration::from_secs(2);

/// How often jobs that are over are looked through for those to be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// The most jobs whose rows are deleted at a time: one transaction of one part each.
const FORGET_JOBS: usize = 50;

/// Reads a lease row.
pub(crate) fn decode_lease(row: &Row) -> Result<LeaseRow, CodecError> {
    jobs::decode(row.value.as_deref().unwrap_or_default())
}

/// Writes the lease row, and with it what the scheduler has to store.
#[derive(Debug)]
pub(crate) struct LeaseWriter {
    row: LeaseRow,
    version: u64,
    /// When the last stored transaction was sent.
    confirmed_at: Time,
}

impl LeaseWriter {
    pub(crate) const fn new(row: LeaseRow, version: u64, confirmed_at: Time) -> Self {
        Self {
            row,
            version,
            confirmed_at,
        }
    }

    /// Stores a batch, however long it takes. Returns false if another node has taken over.
    pub(crate) async fn commit<P: Ports>(&mut self, node: &Node<P>, batch: &Batch) -> bool {
        let next = LeaseRow {
            seq: self.row.seq + 1,
            ..self.row.clone()
        };
        self.write(node, next, batch).await
    }

    /// Hands over: any node may take over at once.
    pub(crate) async fn release<P: Ports>(&mut self, node: &Node<P>) {
        let next = LeaseRow {
            holder: String::new(),
            seq: self.row.seq + 1,
            ..self.row.clone()
        };
        let is_released = self.write(node, next, &Batch::default()).await;
        log::info!(
            "event=handed_over epoch={} stored={is_released}",
            self.row.epoch
        );
    }

    async fn write<P: Ports>(&mut self, node: &Node<P>, next: LeaseRow, batch: &Batch) -> bool {
        let rows = batch.rows.iter();
        let mut set: Vec<_> = rows
            .map(|(id, row)| (progress_key(*id), row.clone()))
            .collect();
        set.push((lease_key(), jobs::encode(&next)));
        let tx = Transaction {
            expected: vec![(lease_key(), self.version)],
            set,
            delete: batch.forgotten.iter().map(|id| progress_key(*id)).collect(),
        };
        loop {
            let sent_at = node.0.clock.time();
            let outcome = commit::settle(&node.0.ports, &tx, Instant::now() + STUCK).await;
            let version = match outcome {
                Outcome::Stored(version) => version,
                Outcome::Conflict { current } => {
                    let row = current.iter().find(|row| row.key == LEASE_KEY);
                    let seen = row.and_then(|row| Some((decode_lease(row).ok()?, row.version)));
                    match seen {
                        // An earlier try was stored, and its answer was lost.
                        Some((seen, version)) if seen == next => version,
                        seen => {
                            log::warn!(
                                "event=deposed epoch={} by={}",
                                self.row.epoch,
                                seen.map_or_else(|| "-".to_owned(), |(row, _)| row.holder)
                            );
                            return false;
                        }
                    }
                }
                Outcome::NotStored(reason) | Outcome::Unknown(reason) => {
                    log::warn!(
                        "event=batch_stuck epoch={} reason={reason:?}",
                        self.row.epoch
                    );
                    node.0.metrics.count("batches_stuck");
                    continue;
                }
            };
            node.0
                .metrics
                .time("transaction", node.0.clock.time() - sent_at);
            log::debug!(
                "event=stored epoch={} seq={} rows={} ms={}",
                next.epoch,
                next.seq,
                batch.rows.len(),
                (node.0.clock.time() - sent_at).as_millis()
            );
            self.row = next;
            self.version = version;
            self.confirmed_at = sent_at;
            return true;
        }
    }
}

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
                let _ = timeout(self.node.0.settings.sched.beat / 4, self.changed.notified()).await;
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
                self.scheduler.borrow_mut().look_again();
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

    async fn start(self: Rc<Self>, order: StartOrder) {
        let (info, epoch) = {
            let scheduler = self.scheduler.borrow();
            (
                scheduler.worker_info(order.worker).clone(),
                scheduler.epoch(),
            )
        };
        let now = self.now();
        let sent_at = now.time;
        let may_send = self.scheduler.borrow().may_send(now);
        let answer = if may_send {
            self.node.0.ports.start(&info, epoch, &order).await
        } else {
            StartAnswer::Unknown
        };
        let taken = self.now().time - sent_at;
        self.node.0.metrics.time("start", taken);
        if answer == StartAnswer::Started {
            log::info!(
                "event=started task={} run={} worker={} epoch={epoch} ms={}",
                order.key,
                order.run,
                info.name,
                taken.as_millis()
            );
        } else {
            log::warn!(
                "event=not_started task={} run={} worker={} epoch={epoch} answer={answer:?} ms={}",
                order.key,
                order.run,
                info.name,
                taken.as_millis()
            );
            self.node.0.metrics.count("starts_refused");
        }
        let now = self.now();
        self.scheduler
            .borrow_mut()
            .start_answered(now, &order, answer);
        self.wake.notify_one();
    }

    async fn stop(self: Rc<Self>, order: StopOrder) {
        let (info, epoch) = {
            let scheduler = self.scheduler.borrow();
            (
                scheduler.worker_info(order.worker).clone(),
                scheduler.epoch(),
            )
        };
        match self.node.0.ports.stop(&info, epoch, &order).await {
            Ok(()) => {
                log::info!(
                    "event=stopped task={} run={} worker={}",
                    order.key,
                    order.run,
                    info.name
                );
                let now = self.now();
                self.scheduler.borrow_mut().stop_answered(now, &order);
                self.wake.notify_one();
            }
            Err(e) => log::warn!(
                "event=not_stopped task={} run={} worker={} error={:?}",
                order.key,
                order.run,
                info.name,
                e.to_string()
            ),
        }
    }

    /// Wakes a worker's poller, which is started if there is none yet.
    fn wake_poller(self: &Rc<Self>, worker: WorkerId) {
        let count = self.scheduler.borrow().worker_count();
        let mut pollers = self.pollers.borrow_mut();
        while pollers.len() < count {
            let id = WorkerId(u32::try_from(pollers.len()).unwrap_or(u32::MAX));
            let wake = Rc::new(Notify::new());
            pollers.push(wake.clone());
            self.spawn(self.clone().poll(id, wake));
        }
        if let Some(wake) = pollers.get(usize::try_from(worker.0).unwrap_or(usize::MAX)) {
            wake.notify_one();
        }
    }

    async fn poll(self: Rc<Self>, worker: WorkerId, wake: Rc<Notify>) {
        loop {
            let now = self.now();
            let poll = self.scheduler.borrow_mut().next_poll(now, worker);
            match poll {
                Poll::Never => wake.notified().await,
                Poll::At(at) => {
                    // Whether it is woken or the time has passed makes no difference.
                    let _ = timeout(at - now.time, wake.notified()).await;
                }
                Poll::Now(order) => self.poll_once(&order).await,
            }
        }
    }

    async fn poll_once(&self, order: &PollOrder) {
        let (info, epoch) = {
            let scheduler = self.scheduler.borrow();
            (
                scheduler.worker_info(order.worker).clone(),
                scheduler.epoch(),
            )
        };
        let sent_at = self.now().time;
        let answer = self.node.0.ports.poll(&info, epoch, order).await;
        let now = self.now();
        match answer {
            Ok(listing) => {
                for row in &listing.ended {
                    let end = &row.end;
                    log::info!(
                        "event=ended task={} run={} how={:?} worker={} number={}",
                        end.key,
                        end.run,
                        end.kind,
                        info.name,
                        row.number
                    );
                }
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.polled(now, order.worker, sent_at, &listing);
            }
            Err(failure) => {
                log::warn!("event=worker_lost worker={} reason={failure:?}", info.name);
                self.node.0.metrics.count("polls_failed");
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.poll_failed(now, order.worker, failure);
            }
        }
        self.wake.notify_one();
    }

    /// Takes in new jobs and cancellings.
    async fn follow_jobs(self: Rc<Self>, mut after: u64) {
        loop {
            match self.node.0.ports.feed(JOBS, after, FEED_WAIT).await {
                Ok(page) => {
                    after = page.version;
                    for row in &page.rows {
                        self.note_job_row(row);
                    }
                    if !page.rows.is_empty() {
                        self.wake.notify_one();
                    }
                    sleep(JOBS_PAUSE).await;
                }
                Err(FeedError::HistoryGone) => {
                    log::warn!("event=history_gone table={JOBS} after={after}");
                    after = self.read_jobs_again().await;
                }
                Err(e @ FeedError::Call(_)) => {
                    log::debug!("jobs unread: {e}");
                    sleep(RETRY).await;
                }
            }
        }
    }

    async fn read_jobs_again(&self) -> u64 {
        let (recovered, after) = crate::recover::read_jobs(&self.node).await;
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for (id, job) in recovered.jobs {
            // Rows of jobs that are forgotten here are about to be deleted, and have progress.
            if !recovered.progress.contains_key(&id) {
                scheduler.job_stored(now, id, job);
            }
        }
        for id in recovered.cancelled {
            scheduler.job_cancelled(now, id);
        }
        drop(scheduler);
        self.wake.notify_one();
        after
    }

    fn note_job_row(&self, row: &Row) {
        let Some(value) = &row.value else {
            return;
        };
        let now = self.now();
        match parse_job_key(&row.key) {
            Some(JobRow::Job(id)) => match jobs::decode(value) {
                Ok(job) => self.scheduler.borrow_mut().job_stored(now, id, job),
                Err(e) => {
                    log::error!(
                        "event=bad_row table={JOBS} key={} error={:?}",
                        row.key,
                        e.to_string()
                    );
                }
            },
            Some(JobRow::Cancel(id)) => {
                log::info!("event=cancel_seen job={id} version={}", row.version);
                self.scheduler.borrow_mut().job_cancelled(now, id);
            }
            None => log::error!(
                "event=bad_row table={JOBS} key={:?} error=\"no job id\"",
                row.key
            ),
        }
    }

    fn note_workers(&self, change: Change<WorkerChanges>) {
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        for (name, info) in change.news {
            if let Some(info) = info {
                scheduler.worker_listed(now, info);
            } else {
                let version = change.version;
                log::info!("event=worker_unlisted worker={name} version={version}");
                scheduler.worker_unlisted(&name);
            }
        }
    }

    /// Follows the list of workers.
    async fn follow_workers(self: Rc<Self>, mut after: u64) {
        loop {
            match self.node.0.ports.worker_changes(after, FEED_WAIT).await {
                Ok(change) => {
                    after = change.version;
                    self.note_workers(change);
                    self.wake.notify_one();
                    sleep(WORKERS_PAUSE).await;
                }
                Err(FeedError::HistoryGone) => {
                    log::warn!("event=history_gone table=workers after={after}");
                    if let Some(version) = self.read_workers_again().await {
                        after = version;
                    }
                }
                Err(e @ FeedError::Call(_)) => {
                    log::debug!("workers unread: {e}");
                    sleep(RETRY).await;
                }
            }
        }
    }

    async fn read_workers_again(&self) -> Option<u64> {
        let change = match self.node.0.ports.workers().await {
            Ok(change) => change,
            Err(e) => {
                log::warn!("event=workers_unread error={:?}", e.to_string());
                sleep(RETRY).await;
                return None;
            }
        };
        let now = self.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let listed: Vec<Arc<str>> = scheduler.listed_workers().cloned().collect();
        for name in listed {
            if !change.news.iter().any(|info| info.name == name) {
                log::info!(
                    "event=worker_unlisted worker={name} version={}",
                    change.version
                );
                scheduler.worker_unlisted(&name);
            }
        }
        for info in change.news {
            scheduler.worker_listed(now, info);
        }
        Some(change.version)
    }

    /// Puts queues in force as the configuration changes.
    async fn follow_queues(self: Rc<Self>) {
        loop {
            self.node.0.routes_changed.notified().await;
            self.set_queues();
            self.wake.notify_one();
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

    fn broadcast(&self, message: &Message) {
        let mut lost = Vec::new();
        for (name, peer) in self.peers.borrow().iter() {
            if peer.tx.try_send(message.clone()).is_err() {
                lost.push(name.clone());
            }
        }
        for name in lost {
            log::warn!("event=peer_lost node={name} reason=behind");
            self.peers.borrow_mut().remove(&name);
            self.set_approvers();
        }
    }

    /// Tells the other nodes that the scheduler is alive, and how much waits.
    async fn beat(self: Rc<Self>) {
        let mut count = 0;
        let mut workers = BTreeMap::new();
        loop {
            let now = self.now();
            self.broadcast(&self.sign_of_life(now));
            if count % BEATS_PER_SUMMARY == 0 {
                self.tell_summary(now, &mut workers);
            }
            count += 1;
            if self.node.0.table.is_lost() {
                sleep(BEAT).await;
            } else {
                // That the table is lost is told at once. Else the time passes.
                let _ = timeout(BEAT, self.node.0.table.until_lost()).await;
            }
        }
    }

    fn tell_summary(&self, now: Now, told: &mut BTreeMap<String, Vec<Arc<str>>>) {
        let (summary, workers) = {
            let scheduler = self.scheduler.borrow();
            (scheduler.summary(now), scheduler.workers_by_pool(now))
        };
        let metrics = &self.node.0.metrics;
        metrics.set("scheduling_epoch", self.epoch());
        metrics.set(
            "waiting_steps",
            u64::try_from(summary.waiting_steps).unwrap_or(0),
        );
        metrics.set("running_tasks", u64::try_from(summary.runs).unwrap_or(0));
        metrics.set("open_workers", u64::try_from(summary.workers).unwrap_or(0));
        metrics.set("known_jobs", u64::try_from(summary.jobs).unwrap_or(0));
        self.broadcast(&Message::Pending(summary.pending.clone()));
        *self.node.0.pending.borrow_mut() = Some(summary.pending);
        self.node.0.heard_at.set(Some(now.time));
        if *told != workers {
            self.broadcast(&Message::Workers(workers.clone()));
            self.node.0.workers.borrow_mut().clone_from(&workers);
            *told = workers;
        }
    }

    /// Serves the link of another node until it is gone.
    pub(crate) async fn serve(self: Rc<Self>, mut link: Link) {
        let hello = timeout(PEER_SILENCE, link.rx.recv()).await;
        if let Ok(Some(Message::Who)) = hello {
            let row = self.node.0.candidacy.borrow().row().cloned();
            // A node that asks again is answered again.
            let _ = row.map(|row| link.tx.try_send(Message::Scheduler(row)));
            return;
        }
        let Ok(Some(Message::Hello { node, address })) = hello else {
            return;
        };
        log::info!("event=peer_up node={node}");
        let greeting = self.greeting();
        for message in greeting {
            if link.tx.try_send(message).is_err() {
                return;
            }
        }
        let tx = link.tx;
        let peer = Peer {
            tx: tx.clone(),
            address,
        };
        self.peers.borrow_mut().insert(node.clone(), peer);
        self.set_approvers();
        self.tell_nodes();
        let reason = loop {
            match timeout(PEER_SILENCE, link.rx.recv()).await {
                Ok(Some(Message::Relay { number, request })) => {
                    let node = self.node.clone();
                    self.spawn(node.serve_relay(number, request, tx.clone()));
                }
                Ok(Some(message)) => self.hear(message),
                Ok(None) => break "closed",
                Err(_) => break "silent",
            }
        };
        log::info!("event=peer_lost node={node} reason={reason}");
        let is_same = |peer: &Peer| peer.tx.same_channel(&tx);
        if self.peers.borrow().get(&node).is_some_and(is_same) {
            self.peers.borrow_mut().remove(&node);
            self.set_approvers();
        }
    }

    fn sign_of_life(&self, now: Now) -> Message {
        let age = now.time - self.scheduler.borrow().confirmed_at();
        Message::Beat {
            table_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            is_table_lost: self.node.0.table.is_lost(),
        }
    }

    /// Tells all nodes where the others are.
    fn tell_nodes(&self) {
        let peers = self.peers.borrow();
        let mut nodes: Vec<String> = peers.values().map(|peer| peer.address.clone()).collect();
        drop(peers);
        nodes.push(self.node.0.settings.link_address.to_string());
        self.node.0.nodes.borrow_mut().clone_from(&nodes);
        self.broadcast(&Message::Nodes(nodes));
    }

    /// What a node has to know first.
    fn greeting(&self) -> [Message; 4] {
        let now = self.now();
        let scheduler = self.scheduler.borrow();
        [
            self.sign_of_life(now),
            Message::States(scheduler.states().collect()),
            Message::Pending(scheduler.summary(now).pending),
            Message::Workers(scheduler.workers_by_pool(now)),
        ]
    }

    /// Something that a node says.
    pub(crate) fn hear(&self, message: Message) {
        let now = self.now();
        match message {
            Message::Ping => {}
            Message::Approved {
                step,
                asked,
                allowed,
                valid_ms,
            } => {
                let valid = Duration::from_millis(valid_ms);
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.approved(now, step, &asked, &allowed, valid);
                self.wake.notify_one();
            }
            Message::NotApproved { step } => {
                let now = self.now();
                self.scheduler.borrow_mut().approval_failed(now, step);
            }
            other => log::warn!("event=unexpected_message message={other:?}"),
        }
    }

    /// Deletes the rows of jobs that are over for long.
    async fn forget(self: Rc<Self>) {
        loop {
            sleep(FORGET_INTERVAL).await;
            let now = self.now();
            let ids = self
                .scheduler
                .borrow_mut()
                .take_forgettable(now, FORGET_JOBS);
            for id in ids {
                let tx = Transaction {
                    delete: vec![job_key(id), crate::rows::cancel_key(id)],
                    ..Transaction::default()
                };
                let outcome = commit::settle(&self.node.0.ports, &tx, Instant::now() + STUCK).await;
                // The progress stays until the job's row is surely gone: the row alone would make a new
                // job of it.
                if matches!(outcome, Outcome::Stored(_)) {
                    self.scheduler.borrow_mut().forget([id]);
                } else {
                    log::warn!("event=not_forgotten job={id} outcome={outcome:?}");
                }
            }
        }
    }
}
