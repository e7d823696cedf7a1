//! Handling of the end of a task's attempt.

use model::{Repeat, TaskId, Time};

use crate::{
    NextState, Placer, TaskEnd,
    health::{Health, HealthState},
    units::{Allocation, Entry, TaskKey, remember_slot},
};

impl Placer {
    /// Records the end of a task's attempt: releases its allocation and returns the task's next
    /// state.
    pub fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) -> NextState {
        let Some(ix) = self.units.find(&task.unit) else {
            return NextState::Done;
        };
        let key = (ix, task.index);
        let allocation = self.release(key);
        let counts_against_task =
            allocation.is_none_or(|allocation| self.record_end(now, key, &allocation, end));
        let Some(entry) = self.units.get_mut(ix) else {
            return NextState::Done;
        };
        let is_service = entry.is_service();
        if end == TaskEnd::Succeeded && !is_service {
            entry.tasks.remove(&task.index);
            return NextState::Done;
        }
        let is_surplus = task.index >= entry.unit.kind.tasks();
        if entry.is_cancelled || is_surplus {
            entry.tasks.remove(&task.index);
        }
        if is_surplus {
            return NextState::Done;
        }
        // This applies to a cancelled unit too: it may be queued again, for example once an operator
        // has lifted the recall that cancelled it.
        if entry.unit.repeat == Repeat::Never
            && let Some(reason) = refusal_to_repeat(end)
        {
            return given_up(reason);
        }
        if entry.is_cancelled {
            return NextState::Waiting;
        }
        self.requeue(now, key, end, counts_against_task)
    }

    /// Records an end in the worker's health, the unit and the usage history. Returns whether a
    /// failure counts against the task.
    fn record_end(
        &mut self,
        now: Time,
        key: TaskKey,
        allocation: &Allocation,
        end: TaskEnd,
    ) -> bool {
        let slot = allocation.slot;
        let Some(entry) = self.units.get_mut(key.0) else {
            return true;
        };
        if end == TaskEnd::Succeeded {
            entry.record_success(slot);
            let ran = now.since(allocation.since);
            self.histories.get_mut(entry.name_ix).record_run(ran);
            self.workers
                .with_health(slot, Health::record_success, &self.cfg);
            return true;
        }
        if !end.is_failure() {
            let reset = Health::reset_probe;
            self.workers.with_health(slot, reset, &self.cfg);
            return true;
        }
        let (succeeded_elsewhere, failed_elsewhere) = (
            entry.has_succeeded_elsewhere(slot),
            entry.has_failed_elsewhere(slot),
        );
        entry.record_failure(slot);
        remember_slot(&mut entry.tasks.entry(key.1).or_default().failed_on, slot);
        let cfg = &self.cfg;
        let is_worker_blamed = self.workers.with_health(
            slot,
            |health| health.record_failure(now, key.0, succeeded_elsewhere, failed_elsewhere, cfg),
            cfg,
        );
        if let HealthState::Quarantined { until } = self.workers.get(slot).health.state {
            self.quarantined.insert((until, slot));
            self.cancel_reservations(|reservation| reservation.rooms.contains_key(&slot));
        }
        !is_worker_blamed
    }

    /// Queues a task again after its attempt has ended, at once or after a backoff, or gives it up
    /// if all attempts have failed.
    fn requeue(
        &mut self,
        now: Time,
        key: TaskKey,
        end: TaskEnd,
        counts_against_task: bool,
    ) -> NextState {
        if self.units.get(key.0).is_some_and(Entry::is_gang) {
            // A reservation for some of the gang's tasks does not cover this task, which waits now
            // too.
            self.cancel_reservations(|reservation| reservation.unit == key.0);
        }
        let Some(entry) = self.units.get_mut(key.0) else {
            return NextState::Done;
        };
        let attempts = entry.unit.attempts.max(1);
        let task = entry.tasks.entry(key.1).or_default();
        if end == TaskEnd::Checkpointed {
            task.preemptions += 1;
        }
        let is_failure = end.is_failure();
        // Failures that are blamed on workers are bounded too, so that a task is not retried
        // forever.
        if is_failure && (counts_against_task || task.worker_failures >= attempts) {
            task.failures += 1;
        } else if is_failure {
            task.worker_failures += 1;
        }
        if is_failure && task.failures >= attempts {
            return given_up("all attempts failed");
        }
        if end == TaskEnd::Lost {
            task.losses += 1;
        } else if is_failure || end == TaskEnd::Succeeded {
            task.losses = 0;
        }
        // The first loss is rarely the task's doing. A task that is lost again may crash its workers.
        let repeated_losses = task.losses.saturating_sub(1);
        let failures = task.failures + task.worker_failures + repeated_losses;
        let until = now + self.cfg.backoff_after(failures);
        let is_lost_again = end == TaskEnd::Lost && repeated_losses > 0;
        // Only a service's replica is queued again after a success.
        if is_failure || is_lost_again || end == TaskEnd::Succeeded {
            task.backoff_until = Some(until);
            entry.in_backoff += 1;
            self.queues.add_backoff(until, key);
        } else {
            if entry.waiting.is_empty() {
                entry.last_progress = now;
            }
            entry.waiting.insert(key.1);
        }
        self.update_queue(key.0);
        self.needs_pass = true;
        NextState::Waiting
    }
}

/// Returns why a task that must not be repeated is given up after `end`. Returns `None` if the task
/// did not run, or if it succeeded: a service's replica that exits is started again.
const fn refusal_to_repeat(end: TaskEnd) -> Option<&'static str> {
    match end {
        TaskEnd::Lost => Some("it may have run and must not be repeated"),
        TaskEnd::Failed => Some("it failed and must not be repeated"),
        TaskEnd::Stopped | TaskEnd::Checkpointed => Some("it was stopped and must not be repeated"),
        TaskEnd::Succeeded | TaskEnd::StartFailed | TaskEnd::NotStarted => None,
    }
}

fn given_up(reason: &str) -> NextState {
    NextState::GivenUp {
        reason: reason.to_owned(),
    }
}
