//! Requests approvals for a step while the steps before it still run.
//!
//! A request takes 0.2 s on average while nodes are busy with those of other jobs, and a job of short steps has less than
//! a second to spare. So the first approvals of a step are requested shortly before the steps that it depends on are
//! expected to end. They are requested so late that the tickets are still valid then.

use std::{collections::BTreeSet, time::Duration};

use jobs::StepKey;
use model::Time;

use crate::{Scheduler, ask::approval_count, decide::Demand};

/// How long before the expected end of a step's predecessors its approvals are requested, beyond the expected time to
/// the answer. It covers the network and the requests of other jobs in between.
const LEAD: Duration = Duration::from_millis(250);

/// The pause before approvals are requested again ahead if no node was free.
const RETRY: Duration = Duration::from_millis(60);

/// The steps for which approvals are to be requested ahead, by the time at which they are due.
#[derive(Debug, Default)]
pub(crate) struct Ahead {
    due: BTreeSet<(Time, StepKey)>,
}

impl Ahead {
    /// Returns when the next step is due.
    pub(crate) fn next_due(&self) -> Option<Time> {
        self.due.first().map(|&(at, _)| at)
    }

    fn pop(&mut self, now: Time) -> Option<StepKey> {
        let &(at, _) = self.due.first()?;
        (at <= now).then(|| self.due.pop_first().map(|(_, key)| key))?
    }
}

impl Scheduler {
    /// Schedules the requests of the steps that depend on a step whose last waiting tasks have just been started.
    pub(crate) fn plan_ahead(&mut self, now: Time, started: StepKey) {
        let Some(entry) = self.jobs.get(&started.job) else {
            return;
        };
        if !self.cfg.asks_ahead || !entry.progress.waiting(&entry.job, started).is_empty() {
            return;
        }
        let Some(cost) = self.policy(&entry.job).approval else {
            return;
        };
        let Some(step) = entry.job.steps.get(usize::from(started.step)) else {
            return;
        };
        let estimate = Duration::from_millis(step.estimate_ms);
        let expected = self.run_times.expected(&entry.job.queue.name, estimate);
        for (number, step) in (0_u16..).zip(&entry.job.steps) {
            if step.after.contains(&started.step) && !step.is_long_running {
                let lead = cost.of(approval_count(step)) + LEAD;
                let key = StepKey {
                    step: number,
                    ..started
                };
                self.ahead
                    .due
                    .insert((now + expected.saturating_sub(lead), key));
            }
        }
    }

    /// Requests the approvals that are due ahead.
    pub(crate) fn ask_ahead(&mut self, now: Time) {
        while let Some(key) = self.ahead.pop(now) {
            let Some(demand) = self.demand_ahead(key) else {
                continue;
            };
            let workers = self.unasked(now, &demand);
            if !self.request_approvals(now, &demand, &workers) {
                self.ahead.due.insert((now + RETRY, key));
            }
        }
    }

    /// Returns all tasks of a step that has no approvals yet and whose predecessors are at work; `None` if there is
    /// nothing to request ahead.
    fn demand_ahead(&self, key: StepKey) -> Option<Demand> {
        let entry = self.jobs.get(&key.job)?;
        let step = entry.job.steps.get(usize::from(key.step))?;
        let is_blocked = |&on: &u16| {
            let before = StepKey { step: on, ..key };
            !entry.progress.waiting(&entry.job, before).is_empty()
        };
        let is_over = entry.ended_at.is_some();
        let is_ready = entry.progress.is_ready(&entry.job, key);
        if is_over
            || is_ready
            || self.approvals.contains_key(&key)
            || step.after.iter().any(is_blocked)
        {
            return None;
        }
        let policy = self.policy(&entry.job);
        Some(Demand {
            key,
            job: entry.job.clone(),
            tasks: (0..step.tasks).collect(),
            pool: policy.pool.clone(),
            rank: policy.rank,
            approval: policy.approval,
        })
    }
}
