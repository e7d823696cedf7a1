//! The tasks of a job that has ended are stopped, whichever scheduler learns of it and whichever worker comes back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::cell::{Cell, CellFault, CellSpec, LoadSpec, generate};
use jobs::{End, EndKind, Incarnation, Job, JobId, Progress, Queue, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, Listing, Now, Recovered, RunningRow, SchedConfig, Scheduler, StopOrder, WorkerInfo,
};

const JOB: JobId = JobId(7);

/// The tasks of the only step.
const TASKS: u32 = 2;

const fn task(index: u32) -> TaskKey {
    TaskKey {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn service() -> Step {
    Step {
        tasks: TASKS,
        size: Size::new(1_000, 1_000, 0),
        is_long_running: true,
        ..Step::default()
    }
}

fn job(step: Step) -> Job {
    Job {
        queue: Queue {
            name: "watch".into(),
            pool: "desk".into(),
            max_failures: 1,
            ..Queue::default()
        },
        steps: vec![step],
        ..Job::default()
    }
}

/// Returns the progress of a job whose tasks have all been started on w1, as run 1.
fn started(job: &Job) -> Progress {
    let mut progress = Progress::new(job);
    let tasks: Vec<_> = (0..TASKS)
        .map(|index| (task(index), Incarnation::new("w1", 1)))
        .collect();
    progress.assign(&tasks);
    progress
}

/// Returns a scheduler that has taken over, with the worker w1 that it has not polled.
fn successor(job: Job, progress: Progress) -> (Scheduler, WorkerId) {
    let recovered = Recovered {
        jobs: vec![(JOB, job)],
        progress: BTreeMap::from([(JOB, progress)]),
        ..Recovered::default()
    };
    take_over(recovered)
}

fn take_over(recovered: Recovered) -> (Scheduler, WorkerId) {
    let now = at_ms(1_000);
    let mut scheduler = Scheduler::new(SchedConfig::default(), 2, now, recovered);
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
    (scheduler, w1)
}

fn row(index: u32) -> RunningRow {
    RunningRow {
        key: task(index),
        run: 1,
        ..RunningRow::default()
    }
}

/// Answers a poll of the incarnation that started at `started_unix_ms` with a list of these tasks.
fn poll_incarnation(
    scheduler: &mut Scheduler,
    now: Now,
    worker: WorkerId,
    started_unix_ms: u64,
    running: impl IntoIterator<Item = u32>,
) {
    let listing = Listing {
        started_unix_ms,
        clock_ms: now.time.as_ms(),
        running: running.into_iter().map(row).collect(),
        ..Listing::default()
    };
    scheduler.polled(now, worker, now.time, &listing);
}

fn poll(
    scheduler: &mut Scheduler,
    now: Now,
    worker: WorkerId,
    running: impl IntoIterator<Item = u32>,
) {
    poll_incarnation(scheduler, now, worker, 1, running);
}

/// Runs a pass, stores its changes, and returns the actions.
fn decide(scheduler: &mut Scheduler, now: Now) -> Vec<Action> {
    scheduler.request_pass();
    scheduler.decide(now);
    if scheduler.take_batch(now).is_some() {
        scheduler.batch_stored(now);
    }
    scheduler.take_actions()
}

fn stops(actions: &[Action]) -> Vec<StopOrder> {
    let orders = actions.iter().filter_map(|action| match action {
        Action::Stop(order) => Some(*order),
        _ => None,
    });
    orders.collect()
}

/// Reports that these orders went without an answer.
fn fail(scheduler: &mut Scheduler, now: Now, orders: &[StopOrder]) {
    for order in orders {
        scheduler.stop_failed(now, order);
    }
}

/// Asserts that the scheduler orders stops of exactly these tasks, from the takeover until the worker has listed them and a
/// while later, and that they are over once it lists them no longer.
fn assert_stopped(scheduler: &mut Scheduler, w1: WorkerId, tasks: &[u32]) {
    poll(scheduler, at_ms(3_000), w1, tasks.iter().copied());
    let actions = decide(scheduler, at_ms(3_010));
    fail(scheduler, at_ms(3_100), &stops(&actions));
    let again = decide(scheduler, at_ms(3_500));
    for actions in [&actions, &again] {
        let stopped: BTreeSet<u32> = stops(actions).iter().map(|o| o.key.index).collect();
        assert_eq!(stopped, tasks.iter().copied().collect(), "{actions:?}");
    }
    for order in stops(&again) {
        scheduler.stop_answered(at_ms(3_510), &order);
    }
    poll(scheduler, at_ms(3_600), w1, []);
    assert_eq!(scheduler.summary(at_ms(3_600)).runs, 0);
}

/// Guards against tasks that run on for good if their job was cancelled while their worker was out of contact, and the
/// scheduler was replaced before it was back.
#[test]
fn a_successor_stops_the_tasks_of_a_job_that_was_cancelled_before() {
    let job = job(service());
    let mut progress = started(&job);
    assert!(progress.cancel());
    let (mut scheduler, w1) = successor(job, progress);
    assert_stopped(&mut scheduler, w1, &[0, 1]);
}

/// Guards against the same if the job was given up.
#[test]
fn a_successor_stops_the_tasks_of_a_job_that_was_given_up_before() {
    let job = job(service());
    let mut progress = started(&job);
    assert!(progress.give_up());
    let (mut scheduler, w1) = successor(job, progress);
    assert_stopped(&mut scheduler, w1, &[0, 1]);
}

/// Guards against the same if another task of the job has failed too often.
#[test]
fn a_successor_stops_the_tasks_of_a_job_that_failed_before() {
    let job = job(Step {
        is_long_running: false,
        ..service()
    });
    let mut progress = started(&job);
    let end = End {
        key: task(0),
        run: 1,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    };
    assert!(progress.end(&job, &end, 1));
    let (mut scheduler, w1) = successor(job, progress);
    assert_stopped(&mut scheduler, w1, &[1]);
}

/// Guards against the same if the former scheduler had not stored the cancellation in the job's progress.
#[test]
fn a_successor_stops_the_tasks_of_a_job_whose_cancellation_it_finds() {
    let job = job(service());
    let progress = started(&job);
    let (mut scheduler, w1) = take_over(Recovered {
        jobs: vec![(JOB, job)],
        progress: BTreeMap::from([(JOB, progress)]),
        cancelled: BTreeSet::from([JOB]),
        ..Recovered::default()
    });
    assert_stopped(&mut scheduler, w1, &[0, 1]);
}

/// Guards against a stop of tasks that are wanted.
#[test]
fn a_successor_stops_no_task_of_an_open_job() {
    let job = job(service());
    let progress = started(&job);
    let (mut scheduler, w1) = successor(job, progress);
    poll(&mut scheduler, at_ms(3_000), w1, [0, 1]);
    let actions = decide(&mut scheduler, at_ms(3_010));
    assert_eq!(stops(&actions), []);
    assert_eq!(scheduler.summary(at_ms(3_010)).runs, 2);
}

/// Guards against a task that runs on for good because an incarnation of its worker has confirmed its stop and ended, and the
/// next one has carried out a start order late.
#[test]
fn a_run_that_a_later_incarnation_begins_is_stopped_although_its_stop_was_confirmed() {
    let job = job(service());
    let mut progress = started(&job);
    assert!(progress.cancel());
    let (mut scheduler, w1) = successor(job, progress);
    poll(&mut scheduler, at_ms(2_000), w1, [0, 1]);
    for order in stops(&decide(&mut scheduler, at_ms(2_010))) {
        scheduler.stop_answered(at_ms(2_020), &order);
    }
    poll_incarnation(&mut scheduler, at_ms(2_100), w1, 2, []);
    poll_incarnation(&mut scheduler, at_ms(2_200), w1, 2, [1]);
    let actions = decide(&mut scheduler, at_ms(2_210));
    assert_eq!(
        stops(&actions).iter().map(|o| o.key).collect::<Vec<_>>(),
        [task(1)]
    );
    scheduler.stop_answered(at_ms(2_310), &stops(&actions)[0]);
    poll_incarnation(&mut scheduler, at_ms(2_400), w1, 2, []);
    assert_eq!(scheduler.summary(at_ms(2_400)).runs, 0);
}

/// Guards against stop calls that pile up at a worker, because each is sent beside earlier ones that are still open.
#[test]
fn no_stop_is_sent_while_an_earlier_call_for_the_run_is_open() {
    let job = job(service());
    let mut progress = started(&job);
    assert!(progress.cancel());
    let (mut scheduler, w1) = successor(job, progress);
    poll(&mut scheduler, at_ms(2_000), w1, [0, 1]);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(2_010))).len(), 2);
    for ms in (2_100..4_800).step_by(100) {
        poll(&mut scheduler, at_ms(ms), w1, [0, 1]);
        assert_eq!(stops(&decide(&mut scheduler, at_ms(ms + 10))), []);
    }
}

/// Guards against the same for runs that are not the current ones of their tasks.
#[test]
fn no_stop_of_a_stray_is_sent_while_an_earlier_call_for_it_is_open() {
    let (mut scheduler, w1) = take_over(Recovered::default());
    poll(&mut scheduler, at_ms(2_000), w1, [0]);
    let first = stops(&decide(&mut scheduler, at_ms(2_010)));
    assert_eq!(first.len(), 1);
    poll(&mut scheduler, at_ms(2_500), w1, [0]);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(2_510))), []);
    fail(&mut scheduler, at_ms(2_600), &first);
    poll(&mut scheduler, at_ms(2_700), w1, [0]);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(2_710))), first);
}

/// Guards against stops that are given up after a failure, or repeated without a pause.
#[test]
fn a_failed_stop_is_sent_again_after_a_pause() {
    let job = job(service());
    let mut progress = started(&job);
    assert!(progress.cancel());
    let (mut scheduler, w1) = successor(job, progress);
    poll(&mut scheduler, at_ms(2_000), w1, [0, 1]);
    let first = stops(&decide(&mut scheduler, at_ms(2_010)));
    assert_eq!(first.len(), 2);
    fail(&mut scheduler, at_ms(4_000), &first[..1]);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(4_290))), []);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(4_310))), first[..1]);
    scheduler.stop_answered(at_ms(4_320), &first[0]);
    fail(&mut scheduler, at_ms(4_320), &first[1..]);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(4_630))), first[1..]);
}

/// Guards against a stop that waits for the outcome of a call to an earlier incarnation of the worker, and against such a
/// call's answer being taken for one of the present incarnation.
#[test]
fn a_stop_is_sent_to_a_new_incarnation_while_a_call_to_the_earlier_one_is_open() {
    let job = job(service());
    let mut progress = started(&job);
    assert!(progress.cancel());
    let (mut scheduler, w1) = successor(job, progress);
    poll(&mut scheduler, at_ms(2_000), w1, [0, 1]);
    let earlier = stops(&decide(&mut scheduler, at_ms(2_010)));
    assert_eq!(earlier.len(), 2);
    poll_incarnation(&mut scheduler, at_ms(2_100), w1, 2, []);
    let renewed = stops(&decide(&mut scheduler, at_ms(2_410)));
    assert_eq!(renewed.len(), 2, "its lists are not read yet");
    poll_incarnation(&mut scheduler, at_ms(2_500), w1, 2, [0, 1]);
    for order in &earlier {
        scheduler.stop_answered(at_ms(2_600), order);
    }
    assert_eq!(stops(&decide(&mut scheduler, at_ms(2_610))), []);
    fail(&mut scheduler, at_ms(2_700), &renewed);
    assert_eq!(stops(&decide(&mut scheduler, at_ms(3_010))), renewed);
}

/// How long after the last fault a task of a cancelled job may run: the nodes and the host are in touch after 4 s, the
/// cancellation takes effect within 3 s, and the task stops within 0.4 s.
const STOP_LIMIT: Duration = Duration::from_millis(7_400);

/// Returns for how long after the last fault tasks of cancelled jobs ran on, in a cell that has lost its scheduler by `loss`
/// after the jobs were cancelled while a host was out of contact.
fn longest_after_faults(seed: u64, loss: CellFault) -> Duration {
    let ms = |ms| Time::ZERO + Duration::from_millis(ms);
    let (cut_at, cancelled_at, lost_at, calm_from) =
        (ms(11_500), ms(12_000), ms(13_000), ms(14_500));
    let mut load = LoadSpec {
        duration: Duration::from_secs(10),
        factor: 0.08,
        ..LoadSpec::reminders()
    };
    for kind in &mut load.kinds {
        kind.seconds = 60.0;
        kind.seconds_max = 60.0;
        kind.steps = 1.0;
        kind.gang_share = 0.0;
        kind.size = (1_000.0, 1_000.0);
    }
    let mut arrivals = generate(&load, seed);
    for arrival in &mut arrivals {
        arrival.cancelled_at = Some(cancelled_at);
    }
    let cell = CellSpec {
        arrivals,
        kinds: load.kinds,
        hosts: 4,
        host_size: Size::new(256_000, 1_048_576, 0),
        faults: vec![
            (cut_at, CellFault::HostCut(calm_from - cut_at)),
            (lost_at, loss),
        ],
        seed,
        ..CellSpec::default()
    };
    let report = Cell::new(cell).run();
    assert_eq!(report.breaches, [], "seed {seed}");
    assert!(report.starts > 0, "nothing ran");
    (report.longest_after_cancel).saturating_sub(calm_from - cancelled_at)
}

/// Guards against tasks of cancelled jobs that run on for good, whichever way the scheduler is lost.
#[test]
fn tasks_of_cancelled_jobs_stop_though_their_scheduler_is_lost() {
    let losses = [
        CellFault::SchedulerDies,
        CellFault::SchedulerGone,
        CellFault::SchedulerReplaced,
        CellFault::SchedulerPauses(Duration::from_millis(1_500)),
        CellFault::AllNodesDie,
    ];
    for loss in losses {
        let longest = (0..8).map(|seed| longest_after_faults(seed, loss)).max();
        assert!(longest <= Some(STOP_LIMIT), "{loss:?}: {longest:?}");
    }
}
