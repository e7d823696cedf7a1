//! The row `lease/<domain>` in the platform's table.

use model::{Epoch, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// A node that holds, or may hold, the lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// The node's start.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub address: String,
}

/// The row `lease/<domain>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease; `None` after a hand-over.
    pub holder: Option<Holder>,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// Raised by each renewal.
    pub renewals: u64,
}

/// The outcome of reading the row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RowState {
    /// There is no row.
    Absent,
    /// The row and its version in the table.
    Present(u64, LeaseRow),
    /// The table could not be read.
    Unreachable,
}

/// The outcome of writing the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The row was written and has this version.
    Written(u64),
    /// The row had another version.
    Conflict,
    /// The table was not reached: nothing was written.
    NotWritten,
    /// No answer came: the row may have been written.
    Unknown,
}
