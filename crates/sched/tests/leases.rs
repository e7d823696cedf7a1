//! What lease rows tell about task leases, and what is granted meanwhile.

use jobs::{Incarnation, Job, JobId, Progress, Queue, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, LeaseEnd, LeaseRow, Listing, Now, PastLeases, Poll, PollFailure, PollOrder, Recovered,
    Renewer, RunningRow, SchedConfig, Scheduler, StartAnswer, StartOrder, TaskLeases, WorkerInfo,
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

const JOB: JobId = JobId(7);

const TASK: TaskKey = TaskKey {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

fn queue() -> Queue {
    Queue {
        name: "watch".into(),
        pool: "desk".into(),
        ..Queue::default()
    }
}

fn job(queue: &Queue) -> Job {
    Job {
        queue: queue.clone(),
        steps: vec![Step {
            tasks: 1,
            size: Size::new(1_000, 1_000, 0),
            is_long_running: true,
            ..Step::default()
        }],
        ..Job::default()
    }
}

fn info() -> WorkerInfo {
    WorkerInfo {
        name: "w1".into(),
        address: "w1".into(),
        pool: "desk".into(),
        size: Size::new(8_000, 32_000, 0),
        started_unix_ms: 1,
        ..WorkerInfo::default()
    }
}

/// Returns a scheduler with a worker that runs a task, and the order that has started it.
fn scheduler() -> (Scheduler, WorkerId, StartOrder) {
    let now = at_ms(1_000);
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    scheduler.set_queues([queue()]);
    scheduler.worker_listed(now, info());
    let id = scheduler.worker_id("w1").unwrap();
    let empty = Listing {
        started_unix_ms: 1,
        clock_ms: now.time.as_ms(),
        ..Listing::default()
    };
    scheduler.polled(now, id, now.time, &empty);
    scheduler.job_stored(now, JOB, job(&queue()));
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

/// The time in which a lease of 5 s lapses on a clock that is 2 % slow, with a margin of 150 ms.
const LAPSE_MS: u64 = 5_252;

/// Returns when a lease that a poll has granted has lapsed. The worker's clock shows the time of the test.
fn lapse_of(order: &PollOrder, now: Now) -> u64 {
    let lease = order.lease_until_ms.unwrap() - now.time.as_ms();
    now.time.as_ms() + lease * 1_000 / 980 + 150
}

/// Makes the worker silent from 1.8 s on, and has the row tell of it at 2.5 s. Returns until when its leases may last.
fn lose(scheduler: &mut Scheduler, id: WorkerId) -> u64 {
    let renewed = poll(scheduler, at_ms(1_100), id);
    assert!(renewed.lease_until_ms.is_some());
    scheduler.poll_failed(at_ms(1_800), id, PollFailure::Silent);
    let (_, leases) = store(scheduler, at_ms(2_200));
    assert_eq!(leases.unwrap().bounded, [], "after a short loss");
    let leases = scheduler.take_batch(at_ms(2_500)).unwrap().leases.unwrap();
    assert_eq!(leases.bounded.len(), 1);
    2_500 + leases.bounded[0].in_ms
}

/// Guards against a lease that outlasts what a successor reads in the row, and against tasks that lapse while no row can be
/// stored.
#[test]
fn leases_end_within_the_bound_until_a_row_without_it_is_stored() {
    let (mut scheduler, id, order) = scheduler();
    let bound = lose(&mut scheduler, id);
    assert!(bound > 1_100 + LAPSE_MS, "there is no time to renew leases");

    let mut polls = 0;
    for ms in 2_600..6_600 {
        let now = at_ms(ms);
        if let Poll::Now(poll) = scheduler.next_poll(now, id) {
            polls += 1;
            // The first poll only finds that the worker is back.
            let lapse = (polls > 1).then(|| lapse_of(&poll, now));
            assert!(lapse <= Some(bound), "a lease of {lapse:?} beyond {bound}");
            scheduler.polled(now, id, now.time, &listing(now, &order));
        }
    }
    assert!((10..=25).contains(&polls), "{polls} polls in 4 s");
    // The row on its way still tells the bound.
    scheduler.batch_stored(at_ms(6_700));
    let now = at_ms(6_900);
    assert!(lapse_of(&poll(&mut scheduler, now, id), now) <= bound);
    scheduler.polled(now, id, now.time, &listing(now, &order));
    let (_, leases) = store(&mut scheduler, now);
    assert_eq!(leases.unwrap().bounded, []);
    let now = at_ms(7_000);
    assert!(lapse_of(&poll(&mut scheduler, now, id), now) > 12_000);
}

/// Guards against a start that waits for a further row, or that is granted a lease beyond the bound.
#[test]
fn work_starts_on_a_worker_that_is_back_with_the_row_that_ends_the_bound() {
    let (mut scheduler, id, order) = scheduler();
    lose(&mut scheduler, id);
    let back = at_ms(2_600);
    scheduler.polled(back, id, back.time, &listing(back, &order));
    scheduler.job_stored(back, JobId(9), job(&queue()));
    scheduler.decide(back);
    scheduler.batch_stored(at_ms(2_700));
    let (starts, leases) = store(&mut scheduler, at_ms(2_700));
    assert_eq!(leases.unwrap().bounded, []);
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].lease_until_ms, 2_700 + 4_998);
}

/// Guards against a lease that the row does not tell of: a successor that replaces it would not wait.
#[test]
fn no_lease_is_renewed_before_the_first_row_is_stored() {
    let (mut first, _, order) = scheduler();
    let (mut scheduler, id) = successor(&mut first, &row("n1"), 2_000, 2_500);
    let now = at_ms(2_600);
    scheduler.polled(now, id, now.time, &listing(now, &order));
    let leases = poll(&mut scheduler, now, id).lease_until_ms;
    assert_eq!(leases, None);
    scheduler.polled(now, id, now.time, &listing(now, &order));
    let (_, leases) = store(&mut scheduler, now);
    assert!(leases.unwrap().holder_grants);
    let renewed = poll(&mut scheduler, at_ms(2_700), id);
    assert!(renewed.lease_until_ms.is_some());
}

fn row(holder: &str) -> LeaseRow {
    LeaseRow {
        holder: holder.into(),
        leases: Some(TaskLeases {
            holder_grants: true,
            ..TaskLeases::default()
        }),
        ..LeaseRow::default()
    }
}

/// Returns a scheduler on n2 that has seen this row at one time and has recovered at another, and its worker.
fn successor(
    first: &mut Scheduler,
    row: &LeaseRow,
    seen_ms: u64,
    now_ms: u64,
) -> (Scheduler, WorkerId) {
    let (seen_at, now) = (Time::from_ms(seen_ms), at_ms(now_ms));
    let cfg = SchedConfig::default();
    let past = PastLeases::from_row(Time::from_ms(seen_ms + 500), seen_at, row, "n2", &cfg);
    let job = job(&queue());
    let mut progress = Progress::new(&job);
    progress.assign(&[(TASK, Incarnation::new("w1", 1))]);
    let recovered = Recovered {
        jobs: vec![(JOB, job)],
        progress: [(JOB, progress)].into(),
        leases: Some(past),
        ..Recovered::default()
    };
    let mut scheduler = Scheduler::new(cfg, first.epoch() + 1, now, recovered);
    scheduler.set_queues([queue()]);
    scheduler.worker_listed(now, info());
    let id = scheduler.worker_id("w1").unwrap();
    (scheduler, id)
}

/// Returns when the scheduler ends a run without its worker, from a time on.
fn ends_run_at(scheduler: &mut Scheduler, from_ms: u64) -> u64 {
    let is_end = |action: &Action| matches!(action, Action::Interrupted { .. });
    let mut times = (from_ms..from_ms + 30_000).step_by(10);
    let found = times.find(|&ms| {
        scheduler.decide(at_ms(ms));
        scheduler.take_actions().iter().any(is_end)
    });
    found.unwrap()
}

/// Guards against a run elsewhere while a lease lasts that the scheduler itself has granted, because the former scheduler
/// has stopped meanwhile.
#[test]
fn a_former_scheduler_that_has_stopped_does_not_shorten_new_leases() {
    let (mut first, _, order) = scheduler();
    let (mut scheduler, id) = successor(&mut first, &row("n1"), 2_000, 9_000);
    store(&mut scheduler, at_ms(9_000));
    poll(&mut scheduler, at_ms(9_000), id);
    // The worker also lists a run of a job whose row has not been seen yet.
    let mut lists = listing(at_ms(9_010), &order);
    let orphan = TaskKey {
        job: JobId(8),
        ..order.key
    };
    lists.running.push(RunningRow {
        key: orphan,
        run: 1,
        ..RunningRow::default()
    });
    scheduler.polled(at_ms(9_010), id, Time::from_ms(9_000), &lists);
    // The row that tells the bound of a new scheduler is stored by then.
    let now = at_ms(9_300);
    let lapse = lapse_of(&poll(&mut scheduler, now, id), now);
    scheduler.node_follows(at_ms(9_400), "n1");
    scheduler.poll_failed(at_ms(9_700), id, PollFailure::Silent);
    assert!(ends_run_at(&mut scheduler, 9_700) >= lapse - 150);
}

/// Guards against a run elsewhere while a lease lasts that is longer than usual, as on the clock of another incarnation.
#[test]
fn a_successor_waits_for_longer_leases_that_a_row_tells() {
    let (mut first, id, order) = scheduler();
    let restarted = at_ms(2_000);
    let lists = Listing {
        started_unix_ms: 2,
        ..listing(restarted, &order)
    };
    first.polled(restarted, id, Time::from_ms(1_900), &lists);
    let (_, leases) = store(&mut first, at_ms(2_100));
    assert_eq!(leases.as_ref().unwrap().longer.len(), 1);
    let row = LeaseRow {
        holder: String::new(),
        leases,
        ..row("")
    };
    let (mut scheduler, id) = successor(&mut first, &row, 2_200, 2_800);
    scheduler.poll_failed(at_ms(3_500), id, PollFailure::Silent);
    // Leases of up to 10 s from 2.0 s on.
    assert!(ends_run_at(&mut scheduler, 3_500) >= 12_000);
}

/// Returns what a successor of the row, on a node, tells in its own row, for each scheduler that may renew leases.
fn renewers(row: &LeaseRow, own: &str) -> Vec<(String, u64)> {
    let (seen_at, now) = (Time::from_ms(10_000), Time::from_ms(10_500));
    let past = PastLeases::from_row(now, seen_at, row, own, &SchedConfig::default());
    let told = past.to_row(now);
    assert!(!told.holder_grants);
    let renewers = told.renewers.into_iter();
    renewers.map(|r| (r.node, r.for_ms)).collect()
}

/// Guards against a wait that each successor begins anew.
#[test]
fn what_a_row_tells_is_passed_on_less_the_time_since() {
    let end = LeaseEnd {
        worker: "w1".into(),
        in_ms: 4_000,
    };
    let leases = TaskLeases {
        renewers: vec![Renewer {
            node: "n0".into(),
            for_ms: 3_000,
        }],
        holder_grants: true,
        bounded: vec![end.clone()],
        longer: vec![end],
        unsettled: Some(vec!["w2".into()]),
    };
    let row = LeaseRow {
        holder: "n1".into(),
        leases: Some(leases.clone()),
        ..LeaseRow::default()
    };
    let (seen_at, now) = (Time::from_ms(10_000), Time::from_ms(10_500));
    let past = PastLeases::from_row(now, seen_at, &row, "n2", &SchedConfig::default());
    let told = past.to_row(now);
    assert_eq!(
        (told.bounded[0].in_ms, told.longer[0].in_ms),
        (3_500, 3_500)
    );
    assert_eq!(told.unsettled, leases.unsettled);
    // The holder may renew leases for 6 s without the table.
    let of = |node: &str, ms| (node.to_owned(), ms);
    assert_eq!(renewers(&row, "n2"), [of("n0", 2_500), of("n1", 5_500)]);
    assert_eq!(renewers(&row, "n0"), [of("n1", 5_500)]);
    assert_eq!(renewers(&row, "n1"), [of("n0", 2_500)]);
    let idle = LeaseRow {
        leases: Some(TaskLeases {
            holder_grants: false,
            ..leases
        }),
        ..row.clone()
    };
    assert_eq!(renewers(&idle, "n2"), [of("n0", 2_500)]);
    // Rows of earlier builds tell nothing, even of a holder that has stopped.
    let earlier = LeaseRow {
        leases: None,
        ..row
    };
    assert_eq!(renewers(&earlier, "n1"), [of("", 5_500)]);
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
            renewers: Vec::new(),
            holder_grants: true,
            bounded: Vec::new(),
            longer: Vec::new(),
            unsettled: Some(vec!["w1".into()]),
        }),
        ..row
    };
    let read: EarlierRow = jobs::decode(&jobs::encode(&told)).unwrap();
    assert_eq!(read, earlier);
    let read: LeaseRow = jobs::decode(&jobs::encode(&told)).unwrap();
    assert_eq!(read, told);
}

/// What the lease row of an earlier build tells about task leases.
#[derive(Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
struct EarlierLeases {
    renewers: Vec<Renewer>,
    holder_grants: bool,
    bounded: Vec<LeaseEnd>,
    longer: Vec<LeaseEnd>,
}

/// Guards against rows of which earlier builds cannot read what they know, or the reverse.
#[test]
fn workers_that_are_not_settled_come_after_the_fields_of_earlier_builds() {
    let earlier = EarlierLeases {
        holder_grants: true,
        longer: vec![LeaseEnd {
            worker: "w1".into(),
            in_ms: 9_000,
        }],
        ..EarlierLeases::default()
    };
    let told: TaskLeases = jobs::decode(&jobs::encode(&earlier)).unwrap();
    assert_eq!((&told.longer, &told.unsettled), (&earlier.longer, &None));
    let told = TaskLeases {
        unsettled: Some(Vec::new()),
        ..told
    };
    let read: EarlierLeases = jobs::decode(&jobs::encode(&told)).unwrap();
    assert_eq!(read, earlier);
    let read: TaskLeases = jobs::decode(&jobs::encode(&told)).unwrap();
    assert_eq!(read, told);
}
