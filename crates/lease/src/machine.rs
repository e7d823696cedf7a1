//! The machine's state, and the dispatch of its inputs.
//!
//! Why there are never two holders. Take two members X and Y.
//!
//! 1. What X holds counts from before a round of questions that Y has confirmed, or in which Y was
//!    found unreachable on fresh connections.
//! 2. Y notes when it confirms X. If Y finds X unreachable in its own round, it waits a full term and
//!    the drift margin from the last confirmation, and from when it was last paused, before it holds
//!    the lease. While it was awake, X could not find it unreachable: so whatever X held is over.
//! 3. If X answers instead, X says that it does not hold the lease, and any later round of X is asked
//!    of Y, which denies it.
//! 4. Of two claims one yields, and a claim that has yielded has lost its round.
//!
//! The table adds what does not depend on members that know each other: a compare-and-set for each
//! takeover while it can be reached, and epochs that outlive all nodes.

use std::time::Duration;

use model::{Epoch, Incarnation, NodeId, Time};

use crate::{
    Holder, Input, LeaseConfig, LeaseMsg, Output, QuestionId, Reply, claim::Claim, hold::Held,
    members::Members, table::Table,
};

/// What the node is to the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    Standby,
    Claiming(Claim),
    Holding(Held),
}

/// The lease of one domain as one node sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseMachine {
    pub(crate) cfg: LeaseConfig,
    pub(crate) me: Holder,
    pub(crate) members: Members,
    pub(crate) table: Table,
    pub(crate) role: Role,
    /// The highest epoch that was seen or tried.
    pub(crate) known: Epoch,
    /// The highest epoch that is known to be given up.
    pub(crate) ended: Option<Epoch>,
    /// The holder of the highest epoch that is known to have been held.
    pub(crate) last_holder: Option<(Epoch, NodeId, Incarnation)>,
    /// Since when there was no pause.
    pub(crate) awake_since: Time,
    last_step: Option<Time>,
    /// When a claim begins, unless a holder shows itself.
    pub(crate) claim_at: Time,
    pub(crate) last_round: u64,
    pub(crate) leaving: bool,
    /// The epoch whose row is still to be given up in the table.
    pub(crate) releasing: Option<Epoch>,
}

impl LeaseMachine {
    /// A machine that holds nothing.
    #[must_use]
    pub fn new(cfg: LeaseConfig, me: Holder) -> Self {
        Self {
            cfg,
            members: Members::new(me.node),
            me,
            table: Table::default(),
            role: Role::Standby,
            known: Epoch::default(),
            ended: None,
            last_holder: None,
            awake_since: Time::ZERO,
            last_step: None,
            claim_at: Time::ZERO,
            last_round: 0,
            leaving: false,
            releasing: None,
        }
    }

    /// The epoch under which this node may act at `now`, if it holds the lease.
    #[must_use]
    pub fn active_epoch(&self, now: Time) -> Option<Epoch> {
        self.held(now).map(|held| held.epoch)
    }

    /// The point up to which this node may act, if it holds the lease at `now`. A command that another
    /// process carries out later than this is to be refused there.
    #[must_use]
    pub fn valid_until(&self, now: Time) -> Option<Time> {
        self.held(now).map(|held| held.valid_until)
    }

    fn held(&self, now: Time) -> Option<&Held> {
        match &self.role {
            Role::Holding(held) if now < held.valid_until => Some(held),
            _ => None,
        }
    }

    /// Takes one input and appends what is to be done.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.check_pause(now);
        self.check_validity(now, out);
        match input {
            Input::Tick => {}
            Input::Members(list) => self.set_members(now, list),
            Input::RowRead { call, state } => {
                if let Some(changed) = self.table.row_read(now, call, state) {
                    self.row_seen(now, changed, out);
                }
            }
            Input::RowWritten { call, result } => {
                if self.table.row_written(now, call, result) {
                    self.write_answered(out);
                }
            }
            Input::Peer { from, msg } => self.message(now, from, msg, out),
            Input::PeerFailed { to, question } => self.peer_failed(to, question, out),
            Input::EpochSeen(epoch) => self.epoch_seen(now, epoch, out),
            Input::HandOver => self.hand_over(out),
        }
        self.advance(now, out);
    }

    fn set_members(&mut self, now: Time, list: Vec<Holder>) {
        let first = !self.members.are_known();
        let wait = self.takeover_wait();
        self.members.set(list, now, wait);
        if first {
            // No holder has asked this node before.
            self.awake_since = now;
            let soon = now + self.cfg.stagger * self.members.rank();
            self.claim_at = self.claim_at.max(soon);
        }
    }

    /// Does all that is due.
    fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        match &self.role {
            Role::Standby => self.advance_standby(now, out),
            Role::Claiming(_) => self.advance_claim(now, out),
            Role::Holding(_) => self.advance_held(now, out),
        }
    }

    /// A round that was under way in a pause says nothing: what it missed may be taken for silence.
    /// And while this node was paused, others may have found it unreachable.
    fn check_pause(&mut self, now: Time) {
        let paused = self
            .last_step
            .is_none_or(|last| now.since(last) > self.cfg.pause_limit);
        self.last_step = Some(now);
        if !paused {
            return;
        }
        self.awake_since = now;
        self.claim_at = self.claim_at.max(now);
        match &mut self.role {
            Role::Standby => {}
            Role::Claiming(_) => self.role = Role::Standby,
            Role::Holding(held) => held.abandon_round(now),
        }
    }

    fn check_validity(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Holding(held) = &self.role
            && now >= held.valid_until
        {
            self.stop(now, out);
        }
    }

    /// Stops to hold the lease, and asks for it again soon unless another holder shows itself.
    pub(crate) fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Holding(held) = &self.role {
            out.push(Output::Stopped(held.epoch));
        }
        self.role = Role::Standby;
        self.claim_after(now, Duration::ZERO);
    }

    fn message(&mut self, now: Time, from: NodeId, msg: LeaseMsg, out: &mut Vec<Output>) {
        match msg {
            LeaseMsg::Ask {
                question,
                purpose,
                from,
                epoch,
            } => self.asked(now, question, purpose, &from, epoch, out),
            LeaseMsg::Answer { question, reply } => self.answered(now, from, question, reply, out),
            LeaseMsg::HandedOver { epoch } => {
                self.members.set_leaving(from);
                self.epoch_ended(now, epoch);
            }
        }
    }

    fn answered(
        &mut self,
        now: Time,
        from: NodeId,
        question: QuestionId,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let round = match &mut self.role {
            Role::Standby => None,
            Role::Claiming(claim) => Some(&mut claim.round),
            Role::Holding(held) => held.round.as_mut(),
        };
        let Some(round) = round.filter(|round| round.is(question)) else {
            return;
        };
        match reply {
            Reply::Confirmed => round.confirmed(from),
            Reply::Holding(epoch) => {
                self.members.confirm(now, from, epoch);
                self.denied(now, epoch, self.cfg.suspect_after, out);
            }
            Reply::Claiming(epoch) => self.denied(now, epoch, self.cfg.renew_interval, out),
            Reply::Superseded(epoch) => {
                let behind = epoch >= round.epoch();
                let wait = if behind {
                    self.cfg.stagger
                } else {
                    self.cfg.renew_interval
                };
                self.denied(now, epoch, wait, out);
            }
            Reply::Stale => {
                self.stop(now, out);
                self.leaving = true;
            }
        }
    }

    fn denied(&mut self, now: Time, epoch: Epoch, wait: Duration, out: &mut Vec<Output>) {
        self.learn_epoch(epoch);
        self.stop(now, out);
        self.claim_after(now, wait);
    }

    fn peer_failed(&mut self, to: NodeId, question: QuestionId, out: &mut Vec<Output>) {
        let round = match &mut self.role {
            Role::Standby => None,
            Role::Claiming(claim) => Some(&mut claim.round),
            Role::Holding(held) => held.round.as_mut(),
        };
        if let Some(round) = round.filter(|round| round.is(question)) {
            round.failed(to, question, self.cfg.ask_attempts, out);
        }
    }

    fn epoch_seen(&mut self, now: Time, epoch: Epoch, out: &mut Vec<Output>) {
        self.learn_epoch(epoch);
        if let Role::Holding(held) = &self.role
            && epoch > held.epoch
        {
            self.stop(now, out);
        }
    }

    pub(crate) fn learn_epoch(&mut self, epoch: Epoch) {
        self.known = self.known.max(epoch);
    }

    /// Up to this epoch nobody holds the lease any more.
    pub(crate) fn epoch_ended(&mut self, now: Time, epoch: Epoch) {
        self.learn_epoch(epoch);
        if self.ended.is_some_and(|ended| epoch <= ended) {
            return;
        }
        self.ended = Some(epoch);
        self.members.end(epoch);
        if self.last_holder.is_none_or(|(last, ..)| last <= epoch) {
            let soon = now + self.cfg.stagger * self.members.rank();
            self.claim_at = self.claim_at.min(soon);
        }
    }

    /// Puts the next claim off, each member a little longer than the one before it.
    pub(crate) fn claim_after(&mut self, now: Time, wait: Duration) {
        self.claim_at = now + wait + self.cfg.stagger * self.members.rank();
    }

    /// How long a node that cannot be reached may still hold what it was last confirmed.
    pub(crate) fn takeover_wait(&self) -> Duration {
        self.cfg.term + self.cfg.drift_margin
    }

    pub(crate) const fn next_round(&mut self) -> u64 {
        self.last_round += 1;
        self.last_round
    }
}
