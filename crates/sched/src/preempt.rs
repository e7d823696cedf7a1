//! Which running tasks make way for urgent work.
//!
//! Load pattern: nearly all processors are in use, half of them by tasks that run for seconds, and lookups of
//! half a second find room only as those end, on the workers that approvals allow. A task that saves what it
//! does loses only the time to restore it, and has time to spare.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use jobs::TaskKey;
use model::{Size, Time, WorkerId};

use crate::worker::{Run, RunPhase, Worker};

/// A run is left alone for so long, so that a task that makes way again and again still gets on. It is
/// twice the longest time that the platform takes to restore a checkpoint (0.6 s), rounded.
const LEAST_RUN: Duration = Duration::from_millis(1_200);

/// Room that is about to be free, by worker, as far as it is spoken for already.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    claimed: HashMap<WorkerId, Size>,
}

impl Claims {
    /// The room of a worker's stopping runs that nobody has spoken for.
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

/// Whether a run makes way for work of the rank `rank`.
fn yields(now: Time, run: &Run, rank: u32) -> bool {
    let is_settled = run.phase == RunPhase::Running && now >= run.since + LEAST_RUN;
    is_settled && run.yields_to.is_some_and(|own| rank < own)
}

/// The room that the runs of a worker hold that make way for work of the rank `rank`.
pub(crate) fn yielding(now: Time, worker: &Worker, rank: u32) -> Size {
    let runs = worker.runs.values().filter(|run| yields(now, run, rank));
    runs.fold(Size::ZERO, |sum, run| sum + run.size)
}

/// The runs of a worker to stop so that `room`, with theirs, holds `need`. Those that have begun last go
/// first: the others are likely to end by themselves soon.
pub(crate) fn victims(
    now: Time,
    worker: &Worker,
    rank: u32,
    mut room: Size,
    need: Size,
) -> Vec<TaskKey> {
    let mut runs: Vec<(&TaskKey, &Run)> = worker
        .runs
        .iter()
        .filter(|(_, run)| yields(now, run, rank))
        .collect();
    runs.sort_by_key(|&(key, run)| (Reverse(run.since), *key));
    let mut victims = Vec::new();
    for (&key, run) in runs {
        if need.fits(&room) {
            break;
        }
        room += run.size;
        victims.push(key);
    }
    victims
}
