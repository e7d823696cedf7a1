//! A stand-in worker that follows the platform's rules: it checks fencing tokens, ends runs whose lease
//! has lapsed on its own clock, and lists its runs and their ends.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use jobs::{End, EndKind, TaskKey};
use model::{Size, Time};
use sched::{EndedRow, Listing, RunningRow, StartAnswer, StartOrder, WorkerInfo};

use super::trace::Acknowledgement;

/// How long a run takes to restore a checkpoint.
const RESTORE_TIME: Duration = Duration::from_millis(600);

/// How much work a run does between two checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);

/// The longest lease, in milliseconds on the host's clock. A longer one is shortened to it.
pub const MAX_LEASE_MS: u64 = 10_000;

/// How long after a host has shrunk its former size still counts: `contactMs` and one heartbeat.
const RESIZE_GRACE: Duration = Duration::from_millis(5_500);

/// A run on a host.
#[derive(Clone, Debug)]
pub(super) struct HostRun {
    pub(super) run: u32,
    pub(super) size: Size,
    /// When and how it ends by itself; `None` while its gang is incomplete.
    pub(super) ends: Option<(Time, EndKind)>,
    /// The work that it saves, if its step saves progress.
    pub(super) saved: Option<SavedWork>,
    /// The checkpoint that it resumed from.
    checkpoint: String,
}

impl HostRun {
    /// Returns the checkpoint that the run has saved at the last interval, or saves if it is stopped now. The members
    /// of a gang do no work before all of them are there.
    fn saved_checkpoint(&self, now: Time, key: TaskKey, is_stopped: bool) -> String {
        let is_working = self.ends.is_some();
        let Some(saved) = self.saved.filter(|_| is_working) else {
            return self.checkpoint.clone();
        };
        let added = now - saved.since;
        let interval = CHECKPOINT_INTERVAL.as_millis();
        let added_ms = match added.as_millis() {
            ms if is_stopped => ms,
            ms if ms < interval => return self.checkpoint.clone(),
            ms => ms - ms % interval,
        };
        let total_ms = saved.before.as_millis() + added_ms;
        format!("{total_ms}@{key}#{}", self.run)
    }
}

/// The work that a run saves in a checkpoint when it is stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct SavedWork {
    /// The work that earlier runs have saved.
    pub(super) before: Duration,
    /// When the run began to add to it, after restoring the checkpoint.
    since: Time,
}

impl SavedWork {
    /// Returns the saved work of a run that begins now and resumes from `checkpoint`: the saved
    /// milliseconds in decimal, and the run that has saved it.
    fn resume(now: Time, checkpoint: &str) -> Self {
        let saved_ms = checkpoint.split('@').next().and_then(|ms| ms.parse().ok());
        let before = Duration::from_millis(saved_ms.unwrap_or(0));
        let restore = if before.is_zero() {
            Duration::ZERO
        } else {
            RESTORE_TIME
        };
        Self {
            before,
            since: now + restore,
        }
    }

    /// Returns how long the run still takes if the whole work takes `run_time`.
    pub(super) fn remaining(&self, now: Time, run_time: Duration) -> Duration {
        (self.since - now) + run_time.saturating_sub(self.before)
    }
}

/// A stand-in worker. See the [module documentation](super).
#[derive(Debug)]
pub struct Host {
    pub(super) info: WorkerInfo,
    /// How much slower its clock is than true time, per mille.
    clock_slow_per_mille: u64,
    /// How long runs continue after their lease, in milliseconds; 0 without a mutation.
    overrun_ms: u64,
    /// The factor of the run times of tasks.
    pub(super) run_time_factor: f64,
    pub(super) started_at: Time,
    /// Whether the list of runs tells their checkpoints, and gangs save them too.
    pub(super) lists_checkpoints: bool,
    fence: u64,
    pub(super) runs: BTreeMap<TaskKey, HostRun>,
    /// The highest run number of each task that was stopped or has ended.
    last_ended_run: HashMap<TaskKey, u32>,
    ended: Vec<EndedRow>,
    last_end_number: u64,
    pub(super) is_up: bool,
    /// The end of the lease of all runs, and the end of the last lapsed lease, on the host's clock.
    lease_until_ms: u64,
    lapsed_at_ms: u64,
    /// The time of each unacknowledged end, by its number.
    ended_at: HashMap<u64, Time>,
    /// The sizes before changes, and until when each still counts.
    former_sizes: Vec<(Size, Time)>,
}

impl Host {
    /// Returns a host without runs. Its clock is slow by `clock_slow_per_mille`, and its runs continue for
    /// `overrun_ms` milliseconds after their lease.
    #[must_use]
    pub fn new(info: WorkerInfo, clock_slow_per_mille: u64, overrun_ms: u64) -> Self {
        Self {
            info,
            clock_slow_per_mille,
            overrun_ms,
            run_time_factor: 1.0,
            started_at: Time::ZERO,
            lists_checkpoints: false,
            fence: 0,
            runs: BTreeMap::new(),
            last_ended_run: HashMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            is_up: true,
            lease_until_ms: 0,
            lapsed_at_ms: 0,
            ended_at: HashMap::new(),
            former_sizes: Vec::new(),
        }
    }

    /// Returns the host with run times multiplied by `factor`.
    #[must_use]
    pub(super) fn with_run_time_factor(self, factor: f64) -> Self {
        Self {
            run_time_factor: factor,
            ..self
        }
    }

    /// Returns the host, which lists the checkpoints of its runs and saves those of gangs.
    #[must_use]
    pub fn with_listed_checkpoints(self) -> Self {
        Self {
            lists_checkpoints: true,
            ..self
        }
    }

    /// Extends the lease of all runs, to [`MAX_LEASE_MS`] from now at most; an earlier `until_ms` leaves it as
    /// it is. Records the end of a lease that has lapsed before this renewal.
    fn renew(&mut self, now: Time, until_ms: Option<u64>) {
        let clock = self.clock_ms(now);
        if self.lease_until_ms <= clock {
            self.lapsed_at_ms = self.lease_until_ms;
        }
        let until_ms = until_ms.unwrap_or(0).min(clock + MAX_LEASE_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Returns whether the host is up.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.is_up
    }

    /// Returns the host's entry in the directory of workers.
    #[must_use]
    pub const fn info(&self) -> &WorkerInfo {
        &self.info
    }

    pub(super) fn name(&self) -> &Arc<str> {
        &self.info.name
    }

    /// Returns the reading of the host's clock, in milliseconds since its last start.
    #[must_use]
    pub fn clock_ms(&self, now: Time) -> u64 {
        let passed = u64::try_from((now - self.started_at).as_millis()).unwrap_or(0);
        passed - passed * self.clock_slow_per_mille / 1_000
    }

    /// Returns a true time at which the host's clock has reached `clock_ms`.
    fn true_time(&self, clock_ms: u64) -> Time {
        let passed = clock_ms * 1_000 / (1_000 - self.clock_slow_per_mille);
        self.started_at + std::time::Duration::from_millis(passed + 1)
    }

    /// Changes the size of the host. Its runs go on.
    pub fn resize(&mut self, now: Time, size: Size) {
        self.former_sizes.retain(|&(_, until)| now < until);
        self.former_sizes.push((self.info.size, now + RESIZE_GRACE));
        self.info.size = size;
    }

    /// Returns the size that the runs on the host must fit into now.
    pub(super) fn size_bound(&self, now: Time) -> Size {
        let former = self.former_sizes.iter().filter(|&&(_, until)| now < until);
        former.fold(self.info.size, |bound, &(size, _)| {
            Size::new(
                bound.milli_processors.max(size.milli_processors),
                bound.memory_mb.max(size.memory_mb),
                bound.accelerators.max(size.accelerators),
            )
        })
    }

    /// Crashes the host, which loses its runs and its state. Returns the runs that were lost.
    pub(super) fn crash(&mut self) -> Vec<(TaskKey, u32)> {
        self.is_up = false;
        let runs = std::mem::take(&mut self.runs)
            .into_iter()
            .map(|(key, run)| (key, run.run))
            .collect();
        self.last_ended_run.clear();
        self.ended.clear();
        self.last_end_number = 0;
        self.fence = 0;
        self.lease_until_ms = 0;
        self.lapsed_at_ms = 0;
        self.ended_at.clear();
        runs
    }

    /// Restarts the host under the same name with a new start time.
    pub fn restart(&mut self, now: Time) {
        self.is_up = true;
        self.started_at = now;
        self.info.started_unix_ms = now.as_ms() + 1;
    }

    fn check_fence(&mut self, fence: u64) -> bool {
        let is_current = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_current
    }

    /// Handles an order to start a task that reserves `size`, and whose progress is saved if `saves` is true.
    /// Returns the answer, and whether the order began a new run.
    pub(super) fn start(
        &mut self,
        now: Time,
        start: &StartOrder,
        size: Size,
        saves: bool,
    ) -> (StartAnswer, bool) {
        if !self.check_fence(start.fence) {
            return (StartAnswer::Fenced, false);
        }
        if self
            .runs
            .get(&start.key)
            .is_some_and(|run| run.run == start.run)
        {
            self.renew(now, Some(start.lease_until_ms));
            return (StartAnswer::Started, false);
        }
        let is_ended = self
            .last_ended_run
            .get(&start.key)
            .is_some_and(|&run| run >= start.run);
        // The lease of an order that is refused as outdated is taken nevertheless.
        self.renew(now, Some(start.lease_until_ms));
        if is_ended
            || self.runs.contains_key(&start.key)
            || start.lease_until_ms <= self.clock_ms(now)
        {
            return (StartAnswer::Outdated, false);
        }
        let run = HostRun {
            run: start.run,
            size,
            ends: None,
            saved: saves.then(|| SavedWork::resume(now, &start.checkpoint)),
            checkpoint: start.checkpoint.clone(),
        };
        self.runs.insert(start.key, run);
        (StartAnswer::Started, true)
    }

    /// Handles an order to stop a run. Returns whether the run was present, or `None` for an outdated fence.
    pub(super) fn stop(&mut self, now: Time, key: TaskKey, run: u32, fence: u64) -> Option<bool> {
        if !self.check_fence(fence) {
            return None;
        }
        let was_there = self.runs.get(&key).is_some_and(|r| r.run == run);
        if was_there {
            self.end(now, key, EndKind::Interrupted);
        } else {
            let last_ended_run = self.last_ended_run.entry(key).or_default();
            *last_ended_run = (*last_ended_run).max(run);
        }
        Some(was_there)
    }

    /// Returns whether the run of a task saves its progress when it is stopped.
    pub(super) fn saves(&self, key: &TaskKey) -> bool {
        self.runs.get(key).is_some_and(|run| run.saved.is_some())
    }

    /// Ends the run of a task and returns its number, or `None` if the task does not run here.
    pub(super) fn end(&mut self, now: Time, key: TaskKey, kind: EndKind) -> Option<u32> {
        let run = self.runs.remove(&key)?;
        let last_ended_run = self.last_ended_run.entry(key).or_default();
        *last_ended_run = (*last_ended_run).max(run.run);
        self.last_end_number += 1;
        self.ended_at.insert(self.last_end_number, now);
        let saves = run.saved.is_some() && kind == EndKind::Interrupted;
        let checkpoint = saves.then(|| run.saved_checkpoint(now, key, true));
        let end = End {
            key,
            run: run.run,
            kind,
            checkpoint: checkpoint.unwrap_or_default(),
        };
        self.ended.push(EndedRow {
            number: self.last_end_number,
            end,
        });
        Some(run.run)
    }

    /// Returns the checkpoint of the last end.
    pub(super) fn last_checkpoint(&self) -> &str {
        self.ended.last().map_or("", |row| &row.end.checkpoint)
    }

    /// Makes the members of a gang that has gathered work from now on.
    pub(super) fn begin_work(&mut self, now: Time, key: TaskKey) {
        if let Some(run) = self.runs.get_mut(&key) {
            let checkpoint = &run.checkpoint;
            run.saved = (run.saved).map(|_| SavedWork::resume(now, checkpoint));
        }
    }

    /// Handles a poll: forgets the acknowledged ends and renews leases. Returns the acknowledged ends with their
    /// times, or `None` for an outdated fence.
    pub(super) fn poll(
        &mut self,
        now: Time,
        fence: u64,
        acknowledged: u64,
        lease_until_ms: Option<u64>,
    ) -> Option<Vec<(End, Time, Acknowledgement)>> {
        if !self.check_fence(fence) {
            return None;
        }
        self.renew(now, lease_until_ms);
        let count = self.ended.partition_point(|row| row.number <= acknowledged);
        let forgotten: Vec<EndedRow> = self.ended.drain(..count).collect();
        let acknowledged_ends = forgotten.into_iter().map(|row| {
            let ended_at = self.ended_at.remove(&row.number).unwrap_or_default();
            let acknowledgement = Acknowledgement {
                kind: row.end.kind,
                ended_at_ms: self.clock_ms(ended_at),
                lapsed_at_ms: self.lapsed_at_ms,
            };
            (row.end, ended_at, acknowledgement)
        });
        Some(acknowledged_ends.collect())
    }

    /// Returns whether there are unacknowledged ends.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the running and ended runs, the answer to a poll.
    #[must_use]
    pub fn list(&self, now: Time) -> Listing {
        let mut running: Vec<RunningRow> = self
            .runs
            .iter()
            .map(|(&key, run)| RunningRow {
                key,
                run: run.run,
                checkpoint: if self.lists_checkpoints && run.saved.is_some() {
                    run.saved_checkpoint(now, key, false)
                } else {
                    String::new()
                },
                ..RunningRow::default()
            })
            .collect();
        running.sort_by_key(|row| row.key);
        Listing {
            started_unix_ms: self.info.started_unix_ms,
            clock_ms: self.clock_ms(now),
            running,
            ended: self.ended.clone(),
        }
    }

    /// Returns the next end of a run: its time, task and kind. When the lease lapses, all runs are interrupted.
    pub(super) fn next_end(&self) -> Option<(Time, TaskKey, EndKind)> {
        let lapse_ms = self.lease_until_ms + self.overrun_ms;
        let lapse = (self.true_time(lapse_ms), EndKind::Interrupted);
        let ends = self.runs.iter().map(|(&key, run)| {
            // The lease lapses on the host's own clock, which is read in whole milliseconds.
            let own = run.ends.filter(|&(at, _)| self.clock_ms(at) <= lapse_ms);
            let (at, kind) = own.unwrap_or(lapse);
            (at, key, kind)
        });
        ends.min_by_key(|&(at, key, _)| (at, key))
    }

    pub(super) fn used(&self) -> Size {
        self.runs
            .values()
            .fold(Size::ZERO, |used, run| used + run.size)
    }
}
