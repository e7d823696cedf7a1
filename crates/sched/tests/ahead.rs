//! Approvals that are requested while the steps before still run.

use std::{sync::Arc, time::Duration};

use jobs::{ApprovalCost, Job, JobId, Queue, Step, StepKey};
use model::{Size, Time};
use sched::{Action, Listing, Now, Recovered, SchedConfig, Scheduler, WorkerInfo};

const JOB: JobId = JobId(7);
const ESTIMATE_MS: u64 = 800;

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn key(step: u16) -> StepKey {
    StepKey {
        job: JOB,
        occurrence: 0,
        step,
    }
}

fn queue() -> Queue {
    Queue {
        name: "lookup".into(),
        pool: "desk".into(),
        approval: Some(ApprovalCost {
            base_ms: 24.0,
            per_worker_ms: 0.34,
            valid: Duration::from_millis(2_500),
        }),
        ..Queue::default()
    }
}

/// Returns a scheduler with one worker and a job of two steps, the second of which depends on the first.
fn scheduler(cfg: &SchedConfig) -> Scheduler {
    let now = at_ms(0);
    let mut scheduler = Scheduler::new(*cfg, 1, now, Recovered::default());
    scheduler.set_queues([queue()]);
    scheduler.set_approvers([Arc::from("n1")]);
    let info = WorkerInfo {
        name: "w1".into(),
        address: "w1".into(),
        pool: "desk".into(),
        size: Size::new(32_000, 131_072, 0),
        started_unix_ms: 1,
        ..WorkerInfo::default()
    };
    scheduler.worker_listed(now, info);
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: 500,
        ..Listing::default()
    };
    let w1 = scheduler.worker_id("w1").unwrap();
    scheduler.polled(now, w1, now.time, &listing);
    let step = |after| Step {
        tasks: 1,
        size: Size::new(8_000, 16_000, 0),
        estimate_ms: ESTIMATE_MS,
        after,
        ..Step::default()
    };
    let job = Job {
        queue: queue(),
        steps: vec![step(vec![]), step(vec![0])],
        ..Job::default()
    };
    scheduler.job_stored(now, JOB, job);
    scheduler
}

/// Runs the scheduler for the duration of the first step, with approvals for that step only. Returns the steps for which
/// approvals were requested, and when.
fn requests(cfg: &SchedConfig) -> Vec<(u64, StepKey)> {
    let mut scheduler = scheduler(cfg);
    let worker: Arc<str> = "w1".into();
    let allowed = [(worker.clone(), Arc::from("ticket"))];
    let mut requests = Vec::new();
    for ms in 0..ESTIMATE_MS {
        let now = at_ms(ms);
        scheduler.decide(now);
        if scheduler.take_batch(now).is_some() {
            scheduler.batch_stored(now);
        }
        for action in scheduler.take_actions() {
            if let Action::Ask { step, .. } = action {
                requests.push((ms, step));
                if step == key(0) {
                    let valid = Duration::from_millis(2_500);
                    scheduler.approved(now, step, std::slice::from_ref(&worker), &allowed, valid);
                }
            }
        }
    }
    requests
}

/// Guards against a step whose first approvals are requested only once the step before it has ended, and against requests
/// so early that the tickets would have lapsed by then.
#[test]
fn the_next_step_is_asked_about_shortly_before_its_turn() {
    let requests = requests(&SchedConfig::default());
    let [(_, first), (at, second)] = requests[..] else {
        panic!("{requests:?}");
    };
    assert_eq!((first, second), (key(0), key(1)));
    assert!((ESTIMATE_MS / 2..ESTIMATE_MS - 100).contains(&at), "{at}");
}

#[test]
fn nothing_is_asked_ahead_if_that_is_switched_off() {
    let cfg = SchedConfig {
        asks_ahead: false,
        ..SchedConfig::default()
    };
    let steps: Vec<_> = requests(&cfg).into_iter().map(|(_, step)| step).collect();
    assert_eq!(steps, [key(0)]);
}
