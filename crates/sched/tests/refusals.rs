//! Refusals of start orders that are sent again because an earlier one was not answered.

use std::time::Duration;

use jobs::{End, EndKind, Job, JobId, Queue, State, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, EndedRow, Listing, Now, Recovered, SchedConfig, Scheduler, StartAnswer, StartOrder,
    StopOrder, WorkerInfo,
};

const JOB: JobId = JobId(7);

/// The task that the tests look at.
const TASK: TaskKey = TaskKey {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

/// The refusals that say nothing about an earlier order for the same run.
const REFUSALS: [StartAnswer; 6] = [
    StartAnswer::NotSent,
    StartAnswer::OtherLife,
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

fn queue(max_failures: u32) -> Queue {
    Queue {
        name: "lookup".into(),
        pool: "desk".into(),
        max_failures,
        ..Queue::default()
    }
}

/// Returns a scheduler with three workers and a job of `tasks` tasks, one for each worker.
fn scheduler(now: Now, tasks: u32, is_gang: bool, max_failures: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    scheduler.set_queues([queue(max_failures)]);
    for name in ["w1", "w2", "w3"] {
        let info = WorkerInfo {
            name: name.into(),
            address: name.to_owned(),
            pool: "desk".into(),
            size: Size::new(8_000, 32_000, 0),
            started_unix_ms: 1,
            ..WorkerInfo::default()
        };
        scheduler.worker_listed(now, info);
        let id = scheduler.worker_id(name).unwrap();
        poll(&mut scheduler, now, id, Vec::new());
    }
    let job = Job {
        queue: queue(max_failures),
        steps: vec![Step {
            tasks,
            size: Size::new(8_000, 16_000, 0),
            estimate_ms: 800,
            gang: is_gang,
            ..Step::default()
        }],
        ..Job::default()
    };
    scheduler.job_stored(now, JOB, job);
    scheduler
}

/// Answers a poll with these ends and no runs in progress.
fn poll(scheduler: &mut Scheduler, now: Now, worker: WorkerId, ended: Vec<EndedRow>) {
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: 500 + now.time.as_ms(),
        ended,
        ..Listing::default()
    };
    scheduler.polled(now, worker, now.time, &listing);
}

fn end(key: TaskKey, run: u32, kind: EndKind) -> EndedRow {
    EndedRow {
        number: 1,
        end: End {
            key,
            run,
            kind,
            checkpoint: String::new(),
        },
    }
}

/// Runs a pass, stores its changes, and returns the orders.
fn orders(scheduler: &mut Scheduler, now: Now) -> (Vec<StartOrder>, Vec<StopOrder>) {
    scheduler.request_pass();
    scheduler.decide(now);
    let mut actions = scheduler.take_actions();
    if scheduler.take_batch(now).is_some() {
        scheduler.batch_stored(now);
    }
    actions.extend(scheduler.take_actions());
    let mut starts = Vec::new();
    let mut stops = Vec::new();
    for action in actions {
        match action {
            Action::Start(order) => starts.push(order),
            Action::Stop(order) => stops.push(order),
            _ => {}
        }
    }
    (starts, stops)
}

/// Starts the job's tasks. The order for [`TASK`] goes unanswered twice, and the third one is answered with
/// `refusal`. The other tasks are running. Returns the order for [`TASK`].
fn refuse_repeated_order(scheduler: &mut Scheduler, now: Now, refusal: StartAnswer) -> StartOrder {
    let (starts, _) = orders(scheduler, now);
    for order in starts.iter().filter(|order| order.key != TASK) {
        scheduler.start_answered(now, order, StartAnswer::Started);
    }
    let first = starts.iter().find(|order| order.key == TASK).unwrap();
    let mut last = first.clone();
    for _ in 0..2 {
        scheduler.start_answered(now, &last, StartAnswer::Unknown);
        let (mut again, _) = orders(scheduler, now);
        assert_eq!(again.len(), 1, "the order is sent again");
        last = again.remove(0);
    }
    scheduler.start_answered(now, &last, refusal);
    last
}

/// Guards against a second run of a task beside the first, which was started by an unanswered order while the
/// worker refused the repeated one.
#[test]
fn a_task_does_not_run_twice_after_its_repeated_start_is_refused() {
    for refusal in REFUSALS {
        let now = at_ms(1_000);
        let mut scheduler = scheduler(now, 1, false, 3);
        let order = refuse_repeated_order(&mut scheduler, now, refusal);
        let (starts, stops) = orders(&mut scheduler, now);
        assert_eq!(
            starts,
            [],
            "{refusal:?}: the first order may be carried out"
        );
        let stop = StopOrder {
            worker: order.worker,
            started_unix_ms: 1,
            key: TASK,
            run: order.run,
        };
        assert_eq!(stops, [stop], "{refusal:?}");
        // Lists that were requested before the stop was answered do not show that the run cannot begin.
        poll(&mut scheduler, at_ms(1_010), order.worker, Vec::new());
        assert_eq!(orders(&mut scheduler, at_ms(1_010)).0, [], "{refusal:?}");
        scheduler.stop_answered(at_ms(1_020), &stop);
        poll(&mut scheduler, at_ms(1_030), order.worker, Vec::new());
        let (starts, _) = orders(&mut scheduler, at_ms(1_030));
        assert_eq!(starts.len(), 1, "{refusal:?}: the task starts again");
        assert_eq!(starts[0].run, order.run + 1);
    }
}

/// Guards against a second run of a gang beside a member of the first one, and against members that wait in
/// vain for the one whose start is given up.
#[test]
fn a_gang_does_not_run_twice_after_a_members_repeated_start_is_refused() {
    for refusal in REFUSALS {
        let now = at_ms(1_000);
        let mut scheduler = scheduler(now, 2, true, 3);
        let order = refuse_repeated_order(&mut scheduler, now, refusal);
        let (starts, stops) = orders(&mut scheduler, now);
        assert_eq!(starts, [], "{refusal:?}");
        let mut stopped: Vec<u32> = stops.iter().map(|stop| stop.key.index).collect();
        stopped.sort_unstable();
        assert_eq!(stopped, [0, 1], "{refusal:?}: all members are stopped");
        let other = stops.iter().find(|stop| stop.key != TASK).unwrap();
        let row = end(other.key, other.run, EndKind::Interrupted);
        poll(&mut scheduler, at_ms(1_010), other.worker, vec![row]);
        let (starts, _) = orders(&mut scheduler, at_ms(1_010));
        assert_eq!(starts, [], "{refusal:?}: a member may still begin");
        let own = stops.iter().find(|stop| stop.key == TASK).unwrap();
        scheduler.stop_answered(at_ms(1_020), own);
        poll(&mut scheduler, at_ms(1_030), own.worker, Vec::new());
        let (starts, _) = orders(&mut scheduler, at_ms(1_030));
        let runs: Vec<u32> = starts.iter().map(|start| start.run).collect();
        assert_eq!(
            runs,
            [order.run + 1; 2],
            "{refusal:?}: the gang starts again"
        );
    }
}

/// Guards against more failed runs than the queue allows: a run that the scheduler took for never begun fails,
/// and its failure is acknowledged without being counted.
#[test]
fn a_failure_counts_though_the_repeated_start_was_refused() {
    for refusal in REFUSALS {
        let now = at_ms(1_000);
        let mut scheduler = scheduler(now, 1, false, 1);
        let order = refuse_repeated_order(&mut scheduler, now, refusal);
        let row = end(TASK, order.run, EndKind::Failed);
        poll(&mut scheduler, at_ms(1_500), order.worker, vec![row]);
        assert_eq!(
            orders(&mut scheduler, at_ms(1_500)).0,
            [],
            "{refusal:?}: the task has failed as often as it may"
        );
        let states: Vec<_> = scheduler.states().collect();
        assert_eq!(states, [(JOB, State::Failed)], "{refusal:?}");
    }
}

/// A refusal of the only order sent so far is final: the task starts elsewhere at once.
#[test]
fn a_task_whose_only_order_is_refused_starts_again_at_once() {
    for refusal in REFUSALS {
        let now = at_ms(1_000);
        let mut scheduler = scheduler(now, 1, false, 3);
        let (starts, _) = orders(&mut scheduler, now);
        scheduler.start_answered(now, &starts[0], refusal);
        let later = Now {
            time: now.time + Duration::from_millis(10),
            ..now
        };
        assert_eq!(orders(&mut scheduler, later).0.len(), 1, "{refusal:?}");
    }
}

/// Guards against a run that no cancellation can stop: an outdated order was taken for a stop, which was never sent.
#[test]
fn a_run_whose_repeated_start_is_outdated_is_stopped() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now, 1, false, 3);
    let order = refuse_repeated_order(&mut scheduler, now, StartAnswer::Outdated);
    let (starts, stops) = orders(&mut scheduler, now);
    assert_eq!(starts, []);
    assert_eq!(stops.len(), 1);
    assert_eq!(stops[0].run, order.run);
}

/// Guards against a second run of a task whose first run has succeeded before its start was repeated.
#[test]
fn a_success_counts_though_the_repeated_start_is_outdated() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now, 1, false, 3);
    let order = refuse_repeated_order(&mut scheduler, now, StartAnswer::Outdated);
    let (_, stops) = orders(&mut scheduler, now);
    scheduler.stop_answered(at_ms(1_010), &stops[0]);
    let row = end(TASK, order.run, EndKind::Done);
    poll(&mut scheduler, at_ms(1_020), order.worker, vec![row]);
    assert_eq!(orders(&mut scheduler, at_ms(1_020)).0, []);
    let states: Vec<_> = scheduler.states().collect();
    assert_eq!(states, [(JOB, State::Completed)]);
}

/// Guards against a task that never starts again because its worker answers polls and refuses every stop order,
/// and against one that starts while a late order may still be carried out.
#[test]
fn a_task_whose_stop_is_never_answered_starts_again_once_its_orders_have_lapsed() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now, 1, false, 3);
    let order = refuse_repeated_order(&mut scheduler, now, StartAnswer::Unhealthy);
    let mut restarted_at = None;
    for ms in (1_100..12_000).step_by(100) {
        let (starts, _) = orders(&mut scheduler, at_ms(ms));
        if !starts.is_empty() {
            restarted_at.get_or_insert(ms);
        }
        scheduler.next_poll(at_ms(ms), order.worker);
        poll(&mut scheduler, at_ms(ms), order.worker, Vec::new());
    }
    // The lease of 5 s takes 2 % longer on the slowest clock, and a margin is added.
    let restarted_at = restarted_at.expect("the task starts again");
    assert!((6_250..6_600).contains(&restarted_at), "{restarted_at}");
}

/// Guards against a worker that is given more than it holds: a run that may still begin keeps its room.
#[test]
fn a_run_that_may_still_begin_keeps_its_room() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now, 3, false, 3);
    refuse_repeated_order(&mut scheduler, now, StartAnswer::Unhealthy);
    // Each worker has room for one task. The quarantine of the one that refused is over by then.
    let later = at_ms(4_000);
    assert_eq!(scheduler.summary(later).runs, 3);
    let (starts, _) = orders(&mut scheduler, later);
    assert_eq!(starts, []);
    assert_eq!(scheduler.summary(later).used, Size::new(24_000, 48_000, 0));
}

/// Guards against a crash that counts for a task whose start was never sent, and against a task that waits for a worker
/// that is down.
#[test]
fn a_start_that_was_not_sent_is_no_suspect_of_a_crash() {
    let now = at_ms(1_000);
    let mut scheduler = scheduler(now, 1, false, 3);
    let (starts, _) = orders(&mut scheduler, now);
    scheduler.start_answered(now, &starts[0], StartAnswer::NotSent);
    let (again, stops) = orders(&mut scheduler, at_ms(1_010));
    assert_eq!(stops, []);
    assert_eq!(again.len(), 1, "the task starts elsewhere at once");
    assert_ne!(again[0].worker, starts[0].worker);
    let listing = Listing {
        started_unix_ms: 2,
        ..Listing::default()
    };
    scheduler.polled(at_ms(1_020), starts[0].worker, now.time, &listing);
    let is_crash = |action: &Action| matches!(action, Action::Crashed { .. });
    assert!(!scheduler.take_actions().iter().any(is_crash));
}
