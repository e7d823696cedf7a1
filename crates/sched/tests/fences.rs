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
    scheduler.job_stored(now, JobId(7), job());
    (scheduler, id)
}

fn job() -> Job {
    Job {
        queue: queue(),
        steps: vec![Step {
            tasks: 1,
            size: Size::new(4_000, 1_000, 0),
            estimate_ms: 800,
            ..Step::default()
        }],
        ..Job::default()
    }
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

/// Returns a scheduler with a worker that has begun a task and listed its end, which is stored, and a second job.
/// Its lists were requested at 1,011 ms and read at 1,015 ms.
fn scheduler_with_end() -> (Scheduler, WorkerId) {
    let (mut scheduler, w1) = scheduler(at_ms(1_000));
    let first = starts(&mut scheduler, at_ms(1_000)).remove(0);
    scheduler.start_answered(at_ms(1_010), &first, StartAnswer::Started);
    assert_eq!(acknowledged(&mut scheduler, at_ms(1_011), w1), 0);
    scheduler.polled(at_ms(1_015), w1, Time::from_ms(1_011), &with_end(&first));
    assert_eq!(starts(&mut scheduler, at_ms(1_018)), []);
    scheduler.job_stored(at_ms(1_018), JobId(8), job());
    (scheduler, w1)
}

/// Returns a list with the end of a task.
fn with_end(order: &StartOrder) -> Listing {
    let ended = sched::EndedRow {
        number: 1,
        end: jobs::End {
            key: order.key,
            run: order.run,
            kind: jobs::EndKind::Done,
            checkpoint: String::new(),
        },
    };
    Listing {
        started_unix_ms: 1,
        clock_ms: 1_520,
        ended: vec![ended],
        ..Listing::default()
    }
}

/// Returns what the poll at this time acknowledges.
fn acknowledged(scheduler: &mut Scheduler, now: Now, id: WorkerId) -> u64 {
    let Poll::Now(order) = scheduler.next_poll(now, id) else {
        panic!("the worker must be polled at {now:?}");
    };
    order.acknowledged
}

/// Guards against a late acknowledgement that makes an unnoticed new incarnation forget the end of a run whose start
/// was ordered while the acknowledgement was open.
#[test]
fn a_start_during_an_open_acknowledgement_carries_a_higher_token() {
    let (mut scheduler, w1) = scheduler_with_end();
    assert_eq!(acknowledged(&mut scheduler, at_ms(1_020), w1), 1);
    let token = scheduler.fence(w1);
    let order = starts(&mut scheduler, at_ms(1_030)).remove(0);
    assert!(order.fence > token);
    // The poll has been overtaken by the order. It was not carried out, and the worker is there.
    scheduler.poll_failed(at_ms(1_040), w1, PollFailure::Fenced);
    assert!(!scheduler.is_deposed());
    scheduler.start_answered(at_ms(1_041), &order, StartAnswer::Started);
    assert_eq!(acknowledged(&mut scheduler, at_ms(1_042), w1), 1);
    assert_eq!(scheduler.fence(w1), order.fence);
    // Now it carries the current token.
    scheduler.poll_failed(at_ms(1_050), w1, PollFailure::Fenced);
    assert!(scheduler.is_deposed());
}

/// Guards against a late start order that is carried out by an unnoticed new incarnation before a late acknowledgement
/// that was sent after it.
#[test]
fn ends_are_acknowledged_only_when_no_earlier_start_can_be_late() {
    let (mut scheduler, w1) = scheduler_with_end();
    let order = starts(&mut scheduler, at_ms(1_020)).remove(0);
    let poll_at = Poll::At(Time::from_ms(1_215));
    assert_eq!(scheduler.next_poll(at_ms(1_025), w1), poll_at);
    assert_eq!(acknowledged(&mut scheduler, at_ms(1_215), w1), 0);
    scheduler.start_answered(at_ms(1_220), &order, StartAnswer::Unknown);
    let again = starts(&mut scheduler, at_ms(1_221)).remove(0);
    scheduler.start_answered(at_ms(1_225), &again, StartAnswer::Started);
    let late_start = SchedConfig::default().late_start.as_millis();
    let until = 1_220 + u64::try_from(late_start).unwrap();
    assert_eq!(acknowledged(&mut scheduler, at_ms(until - 1), w1), 0);
    let listing = with_end(&order);
    scheduler.polled(at_ms(until), w1, Time::from_ms(until - 1), &listing);
    assert_eq!(acknowledged(&mut scheduler, at_ms(until), w1), 1);
}

/// Guards against an acknowledgement that reaches an unnoticed new incarnation which has carried out a start order
/// since the last lists.
#[test]
fn lists_are_read_again_between_a_start_and_an_acknowledgement() {
    let (mut scheduler, w1) = scheduler_with_end();
    let order = starts(&mut scheduler, at_ms(1_020)).remove(0);
    scheduler.start_answered(at_ms(1_025), &order, StartAnswer::Started);
    let contact = SchedConfig::default().ack_contact.as_millis();
    let until = 1_015 + u64::try_from(contact).unwrap();
    assert_eq!(acknowledged(&mut scheduler, at_ms(until), w1), 0);
    let listing = with_end(&order);
    scheduler.polled(at_ms(until + 5), w1, Time::from_ms(until), &listing);
    assert_eq!(acknowledged(&mut scheduler, at_ms(until + 500), w1), 1);
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
    // There are 2^22 tokens.
    for started_unix_ms in 2..4_200_000 {
        scheduler.worker_listed(at_ms(1_000), entry(started_unix_ms));
    }
    assert_eq!(scheduler.fence(w1), row.next_epoch());
}
