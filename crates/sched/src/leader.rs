//! When a node should try to become the scheduler.
//!
//! The table orders takeovers: a takeover replaces the lease row under the condition that it is still the
//! one that was read, with the epoch raised. Nothing has to lapse before it, since workers refuse the
//! orders of earlier epochs and every write of a scheduler is bound to its row. So a takeover without need
//! costs some work, but is safe, and what is decided here is only when one is likely to help.

use std::time::Duration;

use model::Time;
use serde::{Deserialize, Serialize};

/// Who schedules. Each transaction of the scheduler writes the row anew with a higher `seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node's name. Empty if the last scheduler has handed over.
    pub holder: String,
    /// Where other nodes reach it.
    pub address: String,
    /// Raised by each takeover.
    pub epoch: u64,
    /// Counts the transactions of the epoch.
    pub seq: u64,
}

/// Settings of a [`Candidacy`].
#[derive(Clone, Copy, Debug)]
pub struct CandidacyConfig {
    /// A scheduler that was not heard of for so long is suspected. It sends a sign of life every 250 ms.
    pub link_timeout: Duration,
    /// A scheduler whose last stored transaction is so long ago is suspected. It stores one every 400 ms,
    /// and slow answers of the table have taken 400 ms.
    pub table_timeout: Duration,
    /// How long the row of a suspected scheduler must stay unchanged before it is taken over.
    pub takeover_timeout: Duration,
    /// The same if its process is known to be gone.
    pub takeover_timeout_gone: Duration,
    /// The same if it has said itself that the table fails it.
    pub takeover_timeout_without_table: Duration,
    /// Where the table is slow, a scheduler gets this many times as long as a read takes for each of its
    /// transactions, if that is more. A write takes two to three times as long as a read.
    pub slow_read_factor: u32,
    /// The most that a scheduler gets on account of a slow table.
    pub slow_timeout_max: Duration,
    /// The pause between two reads of the row of a suspected scheduler.
    pub read_interval: Duration,
    /// Nodes try one after the other, so that the first one is not disturbed by the rest.
    pub stagger: Duration,
}

impl Default for CandidacyConfig {
    fn default() -> Self {
        Self {
            link_timeout: Duration::from_millis(800),
            table_timeout: Duration::from_millis(1_200),
            takeover_timeout: Duration::from_millis(900),
            takeover_timeout_gone: Duration::from_millis(100),
            takeover_timeout_without_table: Duration::from_millis(200),
            slow_read_factor: 5,
            slow_timeout_max: Duration::from_millis(2_500),
            read_interval: Duration::from_millis(200),
            stagger: Duration::from_millis(60),
        }
    }
}

/// What is known of the scheduler by the link to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Nothing is known.
    Unknown,
    /// It is heard of.
    Up {
        /// When it was last heard of.
        heard_at: Time,
        /// How long ago its last stored transaction was by then.
        table_age: Duration,
        /// Whether the table fails it at present.
        is_table_lost: bool,
    },
    /// Its process is gone, or does not schedule any more.
    Gone,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until then, or until something happens.
    Wait(Time),
    /// Read the row.
    Read,
    /// Replace the row that was read last.
    TakeOver,
}

/// A node's view of who schedules, and when it should try to become the scheduler itself.
#[derive(Debug)]
pub struct Candidacy {
    cfg: CandidacyConfig,
    /// How many nodes try before this one.
    rank: u32,
    row: Option<LeaseRow>,
    changed_at: Time,
    /// When the row was last asked for, and whether that brought an answer.
    asked_at: Option<Time>,
    is_read: bool,
    /// When a read began that is not answered.
    reading_since: Option<Time>,
    /// How long the last read took.
    read_took: Duration,
    link: LinkState,
    /// Since when the scheduler is suspected.
    suspected_at: Option<Time>,
}

impl Candidacy {
    /// A node that has seen nothing yet, and before which `rank` others try.
    #[must_use]
    pub const fn new(cfg: CandidacyConfig, rank: u32) -> Self {
        Self {
            cfg,
            rank,
            row: None,
            changed_at: Time::ZERO,
            asked_at: None,
            is_read: false,
            reading_since: None,
            read_took: Duration::ZERO,
            link: LinkState::Unknown,
            suspected_at: None,
        }
    }

    /// The row that was read last.
    #[must_use]
    pub const fn row(&self) -> Option<&LeaseRow> {
        self.row.as_ref()
    }

    /// A read of the row has begun.
    pub const fn read_started(&mut self, now: Time) {
        self.asked_at = Some(now);
        self.reading_since = Some(now);
    }

    /// The row was read; there may be none yet.
    pub fn row_read(&mut self, now: Time, row: Option<LeaseRow>) {
        if let Some(asked_at) = self.reading_since.take() {
            self.read_took = now - asked_at;
        }
        if !self.is_read || self.row != row {
            self.changed_at = now;
            let holder = |row: &Option<LeaseRow>| row.as_ref().map(|r| (r.epoch, r.holder.clone()));
            if holder(&self.row) != holder(&row) {
                self.link = LinkState::Unknown;
                self.suspected_at = None;
            }
        }
        self.is_read = true;
        self.row = row;
    }

    /// Another node tells who schedules. Its word is no reason to take over: the row has to be read first.
    pub fn hint(&mut self, row: LeaseRow) {
        let known = self.row.as_ref().map_or(0, |row| row.epoch);
        if row.epoch > known {
            self.row = Some(row);
            self.is_read = false;
            self.link = LinkState::Unknown;
            self.suspected_at = None;
        }
    }

    /// What the link to the scheduler shows.
    pub fn link_changed(&mut self, now: Time, link: LinkState) {
        self.link = link;
        if self.is_fine(now) {
            self.suspected_at = None;
        }
    }

    fn is_fine(&self, now: Time) -> bool {
        match self.link {
            LinkState::Up {
                heard_at,
                table_age,
                is_table_lost,
            } => {
                now < heard_at + self.cfg.link_timeout
                    && table_age < self.cfg.table_timeout.max(self.slow())
                    && !is_table_lost
            }
            LinkState::Unknown | LinkState::Gone => false,
        }
    }

    /// How long a scheduler may take for a transaction where the table is slow.
    fn slow(&self) -> Duration {
        (self.read_took * self.cfg.slow_read_factor).min(self.cfg.slow_timeout_max)
    }

    /// What to do next.
    pub fn next_step(&mut self, now: Time) -> Step {
        let next_read = match self.asked_at {
            None => return Step::Read,
            Some(at) => at + self.cfg.read_interval,
        };
        if self.is_fine(now) {
            let LinkState::Up { heard_at, .. } = self.link else {
                return Step::Wait(next_read);
            };
            return Step::Wait(heard_at + self.cfg.link_timeout);
        }
        let suspected_at = *self.suspected_at.get_or_insert(now);
        let since = self.changed_at.max(suspected_at);
        let stagger = self.cfg.stagger * self.rank;
        let is_released = self.row.as_ref().is_none_or(|row| row.holder.is_empty());
        let patience = match self.link {
            _ if is_released => Duration::ZERO,
            LinkState::Gone => self.cfg.takeover_timeout_gone,
            LinkState::Up {
                is_table_lost: true,
                ..
            } => self.cfg.takeover_timeout_without_table,
            LinkState::Up { .. } | LinkState::Unknown => self.cfg.takeover_timeout.max(self.slow()),
        };
        // The row has to have been seen unchanged at the end of the patience, not only at its start.
        let is_seen = self.is_read && self.asked_at.is_some_and(|at| at >= since);
        if is_seen && now >= since + patience + stagger {
            return Step::TakeOver;
        }
        if now >= next_read {
            return Step::Read;
        }
        Step::Wait(next_read)
    }
}
