//! Drives one policy through a load on virtual time: tasks end when they do, and nothing else.

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

/// Virtual time between two calls of `decide`.
const TICK_MS: u64 = 50;
/// The most calls of `decide` at one point in time.
const CALLS_PER_TICK: u32 = 8;
/// From a stop command to the report of the end.
const STOP: Duration = Duration::from_millis(400);
/// From a checkpoint command to the report of the end.
const CHECKPOINT: Duration = Duration::from_millis(1_500);
/// Run time that a resumed task repeats.
const RESUME: Duration = Duration::from_secs(2);
/// A bad worker fails a task after this time.
const FAILURE: Duration = Duration::from_millis(500);
/// How long a run goes on after the arrivals, at the most, until all work is done.
const DRAIN_MAX: Duration = Duration::from_secs(900);
/// The lag of usage reports.
const USAGE_LAG: Duration = Duration::from_secs(5);
/// One worker of so many fails everything from a third of the time on.
const BAD_WORKERS: u32 = 100;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End(TaskId, u32, u8),
    Usage(TaskId, u32),
    Cancel(usize),
}

#[derive(Clone, Debug)]
struct Running {
    run: u32,
    worker: WorkerId,
    since: Time,
    size: Size,
    real: Size,
    /// A stop or checkpoint is on its way.
    ending: bool,
}

#[derive(Clone, Debug)]
struct TaskRecord {
    queued: Time,
    started: Option<Time>,
    left: Duration,
    over: bool,
}

/// What a run gave.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    /// Seconds from queue to first start, by class; of tasks that never started, up to the end.
    pub(crate) waits: BTreeMap<Class, Vec<f64>>,
    pub(crate) gang_waits: Vec<f64>,
    pub(crate) bulk_processor_s: f64,
    /// Worker-seconds with any task but services' replicas.
    pub(crate) worker_s_in_use: f64,
    /// Bulk work and worker-seconds up to the end of the arrivals.
    pub(crate) loaded: (f64, f64),
    /// When the last task ended, in seconds.
    pub(crate) makespan_s: f64,
    /// The part of all processors and of all memory that was reserved, up to the end of arrivals.
    pub(crate) reserved: (f64, f64),
    /// Worker-seconds in which tasks really used more than their worker holds.
    pub(crate) overloaded_worker_s: f64,
    pub(crate) decisions: u64,
    pub(crate) starts: u64,
    pub(crate) checkpoints: u64,
    pub(crate) stops_in_tick_max: u64,
    pub(crate) given_up_wrongly: u64,
    pub(crate) running_max: usize,
    pub(crate) busy: Duration,
    /// Per decision, the time of the call that made it, in microseconds.
    pub(crate) latency_us: Vec<f64>,
    /// Times at which a worker or team was found over its limit. Always 0 for a correct policy.
    pub(crate) violations: u64,
}

struct Drive<'a, P> {
    policy: P,
    load: &'a Load,
    arrivals: BTreeMap<model::UnitId, &'a Arrival>,
    events: BinaryHeap<Reverse<(Time, Event)>>,
    running: BTreeMap<TaskId, Running>,
    tasks: BTreeMap<TaskId, TaskRecord>,
    reserved: BTreeMap<WorkerId, Size>,
    real: BTreeMap<WorkerId, Size>,
    /// Running tasks that are no replicas, by worker.
    finite: BTreeMap<WorkerId, u32>,
    open_tasks: usize,
    runs: u32,
    outcome: Outcome,
}

/// Runs a load to its end.
pub(crate) fn run(policy: impl Policy, load: &Load) -> Outcome {
    let mut drive = Drive {
        policy,
        load,
        arrivals: load.arrivals.iter().map(|a| (a.id.clone(), a)).collect(),
        events: BinaryHeap::new(),
        running: BTreeMap::new(),
        tasks: BTreeMap::new(),
        reserved: BTreeMap::new(),
        real: BTreeMap::new(),
        finite: BTreeMap::new(),
        open_tasks: 0,
        runs: 0,
        outcome: Outcome::default(),
    };
    drive.prepare();
    let end = Time::ZERO + load.spec.length;
    let mut next = 0;
    let mut now = Time::ZERO;
    let last = end + DRAIN_MAX;
    while now < end || (drive.open_tasks > 0 && now < last) {
        while next < load.arrivals.len() && load.arrivals[next].at <= now {
            drive.arrive(now, &load.arrivals[next]);
            next += 1;
        }
        drive.events_until(now);
        for _ in 0..CALLS_PER_TICK {
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
            if let Some(at) = arrival.cancelled.filter(|at| *at > arrival.at) {
                self.events.push(Reverse((at, Event::Cancel(i))));
            }
        }
    }

    /// Runs a call of the policy on the clock.
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
                left: arrival.runs,
                over: false,
            };
            self.tasks.insert(TaskId::new(&arrival.id, index), record);
        }
        self.timed(|p| p.submit(now, &arrival.id, &arrival.unit));
    }

    fn events_until(&mut self, now: Time) {
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
                self.open_tasks -= usize::from(!task.over);
                task.over = true;
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
        self.take_off(&running, arrival.unit.kind.is_service());
        let ran = now.since(running.since);
        let useful = matches!(end, TaskEnd::Succeeded | TaskEnd::Checkpointed);
        if arrival.unit.class == Class::Bulk && useful {
            self.outcome.bulk_processor_s += processor_s(arrival.unit.size, ran);
            let arrivals_end = Time::ZERO + self.load.spec.length;
            let before_end = arrivals_end.since(running.since).min(ran);
            self.outcome.loaded.0 += processor_s(arrival.unit.size, before_end);
        }
        if let Some(record) = self.tasks.get_mut(task) {
            match end {
                TaskEnd::Checkpointed => record.left = record.left.saturating_sub(ran) + RESUME,
                _ => record.left = arrival.runs,
            }
        }
        let (next, _) = self.timed(|p| p.task_ended(now, task, end));
        let given_up = matches!(next, NextState::GivenUp { .. });
        if let Some(record) = self.tasks.get_mut(task)
            && (given_up || next == NextState::Done)
            && !arrival.unit.kind.is_service()
        {
            self.open_tasks -= usize::from(!record.over);
            record.over = true;
        }
        if given_up && !arrival.fails {
            self.outcome.given_up_wrongly += 1;
        }
    }

    fn take_off(&mut self, running: &Running, service: bool) {
        *self.finite.entry(running.worker).or_default() -= u32::from(!service);
        *self.reserved.entry(running.worker).or_default() -= running.size;
        *self.real.entry(running.worker).or_default() -= running.real;
    }

    fn report_usage(&mut self, now: Time, task: &TaskId, run: u32) {
        let Some(running) = self.running.get(task).filter(|r| r.run == run) else {
            return;
        };
        let usage = Usage {
            milli_processors: running.real.milli_processors,
            memory_mb: running.real.memory_mb,
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

    fn carry_out(&mut self, now: Time, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { task, worker, size } => self.start(now, task, worker, size),
                Decision::Stop { task, .. } => self.interrupt(now + STOP, task, 3),
                Decision::Checkpoint { task, .. } => {
                    self.outcome.checkpoints += 1;
                    self.interrupt(now + CHECKPOINT, task, 2);
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
            && !running.ending
        {
            running.ending = true;
            let event = Event::End(task, running.run, end);
            self.events.push(Reverse((at, event)));
        }
    }

    fn throttle(&mut self, task: &TaskId, limit: u64) {
        let Some(running) = self.running.get_mut(task) else {
            return;
        };
        let less = running.real.milli_processors.saturating_sub(limit);
        running.real.milli_processors -= less;
        *self.real.entry(running.worker).or_default() -= Size::new(less, 0, 0);
    }

    fn start(&mut self, now: Time, task: TaskId, worker: WorkerId, size: Size) {
        let arrival = self.arrivals[&task.unit];
        self.runs += 1;
        self.outcome.starts += 1;
        let record = self.tasks.get_mut(&task).expect("a known task");
        if record.over || self.running.contains_key(&task) {
            self.outcome.violations += 1;
        }
        record.started.get_or_insert(now);
        let since_third = now.since(Time::ZERO) > self.load.spec.length / 3;
        let bad = since_third && worker.0 % BAD_WORKERS == 7;
        let (lasts, end) = if bad || arrival.fails {
            (FAILURE, 1)
        } else {
            (record.left, 0)
        };
        let declared = arrival.unit.size;
        let real = Size {
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
            real,
            ending: false,
        };
        *self.finite.entry(worker).or_default() += u32::from(!arrival.unit.kind.is_service());
        *self.reserved.entry(worker).or_default() += size;
        *self.real.entry(worker).or_default() += real;
        let event = Event::End(task.clone(), run, end);
        self.events.push(Reverse((now + lasts, event)));
        let event = Event::Usage(task.clone(), run);
        self.events.push(Reverse((now + USAGE_LAG, event)));
        self.running.insert(task, running);
    }

    /// Looks at the workers from outside, once a second.
    fn observe(&mut self, now: Time) {
        if !now.as_ms().is_multiple_of(1_000) {
            return;
        }
        self.outcome.running_max = self.outcome.running_max.max(self.running.len());
        let loading = now < Time::ZERO + self.load.spec.length;
        for spec in &self.load.workers {
            let reserved = self.reserved.get(&spec.id).copied().unwrap_or_default();
            let real = self.real.get(&spec.id).copied().unwrap_or_default();
            self.outcome.violations += u64::from(!reserved.fits(&spec.size));
            let in_use = self.finite.get(&spec.id).is_some_and(|n| *n > 0);
            self.outcome.worker_s_in_use += f64::from(u8::from(in_use));
            if loading {
                let seconds = self.load.spec.length.as_secs_f64();
                let whole = spec.size.saturating_mul(self.load.spec.workers);
                let part = |used: u64, whole: u64| used as f64 / whole as f64 / seconds;
                self.outcome.loaded.1 += f64::from(u8::from(in_use));
                self.outcome.reserved.0 += part(reserved.milli_processors, whole.milli_processors);
                self.outcome.reserved.1 += part(reserved.memory_mb, whole.memory_mb);
            }
            self.outcome.overloaded_worker_s += f64::from(u8::from(!real.fits(&spec.size)));
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
            if unit.kind.is_service() || (record.over && record.started.is_none()) {
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

fn processor_s(size: Size, ran: Duration) -> f64 {
    let processors = size.milli_processors as f64 / 1_000.0;
    processors * ran.as_secs_f64()
}
