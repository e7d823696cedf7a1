//! The shares of backend servers that the scheduler of a failure domain grants to the domain's nodes.
//!
//! A share is valid for a term. The node counts the term from when it sent the heartbeat that the grant
//! answers. The allocator counts it from when it made the grant, which is later, and adds a margin for
//! clocks that run at different speeds. A request that was dispatched at the end of a term may still be
//! running, so the allocator adds the longest time that a request can take before it counts a share as
//! free.
//!
//! A smaller share replaces a larger one only once the node reports that it has applied the smaller one.
//! Until then, or until the larger share has expired, the difference is not granted to another node.
//! Therefore the slots that all nodes use together never exceed the slots of the backend server, even if
//! messages are lost or delayed.
//!
//! # Contract with the node
//!
//! A node applies a grant only if the grant answers the node's newest heartbeat and the epoch of the
//! scheduler that sent it is not lower than that of the last applied grant. This makes the report of a
//! heartbeat final: a share that the report does not list as held cannot come into force later.

use std::{collections::BTreeMap, time::Duration};

use model::{Incarnation, NodeId, Time, WorkerId};
use serde::{Deserialize, Serialize};

/// Settings of a [`GrantAllocator`].
#[derive(Clone, Debug)]
pub struct GrantConfig {
    /// The number of requests that a backend server can run at a time. 8 by default.
    pub slots: u32,
    /// The number of connections that a backend server accepts at a time. 64 by default.
    pub connections: u32,
    /// How long a grant is valid. 6 s by default.
    pub term: Duration,
    /// The margin that is added to each term for clocks that run at different speeds. 600 ms by default.
    pub drift_margin: Duration,
    /// The longest time that a dispatched request takes. 10 s by default.
    pub max_request_time: Duration,
}

impl Default for GrantConfig {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            term: Duration::from_secs(6),
            drift_margin: Duration::from_millis(600),
            max_request_time: Duration::from_secs(10),
        }
    }
}

/// A node's share of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The backend server.
    pub worker: WorkerId,
    /// The maximum number of requests at a time.
    pub slots: u32,
    /// The maximum number of connections at a time.
    pub connections: u32,
}

/// A node's report on its share of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareReport {
    /// The backend server.
    pub worker: WorkerId,
    /// The slots that the node holds.
    pub slots: u32,
    /// The requests of the node that are in flight to the backend server.
    pub in_flight: u32,
    /// The slots that the node wants: its recent peak of slots in use plus its queued requests for the backend
    /// server.
    pub wanted: u32,
}

/// The part of a node's heartbeat that reports its shares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeShares {
    /// The number of the newest heartbeat whose answer the node has applied; 0 for none.
    pub applied: u64,
    /// The reports on all backend servers of which the node holds, uses or wants a share.
    pub shares: Vec<ShareReport>,
}

/// The slots of a share that may still be in use.
#[derive(Clone, Copy, Debug)]
struct HeldShare {
    /// The number of the heartbeat that the grant of the share answered, or that reported the use.
    heartbeat: u64,
    slots: u32,
    /// The slots are free from this time on.
    until: Time,
}

/// A node, identified together with its incarnation.
type NodeStart = (NodeId, Incarnation);

/// The allocator's state of one incarnation of a node.
#[derive(Clone, Debug, Default)]
struct NodeState {
    /// The number of the newest heartbeat received.
    seq: u64,
    /// The node counts as live until this time.
    live_until: Time,
    wanted: BTreeMap<WorkerId, u32>,
    held: BTreeMap<WorkerId, Vec<HeldShare>>,
    in_flight: BTreeMap<WorkerId, HeldShare>,
}

impl NodeState {
    /// Returns the maximum number of slots of a backend server that the node can be using.
    fn max_slots_in_use(&self, now: Time, worker: WorkerId) -> u32 {
        let granted = self.held.get(&worker).into_iter().flatten();
        granted
            .chain(self.in_flight.get(&worker))
            .filter(|held| now < held.until)
            .map(|held| held.slots)
            .max()
            .unwrap_or(0)
    }

    /// Removes the shares and reports that have expired.
    fn remove_expired(&mut self, now: Time) {
        for list in self.held.values_mut() {
            list.retain(|held| now < held.until);
        }
        self.held.retain(|_, list| !list.is_empty());
        self.in_flight.retain(|_, held| now < held.until);
    }
}

/// Divides the slots of a domain's backend servers among the domain's nodes.
///
/// # Example
///
/// ```
/// use model::{Incarnation, NodeId, Time, WorkerId};
/// use route::{GrantAllocator, GrantConfig, NodeShares};
///
/// let mut allocator = GrantAllocator::new(GrantConfig::default(), Time::ZERO, false);
/// allocator.set_workers([WorkerId(1)]);
/// let start = Incarnation(1);
/// allocator.report(Time::ZERO, NodeId(1), start, 1, &NodeShares::default());
/// let shares = allocator.grant(Time::ZERO, NodeId(1), start);
/// assert_eq!((shares[0].slots, shares[0].connections), (8, 64));
///
/// // All slots are granted. A second node gets some once the first node has applied a smaller share.
/// allocator.report(Time::ZERO, NodeId(2), start, 1, &NodeShares::default());
/// assert!(allocator.grant(Time::ZERO, NodeId(2), start).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct GrantAllocator {
    cfg: GrantConfig,
    /// From this time on, all shares that an earlier scheduler granted have expired.
    grants_from: Time,
    workers: Vec<WorkerId>,
    nodes: BTreeMap<NodeStart, NodeState>,
}

impl GrantAllocator {
    /// Creates an allocator without nodes and backend servers.
    ///
    /// After a takeover, nodes keep the shares that they report, and no larger shares are granted until all
    /// shares that an earlier scheduler granted have expired.
    #[must_use]
    pub fn new(cfg: GrantConfig, now: Time, is_takeover: bool) -> Self {
        let grants_from = if is_takeover {
            now + cfg.term + cfg.drift_margin + cfg.max_request_time
        } else {
            now
        };
        Self {
            cfg,
            grants_from,
            workers: Vec::new(),
            nodes: BTreeMap::new(),
        }
    }

    /// Replaces the list of backend servers of which shares are granted. Shares of other servers are
    /// tracked until they expire.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = WorkerId>) {
        self.workers = workers.into_iter().collect();
        self.workers.sort_unstable();
        self.workers.dedup();
    }

    /// Raises the longest time that a dispatched request takes, which follows from the services' deadlines.
    /// A lower value is ignored, because requests with an earlier, longer deadline may still run.
    pub fn set_max_request_time(&mut self, max_request_time: Duration) {
        let growth = max_request_time.saturating_sub(self.cfg.max_request_time);
        self.grants_from += growth;
        self.cfg.max_request_time += growth;
    }

    /// Records the report of a node's heartbeat number `seq`. A heartbeat that arrives after a newer one is
    /// ignored.
    pub fn report(
        &mut self,
        now: Time,
        node: NodeId,
        start: Incarnation,
        seq: u64,
        report: &NodeShares,
    ) {
        let until = now + self.max_hold_time();
        let in_flight_until = now + self.cfg.max_request_time + self.cfg.drift_margin;
        let is_known = self.nodes.contains_key(&(node, start));
        let state = self.nodes.entry((node, start)).or_default();
        if seq <= state.seq {
            return;
        }
        state.seq = seq;
        state.live_until = now + self.cfg.term;
        state.wanted.clear();
        for list in state.held.values_mut() {
            list.retain(|held| held.heartbeat >= report.applied);
        }
        for share in &report.shares {
            state.wanted.insert(share.worker, share.wanted);
            let in_flight = HeldShare {
                heartbeat: seq,
                slots: share.in_flight,
                until: in_flight_until,
            };
            state.in_flight.insert(share.worker, in_flight);
            if !is_known && share.slots > 0 {
                let adopted = HeldShare {
                    heartbeat: report.applied,
                    slots: share.slots,
                    until,
                };
                state.held.insert(share.worker, vec![adopted]);
            }
        }
        state.remove_expired(now);
    }

    /// Returns the shares that a node is granted in answer to its newest heartbeat. The node no longer has a
    /// share of backend servers that are not listed.
    pub fn grant(&mut self, now: Time, node: NodeId, start: Incarnation) -> Vec<Share> {
        self.remove_expired_nodes(now);
        let until = now + self.max_hold_time();
        let mut shares = Vec::new();
        for worker in self.workers.clone() {
            let slots = self.grantable_slots(now, (node, start), worker);
            let Some(state) = self.nodes.get_mut(&(node, start)) else {
                return Vec::new();
            };
            let held = HeldShare {
                heartbeat: state.seq,
                slots,
                until,
            };
            let list = state.held.entry(worker).or_default();
            // The list keeps earlier shares: a second answer to one heartbeat must not replace the larger
            // share of the first answer.
            if slots > 0 {
                list.push(held);
                let connections = slots * (self.cfg.connections / self.cfg.slots.max(1));
                shares.push(Share {
                    worker,
                    slots,
                    connections,
                });
            }
        }
        shares
    }

    /// Returns the maximum number of slots of a backend server that all nodes can be using, for checks and
    /// the dump.
    #[must_use]
    pub fn held(&self, now: Time, worker: WorkerId) -> u32 {
        let nodes = self.nodes.values();
        nodes.map(|state| state.max_slots_in_use(now, worker)).sum()
    }

    /// Returns how long the slots of a grant may be in use, counted from when the grant is made.
    fn max_hold_time(&self) -> Duration {
        self.cfg.term + self.cfg.drift_margin + self.cfg.max_request_time
    }

    /// Returns the slots of a backend server that can be granted to a node now.
    fn grantable_slots(&self, now: Time, node: NodeStart, worker: WorkerId) -> u32 {
        let own = self
            .nodes
            .get(&node)
            .map_or(0, |state| state.max_slots_in_use(now, worker));
        if now < self.grants_from {
            return own;
        }
        let others = self.nodes.iter().filter(|(id, _)| **id != node);
        let held_by_others: u32 = others
            .map(|(_, state)| state.max_slots_in_use(now, worker))
            .sum();
        let remaining = self.cfg.slots.saturating_sub(held_by_others);
        self.target_share(now, node, worker).min(remaining)
    }

    /// Returns the share that a node should have in the long run: max-min fair by demand, with the
    /// remaining slots spread over all live nodes for future requests.
    fn target_share(&self, now: Time, node: NodeStart, worker: WorkerId) -> u32 {
        let live = self
            .nodes
            .iter()
            .filter(|(_, state)| now < state.live_until);
        let mut wanted: Vec<(u32, NodeStart)> = live
            .map(|(id, state)| (state.wanted.get(&worker).copied().unwrap_or(0), *id))
            .collect();
        wanted.sort_unstable();
        let mut remaining = self.cfg.slots;
        let mut target = 0;
        for (i, (demand, id)) in wanted.iter().enumerate() {
            let node_count = u32::try_from(wanted.len() - i).unwrap_or(u32::MAX);
            // If the slots cannot be divided evenly, the last nodes get one more.
            let share = (*demand).min(remaining / node_count);
            remaining -= share;
            if *id == node {
                target = share;
            }
        }
        target + spare_share(remaining, &wanted, node, worker)
    }

    /// Removes all expired shares, and the nodes that are not live and hold none.
    fn remove_expired_nodes(&mut self, now: Time) {
        for state in self.nodes.values_mut() {
            state.remove_expired(now);
        }
        self.nodes.retain(|_, state| {
            now < state.live_until || !state.held.is_empty() || !state.in_flight.is_empty()
        });
    }
}

/// Returns a node's part of the slots that no node wants now. If they cannot be divided evenly, the nodes
/// that get one more differ between backend servers.
fn spare_share(
    remaining: u32,
    wanted: &[(u32, NodeStart)],
    node: NodeStart,
    worker: WorkerId,
) -> u32 {
    let mut ids: Vec<NodeStart> = wanted.iter().map(|(_, id)| *id).collect();
    ids.sort_unstable();
    let Some(i) = ids.iter().position(|id| *id == node) else {
        return 0;
    };
    let n = u32::try_from(ids.len()).unwrap_or(u32::MAX);
    let rotation = (u32::try_from(i).unwrap_or(0) + n - worker.0 % n) % n;
    remaining / n + u32::from(rotation < remaining % n)
}
