//! Units of work at their home domain's scheduler, and their rows.

use std::{collections::BTreeMap, time::Duration};

use model::{Attempt, DomainId, Repeat, TaskId, Time, Unit, UnitId, WorkerId, stable_hash};
use place::WaitingTask;
use store::{Check, Write, encode};

use super::Notice;
use crate::{
    api::{TaskPhase, TaskState},
    core::rows::{StateRow, done_key, state_key},
};

/// An attempt that is to be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Begun {
    pub(crate) index: u32,
    pub(crate) attempt: Attempt,
}

/// One unit and the states of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) row: StateRow,
    /// The version of the row in the table; `None` before it is written.
    version: Option<u64>,
    /// Names what the unit's tasks are started with now.
    content: u32,
    dirty: bool,
    /// Whether a recall keeps the unit's tasks out of the queue.
    held: bool,
    /// Whether the unit is on its way to another domain.
    moving: bool,
    /// When a task of the unit was last seen to run, or the unit was first seen.
    ran: Option<Time>,
    /// The inbox row that told of the unit: dropped with the next commit.
    notice: Option<Notice>,
    /// Attempts that start once a commit has recorded them.
    awaiting: Vec<Begun>,
    /// The commit under way, with the attempts that it records.
    committing: Option<Vec<Begun>>,
}

impl Job {
    pub(crate) fn new(unit: Unit, cancelled: bool) -> Self {
        let tasks = vec![TaskState::default(); unit.kind.tasks() as usize];
        let row = StateRow {
            unit,
            cancelled,
            reason: String::new(),
            tasks,
        };
        Self {
            dirty: true,
            ..Self::loaded(row, None)
        }
    }

    pub(crate) fn loaded(row: StateRow, version: Option<u64>) -> Self {
        Self {
            version,
            content: content_of(&row.unit),
            row,
            dirty: false,
            held: false,
            moving: false,
            ran: None,
            notice: None,
            awaiting: Vec::new(),
            committing: None,
        }
    }

    pub(crate) const fn version(&self) -> Option<u64> {
        self.version
    }

    pub(crate) const fn is_held(&self) -> bool {
        self.held
    }

    pub(crate) fn set_held(&mut self, held: bool) {
        self.held = held;
    }

    pub(crate) fn set_moving(&mut self, moving: bool) {
        self.moving = moving;
    }

    /// Remembers the inbox row that told of the unit.
    pub(crate) fn set_notice(&mut self, notice: Notice) {
        self.notice = Some(notice);
        self.dirty = true;
    }

    pub(crate) fn has_notice(&self, notice: &Notice) -> bool {
        self.notice.as_ref() == Some(notice)
    }

    /// Keeps the inbox row: it has been written again.
    pub(crate) fn drop_notice(&mut self) {
        self.notice = None;
    }

    /// Whether the table has a row of this unit's state.
    pub(crate) const fn is_recorded(&self) -> bool {
        self.version.is_some()
    }

    /// Whether a task of the unit runs or is being started.
    pub(crate) fn runs(&self) -> bool {
        let mut tasks = self.row.tasks.iter();
        tasks.any(|task| matches!(task.phase, TaskPhase::Running { .. }))
    }

    /// Whether something keeps the unit's waiting tasks from being placed.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.held && !self.row.reason.is_empty() && !self.waiting().is_empty()
    }

    /// Whether the unit can be moved to another domain: no task of it has run here for a time. A part of
    /// a service moves too where a domain has lost all its workers.
    pub(crate) fn may_move(&self, now: Time, patience: Duration) -> bool {
        let settled = self.is_recorded() && !self.held && !self.moving && !self.row.cancelled;
        let idle = self.ran.is_some_and(|ran| now.since(ran) >= patience);
        settled && idle && !self.runs() && !self.waiting().is_empty()
    }

    /// Notes whether a task of the unit runs now.
    pub(crate) fn observe(&mut self, now: Time) {
        if self.ran.is_none() || self.runs() {
            self.ran = Some(now);
        }
    }

    /// A replica that was started with an earlier description, if all replicas run.
    pub(crate) fn stale_replica(&self) -> Option<(u32, WorkerId)> {
        let replicas = self.row.unit.kind.tasks() as usize;
        let mut stale = None;
        for (task, index) in self.row.tasks.iter().take(replicas).zip(0..) {
            let TaskPhase::Running { worker } = task.phase else {
                return None;
            };
            if task.content != 0 && task.content != self.content {
                stale = Some((index, worker));
            }
        }
        stale
    }

    pub(crate) fn task(&self, index: u32) -> TaskState {
        let task = self.row.tasks.get(index as usize);
        task.copied().unwrap_or_default()
    }

    pub(crate) fn set_phase(&mut self, index: u32, phase: TaskPhase) {
        if let Some(task) = self.row.tasks.get_mut(index as usize)
            && task.phase != phase
        {
            task.phase = phase;
            self.dirty = true;
        }
    }

    /// Records the start of a task's next attempt, and returns it if it may start before that is
    /// committed.
    pub(crate) fn begin_attempt(&mut self, index: u32, worker: WorkerId) -> Option<Begun> {
        let task = self.row.tasks.get_mut(index as usize)?;
        task.phase = TaskPhase::Running { worker };
        task.attempt = Attempt(task.attempt.0 + 1);
        task.content = self.content;
        self.dirty = true;
        let begun = Begun {
            index,
            attempt: task.attempt,
        };
        if self.row.unit.repeat == Repeat::Safe {
            return Some(begun);
        }
        self.awaiting.push(begun);
        None
    }

    /// Takes over an attempt that a worker was found to run.
    pub(crate) fn adopt(&mut self, index: u32, worker: WorkerId, attempt: Attempt) {
        if let Some(task) = self.row.tasks.get_mut(index as usize) {
            task.phase = TaskPhase::Running { worker };
            task.attempt = attempt;
            self.dirty = true;
        }
    }

    pub(crate) fn add_failure(&mut self, index: u32) {
        if let Some(task) = self.row.tasks.get_mut(index as usize) {
            task.failures += 1;
            self.dirty = true;
        }
    }

    pub(crate) fn set_reason(&mut self, reason: &str) {
        if self.row.reason != reason {
            reason.clone_into(&mut self.row.reason);
            self.dirty = true;
        }
    }

    /// Takes a changed description from the unit's row.
    pub(crate) fn set_unit(&mut self, unit: Unit, cancelled: bool) {
        if self.row.unit == unit && self.row.cancelled == cancelled {
            return;
        }
        let count = self.row.tasks.len().max(unit.kind.tasks() as usize);
        self.row.tasks.resize(count, TaskState::default());
        self.content = content_of(&unit);
        self.row.unit = unit;
        self.row.cancelled = cancelled;
        self.dirty = true;
        if self.row.unit.kind.is_service() && !cancelled {
            self.revive_replicas();
        }
    }

    /// Replicas that ended when there were to be fewer wait again when there are to be more.
    fn revive_replicas(&mut self) {
        let replicas = self.row.unit.kind.tasks() as usize;
        for task in self.row.tasks.iter_mut().take(replicas) {
            if !matches!(task.phase, TaskPhase::Running { .. }) {
                task.phase = TaskPhase::Waiting;
            }
        }
    }

    /// The tasks that wait for a place.
    pub(crate) fn waiting(&self) -> Vec<WaitingTask> {
        let tasks = self.row.tasks.iter().zip(0..self.row.unit.kind.tasks());
        tasks
            .filter(|(task, _)| task.phase == TaskPhase::Waiting)
            .map(|(task, index)| WaitingTask {
                index,
                failures: task.failures,
            })
            .collect()
    }

    /// Whether no task runs or waits.
    pub(crate) fn is_over(&self) -> bool {
        let mut tasks = self.row.tasks.iter();
        tasks.all(|task| {
            let phase = task.phase;
            phase != TaskPhase::Waiting && !matches!(phase, TaskPhase::Running { .. })
        })
    }

    /// The checks and writes of the present state, if the table does not have it and no earlier
    /// state is on its way.
    pub(crate) fn flush(
        &mut self,
        domain: DomainId,
        id: &UnitId,
    ) -> Option<(Vec<Check>, Vec<Write>)> {
        if !self.dirty || self.moving || self.committing.is_some() {
            return None;
        }
        self.dirty = false;
        self.committing = Some(std::mem::take(&mut self.awaiting));
        let key = state_key(domain, id);
        let done = done_key(domain, id);
        let mut checks = vec![Check {
            key: key.clone(),
            version: self.version,
        }];
        if self.version.is_none() && !self.row.unit.kind.is_service() {
            // A unit that was done long ago must not run again because of a late notice.
            checks.push(Check {
                key: done.clone(),
                version: None,
            });
        }
        let value = Some(encode(&self.row));
        let mut writes = if self.is_over() {
            vec![Write { key, value: None }, Write { key: done, value }]
        } else {
            vec![Write { key, value }]
        };
        if let Some((key, version)) = self.notice.clone() {
            checks.push(Check {
                key: key.clone(),
                version: Some(version),
            });
            writes.push(Write { key, value: None });
        }
        Some((checks, writes))
    }

    /// Takes a commit of the state, and returns the attempts that it has recorded.
    pub(crate) fn flushed(&mut self, version: u64) -> Vec<Begun> {
        self.version = Some(version);
        self.notice = None;
        self.committing.take().unwrap_or_default()
    }

    /// Puts a refused change back, to be tried again.
    pub(crate) fn not_flushed(&mut self) {
        let mut begun = self.committing.take().unwrap_or_default();
        begun.append(&mut self.awaiting);
        self.awaiting = begun;
        self.dirty = true;
    }

    /// Whether the table has the present state.
    pub(crate) const fn is_clean(&self) -> bool {
        !self.dirty && self.committing.is_none()
    }
}

/// Names what a unit's tasks are started with; never 0.
fn content_of(unit: &Unit) -> u32 {
    let hash = stable_hash(encode(&(&unit.command, unit.size)));
    u32::try_from(hash & 0xffff_ffff).unwrap_or(1).max(1)
}

/// The jobs of a domain.
pub(crate) type Jobs = BTreeMap<UnitId, Job>;

/// The state of one task.
pub(crate) fn task_state(jobs: &Jobs, task: &TaskId) -> Option<TaskState> {
    jobs.get(&task.unit).map(|job| job.task(task.index))
}
