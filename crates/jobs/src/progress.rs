//! The progress of a job's tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    Crash, Job, Step, StepKey, TaskKey,
    crashes::{Crashes, GangCrashes},
    trailing,
};

/// One incarnation of a worker. A worker that restarts under the same id is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Incarnation {
    /// The worker's id.
    pub worker: Arc<str>,
    /// When this incarnation started, in Unix milliseconds on the worker's clock. It is used only
    /// to tell incarnations apart.
    #[serde(rename = "born")]
    pub started_unix_ms: u64,
}

impl Incarnation {
    /// Returns the incarnation of a worker that started at `started_unix_ms`.
    #[must_use]
    pub fn new(worker: &str, started_unix_ms: u64) -> Self {
        Self {
            worker: worker.into(),
            started_unix_ms,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.worker, self.started_unix_ms)
    }
}

/// The phase of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Phase {
    /// The task waits to be started.
    #[default]
    Waiting,
    /// The last run was assigned to this incarnation of a worker, and may be running there.
    Assigned(Incarnation),
    /// A run has succeeded.
    Done,
}

/// The progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskProgress {
    /// The phase of the task.
    pub phase: Phase,
    /// The number of its last run; 0 before the first.
    pub run: u32,
    /// The number of failed runs.
    pub failures: u32,
    /// The checkpoint that the next run resumes from; empty to start from the beginning.
    pub checkpoint: String,
}

/// The progress of one step of one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StepProgress {
    tasks: Vec<TaskProgress>,
    /// The number of tasks that are done.
    done: u32,
    /// For a gang, the last run that was counted as failed, so that each run is counted once.
    failed_run: u32,
}

impl StepProgress {
    fn is_done(&self) -> bool {
        usize::try_from(self.done).is_ok_and(|done| done >= self.tasks.len())
    }
}

/// The outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks have succeeded.
    Completed,
    /// A task has reached the limit of failed runs.
    Failed,
    /// A client has cancelled the job.
    Cancelled,
}

/// The state of a job as reported to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has reached the limit of failed runs.
    Failed,
    /// A client has cancelled the job.
    Cancelled,
}

impl State {
    /// Returns whether the state never changes again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The run has succeeded.
    Done,
    /// The run has failed.
    Failed,
    /// The run was stopped, its lease lapsed, or another member of its gang was missing.
    Interrupted,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct End {
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
    /// How it has ended.
    pub kind: EndKind,
    /// The last checkpoint of the run; empty if it has none.
    pub checkpoint: String,
}

/// The progress of a job: a state machine over the starts and ends of its tasks' runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Progress {
    outcome: Option<Outcome>,
    has_started: bool,
    /// The number of opened occurrences. They open in order.
    opened: u32,
    /// The opened occurrences that are not done.
    open: BTreeMap<u32, Vec<StepProgress>>,
    #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
    crashes: CrashHistory,
}

/// The crashes of workers under the tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct CrashHistory {
    /// The tasks under which workers have crashed, or may have.
    tasks: BTreeMap<TaskNumber, Crashes>,
    /// The runs of gangs under which workers have crashed, by occurrence and step.
    gangs: BTreeMap<(u32, u16), GangCrashes>,
    /// The evidence against tasks, in thousandths of a natural logarithm. That against a gang as a whole is stored under
    /// [`WHOLE_GANG`]. The build before does not know it, and drops it when it writes the row.
    #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
    weights: BTreeMap<TaskNumber, i32>,
}

/// The index under which the evidence against a gang as a whole is stored. No task has it.
const WHOLE_GANG: u32 = u32::MAX;

/// The least evidence against a task. Without a bound, a gang's member whose worker has survived often could take down
/// many workers later.
const LEAST_WEIGHT: i32 = -3_000;

/// A crash that was counted for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CountedCrash {
    /// How many were counted for the task.
    pub count: u32,
    /// Whether there are enough of them to give the job up, if the evidence is strong enough as well.
    pub is_enough: bool,
}

/// Identifies a task within its job: the occurrence, the step and the index.
type TaskNumber = (u32, u16, u32);

impl Progress {
    /// Returns the initial progress of a job. The first occurrence of a job without a schedule
    /// opens immediately.
    #[must_use]
    pub fn new(job: &Job) -> Self {
        let mut progress = Self::default();
        if job.schedule.is_none() {
            progress.open_next(job);
        }
        progress
    }

    /// Returns whether this can be the progress of a job: it has the job's steps and tasks. The progress of another job
    /// with the same id may remain if that job was never stored.
    #[must_use]
    pub fn suits(&self, job: &Job) -> bool {
        let suits = |steps: &Vec<StepProgress>| {
            let has_tasks = |(progress, step): (&StepProgress, &Step)| {
                u32::try_from(progress.tasks.len()).is_ok_and(|tasks| tasks == step.tasks)
            };
            steps.len() == job.steps.len() && steps.iter().zip(&job.steps).all(has_tasks)
        };
        self.opened <= job.occurrences() && self.open.values().all(suits)
    }

    /// Returns the outcome of the job, if it has ended.
    #[must_use]
    pub const fn outcome(&self) -> Option<Outcome> {
        self.outcome
    }

    /// Returns whether any task was ever assigned to a worker.
    #[must_use]
    pub const fn has_started(&self) -> bool {
        self.has_started
    }

    /// Returns whether any run has succeeded or failed.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        let has_ended = |task: &TaskProgress| task.phase == Phase::Done || task.failures > 0;
        let open = self.open.values().flatten().flat_map(|step| &step.tasks);
        self.opened > u32::try_from(self.open.len()).unwrap_or(0) || open.into_iter().any(has_ended)
    }

    /// Returns the state that is reported to clients.
    #[must_use]
    pub const fn state(&self) -> State {
        match self.outcome {
            Some(Outcome::Completed) => State::Completed,
            Some(Outcome::Failed) => State::Failed,
            Some(Outcome::Cancelled) => State::Cancelled,
            None if self.has_started => State::Running,
            None => State::Queued,
        }
    }

    /// Returns a task's progress. The tasks of a finished occurrence are done.
    #[must_use]
    pub fn task(&self, key: TaskKey) -> TaskProgress {
        if self.is_occurrence_done(key.occurrence) {
            return TaskProgress {
                phase: Phase::Done,
                ..TaskProgress::default()
            };
        }
        self.task_ref(key).cloned().unwrap_or_default()
    }

    /// Returns the tasks that are assigned to a worker, each with its run and the worker's
    /// incarnation.
    pub fn assigned(
        &self,
        job: crate::JobId,
    ) -> impl Iterator<Item = (TaskKey, u32, &Incarnation)> {
        self.open.iter().flat_map(move |(&occurrence, steps)| {
            (0_u16..).zip(steps).flat_map(move |(step, progress)| {
                (0_u32..)
                    .zip(&progress.tasks)
                    .filter_map(move |(index, task)| {
                        let key = TaskKey {
                            job,
                            occurrence,
                            step,
                            index,
                        };
                        match &task.phase {
                            Phase::Assigned(incarnation) => Some((key, task.run, incarnation)),
                            Phase::Waiting | Phase::Done => None,
                        }
                    })
            })
        })
    }

    /// Returns whether a step's tasks may start: the job has not ended, and all steps that it
    /// depends on are done.
    #[must_use]
    pub fn is_ready(&self, job: &Job, key: StepKey) -> bool {
        if self.outcome.is_some() || self.is_occurrence_done(key.occurrence) {
            return false;
        }
        let Some(step) = job.steps.get(usize::from(key.step)) else {
            return false;
        };
        let Some(open) = self.open.get(&key.occurrence) else {
            return false;
        };
        step.after
            .iter()
            .all(|&on| open.get(usize::from(on)).is_some_and(StepProgress::is_done))
    }

    /// Returns the numbers of a step's tasks that wait to be started. The tasks of a gang wait only
    /// once no member of its last run is left.
    #[must_use]
    pub fn waiting(&self, job: &Job, key: StepKey) -> Vec<u32> {
        if !self.is_ready(job, key) {
            return Vec::new();
        }
        let step = &job.steps[usize::from(key.step)];
        let Some(progress) = self
            .open
            .get(&key.occurrence)
            .and_then(|steps| steps.get(usize::from(key.step)))
        else {
            return Vec::new();
        };
        let waiting: Vec<u32> = (0_u32..)
            .zip(&progress.tasks)
            .filter(|(_, task)| task.phase == Phase::Waiting)
            .map(|(index, _)| index)
            .collect();
        if step.gang && waiting.len() != progress.tasks.len() {
            return Vec::new();
        }
        waiting
    }

    /// Assigns waiting tasks of one step to workers, as one run. Returns the run's number, which is
    /// higher than that of every earlier run of these tasks.
    pub fn assign(&mut self, tasks: &[(TaskKey, Incarnation)]) -> u32 {
        self.has_started = true;
        let last = |progress: &Self, key| progress.task_ref(key).map_or(0, |task| task.run);
        let run = 1 + tasks
            .iter()
            .map(|(key, _)| last(self, *key))
            .max()
            .unwrap_or(0);
        for (key, incarnation) in tasks {
            if let Some(task) = self.task_mut(*key) {
                task.phase = Phase::Assigned(incarnation.clone());
                task.run = run;
            }
        }
        run
    }

    /// Applies the end of a run. Returns whether anything changed: the end of an earlier run, or of
    /// a run that has already been counted, changes nothing.
    pub fn end(&mut self, job: &Job, end: &End, max_failures: u32) -> bool {
        let key = end.key;
        let Some(step) = job.steps.get(usize::from(key.step)) else {
            return false;
        };
        let Some(task) = self.task_mut(key) else {
            return false;
        };
        if task.run != end.run || !matches!(task.phase, Phase::Assigned(_)) {
            return false;
        }
        task.phase = Phase::Waiting;
        match end.kind {
            // A long-running task is restarted however it ends.
            EndKind::Done if step.is_long_running => {}
            EndKind::Done => self.finish(job, key),
            EndKind::Failed => {
                task.failures += 1;
                let failures = task.failures;
                let has_reached_limit = if step.gang {
                    self.fail_gang(key, end.run, max_failures)
                } else {
                    failures >= max_failures
                };
                if has_reached_limit && !step.is_long_running && self.outcome.is_none() {
                    self.outcome = Some(Outcome::Failed);
                }
            }
            EndKind::Interrupted => {}
        }
        self.keep_checkpoint(end, step);
        self.close_occurrence(job, key.occurrence);
        true
    }

    /// Counts a crash of a worker that had, or may have had, a run of a task. Returns `None` if that of this run was
    /// counted before or the job has ended. At least `limit` crashes are needed to give the job up.
    pub fn crashed(&mut self, job: &Job, crash: &Crash, limit: u32) -> Option<CountedCrash> {
        if self.outcome.is_some() || self.task(crash.key).phase == Phase::Done {
            return None;
        }
        let crashes = self.crashes.tasks.entry(number(crash.key)).or_default();
        if !crashes.record(crash) {
            return None;
        }
        let count = crashes.count;
        let mut is_enough = crashes.is_conclusive(crash, limit);
        let step = crash.key.step_key();
        if (job.steps.get(usize::from(step.step))).is_some_and(|step| step.gang) {
            let gang = (step.occurrence, step.step);
            let runs = self
                .crashes
                .gangs
                .entry(gang)
                .or_default()
                .record(crash.run);
            let is_given_up = |member: &Crashes| member.count > 1 && runs >= member.most(limit);
            is_enough |= self.crashes_of(step).any(is_given_up);
        }
        Some(CountedCrash { count, is_enough })
    }

    /// Adds evidence that a task crashes its workers, in thousandths of a natural logarithm of a likelihood ratio.
    pub fn add_weight(&mut self, key: TaskKey, weight: i32) {
        self.add_to(number(key), weight);
    }

    /// Adds evidence that some member of a gang crashes its workers.
    pub fn add_gang_weight(&mut self, key: StepKey, weight: i32) {
        self.add_to((key.occurrence, key.step, WHOLE_GANG), weight);
    }

    fn add_to(&mut self, number: TaskNumber, weight: i32) {
        let sum = self.crashes.weights.entry(number).or_default();
        *sum = sum.saturating_add(weight).max(LEAST_WEIGHT);
    }

    /// Returns the evidence against a task, or `None` if none was ever weighed, as in a row of the build before.
    #[must_use]
    pub fn weight(&self, key: TaskKey) -> Option<i32> {
        self.crashes.weights.get(&number(key)).copied()
    }

    /// Returns the strongest evidence against a gang as a whole or any of its members.
    #[must_use]
    pub fn gang_weight(&self, key: StepKey) -> Option<i32> {
        let members = number(key.task(0))..=(key.occurrence, key.step, WHOLE_GANG);
        self.crashes.weights.range(members).map(|(_, &w)| w).max()
    }

    /// Returns the tasks of a step under which workers have crashed.
    pub fn crashed_tasks(&self, key: StepKey) -> impl Iterator<Item = TaskKey> {
        let tasks = number(key.task(0))..=number(key.task(u32::MAX));
        let crashed = self.crashes.tasks.range(tasks);
        let counted = crashed.filter(|(_, crashes)| crashes.count > 0);
        counted.map(move |(&(_, _, index), _)| key.task(index))
    }

    /// Returns the tasks of a step against which there is evidence, and under whose run no worker has crashed.
    #[must_use]
    pub fn spared(&self, key: StepKey, run: u32) -> Vec<TaskKey> {
        let has_crashed = |task: &TaskKey| {
            let crashes = self.crashes.tasks.get(&number(*task));
            crashes.is_some_and(|crashes| crashes.has_counted(run))
        };
        let crashed = self.crashed_tasks(key);
        crashed.filter(|task| !has_crashed(task)).collect()
    }

    /// Fails the job, because a task crashes its workers. Returns false if the job had already ended.
    pub fn give_up(&mut self) -> bool {
        let is_open = self.outcome.is_none();
        if is_open {
            self.outcome = Some(Outcome::Failed);
        }
        is_open
    }

    /// Remembers that a run has lapsed on a silent worker, which may have crashed under it.
    pub fn lapsed(&mut self, key: TaskKey, run: u32, incarnation: Incarnation) {
        if self.outcome.is_none() {
            let crashes = self.crashes.tasks.entry(number(key)).or_default();
            crashes.record_lapse(run, incarnation);
        }
    }

    /// Forgets a lapsed run whose worker has not crashed. Returns whether it was remembered.
    pub fn forget_lapse(&mut self, key: TaskKey, run: u32) -> bool {
        let Some(crashes) = self.crashes.tasks.get_mut(&number(key)) else {
            return false;
        };
        crashes.forget_lapse(run);
        if *crashes == Crashes::default() {
            self.crashes.tasks.remove(&number(key));
        }
        true
    }

    /// Forgets the crashes under a task that has run long enough not to be their cause.
    pub fn clear_crashes(&mut self, key: TaskKey) {
        self.crashes.tasks.remove(&number(key));
        self.crashes.weights.remove(&number(key));
    }

    /// Returns whether workers have crashed, or may have, under any task.
    #[must_use]
    pub fn has_crashes(&self) -> bool {
        !self.crashes.tasks.is_empty()
    }

    /// Returns the number of crashes that count for a task.
    #[must_use]
    pub fn crash_count(&self, key: TaskKey) -> u32 {
        self.crashes
            .tasks
            .get(&number(key))
            .map_or(0, |crashes| crashes.count)
    }

    /// Returns whether the tasks of a step are suspected to crash workers: a worker has crashed under one of them, and
    /// none has succeeded yet.
    #[must_use]
    pub fn is_suspect(&self, key: StepKey) -> bool {
        let steps = self.open.get(&key.occurrence);
        let step = steps.and_then(|steps| steps.get(usize::from(key.step)));
        step.is_some_and(|step| step.done == 0)
            && self.crashes_of(key).any(|crashes| crashes.count > 0)
    }

    /// Returns whether workers have crashed under a task or its gang, and `limit` of them would have if the silent ones
    /// on which its runs have lapsed had.
    #[must_use]
    pub fn may_reach_limit(&self, job: &Job, key: TaskKey, limit: u32) -> bool {
        let Some(crashes) = self.crashes.tasks.get(&number(key)) else {
            return false;
        };
        if job
            .steps
            .get(usize::from(key.step))
            .is_some_and(|step| step.gang)
        {
            let gang = self.crashes.gangs.get(&(key.occurrence, key.step));
            let counted = gang.map_or(0, GangCrashes::count);
            let members = self.crashes_of(key.step_key());
            let lapsed: BTreeSet<u32> = members
                .flat_map(|member| member.lapsed().map(|(run, _)| run))
                .collect();
            return may_reach(counted, lapsed.len(), limit);
        }
        may_reach(crashes.count, crashes.lapsed().count(), limit)
    }

    /// Returns whether it is not known of all crashes that count for a task of a step that its run had begun.
    #[must_use]
    pub fn has_uncertain_crashes(&self, key: StepKey) -> bool {
        self.crashes_of(key).any(Crashes::is_uncertain)
    }

    fn crashes_of(&self, key: StepKey) -> impl Iterator<Item = &Crashes> {
        let tasks = number(key.task(0))..=number(key.task(u32::MAX));
        self.crashes.tasks.range(tasks).map(|(_, crashes)| crashes)
    }

    /// Returns the lapsed runs whose workers may have crashed under them.
    pub fn lapsed_runs(
        &self,
        job: crate::JobId,
    ) -> impl Iterator<Item = (TaskKey, u32, &Incarnation)> {
        self.crashes
            .tasks
            .iter()
            .flat_map(move |(&(occurrence, step, index), crashes)| {
                let key = TaskKey {
                    job,
                    occurrence,
                    step,
                    index,
                };
                crashes
                    .lapsed()
                    .map(move |(run, incarnation)| (key, run, incarnation))
            })
    }

    /// Marks the job as cancelled. Returns false if it had already ended.
    pub fn cancel(&mut self) -> bool {
        let is_open = self.outcome.is_none();
        if is_open {
            self.outcome = Some(Outcome::Cancelled);
        }
        is_open
    }

    /// Returns the number of the next occurrence to open. Occurrences open in order.
    #[must_use]
    pub const fn next_occurrence(&self) -> u32 {
        self.opened
    }

    /// Returns the occurrences that are open and not done.
    pub fn open_occurrences(&self) -> impl Iterator<Item = u32> {
        self.open.keys().copied()
    }

    /// Opens the next occurrence, so that its tasks may start. Returns its number.
    pub fn open_next(&mut self, job: &Job) -> u32 {
        let occurrence = self.opened;
        self.opened += 1;
        self.open.insert(occurrence, empty_steps(job));
        occurrence
    }

    const fn is_opened(&self, occurrence: u32) -> bool {
        occurrence < self.opened
    }

    fn is_occurrence_done(&self, occurrence: u32) -> bool {
        self.is_opened(occurrence) && !self.open.contains_key(&occurrence)
    }

    fn task_ref(&self, key: TaskKey) -> Option<&TaskProgress> {
        let step = self.open.get(&key.occurrence)?.get(usize::from(key.step))?;
        step.tasks.get(index(key))
    }

    fn task_mut(&mut self, key: TaskKey) -> Option<&mut TaskProgress> {
        self.step_mut(key)?.tasks.get_mut(index(key))
    }

    fn step_mut(&mut self, key: TaskKey) -> Option<&mut StepProgress> {
        self.open
            .get_mut(&key.occurrence)
            .and_then(|steps| steps.get_mut(usize::from(key.step)))
    }

    /// Marks a task as done. If one member of a gang succeeds, the whole gang has.
    fn finish(&mut self, job: &Job, key: TaskKey) {
        let is_gang = job.steps[usize::from(key.step)].gang;
        let Some(step) = self.step_mut(key) else {
            return;
        };
        if is_gang {
            for task in &mut step.tasks {
                task.phase = Phase::Done;
            }
            step.done = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
        } else {
            step.tasks[index(key)].phase = Phase::Done;
            step.done += 1;
        }
    }

    /// Counts the failure of a gang's run once, whichever member reports it. Returns whether the
    /// gang has reached the limit of failed runs.
    fn fail_gang(&mut self, key: TaskKey, run: u32, max_failures: u32) -> bool {
        let Some(step) = self.step_mut(key) else {
            return false;
        };
        if step.failed_run == run {
            // Another member has already reported the failure of this run.
            step.tasks[index(key)].failures -= 1;
            return false;
        }
        step.failed_run = run;
        let failures: u32 = step.tasks.iter().map(|task| task.failures).sum();
        failures >= max_failures
    }

    /// Keeps the checkpoint of an ended run. The checkpoint of any member is valid for its gang,
    /// and all members must resume from the same one.
    fn keep_checkpoint(&mut self, end: &End, step: &Step) {
        if end.checkpoint.is_empty() {
            return;
        }
        if !step.gang {
            if let Some(task) = self.task_mut(end.key) {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        } else if let Some(progress) = self.step_mut(end.key) {
            for task in &mut progress.tasks {
                task.checkpoint.clone_from(&end.checkpoint);
            }
        }
    }

    /// Closes an occurrence whose steps are all done. Completes the job if it was the last one.
    fn close_occurrence(&mut self, job: &Job, occurrence: u32) {
        let is_done = self
            .open
            .get(&occurrence)
            .is_some_and(|steps| steps.iter().all(StepProgress::is_done));
        if !is_done {
            return;
        }
        self.open.remove(&occurrence);
        self.crashes
            .tasks
            .retain(|&(other, _, _), _| other != occurrence);
        self.crashes
            .gangs
            .retain(|&(other, _), _| other != occurrence);
        self.crashes
            .weights
            .retain(|&(other, _, _), _| other != occurrence);
        if self.open.is_empty() && self.opened >= job.occurrences() && self.outcome.is_none() {
            self.outcome = Some(Outcome::Completed);
        }
    }
}

fn may_reach(counted: u32, lapsed: usize, limit: u32) -> bool {
    let lapsed = u32::try_from(lapsed).unwrap_or(u32::MAX);
    counted > 0 && lapsed > 0 && counted.saturating_add(lapsed) >= limit
}

fn empty_steps(job: &Job) -> Vec<StepProgress> {
    let empty = |step: &Step| StepProgress {
        tasks: vec![TaskProgress::default(); usize::try_from(step.tasks).unwrap_or(0)],
        ..StepProgress::default()
    };
    job.steps.iter().map(empty).collect()
}

const fn number(key: TaskKey) -> TaskNumber {
    (key.occurrence, key.step, key.index)
}

fn index(key: TaskKey) -> usize {
    usize::try_from(key.index).unwrap_or(usize::MAX)
}
