//! What follows from the end of an attempt.

use model::{Repeat, TaskId, Time};

use crate::{
    NextState, Placer, TaskEnd,
    health::{Health, Trust},
    units::{Entry, Placed, TaskKey, remember},
};

impl Placer {
    /// Frees what a task held, and says what follows.
    pub fn task_ended(&mut self, now: Time, task: &TaskId, end: TaskEnd) -> NextState {
        let Some(ix) = self.units.find(&task.unit) else {
            return NextState::Done;
        };
        let key = (ix, task.index);
        let placed = self.release(key);
        let counted = placed.is_none_or(|placed| self.judge(now, key, &placed, end));
        let Some(entry) = self.units.get_mut(ix) else {
            return NextState::Done;
        };
        let service = entry.is_service();
        if end == TaskEnd::Succeeded && !service {
            entry.tasks.remove(&task.index);
            return NextState::Done;
        }
        let surplus = task.index >= entry.unit.kind.tasks();
        if entry.cancelled || surplus {
            entry.tasks.remove(&task.index);
        }
        if surplus {
            return NextState::Done;
        }
        // Also of a cancelled unit: it may be queued again, as after a recall that was lifted.
        if entry.unit.repeat == Repeat::Never
            && let Some(reason) = not_repeatable(end)
        {
            return given_up(reason);
        }
        if entry.cancelled {
            return NextState::Waiting;
        }
        self.wait_again(now, key, end, counted)
    }

    /// Takes an end into the records of worker, unit and name. Returns whether a failure counts
    /// against the task.
    fn judge(&mut self, now: Time, key: TaskKey, placed: &Placed, end: TaskEnd) -> bool {
        let slot = placed.slot;
        let Some(entry) = self.units.get_mut(key.0) else {
            return true;
        };
        if end == TaskEnd::Succeeded {
            entry.succeeded(slot);
            let ran = now.since(placed.since);
            self.learning.of_mut(entry.name).ran(ran);
            self.workers.with_health(slot, Health::succeeded, &self.cfg);
            return true;
        }
        if !end.is_failure() {
            let undecided = Health::probe_undecided;
            self.workers.with_health(slot, undecided, &self.cfg);
            return true;
        }
        let (works, fails) = (entry.works_elsewhere(slot), entry.fails_elsewhere(slot));
        entry.failed(slot);
        remember(&mut entry.tasks.entry(key.1).or_default().failed_on, slot);
        let cfg = &self.cfg;
        let blamed = self.workers.with_health(
            slot,
            |health| health.failed(now, key.0, works, fails, cfg),
            cfg,
        );
        if let Trust::Quarantined { until } = self.workers.get(slot).health.trust {
            self.quarantined.insert((until, slot));
            self.drop_groups(|group| group.rooms.contains_key(&slot));
        }
        !blamed
    }

    /// Queues a task again after its attempt has ended, at once or after a backoff.
    fn wait_again(&mut self, now: Time, key: TaskKey, end: TaskEnd, counted: bool) -> NextState {
        if self.units.get(key.0).is_some_and(Entry::is_gang) {
            // Room that is kept for some of its tasks is no longer room for all that wait.
            self.drop_groups(|group| group.unit == key.0);
        }
        let Some(entry) = self.units.get_mut(key.0) else {
            return NextState::Done;
        };
        let attempts = entry.unit.attempts.max(1);
        let task = entry.tasks.entry(key.1).or_default();
        if end == TaskEnd::Checkpointed {
            task.preempted += 1;
        }
        let failed = end.is_failure();
        // Blame on workers is bounded too: a task is not tried forever.
        if failed && (counted || task.uncounted >= attempts) {
            task.failures += 1;
        } else if failed {
            task.uncounted += 1;
        }
        if failed && task.failures >= attempts {
            return given_up("all attempts failed");
        }
        let until = now + self.cfg.backoff_after(task.failures + task.uncounted);
        if failed || end == TaskEnd::Succeeded {
            task.due = Some(until);
            entry.delayed += 1;
            self.queues.delay(until, key);
        } else {
            if entry.waiting.is_empty() {
                entry.since = now;
            }
            entry.waiting.insert(key.1);
        }
        self.file(key.0);
        self.dirty = true;
        NextState::Waiting
    }
}

/// Why a task that must not be repeated is given up after such an end.
const fn not_repeatable(end: TaskEnd) -> Option<&'static str> {
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
