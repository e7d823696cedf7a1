//! The requests that nodes have open, and what is drawn by seed for them.

use std::{collections::BTreeMap, time::Duration};

use fakes::{FaultLevel, Rng};
use model::{NodeId, Time, WorkerId};
use route::ReqId;

use super::{callers::Errand, records::TryId};

/// The shortest time that a backend server takes.
const SERVICE_MIN: Duration = Duration::from_millis(5);
/// The longest time that a backend server takes as a rule.
const SERVICE_MAX: Duration = Duration::from_millis(40);
/// The longest time that a backend server takes now and then, past any deadline.
const SERVICE_LATE: Duration = Duration::from_secs(12);

/// A request that was sent to a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) req: ReqId,
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerId,
    pub(crate) origin: TryId,
    pub(crate) fresh: bool,
}

/// A request at one node.
#[derive(Clone, Debug)]
pub(crate) struct Hop {
    pub(crate) node: NodeId,
    pub(crate) start: u64,
    pub(crate) origin: TryId,
    /// The request at the node that passed it on.
    pub(crate) parent: Option<ReqId>,
    /// Counts how often the node sent it somewhere; answers of earlier attempts come too late.
    pub(crate) attempt: u32,
    /// Where it is, if its answer is still awaited.
    pub(crate) worker: Option<WorkerId>,
    pub(crate) awaited: bool,
    /// Whether it has reached the node.
    pub(crate) arrived: bool,
}

/// All requests on their way.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    pub(crate) rng: Rng,
    lost_per_mille: u32,
    late_per_mille: u32,
    pub(crate) cut_short_per_mille: u32,
    pub(crate) hops: BTreeMap<ReqId, Hop>,
    last_req: u64,
    errands: BTreeMap<TryId, Errand>,
    open: BTreeMap<WorkerId, (u32, u32)>,
    deaths: BTreeMap<WorkerId, u32>,
    pub(crate) silent: BTreeMap<WorkerId, Time>,
}

impl Traffic {
    pub(crate) fn new(seed: u64, level: FaultLevel) -> Self {
        let (lost_per_mille, late_per_mille, cut_short_per_mille) = match level {
            FaultLevel::None => (0, 0, 0),
            FaultLevel::Some => (2, 2, 2),
            FaultLevel::Many => (15, 10, 10),
        };
        Self {
            rng: Rng::new(seed ^ 0x7472_6166),
            lost_per_mille,
            late_per_mille,
            cut_short_per_mille,
            hops: BTreeMap::new(),
            last_req: 0,
            errands: BTreeMap::new(),
            open: BTreeMap::new(),
            deaths: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }

    pub(crate) fn remember(&mut self, id: TryId, errand: Errand) {
        self.errands.insert(id, errand);
    }

    pub(crate) fn take(&mut self, id: TryId) -> Option<Errand> {
        self.errands.remove(&id)
    }

    pub(crate) fn forget(&mut self, id: TryId) {
        self.errands.remove(&id);
    }

    pub(crate) fn is_open(&self) -> bool {
        !(self.hops.is_empty() && self.errands.is_empty())
    }

    pub(crate) fn loses_answer(&mut self) -> bool {
        self.rng.chance(self.lost_per_mille)
    }

    /// The most requests that nodes had open at a backend server at a time.
    pub(crate) fn peak_open(&self, worker: WorkerId) -> u32 {
        self.open.get(&worker).map_or(0, |(_, peak)| *peak)
    }

    pub(crate) fn worker_died(&mut self, worker: WorkerId) {
        *self.deaths.entry(worker).or_default() += 1;
    }

    pub(crate) fn silence(&mut self, worker: WorkerId, until: Time) {
        self.silent.insert(worker, until);
    }

    pub(crate) fn deaths(&self, worker: WorkerId) -> u32 {
        self.deaths.get(&worker).copied().unwrap_or_default()
    }

    pub(crate) fn add(&mut self, hop: Hop) -> ReqId {
        self.last_req += 1;
        let req = ReqId(self.last_req);
        self.hops.insert(req, hop);
        req
    }

    pub(crate) fn opened(&mut self, worker: WorkerId) {
        let (open, peak) = self.open.entry(worker).or_default();
        *open += 1;
        *peak = (*peak).max(*open);
    }

    pub(crate) fn closed(&mut self, worker: WorkerId) {
        let (open, _) = self.open.entry(worker).or_default();
        *open = open.saturating_sub(1);
    }

    pub(crate) fn service_time(&mut self) -> Duration {
        if self.rng.chance(self.late_per_mille) {
            self.rng.span(SERVICE_MAX, SERVICE_LATE)
        } else {
            self.rng.span(SERVICE_MIN, SERVICE_MAX)
        }
    }

    /// Marks a hop as sent somewhere, and returns the try that it stands for.
    pub(crate) fn sent(
        &mut self,
        req: ReqId,
        attempt: u32,
        worker: Option<WorkerId>,
    ) -> Option<TryId> {
        let hop = self.hops.get_mut(&req)?;
        hop.attempt = attempt;
        hop.awaited = true;
        hop.worker = worker;
        let origin = hop.origin;
        if let Some(worker) = worker {
            self.opened(worker);
        }
        Some(origin)
    }

    /// The backend server has done with a request, whether or not its node reads the answer.
    pub(crate) fn backend_done(&mut self, sent: &Sent) {
        let hop = self.hops.get_mut(&sent.req);
        let hop = hop.filter(|hop| hop.attempt == sent.attempt);
        if let Some(worker) = hop.and_then(|hop| hop.worker.take()) {
            self.closed(worker);
        }
    }

    /// Ends the wait for an attempt's answer. `None` if it comes too late.
    pub(crate) fn arrived(&mut self, req: ReqId, attempt: u32) -> Option<Hop> {
        let hop = self.hops.get_mut(&req)?;
        if hop.attempt != attempt || !hop.awaited {
            return None;
        }
        hop.awaited = false;
        let worker = hop.worker.take();
        let hop = hop.clone();
        if let Some(worker) = worker {
            self.closed(worker);
        }
        Some(hop)
    }
}

pub(crate) const fn hop(node: NodeId, start: u64, origin: TryId, parent: Option<ReqId>) -> Hop {
    Hop {
        node,
        start,
        origin,
        parent,
        attempt: 0,
        worker: None,
        awaited: false,
        arrived: false,
    }
}
