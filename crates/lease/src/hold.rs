//! The holder: renewals, holdover and hand-over.

use model::{Epoch, Time};

use crate::{
    LeaseMsg, Output, Purpose,
    machine::{LeaseMachine, Role},
    round::Round,
};

/// The lease as its holder has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub(crate) epoch: Epoch,
    pub(crate) valid_until: Time,
    /// The renewal under way.
    pub(crate) round: Option<Round>,
    next_renewal: Time,
    next_write: Time,
}

impl Held {
    pub(crate) const fn new(epoch: Epoch, valid_until: Time, next_renewal: Time) -> Self {
        Self {
            epoch,
            valid_until,
            round: None,
            next_renewal,
            next_write: next_renewal,
        }
    }

    /// Drops the renewal under way and begins another one at once.
    pub(crate) fn abandon_round(&mut self, now: Time) {
        self.round = None;
        self.next_renewal = now;
    }
}

impl LeaseMachine {
    pub(crate) fn advance_held(&mut self, now: Time, out: &mut Vec<Output>) {
        self.finish_renewal();
        let Role::Holding(held) = &self.role else {
            return;
        };
        if held.round.is_none() && now >= held.next_renewal {
            self.renew(now, out);
            self.finish_renewal();
        }
        self.renew_row(now, out);
    }

    /// Asks the members whether this node may go on.
    fn renew(&mut self, now: Time, out: &mut Vec<Output>) {
        let number = self.next_round();
        let Role::Holding(held) = &mut self.role else {
            return;
        };
        let members = self.members.addresses();
        let targets = members.map(|(node, address)| (node, address.to_owned()));
        let epoch = held.epoch;
        let round = Round::start(now, number, Purpose::Renew, &self.me, epoch, targets, out);
        held.round = Some(round);
        held.next_renewal = now + self.cfg.renew_interval;
    }

    /// The renewal counts from before its questions were sent.
    fn finish_renewal(&mut self) {
        if let Role::Holding(held) = &mut self.role
            && let Some(round) = held.round.take_if(|round| round.is_complete())
        {
            held.valid_until = held.valid_until.max(round.sent() + self.cfg.term);
        }
    }

    /// Shows other domains, and nodes that start, who holds the lease. The lease does not depend on it:
    /// while the table is out of reach, the members' confirmations carry it.
    fn renew_row(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Holding(held) = &mut self.role else {
            return;
        };
        if self.table.is_busy() {
            return;
        }
        let retry = self.table.is_reachable() && self.table.needs_read();
        if now < held.next_write && !retry {
            return;
        }
        held.next_write = now + self.cfg.renew_interval;
        let epoch = held.epoch;
        if self.table.needs_read() || !self.table.is_reachable() {
            self.table.read(out);
        } else {
            self.table.write(Some(self.me.clone()), epoch, out);
        }
    }

    /// Takes what the row shows.
    pub(crate) fn row_seen(&mut self, now: Time, changed: bool, out: &mut Vec<Output>) {
        let Some(seen) = self.table.seen().filter(|_| self.table.is_reachable()) else {
            return;
        };
        let epoch = seen.row.epoch;
        let is_free = seen.version.is_some() && seen.row.holder.is_none();
        let is_mine = self.table.is_held_by(&self.me, epoch);
        let other = seen.row.holder.clone().filter(|_| !is_mine);
        let other_renews = changed && other.is_some();
        self.learn_epoch(epoch);
        if let Some(holder) = other
            && self.last_holder.is_none_or(|(last, ..)| last < epoch)
        {
            self.last_holder = Some((epoch, holder.node, holder.incarnation));
        }
        match &mut self.role {
            Role::Holding(held) if epoch > held.epoch || (epoch == held.epoch && !is_mine) => {
                self.stop(now, out);
            }
            Role::Holding(held) => {
                // The row is behind: after a takeover without the table, or a lost reply.
                held.next_write = now;
            }
            Role::Standby if is_free => self.epoch_ended(now, epoch),
            Role::Claiming(claim) if claim.is_decided() => {}
            Role::Standby | Role::Claiming(_) if other_renews => {
                self.role = Role::Standby;
                self.claim_after(now, self.cfg.suspect_after);
            }
            Role::Standby | Role::Claiming(_) => {}
        }
    }

    /// Takes the end of a write, which the table has noted.
    pub(crate) fn write_answered(&mut self, out: &mut Vec<Output>) {
        if self.releasing.is_some() {
            self.advance_release(out);
        }
    }

    /// Stops, and lets a successor take over at once.
    pub(crate) fn hand_over(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        let epoch = match std::mem::replace(&mut self.role, Role::Standby) {
            Role::Holding(held) => held.epoch,
            Role::Claiming(claim) if claim.is_decided() => {
                self.releasing = Some(claim.round.epoch());
                return;
            }
            Role::Claiming(_) | Role::Standby => return,
        };
        out.push(Output::Stopped(epoch));
        for (to, address) in self.members.addresses() {
            let address = address.to_owned();
            let msg = LeaseMsg::HandedOver { epoch };
            out.push(Output::Send { to, address, msg });
        }
        self.releasing = Some(epoch);
        self.ended = self.ended.max(Some(epoch));
    }

    /// Gives up the row, unless somebody else has taken it.
    pub(crate) fn advance_release(&mut self, out: &mut Vec<Output>) {
        let Some(epoch) = self.releasing.filter(|_| !self.table.is_busy()) else {
            return;
        };
        if !self.table.is_reachable() {
            // Nobody waits for the row: the members were told.
            self.releasing = None;
        } else if self.table.needs_read() {
            self.table.read(out);
        } else if self.table.is_held_by(&self.me, epoch) {
            self.table.write(None, epoch, out);
        } else {
            self.releasing = None;
        }
    }
}
