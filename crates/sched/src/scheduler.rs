//! The scheduler's state, and what it is told of jobs and workers.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use jobs::{Job, JobId, Progress, Queue, State, StepKey, TaskKey, encode};
use model::{Size, Time, WorkerId};

use crate::{
    Action, Batch, Now, Recovered, SchedConfig, Ticket, WorkerInfo,
    approval::Approvals,
    approvers::Approvers,
    entry::Entry,
    fleet::Fleet,
    journal::Journal,
    learn::{AllowedShares, RunTimes},
    worker::Worker,
};

/// What happens once the changes before it are stored.
#[derive(Debug)]
pub(crate) enum Effect {
    Start {
        key: TaskKey,
        run: u32,
        worker: WorkerId,
        ticket: Option<Ticket>,
    },
    Publish {
        job: JobId,
        state: State,
    },
}

/// Decides which tasks start where. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) cfg: SchedConfig,
    pub(crate) epoch: u64,
    /// The queues in force, by name.
    pub(crate) queues: HashMap<String, Queue>,
    pub(crate) jobs: BTreeMap<JobId, Entry>,
    /// The steps with tasks that wait to be started.
    pub(crate) waiting: BTreeSet<StepKey>,
    /// Jobs whose next occurrence is not due yet, by that time in Unix milliseconds.
    pub(crate) timed: BTreeSet<(u64, JobId)>,
    pub(crate) fleet: Fleet,
    pub(crate) approvals: HashMap<StepKey, Approvals>,
    pub(crate) approvers: Approvers,
    pub(crate) journal: Journal<Effect>,
    pub(crate) actions: Vec<Action>,
    pub(crate) run_times: RunTimes,
    pub(crate) allowed_shares: AllowedShares,
    /// Jobs whose cancelling was seen before the job.
    pub(crate) early_cancels: HashSet<JobId>,
    /// When to look again whether a stop was answered.
    pub(crate) stop_checks: BTreeSet<(Time, WorkerId, TaskKey)>,
    /// Jobs that are over, oldest first.
    pub(crate) over: VecDeque<(Time, JobId)>,
    /// Jobs whose rows are to be deleted.
    pub(crate) forgotten: Vec<JobId>,
    pub(crate) is_deposed: bool,
    /// When the last stored transaction was sent.
    pub(crate) confirmed_at: Time,
    batch_sent_at: Time,
    /// Whether something has changed that may let a task start.
    pub(crate) needs_pass: bool,
}

/// How much there is of what, for metrics and for clients' questions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Jobs of which no worker is known to have begun a task, by queue.
    pub pending: BTreeMap<String, u64>,
    /// Steps that wait for room or for approvals.
    pub waiting_steps: usize,
    /// Runs that hold room on workers.
    pub runs: usize,
    /// Workers that take new work.
    pub workers: usize,
    /// Jobs that are remembered.
    pub jobs: usize,
    /// What the workers that take new work hold in all.
    pub size: Size,
    /// What of it is in use.
    pub used: Size,
}

impl Scheduler {
    /// A scheduler under `epoch` that goes on from what the table holds.
    #[must_use]
    pub fn new(cfg: SchedConfig, epoch: u64, now: Now, recovered: Recovered) -> Self {
        let mut scheduler = Self {
            cfg,
            epoch,
            queues: HashMap::new(),
            jobs: BTreeMap::new(),
            waiting: BTreeSet::new(),
            timed: BTreeSet::new(),
            fleet: Fleet::default(),
            approvals: HashMap::new(),
            approvers: Approvers::default(),
            journal: Journal::default(),
            actions: Vec::new(),
            run_times: RunTimes::default(),
            allowed_shares: AllowedShares::default(),
            early_cancels: HashSet::new(),
            stop_checks: BTreeSet::new(),
            over: VecDeque::new(),
            forgotten: Vec::new(),
            is_deposed: false,
            confirmed_at: now.time,
            batch_sent_at: now.time,
            needs_pass: true,
        };
        scheduler.recover(now, recovered);
        scheduler
    }

    /// The epoch, which fences the orders of earlier schedulers.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a newer scheduler is known to have taken over.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Notes that a newer scheduler has taken over. Nothing is ordered any more.
    pub fn depose(&mut self) {
        self.is_deposed = true;
        self.actions.clear();
    }

    /// When the last transaction was sent that is known to be stored.
    #[must_use]
    pub const fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Sets the queues in force.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = Queue>) {
        self.queues = queues
            .into_iter()
            .map(|queue| (queue.name.clone(), queue))
            .collect();
        self.needs_pass = true;
    }

    /// Sets the nodes that can ask for approvals.
    pub fn set_approvers(&mut self, nodes: impl IntoIterator<Item = Arc<str>>) {
        self.approvers.set(nodes);
    }

    /// The policy for a job: its queue as configured now, or as it was when the queue is gone.
    pub(crate) fn policy<'a>(&'a self, job: &'a Job) -> &'a Queue {
        self.queues.get(&job.queue.name).unwrap_or(&job.queue)
    }

    /// A job is in the table.
    pub fn job_stored(&mut self, now: Now, id: JobId, job: Job) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let progress = Progress::new(&job);
        self.add_job(now, id, job, progress);
        if self.early_cancels.remove(&id) {
            self.job_cancelled(now, id);
        }
    }

    pub(crate) fn add_job(&mut self, now: Now, id: JobId, job: Job, progress: Progress) {
        let age = now.unix_ms.saturating_sub(job.accepted_unix_ms);
        let entry = Entry {
            job: Arc::new(job),
            has_begun: progress.has_ended(),
            progress,
            accepted_at: now.ago(age),
            published: None,
            over_since: None,
        };
        self.jobs.insert(id, entry);
        self.publish(now.time, id);
        self.schedule_next(id);
        self.refresh(id);
    }

    /// Takes note of a change of a job's progress: it has to be stored, told, and may free what waits.
    pub(crate) fn changed(&mut self, now: Time, id: JobId) {
        self.journal.mark(id);
        self.publish(now, id);
        self.refresh(id);
    }

    /// Has a job's state told to clients' nodes, once it is stored, if it is another one.
    fn publish(&mut self, now: Time, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let state = entry.progress.state();
        if entry.published == Some(state) {
            return;
        }
        entry.published = Some(state);
        let is_over = state.is_final() && entry.over_since.is_none();
        if is_over {
            entry.over_since = Some(now);
        }
        self.effect(now, Effect::Publish { job: id, state });
        if is_over {
            self.over.push_back((now, id));
            self.stop_all(now, id);
        }
    }

    /// Sets anew which steps of a job wait.
    pub(crate) fn refresh(&mut self, id: JobId) {
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
                    if entry.over_since.is_some() {
                        self.approvals.remove(&key);
                    }
                } else if self.waiting.insert(key) {
                    self.needs_pass = true;
                }
            }
        }
    }

    /// A worker has begun a task of a job.
    pub(crate) fn note_begun(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.has_begun = true;
        }
    }

    /// Notes when a job's next occurrence is due.
    pub(crate) fn schedule_next(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let next = entry.progress.next_occurrence();
        if entry.over_since.is_none() && next < entry.job.occurrences() {
            self.timed.insert((entry.job.due_unix_ms(next), id));
        }
    }

    /// Opens the occurrences that are due.
    pub(crate) fn open_due(&mut self, now: Now) {
        while let Some(&(due, id)) = self.timed.first() {
            if due > now.unix_ms {
                break;
            }
            self.timed.pop_first();
            if let Some(entry) = self.jobs.get_mut(&id)
                && entry.over_since.is_none()
            {
                entry.progress.open_next(&entry.job);
                self.changed(now.time, id);
                self.schedule_next(id);
            }
        }
    }

    /// The directory lists a worker, or lists it with other properties.
    pub fn worker_listed(&mut self, now: Now, info: WorkerInfo) {
        let id = self.fleet.intern(&info);
        if info.started_unix_ms > self.fleet.get(id).info.started_unix_ms {
            self.life_over(now.time, id, info.started_unix_ms);
        }
        let worker = self.fleet.get_mut(id);
        if info.started_unix_ms < worker.info.started_unix_ms {
            // An entry of an earlier life that arrives late.
            return;
        }
        if worker.info.address != info.address {
            worker.is_open = false;
        }
        let was_listed = worker.is_listed;
        worker.info = info;
        worker.is_listed = true;
        self.needs_pass = true;
        if !was_listed {
            self.actions.push(Action::Wake(id));
        }
    }

    /// The directory does not list a worker any more.
    pub fn worker_unlisted(&mut self, name: &str) {
        if let Some(id) = self.fleet.id(name) {
            self.fleet.get_mut(id).is_listed = false;
        }
    }

    /// The workers that the directory lists.
    pub fn listed_workers(&self) -> impl Iterator<Item = &Arc<str>> {
        let listed = self.fleet.iter().filter(|worker| worker.is_listed);
        listed.map(|worker| &worker.info.name)
    }

    /// The workers that take work, by pool.
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

    /// The number of a worker that was heard of.
    #[must_use]
    pub fn worker_id(&self, name: &str) -> Option<WorkerId> {
        self.fleet.id(name)
    }

    /// A worker's properties.
    #[must_use]
    pub fn worker_info(&self, id: WorkerId) -> &WorkerInfo {
        &self.fleet.get(id).info
    }

    /// How many workers were ever heard of. Their numbers are below this one.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.fleet.len()
    }

    /// An answer to a request for approvals. The workers that were asked about and are not allowed may
    /// not run the step.
    pub fn approved(
        &mut self,
        now: Now,
        step: StepKey,
        asked: &[Arc<str>],
        allowed: &[(Arc<str>, Ticket)],
        valid: Duration,
    ) {
        let is_over = |entry: &Entry| entry.over_since.is_some();
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
            // Tickets that are renewed are those of workers that are known to be allowed.
            let is_new = |id: &&WorkerId| !approvals.is_known(**id);
            let asked = asked.iter().filter(is_new).count();
            let allowed = allowed.iter().map(|(id, _, _)| id).filter(is_new).count();
            let queue = &entry.job.queue.name;
            self.allowed_shares.note(queue, asked, allowed);
        }
        approvals.answer(&asked, allowed, until);
        self.needs_pass = true;
    }

    /// A request for approvals has failed. It is asked again when there is room.
    pub fn approval_failed(&mut self, now: Now, step: StepKey) {
        let retry_at = now.time + self.cfg.approval_retry;
        if let Some(approvals) = self.approvals.get_mut(&step) {
            approvals.failed(retry_at);
        }
    }

    /// Takes the changes to store next, if there are any or the lease row is due to be renewed, and no
    /// batch is on its way.
    pub fn take_batch(&mut self, now: Now) -> Option<Batch> {
        let is_beat = now.time >= self.batch_sent_at + self.cfg.heartbeat_interval;
        let has_work = self.journal.has_changes() || !self.forgotten.is_empty();
        if self.is_deposed || self.journal.is_busy() || !(has_work || is_beat) {
            return None;
        }
        self.batch_sent_at = now.time;
        let count = self.forgotten.len().min(self.cfg.batch_rows / 2);
        let forgotten: Vec<JobId> = self.forgotten.drain(..count).collect();
        let ids = self.journal.take_batch(self.cfg.batch_rows - count);
        let rows = ids
            .into_iter()
            .filter_map(|id| Some((id, encode(&self.jobs.get(&id)?.progress))))
            .collect();
        Some(Batch { rows, forgotten })
    }

    /// The last batch is stored.
    pub fn batch_stored(&mut self, now: Now) {
        self.confirmed_at = self.batch_sent_at;
        for effect in self.journal.batch_stored() {
            self.release(now.time, effect);
        }
        self.wake_acknowledging();
    }

    /// Lets an effect happen once all changes so far are stored.
    pub(crate) fn effect(&mut self, now: Time, effect: Effect) {
        if let Some(effect) = self.journal.after_last(effect) {
            self.release(now, effect);
        }
    }

    fn release(&mut self, now: Time, effect: Effect) {
        match effect {
            Effect::Publish { job, state } => self.actions.push(Action::Publish { job, state }),
            Effect::Start {
                key,
                run,
                worker,
                ticket,
            } => self.release_start(now, key, run, worker, ticket),
        }
    }

    /// Polls that wait for ends to be stored may go on.
    fn wake_acknowledging(&mut self) {
        let stored = self.journal.stored();
        let due = |w: &&Worker| w.acked < w.processed && w.ack_after <= stored;
        let woken: Vec<WorkerId> = self.fleet.iter().filter(due).map(|w| w.id).collect();
        self.actions.extend(woken.into_iter().map(Action::Wake));
    }

    /// Takes what is to be done.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The jobs that have been over for long enough to be forgotten. Once their own rows are deleted,
    /// they are to be passed to [`forget`](Self::forget).
    pub fn take_expired_jobs(&mut self, now: Now, limit: usize) -> Vec<JobId> {
        let until = now.time;
        let due = |&(since, _): &(Time, JobId)| since + self.cfg.job_retention <= until;
        let count = self
            .over
            .iter()
            .take(limit)
            .take_while(|over| due(over))
            .count();
        self.over.drain(..count).map(|(_, id)| id).collect()
    }

    /// Forgets jobs; the rows of their progress are deleted with the next batches.
    pub fn forget(&mut self, ids: impl IntoIterator<Item = JobId>) {
        for id in ids {
            self.jobs.remove(&id);
            self.forgotten.push(id);
        }
    }

    /// The state of a job as it was last told to be stored, and whether the job is known at all.
    pub fn states(&self) -> impl Iterator<Item = (JobId, State)> {
        self.jobs
            .iter()
            .filter_map(|(&id, entry)| Some((id, entry.published?)))
    }

    /// How much there is of what.
    #[must_use]
    pub fn summary(&self, now: Now) -> Summary {
        let mut summary = Summary {
            waiting_steps: self.waiting.len(),
            jobs: self.jobs.len(),
            ..Summary::default()
        };
        for entry in self.jobs.values() {
            let is_pending = !entry.has_begun && entry.over_since.is_none();
            if is_pending {
                *summary
                    .pending
                    .entry(entry.job.queue.name.clone())
                    .or_default() += 1;
            }
        }
        for worker in self.fleet.iter() {
            summary.runs += worker.runs.len();
            if worker.takes_work(now.time) {
                summary.workers += 1;
                summary.size += worker.info.size;
                summary.used += worker.used;
            }
        }
        summary
    }
}
