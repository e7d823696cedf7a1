//! Units of work: services, batches and jobs whose tasks all start together.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Size;

/// The urgency of a unit of work, ordered from least to most urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Runs on the resources that the other classes leave free.
    Bulk,
    /// The class of ordinary work.
    Standard,
    /// Work that a user waits for. It should start within seconds.
    Interactive,
}

impl Class {
    /// All classes, from most to least urgent.
    pub const URGENT_FIRST: [Self; 3] = [Self::Interactive, Self::Standard, Self::Bulk];

    /// Returns the name of the class in operator files.
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

/// Whether a task or request may be run again after an attempt whose outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Running it again is harmless.
    Safe,
    /// It must run at most once.
    Never,
}

/// The level of the topology over which the replicas of a service are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Over the racks of one failure domain.
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
    /// How long a request may wait and run in total before it is abandoned.
    pub deadline: Duration,
}

impl Default for RequestPolicy {
    /// Returns a policy without repeats and with a deadline of 10 s.
    fn default() -> Self {
        Self {
            repeat: Repeat::Never,
            deadline: Duration::from_secs(10),
        }
    }
}

/// The kind of a unit of work, with the settings specific to that kind.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Replicas that run until they are stopped and are replaced when lost.
    Service {
        /// The number of replicas that run concurrently.
        replicas: u32,
        /// How the replicas are spread.
        spread: Spread,
        /// How callers' requests are handled.
        requests: RequestPolicy,
    },
    /// Tasks that start independently as resources become available.
    Batch {
        /// The number of tasks.
        tasks: u32,
    },
    /// Tasks that all start together or not at all.
    Gang {
        /// The number of tasks.
        tasks: u32,
    },
}

impl Kind {
    /// Returns the number of tasks or replicas of the unit.
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

/// A unit of work as described in an operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Unit {
    /// The unit's name, unique in the cluster.
    pub name: String,
    /// The team whose quota the unit counts against.
    pub team: String,
    /// The program and its arguments.
    pub command: Vec<String>,
    /// The declared size of each task.
    pub size: Size,
    /// The urgency of the unit.
    pub class: Class,
    /// Whether a task may be run again after an attempt whose outcome is unknown.
    pub repeat: Repeat,
    /// The maximum number of attempts of a task.
    pub attempts: u32,
    /// The declared run time of a task, which is often inaccurate. Zero for a service.
    pub run_time: Duration,
    /// The kind of work.
    pub kind: Kind,
}

/// A team and its quota.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Team {
    /// The team's name, unique in the cluster.
    pub name: String,
    /// The maximum total size of the team's running tasks.
    pub quota: Size,
}
