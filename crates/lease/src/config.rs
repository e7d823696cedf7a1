//! Settings of the domain lease.

use std::time::Duration;

/// Settings of the domain lease. All nodes of a domain must use the same values.
///
/// `pause_limit` must be shorter than `ask_timeout` by more than one round trip within the domain, so
/// that a node that has not paused can always answer before it is considered unreachable.
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
    /// How long a claim or renewal keeps the lease valid. 6 s by default.
    pub term: Duration,
    /// The interval between renewals. 2 s by default.
    pub renew_interval: Duration,
    /// The additional time that a candidate waits after the term, because clocks may run at different
    /// rates. 600 ms by default.
    pub drift_margin: Duration,
    /// The interval at which a candidate reads the row. 1 s by default.
    pub read_interval: Duration,
    /// The time without a sign of a holder after which a candidate starts a claim. 4 s by default.
    pub suspect_after: Duration,
    /// The additional delay before a claim for each member with a lower node number, so that the
    /// lowest live member takes over. 100 ms by default.
    pub stagger: Duration,
    /// How long the node waits for an answer on a fresh connection before it reports
    /// [`Input::PeerFailed`](crate::Input::PeerFailed). 1 s by default.
    pub ask_timeout: Duration,
    /// The number of consecutive fresh connections to a member that must fail before the member is
    /// considered unreachable. 2 by default.
    pub ask_attempts: u32,
    /// The longest time between two steps that is not treated as a pause of the process. After a
    /// pause, the round that was in progress is abandoned. 700 ms by default.
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
