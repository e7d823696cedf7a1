//! The machine's state, and the dispatch of its inputs.
//!
//! # Safety argument
//!
//! At most one node holds the lease at a time. Consider two members X and Y.
//!
//! 1. The term of X counts from before a round of requests in which Y either confirmed X or was
//!    unreachable on fresh connections.
//! 2. Y records when it confirms X. If Y finds X unreachable in its own round, it waits for a full
//!    term and the drift margin after that confirmation, and after its own last pause, before it holds
//!    the lease. While Y was not paused, X could not find Y unreachable, so the lease of X has expired
//!    by then.
//! 3. If X answers the round of Y, X states that it does not hold the lease, and Y denies any later
//!    round of X.
//! 4. Of two concurrent claims one yields, and a claim that has yielded discards its round.
//!
//! The table adds guarantees that do not depend on the members knowing each other: a compare-and-set
//! for each takeover while the table is reachable, and epochs that persist when all nodes are lost.

use std::time::Duration;

use model::{Epoch, Incarnation, NodeId, Time};

use crate::{
    Holder, Input, LeaseConfig, LeaseMsg, Output, QuestionId, Reply, claim::Claim, hold::Held,
    members::Members, table::Table,
};

/// The node's role with respect to the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Role {
    Standby,
    Claiming(Claim),
    Holding(Held),
}

/// The state machine of one domain's lease on one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseMachine {
    pub(crate) cfg: LeaseConfig,
    pub(crate) me: Holder,
    pub(crate) members: Members,
    pub(crate) table: Table,
    pub(crate) role: Role,
    /// The highest epoch that this node has seen or tried to claim.
    pub(crate) highest_epoch: Epoch,
    /// The highest epoch that is known to have been released.
    pub(crate) ended_epoch: Option<Epoch>,
    /// The highest epoch that is known to have been held, and the node and incarnation that held it.
    pub(crate) last_holder: Option<(Epoch, NodeId, Incarnation)>,
    /// Since when this node has run without a pause.
    pub(crate) awake_since: Time,
    last_step: Option<Time>,
    /// When a claim starts, unless there is a sign of a holder before then.
    pub(crate) claim_at: Time,
    pub(crate) last_round: u64,
    /// Whether this node no longer claims the lease: it shuts down, or a later incarnation of it is known.
    pub(crate) is_leaving: bool,
    /// The epoch whose row is still to be released in the table.
    pub(crate) releasing_epoch: Option<Epoch>,
}

impl LeaseMachine {
    /// Creates a machine on standby, without members.
    #[must_use]
    pub fn new(cfg: LeaseConfig, me: Holder) -> Self {
        Self {
            cfg,
            members: Members::new(me.node),
            me,
            table: Table::default(),
            role: Role::Standby,
            highest_epoch: Epoch::default(),
            ended_epoch: None,
            last_holder: None,
            awake_since: Time::ZERO,
            last_step: None,
            claim_at: Time::ZERO,
            last_round: 0,
            is_leaving: false,
            releasing_epoch: None,
        }
    }

    /// Returns the epoch under which this node may act at `now`, if it holds the lease.
    #[must_use]
    pub fn active_epoch(&self, now: Time) -> Option<Epoch> {
        self.valid_lease(now).map(|held| held.epoch)
    }

    /// Returns the time until which this node may act, if it holds the lease at `now`. Another process
    /// must refuse to carry out this node's commands after that time.
    #[must_use]
    pub fn valid_until(&self, now: Time) -> Option<Time> {
        self.valid_lease(now).map(|held| held.valid_until)
    }

    fn valid_lease(&self, now: Time) -> Option<&Held> {
        match &self.role {
            Role::Holding(held) if now < held.valid_until => Some(held),
            _ => None,
        }
    }

    /// Processes one input and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.detect_pause(now);
        self.stop_if_expired(now, out);
        match input {
            Input::Tick => {}
            Input::Members(list) => self.set_members(now, list),
            Input::RowRead { call, state } => {
                if let Some(changed) = self.table.on_read(now, call, state) {
                    self.on_row(now, changed, out);
                }
            }
            Input::RowWritten { call, result } => {
                if self.table.on_write(now, call, result) {
                    self.on_write_end(out);
                }
            }
            Input::Peer { from, msg } => self.on_message(now, from, msg, out),
            Input::PeerFailed { to, question } => self.on_peer_failure(to, question, out),
            Input::EpochSeen(epoch) => self.observe_epoch(now, epoch, out),
            Input::HandOver => self.hand_over(out),
        }
        self.advance(now, out);
    }

    fn set_members(&mut self, now: Time, list: Vec<Holder>) {
        let is_first = !self.members.is_initialized();
        let wait = self.takeover_wait();
        self.members.set(list, now, wait);
        if is_first {
            // Holders may not have known this node before now, and so may have renewed without asking it.
            // The time until now therefore counts as a pause.
            self.awake_since = now;
            let start = now + self.cfg.stagger * self.members.rank();
            self.claim_at = self.claim_at.max(start);
        }
    }

    /// Carries out whatever is due in the current role.
    fn advance(&mut self, now: Time, out: &mut Vec<Output>) {
        match &self.role {
            Role::Standby => self.advance_standby(now, out),
            Role::Claiming(_) => self.advance_claim(now, out),
            Role::Holding(_) => self.advance_held(now, out),
        }
    }

    /// Detects a pause of the process and abandons the round in progress. Answers that arrived during
    /// the pause may have been missed, so the round cannot show that a member is unreachable. Other
    /// members may also have found this node unreachable during the pause.
    fn detect_pause(&mut self, now: Time) {
        let was_paused = self
            .last_step
            .is_none_or(|last| now.since(last) > self.cfg.pause_limit);
        self.last_step = Some(now);
        if !was_paused {
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

    fn stop_if_expired(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Holding(held) = &self.role
            && now >= held.valid_until
        {
            self.stop(now, out);
        }
    }

    /// Stops holding the lease, and schedules a new claim without further delay unless there is a sign
    /// of another holder.
    pub(crate) fn stop(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Role::Holding(held) = &self.role {
            out.push(Output::Stopped(held.epoch));
        }
        self.role = Role::Standby;
        self.schedule_claim(now, Duration::ZERO);
    }

    fn on_message(&mut self, now: Time, from: NodeId, msg: LeaseMsg, out: &mut Vec<Output>) {
        match msg {
            LeaseMsg::Ask {
                question,
                purpose,
                from,
                epoch,
            } => self.on_ask(now, question, purpose, &from, epoch, out),
            LeaseMsg::Answer { question, reply } => self.on_answer(now, from, question, reply, out),
            LeaseMsg::HandedOver { epoch } => {
                self.members.set_leaving(from);
                self.mark_epoch_ended(now, epoch);
            }
        }
    }

    fn on_answer(
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
        let Some(round) = round.filter(|round| round.matches(question)) else {
            return;
        };
        match reply {
            Reply::Confirmed => round.record_confirmation(from),
            Reply::Holding(epoch) => {
                self.members.record_confirmation(now, from, epoch);
                self.on_denial(now, epoch, self.cfg.suspect_after, out);
            }
            Reply::Claiming(epoch) => self.on_denial(now, epoch, self.cfg.renew_interval, out),
            Reply::Superseded(epoch) => {
                // If the reported epoch is not lower, the next claim uses a higher one and can start soon.
                let is_behind = epoch >= round.epoch();
                let wait = if is_behind {
                    self.cfg.stagger
                } else {
                    self.cfg.renew_interval
                };
                self.on_denial(now, epoch, wait, out);
            }
            Reply::Stale => {
                self.stop(now, out);
                self.is_leaving = true;
            }
        }
    }

    /// Ends the claim or the held lease after a member has denied a request, and schedules the next claim
    /// after `wait`.
    fn on_denial(&mut self, now: Time, epoch: Epoch, wait: Duration, out: &mut Vec<Output>) {
        self.raise_highest_epoch(epoch);
        self.stop(now, out);
        self.schedule_claim(now, wait);
    }

    fn on_peer_failure(&mut self, to: NodeId, question: QuestionId, out: &mut Vec<Output>) {
        let round = match &mut self.role {
            Role::Standby => None,
            Role::Claiming(claim) => Some(&mut claim.round),
            Role::Holding(held) => held.round.as_mut(),
        };
        if let Some(round) = round.filter(|round| round.matches(question)) {
            round.record_failure(to, question, self.cfg.ask_attempts, out);
        }
    }

    fn observe_epoch(&mut self, now: Time, epoch: Epoch, out: &mut Vec<Output>) {
        self.raise_highest_epoch(epoch);
        if let Role::Holding(held) = &self.role
            && epoch > held.epoch
        {
            self.stop(now, out);
        }
    }

    pub(crate) fn raise_highest_epoch(&mut self, epoch: Epoch) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// Records that no node holds the lease under this epoch or an earlier one any more.
    pub(crate) fn mark_epoch_ended(&mut self, now: Time, epoch: Epoch) {
        self.raise_highest_epoch(epoch);
        if self.ended_epoch.is_some_and(|ended| epoch <= ended) {
            return;
        }
        self.ended_epoch = Some(epoch);
        self.members.clear_confirmations(epoch);
        if self.last_holder.is_none_or(|(last, ..)| last <= epoch) {
            let start = now + self.cfg.stagger * self.members.rank();
            self.claim_at = self.claim_at.min(start);
        }
    }

    /// Schedules the next claim after `wait` and this node's share of the stagger.
    pub(crate) fn schedule_claim(&mut self, now: Time, wait: Duration) {
        self.claim_at = now + wait + self.cfg.stagger * self.members.rank();
    }

    /// How long an unreachable node may still hold the lease after its last confirmation.
    pub(crate) fn takeover_wait(&self) -> Duration {
        self.cfg.term + self.cfg.drift_margin
    }

    pub(crate) const fn next_round(&mut self) -> u64 {
        self.last_round += 1;
        self.last_round
    }
}
