//! What goes into the scheduler and what comes out of it.

use std::{sync::Arc, time::Duration};

use jobs::{JobId, State, StepKey, TaskKey};
use model::{Time, WorkerId};

use crate::Ticket;

/// The present time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// On the process's steady clock.
    pub time: Time,
    /// Time of day, in Unix milliseconds. Only jobs with a schedule go by it.
    pub unix_ms: u64,
}

impl Now {
    /// The point on the steady clock that lies so many milliseconds back.
    #[must_use]
    pub const fn ago(&self, ms: u64) -> Time {
        Time::from_ms(self.time.as_ms().saturating_sub(ms))
    }
}

/// Something that the scheduler's owner has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Order a worker to start a task.
    Start(StartOrder),
    /// Order a worker to stop a task.
    Stop(StopOrder),
    /// Have an approver ask which of some workers may run a step.
    Ask {
        /// The node that is to ask.
        approver: Arc<str>,
        /// The step.
        step: StepKey,
        /// The workers to ask about.
        workers: Vec<Arc<str>>,
        /// How long the answer is expected to take.
        cost: Duration,
    },
    /// Tell clients' nodes of a job's state.
    Publish {
        /// The job.
        job: JobId,
        /// Its state, which is stored.
        state: State,
    },
    /// Look whether a worker is to be polled.
    Wake(WorkerId),
    /// A run is being stopped to make room for urgent work. It is only told; the stop is an action of its own.
    Preempted {
        /// The task that makes way.
        key: TaskKey,
        /// Its worker.
        worker: WorkerId,
        /// The step that gets the room.
        by: StepKey,
    },
}

impl Action {
    /// Whether it is an order to a worker.
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
    /// What the task is to do.
    pub spec: String,
    /// What it resumes from; empty to begin anew.
    pub checkpoint: String,
    /// The approval of the worker, if the queue needs one.
    pub ticket: Option<Ticket>,
    /// Until when its lease runs, in milliseconds on the worker's clock.
    pub lease_until_ms: u64,
}

/// An order to stop a task. It may be sent several times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
}

/// What became of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has the run.
    Started,
    /// The worker has refused it for want of room.
    NoRoom,
    /// The worker has refused the approval.
    NoApproval,
    /// The worker has refused it as outdated: the lease was over, or the run is one of the past.
    Outdated,
    /// The worker is not able to run anything at present, and has done nothing.
    Unhealthy,
    /// The worker found the order faulty.
    Faulty,
    /// Another life of the worker, or another worker, has answered.
    OtherLife,
    /// The worker knows of a newer scheduler.
    Fenced,
    /// No answer. The worker may have the run, or may still get the order.
    Unknown,
}

/// What to do about polling a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poll {
    /// Poll it now.
    Now(PollOrder),
    /// Ask again at this time, or when woken.
    At(Time),
    /// Ask again when woken.
    Never,
}

/// A poll of a worker: it lists its runs and renews their leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PollOrder {
    /// The worker.
    pub worker: WorkerId,
    /// The last end that the worker may forget.
    pub acknowledged: u64,
    /// Until when all leases run, in milliseconds on the worker's clock; not renewed if none.
    pub lease_until_ms: Option<u64>,
    /// How long the worker waits for an end.
    pub wait: Duration,
}

/// What a worker lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// When the life began that answers.
    pub started_unix_ms: u64,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// What has ended and was not acknowledged, in order.
    pub ended: Vec<EndedRow>,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunningRow {
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
    /// What it has saved; empty if nothing.
    pub checkpoint: String,
    /// How much of its work is done, in percent.
    pub percent: u32,
    /// The tail of its response times in milliseconds, for a task that lasts; thousandths of a processor
    /// that it uses, for any other.
    pub load: u64,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// The number of the end, which rises within a life.
    pub number: u64,
    /// The end.
    pub end: jobs::End,
}

/// Why a poll brought no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollFailure {
    /// No answer.
    Silent,
    /// Another life of the worker, or another worker, has answered.
    OtherLife,
    /// The worker knows of a newer scheduler.
    Fenced,
}

/// Changes to store in one transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The encoded progress of jobs.
    pub rows: Vec<(JobId, Vec<u8>)>,
    /// Jobs that were over long enough to be forgotten.
    pub forgotten: Vec<JobId>,
}
