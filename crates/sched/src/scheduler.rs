//! The state of the scheduler, and the handlers for events about jobs, workers and approvals.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use jobs::{Job, JobId, Progress, Queue, State, StepKey, TaskKey, encode};
use model::{Size, Time, WorkerId};

use crate::{
    Action, Batch, Now, PastLeases, Recovered, SchedConfig, Ticket, WorkerInfo,
    announced::Announced,
    approval::Approvals,
    approvers::Approvers,
    background::Background,
    entry::Entry,
    fleet::Fleet,
    journal::Journal,
    leader::FENCES_PER_EPOCH,
    statistics::{AllowedShares, RunTimes},
    teams::{TeamId, Teams, TeamsSummary},
    trips::Trips,
    waits::Waits,
    worker::Worker,
};

/// A side effect that must wait until the changes before it are stored.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Effect {
    Start {
        key: TaskKey,
        run: u32,
        worker: WorkerId,
        needs_ticket: bool,
        /// The number of batches that were stored when the start was decided.
        since_batch: u64,
    },
    Publish {
        job: JobId,
        state: State,
        /// The number of batches that were stored when the state was reached.
        since_batch: u64,
    },
}

impl Effect {
    pub(crate) const fn job(&self) -> JobId {
        match self {
            Self::Start { key, .. } => key.job,
            Self::Publish { job, .. } => *job,
        }
    }
}

/// Decides which tasks start on which workers. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: SchedConfig,
    pub(crate) epoch: u64,
    /// The configured queues, by name.
    pub(crate) queues: HashMap<String, Queue>,
    pub(crate) teams: Teams,
    pub(crate) jobs: BTreeMap<JobId, Entry>,
    /// The jobs that are not known to be stored yet.
    pub(crate) announced: Announced,
    /// The steps that have tasks waiting to be started.
    pub(crate) waiting: BTreeSet<StepKey>,
    /// Jobs with an occurrence that is not due yet, ordered by its due time in Unix milliseconds.
    pub(crate) scheduled: BTreeSet<(u64, JobId)>,
    pub(crate) fleet: Fleet,
    pub(crate) approvals: HashMap<StepKey, Approvals>,
    pub(crate) approvers: Approvers,
    pub(crate) journal: Journal<Effect>,
    trips: Trips,
    /// What is known of leases that earlier schedulers have granted.
    pub(crate) past_leases: PastLeases,
    pub(crate) waits: Waits,
    pub(crate) actions: Vec<Action>,
    pub(crate) run_times: RunTimes,
    pub(crate) allowed_shares: AllowedShares,
    /// Unknown jobs that were cancelled, and since when that is known.
    pub(crate) early_cancels: BTreeMap<JobId, Time>,
    /// When to send stop orders again that have failed.
    pub(crate) stop_checks: BTreeSet<(Time, WorkerId, TaskKey)>,
    /// Tasks that wait until silent workers come back or until this time: workers have crashed under them, and the
    /// silent ones may have.
    pub(crate) awaiting_workers: HashMap<TaskKey, Time>,
    /// The crashes of workers, by which those under tasks are weighed.
    pub(crate) background: Background,
    /// Jobs that have ended, with the time of their end, oldest first.
    pub(crate) ended_jobs: VecDeque<(Time, JobId)>,
    /// Jobs whose progress rows must be deleted by the next batches.
    pub(crate) forgotten: Vec<JobId>,
    pub(crate) is_deposed: bool,
    /// When the last transaction that is known to be stored was sent.
    pub(crate) confirmed_at: Time,
    /// When the list of workers was last known to be current; `None` if the owner does not report it.
    workers_read_at: Option<Time>,
    batch_sent_at: Time,
    /// The time that the last batch took to be stored.
    batch_duration: Duration,
    /// Whether something has changed that may allow a task to start.
    pub(crate) needs_pass: bool,
    /// The number of steps that the last pass held back for gangs.
    pub(crate) held_steps: usize,
    /// The number of waiting steps of the last pass whose jobs could no longer be in time.
    pub(crate) late_steps: usize,
    /// The number of workers that the last pass reserved for long-running tasks.
    pub(crate) reserved_workers: usize,
}

/// Counts and sizes for metrics and for clients' queries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The number of unfinished jobs of which no worker is known to have begun a task, by queue.
    pub pending: BTreeMap<String, u64>,
    /// The number of steps that wait for free capacity or for approvals.
    pub waiting_steps: usize,
    /// The number of these steps that the last pass held back for gangs.
    pub held_steps: usize,
    /// The number of steps whose jobs could no longer be in time when the last pass began.
    pub late_steps: usize,
    /// The number of workers that the last pass reserved for long-running tasks that fit nowhere.
    pub reserved_workers: usize,
    /// The number of runs that occupy capacity on workers.
    pub runs: usize,
    /// The number of runs on workers that are not heard of, which occupy capacity until the leases have lapsed.
    pub unheard_runs: usize,
    /// The number of workers that accept new work.
    pub workers: usize,
    /// The number of jobs in memory, including those that ended recently.
    pub jobs: usize,
    /// The total size of the workers that accept new work.
    pub size: Size,
    /// The part of `size` that is in use.
    pub used: Size,
    /// The configured teams.
    pub teams: TeamsSummary,
}

/// How long ago the steps before the start of a run were taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartAges {
    /// The age of the job's acceptance.
    pub accepted: Duration,
    /// The age of the decision to start the run.
    pub decided: Duration,
    /// The age of the first approvals of the step; `None` if it needs none.
    pub approved: Option<Duration>,
}

impl Scheduler {
    /// Creates a scheduler with the given `epoch` that continues from the state recovered from the
    /// table.
    #[must_use]
    pub fn new(cfg: SchedConfig, epoch: u64, now: Now, recovered: Recovered) -> Self {
        let mut scheduler = Self {
            cfg,
            epoch,
            queues: HashMap::new(),
            teams: Teams::default(),
            jobs: BTreeMap::new(),
            announced: Announced::default(),
            waiting: BTreeSet::new(),
            scheduled: BTreeSet::new(),
            fleet: Fleet::default(),
            approvals: HashMap::new(),
            approvers: Approvers::default(),
            journal: Journal::default(),
            trips: Trips::default(),
            past_leases: PastLeases::default(),
            waits: Waits::default(),
            actions: Vec::new(),
            run_times: RunTimes::default(),
            allowed_shares: AllowedShares::default(),
            early_cancels: BTreeMap::new(),
            stop_checks: BTreeSet::new(),
            awaiting_workers: HashMap::new(),
            background: Background::new(now.time),
            ended_jobs: VecDeque::new(),
            forgotten: Vec::new(),
            is_deposed: false,
            confirmed_at: now.time,
            workers_read_at: None,
            batch_sent_at: now.time,
            batch_duration: Duration::ZERO,
            needs_pass: true,
            held_steps: 0,
            late_steps: 0,
            reserved_workers: 0,
        };
        scheduler.recover(now, recovered);
        scheduler
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the fencing token for orders to a worker and for polls of it. It makes the worker refuse orders and
    /// polls of earlier schedulers, those of this one that were meant for an earlier incarnation, and unanswered
    /// acknowledgements, which could otherwise be taken for ones of a later incarnation's ends.
    ///
    /// # Panics
    ///
    /// Panics if the id is not one that this scheduler assigned.
    #[must_use]
    pub fn fence(&self, worker: WorkerId) -> u64 {
        let first = (self.epoch + 1).saturating_sub(FENCES_PER_EPOCH);
        let raises = self.fleet.get(worker).fence_raises;
        first + raises.min(FENCES_PER_EPOCH - 1)
    }

    /// Returns whether a newer scheduler is known to have taken over.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Records that a newer scheduler has taken over. No further orders are issued.
    pub fn depose(&mut self) {
        self.is_deposed = true;
        self.actions.clear();
    }

    /// Returns when the last transaction that is known to be stored was sent.
    #[must_use]
    pub const fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Replaces the configured queues.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        self.queues = queues
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect();
        self.needs_pass = true;
    }

    /// Sets the nodes that can request approvals.
    pub fn set_approvers(&mut self, nodes: impl IntoIterator<Item = Arc<str>>) {
        self.approvers.set(nodes);
    }

    /// Returns the policy for a job: its queue as configured now, or the queue as stored with the
    /// job if it has been removed from the configuration.
    pub(crate) fn policy<'a>(&'a self, job: &'a Job) -> &'a Queue {
        self.queues.get(&job.queue.name).unwrap_or(&job.queue)
    }

    /// Returns whether start orders for tasks of a job carry a ticket, which only one incarnation of a worker accepts.
    pub(crate) fn needs_ticket(&self, job: JobId) -> bool {
        let entry = self.jobs.get(&job);
        entry.is_some_and(|entry| self.policy(&entry.job).approval.is_some())
    }

    /// Adds a job that has been stored in the table. Does nothing if the job is already known.
    pub fn job_stored(&mut self, now: Now, id: JobId, job: Job) {
        self.add_stored_job(now, id, job);
    }

    pub(crate) fn add_job(&mut self, now: Now, id: JobId, job: Job, progress: Progress) {
        let age = now.unix_ms.saturating_sub(job.accepted_unix_ms);
        let mut entry = Entry {
            job: Arc::new(job),
            team: TeamId::NONE,
            is_surplus: false,
            // A run that has ended shows that a worker has begun a task.
            has_begun: progress.has_ended(),
            progress,
            accepted_at: now.ago(age),
            published: None,
            stored: None,
            ended_at: None,
        };
        self.count_job(now, &mut entry);
        self.jobs.insert(id, entry);
        self.publish(now.time, id);
        self.schedule_next(id);
        self.update_waiting(id);
    }

    /// Handles a change of a job's progress: marks it to be stored, publishes a new state, and
    /// updates the steps that wait.
    pub(crate) fn job_changed(&mut self, now: Time, id: JobId) {
        self.journal.mark_changed(id);
        self.publish(now, id);
        self.update_waiting(id);
    }

    /// Publishes a job's state to the nodes that serve clients once it is stored, if it differs
    /// from the last published state.
    fn publish(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let state = entry.progress.state();
        if entry.published == Some(state) {
            return;
        }
        entry.published = Some(state);
        let is_over = state.is_final() && entry.ended_at.is_none();
        if is_over {
            entry.ended_at = Some(now);
        }
        let publish = Effect::Publish {
            job: id,
            state,
            since_batch: self.journal.batches(),
        };
        self.defer_until_stored(now, publish);
        if is_over {
            self.ended_jobs.push_back((now, id));
            self.stop_all(now, id);
        }
    }

    /// Recomputes which steps of a job have waiting tasks.
    pub(crate) fn update_waiting(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        for occurrence in entry.progress.open_occurrences() {
            for step in 0..u16::try_from(entry.job.steps.len()).unwrap_or(u16::MAX) {
                let key = StepKey {
                    job: id,
                    occurrence,
                    step,
                };
                if entry.progress.waiting(&entry.job, key).is_empty() {
                    self.waiting.remove(&key);
                    if entry.ended_at.is_some() {
                        self.approvals.remove(&key);
                    }
                } else if self.waiting.insert(key) {
                    self.needs_pass = true;
                }
            }
        }
    }

    /// Records that a worker has begun a task of the job.
    pub(crate) fn mark_begun(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.has_begun = true;
        }
    }

    /// Schedules the job's next occurrence, if it has one.
    pub(crate) fn schedule_next(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let next = entry.progress.next_occurrence();
        if entry.ended_at.is_none() && next < entry.job.occurrences() {
            self.scheduled.insert((entry.job.due_unix_ms(next), id));
        }
    }

    /// Opens the occurrences that are due.
    pub(crate) fn open_due(&mut self, now: Now) {
        while let Some(&(due, id)) = self.scheduled.first() {
            if due > now.unix_ms {
                break;
            }
            self.scheduled.pop_first();
            if let Some(entry) = self.jobs.get_mut(&id)
                && entry.ended_at.is_none()
            {
                entry.progress.open_next(&entry.job);
                self.job_changed(now.time, id);
                self.schedule_next(id);
            }
        }
    }

    /// Adds a worker that the directory lists, or updates its properties.
    pub fn worker_listed(&mut self, now: Now, info: WorkerInfo) {
        let is_new = self.fleet.id(&info.name).is_none();
        let id = self.fleet.intern(&info);
        let is_restarted = info.started_unix_ms > self.fleet.get(id).info.started_unix_ms;
        if is_restarted {
            self.worker_restarted(now.time, id, info.started_unix_ms);
        }
        let worker = self.fleet.get_mut(id);
        let is_earlier = info.started_unix_ms < worker.info.started_unix_ms;
        if is_new || is_restarted {
            worker.start_told_by = Some(info.version);
        } else if is_earlier && worker.start_told_by.is_some_and(|told| told < info.version) {
            // The entry that told the later start is replaced, and no incarnation with that start has ever answered.
            worker.begin_incarnation(now.time, info.started_unix_ms);
            worker.start_told_by = Some(info.version);
            self.renew_stops(now.time, id);
        }
        let worker = self.fleet.get_mut(id);
        let is_older = info.version > 0 && info.version < worker.info.version;
        if info.started_unix_ms < worker.info.started_unix_ms || is_older {
            // A directory entry that arrived late.
            return;
        }
        if worker.info.address != info.address {
            worker.is_synced = false;
        }
        if info.started_unix_ms > 0 {
            worker.known_at.get_or_insert(now.time);
        }
        let was_listed = worker.is_listed;
        worker.info = info;
        worker.is_listed = true;
        self.needs_pass = true;
        if !was_listed {
            self.actions.push(Action::Wake(id));
        }
    }

    /// Records that the list of workers, with all changes that were reported so far, is as current as at `at`. Once this
    /// has been called, tasks start only while the list is no older than [`SchedConfig::workers_max_age`].
    pub fn workers_read(&mut self, now: Now, at: Time) {
        self.needs_pass |= !self.are_workers_current(now.time);
        self.workers_read_at = self.workers_read_at.max(Some(at));
    }

    /// Returns whether the list of workers is recent enough to start tasks.
    pub(crate) fn are_workers_current(&self, now: Time) -> bool {
        let max_age = self.cfg.workers_max_age;
        self.workers_read_at.is_none_or(|at| now < at + max_age)
    }

    /// Records that the directory no longer lists a worker. Returns whether it was listed.
    pub fn worker_unlisted(&mut self, name: &str) -> bool {
        let Some(id) = self.fleet.id(name) else {
            return false;
        };
        std::mem::take(&mut self.fleet.get_mut(id).is_listed)
    }

    /// Returns the names of the workers that the directory lists.
    pub fn listed_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let listed = self.fleet.iter().filter(|worker| worker.is_listed);
        listed.map(|worker| &worker.info.name)
    }

    /// Returns the names of the workers that accept new work, by pool.
    #[must_use]
    pub fn workers_by_pool(&self, now: Now) -> BTreeMap<String, Vec<Arc<str>>> {
        let mut pools: BTreeMap<String, Vec<Arc<str>>> = BTreeMap::new();
        for worker in self
            .fleet
            .iter()
            .filter(|worker| worker.takes_work(now.time))
        {
            let names = pools.entry(worker.info.pool.clone()).or_default();
            names.push(worker.info.name.clone());
        }
        pools
    }

    /// Returns the id of a worker, if the name has been seen before.
    #[must_use]
    pub fn worker_id(&self, name: &str) -> Option<WorkerId> {
        self.fleet.id(name)
    }

    /// Returns a worker's properties.
    ///
    /// # Panics
    ///
    /// Panics if the id is not one that this scheduler assigned.
    #[must_use]
    pub fn worker_info(&self, id: WorkerId) -> &WorkerInfo {
        &self.fleet.get(id).info
    }

    /// Returns the number of workers ever seen. All worker ids are below this number.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.fleet.len()
    }

    /// Returns the workers whose ids are at least `from`, those with the most free processors first. New
    /// tasks can start there soonest.
    #[must_use]
    pub fn emptiest_workers(&self, from: usize) -> Vec<WorkerId> {
        let mut workers: Vec<&Worker> = self.fleet.iter().skip(from).collect();
        workers.sort_by_key(|worker| (Reverse(worker.free().milli_processors), worker.id));
        workers.iter().map(|worker| worker.id).collect()
    }

    /// Handles the answer to a request for approvals. The workers in `asked` that are not in
    /// `allowed` may not run the step. Tickets are used for `valid`, less a safety margin.
    pub fn approved(
        &mut self,
        now: Now,
        step: StepKey,
        asked: &[Arc<str>],
        allowed: &[(Arc<str>, Ticket)],
        valid: Duration,
    ) {
        let is_over = |entry: &Entry| entry.ended_at.is_some();
        if self.jobs.get(&step.job).is_some_and(is_over) {
            return;
        }
        let asked: Vec<WorkerId> = asked
            .iter()
            .filter_map(|name| self.fleet.id(name))
            .collect();
        let allowed: Vec<(WorkerId, u64, Ticket)> = allowed
            .iter()
            .filter_map(|(name, ticket)| {
                let id = self.fleet.id(name)?;
                Some((id, self.fleet.get(id).info.started_unix_ms, ticket.clone()))
            })
            .collect();
        let until = now.time + valid.saturating_sub(self.cfg.approval_margin);
        let approvals = self.approvals.entry(step).or_default();
        if let Some(entry) = self.jobs.get(&step.job) {
            // Counts each worker once: renewed tickets are for workers that are already known to be
            // allowed and would bias the share.
            let is_new = |id: &&WorkerId| !approvals.is_known(**id);
            let asked = asked.iter().filter(is_new).count();
            let allowed = allowed.iter().map(|(id, _, _)| id).filter(is_new).count();
            let queue = &entry.job.queue.name;
            self.allowed_shares.record(queue, asked, allowed);
        }
        approvals.record_answer(now.time, &asked, allowed, until);
        self.needs_pass = true;
    }

    /// Records that a request for approvals has failed. It may be repeated after a pause, once
    /// there is free capacity for the step.
    pub fn approval_failed(&mut self, now: Now, step: StepKey) {
        let retry_at = now.time + self.cfg.approval_retry;
        if let Some(approvals) = self.approvals.get_mut(&step) {
            approvals.record_failure(retry_at);
        }
    }

    /// Takes the next batch of changes to store. Returns `None` while another batch is in flight,
    /// or if there is neither a change to store nor a lease renewal due.
    pub fn take_batch(&mut self, now: Now) -> Option<Batch> {
        let is_renewal_due = now.time >= self.batch_sent_at + self.cfg.heartbeat_interval;
        let has_work =
            self.journal.has_changes() || !self.forgotten.is_empty() || self.has_bound_to_tell();
        if self.is_deposed || self.journal.is_busy() || !(has_work || is_renewal_due) {
            return None;
        }
        self.batch_sent_at = now.time;
        // Deletions take at most half of the rows of a batch.
        let count = self.forgotten.len().min(self.cfg.batch_rows / 2);
        let forgotten: Vec<JobId> = self.forgotten.drain(..count).collect();
        let ids = self.journal.take_batch(self.cfg.batch_rows - count);
        let rows = ids
            .into_iter()
            .filter_map(|id| Some((id, encode(&self.jobs.get(&id)?.progress))))
            .collect();
        let leases = Some(self.list_leases(now.time, self.journal.batches() + 1));
        Some(Batch {
            rows,
            forgotten,
            leases,
        })
    }

    /// Returns how long it takes to store a change that is made now: the rest of the batch in flight and
    /// a batch of its own, each estimated to take as long as the last one or as the one in flight so far.
    pub(crate) fn store_delay(&self, now: Time) -> Duration {
        if !self.journal.is_busy() {
            return self.batch_duration;
        }
        let age = now - self.batch_sent_at;
        let rest = self.batch_duration.saturating_sub(age);
        rest + self.batch_duration.max(age)
    }

    /// Records that the batch taken last is stored, and releases the effects that waited for it.
    pub fn batch_stored(&mut self, now: Now) {
        self.confirmed_at = self.batch_sent_at;
        self.batch_duration = now.time - self.batch_sent_at;
        let effects = self.journal.batch_stored();
        self.leases_told(self.journal.batches());
        for effect in effects {
            self.release(now.time, effect);
        }
        self.wake_ackable();
    }

    /// Defers an effect until all changes so far are stored. Releases it at once if they already
    /// are.
    pub(crate) fn defer_until_stored(&mut self, now: Time, effect: Effect) {
        if let Some(effect) = self.journal.defer(effect) {
            self.release(now, effect);
        }
    }

    pub(crate) fn release(&mut self, now: Time, effect: Effect) {
        let Some(effect) = self.announced.hold(effect) else {
            return;
        };
        match effect {
            Effect::Publish {
                job,
                state,
                since_batch,
            } => {
                if state.is_final() {
                    self.trips.ends.record(self.journal.batches() - since_batch);
                }
                if let Some(entry) = self.jobs.get_mut(&job) {
                    entry.stored = Some(state);
                }
                self.actions.push(Action::Publish { job, state });
            }
            Effect::Start {
                key,
                run,
                worker,
                needs_ticket,
                since_batch,
            } => {
                let trips = self.journal.batches() - since_batch;
                self.trips.starts.record(trips);
                self.release_start(now, key, run, worker, needs_ticket);
            }
        }
    }

    /// Wakes the polls of workers whose reported ends are now stored and can be acknowledged.
    fn wake_ackable(&mut self) {
        let stored = self.journal.stored();
        let due = |w: &&Worker| w.ackable < w.processed && w.ack_after <= stored;
        let woken: Vec<WorkerId> = self.fleet.iter().filter(due).map(|w| w.id).collect();
        self.actions.extend(woken.into_iter().map(Action::Wake));
    }

    /// Takes the actions that the owner has to carry out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns at most `limit` jobs that ended longer ago than the retention period and for which `is_chosen` returns true.
    /// Once the caller has deleted their job rows, it must pass them to [`forget`](Self::forget).
    pub fn expired_jobs(
        &mut self,
        now: Now,
        limit: usize,
        is_chosen: impl Fn(JobId) -> bool,
    ) -> Vec<JobId> {
        self.drop_stale_approvals(now.time);
        let retention = self.cfg.job_retention;
        let ended = self.ended_jobs.iter();
        ended
            .take_while(|(since, _)| *since + retention <= now.time)
            .map(|&(_, id)| id)
            .filter(|&id| is_chosen(id))
            .take(limit)
            .collect()
    }

    /// Drops jobs from memory. The rows of their progress are deleted with the next batches.
    pub fn forget(&mut self, ids: impl IntoIterator<Item = JobId>) {
        let ids: BTreeSet<JobId> = ids.into_iter().collect();
        self.ended_jobs.retain(|(_, id)| !ids.contains(id));
        self.awaiting_workers
            .retain(|key, _| !ids.contains(&key.job));
        for id in ids {
            self.jobs.remove(&id);
            self.forgotten.push(id);
        }
    }

    /// Returns the state of every known job as it is stored. A later state could still be lost with this
    /// scheduler.
    pub fn states(&self) -> impl Iterator<Item = (JobId, State)> {
        self.jobs
            .iter()
            .filter_map(|(&id, entry)| Some((id, entry.stored?)))
    }

    /// Returns how many transactions starts and shown ends have waited for.
    #[must_use]
    pub const fn trips(&self) -> Trips {
        self.trips
    }

    /// Returns the ages of a run for the log, or `None` if the worker has no such run.
    #[must_use]
    pub fn start_ages(&self, now: Now, worker: WorkerId, key: TaskKey) -> Option<StartAges> {
        let now = now.time;
        let accepted_at = self.jobs.get(&key.job)?.accepted_at;
        let decided_at = self.fleet.get(worker).runs.get(&key)?.since;
        let approvals = self.approvals.get(&key.step_key());
        let approved_at = approvals.and_then(Approvals::first_at);
        Some(StartAges {
            accepted: now - accepted_at,
            decided: now - decided_at,
            approved: approved_at.map(|at| now - at),
        })
    }

    /// Returns counts and sizes for metrics and clients' queries.
    #[must_use]
    pub fn summary(&self, now: Now) -> Summary {
        let mut summary = Summary {
            waiting_steps: self.waiting.len(),
            held_steps: self.held_steps,
            late_steps: self.late_steps,
            reserved_workers: self.reserved_workers,
            jobs: self.jobs.len(),
            teams: self.summarize_teams(),
            ..Summary::default()
        };
        for (id, entry) in &self.jobs {
            let is_stored = !self.announced.contains(*id);
            let is_pending = is_stored && !entry.has_begun && entry.ended_at.is_none();
            if is_pending {
                *summary
                    .pending
                    .entry(entry.job.queue.name.clone())
                    .or_default() += 1;
            }
        }
        for worker in self.fleet.iter() {
            summary.runs += worker.run_count();
            if worker.unheard_since.is_some() {
                summary.unheard_runs += worker.sent_runs().count();
            }
            if worker.takes_work(now.time) {
                summary.workers += 1;
                summary.size += worker.info.size;
                summary.used += worker.used;
            }
        }
        summary
    }
}
