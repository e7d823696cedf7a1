//! The domain lease.

use std::time::Duration;

use model::{Epoch, Incarnation, NodeId, Time};
use serde::{Deserialize, Serialize};

/// Settings of the domain lease.
#[derive(Clone, Debug)]
pub struct LeaseConfig {
    /// How long a renewal is good for. 6 s by default.
    pub term: Duration,
    /// The interval of renewals. 2 s by default.
    pub renew_every: Duration,
    /// What a candidate waits beyond the term, for clocks that run at different speeds. 600 ms by
    /// default.
    pub drift_margin: Duration,
    /// The interval at which a candidate reads the row. 1 s by default.
    pub read_every: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(6),
            renew_every: Duration::from_secs(2),
            drift_margin: Duration::from_millis(600),
            read_every: Duration::from_secs(1),
        }
    }
}

/// A node that holds, or may hold, the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The node.
    pub node: NodeId,
    /// The node's start.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub address: String,
}

/// The row `lease/<domain>`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Who holds the lease; `None` after a hand-over.
    pub holder: Option<Holder>,
    /// The holder's epoch.
    pub epoch: Epoch,
    /// Raised by each renewal.
    pub renewals: u64,
}

/// The outcome of reading the row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowState {
    /// There is no row.
    Absent,
    /// The row and its version in the table.
    Present(u64, LeaseRow),
    /// The table could not be read.
    Unreachable,
}

/// The outcome of writing the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The row was written and has this version.
    Written(u64),
    /// The row had another version.
    Conflict,
    /// The table was not reached: nothing was written.
    NotWritten,
    /// No answer came: the row may have been written.
    Unknown,
}

/// A message between the nodes of a domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseMsg {
    /// The holder has stopped and given up the lease of this epoch.
    HandedOver {
        /// The epoch given up.
        epoch: Epoch,
    },
}

/// What happens to the machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The answer to [`Output::ReadRow`].
    RowRead {
        /// The call that it answers.
        call: u64,
        /// What was read.
        state: RowState,
    },
    /// The answer to [`Output::WriteRow`].
    RowWritten {
        /// The call that it answers.
        call: u64,
        /// What became of the write.
        result: WriteResult,
    },
    /// A message from another node of the domain.
    Peer {
        /// The sender.
        from: NodeId,
        /// The message.
        msg: LeaseMsg,
    },
    /// The node shuts down: the lease is given up.
    HandOver,
}

/// What the machine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Read the row.
    ReadRow {
        /// Comes back with the answer.
        call: u64,
    },
    /// Write the row, if it still has the expected version.
    WriteRow {
        /// Comes back with the answer.
        call: u64,
        /// The version that the row must have; `None` where there must be no row.
        expected: Option<u64>,
        /// The row's new content.
        row: LeaseRow,
    },
    /// Send a message to every other node of the domain.
    Broadcast(LeaseMsg),
    /// This node schedules the domain from now on.
    Activated(Epoch),
    /// This node schedules the domain no longer.
    Stopped(Epoch),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Held {
    epoch: Epoch,
    version: u64,
    renewals: u64,
    valid_until: Time,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    version: u64,
    epoch: Epoch,
    since: Time,
    free: bool,
}

#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    call: u64,
    sent: Time,
    epoch: Epoch,
    renewals: u64,
    release: bool,
}

/// The lease of one domain as one node sees it.
#[derive(Clone, Debug)]
pub struct LeaseMachine {
    cfg: LeaseConfig,
    me: Holder,
    held: Option<Held>,
    seen: Option<Seen>,
    reading: Option<(u64, Time)>,
    writing: Option<PendingWrite>,
    next_read: Time,
    next_renewal: Time,
    next_call: u64,
    leaving: bool,
}

impl LeaseMachine {
    /// A machine that holds nothing.
    #[must_use]
    pub fn new(cfg: LeaseConfig, me: Holder) -> Self {
        Self {
            cfg,
            me,
            held: None,
            seen: None,
            reading: None,
            writing: None,
            next_read: Time::ZERO,
            next_renewal: Time::ZERO,
            next_call: 0,
            leaving: false,
        }
    }

    /// The epoch under which this node may act at `now`, if it holds the lease.
    #[must_use]
    pub fn active(&self, now: Time) -> Option<Epoch> {
        self.held
            .filter(|held| now < held.valid_until)
            .map(|held| held.epoch)
    }

    /// The point up to which this node may act, if it holds the lease at `now`. A command that another
    /// process carries out later than this is to be refused there.
    #[must_use]
    pub fn valid_until(&self, now: Time) -> Option<Time> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.valid_until)
    }

    /// Takes one input and appends what is to be done.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.drop_lapsed(now, out);
        match input {
            Input::Tick => self.tick(now, out),
            Input::RowRead { call, state } => self.row_read(now, call, state, out),
            Input::RowWritten { call, result } => self.row_written(now, call, result, out),
            Input::Peer { msg, .. } => self.peer(&msg),
            Input::HandOver => self.hand_over(now, out),
        }
    }

    fn drop_lapsed(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(held) = self.held.filter(|held| now >= held.valid_until) {
            self.held = None;
            out.push(Output::Stopped(held.epoch));
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(held) = self.held {
            if now >= self.next_renewal && self.writing.is_none() {
                self.next_renewal = now + self.cfg.renew_every;
                let renewals = held.renewals + 1;
                self.write(now, Some(held.version), held.epoch, renewals, out);
            }
        } else if now >= self.next_read && !self.leaving {
            self.next_read = now + self.cfg.read_every;
            let call = self.call();
            self.reading = Some((call, now));
            out.push(Output::ReadRow { call });
        }
    }

    fn row_read(&mut self, now: Time, call: u64, state: RowState, out: &mut Vec<Output>) {
        let Some((_, sent)) = self.reading.filter(|(expected, _)| *expected == call) else {
            return;
        };
        self.reading = None;
        if self.held.is_some() || self.leaving {
            return;
        }
        match state {
            RowState::Unreachable => {}
            RowState::Absent => self.claim(now, None, Epoch::default(), out),
            RowState::Present(version, row) => {
                let seen = match self.seen {
                    Some(seen) if seen.version == version => seen,
                    _ => Seen {
                        version,
                        epoch: row.epoch,
                        since: now,
                        free: row.holder.is_none(),
                    },
                };
                self.seen = Some(seen);
                // The read must have been sent after the wait: an answer that was long on its way
                // shows the row as it was earlier.
                let waited = sent.since(seen.since);
                if seen.free || waited >= self.cfg.term + self.cfg.drift_margin {
                    self.claim(now, Some(version), seen.epoch, out);
                }
            }
        }
    }

    fn claim(&mut self, now: Time, expected: Option<u64>, old: Epoch, out: &mut Vec<Output>) {
        if self.writing.is_some() {
            return;
        }
        let epoch = Epoch {
            table: old.table + 1,
            local: 0,
        };
        self.write(now, expected, epoch, 0, out);
    }

    fn write(
        &mut self,
        now: Time,
        expected: Option<u64>,
        epoch: Epoch,
        renewals: u64,
        out: &mut Vec<Output>,
    ) {
        let call = self.call();
        let release = self.leaving;
        self.writing = Some(PendingWrite {
            call,
            sent: now,
            epoch,
            renewals,
            release,
        });
        let holder = (!release).then(|| self.me.clone());
        let row = LeaseRow {
            holder,
            epoch,
            renewals,
        };
        out.push(Output::WriteRow {
            call,
            expected,
            row,
        });
    }

    fn row_written(&mut self, now: Time, call: u64, result: WriteResult, out: &mut Vec<Output>) {
        let Some(pending) = self.writing.filter(|pending| pending.call == call) else {
            return;
        };
        self.writing = None;
        match result {
            WriteResult::Written(version) if !pending.release => {
                let was_active = self.held.is_some();
                let valid_until = pending.sent + self.cfg.term;
                if now >= valid_until {
                    return;
                }
                self.held = Some(Held {
                    epoch: pending.epoch,
                    version,
                    renewals: pending.renewals,
                    valid_until,
                });
                if !was_active {
                    self.next_renewal = pending.sent + self.cfg.renew_every;
                    out.push(Output::Activated(pending.epoch));
                }
            }
            WriteResult::Conflict => {
                if let Some(held) = self.held.take() {
                    out.push(Output::Stopped(held.epoch));
                }
                self.seen = None;
            }
            WriteResult::Written(_) | WriteResult::NotWritten | WriteResult::Unknown => {}
        }
    }

    fn peer(&mut self, msg: &LeaseMsg) {
        match msg {
            LeaseMsg::HandedOver { .. } => self.next_read = Time::ZERO,
        }
    }

    fn hand_over(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        if let Some(held) = self.held.take() {
            out.push(Output::Stopped(held.epoch));
            self.write(now, Some(held.version), held.epoch, held.renewals + 1, out);
            out.push(Output::Broadcast(LeaseMsg::HandedOver {
                epoch: held.epoch,
            }));
        }
    }

    fn call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }
}
