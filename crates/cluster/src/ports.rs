//! Ports to the platform.

use std::{collections::BTreeMap, future::Future, sync::Arc, time::Duration};

use jobs::StepKey;
use sched::{
    Listing, PollFailure, PollOrder, StartAnswer, StartOrder, StopOrder, Ticket, WorkerInfo,
};

use crate::{
    Routes,
    error::{AskError, CallError, CommitError, FeedError},
};

/// Names a row. Rows of one transaction share their part, in any tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RowKey {
    /// The table.
    pub table: &'static str,
    /// The part of the table.
    pub part: String,
    /// The row within the part.
    pub key: String,
}

/// A row with its version. A row that was deleted has no value.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// The row within its part.
    pub key: String,
    /// Its content.
    pub value: Option<Vec<u8>>,
    /// Rises with each change of any row.
    pub version: u64,
}

/// Changes that are stored together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The version that rows must have; 0 for a row that must not exist.
    pub expected: Vec<(RowKey, u64)>,
    /// New contents of rows.
    pub set: Vec<(RowKey, Vec<u8>)>,
    /// Rows to delete.
    pub delete: Vec<RowKey>,
}

/// Part of a range of rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Whether there are more.
    pub has_more: bool,
    /// The newest version at the time of the read.
    pub version: u64,
}

/// Changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FeedPage {
    /// The changed rows in the order of their changes.
    pub rows: Vec<Row>,
    /// Where to go on.
    pub version: u64,
}

/// The platform's table: linearizable, with conditions on several rows.
pub trait Table {
    /// Stores changes, and returns their version.
    fn commit(&self, tx: &Transaction) -> impl Future<Output = Result<u64, CommitError>>;

    /// Reads rows of a part with keys from `from` up to, not including, `to`.
    fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> impl Future<Output = Result<Page, CallError>>;

    /// Waits for changes of a table after a version.
    fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage, FeedError>>;
}

/// Calls to workers. The fence is the epoch of the scheduler that gives the order.
pub trait Workers {
    /// Orders a task's start.
    fn start(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &StartOrder,
    ) -> impl Future<Output = StartAnswer>;

    /// Orders a task's stop.
    fn stop(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &StopOrder,
    ) -> impl Future<Output = Result<(), CallError>>;

    /// Lists what runs and what has ended, and renews leases.
    fn poll(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &PollOrder,
    ) -> impl Future<Output = Result<Listing, PollFailure>>;
}

/// Which of the workers asked about may run a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Approval {
    /// The allowed workers, each with the ticket that a start has to carry.
    pub allowed: Vec<(Arc<str>, Ticket)>,
    /// How long the tickets hold.
    pub valid: Duration,
}

/// The service that knows which workers may run a step. It answers one request of a node at a time.
pub trait Approver {
    /// Asks which of some workers may run a step.
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

/// Workers by name; none for one that is gone.
pub type WorkerChanges = BTreeMap<Arc<str>, Option<WorkerInfo>>;

/// The platform's list of workers, and the operator's configuration.
pub trait Directory {
    /// Reads all workers.
    fn workers(&self) -> impl Future<Output = Result<Versioned<Vec<WorkerInfo>>, CallError>>;

    /// Waits for changes of workers.
    fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Versioned<WorkerChanges>, FeedError>>;

    /// Reads the configuration; none if there is none yet.
    fn routes(&self) -> impl Future<Output = Result<Versioned<Option<Routes>>, CallError>>;

    /// Waits for a change of the configuration; none if it has not changed.
    fn route_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Versioned<Option<Routes>>, FeedError>>;
}

/// All ports together. Clones share their connections.
pub trait Ports: Table + Workers + Approver + Directory + Clone + 'static {}

impl<T: Table + Workers + Approver + Directory + Clone + 'static> Ports for T {}
