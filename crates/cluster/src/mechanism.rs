//! Mechanisms of the scheduling policy that can be switched off, to measure what each is worth.

use std::{fmt, str::FromStr, time::Duration};

use sched::{CandidacyConfig, Order, SchedConfig};

use crate::NodeSettings;

/// Settings of what a node does for the jobs that it accepts, and as the scheduler for the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches, each named by a mechanism"
)]
pub struct NodePolicy {
    /// Whether a node requests the first approvals for a job while it stores it.
    pub asks_for_own_jobs: bool,
    /// Whether requests for approvals are spread over the linked nodes.
    pub spreads_approvals: bool,
    /// Whether a node announces the jobs that take long to store.
    pub announces: bool,
    /// Whether jobs wait at the node while the table is away.
    pub holds_jobs: bool,
    /// Whether clients that are refused are told to come back by the length of the outage.
    pub retries_by_outage: bool,
    /// Whether the linked nodes are told in which order they should take over.
    pub tells_ranks: bool,
    /// Whether the limit of a start order follows the observed answers.
    pub limits_orders: bool,
}

impl Default for NodePolicy {
    fn default() -> Self {
        Self {
            asks_for_own_jobs: true,
            spreads_approvals: true,
            announces: true,
            holds_jobs: true,
            retries_by_outage: true,
            tells_ranks: true,
            limits_orders: true,
        }
    }
}

/// A mechanism that can be switched off without breaking a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Steps that can still be in time go first. Without it, the oldest go first.
    InTimeFirst,
    /// Urgent steps have runs stopped that can resume elsewhere.
    Preemption,
    /// Workers are reserved for long-running tasks that fit nowhere.
    Reservation,
    /// Gangs choose among many more allowed workers than they need.
    GangChoice,
    /// Free capacity is reserved for the first waiting gang.
    GangReservation,
    /// Batches that have time wait for gangs.
    Holding,
    /// Nodes request the first approvals for the jobs that they store.
    OwnApprovals,
    /// Requests for approvals are spread over the linked nodes.
    ApprovalSpread,
    /// Requests that would have to wait are not sent yet.
    ApprovalBacklog,
    /// Workers on which several tasks fail in a row get no work for a while.
    Quarantine,
    /// Jobs are announced to the scheduler while they are being stored.
    Announcements,
    /// Jobs wait at the node while the table is away.
    Door,
    /// Clients that are refused are told to come back by the length of the outage.
    OutageRetry,
    /// Nodes are told in which order they should take over.
    Ranks,
    /// The lease row of a silent scheduler is read before its link counts as lost.
    EarlyDoubt,
    /// The limit of a start order follows the observed answers.
    OrderLimits,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 16] = [
        Self::InTimeFirst,
        Self::Preemption,
        Self::Reservation,
        Self::GangChoice,
        Self::GangReservation,
        Self::Holding,
        Self::OwnApprovals,
        Self::ApprovalSpread,
        Self::ApprovalBacklog,
        Self::Quarantine,
        Self::Announcements,
        Self::Door,
        Self::OutageRetry,
        Self::Ranks,
        Self::EarlyDoubt,
        Self::OrderLimits,
    ];

    /// Returns the name that operators use.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::InTimeFirst => "in-time-first",
            Self::Preemption => "preemption",
            Self::Reservation => "reservation",
            Self::GangChoice => "gang-choice",
            Self::GangReservation => "gang-reservation",
            Self::Holding => "holding",
            Self::OwnApprovals => "own-approvals",
            Self::ApprovalSpread => "approval-spread",
            Self::ApprovalBacklog => "approval-backlog",
            Self::Quarantine => "quarantine",
            Self::Announcements => "announcements",
            Self::Door => "door",
            Self::OutageRetry => "outage-retry",
            Self::Ranks => "ranks",
            Self::EarlyDoubt => "early-doubt",
            Self::OrderLimits => "order-limits",
        }
    }

    /// Switches the mechanism off in a node's settings.
    pub fn switch_off(self, settings: &mut NodeSettings) {
        let sched = &mut settings.sched;
        let candidacy = &mut settings.candidacy;
        let policy = &mut settings.policy;
        match self {
            Self::InTimeFirst => sched.order = Order::Arrival,
            Self::Preemption => sched.preempting_rank = None,
            Self::Reservation => sched.reserves_workers = false,
            Self::GangChoice => sched.gang_choice = 0,
            Self::GangReservation => sched.max_gang_reservations = 0,
            Self::Holding => sched.holding_slack_percent = 100,
            Self::OwnApprovals => policy.asks_for_own_jobs = false,
            Self::ApprovalSpread => policy.spreads_approvals = false,
            Self::ApprovalBacklog => sched.approval_backlog = Duration::from_secs(10),
            Self::Quarantine => no_quarantine(sched),
            Self::Announcements => policy.announces = false,
            Self::Door => policy.holds_jobs = false,
            Self::OutageRetry => policy.retries_by_outage = false,
            Self::Ranks => policy.tells_ranks = false,
            Self::EarlyDoubt => no_early_doubt(candidacy),
            Self::OrderLimits => policy.limits_orders = false,
        }
    }
}

fn no_quarantine(cfg: &mut SchedConfig) {
    cfg.failure_streak = u32::MAX;
}

fn no_early_doubt(cfg: &mut CandidacyConfig) {
    cfg.doubt_timeout = cfg.link_timeout;
    cfg.takeover_timeout_quick = cfg.takeover_timeout;
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The error for a name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{0}` is no mechanism; there are {names}", names = Mechanism::ALL.map(Mechanism::name).join(", "))]
pub struct UnknownMechanism(String);

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL.into_iter().find(|m| m.name() == text);
        named.ok_or_else(|| UnknownMechanism(text.to_owned()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_unique_and_can_be_parsed() {
        for mechanism in Mechanism::ALL {
            assert_eq!(mechanism.name().parse(), Ok(mechanism));
        }
        let error = "doors".parse::<Mechanism>().unwrap_err().to_string();
        assert!(error.starts_with("`doors` is no mechanism; there are in-time-first, "));
    }
}
