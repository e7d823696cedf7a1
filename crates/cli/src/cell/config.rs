//! The configuration of a cell and of the load on it.

use std::time::Duration;

use fakes::{FaultLevel, PlatformSpec};
use model::{Repeat, Time};
use node::NodeConfig;

/// The configuration of a cell.
#[derive(Clone, Debug)]
pub struct CellConfig {
    /// The seed of all random decisions. 1 by default.
    pub seed: u64,
    /// How many random faults are injected. None by default.
    pub faults: FaultLevel,
    /// The size and behaviour of the simulated platform.
    pub platform: PlatformSpec,
    /// The number of nodes in each failure domain. 2 by default.
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

/// A stream of callers' requests to one service at a mean rate.
#[derive(Clone, Debug)]
pub struct Load {
    /// The name of the service.
    pub service: String,
    /// Whether a request may run more than once. If not, it carries an idempotency key.
    pub repeat: Repeat,
    /// The service's deadline for a request. The caller waits for 1 s longer.
    pub deadline: Duration,
    /// The mean time between two requests. Intervals are drawn uniformly from 1 ms to twice the mean.
    pub mean_interval: Duration,
    /// When the first request is sent.
    pub from: Time,
    /// No new requests are sent from this time on.
    pub until: Time,
}

impl Default for Load {
    /// One request each 100 ms on average, without an end. The name of the service is empty.
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
