//! Units of work: services, batches and jobs whose tasks all start together.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Size;

/// How urgent a unit of work is. Ordered from least to most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Waits for whatever the other classes leave.
    Bulk,
    /// The ordinary class.
    Standard,
    /// Somebody waits for it: it starts within seconds.
    Interactive,
}

impl Class {
    /// All classes, most urgent first.
    pub const URGENT_FIRST: [Self; 3] = [Self::Interactive, Self::Standard, Self::Bulk];

    /// The class's name in operator files.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Bulk => "bulk",
            Self::Standard => "standard",
            Self::Interactive => "interactive",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// Whether a task or request may be run again after an uncertain attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// A second run does no harm.
    Safe,
    /// It runs at most once.
    Never,
}

/// What the replicas of a service are kept apart by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Over racks of one failure domain.
    Rack,
    /// Over failure domains, then racks.
    FailureDomain,
    /// Over regions, then failure domains, then racks.
    Region,
}

/// How callers' requests to a service are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RequestPolicy {
    /// Whether a request may be sent to a second backend server.
    pub repeat: Repeat,
    /// How long a request may wait and run before it is given up.
    pub deadline: Duration,
}

impl Default for RequestPolicy {
    /// Requests that are never repeated, with a deadline of 10 s.
    fn default() -> Self {
        Self {
            repeat: Repeat::Never,
            deadline: Duration::from_secs(10),
        }
    }
}

/// What kind of work a unit is, with the settings of that kind alone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Replicas that run until stopped and are replaced when lost.
    Service {
        /// How many replicas run at a time.
        replicas: u32,
        /// What the replicas are kept apart by.
        spread: Spread,
        /// How callers' requests are handled.
        requests: RequestPolicy,
    },
    /// Tasks that start one by one as there is room.
    Batch {
        /// How many tasks there are.
        tasks: u32,
    },
    /// Tasks that all start together or not at all.
    Gang {
        /// How many tasks there are.
        tasks: u32,
    },
}

impl Kind {
    /// How many tasks or replicas the unit has.
    #[must_use]
    pub const fn tasks(&self) -> u32 {
        match self {
            Self::Service { replicas, .. } => *replicas,
            Self::Batch { tasks } | Self::Gang { tasks } => *tasks,
        }
    }

    /// Whether the unit is a service.
    #[must_use]
    pub const fn is_service(&self) -> bool {
        matches!(self, Self::Service { .. })
    }
}

/// A unit of work as its operator file describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Unit {
    /// The unit's name, unique in the cluster.
    pub name: String,
    /// The team whose quota it counts against.
    pub team: String,
    /// The program and its arguments.
    pub command: Vec<String>,
    /// What each task declares that it needs.
    pub size: Size,
    /// How urgent the unit is.
    pub class: Class,
    /// Whether a task may be run again after an uncertain attempt.
    pub repeat: Repeat,
    /// How often a task is tried at the most.
    pub attempts: u32,
    /// How long a task is declared to run; often wrong. Zero for a service.
    pub run_time: Duration,
    /// The kind of work.
    pub kind: Kind,
}

/// A team, and the most that its running tasks may hold together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Team {
    /// The team's name, unique in the cluster.
    pub name: String,
    /// The most that its running tasks may hold together.
    pub quota: Size,
}
