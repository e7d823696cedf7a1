//! Where and when tasks start under which workers have crashed.

use std::collections::BTreeSet;

use jobs::{Job, JobId, Queue, State, Step};
use model::{Size, Time, WorkerId};
use sched::{
    Action, Listing, Now, Recovered, RunningRow, SchedConfig, Scheduler, StartAnswer, StartOrder,
    WorkerInfo,
};

const JOB: JobId = JobId(7);

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn queue() -> Queue {
    Queue {
        name: "lookup".into(),
        pool: "desk".into(),
        max_failures: 3,
        ..Queue::default()
    }
}

fn job(step: Step) -> Job {
    Job {
        queue: queue(),
        steps: vec![Step {
            size: Size::new(1_000, 1_000, 0),
            estimate_ms: 800,
            ..step
        }],
        ..Job::default()
    }
}

fn long_running(tasks: u32) -> Job {
    job(Step {
        tasks,
        is_long_running: true,
        ..Step::default()
    })
}

/// Workers of eight processors and what runs on them.
struct Cell {
    scheduler: Scheduler,
    /// The start time of each worker's incarnation.
    incarnations: Vec<u64>,
    running: Vec<StartOrder>,
}

impl Cell {
    /// Returns a cell with this many workers.
    fn new(now: Now, workers: usize) -> Self {
        let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
        scheduler.set_queues([queue()]);
        let mut cell = Self {
            scheduler,
            incarnations: vec![1; workers],
            running: Vec::new(),
        };
        for worker in 0..workers {
            cell.list(now, worker);
        }
        cell.poll(now);
        cell
    }

    fn list(&mut self, now: Now, worker: usize) {
        let info = WorkerInfo {
            name: format!("w{worker}").into(),
            address: format!("w{worker}"),
            pool: "desk".into(),
            size: Size::new(8_000, 32_000, 0),
            started_unix_ms: self.incarnations[worker],
            ..WorkerInfo::default()
        };
        self.scheduler.worker_listed(now, info);
    }

    fn id(&self, worker: usize) -> WorkerId {
        self.scheduler.worker_id(&format!("w{worker}")).unwrap()
    }

    /// Answers a poll of each worker.
    fn poll(&mut self, now: Now) {
        for worker in 0..self.incarnations.len() {
            let id = self.id(worker);
            // Renews the leases.
            self.scheduler.next_poll(now, id);
            let running = self.running.iter().filter(|order| order.worker == id);
            let listing = Listing {
                started_unix_ms: self.incarnations[worker],
                clock_ms: 500 + now.time.as_ms(),
                running: running
                    .map(|order| RunningRow {
                        key: order.key,
                        run: order.run,
                        ..RunningRow::default()
                    })
                    .collect(),
                ..Listing::default()
            };
            self.scheduler.polled(now, id, now.time, &listing);
        }
    }

    fn store(&mut self, now: Now) {
        if self.scheduler.take_batch(now).is_some() {
            self.scheduler.batch_stored(now);
        }
    }

    /// Runs a pass, stores its changes, and confirms the starts. Returns their workers.
    fn start(&mut self, now: Now) -> Vec<WorkerId> {
        // Shows that no other scheduler has taken over.
        self.store(now);
        self.scheduler.request_pass();
        self.scheduler.decide(now);
        self.store(now);
        let mut workers = Vec::new();
        for action in self.scheduler.take_actions() {
            if let Action::Start(order) = action {
                self.scheduler
                    .start_answered(now, &order, StartAnswer::Started);
                workers.push(order.worker);
                self.running.push(order);
            }
        }
        workers
    }

    /// Polls the workers each second.
    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for ms in (from_ms..to_ms).step_by(1_000) {
            self.store(at_ms(ms));
            self.poll(at_ms(ms));
        }
    }

    /// Crashes a worker, which is back at once and has answered a poll 10 ms later.
    fn crash(&mut self, now: Now, id: WorkerId) {
        let worker = (0..self.incarnations.len()).find(|&worker| self.id(worker) == id);
        let worker = worker.unwrap();
        self.incarnations[worker] += 1;
        self.running.retain(|order| order.worker != id);
        self.list(now, worker);
        self.poll(at_ms(now.time.as_ms() + 10));
    }

    fn state(&self) -> State {
        let mut states = self.scheduler.states();
        states.find(|&(id, _)| id == JOB).unwrap().1
    }
}

/// Guards against long-running tasks that stay down because one of their step has to prove itself first.
#[test]
fn long_running_tasks_start_again_together_after_a_crash() {
    let mut cell = Cell::new(at_ms(1_000), 3);
    cell.scheduler
        .job_stored(at_ms(1_000), JOB, long_running(6));
    let workers: BTreeSet<WorkerId> = cell.start(at_ms(1_010)).into_iter().collect();
    assert_eq!(workers.len(), 1, "the best fit is one worker");
    let worker = *workers.first().unwrap();
    cell.crash(at_ms(2_000), worker);
    assert_eq!(cell.start(at_ms(2_020)).len(), 6);
    let worker = cell.running[0].worker;
    cell.crash(at_ms(3_000), worker);
    let again = cell.start(at_ms(3_020));
    let distinct: BTreeSet<WorkerId> = again.iter().copied().collect();
    assert_eq!(distinct.len(), again.len(), "each on a worker of its own");
    assert_eq!(again.len(), 3, "there are three workers");
    // Having run for long enough, they need not stay apart, and the others follow.
    cell.run(4_000, 13_200);
    assert_eq!(cell.start(at_ms(13_200)).len(), 3);
}

/// Guards against a service that is given up because its workers crash once in a while.
#[test]
fn crashes_long_after_the_start_do_not_count_against_a_long_running_task() {
    let mut cell = Cell::new(at_ms(1_000), 3);
    cell.scheduler
        .job_stored(at_ms(1_000), JOB, long_running(1));
    for crash in 1..=8 {
        let now = crash * 20_000;
        cell.run(now - 900, now);
        let started = cell.start(at_ms(now));
        assert_eq!(started.len(), 1, "crash {crash}");
        cell.run(now + 1_000, now + 19_000);
        cell.crash(at_ms(now + 19_000), started[0]);
    }
    assert_eq!(cell.state(), State::Running);
}

/// Guards against a long-running task that crashes one worker after the other.
#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut cell = Cell::new(at_ms(1_000), 3);
    cell.scheduler
        .job_stored(at_ms(1_000), JOB, long_running(1));
    let mut crashes = 0;
    for second in 1..20 {
        let now = at_ms(second * 1_000);
        cell.poll(now);
        if let [worker] = cell.start(now)[..] {
            crashes += 1;
            cell.crash(at_ms(second * 1_000 + 300), worker);
        }
    }
    cell.start(at_ms(30_000));
    assert_eq!((cell.state(), crashes), (State::Failed, 3));
}

/// Guards against a step of which each task takes a worker with it before the first crash has counted.
#[test]
fn after_a_crash_few_tasks_of_its_step_start_until_one_has_succeeded() {
    let mut cell = Cell::new(at_ms(1_000), 8);
    let step = Step {
        tasks: 8,
        per_worker: Some(1),
        ..Step::default()
    };
    cell.scheduler.job_stored(at_ms(1_000), JOB, job(step));
    let workers = cell.start(at_ms(1_010));
    assert_eq!(workers.len(), 8);
    for worker in workers {
        cell.crash(at_ms(1_300), worker);
    }
    cell.poll(at_ms(1_400));
    assert_eq!(cell.start(at_ms(1_410)).len(), 2);
    assert_eq!(cell.start(at_ms(1_420)).len(), 0);
}

/// Guards against work that goes down with a worker because it was placed beside a task that crashes its workers.
#[test]
fn a_task_under_which_two_workers_have_crashed_runs_apart_from_other_work() {
    let mut cell = Cell::new(at_ms(1_000), 2);
    let one = Step {
        tasks: 1,
        ..Step::default()
    };
    cell.scheduler.job_stored(at_ms(1_000), JOB, job(one));
    for crash in 0..2 {
        let now = 1_000 + crash * 1_000;
        cell.poll(at_ms(now));
        let workers = cell.start(at_ms(now + 10));
        assert_eq!(workers.len(), 1);
        cell.crash(at_ms(now + 300), workers[0]);
    }
    cell.poll(at_ms(3_000));
    let apart = cell.start(at_ms(3_010));
    let other = Step {
        tasks: 14,
        ..Step::default()
    };
    cell.scheduler
        .job_stored(at_ms(3_020), JobId(8), job(other));
    let others = cell.start(at_ms(3_030));
    assert_eq!(others.len(), 8, "one worker is left");
    assert!(!others.contains(&apart[0]));
}

/// Guards against gangs and long work on a worker that goes down again and again, while others do not.
#[test]
fn a_worker_that_crashes_repeatedly_gets_short_work_only() {
    let mut cell = Cell::new(at_ms(1_000), 8);
    let id = cell.id(0);
    for crash in 1..=3 {
        cell.crash(at_ms(crash * 2_000), id);
    }
    let now = at_ms(8_000);
    cell.poll(now);
    let long = Step {
        tasks: 64,
        ..Step::default()
    };
    let mut long = job(long);
    long.steps[0].estimate_ms = 30_000;
    cell.scheduler.job_stored(now, JobId(8), long);
    let workers = cell.start(now);
    assert_eq!(workers.len(), 56, "seven workers have room for eight each");
    assert!(!workers.contains(&id));
    let short = Step {
        tasks: 8,
        ..Step::default()
    };
    cell.scheduler.job_stored(now, JOB, job(short));
    let workers = cell.start(at_ms(8_010));
    assert_eq!(workers, [id; 4], "half of its size");
}

/// Guards against innocent work that is slowed down though its worker went down together with others.
#[test]
fn a_step_is_not_slowed_down_if_other_workers_crash_at_the_same_time() {
    let mut cell = Cell::new(at_ms(1_000), 12);
    let step = Step {
        tasks: 8,
        per_worker: Some(1),
        ..Step::default()
    };
    cell.scheduler.job_stored(at_ms(1_000), JOB, job(step));
    let workers = cell.start(at_ms(1_010));
    let idle: Vec<WorkerId> = (0..12).map(|worker| cell.id(worker)).collect();
    let idle = idle.into_iter().filter(|id| !workers.contains(id));
    let crashed: Vec<WorkerId> = idle.take(2).chain(workers[..4].iter().copied()).collect();
    for worker in crashed {
        cell.crash(at_ms(1_300), worker);
    }
    cell.poll(at_ms(1_400));
    // The first pass weighs the crashes.
    let started = cell.start(at_ms(1_600)).len() + cell.start(at_ms(1_610)).len();
    assert_eq!(started, 4);
}

/// Guards against a crash that counts for work on a worker that was about to leave, or was only silent.
#[test]
fn a_planned_end_and_silence_are_no_crashes() {
    for is_draining in [true, false] {
        let mut cell = Cell::new(at_ms(1_000), 2);
        cell.scheduler
            .job_stored(at_ms(1_000), JOB, long_running(1));
        let worker = cell.start(at_ms(1_010))[0];
        if is_draining {
            let info = WorkerInfo {
                is_draining: true,
                ..cell.scheduler.worker_info(worker).clone()
            };
            cell.scheduler.worker_listed(at_ms(1_100), info);
            cell.crash(at_ms(2_000), worker);
        } else {
            cell.scheduler
                .poll_failed(at_ms(1_100), worker, sched::PollFailure::Silent);
            cell.start(at_ms(8_000));
            cell.start(at_ms(8_010));
            cell.poll(at_ms(9_000));
        }
        let is_crash = |action: &Action| matches!(action, Action::Crashed { .. });
        assert!(!cell.scheduler.take_actions().iter().any(is_crash));
    }
}

/// Returns how long after the lapse of its third run a task starts again, under two of whose workers have crashed and whose
/// third one is silent. The silent worker may be gone from the list.
fn restart_after_lapse(is_gone: bool) -> u64 {
    let mut cell = Cell::new(at_ms(1_000), 6);
    let step = Step {
        tasks: 1,
        ..Step::default()
    };
    cell.scheduler.job_stored(at_ms(1_000), JOB, job(step));
    for crash in 0..2 {
        let now = 1_000 + crash * 1_000;
        cell.poll(at_ms(now));
        let workers = cell.start(at_ms(now + 10));
        cell.crash(at_ms(now + 300), workers[0]);
    }
    cell.poll(at_ms(3_000));
    let silent = cell.start(at_ms(3_010))[0];
    let silence = sched::PollFailure::Silent;
    cell.scheduler.poll_failed(at_ms(3_100), silent, silence);
    cell.running.clear();
    if is_gone {
        let name = cell.scheduler.worker_info(silent).name.clone();
        cell.scheduler.worker_unlisted(&name);
    }
    let mut lapsed_at = None;
    for ms in (3_110..30_000).step_by(10) {
        let now = at_ms(ms);
        cell.store(now);
        let others = (0..6).map(|worker| cell.id(worker));
        for id in others.filter(|&id| id != silent).collect::<Vec<_>>() {
            let listing = Listing {
                started_unix_ms: cell.scheduler.worker_info(id).started_unix_ms,
                clock_ms: ms,
                ..Listing::default()
            };
            cell.scheduler.polled(now, id, now.time, &listing);
        }
        cell.scheduler.request_pass();
        cell.scheduler.decide(now);
        cell.store(now);
        for action in cell.scheduler.take_actions() {
            match action {
                Action::Interrupted { .. } => lapsed_at = Some(ms),
                Action::Start(_) => return ms - lapsed_at.unwrap(),
                _ => {}
            }
        }
    }
    panic!("the task does not start again")
}

/// Guards against a task that waits for a worker to come back that is gone for good, and again after each takeover.
#[test]
fn a_task_does_not_wait_for_a_worker_that_is_gone() {
    assert!((7_000..9_000).contains(&restart_after_lapse(false)));
    let took = restart_after_lapse(true);
    assert!(took < 1_000, "started after {took} ms");
}
