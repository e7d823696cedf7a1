//! Capacity that is reserved for tasks that fit nowhere, and what it leaves to other work.

use std::{collections::BTreeMap, time::Duration};

use jobs::{End, EndKind, Job, JobId, Queue, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, EndedRow, Listing, Now, Recovered, RunningRow, SchedConfig, Scheduler, StartAnswer,
    WorkerInfo,
};

/// The processors of each worker.
const PROCESSORS: u64 = 16;

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn queue(name: &str, rank: u32) -> Queue {
    Queue {
        name: name.into(),
        pool: "desk".into(),
        rank,
        max_failures: 3,
        target: Duration::from_secs(60),
        stretch: 4.0,
        ..Queue::default()
    }
}

fn step(tasks: u32, processors: u64) -> Step {
    Step {
        tasks,
        size: Size::new(processors * 1_000, 1_000, 0),
        estimate_ms: 500,
        ..Step::default()
    }
}

fn service(tasks: u32, processors: u64) -> Step {
    Step {
        is_long_running: true,
        ..step(tasks, processors)
    }
}

/// A service with a task on each worker.
fn agents(workers: u32, processors: u64) -> Step {
    Step {
        per_worker: Some(1),
        ..service(workers, processors)
    }
}

/// A scheduler with its workers, which run what they are ordered to.
struct Cluster {
    scheduler: Scheduler,
    now_ms: u64,
    /// The runs of each worker, with the times at which they end.
    runs: Vec<BTreeMap<TaskKey, (u32, Option<u64>)>>,
    /// The number of the last end of each worker.
    ends: Vec<u64>,
}

impl Cluster {
    fn new(workers: usize) -> Self {
        let now = at_ms(1_000);
        let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
        scheduler.set_queues([queue("watch", 1), queue("batch", 2)]);
        for number in 0..workers {
            let name = format!("w{number}");
            let info = WorkerInfo {
                name: name.as_str().into(),
                address: name,
                pool: "desk".into(),
                size: Size::new(PROCESSORS * 1_000, 65_536, 0),
                started_unix_ms: 1,
                ..WorkerInfo::default()
            };
            scheduler.worker_listed(now, info);
        }
        let mut cluster = Self {
            scheduler,
            now_ms: 1_000,
            runs: vec![BTreeMap::new(); workers],
            ends: vec![0; workers],
        };
        cluster.poll_all();
        cluster
    }

    fn now(&self) -> Now {
        at_ms(self.now_ms)
    }

    fn submit(&mut self, id: u64, queue: Queue, step: Step) {
        let job = Job {
            queue,
            steps: vec![step],
            accepted_unix_ms: self.now().unix_ms,
            ..Job::default()
        };
        let now = self.now();
        self.scheduler.job_stored(now, JobId(id), job);
    }

    /// Runs a pass and carries out the starts. Tasks of services do not end, the others after `run_ms`.
    fn decide(&mut self, run_ms: impl Fn(TaskKey) -> Option<u64>) {
        let now = self.now();
        // The first batch stores the starts, and releases their orders.
        for _ in 0..2 {
            self.scheduler.request_pass();
            self.scheduler.decide(now);
            if self.scheduler.take_batch(now).is_some() {
                self.scheduler.batch_stored(now);
            }
        }
        for action in self.scheduler.take_actions() {
            if let Action::Start(order) = action {
                let end = run_ms(order.key).map(|ms| self.now_ms + ms);
                let worker = usize::try_from(order.worker.0).unwrap();
                self.runs[worker].insert(order.key, (order.run, end));
                let started = StartAnswer::Started;
                self.scheduler.start_answered(now, &order, started);
            }
        }
    }

    /// Lets time pass, and polls all workers.
    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.poll_all();
    }

    fn poll_all(&mut self) {
        let (now, now_ms) = (self.now(), self.now_ms);
        for (index, runs) in self.runs.iter_mut().enumerate() {
            let mut ended = Vec::new();
            runs.retain(|&key, &mut (run, end)| {
                let is_over = end.is_some_and(|end| end <= now_ms);
                if is_over {
                    self.ends[index] += 1;
                    ended.push(EndedRow {
                        number: self.ends[index],
                        end: End {
                            key,
                            run,
                            kind: EndKind::Done,
                            checkpoint: String::new(),
                        },
                    });
                }
                !is_over
            });
            let running = runs.iter().map(|(&key, &(run, _))| RunningRow {
                key,
                run,
                ..RunningRow::default()
            });
            let listing = Listing {
                started_unix_ms: 1,
                clock_ms: now_ms,
                running: running.collect(),
                ended,
            };
            let id = WorkerId(u32::try_from(index).unwrap());
            self.scheduler.polled(now, id, now.time, &listing);
        }
    }

    /// Returns how many tasks of a job run.
    fn running(&self, id: u64) -> usize {
        let keys = self.runs.iter().flat_map(BTreeMap::keys);
        keys.filter(|key| key.job == JobId(id)).count()
    }
}

const AGENTS: u64 = 1;
const LARGE: u64 = 2;
const SMALL: u64 = 3;

/// Returns a cluster with one task of a service on each worker.
fn cluster_with_agents(workers: u32, processors: u64) -> Cluster {
    let mut cluster = Cluster::new(usize::try_from(workers).unwrap());
    cluster.submit(AGENTS, queue("watch", 1), agents(workers, processors));
    cluster.decide(|_| None);
    let count = usize::try_from(workers).unwrap();
    assert_eq!(cluster.running(AGENTS), count);
    cluster.advance(10);
    cluster
}

/// Guards against a service that can never be placed and keeps all workers from all other jobs: its tasks need whole workers,
/// and each worker has a task that does not end.
#[test]
fn a_long_running_task_that_can_never_fit_keeps_no_worker_from_others() {
    let mut cluster = cluster_with_agents(8, 1);
    cluster.submit(LARGE, queue("watch", 1), service(8, PROCESSORS));
    cluster.submit(SMALL, queue("batch", 2), step(120, 1));
    cluster.decide(|_| None);
    assert_eq!((cluster.running(LARGE), cluster.running(SMALL)), (0, 120));
}

/// Guards against a service that takes the room of all workers while it waits for what runs there.
#[test]
fn long_running_tasks_that_fit_nowhere_leave_most_workers_to_others() {
    let mut cluster = Cluster::new(8);
    cluster.submit(
        AGENTS,
        queue("batch", 2),
        Step {
            per_worker: Some(1),
            ..step(8, 1)
        },
    );
    cluster.decide(|_| None);
    cluster.submit(LARGE, queue("watch", 1), service(8, PROCESSORS));
    cluster.submit(SMALL, queue("batch", 2), step(120, 1));
    cluster.decide(|_| None);
    assert_eq!(
        (cluster.running(LARGE), cluster.running(SMALL)),
        (0, 6 * 15)
    );
}

/// Guards against several services that together take the room of all workers.
#[test]
fn several_services_that_fit_nowhere_leave_most_workers_to_others() {
    let mut cluster = Cluster::new(8);
    cluster.submit(
        AGENTS,
        queue("batch", 2),
        Step {
            per_worker: Some(1),
            ..step(8, 1)
        },
    );
    cluster.decide(|_| None);
    for id in 10..18 {
        cluster.submit(id, queue("watch", 1), service(1, PROCESSORS));
    }
    cluster.submit(SMALL, queue("batch", 2), step(120, 1));
    cluster.decide(|_| None);
    assert_eq!(cluster.running(SMALL), 6 * 15);
}

/// Guards against large tasks of a service that never start because small tasks take each piece that becomes free.
#[test]
fn large_long_running_tasks_start_beside_a_stream_of_small_ones() {
    let mut cluster = cluster_with_agents(8, 1);
    let run_ms = |key: TaskKey| (key.job.0 > LARGE).then_some(500);
    for round in 0..200 {
        // More small tasks than there is room for.
        cluster.submit(SMALL + round, queue("batch", 2), step(12, 1));
        if round == 40 {
            cluster.submit(LARGE, queue("watch", 1), service(4, PROCESSORS - 1));
        }
        cluster.decide(run_ms);
        cluster.advance(30);
    }
    assert_eq!(cluster.running(LARGE), 4);
}

/// Guards against a gang that keeps its part of the room for good because it would fit on empty workers, which do not become
/// empty.
#[test]
fn a_gang_that_fits_only_without_the_services_keeps_no_room_from_others() {
    let mut cluster = cluster_with_agents(4, 1);
    let gang = Step {
        gang: true,
        ..service(8, 8)
    };
    cluster.submit(LARGE, queue("watch", 1), gang);
    cluster.submit(SMALL, queue("batch", 2), step(4, 15));
    cluster.decide(|_| None);
    assert_eq!((cluster.running(LARGE), cluster.running(SMALL)), (0, 4));
}

/// Guards against the same for a gang of which fewer members may run on a worker than would fit.
#[test]
fn a_gang_that_may_not_run_on_so_few_workers_keeps_no_room_from_others() {
    let mut cluster = Cluster::new(4);
    let gang = Step {
        gang: true,
        per_worker: Some(1),
        ..step(8, 4)
    };
    cluster.submit(LARGE, queue("watch", 1), gang);
    cluster.submit(SMALL, queue("batch", 2), step(4, 16));
    cluster.decide(|_| None);
    assert_eq!((cluster.running(LARGE), cluster.running(SMALL)), (0, 4));
}

/// Guards against a gang that never starts because single tasks take each piece that becomes free.
#[test]
fn a_gang_that_will_fit_has_room_reserved() {
    let mut cluster = cluster_with_agents(2, 1);
    cluster.submit(4, queue("batch", 2), step(1, 15));
    cluster.decide(|_| None);
    let gang = Step {
        gang: true,
        ..step(2, 15)
    };
    cluster.submit(LARGE, queue("watch", 1), gang);
    cluster.submit(SMALL, queue("batch", 2), step(15, 1));
    cluster.decide(|_| None);
    assert_eq!((cluster.running(LARGE), cluster.running(SMALL)), (0, 0));
}
