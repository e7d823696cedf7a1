//! A domain's workers as its scheduler knows them: their clocks, leases and pending commands.
//!
//! Clocks of two machines are never compared. A report names a point on its worker's clock, and the
//! scheduler knows that this point lies between the sending of the call and the receipt of the report
//! on its own clock. Each bound below is computed with whichever end is the safe one.

use std::{collections::BTreeMap, time::Duration};

use model::{Attempt, Epoch, Size, TaskId, Time};
use place::WorkerSpec;
use store::{Command, TaskStart, WorkerCall, WorkerReport};

use super::settings::SchedulerConfig;

/// One reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    sent: Time,
    received: Time,
    clock: Time,
}

/// A task that is to be started.
#[derive(Clone, Debug)]
pub(crate) struct PendingStart {
    pub(crate) task: TaskId,
    pub(crate) attempt: Attempt,
    pub(crate) size: Size,
    pub(crate) command: Vec<String>,
    pub(crate) service: String,
}

/// An attempt that a worker runs or may run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    pub(crate) attempt: Attempt,
    /// The worker surely refuses the start after this point of the scheduler's clock.
    pub(crate) start_limit: Time,
    /// Whether the start command was sent.
    pub(crate) sent: bool,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether its task list was read under this epoch, and it answers.
    pub(crate) known: bool,
    /// Whether the VM list says that it leaves, or does not name it any more.
    pub(crate) leaving: bool,
    pub(crate) expected: BTreeMap<TaskId, Expected>,
    /// The last point of the scheduler's clock at which a task may still have a lease there.
    pub(crate) leases_until: Time,
    /// Where its replicas take requests.
    pub(crate) endpoints: BTreeMap<TaskId, String>,
    clock: Option<ClockSample>,
    starts: Vec<PendingStart>,
    commands: Vec<Command>,
    calling: bool,
    next_call: Time,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, leases_until: Time) -> Self {
        Self {
            spec,
            known: false,
            leaving: false,
            expected: BTreeMap::new(),
            leases_until,
            endpoints: BTreeMap::new(),
            clock: None,
            starts: Vec::new(),
            commands: Vec::new(),
            calling: false,
            next_call: Time::ZERO,
        }
    }

    /// Queues a start. The task counts as expected from now on.
    pub(crate) fn start(&mut self, start: PendingStart) {
        let expected = Expected {
            attempt: start.attempt,
            start_limit: Time::MAX,
            sent: false,
        };
        self.expected.insert(start.task.clone(), expected);
        self.starts.push(start);
    }

    /// Queues a command for the next call, which is made at once.
    pub(crate) fn command(&mut self, command: Command) {
        if !self.commands.contains(&command) {
            self.commands.push(command);
        }
    }

    /// Takes back a start that was not sent.
    pub(crate) fn unqueue(&mut self, task: &TaskId) -> bool {
        let before = self.starts.len();
        self.starts.retain(|start| start.task != *task);
        let taken = self.starts.len() < before;
        if taken {
            self.expected.remove(task);
        }
        taken
    }

    /// The next call, if one is due. `valid_until` is the end of the scheduler's own lease.
    pub(crate) fn next_call(
        &mut self,
        now: Time,
        epoch: Epoch,
        valid_until: Time,
        cfg: &SchedulerConfig,
    ) -> Option<WorkerCall> {
        let urgent = self.known && !(self.starts.is_empty() && self.commands.is_empty());
        if self.calling || !(urgent || now >= self.next_call) {
            return None;
        }
        self.calling = true;
        self.next_call = now + cfg.worker_interval;
        let mut commands = std::mem::take(&mut self.commands);
        if let Some(sample) = self.clock.filter(|_| self.known) {
            let lease_until = sample.clock + now.since(sample.sent) + cfg.task_lease;
            self.add_renewal(lease_until, &mut commands);
            self.add_starts(now, valid_until, sample, lease_until, cfg, &mut commands);
            let lapses = sample.received + lease_until.since(sample.clock) + cfg.drift_margin;
            self.leases_until = self.leases_until.max(lapses);
        }
        Some(WorkerCall {
            worker: self.spec.id,
            epoch,
            commands,
        })
    }

    fn add_renewal(&self, lease_until: Time, commands: &mut Vec<Command>) {
        let sent = self.expected.iter().filter(|(_, expected)| expected.sent);
        let tasks: Vec<(TaskId, Attempt)> = sent
            .map(|(task, expected)| (task.clone(), expected.attempt))
            .collect();
        if !tasks.is_empty() {
            commands.push(Command::Renew { tasks, lease_until });
        }
    }

    fn add_starts(
        &mut self,
        now: Time,
        valid_until: Time,
        sample: ClockSample,
        lease_until: Time,
        cfg: &SchedulerConfig,
        commands: &mut Vec<Command>,
    ) {
        // A start must not be carried out once another scheduler may be active, so its window ends
        // with this scheduler's own lease. The worker's clock reaches `start_by` no later than the
        // scheduler's clock reaches `limit`.
        let limit = (now + cfg.start_window).min(valid_until);
        let start_by = sample.clock + limit.since(sample.received);
        for start in self.starts.drain(..) {
            if let Some(expected) = self.expected.get_mut(&start.task) {
                expected.sent = true;
                expected.start_limit = limit + cfg.drift_margin;
            }
            commands.push(Command::Start(TaskStart {
                task: start.task,
                attempt: start.attempt,
                size: start.size,
                command: start.command,
                service: start.service,
                start_by,
                lease_until,
            }));
        }
    }

    /// Takes a report: the worker's clock, and that it answers.
    pub(crate) fn reported(&mut self, now: Time, sent: Time, report: &WorkerReport) {
        self.calling = false;
        self.known = true;
        self.clock = Some(ClockSample {
            sent,
            received: now,
            clock: report.clock,
        });
    }

    /// Takes the failure of a call.
    pub(crate) fn not_reported(&mut self, now: Time, retry: Duration) {
        self.calling = false;
        self.next_call = now + retry;
    }

    /// The expected attempts that a report of a call sent at `sent` should list, but which the
    /// worker does not know and surely will not start any more.
    pub(crate) fn missing(&self, sent: Time, report: &WorkerReport) -> Vec<TaskId> {
        let listed = |task: &TaskId, attempt: Attempt| {
            let mut views = report.tasks.iter();
            views.any(|view| view.task == *task && view.attempt == attempt)
        };
        self.expected
            .iter()
            .filter(|(_, expected)| expected.sent && sent > expected.start_limit)
            .filter(|(task, expected)| !listed(task, expected.attempt))
            .map(|(task, _)| task.clone())
            .collect()
    }
}
