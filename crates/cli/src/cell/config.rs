//! How a cell is made up.

use std::time::Duration;

use fakes::{FaultLevel, PlatformSpec};
use model::{Repeat, Time};
use node::NodeConfig;

/// How a cell is made up.
#[derive(Clone, Debug)]
pub struct CellConfig {
    /// All that is random depends on it. 1 by default.
    pub seed: u64,
    /// How many faults there are. None by default.
    pub faults: FaultLevel,
    /// The platform.
    pub platform: PlatformSpec,
    /// How many nodes each failure domain has. 2 by default.
    pub nodes_per_domain: u32,
    /// The nodes' settings.
    pub node: NodeConfig,
}

impl Default for CellConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            faults: FaultLevel::None,
            platform: PlatformSpec::default(),
            nodes_per_domain: 2,
            node: NodeConfig::default(),
        }
    }
}

/// Callers' requests to one service, at a mean rate.
#[derive(Clone, Debug)]
pub struct Load {
    /// The service.
    pub service: String,
    /// Whether a request may run twice. Those that may not carry an idempotency key.
    pub repeat: Repeat,
    /// How long the service lets a request take; the caller waits somewhat longer.
    pub deadline: Duration,
    /// The mean time between two requests.
    pub mean_interval: Duration,
    /// The first request is sent then.
    pub from: Time,
    /// No new request is sent from then on.
    pub until: Time,
}

impl Default for Load {
    /// A request to no service each 100 ms, without an end.
    fn default() -> Self {
        Self {
            service: String::new(),
            repeat: Repeat::Safe,
            deadline: Duration::from_secs(1),
            mean_interval: Duration::from_millis(100),
            from: Time::ZERO,
            until: Time::MAX,
        }
    }
}
