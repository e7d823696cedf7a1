//! Start orders that are refused, the first time or after an earlier attempt went unanswered.

use jobs::{Job, JobId, Queue, Step};
use model::{Size, Time};
use sched::{
    Action, Listing, Now, Recovered, SchedConfig, Scheduler, StartAnswer, StartOrder, WorkerInfo,
};

const JOB: JobId = JobId(7);

const REFUSALS: [StartAnswer; 4] = [
    StartAnswer::Unhealthy,
    StartAnswer::NoApproval,
    StartAnswer::NoRoom,
    StartAnswer::Faulty,
];

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn add_worker(scheduler: &mut Scheduler, now: Now, name: &str) {
    scheduler.worker_listed(
        now,
        WorkerInfo {
            name: name.into(),
            address: name.to_owned(),
            pool: "desk".into(),
            size: Size::new(32_000, 131_072, 0),
            started_unix_ms: 1,
            ..WorkerInfo::default()
        },
    );
    let id = scheduler.worker_id(name).unwrap();
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: 500,
        ..Listing::default()
    };
    scheduler.polled(now, id, now.time, &listing);
}

/// Returns a scheduler with two workers and the first start order of a job of one task.
fn ordered(now: Now) -> (Scheduler, StartOrder) {
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    let queue = Queue {
        name: "lookup".into(),
        pool: "desk".into(),
        max_failures: 3,
        ..Queue::default()
    };
    scheduler.set_queues([queue.clone()]);
    add_worker(&mut scheduler, now, "w1");
    add_worker(&mut scheduler, now, "w2");
    let job = Job {
        queue,
        steps: vec![Step {
            tasks: 1,
            size: Size::new(8_000, 16_000, 0),
            estimate_ms: 800,
            ..Step::default()
        }],
        ..Job::default()
    };
    scheduler.job_stored(now, JOB, job);
    let order = next_start(&mut scheduler, now).unwrap();
    (scheduler, order)
}

/// Decides, stores what was decided, and returns the start order that is sent then.
fn next_start(scheduler: &mut Scheduler, now: Now) -> Option<StartOrder> {
    scheduler.decide(now);
    if scheduler.take_batch(now).is_some() {
        scheduler.batch_stored(now);
    }
    let start = |action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    };
    scheduler.take_actions().into_iter().find_map(start)
}

#[test]
fn a_run_whose_only_start_order_is_refused_starts_again_at_once() {
    for refusal in REFUSALS {
        let (mut scheduler, first) = ordered(at_ms(1_000));
        let now = at_ms(1_010);
        scheduler.start_answered(now, &first, refusal);
        let next = next_start(&mut scheduler, now);
        assert_eq!(next.map(|order| order.run), Some(2), "{refusal:?}");
    }
}

/// Guards against two runs of a task. The first attempt may have been carried out although its answer was lost,
/// and the refusal of the second one does not undo it.
#[test]
fn a_run_whose_repeated_start_order_is_refused_is_stopped_first() {
    for refusal in REFUSALS {
        let (mut scheduler, first) = ordered(at_ms(1_000));
        scheduler.start_answered(at_ms(1_700), &first, StartAnswer::Unknown);
        let again = next_start(&mut scheduler, at_ms(1_700)).unwrap();
        assert_eq!((again.worker, again.run), (first.worker, 1));
        let now = at_ms(1_710);
        scheduler.start_answered(now, &again, refusal);
        let next = next_start(&mut scheduler, now);
        assert_eq!(next, None, "{refusal:?}: run 1 may be in progress");
    }
}
