//! The parts of the configuration that a domain's scheduler applies: teams, recalls and evacuation.

use std::collections::BTreeSet;

use config::Config;
use model::{DomainId, Team, Time, Unit, UnitId, WorkerId};

use super::Scheduler;

/// The reason that is shown for a recalled unit.
const RECALLED: &str = "it is recalled";

/// The parts of the configuration that a domain's scheduler applies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Policy {
    teams: Vec<Team>,
    recalled_batches: BTreeSet<String>,
    recalled_workers: BTreeSet<WorkerId>,
    is_evacuated: bool,
}

impl Policy {
    pub(crate) fn new(config: &Config, domain: DomainId) -> Self {
        let batches = config.recalled_batches().map(str::to_owned);
        Self {
            teams: config.teams().values().cloned().collect(),
            recalled_batches: batches.collect(),
            recalled_workers: config.recalled_workers().collect(),
            is_evacuated: config.is_evacuated(domain),
        }
    }

    /// Whether a batch or gang is recalled. Always false for services: a recall of a service's setting
    /// publishes an earlier setting instead.
    pub(super) fn is_recalled(&self, unit: &Unit) -> bool {
        !unit.kind.is_service() && self.recalled_batches.contains(&unit.name)
    }

    pub(super) fn is_worker_recalled(&self, worker: WorkerId) -> bool {
        self.recalled_workers.contains(&worker)
    }

    pub(super) const fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }
}

impl Scheduler {
    /// Applies a new version of the configuration.
    pub(crate) fn set_policy(&mut self, now: Time, policy: Policy) {
        if policy == self.policy {
            return;
        }
        for team in &policy.teams {
            self.placer.set_team(team);
        }
        self.policy = policy;
        let workers: Vec<WorkerId> = self.workers.keys().copied().collect();
        for worker in workers {
            self.open_or_close(now, worker);
        }
        if self.is_recovered() {
            self.apply_recalls(now);
        }
    }

    fn apply_recalls(&mut self, now: Time) {
        let ids: Vec<UnitId> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let recalled = self.policy.is_recalled(&job.row.unit);
            if recalled && !job.is_held() {
                self.hold(now, &id);
            } else if !recalled && job.is_held() {
                self.resume(now, &id);
            }
        }
    }

    /// Stops the tasks of a recalled unit and keeps them out of the queue until the recall is lifted.
    pub(super) fn hold(&mut self, now: Time, id: &UnitId) {
        let mut decisions = Vec::new();
        self.placer.cancel(now, id, &mut decisions);
        if let Some(job) = self.jobs.get_mut(id) {
            job.set_held(true);
            job.set_reason(RECALLED);
            self.dirty.insert(id.clone());
        }
        for decision in decisions {
            self.carry_out(now, decision);
        }
    }

    /// Queues a unit again after its recall was lifted, once all of its tasks have stopped.
    pub(super) fn resume(&mut self, now: Time, id: &UnitId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.has_running_task() || self.policy.is_recalled(&job.row.unit) {
            return;
        }
        job.set_held(false);
        let unit = job.row.unit.clone();
        self.placer.remove_unit(id);
        self.placer.add_unit(id, &unit);
        self.enqueue(now, id);
    }
}
