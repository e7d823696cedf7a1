//! Gangs that wait for room on the workers that may run them.

use std::{sync::Arc, time::Duration};

use jobs::{ApprovalCost, Job, JobId, Queue, Step, StepKey};
use model::{Size, Time};
use sched::{Action, Listing, Now, Recovered, SchedConfig, Scheduler, WorkerInfo};

const GANG: StepKey = StepKey {
    job: JobId(1),
    occurrence: 0,
    step: 0,
};

/// The number of workers that the gang has asked about. All are allowed, which is three times as many as it
/// needs, and all are too full for its tasks.
const ALLOWED: usize = 12;

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn queue(name: &str, approval: Option<ApprovalCost>) -> Queue {
    Queue {
        name: name.into(),
        pool: "desk".into(),
        rank: 1,
        max_failures: 3,
        target: Duration::from_secs(1),
        stretch: 2.0,
        approval,
    }
}

fn rebuild() -> Queue {
    let cost = ApprovalCost {
        base_ms: 340.0,
        per_worker_ms: 4.9,
        valid: Duration::from_millis(2_500),
    };
    queue("rebuild", Some(cost))
}

fn add_workers(scheduler: &mut Scheduler, now: Now, numbers: std::ops::Range<usize>) {
    for number in numbers {
        let name = format!("w{number}");
        let info = WorkerInfo {
            name: name.as_str().into(),
            address: name.clone(),
            pool: "desk".into(),
            size: Size::new(32_000, 131_072, 0),
            started_unix_ms: 1,
            ..WorkerInfo::default()
        };
        scheduler.worker_listed(now, info);
        let id = scheduler.worker_id(&name).unwrap();
        let listing = Listing {
            started_unix_ms: 1,
            clock_ms: 500,
            ..Listing::default()
        };
        scheduler.polled(now, id, now.time, &listing);
    }
}

fn submit(scheduler: &mut Scheduler, now: Now, id: u64, queue: Queue, step: Step) {
    let job = Job {
        queue,
        steps: vec![step],
        accepted_unix_ms: now.unix_ms,
        ..Job::default()
    };
    scheduler.job_stored(now, JobId(id), job);
}

/// Returns a scheduler with a waiting gang of four tasks, with 20 processors in use on each of the workers that
/// may run it, and with `others` empty workers that the gang has not asked about.
fn scheduler(now: Now, others: usize) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    scheduler.set_queues([queue("batch", None), rebuild()]);
    scheduler.set_approvers([Arc::from("n1"), Arc::from("n2")]);
    add_workers(&mut scheduler, now, 0..ALLOWED);
    let filler = Step {
        tasks: u32::try_from(ALLOWED).unwrap(),
        size: Size::new(20_000, 1_000, 0),
        per_worker: Some(1),
        estimate_ms: 600_000,
        ..Step::default()
    };
    submit(&mut scheduler, now, 2, queue("batch", None), filler);
    scheduler.decide(now);
    add_workers(&mut scheduler, now, ALLOWED..ALLOWED + others);
    let gang = Step {
        tasks: 4,
        gang: true,
        size: Size::new(30_000, 1_000, 0),
        estimate_ms: 4_000,
        ..Step::default()
    };
    submit(&mut scheduler, now, 1, rebuild(), gang);
    let asked: Vec<Arc<str>> = (0..ALLOWED).map(|i| format!("w{i}").into()).collect();
    let ticket: Arc<str> = "ticket".into();
    let allowed: Vec<_> = asked.iter().map(|w| (w.clone(), ticket.clone())).collect();
    let valid = Duration::from_millis(2_500);
    scheduler.approved(now, GANG, &asked, &allowed, valid);
    scheduler
}

/// Returns the workers that a pass at `now` asks about for the gang.
fn asked_about(scheduler: &mut Scheduler, now: Now) -> Vec<Arc<str>> {
    scheduler.take_actions();
    scheduler.request_pass();
    // Orders need a transaction that was stored recently.
    if scheduler.take_batch(now).is_some() {
        scheduler.batch_stored(now);
    }
    scheduler.decide(now);
    let asks = scheduler.take_actions().into_iter();
    let asks = asks.filter_map(|action| match action {
        Action::Ask { step, workers, .. } if step == GANG => Some(workers),
        _ => None,
    });
    asks.flatten().collect()
}

/// Guards against a late gang that never starts on a fleet with plenty of room, because the few workers that may
/// run it are never free at the same time.
#[test]
fn a_late_gang_asks_about_more_workers_while_most_of_the_fleet_is_free() {
    let mut scheduler = scheduler(at_ms(1_000), 28);
    let asked = asked_about(&mut scheduler, at_ms(120_000));
    assert!(!asked.is_empty());
    let is_new = |name: &Arc<str>| name[1..].parse::<usize>().unwrap() >= ALLOWED;
    assert!(asked.iter().all(is_new), "{asked:?}");
}

/// Guards against late gangs whose wide choice of workers costs the approvers' time that others need.
#[test]
fn a_late_gang_asks_about_no_more_workers_while_most_of_the_fleet_is_in_use() {
    let mut scheduler = scheduler(at_ms(1_000), 2);
    let asked = asked_about(&mut scheduler, at_ms(120_000));
    assert!(asked.is_empty(), "{asked:?}");
}
