//! Units that move to another failure domain because their home has no room for them.
//!
//! A unit moves only while none of its tasks runs or may run here, in one transaction that checks the
//! unit's row and its state: the other scheduler learns of it by a notice and finds the state there.

use std::time::Duration;

use model::{DomainId, Kind, Size, Time, UnitId};
use store::{Check, Settlement, StoreError, TableReq, TableResp, Write, decode, encode};

use super::{Change, Read, Scheduler};
use crate::core::{
    calls::Cx,
    rows::{UnitRow, inbox_key, state_key, unit_key},
};

/// The most units that move at a time.
const MOVES_MAX: usize = 8;

/// The units that are being moved.
#[derive(Clone, Debug, Default)]
pub(crate) struct Moves {
    under_way: Vec<UnitId>,
    next_look: Time,
}

impl Scheduler {
    /// Begins to move units that wait here for long while another domain has room.
    pub(super) fn consider_moves(&mut self, cx: &mut Cx<'_>, elsewhere: &[(DomainId, Size)]) {
        if cx.now < self.moves.next_look || !self.is_recovered() {
            return;
        }
        self.moves.next_look = cx.now + self.cfg.move_interval;
        let patience = if self.policy.is_evacuated() {
            Duration::ZERO
        } else {
            self.cfg.move_after
        };
        for job in self.jobs.values_mut() {
            job.observe(cx.now);
        }
        let mut room: Vec<(DomainId, Size)> = elsewhere.to_vec();
        let waiting = self.jobs.iter().filter(|(id, job)| {
            job.may_move(cx.now, patience) && !self.moves.under_way.contains(id)
        });
        let mut chosen = Vec::new();
        for (id, job) in waiting.take(MOVES_MAX) {
            let unit = &job.row.unit;
            let n = u32::try_from(job.waiting().len()).unwrap_or(u32::MAX);
            let whole = unit.size.saturating_mul(n);
            // A batch is content with room for a part of its tasks.
            let least = match unit.kind {
                Kind::Gang { .. } => whole,
                Kind::Batch { .. } | Kind::Service { .. } => unit.size,
            };
            room.sort_by_key(|(_, free)| std::cmp::Reverse(free.milli_processors));
            if let Some((to, free)) = room.iter_mut().find(|(_, free)| least.fits(free)) {
                *free -= whole;
                chosen.push((id.clone(), *to));
            }
        }
        for (id, to) in chosen {
            self.moves.under_way.push(id.clone());
            let req = TableReq::Get { key: unit_key(&id) };
            self.table(cx, Read::Move(id, to), req);
        }
    }

    pub(super) fn move_read(
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
            .filter(|job| job.may_move(cx.now, Duration::ZERO) && !ended && job.is_clean());
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
            self.stay(cx.now, id);
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
                self.stay(now, id);
            }
        }
    }

    /// The unit was not moved: it is placed here again.
    fn stay(&mut self, now: Time, id: &UnitId) {
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
        self.moves.under_way.retain(|other| other != id);
    }
}

fn check(key: String, version: Option<u64>) -> Check {
    Check { key, version }
}

fn write(key: String, value: Option<Vec<u8>>) -> Write {
    Write { key, value }
}
