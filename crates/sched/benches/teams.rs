//! Measures the time that passes take per start on 1,200 workers, without teams and with 10,000 of them.
//!
//! Jobs of four tasks arrive on virtual time, and passes are made every 50 ms. Only `decide` is timed. Each value is
//! printed as a line `figure NAME VALUE UNIT`. An argument replaces the number of virtual seconds.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "figures are rounded for print"
)]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use jobs::{End, EndKind, Job, JobId, Queue, Step, TaskKey, TeamPolicy};
use model::{Size, Time, WorkerId};
use sched::{
    Action, EndedRow, Listing, Now, Recovered, RunningRow, SchedConfig, Scheduler, StartAnswer,
    WorkerInfo,
};

const WORKERS: usize = 1_200;

const TEAMS: usize = 10_000;

/// The interval between passes, in milliseconds.
const TICK_MS: u64 = 50;

/// The number of tasks that fit on a worker: 32 processors, two for each.
const TASKS_PER_WORKER: u64 = 16;

const TASKS_PER_JOB: u64 = 4;

/// The shortest and the longest run time of a task, in milliseconds.
const RUN_MS: (u64, u64) = (500, 1_500);

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

/// A worker's runs by the time of their end.
#[derive(Default)]
struct Host {
    runs: BTreeMap<(u64, TaskKey), u32>,
    ends: u64,
}

struct Bench {
    scheduler: Scheduler,
    hosts: Vec<Host>,
    queue: Queue,
    names: Vec<Arc<str>>,
    random: u64,
    next_id: u64,
    starts: u64,
    busy: Duration,
}

impl Bench {
    fn new(teams: usize) -> Self {
        let now = at_ms(0);
        let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
        let queue = Queue {
            name: "batch".into(),
            pool: "desk".into(),
            rank: 1,
            max_failures: 3,
            target: Duration::from_secs(3),
            stretch: 3.0,
            ..Queue::default()
        };
        scheduler.set_queues([queue.clone()]);
        let names: Vec<Arc<str>> = (0..teams).map(|team| format!("t{team}").into()).collect();
        scheduler.set_teams(names.iter().map(|name| TeamPolicy {
            name: name.clone(),
            weight: 1.0,
            limit: Size::new(200_000, 0, 0),
        }));
        for number in 0..WORKERS {
            let name = format!("w{number}");
            let info = WorkerInfo {
                name: name.as_str().into(),
                address: name.clone(),
                pool: "desk".into(),
                size: Size::new(TASKS_PER_WORKER * 2_000, 131_072, 0),
                started_unix_ms: 1,
                ..WorkerInfo::default()
            };
            scheduler.worker_listed(now, info);
        }
        let mut bench = Self {
            scheduler,
            hosts: (0..WORKERS).map(|_| Host::default()).collect(),
            queue,
            names,
            random: 1,
            next_id: 0,
            starts: 0,
            busy: Duration::ZERO,
        };
        bench.poll(now);
        bench
    }

    /// Returns a pseudorandom number below `limit`.
    fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random ^ (self.random >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ (mixed >> 27)) % limit
    }

    fn submit(&mut self, now: Now) {
        let team = self.below(self.names.len().max(1) as u64) as usize;
        let job = Job {
            queue: self.queue.clone(),
            steps: vec![Step {
                tasks: TASKS_PER_JOB as u32,
                size: Size::new(2_000, 1_000, 0),
                estimate_ms: 1_000,
                ..Step::default()
            }],
            accepted_unix_ms: now.unix_ms,
            team: self.names.get(team).cloned().unwrap_or_default(),
            ..Job::default()
        };
        self.next_id += 1;
        self.scheduler.job_stored(now, JobId(self.next_id), job);
    }

    /// Has all workers answer a poll.
    fn poll(&mut self, now: Now) {
        for (number, host) in (0..).zip(&mut self.hosts) {
            let left = host
                .runs
                .split_off(&(now.time.as_ms() + 1, TaskKey::default()));
            let over = std::mem::replace(&mut host.runs, left);
            let ended = over.into_iter().map(|((_, key), run)| {
                host.ends += 1;
                let end = End {
                    key,
                    run,
                    kind: EndKind::Done,
                    checkpoint: String::new(),
                };
                EndedRow {
                    number: host.ends,
                    end,
                }
            });
            let listing = Listing {
                started_unix_ms: 1,
                clock_ms: now.time.as_ms(),
                ended: ended.collect(),
                running: (host.runs.iter())
                    .map(|(&(_, key), &run)| RunningRow {
                        key,
                        run,
                        ..RunningRow::default()
                    })
                    .collect(),
            };
            let id = WorkerId(number);
            self.scheduler.next_poll(now, id);
            self.scheduler.polled(now, id, now.time, &listing);
        }
    }

    /// Runs a pass, stores its changes and has the orders carried out.
    fn pass(&mut self, now: Now) {
        let began = Instant::now();
        self.scheduler.decide(now);
        self.busy += began.elapsed();
        while self.scheduler.take_batch(now).is_some() {
            self.scheduler.batch_stored(now);
        }
        for action in self.scheduler.take_actions() {
            let Action::Start(order) = action else {
                continue;
            };
            self.starts += 1;
            let span = RUN_MS.0 + self.below(RUN_MS.1 - RUN_MS.0);
            let end = now.time.as_ms() + span;
            let host = &mut self.hosts[order.worker.0 as usize];
            host.runs.insert((end, order.key), order.run);
            let answer = StartAnswer::Started;
            self.scheduler.start_answered(now, &order, answer);
        }
    }

    /// Submits jobs that need `load_milli` thousandths of the fleet.
    fn run(&mut self, load_milli: u64, seconds: u64) {
        let slots = WORKERS as u64 * TASKS_PER_WORKER;
        let mean_ms = u64::midpoint(RUN_MS.0, RUN_MS.1);
        let per_second = slots * 1_000 / mean_ms / TASKS_PER_JOB * load_milli / 1_000;
        for tick in 1..=seconds * 1_000 / TICK_MS {
            let now = at_ms(tick * TICK_MS);
            let jobs = |tick: u64| per_second * tick * TICK_MS / 1_000;
            for _ in jobs(tick - 1)..jobs(tick) {
                self.submit(now);
            }
            self.poll(now);
            self.pass(now);
        }
    }
}

fn main() {
    let seconds = std::env::args().find_map(|arg| arg.parse().ok());
    for load_milli in [900, 1_300] {
        for teams in [0, TEAMS] {
            let mut bench = Bench::new(teams);
            bench.run(load_milli, seconds.unwrap_or(5));
            let per_second = bench.starts as f64 / bench.busy.as_secs_f64();
            let name = format!("decisions_{teams}_teams_load_{load_milli}");
            println!("figure {name} {per_second:.0} 1/s");
            println!(
                "figure starts_{teams}_teams_load_{load_milli} {} starts",
                bench.starts
            );
        }
    }
}
