//! A driver that runs one policy through a load in virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant},
};

use model::{Class, Kind, Size, TaskId, Time, Usage, WorkerId};
use place::{Decision, NextState, TaskEnd};

use crate::{
    baselines::Policy,
    load::{Arrival, Load},
};

/// The virtual time between two rounds of `decide`, in milliseconds.
const TICK_MS: u64 = 50;
/// The maximum number of calls of `decide` in one round.
const MAX_CALLS_PER_TICK: u32 = 8;
/// The time from a stop command to the report of the end.
const STOP_DELAY: Duration = Duration::from_millis(400);
/// The time from a checkpoint command to the report of the end.
const CHECKPOINT_DELAY: Duration = Duration::from_millis(1_500);
/// The run time that a resumed task has to repeat.
const RESUME_COST: Duration = Duration::from_secs(2);
/// The time after which a task fails.
const FAILURE_DELAY: Duration = Duration::from_millis(500);
/// The maximum time that a run continues after the last arrival until all work is done.
const MAX_DRAIN: Duration = Duration::from_secs(900);
/// The time from a task's start to the report of its usage.
const USAGE_LAG: Duration = Duration::from_secs(5);
/// One of this many workers fails every task after the first third of the load.
const FAULTY_WORKER_PERIOD: u32 = 100;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The end of a task's run: the task, the number of the run, and the index of the kind of end
    /// in `Drive::end`.
    End(TaskId, u32, u8),
    /// A usage report of a task: the task and the number of the run.
    Usage(TaskId, u32),
    /// The cancellation of the unit of the arrival with this index.
    Cancel(usize),
}

#[derive(Clone, Debug)]
struct Running {
    run: u32,
    worker: WorkerId,
    since: Time,
    size: Size,
    /// What the task actually uses.
    actual: Size,
    /// Whether a stop or checkpoint is under way.
    is_ending: bool,
}

#[derive(Clone, Debug)]
struct TaskRecord {
    queued: Time,
    started: Option<Time>,
    remaining: Duration,
    is_over: bool,
}

/// The measurements of one run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Seconds from a task's arrival to its first start, by class. For tasks that never started, up
    /// to the end of the run.
    pub(crate) waits: BTreeMap<Class, Vec<f64>>,
    /// The same for gangs, once per gang.
    pub(crate) gang_waits: Vec<f64>,
    /// Processor-seconds of bulk work that were not lost.
    pub(crate) bulk_processor_s: f64,
    /// Worker-seconds in which a worker ran any task other than replicas of services.
    pub(crate) worker_s_in_use: f64,
    /// Processor-seconds of bulk work, and worker-seconds in use, until the end of the arrivals.
    pub(crate) while_loaded: (f64, f64),
    /// The time at which the run ended, in seconds.
    pub(crate) makespan_s: f64,
    /// The mean share of all processors, and of all memory, that was allocated until the end of the
    /// arrivals.
    pub(crate) allocated: (f64, f64),
    /// Worker-seconds in which tasks actually used more than their worker's capacity.
    pub(crate) overloaded_worker_s: f64,
    pub(crate) decisions: u64,
    pub(crate) starts: u64,
    pub(crate) checkpoints: u64,
    pub(crate) stops_in_tick_max: u64,
    /// Tasks that were given up although their unit does not fail by itself.
    pub(crate) given_up_wrongly: u64,
    pub(crate) running_max: usize,
    /// The real time spent in the policy.
    pub(crate) busy: Duration,
    /// For each decision, the real time of the call that made it, in microseconds.
    pub(crate) latency_us: Vec<f64>,
    /// How often a worker was found over its capacity, or a task was started that was running or
    /// over. Always 0 for a correct policy.
    pub(crate) violations: u64,
}

struct Drive<'a, P> {
    policy: P,
    load: &'a Load,
    arrivals: BTreeMap<model::UnitId, &'a Arrival>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    running: BTreeMap<TaskId, Running>,
    tasks: BTreeMap<TaskId, TaskRecord>,
    allocated: BTreeMap<WorkerId, Size>,
    actual: BTreeMap<WorkerId, Size>,
    /// The number of running tasks other than replicas, by worker.
    non_replicas: BTreeMap<WorkerId, u32>,
    open_tasks: usize,
    runs: u32,
    outcome: Outcome,
}

/// Runs a policy through a load and returns the measurements.
pub(crate) fn run(policy: impl Policy, load: &Load) -> Outcome {
    let mut drive = Drive {
        policy,
        load,
        arrivals: load.arrivals.iter().map(|a| (a.id.clone(), a)).collect(),
        events: BinaryHeap::new(),
        running: BTreeMap::new(),
        tasks: BTreeMap::new(),
        allocated: BTreeMap::new(),
        actual: BTreeMap::new(),
        non_replicas: BTreeMap::new(),
        open_tasks: 0,
        runs: 0,
        outcome: Outcome::default(),
    };
    drive.prepare();
    let end = Time::ZERO + load.spec.length;
    let mut next = 0;
    let mut now = Time::ZERO;
    let last = end + MAX_DRAIN;
    while now < end || (drive.open_tasks > 0 && now < last) {
        while next < load.arrivals.len() && load.arrivals[next].at <= now {
            drive.arrive(now, &load.arrivals[next]);
            next += 1;
        }
        drive.handle_events(now);
        for _ in 0..MAX_CALLS_PER_TICK {
            drive.decide(now);
            if !drive.policy.has_more() {
                break;
            }
        }
        drive.observe(now);
        now += Duration::from_millis(TICK_MS);
    }
    drive.outcome.makespan_s = now.as_secs_f64();
    drive.finish(now)
}

impl<P: Policy> Drive<'_, P> {
    fn prepare(&mut self) {
        for team in &self.load.teams {
            self.policy.team(team);
        }
        for spec in &self.load.workers {
            self.policy.worker(*spec);
        }
        for (i, arrival) in self.load.arrivals.iter().enumerate() {
            if let Some(at) = arrival.cancel_at.filter(|at| *at > arrival.at) {
                self.events.push(Reverse((at, Event::Cancel(i))));
            }
        }
    }

    /// Calls the policy and measures the real time of the call.
    fn timed<R>(&mut self, call: impl FnOnce(&mut P) -> R) -> (R, Duration) {
        let begun = Instant::now();
        let result = call(&mut self.policy);
        let took = begun.elapsed();
        self.outcome.busy += took;
        (result, took)
    }

    fn arrive(&mut self, now: Time, arrival: &Arrival) {
        if !arrival.unit.kind.is_service() {
            self.open_tasks += arrival.unit.kind.tasks() as usize;
        }
        for index in 0..arrival.unit.kind.tasks() {
            let record = TaskRecord {
                queued: now,
                started: None,
                remaining: arrival.actual_run_time,
                is_over: false,
            };
            self.tasks.insert(TaskId::new(&arrival.id, index), record);
        }
        self.timed(|p| p.submit(now, &arrival.id, &arrival.unit));
    }

    /// Handles the events that are due by `now`.
    fn handle_events(&mut self, now: Time) {
        while let Some(Reverse((at, _))) = self.events.peek() {
            if *at > now {
                return;
            }
            let Some(Reverse((_, event))) = self.events.pop() else {
                return;
            };
            match event {
                Event::End(task, run, end) => self.end(now, &task, run, end),
                Event::Usage(task, run) => self.report_usage(now, &task, run),
                Event::Cancel(i) => self.cancel(now, i),
            }
        }
    }

    fn cancel(&mut self, now: Time, i: usize) {
        let arrival = &self.load.arrivals[i];
        for index in 0..arrival.unit.kind.tasks() {
            if let Some(task) = self.tasks.get_mut(&TaskId::new(&arrival.id, index)) {
                self.open_tasks -= usize::from(!task.is_over);
                task.is_over = true;
            }
        }
        let mut out = Vec::new();
        self.timed(|p| p.cancel(now, &arrival.id, &mut out));
        self.outcome.decisions += out.len() as u64;
        self.carry_out(now, out);
    }

    fn end(&mut self, now: Time, task: &TaskId, run: u32, end: u8) {
        let end = [
            TaskEnd::Succeeded,
            TaskEnd::Failed,
            TaskEnd::Checkpointed,
            TaskEnd::Stopped,
        ][usize::from(end)];
        let Some(running) = self.running.get(task).filter(|r| r.run == run).cloned() else {
            return;
        };
        self.running.remove(task);
        let arrival = self.arrivals[&task.unit];
        self.remove_running(&running, arrival.unit.kind.is_service());
        let ran = now.since(running.since);
        let useful = matches!(end, TaskEnd::Succeeded | TaskEnd::Checkpointed);
        if arrival.unit.class == Class::Bulk && useful {
            self.outcome.bulk_processor_s += processor_s(arrival.unit.size, ran);
            let arrivals_end = Time::ZERO + self.load.spec.length;
            let before_end = arrivals_end.since(running.since).min(ran);
            self.outcome.while_loaded.0 += processor_s(arrival.unit.size, before_end);
        }
        if let Some(record) = self.tasks.get_mut(task) {
            match end {
                TaskEnd::Checkpointed => {
                    record.remaining = record.remaining.saturating_sub(ran) + RESUME_COST;
                }
                _ => record.remaining = arrival.actual_run_time,
            }
        }
        let (next, _) = self.timed(|p| p.task_ended(now, task, end));
        let given_up = matches!(next, NextState::GivenUp { .. });
        if let Some(record) = self.tasks.get_mut(task)
            && (given_up || next == NextState::Done)
            && !arrival.unit.kind.is_service()
        {
            self.open_tasks -= usize::from(!record.is_over);
            record.is_over = true;
        }
        if given_up && !arrival.always_fails {
            self.outcome.given_up_wrongly += 1;
        }
    }

    fn remove_running(&mut self, running: &Running, is_service: bool) {
        *self.non_replicas.entry(running.worker).or_default() -= u32::from(!is_service);
        *self.allocated.entry(running.worker).or_default() -= running.size;
        *self.actual.entry(running.worker).or_default() -= running.actual;
    }

    fn report_usage(&mut self, now: Time, task: &TaskId, run: u32) {
        let Some(running) = self.running.get(task).filter(|r| r.run == run) else {
            return;
        };
        let usage = Usage {
            milli_processors: running.actual.milli_processors,
            memory_mb: running.actual.memory_mb,
        };
        self.timed(|p| p.report_usage(now, task, usage));
    }

    fn decide(&mut self, now: Time) {
        let mut out = Vec::new();
        let ((), took) = self.timed(|p| p.decide(now, &mut out));
        let us = took.as_secs_f64() * 1e6;
        self.outcome.decisions += out.len() as u64;
        self.outcome
            .latency_us
            .extend(std::iter::repeat_n(us, out.len()));
        let stops = out.iter().filter(|d| matches!(d, Decision::Stop { .. }));
        let stops = stops.count() as u64;
        self.outcome.stops_in_tick_max = self.outcome.stops_in_tick_max.max(stops);
        self.carry_out(now, out);
    }

    /// Carries out the policy's decisions.
    fn carry_out(&mut self, now: Time, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { task, worker, size } => self.start(now, task, worker, size),
                Decision::Stop { task, .. } => self.interrupt(now + STOP_DELAY, task, 3),
                Decision::Checkpoint { task, .. } => {
                    self.outcome.checkpoints += 1;
                    self.interrupt(now + CHECKPOINT_DELAY, task, 2);
                }
                Decision::Throttle {
                    task,
                    milli_processors,
                    ..
                } => self.throttle(&task, milli_processors),
                Decision::Explain { .. } => {}
            }
        }
    }

    fn interrupt(&mut self, at: Time, task: TaskId, end: u8) {
        if let Some(running) = self.running.get_mut(&task)
            && !running.is_ending
        {
            running.is_ending = true;
            let event = Event::End(task, running.run, end);
            self.events.push(Reverse((at, event)));
        }
    }

    fn throttle(&mut self, task: &TaskId, limit: u64) {
        let Some(running) = self.running.get_mut(task) else {
            return;
        };
        let less = running.actual.milli_processors.saturating_sub(limit);
        running.actual.milli_processors -= less;
        *self.actual.entry(running.worker).or_default() -= Size::new(less, 0, 0);
    }

    fn start(&mut self, now: Time, task: TaskId, worker: WorkerId, size: Size) {
        let arrival = self.arrivals[&task.unit];
        self.runs += 1;
        self.outcome.starts += 1;
        let record = self.tasks.get_mut(&task).expect("a known task");
        if record.is_over || self.running.contains_key(&task) {
            self.outcome.violations += 1;
        }
        record.started.get_or_insert(now);
        let is_after_third = now.since(Time::ZERO) > self.load.spec.length / 3;
        let is_faulty = is_after_third && worker.0 % FAULTY_WORKER_PERIOD == 7;
        let (duration, end) = if is_faulty || arrival.always_fails {
            (FAILURE_DELAY, 1)
        } else {
            (record.remaining, 0)
        };
        let declared = arrival.unit.size;
        let actual = Size {
            milli_processors: declared.milli_processors * arrival.use_percent / 100,
            memory_mb: declared.memory_mb * arrival.use_percent / 100,
            ..declared
        };
        let run = self.runs;
        let running = Running {
            run,
            worker,
            since: now,
            size,
            actual,
            is_ending: false,
        };
        *self.non_replicas.entry(worker).or_default() += u32::from(!arrival.unit.kind.is_service());
        *self.allocated.entry(worker).or_default() += size;
        *self.actual.entry(worker).or_default() += actual;
        let event = Event::End(task.clone(), run, end);
        self.events.push(Reverse((now + duration, event)));
        let event = Event::Usage(task.clone(), run);
        self.events.push(Reverse((now + USAGE_LAG, event)));
        self.running.insert(task, running);
    }

    /// Measures the workers once per second of virtual time.
    fn observe(&mut self, now: Time) {
        if !now.as_ms().is_multiple_of(1_000) {
            return;
        }
        self.outcome.running_max = self.outcome.running_max.max(self.running.len());
        let loading = now < Time::ZERO + self.load.spec.length;
        for spec in &self.load.workers {
            let allocated = self.allocated.get(&spec.id).copied().unwrap_or_default();
            let actual = self.actual.get(&spec.id).copied().unwrap_or_default();
            self.outcome.violations += u64::from(!allocated.fits(&spec.size));
            let in_use = self.non_replicas.get(&spec.id).is_some_and(|n| *n > 0);
            self.outcome.worker_s_in_use += f64::from(u8::from(in_use));
            if loading {
                let seconds = self.load.spec.length.as_secs_f64();
                let whole = spec.size.saturating_mul(self.load.spec.workers);
                let part = |used: u64, whole: u64| used as f64 / whole as f64 / seconds;
                self.outcome.while_loaded.1 += f64::from(u8::from(in_use));
                self.outcome.allocated.0 +=
                    part(allocated.milli_processors, whole.milli_processors);
                self.outcome.allocated.1 += part(allocated.memory_mb, whole.memory_mb);
            }
            self.outcome.overloaded_worker_s += f64::from(u8::from(!actual.fits(&spec.size)));
        }
    }

    fn finish(mut self, end: Time) -> Outcome {
        for (task, running) in &self.running {
            let unit = &self.arrivals[&task.unit].unit;
            if unit.class == Class::Bulk {
                let ran = end.since(running.since);
                self.outcome.bulk_processor_s += processor_s(unit.size, ran);
            }
        }
        for (task, record) in &self.tasks {
            let unit = &self.arrivals[&task.unit].unit;
            if unit.kind.is_service() || (record.is_over && record.started.is_none()) {
                continue;
            }
            let waited = record.started.unwrap_or(end).since(record.queued);
            let waited = waited.as_secs_f64();
            if !matches!(unit.kind, Kind::Gang { .. }) {
                self.outcome
                    .waits
                    .entry(unit.class)
                    .or_default()
                    .push(waited);
            } else if task.index == 0 {
                self.outcome.gang_waits.push(waited);
            }
        }
        self.outcome
    }
}

/// Returns the processor-seconds of a run.
fn processor_s(size: Size, ran: Duration) -> f64 {
    let processors = size.milli_processors as f64 / 1_000.0;
    processors * ran.as_secs_f64()
}
