//! Reports why work that ran before does not run, for the log.

use std::collections::BTreeMap;

use jobs::StepKey;
use model::Time;

use crate::{Action, Scheduler, StartsHeld, WaitReason};

/// What was reported last, so that only changes are.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    /// Why steps wait.
    steps: BTreeMap<StepKey, WaitReason>,
    /// Why no task may start.
    starts_held: Option<StartsHeld>,
}

impl Scheduler {
    /// Reports the workers with runs that have not been heard of for some time, and how long their leases may last.
    pub(crate) fn report_lapses(&mut self, now: Time) {
        let after = self.cfg.bound_after;
        for worker in self.fleet.iter_mut() {
            let ends_at = worker.leases_end();
            let is_due = worker.unheard_for(now) >= after && now < ends_at;
            if !is_due || worker.reported_lapse == Some(ends_at) {
                continue;
            }
            worker.reported_lapse = Some(ends_at);
            let runs = worker.sent_runs().count();
            if runs > 0 {
                self.actions.push(Action::LapseAwaited {
                    worker: worker.id,
                    runs,
                    wait: ends_at - now,
                });
            }
        }
    }

    /// Reports why a step waits, if it has run before and the reason has changed.
    pub(crate) fn report_wait(&mut self, step: StepKey, reason: WaitReason) {
        if self.waits.steps.insert(step, reason) == Some(reason) {
            return;
        }
        let Some(entry) = self.jobs.get(&step.job) else {
            return;
        };
        let waiting = entry.progress.waiting(&entry.job, step);
        let has_run = |&&index: &&u32| entry.progress.task(step.task(index)).run > 0;
        let tasks = waiting.iter().filter(has_run).count();
        if tasks > 0 {
            self.actions.push(Action::Waits {
                step,
                tasks,
                reason,
            });
        }
    }

    /// Forgets the steps that no longer wait.
    pub(crate) fn forget_waits(&mut self) {
        let waiting = &self.waiting;
        self.waits.steps.retain(|step, _| waiting.contains(step));
    }

    /// Reports whether tasks wait because none may start, if that has changed.
    pub(crate) fn report_starts_held(&mut self, now: Time) {
        let cause = if self.waiting.is_empty() || self.may_start(now) {
            None
        } else if self.may_order(now) {
            Some(StartsHeld::WorkersUnread)
        } else {
            Some(StartsHeld::TableUnconfirmed)
        };
        if self.waits.starts_held != cause {
            self.waits.starts_held = cause;
            self.actions.push(Action::StartsHeld(cause));
        }
    }
}
