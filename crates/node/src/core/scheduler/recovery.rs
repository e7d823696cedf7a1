//! Rebuilding after a takeover: the units' states from the table, then the workers' lists.

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

/// The most rows that are read at a time.
const ROWS_PER_READ: u32 = 200;

/// How far the rebuilding after a takeover has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Recovery {
    /// The rows are being read; those after this key are still to come.
    States { after: String, reading: bool },
    /// The workers are being read; tasks that may run somewhere wait.
    Workers,
    /// Done.
    Complete,
}

impl Recovery {
    pub(crate) const fn new() -> Self {
        Self::States {
            after: String::new(),
            reading: false,
        }
    }

    /// Whether all units are known that the domain had at the takeover.
    pub(crate) const fn has_states(&self) -> bool {
        !matches!(self, Self::States { .. })
    }
}

impl Scheduler {
    pub(super) fn read_states(&mut self, cx: &mut Cx<'_>) {
        let Recovery::States { after, reading } = &mut self.recovery else {
            return;
        };
        if *reading {
            return;
        }
        *reading = true;
        let req = TableReq::Scan {
            prefix: state_prefix(self.domain),
            after: after.clone(),
            limit: ROWS_PER_READ,
        };
        self.table(cx, Read::States, req);
    }

    pub(super) fn states_read(&mut self, now: Time, result: Result<TableResp, StoreError>) {
        let Recovery::States { after, reading } = &mut self.recovery else {
            return;
        };
        *reading = false;
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

    /// Takes a unit's state as the table has it. Returns whether it could be read.
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
                    sent: true,
                    seen: false,
                };
                let task = TaskId::new(&id, index);
                self.placer.adopt(now, &task, worker, state.unit.size);
                let worker = self.worker_or_unknown(worker);
                worker.expected.insert(task, expected);
            }
        }
        self.jobs.insert(id, Job::loaded(state, Some(row.version)));
        true
    }

    /// A worker that a row names may be missing from the VM list, which lags: it is kept, closed,
    /// until its leases have lapsed.
    fn worker_or_unknown(&mut self, id: WorkerId) -> &mut Worker {
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

    /// Queues what waited for the workers to be read.
    pub(super) fn finish_recovery(&mut self, now: Time) {
        let settled = |worker: &Worker| worker.known || now >= worker.leases_until;
        let ready = self.recovery == Recovery::Workers
            && self.vms_read
            && self.workers.values().all(settled);
        if !ready {
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
