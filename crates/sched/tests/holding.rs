//! Which steps are held back while a gang waits for capacity.

use std::time::Duration;

use jobs::{Job, JobId, Queue, State, Step};
use model::{Size, Time};
use sched::{Listing, Now, Recovered, SchedConfig, Scheduler, WorkerInfo};

const NOW: Now = Now {
    time: Time::from_ms(1_000),
    unix_ms: 1_700_000_001_000,
};

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

/// A step of one task that runs for seconds and can wait.
fn batch() -> Step {
    step(1, 1)
}

/// A gang that fits on both workers only while both are nearly empty.
fn gang() -> Step {
    Step {
        gang: true,
        ..step(6, 9)
    }
}

/// Returns a scheduler with two workers of 32 processors, of which `used` are in use on each.
fn scheduler(used: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, NOW, Recovered::default());
    scheduler.set_queues([queue("rebuild", 1), queue("batch", 2)]);
    for name in ["w1", "w2"] {
        let info = WorkerInfo {
            name: name.into(),
            address: name.to_owned(),
            pool: "desk".into(),
            size: Size::new(32_000, 131_072, 0),
            started_unix_ms: 1,
            ..WorkerInfo::default()
        };
        scheduler.worker_listed(NOW, info);
        let id = scheduler.worker_id(name).unwrap();
        let listing = Listing {
            started_unix_ms: 1,
            clock_ms: 500,
            ..Listing::default()
        };
        scheduler.polled(NOW, id, NOW.time, &listing);
    }
    submit(&mut scheduler, 1, "batch", step(2, used));
    scheduler.decide(NOW);
    scheduler
}

fn submit(scheduler: &mut Scheduler, id: u64, queue_name: &str, step: Step) {
    let rank = if queue_name == "rebuild" { 1 } else { 2 };
    let job = Job {
        queue: queue(queue_name, rank),
        steps: vec![step],
        accepted_unix_ms: NOW.unix_ms,
        ..Job::default()
    };
    scheduler.job_stored(NOW, JobId(id), job);
}

/// Returns the numbers of held and of running steps after a pass with a waiting gang and another step.
fn held_and_runs(mut scheduler: Scheduler, gang: Step, other: Step) -> (usize, usize) {
    submit(&mut scheduler, 2, "rebuild", gang);
    submit(&mut scheduler, 3, "batch", other);
    scheduler.decide(NOW);
    let summary = scheduler.summary(NOW);
    (summary.held_steps, summary.runs)
}

/// Guards against batches that take the room that a waiting gang needs.
#[test]
fn a_step_with_slack_waits_for_a_gang() {
    assert_eq!(held_and_runs(scheduler(20), gang(), batch()), (1, 2));
}

/// Guards against tasks that are expected to be there all the time and are not.
#[test]
fn a_step_that_lasts_is_not_held_back() {
    let service = Step {
        is_long_running: true,
        ..batch()
    };
    assert_eq!(held_and_runs(scheduler(20), gang(), service), (0, 3));
}

/// Guards against work that waits although most of the fleet is free: the gang waits for something else.
#[test]
fn nothing_is_held_back_while_most_of_the_fleet_is_free() {
    assert_eq!(held_and_runs(scheduler(13), gang(), batch()), (0, 3));
}

/// Guards against batches that wait for a gang that can never run.
#[test]
fn nothing_is_held_back_for_a_gang_that_could_never_fit() {
    let too_large = Step {
        gang: true,
        ..step(40, 9)
    };
    assert_eq!(held_and_runs(scheduler(20), too_large, batch()), (0, 3));
}

/// Guards against long-running tasks that wait for as long as newer work can be in time.
#[test]
fn a_long_running_task_goes_before_newer_work() {
    let mut scheduler = scheduler(20);
    let service = Step {
        is_long_running: true,
        ..step(1, 12)
    };
    submit(&mut scheduler, 2, "batch", service);
    submit(&mut scheduler, 3, "rebuild", step(2, 12));
    scheduler.decide(NOW);
    scheduler.take_batch(NOW).unwrap();
    scheduler.batch_stored(NOW);
    let service = scheduler.states().find(|&(id, _)| id == JobId(2));
    assert_eq!(service, Some((JobId(2), State::Running)));
}

/// Guards against long-running tasks for which no worker ever becomes free enough, because smaller tasks take each
/// piece.
#[test]
fn a_long_running_task_has_a_worker_reserved_while_it_fits_nowhere() {
    let mut scheduler = scheduler(20);
    let service = Step {
        is_long_running: true,
        ..step(1, 30)
    };
    submit(&mut scheduler, 2, "batch", service);
    submit(&mut scheduler, 3, "rebuild", step(8, 3));
    scheduler.decide(NOW);
    // Both workers have 12 free processors. One is reserved, so four of the eight small tasks fit.
    assert_eq!(scheduler.summary(NOW).runs, 2 + 4);
}
