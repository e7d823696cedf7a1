//! The platform's transactional table.

use serde::{Deserialize, Serialize};

/// A row of the table as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's version. Each write of the row raises it; it is never 0 and never reused after a
    /// deletion.
    pub version: u64,
    /// The row's value.
    #[serde(with = "crate::http::base64_bytes")]
    pub value: Vec<u8>,
}

/// A condition of a transaction on a row's version or absence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that the row must have, or `None` if the row must not exist.
    pub version: Option<u64>,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// The row's key.
    pub key: String,
    /// The new value; `None` deletes the row.
    #[serde(with = "crate::http::base64_option")]
    pub value: Option<Vec<u8>>,
}

/// A transaction: writes that are applied atomically if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// The conditions. They are evaluated before any write is applied.
    pub checks: Vec<Check>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// A call to the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TableReq {
    /// Reads one row.
    Get {
        /// The row's key.
        key: String,
    },
    /// Reads the rows whose keys have a prefix, in the order of the keys.
    Scan {
        /// The prefix of the keys.
        prefix: String,
        /// Only keys greater than this one are returned. Empty to start with the first key.
        after: String,
        /// The maximum number of rows to return.
        limit: u32,
    },
    /// Commits a transaction.
    Commit(Txn),
}

impl TableReq {
    /// Returns whether the call may change the table.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Commit(_))
    }
}

/// A response of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TableResp {
    /// The row read by a [`TableReq::Get`], or `None` if it does not exist.
    Row(Option<Row>),
    /// The rows read by a [`TableReq::Scan`].
    Rows(Vec<Row>),
    /// The transaction was committed. All rows that it wrote have the same version.
    Committed {
        /// The version of the rows written.
        version: u64,
    },
    /// The transaction was not committed because a check failed.
    Conflict {
        /// The key of the first check that failed.
        key: String,
    },
}
