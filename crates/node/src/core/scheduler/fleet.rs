//! The set of the domain's workers: reads of the VM list, calls to workers, and workers that leave, are
//! recalled or stop responding.

use std::collections::BTreeSet;

use model::{TaskId, Time, UnitId, WorkerId};
use place::{TaskEnd, WorkerSpec};
use store::{StoreError, VmInfo, VmRole, VmState};

use super::{Scheduler, workers::Worker};
use crate::core::{calls::Cx, event::Action};

impl Scheduler {
    pub(super) fn read_vms(&mut self, cx: &mut Cx<'_>) {
        if self.vms_poll.begin(cx.now, self.cfg.vms_interval) {
            cx.out.push(Action::Vms);
        }
    }

    /// Handles the VM list.
    pub(crate) fn vms_listed(&mut self, now: Time, result: Result<Vec<VmInfo>, StoreError>) {
        self.vms_poll.end();
        let Ok(vms) = result else {
            return;
        };
        self.has_vm_list = true;
        let mut listed = BTreeSet::new();
        for vm in &vms {
            if let VmRole::Worker { worker, rack, size } = vm.role {
                let spec = WorkerSpec {
                    id: worker,
                    rack,
                    size,
                };
                listed.insert(worker);
                self.worker_listed(now, spec, vm.state == VmState::Leaving);
            }
        }
        let known: Vec<WorkerId> = self.workers.keys().copied().collect();
        for id in known.into_iter().filter(|id| !listed.contains(id)) {
            self.worker_unlisted(now, id);
        }
        self.retry_unplaceable(now);
    }

    fn worker_listed(&mut self, now: Time, spec: WorkerSpec, leaving: bool) {
        let leases_until = self.old_leases_until;
        let worker = self
            .workers
            .entry(spec.id)
            .or_insert_with(|| Worker::new(spec, leases_until));
        worker.spec = spec;
        worker.is_leaving = leaving;
        self.placer.add_worker(spec);
        self.open_or_close(now, spec.id);
    }

    /// Marks a worker that the VM list does not contain as leaving, and removes it once no task can run
    /// there.
    fn worker_unlisted(&mut self, now: Time, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.is_leaving = true;
        if worker.expected.is_empty() && now >= worker.leases_until {
            self.workers.remove(&id);
        }
        self.placer.close_worker(id);
    }

    /// Opens or closes a worker to new work, by its state in the VM list and the policy.
    pub(super) fn open_or_close(&mut self, now: Time, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let recalled = self.policy.is_worker_recalled(id);
        if worker.is_leaving || recalled || self.policy.is_evacuated() {
            worker.close(now, recalled);
            self.placer.close_worker(id);
        } else {
            worker.reopen();
            if worker.is_known {
                self.placer.open_worker(now, id);
            }
        }
    }

    /// Stops the tasks on closed workers: at once on a recalled worker, and otherwise after a grace
    /// period for the open requests of its backend servers.
    pub(super) fn drain_closed_workers(&mut self, now: Time) {
        let grace = self.cfg.leave_grace;
        let due: Vec<WorkerId> = self
            .workers
            .values_mut()
            .filter_map(|worker| worker.take_due_drain(now, grace).then_some(worker.spec.id))
            .collect();
        for id in due {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let recalled = self.policy.is_worker_recalled(id);
            let tasks: Vec<TaskId> = worker.expected.keys().cloned().collect();
            for task in tasks {
                self.evict(now, &task, id, recalled);
            }
        }
    }

    /// Queues units again that could not be placed, as the VM list may have changed.
    fn retry_unplaceable(&mut self, now: Time) {
        if !self.is_recovered() {
            return;
        }
        let blocked = self.jobs.iter().filter(|(_, job)| job.is_blocked());
        let blocked: Vec<UnitId> = blocked.map(|(id, _)| id.clone()).collect();
        for id in blocked {
            self.enqueue(now, &id);
        }
    }

    pub(super) fn call_workers(&mut self, cx: &mut Cx<'_>, valid_until: Time) {
        if cx.now < self.first_read_at {
            return;
        }
        for worker in self.workers.values_mut() {
            if let Some(call) = worker.next_call(cx.now, self.epoch, valid_until, &self.cfg) {
                cx.calls.worker(self.generation, cx.now, call, cx.out);
            }
        }
    }

    /// Marks the tasks of workers as lost whose leases have all expired without an answer.
    pub(super) fn drop_expired_tasks(&mut self, now: Time) {
        let expired: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| now >= worker.leases_until && worker.has_sent_task())
            .map(|worker| worker.spec.id)
            .collect();
        for id in expired {
            self.placer.close_worker(id);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            worker.is_known = false;
            let sent = worker
                .expected
                .iter()
                .filter(|(_, expected)| expected.is_sent);
            let tasks: Vec<TaskId> = sent.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                self.mark_lost(now, id, &task);
            }
        }
    }

    /// Handles the failure of a call: starts that were not sent are placed elsewhere, and the worker
    /// gets no new work until it answers again.
    pub(super) fn worker_call_failed(&mut self, now: Time, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.record_failure(now, self.cfg.worker_retry_delay);
        let unsent = worker.take_unsent();
        self.placer.close_worker(id);
        for task in unsent {
            self.task_ended(now, &task, TaskEnd::NotStarted);
        }
    }
}
