//! Settings of the domain lease.

use std::time::Duration;

/// Settings of the domain lease. Every node of a domain has the same.
///
/// `pause_limit` must be shorter than `ask_timeout` by more than a round trip within the domain: a
/// node that was awake all the time must be able to answer before it is counted as unreachable.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use lease::LeaseConfig;
///
/// let cfg = LeaseConfig { term: Duration::from_secs(8), ..LeaseConfig::default() };
/// assert!(cfg.renew_interval < cfg.term);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// How long a renewal is good for. 6 s by default.
    pub term: Duration,
    /// The interval of renewals. 2 s by default.
    pub renew_interval: Duration,
    /// What a candidate waits beyond the term, for clocks that run at different speeds. 600 ms by
    /// default.
    pub drift_margin: Duration,
    /// The interval at which a candidate reads the row. 1 s by default.
    pub read_interval: Duration,
    /// A candidate that has heard of no holder for this long asks the members. 4 s by default.
    pub suspect_after: Duration,
    /// What a candidate waits longer than the member before it in the order of node numbers, so
    /// that the lowest live member takes over. 100 ms by default.
    pub stagger: Duration,
    /// How long a fresh connection has to bring the answer to a question, before the node reports
    /// [`Input::PeerFailed`](crate::Input::PeerFailed). 1 s by default.
    pub ask_timeout: Duration,
    /// How many fresh connections to a member must fail, one after the other, before it is counted
    /// as unreachable. 2 by default.
    pub ask_attempts: u32,
    /// A longer time between two steps is a pause: what was asked before it is asked anew. 700 ms
    /// by default.
    pub pause_limit: Duration,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        Self {
            term: Duration::from_secs(6),
            renew_interval: Duration::from_secs(2),
            drift_margin: Duration::from_millis(600),
            read_interval: Duration::from_secs(1),
            suspect_after: Duration::from_secs(4),
            stagger: Duration::from_millis(100),
            ask_timeout: Duration::from_secs(1),
            ask_attempts: 2,
            pause_limit: Duration::from_millis(700),
        }
    }
}
