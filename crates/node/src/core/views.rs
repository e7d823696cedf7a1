//! What a domain's scheduler lets each of its nodes serve, and what a node was let serve.

use std::collections::BTreeMap;

use model::{Epoch, NodeId, Size, Time};
use peer::{BackendView, DomainView, GrantView, ViewContent, ViewVersion};

use super::scheduler::Scheduler;

/// How many requests a backend server takes at a time.
const SLOTS_PER_WORKER: u32 = 8;
/// How many connections a backend server takes at a time.
const CONNECTIONS_PER_WORKER: u32 = 64;

/// The views that a scheduler hands out.
#[derive(Clone, Debug)]
pub(crate) struct Views {
    version: ViewVersion,
    backends: Vec<BackendView>,
    grants: BTreeMap<NodeId, Vec<GrantView>>,
    /// The latest heartbeat of each node.
    heartbeats: BTreeMap<NodeId, u64>,
}

impl Views {
    pub(crate) fn new(epoch: Epoch) -> Self {
        Self {
            version: ViewVersion { epoch, change: 1 },
            backends: Vec::new(),
            grants: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
        }
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.version.epoch
    }

    /// Computes the views anew, and returns whether they have changed.
    pub(crate) fn refresh(&mut self, scheduler: &Scheduler, nodes: &[NodeId]) -> bool {
        let backends = scheduler.backends();
        let grants = equal_shares(&backends, nodes);
        let changed = backends != self.backends || grants != self.grants;
        if changed {
            self.version.change += 1;
            self.backends = backends;
            self.grants = grants;
        }
        changed
    }

    /// Notes a node's heartbeat, which later views answer.
    pub(crate) fn heard(&mut self, node: NodeId, seq: u64) {
        self.heartbeats.insert(node, seq);
    }

    /// The view for a node that has the version `has`; `None` if the node was never heard.
    pub(crate) fn view(
        &self,
        node: NodeId,
        has: ViewVersion,
        term: std::time::Duration,
        free: Size,
    ) -> Option<DomainView> {
        let answers = *self.heartbeats.get(&node)?;
        let content = (has != self.version).then(|| self.content(node));
        Some(DomainView {
            version: self.version,
            answers,
            term,
            free,
            content,
        })
    }

    fn content(&self, node: NodeId) -> ViewContent {
        ViewContent {
            backends: self.backends.clone(),
            grants: self.grants.get(&node).cloned().unwrap_or_default(),
        }
    }
}

/// Shares each backend server evenly among the nodes; what does not divide goes to none.
fn equal_shares(backends: &[BackendView], nodes: &[NodeId]) -> BTreeMap<NodeId, Vec<GrantView>> {
    let n = u32::try_from(nodes.len()).unwrap_or(u32::MAX).max(1);
    let mut workers: Vec<_> = backends.iter().map(|backend| backend.worker).collect();
    workers.sort_unstable();
    workers.dedup();
    let grants: Vec<GrantView> = workers
        .into_iter()
        .map(|worker| GrantView {
            worker,
            slots: SLOTS_PER_WORKER / n,
            connections: CONNECTIONS_PER_WORKER / n,
        })
        .collect();
    nodes.iter().map(|node| (*node, grants.clone())).collect()
}

/// The view that a node was given.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnView {
    version: ViewVersion,
    free: Size,
    services: Vec<String>,
}

impl OwnView {
    pub(crate) const fn version(&self) -> ViewVersion {
        self.version
    }

    /// What the workers of the domain have free.
    pub(crate) const fn free(&self) -> Size {
        self.free
    }

    /// The services with backend servers in the domain.
    pub(crate) fn services(&self) -> &[String] {
        &self.services
    }

    /// Takes a view, and says whether its grants hold. A view of an earlier scheduler, or one without
    /// the content that this node lacks, is of no use.
    pub(crate) fn take(&mut self, view: &DomainView) -> bool {
        let known = view.content.is_some() || view.version == self.version;
        if view.version < self.version || !known {
            return false;
        }
        self.version = view.version;
        self.free = view.free;
        if let Some(content) = &view.content {
            let mut services: Vec<String> =
                content.backends.iter().map(|b| b.service.clone()).collect();
            services.sort_unstable();
            services.dedup();
            self.services = services;
        }
        true
    }

    /// When the grants of a view lapse, which answers a heartbeat that was sent at `sent`.
    pub(crate) fn until(sent: Time, view: &DomainView) -> Time {
        sent + view.term
    }
}
