//! A worker that follows the platform's rules: fences, leases on its own clock, lists of runs.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use jobs::{End, EndKind, TaskKey};
use model::{Size, Time};
use sched::{EndedRow, Listing, RunningRow, StartAnswer, StartOrder, WorkerInfo};

/// How long a run takes to restore what was saved.
const RESTORE: Duration = Duration::from_millis(600);

/// A run on a host.
#[derive(Clone, Debug)]
pub(super) struct HostRun {
    pub(super) run: u32,
    pub(super) size: Size,
    /// When its lease ends, on the host's clock.
    pub(super) lease_until_ms: u64,
    /// When it ends by itself, and how; none for a gang that is not complete.
    pub(super) ends: Option<(Time, EndKind)>,
    /// What it saves, if it does.
    pub(super) saved: Option<Saved>,
}

/// Work that is saved when a run is stopped.
#[derive(Clone, Copy, Debug)]
pub(super) struct Saved {
    /// What earlier runs have saved.
    pub(super) before: Duration,
    /// When the run began to add to it.
    since: Time,
}

impl Saved {
    /// Of a run that begins now and resumes from `checkpoint`.
    fn resume(now: Time, checkpoint: &str) -> Self {
        let before = Duration::from_millis(checkpoint.parse().unwrap_or(0));
        let restore = if before.is_zero() {
            Duration::ZERO
        } else {
            RESTORE
        };
        Self {
            before,
            since: now + restore,
        }
    }

    /// How long the run has to go on for work of `whole`.
    pub(super) fn left(&self, now: Time, whole: Duration) -> Duration {
        (self.since - now) + whole.saturating_sub(self.before)
    }

    /// The checkpoint at a time.
    fn checkpoint(&self, now: Time) -> String {
        (self.before + (now - self.since)).as_millis().to_string()
    }
}

/// A worker. See the [module documentation](super).
#[derive(Debug)]
pub struct Host {
    pub(super) info: WorkerInfo,
    /// How much slower its clock is than true time, in thousandths.
    slow_milli: u64,
    /// For how long runs go on after their lease; only a mutation makes it more than none.
    overrun_ms: u64,
    pub(super) born_at: Time,
    fence: u64,
    pub(super) runs: BTreeMap<TaskKey, HostRun>,
    /// The highest run of each task that was stopped or has ended.
    past: HashMap<TaskKey, u32>,
    ended: Vec<EndedRow>,
    last_number: u64,
    pub(super) is_up: bool,
    /// Until when the host's lease runs, on its clock, and when it lapsed last.
    lease_until_ms: u64,
    lapsed_at_ms: u64,
    /// When each end that is not acknowledged came, on the host's clock.
    ended_at_ms: HashMap<u64, u64>,
}

impl Host {
    /// A host that runs nothing. Its clock is so many thousandths slow, and runs go on for so long after their
    /// lease.
    #[must_use]
    pub fn new(info: WorkerInfo, slow_milli: u64, overrun_ms: u64) -> Self {
        Self {
            info,
            slow_milli,
            overrun_ms,
            born_at: Time::ZERO,
            fence: 0,
            runs: BTreeMap::new(),
            past: HashMap::new(),
            ended: Vec::new(),
            last_number: 0,
            is_up: true,
            lease_until_ms: 0,
            lapsed_at_ms: 0,
            ended_at_ms: HashMap::new(),
        }
    }

    /// Renews the host's lease, which never shortens. A lease that has lapsed meanwhile is noted.
    fn renew(&mut self, now: Time, until_ms: Option<u64>) {
        let clock = self.clock_ms(now);
        if self.lease_until_ms <= clock {
            self.lapsed_at_ms = self.lease_until_ms;
        }
        self.lease_until_ms = self.lease_until_ms.max(until_ms.unwrap_or(0));
    }

    /// Whether it is up.
    #[must_use]
    pub const fn is_up(&self) -> bool {
        self.is_up
    }

    /// How the directory describes it.
    #[must_use]
    pub const fn info(&self) -> &WorkerInfo {
        &self.info
    }

    pub(super) fn name(&self) -> &Arc<str> {
        &self.info.name
    }

    /// What its clock shows, in milliseconds since its life began.
    #[must_use]
    pub fn clock_ms(&self, now: Time) -> u64 {
        let passed = u64::try_from((now - self.born_at).as_millis()).unwrap_or(0);
        passed - passed * self.slow_milli / 1_000
    }

    /// When the host's clock shows `clock_ms`.
    fn true_time(&self, clock_ms: u64) -> Time {
        let passed = clock_ms * 1_000 / (1_000 - self.slow_milli);
        self.born_at + std::time::Duration::from_millis(passed + 1)
    }

    /// The host crashes: it runs nothing and remembers nothing. The runs are returned.
    pub(super) fn crash(&mut self) -> Vec<(TaskKey, u32)> {
        self.is_up = false;
        let runs = std::mem::take(&mut self.runs)
            .into_iter()
            .map(|(key, run)| (key, run.run))
            .collect();
        self.past.clear();
        self.ended.clear();
        self.last_number = 0;
        self.fence = 0;
        self.lease_until_ms = 0;
        self.lapsed_at_ms = 0;
        self.ended_at_ms.clear();
        runs
    }

    /// The host starts again under its name.
    pub fn restart(&mut self, now: Time) {
        self.is_up = true;
        self.born_at = now;
        self.info.started_unix_ms = now.as_ms() + 1;
    }

    fn check_fence(&mut self, fence: u64) -> bool {
        let is_current = fence >= self.fence;
        self.fence = self.fence.max(fence);
        is_current
    }

    /// An order to start a task of that size, which may save what it does. `Started` together with true if
    /// the run has begun just now.
    pub(super) fn start(
        &mut self,
        now: Time,
        start: &StartOrder,
        fence: u64,
        size: Size,
        saves: bool,
    ) -> (StartAnswer, bool) {
        if !self.check_fence(fence) {
            return (StartAnswer::Fenced, false);
        }
        if self
            .runs
            .get(&start.key)
            .is_some_and(|run| run.run == start.run)
        {
            return (StartAnswer::Started, false);
        }
        let is_past = self
            .past
            .get(&start.key)
            .is_some_and(|&run| run >= start.run);
        if is_past
            || self.runs.contains_key(&start.key)
            || start.lease_until_ms <= self.clock_ms(now)
        {
            return (StartAnswer::Outdated, false);
        }
        self.renew(now, Some(start.lease_until_ms));
        let run = HostRun {
            run: start.run,
            size,
            lease_until_ms: start.lease_until_ms,
            ends: None,
            saved: saves.then(|| Saved::resume(now, &start.checkpoint)),
        };
        self.runs.insert(start.key, run);
        (StartAnswer::Started, true)
    }

    /// An order to stop. Returns whether the run was there.
    pub(super) fn stop(&mut self, now: Time, key: TaskKey, run: u32, fence: u64) -> Option<bool> {
        if !self.check_fence(fence) {
            return None;
        }
        let was_there = self.runs.get(&key).is_some_and(|r| r.run == run);
        if was_there {
            self.end(now, key, EndKind::Interrupted);
        } else {
            let past = self.past.entry(key).or_default();
            *past = (*past).max(run);
        }
        Some(was_there)
    }

    /// Whether a run saves what it does when it is stopped.
    pub(super) fn saves(&self, key: &TaskKey) -> bool {
        self.runs.get(key).is_some_and(|run| run.saved.is_some())
    }

    /// A run ends.
    pub(super) fn end(&mut self, now: Time, key: TaskKey, kind: EndKind) -> Option<u32> {
        let run = self.runs.remove(&key)?;
        let past = self.past.entry(key).or_default();
        *past = (*past).max(run.run);
        self.last_number += 1;
        self.ended_at_ms
            .insert(self.last_number, self.clock_ms(now));
        let end = End {
            key,
            run: run.run,
            kind,
            checkpoint: run
                .saved
                .filter(|_| kind == EndKind::Interrupted)
                .map(|saved| saved.checkpoint(now))
                .unwrap_or_default(),
        };
        self.ended.push(EndedRow {
            number: self.last_number,
            end,
        });
        Some(run.run)
    }

    /// A poll: forgets what is acknowledged and renews leases. Returns the ends that are taken note of by
    /// it, or none for an old fence. An end does not count as taken note of if the host's lease has lapsed
    /// after it: its task may have been started elsewhere.
    pub(super) fn poll(
        &mut self,
        now: Time,
        fence: u64,
        acknowledged: u64,
        lease_until_ms: Option<u64>,
    ) -> Option<Vec<EndedRow>> {
        if !self.check_fence(fence) {
            return None;
        }
        let clock = self.clock_ms(now);
        for run in self.runs.values_mut() {
            if let Some(until) = lease_until_ms.filter(|&until| until > clock) {
                run.lease_until_ms = run.lease_until_ms.max(until);
            }
        }
        self.renew(now, lease_until_ms);
        let count = self.ended.partition_point(|row| row.number <= acknowledged);
        let (lapsed_at, ended_at) = (self.lapsed_at_ms, &mut self.ended_at_ms);
        let forgotten = self.ended.drain(..count);
        let noted = forgotten.filter(|row| {
            let at = ended_at.remove(&row.number);
            at.is_some_and(|at| at > lapsed_at)
        });
        Some(noted.collect())
    }

    /// Whether there are ends that are not acknowledged.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Its lists, as a poll is answered with them.
    #[must_use]
    pub fn list(&self, now: Time) -> Listing {
        let mut running: Vec<RunningRow> = self
            .runs
            .iter()
            .map(|(&key, run)| RunningRow {
                key,
                run: run.run,
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

    /// What happens next by itself: the task, when, and how. A lease that lapses interrupts.
    pub(super) fn next_end(&self) -> Option<(Time, TaskKey, EndKind)> {
        let ends = self.runs.iter().map(|(&key, run)| {
            let lapse_ms = run.lease_until_ms + self.overrun_ms;
            let lapse = (self.true_time(lapse_ms), EndKind::Interrupted);
            let (at, kind) = run.ends.filter(|own| own.0 <= lapse.0).unwrap_or(lapse);
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
