//! The scheduler's view of a domain's workers: their clocks, leases and pending commands.
//!
//! The clocks of two machines are never compared. A report contains a reading of the worker's clock,
//! taken at some time between the sending of the call and the receipt of the report on the
//! scheduler's clock. Each bound below uses the end of that interval that is the safe one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Attempt, Epoch, Size, TaskId, Time};
use place::WorkerSpec;
use store::{Command, TaskPhase, TaskStart, WorkerCall, WorkerReport};

use crate::core::settings::SchedulerConfig;

/// The interval between two reads of a worker's full task list; reads in between return changes only.
const FULL_LIST_INTERVAL: Duration = Duration::from_secs(300);
/// The interval between two stop commands to the tasks of a worker that is being drained.
const STOP_INTERVAL: Duration = Duration::from_secs(2);

/// One reading of a worker's clock, with the times at which the call was sent and its report received
/// on the scheduler's clock.
#[derive(Clone, Copy, Debug)]
struct ClockSample {
    sent: Time,
    received: Time,
    clock: Time,
}

/// A queued start of a task.
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
    /// The worker refuses the start after this time on the scheduler's clock.
    pub(crate) start_limit: Time,
    /// Whether the start command has been sent.
    pub(crate) is_sent: bool,
    /// Whether a report of the worker has contained the attempt.
    pub(crate) is_listed: bool,
}

/// The state of a worker that takes no new work.
#[derive(Clone, Copy, Debug)]
struct Closed {
    since: Time,
    /// Whether the worker is recalled, so that its tasks are stopped without a grace period.
    is_recalled: bool,
    /// When the next stop commands are sent.
    next_stop: Time,
}

/// A call that has not been answered.
#[derive(Clone, Debug)]
struct PendingCall {
    /// The commands of the call, which are sent again if the call fails. Starts and renewals are not
    /// among them.
    commands: Vec<Command>,
    /// Whether the call renews the task leases.
    is_renewal: bool,
}

/// The outcome of the last call to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    /// The worker answered, or has not been called.
    Responding,
    /// The worker answered before the states of the units were read. All of its tasks are renewed.
    RespondingBeforeStates,
    /// The worker did not answer. Calls to it then renew and start nothing, so that its leases expire
    /// if it stays unreachable.
    Unresponsive,
}

/// A worker of the domain.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether the task list was read under this epoch and the leases have not expired since.
    pub(crate) is_known: bool,
    /// Whether the VM list marks the worker as leaving or no longer contains it.
    pub(crate) is_leaving: bool,
    /// Set while the worker takes no new work.
    closed: Option<Closed>,
    /// Tasks that are being stopped. Their replicas take no new requests.
    stopping: BTreeSet<TaskId>,
    pub(crate) expected: BTreeMap<TaskId, Expected>,
    /// The time on the scheduler's clock by which every task lease on the worker has expired.
    pub(crate) leases_until: Time,
    /// The addresses at which replicas take requests.
    pub(crate) endpoints: BTreeMap<TaskId, String>,
    clock: Option<ClockSample>,
    /// The worker's start and the newest change of its task list, as last reported.
    boot: u64,
    newest: u64,
    /// When the full list is read again, in case a change was missed.
    next_full_list: Time,
    starts: Vec<PendingStart>,
    commands: Vec<Command>,
    pending_call: Option<PendingCall>,
    reachability: Reachability,
    next_call: Time,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, leases_until: Time) -> Self {
        Self {
            spec,
            is_known: false,
            is_leaving: false,
            closed: None,
            stopping: BTreeSet::new(),
            expected: BTreeMap::new(),
            leases_until,
            endpoints: BTreeMap::new(),
            clock: None,
            boot: 0,
            newest: 0,
            next_full_list: Time::ZERO,
            starts: Vec::new(),
            commands: Vec::new(),
            pending_call: None,
            reachability: Reachability::Responding,
            next_call: Time::ZERO,
        }
    }

    /// Whether the replicas on the worker take new requests.
    pub(crate) fn serves(&self) -> bool {
        let is_responding =
            self.is_known || self.reachability == Reachability::RespondingBeforeStates;
        is_responding && self.closed.is_none()
    }

    pub(crate) fn close(&mut self, now: Time, is_recalled: bool) {
        let since = self.closed.map_or(now, |closed| closed.since);
        let next_stop = self.closed.map_or(now, |closed| closed.next_stop);
        self.closed = Some(Closed {
            since,
            is_recalled,
            next_stop,
        });
    }

    pub(crate) fn reopen(&mut self) {
        self.closed = None;
    }

    /// Returns whether the tasks on a closed worker must be stopped now, and schedules the next time.
    pub(crate) fn take_due_drain(&mut self, now: Time, grace: Duration) -> bool {
        let Some(closed) = &mut self.closed else {
            return false;
        };
        let from = if closed.is_recalled {
            closed.since
        } else {
            closed.since + grace
        };
        let due = now >= from && now >= closed.next_stop && !self.expected.is_empty();
        if due {
            closed.next_stop = now + STOP_INTERVAL;
        }
        due
    }

    /// Marks a task as being stopped and removes its replica from service.
    pub(crate) fn mark_stopping(&mut self, task: &TaskId) {
        self.endpoints.remove(task);
        self.stopping.insert(task.clone());
    }

    pub(crate) fn is_stopping(&self, task: &TaskId) -> bool {
        self.stopping.contains(task)
    }

    /// Removes a task that has ended.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.expected.remove(task);
        self.endpoints.remove(task);
        self.stopping.remove(task);
    }

    /// Whether the start of any expected task has been sent, so that the task may run.
    pub(crate) fn has_sent_task(&self) -> bool {
        self.expected.values().any(|expected| expected.is_sent)
    }

    /// Removes all starts that were not sent and returns their tasks.
    pub(crate) fn take_unsent(&mut self) -> Vec<TaskId> {
        let starts = std::mem::take(&mut self.starts);
        let tasks: Vec<TaskId> = starts.into_iter().map(|start| start.task).collect();
        for task in &tasks {
            self.forget(task);
        }
        tasks
    }

    /// Queues a start and adds the task to the expected ones.
    pub(crate) fn queue_start(&mut self, start: PendingStart) {
        let expected = Expected {
            attempt: start.attempt,
            start_limit: Time::MAX,
            is_sent: false,
            is_listed: false,
        };
        self.expected.insert(start.task.clone(), expected);
        self.starts.push(start);
    }

    /// Queues a command, unless it is queued already. The next call is then due at once, except for
    /// [`Command::Forget`].
    pub(crate) fn queue_command(&mut self, command: Command) {
        if !self.commands.contains(&command) {
            self.commands.push(command);
        }
    }

    /// Removes a start that was not sent. Returns whether there was one.
    pub(crate) fn cancel_start(&mut self, task: &TaskId) -> bool {
        let before = self.starts.len();
        self.starts.retain(|start| start.task != *task);
        let is_removed = self.starts.len() < before;
        if is_removed {
            self.forget(task);
        }
        is_removed
    }

    /// Returns the next call if one is due. `valid_until` is the end of the scheduler's own lease.
    pub(crate) fn next_call(
        &mut self,
        now: Time,
        epoch: Epoch,
        valid_until: Time,
        cfg: &SchedulerConfig,
    ) -> Option<WorkerCall> {
        let can_wait = |command: &Command| matches!(command, Command::Forget { .. });
        let pending = !(self.starts.is_empty() && self.commands.iter().all(can_wait));
        let urgent = pending && self.is_known && self.reachability != Reachability::Unresponsive;
        if self.pending_call.is_some() || !(urgent || now >= self.next_call) {
            return None;
        }
        self.next_call = now + cfg.worker_interval;
        let mut commands = std::mem::take(&mut self.commands);
        let queued = commands.clone();
        let is_renewal = self.is_known || self.reachability == Reachability::RespondingBeforeStates;
        let is_renewal = is_renewal && self.reachability != Reachability::Unresponsive;
        if let Some(sample) = self.clock.filter(|_| is_renewal) {
            let lease_until = sample.clock + now.since(sample.sent) + cfg.task_lease;
            self.add_renewal(lease_until, &mut commands);
            self.add_starts(now, valid_until, sample, lease_until, cfg, &mut commands);
            let expiry = sample.received + lease_until.since(sample.clock) + cfg.drift_margin;
            self.leases_until = self.leases_until.max(expiry);
        }
        let is_renewal = commands.iter().any(|c| matches!(c, Command::Renew { .. }));
        self.pending_call = Some(PendingCall {
            commands: queued,
            is_renewal,
        });
        if now >= self.next_full_list {
            self.newest = 0;
            self.next_full_list = now + FULL_LIST_INTERVAL;
        }
        Some(WorkerCall {
            worker: self.spec.id,
            epoch,
            boot: self.boot,
            since: self.newest,
            commands,
        })
    }

    /// Adds a renewal of all task leases on the worker. Every task there is known: the full list was
    /// read, and attempts that are not this scheduler's own were told to stop.
    fn add_renewal(&self, lease_until: Time, commands: &mut Vec<Command>) {
        if self.reachability == Reachability::RespondingBeforeStates || self.has_sent_task() {
            commands.push(Command::Renew { lease_until });
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
        // A task must not be started once another scheduler may be active, so the start window ends
        // no later than this scheduler's own lease. The worker's clock reaches `start_by` no later
        // than the scheduler's clock reaches `limit`.
        let limit = (now + cfg.start_window).min(valid_until);
        let start_by = sample.clock + limit.since(sample.received);
        for start in self.starts.drain(..) {
            if let Some(expected) = self.expected.get_mut(&start.task) {
                expected.is_sent = true;
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

    /// Records a report: the worker responds, and the report has its clock and its tasks.
    pub(crate) fn record_report(&mut self, now: Time, sent: Time, report: &WorkerReport) {
        self.call_ended(now, report);
        self.is_known = true;
        if self.reachability == Reachability::RespondingBeforeStates {
            // These endpoints were taken from reports alone. From now on, only those of attempts that
            // the scheduler knows are used.
            self.endpoints.clear();
        }
        self.reachability = Reachability::Responding;
        self.boot = report.boot;
        self.newest = report.newest;
        for view in &report.tasks {
            if let Some(expected) = self.expected.get_mut(&view.task)
                && expected.attempt == view.attempt
            {
                expected.is_listed = true;
            }
        }
        self.clock = Some(ClockSample {
            sent,
            received: now,
            clock: report.clock,
        });
    }

    /// Ends the pending call. If it renewed nothing although tasks run, which is the case for the first
    /// call after a takeover or a failure, the next call is due at once: the leases may expire soon.
    fn call_ended(&mut self, now: Time, report: &WorkerReport) {
        let was_renewal = self.pending_call.take().is_some_and(|call| call.is_renewal);
        let mut views = report.tasks.iter();
        let has_running =
            self.has_sent_task() || views.any(|view| view.phase == TaskPhase::Running);
        if has_running && !was_renewal {
            self.next_call = now;
        }
    }

    /// Records a report that arrived before the states of the units were read. All tasks that run are
    /// renewed, and none is considered ended or lost.
    pub(crate) fn record_report_before_states(
        &mut self,
        now: Time,
        sent: Time,
        report: &WorkerReport,
    ) {
        self.call_ended(now, report);
        self.reachability = Reachability::RespondingBeforeStates;
        self.clock = Some(ClockSample {
            sent,
            received: now,
            clock: report.clock,
        });
        for view in &report.tasks {
            if view.phase == TaskPhase::Running && !view.endpoint.is_empty() {
                let endpoint = view.endpoint.clone();
                self.endpoints.insert(view.task.clone(), endpoint);
            }
        }
    }

    /// Records the failure of a call. Its commands are queued again, since they are idempotent.
    pub(crate) fn record_failure(&mut self, now: Time, retry: Duration) {
        self.reachability = Reachability::Unresponsive;
        let mut commands = self
            .pending_call
            .take()
            .map_or_else(Vec::new, |call| call.commands);
        commands.append(&mut self.commands);
        self.commands = commands;
        self.next_call = now + retry;
    }

    /// Returns the expected tasks that the worker has lost: those that the report of a call sent at
    /// `sent` should contain but does not, and that the worker can no longer start. A report with
    /// changes only says nothing about an attempt that was listed before.
    pub(crate) fn missing_tasks(&self, sent: Time, report: &WorkerReport) -> Vec<TaskId> {
        let listed = |task: &TaskId, attempt: Attempt| {
            let mut views = report.tasks.iter();
            views.any(|view| view.task == *task && view.attempt == attempt)
        };
        self.expected
            .iter()
            .filter(|(_, expected)| expected.is_sent && sent > expected.start_limit)
            .filter(|(_, expected)| report.is_complete || !expected.is_listed)
            .filter(|(task, expected)| !listed(task, expected.attempt))
            .map(|(task, _)| task.clone())
            .collect()
    }
}
