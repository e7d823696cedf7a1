//! The life cycle of tasks from the decision to start them to their end, and the commits of their
//! units' state rows.

use model::{TaskId, Time, UnitId, WorkerId};
use place::{Decision, NextState, TaskEnd};
use store::{Command, Settlement};

use super::{
    Change, Scheduler,
    jobs::{StartedAttempt, task_state},
    workers::PendingStart,
};
use crate::{
    api::TaskPhase,
    core::{
        calls::Cx,
        rows::{done_key, inbox_key},
    },
};

/// The maximum number of batches of decisions per tick.
const BATCHES_PER_TICK: usize = 8;

impl Scheduler {
    /// Starts the tasks that can be placed now. Does nothing until all workers were read after a
    /// takeover, since a task that seems to be missing may run on a worker that was not read yet.
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
            Decision::Start { task, worker, .. } => self.start_task(&task, worker),
            Decision::Stop { task, worker } => {
                self.end_task(now, &task, worker, |task, attempt| Command::Stop {
                    task,
                    attempt,
                });
            }
            Decision::Checkpoint { task, worker } => {
                self.end_task(now, &task, worker, |task, attempt| Command::Checkpoint {
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

    fn start_task(&mut self, task: &TaskId, worker: WorkerId) {
        let Some(job) = self.jobs.get_mut(&task.unit) else {
            return;
        };
        let started = job.start_attempt(task.index, worker);
        self.dirty.insert(task.unit.clone());
        if let Some(started) = started {
            self.queue_start(&task.unit, started);
        }
    }

    /// Queues the start of an attempt, unless the task has ended or has a newer attempt.
    fn queue_start(&mut self, unit: &UnitId, started: StartedAttempt) {
        let Some(job) = self.jobs.get(unit) else {
            return;
        };
        let state = job.task(started.index);
        let TaskPhase::Running { worker } = state.phase else {
            return;
        };
        if state.attempt != started.attempt {
            return;
        }
        let task = TaskId::new(unit, started.index);
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
            worker.queue_start(start);
        }
    }

    /// Ends a task: at once if its start was not sent, otherwise by a command to its worker.
    pub(super) fn end_task(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: WorkerId,
        command: impl Fn(TaskId, model::Attempt) -> Command,
    ) {
        let Some(state) = task_state(&self.jobs, task) else {
            return;
        };
        let runs_there = state.phase == TaskPhase::Running { worker };
        let Some(record) = self.workers.get_mut(&worker).filter(|_| runs_there) else {
            return;
        };
        if !record.expected.contains_key(task) || record.cancel_start(task) {
            self.task_ended(now, task, TaskEnd::NotStarted);
            return;
        }
        record.mark_stopping(task);
        record.queue_command(command(task.clone(), state.attempt));
    }

    /// Ends a task on a worker that leaves or is recalled. A batch or gang task that must not be
    /// repeated keeps running unless the worker is recalled.
    pub(super) fn evict(&mut self, now: Time, task: &TaskId, worker: WorkerId, recalled: bool) {
        let Some(job) = self.jobs.get(&task.unit) else {
            return;
        };
        let unit = &job.row.unit;
        let repeatable = unit.repeat == model::Repeat::Safe;
        if unit.kind.is_service() || (recalled && !repeatable) {
            self.end_task(now, task, worker, |task, attempt| Command::Stop {
                task,
                attempt,
            });
        } else if repeatable {
            self.end_task(now, task, worker, |task, attempt| Command::Checkpoint {
                task,
                attempt,
            });
        }
    }

    fn throttle(&mut self, task: TaskId, worker: WorkerId, milli_processors: u64) {
        let Some(state) = task_state(&self.jobs, &task) else {
            return;
        };
        if let Some(record) = self.workers.get_mut(&worker) {
            record.queue_command(Command::Throttle {
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

    pub(super) fn mark_lost(&mut self, now: Time, id: WorkerId, task: &TaskId) {
        log::info!("scheduler: {task} is lost on {id}");
        self.forget_expected(id, task);
        self.task_ended(now, task, TaskEnd::Lost);
    }

    pub(super) fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) {
        let next = self.placer.task_ended(now, task, end);
        let Some(job) = self.jobs.get_mut(&task.unit) else {
            return;
        };
        // Failures that the placer attributes to the worker do not count against the task.
        let is_counted = self.placer.failures(task) > job.task(task.index).failures;
        if end.is_failure() && (is_counted || matches!(next, NextState::GivenUp { .. })) {
            job.add_failure(task.index);
        }
        let is_cancelled = job.row.cancelled;
        let phase = match next {
            NextState::Done => TaskPhase::Succeeded,
            NextState::Waiting | NextState::GivenUp { .. } if is_cancelled => TaskPhase::Cancelled,
            NextState::Waiting => TaskPhase::Waiting,
            NextState::GivenUp { reason } => {
                job.set_reason(&reason);
                TaskPhase::Failed
            }
        };
        job.set_phase(task.index, phase);
        let can_resume = job.is_held() && !job.has_running_task();
        self.dirty.insert(task.unit.clone());
        if can_resume {
            self.resume(now, &task.unit);
        }
    }

    // Commits to the table

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
                self.flush_failed(&id);
            }
        }
    }

    fn flush_failed(&mut self, id: &UnitId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.commit_failed();
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
                self.flush_failed(id);
            }
            Settlement::Conflict { key } if key == done_key(self.domain, id) => {
                log::info!("scheduler: {id} already finished earlier");
                self.forget_unit(id);
            }
            Settlement::Conflict { key } => {
                log::warn!("scheduler: {key} was written by another scheduler");
                self.superseded = Some(self.epoch);
            }
            Settlement::Refused { reason } => {
                log::error!("scheduler: the state of {id} was refused: {reason}");
                self.flush_failed(id);
            }
            Settlement::NotRun => self.flush_failed(id),
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
        let recorded = job.commit_succeeded(version);
        let is_clean = job.is_clean();
        let is_finished = job.is_finished();
        if !is_clean {
            self.dirty.insert(id.clone());
        }
        for started in recorded {
            self.queue_start(id, started);
        }
        if is_new && self.is_recovered() {
            self.enqueue(now, id);
        }
        if is_clean {
            self.release_ended(id);
        }
        if is_clean && is_finished {
            self.forget_unit(id);
        }
    }

    /// Lets workers drop the ended attempts of a unit, now that their end is committed.
    fn release_ended(&mut self, id: &UnitId) {
        for (worker, task, attempt) in self.ended.remove(id).unwrap_or_default() {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.queue_command(Command::Forget { task, attempt });
            }
        }
    }
}
