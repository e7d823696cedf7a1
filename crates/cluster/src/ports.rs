//! The traits through which a node reaches the platform, and their data types.

use std::{collections::BTreeMap, future::Future, sync::Arc, time::Duration};

use jobs::StepKey;
use sched::{
    Listing, PollFailure, PollOrder, StartAnswer, StartOrder, StopOrder, Ticket, WorkerInfo,
};

use crate::{
    Routes,
    error::{AskError, CallError, CommitError, FeedError},
};

/// The key of a row. All rows of one transaction are in the same part, but may be in different tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// The table.
    pub table: &'static str,
    /// The partition of the table. A partition executes its transactions one at a time.
    pub part: String,
    /// The key within the part.
    pub key: String,
}

/// A row with its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// The key within the part.
    pub key: String,
    /// The content; `None` if the row was deleted or does not exist.
    pub value: Option<Vec<u8>>,
    /// The version of the row's last change. Versions increase with each change of any row.
    pub version: u64,
}

/// Changes that are stored atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The versions that rows must have for the transaction to be stored; 0 for a row that must not exist.
    pub expected: Vec<(RowKey, u64)>,
    /// Rows to create or replace, with their new contents.
    pub set: Vec<(RowKey, Vec<u8>)>,
    /// Rows to delete.
    pub delete: Vec<RowKey>,
}

/// One page of a range of rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, sorted by key.
    pub rows: Vec<Row>,
    /// Whether the range has further rows after this page.
    pub has_more: bool,
    /// The newest version of the table at the time of the read.
    pub version: u64,
}

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedPage {
    /// The changed rows in the order of their changes.
    pub rows: Vec<Row>,
    /// The version from which later changes can be followed.
    pub version: u64,
}

/// The platform's table store. It is linearizable and supports transactions with conditions on several
/// rows.
pub trait Table {
    /// Stores a transaction, and returns its version.
    fn commit(&self, tx: &Transaction) -> impl Future<Output = Result<u64, CommitError>>;

    /// Reads rows of a part with keys from `from` up to, not including, `to`.
    fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> impl Future<Output = Result<Page, CallError>>;

    /// Returns the changes of a table after version `after`, waiting up to `wait` for the first one.
    fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage, FeedError>>;
}

/// The outcome of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartOutcome {
    /// The answer.
    pub answer: StartAnswer,
    /// How long the worker took to answer, without the time for which the order waited for a connection; `None` if there was
    /// no answer.
    pub taken: Option<Duration>,
    /// The reading of the worker's clock in an answer that it has the run, in milliseconds.
    pub clock_ms: Option<u64>,
}

impl From<StartAnswer> for StartOutcome {
    /// Returns the outcome of an order that the worker has not answered.
    fn from(answer: StartAnswer) -> Self {
        Self {
            answer,
            taken: None,
            clock_ms: None,
        }
    }
}

/// Calls to workers. `fence` is the fencing token that [`Scheduler::fence`](sched::Scheduler::fence) returns. A
/// worker refuses calls with a lower token than it has seen since it started.
pub trait Workers {
    /// Orders a worker to start a task. The order has its fencing token. Returns [`StartAnswer::Unknown`] if there is no
    /// answer within `time_limit` from when the order is sent. If the order has to wait before that, it is sent only if
    /// `may_send` still returns true; otherwise the answer is [`StartAnswer::Busy`].
    fn start(
        &self,
        to: &WorkerInfo,
        order: &StartOrder,
        time_limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> impl Future<Output = StartOutcome>;

    /// Orders a worker to stop a task.
    fn stop(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &StopOrder,
    ) -> impl Future<Output = Result<(), CallError>>;

    /// Lists a worker's running and ended tasks, and renews the leases of the running ones if the order
    /// contains a new expiry.
    fn poll(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &PollOrder,
    ) -> impl Future<Output = Result<Listing, PollFailure>>;

    /// Closes the idle connections to all workers. Called once a node has stopped to schedule.
    fn disconnect(&self);
}

/// An answer of the approval service: which of the workers in a request may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Approval {
    /// The allowed workers, each with the ticket that an order to start there must carry.
    pub allowed: Vec<(Arc<str>, Ticket)>,
    /// How long the tickets are valid.
    pub valid: Duration,
}

/// The approval service, which decides which workers may run a step. It answers one request of a node at a
/// time.
pub trait Approver {
    /// Asks which of `workers` may run a step.
    fn ask(
        &self,
        step: StepKey,
        workers: &[Arc<str>],
    ) -> impl Future<Output = Result<Approval, AskError>>;
}

/// A value read from the platform, with the version of the table it was read at.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The version from which later changes can be followed.
    pub version: u64,
}

/// Changed workers by name; `None` for a worker that was removed from the list.
pub type WorkerChanges = BTreeMap<Arc<str>, Option<WorkerInfo>>;

/// The platform's list of workers, and the operator's configuration.
pub trait Directory {
    /// Reads all workers.
    fn workers(&self) -> impl Future<Output = Result<Versioned<Vec<WorkerInfo>>, CallError>>;

    /// Returns the changes of workers after version `after`, waiting up to `wait` for the first one.
    fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Versioned<WorkerChanges>, FeedError>>;

    /// Reads the configuration; `None` if there is none yet.
    fn routes(&self) -> impl Future<Output = Result<Versioned<Option<Routes>>, CallError>>;

    /// Returns the configuration if it has changed after version `after`, waiting up to `wait` for a
    /// change; `None` if it has not changed.
    fn route_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Versioned<Option<Routes>>, FeedError>>;
}

/// All ports of a platform. Clones share their connections.
pub trait Ports: Table + Workers + Approver + Directory + Clone + 'static {}

impl<T: Table + Workers + Approver + Directory + Clone + 'static> Ports for T {}
