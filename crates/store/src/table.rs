//! The platform's transactional table.

use serde::{Deserialize, Serialize};

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Raised by each write of the row; never 0, and never reused after a deletion.
    pub version: u64,
    /// The row's value.
    #[serde(with = "crate::http::base64_bytes")]
    pub value: Vec<u8>,
}

/// A condition of a transaction: the row's version, or its absence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Check {
    /// The row's key.
    pub key: String,
    /// The version that the row must have; `None` where there must be no row.
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

/// Writes that are made all or not at all, if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
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
    /// Reads rows by prefix in the order of their keys.
    Scan {
        /// What the keys begin with.
        prefix: String,
        /// Only keys after this one; empty to begin with the first.
        after: String,
        /// The most rows to return.
        limit: u32,
    },
    /// Makes a transaction.
    Commit(Txn),
}

impl TableReq {
    /// Whether the call may change the table.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(self, Self::Commit(_))
    }
}

/// The table's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum TableResp {
    /// The row of a [`TableReq::Get`], if there is one.
    Row(Option<Row>),
    /// The rows of a [`TableReq::Scan`].
    Rows(Vec<Row>),
    /// The transaction was made; all rows it wrote have this version.
    Committed {
        /// The version of the rows written.
        version: u64,
    },
    /// The transaction was not made because of the check of this key.
    Conflict {
        /// The key whose check failed.
        key: String,
    },
}
