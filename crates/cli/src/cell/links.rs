//! The simulated network: reachability and latency between nodes and to the platform.

use std::{collections::BTreeMap, time::Duration};

use fakes::{FaultLevel, Rng};
use model::{DomainId, NodeId, RegionId, Time};

/// The shortest one-way latency inside a failure domain, or between domains of a region.
const REGION_LATENCY: Duration = Duration::from_millis(1);
/// The shortest one-way latency between regions.
const CROSS_REGION_LATENCY: Duration = Duration::from_millis(10);
/// The time after which keepalives detect a silent connection and a new one replaces it.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// The additional duration of a call to a slow table.
const SLOW_TABLE_DELAY: Duration = Duration::from_secs(1);

/// The time after which the sender considers an unacknowledged message as failed.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// When a message arrives and when its sender sees a failure.
#[derive(Clone, Debug)]
pub(crate) struct DeliveryPlan {
    /// The times at which the message arrives: none, one, or two if it is duplicated.
    pub(crate) arrivals: Vec<Time>,
    /// When the sender learns that the message was not acknowledged, if it was not.
    pub(crate) failed_at: Option<Time>,
}

/// The failure domain and region of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NodeLocation {
    pub(crate) node: NodeId,
    pub(crate) domain: DomainId,
    pub(crate) region: RegionId,
}

/// The state of all links. Each cut or fault is stored with the time at which it ends.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    rng: Rng,
    /// The share of messages that are lost, and of acknowledgements that are lost.
    lost_per_mille: u32,
    /// The share of messages that arrive twice.
    duplicated_per_mille: u32,
    /// The share of messages that take 20 times as long.
    late_per_mille: u32,
    cut_pairs: BTreeMap<(DomainId, DomainId), Time>,
    cut_from_peers: BTreeMap<DomainId, Time>,
    cut_from_platform: BTreeMap<DomainId, Time>,
    silent_pairs: BTreeMap<(NodeId, NodeId), Time>,
    table_down_until: Time,
    table_slow_until: Time,
    replies_lost_until: Time,
}

impl Links {
    pub(crate) fn new(seed: u64, level: FaultLevel) -> Self {
        let (lost_per_mille, duplicated_per_mille, late_per_mille) = match level {
            FaultLevel::None => (0, 0, 0),
            FaultLevel::Some => (2, 2, 5),
            FaultLevel::Many => (15, 10, 30),
        };
        Self {
            rng: Rng::new(seed ^ 0x6c69_6e6b),
            lost_per_mille,
            duplicated_per_mille,
            late_per_mille,
            cut_pairs: BTreeMap::new(),
            cut_from_peers: BTreeMap::new(),
            cut_from_platform: BTreeMap::new(),
            silent_pairs: BTreeMap::new(),
            table_down_until: Time::ZERO,
            table_slow_until: Time::ZERO,
            replies_lost_until: Time::ZERO,
        }
    }

    pub(crate) fn cut_between(&mut self, a: DomainId, b: DomainId, until: Time) {
        self.cut_pairs.insert((a.min(b), a.max(b)), until);
    }

    pub(crate) fn cut_from_peers(&mut self, domain: DomainId, until: Time) {
        self.cut_from_peers.insert(domain, until);
    }

    pub(crate) fn cut_from_platform(&mut self, domain: DomainId, until: Time) {
        self.cut_from_platform.insert(domain, until);
    }

    pub(crate) fn set_silent(&mut self, now: Time, a: NodeId, b: NodeId) {
        self.silent_pairs
            .insert((a.min(b), a.max(b)), now + KEEPALIVE_TIMEOUT);
    }

    pub(crate) fn set_table_down(&mut self, until: Time) {
        self.table_down_until = until;
    }

    pub(crate) fn set_table_slow(&mut self, until: Time) {
        self.table_slow_until = until;
    }

    pub(crate) fn set_replies_lost(&mut self, until: Time) {
        self.replies_lost_until = until;
    }

    pub(crate) fn loses_replies(&self, now: Time) -> bool {
        now < self.replies_lost_until
    }

    /// Returns the additional duration of a call to the table.
    pub(crate) fn table_delay(&self, now: Time) -> Duration {
        if now < self.table_slow_until {
            SLOW_TABLE_DELAY
        } else {
            Duration::ZERO
        }
    }

    pub(crate) fn reaches_table(&self, now: Time, domain: DomainId) -> bool {
        now >= self.table_down_until && self.reaches_platform(now, domain)
    }

    pub(crate) fn reaches_platform(&self, now: Time, domain: DomainId) -> bool {
        !is_active(&self.cut_from_platform, &domain, now)
    }

    /// Returns whether two nodes can establish a new connection.
    pub(crate) fn connects(&self, now: Time, a: &NodeLocation, b: &NodeLocation) -> bool {
        if a.domain == b.domain {
            return true;
        }
        let pair = (a.domain.min(b.domain), a.domain.max(b.domain));
        !(is_active(&self.cut_pairs, &pair, now)
            || is_active(&self.cut_from_peers, &a.domain, now)
            || is_active(&self.cut_from_peers, &b.domain, now))
    }

    /// Plans the delivery of a message between two nodes. A new connection is never silent.
    pub(crate) fn send(
        &mut self,
        now: Time,
        a: &NodeLocation,
        b: &NodeLocation,
        needs_new_connection: bool,
    ) -> DeliveryPlan {
        let is_lost = self.rng.chance(self.lost_per_mille);
        let is_unacknowledged = self.rng.chance(self.lost_per_mille);
        let is_duplicated = self.rng.chance(self.duplicated_per_mille);
        let latency = self.latency(a, b);
        let pair = (a.node.min(b.node), a.node.max(b.node));
        if needs_new_connection {
            self.silent_pairs.remove(&pair);
        }
        if is_lost || is_active(&self.silent_pairs, &pair, now) || !self.connects(now, a, b) {
            return DeliveryPlan {
                arrivals: Vec::new(),
                failed_at: Some(now + ACK_TIMEOUT),
            };
        }
        let mut arrivals = vec![now + latency];
        if is_duplicated {
            arrivals.push(now + self.latency(a, b) + REGION_LATENCY);
        }
        DeliveryPlan {
            arrivals,
            failed_at: is_unacknowledged.then(|| now + ACK_TIMEOUT),
        }
    }

    /// Draws the one-way latency between two nodes. A late message takes 20 times as long, so that later messages
    /// overtake it.
    pub(crate) fn latency(&mut self, a: &NodeLocation, b: &NodeLocation) -> Duration {
        let base = if a.region == b.region {
            REGION_LATENCY
        } else {
            CROSS_REGION_LATENCY
        };
        let is_late = self.rng.chance(self.late_per_mille);
        self.rng.span(base, base * 2) * if is_late { 20 } else { 1 }
    }
}

/// Returns whether the entry for `key` has not ended.
fn is_active<K: Ord>(cuts: &BTreeMap<K, Time>, key: &K, now: Time) -> bool {
    cuts.get(key).is_some_and(|until| now < *until)
}
