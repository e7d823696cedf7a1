//! Membership: the other nodes, as known from the rows of the table, from heartbeats within the failure
//! domain and from summaries between domains.
//!
//! Within a domain, each node sends a heartbeat to every other node. Between domains, each node sends a
//! summary of its own domain to one node of each other domain in turn. The traffic of a node thus grows
//! with the size of its domain and the number of domains, and the total traffic does not grow with the
//! square of the number of nodes.

use std::{collections::BTreeMap, time::Duration};

use lease::Holder;
use model::{DomainId, Epoch, Incarnation, NodeId, RegionId, Size, Time};
use peer::{DomainSummary, Heartbeat, NodeSummary, PeerMsg, ViewVersion};
use route::{NodeShares, Remote};
use serde::{Deserialize, Serialize};
use store::{Row, TableReq, Write, decode, encode};

use super::{
    calls::{Cx, Owner, Purpose},
    event::Action,
    poll::Poll,
    rows::last_part,
    settings::{Identity, MembersConfig},
};

pub(crate) const MEMBER_PREFIX: &str = "member/";
/// The maximum number of rows per read. The target is a cluster of 80 nodes.
const ROWS_PER_READ: u32 = 1_000;

/// The number of rounds of summaries that include the list of services after it has changed.
const ANNOUNCE_ROUNDS: usize = 8;
/// The list of services is included in every summary whose round is a multiple of this number.
const ANNOUNCE_INTERVAL_ROUNDS: usize = 8;

/// The row `member/<node>`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct MemberRow {
    pub(crate) domain: DomainId,
    pub(crate) region: RegionId,
    pub(crate) address: String,
    pub(crate) incarnation: Incarnation,
}

/// Another node.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) row: MemberRow,
    pub(crate) first_seen: Time,
    pub(crate) last_heard: Option<Time>,
    pub(crate) config_version: u64,
    pub(crate) scheduler: Option<Epoch>,
    pub(crate) view: ViewVersion,
    pub(crate) is_leaving: bool,
}

/// Another failure domain.
#[derive(Clone, Debug)]
struct Domain {
    summary: DomainSummary,
    last_heard: Time,
    services: Vec<String>,
    nodes: BTreeMap<NodeId, NodeVersion>,
}

/// The version of a node, from a summary of its domain.
#[derive(Clone, Copy, Debug)]
struct NodeVersion {
    config_version: u64,
    /// The time on this node's clock at which a node of its domain last heard from it.
    last_heard: Time,
}

/// The state of this node that is sent to other nodes.
#[derive(Clone, Debug)]
pub(crate) struct SelfState {
    pub(crate) config_version: u64,
    pub(crate) scheduler: Option<Epoch>,
    pub(crate) view: ViewVersion,
    pub(crate) is_leaving: bool,
    pub(crate) free: Size,
    pub(crate) shares: NodeShares,
}

/// The other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Members {
    cfg: MembersConfig,
    me: Identity,
    known: BTreeMap<NodeId, Member>,
    domains: BTreeMap<DomainId, Domain>,
    rows_poll: Poll,
    is_registered: bool,
    /// Whether this node's own row has been read from the table at least once.
    was_registered: bool,
    seq: u64,
    /// When the newest heartbeat was sent.
    heartbeat_sent: Time,
    next_heartbeat: Time,
    next_summary: Time,
    /// Whether the messages say that this node is shutting down.
    is_leaving: bool,
    round: usize,
    /// The list of services of the last change, and the last round that includes it because of that
    /// change.
    announced_services: Vec<String>,
    announce_until: usize,
}

impl Members {
    pub(crate) fn new(cfg: MembersConfig, me: Identity) -> Self {
        Self {
            cfg,
            me,
            known: BTreeMap::new(),
            domains: BTreeMap::new(),
            rows_poll: Poll::default(),
            is_registered: false,
            was_registered: false,
            seq: 0,
            heartbeat_sent: Time::ZERO,
            next_heartbeat: Time::ZERO,
            next_summary: Time::ZERO,
            is_leaving: false,
            round: 0,
            announced_services: Vec::new(),
            announce_until: 0,
        }
    }

    /// Returns all other known nodes.
    pub(crate) fn all(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.known.iter().map(|(node, member)| (*node, member))
    }

    /// Returns the other live nodes of this node's domain.
    pub(crate) fn live_in_domain(&self, now: Time) -> impl Iterator<Item = (NodeId, &Member)> {
        let is_live = move |member: &Member| self.is_live(now, member);
        self.in_domain().filter(move |(_, member)| is_live(member))
    }

    /// Returns the other nodes of this node's domain.
    pub(crate) fn in_domain(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.all()
            .filter(|(_, member)| member.row.domain == self.me.domain)
    }

    fn is_live(&self, now: Time, member: &Member) -> bool {
        member
            .last_heard
            .is_some_and(|heard| now.since(heard) < self.cfg.liveness_timeout)
    }

    /// Returns the other nodes of this node's domain as lease holders, or `None` until this node's own
    /// row has been read from the table. As each node writes its row before it reads those of the
    /// others, of two nodes that start at the same time at least one knows the other.
    pub(crate) fn holders(&self) -> Option<Vec<Holder>> {
        self.was_registered.then(|| {
            let members = self.in_domain();
            members
                .map(|(node, member)| Holder {
                    node,
                    incarnation: member.row.incarnation,
                    address: member.row.address.clone(),
                })
                .collect()
        })
    }

    /// The address of a node, or `None` if it is not known.
    pub(crate) fn address(&self, node: NodeId) -> Option<&str> {
        self.known
            .get(&node)
            .map(|member| member.row.address.as_str())
    }

    /// The version of the view that a node of this domain had at its last heartbeat.
    pub(crate) fn view_of(&self, node: NodeId) -> Option<ViewVersion> {
        let member = self.known.get(&node)?;
        (member.row.domain == self.me.domain).then_some(member.view)
    }

    /// Counts a heartbeat to this node's own scheduler, which needs no message, and returns its number.
    pub(crate) fn count_own_heartbeat(&mut self, now: Time) -> u64 {
        self.seq += 1;
        self.heartbeat_sent = now;
        self.seq
    }

    /// Returns the time at which heartbeat `seq` was sent if it is the newest one. Answers to earlier
    /// heartbeats must not be used, since they may differ from the scheduler's present state.
    pub(crate) fn newest_heartbeat_sent(&self, seq: u64) -> Option<Time> {
        (seq == self.seq).then_some(self.heartbeat_sent)
    }

    /// Returns the failure domains that have nodes, including this node's own.
    pub(crate) fn domains(&self) -> Vec<DomainId> {
        let mut domains: Vec<DomainId> = self.known.values().map(|m| m.row.domain).collect();
        domains.push(self.me.domain);
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Returns the free capacity of the other failure domains from which a summary came recently.
    pub(crate) fn free_elsewhere(&self, now: Time) -> impl Iterator<Item = (DomainId, Size)> {
        let max_age = self.cfg.liveness_timeout * 2;
        let heard = self
            .domains
            .iter()
            .filter(move |(_, d)| now.since(d.last_heard) < max_age);
        heard.map(|(id, domain)| (*id, domain.summary.free))
    }

    /// Returns the domain and the version in force of each known node, and the age of that information.
    pub(crate) fn config_versions(
        &self,
        now: Time,
    ) -> BTreeMap<NodeId, (DomainId, u64, Option<Duration>)> {
        let mut versions = BTreeMap::new();
        for (node, member) in &self.known {
            let mut heard = member.last_heard;
            let mut version = member.config_version;
            let domain = self.domains.get(&member.row.domain);
            if let Some(node_version) = domain.and_then(|domain| domain.nodes.get(node)) {
                heard = heard.max(Some(node_version.last_heard));
                version = version.max(node_version.config_version);
            }
            let age = heard.map(|heard| now.since(heard));
            versions.insert(*node, (member.row.domain, version, age));
        }
        versions
    }

    /// Returns the nodes of other domains to which the requests of a service can be forwarded.
    pub(crate) fn remotes(&self, now: Time, service: &str) -> Vec<Remote> {
        let max_age = self.cfg.liveness_timeout * 2;
        let mut remotes = Vec::new();
        for (id, domain) in &self.domains {
            let serves = domain.services.iter().any(|name| name == service);
            if !serves || now.since(domain.last_heard) >= max_age {
                continue;
            }
            let is_same_region = domain.summary.region == self.me.region;
            for (node, node_version) in &domain.nodes {
                let member = self.known.get(node);
                let serves = member.is_some_and(|m| m.row.domain == *id && !m.is_leaving);
                if serves && now.since(node_version.last_heard) < max_age {
                    let node = *node;
                    remotes.push(Remote {
                        node,
                        is_same_region,
                    });
                }
            }
        }
        remotes
    }

    /// Performs all work that is due.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>, state: &SelfState, services: &[String]) {
        self.register(cx);
        if self.rows_poll.begin(cx.now, self.cfg.rows_interval) {
            let req = TableReq::Scan {
                prefix: MEMBER_PREFIX.to_owned(),
                after: String::new(),
                limit: ROWS_PER_READ,
            };
            cx.table(Purpose::Members, req);
        }
        if state.is_leaving && !self.is_leaving {
            self.is_leaving = true;
            self.next_heartbeat = cx.now;
            self.next_summary = cx.now;
        }
        if cx.now >= self.next_heartbeat {
            self.next_heartbeat = cx.now + self.cfg.heartbeat_interval;
            self.send_heartbeats(cx, state);
        }
        if cx.now >= self.next_summary {
            self.next_summary = cx.now + self.cfg.summary_interval;
            self.send_summaries(cx, state, services);
        }
    }

    /// Writes this node's row unless it is registered.
    fn register(&mut self, cx: &mut Cx<'_>) {
        if self.is_registered {
            return;
        }
        let row = MemberRow {
            domain: self.me.domain,
            region: self.me.region,
            address: self.me.peer_address.clone(),
            incarnation: self.me.incarnation,
        };
        let write = Write {
            key: member_key(self.me.node),
            value: Some(encode(&row)),
        };
        let pushed = cx
            .commits
            .push(cx.now, Owner::Unowned, Vec::new(), vec![write]);
        self.is_registered = pushed.is_ok();
    }

    /// Handles a read of the members' rows. `None` stands for a failed read.
    pub(crate) fn rows_read(&mut self, now: Time, rows: Option<&[Row]>) {
        self.rows_poll.end();
        let Some(rows) = rows else {
            return;
        };
        let mut listed: BTreeMap<NodeId, MemberRow> = BTreeMap::new();
        for row in rows {
            let node = last_part(&row.key).parse();
            if let (Ok(node), Ok(member)) = (node, decode::<MemberRow>(&row.value)) {
                listed.insert(node, member);
            }
        }
        // If the row was deleted while this node was cut off, it is written again.
        let own_row = listed.remove(&self.me.node);
        self.is_registered = own_row.is_some_and(|row| row.incarnation >= self.me.incarnation);
        if !self.was_registered {
            self.rows_poll.make_due();
        }
        self.was_registered |= self.is_registered;
        self.known.retain(|node, _| listed.contains_key(node));
        for (node, row) in listed {
            self.member_listed(now, node, row);
        }
    }

    fn member_listed(&mut self, now: Time, node: NodeId, row: MemberRow) {
        let new = Member {
            row,
            first_seen: now,
            last_heard: None,
            config_version: 0,
            scheduler: None,
            view: ViewVersion::default(),
            is_leaving: false,
        };
        let member = self.known.entry(node).or_insert_with(|| new.clone());
        if member.row != new.row {
            *member = new;
        }
    }

    fn send_heartbeats(&mut self, cx: &mut Cx<'_>, state: &SelfState) {
        self.seq += 1;
        self.heartbeat_sent = cx.now;
        let heartbeat = Heartbeat {
            incarnation: self.me.incarnation,
            seq: self.seq,
            config_version: state.config_version,
            scheduler: state.scheduler,
            view: state.view,
            is_leaving: state.is_leaving,
            shares: state.shares.clone(),
        };
        for (to, _) in self.in_domain() {
            send(cx, to, PeerMsg::Heartbeat(heartbeat.clone()));
        }
    }

    fn send_summaries(&mut self, cx: &mut Cx<'_>, state: &SelfState, services: &[String]) {
        self.round += 1;
        // The list is long and seldom changes, so it is sent only for some rounds after a change and,
        // in case a node has missed these, at intervals.
        if services != self.announced_services {
            self.announced_services = services.to_vec();
            self.announce_until = self.round + ANNOUNCE_ROUNDS;
        }
        let announce = self.round <= self.announce_until
            || self.round.is_multiple_of(ANNOUNCE_INTERVAL_ROUNDS);
        let summary = DomainSummary {
            domain: self.me.domain,
            region: self.me.region,
            config_version: state.config_version,
            nodes: self.own_nodes(cx.now, state),
            free: state.free,
            services: announce.then(|| services.to_vec()),
            is_leaving: state.is_leaving,
        };
        for domain in self.domains() {
            if domain == self.me.domain {
                continue;
            }
            let nodes: Vec<NodeId> = self
                .all()
                .filter(|(_, m)| m.row.domain == domain)
                .map(|(node, _)| node)
                .collect();
            if state.is_leaving {
                // Every node that could forward a request to this one must learn that it leaves.
                for to in nodes {
                    send(cx, to, PeerMsg::Summary(summary.clone()));
                }
                continue;
            }
            // The nodes of a domain begin at different positions, so that in each round every node of
            // the other domain gets a summary from one of them.
            let position = self.round + self.me.node.0 as usize;
            if let Some(to) = nodes.get(position % nodes.len().max(1)) {
                send(cx, *to, PeerMsg::Summary(summary.clone()));
            }
        }
    }

    fn own_nodes(&self, now: Time, state: &SelfState) -> Vec<NodeSummary> {
        let me = NodeSummary {
            node: self.me.node,
            config_version: state.config_version,
            age: Duration::ZERO,
        };
        let others = self.live_in_domain(now).filter(|(_, m)| !m.is_leaving);
        let others = others.map(|(node, member)| NodeSummary {
            node,
            config_version: member.config_version,
            age: member
                .last_heard
                .map_or(Duration::MAX, |heard| now.since(heard)),
        });
        let me = (!state.is_leaving).then_some(me);
        me.into_iter().chain(others).collect()
    }

    /// Handles a heartbeat. Returns whether its sender is known.
    pub(crate) fn heartbeat_received(
        &mut self,
        now: Time,
        from: NodeId,
        heartbeat: &Heartbeat,
    ) -> bool {
        let Some(member) = self.known.get_mut(&from) else {
            self.rows_poll.make_due();
            return false;
        };
        member.last_heard = Some(now);
        member.config_version = heartbeat.config_version;
        member.scheduler = heartbeat.scheduler;
        member.view = heartbeat.view;
        member.is_leaving = heartbeat.is_leaving;
        true
    }

    /// Handles the summary of another domain.
    pub(crate) fn summary(&mut self, now: Time, from: NodeId, summary: DomainSummary) {
        if summary.domain == self.me.domain {
            return;
        }
        if let Some(member) = self.known.get_mut(&from) {
            member.last_heard = Some(now);
            member.config_version = member.config_version.max(summary.config_version);
            member.is_leaving = summary.is_leaving;
        }
        let domain = self
            .domains
            .entry(summary.domain)
            .or_insert_with(|| Domain {
                summary: summary.clone(),
                last_heard: now,
                services: Vec::new(),
                nodes: BTreeMap::new(),
            });
        domain.last_heard = now;
        for node_version in &summary.nodes {
            let version = NodeVersion {
                config_version: node_version.config_version,
                last_heard: time_before(now, node_version.age),
            };
            domain.nodes.insert(node_version.node, version);
        }
        if let Some(services) = &summary.services {
            domain.services.clone_from(services);
        }
        domain.summary = summary;
    }

    /// Returns the nodes of this domain that have been silent for long enough to delete their rows.
    pub(crate) fn expired(&self, now: Time) -> Vec<NodeId> {
        let is_silent = |member: &Member| {
            let since = member.last_heard.unwrap_or(member.first_seen);
            now.since(since) >= self.cfg.forget_after
        };
        let expired = self.in_domain().filter(|(_, member)| is_silent(member));
        expired.map(|(node, _)| node).collect()
    }
}

pub(crate) fn member_key(node: NodeId) -> String {
    format!("{MEMBER_PREFIX}{node}")
}

/// Returns the time `age` before `now`, or [`Time::ZERO`] if that is earlier.
fn time_before(now: Time, age: Duration) -> Time {
    Time::ZERO + now.since(Time::ZERO).saturating_sub(age)
}

fn send(cx: &mut Cx<'_>, to: NodeId, msg: PeerMsg) {
    cx.out.push(Action::Peer {
        to,
        needs_new_connection: false,
        msg,
    });
}
