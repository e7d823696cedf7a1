//! Checks the guarantees from outside: from the runs on the hosts and the states shown to clients.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use jobs::{EndKind, Job, JobId, State, StepKey, TaskKey, TeamPolicy};
use model::{Size, Time, WorkerId};
use sched::{SchedConfig, StartOrder};

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Breach {
    /// Two runs of one task, or of one gang, overlapped.
    RanTwice(TaskKey),
    /// A run began after a successful end of the same task or gang that was acknowledged to its host, then or later.
    RanAgain(TaskKey),
    /// The runs on a host exceeded its capacity.
    OverCapacity(WorkerId),
    /// A step began before a step that it depends on was done.
    OutOfOrder(StepKey),
    /// A task or gang began after as many of its runs had failed as its queue allows, and these ends were
    /// acknowledged, then or later.
    OverBudget(TaskKey),
    /// A task that crashes its hosts was started three more times after three hosts had crashed under it.
    OverCrashed(TaskKey),
    /// More tasks of a step ran on one host than the step allows.
    OverSpread(StepKey),
    /// A task began while its team ran more than its limit with it, although other work of the team was running.
    OverLimit(TaskKey),
    /// A task began that no submitted job has.
    Unasked(TaskKey),
    /// A start order carried another specification than the job was submitted with.
    OtherSpec(TaskKey),
    /// A start order carried a checkpoint that no run of its task or gang has saved, or another one than the members
    /// that had started.
    OtherCheckpoint(TaskKey),
    /// A task began too long after the cancellation of its job was acknowledged.
    StartedAfterCancel(TaskKey),
    /// A task ran on for too long after the cancellation of its job was acknowledged.
    RanOnAfterCancel(TaskKey),
    /// A state was shown of a job that is not stored.
    ShownUnstored(JobId),
    /// A job was shown as completed while a task was not done.
    FalselyCompleted(JobId),
    /// A job was shown as failed although no step had reached the limit of failures and no two hosts had crashed
    /// under one of its tasks.
    FalselyFailed(JobId),
    /// A job was not over at the end of the run, long after the last arrival and fault.
    Unfinished(JobId),
}

impl Breach {
    /// Returns the task whose runs violate the guarantee, if it is about one.
    #[must_use]
    pub const fn task(&self) -> Option<TaskKey> {
        match *self {
            Self::RanTwice(key)
            | Self::RanAgain(key)
            | Self::OverBudget(key)
            | Self::OverCrashed(key)
            | Self::OverLimit(key)
            | Self::Unasked(key)
            | Self::OtherSpec(key)
            | Self::OtherCheckpoint(key)
            | Self::StartedAfterCancel(key)
            | Self::RanOnAfterCancel(key) => Some(key),
            _ => None,
        }
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// The times of a job, compared with its objective.
#[derive(Clone, Debug, PartialEq)]
pub struct JobOutcome {
    /// The job.
    pub job: JobId,
    /// The index of its kind.
    pub kind: usize,
    /// When it was submitted.
    pub at: Time,
    /// The time from its submission until clients could see it as completed; `None` if they never could.
    pub took: Option<Duration>,
    /// The time from its submission to the first start of a task, or to the end of the simulation.
    pub waited: Duration,
    /// The longest time from submission to completion that meets its objective.
    pub objective: Duration,
    /// Its work, in core-seconds.
    pub work: f64,
}

/// The results of a run of a cell.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The violated guarantees.
    pub breaches: Vec<Breach>,
    /// The outcome of each job that was not cancelled.
    pub outcomes: Vec<JobOutcome>,
    /// The number of runs that began.
    pub starts: u64,
    /// The number of runs that began from a checkpoint.
    pub resumed: u64,
    /// The longest time from the crash of a host until one of the tasks that it ran began again elsewhere, or until the
    /// end of the simulation. Tasks of cancelled jobs are left out.
    pub longest_restart: Duration,
    /// The longest time for which a task ran on after the cancellation of its job was acknowledged.
    pub longest_after_cancel: Duration,
    /// The number of hosts that were crashed by a task.
    pub crashes: u64,
    /// The number of jobs that were shown as failed because of crashes though none of their tasks crashes hosts.
    pub failed_in_vain: u64,
    /// The number of preempted runs.
    pub preempted: u64,
    /// The core-seconds of runs whose work was lost.
    pub wasted: f64,
    /// The core-seconds of runs that were done or saved their work.
    pub useful: f64,
    /// The number of transactions stored in the table.
    pub writes: u64,
    /// The number of progress rows at the end whose jobs are not stored.
    pub rows_without_job: usize,
    /// The number of requests to the approval service.
    pub approval_requests: u64,
    /// The number of calls of [`sched::Scheduler::decide`].
    pub decisions: u64,
}

/// What happens to the work of a run that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkEnd {
    /// The task is done.
    Done,
    /// The work was saved, and the next run resumes from it.
    Saved,
    /// The work was not saved.
    Lost,
}

impl WorkEnd {
    pub(super) const fn of(kind: EndKind, saves: bool) -> Self {
        match kind {
            EndKind::Done => Self::Done,
            EndKind::Interrupted if saves => Self::Saved,
            EndKind::Interrupted | EndKind::Failed => Self::Lost,
        }
    }
}

#[derive(Debug)]
struct ActiveRun {
    host: WorkerId,
    run: u32,
    at: Time,
}

/// Observes submissions, runs and shown states, and records violated guarantees.
#[derive(Debug, Default)]
pub struct Checker {
    pub(super) report: Report,
    pub(super) teams: Vec<TeamPolicy>,
    jobs: HashMap<JobId, Job>,
    running: HashMap<TaskKey, ActiveRun>,
    /// Tasks that were done on a host.
    done: BTreeSet<TaskKey>,
    /// The last start of each task, or of any member of a gang.
    last_starts: HashMap<TaskKey, Time>,
    /// Tasks and gangs whose successful end was acknowledged to the host.
    acknowledged_done: BTreeSet<TaskKey>,
    failures: HashMap<TaskKey, u32>,
    /// The number of hosts that have crashed under each task.
    crashes: HashMap<TaskKey, u32>,
    /// The tasks that have not begun again since a host has crashed under them, with the time of the crash.
    lost: HashMap<TaskKey, Time>,
    /// The number of starts of tasks that crash their hosts, after as many crashes as are allowed.
    late_starts: HashMap<TaskKey, u32>,
    /// How many of them are allowed; `None` for the usual number.
    late_starts_allowed: Option<u32>,
    /// The jobs with a task that crashes its hosts.
    crashing_jobs: BTreeSet<JobId>,
    /// The runs of each task or gang whose failure was acknowledged, with the time of the failure.
    acknowledged_failures: HashMap<TaskKey, BTreeMap<u32, Time>>,
    cancelled: BTreeMap<JobId, Time>,
    /// The checkpoints that the runs of each task or gang have saved.
    saved: HashMap<TaskKey, BTreeSet<String>>,
    /// The last run of each gang with the checkpoint that its first member was started with.
    gang_checkpoints: HashMap<TaskKey, (u32, String)>,
    /// Until when faults excuse starts and runs of cancelled jobs.
    excused_until: Time,
    /// How much longer than [`CANCEL_GRACE`] faults may delay a start.
    start_delay: Duration,
    pub(super) published: HashMap<JobId, (State, Time)>,
    first_starts: HashMap<JobId, Time>,
}

/// Returns whether a job has a task.
fn has_task(job: &Job, key: TaskKey) -> bool {
    let step = job.steps.get(usize::from(key.step));
    step.is_some_and(|step| key.index < step.tasks) && key.occurrence < job.occurrences()
}

/// Returns the key for what is counted for a task: its own, or that of the first member of its gang.
fn unit(job: &Job, key: TaskKey) -> TaskKey {
    if job.steps[usize::from(key.step)].gang {
        key.step_key().task(0)
    } else {
        key
    }
}

/// The number of crashes under a task after which each further start counts.
const CRASH_LIMIT: u32 = 3;

/// The number of starts after that many crashes which are allowed if no other number is set.
const LATE_STARTS: u32 = 2;

/// The number of crashes under a task after which its job may be shown as failed.
const CRASHES_TO_FAIL: u32 = 2;

/// How long after the acknowledgement of its cancellation a task of a job may still begin.
const CANCEL_GRACE: Duration = Duration::from_secs(3);

/// How long a host takes to stop a task.
const STOP_GRACE: Duration = Duration::from_millis(400);

/// How long after a fault, or after its own late start, a task of a cancelled job is not judged yet.
const CONTACT: Duration = Duration::from_secs(4);

/// Returns how long a task may run after the cancellation of its job, or after its own later start, whatever faults
/// there are: a scheduler that cannot read the cancellation renews leases for a time, and the last one has to lapse.
fn run_on_limit() -> Duration {
    let cfg = SchedConfig::default();
    let fast = u32::try_from(1_000 - cfg.clock_drift_milli).unwrap_or(1_000);
    cfg.renew_without_table + cfg.max_task_lease * 1_000 / fast + CANCEL_GRACE + STOP_GRACE
}

impl Checker {
    pub(super) fn submitted(&mut self, id: JobId, job: &Job) {
        self.jobs.insert(id, job.clone());
    }

    /// Records that the cancellation of a job was acknowledged to a client.
    pub fn cancel_acknowledged(&mut self, now: Time, id: JobId) {
        self.cancelled.entry(id).or_insert(now);
    }

    /// Sets by how much faults may delay a start of a cancelled job.
    pub const fn allow_start_delay(&mut self, delay: Duration) {
        self.start_delay = delay;
    }

    /// Records that a fault lasts until `until`.
    pub fn excuse_until(&mut self, until: Time) {
        self.excused_until = self.excused_until.max(until + CONTACT);
    }

    /// Records a checkpoint that a run has saved.
    pub(super) fn checkpoint_saved(&mut self, key: TaskKey, checkpoint: &str) {
        if let Some(job) = self
            .jobs
            .get(&key.job)
            .filter(|job| has_task(job, key) && !checkpoint.is_empty())
        {
            let saved = self.saved.entry(unit(job, key)).or_default();
            saved.insert(checkpoint.to_owned());
        }
    }

    /// Checks the specification and the checkpoint that a new run was started with.
    pub(super) fn order_carried_out(&mut self, order: &StartOrder) {
        let key = order.key;
        let Some(job) = self.jobs.get(&key.job).filter(|job| has_task(job, key)) else {
            return;
        };
        let (unit, checkpoint) = (unit(job, key), &order.checkpoint);
        let has_spec = job.spec == order.spec;
        let is_gang = job.steps[usize::from(key.step)].gang;
        let is_saved = |saved: &BTreeSet<String>| saved.contains(checkpoint);
        let mut is_own = checkpoint.is_empty() || self.saved.get(&unit).is_some_and(is_saved);
        self.report.resumed += u64::from(!checkpoint.is_empty());
        if is_gang {
            let first = self.gang_checkpoints.entry(unit).or_default();
            if first.0 < order.run {
                *first = (order.run, checkpoint.clone());
            }
            is_own &= first.0 != order.run || first.1 == *checkpoint;
        }
        if !has_spec {
            self.record(Breach::OtherSpec(key));
        }
        if !is_own {
            self.record(Breach::OtherCheckpoint(key));
        }
    }

    /// Returns whether a task of a cancelled job runs.
    #[must_use]
    pub fn has_cancelled_runs(&self) -> bool {
        self.running.keys().any(|key| self.is_cancelled(key.job))
    }

    /// Records the tasks of cancelled jobs that have run on for too long, also with regard to the faults.
    pub fn check_cancelled_runs(&mut self, now: Time) {
        let runs: Vec<(TaskKey, Time)> = self.running.iter().map(|(&k, r)| (k, r.at)).collect();
        for (key, began_at) in runs {
            let Some(&cancelled_at) = self.cancelled.get(&key.job) else {
                continue;
            };
            let late_start = (began_at > cancelled_at).then(|| began_at + CONTACT);
            let since = cancelled_at
                .max(self.excused_until)
                .max(late_start.unwrap_or_default());
            if now > since + CANCEL_GRACE + STOP_GRACE {
                self.ran_on(key);
            }
            self.ran_until(now, key, began_at);
        }
    }

    fn ran_on(&mut self, key: TaskKey) {
        let breach = Breach::RanOnAfterCancel(key);
        if !self.report.breaches.contains(&breach) {
            self.record(breach);
        }
    }

    pub(super) fn is_cancelled(&self, id: JobId) -> bool {
        self.cancelled.contains_key(&id)
    }

    /// Returns the results so far.
    #[must_use]
    pub const fn report(&self) -> &Report {
        &self.report
    }

    fn record(&mut self, breach: Breach) {
        self.report.breaches.push(breach);
    }

    /// Checks and records the beginning of a run. Including this run, the host runs `step_tasks_on_host`
    /// tasks of the same step, and its runs reserve `used` of its `size`.
    pub(super) fn run_began(
        &mut self,
        now: Time,
        (key, run): (TaskKey, u32),
        host: WorkerId,
        step_tasks_on_host: u32,
        (used, size): (Size, Size),
    ) {
        self.report.starts += 1;
        self.first_starts.entry(key.job).or_insert(now);
        let Some(job) = self.jobs.get(&key.job).filter(|job| has_task(job, key)) else {
            self.record(Breach::Unasked(key));
            return;
        };
        let step = &job.steps[usize::from(key.step)];
        let dependencies = step.after.iter().copied();
        let is_done = |on: u16| {
            let tasks = job.steps[usize::from(on)].tasks;
            (0..tasks).all(|index| {
                self.done.contains(&TaskKey {
                    step: on,
                    index,
                    ..key
                })
            })
        };
        let is_in_order = dependencies.into_iter().all(is_done);
        let is_spread = step
            .per_worker
            .is_none_or(|limit| step_tasks_on_host <= limit);
        // Tasks that last may be started again however often they fail.
        let is_limited = !step.is_long_running;
        let limit = job.queue.max_failures;
        let unit = unit(job, key);
        let failures = self.acknowledged_failures.get(&unit);
        let failures = failures.map_or(0, BTreeMap::len);
        let members = if step.gang { 0..step.tasks } else { 0..0 };
        let is_other_run = |index| {
            let member = self.running.get(&TaskKey { index, ..key });
            member.is_some_and(|active| active.run != run)
        };
        let overlaps = self.running.contains_key(&key) || members.into_iter().any(is_other_run);
        let is_after_cancel = self.cancelled.get(&key.job).is_some_and(|&at| {
            let (calm, longest) = (at.max(self.excused_until), at + self.start_delay);
            now > calm.min(longest) + CANCEL_GRACE
        });
        if !is_in_order {
            self.record(Breach::OutOfOrder(key.step_key()));
        }
        if !is_spread {
            self.record(Breach::OverSpread(key.step_key()));
        }
        if is_limited && failures >= usize::try_from(limit).unwrap_or(usize::MAX) {
            self.record(Breach::OverBudget(key));
        }
        if is_after_cancel {
            self.record(Breach::StartedAfterCancel(key));
        }
        if !used.fits(&size) {
            self.record(Breach::OverCapacity(host));
        }
        if self.acknowledged_done.contains(&unit) {
            self.record(Breach::RanAgain(key));
        }
        if overlaps {
            self.record(Breach::RanTwice(key));
        }
        if let Some(at) = self.lost.remove(&key) {
            self.restarted_after(now - at);
        }
        self.last_starts.insert(unit, now);
        self.running.insert(key, ActiveRun { host, run, at: now });
        if self.exceeds_limit(key) {
            self.record(Breach::OverLimit(key));
        }
    }

    /// Returns whether the team of a task that has just begun runs more than its limit. A single task, or a gang that is
    /// within the tolerance of a tenth of the limit and one task, may exceed the limit alone.
    fn exceeds_limit(&self, key: TaskKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return false;
        };
        let Some(team) = self.teams.iter().find(|team| team.name == job.team) else {
            return false;
        };
        let mut sum = Size::ZERO;
        let mut is_alone = true;
        for other in self.running.keys() {
            let Some(other_job) = self.jobs.get(&other.job) else {
                continue;
            };
            if other_job.team == team.name {
                sum += other_job.steps[usize::from(other.step)].size;
                is_alone &= unit(other_job, *other) == unit(job, key);
            }
        }
        let step = &job.steps[usize::from(key.step)];
        let exceeds = |sum: u64, limit: u64, task: u64| {
            let tolerated = if !is_alone {
                limit
            } else if step.gang {
                limit + limit / 10 + task
            } else {
                u64::MAX
            };
            limit > 0 && sum > tolerated
        };
        let (limit, task) = (team.limit, step.size);
        exceeds(
            sum.milli_processors,
            limit.milli_processors,
            task.milli_processors,
        ) || exceeds(sum.memory_mb, limit.memory_mb, task.memory_mb)
            || exceeds(
                sum.accelerators.into(),
                limit.accelerators.into(),
                task.accelerators.into(),
            )
    }

    /// Records the end of a run on its host.
    pub(super) fn run_ended(
        &mut self,
        now: Time,
        key: TaskKey,
        run: u32,
        host: WorkerId,
        work_end: WorkEnd,
    ) {
        let is_same = |active: &ActiveRun| active.host == host && active.run == run;
        let Some(active) = self.running.get(&key).filter(|active| is_same(active)) else {
            return;
        };
        let began_at = active.at;
        let duration_s = (now - began_at).as_secs_f64();
        self.running.remove(&key);
        self.ran_until(now, key, began_at);
        let step = self
            .jobs
            .get(&key.job)
            .map(|job| &job.steps[usize::from(key.step)]);
        let cores = step.map_or(0, |step| step.size.milli_processors);
        let work = duration_s * f64::from(u32::try_from(cores).unwrap_or(u32::MAX)) / 1_000.0;
        if work_end != WorkEnd::Lost {
            self.report.useful += work;
        }
        if work_end == WorkEnd::Done {
            let tasks = step.filter(|step| step.gang).map(|step| step.tasks);
            // If one member of a gang is done, the whole gang is.
            let all = tasks.map_or(key.index..key.index + 1, |tasks| 0..tasks);
            self.done
                .extend(all.map(|index| key.step_key().task(index)));
        } else if work_end == WorkEnd::Lost {
            self.report.wasted += work;
        }
    }

    fn restarted_after(&mut self, span: Duration) {
        self.report.longest_restart = self.report.longest_restart.max(span);
    }

    /// Records that a task that began at `began_at` ran until `now`.
    fn ran_until(&mut self, now: Time, key: TaskKey, began_at: Time) {
        if let Some(&at) = self.cancelled.get(&key.job) {
            let longest = &mut self.report.longest_after_cancel;
            *longest = (*longest).max(now - at);
            if now > at.max(began_at) + run_on_limit() {
                self.ran_on(key);
            }
        }
    }

    /// Records the tasks that run at the end, and those that have not begun again by then.
    pub(super) fn finish(&mut self, now: Time) {
        let running: Vec<(TaskKey, Time)> = self.running.iter().map(|(&k, r)| (k, r.at)).collect();
        for (key, began_at) in running {
            self.ran_until(now, key, began_at);
        }
        for (key, at) in std::mem::take(&mut self.lost) {
            if !self.is_cancelled(key.job) {
                self.restarted_after(now - at);
            }
        }
    }

    /// Sets how often a task that crashes its hosts may start after three hosts have crashed under it.
    pub fn allow_late_starts(&mut self, starts: u32) {
        self.late_starts_allowed = Some(starts);
    }

    /// Records the beginning of a run of a task that crashes its hosts.
    pub(super) fn crashing_run_began(&mut self, key: TaskKey) {
        self.crashing_jobs.insert(key.job);
        if self.crashes.get(&key).is_none_or(|&n| n < CRASH_LIMIT) {
            return;
        }
        let starts = self.late_starts.entry(key).or_default();
        *starts += 1;
        if *starts > self.late_starts_allowed.unwrap_or(LATE_STARTS) {
            self.record(Breach::OverCrashed(key));
        }
    }

    /// Records that a host has crashed while it had a run of this task.
    pub(super) fn host_crashed_under(&mut self, now: Time, key: TaskKey) {
        self.lost.entry(key).or_insert(now);
        *self.crashes.entry(key).or_default() += 1;
    }

    pub(super) fn task_failed(&mut self, key: TaskKey) {
        *self.failures.entry(key).or_default() += 1;
    }

    /// Records that the end of a run at `ended_at` was acknowledged to its host, which forgets it. Checks the
    /// starts between the two.
    pub(super) fn end_acknowledged(
        &mut self,
        key: TaskKey,
        run: u32,
        kind: EndKind,
        ended_at: Time,
    ) {
        let Some(job) = self.jobs.get(&key.job).filter(|job| has_task(job, key)) else {
            return;
        };
        let unit = unit(job, key);
        let limit = usize::try_from(job.queue.max_failures).unwrap_or(usize::MAX);
        let last_start = self.last_starts.get(&unit).copied().unwrap_or_default();
        match kind {
            EndKind::Done => {
                if last_start > ended_at && self.acknowledged_done.insert(unit) {
                    self.record(Breach::RanAgain(key));
                }
                self.acknowledged_done.insert(unit);
            }
            EndKind::Failed => {
                let failures = self.acknowledged_failures.entry(unit).or_default();
                failures.insert(run, ended_at);
                let earlier = failures.values().filter(|&&at| at < last_start).count();
                let is_limited = !job.steps[usize::from(key.step)].is_long_running;
                if is_limited && last_start > ended_at && earlier >= limit {
                    self.record(Breach::OverBudget(key));
                }
            }
            EndKind::Interrupted => {}
        }
    }

    /// Checks and records a state of a job that clients can see. Ignores repetitions and states after a final
    /// one.
    pub fn state_published(&mut self, now: Time, id: JobId, state: State) {
        let before = self.published.get(&id).map(|(state, _)| *state);
        if before.is_some_and(State::is_final) || before == Some(state) {
            return;
        }
        self.published.insert(id, (state, now));
        let Some(job) = self.jobs.get(&id) else {
            self.record(Breach::ShownUnstored(id));
            return;
        };
        let task_keys = |number: usize, tasks: u32| {
            let step = StepKey {
                job: id,
                occurrence: 0,
                step: u16::try_from(number).unwrap_or(u16::MAX),
            };
            (0..tasks).map(move |index| step.task(index))
        };
        let mut tasks = job
            .steps
            .iter()
            .enumerate()
            .flat_map(|(n, step)| task_keys(n, step.tasks));
        let limit = job.queue.max_failures;
        let is_false = match state {
            State::Completed => tasks.any(|key| !self.done.contains(&key)),
            State::Failed => {
                let failures: HashMap<StepKey, u32> =
                    self.failures
                        .iter()
                        .fold(HashMap::new(), |mut sums, (key, n)| {
                            let sum = sums.entry(key.step_key()).or_default();
                            *sum += *n;
                            sums
                        });
                let has_failed =
                    |key: TaskKey| failures.get(&key.step_key()).is_some_and(|&n| n >= limit);
                let has_crashed = |key: TaskKey| {
                    let crashes = self.crashes.get(&key);
                    crashes.is_some_and(|&n| n >= CRASHES_TO_FAIL)
                };
                let is_failed = tasks.clone().any(has_failed);
                if !is_failed && !self.crashing_jobs.contains(&id) {
                    self.report.failed_in_vain += 1;
                }
                !is_failed && !tasks.any(has_crashed)
            }
            State::Queued | State::Running | State::Cancelled => false,
        };
        if is_false {
            let breach = match state {
                State::Failed => Breach::FalselyFailed(id),
                _ => Breach::FalselyCompleted(id),
            };
            self.record(breach);
        }
    }

    /// Returns when the first task of a job began.
    #[must_use]
    pub fn first_start(&self, id: JobId) -> Option<Time> {
        self.first_starts.get(&id).copied()
    }

    /// Records that a job was not over at the end of the run.
    pub fn job_unfinished(&mut self, id: JobId) {
        self.record(Breach::Unfinished(id));
    }
}
