//! The order in which waiting steps get free capacity.
//!
//! During a burst or after an outage, more processors are requested than exist, and steps wait for
//! longer than the latency objective of most jobs. If steps were served by age, each job would
//! start just after its objective has passed. So steps that can still meet their objective go
//! first, then those that are late but whose result is still of use, then the rest, which are
//! finished nevertheless. Among steps that can be in time, the rank of the queue decides first.
//! Steps that already have approvals come next, because those have cost an approver's time, and
//! then the newest steps: they have the most time left and so are the most likely to be in time
//! even if estimates are off.
//!
//! Jobs beyond their team's rate are served after the others that are not expired, in the same order.
//!
//! The clients of urgent queues wait interactively and their jobs are small, so urgent steps are
//! served before the others even when they are late, oldest first.
//!
//! Long-running tasks are expected to be there all the time, and few of them wait at a time: those that
//! were lost with their worker. They go before everything else, because among work that can still be in time they
//! would wait for as long as the fleet is full.

use std::{cmp::Ordering, time::Duration};

use jobs::StepKey;
use model::Time;

use crate::teams::TeamId;

/// A job is expired once it would take longer than this multiple of its objective.
const EXPIRY_FACTOR: u32 = 3;

/// The order in which waiting steps get free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// Steps that can be in time first, then late ones, then expired ones; within each by rank,
    /// then those with approvals, then the newest. Urgent steps that are not expired come before
    /// these, oldest first, and long-running steps first of all.
    #[default]
    InTime,
    /// Steps that are not expired first, by rank and then by age. A baseline: the policy that
    /// [`InTime`](Self::InTime) replaced.
    UnexpiredFirst,
    /// By age alone. A baseline.
    Arrival,
    /// By rank, then by age. A baseline.
    Rank,
    /// The least remaining work first. A baseline.
    Shortest,
}

/// Whether a job can still finish in time, judged by the least time that it still needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// It can finish within its objective.
    InTime,
    /// It will miss its objective, but can finish within [`EXPIRY_FACTOR`] times the objective,
    /// while the result is still of use.
    Late,
    /// It cannot finish within [`EXPIRY_FACTOR`] times its objective.
    Expired,
}

/// The rank of queues whose clients wait interactively.
pub(crate) const URGENT: u32 = 0;

/// The tiers in which [`Order::InTime`] serves steps, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    LongRunning,
    Urgent,
    InTime,
    Late,
    Expired,
}

/// The groups of tiers in which [`Order::InTime`] serves steps, first to last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Class {
    /// Steps that are not expired, of jobs within their team's rate.
    Entitled,
    /// Steps that are not expired, of jobs beyond it.
    Surplus,
    Expired,
}

/// A step that waits for free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WaitingStep {
    pub(crate) key: StepKey,
    pub(crate) team: TeamId,
    /// Whether its job was accepted beyond its team's rate.
    pub(crate) is_surplus: bool,
    /// The rank of its queue; 0 is the most urgent.
    pub(crate) rank: u32,
    /// When the job was accepted, or when the occurrence was due if the job has a schedule.
    pub(crate) accepted_at: Time,
    /// The latency objective of its job, counted from `accepted_at`.
    pub(crate) objective: Duration,
    /// The least time that its job still needs.
    pub(crate) remaining: Duration,
    /// The least time that its whole job takes.
    pub(crate) critical_path: Duration,
    /// Whether it has approvals.
    pub(crate) is_approved: bool,
    /// Whether its tasks run until the job is cancelled.
    pub(crate) is_long_running: bool,
}

impl WaitingStep {
    /// Returns the tier of the step.
    fn tier(&self, now: Time) -> Tier {
        match self.timeliness(now) {
            _ if self.is_long_running => Tier::LongRunning,
            Timeliness::Expired => Tier::Expired,
            _ if self.rank == URGENT => Tier::Urgent,
            Timeliness::InTime => Tier::InTime,
            Timeliness::Late => Tier::Late,
        }
    }

    /// Returns the group of steps with which the step is served.
    pub(crate) fn group(&self, now: Time) -> (Class, Tier) {
        let tier = self.tier(now);
        let class = match tier {
            Tier::Expired => Class::Expired,
            // Once accepted, such a job is expected to be there all the time.
            Tier::LongRunning => Class::Entitled,
            _ if self.is_surplus => Class::Surplus,
            _ => Class::Entitled,
        };
        (class, tier)
    }

    /// Returns how long the step can still wait without making its job late.
    pub(crate) fn slack(&self, now: Time) -> Duration {
        (self.accepted_at + self.objective) - (now + self.remaining)
    }

    /// Returns how long the steps of the job together can wait without making it late.
    pub(crate) fn initial_slack(&self) -> Duration {
        self.objective.saturating_sub(self.critical_path)
    }

    pub(crate) fn timeliness(&self, now: Time) -> Timeliness {
        let end = now + self.remaining;
        if end <= self.accepted_at + self.objective {
            Timeliness::InTime
        } else if end <= self.accepted_at + self.objective * EXPIRY_FACTOR {
            Timeliness::Late
        } else {
            Timeliness::Expired
        }
    }
}

/// Sorts steps into the order in which they get free capacity.
pub(crate) fn sort(order: Order, now: Time, steps: &mut [WaitingStep]) {
    steps.sort_by(|a, b| compare(order, now, a, b));
}

fn compare(order: Order, now: Time, a: &WaitingStep, b: &WaitingStep) -> Ordering {
    let age = a.accepted_at.cmp(&b.accepted_at).then(a.key.cmp(&b.key));
    let rank = a.rank.cmp(&b.rank);
    match order {
        Order::InTime => {
            let tier = a.group(now).cmp(&b.group(now)).then(rank);
            if a.rank == URGENT || a.is_long_running {
                return tier.then(age);
            }
            let approved = b.is_approved.cmp(&a.is_approved);
            tier.then(approved).then(age.reverse())
        }
        Order::UnexpiredFirst => {
            let is_expired = |waiting: &WaitingStep| waiting.timeliness(now) == Timeliness::Expired;
            let expired = is_expired(a).cmp(&is_expired(b));
            expired.then(rank).then(age)
        }
        Order::Arrival => age,
        Order::Rank => rank.then(age),
        Order::Shortest => a.remaining.cmp(&b.remaining).then(age),
    }
}
