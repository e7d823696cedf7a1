//! One service as a router knows it.

use std::collections::{BTreeMap, VecDeque};

use model::{Time, WorkerId};

use crate::{
    Backend, Remote, ReqId, RouteConfig, ServiceCounters, ServiceDump, ServicePolicy,
    budget::RetryBudget,
    fair::Flow,
    health::{Health, Sign, as_us, median_us},
};

/// One service as the router knows it.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) flow: Flow,
    pub(crate) policy: ServicePolicy,
    pub(crate) backends: Vec<Backend>,
    pub(crate) remotes: Vec<Remote>,
    pub(crate) queue: VecDeque<ReqId>,
    pub(crate) health: BTreeMap<WorkerId, Health>,
    /// The average time of a request, in microseconds.
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

    /// A slot that was held for a claim is free again; this says nothing of the server.
    pub(crate) fn released(&mut self, worker: WorkerId) {
        if let Some(health) = self.health.get_mut(&worker) {
            health.released();
        }
    }

    /// The time that a request is taken to run, in microseconds: never more than half of its deadline,
    /// so that a service with a deadline that it mostly misses is not refused altogether.
    pub(crate) fn run_estimate_us(&self) -> u64 {
        self.run_us.min(as_us(self.policy.deadline / 2))
    }

    pub(crate) fn endpoint(&self, worker: WorkerId) -> Option<String> {
        let mut backends = self.backends.iter();
        let backend = backends.find(|backend| backend.worker == worker)?;
        Some(backend.endpoint.clone())
    }

    /// Ejects a backend server that fails or is slow, unless more than half would be out then.
    pub(crate) fn learn(&mut self, now: Time, cfg: &RouteConfig, worker: WorkerId, sign: Sign) {
        let others = self.health.iter().filter(|(id, _)| **id != worker);
        let median = median_us(others.filter_map(|(_, health)| health.average_us()));
        let Some(health) = self.health.get_mut(&worker) else {
            return;
        };
        if !health.ended(&cfg.health, sign, median) {
            return;
        }
        let out = self.health.iter();
        let out = out.filter(|(id, health)| **id != worker && health.is_ejected());
        let out = out.count() + 1;
        let enough = out * 2 <= self.backends.len() || !self.remotes.is_empty();
        if let Some(health) = self.health.get_mut(&worker).filter(|_| enough) {
            health.eject(now, &cfg.health);
        }
    }

    pub(crate) fn dump(&self) -> ServiceDump {
        let ejected = |backend: &&Backend| {
            let health = self.health.get(&backend.worker);
            health.is_some_and(Health::is_ejected)
        };
        let name = |backend: &Backend| backend.worker.to_string();
        let (out, used): (Vec<_>, Vec<_>) = self.backends.iter().partition(ejected);
        ServiceDump {
            queued: self.queue.len(),
            run_ms: self.run_us / 1_000,
            backends: used.into_iter().map(name).collect(),
            ejected: out.into_iter().map(name).collect(),
            counters: self.counters,
        }
    }
}
