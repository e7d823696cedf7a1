//! Selects the running tasks that are preempted by urgent work.
//!
//! Under full load nearly all processors are in use, half of them by tasks that run for seconds.
//! Lookups that take half a second would find free capacity, on the workers that approvals allow,
//! only as those tasks end. A task that saves checkpoints loses only the time to restore one when
//! it is preempted, and its objective leaves time for that.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use jobs::TaskKey;
use model::{Size, Time, WorkerId};

use crate::worker::{Run, RunPhase, Worker};

/// The time for which a run cannot be preempted, so that a task that is preempted repeatedly still
/// makes progress. It is twice the longest time that the platform takes to restore a checkpoint
/// (0.6 s).
const MIN_RUN_TIME: Duration = Duration::from_millis(1_200);

/// The capacity of stopping runs that is already claimed by a step, by worker.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    claimed: HashMap<WorkerId, Size>,
}

impl Claims {
    /// Returns the capacity of a worker's stopping runs that no step has claimed.
    pub(crate) fn unclaimed(&self, worker: &Worker) -> Size {
        let stopping = worker
            .runs
            .values()
            .filter(|run| run.phase == RunPhase::Stopping)
            .fold(Size::ZERO, |sum, run| sum + run.size);
        let claimed = self.claimed.get(&worker.id).copied().unwrap_or_default();
        stopping - claimed
    }

    pub(crate) fn claim(&mut self, worker: WorkerId, size: Size) {
        *self.claimed.entry(worker).or_default() += size;
    }
}

/// Returns whether work of the rank `rank` may preempt a run.
fn is_preemptible(now: Time, run: &Run, rank: u32) -> bool {
    let has_run_long_enough = run.phase == RunPhase::Running && now >= run.since + MIN_RUN_TIME;
    has_run_long_enough && run.preemptible_below.is_some_and(|own| rank < own)
}

/// Returns the capacity occupied by those runs of a worker that work of the rank `rank` may
/// preempt.
pub(crate) fn preemptible_size(now: Time, worker: &Worker, rank: u32) -> Size {
    let runs = worker
        .runs
        .values()
        .filter(|run| is_preemptible(now, run, rank));
    runs.fold(Size::ZERO, |sum, run| sum + run.size)
}

/// Returns the runs of a worker to stop so that `available` plus their capacity holds `need`. The
/// runs that began last are stopped first: the others are likely to end soon by themselves.
pub(crate) fn victims(
    now: Time,
    worker: &Worker,
    rank: u32,
    mut available: Size,
    need: Size,
) -> Vec<TaskKey> {
    let mut runs: Vec<(&TaskKey, &Run)> = worker
        .runs
        .iter()
        .filter(|(_, run)| is_preemptible(now, run, rank))
        .collect();
    runs.sort_by_key(|&(key, run)| (Reverse(run.since), *key));
    let mut victims = Vec::new();
    for (&key, run) in runs {
        if need.fits(&available) {
            break;
        }
        available += run.size;
        victims.push(key);
    }
    victims
}
