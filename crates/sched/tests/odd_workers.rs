//! Entries of the list of workers that another writer has left: sizes that no worker has.

use std::time::Duration;

use jobs::{Job, JobId, Queue, Step};
use model::{Size, Time};
use sched::{Action, Listing, Now, Recovered, RunningRow, SchedConfig, Scheduler, WorkerInfo};

const SIZE: Size = Size::new(32_000, 131_072, 0);

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
