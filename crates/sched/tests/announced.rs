//! Jobs that are announced while their rows are being stored.

use std::{sync::Arc, time::Duration};

use jobs::{End, EndKind, Job, JobId, Progress, Queue, State, Step, decode};
use model::{Size, Time, WorkerId};
use sched::{
    Action, Batch, EndedRow, Listing, Now, Recovered, RunningRow, SchedConfig, Scheduler,
    Settlement, StartAnswer, StartOrder, WorkerInfo,
};

const JOB: JobId = JobId(7);
const DIGEST: u64 = 40;

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
        max_failures: 2,
        target: Duration::from_secs(10),
        ..Queue::default()
    }
}

fn job(processors: u64) -> Job {
    let step = Step {
        tasks: 1,
        size: Size::new(processors, 1_000, 0),
        estimate_ms: 800,
        ..Step::default()
    };
    Job {
        queue: queue(),
        steps: vec![step],
        accepted_unix_ms: 1_700_000_001_000,
        ..Job::default()
    }
}

fn poll(scheduler: &mut Scheduler, now: Now, id: WorkerId, listing: Listing) {
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: 500 + now.time.as_ms(),
        ..listing
    };
    scheduler.polled(now, id, now.time, &listing);
}

/// Returns a scheduler with one worker of 8 processors that has answered a poll, unless `is_polled` is false.
fn scheduler(epoch: u64, now: Now, recovered: Recovered, is_polled: bool) -> (Scheduler, WorkerId) {
    let mut scheduler = Scheduler::new(SchedConfig::default(), epoch, now, recovered);
    scheduler.set_queues([queue()]);
    let info = WorkerInfo {
        name: "w1".into(),
        address: "w1".into(),
        pool: "desk".into(),
        size: Size::new(8_000, 32_000, 0),
        started_unix_ms: 1,
        ..WorkerInfo::default()
    };
    scheduler.worker_listed(now, info);
    let w1 = scheduler.worker_id("w1").unwrap();
    if is_polled {
        poll(&mut scheduler, now, w1, Listing::default());
    }
    scheduler.take_actions();
    (scheduler, w1)
}

/// Runs a pass and stores all changes. Returns what was stored.
fn decide_and_store(scheduler: &mut Scheduler, now: Now) -> Vec<Batch> {
    scheduler.decide(now);
    let mut batches = Vec::new();
    while let Some(batch) = scheduler.take_batch(now) {
        scheduler.batch_stored(now);
        if batch.rows.is_empty() && batch.forgotten.is_empty() {
            break;
        }
        batches.push(batch);
    }
    batches
}

fn starts(scheduler: &mut Scheduler) -> Vec<StartOrder> {
    let actions = scheduler.take_actions().into_iter();
    let order = |action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    };
    actions.filter_map(order).collect()
}

/// Returns a scheduler to which the job was announced and which has stored its start.
fn announced() -> (Scheduler, WorkerId, Progress) {
    let now = at_ms(1_000);
    let (mut scheduler, w1) = scheduler(1, now, Recovered::default(), true);
    scheduler.job_announced(now, JOB, job(4_000), DIGEST);
    let batches = decide_and_store(&mut scheduler, now);
    let row = batches.iter().flat_map(|batch| &batch.rows).next().unwrap();
    (scheduler, w1, decode(&row.1).unwrap())
}

fn assert_nothing_is_left(scheduler: &mut Scheduler, now: Now) {
    let summary = scheduler.summary(now);
    assert_eq!((summary.jobs, summary.waiting_steps), (0, 0));
    assert_eq!((summary.runs, summary.used), (0, Size::ZERO));
    assert_eq!(scheduler.states().count(), 0);
    assert_eq!(scheduler.announcement_counts().open, 0);
}

/// Guards against running or showing a job that is not known to be stored, and against a further answer of the table
/// between the end of its storage and its start.
#[test]
fn an_announced_job_starts_as_soon_as_it_is_known_to_be_stored() {
    let (mut scheduler, _, progress) = announced();
    let now = at_ms(1_300);
    assert_eq!(progress.assigned(JOB).count(), 1, "its start is stored");
    assert_eq!(scheduler.states().count(), 0);
    assert!(scheduler.summary(now).pending.is_empty());
    let actions = scheduler.take_actions();
    let shows = |action: &Action| action.is_order() || matches!(action, Action::Publish { .. });
    assert!(!actions.iter().any(shows), "{actions:?}");

    scheduler.job_settled(now, JOB, DIGEST, Settlement::Stored);
    assert_eq!(starts(&mut scheduler).len(), 1);
    let trips = scheduler.trips().starts;
    assert_eq!((trips.events, trips.trips, trips.most), (1, 1, 1));
    assert_eq!(
        scheduler.states().collect::<Vec<_>>(),
        [(JOB, State::Running)]
    );
    assert_eq!(scheduler.summary(now).pending["lookup"], 1);
    // The row that the feed reports later changes nothing.
    scheduler.job_stored(now, JOB, job(4_000));
    assert!(decide_and_store(&mut scheduler, now).is_empty());
    assert!(starts(&mut scheduler).is_empty());
}

/// Guards against a start that waits for the announcing node although the feed shows the row.
#[test]
fn the_feed_confirms_an_announcement() {
    let (mut scheduler, ..) = announced();
    scheduler.job_stored(at_ms(1_300), JOB, job(4_000));
    assert_eq!(starts(&mut scheduler).len(), 1);
}

/// Guards against an order for a start that is not stored yet, when the job's row is stored first.
#[test]
fn a_confirmed_job_still_waits_for_its_own_start_to_be_stored() {
    let now = at_ms(1_000);
    let (mut scheduler, _) = scheduler(1, now, Recovered::default(), true);
    scheduler.job_announced(now, JOB, job(4_000), DIGEST);
    scheduler.decide(now);
    assert!(scheduler.take_batch(now).is_some());
    scheduler.job_settled(now, JOB, DIGEST, Settlement::Stored);
    assert!(starts(&mut scheduler).is_empty());
    scheduler.batch_stored(now);
    assert_eq!(starts(&mut scheduler).len(), 1);
}

/// Guards against capacity or rows that remain taken by a job that was never stored.
#[test]
fn a_withdrawn_announcement_leaves_nothing_behind() {
    for is_told in [true, false] {
        let (mut scheduler, ..) = announced();
        scheduler.take_actions();
        let now = if is_told {
            let now = at_ms(1_200);
            scheduler.job_settled(now, JOB, DIGEST, Settlement::NotStored);
            now
        } else {
            assert_eq!(scheduler.next_due(at_ms(1_000)), Time::from_ms(4_000));
            at_ms(4_000)
        };
        let batches = decide_and_store(&mut scheduler, now);
        let forgotten: Vec<_> = batches.iter().flat_map(|batch| &batch.forgotten).collect();
        assert_eq!(forgotten, [&JOB], "told: {is_told}");
        assert!(batches.iter().all(|batch| batch.rows.is_empty()));
        assert_nothing_is_left(&mut scheduler, now);
        assert!(starts(&mut scheduler).is_empty());
    }
}

/// Guards against a start that is released by the storage of an earlier start of the same id: the withdrawn start and
/// the new one have the same run number.
#[test]
fn a_job_that_appears_after_its_withdrawal_waits_for_its_own_start() {
    let now = at_ms(1_000);
    let (mut scheduler, _) = scheduler(1, now, Recovered::default(), true);
    scheduler.job_announced(now, JOB, job(4_000), DIGEST);
    scheduler.decide(now);
    assert!(scheduler.take_batch(now).is_some());
    scheduler.job_settled(now, JOB, DIGEST, Settlement::NotStored);
    scheduler.job_stored(now, JOB, job(4_000));
    scheduler.decide(now);
    // The batch with the first start.
    scheduler.batch_stored(now);
    assert!(starts(&mut scheduler).is_empty());
    let batch = scheduler.take_batch(now).unwrap();
    assert_eq!((batch.rows.len(), batch.forgotten.len()), (1, 0));
    scheduler.batch_stored(now);
    assert_eq!(starts(&mut scheduler).len(), 1);
}

/// Guards against a pending deletion that removes the progress of a job whose row appears after its announcement was
/// withdrawn.
#[test]
fn a_late_row_is_a_new_job_whose_progress_is_kept() {
    let (mut scheduler, ..) = announced();
    scheduler.take_actions();
    let now = at_ms(4_000);
    scheduler.decide(now);
    scheduler.job_stored(now, JOB, job(4_000));
    let batches = decide_and_store(&mut scheduler, now);
    assert!(batches.iter().all(|batch| batch.forgotten.is_empty()));
    let rows: Vec<_> = batches.iter().flat_map(|batch| &batch.rows).collect();
    assert_eq!(rows.len(), 1);
    assert_eq!(starts(&mut scheduler).len(), 1);
}

/// Guards against starting the announced content when another node has stored other content under the same id.
#[test]
fn a_row_with_other_content_replaces_the_announced_job() {
    let (mut scheduler, ..) = announced();
    let now = at_ms(1_100);
    scheduler.job_settled(now, JOB, DIGEST + 1, Settlement::Stored);
    assert!(
        starts(&mut scheduler).is_empty(),
        "the outcome of other content"
    );
    scheduler.job_stored(now, JOB, job(6_000));
    decide_and_store(&mut scheduler, now);
    assert_eq!(starts(&mut scheduler).len(), 1);
    assert_eq!(scheduler.summary(now).used, Size::new(6_000, 1_000, 0));
}

/// Guards against a cancellation that is lost because it is seen before the job's row.
#[test]
fn a_cancellation_of_an_announced_job_takes_effect_once_it_is_stored() {
    let (mut scheduler, ..) = announced();
    let now = at_ms(1_100);
    scheduler.job_cancelled(now, JOB);
    scheduler.job_settled(now, JOB, DIGEST, Settlement::Stored);
    decide_and_store(&mut scheduler, now);
    let states: Vec<_> = scheduler.states().collect();
    assert_eq!(states, [(JOB, State::Cancelled)]);
}

/// Guards against orders that were decided before the cancellation and go out once the row is stored.
#[test]
fn a_cancelled_announced_job_does_not_start_once_it_is_stored() {
    let (mut scheduler, ..) = announced();
    let now = at_ms(1_100);
    scheduler.job_cancelled(now, JOB);
    decide_and_store(&mut scheduler, now);
    scheduler.job_settled(now, JOB, DIGEST, Settlement::Stored);
    decide_and_store(&mut scheduler, now);
    assert!(starts(&mut scheduler).is_empty());
    assert_eq!(scheduler.summary(now).used, Size::default());
}

/// Guards against a job that runs because its announcement comes after its cancellation, or its row after the announcement was
/// withdrawn.
#[test]
fn a_job_that_is_announced_after_its_cancellation_does_not_start() {
    for stored_at in [1_200, 20_000] {
        let (mut scheduler, _) = scheduler(1, at_ms(1_000), Recovered::default(), true);
        scheduler.job_cancelled(at_ms(1_050), JOB);
        scheduler.job_announced(at_ms(1_100), JOB, job(1_000), DIGEST);
        decide_and_store(&mut scheduler, at_ms(1_100));
        let now = at_ms(stored_at);
        decide_and_store(&mut scheduler, now);
        scheduler.job_settled(now, JOB, DIGEST, Settlement::Stored);
        scheduler.job_stored(now, JOB, job(1_000));
        decide_and_store(&mut scheduler, now);
        assert!(starts(&mut scheduler).is_empty());
        let states: Vec<_> = scheduler.states().collect();
        assert_eq!(states, [(JOB, State::Cancelled)]);
    }
}

/// Guards against cancellations of unknown jobs that are kept for good, and against ones that are dropped while a late write of
/// the job may still be carried out.
#[test]
fn an_early_cancellation_is_kept_until_it_has_expired() {
    let (mut scheduler, w1) = scheduler(1, at_ms(1_000), Recovered::default(), true);
    let retention = SchedConfig::default().early_cancel_retention;
    let seen = at_ms(1_000);
    scheduler.job_cancelled(seen, JOB);
    // A successor of the table's history reads it again.
    scheduler.job_cancelled(at_ms(20_000), JOB);
    let at = |time: Time| Now { time, ..seen };
    let before = at(Time::from_ms((seen.time + retention).as_ms() - 1));
    assert!(scheduler.expired_early_cancels(before).is_empty());
    let after = at(seen.time + retention);
    assert_eq!(scheduler.expired_early_cancels(after), [JOB]);
    scheduler.early_cancel_deleted(JOB);
    assert!(scheduler.expired_early_cancels(after).is_empty());
    // The table is confirmed again after the pause.
    decide_and_store(&mut scheduler, after);
    scheduler.job_stored(after, JOB, job(1_000));
    poll(&mut scheduler, after, w1, Listing::default());
    scheduler.workers_read(after, after.time);
    decide_and_store(&mut scheduler, after);
    assert_eq!(starts(&mut scheduler).len(), 1, "a new job");
}

/// Guards against the rows of a new job that are deleted with those of a cancelled job that was never stored.
#[test]
fn a_cancelled_job_that_was_never_stored_leaves_nothing_to_delete() {
    let (mut scheduler, ..) = announced();
    scheduler.job_cancelled(at_ms(1_100), JOB);
    decide_and_store(&mut scheduler, at_ms(1_100));
    decide_and_store(&mut scheduler, at_ms(10_000));
    let late = at_ms(1_000_000);
    assert!(scheduler.expired_jobs(late, 10, |_| true).is_empty());
}

/// Returns a successor that has found the progress of an announced job without its row.
fn successor(progress: Progress, now: Now) -> (Scheduler, WorkerId) {
    let recovered = Recovered {
        progress: [(JOB, progress)].into(),
        ..Recovered::default()
    };
    scheduler(65_537, now, recovered, false)
}

/// Guards against progress of a job that was never stored and that remains after a takeover, and against its deletion
/// while the former scheduler's order may still be carried out: by the worker, or by a later incarnation of it.
#[test]
fn a_successor_deletes_the_progress_of_a_job_that_was_never_stored() {
    let (_, _, progress) = announced();
    let now = at_ms(2_000);
    let (mut scheduler, w1) = successor(progress, now);
    assert!(decide_and_store(&mut scheduler, now).is_empty());
    poll(&mut scheduler, now, w1, Listing::default());
    let batches = decide_and_store(&mut scheduler, now);
    assert!(
        batches.is_empty(),
        "the order may still be sent: {batches:?}"
    );
    let now = Now {
        time: now.time + SchedConfig::default().renew_without_table,
        ..now
    };
    poll(&mut scheduler, now, w1, Listing::default());
    let batches = decide_and_store(&mut scheduler, now);
    let forgotten: Vec<_> = batches.iter().flat_map(|batch| &batch.forgotten).collect();
    assert_eq!(forgotten, [&JOB]);
    assert_nothing_is_left(&mut scheduler, now);
    assert_eq!(scheduler.announcement_counts().orphans, 0);
}

/// Guards against a second run of a task: a scheduler that was replaced without noticing it learns that an announced job
/// is stored, and its order is carried out after the successor has read the table.
#[test]
fn a_successor_keeps_the_run_that_the_former_scheduler_has_started_late() {
    let (mut former, _, progress) = announced();
    former.take_actions();
    let now = at_ms(2_000);
    let (mut successor, w1) = successor(progress, now);
    former.job_settled(now, JOB, DIGEST, Settlement::Stored);
    let order = starts(&mut former).remove(0);
    let ended = |number| EndedRow {
        number,
        end: End {
            key: order.key,
            run: order.run,
            kind: EndKind::Done,
            checkpoint: String::new(),
        },
    };
    // The worker has carried out the order before the successor's first poll. The feed is slower.
    let running = Listing {
        running: vec![RunningRow {
            key: order.key,
            run: order.run,
            ..RunningRow::default()
        }],
        ..Listing::default()
    };
    poll(&mut successor, now, w1, running);
    assert!(!successor.take_actions().iter().any(Action::is_order));
    let done = Listing {
        ended: vec![ended(1)],
        ..Listing::default()
    };
    poll(&mut successor, at_ms(2_100), w1, done.clone());
    let acknowledged = match successor.next_poll(at_ms(2_101), w1) {
        sched::Poll::Now(order) => order.acknowledged,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        acknowledged, 0,
        "the end is acknowledged before it is known"
    );

    successor.job_stored(at_ms(2_200), JOB, job(4_000));
    poll(&mut successor, at_ms(2_210), w1, done);
    decide_and_store(&mut successor, at_ms(2_220));
    assert!(starts(&mut successor).is_empty());
    let states: Vec<_> = successor.states().collect();
    assert_eq!(states, [(JOB, State::Completed)]);
}

/// Guards against a panic or a wrong progress when the row that appears belongs to another job with the same id.
#[test]
fn progress_that_does_not_suit_a_job_is_not_used() {
    let (_, _, progress) = announced();
    let now = at_ms(2_000);
    let mut other = job(4_000);
    other.steps.push(Step {
        after: vec![0],
        ..other.steps[0].clone()
    });
    for is_row_read in [true, false] {
        let recovered = Recovered {
            jobs: is_row_read
                .then(|| (JOB, other.clone()))
                .into_iter()
                .collect(),
            progress: [(JOB, progress.clone())].into(),
            ..Recovered::default()
        };
        let (mut scheduler, w1) = scheduler(65_537, now, recovered, false);
        scheduler.job_stored(now, JOB, other.clone());
        poll(&mut scheduler, now, w1, Listing::default());
        let batches = decide_and_store(&mut scheduler, now);
        assert!(batches.iter().all(|batch| batch.forgotten.is_empty()));
        let orders = starts(&mut scheduler);
        assert_eq!(orders.len(), 1);
        scheduler.start_answered(now, &orders[0], StartAnswer::Started);
        let worker: Arc<str> = "w1".into();
        assert_eq!(scheduler.worker_info(w1).name, worker);
    }
}
