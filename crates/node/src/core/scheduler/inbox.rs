//! The inbox of a domain: notices of submitted, changed and cancelled units.

use model::{Time, UnitId};
use store::{Check, StoreError, TableReq, TableResp, Write, decode};

use super::{Change, Notice, Read, Scheduler, jobs::Job};
use crate::{
    api::TaskPhase,
    core::{
        calls::Cx,
        rows::{UnitRow, inbox_prefix, last_part, state_key, unit_key},
    },
};

/// The maximum number of rows per read.
const ROWS_PER_READ: u32 = 200;

impl Scheduler {
    /// Makes the next read of the inbox due at the next tick.
    pub(crate) fn read_inbox_soon(&mut self) {
        self.inbox_poll.make_due();
    }

    pub(super) fn read_inbox(&mut self, cx: &mut Cx<'_>) {
        let interval = self.cfg.inbox_interval;
        if self.recovery.has_states() && self.inbox_poll.begin(cx.now, interval) {
            let req = TableReq::Scan {
                prefix: inbox_prefix(self.domain),
                after: String::new(),
                limit: ROWS_PER_READ,
            };
            self.table(cx, Read::Inbox, req);
        }
    }

    pub(super) fn inbox_read(&mut self, cx: &mut Cx<'_>, result: Result<TableResp, StoreError>) {
        self.inbox_poll.end();
        let Ok(TableResp::Rows(rows)) = result else {
            return;
        };
        for row in rows {
            let id = UnitId::new(last_part(&row.key));
            let notice = (row.key, row.version);
            let known = self.jobs.get(&id);
            if known.is_some_and(|job| job.has_notice(&notice)) {
                continue;
            }
            let req = TableReq::Get { key: unit_key(&id) };
            self.table(cx, Read::Unit(id, notice), req);
        }
    }

    pub(super) fn unit_read(
        &mut self,
        cx: &mut Cx<'_>,
        id: UnitId,
        notice: Notice,
        result: Result<TableResp, StoreError>,
    ) {
        let Ok(TableResp::Row(row)) = result else {
            return;
        };
        let row = row.and_then(|row| {
            let unit = decode::<UnitRow>(&row.value);
            unit.inspect_err(|e| log::error!("scheduler: row {} cannot be read: {e}", row.key))
                .ok()
        });
        // A unit that was moved after the notice was written belongs to another domain.
        let Some(row) = row.filter(|row| row.home == self.domain) else {
            self.drop_notice(cx, notice);
            return;
        };
        if self.jobs.contains_key(&id) {
            self.apply_unit(cx.now, &id, notice, row);
        } else {
            let key = state_key(self.domain, &id);
            let read = Read::State(id, notice, Box::new(row));
            self.table(cx, read, TableReq::Get { key });
        }
    }

    /// Deletes a notice that needs no action, unless it was written again in the meantime.
    fn drop_notice(&mut self, cx: &mut Cx<'_>, (key, version): Notice) {
        let check = Check {
            key: key.clone(),
            version: Some(version),
        };
        let write = Write { key, value: None };
        let owner = self.owner(Change::Notice);
        // If the queue is full, the notice is read and dropped again later.
        let _ = cx.commits.push(cx.now, owner, vec![check], vec![write]);
    }

    /// Handles the state of a unit that was not known here: one that was moved here or is new.
    pub(super) fn state_read(
        &mut self,
        now: Time,
        id: &UnitId,
        notice: Notice,
        row: UnitRow,
        result: Result<TableResp, StoreError>,
    ) {
        let Ok(TableResp::Row(state)) = result else {
            return;
        };
        if self.jobs.contains_key(id) {
            return;
        }
        if let Some(state) = state {
            if !self.load(now, &state) {
                return;
            }
        } else {
            let job = Job::new(row.unit.clone(), row.cancelled);
            self.jobs.insert(id.clone(), job);
        }
        self.apply_unit(now, id, notice, row);
    }

    /// Applies a unit's description. A unit without a state row is placed only once the row is
    /// committed, since that commit fails if the unit already finished earlier.
    fn apply_unit(&mut self, now: Time, id: &UnitId, notice: Notice, row: UnitRow) {
        self.placer.add_unit(id, &row.unit);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.set_unit(row.unit, row.cancelled);
        job.set_notice(notice);
        let recorded = job.is_recorded();
        self.dirty.insert(id.clone());
        if recorded && self.is_recovered() {
            self.enqueue(now, id);
        }
    }

    /// Queues the waiting tasks of a unit, unless it is cancelled or recalled.
    pub(super) fn enqueue(&mut self, now: Time, id: &UnitId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.row.cancelled {
            self.cancel(now, id);
            return;
        }
        if self.policy.is_recalled(&job.row.unit) {
            self.hold(now, id);
            return;
        }
        let reason = match self.placer.enqueue(now, id, &job.waiting()) {
            Ok(()) => String::new(),
            Err(e) => e.to_string(),
        };
        job.set_reason(&reason);
        self.dirty.insert(id.clone());
    }

    fn cancel(&mut self, now: Time, id: &UnitId) {
        let mut decisions = Vec::new();
        self.placer.cancel(now, id, &mut decisions);
        if let Some(job) = self.jobs.get_mut(id) {
            for task in job.waiting() {
                job.set_phase(task.index, TaskPhase::Cancelled);
            }
            self.dirty.insert(id.clone());
        }
        for decision in decisions {
            self.carry_out(now, decision);
        }
    }
}
