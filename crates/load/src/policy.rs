//! The scheduling policies that can be compared.

use std::{fmt, str::FromStr};

use sched::{Order, SchedConfig};

/// A scheduling policy: how the scheduler orders waiting jobs and which of them may preempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The scheduler's default settings.
    #[default]
    Standard,
    /// As [`Standard`](Self::Standard), but no task is stopped for urgent work.
    NoPreemption,
    /// As [`Standard`](Self::Standard), but tasks are also stopped for gangs of any rank.
    GangsPreempt,
    /// As [`Standard`](Self::Standard), but no step is held back while gangs wait.
    NoHolding,
    /// As [`Standard`](Self::Standard), but gangs request approvals for few workers.
    FewApprovals,
    /// Steps that have not expired first, by rank and then by age. Its name is `hope`. A baseline: it was the
    /// default order before the one of [`Standard`](Self::Standard).
    UnexpiredFirst,
    /// Jobs in the order of arrival.
    Arrival,
    /// Strict priority.
    Rank,
    /// Shortest remaining work first.
    Shortest,
}

impl Policy {
    /// All policies, the default first.
    pub const ALL: [Self; 9] = [
        Self::Standard,
        Self::NoPreemption,
        Self::GangsPreempt,
        Self::NoHolding,
        Self::FewApprovals,
        Self::UnexpiredFirst,
        Self::Arrival,
        Self::Rank,
        Self::Shortest,
    ];

    /// Returns the policy's name on the command line and in figures.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Standard => "standard",
            Self::NoPreemption => "no-preemption",
            Self::GangsPreempt => "gangs-preempt",
            Self::NoHolding => "no-holding",
            Self::FewApprovals => "few-approvals",
            Self::UnexpiredFirst => "hope",
            Self::Arrival => "arrival",
            Self::Rank => "rank",
            Self::Shortest => "shortest",
        }
    }

    /// Returns the scheduler's settings under this policy.
    #[must_use]
    pub fn settings(self) -> SchedConfig {
        let defaults = SchedConfig::default();
        let order = match self {
            Self::UnexpiredFirst => Order::UnexpiredFirst,
            Self::Arrival => Order::Arrival,
            Self::Rank => Order::Rank,
            Self::Shortest => Order::Shortest,
            _ => defaults.order,
        };
        let preempting_rank = match self {
            Self::NoPreemption => None,
            Self::GangsPreempt => Some(u32::MAX),
            _ => defaults.preempting_rank,
        };
        let holding_slack_percent = match self {
            Self::NoHolding => 100,
            _ => defaults.holding_slack_percent,
        };
        let gang_choice = match self {
            Self::FewApprovals => 0,
            _ => defaults.gang_choice,
        };
        SchedConfig {
            order,
            preempting_rank,
            holding_slack_percent,
            gang_choice,
            ..defaults
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| format!("`{text}` is no policy"))
    }
}
