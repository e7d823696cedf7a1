//! The scheduler's view of a worker.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque, btree_map::Entry},
    sync::Arc,
    time::Duration,
};

use jobs::{Crash, Step, StepKey, TaskKey};
use model::{Size, Time, WorkerId};

use crate::{PastLeases, SchedConfig, StopOrder, leases::LeaseBound, teams::ledger::Charge};

/// The longest estimate of tasks for a worker that crashes again and again, in milliseconds. It has crashed three times
/// within 30 s, so it stays up for about 10 s, and such a task meets a crash in one of five runs.
const UNSTEADY_ESTIMATE_MS: u64 = 2_000;

/// A worker as the platform's directory describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerInfo {
    /// The worker's id on the platform. Within the scheduler it has a [`WorkerId`].
    pub name: Arc<str>,
    /// The address where it receives orders.
    pub address: String,
    /// Its failure domain.
    pub domain: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// Its total size.
    pub size: Size,
    /// Its labels, such as its kind.
    pub labels: Vec<String>,
    /// Its rack, which is one of the labels.
    pub rack: Option<String>,
    /// Whether it is about to leave and accepts no new work.
    pub is_draining: bool,
    /// The version of its entry, which is higher than that of all earlier ones; 0 if it is not known.
    pub version: u64,
    /// When its present incarnation started, in Unix milliseconds on its own clock.
    pub started_unix_ms: u64,
}

/// The state of a run, as far as the scheduler knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The run is being stored; no order was sent yet.
    Pending,
    /// The run was read from the table after a takeover. Whether the worker has it is not known.
    Recorded,
    /// The start order was sent and is not answered.
    Ordered {
        /// The number of start orders that went unanswered.
        unanswered: u32,
    },
    /// The worker has the run.
    Running,
    /// The run is to be stopped.
    Stopping,
}

/// Which incarnation of its worker has begun a run, or still may, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BegunBy {
    /// One that takes the orders of this scheduler for usual leases: the one that is known has listed the run, or the clock
    /// in an answer has shown that. No later one can carry out a start order for the run.
    Known,
    /// That one or a later one.
    Any,
}

/// How far a task is suspected to crash the workers that start it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Suspicion {
    /// Too few workers have crashed under it, and either none under its step or others of its step have succeeded.
    None,
    /// A worker has crashed under it or under others of its step.
    Possible,
    /// So many workers have crashed under it that it runs apart from other work.
    Strong,
}

/// Whether a worker crashes again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Steadiness {
    /// It does not, or too many workers do.
    Steady,
    /// It does, and gets little and short work.
    Unsteady,
}

/// A run that occupies capacity on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    /// The run's number.
    pub(crate) number: u32,
    /// The size that is reserved for it on the worker.
    pub(crate) size: Size,
    /// What it counts against its team.
    pub(crate) charge: Charge,
    pub(crate) phase: RunPhase,
    /// When the worker last confirmed the run or an order about it. A list that was requested
    /// earlier may not contain the run.
    pub(crate) confirmed_at: Option<Time>,
    /// When the scheduler decided to start it.
    pub(crate) since: Time,
    /// When a stop of it became due, as a [contact time](Worker::contact_time).
    pub(crate) stop_due: Duration,
    /// When the leases of all its start orders have lapsed, so that the worker refuses those that are late. Zero
    /// if this scheduler has sent none.
    pub(crate) orders_lapse_at: Time,
    /// Until when an earlier scheduler may send the start order of the run, which any incarnation of the worker may carry out
    /// that this scheduler has not called yet. Zero if none may, or if the order carries a ticket.
    pub(crate) former_orders_until: Time,
    /// Whether the present incarnation of the worker has confirmed that it has the run.
    pub(crate) has_begun: bool,
    pub(crate) begun_by: BegunBy,
    /// Whether it was given to an earlier incarnation of the worker.
    pub(crate) is_of_earlier_incarnation: bool,
    /// The crash of its worker, which counts unless the new incarnation has the run.
    pub(crate) crash: Option<Crash>,
    /// Its last checkpoint that the worker has listed; empty if there is none.
    pub(crate) checkpoint: String,
    /// Whether its task was suspected to crash workers when it was started.
    pub(crate) suspicion: Suspicion,
    /// Whether workers had crashed under its step when it was started, and no task of the step had succeeded.
    pub(crate) is_repeated: bool,
    /// If the task can resume elsewhere, the rank below which work may preempt the run.
    pub(crate) preemptible_below: Option<u32>,
}

/// A run that a worker has listed although it is not the current run of its task.
#[derive(Clone, Copy, Debug)]
struct Stray {
    size: Size,
    charge: Charge,
    /// When its stop became due, as a [contact time](Worker::contact_time).
    stop_due: Duration,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    worker_ms: u64,
    at: Time,
}

/// The stop orders to the present incarnation of a worker.
#[derive(Debug, Default)]
pub(crate) struct StopOrders {
    /// The runs with an order that is not answered yet and has not failed.
    open: BTreeSet<(TaskKey, u32)>,
    /// When an order was last answered, or the incarnation began, as a [contact time](Worker::contact_time).
    answered: Duration,
    /// Whether orders were overdue when the worker's lists were last read.
    pub(crate) are_overdue: bool,
}

/// A worker and its runs.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) info: WorkerInfo,
    /// Whether the directory lists it.
    pub(crate) is_listed: bool,
    /// Whether the lists of its present incarnation were read under this scheduler's epoch.
    pub(crate) is_synced: bool,
    /// How often its fencing token was raised in this epoch.
    pub(crate) fence_raises: u64,
    /// When the last restart was noticed. Polls that were sent by then carry an earlier fencing token.
    pub(crate) restarted_at: Option<Time>,
    /// The version of the entry that tells when its present incarnation started; `None` once an answer has confirmed it.
    pub(crate) start_told_by: Option<u64>,
    clock: Option<ClockReading>,
    /// When every lease has lapsed that this scheduler has granted to it or knows of, unless one is renewed.
    pub(crate) lapse_at: Time,
    /// The same for the leases that earlier schedulers may have granted, until it has answered this one.
    pub(crate) assumed_lapse: Option<Time>,
    /// When every lease has lapsed that a later incarnation than the present one may hold by orders of this scheduler.
    later_lapse_at: Time,
    /// When the incarnation started on which an earlier scheduler has recorded runs. It had read its lists, so the lease row
    /// tells whether that one may have longer leases than usual.
    pub(crate) recorded_unix_ms: Option<u64>,
    pub(crate) bound: LeaseBound,
    /// The number of the last end that was processed.
    pub(crate) processed: u64,
    /// The number of the change that must be stored before `processed` may be acknowledged.
    pub(crate) ack_after: u64,
    /// The number of the last end that may be acknowledged.
    pub(crate) ackable: u64,
    /// The number of the last end that a poll has acknowledged; 0 if the acknowledgement may be
    /// lost.
    pub(crate) ack_sent: u64,
    /// Whether a poll that acknowledges ends is open.
    pub(crate) poll_acknowledges: bool,
    /// The value of `fence_raises` when it was last polled.
    pub(crate) poll_raises: u64,
    /// When the last lists of its present incarnation were requested and received.
    pub(crate) lists_read: Option<(Time, Time)>,
    /// The number of start orders that are not answered yet.
    pub(crate) open_starts: u32,
    /// When a start order was last sent or answered.
    pub(crate) last_start_at: Time,
    pub(crate) stops: StopOrders,
    /// For how long it had answered polls by its last answer.
    contact: Duration,
    /// When it gave that answer, unless a poll has failed since.
    contact_at: Option<Time>,
    /// The runs whose start orders went without an answer, and until when these may still be carried out.
    pub(crate) late_starts: BTreeMap<(TaskKey, u32), Time>,
    pub(crate) runs: BTreeMap<TaskKey, Run>,
    /// The runs that it has listed as running and that are not the current run of their task, by
    /// task and run number.
    strays: BTreeMap<(TaskKey, u32), Stray>,
    /// The capacity that the runs and the strays occupy.
    pub(crate) used: Size,
    /// The part of it that runs of long-running tasks occupy.
    used_by_long_running: Size,
    /// The number of runs that must stay apart from other work.
    isolated_runs: usize,
    /// The number of runs of tasks that are suspected to crash workers.
    suspect_runs: usize,
    /// The number of runs that are repeated after crashes.
    repeated_runs: usize,
    /// When the last such run has ended.
    pub(crate) had_repeated_until: Option<Time>,
    /// The runs that have lapsed on its present incarnation while it was silent, with the times at which this scheduler has
    /// started them, if it has.
    pub(crate) lapsed: BTreeMap<(TaskKey, u32), Option<Time>>,
    /// Since when crashes of it are noticed: an incarnation of it is known.
    pub(crate) known_at: Option<Time>,
    /// When it has crashed lately without a task that explains it.
    pub(crate) crashed_at: VecDeque<Time>,
    pub(crate) steadiness: Steadiness,
    /// When it last answered a poll or confirmed a start.
    pub(crate) heard_at: Option<Time>,
    /// Since when it is to be polled at once, to learn whether it still answers.
    pub(crate) probed_at: Option<Time>,
    /// The time since which it does not answer.
    pub(crate) silent_since: Option<Time>,
    /// Since when its lists have not been read, after it was lost or a new scheduler has found runs of it.
    pub(crate) unheard_since: Option<Time>,
    /// The end of its leases that was last reported, since it has not been heard of.
    pub(crate) reported_lapse: Option<Time>,
    /// When it was last polled.
    pub(crate) polled_at: Option<Time>,
    /// The number of failed runs in a row. A quarantine lowers it to one less than the limit.
    pub(crate) failure_streak: u32,
    /// The number of quarantines since the last successful run.
    pub(crate) quarantines: u32,
    pub(crate) quarantine_until: Time,
}

impl Worker {
    pub(crate) fn new(id: WorkerId, info: WorkerInfo) -> Self {
        Self {
            id,
            info,
            is_listed: false,
            is_synced: false,
            fence_raises: 0,
            restarted_at: None,
            start_told_by: None,
            clock: None,
            lapse_at: Time::ZERO,
            assumed_lapse: None,
            later_lapse_at: Time::ZERO,
            recorded_unix_ms: None,
            bound: LeaseBound::default(),
            processed: 0,
            ack_after: 0,
            ackable: 0,
            ack_sent: 0,
            poll_acknowledges: false,
            poll_raises: 0,
            lists_read: None,
            open_starts: 0,
            last_start_at: Time::ZERO,
            stops: StopOrders::default(),
            contact: Duration::ZERO,
            contact_at: None,
            late_starts: BTreeMap::new(),
            runs: BTreeMap::new(),
            strays: BTreeMap::new(),
            used: Size::ZERO,
            used_by_long_running: Size::ZERO,
            isolated_runs: 0,
            suspect_runs: 0,
            repeated_runs: 0,
            had_repeated_until: None,
            lapsed: BTreeMap::new(),
            known_at: None,
            crashed_at: VecDeque::new(),
            steadiness: Steadiness::Steady,
            heard_at: None,
            probed_at: None,
            silent_since: None,
            unheard_since: None,
            reported_lapse: None,
            polled_at: None,
            failure_streak: 0,
            quarantines: 0,
            quarantine_until: Time::ZERO,
        }
    }

    /// Returns whether its size counts as part of the fleet's: the directory lists it, and it has answered. An entry of
    /// the directory may name a machine that is not there.
    pub(crate) const fn is_in_fleet(&self) -> bool {
        self.is_listed && self.heard_at.is_some()
    }

    /// Returns the free capacity.
    pub(crate) fn free(&self) -> Size {
        self.info.size - self.used
    }

    /// Returns the capacity that is free once all runs have ended that end by themselves.
    pub(crate) fn free_eventually(&self) -> Size {
        self.info.size - self.used_by_long_running
    }

    /// Returns the free capacity that new work may use. A worker that crashes again and again gets half as much.
    pub(crate) fn usable(&self) -> Size {
        if self.steadiness == Steadiness::Steady {
            return self.free();
        }
        let Size {
            milli_processors,
            memory_mb,
            accelerators,
        } = self.info.size;
        Size::new(milli_processors / 2, memory_mb / 2, accelerators / 2) - self.used
    }

    /// Returns whether its runs need more than its size, which may have shrunk.
    pub(crate) fn is_overcommitted(&self) -> bool {
        !self.used.fits(&self.info.size)
    }

    /// Returns whether a poll that was sent at `sent_at` carried the fencing token of the present incarnation.
    pub(crate) fn is_fence_current(&self, sent_at: Time) -> bool {
        self.restarted_at.is_none_or(|at| sent_at > at)
    }

    /// Returns whether new work may be given to it.
    pub(crate) fn takes_work(&self, now: Time) -> bool {
        self.is_listed
            && self.is_synced
            && !self.info.is_draining
            && self.silent_since.is_none()
            && !self.stops.are_overdue
            && self.clock.is_some()
            && now >= self.quarantine_until
    }

    /// Returns whether tasks of a step may be given to it, judged by its own state and properties
    /// only.
    pub(crate) fn suits(&self, now: Time, pool: &str, step: &Step) -> bool {
        let has_label = |label: &String| self.info.labels.contains(label);
        self.takes_work(now)
            && !self.is_isolating()
            && (self.steadiness == Steadiness::Steady || is_short(step))
            && self.info.pool == pool
            && step.label.as_ref().is_none_or(has_label)
    }

    /// Returns when every lease has lapsed that its present incarnation may have, unless one is renewed.
    pub(crate) fn known_leases_end(&self) -> Time {
        self.lapse_at.max(self.assumed_lapse.unwrap_or_default())
    }

    /// Returns when the lease of a run has lapsed, unless it is renewed.
    pub(crate) fn lease_end(&self, run: &Run) -> Time {
        let known = self.known_leases_end();
        match run.begun_by {
            BegunBy::Known => known,
            BegunBy::Any => known.max(self.later_lapse_at),
        }
    }

    /// Returns when every lease has lapsed that may have been granted to it, unless one is renewed.
    pub(crate) fn leases_end(&self) -> Time {
        let ends = self.sent_runs().map(|run| self.lease_end(run));
        ends.fold(self.known_leases_end(), Time::max)
    }

    /// Returns when the first of its leases lapses from now on.
    pub(crate) fn next_lapse(&self, now: Time) -> Option<Time> {
        let runs = self.runs.values().map(|run| self.lease_end(run));
        let ends = runs.chain([self.known_leases_end()]);
        ends.filter(|&end| end > now).min()
    }

    /// Returns whether a later incarnation may have begun one of its runs, or may once the order is sent.
    pub(crate) fn has_unsettled_runs(&self) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.begun_by == BegunBy::Any)
    }

    /// Notes that a later incarnation may carry out an order that grants a lease until this time, and not later.
    pub(crate) fn may_grant(&mut self, until: Time, cfg: &SchedConfig) {
        self.later_lapse_at = self.later_lapse_at.max(until + cfg.longest_lapse());
    }

    /// Notes that it has answered a poll with the present fencing token. From then on it refuses earlier schedulers, and
    /// orders that were meant for earlier incarnations.
    pub(crate) fn answered(&mut self, now: Time, past: &PastLeases, cfg: &SchedConfig) {
        self.unheard_since = None;
        self.reported_lapse = None;
        self.bound.end();
        let is_first = self.lists_read.is_none();
        let is_recorded = self.recorded_unix_ms == Some(self.info.started_unix_ms);
        let is_assumed = self.assumed_lapse.take().is_some();
        let granted = if !is_first || is_recorded {
            is_assumed.then(|| past.recorded_end(now, &self.info.name, cfg))
        } else if self.restarted_at.is_some() {
            Some(now + cfg.longest_lapse())
        } else {
            past.longest_end(now, cfg)
        };
        self.lapse_at = self.lapse_at.max(granted.unwrap_or_default());
    }

    /// Returns for how long its lists have not been read after it was lost.
    pub(crate) fn unheard_for(&self, now: Time) -> Duration {
        self.unheard_since.map_or(Duration::ZERO, |at| now - at)
    }

    /// Returns the runs whose start orders may have been sent.
    pub(crate) fn sent_runs(&self) -> impl Iterator<Item = &Run> {
        let runs = self.runs.values();
        runs.filter(|run| run.phase != RunPhase::Pending)
    }

    pub(crate) fn add_run(&mut self, key: TaskKey, run: Run) {
        self.used += run.size;
        if run.charge.is_long_running {
            self.used_by_long_running += run.size;
        }
        self.isolated_runs += usize::from(run.suspicion == Suspicion::Strong);
        self.suspect_runs += usize::from(run.suspicion != Suspicion::None);
        self.repeated_runs += usize::from(run.is_repeated);
        if let Some(old) = self.runs.insert(key, run) {
            self.removed(&old);
        }
    }

    fn removed(&mut self, run: &Run) {
        self.used -= run.size;
        if run.charge.is_long_running {
            self.used_by_long_running -= run.size;
        }
        self.isolated_runs -= usize::from(run.suspicion == Suspicion::Strong);
        self.suspect_runs -= usize::from(run.suspicion != Suspicion::None);
        self.repeated_runs -= usize::from(run.is_repeated);
    }

    /// Returns whether it has a run that was started by `until`, and is repeated after crashes.
    pub(crate) fn has_repeated_runs(&self, until: Time) -> bool {
        let is_repeated = |run: &Run| run.is_repeated && run.since <= until;
        self.repeated_runs > 0 && self.runs.values().any(is_repeated)
    }

    pub(crate) fn remove_run(&mut self, now: Time, key: &TaskKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if run.is_repeated {
            self.had_repeated_until = Some(now);
        }
        self.removed(&run);
        Some(run)
    }

    /// Ends the suspicion against the runs for which `is_over` returns true. Returns whether there were any.
    pub(crate) fn clear_suspicion(&mut self, is_over: impl Fn(&TaskKey, &Run) -> bool) -> bool {
        let before = self.suspect_runs;
        for (key, run) in &mut self.runs {
            if run.suspicion != Suspicion::None && is_over(key, run) {
                self.isolated_runs -= usize::from(run.suspicion == Suspicion::Strong);
                self.suspect_runs -= 1;
                run.suspicion = Suspicion::None;
            }
        }
        self.suspect_runs < before
    }

    /// Returns whether it has a run that must stay apart from other work.
    pub(crate) const fn is_isolating(&self) -> bool {
        self.isolated_runs > 0
    }

    /// Returns whether it has a run of a task that is suspected to crash workers.
    pub(crate) const fn has_suspects(&self) -> bool {
        self.suspect_runs > 0
    }

    /// Returns whether all that it has are tasks of this step.
    pub(crate) fn has_only(&self, step: StepKey) -> bool {
        let is_other = |key: &TaskKey| key.step_key() != step;
        !self.runs.keys().any(is_other) && self.strays.is_empty()
    }

    /// Returns whether it has no runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.runs.is_empty() && self.strays.is_empty()
    }

    /// Returns the number of runs that occupy capacity.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.len() + self.strays.len()
    }

    /// Adds a stray of this size, unless it is known. Returns whether it is new.
    pub(crate) fn add_stray(
        &mut self,
        now: Time,
        key: TaskKey,
        run: u32,
        size: Size,
        charge: Charge,
    ) -> bool {
        let stop_due = self.contact_time(now);
        let Entry::Vacant(entry) = self.strays.entry((key, run)) else {
            return false;
        };
        entry.insert(Stray {
            size,
            charge,
            stop_due,
        });
        self.used += size;
        true
    }

    /// Returns the tasks of its strays.
    pub(crate) fn stray_tasks(&self) -> impl Iterator<Item = TaskKey> {
        self.strays.keys().map(|&(key, _)| key)
    }

    /// Returns what its runs count against their teams.
    pub(crate) fn run_charges(&self) -> impl Iterator<Item = Charge> {
        self.runs.values().map(|run| run.charge)
    }

    /// Returns what its strays count against their teams.
    pub(crate) fn stray_charges(&self) -> impl Iterator<Item = (TaskKey, Charge)> {
        let strays = self.strays.iter();
        strays.map(|(&(key, _), stray)| (key, stray.charge))
    }

    /// Updates what its runs and strays count against their teams.
    pub(crate) fn update_charges(&mut self, update: impl Fn(TaskKey, &mut Charge)) {
        for (&key, run) in &mut self.runs {
            update(key, &mut run.charge);
        }
        for (&(key, _), stray) in &mut self.strays {
            update(key, &mut stray.charge);
        }
    }

    /// Removes the strays for which `is_left` returns false. Returns whether there were any.
    pub(crate) fn retain_strays(&mut self, is_left: impl Fn(TaskKey, u32) -> bool) -> bool {
        let before = self.strays.len();
        let used = &mut self.used;
        self.strays.retain(|&(key, run), stray| {
            let is_left = is_left(key, run);
            if !is_left {
                *used -= stray.size;
            }
            is_left
        });
        self.strays.len() < before
    }

    /// Returns the number of runs of a step's tasks on the worker.
    pub(crate) fn count_of(&self, step: StepKey) -> u32 {
        let strays = self.strays.keys().map(|(key, _)| key);
        let keys = self.runs.keys().chain(strays);
        let count = keys.filter(|key| key.step_key() == step).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Records a reading of the worker's clock from an answer that arrived at `at`. At that time
    /// the worker's clock shows at least this value.
    pub(crate) fn read_clock(&mut self, worker_ms: u64, at: Time) {
        self.clock = Some(ClockReading { worker_ms, at });
    }

    /// Grants or renews leases at `now`. Returns when they end, in milliseconds on the worker's
    /// clock, or `None` if no reading of that clock is known. Leases end within the bound that rows tell.
    ///
    /// The worker's clock shows at least its last reading plus the least that a slow clock
    /// has advanced since then.
    /// So the lease has certainly lapsed [`SchedConfig::lapse_after`] from now. A later incarnation, whose clock shows less,
    /// takes the longest lease.
    pub(crate) fn grant_lease(&mut self, now: Time, cfg: &SchedConfig) -> Option<u64> {
        let clock = self.clock?;
        let lapse_at = now + cfg.lapse_after();
        let bound = self.bound.limit();
        if bound.is_some_and(|end| end < now + cfg.longest_lapse()) && self.has_unsettled_runs() {
            return None;
        }
        let limit = bound.filter(|&limit| limit < lapse_at);
        let (lease, lapse_at) = match limit {
            Some(limit) => (cfg.lease_within(limit - now)?, limit),
            None => (cfg.task_lease, lapse_at),
        };
        let passed = millis(now - clock.at);
        let passed = passed - passed * cfg.clock_drift_milli / 1_000;
        self.lapse_at = self.lapse_at.max(lapse_at);
        self.may_grant(now, cfg);
        let worker_ms = clock.worker_ms.saturating_add(passed);
        Some(worker_ms.saturating_add(millis(lease)))
    }

    /// Returns whether it has ends that a poll must still acknowledge.
    pub(crate) const fn has_unacknowledged_ends(&self) -> bool {
        self.ackable > self.ack_sent
    }

    /// Returns whether a start order that was sent before may begin one of its runs from now on. That of a run
    /// which has ended could begin it again, but an acknowledgement makes no difference then.
    pub(crate) fn awaits_starts(&self, now: Time) -> bool {
        let is_current =
            |key: &TaskKey, number| self.runs.get(key).is_some_and(|r| r.number == number);
        let mut late = self.late_starts.iter();
        self.open_starts > 0
            || late.any(|(&(key, run), &until)| now < until && is_current(&key, run))
    }

    /// Notes that a start order went without an answer, and may be carried out until `until`.
    pub(crate) fn start_unanswered(&mut self, now: Time, key: TaskKey, run: u32, until: Time) {
        let span = until - now;
        self.late_starts.retain(|_, until| now < *until + span);
        self.late_starts.insert((key, run), until);
    }

    /// Returns whether no start order can have been carried out by another incarnation than the one whose ends
    /// were read. An unnoticed new incarnation numbers its ends from 1, and an acknowledgement of the earlier
    /// one's would make it forget them unread.
    pub(crate) fn is_known_to_last(&self, now: Time, cfg: &SchedConfig) -> bool {
        self.lists_read.is_some_and(|(requested_at, read_at)| {
            now < read_at + cfg.ack_contact || self.last_start_at < requested_at
        })
    }

    /// Notes that a start order is about to be sent. While an acknowledgement is open, the order gets a higher
    /// fencing token: an incarnation that carries it out refuses the acknowledgement afterwards.
    pub(crate) fn start_sent(&mut self, now: Time) {
        if self.poll_acknowledges && self.poll_raises == self.fence_raises {
            self.fence_raises += 1;
        }
        self.open_starts += 1;
        self.last_start_at = now;
    }

    /// Returns an order to stop a run, and notes that it is about to be sent. Returns `None` while an earlier one is open.
    pub(crate) fn open_stop(&mut self, key: TaskKey, run: u32) -> Option<StopOrder> {
        let is_new = self.stops.open.insert((key, run));
        is_new.then_some(StopOrder {
            worker: self.id,
            started_unix_ms: self.info.started_unix_ms,
            key,
            run,
        })
    }

    /// Returns for how long it has answered polls. The time stands still from its last answer while it is silent.
    pub(crate) fn contact_time(&self, now: Time) -> Duration {
        let since = self.contact_at.map(|at| now - at);
        self.contact + since.unwrap_or_default()
    }

    /// Notes that it has answered a poll.
    pub(crate) fn contacted(&mut self, now: Time) {
        self.contact = self.contact_time(now);
        self.contact_at = Some(now);
    }

    /// Notes that it has not answered a poll.
    pub(crate) const fn contact_lost(&mut self) {
        self.contact_at = None;
    }

    /// Notes that it has answered a stop order.
    pub(crate) fn stop_answered(&mut self, now: Time) {
        self.stops.answered = self.contact_time(now);
        self.stops.are_overdue = false;
    }

    /// Returns the number of runs and strays that are to be stopped without an answer, and for how long it has answered
    /// polls, but no stop order, since the first of these stops became due.
    pub(crate) fn unanswered_stops(&self, now: Time) -> (usize, Duration) {
        let runs = self.runs.values();
        let stopping =
            runs.filter(|run| run.phase == RunPhase::Stopping && run.confirmed_at.is_none());
        let strays = self.strays.values().map(|stray| stray.stop_due);
        let due = stopping.map(|run| run.stop_due).chain(strays);
        let (count, first) = due.fold((0, Duration::MAX), |(count, first), due| {
            (count + 1, first.min(due))
        });
        let since = first.max(self.stops.answered);
        (count, self.contact_time(now).saturating_sub(since))
    }

    /// Returns whether it has answered polls, but no stop order, for so long since the stop of a run became due that its
    /// leases may not be renewed: only their lapse ends the run.
    pub(crate) fn has_overdue_stops(&self, now: Time, cfg: &SchedConfig) -> bool {
        let (count, due_for) = self.unanswered_stops(now);
        count > 0 && due_for >= cfg.stop_overdue()
    }

    /// Notes that an order to stop a run was answered or has failed. Returns whether it was meant for the present
    /// incarnation.
    pub(crate) fn close_stop(&mut self, order: &StopOrder) -> bool {
        let is_current = order.started_unix_ms == self.info.started_unix_ms;
        if is_current {
            self.stops.open.remove(&(order.key, order.run));
        }
        is_current
    }

    /// Resets the state that is valid for one incarnation only.
    pub(crate) fn begin_incarnation(&mut self, now: Time, started_unix_ms: u64) {
        self.info.started_unix_ms = started_unix_ms;
        self.fence_raises += 1;
        self.restarted_at = Some(now);
        self.is_synced = false;
        self.clock = None;
        self.lists_read = None;
        self.stops.open.clear();
        self.stop_answered(now);
        self.processed = 0;
        self.ack_after = 0;
        self.ackable = 0;
        self.ack_sent = 0;
        self.failure_streak = 0;
        self.quarantines = 0;
        self.quarantine_until = Time::ZERO;
    }

    /// Records the result of a run, and quarantines the worker after too many failures in a row.
    pub(crate) fn record_result(&mut self, now: Time, is_failure: bool, cfg: &SchedConfig) {
        if !is_failure {
            self.failure_streak = 0;
            self.quarantines = 0;
            return;
        }
        self.failure_streak += 1;
        if self.failure_streak >= cfg.failure_streak {
            let span = cfg.quarantine * 2_u32.saturating_pow(self.quarantines.min(8));
            self.quarantine_until = now + span.min(cfg.quarantine_max);
            self.quarantines += 1;
            // After the quarantine, a single further failure starts the next one.
            self.failure_streak = cfg.failure_streak - 1;
        }
    }
}

/// Returns whether a step loses little if its worker crashes.
fn is_short(step: &Step) -> bool {
    !step.gang && !step.is_long_running && step.estimate_ms <= UNSTEADY_ESTIMATE_MS
}

pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
