//! The row `lease/<domain>` in the platform's table, and the outcomes of reading and writing it.

use model::{Epoch, Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// A node that holds, or may hold, the lease.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The address at which peers reach the node.
    pub address: String,
}

/// The content of the row `lease/<domain>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder of the lease; `None` after a hand-over.
    pub holder: Option<Holder>,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// The number of times the row was renewed in this epoch.
    pub renewals: u64,
}

/// The outcome of reading the row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RowState {
    /// The row does not exist.
    Absent,
    /// The row and its version in the table.
    Present(u64, LeaseRow),
    /// The table could not be read.
    Unreachable,
}

/// The outcome of writing the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteResult {
    /// The row was written and now has this version.
    Written(u64),
    /// The row had a version other than the expected one and was not written.
    Conflict,
    /// The table could not be reached and nothing was written.
    NotWritten,
    /// No answer arrived, so the row may or may not have been written.
    Unknown,
}
