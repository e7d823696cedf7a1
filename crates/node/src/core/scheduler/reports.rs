//! The handling of workers' reports: tasks that run, have ended, are lost or are not this scheduler's
//! own.

use model::{Time, WorkerId};
use place::TaskEnd;
use store::{Command, StoreError, TaskPhase as Reported, TaskView, WorkerReport};

use super::{Scheduler, jobs::task_state, workers::Expected};
use crate::api::TaskPhase;

impl Scheduler {
    /// Handles the answer to a call that was made at `sent`.
    pub(crate) fn worker_answered(
        &mut self,
        now: Time,
        id: WorkerId,
        sent: Time,
        result: Result<WorkerReport, StoreError>,
    ) {
        let report = match result {
            Ok(report) => report,
            Err(e) => {
                log::debug!("scheduler: {id} gave no answer: {e}");
                self.worker_call_failed(now, id);
                return;
            }
        };
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if report.highest_epoch > self.epoch {
            let seen = report.highest_epoch;
            log::warn!("scheduler: {id} has accepted commands under epoch {seen}");
            self.superseded = Some(seen);
            return;
        }
        if !self.recovery.has_states() {
            // The attempts cannot be matched with units yet, so the worker is read again later. Its
            // tasks are renewed until then, for as long as the rows of the table cannot be read.
            worker.record_report_before_states(now, sent, &report);
            return;
        }
        worker.record_report(now, sent, &report);
        self.open_or_close(now, id);
        // The listed tasks are handled before the missing ones, since the worker may have a newer
        // attempt than the row in the table.
        for view in &report.tasks {
            self.apply_task_view(now, id, view);
        }
        let worker = self.workers.get(&id);
        let missing = worker.map_or_else(Vec::new, |worker| worker.missing_tasks(sent, &report));
        for task in missing {
            self.mark_lost(now, id, &task);
        }
    }

    fn apply_task_view(&mut self, now: Time, id: WorkerId, view: &TaskView) {
        let state = task_state(&self.jobs, &view.task);
        if state.is_some_and(|state| view.attempt > state.attempt) {
            // An earlier scheduler may start an attempt of a repeatable task before its row is
            // committed, so the row can be older. As an attempt starts only once the previous one has
            // ended, the newest attempt is the valid one.
            self.adopt(now, id, view);
            if view.phase != Reported::Running {
                self.record_end(now, id, view);
            }
            return;
        }
        let running_here = TaskPhase::Running { worker: id };
        let is_current =
            state.is_some_and(|s| s.attempt == view.attempt && s.phase == running_here);
        let is_running = view.phase == Reported::Running;
        if is_current && is_running {
            self.placer.raise_allocation(&view.task, view.size);
            self.placer.report_usage(now, &view.task, view.usage);
            self.record_endpoint(id, view);
        } else if is_current {
            self.record_end(now, id, view);
        } else if is_running && state.is_some_and(|s| s.phase == TaskPhase::Waiting) {
            self.adopt(now, id, view);
        } else {
            self.discard_attempt(id, view);
        }
    }

    fn record_endpoint(&mut self, id: WorkerId, view: &TaskView) {
        if let Some(worker) = self.workers.get_mut(&id)
            && !view.endpoint.is_empty()
            && !worker.is_stopping(&view.task)
        {
            let endpoint = view.endpoint.clone();
            worker.endpoints.insert(view.task.clone(), endpoint);
        }
    }

    fn record_end(&mut self, now: Time, id: WorkerId, view: &TaskView) {
        let end = match view.phase {
            Reported::Running => return,
            Reported::Succeeded => TaskEnd::Succeeded,
            Reported::Failed => TaskEnd::Failed,
            Reported::StartFailed => TaskEnd::StartFailed,
            Reported::Stopped => TaskEnd::Stopped,
            Reported::Checkpointed => TaskEnd::Checkpointed,
            Reported::LeaseLapsed => TaskEnd::Lost,
            Reported::NotStarted => TaskEnd::NotStarted,
        };
        self.forget_expected(id, &view.task);
        let ended = self.ended.entry(view.task.unit.clone()).or_default();
        ended.push((id, view.task.clone(), view.attempt));
        self.task_ended(now, &view.task, end);
    }

    /// Takes over an attempt that an earlier scheduler started.
    fn adopt(&mut self, now: Time, id: WorkerId, view: &TaskView) {
        let expected = Expected {
            attempt: view.attempt,
            start_limit: now,
            is_sent: true,
            is_listed: true,
        };
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.expected.insert(view.task.clone(), expected);
        }
        if let Some(TaskPhase::Running { worker: before }) =
            task_state(&self.jobs, &view.task).map(|state| state.phase)
            && before != id
        {
            self.forget_expected(before, &view.task);
        }
        self.placer.adopt(now, &view.task, id, view.size);
        if let Some(job) = self.jobs.get_mut(&view.task.unit) {
            job.adopt(view.task.index, id, view.attempt);
            self.dirty.insert(view.task.unit.clone());
        }
        self.record_endpoint(id, view);
    }

    /// Stops or drops an attempt that is not the present one of its task, unless its end still has to
    /// be committed.
    fn discard_attempt(&mut self, id: WorkerId, view: &TaskView) {
        let pending = self.ended.get(&view.task.unit);
        let is_uncommitted = pending.is_some_and(|list| {
            let mut ends = list.iter();
            ends.any(|(_, task, attempt)| *task == view.task && *attempt == view.attempt)
        });
        if is_uncommitted {
            return;
        }
        let task = view.task.clone();
        let attempt = view.attempt;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.queue_command(if view.phase == Reported::Running {
                Command::Stop { task, attempt }
            } else {
                Command::Forget { task, attempt }
            });
        }
    }
}
