//! Tasks from the decision to start them to their end, and their units' rows in the table.

use model::{TaskId, Time, UnitId, WorkerId};
use place::{Decision, NextState, TaskEnd};
use store::{Command, Settlement};

use super::{
    Change, Scheduler,
    jobs::{Begun, task_state},
    workers::PendingStart,
};
use crate::{
    api::TaskPhase,
    core::{
        calls::Cx,
        rows::{done_key, inbox_key},
    },
};

/// How many batches of decisions are made in one tick.
const BATCHES_PER_TICK: usize = 8;

impl Scheduler {
    /// Decides what starts now. Nothing does before all workers were read after a takeover: a task that
    /// one of them lost may run on another.
    pub(super) fn place(&mut self, now: Time) {
        if !self.is_recovered() {
            return;
        }
        for _ in 0..BATCHES_PER_TICK {
            let mut decisions = Vec::new();
            self.placer.decide(now, &mut decisions);
            for decision in decisions {
                self.carry_out(now, decision);
            }
            if self.placer.next_wake() != Some(Time::ZERO) {
                return;
            }
        }
    }

    pub(super) fn carry_out(&mut self, now: Time, decision: Decision) {
        match decision {
            Decision::Start { task, worker, .. } => self.begin(&task, worker),
            Decision::Stop { task, worker } => {
                self.end_by(now, &task, worker, |task, attempt| Command::Stop {
                    task,
                    attempt,
                });
            }
            Decision::Checkpoint { task, worker } => {
                self.end_by(now, &task, worker, |task, attempt| Command::Checkpoint {
                    task,
                    attempt,
                });
            }
            Decision::Throttle {
                task,
                worker,
                milli_processors,
            } => self.throttle(task, worker, milli_processors),
            Decision::Explain { unit, reason } => {
                if let Some(job) = self.jobs.get_mut(&unit) {
                    job.set_reason(&reason.map(|e| e.to_string()).unwrap_or_default());
                    self.dirty.insert(unit);
                }
            }
        }
    }

    fn begin(&mut self, task: &TaskId, worker: WorkerId) {
        let Some(job) = self.jobs.get_mut(&task.unit) else {
            return;
        };
        let begun = job.begin_attempt(task.index, worker);
        self.dirty.insert(task.unit.clone());
        if let Some(begun) = begun {
            self.send_start(&task.unit, begun);
        }
    }

    /// Queues the start of an attempt, if it is still wanted.
    fn send_start(&mut self, unit: &UnitId, begun: Begun) {
        let Some(job) = self.jobs.get(unit) else {
            return;
        };
        let state = job.task(begun.index);
        let TaskPhase::Running { worker } = state.phase else {
            return;
        };
        if state.attempt != begun.attempt {
            return;
        }
        let task = TaskId::new(unit, begun.index);
        let unit = &job.row.unit;
        let service = if unit.kind.is_service() {
            unit.name.clone()
        } else {
            String::new()
        };
        let start = PendingStart {
            attempt: state.attempt,
            size: self.placer.allocated(&task).unwrap_or(unit.size),
            command: unit.command.clone(),
            service,
            task,
        };
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.start(start);
        }
    }

    /// Ends a task by a command to its worker, or at once where its start was not sent.
    pub(super) fn end_by(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: WorkerId,
        command: impl Fn(TaskId, model::Attempt) -> Command,
    ) {
        let Some(state) = task_state(&self.jobs, task) else {
            return;
        };
        let here = state.phase == TaskPhase::Running { worker };
        let Some(book) = self.workers.get_mut(&worker).filter(|_| here) else {
            return;
        };
        if !book.expected.contains_key(task) || book.unqueue(task) {
            self.task_ended(now, task, TaskEnd::NotStarted);
            return;
        }
        book.stopping(task);
        book.command(command(task.clone(), state.attempt));
    }

    /// Ends a task on a worker that leaves or is recalled. A task that must not be repeated runs on,
    /// unless the worker is recalled.
    pub(super) fn clear_off(&mut self, now: Time, task: &TaskId, worker: WorkerId, recalled: bool) {
        let Some(job) = self.jobs.get(&task.unit) else {
            return;
        };
        let unit = &job.row.unit;
        let repeatable = unit.repeat == model::Repeat::Safe;
        if unit.kind.is_service() || (recalled && !repeatable) {
            self.end_by(now, task, worker, |task, attempt| Command::Stop {
                task,
                attempt,
            });
        } else if repeatable {
            self.end_by(now, task, worker, |task, attempt| Command::Checkpoint {
                task,
                attempt,
            });
        }
    }

    fn throttle(&mut self, task: TaskId, worker: WorkerId, milli_processors: u64) {
        let Some(state) = task_state(&self.jobs, &task) else {
            return;
        };
        if let Some(book) = self.workers.get_mut(&worker) {
            book.command(Command::Throttle {
                task,
                attempt: state.attempt,
                milli_processors,
            });
        }
    }

    pub(super) fn forget_expected(&mut self, id: WorkerId, task: &TaskId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.forget(task);
        }
    }

    pub(super) fn lose(&mut self, now: Time, id: WorkerId, task: &TaskId) {
        log::info!("scheduler: {task} is lost on {id}");
        self.forget_expected(id, task);
        self.task_ended(now, task, TaskEnd::Lost);
    }

    pub(super) fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) {
        let next = self.placer.task_ended(now, task, end);
        let Some(job) = self.jobs.get_mut(&task.unit) else {
            return;
        };
        // Failures that are blamed on the worker do not count against the task.
        let counted = self.placer.failures(task) > job.task(task.index).failures;
        if end.is_failure() && (counted || matches!(next, NextState::GivenUp { .. })) {
            job.add_failure(task.index);
        }
        let cancelled = job.row.cancelled;
        let phase = match next {
            NextState::Done => TaskPhase::Succeeded,
            NextState::Waiting | NextState::GivenUp { .. } if cancelled => TaskPhase::Cancelled,
            NextState::Waiting => TaskPhase::Waiting,
            NextState::GivenUp { reason } => {
                job.set_reason(&reason);
                TaskPhase::Failed
            }
        };
        job.set_phase(task.index, phase);
        let resumes = job.is_held() && !job.runs();
        self.dirty.insert(task.unit.clone());
        if resumes {
            self.resume(now, &task.unit);
        }
    }

    // The table

    pub(super) fn flush(&mut self, cx: &mut Cx<'_>) {
        for id in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            let Some((checks, writes)) = job.flush(self.domain, &id) else {
                continue;
            };
            let owner = self.owner(Change::State(id.clone()));
            if cx.commits.push(cx.now, owner, checks, writes).is_err() {
                self.not_flushed(&id);
            }
        }
    }

    fn not_flushed(&mut self, id: &UnitId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.not_flushed();
            self.dirty.insert(id.clone());
        }
    }

    pub(super) fn state_settled(&mut self, now: Time, id: &UnitId, settlement: Settlement) {
        match settlement {
            Settlement::Committed { version } => self.state_committed(now, id, version),
            Settlement::Conflict { key } if key == inbox_key(self.domain, id) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.drop_notice();
                }
                self.not_flushed(id);
            }
            Settlement::Conflict { key } if key == done_key(self.domain, id) => {
                log::info!("scheduler: {id} was done before");
                self.forget_unit(id);
            }
            Settlement::Conflict { key } => {
                log::warn!("scheduler: {key} was written by another scheduler");
                self.superseded = Some(self.epoch);
            }
            Settlement::Refused { reason } => {
                log::error!("scheduler: the state of {id} was refused: {reason}");
                self.not_flushed(id);
            }
            Settlement::NotRun => self.not_flushed(id),
            Settlement::MayHaveRun => {
                log::warn!("scheduler: a later start of this node writes to the table");
                self.superseded = Some(self.epoch);
            }
        }
    }

    pub(super) fn forget_unit(&mut self, id: &UnitId) {
        self.placer.remove_unit(id);
        self.jobs.remove(id);
    }

    fn state_committed(&mut self, now: Time, id: &UnitId, version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_new = !job.is_recorded();
        let to_start = job.flushed(version);
        let clean = job.is_clean();
        let over = job.is_over();
        if !clean {
            self.dirty.insert(id.clone());
        }
        for begun in to_start {
            self.send_start(id, begun);
        }
        if is_new && self.is_recovered() {
            self.enqueue(now, id);
        }
        if clean {
            self.forget_ended(id);
        }
        if clean && over {
            self.forget_unit(id);
        }
    }

    /// Lets workers drop the attempts whose end is now in the table.
    fn forget_ended(&mut self, id: &UnitId) {
        for (worker, task, attempt) in self.ended.remove(id).unwrap_or_default() {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.command(Command::Forget { task, attempt });
            }
        }
    }
}
