//! Identifiers of machines, places and units of work.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The maximum length of the name of a failure domain or region, in bytes.
const MAX_LABEL_BYTES: usize = 23;

/// A short name that is copied by value, used for failure domains and regions.
///
/// A label is 1 to 23 bytes of ASCII letters, digits, `-` and `_`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Label {
    bytes: [u8; MAX_LABEL_BYTES],
    len: u8,
}

/// The error for a name that is not a valid [`Label`]. Contains the name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is not a name of 1 to 23 ASCII letters, digits, `-` or `_`")]
pub struct LabelError(pub String);

impl Label {
    /// Creates a label from a name.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is empty, too long, or contains a character that is not allowed.
    pub fn new(name: &str) -> Result<Self, LabelError> {
        let valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if name.is_empty() || name.len() > MAX_LABEL_BYTES || !name.bytes().all(valid) {
            return Err(LabelError(name.to_owned()));
        }
        let mut bytes = [0; MAX_LABEL_BYTES];
        bytes[..name.len()].copy_from_slice(name.as_bytes());
        let len = u8::try_from(name.len()).unwrap_or(0);
        Ok(Self { bytes, len })
    }

    /// Returns the label as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        str::from_utf8(&self.bytes[..usize::from(self.len)]).unwrap_or_default()
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Debug for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl TryFrom<String> for Label {
    type Error = LabelError;

    fn try_from(name: String) -> Result<Self, LabelError> {
        Self::new(&name)
    }
}

impl From<Label> for String {
    fn from(label: Label) -> Self {
        label.as_str().to_owned()
    }
}

macro_rules! label_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub Label);

        impl FromStr for $name {
            type Err = LabelError;

            fn from_str(name: &str) -> Result<Self, LabelError> {
                Label::new(name).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

label_id! {
    /// A failure domain: a set of VMs that may fail or be cut off together.
    DomainId
}
label_id! {
    /// A region: one or more failure domains connected by low-latency links.
    RegionId
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            /// Parses the number with or without its prefix letter.
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_prefix($prefix).unwrap_or(text).parse().map(Self)
            }
        }
    };
}

number_id! {
    /// A node: one `lacewingrouter` process on an entry VM.
    NodeId, u32, "n"
}
number_id! {
    /// A worker VM, which runs tasks.
    WorkerId, u32, "w"
}
number_id! {
    /// A rack of workers. Its number is unique within the cluster.
    RackId, u32, "r"
}
number_id! {
    /// The number of one start of a node, greater than the numbers of the node's earlier starts.
    Incarnation, u64, "i"
}
number_id! {
    /// The number of an attempt of a task, from 1. Attempt 0 means that there was no attempt yet.
    Attempt, u32, "a"
}

/// The epoch of a domain's scheduler. A higher epoch supersedes a lower one.
///
/// A takeover through the platform's table increments the table part. A takeover within a failure
/// domain that is cut off from the platform increments the local part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Epoch {
    /// Incremented by each takeover recorded in the table.
    pub table: u64,
    /// Incremented by each takeover while the table is unreachable; 0 otherwise.
    pub local: u32,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}.{}", self.table, self.local)
    }
}

/// The id of a submitted unit of work. The submitter chooses it, so that a repeated submission is
/// recognised.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct UnitId(pub Arc<str>);

impl UnitId {
    /// Creates an id from a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// Returns the id as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for UnitId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// The id of a task of a unit of work: a replica of a service, or a task of a batch or job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TaskId {
    /// The unit that the task belongs to.
    pub unit: UnitId,
    /// The task's number within its unit, from 0.
    pub index: u32,
}

impl TaskId {
    /// Creates the id of the task `index` of `unit`.
    #[must_use]
    pub fn new(unit: &UnitId, index: u32) -> Self {
        Self {
            unit: unit.clone(),
            index,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.unit, self.index)
    }
}
