//! The answers to other nodes' claims and renewals.

use model::{Epoch, Time};

use crate::{
    Holder, LeaseMsg, Output, Purpose, QuestionId, Reply,
    machine::{LeaseMachine, Role},
};

impl LeaseMachine {
    /// Answers a question.
    pub(crate) fn asked(
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
        let reply = if self.members.learn(from) {
            self.reply(now, purpose, from, epoch, out)
        } else {
            Reply::Stale
        };
        if reply == Reply::Confirmed {
            self.confirm(now, purpose, from, epoch);
        }
        out.push(Output::Send {
            to: from.node,
            address: from.address.clone(),
            msg: LeaseMsg::Answer { question, reply },
        });
    }

    fn reply(
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
                let theirs_first = match purpose {
                    Purpose::Renew => !claim.is_decided() || epoch > mine,
                    Purpose::Claim => !claim.is_decided() && self.goes_first(from, epoch, mine),
                };
                if !theirs_first {
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
                // By the protocol this does not happen while this node's own epoch is in force; if
                // it does, the higher epoch wins.
                if purpose == Purpose::Renew && epoch > mine {
                    self.stop(now, out);
                    return Reply::Confirmed;
                }
                Reply::Holding(mine)
            }
        }
    }

    fn reply_on_standby(&self, purpose: Purpose, from: &Holder, epoch: Epoch) -> Reply {
        let over = self.ended.is_some_and(|ended| epoch <= ended);
        let held_since = self.last_holder.is_some_and(|(last, node, incarnation)| {
            let same = (node, incarnation) == (from.node, from.incarnation);
            last > epoch || (last == epoch && (purpose == Purpose::Claim || !same))
        });
        if over || held_since {
            Reply::Superseded(self.known)
        } else {
            Reply::Confirmed
        }
    }

    /// Whether another node's claim goes before this one's.
    fn goes_first(&self, from: &Holder, theirs: Epoch, mine: Epoch) -> bool {
        theirs > mine || (theirs == mine && from.node < self.me.node)
    }

    fn confirm(&mut self, now: Time, purpose: Purpose, from: &Holder, epoch: Epoch) {
        self.members.confirm(now, from.node, epoch);
        self.learn_epoch(epoch);
        if purpose == Purpose::Renew {
            self.last_holder = Some((epoch, from.node, from.incarnation));
        }
        self.claim_after(now, self.cfg.suspect_after);
    }
}
