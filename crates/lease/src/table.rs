//! The lease's row as this node last read or wrote it, and the pending call to the table.

use model::{Epoch, Time};

use crate::{Holder, LeaseRow, Output, RowState, WriteResult};

/// The row as last read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SeenRow {
    /// The row's version; `None` if the row does not exist.
    pub(crate) version: Option<u64>,
    pub(crate) row: LeaseRow,
    /// When this version was first seen.
    pub(crate) since: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Call {
    Read { call: u64 },
    Write { call: u64, row: LeaseRow },
}

/// The client of the row. At most one call is pending at a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    seen: Option<SeenRow>,
    /// Whether the last call reached the table and was answered.
    is_reachable: bool,
    /// Whether the row may differ from `seen` because of a conflict or a write of unknown outcome. It
    /// must then be read before the next write.
    is_uncertain: bool,
    pending_call: Option<Call>,
    last_call: u64,
    /// The value of `renewals` in the last write, whatever its outcome.
    last_renewals: u64,
    /// When a candidate reads the row next.
    pub(crate) next_read: Time,
}

impl Table {
    pub(crate) const fn seen(&self) -> Option<&SeenRow> {
        self.seen.as_ref()
    }

    pub(crate) const fn is_reachable(&self) -> bool {
        self.is_reachable
    }

    pub(crate) const fn has_pending_call(&self) -> bool {
        self.pending_call.is_some()
    }

    /// Whether the row must be read before it can be written.
    pub(crate) const fn needs_read(&self) -> bool {
        self.is_uncertain || self.seen.is_none()
    }

    /// Whether the row names `holder`, including its incarnation, under `epoch`.
    pub(crate) fn is_held_by(&self, holder: &Holder, epoch: Epoch) -> bool {
        let row = self.seen.as_ref().map(|seen| &seen.row);
        row.is_some_and(|row| row.holder.as_ref() == Some(holder) && row.epoch == epoch)
    }

    /// Reads the row, unless a call is pending.
    pub(crate) fn read(&mut self, out: &mut Vec<Output>) {
        if self.has_pending_call() {
            return;
        }
        let call = self.next_call();
        self.pending_call = Some(Call::Read { call });
        out.push(Output::ReadRow { call });
    }

    /// Writes the row with a holder, or without one to release it. Does nothing while a call is pending or
    /// before the row was first read.
    pub(crate) fn write(&mut self, holder: Option<Holder>, epoch: Epoch, out: &mut Vec<Output>) {
        let Some(seen) = self.seen.as_ref().filter(|_| !self.has_pending_call()) else {
            return;
        };
        let expected = seen.version;
        let renewals = if seen.row.epoch == epoch {
            seen.row.renewals.max(self.last_renewals) + 1
        } else {
            0
        };
        let row = LeaseRow {
            holder,
            epoch,
            renewals,
        };
        let call = self.next_call();
        self.last_renewals = renewals;
        self.pending_call = Some(Call::Write {
            call,
            row: row.clone(),
        });
        out.push(Output::WriteRow {
            call,
            expected,
            row,
        });
    }

    /// Processes the answer to a read. Returns `None` if no such read is pending, and otherwise
    /// whether the row has changed since it was last seen.
    pub(crate) fn on_read(&mut self, now: Time, call: u64, state: RowState) -> Option<bool> {
        self.pending_call.take_if(|c| *c == Call::Read { call })?;
        let (version, row) = match state {
            RowState::Unreachable => {
                self.is_reachable = false;
                return Some(false);
            }
            RowState::Absent => (None, LeaseRow::default()),
            RowState::Present(version, row) => (Some(version), row),
        };
        self.is_reachable = true;
        self.is_uncertain = false;
        let before = self.seen.as_ref().map(|seen| seen.version);
        let has_changed = before.is_some_and(|before| before != version);
        if has_changed || before.is_none() {
            self.seen = Some(SeenRow {
                version,
                row,
                since: now,
            });
        }
        Some(has_changed)
    }

    /// Processes the answer to a write. Returns whether such a write was pending.
    pub(crate) fn on_write(&mut self, now: Time, call: u64, result: WriteResult) -> bool {
        let is_this_write = |c: &mut Call| matches!(c, Call::Write { call: id, .. } if *id == call);
        let Some(Call::Write { row, .. }) = self.pending_call.take_if(is_this_write) else {
            return false;
        };
        self.is_reachable = matches!(result, WriteResult::Written(_) | WriteResult::Conflict);
        self.is_uncertain |= matches!(result, WriteResult::Conflict | WriteResult::Unknown);
        if let WriteResult::Written(version) = result {
            self.seen = Some(SeenRow {
                version: Some(version),
                row,
                since: now,
            });
        }
        true
    }

    const fn next_call(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }
}
