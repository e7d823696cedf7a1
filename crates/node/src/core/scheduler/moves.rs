//! Moves of units to another failure domain when their home domain has no free capacity for them.
//!
//! A unit moves only while none of its tasks runs or may run here. One transaction checks the unit's
//! row and state, moves the state to the other domain and writes a notice to its scheduler's inbox.

use std::time::Duration;

use model::{DomainId, Kind, Size, Time, UnitId};
use store::{Check, Settlement, StoreError, TableReq, TableResp, Write, decode, encode};

use super::{Change, Read, Scheduler};
use crate::core::{
    calls::Cx,
    rows::{UnitRow, inbox_key, state_key, unit_key},
};

/// The maximum number of moves that are begun per check.
const MAX_MOVES_PER_CHECK: usize = 8;

/// The units that are being moved.
#[derive(Clone, Debug, Default)]
pub(crate) struct Moves {
    in_progress: Vec<UnitId>,
    next_check: Time,
}

impl Scheduler {
    /// Begins to move units that have waited here for long to domains that have free capacity.
    pub(super) fn start_moves(&mut self, cx: &mut Cx<'_>, elsewhere: &[(DomainId, Size)]) {
        if cx.now < self.moves.next_check || !self.is_recovered() {
            return;
        }
        self.moves.next_check = cx.now + self.cfg.move_interval;
        let min_idle = if self.policy.is_evacuated() {
            Duration::ZERO
        } else {
            self.cfg.move_after
        };
        for job in self.jobs.values_mut() {
            job.update_last_ran(cx.now);
        }
        let mut targets: Vec<(DomainId, Size)> = elsewhere.to_vec();
        let waiting = self.jobs.iter().filter(|(id, job)| {
            job.can_move(cx.now, min_idle) && !self.moves.in_progress.contains(id)
        });
        let mut chosen = Vec::new();
        for (id, job) in waiting.take(MAX_MOVES_PER_CHECK) {
            let unit = &job.row.unit;
            let n = u32::try_from(job.waiting().len()).unwrap_or(u32::MAX);
            let total = unit.size.saturating_mul(n);
            // A gang needs capacity for all of its tasks, the others for one task at least.
            let required = match unit.kind {
                Kind::Gang { .. } => total,
                Kind::Batch { .. } | Kind::Service { .. } => unit.size,
            };
            targets.sort_by_key(|(_, free)| std::cmp::Reverse(free.milli_processors));
            if let Some((to, free)) = targets.iter_mut().find(|(_, free)| required.fits(free)) {
                *free -= total;
                chosen.push((id.clone(), *to));
            }
        }
        for (id, to) in chosen {
            self.moves.in_progress.push(id.clone());
            let req = TableReq::Get { key: unit_key(&id) };
            self.table(cx, Read::Move(id, to), req);
        }
    }

    pub(super) fn unit_to_move_read(
        &mut self,
        cx: &mut Cx<'_>,
        id: &UnitId,
        to: DomainId,
        result: Result<TableResp, StoreError>,
    ) {
        let Ok(TableResp::Row(Some(row))) = result else {
            return self.move_ended(id);
        };
        let unit = decode::<UnitRow>(&row.value);
        let Ok(unit) = unit.inspect_err(|e| log::error!("scheduler: row {}: {e}", row.key)) else {
            return self.move_ended(id);
        };
        let ended = self.ended.contains_key(id);
        let job = self
            .jobs
            .get_mut(id)
            .filter(|job| job.can_move(cx.now, Duration::ZERO) && !ended && job.is_clean());
        let Some(job) = job.filter(|_| unit.home == self.domain && !unit.cancelled) else {
            return self.move_ended(id);
        };
        let checks = vec![
            check(unit_key(id), Some(row.version)),
            check(state_key(self.domain, id), job.version()),
            check(state_key(to, id), None),
        ];
        let moved = UnitRow { home: to, ..unit };
        let writes = vec![
            write(unit_key(id), Some(encode(&moved))),
            write(state_key(self.domain, id), None),
            write(state_key(to, id), Some(encode(&job.row))),
            write(inbox_key(to, id), Some(Vec::new())),
        ];
        job.set_moving(true);
        self.placer.remove_unit(id);
        let owner = self.owner(Change::Move(id.clone()));
        if cx.commits.push(cx.now, owner, checks, writes).is_err() {
            self.abort_move(cx.now, id);
        }
    }

    pub(super) fn move_settled(&mut self, now: Time, id: &UnitId, settlement: &Settlement) {
        match settlement {
            Settlement::Committed { .. } => {
                log::info!("scheduler: {id} has moved to another domain");
                self.jobs.remove(id);
                self.move_ended(id);
            }
            Settlement::MayHaveRun => self.superseded = Some(self.epoch),
            Settlement::Conflict { .. } | Settlement::Refused { .. } | Settlement::NotRun => {
                self.abort_move(now, id);
            }
        }
    }

    /// Ends a move that was not made, and places the unit here again.
    fn abort_move(&mut self, now: Time, id: &UnitId) {
        self.move_ended(id);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.set_moving(false);
        let unit = job.row.unit.clone();
        self.placer.add_unit(id, &unit);
        self.enqueue(now, id);
    }

    fn move_ended(&mut self, id: &UnitId) {
        self.moves.in_progress.retain(|other| other != id);
    }
}

fn check(key: String, version: Option<u64>) -> Check {
    Check { key, version }
}

fn write(key: String, value: Option<Vec<u8>>) -> Write {
    Write { key, value }
}
