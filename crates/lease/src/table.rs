//! The lease's row as this node last saw it, and the call under way.

use model::{Epoch, Time};

use crate::{Holder, LeaseRow, Output, RowState, WriteResult};

/// What is known of the row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Seen {
    /// The row's version; `None` where there is no row.
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

/// The row, and one call at a time to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Table {
    seen: Option<Seen>,
    /// Whether the last call was answered.
    reachable: bool,
    /// The row may have changed by a write whose outcome is unknown: it is read before the next
    /// write.
    doubtful: bool,
    under_way: Option<Call>,
    last_call: u64,
    last_renewals: u64,
    /// When a candidate reads next.
    pub(crate) next_read: Time,
}

impl Table {
    pub(crate) const fn seen(&self) -> Option<&Seen> {
        self.seen.as_ref()
    }

    pub(crate) const fn is_reachable(&self) -> bool {
        self.reachable
    }

    pub(crate) const fn is_busy(&self) -> bool {
        self.under_way.is_some()
    }

    /// Whether the row must be read before it can be written.
    pub(crate) const fn needs_read(&self) -> bool {
        self.doubtful || self.seen.is_none()
    }

    /// Whether the row is this start's, under this epoch.
    pub(crate) fn is_held_by(&self, holder: &Holder, epoch: Epoch) -> bool {
        let row = self.seen.as_ref().map(|seen| &seen.row);
        row.is_some_and(|row| row.holder.as_ref() == Some(holder) && row.epoch == epoch)
    }

    pub(crate) fn read(&mut self, out: &mut Vec<Output>) {
        if self.is_busy() {
            return;
        }
        let call = self.next_call();
        self.under_way = Some(Call::Read { call });
        out.push(Output::ReadRow { call });
    }

    /// Writes the row as a holder's, or as a free one.
    pub(crate) fn write(&mut self, holder: Option<Holder>, epoch: Epoch, out: &mut Vec<Output>) {
        let Some(seen) = self.seen.as_ref().filter(|_| !self.is_busy()) else {
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
        self.under_way = Some(Call::Write {
            call,
            row: row.clone(),
        });
        out.push(Output::WriteRow {
            call,
            expected,
            row,
        });
    }

    /// Takes the answer to a read. Returns `None` if it answers nothing, and otherwise whether the
    /// row has changed since it was seen before.
    pub(crate) fn row_read(&mut self, now: Time, call: u64, state: RowState) -> Option<bool> {
        self.under_way.take_if(|c| *c == Call::Read { call })?;
        let (version, row) = match state {
            RowState::Unreachable => {
                self.reachable = false;
                return Some(false);
            }
            RowState::Absent => (None, LeaseRow::default()),
            RowState::Present(version, row) => (Some(version), row),
        };
        self.reachable = true;
        self.doubtful = false;
        let before = self.seen.as_ref().map(|seen| seen.version);
        let changed = before.is_some_and(|before| before != version);
        if changed || before.is_none() {
            self.seen = Some(Seen {
                version,
                row,
                since: now,
            });
        }
        Some(changed)
    }

    /// Takes the answer to a write. Returns whether it answers one.
    pub(crate) fn row_written(&mut self, now: Time, call: u64, result: WriteResult) -> bool {
        let ours = |c: &mut Call| matches!(c, Call::Write { call: id, .. } if *id == call);
        let Some(Call::Write { row, .. }) = self.under_way.take_if(ours) else {
            return false;
        };
        self.reachable = matches!(result, WriteResult::Written(_) | WriteResult::Conflict);
        self.doubtful |= matches!(result, WriteResult::Conflict | WriteResult::Unknown);
        if let WriteResult::Written(version) = result {
            self.seen = Some(Seen {
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
