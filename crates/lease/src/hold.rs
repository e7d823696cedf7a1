//! The holder's side of the lease: renewals, operation while the table is unreachable, and hand-over.

use model::{Epoch, Time};

use crate::{
    LeaseMsg, Output, Purpose,
    machine::{LeaseMachine, Role},
    round::Round,
};

/// The state of a lease that this node holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Held {
    pub(crate) epoch: Epoch,
    pub(crate) valid_until: Time,
    /// The renewal in progress.
    pub(crate) round: Option<Round>,
    next_renewal: Time,
    next_row_write: Time,
}

impl Held {
    pub(crate) const fn new(epoch: Epoch, valid_until: Time, next_renewal: Time) -> Self {
        Self {
            epoch,
            valid_until,
            round: None,
            next_renewal,
            next_row_write: next_renewal,
        }
    }

    /// Abandons the renewal in progress and makes the next one due immediately.
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
            self.start_renewal(now, out);
            self.finish_renewal();
        }
        self.publish_row(now, out);
    }

    /// Starts a round that asks the members to confirm a renewal.
    fn start_renewal(&mut self, now: Time, out: &mut Vec<Output>) {
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

    /// Extends the lease if the renewal is complete. The term counts from before the requests were
    /// sent.
    fn finish_renewal(&mut self) {
        if let Role::Holding(held) = &mut self.role
            && let Some(round) = held.round.take_if(|round| round.is_complete())
        {
            held.valid_until = held.valid_until.max(round.sent() + self.cfg.term);
        }
    }

    /// Renews the row, which shows the holder to other domains and to nodes that start. The lease
    /// does not depend on the row: while the table is unreachable, the members' confirmations keep the
    /// lease valid.
    fn publish_row(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Holding(held) = &mut self.role else {
            return;
        };
        if self.table.has_pending_call() {
            return;
        }
        let must_retry_now = self.table.is_reachable() && self.table.needs_read();
        if now < held.next_row_write && !must_retry_now {
            return;
        }
        held.next_row_write = now + self.cfg.renew_interval;
        let epoch = held.epoch;
        if self.table.needs_read() || !self.table.is_reachable() {
            self.table.read(out);
        } else {
            self.table.write(Some(self.me.clone()), epoch, out);
        }
    }

    /// Processes the row after it was read.
    pub(crate) fn on_row(&mut self, now: Time, changed: bool, out: &mut Vec<Output>) {
        let Some(seen) = self.table.seen().filter(|_| self.table.is_reachable()) else {
            return;
        };
        let epoch = seen.row.epoch;
        let is_free = seen.version.is_some() && seen.row.holder.is_none();
        let is_mine = self.table.is_held_by(&self.me, epoch);
        let other = seen.row.holder.clone().filter(|_| !is_mine);
        let is_other_renewing = changed && other.is_some();
        self.raise_highest_epoch(epoch);
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
                // The row is out of date after a takeover without the table or a lost reply, so it is
                // written immediately.
                held.next_row_write = now;
            }
            Role::Standby if is_free => self.mark_epoch_ended(now, epoch),
            Role::Claiming(claim) if claim.is_agreed() => {}
            Role::Standby | Role::Claiming(_) if is_other_renewing => {
                self.role = Role::Standby;
                self.schedule_claim(now, self.cfg.suspect_after);
            }
            Role::Standby | Role::Claiming(_) => {}
        }
    }

    /// Continues the release of the row after a write has ended.
    pub(crate) fn on_write_end(&mut self, out: &mut Vec<Output>) {
        if self.releasing_epoch.is_some() {
            self.advance_release(out);
        }
    }

    /// Stops holding the lease and notifies the members, so that a successor can take over
    /// immediately.
    pub(crate) fn hand_over(&mut self, out: &mut Vec<Output>) {
        self.is_leaving = true;
        let epoch = match std::mem::replace(&mut self.role, Role::Standby) {
            Role::Holding(held) => held.epoch,
            Role::Claiming(claim) if claim.is_agreed() => {
                // The write of the claim may have been stored, so the row must be released.
                self.releasing_epoch = Some(claim.round.epoch());
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
        self.releasing_epoch = Some(epoch);
        self.ended_epoch = self.ended_epoch.max(Some(epoch));
    }

    /// Releases the row unless another node has taken it.
    pub(crate) fn advance_release(&mut self, out: &mut Vec<Output>) {
        let Some(epoch) = self
            .releasing_epoch
            .filter(|_| !self.table.has_pending_call())
        else {
            return;
        };
        if !self.table.is_reachable() {
            // The members were notified directly, so no node depends on the row being released.
            self.releasing_epoch = None;
        } else if self.table.needs_read() {
            self.table.read(out);
        } else if self.table.is_held_by(&self.me, epoch) {
            self.table.write(None, epoch, out);
        } else {
            self.releasing_epoch = None;
        }
    }
}
