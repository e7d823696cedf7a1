//! Settings of a router.

use std::time::Duration;

/// Settings of a [`Router`](crate::Router).
#[derive(Clone, Debug)]
pub struct RouteConfig {
    /// The shortest wait that a refused caller is told. 1 s by default.
    pub retry_after: Duration,
    /// The longest wait that a refused caller is told. 30 s by default.
    pub max_retry_after: Duration,
    /// The most requests that wait for one service. 1,000 by default.
    pub max_queue_len: usize,
    /// The most requests that are on their way to backend servers or nodes at a time. 480 by default.
    pub max_in_flight: usize,
    /// The share of slots that only interactive requests use, in percent; at least one slot of two.
    /// 25 by default.
    pub interactive_percent: u32,
    /// The most attempts of a request. 3 by default.
    pub max_attempts: u32,
    /// How many retries there are at the most for 100 requests. 10 by default.
    pub retry_percent: u32,
    /// How many retries can be saved up per service. 10 by default.
    pub retry_burst: u32,
    /// The longest wait before the first retry; doubled for each further one. 20 ms by default.
    pub backoff: Duration,
    /// The shortest wait for the beginning of an answer before a safe request is tried elsewhere.
    /// 200 ms by default.
    pub min_first_byte_timeout: Duration,
    /// Ejection of backend servers.
    pub health: HealthConfig,
    /// The time that a request is taken to run before its service has answered any. 50 ms by default.
    pub run_time: Duration,
    /// The most requests that one other node is passed at a time. 128 by default.
    pub max_forwards_per_node: u32,
    /// All that is random depends on it. 1 by default; nodes use different ones.
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

/// Settings of when a backend server gets no requests for a while.
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// Failures in a row that eject it. 3 by default.
    pub failures: u32,
    /// How long the first ejection lasts; doubled for each further one. 2 s by default.
    pub eject_time: Duration,
    /// The longest ejection. 30 s by default.
    pub max_eject_time: Duration,
    /// It is slow if its requests take this many times as long as those of the median server of the
    /// same service. 4 by default.
    pub slow_factor: u32,
    /// It is not slow below this time. 100 ms by default.
    pub min_slow_time: Duration,
    /// How many answers must have come before it can be slow. 10 by default.
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
