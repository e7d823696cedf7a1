//! The requests that are open at nodes, and the random faults and service times of requests.

use std::{collections::BTreeMap, time::Duration};

use fakes::{FaultLevel, Rng};
use model::{NodeId, Time, WorkerId};
use route::ReqId;

use super::{callers::PendingRequest, records::TryId};

/// The shortest time that a backend server takes for a request.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(5);
/// The longest time that a backend server takes for a request, unless the request is a slow one.
const MAX_SERVICE_TIME: Duration = Duration::from_millis(40);
/// The longest time that a backend server takes for a slow request, which exceeds every deadline.
const MAX_SLOW_SERVICE_TIME: Duration = Duration::from_secs(12);

/// An attempt of a node to run a request on a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendAttempt {
    /// The id of the request at the node.
    pub(crate) req: ReqId,
    /// The number of the node's attempt.
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerId,
    /// The caller's try.
    pub(crate) origin: TryId,
    /// Whether the node uses a new connection, which is never silent.
    pub(crate) needs_new_connection: bool,
}

/// A request at a node.
#[derive(Clone, Debug)]
pub(crate) struct Hop {
    pub(crate) node: NodeId,
    /// The start number of the node's process.
    pub(crate) start: u64,
    /// The caller's try.
    pub(crate) origin: TryId,
    /// The id of the request at the node that forwarded it.
    pub(crate) parent: Option<ReqId>,
    /// The number of the node's latest attempt. Answers to earlier attempts are ignored.
    pub(crate) attempt: u32,
    /// The worker of the backend server that runs the request now.
    pub(crate) worker: Option<WorkerId>,
    /// Whether the node waits for the answer to its latest attempt.
    pub(crate) is_awaiting_answer: bool,
    /// Whether the request has arrived at the node.
    pub(crate) has_arrived: bool,
}

/// All open requests.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    pub(crate) rng: Rng,
    /// The share of answers that are lost between node and caller.
    lost_per_mille: u32,
    /// The share of requests that take a backend server longer than `MAX_SERVICE_TIME`.
    slow_per_mille: u32,
    /// The share of answers of backend servers that break off.
    pub(crate) cut_short_per_mille: u32,
    pub(crate) hops: BTreeMap<ReqId, Hop>,
    last_req: u64,
    pending: BTreeMap<TryId, PendingRequest>,
    /// The number of open requests at each backend server, and the highest number so far.
    open_requests: BTreeMap<WorkerId, (u32, u32)>,
    /// The number of failures of each worker.
    deaths: BTreeMap<WorkerId, u32>,
    /// The time until which the open connections to a backend server are silent.
    pub(crate) silent_until: BTreeMap<WorkerId, Time>,
}

impl Traffic {
    pub(crate) fn new(seed: u64, level: FaultLevel) -> Self {
        let (lost_per_mille, slow_per_mille, cut_short_per_mille) = match level {
            FaultLevel::None => (0, 0, 0),
            FaultLevel::Some => (2, 2, 2),
            FaultLevel::Many => (15, 10, 10),
        };
        Self {
            rng: Rng::new(seed ^ 0x7472_6166),
            lost_per_mille,
            slow_per_mille,
            cut_short_per_mille,
            hops: BTreeMap::new(),
            last_req: 0,
            pending: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            deaths: BTreeMap::new(),
            silent_until: BTreeMap::new(),
        }
    }

    pub(crate) fn add_pending(&mut self, id: TryId, pending: PendingRequest) {
        self.pending.insert(id, pending);
    }

    pub(crate) fn take_pending(&mut self, id: TryId) -> Option<PendingRequest> {
        self.pending.remove(&id)
    }

    pub(crate) fn remove_pending(&mut self, id: TryId) {
        self.pending.remove(&id);
    }

    pub(crate) fn has_open_requests(&self) -> bool {
        !(self.hops.is_empty() && self.pending.is_empty())
    }

    pub(crate) fn draw_answer_loss(&mut self) -> bool {
        self.rng.chance(self.lost_per_mille)
    }

    /// Returns the highest number of requests that were open at a backend server at the same time.
    pub(crate) fn peak_open(&self, worker: WorkerId) -> u32 {
        self.open_requests.get(&worker).map_or(0, |(_, peak)| *peak)
    }

    pub(crate) fn record_worker_death(&mut self, worker: WorkerId) {
        *self.deaths.entry(worker).or_default() += 1;
    }

    pub(crate) fn set_silent(&mut self, worker: WorkerId, until: Time) {
        self.silent_until.insert(worker, until);
    }

    pub(crate) fn worker_deaths(&self, worker: WorkerId) -> u32 {
        self.deaths.get(&worker).copied().unwrap_or_default()
    }

    pub(crate) fn add(&mut self, hop: Hop) -> ReqId {
        self.last_req += 1;
        let req = ReqId(self.last_req);
        self.hops.insert(req, hop);
        req
    }

    pub(crate) fn request_opened(&mut self, worker: WorkerId) {
        let (open, peak) = self.open_requests.entry(worker).or_default();
        *open += 1;
        *peak = (*peak).max(*open);
    }

    pub(crate) fn request_closed(&mut self, worker: WorkerId) {
        let (open, _) = self.open_requests.entry(worker).or_default();
        *open = open.saturating_sub(1);
    }

    pub(crate) fn draw_service_time(&mut self) -> Duration {
        if self.rng.chance(self.slow_per_mille) {
            self.rng.span(MAX_SERVICE_TIME, MAX_SLOW_SERVICE_TIME)
        } else {
            self.rng.span(MIN_SERVICE_TIME, MAX_SERVICE_TIME)
        }
    }

    /// Starts an attempt to run the request on a worker, or to forward it. Returns the caller's try.
    pub(crate) fn start_attempt(
        &mut self,
        req: ReqId,
        attempt: u32,
        worker: Option<WorkerId>,
    ) -> Option<TryId> {
        let hop = self.hops.get_mut(&req)?;
        hop.attempt = attempt;
        hop.is_awaiting_answer = true;
        hop.worker = worker;
        let origin = hop.origin;
        if let Some(worker) = worker {
            self.request_opened(worker);
        }
        Some(origin)
    }

    /// Marks a request as no longer open at the backend server, whether or not its node reads the answer.
    pub(crate) fn backend_done(&mut self, sent: &BackendAttempt) {
        let hop = self.hops.get_mut(&sent.req);
        let hop = hop.filter(|hop| hop.attempt == sent.attempt);
        if let Some(worker) = hop.and_then(|hop| hop.worker.take()) {
            self.request_closed(worker);
        }
    }

    /// Ends the wait for an attempt's answer. Returns `None` if the attempt is not the latest or has ended before.
    pub(crate) fn end_attempt(&mut self, req: ReqId, attempt: u32) -> Option<Hop> {
        let hop = self.hops.get_mut(&req)?;
        if hop.attempt != attempt || !hop.is_awaiting_answer {
            return None;
        }
        hop.is_awaiting_answer = false;
        let worker = hop.worker.take();
        let hop = hop.clone();
        if let Some(worker) = worker {
            self.request_closed(worker);
        }
        Some(hop)
    }
}

/// Returns a request at a node that has not arrived there.
pub(crate) const fn new_hop(node: NodeId, start: u64, origin: TryId, parent: Option<ReqId>) -> Hop {
    Hop {
        node,
        start,
        origin,
        parent,
        attempt: 0,
        worker: None,
        is_awaiting_answer: false,
        has_arrived: false,
    }
}
