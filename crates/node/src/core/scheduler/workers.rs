//! A domain's workers as its scheduler knows them: their clocks, leases and pending commands.
//!
//! Clocks of two machines are never compared. A report names a point on its worker's clock, and the
//! scheduler knows that this point lies between the sending of the call and the receipt of the report
//! on its own clock. Each bound below is computed with whichever end is the safe one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Attempt, Epoch, Size, TaskId, Time};
use place::WorkerSpec;
use store::{Command, TaskPhase, TaskStart, WorkerCall, WorkerReport};

use crate::core::settings::SchedulerConfig;

/// How often a worker's whole list is read.
const WHOLE_INTERVAL: Duration = Duration::from_secs(300);
/// How often the tasks of a worker that is being emptied are told to end.
const STOP_INTERVAL: Duration = Duration::from_secs(2);

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
    /// Whether the worker has listed the attempt.
    pub(crate) seen: bool,
}

/// A worker that takes no new work.
#[derive(Clone, Copy, Debug)]
struct Closed {
    since: Time,
    /// Whether it is recalled: what runs there is stopped at once.
    recalled: bool,
    /// When the tasks there are next told to end.
    next_stop: Time,
}

/// A call that is not answered yet.
#[derive(Clone, Debug)]
struct UnderWay {
    /// Its commands, to be given again if it is not answered.
    commands: Vec<Command>,
    /// Whether it renews what runs.
    renews: bool,
}

/// How a worker took the last call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    /// It answered, or was not called yet.
    Answers,
    /// It answered before the units' states could be read: all that runs there is renewed.
    BeforeStates,
    /// It did not answer. A call that only reads extends no lease, so the leases of a worker that stays
    /// silent lapse in the end.
    Silent,
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    /// Whether its task list was read under this epoch, and it answers.
    pub(crate) known: bool,
    /// Whether the VM list says that it leaves, or does not name it any more.
    pub(crate) leaving: bool,
    /// Since when it takes no new work, if it does not.
    closed: Option<Closed>,
    /// Tasks that are to end: their replicas take no new requests.
    stopping: BTreeSet<TaskId>,
    pub(crate) expected: BTreeMap<TaskId, Expected>,
    /// The last point of the scheduler's clock at which a task may still have a lease there.
    pub(crate) leases_until: Time,
    /// Where its replicas take requests.
    pub(crate) endpoints: BTreeMap<TaskId, String>,
    clock: Option<ClockSample>,
    /// The worker's start, and the newest change of its list, that were last reported.
    boot: u64,
    newest: u64,
    /// When the whole list is read again, should a change have been missed.
    next_whole: Time,
    starts: Vec<PendingStart>,
    commands: Vec<Command>,
    calling: Option<UnderWay>,
    reach: Reach,
    next_call: Time,
}

impl Worker {
    pub(crate) fn new(spec: WorkerSpec, leases_until: Time) -> Self {
        Self {
            spec,
            known: false,
            leaving: false,
            closed: None,
            stopping: BTreeSet::new(),
            expected: BTreeMap::new(),
            leases_until,
            endpoints: BTreeMap::new(),
            clock: None,
            boot: 0,
            newest: 0,
            next_whole: Time::ZERO,
            starts: Vec::new(),
            commands: Vec::new(),
            calling: None,
            reach: Reach::Answers,
            next_call: Time::ZERO,
        }
    }

    /// Whether its replicas take new requests.
    pub(crate) fn serves(&self) -> bool {
        let answers = self.known || self.reach == Reach::BeforeStates;
        answers && self.closed.is_none()
    }

    pub(crate) fn close(&mut self, now: Time, recalled: bool) {
        let since = self.closed.map_or(now, |closed| closed.since);
        let next_stop = self.closed.map_or(now, |closed| closed.next_stop);
        self.closed = Some(Closed {
            since,
            recalled,
            next_stop,
        });
    }

    pub(crate) fn reopen(&mut self) {
        self.closed = None;
    }

    /// Whether what runs here is to be told to end now.
    pub(crate) fn empties(&mut self, now: Time, grace: Duration) -> bool {
        let Some(closed) = &mut self.closed else {
            return false;
        };
        let from = if closed.recalled {
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

    /// Takes a task's replica out of service; the task is to end.
    pub(crate) fn stopping(&mut self, task: &TaskId) {
        self.endpoints.remove(task);
        self.stopping.insert(task.clone());
    }

    pub(crate) fn is_stopping(&self, task: &TaskId) -> bool {
        self.stopping.contains(task)
    }

    /// Forgets a task that has ended.
    pub(crate) fn forget(&mut self, task: &TaskId) {
        self.expected.remove(task);
        self.endpoints.remove(task);
        self.stopping.remove(task);
    }

    /// Whether a task may run here.
    pub(crate) fn has_sent(&self) -> bool {
        self.expected.values().any(|expected| expected.sent)
    }

    /// Takes back all starts that were not sent.
    pub(crate) fn take_unsent(&mut self) -> Vec<TaskId> {
        let starts = std::mem::take(&mut self.starts);
        let tasks: Vec<TaskId> = starts.into_iter().map(|start| start.task).collect();
        for task in &tasks {
            self.forget(task);
        }
        tasks
    }

    /// Queues a start. The task counts as expected from now on.
    pub(crate) fn start(&mut self, start: PendingStart) {
        let expected = Expected {
            attempt: start.attempt,
            start_limit: Time::MAX,
            sent: false,
            seen: false,
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
            self.forget(task);
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
        let waits = |command: &Command| matches!(command, Command::Forget { .. });
        let pending = !(self.starts.is_empty() && self.commands.iter().all(waits));
        let urgent = pending && self.known && self.reach != Reach::Silent;
        if self.calling.is_some() || !(urgent || now >= self.next_call) {
            return None;
        }
        self.next_call = now + cfg.worker_interval;
        let mut commands = std::mem::take(&mut self.commands);
        let given = commands.clone();
        let renews = self.known || self.reach == Reach::BeforeStates;
        let renews = renews && self.reach != Reach::Silent;
        if let Some(sample) = self.clock.filter(|_| renews) {
            let lease_until = sample.clock + now.since(sample.sent) + cfg.task_lease;
            self.add_renewal(lease_until, &mut commands);
            self.add_starts(now, valid_until, sample, lease_until, cfg, &mut commands);
            let lapses = sample.received + lease_until.since(sample.clock) + cfg.drift_margin;
            self.leases_until = self.leases_until.max(lapses);
        }
        let renews = commands.iter().any(|c| matches!(c, Command::Renew { .. }));
        self.calling = Some(UnderWay {
            commands: given,
            renews,
        });
        if now >= self.next_whole {
            self.newest = 0;
            self.next_whole = now + WHOLE_INTERVAL;
        }
        Some(WorkerCall {
            worker: self.spec.id,
            epoch,
            boot: self.boot,
            since: self.newest,
            commands,
        })
    }

    /// Renews what runs on the worker. All of it is known: the whole list was read, and what was not this
    /// scheduler's was told to stop.
    fn add_renewal(&self, lease_until: Time, commands: &mut Vec<Command>) {
        if self.reach == Reach::BeforeStates || self.has_sent() {
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
        self.call_ended(now, report);
        self.known = true;
        if self.reach == Reach::BeforeStates {
            // From here on the attempts that the scheduler knows count.
            self.endpoints.clear();
        }
        self.reach = Reach::Answers;
        self.boot = report.boot;
        self.newest = report.newest;
        for view in &report.tasks {
            if let Some(expected) = self.expected.get_mut(&view.task)
                && expected.attempt == view.attempt
            {
                expected.seen = true;
            }
        }
        self.clock = Some(ClockSample {
            sent,
            received: now,
            clock: report.clock,
        });
    }

    /// A call was answered. Where it renewed nothing although something runs, as the first call after a
    /// takeover or a failure does, the next one is made at once: the leases may be about to lapse.
    fn call_ended(&mut self, now: Time, report: &WorkerReport) {
        let renewed = self.calling.take().is_some_and(|call| call.renews);
        let mut views = report.tasks.iter();
        let runs = self.has_sent() || views.any(|view| view.phase == TaskPhase::Running);
        if runs && !renewed {
            self.next_call = now;
        }
    }

    /// Takes a report that came before the units' states could be read. Whatever runs is renewed; nothing
    /// is judged by it.
    pub(crate) fn seen_before_states(&mut self, now: Time, sent: Time, report: &WorkerReport) {
        self.call_ended(now, report);
        self.reach = Reach::BeforeStates;
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

    /// Takes the failure of a call. Its commands are given again: doing one twice does no harm.
    pub(crate) fn not_reported(&mut self, now: Time, retry: Duration) {
        self.reach = Reach::Silent;
        let mut commands = self
            .calling
            .take()
            .map_or_else(Vec::new, |call| call.commands);
        commands.append(&mut self.commands);
        self.commands = commands;
        self.next_call = now + retry;
    }

    /// The expected attempts that a report of a call sent at `sent` should list, but which the
    /// worker does not know and surely will not start any more. A list of changes says nothing of an
    /// attempt that was listed before.
    pub(crate) fn missing(&self, sent: Time, report: &WorkerReport) -> Vec<TaskId> {
        let listed = |task: &TaskId, attempt: Attempt| {
            let mut views = report.tasks.iter();
            views.any(|view| view.task == *task && view.attempt == attempt)
        };
        self.expected
            .iter()
            .filter(|(_, expected)| expected.sent && sent > expected.start_limit)
            .filter(|(_, expected)| report.is_complete || !expected.seen)
            .filter(|(task, expected)| !listed(task, expected.attempt))
            .map(|(task, _)| task.clone())
            .collect()
    }
}
