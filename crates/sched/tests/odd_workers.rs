//! Entries of the list of workers that another writer has left: sizes and start times that no worker has.

use std::time::Duration;

use jobs::{Job, JobId, Queue, Step};
use model::{Size, Time};
use sched::{
    Action, Listing, Now, Poll, Recovered, RunningRow, SchedConfig, Scheduler, WorkerInfo,
};

const SIZE: Size = Size::new(32_000, 131_072, 0);

/// A start time that no worker has.
const LATER: u64 = 4_000_000_000_000;

fn at(ms: u64) -> Now {
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
        target: Duration::from_secs(3),
        stretch: 4.0,
        ..Queue::default()
    }
}

fn step(tasks: u32, processors: u64) -> Step {
    Step {
        tasks,
        size: Size::new(processors * 1_000, 1_000, 0),
        estimate_ms: 3_400,
        ..Step::default()
    }
}

fn info(name: &str, version: u64) -> WorkerInfo {
    WorkerInfo {
        name: name.into(),
        address: name.to_owned(),
        pool: "desk".into(),
        size: SIZE,
        started_unix_ms: 1,
        version,
        ..WorkerInfo::default()
    }
}

fn listing(running: Vec<RunningRow>) -> Listing {
    Listing {
        started_unix_ms: 1,
        clock_ms: 500,
        running,
        ..Listing::default()
    }
}

/// Returns a scheduler with these workers, which have answered.
fn scheduler(workers: &[WorkerInfo]) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, at(1_000), Recovered::default());
    scheduler.set_queues([queue("rebuild", 1), queue("batch", 2)]);
    for info in workers {
        scheduler.worker_listed(at(1_000), info.clone());
        let id = scheduler.worker_id(&info.name).unwrap();
        scheduler.polled(at(1_000), id, Time::from_ms(1_000), &listing(Vec::new()));
    }
    scheduler
}

fn submit(scheduler: &mut Scheduler, id: u64, queue_name: &str, step: Step) {
    let rank = if queue_name == "rebuild" { 1 } else { 2 };
    let job = Job {
        queue: queue(queue_name, rank),
        steps: vec![step],
        accepted_unix_ms: at(1_000).unix_ms,
        ..Job::default()
    };
    scheduler.job_stored(at(1_000), JobId(id), job);
}

/// Stores all changes and returns the start orders.
fn starts(scheduler: &mut Scheduler, now: Now) -> Vec<sched::StartOrder> {
    scheduler.decide(now);
    while scheduler.take_batch(now).is_some() {
        scheduler.batch_stored(now);
    }
    let actions = scheduler.take_actions().into_iter();
    let orders = actions.filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    orders.collect()
}

/// Guards against sums that overflow, and against a fleet that looks idle or a team that looks below its share because
/// of a worker that is not there.
#[test]
fn a_worker_that_never_answers_adds_nothing_to_the_fleet() {
    for processors in [1 << 40, u64::MAX] {
        let mut scheduler = scheduler(&[info("w1", 1), info("w2", 1)]);
        let size = Size::new(processors, u64::MAX, u32::MAX);
        scheduler.worker_listed(
            at(1_000),
            WorkerInfo {
                size,
                ..info("odd", 1)
            },
        );
        submit(&mut scheduler, 1, "batch", step(2, 20));
        scheduler.decide(at(1_000));
        let gang = Step {
            gang: true,
            ..step(6, 9)
        };
        submit(&mut scheduler, 2, "rebuild", gang);
        submit(&mut scheduler, 3, "batch", step(1, 1));
        scheduler.decide(at(1_000));
        let summary = scheduler.summary(at(1_000));
        assert_eq!((summary.held_steps, summary.runs), (1, 2), "{processors}");
    }
}

/// Guards against sizes whose arithmetic overflows when tasks are placed.
#[test]
fn tasks_are_placed_beside_a_worker_of_the_largest_size() {
    let size = Size::new(u64::MAX, u64::MAX, u32::MAX);
    let mut scheduler = scheduler(&[
        info("w1", 1),
        WorkerInfo {
            size,
            ..info("odd", 1)
        },
    ]);
    submit(&mut scheduler, 1, "batch", step(3, 20));
    assert_eq!(starts(&mut scheduler, at(1_000)).len(), 3);
}

/// Guards against a worker that is lost for ever after an entry with a later start time than its own.
#[test]
fn the_next_entry_of_a_worker_replaces_one_with_a_false_start_time() {
    let mut scheduler = scheduler(&[info("w1", 1)]);
    submit(&mut scheduler, 1, "batch", step(1, 20));
    let order = starts(&mut scheduler, at(1_000)).remove(0);
    let id = order.worker;
    let row = RunningRow {
        key: order.key,
        run: order.run,
        ..RunningRow::default()
    };
    scheduler.polled(
        at(1_200),
        id,
        Time::from_ms(1_100),
        &listing(vec![row.clone()]),
    );
    let false_entry = WorkerInfo {
        address: "elsewhere".to_owned(),
        started_unix_ms: LATER,
        ..info("w1", 2)
    };
    scheduler.worker_listed(at(1_300), false_entry);
    scheduler.worker_listed(at(1_400), info("w1", 3));
    assert_eq!(scheduler.worker_info(id).address, "w1");
    assert!(matches!(scheduler.next_poll(at(1_500), id), Poll::Now(_)));
    scheduler.polled(at(1_600), id, Time::from_ms(1_500), &listing(vec![row]));
    submit(&mut scheduler, 2, "batch", step(1, 10));
    let started: Vec<_> = starts(&mut scheduler, at(1_700));
    assert_eq!(started.len(), 1, "only the second job starts: {started:?}");
    assert_eq!(started[0].key.job, JobId(2));
}

/// Guards against a late entry of an earlier incarnation that takes a worker's place after it has answered.
#[test]
fn a_late_entry_of_an_earlier_incarnation_is_ignored() {
    let mut scheduler = scheduler(&[info("w1", 1)]);
    let id = scheduler.worker_id("w1").unwrap();
    let restarted = WorkerInfo {
        started_unix_ms: LATER,
        ..info("w1", 2)
    };
    scheduler.worker_listed(at(1_300), restarted);
    let lists = Listing {
        started_unix_ms: LATER,
        ..listing(Vec::new())
    };
    scheduler.polled(at(1_500), id, Time::from_ms(1_400), &lists);
    scheduler.worker_listed(at(1_600), info("w1", 3));
    assert_eq!(scheduler.worker_info(id).started_unix_ms, LATER);
}

/// Guards against a clock of a worker whose lease times overflow.
#[test]
fn a_worker_whose_clock_shows_the_latest_time_gets_leases() {
    let mut scheduler = scheduler(&[info("w1", 1)]);
    let id = scheduler.worker_id("w1").unwrap();
    let lists = Listing {
        clock_ms: u64::MAX,
        ..listing(Vec::new())
    };
    scheduler.polled(at(1_200), id, Time::from_ms(1_100), &lists);
    submit(&mut scheduler, 1, "batch", step(1, 20));
    let orders = starts(&mut scheduler, at(1_300));
    assert_eq!(orders[0].lease_until_ms, u64::MAX);
}

/// Guards against a log line about a removed worker for each heartbeat of a writer whose entry is invalid.
#[test]
fn a_worker_is_unlisted_once() {
    let mut scheduler = scheduler(&[info("w1", 1)]);
    assert!(!scheduler.worker_unlisted("odd"));
    assert!(scheduler.worker_unlisted("w1"));
    assert!(!scheduler.worker_unlisted("w1"));
    scheduler.worker_listed(at(1_100), info("w1", 2));
    assert!(scheduler.worker_unlisted("w1"));
}
