//! A stand-in for a worker, which starts whatever it is given and records what it ran.

use std::collections::BTreeMap;

use model::{Attempt, Epoch, Size, TaskId, Time, Usage, WorkerId};
use store::{Command, TaskPhase, TaskStart, TaskView, WorkerCall, WorkerReport};

use crate::RunPlan;

/// One attempt that a worker really ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// What was reserved for it.
    pub size: Size,
    /// Where it ran.
    pub worker: WorkerId,
    /// When it began.
    pub began: Time,
    /// When it ended; `None` while it runs.
    pub ended: Option<Time>,
    /// How far it came.
    pub phase: TaskPhase,
}

#[derive(Clone, Debug)]
struct Attempted {
    view: TaskView,
    began: Time,
    ends: Time,
    fails: bool,
    usage: Usage,
    service: String,
    run: Option<usize>,
    /// The number of its newest change.
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
    tasks: BTreeMap<(TaskId, Attempt), Attempted>,
    runs: Vec<Run>,
    used: Size,
    peak: Size,
    /// Counts the VM's starts.
    boot: u64,
    /// Counts the changes of the task list.
    newest: u64,
    dead: bool,
    paused_until: Time,
}

impl FakeWorker {
    /// A worker that runs nothing.
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
            dead: false,
            paused_until: Time::ZERO,
        }
    }

    /// Sets where the replicas on this worker take requests.
    pub fn set_endpoint(&mut self, endpoint: String) {
        self.endpoint = endpoint;
    }

    /// Makes everything that is started from now on fail, or not.
    pub fn set_always_fails(&mut self, always_fails: bool) {
        self.plan.always_fails = always_fails;
    }

    /// Whether the worker's VM has died.
    #[must_use]
    pub const fn is_dead(&self) -> bool {
        self.dead
    }

    /// When the worker's VM goes on after its last pause.
    #[must_use]
    pub const fn paused_until(&self) -> Time {
        self.paused_until
    }

    /// Lets the worker's VM stand still.
    pub fn pause(&mut self, until: Time) {
        self.paused_until = until;
    }

    /// Ends the worker's VM with all that it runs.
    pub fn die(&mut self, now: Time) {
        self.lose_tasks(now);
        self.dead = true;
    }

    /// Brings a dead worker's VM back. It knows nothing of its earlier tasks.
    pub fn restart(&mut self) {
        self.dead = false;
        self.boot += 1;
        self.highest_epoch = Epoch::default();
    }

    /// The worker's id.
    #[must_use]
    pub const fn id(&self) -> WorkerId {
        self.id
    }

    /// All that the worker holds.
    #[must_use]
    pub const fn size(&self) -> Size {
        self.size
    }

    /// The most that was in use at a time, in each dimension.
    #[must_use]
    pub const fn peak(&self) -> Size {
        self.peak
    }

    /// What the worker ran.
    #[must_use]
    pub fn runs(&self) -> &[Run] {
        &self.runs
    }

    /// Whether a replica of the service runs here.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.tasks.values().any(|attempted| {
            attempted.view.phase == TaskPhase::Running && attempted.service == service
        })
    }

    /// Ends what has run out of time or lease.
    pub fn advance(&mut self, now: Time) {
        let due: Vec<_> = self
            .tasks
            .iter()
            .filter(|(_, a)| a.view.phase == TaskPhase::Running)
            .filter(|(_, a)| now >= a.ends.min(a.view.lease_until))
            .map(|(key, _)| key.clone())
            .collect();
        for key in due {
            let attempted = &self.tasks[&key];
            let at = attempted.ends.min(attempted.view.lease_until);
            let phase = if attempted.view.lease_until < attempted.ends {
                TaskPhase::LeaseLapsed
            } else if attempted.fails {
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

    /// Does the commands of a call and reports.
    pub fn call(&mut self, now: Time, call: &WorkerCall) -> WorkerReport {
        self.advance(now);
        self.highest_epoch = self.highest_epoch.max(call.epoch);
        for command in &call.commands {
            self.command(now, call.epoch, command);
        }
        self.show_usage(now);
        let whole = call.since == 0 || call.boot != self.boot;
        let since = if whole { 0 } else { call.since };
        let changed = self.tasks.values().filter(|a| a.changed > since);
        WorkerReport {
            worker: self.id,
            clock: now,
            highest_epoch: self.highest_epoch,
            boot: self.boot,
            newest: self.newest,
            is_complete: whole,
            tasks: changed.map(|attempted| attempted.view.clone()).collect(),
        }
    }

    /// Usage is shown only once an attempt has run for as long as reports lag.
    fn show_usage(&mut self, now: Time) {
        for attempted in self.tasks.values_mut() {
            let due = now.since(attempted.began) >= self.plan.usage_lag;
            if due && attempted.view.usage != attempted.usage {
                attempted.view.usage = attempted.usage;
                self.newest += 1;
                attempted.changed = self.newest;
            }
        }
    }

    fn command(&mut self, now: Time, epoch: Epoch, command: &Command) {
        match command {
            Command::Start(start) => self.start(now, epoch, start),
            Command::Renew { lease_until } => {
                for attempted in self.tasks.values_mut() {
                    let lease = &mut attempted.view.lease_until;
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
                if let Some(attempted) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                    let used = &mut attempted.usage.milli_processors;
                    *used = (*used).min(*milli_processors);
                }
            }
            Command::Forget { task, attempt } => {
                let key = (task.clone(), *attempt);
                let ended = |a: &Attempted| a.view.phase != TaskPhase::Running;
                if self.tasks.get(&key).is_some_and(ended) {
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
        let late = now > start.start_by;
        let failing = self.plan.fails(start);
        let serving = !start.service.is_empty();
        let attempted = Attempted {
            view: TaskView {
                task: start.task.clone(),
                attempt: start.attempt,
                epoch,
                phase: if late {
                    TaskPhase::NotStarted
                } else {
                    TaskPhase::Running
                },
                size: start.size,
                usage: Usage::default(),
                endpoint: if serving {
                    format!("{}/{}", self.endpoint, start.service)
                } else {
                    String::new()
                },
                lease_until: start.lease_until,
            },
            began: now,
            ends: if failing {
                now
            } else if serving {
                Time::MAX
            } else {
                now + self.plan.run_time(start)
            },
            fails: failing,
            usage: self.plan.usage(start),
            service: start.service.clone(),
            run: (!late).then_some(self.runs.len()),
            changed: self.newest + 1,
        };
        self.newest += 1;
        self.tasks.insert(key, attempted);
        if !late {
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
        let Some(attempted) = self.tasks.get_mut(key) else {
            return;
        };
        if attempted.view.phase != TaskPhase::Running {
            return;
        }
        attempted.view.phase = phase;
        self.newest += 1;
        attempted.changed = self.newest;
        self.used -= attempted.view.size;
        if let Some(run) = attempted.run.and_then(|i| self.runs.get_mut(i)) {
            run.ended = Some(at);
            run.phase = phase;
        }
    }
}
