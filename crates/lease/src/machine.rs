//! The domain lease.

use std::collections::BTreeMap;

use model::{Epoch, NodeId, Time};

use crate::{Holder, Input, LeaseConfig, LeaseMsg, LeaseRow, Output, RowState, WriteResult};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    epoch: Epoch,
    version: u64,
    renewals: u64,
    valid_until: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Seen {
    version: u64,
    epoch: Epoch,
    since: Time,
    free: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingWrite {
    call: u64,
    sent: Time,
    epoch: Epoch,
    renewals: u64,
    release: bool,
}

/// The lease of one domain as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseMachine {
    cfg: LeaseConfig,
    me: Holder,
    members: BTreeMap<NodeId, String>,
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
            members: BTreeMap::new(),
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
            Input::Members(members) => self.set_members(members),
            Input::PeerFailed { .. } | Input::EpochSeen(_) => {}
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
            LeaseMsg::Ask { .. } | LeaseMsg::Answer { .. } => {}
        }
    }

    fn hand_over(&mut self, now: Time, out: &mut Vec<Output>) {
        self.leaving = true;
        if let Some(held) = self.held.take() {
            out.push(Output::Stopped(held.epoch));
            self.write(now, Some(held.version), held.epoch, held.renewals + 1, out);
            for (to, address) in &self.members {
                let (to, address) = (*to, address.clone());
                let msg = LeaseMsg::HandedOver { epoch: held.epoch };
                out.push(Output::Send { to, address, msg });
            }
        }
    }

    fn set_members(&mut self, members: Vec<Holder>) {
        let others = members.into_iter().filter(|m| m.node != self.me.node);
        self.members = others.map(|m| (m.node, m.address)).collect();
    }

    fn call(&mut self) -> u64 {
        self.next_call += 1;
        self.next_call
    }
}
