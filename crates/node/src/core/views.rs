//! Views: the backend servers and grants that a domain's scheduler gives to each of its nodes, and the
//! view that a node has.

use std::{collections::BTreeMap, time::Duration};

use model::{Epoch, Incarnation, NodeId, Size, Time};
use peer::{BackendView, DomainView, GrantView, ViewContent, ViewVersion};
use route::{GrantAllocator, GrantConfig, NodeShares};

use super::scheduler::Scheduler;

/// The parts of a heartbeat that views depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeartbeatReport<'a> {
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    pub(crate) seq: u64,
    pub(crate) shares: &'a NodeShares,
}

/// The newest view of one node, and the heartbeat that it answers.
#[derive(Clone, Debug)]
struct NodeView {
    incarnation: Incarnation,
    seq: u64,
    version: ViewVersion,
    content: ViewContent,
}

/// The views that a scheduler gives to the nodes of its domain.
#[derive(Clone, Debug)]
pub(crate) struct Views {
    newest: ViewVersion,
    term: Duration,
    backends: Vec<BackendView>,
    allocator: GrantAllocator,
    nodes: BTreeMap<NodeId, NodeView>,
}

impl Views {
    pub(crate) fn new(now: Time, epoch: Epoch, cfg: GrantConfig) -> Self {
        // The first epoch of a domain has no earlier grants.
        let is_takeover = epoch.table > 1 || epoch.local > 0;
        Self {
            newest: ViewVersion { epoch, change: 0 },
            term: cfg.term,
            backends: Vec::new(),
            allocator: GrantAllocator::new(cfg, now, is_takeover),
            nodes: BTreeMap::new(),
        }
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.newest.epoch
    }

    /// Updates the backend servers from the scheduler. Returns whether they have changed.
    pub(crate) fn refresh(&mut self, scheduler: &Scheduler) -> bool {
        let backends = scheduler.backends();
        if backends == self.backends {
            return false;
        }
        self.allocator
            .set_workers(backends.iter().map(|b| b.worker));
        self.backends = backends;
        true
    }

    /// Sets the longest deadline of the services' requests.
    pub(crate) fn set_max_request_time(&mut self, max_request_time: Duration) {
        self.allocator.set_max_request_time(max_request_time);
    }

    /// Handles a node's heartbeat.
    pub(crate) fn heartbeat_received(&mut self, now: Time, report: HeartbeatReport<'_>) {
        self.allocator.report(
            now,
            report.node,
            report.incarnation,
            report.seq,
            report.shares,
        );
        let node_view = self.nodes.entry(report.node).or_insert_with(|| NodeView {
            incarnation: report.incarnation,
            seq: report.seq,
            version: ViewVersion::default(),
            content: ViewContent::default(),
        });
        if report.incarnation != node_view.incarnation || report.seq > node_view.seq {
            node_view.incarnation = report.incarnation;
            node_view.seq = report.seq;
        }
    }

    /// Returns the answer to the newest heartbeat of a node that has the view `known_version`, or
    /// `None` if no heartbeat has arrived from the node. The content is left out if the node has it.
    pub(crate) fn view(
        &mut self,
        now: Time,
        node: NodeId,
        known_version: ViewVersion,
        free: Size,
    ) -> Option<DomainView> {
        let node_view = self.nodes.get_mut(&node)?;
        let shares = self.allocator.grant(now, node, node_view.incarnation);
        let grants = shares.into_iter().map(|share| GrantView {
            worker: share.worker,
            slots: share.slots,
            connections: share.connections,
        });
        let content = ViewContent {
            backends: self.backends.clone(),
            grants: grants.collect(),
        };
        if node_view.version.epoch != self.newest.epoch || content != node_view.content {
            self.newest.change += 1;
            node_view.version = self.newest;
            node_view.content = content;
        }
        let content = (known_version != node_view.version).then(|| node_view.content.clone());
        Some(DomainView {
            version: node_view.version,
            heartbeat_seq: node_view.seq,
            term: self.term,
            free,
            content,
        })
    }
}

/// The view that this node has.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnView {
    version: ViewVersion,
    /// The number of the heartbeat whose answer was applied last.
    applied: u64,
    free: Size,
    services: Vec<String>,
}

impl OwnView {
    pub(crate) const fn version(&self) -> ViewVersion {
        self.version
    }

    /// The number of the heartbeat whose answer was applied last.
    pub(crate) const fn applied(&self) -> u64 {
        self.applied
    }

    /// The free capacity of the domain's workers.
    pub(crate) const fn free(&self) -> Size {
        self.free
    }

    /// The services with backend servers in the domain.
    pub(crate) fn services(&self) -> &[String] {
        &self.services
    }

    /// Applies a view and returns whether it is valid. An older view is not, and neither is one without
    /// content if this node has another version.
    pub(crate) fn apply(&mut self, view: &DomainView) -> bool {
        let is_known = view.content.is_some() || view.version == self.version;
        if view.version < self.version || !is_known {
            return false;
        }
        self.version = view.version;
        self.applied = view.heartbeat_seq;
        self.free = view.free;
        if let Some(content) = &view.content {
            let services = content.backends.iter();
            self.services = services.map(|b| b.service.clone()).collect();
            self.services.sort_unstable();
            self.services.dedup();
        }
        true
    }
}
