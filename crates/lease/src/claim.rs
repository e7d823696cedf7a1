//! From standby to holder: the claim, the members' answers, and the compare-and-set.

use std::time::Duration;

use model::{Epoch, NodeId, Time};

use crate::{
    Output, Purpose,
    hold::Held,
    machine::{LeaseMachine, Role},
    round::Round,
};

/// How far the row's compare-and-set is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RowWrite {
    /// Nothing was sent.
    No,
    /// It is under way, or its outcome is unknown.
    Sent,
    /// The row is this node's.
    Done,
}

/// A claim. It is visible from its start: other nodes' questions are answered by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Claim {
    pub(crate) round: Round,
    /// The table is not reachable: the domain takes over by itself.
    local: bool,
    write: RowWrite,
}

impl Claim {
    /// Whether the members have agreed: the claim yields to no other claim any more.
    pub(crate) fn is_decided(&self) -> bool {
        self.write != RowWrite::No
    }
}

impl LeaseMachine {
    pub(crate) fn advance_standby(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.leaving {
            return self.advance_release(out);
        }
        self.read_row(now, out);
        if self.may_claim() && now >= self.claim_at {
            self.start_claim(now, out);
        }
    }

    pub(crate) fn read_row(&mut self, now: Time, out: &mut Vec<Output>) {
        if now >= self.table.next_read && !self.table.is_busy() {
            self.table.next_read = now + self.cfg.read_interval;
            self.table.read(out);
        }
    }

    /// A node that knows neither the members nor the last epoch cannot take part yet.
    fn may_claim(&self) -> bool {
        self.members.are_known() && (self.table.seen().is_some() || self.known > Epoch::default())
    }

    fn start_claim(&mut self, now: Time, out: &mut Vec<Output>) {
        let local = !self.table.is_reachable();
        let epoch = self.next_epoch(local);
        let round = self.claim_round(now, epoch, out);
        self.role = Role::Claiming(Claim {
            round,
            local,
            write: RowWrite::No,
        });
        // With nobody to ask, the claim goes on at once.
        self.advance_claim(now, out);
    }

    const fn next_epoch(&self, local: bool) -> Epoch {
        if local {
            Epoch {
                table: self.known.table,
                local: self.known.local + 1,
            }
        } else {
            Epoch {
                table: self.known.table + 1,
                local: 0,
            }
        }
    }

    fn claim_round(&mut self, now: Time, epoch: Epoch, out: &mut Vec<Output>) -> Round {
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
            let wait_until = self.wait_until(&claim.round);
            if now >= wait_until {
                return self.claim_agreed(now, out);
            }
            let asking = self.cfg.ask_timeout * self.cfg.ask_attempts;
            let lead = wait_until.since(claim.round.sent()).saturating_sub(asking);
            if age >= lead.max(self.cfg.term / 2) {
                self.ask_again(now, out);
            }
        } else if age >= self.cfg.term {
            self.ask_again(now, out);
        }
        if self.claim_waits_for_row() {
            self.settle_row(now, out);
        } else {
            self.read_row(now, out);
        }
    }

    /// When nothing can be in force any more of what the unreachable members hold.
    fn wait_until(&self, round: &Round) -> Time {
        let row = self.table.seen();
        let row_holder = row.and_then(|seen| seen.row.holder.as_ref());
        let since = |node: NodeId| {
            let confirmed = self.members.confirmed_at(node).unwrap_or_default();
            let holds_row = row_holder.is_some_and(|holder| holder.node == node);
            let row_since = row.filter(|_| holds_row).map(|seen| seen.since);
            confirmed
                .max(self.awake_since)
                .max(row_since.unwrap_or_default())
        };
        // An earlier start of this very node may be paused, and is out of reach.
        let earlier_start = row_holder
            .filter(|holder| holder.node == self.me.node && **holder != self.me)
            .map(|holder| holder.node);
        let unreachable = round.unreachable().chain(earlier_start);
        let last = unreachable.map(since).max();
        last.map_or(Time::ZERO, |last| last + self.takeover_wait())
    }

    fn ask_again(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &self.role else {
            return;
        };
        let decided = claim.is_decided();
        let (local, epoch) = if decided {
            (claim.local, claim.round.epoch())
        } else {
            let local = !self.table.is_reachable();
            (local, self.next_epoch(local))
        };
        let round = self.claim_round(now, epoch, out);
        if let Role::Claiming(claim) = &mut self.role {
            claim.round = round;
            claim.local = local;
        }
    }

    /// Every member has confirmed, or holds nothing any more.
    fn claim_agreed(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &mut self.role else {
            return;
        };
        let epoch = claim.round.epoch();
        if claim.write == RowWrite::Done || claim.local {
            let sent = claim.round.sent();
            return self.activate(now, epoch, sent, out);
        }
        if claim.write == RowWrite::Sent {
            return self.settle_row(now, out);
        }
        if self.table.is_busy() {
            // A read is under way: its answer comes first.
            return;
        }
        if !self.table.is_reachable() {
            return self.claim_locally(now, out);
        }
        claim.write = RowWrite::Sent;
        self.learn_epoch(epoch);
        self.table.write(Some(self.me.clone()), epoch, out);
    }

    fn claim_locally(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Claiming(claim) = &mut self.role {
            claim.write = RowWrite::No;
        }
        self.ask_again(now, out);
    }

    fn claim_waits_for_row(&self) -> bool {
        matches!(&self.role, Role::Claiming(claim) if claim.write == RowWrite::Sent)
    }

    /// Finds out what became of the compare-and-set, once its call is answered.
    fn settle_row(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Claiming(claim) = &mut self.role else {
            return;
        };
        if self.table.is_busy() {
            return;
        }
        let epoch = claim.round.epoch();
        if !self.table.is_reachable() {
            // The write may still be made: the next epoch is above it.
            self.claim_locally(now, out);
        } else if self.table.needs_read() {
            self.table.read(out);
        } else if self.table.is_held_by(&self.me, epoch) {
            claim.write = RowWrite::Done;
            self.advance_claim(now, out);
        } else if self.table.seen().is_some_and(|seen| seen.row.epoch < epoch) {
            // The last thing an earlier holder wrote, such as its release, came in between.
            self.table.write(Some(self.me.clone()), epoch, out);
        } else {
            self.role = Role::Standby;
            self.claim_after(now, Duration::ZERO);
        }
    }

    fn activate(&mut self, now: Time, epoch: Epoch, sent: Time, out: &mut Vec<Output>) {
        self.learn_epoch(epoch);
        self.last_holder = Some((epoch, self.me.node, self.me.incarnation));
        let next_renewal = now.max(sent + self.cfg.renew_interval);
        self.role = Role::Holding(Held::new(epoch, sent + self.cfg.term, next_renewal));
        out.push(Output::Activated(epoch));
    }
}
