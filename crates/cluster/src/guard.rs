//! The guards of the parts of the table of jobs.
//!
//! A write that was given up may be carried out at any later time: by the table, after a connection that was cut delivers it, or
//! by a process that was suspended before it sent the write. A row that makes such a write fail can therefore not be deleted
//! after any fixed time. Each part of the table has a guard row instead. A transaction that creates the row of a job expects
//! the version of the guard that was known when the job's request was read, and a transaction that deletes rows of the
//! part also writes the guard. No creation from before a deletion, and no earlier deletion, succeeds after it.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use model::Time;

use crate::{
    Row,
    rows::{GUARD_KEY, GuardRow},
};

/// The versions of the guards that this node has seen last, by part. A guard that was not seen yet has version 0, as one
/// that does not exist.
#[derive(Debug, Default)]
pub(crate) struct Guards {
    versions: RefCell<HashMap<String, u64>>,
}

impl Guards {
    pub(crate) fn version(&self, part: &str) -> u64 {
        self.versions.borrow().get(part).copied().unwrap_or(0)
    }

    /// Records the version of a guard that another node or a stored transaction shows, unless a newer one is known.
    pub(crate) fn observe(&self, part: &str, version: u64) {
        let mut versions = self.versions.borrow_mut();
        let known = versions.entry(part.to_owned()).or_default();
        *known = version.max(*known);
    }

    /// Records the version of the guard if it is among the rows that the table has returned for a failed transaction.
    /// Expecting a version that is too old only makes a transaction fail.
    pub(crate) fn observe_rows(&self, part: &str, rows: &[Row]) {
        if let Some(row) = rows.iter().find(|row| row.key == GUARD_KEY) {
            self.versions
                .borrow_mut()
                .insert(part.to_owned(), row.version);
        }
    }
}

/// The condition that a row of a job puts on the guard of its part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardCondition {
    /// The version that the guard must have.
    pub(crate) version: u64,
    /// When this node has read the request for the row; `None` if another node has read it.
    pub(crate) read_at: Option<Time>,
}

impl GuardCondition {
    /// Expects a newer version, if that is safe. Returns whether it is. `retention` is the time for which a cancellation of an
    /// unknown job is kept.
    ///
    /// The guard changes only once the cancellations that are deleted with it have been kept for that time. They came before
    /// a request that is younger, so it may be stored. Half of the time is left for answers on their way, and for
    /// clocks that differ in speed.
    pub(crate) fn renew(&mut self, version: u64, now: Time, retention: Duration) -> bool {
        let is_safe = (self.read_at).is_some_and(|read_at| now - read_at < retention / 2);
        if is_safe {
            self.version = version;
        }
        is_safe
    }
}

/// Returns whether `rows` show that the guard was written with this content.
pub(crate) fn is_written(content: GuardRow, rows: &[Row]) -> bool {
    let guard = rows.iter().find(|row| row.key == GUARD_KEY);
    let value = guard.and_then(|row| row.value.as_deref());
    value.is_some_and(|value| jobs::decode(value).is_ok_and(|found: GuardRow| found == content))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a request that was read before a cancellation, and is stored after the deletion of that cancellation
    /// because the node was suspended meanwhile.
    #[test]
    fn an_old_request_does_not_expect_a_newer_version() {
        let retention = Duration::from_secs(30);
        let condition = GuardCondition {
            version: 1,
            read_at: Some(Time::from_ms(1_000)),
        };
        let renewed = |mut condition: GuardCondition, ms| {
            condition
                .renew(2, Time::from_ms(ms), retention)
                .then_some(condition.version)
        };
        assert_eq!(renewed(condition, 15_999), Some(2));
        assert_eq!(renewed(condition, 16_000), None);
        let relayed = GuardCondition {
            read_at: None,
            ..condition
        };
        assert_eq!(renewed(relayed, 1_000), None);
    }

    /// Guards against an old message that makes a node expect a version that the guard no longer has, and against a wrong one
    /// that makes it expect a version that the guard never had.
    #[test]
    fn the_table_knows_best() {
        let guards = Guards::default();
        guards.observe("j1", 7);
        guards.observe("j1", 5);
        assert_eq!((guards.version("j1"), guards.version("j2")), (7, 0));
        let guard = Row {
            key: GUARD_KEY.to_owned(),
            version: 6,
            ..Row::default()
        };
        guards.observe_rows("j1", &[guard]);
        assert_eq!(guards.version("j1"), 6);
    }
}
