//! Rolling updates: replaces the replicas of a service that were started with an earlier description,
//! one at a time.

use std::collections::BTreeMap;

use model::{TaskId, Time, UnitId, WorkerId};
use store::Command;

use super::Scheduler;
use crate::api::TaskPhase;

/// The services that are being updated, each with the replica that was taken out of service, its
/// worker and the time at which that happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct Updates {
    draining: BTreeMap<UnitId, (TaskId, WorkerId, Time)>,
    next_check: Time,
}

impl Scheduler {
    pub(super) fn update_services(&mut self, now: Time) {
        self.stop_draining_replicas(now);
        if now < self.updates.next_check || !self.is_recovered() {
            return;
        }
        self.updates.next_check = now + self.cfg.update_interval;
        let services = self.jobs.iter().filter(|(id, job)| {
            job.row.unit.kind.is_service()
                && !job.row.cancelled
                && !self.updates.draining.contains_key(*id)
        });
        let due: Vec<(UnitId, u32, WorkerId)> = services
            .filter_map(|(id, job)| {
                // At most one replica is replaced at a time, and only while all replicas run.
                let (index, worker) = job.stale_replica()?;
                Some((id.clone(), index, worker))
            })
            .collect();
        for (id, index, worker) in due {
            let task = TaskId::new(&id, index);
            if let Some(record) = self.workers.get_mut(&worker) {
                record.mark_stopping(&task);
            }
            log::info!("scheduler: {task} is replaced: its service has a new description");
            self.updates.draining.insert(id, (task, worker, now));
        }
    }

    /// Stops replicas that were taken out of service after a grace period for their open requests.
    fn stop_draining_replicas(&mut self, now: Time) {
        let grace = self.cfg.leave_grace;
        let draining = self.updates.draining.iter();
        let due = draining.filter(|(_, (_, _, since))| now.since(*since) >= grace);
        let due: Vec<UnitId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some((task, worker, _)) = self.updates.draining.remove(&id) else {
                continue;
            };
            let state = self.jobs.get(&id).map(|job| job.task(task.index));
            let running_here = TaskPhase::Running { worker };
            if state.is_some_and(|state| state.phase == running_here) {
                self.end_task(now, &task, worker, |task, attempt| Command::Stop {
                    task,
                    attempt,
                });
            }
        }
    }
}
