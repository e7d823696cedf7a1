//! Rolling updates: replicas of a service that were started with an earlier description are replaced
//! one at a time.

use std::collections::BTreeMap;

use model::{TaskId, Time, UnitId, WorkerId};
use store::Command;

use super::Scheduler;
use crate::api::TaskPhase;

/// The services that are being updated: the replica of each that was taken out of service, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Updates {
    leaving: BTreeMap<UnitId, (TaskId, WorkerId, Time)>,
    next_look: Time,
}

impl Scheduler {
    pub(super) fn update_services(&mut self, now: Time) {
        self.stop_leaving_replicas(now);
        if now < self.updates.next_look || !self.is_recovered() {
            return;
        }
        self.updates.next_look = now + self.cfg.update_interval;
        let services = self.jobs.iter().filter(|(id, job)| {
            job.row.unit.kind.is_service()
                && !job.row.cancelled
                && !self.updates.leaving.contains_key(*id)
        });
        let due: Vec<(UnitId, u32, WorkerId)> = services
            .filter_map(|(id, job)| {
                // One at a time, and only while all others serve.
                let (index, worker) = job.stale_replica()?;
                Some((id.clone(), index, worker))
            })
            .collect();
        for (id, index, worker) in due {
            let task = TaskId::new(&id, index);
            if let Some(book) = self.workers.get_mut(&worker) {
                book.stopping(&task);
            }
            log::info!("scheduler: {task} is replaced by its new setting");
            self.updates.leaving.insert(id, (task, worker, now));
        }
    }

    /// Stops replicas that were taken out of service once their requests had time to end.
    fn stop_leaving_replicas(&mut self, now: Time) {
        let grace = self.cfg.leave_grace;
        let leaving = self.updates.leaving.iter();
        let due = leaving.filter(|(_, (_, _, since))| now.since(*since) >= grace);
        let due: Vec<UnitId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some((task, worker, _)) = self.updates.leaving.remove(&id) else {
                continue;
            };
            let state = self.jobs.get(&id).map(|job| job.task(task.index));
            let here = TaskPhase::Running { worker };
            if state.is_some_and(|state| state.phase == here) {
                self.end_by(now, &task, worker, |task, attempt| Command::Stop {
                    task,
                    attempt,
                });
            }
        }
    }
}
