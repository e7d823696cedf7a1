//! The fencing tokens of orders and polls.

use jobs::{Job, JobId, Queue, Step};
use model::{Size, Time, WorkerId};
use sched::{
    Action, LeaseRow, Listing, Now, Poll, PollFailure, Recovered, SchedConfig, Scheduler,
    StartAnswer, StartOrder, WorkerInfo,
};

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

fn entry(started_unix_ms: u64) -> WorkerInfo {
    WorkerInfo {
        name: "w1".into(),
        address: "w1".into(),
        pool: "desk".into(),
        size: Size::new(8_000, 32_000, 0),
        started_unix_ms,
        ..WorkerInfo::default()
    }
}

/// Returns the first scheduler of a table, with one worker and a job of one task.
fn scheduler(now: Now) -> (Scheduler, WorkerId) {
    let epoch = LeaseRow::default().next_epoch();
    let mut scheduler = Scheduler::new(SchedConfig::default(), epoch, now, Recovered::default());
    scheduler.set_queues([queue()]);
    scheduler.worker_listed(now, entry(1));
    let id = scheduler.worker_id("w1").unwrap();
    poll(&mut scheduler, now, id, 1);
    let job = Job {
        queue: queue(),
        steps: vec![Step {
            tasks: 1,
            size: Size::new(4_000, 1_000, 0),
            estimate_ms: 800,
            ..Step::default()
        }],
        ..Job::default()
    };
    scheduler.job_stored(now, JobId(7), job);
    (scheduler, id)
}

/// Answers a poll that an incarnation has received at once, with no runs.
fn poll(scheduler: &mut Scheduler, now: Now, id: WorkerId, started_unix_ms: u64) {
    let listing = Listing {
        started_unix_ms,
        clock_ms: 500 + now.time.as_ms(),
        ..Listing::default()
    };
    scheduler.polled(now, id, now.time, &listing);
}

/// Runs a pass, stores its changes, and returns the start orders.
fn starts(scheduler: &mut Scheduler, now: Now) -> Vec<StartOrder> {
    scheduler.request_pass();
    scheduler.decide(now);
    let mut actions = scheduler.take_actions();
    if scheduler.take_batch(now).is_some() {
        scheduler.batch_stored(now);
    }
    actions.extend(scheduler.take_actions());
    let starts = actions.into_iter().filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    starts.collect()
}

/// Guards against a late order for an earlier incarnation that the new one carries out.
#[test]
fn an_order_for_an_earlier_incarnation_carries_a_lower_token() {
    let (mut scheduler, w1) = scheduler(at_ms(1_000));
    let first = starts(&mut scheduler, at_ms(1_000)).remove(0);
    scheduler.worker_listed(at_ms(1_100), entry(2));
    assert!(scheduler.fence(w1) > first.fence);
    // Lists that were requested under the lower token do not show what a late order may still start.
    poll(&mut scheduler, at_ms(1_100), w1, 2);
    assert_eq!(starts(&mut scheduler, at_ms(1_100)), []);
    poll(&mut scheduler, at_ms(1_101), w1, 2);
    let again = starts(&mut scheduler, at_ms(1_101)).remove(0);
    assert_eq!(again.run, first.run + 1);
    assert_eq!(again.fence, scheduler.fence(w1));
}

/// Guards against a scheduler that gives up because a worker has refused one of its own earlier tokens.
#[test]
fn the_refusal_of_a_token_that_was_raised_since_does_not_depose() {
    let (mut scheduler, w1) = scheduler(at_ms(1_000));
    let first = starts(&mut scheduler, at_ms(1_000)).remove(0);
    scheduler.worker_listed(at_ms(1_100), entry(2));
    scheduler.start_answered(at_ms(1_110), &first, StartAnswer::Fenced);
    assert!(!scheduler.is_deposed());
    poll(&mut scheduler, at_ms(1_120), w1, 2);
    let again = starts(&mut scheduler, at_ms(1_120)).remove(0);
    scheduler.start_answered(at_ms(1_130), &again, StartAnswer::Fenced);
    assert!(
        scheduler.is_deposed(),
        "only another scheduler has a higher token"
    );
}

/// Guards against a late acknowledgement that is taken for one of ends that were never read.
#[test]
fn an_unanswered_acknowledgement_raises_the_token() {
    let (mut scheduler, w1) = scheduler(at_ms(1_000));
    let order = starts(&mut scheduler, at_ms(1_000)).remove(0);
    scheduler.start_answered(at_ms(1_010), &order, StartAnswer::Started);
    let ended = sched::EndedRow {
        number: 1,
        end: jobs::End {
            key: order.key,
            run: order.run,
            kind: jobs::EndKind::Done,
            checkpoint: String::new(),
        },
    };
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: 1_520,
        ended: vec![ended],
        ..Listing::default()
    };
    scheduler.polled(at_ms(1_020), w1, Time::from_ms(1_015), &listing);
    starts(&mut scheduler, at_ms(1_030));
    let Poll::Now(order) = scheduler.next_poll(at_ms(3_000), w1) else {
        panic!("the end must be acknowledged");
    };
    assert_eq!(order.acknowledged, 1);
    let before = scheduler.fence(w1);
    scheduler.poll_failed(at_ms(3_700), w1, PollFailure::Silent);
    assert_eq!(scheduler.fence(w1), before + 1);
    // A poll that acknowledges nothing does no harm when it is carried out late.
    scheduler.poll_failed(at_ms(3_800), w1, PollFailure::Silent);
    assert_eq!(scheduler.fence(w1), before + 1);
}

/// Guards against a scheduler whose orders workers refuse, as they have seen higher tokens of the one before, and
/// against builds that raise the epoch by one.
#[test]
fn the_tokens_of_a_scheduler_lie_above_those_of_the_one_before() {
    let row = LeaseRow {
        epoch: 41,
        ..LeaseRow::default()
    };
    let mut scheduler = Scheduler::new(
        SchedConfig::default(),
        row.next_epoch(),
        at_ms(1_000),
        Recovered::default(),
    );
    scheduler.worker_listed(at_ms(1_000), entry(1));
    let w1 = scheduler.worker_id("w1").unwrap();
    assert_eq!(scheduler.fence(w1), row.epoch + 1);
    for started_unix_ms in 2..70_000 {
        scheduler.worker_listed(at_ms(1_000), entry(started_unix_ms));
    }
    assert_eq!(scheduler.fence(w1), row.next_epoch());
}
