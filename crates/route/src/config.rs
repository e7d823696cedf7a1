//! The settings of a router.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct RouteConfig {
    /// The shortest time after which a refused caller is told to retry. 1 s by default.
    pub retry_after: Duration,
    /// The longest time after which a refused caller is told to retry, before jitter of up to a quarter of
    /// it. 30 s by default.
    pub max_retry_after: Duration,
    /// The maximum number of requests in the queue of one service. 1,000 by default.
    pub max_queue_len: usize,
    /// The maximum number of attempts and claims in flight. 480 by default.
    pub max_in_flight: usize,
    /// The share that is reserved for interactive requests, in percent, of [`Self::max_in_flight`] and of the
    /// node's slots of each backend server with an interactive service. Of slots, the share is rounded up to
    /// a whole slot, but a single slot is not reserved. 25 by default.
    pub interactive_percent: u32,
    /// The maximum number of attempts of a request. 3 by default.
    pub max_attempts: u32,
    /// The maximum number of retries per 100 requests. 10 by default.
    pub retry_percent: u32,
    /// The maximum number of unused retries that a service accumulates. 10 by default.
    pub retry_burst: u32,
    /// The longest wait before the first retry, which doubles for each further retry up to 32 times this
    /// value. 20 ms by default.
    pub backoff: Duration,
    /// The shortest wait for the first byte of an answer before a safe request is retried elsewhere.
    /// 200 ms by default.
    pub min_first_byte_timeout: Duration,
    /// The settings for the ejection of backend servers and nodes.
    pub health: HealthConfig,
    /// The first estimate of a request's time at a backend server, which measured times then adjust. 50 ms by
    /// default.
    pub run_time: Duration,
    /// The maximum number of requests in flight to one other node. 128 by default.
    pub max_forwards_per_node: u32,
    /// The seed of the random numbers. Each node should have its own. 1 by default.
    pub seed: u64,
}

impl Default for RouteConfig {
    fn default() -> Self {
        Self {
            retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_secs(30),
            max_queue_len: 1_000,
            max_in_flight: 480,
            interactive_percent: 25,
            max_attempts: 3,
            retry_percent: 10,
            retry_burst: 10,
            backoff: Duration::from_millis(20),
            min_first_byte_timeout: Duration::from_millis(200),
            health: HealthConfig::default(),
            run_time: Duration::from_millis(50),
            max_forwards_per_node: 128,
            seed: 1,
        }
    }
}

/// Settings for the ejection of backend servers and nodes.
///
/// An ejected server or node gets no requests for a while.
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// The number of consecutive failures after which a server is ejected. 3 by default.
    pub failures: u32,
    /// How long the first ejection lasts. The time doubles for each consecutive ejection. 2 s by default.
    pub eject_time: Duration,
    /// The longest ejection. 30 s by default.
    pub max_eject_time: Duration,
    /// A server is slow if its requests take more than this many times as long as those of the median
    /// server of the same service. 4 by default.
    pub slow_factor: u32,
    /// A server whose requests take no longer than this on average is never slow. 100 ms by default.
    pub min_slow_time: Duration,
    /// The minimum number of answers before a server can be slow. 10 by default.
    pub slow_samples: u32,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            failures: 3,
            eject_time: Duration::from_secs(2),
            max_eject_time: Duration::from_secs(30),
            slow_factor: 4,
            min_slow_time: Duration::from_millis(100),
            slow_samples: 10,
        }
    }
}
