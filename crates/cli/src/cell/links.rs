//! Which messages get through, and how long they take.

use std::{collections::BTreeMap, time::Duration};

use fakes::{FaultLevel, Rng};
use model::{DomainId, NodeId, RegionId, Time};

/// One way inside a failure domain, or between domains of a region.
const NEAR: Duration = Duration::from_millis(1);
/// One way between regions.
const FAR: Duration = Duration::from_millis(10);
/// A connection that has gone silent is replaced by a fresh one after this time.
const KEEPALIVE_BOUND: Duration = Duration::from_secs(3);
/// A call to a table that is slow takes longer by this.
const SLOWNESS: Duration = Duration::from_secs(1);

/// A message that was not acknowledged by then has failed, as its sender sees it.
pub(crate) const ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// What becomes of a message.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    /// When it arrives: never, once, or twice.
    pub(crate) arrives: Vec<Time>,
    /// When its sender learns that it was not acknowledged.
    pub(crate) failed: Option<Time>,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) node: NodeId,
    pub(crate) domain: DomainId,
    pub(crate) region: RegionId,
}

/// The state of all links. Each entry holds up to a point in time.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    rng: Rng,
    lost_per_mille: u32,
    twice_per_mille: u32,
    late_per_mille: u32,
    between: BTreeMap<(DomainId, DomainId), Time>,
    from_peers: BTreeMap<DomainId, Time>,
    from_platform: BTreeMap<DomainId, Time>,
    silent: BTreeMap<(NodeId, NodeId), Time>,
    table_down: Time,
    table_slow: Time,
    replies_lost: Time,
}

impl Links {
    pub(crate) fn new(seed: u64, level: FaultLevel) -> Self {
        let (lost_per_mille, twice_per_mille, late_per_mille) = match level {
            FaultLevel::None => (0, 0, 0),
            FaultLevel::Some => (2, 2, 5),
            FaultLevel::Many => (15, 10, 30),
        };
        Self {
            rng: Rng::new(seed ^ 0x6c69_6e6b),
            lost_per_mille,
            twice_per_mille,
            late_per_mille,
            between: BTreeMap::new(),
            from_peers: BTreeMap::new(),
            from_platform: BTreeMap::new(),
            silent: BTreeMap::new(),
            table_down: Time::ZERO,
            table_slow: Time::ZERO,
            replies_lost: Time::ZERO,
        }
    }

    pub(crate) fn cut_between(&mut self, a: DomainId, b: DomainId, until: Time) {
        self.between.insert((a.min(b), a.max(b)), until);
    }

    pub(crate) fn cut_from_peers(&mut self, domain: DomainId, until: Time) {
        self.from_peers.insert(domain, until);
    }

    pub(crate) fn cut_from_platform(&mut self, domain: DomainId, until: Time) {
        self.from_platform.insert(domain, until);
    }

    pub(crate) fn silence(&mut self, now: Time, a: NodeId, b: NodeId) {
        self.silent
            .insert((a.min(b), a.max(b)), now + KEEPALIVE_BOUND);
    }

    pub(crate) fn table_down(&mut self, until: Time) {
        self.table_down = until;
    }

    pub(crate) fn table_slow(&mut self, until: Time) {
        self.table_slow = until;
    }

    pub(crate) fn lose_replies(&mut self, until: Time) {
        self.replies_lost = until;
    }

    pub(crate) fn loses_replies(&self, now: Time) -> bool {
        now < self.replies_lost
    }

    /// What a call to the table takes longer now.
    pub(crate) fn table_delay(&self, now: Time) -> Duration {
        if now < self.table_slow {
            SLOWNESS
        } else {
            Duration::ZERO
        }
    }

    pub(crate) fn reaches_table(&self, now: Time, domain: DomainId) -> bool {
        now >= self.table_down && self.reaches_platform(now, domain)
    }

    pub(crate) fn reaches_platform(&self, now: Time, domain: DomainId) -> bool {
        !holds(&self.from_platform, &domain, now)
    }

    /// Whether a fresh connection between two nodes can be made.
    pub(crate) fn connects(&self, now: Time, a: &Place, b: &Place) -> bool {
        if a.domain == b.domain {
            return true;
        }
        let pair = (a.domain.min(b.domain), a.domain.max(b.domain));
        !(holds(&self.between, &pair, now)
            || holds(&self.from_peers, &a.domain, now)
            || holds(&self.from_peers, &b.domain, now))
    }

    /// What becomes of a message from one node to another. A fresh connection is never silent.
    pub(crate) fn send(&mut self, now: Time, a: &Place, b: &Place, fresh: bool) -> Delivery {
        let lost = self.rng.chance(self.lost_per_mille);
        let unacknowledged = self.rng.chance(self.lost_per_mille);
        let twice = self.rng.chance(self.twice_per_mille);
        let there = self.latency(a, b);
        let pair = (a.node.min(b.node), a.node.max(b.node));
        if fresh {
            self.silent.remove(&pair);
        }
        if lost || holds(&self.silent, &pair, now) || !self.connects(now, a, b) {
            return Delivery {
                arrives: Vec::new(),
                failed: Some(now + ACK_TIMEOUT),
            };
        }
        let mut arrives = vec![now + there];
        if twice {
            arrives.push(now + self.latency(a, b) + NEAR);
        }
        Delivery {
            arrives,
            failed: unacknowledged.then(|| now + ACK_TIMEOUT),
        }
    }

    /// One way between two nodes. Some messages are overtaken by later ones.
    pub(crate) fn latency(&mut self, a: &Place, b: &Place) -> Duration {
        let base = if a.region == b.region { NEAR } else { FAR };
        let late = self.rng.chance(self.late_per_mille);
        self.rng.span(base, base * 2) * if late { 20 } else { 1 }
    }
}

fn holds<K: Ord>(cuts: &BTreeMap<K, Time>, key: &K, now: Time) -> bool {
    cuts.get(key).is_some_and(|until| now < *until)
}
