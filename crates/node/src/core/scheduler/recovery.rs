//! Recovery after a takeover: reads the states of the units from the table, then the task lists of
//! the workers.

use model::{RackId, Size, TaskId, Time, UnitId, WorkerId};
use place::WorkerSpec;
use store::{Row, StoreError, TableReq, TableResp, decode};

use super::{
    Read, Scheduler,
    jobs::Job,
    workers::{Expected, Worker},
};
use crate::{
    api::TaskPhase,
    core::{
        calls::Cx,
        rows::{StateRow, last_part, state_prefix},
    },
};

/// The maximum number of rows per read.
const ROWS_PER_READ: u32 = 200;

/// The progress of the recovery after a takeover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// The state rows are being read. Those after the key `after` are missing.
    States { after: String, is_reading: bool },
    /// The workers are being read. No task is started.
    Workers,
    /// The recovery is complete.
    Complete,
}

impl Recovery {
    pub(crate) const fn new() -> Self {
        Self::States {
            after: String::new(),
            is_reading: false,
        }
    }

    /// Whether all units that the domain had at the takeover are known.
    pub(crate) const fn has_states(&self) -> bool {
        !matches!(self, Self::States { .. })
    }
}

impl Scheduler {
    pub(super) fn read_states(&mut self, cx: &mut Cx<'_>) {
        let Recovery::States { after, is_reading } = &mut self.recovery else {
            return;
        };
        if *is_reading {
            return;
        }
        *is_reading = true;
        let req = TableReq::Scan {
            prefix: state_prefix(self.domain),
            after: after.clone(),
            limit: ROWS_PER_READ,
        };
        self.table(cx, Read::States, req);
    }

    pub(super) fn states_read(&mut self, now: Time, result: Result<TableResp, StoreError>) {
        let Recovery::States { after, is_reading } = &mut self.recovery else {
            return;
        };
        *is_reading = false;
        let Ok(TableResp::Rows(rows)) = result else {
            return;
        };
        let complete = rows.len() < ROWS_PER_READ as usize;
        if let Some(last) = rows.last() {
            last.key.clone_into(after);
        }
        if complete {
            self.recovery = Recovery::Workers;
        }
        for row in &rows {
            self.load(now, row);
        }
    }

    /// Loads the state of a unit from its row. Returns whether the row could be decoded.
    pub(super) fn load(&mut self, now: Time, row: &Row) -> bool {
        let id = UnitId::new(last_part(&row.key));
        let state: StateRow = match decode(&row.value) {
            Ok(state) => state,
            Err(e) => {
                log::error!("scheduler: row {} cannot be read: {e}", row.key);
                return false;
            }
        };
        self.placer.add_unit(&id, &state.unit);
        for (task, index) in state.tasks.iter().zip(0..) {
            if let TaskPhase::Running { worker } = task.phase {
                let expected = Expected {
                    attempt: task.attempt,
                    start_limit: now,
                    is_sent: true,
                    is_listed: false,
                };
                let task = TaskId::new(&id, index);
                self.placer.adopt(now, &task, worker, state.unit.size);
                let worker = self.worker_or_placeholder(worker);
                worker.expected.insert(task, expected);
            }
        }
        self.jobs.insert(id, Job::loaded(state, Some(row.version)));
        true
    }

    /// Returns a worker that a row names. If the VM list, which lags, does not contain it, adds it
    /// without capacity; it is kept until its leases have expired.
    fn worker_or_placeholder(&mut self, id: WorkerId) -> &mut Worker {
        let leases_until = self.old_leases_until;
        self.workers.entry(id).or_insert_with(|| {
            let spec = WorkerSpec {
                id,
                rack: RackId::default(),
                size: Size::ZERO,
            };
            Worker::new(spec, leases_until)
        })
    }

    /// Completes the recovery once every worker was read or can hold no lease, and queues all units.
    pub(super) fn finish_recovery(&mut self, now: Time) {
        let is_settled = |worker: &Worker| worker.is_known || now >= worker.leases_until;
        let is_ready = self.recovery == Recovery::Workers
            && self.has_vm_list
            && self.workers.values().all(is_settled);
        if !is_ready {
            return;
        }
        self.recovery = Recovery::Complete;
        let ids: Vec<UnitId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.enqueue(now, &id);
        }
        let (domain, epoch) = (self.domain, self.epoch);
        log::info!("scheduler: {domain} places work under {epoch}");
    }
}
