//! The transition from standby to holder: the claim, the members' answers and the compare-and-set.

use std::time::Duration;

use model::{Epoch, NodeId, Time};

use crate::{
    Output, Purpose,
    hold::Held,
    machine::{LeaseMachine, Role},
    round::Round,
};

/// The progress of the row's compare-and-set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RowWrite {
    /// The write was not sent.
    NotSent,
    /// The write is pending, or its outcome is unknown.
    Sent,
    /// The row names this node as the holder.
    Done,
}

/// A claim of the lease in progress. While it lasts, requests of other nodes are answered according to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Claim {
    pub(crate) round: Round,
    /// Whether the table is unreachable, so that the claim uses a local epoch and no row write.
    is_local: bool,
    write: RowWrite,
}

impl Claim {
    /// Whether the members have agreed to the claim and the row write has started. From then on, the
    /// claim yields to no other claim.
    pub(crate) fn is_agreed(&self) -> bool {
        self.write != RowWrite::NotSent
    }
}

impl LeaseMachine {
    pub(crate) fn advance_standby(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_leaving {
            return self.advance_release(out);
        }
        self.poll_row(now, out);
        if self.can_claim() && now >= self.claim_at {
            self.start_claim(now, out);
        }
    }

    pub(crate) fn poll_row(&mut self, now: Time, out: &mut Vec<Output>) {
        if now >= self.table.next_read && !self.table.has_pending_call() {
            self.table.next_read = now + self.cfg.read_interval;
            self.table.read(out);
        }
    }

    /// Whether this node can claim the lease: it must know the members, and must have read the row or
    /// seen an epoch.
    fn can_claim(&self) -> bool {
        self.members.is_initialized()
            && (self.table.seen().is_some() || self.highest_epoch > Epoch::default())
    }

    fn start_claim(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_local = !self.table.is_reachable();
        let epoch = self.next_epoch(is_local);
        let round = self.start_round(now, epoch, out);
        self.role = Role::Claiming(Claim {
            round,
            is_local,
            write: RowWrite::NotSent,
        });
        // Without other members, the round is already complete.
        self.advance_claim(now, out);
    }

    const fn next_epoch(&self, is_local: bool) -> Epoch {
        if is_local {
            Epoch {
                table: self.highest_epoch.table,
                local: self.highest_epoch.local + 1,
            }
        } else {
            Epoch {
                table: self.highest_epoch.table + 1,
                local: 0,
            }
        }
    }

    fn start_round(&mut self, now: Time, epoch: Epoch, out: &mut Vec<Output>) -> Round {
        let number = self.next_round();
        let members = self.members.addresses();
        let mut targets: Vec<(NodeId, String)> = members.map(|(n, a)| (n, a.to_owned())).collect();
        if let Some(holder) = self.table.seen().and_then(|seen| seen.row.holder.as_ref())
            && holder.node != self.me.node
            && targets.iter().all(|(node, _)| *node != holder.node)
        {
            targets.push((holder.node, holder.address.clone()));
        }
        let targets = targets.into_iter();
        Round::start(now, number, Purpose::Claim, &self.me, epoch, targets, out)
    }

    pub(crate) fn advance_claim(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &self.role else {
            return;
        };
        let age = now.since(claim.round.sent());
        if claim.round.is_complete() && age < self.cfg.term {
            let takeover_at = self.takeover_at(&claim.round);
            if now >= takeover_at {
                return self.finish_agreement(now, out);
            }
            // Repeats the round early enough that it is complete by `takeover_at`: the term counts from
            // when the round was sent.
            let ask_time = self.cfg.ask_timeout * self.cfg.ask_attempts;
            let refresh_age = takeover_at
                .since(claim.round.sent())
                .saturating_sub(ask_time);
            if age >= refresh_age.max(self.cfg.term / 2) {
                self.restart_round(now, out);
            }
        } else if age >= self.cfg.term {
            self.restart_round(now, out);
        }
        if self.is_awaiting_row_write() {
            self.resolve_row_write(now, out);
        } else {
            self.poll_row(now, out);
        }
    }

    /// The time from which no unreachable member can still hold a valid lease.
    fn takeover_at(&self, round: &Round) -> Time {
        let row = self.table.seen();
        let row_holder = row.and_then(|seen| seen.row.holder.as_ref());
        let since = |node: NodeId| {
            let confirmed = self.members.confirmed_at(node).unwrap_or_default();
            let is_row_holder = row_holder.is_some_and(|holder| holder.node == node);
            let row_since = row.filter(|_| is_row_holder).map(|seen| seen.since);
            confirmed
                .max(self.awake_since)
                .max(row_since.unwrap_or_default())
        };
        // An earlier incarnation of this node may be paused. It cannot be asked.
        let earlier_incarnation = row_holder
            .filter(|holder| holder.node == self.me.node && **holder != self.me)
            .map(|holder| holder.node);
        let unreachable = round.unreachable().chain(earlier_incarnation);
        let last = unreachable.map(since).max();
        last.map_or(Time::ZERO, |last| last + self.takeover_wait())
    }

    fn restart_round(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &self.role else {
            return;
        };
        let is_agreed = claim.is_agreed();
        let (is_local, epoch) = if is_agreed {
            (claim.is_local, claim.round.epoch())
        } else {
            let is_local = !self.table.is_reachable();
            (is_local, self.next_epoch(is_local))
        };
        let round = self.start_round(now, epoch, out);
        if let Role::Claiming(claim) = &mut self.role {
            claim.round = round;
            claim.is_local = is_local;
        }
    }

    /// Continues a claim that every member has confirmed or can no longer contest: writes the row
    /// or, if no write is needed, activates the lease.
    fn finish_agreement(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &mut self.role else {
            return;
        };
        let epoch = claim.round.epoch();
        if claim.write == RowWrite::Done || claim.is_local {
            let sent = claim.round.sent();
            return self.activate(now, epoch, sent, out);
        }
        if claim.write == RowWrite::Sent {
            return self.resolve_row_write(now, out);
        }
        if self.table.has_pending_call() {
            // Waits for the answer to the pending read.
            return;
        }
        if !self.table.is_reachable() {
            return self.switch_to_local_epoch(now, out);
        }
        claim.write = RowWrite::Sent;
        self.raise_highest_epoch(epoch);
        self.table.write(Some(self.me.clone()), epoch, out);
    }

    fn switch_to_local_epoch(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Claiming(claim) = &mut self.role {
            claim.write = RowWrite::NotSent;
        }
        self.restart_round(now, out);
    }

    fn is_awaiting_row_write(&self) -> bool {
        matches!(&self.role, Role::Claiming(claim) if claim.write == RowWrite::Sent)
    }

    /// Determines the outcome of the compare-and-set once its call is answered.
    fn resolve_row_write(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &mut self.role else {
            return;
        };
        if self.table.has_pending_call() {
            return;
        }
        let epoch = claim.round.epoch();
        if !self.table.is_reachable() {
            // The write may still be applied later. The next epoch is higher than the written one.
            self.switch_to_local_epoch(now, out);
        } else if self.table.needs_read() {
            self.table.read(out);
        } else if self.table.is_held_by(&self.me, epoch) {
            claim.write = RowWrite::Done;
            self.advance_claim(now, out);
        } else if self.table.seen().is_some_and(|seen| seen.row.epoch < epoch) {
            // A last write of an earlier holder, such as its release, arrived in between.
            self.table.write(Some(self.me.clone()), epoch, out);
        } else {
            self.role = Role::Standby;
            self.schedule_claim(now, Duration::ZERO);
        }
    }

    fn activate(&mut self, now: Time, epoch: Epoch, sent: Time, out: &mut Vec<Output>) {
        self.raise_highest_epoch(epoch);
        self.last_holder = Some((epoch, self.me.node, self.me.incarnation));
        let next_renewal = now.max(sent + self.cfg.renew_interval);
        self.role = Role::Holding(Held::new(epoch, sent + self.cfg.term, next_renewal));
        out.push(Output::Activated(epoch));
    }
}
