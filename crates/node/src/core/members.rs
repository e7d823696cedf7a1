//! The nodes as this one knows them: rows of the table, heartbeats within the failure domain, and
//! summaries between domains.
//!
//! Within a domain each node sends a heartbeat to each other one. Between domains each node sends a
//! summary of its own domain to one node of each other domain, taken in turn: the traffic of a node
//! grows with the size of its domain and the number of domains, not with the square of the fleet.

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
/// The most rows that are read at a time; the target has 80 nodes.
const ROWS_PER_READ: u32 = 1_000;

/// For how many rounds of summaries a changed list of services is told.
const TELL_ROUNDS: usize = 8;
/// Every which round of summaries has the list of services in any case.
const TELL_EVERY: usize = 8;

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
    pub(crate) leaving: bool,
}

/// Another failure domain.
#[derive(Clone, Debug)]
struct Domain {
    summary: DomainSummary,
    heard: Time,
    services: Vec<String>,
    nodes: BTreeMap<NodeId, NodeVersion>,
}

/// What a summary told of a node.
#[derive(Clone, Copy, Debug)]
struct NodeVersion {
    config_version: u64,
    /// When somebody of its domain last heard of it, on this node's clock.
    heard: Time,
}

/// What a node tells others of itself.
#[derive(Clone, Debug)]
pub(crate) struct SelfState {
    pub(crate) config_version: u64,
    pub(crate) scheduler: Option<Epoch>,
    pub(crate) view: ViewVersion,
    pub(crate) leaving: bool,
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
    rows: Poll,
    registered: bool,
    /// Whether this node's own row was read at least once.
    registered_once: bool,
    seq: u64,
    /// When the newest heartbeat was sent.
    heartbeat_sent: Time,
    next_heartbeat: Time,
    next_summary: Time,
    /// Whether the others were told that this node shuts down.
    leaving: bool,
    turn: usize,
    /// The list of services that was told last, and the round up to which it is told each time.
    told_services: Vec<String>,
    tell_until: usize,
}

impl Members {
    pub(crate) fn new(cfg: MembersConfig, me: Identity) -> Self {
        Self {
            cfg,
            me,
            known: BTreeMap::new(),
            domains: BTreeMap::new(),
            rows: Poll::default(),
            registered: false,
            registered_once: false,
            seq: 0,
            heartbeat_sent: Time::ZERO,
            next_heartbeat: Time::ZERO,
            next_summary: Time::ZERO,
            leaving: false,
            turn: 0,
            told_services: Vec::new(),
            tell_until: 0,
        }
    }

    /// All other nodes that are known.
    pub(crate) fn all(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.known.iter().map(|(node, member)| (*node, member))
    }

    /// The other nodes of this node's domain that were heard of late.
    pub(crate) fn live_in_domain(&self, now: Time) -> impl Iterator<Item = (NodeId, &Member)> {
        let live = move |member: &Member| self.is_live(now, member);
        self.in_domain().filter(move |(_, member)| live(member))
    }

    /// The other nodes of this node's domain.
    pub(crate) fn in_domain(&self) -> impl Iterator<Item = (NodeId, &Member)> {
        self.all()
            .filter(|(_, member)| member.row.domain == self.me.domain)
    }

    fn is_live(&self, now: Time, member: &Member) -> bool {
        member
            .last_heard
            .is_some_and(|heard| now.since(heard) < self.cfg.liveness_timeout)
    }

    /// The other nodes of this node's domain as the lease knows them; `None` before this node's own row
    /// was seen in the table. A node that registers first and reads then is known to one that starts at
    /// the same time, or knows it.
    pub(crate) fn holders(&self) -> Option<Vec<Holder>> {
        self.registered_once.then(|| {
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

    /// Where a node is reached.
    pub(crate) fn address(&self, node: NodeId) -> Option<&str> {
        self.known
            .get(&node)
            .map(|member| member.row.address.as_str())
    }

    /// The view that a node of this domain was last heard to have.
    pub(crate) fn view_of(&self, node: NodeId) -> Option<ViewVersion> {
        let member = self.known.get(&node)?;
        (member.row.domain == self.me.domain).then_some(member.view)
    }

    /// Counts a heartbeat to this node's own scheduler, which needs no message.
    pub(crate) fn own_beat(&mut self, now: Time) -> u64 {
        self.seq += 1;
        self.heartbeat_sent = now;
        self.seq
    }

    /// When the newest heartbeat was sent, if it is that one. An answer to an earlier one says nothing
    /// of what the scheduler counts on now.
    pub(crate) fn newest_heartbeat_sent(&self, seq: u64) -> Option<Time> {
        (seq == self.seq).then_some(self.heartbeat_sent)
    }

    /// The failure domains that have nodes, this node's own included.
    pub(crate) fn domains(&self) -> Vec<DomainId> {
        let mut domains: Vec<DomainId> = self.known.values().map(|m| m.row.domain).collect();
        domains.push(self.me.domain);
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// What other failure domains have free, where they were heard of late.
    pub(crate) fn free_elsewhere(&self, now: Time) -> impl Iterator<Item = (DomainId, Size)> {
        let late = self.cfg.liveness_timeout * 2;
        let heard = self
            .domains
            .iter()
            .filter(move |(_, d)| now.since(d.heard) < late);
        heard.map(|(id, domain)| (*id, domain.summary.free))
    }

    /// The version that each known node has in force, and how long ago that was heard.
    pub(crate) fn config_versions(
        &self,
        now: Time,
    ) -> BTreeMap<NodeId, (DomainId, u64, Option<Duration>)> {
        let mut versions = BTreeMap::new();
        for (node, member) in &self.known {
            let mut heard = member.last_heard;
            let mut version = member.config_version;
            let domain = self.domains.get(&member.row.domain);
            if let Some(told) = domain.and_then(|domain| domain.nodes.get(node)) {
                heard = heard.max(Some(told.heard));
                version = version.max(told.config_version);
            }
            let age = heard.map(|heard| now.since(heard));
            versions.insert(*node, (member.row.domain, version, age));
        }
        versions
    }

    /// The nodes of other domains to which a service's requests can be passed.
    pub(crate) fn remotes(&self, now: Time, service: &str) -> Vec<Remote> {
        let late = self.cfg.liveness_timeout * 2;
        let mut remotes = Vec::new();
        for (id, domain) in &self.domains {
            let serves = domain.services.iter().any(|name| name == service);
            if !serves || now.since(domain.heard) >= late {
                continue;
            }
            let is_same_region = domain.summary.region == self.me.region;
            for (node, told) in &domain.nodes {
                let member = self.known.get(node);
                let serves = member.is_some_and(|m| m.row.domain == *id && !m.leaving);
                if serves && now.since(told.heard) < late {
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

    /// Does all that is due.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>, state: &SelfState, services: &[String]) {
        self.register(cx);
        if self.rows.begin(cx.now, self.cfg.rows_interval) {
            let req = TableReq::Scan {
                prefix: MEMBER_PREFIX.to_owned(),
                after: String::new(),
                limit: ROWS_PER_READ,
            };
            cx.table(Purpose::Members, req);
        }
        if state.leaving && !self.leaving {
            self.leaving = true;
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

    /// Writes this node's row.
    fn register(&mut self, cx: &mut Cx<'_>) {
        if self.registered {
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
            .push(cx.now, Owner::Nobody, Vec::new(), vec![write]);
        self.registered = pushed.is_ok();
    }

    /// Takes the members' rows.
    pub(crate) fn rows_read(&mut self, now: Time, rows: Option<&[Row]>) {
        self.rows.end();
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
        // A row that was deleted while this node was cut off is written again.
        let mine = listed.remove(&self.me.node);
        self.registered = mine.is_some_and(|row| row.incarnation >= self.me.incarnation);
        if !self.registered_once {
            self.rows.soon();
        }
        self.registered_once |= self.registered;
        self.known.retain(|node, _| listed.contains_key(node));
        for (node, row) in listed {
            self.member_listed(now, node, row);
        }
    }

    fn member_listed(&mut self, now: Time, node: NodeId, row: MemberRow) {
        let fresh = Member {
            row,
            first_seen: now,
            last_heard: None,
            config_version: 0,
            scheduler: None,
            view: ViewVersion::default(),
            leaving: false,
        };
        let member = self.known.entry(node).or_insert_with(|| fresh.clone());
        if member.row != fresh.row {
            *member = fresh;
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
            is_leaving: state.leaving,
            shares: state.shares.clone(),
        };
        for (to, _) in self.in_domain() {
            send(cx, to, PeerMsg::Heartbeat(heartbeat.clone()));
        }
    }

    fn send_summaries(&mut self, cx: &mut Cx<'_>, state: &SelfState, services: &[String]) {
        self.turn += 1;
        // The list is long and seldom changes: it is told for some rounds after a change, and now and
        // then in case a node has missed it.
        if services != self.told_services {
            self.told_services = services.to_vec();
            self.tell_until = self.turn + TELL_ROUNDS;
        }
        let tell = self.turn <= self.tell_until || self.turn.is_multiple_of(TELL_EVERY);
        let summary = DomainSummary {
            domain: self.me.domain,
            region: self.me.region,
            config_version: state.config_version,
            nodes: self.own_nodes(cx.now, state),
            free: state.free,
            services: tell.then(|| services.to_vec()),
            is_leaving: state.leaving,
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
            if state.leaving {
                // All nodes that could pass a request on here are to know it.
                for to in nodes {
                    send(cx, to, PeerMsg::Summary(summary.clone()));
                }
                continue;
            }
            // Nodes of one domain begin at different places, so that each node of the other domain
            // is told by somebody in each round.
            let turn = self.turn + self.me.node.0 as usize;
            if let Some(to) = nodes.get(turn % nodes.len().max(1)) {
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
        let others = self.live_in_domain(now).filter(|(_, m)| !m.leaving);
        let others = others.map(|(node, member)| NodeSummary {
            node,
            config_version: member.config_version,
            age: member
                .last_heard
                .map_or(Duration::MAX, |heard| now.since(heard)),
        });
        let me = (!state.leaving).then_some(me);
        me.into_iter().chain(others).collect()
    }

    /// Takes a heartbeat. Returns whether its sender is known.
    pub(crate) fn heard(&mut self, now: Time, from: NodeId, heartbeat: &Heartbeat) -> bool {
        let Some(member) = self.known.get_mut(&from) else {
            self.rows.soon();
            return false;
        };
        member.last_heard = Some(now);
        member.config_version = heartbeat.config_version;
        member.scheduler = heartbeat.scheduler;
        member.view = heartbeat.view;
        member.leaving = heartbeat.is_leaving;
        true
    }

    /// Takes another domain's summary.
    pub(crate) fn summary(&mut self, now: Time, from: NodeId, summary: DomainSummary) {
        if summary.domain == self.me.domain {
            return;
        }
        if let Some(member) = self.known.get_mut(&from) {
            member.last_heard = Some(now);
            member.config_version = member.config_version.max(summary.config_version);
            member.leaving = summary.is_leaving;
        }
        let domain = self
            .domains
            .entry(summary.domain)
            .or_insert_with(|| Domain {
                summary: summary.clone(),
                heard: now,
                services: Vec::new(),
                nodes: BTreeMap::new(),
            });
        domain.heard = now;
        for told in &summary.nodes {
            let version = NodeVersion {
                config_version: told.config_version,
                heard: before(now, told.age),
            };
            domain.nodes.insert(told.node, version);
        }
        if let Some(services) = &summary.services {
            domain.services.clone_from(services);
        }
        domain.summary = summary;
    }

    /// The nodes of this domain whose rows nobody needs any more.
    pub(crate) fn forgotten(&self, now: Time) -> Vec<NodeId> {
        let silent = |member: &Member| {
            let since = member.last_heard.unwrap_or(member.first_seen);
            now.since(since) >= self.cfg.forget_after
        };
        let gone = self.in_domain().filter(|(_, member)| silent(member));
        gone.map(|(node, _)| node).collect()
    }
}

pub(crate) fn member_key(node: NodeId) -> String {
    format!("{MEMBER_PREFIX}{node}")
}

/// The point `age` before `now`.
fn before(now: Time, age: Duration) -> Time {
    Time::ZERO + now.since(Time::ZERO).saturating_sub(age)
}

fn send(cx: &mut Cx<'_>, to: NodeId, msg: PeerMsg) {
    cx.out.push(Action::Peer {
        to,
        needs_new_connection: false,
        msg,
    });
}
