//! The router's state of one service.

use std::collections::{BTreeMap, VecDeque};

use model::{Time, WorkerId};

use crate::{
    Backend, Remote, ReqId, RouteConfig, ServiceCounters, ServiceDump, ServicePolicy,
    budget::RetryBudget,
    fair::Flow,
    health::{Health, Observation, as_us, median_us},
};

/// The policy, backend servers, queue and statistics of one service.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) flow: Flow,
    pub(crate) policy: ServicePolicy,
    pub(crate) backends: Vec<Backend>,
    pub(crate) remotes: Vec<Remote>,
    /// The requests that wait for a slot. Retries are put at the front.
    pub(crate) queue: VecDeque<ReqId>,
    pub(crate) health: BTreeMap<WorkerId, Health>,
    /// The moving average of a request's time at a backend server, in microseconds.
    pub(crate) run_us: u64,
    pub(crate) budget: RetryBudget,
    pub(crate) counters: ServiceCounters,
}

impl Service {
    pub(crate) fn new(flow: Flow, policy: ServicePolicy, run_us: u64) -> Self {
        Self {
            flow,
            policy,
            backends: Vec::new(),
            remotes: Vec::new(),
            queue: VecDeque::new(),
            health: BTreeMap::new(),
            run_us,
            budget: RetryBudget::default(),
            counters: ServiceCounters::default(),
        }
    }

    /// Cancels the probe that a claim's slot may have started. Nothing was sent to the backend server, so its
    /// health does not change otherwise.
    pub(crate) fn claim_slot_released(&mut self, worker: WorkerId) {
        if let Some(health) = self.health.get_mut(&worker) {
            health.cancel_probe();
        }
    }

    /// Returns the estimated time of a request at a backend server, in microseconds.
    ///
    /// The estimate is at most half of the deadline. Otherwise, all requests of a service that mostly
    /// misses its deadline would be refused.
    pub(crate) fn run_estimate_us(&self) -> u64 {
        self.run_us.min(as_us(self.policy.deadline / 2))
    }

    /// Returns the address of the service's replica on a backend server.
    pub(crate) fn endpoint(&self, worker: WorkerId) -> Option<String> {
        let mut backends = self.backends.iter();
        let backend = backends.find(|backend| backend.worker == worker)?;
        Some(backend.endpoint.clone())
    }

    /// Records the end of an attempt at a backend server, and ejects the server if it fails or is slow.
    ///
    /// A server is not ejected if more than half of the service's servers would then be ejected and no node
    /// of another domain serves the service.
    pub(crate) fn record_attempt(
        &mut self,
        now: Time,
        cfg: &RouteConfig,
        worker: WorkerId,
        observation: Observation,
    ) {
        let others = self.health.iter().filter(|(id, _)| **id != worker);
        let median = median_us(others.filter_map(|(_, health)| health.average_us()));
        let Some(health) = self.health.get_mut(&worker) else {
            return;
        };
        if !health.record(&cfg.health, observation, median) {
            return;
        }
        let ejected = self.health.iter();
        let ejected = ejected.filter(|(id, health)| **id != worker && health.is_ejected());
        let ejected_count = ejected.count() + 1;
        let has_alternative = ejected_count * 2 <= self.backends.len() || !self.remotes.is_empty();
        if let Some(health) = self.health.get_mut(&worker).filter(|_| has_alternative) {
            health.eject(now, &cfg.health);
        }
    }

    pub(crate) fn dump(&self) -> ServiceDump {
        let is_ejected = |backend: &&Backend| {
            let health = self.health.get(&backend.worker);
            health.is_some_and(Health::is_ejected)
        };
        let name = |backend: &Backend| backend.worker.to_string();
        let (ejected, in_use): (Vec<_>, Vec<_>) = self.backends.iter().partition(is_ejected);
        ServiceDump {
            queued: self.queue.len(),
            run_ms: self.run_us / 1_000,
            backends: in_use.into_iter().map(name).collect(),
            ejected: ejected.into_iter().map(name).collect(),
            counters: self.counters,
        }
    }
}
