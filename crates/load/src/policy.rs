//! Policies that can be compared.

use std::{fmt, str::FromStr};

use sched::{Order, SchedConfig};

/// A way to decide what starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// What is in use.
    #[default]
    Standard,
    /// The same without stopping tasks for urgent work.
    NoPreemption,
    /// The same with stopping tasks for gangs of any rank too.
    GangsPreempt,
    /// What is not past hope first, by rank and age: the order in use before.
    UnexpiredFirst,
    /// First come, first served.
    Arrival,
    /// Strict priority.
    Rank,
    /// Shortest remaining work first.
    Shortest,
}

impl Policy {
    /// All policies, the one in use first.
    pub const ALL: [Self; 7] = [
        Self::Standard,
        Self::NoPreemption,
        Self::GangsPreempt,
        Self::UnexpiredFirst,
        Self::Arrival,
        Self::Rank,
        Self::Shortest,
    ];

    /// Its name on the command line and in figures.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Standard => "standard",
            Self::NoPreemption => "no-preemption",
            Self::GangsPreempt => "gangs-preempt",
            Self::UnexpiredFirst => "hope",
            Self::Arrival => "arrival",
            Self::Rank => "rank",
            Self::Shortest => "shortest",
        }
    }

    /// The scheduler's settings.
    #[must_use]
    pub fn settings(self) -> SchedConfig {
        let defaults = SchedConfig::default();
        let order = match self {
            Self::Standard | Self::NoPreemption | Self::GangsPreempt => defaults.order,
            Self::UnexpiredFirst => Order::UnexpiredFirst,
            Self::Arrival => Order::Arrival,
            Self::Rank => Order::Rank,
            Self::Shortest => Order::Shortest,
        };
        let preempting_rank = match self {
            Self::NoPreemption => None,
            Self::GangsPreempt => Some(u32::MAX),
            _ => defaults.preempting_rank,
        };
        SchedConfig {
            order,
            preempting_rank,
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
