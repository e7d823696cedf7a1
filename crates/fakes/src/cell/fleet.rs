//! The hosts with their runs and gangs, the true run times, and the checker that observes the runs.
//!
//! A [`Fleet`] has no clock and sends no messages. Its owner calls [`Fleet::take_timers`] for the events to
//! bring about later, and [`Fleet::take_changed_hosts`] for the hosts whose polls may be answered.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use jobs::{EndKind, JobId, StepKey, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{Listing, StartAnswer, StartOrder};

use super::{
    checker::{Checker, WorkEnd},
    crashing::{CrashingStep, CrashingSteps},
    gangs::Gangs,
    host::Host,
    load::{Arrival, Kind},
    trace::{RunEvent, TraceRow},
    world::chance,
};
use crate::Rng;

/// The run time of tasks on a host that fails all its runs.
const QUICK_FAILURE_DELAY: Duration = Duration::from_millis(50);

/// How long a host that flaps stays healthy or unhealthy, in milliseconds.
const FLAP_MS: u64 = 400;

/// A time in which a host refuses to start anything.
#[derive(Clone, Copy, Debug)]
struct Illness {
    until: Time,
    /// Whether the host is healthy in every other interval of [`FLAP_MS`].
    flaps: bool,
}

impl Illness {
    fn is_acute(self, now: Time) -> bool {
        let is_well = self.flaps && (now.as_ms() / FLAP_MS).is_multiple_of(2);
        now < self.until && !is_well
    }
}

/// An event that the owner of a [`Fleet`] has to bring about at a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Call [`Fleet::tick`]: a run on the host may end.
    Tick(WorkerId),
    /// Call [`Fleet::gang_timeout`]: the run of a gang may still be incomplete.
    GangTimeout(StepKey, u32),
    /// Call [`Fleet::crash_by_task`]: a run on the host crashes it.
    Crash(WorkerId, TaskKey, u32),
}

/// The hosts and their runs.
#[derive(Debug)]
pub struct Fleet {
    pub(super) hosts: Vec<Host>,
    /// The job kinds, which [`Arrival::kind`] indexes.
    kinds: Vec<Kind>,
    /// How long the first members of a gang wait for the others.
    gang_wait: Duration,
    fails_all_until: HashMap<WorkerId, Time>,
    illnesses: HashMap<WorkerId, Illness>,
    gangs: Gangs,
    crashing: CrashingSteps,
    pub(super) checker: Checker,
    pub(super) arrivals: HashMap<JobId, Arrival>,
    timers: Vec<(Time, Timer)>,
    changed_hosts: Vec<WorkerId>,
    /// The hosts with the times at which a run on them may be due to end. A renewed lease leaves earlier times.
    due: BTreeSet<(Time, WorkerId)>,
    /// The events since the last call of [`Fleet::take_trace`]; `None` if they are not kept.
    trace: Option<Vec<TraceRow>>,
}

impl Fleet {
    /// Returns a fleet of these hosts. The first members of a gang wait for the others for `gang_wait`.
    #[must_use]
    pub fn new(hosts: Vec<Host>, kinds: Vec<Kind>, gang_wait: Duration) -> Self {
        Self {
            hosts,
            kinds,
            gang_wait,
            fails_all_until: HashMap::new(),
            illnesses: HashMap::new(),
            gangs: Gangs::default(),
            crashing: CrashingSteps::default(),
            checker: Checker::default(),
            arrivals: HashMap::new(),
            timers: Vec::new(),
            changed_hosts: Vec::new(),
            due: BTreeSet::new(),
            trace: None,
        }
    }

    /// Returns the fleet, which keeps its events for [`Fleet::take_trace`] from now on.
    #[must_use]
    pub fn with_trace(self) -> Self {
        Self {
            trace: Some(Vec::new()),
            ..self
        }
    }

    /// Returns the events since the last call.
    pub fn take_trace(&mut self) -> Vec<TraceRow> {
        self.trace.as_mut().map(std::mem::take).unwrap_or_default()
    }

    fn record(&mut self, at: Time, host: WorkerId, key: TaskKey, run: u32, event: RunEvent) {
        let clock_ms = self.hosts[index(host)].clock_ms(at);
        if let Some(trace) = &mut self.trace {
            trace.push(TraceRow {
                at,
                clock_ms,
                host,
                key,
                run,
                event,
            });
        }
    }

    /// Returns a host.
    #[must_use]
    pub fn host(&self, id: WorkerId) -> &Host {
        &self.hosts[index(id)]
    }

    /// Returns a host for changes.
    pub fn host_mut(&mut self, id: WorkerId) -> &mut Host {
        &mut self.hosts[index(id)]
    }

    /// Returns the checker of the runs.
    pub const fn checker(&mut self) -> &mut Checker {
        &mut self.checker
    }

    /// Returns the timers set since the last call, with their times.
    pub fn take_timers(&mut self) -> Vec<(Time, Timer)> {
        std::mem::take(&mut self.timers)
    }

    /// Returns the hosts on which runs may have ended since the last call.
    pub fn take_changed_hosts(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.changed_hosts)
    }

    /// Records a job that a client has submitted.
    pub fn submitted(&mut self, arrival: Arrival) {
        self.checker.submitted(arrival.id, &arrival.job);
        self.arrivals.insert(arrival.id, arrival);
    }

    /// Makes tasks crash each host that starts them.
    pub fn add_crashing_step(&mut self, step: CrashingStep) {
        self.crashing.add(step);
    }

    /// Makes all runs that the host starts before `until` fail.
    pub fn fail_all(&mut self, id: WorkerId, until: Time) {
        self.fails_all_until.insert(id, until);
    }

    /// Makes the host refuse to start anything before `until`, or half of the time if it flaps.
    pub fn make_unhealthy(&mut self, id: WorkerId, until: Time, flaps: bool) {
        self.illnesses.insert(id, Illness { until, flaps });
    }

    pub(super) fn is_unhealthy(&self, now: Time, id: WorkerId) -> bool {
        let is_acute = |illness: &Illness| illness.is_acute(now);
        self.illnesses.get(&id).is_some_and(is_acute)
    }

    /// Handles an order to start that reaches a host that is up.
    pub fn start(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: WorkerId,
        order: &StartOrder,
    ) -> StartAnswer {
        self.catch_up(now);
        if self.is_unhealthy(now, id) {
            return StartAnswer::Unhealthy;
        }
        let key = order.key;
        let step = self
            .arrivals
            .get(&key.job)
            .and_then(|arrival| arrival.job.steps.get(usize::from(key.step)));
        let size = step.map(jobs::Step::reserved).unwrap_or_default();
        let host = &mut self.hosts[index(id)];
        let saves =
            step.is_some_and(|step| step.saves_progress && (!step.gang || host.lists_checkpoints));
        let (answer, is_new) = host.start(now, order, size, saves);
        if is_new {
            let lease_until_ms = order.lease_until_ms;
            let event = RunEvent::Began { lease_until_ms };
            self.record(now, id, key, order.run, event);
            self.checker.order_carried_out(order);
            self.run_began(now, rng, id, key, order.run);
        }
        answer
    }

    /// Records the beginning of a run and plans its end.
    fn run_began(&mut self, now: Time, rng: &mut Rng, id: WorkerId, key: TaskKey, run: u32) {
        let host = &self.hosts[index(id)];
        let step_tasks_on_host = host
            .runs
            .keys()
            .filter(|other| other.step_key() == key.step_key())
            .count();
        let step_tasks_on_host = u32::try_from(step_tasks_on_host).unwrap_or(u32::MAX);
        let usage: (Size, Size) = (host.used(), host.size_bound(now));
        self.checker
            .run_began(now, (key, run), id, step_tasks_on_host, usage);
        if let Some(crash) = self.crashing.of(key) {
            self.checker.crashing_run_began(key);
            self.timers
                .push((now + crash.after, Timer::Crash(id, key, run)));
        }
        let Some(arrival) = self.arrivals.get(&key.job) else {
            return;
        };
        let Some(step) = arrival.job.steps.get(usize::from(key.step)) else {
            return;
        };
        let (is_gang, tasks) = (step.gang, step.tasks);
        let failure_share = self
            .kinds
            .get(arrival.kind)
            .map_or(0.0, |kind| kind.failure_share);
        let fails_all = self
            .fails_all_until
            .get(&id)
            .is_some_and(|&until| now < until);
        let fails_midway = !fails_all && chance(rng, failure_share);
        // The members of a gang work in step, at the pace of the slowest host.
        let members = if is_gang {
            let size = usize::try_from(tasks).unwrap_or(0);
            let members = self.gangs.join(key.step_key(), run, (key.index, id), size);
            let Some(members) = members else {
                let timer = Timer::GangTimeout(key.step_key(), run);
                self.timers.push((now + self.gang_wait, timer));
                self.schedule_tick(now, id);
                return;
            };
            for &(member, host) in &members {
                self.hosts[index(host)].begin_work(now, key.step_key().task(member));
            }
            members
        } else {
            vec![(key.index, id)]
        };
        let factor = members
            .iter()
            .map(|&(_, host)| self.hosts[index(host)].run_time_factor)
            .fold(0.0, f64::max);
        let run_time = Duration::from_secs_f64(arrival.seconds[usize::from(key.step)] * factor);
        let saved = self.hosts[index(id)]
            .runs
            .get(&key)
            .and_then(|run| run.saved);
        let remaining = saved.map_or(run_time, |saved| saved.remaining(now, run_time));
        let end = if fails_all {
            (now + QUICK_FAILURE_DELAY, EndKind::Failed)
        } else if fails_midway {
            (now + remaining / 2, EndKind::Failed)
        } else {
            (now + remaining, EndKind::Done)
        };
        for (member, host) in members {
            let task = key.step_key().task(member);
            self.plan_end(now, host, task, run, end);
        }
        self.schedule_tick(now, id);
    }

    fn plan_end(
        &mut self,
        now: Time,
        host: WorkerId,
        key: TaskKey,
        run: u32,
        end: (Time, EndKind),
    ) {
        if let Some(r) = self.hosts[index(host)].runs.get_mut(&key)
            && r.run == run
        {
            r.ends = Some(end);
        }
        self.schedule_tick(now, host);
    }

    /// Sets a timer for the next end of a run on a host.
    pub(super) fn schedule_tick(&mut self, now: Time, host: WorkerId) {
        if let Some((at, _, _)) = self.hosts[index(host)].next_end() {
            self.due.insert((at, host));
            self.timers.push((at.max(now), Timer::Tick(host)));
        }
    }

    /// Ends the runs that were due before `now`, on all hosts and in the order in which they were due. An owner
    /// that was held up may handle an order or a poll before the timer of an end. The hosts themselves have not
    /// been held up: the end comes first, and a run whose lease has lapsed is not renewed.
    pub fn catch_up(&mut self, now: Time) {
        while let Some(&(at, id)) = self.due.first()
            && at < now
        {
            self.due.pop_first();
            if self.end_due(now, at, id) {
                self.changed_hosts.push(id);
            }
            // The timer of this end still comes, and sets the next one.
            let next = self.hosts[index(id)].next_end();
            self.due.extend(next.map(|(at, _, _)| (at, id)));
        }
    }

    /// Ends the runs of a host that are due.
    pub fn tick(&mut self, now: Time, id: WorkerId) {
        self.catch_up(now);
        self.end_due(now, now, id);
        self.changed_hosts.push(id);
        self.schedule_tick(now, id);
    }

    /// Ends the runs of a host that were due at `until`. Returns whether there were any.
    fn end_due(&mut self, now: Time, until: Time, id: WorkerId) -> bool {
        let mut has_ended = false;
        while let Some((at, key, kind)) = self.hosts[index(id)].next_end() {
            if at > until {
                break;
            }
            self.end_run((now, at), id, key, kind);
            has_ended = true;
        }
        has_ended
    }

    /// Ends a run that was due to end at `due`.
    fn end_run(&mut self, (now, due): (Time, Time), id: WorkerId, key: TaskKey, kind: EndKind) {
        let saves = self.hosts[index(id)].saves(&key);
        let Some(run) = self.hosts[index(id)].end(due, key, kind) else {
            return;
        };
        self.record(now, id, key, run, RunEvent::Ended { kind, due });
        let checkpoint = self.hosts[index(id)].last_checkpoint();
        self.checker.checkpoint_saved(key, checkpoint);
        self.checker
            .run_ended(due, key, run, id, WorkEnd::of(kind, saves));
        if kind == EndKind::Failed {
            self.checker.task_failed(key);
        }
        self.end_gang((now, due), key, run, kind);
    }

    /// Ends the other members of a gang after one member has ended: as done if that one is done, otherwise as
    /// interrupted.
    fn end_gang(&mut self, (now, due): (Time, Time), key: TaskKey, run: u32, kind: EndKind) {
        let kind = if kind == EndKind::Done {
            EndKind::Done
        } else {
            EndKind::Interrupted
        };
        for (member, host) in self.gangs.end(key.step_key(), run, key.index) {
            let task = key.step_key().task(member);
            let is_same = self.hosts[index(host)]
                .runs
                .get(&task)
                .is_some_and(|r| r.run == run);
            if is_same && self.hosts[index(host)].end(due, task, kind).is_some() {
                self.record(now, host, task, run, RunEvent::Ended { kind, due });
                let checkpoint = self.hosts[index(host)].last_checkpoint();
                self.checker.checkpoint_saved(task, checkpoint);
                self.checker
                    .run_ended(due, task, run, host, WorkEnd::of(kind, false));
                self.changed_hosts.push(host);
            }
        }
    }

    /// Interrupts the members of a gang's run that are still waiting for the others.
    pub fn gang_timeout(&mut self, now: Time, step: StepKey, run: u32) {
        self.catch_up(now);
        for i in 0..self.hosts.len() {
            let waiting: Vec<TaskKey> = self.hosts[i]
                .runs
                .iter()
                .filter(|(key, r)| key.step_key() == step && r.run == run && r.ends.is_none())
                .map(|(&key, _)| key)
                .collect();
            let id = WorkerId(u32::try_from(i).unwrap_or(u32::MAX));
            for key in waiting {
                self.end_run((now, now), id, key, EndKind::Interrupted);
                self.changed_hosts.push(id);
            }
        }
    }

    /// Handles an order to stop that reaches a host that is up. Returns whether its fence is current.
    pub fn stop(&mut self, now: Time, id: WorkerId, key: TaskKey, run: u32, fence: u64) -> bool {
        self.catch_up(now);
        let host = &mut self.hosts[index(id)];
        let saves = host.saves(&key);
        let Some(was_there) = host.stop(now, key, run, fence) else {
            return false;
        };
        if was_there {
            let kind = EndKind::Interrupted;
            self.record(now, id, key, run, RunEvent::Ended { kind, due: now });
            let work = WorkEnd::of(kind, saves);
            let checkpoint = self.hosts[index(id)].last_checkpoint();
            self.checker.checkpoint_saved(key, checkpoint);
            self.checker.run_ended(now, key, run, id, work);
            self.end_gang((now, now), key, run, kind);
            self.changed_hosts.push(id);
        }
        true
    }

    /// Returns the running and ended runs of a host, the answer to a poll.
    pub fn list(&mut self, now: Time, id: WorkerId) -> Listing {
        let listing = self.hosts[index(id)].list(now);
        for row in &listing.running {
            self.checker.checkpoint_saved(row.key, &row.checkpoint);
        }
        listing
    }

    /// Handles a poll that reaches a host that is up. Returns whether its fence is current.
    pub fn poll(
        &mut self,
        now: Time,
        id: WorkerId,
        fence: u64,
        acknowledged: u64,
        lease_until_ms: Option<u64>,
    ) -> bool {
        self.catch_up(now);
        let host = &mut self.hosts[index(id)];
        let Some(acknowledged_ends) = host.poll(now, fence, acknowledged, lease_until_ms) else {
            return false;
        };
        for (end, ended_at, acknowledgement) in acknowledged_ends {
            let event = RunEvent::Acknowledged(acknowledgement);
            self.record(now, id, end.key, end.run, event);
            if acknowledgement.is_binding() {
                self.checker
                    .end_acknowledged(end.key, end.run, end.kind, ended_at);
            }
        }
        true
    }

    /// Crashes a host if it still has the run of a task that crashes its hosts. Returns for how long the host is
    /// down.
    pub fn crash_by_task(
        &mut self,
        now: Time,
        id: WorkerId,
        key: TaskKey,
        run: u32,
    ) -> Option<Duration> {
        self.catch_up(now);
        let crash = self.crashing.of(key)?;
        let runs = &self.hosts[index(id)].runs;
        if runs.get(&key).is_none_or(|r| r.run != run) {
            return None;
        }
        self.checker.report.crashes += 1;
        self.crash(now, id);
        Some(crash.down)
    }

    /// Crashes a host with all its runs.
    pub fn crash(&mut self, now: Time, id: WorkerId) {
        self.catch_up(now);
        for (key, run) in self.hosts[index(id)].crash() {
            self.record(now, id, key, run, RunEvent::Lost);
            self.checker.host_crashed_under(now, key);
            self.checker.run_ended(now, key, run, id, WorkEnd::Lost);
            self.end_gang((now, now), key, run, EndKind::Interrupted);
        }
    }
}

fn index(host: WorkerId) -> usize {
    usize::try_from(host.0).unwrap_or(usize::MAX)
}
