//! The units of work that a scheduler places, and their state rows in the table.

use std::{collections::BTreeMap, time::Duration};

use model::{Attempt, DomainId, Repeat, TaskId, Time, Unit, UnitId, WorkerId, stable_hash};
use place::WaitingTask;
use store::{Check, Write, encode};

use super::Notice;
use crate::{
    api::{TaskPhase, TaskState},
    core::rows::{StateRow, done_key, state_key},
};

/// An attempt whose start was decided but may not have been queued yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StartedAttempt {
    pub(crate) index: u32,
    pub(crate) attempt: Attempt,
}

/// A unit and the states of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) row: StateRow,
    /// The version of the row in the table, or `None` before it is first written.
    version: Option<u64>,
    /// The [`content_hash`] of the present description.
    content_hash: u32,
    is_dirty: bool,
    /// Whether a recall keeps the tasks of the unit out of the queue.
    is_held: bool,
    /// Whether the unit is being moved to another domain.
    is_moving: bool,
    /// The last time at which a task of the unit was seen running, or the unit was first seen.
    last_ran: Option<Time>,
    /// The inbox row that announced the unit, which the next commit deletes.
    notice: Option<Notice>,
    /// Attempts that start once a commit has recorded them, as their tasks must not be repeated.
    awaiting_commit: Vec<StartedAttempt>,
    /// The attempts that the commit in progress records, or `None` if there is no such commit.
    committing: Option<Vec<StartedAttempt>>,
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
            is_dirty: true,
            ..Self::loaded(row, None)
        }
    }

    pub(crate) fn loaded(row: StateRow, version: Option<u64>) -> Self {
        Self {
            version,
            content_hash: content_hash(&row.unit),
            row,
            is_dirty: false,
            is_held: false,
            is_moving: false,
            last_ran: None,
            notice: None,
            awaiting_commit: Vec::new(),
            committing: None,
        }
    }

    pub(crate) const fn version(&self) -> Option<u64> {
        self.version
    }

    pub(crate) const fn is_held(&self) -> bool {
        self.is_held
    }

    pub(crate) fn set_held(&mut self, is_held: bool) {
        self.is_held = is_held;
    }

    pub(crate) fn set_moving(&mut self, is_moving: bool) {
        self.is_moving = is_moving;
    }

    /// Sets the inbox row that announced the unit.
    pub(crate) fn set_notice(&mut self, notice: Notice) {
        self.notice = Some(notice);
        self.is_dirty = true;
    }

    pub(crate) fn has_notice(&self, notice: &Notice) -> bool {
        self.notice.as_ref() == Some(notice)
    }

    /// Drops the notice without deleting its inbox row, which has been written again.
    pub(crate) fn drop_notice(&mut self) {
        self.notice = None;
    }

    /// Whether the table has a state row of this unit.
    pub(crate) const fn is_recorded(&self) -> bool {
        self.version.is_some()
    }

    /// Whether any task of the unit runs or is being started.
    pub(crate) fn has_running_task(&self) -> bool {
        let mut tasks = self.row.tasks.iter();
        tasks.any(|task| matches!(task.phase, TaskPhase::Running { .. }))
    }

    /// Whether the unit has waiting tasks that cannot be placed for the reason in its row.
    pub(crate) fn is_blocked(&self) -> bool {
        !self.is_held && !self.row.reason.is_empty() && !self.waiting().is_empty()
    }

    /// Whether the unit can be moved to another domain: it has waiting tasks, and none has run here for
    /// `min_idle`. This includes the part of a service in a domain that has lost all its workers.
    pub(crate) fn can_move(&self, now: Time, min_idle: Duration) -> bool {
        let is_movable =
            self.is_recorded() && !self.is_held && !self.is_moving && !self.row.cancelled;
        let is_idle = self.last_ran.is_some_and(|ran| now.since(ran) >= min_idle);
        is_movable && is_idle && !self.has_running_task() && !self.waiting().is_empty()
    }

    /// Updates the time at which a task of the unit last ran.
    pub(crate) fn update_last_ran(&mut self, now: Time) {
        if self.last_ran.is_none() || self.has_running_task() {
            self.last_ran = Some(now);
        }
    }

    /// Returns a replica that was started with an earlier description, or `None` if there is none or
    /// not all replicas run.
    pub(crate) fn stale_replica(&self) -> Option<(u32, WorkerId)> {
        let replicas = self.row.unit.kind.tasks() as usize;
        let mut stale = None;
        for (task, index) in self.row.tasks.iter().take(replicas).zip(0..) {
            let TaskPhase::Running { worker } = task.phase else {
                return None;
            };
            if task.content != 0 && task.content != self.content_hash {
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
            self.is_dirty = true;
        }
    }

    /// Records the start of a task's next attempt. Returns the attempt if it may start before the
    /// record is committed, which holds for tasks that may be repeated.
    pub(crate) fn start_attempt(&mut self, index: u32, worker: WorkerId) -> Option<StartedAttempt> {
        let task = self.row.tasks.get_mut(index as usize)?;
        task.phase = TaskPhase::Running { worker };
        task.attempt = Attempt(task.attempt.0 + 1);
        task.content = self.content_hash;
        self.is_dirty = true;
        let started = StartedAttempt {
            index,
            attempt: task.attempt,
        };
        if self.row.unit.repeat == Repeat::Safe {
            return Some(started);
        }
        self.awaiting_commit.push(started);
        None
    }

    /// Records an attempt that a worker was found to run.
    pub(crate) fn adopt(&mut self, index: u32, worker: WorkerId, attempt: Attempt) {
        if let Some(task) = self.row.tasks.get_mut(index as usize) {
            task.phase = TaskPhase::Running { worker };
            task.attempt = attempt;
            self.is_dirty = true;
        }
    }

    pub(crate) fn add_failure(&mut self, index: u32) {
        if let Some(task) = self.row.tasks.get_mut(index as usize) {
            task.failures += 1;
            self.is_dirty = true;
        }
    }

    pub(crate) fn set_reason(&mut self, reason: &str) {
        if self.row.reason != reason {
            reason.clone_into(&mut self.row.reason);
            self.is_dirty = true;
        }
    }

    /// Applies a changed description from the unit's row.
    pub(crate) fn set_unit(&mut self, unit: Unit, cancelled: bool) {
        if self.row.unit == unit && self.row.cancelled == cancelled {
            return;
        }
        let count = self.row.tasks.len().max(unit.kind.tasks() as usize);
        self.row.tasks.resize(count, TaskState::default());
        self.content_hash = content_hash(&unit);
        self.row.unit = unit;
        self.row.cancelled = cancelled;
        self.is_dirty = true;
        if self.row.unit.kind.is_service() && !cancelled {
            self.requeue_replicas();
        }
    }

    /// Sets ended replicas to waiting again, which were stopped when the service had fewer replicas.
    fn requeue_replicas(&mut self) {
        let replicas = self.row.unit.kind.tasks() as usize;
        for task in self.row.tasks.iter_mut().take(replicas) {
            if !matches!(task.phase, TaskPhase::Running { .. }) {
                task.phase = TaskPhase::Waiting;
            }
        }
    }

    /// The tasks that wait to be placed.
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
    pub(crate) fn is_finished(&self) -> bool {
        let mut tasks = self.row.tasks.iter();
        tasks.all(|task| {
            let phase = task.phase;
            phase != TaskPhase::Waiting && !matches!(phase, TaskPhase::Running { .. })
        })
    }

    /// Returns the checks and writes that store the present state, if it has changed and no other
    /// commit of the unit is in progress.
    pub(crate) fn flush(
        &mut self,
        domain: DomainId,
        id: &UnitId,
    ) -> Option<(Vec<Check>, Vec<Write>)> {
        if !self.is_dirty || self.is_moving || self.committing.is_some() {
            return None;
        }
        self.is_dirty = false;
        self.committing = Some(std::mem::take(&mut self.awaiting_commit));
        let key = state_key(domain, id);
        let done = done_key(domain, id);
        let mut checks = vec![Check {
            key: key.clone(),
            version: self.version,
        }];
        if self.version.is_none() && !self.row.unit.kind.is_service() {
            // A late notice must not make a unit run again that finished earlier.
            checks.push(Check {
                key: done.clone(),
                version: None,
            });
        }
        let value = Some(encode(&self.row));
        let mut writes = if self.is_finished() {
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

    /// Ends the commit in progress as successful and returns the attempts that it has recorded.
    pub(crate) fn commit_succeeded(&mut self, version: u64) -> Vec<StartedAttempt> {
        self.version = Some(version);
        self.notice = None;
        self.committing.take().unwrap_or_default()
    }

    /// Ends the commit in progress as failed, so that the next flush includes its changes.
    pub(crate) fn commit_failed(&mut self) {
        let mut started = self.committing.take().unwrap_or_default();
        started.append(&mut self.awaiting_commit);
        self.awaiting_commit = started;
        self.is_dirty = true;
    }

    /// Whether the table has the present state of the unit.
    pub(crate) const fn is_clean(&self) -> bool {
        !self.is_dirty && self.committing.is_none()
    }
}

/// Hashes the command and size with which the tasks of a unit are started. Never 0, which stands for an
/// unknown hash.
fn content_hash(unit: &Unit) -> u32 {
    let hash = stable_hash(encode(&(&unit.command, unit.size)));
    u32::try_from(hash & 0xffff_ffff).unwrap_or(1).max(1)
}

/// The units of a domain by id.
pub(crate) type Jobs = BTreeMap<UnitId, Job>;

/// Returns the state of a task, or `None` if its unit is not known.
pub(crate) fn task_state(jobs: &Jobs, task: &TaskId) -> Option<TaskState> {
    jobs.get(&task.unit).map(|job| job.task(task.index))
}
