//! The inputs and outputs of the scheduler.

use std::{sync::Arc, time::Duration};

use jobs::{Crash, End, JobId, State, StepKey, TaskKey};
use model::{Time, WorkerId};

use crate::{TaskLeases, Ticket};

/// The present time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// The time on the process's monotonic clock.
    pub time: Time,
    /// The wall-clock time in Unix milliseconds. It determines when occurrences of jobs are due and
    /// how long ago a job was accepted.
    pub unix_ms: u64,
}

impl Now {
    /// Returns the point on the monotonic clock that lies `ms` milliseconds before now.
    #[must_use]
    pub const fn ago(&self, ms: u64) -> Time {
        Time::from_ms(self.time.as_ms().saturating_sub(ms))
    }
}

/// An action that the owner of the scheduler has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Order a worker to start a task.
    Start(StartOrder),
    /// Order a worker to stop a task. The outcome must be reported with
    /// [`Scheduler::stop_answered`](crate::Scheduler::stop_answered) or
    /// [`Scheduler::stop_failed`](crate::Scheduler::stop_failed): until then, no further order to stop the run is sent.
    Stop(StopOrder),
    /// Have an approver ask which of some workers may run a step.
    Ask {
        /// The node that sends the request.
        approver: Arc<str>,
        /// The step.
        step: StepKey,
        /// The workers to ask about.
        workers: Vec<Arc<str>>,
        /// How long the request is expected to take.
        cost: Duration,
    },
    /// Publish a job's state to the nodes that serve clients.
    Publish {
        /// The job.
        job: JobId,
        /// Its state, which is already stored.
        state: State,
    },
    /// Check whether a worker has to be polled, with
    /// [`Scheduler::next_poll`](crate::Scheduler::next_poll).
    Wake(WorkerId),
    /// Report that a run is being stopped to make room for urgent work. The stop order itself is a
    /// separate action.
    Preempted {
        /// The task that is preempted.
        key: TaskKey,
        /// Its worker.
        worker: WorkerId,
        /// The step that gets the capacity.
        by: StepKey,
    },
    /// Report that a run counts as interrupted though its worker has not listed its end.
    Interrupted {
        /// The task.
        key: TaskKey,
        /// The run.
        run: u32,
        /// Its worker.
        worker: WorkerId,
        /// Why the run counts as interrupted.
        cause: Interruption,
    },
    /// Report that a worker has restarted.
    Restarted {
        /// The worker.
        worker: WorkerId,
        /// When its new incarnation started, in Unix milliseconds on its own clock.
        started_unix_ms: u64,
        /// For how long a lease may last that an earlier order has granted to the new incarnation.
        leases_last: Duration,
    },
    /// Report that a worker with runs is not heard of. Its tasks start elsewhere once its leases have lapsed.
    LapseAwaited {
        /// The worker.
        worker: WorkerId,
        /// The number of runs that it has, or may have.
        runs: usize,
        /// How long its leases may last.
        wait: Duration,
    },
    /// Report that a worker answers polls and no stop orders. Its leases are not renewed, and it gets no new work, until it
    /// answers one or the runs that must stop have ended.
    StopsOverdue {
        /// The worker.
        worker: WorkerId,
        /// The number of runs that must stop.
        runs: usize,
        /// How long no stop was answered.
        due_for: Duration,
    },
    /// Report why tasks that have run before wait, if the reason has changed.
    Waits {
        /// Their step.
        step: StepKey,
        /// The number of these tasks.
        tasks: usize,
        /// Why they were not started.
        reason: WaitReason,
    },
    /// Report why no task may start although some wait, or that the cause is gone.
    StartsHeld(Option<StartsHeld>),
    /// Report that a worker has crashed while it had, or may have had, a run.
    Crashed {
        /// The run, and what is known of it.
        crash: Crash,
        /// The worker.
        worker: WorkerId,
        /// The number of crashes that count for the task.
        count: u32,
        /// The evidence of this crash against the task as known now, in thousandths of a natural logarithm of the
        /// likelihood ratio.
        weight: i32,
    },
    /// Report that a job fails because a task crashes its workers.
    GivenUp {
        /// The task.
        key: TaskKey,
        /// The evidence against it or its gang, in the same unit.
        weight: i32,
    },
    /// Report that a worker has listed a run as running that is not the current one of its task there. It is
    /// being stopped.
    Stray {
        /// The task.
        key: TaskKey,
        /// The run.
        run: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// Report that a worker has listed an end that changes nothing, because the task has another run
    /// by now or waits for one. This is normal for ends that an earlier scheduler has stored.
    EndIgnored {
        /// The worker.
        worker: WorkerId,
        /// The end.
        end: End,
    },
}

/// Why a run whose start was ordered counts as interrupted before its worker has listed its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The worker has refused the start order.
    Refused(StartAnswer),
    /// The worker's lists contain neither the run nor its end.
    NotListed,
    /// The worker has restarted, and its new incarnation does not list the run.
    Restarted,
    /// Another worker has taken the place of this one.
    Replaced,
    /// Every lease that the worker could have been granted has lapsed.
    Lapsed,
}

/// Why the waiting tasks of a step were not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// A worker may still have a run of them, or it is not known yet whether they crash their workers.
    Unsettled,
    /// Their team has reached its limit.
    Team,
    /// No workers are approved yet.
    Approvals,
    /// They are held back for gangs.
    Held,
    /// They are suspected to crash their workers, and start few at a time on workers that have just answered.
    Suspected,
    /// Too few of the workers that they may run on have room and a valid ticket.
    NoRoom,
}

/// Why no task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartsHeld {
    /// The table has not confirmed a transaction lately.
    TableUnconfirmed,
    /// The list of workers is too old.
    WorkersUnread,
}

impl Action {
    /// Returns whether the action is an order to a worker.
    #[must_use]
    pub const fn is_order(&self) -> bool {
        matches!(self, Self::Start(_) | Self::Stop(_))
    }
}

/// An order to start a task. It may be sent several times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
    /// The task's specification, as the client submitted it.
    pub spec: String,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// The ticket that proves the worker's approval, if the queue needs one.
    pub ticket: Option<Ticket>,
    /// When the task's lease ends, in milliseconds on the worker's clock.
    pub lease_until_ms: u64,
    /// The fencing token of the incarnation that the order is meant for.
    pub fence: u64,
    /// The number of earlier orders for the run that went without an answer.
    pub unanswered: u32,
}

/// An order to stop a task. It may be sent several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerId,
    /// When the worker's incarnation started that the order is meant for, in Unix milliseconds on its own clock.
    pub started_unix_ms: u64,
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
}

/// The outcome of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has the run.
    Started,
    /// The worker has refused the order because it has too little free capacity.
    NoRoom,
    /// The worker has refused the ticket.
    NoApproval,
    /// The worker has refused the order as outdated: its lease had ended, or it is for a past run.
    Outdated,
    /// The worker cannot run anything at present, and has done nothing.
    Unhealthy,
    /// The worker has rejected the order as invalid.
    Faulty,
    /// Another incarnation of the worker, or another worker, has answered.
    OtherLife,
    /// The worker knows of a newer scheduler.
    Fenced,
    /// The order was not sent, because no connection to the worker could be opened.
    NotSent,
    /// The order was not sent, because other calls to the worker held all connections for too long.
    Busy,
    /// There was no answer. The worker may have the run, or may still receive the order.
    Unknown,
}

/// When to poll a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poll {
    /// Poll it now.
    Now(PollOrder),
    /// Check again at this time, or after an [`Action::Wake`].
    At(Time),
    /// Check again after an [`Action::Wake`].
    Never,
}

/// A poll of a worker. The worker answers with its runs, and their leases are renewed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The number of the last end that the worker may forget.
    pub acknowledged: u64,
    /// When all leases end, in milliseconds on the worker's clock; `None` to leave them unrenewed.
    pub lease_until_ms: Option<u64>,
    /// How long the worker may wait for a run to end before it answers.
    pub wait: Duration,
}

/// The runs that a worker lists in its answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// When the incarnation that answers started, in Unix milliseconds on the worker's clock.
    pub started_unix_ms: u64,
    /// The reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The runs in progress.
    pub running: Vec<RunningRow>,
    /// The ended runs that were not acknowledged yet, in the order of their numbers.
    pub ended: Vec<EndedRow>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunningRow {
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
    /// Its last checkpoint; empty if it has none.
    pub checkpoint: String,
    /// How much of its work is done, in percent.
    pub percent: u32,
    /// For a long-running task, its tail latency in milliseconds; for any other task,
    /// the processor time that it uses, in thousandths of a processor.
    pub load: u64,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// The number of the end, which increases within an incarnation.
    pub number: u64,
    /// The end.
    pub end: End,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// There was no answer.
    Silent,
    /// Another incarnation of the worker, or another worker, has answered.
    OtherLife,
    /// The worker knows of a newer scheduler.
    Fenced,
}

/// Changes to store in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The encoded progress of jobs.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// Jobs whose progress rows must be deleted.
    pub forgotten: Vec<JobId>,
    /// What the lease row tells about task leases; `None` if the scheduler has not begun.
    pub leases: Option<TaskLeases>,
}
