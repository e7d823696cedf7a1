//! Decides when a node should try to become the scheduler.
//!
//! The table serializes takeovers: a takeover replaces the lease row on the condition that the row
//! is still the one that was read, and raises the epoch. Nothing has to expire first, because
//! workers refuse the orders of earlier epochs and every write of a scheduler is conditional on its
//! row. An unnecessary takeover is therefore safe and only costs work. This module decides only
//! when a takeover is likely to help.

use std::time::Duration;

use jobs::trailing;
use model::Time;
use serde::{Deserialize, Serialize};

use crate::{PastLeases, SchedConfig, TaskLeases};

/// The lease row, which names the scheduler. Each transaction of the scheduler rewrites it with a
/// higher `seq`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The scheduler's node name. Empty if the last scheduler has handed over.
    pub holder: String,
    /// The address where other nodes reach the scheduler.
    pub address: String,
    /// The scheduling epoch, raised by each takeover. It is the highest fencing token that this scheduler may
    /// use.
    pub epoch: u64,
    /// The number of transactions in this epoch.
    pub seq: u64,
    /// What is known of task leases; `None` in rows of earlier builds.
    #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
    pub leases: Option<TaskLeases>,
}

/// The number of fencing tokens of each epoch. A scheduler begins with the lowest one for each worker. Tokens are
/// raised by one at a time, and not beyond the last one of the epoch. A busy worker's token rises about once per
/// acknowledgement of ends: at 5 per second the tokens last for nine days.
pub(crate) const FENCES_PER_EPOCH: u64 = 1 << 22;

impl LeaseRow {
    /// Returns the epoch of the scheduler that replaces the one of this row. All of its fencing tokens are higher
    /// than those of this row's scheduler.
    #[must_use]
    pub const fn next_epoch(&self) -> u64 {
        self.epoch + FENCES_PER_EPOCH
    }
}

/// Settings of a [`Candidacy`].
#[derive(Clone, Copy, Debug)]
pub struct CandidacyConfig {
    /// The time without a message after which the row is read, so that the time for which it must stay unchanged runs
    /// while the scheduler may still be heard. It is longer than the 150 ms between two heartbeats.
    pub doubt_timeout: Duration,
    /// The time without a message after which the scheduler is suspected.
    pub link_timeout: Duration,
    /// The age of the scheduler's last stored transaction at which it is suspected. It stores one
    /// every 200 ms, and slow answers of the table have taken 400 ms.
    pub table_timeout: Duration,
    /// How long the lease row of a suspected scheduler must stay unchanged before a takeover.
    pub takeover_timeout: Duration,
    /// Used instead of `takeover_timeout` if the scheduler is known to store a transaction every 200 ms. Earlier builds
    /// store one every 400 ms.
    pub takeover_timeout_quick: Duration,
    /// Used instead of `takeover_timeout` if the scheduler's process is known to be gone.
    pub takeover_timeout_gone: Duration,
    /// Used instead of `takeover_timeout` if the scheduler itself has reported that it cannot reach
    /// the table.
    pub takeover_timeout_without_table: Duration,
    /// While the table is slow, the scheduler's transactions may take this multiple of the duration
    /// of the last read, if that exceeds the other timeouts. A write takes two to three times as
    /// long as a read.
    pub slow_read_factor: u32,
    /// The longest time that `slow_read_factor` can allow.
    pub slow_timeout_max: Duration,
    /// The interval between two reads of the row of a suspected scheduler.
    pub read_interval: Duration,
    /// The delay between the takeover attempts of successive nodes, so that the first one is not
    /// disturbed by the others.
    pub stagger: Duration,
}

impl Default for CandidacyConfig {
    fn default() -> Self {
        Self {
            doubt_timeout: Duration::from_millis(220),
            link_timeout: Duration::from_millis(450),
            table_timeout: Duration::from_millis(1_200),
            takeover_timeout: Duration::from_millis(500),
            takeover_timeout_quick: Duration::from_millis(350),
            takeover_timeout_gone: Duration::from_millis(100),
            takeover_timeout_without_table: Duration::from_millis(200),
            slow_read_factor: 5,
            slow_timeout_max: Duration::from_millis(2_500),
            read_interval: Duration::from_millis(200),
            stagger: Duration::from_millis(60),
        }
    }
}

/// The state of the scheduler as seen through the link to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Nothing is known.
    Unknown,
    /// Messages from the scheduler arrive.
    Up {
        /// When its last message arrived.
        heard_at: Time,
        /// The age of its last stored transaction when it sent that message.
        table_age: Duration,
        /// Whether it reports that it cannot reach the table.
        is_table_lost: bool,
    },
    /// Its process is gone, or no longer schedules.
    Gone,
    /// It was an earlier process of this node.
    Restarted,
}

/// What a node has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait until this time, or until an event occurs.
    Wait(Time),
    /// Read the lease row.
    Read,
    /// Replace the lease row that was read last.
    TakeOver,
}

/// A node's view of the current scheduler, and of when the node should try to take over.
#[derive(Debug)]
pub struct Candidacy {
    cfg: CandidacyConfig,
    /// The number of nodes that try to take over before this one.
    rank: u32,
    row: Option<LeaseRow>,
    /// When a read last found that the row had changed.
    changed_at: Time,
    /// When the last read of the row began.
    last_read_at: Option<Time>,
    /// Whether `row` is the result of a read, not of a hint.
    is_read: bool,
    /// When the read in flight began.
    reading_since: Option<Time>,
    /// The duration of the last read.
    read_duration: Duration,
    link: LinkState,
    /// Whether the scheduler is known to store a transaction every 200 ms.
    is_quick: bool,
    /// When the scheduler became doubted, or suspected at once.
    suspected_at: Option<Time>,
}

impl Candidacy {
    /// Creates the view of a node that knows of no scheduler yet and before which `rank` others try
    /// to take over.
    #[must_use]
    pub const fn new(cfg: CandidacyConfig, rank: u32) -> Self {
        Self {
            cfg,
            rank,
            row: None,
            changed_at: Time::ZERO,
            last_read_at: None,
            is_read: false,
            reading_since: None,
            read_duration: Duration::ZERO,
            link: LinkState::Unknown,
            is_quick: false,
            suspected_at: None,
        }
    }

    /// Returns the row that was last read or received as a hint.
    #[must_use]
    pub const fn row(&self) -> Option<&LeaseRow> {
        self.row.as_ref()
    }

    /// Returns what is known of task leases to this node, `own`, when it replaces the row.
    #[must_use]
    pub fn past_leases(&self, now: Time, own: &str, cfg: &SchedConfig) -> PastLeases {
        let row = self.row.as_ref();
        let past = row.map(|row| PastLeases::from_row(now, self.changed_at, row, own, cfg));
        // Without a row, no node has ever scheduled.
        past.unwrap_or_default()
    }

    /// Sets the number of nodes that try to take over before this one.
    pub const fn set_rank(&mut self, rank: u32) {
        self.rank = rank;
    }

    /// Records that a read of the row has begun.
    pub const fn read_started(&mut self, now: Time) {
        self.last_read_at = Some(now);
        self.reading_since = Some(now);
    }

    /// Handles the result of a read. `row` is `None` if there is no lease row yet.
    pub fn row_read(&mut self, now: Time, row: Option<LeaseRow>) {
        if let Some(started_at) = self.reading_since.take() {
            self.read_duration = now - started_at;
        }
        if !self.is_read || self.row != row {
            self.changed_at = now;
            let holder = |row: &Option<LeaseRow>| row.as_ref().map(|r| (r.epoch, r.holder.clone()));
            if holder(&self.row) != holder(&row) {
                self.link = LinkState::Unknown;
                self.is_quick = false;
                self.suspected_at = None;
            }
        }
        self.is_read = true;
        self.row = row;
    }

    /// Handles a message of another node that names the scheduler. It is not sufficient for a
    /// takeover: the row has to be read first.
    pub fn hint(&mut self, row: LeaseRow) {
        let known = self.row.as_ref().map_or(0, |row| row.epoch);
        if row.epoch > known {
            self.row = Some(row);
            self.is_read = false;
            self.link = LinkState::Unknown;
            self.is_quick = false;
            self.suspected_at = None;
        }
    }

    /// Records that the row has changed to one that cannot be read, so that there is none to replace.
    pub const fn row_unreadable(&mut self) {
        self.is_read = false;
    }

    /// Updates the state of the link to the scheduler.
    pub fn link_changed(&mut self, now: Time, link: LinkState) {
        self.link = link;
        if self.is_healthy(now) && !self.is_doubted(now) {
            self.suspected_at = None;
        }
    }

    /// Sets whether the scheduler is known to store a transaction every 200 ms.
    pub const fn set_quick(&mut self, is_quick: bool) {
        self.is_quick = is_quick;
    }

    /// Returns whether a heartbeat of the scheduler is overdue.
    fn is_doubted(&self, now: Time) -> bool {
        match self.link {
            LinkState::Up { heard_at, .. } => now >= heard_at + self.cfg.doubt_timeout,
            LinkState::Unknown | LinkState::Gone | LinkState::Restarted => true,
        }
    }

    fn is_healthy(&self, now: Time) -> bool {
        match self.link {
            LinkState::Up {
                heard_at,
                table_age,
                is_table_lost,
            } => {
                now < heard_at + self.cfg.link_timeout
                    && table_age < self.cfg.table_timeout.max(self.slow_table_timeout())
                    && !is_table_lost
            }
            LinkState::Unknown | LinkState::Gone | LinkState::Restarted => false,
        }
    }

    /// Returns how long a transaction of the scheduler may take, judged by the duration of the last
    /// read.
    fn slow_table_timeout(&self) -> Duration {
        (self.read_duration * self.cfg.slow_read_factor).min(self.cfg.slow_timeout_max)
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, now: Time) -> Step {
        let next_read = match self.last_read_at {
            None => return Step::Read,
            Some(at) => at + self.cfg.read_interval,
        };
        let is_healthy = self.is_healthy(now);
        if is_healthy && !self.is_doubted(now) {
            let LinkState::Up { heard_at, .. } = self.link else {
                return Step::Wait(next_read);
            };
            return Step::Wait(heard_at + self.cfg.doubt_timeout);
        }
        let suspected_at = *self.suspected_at.get_or_insert(now);
        let since = self.changed_at.max(suspected_at);
        let is_restarted = self.link == LinkState::Restarted;
        // Other nodes cannot know as early that the scheduler is gone, so there is none to make way for.
        let rank = if is_restarted { 0 } else { self.rank };
        let stagger = self.cfg.stagger * rank;
        let is_released = self.row.as_ref().is_none_or(|row| row.holder.is_empty());
        let timeout = match self.link {
            _ if is_released || is_restarted => Duration::ZERO,
            LinkState::Gone => self.cfg.takeover_timeout_gone,
            LinkState::Up {
                is_table_lost: true,
                ..
            } => self.cfg.takeover_timeout_without_table,
            LinkState::Up { .. } | LinkState::Unknown | LinkState::Restarted => {
                let timeout = if self.is_quick {
                    self.cfg.takeover_timeout_quick
                } else {
                    self.cfg.takeover_timeout
                };
                timeout.max(self.slow_table_timeout())
            }
        };
        // If the row must stay unchanged, it must have been read again after the timeout started.
        let is_unchanged = timeout.is_zero() || self.last_read_at.is_some_and(|at| at >= since);
        let is_confirmed = self.is_read && is_unchanged;
        if !is_healthy && is_confirmed && now >= since + timeout + stagger {
            return Step::TakeOver;
        }
        if now >= next_read {
            return Step::Read;
        }
        Step::Wait(next_read)
    }
}
