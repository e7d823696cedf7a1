//! Counts the crashes of workers under a task.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, TaskKey};

/// The most lapsed runs of a task that are remembered.
const MAX_LAPSED: usize = 4;

/// The crashes of workers under one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Crashes {
    /// The number of workers that have crashed while they had, or may have had, a run of the task.
    pub(crate) count: u32,
    /// For how many of them it is known that the run had begun.
    certain: u32,
    /// The last run that was counted.
    counted_run: u32,
    /// The runs that have lapsed on a worker that was silent, oldest first. If the worker comes back as another
    /// incarnation, it may have crashed under the run.
    lapsed: Vec<(u32, Incarnation)>,
}

/// The runs of a gang under which workers have crashed. A crash under any member ends the run of the whole gang.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct GangCrashes(BTreeSet<u32>);

impl GangCrashes {
    /// Counts a run. Returns how many were counted.
    pub(crate) fn record(&mut self, run: u32) -> u32 {
        self.0.insert(run);
        self.count()
    }

    pub(crate) fn count(&self) -> u32 {
        u32::try_from(self.0.len()).unwrap_or(u32::MAX)
    }
}

/// A crash of a worker that had, or may have had, a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The task.
    pub key: TaskKey,
    /// The run.
    pub run: u32,
    /// Whether the run is known to have begun. Its end may not have been read.
    pub is_certain: bool,
    /// Whether the worker had only tasks of the same step.
    pub is_alone: bool,
}

impl Crashes {
    /// Counts a crash, unless that of its run is counted already. Returns whether it was counted.
    pub(crate) fn record(&mut self, crash: &Crash) -> bool {
        let lapsed = self.lapsed.iter().position(|&(run, _)| run == crash.run);
        if let Some(at) = lapsed {
            self.lapsed.remove(at);
        } else if crash.run <= self.counted_run {
            return false;
        }
        self.counted_run = self.counted_run.max(crash.run);
        self.count += 1;
        self.certain += u32::from(crash.is_certain);
        true
    }

    /// Remembers a run that has lapsed, unless a crash under it is counted already.
    pub(crate) fn record_lapse(&mut self, run: u32, incarnation: Incarnation) {
        if run <= self.counted_run {
            return;
        }
        if self.lapsed.len() == MAX_LAPSED {
            self.lapsed.remove(0);
        }
        self.lapsed.push((run, incarnation));
    }

    pub(crate) fn forget_lapse(&mut self, run: u32) {
        self.lapsed.retain(|&(lapsed, _)| lapsed != run);
    }

    pub(crate) fn lapsed(&self) -> impl Iterator<Item = (u32, &Incarnation)> {
        self.lapsed
            .iter()
            .map(|(run, incarnation)| (*run, incarnation))
    }

    /// Returns whether the crash under a run is counted, or that under a later one.
    pub(crate) const fn has_counted(&self, run: u32) -> bool {
        self.counted_run >= run
    }

    pub(crate) const fn is_uncertain(&self) -> bool {
        self.certain < self.count
    }

    /// Returns whether there are enough crashes to give the task up after `crash`, which was counted last. A crash may have
    /// another cause, so it takes `limit` of them, all certain and the last one without tasks of other jobs that could have caused it.
    /// Otherwise it takes one more, or two more if fewer than two are certain.
    pub(crate) fn is_conclusive(&self, crash: &Crash, limit: u32) -> bool {
        let is_proof = crash.is_alone && self.certain >= limit;
        self.count >= self.most(limit) || (self.count >= limit && is_proof)
    }

    /// Returns the number of crashes after which the task is given up, whatever is known of the last one.
    pub(crate) const fn most(&self, limit: u32) -> u32 {
        if self.certain > 1 {
            limit + 1
        } else {
            limit + 2
        }
    }
}
