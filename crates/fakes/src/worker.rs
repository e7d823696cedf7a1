//! A stand-in for a worker, which starts every task that it is told to start and records its runs.

use std::collections::BTreeMap;

use model::{Attempt, Epoch, Size, TaskId, Time, Usage, WorkerId};
use store::{Command, TaskPhase, TaskStart, TaskView, WorkerCall, WorkerReport};

use crate::RunPlan;

/// An attempt that a worker has started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// The size that was allocated to it.
    pub size: Size,
    /// The worker that ran it.
    pub worker: WorkerId,
    /// When it began.
    pub began: Time,
    /// When it ended; `None` while it runs.
    pub ended: Option<Time>,
    /// Its current phase, or the one that it ended in.
    pub phase: TaskPhase,
}

#[derive(Clone, Debug)]
struct AttemptRecord {
    view: TaskView,
    began: Time,
    ends: Time,
    will_fail: bool,
    usage: Usage,
    service: String,
    run: Option<usize>,
    /// The value of `newest` at its last change.
    changed: u64,
}

/// A worker in memory. Its clock is the time that its callers pass in.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    id: WorkerId,
    size: Size,
    plan: RunPlan,
    endpoint: String,
    highest_epoch: Epoch,
    tasks: BTreeMap<(TaskId, Attempt), AttemptRecord>,
    runs: Vec<Run>,
    used: Size,
    peak: Size,
    /// The number of the VM's starts.
    boot: u64,
    /// The number of changes of the task list.
    newest: u64,
    is_dead: bool,
    paused_until: Time,
}

impl FakeWorker {
    /// Returns a worker without tasks.
    #[must_use]
    pub fn new(id: WorkerId, size: Size, plan: RunPlan) -> Self {
        Self {
            id,
            size,
            plan,
            endpoint: String::new(),
            highest_epoch: Epoch::default(),
            tasks: BTreeMap::new(),
            runs: Vec::new(),
            used: Size::ZERO,
            peak: Size::ZERO,
            boot: 1,
            newest: 0,
            is_dead: false,
            paused_until: Time::ZERO,
        }
    }

    /// Sets the URL under which the replicas on this worker take requests, each at its service's name.
    pub fn set_endpoint(&mut self, endpoint: String) {
        self.endpoint = endpoint;
    }

    /// Sets whether all tasks started from now on fail.
    pub fn set_always_fails(&mut self, always_fails: bool) {
        self.plan.always_fails = always_fails;
    }

    /// Returns whether the worker's VM has died.
    #[must_use]
    pub const fn is_dead(&self) -> bool {
        self.is_dead
    }

    /// Returns the end of the last pause of the worker's VM.
    #[must_use]
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Pauses the worker's VM until the given time. Callers enforce the pause by withholding calls.
    pub fn pause(&mut self, until: Time) {
        self.paused_until = until;
    }

    /// Ends the worker's VM and all its tasks.
    pub fn die(&mut self, now: Time) {
        self.lose_tasks(now);
        self.is_dead = true;
    }

    /// Restarts the VM of a dead worker, without its earlier tasks.
    pub fn restart(&mut self) {
        self.is_dead = false;
        self.boot += 1;
        self.highest_epoch = Epoch::default();
    }

    /// Returns the worker's id.
    #[must_use]
    pub const fn id(&self) -> WorkerId {
        self.id
    }

    /// Returns the worker's capacity.
    #[must_use]
    pub const fn size(&self) -> Size {
        self.size
    }

    /// Returns the largest allocation at any time, for each resource separately.
    #[must_use]
    pub const fn peak(&self) -> Size {
        self.peak
    }

    /// Returns all attempts that the worker has started, in the order of their starts.
    #[must_use]
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Returns whether a replica of the service runs on this worker.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.tasks
            .values()
            .any(|record| record.view.phase == TaskPhase::Running && record.service == service)
    }

    /// Ends the attempts that are done or whose lease has lapsed by `now`.
    pub fn advance(&mut self, now: Time) {
        let due: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, a)| a.view.phase == TaskPhase::Running)
            .filter(|(_, a)| now >= a.ends.min(a.view.lease_until))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            let record = &self.tasks[&key];
            let at = record.ends.min(record.view.lease_until);
            let phase = if record.view.lease_until < record.ends {
                TaskPhase::LeaseLapsed
            } else if record.will_fail {
                TaskPhase::Failed
            } else {
                TaskPhase::Succeeded
            };
            self.end(at, &key, phase);
        }
    }

    fn lose_tasks(&mut self, now: Time) {
        self.advance(now);
        let running: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, a)| a.view.phase == TaskPhase::Running)
            .map(|(key, _)| key.clone())
            .collect();
        for key in running {
            self.end(now, &key, TaskPhase::Stopped);
        }
        self.tasks.clear();
    }

    /// Executes the commands of a call, and returns a report of the changes that the caller lacks.
    pub fn call(&mut self, now: Time, call: &WorkerCall) -> WorkerReport {
        self.advance(now);
        self.highest_epoch = self.highest_epoch.max(call.epoch);
        for command in &call.commands {
            self.execute(now, call.epoch, command);
        }
        self.report_usage(now);
        let is_complete = call.since == 0 || call.boot != self.boot;
        let since = if is_complete { 0 } else { call.since };
        let changed = self.tasks.values().filter(|a| a.changed > since);
        WorkerReport {
            worker: self.id,
            clock: now,
            highest_epoch: self.highest_epoch,
            boot: self.boot,
            newest: self.newest,
            is_complete,
            tasks: changed.map(|record| record.view.clone()).collect(),
        }
    }

    /// Sets the reported usage of attempts that have run for [`RunPlan::usage_lag`].
    fn report_usage(&mut self, now: Time) {
        for record in self.tasks.values_mut() {
            let is_due = now.since(record.began) >= self.plan.usage_lag;
            if is_due && record.view.usage != record.usage {
                record.view.usage = record.usage;
                self.newest += 1;
                record.changed = self.newest;
            }
        }
    }

    fn execute(&mut self, now: Time, epoch: Epoch, command: &Command) {
        match command {
            Command::Start(start) => self.start(now, epoch, start),
            Command::Renew { lease_until } => {
                for record in self.tasks.values_mut() {
                    let lease = &mut record.view.lease_until;
                    *lease = (*lease).max(*lease_until);
                }
            }
            Command::Checkpoint { task, attempt } => {
                self.end(now, &(task.clone(), *attempt), TaskPhase::Checkpointed);
            }
            Command::Stop { task, attempt } => {
                self.end(now, &(task.clone(), *attempt), TaskPhase::Stopped);
            }
            Command::Throttle {
                task,
                attempt,
                milli_processors,
            } => {
                if let Some(record) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                    let used = &mut record.usage.milli_processors;
                    *used = (*used).min(*milli_processors);
                }
            }
            Command::Forget { task, attempt } => {
                let key = (task.clone(), *attempt);
                let has_ended = |a: &AttemptRecord| a.view.phase != TaskPhase::Running;
                if self.tasks.get(&key).is_some_and(has_ended) {
                    self.tasks.remove(&key);
                }
            }
        }
    }

    fn start(&mut self, now: Time, epoch: Epoch, start: &TaskStart) {
        let key = (start.task.clone(), start.attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let is_late = now > start.start_by;
        let will_fail = self.plan.fails(start);
        let is_replica = !start.service.is_empty();
        let record = AttemptRecord {
            view: TaskView {
                task: start.task.clone(),
                attempt: start.attempt,
                epoch,
                phase: if is_late {
                    TaskPhase::NotStarted
                } else {
                    TaskPhase::Running
                },
                size: start.size,
                usage: Usage::default(),
                endpoint: if is_replica {
                    format!("{}/{}", self.endpoint, start.service)
                } else {
                    String::new()
                },
                lease_until: start.lease_until,
            },
            began: now,
            ends: if will_fail {
                now
            } else if is_replica {
                Time::MAX
            } else {
                now + self.plan.run_time(start)
            },
            will_fail,
            usage: self.plan.usage(start),
            service: start.service.clone(),
            run: (!is_late).then_some(self.runs.len()),
            changed: self.newest + 1,
        };
        self.newest += 1;
        self.tasks.insert(key, record);
        if !is_late {
            self.used += start.size;
            self.peak = self.peak.max(self.used);
            self.runs.push(Run {
                task: start.task.clone(),
                attempt: start.attempt,
                size: start.size,
                worker: self.id,
                began: now,
                ended: None,
                phase: TaskPhase::Running,
            });
        }
    }

    fn end(&mut self, at: Time, key: &(TaskId, Attempt), phase: TaskPhase) {
        let Some(record) = self.tasks.get_mut(key) else {
            return;
        };
        if record.view.phase != TaskPhase::Running {
            return;
        }
        record.view.phase = phase;
        self.newest += 1;
        record.changed = self.newest;
        self.used -= record.view.size;
        if let Some(run) = record.run.and_then(|i| self.runs.get_mut(i)) {
            run.ended = Some(at);
            run.phase = phase;
        }
    }
}
