//! The keys and values of the rows of units in the platform's table, and keys of other rows.

use model::{DomainId, Unit, UnitId};
use serde::{Deserialize, Serialize};

use crate::api::TaskState;

/// A unit as it was submitted. Written by the publication of changes and by moves between domains.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct UnitRow {
    pub(crate) unit: Unit,
    /// The domain whose scheduler places it.
    pub(crate) home: DomainId,
    pub(crate) cancelled: bool,
}

/// The state of a unit's tasks. Written by the home domain's scheduler only.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StateRow {
    pub(crate) unit: Unit,
    pub(crate) cancelled: bool,
    /// Why none of its tasks can run, or empty if they can.
    pub(crate) reason: String,
    pub(crate) tasks: Vec<TaskState>,
}

pub(crate) const UNIT_PREFIX: &str = "unit/";
pub(crate) const STATE_PREFIX: &str = "state/";

pub(crate) fn unit_key(id: &UnitId) -> String {
    format!("{UNIT_PREFIX}{id}")
}

pub(crate) fn state_prefix(domain: DomainId) -> String {
    format!("{STATE_PREFIX}{domain}/")
}

pub(crate) fn state_key(domain: DomainId, id: &UnitId) -> String {
    format!("{STATE_PREFIX}{domain}/{id}")
}

pub(crate) const DONE_PREFIX: &str = "done/";

/// The key of a unit's state once no task runs or waits. These rows have a prefix of their own, so that
/// a new scheduler does not have to read them.
pub(crate) fn done_key(domain: DomainId, id: &UnitId) -> String {
    format!("{DONE_PREFIX}{domain}/{id}")
}

/// The prefix of a domain's inbox, which has notices to the scheduler of units whose rows have changed.
pub(crate) fn inbox_prefix(domain: DomainId) -> String {
    format!("inbox/{domain}/")
}

pub(crate) fn inbox_key(domain: DomainId, id: &UnitId) -> String {
    format!("inbox/{domain}/{id}")
}

pub(crate) fn lease_key(domain: DomainId) -> String {
    format!("lease/{domain}")
}

/// Returns the part of a key after its last slash.
pub(crate) fn last_part(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or(key)
}
