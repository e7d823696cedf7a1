//! What a domain's scheduler lets each of its nodes serve, and what a node was let serve.

use std::{collections::BTreeMap, time::Duration};

use model::{Epoch, Incarnation, NodeId, Size, Time};
use peer::{BackendView, DomainView, GrantView, ViewContent, ViewVersion};
use route::{GrantAllocator, GrantConfig, NodeShares};

use super::scheduler::Scheduler;

/// A heartbeat as far as views answer it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Beat<'a> {
    pub(crate) node: NodeId,
    pub(crate) start: Incarnation,
    pub(crate) seq: u64,
    pub(crate) shares: &'a NodeShares,
}

/// What was last told to one node.
#[derive(Clone, Debug)]
struct Told {
    start: Incarnation,
    seq: u64,
    version: ViewVersion,
    content: ViewContent,
}

/// The views that a scheduler hands out.
#[derive(Clone, Debug)]
pub(crate) struct Views {
    newest: ViewVersion,
    term: Duration,
    backends: Vec<BackendView>,
    book: GrantAllocator,
    told: BTreeMap<NodeId, Told>,
}

impl Views {
    pub(crate) fn new(now: Time, epoch: Epoch, cfg: GrantConfig) -> Self {
        // The first epoch of a domain has no earlier grants.
        let takeover = epoch.table > 1 || epoch.local > 0;
        Self {
            newest: ViewVersion { epoch, change: 0 },
            term: cfg.term,
            backends: Vec::new(),
            book: GrantAllocator::new(cfg, now, takeover),
            told: BTreeMap::new(),
        }
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.newest.epoch
    }

    /// Takes the scheduler's backend servers, and returns whether they have changed.
    pub(crate) fn refresh(&mut self, scheduler: &Scheduler) -> bool {
        let backends = scheduler.backends();
        if backends == self.backends {
            return false;
        }
        self.book.set_workers(backends.iter().map(|b| b.worker));
        self.backends = backends;
        true
    }

    /// The longest deadline of the services' requests.
    pub(crate) fn set_request_max(&mut self, request_max: Duration) {
        self.book.set_max_request_time(request_max);
    }

    /// Takes a node's heartbeat.
    pub(crate) fn heard(&mut self, now: Time, beat: Beat<'_>) {
        self.book
            .report(now, beat.node, beat.start, beat.seq, beat.shares);
        let told = self.told.entry(beat.node).or_insert_with(|| Told {
            start: beat.start,
            seq: beat.seq,
            version: ViewVersion::default(),
            content: ViewContent::default(),
        });
        if beat.start != told.start || beat.seq > told.seq {
            told.start = beat.start;
            told.seq = beat.seq;
        }
    }

    /// The answer to a node's newest heartbeat, for a node that has the view `has`; `None` if the node
    /// was never heard.
    pub(crate) fn view(
        &mut self,
        now: Time,
        node: NodeId,
        has: ViewVersion,
        free: Size,
    ) -> Option<DomainView> {
        let told = self.told.get_mut(&node)?;
        let shares = self.book.grant(now, node, told.start);
        let grants = shares.into_iter().map(|share| GrantView {
            worker: share.worker,
            slots: share.slots,
            connections: share.connections,
        });
        let content = ViewContent {
            backends: self.backends.clone(),
            grants: grants.collect(),
        };
        if told.version.epoch != self.newest.epoch || content != told.content {
            self.newest.change += 1;
            told.version = self.newest;
            told.content = content;
        }
        let content = (has != told.version).then(|| told.content.clone());
        Some(DomainView {
            version: told.version,
            heartbeat_seq: told.seq,
            term: self.term,
            free,
            content,
        })
    }
}

/// The view that a node was given.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnView {
    version: ViewVersion,
    /// The heartbeat whose answer was applied last.
    applied: u64,
    free: Size,
    services: Vec<String>,
}

impl OwnView {
    pub(crate) const fn version(&self) -> ViewVersion {
        self.version
    }

    /// The heartbeat whose answer was applied last.
    pub(crate) const fn applied(&self) -> u64 {
        self.applied
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
