//! The progress of a job's tasks.

use std::{collections::BTreeMap, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Job, Step, StepKey, TaskKey};

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
}

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
        if self.open.is_empty() && self.opened >= job.occurrences() && self.outcome.is_none() {
            self.outcome = Some(Outcome::Completed);
        }
    }
}

fn empty_steps(job: &Job) -> Vec<StepProgress> {
    let empty = |step: &Step| StepProgress {
        tasks: vec![TaskProgress::default(); usize::try_from(step.tasks).unwrap_or(0)],
        ..StepProgress::default()
    };
    job.steps.iter().map(empty).collect()
}

fn index(key: TaskKey) -> usize {
    usize::try_from(key.index).unwrap_or(usize::MAX)
}
