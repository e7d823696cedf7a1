//! Units of work at their home domain's scheduler, and their rows.

use std::collections::BTreeMap;

use model::{Attempt, DomainId, Repeat, TaskId, Unit, UnitId, WorkerId};
use place::Waiting;
use store::{Check, Write, encode};

use super::rows::{StateRow, done_key, state_key};
use crate::api::{TaskPhase, TaskState};

/// One unit and the states of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) row: StateRow,
    /// The version of the row in the table; `None` before it is written.
    version: Option<u64>,
    dirty: bool,
    committing: bool,
    /// The inbox row that told of the unit, and its version: dropped with the next commit.
    notice: Option<(String, u64)>,
    /// Tasks whose next attempt starts once the present state is committed.
    awaiting: Vec<u32>,
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
            row,
            version,
            dirty: false,
            committing: false,
            notice: None,
            awaiting: Vec::new(),
        }
    }

    /// Remembers the inbox row that told of the unit.
    pub(crate) fn set_notice(&mut self, key: String, version: u64) {
        self.notice = Some((key, version));
        self.dirty = true;
    }

    /// Keeps the inbox row: it has been written again.
    pub(crate) fn drop_notice(&mut self) {
        self.notice = None;
    }

    /// Whether the table has a row of this unit's state.
    pub(crate) const fn is_recorded(&self) -> bool {
        self.version.is_some()
    }

    pub(crate) fn task(&self, index: u32) -> TaskState {
        self.row
            .tasks
            .get(index as usize)
            .copied()
            .unwrap_or_default()
    }

    pub(crate) fn set_phase(&mut self, index: u32, phase: TaskPhase) {
        if let Some(task) = self.row.tasks.get_mut(index as usize)
            && task.phase != phase
        {
            task.phase = phase;
            self.dirty = true;
        }
    }

    /// Records the start of a task's next attempt, and whether it has to be committed first.
    pub(crate) fn begin_attempt(&mut self, index: u32, worker: WorkerId) -> bool {
        if let Some(task) = self.row.tasks.get_mut(index as usize) {
            task.phase = TaskPhase::Running { worker };
            task.attempt = Attempt(task.attempt.0 + 1);
            self.dirty = true;
        }
        let commit_first = self.row.unit.repeat == Repeat::Never;
        if commit_first {
            self.awaiting.push(index);
        }
        commit_first
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
        if self.row.unit != unit || self.row.cancelled != cancelled {
            self.row.tasks.resize(
                self.row.tasks.len().max(unit.kind.tasks() as usize),
                TaskState::default(),
            );
            self.row.unit = unit;
            self.row.cancelled = cancelled;
            self.dirty = true;
        }
    }

    /// The tasks that wait for a place.
    pub(crate) fn waiting(&self) -> Vec<Waiting> {
        let tasks = self.row.tasks.iter().zip(0..);
        tasks
            .filter(|(task, index)| {
                task.phase == TaskPhase::Waiting && *index < self.row.unit.kind.tasks()
            })
            .map(|(task, index)| Waiting {
                index,
                failures: task.failures,
            })
            .collect()
    }

    /// Whether no task runs or waits.
    pub(crate) fn is_over(&self) -> bool {
        self.row.tasks.iter().all(|task| {
            matches!(
                task.phase,
                TaskPhase::Succeeded | TaskPhase::Failed | TaskPhase::Cancelled
            )
        })
    }

    /// The checks and writes of the present state, if the table does not have it and no earlier
    /// state is on its way.
    pub(crate) fn flush(
        &mut self,
        domain: DomainId,
        id: &UnitId,
    ) -> Option<(Vec<Check>, Vec<Write>)> {
        if !self.dirty || self.committing {
            return None;
        }
        self.dirty = false;
        self.committing = true;
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

    /// Takes a commit of the state, and returns the tasks whose start waited for it.
    pub(crate) fn flushed(&mut self, version: u64) -> Vec<u32> {
        self.version = Some(version);
        self.committing = false;
        self.notice = None;
        if self.dirty {
            // An attempt that began while the commit was under way is not in it: all wait for the
            // next one, which follows at once.
            return Vec::new();
        }
        std::mem::take(&mut self.awaiting)
    }

    /// Puts a refused change back, to be tried again.
    pub(crate) fn not_flushed(&mut self) {
        self.committing = false;
        self.dirty = true;
    }

    /// Whether the table has the present state.
    pub(crate) const fn is_clean(&self) -> bool {
        !self.dirty && !self.committing
    }
}

/// The jobs of a domain.
pub(crate) type Jobs = BTreeMap<UnitId, Job>;

/// The state of one task.
pub(crate) fn task_state(jobs: &Jobs, task: &TaskId) -> Option<TaskState> {
    jobs.get(&task.unit).map(|job| job.task(task.index))
}
