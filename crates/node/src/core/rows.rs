//! The rows of the platform's table that a node reads and writes.

use model::{DomainId, Unit, UnitId};
use serde::{Deserialize, Serialize};

use crate::api::TaskState;

/// What was submitted. Written by operators' nodes only.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct UnitRow {
    pub(crate) unit: Unit,
    /// The domain whose scheduler places it.
    pub(crate) home: DomainId,
    pub(crate) cancelled: bool,
}

/// How far the unit's tasks have come. Written by the home domain's scheduler only.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StateRow {
    pub(crate) unit: Unit,
    pub(crate) cancelled: bool,
    /// Why none of its tasks can run; empty where they can.
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

/// Where a unit's state is kept once no task runs or waits, so that a new scheduler need not read it.
pub(crate) fn done_key(domain: DomainId, id: &UnitId) -> String {
    format!("{DONE_PREFIX}{domain}/{id}")
}

/// Notices to a domain's scheduler that a unit's row has changed.
pub(crate) fn inbox_prefix(domain: DomainId) -> String {
    format!("inbox/{domain}/")
}

pub(crate) fn inbox_key(domain: DomainId, id: &UnitId) -> String {
    format!("inbox/{domain}/{id}")
}

pub(crate) fn lease_key(domain: DomainId) -> String {
    format!("lease/{domain}")
}

/// The part of a key after its last slash.
pub(crate) fn last_part(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or(key)
}
