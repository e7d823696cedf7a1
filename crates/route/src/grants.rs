//! The shares of backend servers that a domain's scheduler grants to the domain's nodes.
//!
//! A share is good for a term. The node counts the term from when it sent the heartbeat that the
//! grant answers, the book from when it made the grant, which is later, plus a margin for clocks of
//! different speeds. A request that was dispatched in the last moment of a term may still run, so the
//! book counts a share as held for the longest time that a request can take on top.
//!
//! A smaller share replaces a larger one only once the node says that it has applied it. Until then,
//! or until the larger one has lapsed, the difference is not granted to another node. So the sum of
//! what the nodes use never passes what the server has, whichever messages are lost or late.
//!
//! # Contract with the node
//!
//! A node takes a grant only if it answers the node's newest heartbeat and has no lower epoch than
//! the last one taken. This makes a heartbeat's report final: what it does not name as held can't
//! come into force later.

use std::{collections::BTreeMap, time::Duration};

use model::{Incarnation, NodeId, Time, WorkerId};
use serde::{Deserialize, Serialize};

/// Settings of a [`GrantAllocator`].
#[derive(Clone, Debug)]
pub struct GrantConfig {
    /// How many requests a backend server takes at a time. 8 by default.
    pub slots: u32,
    /// How many connections a backend server takes at a time. 64 by default.
    pub connections: u32,
    /// How long a grant is good for. 6 s by default.
    pub term: Duration,
    /// Added to each term for clocks that run at different speeds. 600 ms by default.
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

/// A share of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The backend server.
    pub worker: WorkerId,
    /// The most requests at a time.
    pub slots: u32,
    /// The most connections at a time.
    pub connections: u32,
}

/// What a node says of its share of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShareReport {
    /// The backend server.
    pub worker: WorkerId,
    /// The slots that the node holds.
    pub slots: u32,
    /// The requests that it has in flight there.
    pub in_flight: u32,
    /// The slots that it could use now.
    pub wanted: u32,
}

/// What a node's heartbeat says of its shares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeShares {
    /// The newest heartbeat whose answer the node has applied; 0 for none.
    pub applied: u64,
    /// Every backend server of which the node holds, uses or wants a share.
    pub shares: Vec<ShareReport>,
}

/// A share that may still be in use.
#[derive(Clone, Copy, Debug)]
struct Held {
    answers: u64,
    slots: u32,
    until: Time,
}

/// One start of one node.
type Member = (NodeId, Incarnation);

#[derive(Clone, Debug, Default)]
struct MemberBook {
    seq: u64,
    /// The node counts as live up to this point.
    live_until: Time,
    wanted: BTreeMap<WorkerId, u32>,
    held: BTreeMap<WorkerId, Vec<Held>>,
    in_flight: BTreeMap<WorkerId, Held>,
}

impl MemberBook {
    /// The most slots that the node can be using.
    fn holds(&self, now: Time, worker: WorkerId) -> u32 {
        let granted = self.held.get(&worker).into_iter().flatten();
        granted
            .chain(self.in_flight.get(&worker))
            .filter(|held| now < held.until)
            .map(|held| held.slots)
            .max()
            .unwrap_or(0)
    }

    fn drop_lapsed(&mut self, now: Time) {
        for list in self.held.values_mut() {
            list.retain(|held| now < held.until);
        }
        self.held.retain(|_, list| !list.is_empty());
        self.in_flight.retain(|_, held| now < held.until);
    }
}

/// The shares that a domain's scheduler has granted and may grant.
///
/// # Example
///
/// ```
/// use model::{Incarnation, NodeId, Time, WorkerId};
/// use route::{GrantAllocator, GrantConfig, NodeShares};
///
/// let mut book = GrantAllocator::new(GrantConfig::default(), Time::ZERO, false);
/// book.set_workers([WorkerId(1)]);
/// let start = Incarnation(1);
/// book.report(Time::ZERO, NodeId(1), start, 1, &NodeShares::default());
/// let shares = book.grant(Time::ZERO, NodeId(1), start);
/// assert_eq!((shares[0].slots, shares[0].connections), (8, 64));
///
/// // All is granted: a second node gets a part once the first one has applied a smaller share.
/// book.report(Time::ZERO, NodeId(2), start, 1, &NodeShares::default());
/// assert!(book.grant(Time::ZERO, NodeId(2), start).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct GrantAllocator {
    cfg: GrantConfig,
    /// Shares that an earlier scheduler granted have lapsed by then.
    opens: Time,
    workers: Vec<WorkerId>,
    members: BTreeMap<Member, MemberBook>,
}

impl GrantAllocator {
    /// A book that knows no node. After a takeover it lets nodes keep what they report, and grants no
    /// more before all that an earlier scheduler granted has lapsed.
    #[must_use]
    pub fn new(cfg: GrantConfig, now: Time, takeover: bool) -> Self {
        let opens = if takeover {
            now + cfg.term + cfg.drift_margin + cfg.max_request_time
        } else {
            now
        };
        Self {
            cfg,
            opens,
            workers: Vec::new(),
            members: BTreeMap::new(),
        }
    }

    /// Replaces the list of backend servers of which shares are granted. What is held of others is
    /// still remembered until it lapses.
    pub fn set_workers(&mut self, workers: impl IntoIterator<Item = WorkerId>) {
        self.workers = workers.into_iter().collect();
        self.workers.sort_unstable();
        self.workers.dedup();
    }

    /// Sets the longest time that a dispatched request takes, from the services' deadlines. It only
    /// grows: requests of an earlier setting may still run.
    pub fn set_max_request_time(&mut self, max_request_time: Duration) {
        let growth = max_request_time.saturating_sub(self.cfg.max_request_time);
        self.opens += growth;
        self.cfg.max_request_time += growth;
    }

    /// Takes what a node's heartbeat number `seq` says of its shares. Heartbeats that come late, after
    /// a newer one, change nothing.
    pub fn report(
        &mut self,
        now: Time,
        node: NodeId,
        start: Incarnation,
        seq: u64,
        report: &NodeShares,
    ) {
        let until = now + self.hold_time();
        let in_flight_until = now + self.cfg.max_request_time + self.cfg.drift_margin;
        let known = self.members.contains_key(&(node, start));
        let member = self.members.entry((node, start)).or_default();
        if seq <= member.seq {
            return;
        }
        member.seq = seq;
        member.live_until = now + self.cfg.term;
        member.wanted.clear();
        for list in member.held.values_mut() {
            list.retain(|held| held.answers >= report.applied);
        }
        for share in &report.shares {
            member.wanted.insert(share.worker, share.wanted);
            let in_flight = Held {
                answers: seq,
                slots: share.in_flight,
                until: in_flight_until,
            };
            member.in_flight.insert(share.worker, in_flight);
            if !known && share.slots > 0 {
                let adopted = Held {
                    answers: report.applied,
                    slots: share.slots,
                    until,
                };
                member.held.insert(share.worker, vec![adopted]);
            }
        }
        member.drop_lapsed(now);
    }

    /// Grants a node its shares, in answer to its newest heartbeat. A server that is not named is not
    /// shared with it any more.
    pub fn grant(&mut self, now: Time, node: NodeId, start: Incarnation) -> Vec<Share> {
        self.drop_members(now);
        let until = now + self.hold_time();
        let mut shares = Vec::new();
        for worker in self.workers.clone() {
            let slots = self.share(now, (node, start), worker);
            let Some(member) = self.members.get_mut(&(node, start)) else {
                return Vec::new();
            };
            let held = Held {
                answers: member.seq,
                slots,
                until,
            };
            let list = member.held.entry(worker).or_default();
            // A second answer to one heartbeat must not hide the larger share of the first.
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

    /// The slots of a server that its nodes can be using at most, for checks and the dump.
    #[must_use]
    pub fn held(&self, now: Time, worker: WorkerId) -> u32 {
        let members = self.members.values();
        members.map(|member| member.holds(now, worker)).sum()
    }

    /// How long a grant's slots may be in use, counted from when it is made.
    fn hold_time(&self) -> Duration {
        self.cfg.term + self.cfg.drift_margin + self.cfg.max_request_time
    }

    fn share(&self, now: Time, me: Member, worker: WorkerId) -> u32 {
        let mine = self
            .members
            .get(&me)
            .map_or(0, |member| member.holds(now, worker));
        if now < self.opens {
            return mine;
        }
        let others = self.members.iter().filter(|(id, _)| **id != me);
        let taken: u32 = others.map(|(_, member)| member.holds(now, worker)).sum();
        let left = self.cfg.slots.saturating_sub(taken);
        self.target(now, me, worker).min(left)
    }

    /// The share that a node is to have in the end: demands are met as evenly as can be, and what is
    /// left over is spread over all live nodes for requests to come.
    fn target(&self, now: Time, me: Member, worker: WorkerId) -> u32 {
        let live = self
            .members
            .iter()
            .filter(|(_, member)| now < member.live_until);
        let mut wanted: Vec<(u32, Member)> = live
            .map(|(id, member)| (member.wanted.get(&worker).copied().unwrap_or(0), *id))
            .collect();
        wanted.sort_unstable();
        let mut left = self.cfg.slots;
        let mut target = 0;
        for (i, (demand, id)) in wanted.iter().enumerate() {
            let sharing = u32::try_from(wanted.len() - i).unwrap_or(u32::MAX);
            // The last of equal demands get the odd slots.
            let share = (*demand).min(left / sharing);
            left -= share;
            if *id == me {
                target = share;
            }
        }
        target + spare_part(left, &wanted, me, worker)
    }

    fn drop_members(&mut self, now: Time) {
        for member in self.members.values_mut() {
            member.drop_lapsed(now);
        }
        self.members.retain(|_, member| {
            now < member.live_until || !member.held.is_empty() || !member.in_flight.is_empty()
        });
    }
}

/// A node's part of the slots that nobody wants now. The odd ones go to different nodes at different
/// servers.
fn spare_part(left: u32, wanted: &[(u32, Member)], me: Member, worker: WorkerId) -> u32 {
    let mut ids: Vec<Member> = wanted.iter().map(|(_, id)| *id).collect();
    ids.sort_unstable();
    let Some(i) = ids.iter().position(|id| *id == me) else {
        return 0;
    };
    let n = u32::try_from(ids.len()).unwrap_or(u32::MAX);
    let turn = (u32::try_from(i).unwrap_or(0) + n - worker.0 % n) % n;
    left / n + u32::from(turn < left % n)
}
