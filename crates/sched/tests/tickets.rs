//! Tickets that lapse while a run is being stored, as in an outage of the table.

use std::{sync::Arc, time::Duration};

use jobs::{ApprovalCost, Job, JobId, Queue, Step, StepKey};
use model::{Size, Time, WorkerId};
use sched::{Action, Listing, Now, Recovered, SchedConfig, Scheduler, WorkerInfo};

const JOB: JobId = JobId(7);
const STEP: StepKey = StepKey {
    job: JOB,
    occurrence: 0,
    step: 0,
};

/// How long tickets are valid.
const VALID: Duration = Duration::from_millis(2_500);

/// How long the outage lasts. It is shorter than the time for which the scheduler may give orders without the
/// table.
const OUTAGE: Duration = Duration::from_secs(4);

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn after(now: Now, span: Duration) -> Now {
    at_ms((now.time + span).as_ms())
}

fn queue() -> Queue {
    Queue {
        name: "lookup".into(),
        pool: "desk".into(),
        max_failures: 3,
        approval: Some(ApprovalCost {
            base_ms: 16.0,
            per_worker_ms: 0.2,
            valid: VALID,
        }),
        ..Queue::default()
    }
}

fn add_worker(scheduler: &mut Scheduler, now: Now, name: &str) -> WorkerId {
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
    id
}

/// Returns a scheduler with a worker and a job of one task, which waits for approvals.
fn scheduler(now: Now) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    scheduler.set_queues([queue()]);
    add_worker(&mut scheduler, now, "w1");
    let job = Job {
        queue: queue(),
        steps: vec![Step {
            tasks: 1,
            size: Size::new(8_000, 16_000, 0),
            estimate_ms: 800,
            ..Step::default()
        }],
        ..Job::default()
    };
    scheduler.job_stored(now, JOB, job);
    scheduler
}

fn approve(scheduler: &mut Scheduler, now: Now) {
    let worker: Arc<str> = "w1".into();
    let allowed = [(worker.clone(), Arc::from("ticket"))];
    scheduler.approved(now, STEP, &[worker], &allowed, VALID);
}

fn starts(scheduler: &mut Scheduler) -> usize {
    let actions = scheduler.take_actions();
    let is_start = |action: &&Action| matches!(action, Action::Start(_));
    actions.iter().filter(is_start).count()
}

/// Guards against an order that the worker refuses because the ticket lapsed while the run was being stored.
#[test]
fn a_run_whose_ticket_lapsed_is_interrupted_and_started_with_a_new_one() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now);
    approve(&mut scheduler, now);
    scheduler.decide(now);
    assert!(scheduler.take_batch(now).is_some());
    let back = after(now, OUTAGE);
    scheduler.batch_stored(back);
    assert_eq!(starts(&mut scheduler), 0, "the ticket has lapsed");
    assert_eq!(scheduler.summary(back).used, Size::ZERO);
    // The interruption is stored, which takes a moment now, and the task starts with a new ticket.
    assert!(scheduler.take_batch(back).is_some());
    let stored = after(back, Duration::from_millis(20));
    scheduler.batch_stored(stored);
    approve(&mut scheduler, stored);
    scheduler.decide(stored);
    assert!(scheduler.take_batch(stored).is_some());
    scheduler.batch_stored(after(stored, Duration::from_millis(20)));
    assert_eq!(starts(&mut scheduler), 1);
}

/// Guards against runs that are decided during an outage and hold capacity until it ends, although their tickets
/// will have lapsed by then.
#[test]
fn no_run_is_decided_whose_ticket_will_not_outlast_storing() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now);
    // An empty batch renews the lease; it is not answered.
    let sent = after(now, Duration::from_secs(1));
    assert!(scheduler.take_batch(sent).is_some());
    let later = after(sent, Duration::from_secs(3));
    approve(&mut scheduler, later);
    scheduler.decide(later);
    assert_eq!(scheduler.summary(later).used, Size::ZERO);
    scheduler.batch_stored(after(later, Duration::from_millis(10)));
    let back = after(later, Duration::from_millis(20));
    // Short transactions show that the table is fast again.
    assert!(
        scheduler
            .take_batch(after(back, Duration::from_secs(1)))
            .is_some()
    );
    let stored = after(back, Duration::from_millis(1_020));
    scheduler.batch_stored(stored);
    approve(&mut scheduler, stored);
    scheduler.request_pass();
    scheduler.decide(stored);
    assert_ne!(scheduler.summary(stored).used, Size::ZERO);
}

/// Guards against a new scheduler that polls full workers before those on which tasks can start.
#[test]
fn workers_with_room_come_first() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now);
    approve(&mut scheduler, now);
    scheduler.decide(now);
    let empty = add_worker(&mut scheduler, now, "w2");
    let used = scheduler.worker_id("w1").unwrap();
    assert_eq!(scheduler.emptiest_workers(0), [empty, used]);
    assert_eq!(scheduler.emptiest_workers(1), [empty]);
}
