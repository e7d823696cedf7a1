//! Answers to the claims and renewals of other nodes.

use model::{Epoch, Time};

use crate::{
    Holder, LeaseMsg, Output, Purpose, QuestionId, Reply,
    machine::{LeaseMachine, Role},
};

impl LeaseMachine {
    /// Answers a request from another node.
    pub(crate) fn on_ask(
        &mut self,
        now: Time,
        question: QuestionId,
        purpose: Purpose,
        from: &Holder,
        epoch: Epoch,
        out: &mut Vec<Output>,
    ) {
        if from.node == self.me.node {
            return;
        }
        let reply = if self.members.update(from) {
            self.decide_reply(now, purpose, from, epoch, out)
        } else {
            Reply::Stale
        };
        if reply == Reply::Confirmed {
            self.record_confirmation(now, purpose, from, epoch);
        }
        out.push(Output::Send {
            to: from.node,
            address: from.address.clone(),
            msg: LeaseMsg::Answer { question, reply },
        });
    }

    fn decide_reply(
        &mut self,
        now: Time,
        purpose: Purpose,
        from: &Holder,
        epoch: Epoch,
        out: &mut Vec<Output>,
    ) -> Reply {
        match &self.role {
            Role::Standby => self.reply_on_standby(purpose, from, epoch),
            Role::Claiming(claim) => {
                let mine = claim.round.epoch();
                let takes_precedence = match purpose {
                    Purpose::Renew => !claim.is_agreed() || epoch > mine,
                    Purpose::Claim => !claim.is_agreed() && self.has_precedence(from, epoch, mine),
                };
                if !takes_precedence {
                    return Reply::Claiming(mine);
                }
                let reply = self.reply_on_standby(purpose, from, epoch);
                if reply == Reply::Confirmed {
                    self.role = Role::Standby;
                }
                reply
            }
            Role::Holding(held) => {
                let mine = held.epoch;
                // The protocol rules this out while this node's own epoch is valid. If it happens
                // nevertheless, the higher epoch wins.
                if purpose == Purpose::Renew && epoch > mine {
                    self.stop(now, out);
                    return Reply::Confirmed;
                }
                Reply::Holding(mine)
            }
        }
    }

    fn reply_on_standby(&self, purpose: Purpose, from: &Holder, epoch: Epoch) -> Reply {
        let is_over = self.ended_epoch.is_some_and(|ended| epoch <= ended);
        let is_superseded = self.last_holder.is_some_and(|(last, node, incarnation)| {
            let is_same_holder = (node, incarnation) == (from.node, from.incarnation);
            last > epoch || (last == epoch && (purpose == Purpose::Claim || !is_same_holder))
        });
        if is_over || is_superseded {
            Reply::Superseded(self.highest_epoch)
        } else {
            Reply::Confirmed
        }
    }

    /// Whether another node's claim takes precedence over this node's claim.
    fn has_precedence(&self, from: &Holder, theirs: Epoch, mine: Epoch) -> bool {
        theirs > mine || (theirs == mine && from.node < self.me.node)
    }

    fn record_confirmation(&mut self, now: Time, purpose: Purpose, from: &Holder, epoch: Epoch) {
        self.members.record_confirmation(now, from.node, epoch);
        self.raise_highest_epoch(epoch);
        if purpose == Purpose::Renew {
            self.last_holder = Some((epoch, from.node, from.incarnation));
        }
        self.schedule_claim(now, self.cfg.suspect_after);
    }
}
