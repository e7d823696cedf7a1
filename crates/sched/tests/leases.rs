//! Leases are withheld from lost workers, and lease rows tell of them.

use jobs::{Job, JobId, Queue, Step};
use model::{Size, Time, WorkerId};
use sched::{
    Action, LeaseRow, Listing, Now, PastLeases, Poll, PollFailure, PollOrder, Recovered,
    RunningRow, SchedConfig, Scheduler, StartAnswer, StartOrder, TaskLeases, Withheld, WorkerInfo,
};
use serde::{Deserialize, Serialize};

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn listing(now: Now, order: &StartOrder) -> Listing {
    Listing {
        started_unix_ms: 1,
        clock_ms: now.time.as_ms(),
        running: vec![RunningRow {
            key: order.key,
            run: order.run,
            ..RunningRow::default()
        }],
        ..Listing::default()
    }
}

/// Runs a pass, stores its changes, and returns the orders and what the lease row tells.
fn store(scheduler: &mut Scheduler, now: Now) -> (Vec<StartOrder>, Option<TaskLeases>) {
    scheduler.request_pass();
    scheduler.decide(now);
    let batch = scheduler.take_batch(now);
    if batch.is_some() {
        scheduler.batch_stored(now);
    }
    let actions = scheduler.take_actions().into_iter();
    let starts = actions.filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    (starts.collect(), batch.and_then(|batch| batch.leases))
}

/// Returns a scheduler with a worker that runs a task, and the order that has started it.
fn scheduler() -> (Scheduler, WorkerId, StartOrder) {
    let now = at_ms(1_000);
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    let queue = Queue {
        name: "watch".into(),
        pool: "desk".into(),
        ..Queue::default()
    };
    scheduler.set_queues([queue.clone()]);
    let info = WorkerInfo {
        name: "w1".into(),
        address: "w1".into(),
        pool: "desk".into(),
        size: Size::new(8_000, 32_000, 0),
        started_unix_ms: 1,
        ..WorkerInfo::default()
    };
    scheduler.worker_listed(now, info);
    let id = scheduler.worker_id("w1").unwrap();
    let empty = Listing {
        started_unix_ms: 1,
        clock_ms: now.time.as_ms(),
        ..Listing::default()
    };
    scheduler.polled(now, id, now.time, &empty);
    let job = Job {
        queue,
        steps: vec![Step {
            tasks: 1,
            size: Size::new(1_000, 1_000, 0),
            is_long_running: true,
            ..Step::default()
        }],
        ..Job::default()
    };
    scheduler.job_stored(now, JobId(7), job);
    let (mut starts, _) = store(&mut scheduler, now);
    let order = starts.pop().unwrap();
    scheduler.start_answered(now, &order, StartAnswer::Started);
    (scheduler, id, order)
}

fn poll(scheduler: &mut Scheduler, now: Now, id: WorkerId) -> PollOrder {
    match scheduler.next_poll(now, id) {
        Poll::Now(order) => order,
        other => panic!("no poll: {other:?}"),
    }
}

/// Guards against a lease that a successor takes for withheld, because the row that it has read lists the worker.
#[test]
fn a_worker_gets_no_lease_until_a_row_that_does_not_list_it_is_stored() {
    let (mut scheduler, id, order) = scheduler();
    assert!(
        poll(&mut scheduler, at_ms(1_100), id)
            .lease_until_ms
            .is_some()
    );
    scheduler.poll_failed(at_ms(1_800), id, PollFailure::Silent);
    let (_, leases) = store(&mut scheduler, at_ms(2_200));
    assert_eq!(leases.unwrap().withheld, [], "after a short loss");
    let (_, leases) = store(&mut scheduler, at_ms(2_500));
    let withheld = leases.unwrap().withheld;
    assert_eq!(withheld.len(), 1);
    // A lease of 5 s on a clock that is 2 % slow, and 150 ms, from 1.1 s on.
    assert!((3_800..3_900).contains(&withheld[0].lapse_in_ms));

    let back = at_ms(3_000);
    scheduler.polled(back, id, back.time, &listing(back, &order));
    assert_eq!(poll(&mut scheduler, back, id).lease_until_ms, None);
    scheduler.polled(back, id, back.time, &listing(back, &order));
    let (_, leases) = store(&mut scheduler, back);
    assert_eq!(leases.unwrap().withheld, []);
    assert!(
        poll(&mut scheduler, at_ms(3_100), id)
            .lease_until_ms
            .is_some()
    );
}

/// Guards against a lease while the transaction with a row that lists the worker may still be stored.
#[test]
fn a_row_that_is_on_its_way_withholds_leases() {
    let (mut scheduler, id, order) = scheduler();
    scheduler.poll_failed(at_ms(1_800), id, PollFailure::Silent);
    let batch = scheduler.take_batch(at_ms(2_500)).unwrap();
    assert_eq!(batch.leases.unwrap().withheld.len(), 1);
    let back = at_ms(2_600);
    scheduler.polled(back, id, back.time, &listing(back, &order));
    assert_eq!(poll(&mut scheduler, back, id).lease_until_ms, None);
    scheduler.polled(back, id, back.time, &listing(back, &order));
    scheduler.batch_stored(at_ms(2_700));
    assert_eq!(poll(&mut scheduler, at_ms(2_700), id).lease_until_ms, None);
}

/// Guards against a lapse that each successor postpones.
#[test]
fn what_a_row_tells_is_passed_on_less_the_time_since() {
    let cfg = SchedConfig::default();
    let row = LeaseRow {
        holder: "n1".into(),
        leases: Some(TaskLeases {
            renewed_for_ms: 9_000,
            withheld: vec![Withheld {
                worker: "w1".into(),
                lapse_in_ms: 4_000,
            }],
        }),
        ..LeaseRow::default()
    };
    let (seen_at, now) = (Time::from_ms(10_000), Time::from_ms(10_500));
    let told = PastLeases::from_row(now, seen_at, &row, "n2", &cfg).to_row(now);
    assert_eq!(told.renewed_for_ms, 8_500);
    assert_eq!(told.withheld[0].lapse_in_ms, 3_500);
    // The holder may renew leases for 6 s without the table.
    let fresh = LeaseRow {
        leases: Some(TaskLeases::default()),
        ..row.clone()
    };
    let told = PastLeases::from_row(now, seen_at, &fresh, "n2", &cfg).to_row(now);
    assert_eq!(told.renewed_for_ms, 5_500);
    let told = PastLeases::from_row(now, seen_at, &fresh, "n1", &cfg).to_row(now);
    assert_eq!(told.renewed_for_ms, 0, "the node itself has stopped");
    // Rows of earlier builds tell nothing, even of a holder that has stopped.
    let earlier = LeaseRow {
        leases: None,
        ..row
    };
    let told = PastLeases::from_row(now, seen_at, &earlier, "n1", &cfg).to_row(now);
    assert_eq!(told.renewed_for_ms, 5_500);
}

/// The row as earlier builds define it.
#[derive(Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct EarlierRow {
    holder: String,
    address: String,
    epoch: u64,
    seq: u64,
}

/// Guards against lease rows that the build before cannot read, or the reverse.
#[test]
fn lease_rows_of_an_earlier_build_are_read_and_its_fields_come_first() {
    let earlier = EarlierRow {
        holder: "n1".into(),
        address: "n1:1".into(),
        epoch: 3,
        seq: 9,
    };
    let row: LeaseRow = jobs::decode(&jobs::encode(&earlier)).unwrap();
    assert_eq!((row.epoch, row.seq, &row.leases), (3, 9, &None));
    let told = LeaseRow {
        leases: Some(TaskLeases {
            renewed_for_ms: 1,
            withheld: Vec::new(),
        }),
        ..row
    };
    let read: EarlierRow = jobs::decode(&jobs::encode(&told)).unwrap();
    assert_eq!(read, earlier);
    let read: LeaseRow = jobs::decode(&jobs::encode(&told)).unwrap();
    assert_eq!(read, told);
}
