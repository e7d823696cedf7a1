//! The tasks of a job that has ended are stopped, whichever scheduler learns of it and whichever worker comes back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::cell::{Cell, CellFault, CellSpec, LoadSpec, generate};
use jobs::{End, EndKind, Incarnation, Job, JobId, Progress, Queue, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, Listing, Now, Poll, PollFailure, Recovered, RunningRow, SchedConfig, Scheduler,
    StopOrder, WorkerInfo,
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

/// A job that stays open, with its only task on w1.
const OPEN: JobId = JobId(8);

const OPEN_TASK: TaskKey = TaskKey {
    job: OPEN,
    ..task(0)
};

/// Returns a scheduler that has taken over, and has just polled w1, which runs both tasks of a cancelled job and the one of
/// an open job. Stops are due since 2,000 ms, and all calls fail.
fn scheduler_without_stops() -> (Scheduler, WorkerId) {
    let cancelled = job(service());
    let mut progress = started(&cancelled);
    assert!(progress.cancel());
    let open = job(Step {
        tasks: 1,
        ..service()
    });
    let mut open_progress = Progress::new(&open);
    open_progress.assign(&[(OPEN_TASK, Incarnation::new("w1", 1))]);
    let (mut scheduler, w1) = take_over(Recovered {
        jobs: vec![(JOB, cancelled), (OPEN, open)],
        progress: BTreeMap::from([(JOB, progress), (OPEN, open_progress)]),
        ..Recovered::default()
    });
    let actions = decide(&mut scheduler, at_ms(1_980));
    fail(&mut scheduler, at_ms(1_990), &stops(&actions));
    poll_all(
        &mut scheduler,
        at_ms(2_000),
        w1,
        &[task(0), task(1), OPEN_TASK],
    );
    (scheduler, w1)
}

/// Answers a poll with a list of these tasks.
fn poll_all(scheduler: &mut Scheduler, now: Now, worker: WorkerId, running: &[TaskKey]) {
    let rows = running.iter().map(|&key| RunningRow { key, ..row(0) });
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: now.time.as_ms(),
        running: rows.collect(),
        ..Listing::default()
    };
    scheduler.polled(now, worker, now.time, &listing);
}

/// Returns until when a poll that is sent now renews the leases, in milliseconds, if it does.
fn renewal(scheduler: &mut Scheduler, now: Now, worker: WorkerId) -> Option<u64> {
    match scheduler.next_poll(now, worker) {
        Poll::Now(order) => order.lease_until_ms,
        other => panic!("no poll is due: {other:?}"),
    }
}

/// Returns how often a report that stops are overdue is among the actions.
fn overdue_reports(actions: &[Action]) -> usize {
    let is_report = |action: &&Action| matches!(action, Action::StopsOverdue { .. });
    actions.iter().filter(is_report).count()
}

/// Polls w1, which lists these tasks, from `from_ms` every second until before `to_ms`, and has all stops fail. Returns until
/// when its leases are renewed at the end, and the number of reports that its stops are overdue.
fn poll_without_stops(
    scheduler: &mut Scheduler,
    w1: WorkerId,
    (from_ms, to_ms): (u64, u64),
    running: &[TaskKey],
) -> (u64, usize) {
    let (mut lease, mut reports) = (0, 0);
    for ms in (from_ms..to_ms).step_by(1_000) {
        lease = renewal(scheduler, at_ms(ms), w1).unwrap_or(0).max(lease);
        let actions = decide(scheduler, at_ms(ms + 500));
        fail(scheduler, at_ms(ms + 510), &stops(&actions));
        reports += overdue_reports(&actions);
        poll_all(scheduler, at_ms(ms + 1_000), w1, running);
    }
    (lease, reports)
}

/// Guards against leases that are renewed for good at a worker that answers polls and no stops, and against new work there.
#[test]
fn the_leases_of_a_worker_that_answers_no_stops_are_not_renewed_until_it_does() {
    let (mut scheduler, w1) = scheduler_without_stops();
    let all = [task(0), task(1), OPEN_TASK];
    let (lease, _) = poll_without_stops(&mut scheduler, w1, (2_000, 5_000), &all);
    assert_eq!(lease, 9_000, "stops are not overdue when the poll is sent");
    let (lease, reports) = poll_without_stops(&mut scheduler, w1, (5_000, 8_000), &all);
    assert_eq!((lease, reports), (0, 1), "reported once");
    assert_eq!(scheduler.summary(at_ms(8_000)).workers, 0);
    // One answered stop shows that orders get through.
    let order = stops(&decide(&mut scheduler, at_ms(8_010)))[0];
    scheduler.stop_answered(at_ms(8_020), &order);
    assert_eq!(scheduler.summary(at_ms(8_020)).workers, 1);
    assert!(renewal(&mut scheduler, at_ms(8_030), w1).is_some());
    // The other stop counts anew from then.
    poll_all(
        &mut scheduler,
        at_ms(8_040),
        w1,
        &[task(1), task(0), OPEN_TASK],
    );
    let (lease, reports) = poll_without_stops(&mut scheduler, w1, (8_050, 15_000), &all);
    assert_eq!((lease, reports), (15_050, 1));
}

/// Guards against tasks that lapse on a worker that carries out stops as late as starts, and answers none of them.
#[test]
fn a_worker_that_carries_out_stops_late_keeps_its_other_tasks() {
    let (mut scheduler, w1) = scheduler_without_stops();
    let cfg = SchedConfig::default();
    let late_ms = u64::try_from(cfg.late_start.as_millis()).unwrap();
    // A stop takes 0.4 s at most.
    let ended_ms = 2_000 + late_ms + 400;
    let all = [task(0), task(1), OPEN_TASK];
    let (lease, _) = poll_without_stops(&mut scheduler, w1, (2_000, ended_ms), &all);
    assert!(lease > ended_ms, "{lease} ms");
    // The poll that was open then is answered at once.
    poll_all(&mut scheduler, at_ms(ended_ms + 20), w1, &[OPEN_TASK]);
    assert_eq!(scheduler.summary(at_ms(ended_ms + 20)).runs, 1);
    let renewed = renewal(&mut scheduler, at_ms(ended_ms + 30), w1);
    assert!(
        lease > ended_ms + 30 && renewed > Some(lease),
        "{renewed:?}"
    );
}

/// Guards against leases that lapse because a worker was out of contact while a stop was due.
#[test]
fn a_stop_is_not_overdue_because_its_worker_was_silent() {
    let (mut scheduler, w1) = scheduler_without_stops();
    let all = [task(0), task(1), OPEN_TASK];
    scheduler.next_poll(at_ms(2_000), w1);
    scheduler.poll_failed(at_ms(2_700), w1, PollFailure::Silent);
    poll_all(&mut scheduler, at_ms(6_700), w1, &all);
    let (lease, reports) = poll_without_stops(&mut scheduler, w1, (6_700, 9_700), &all);
    assert_eq!((lease, reports), (13_700, 0));
    let (lease, reports) = poll_without_stops(&mut scheduler, w1, (9_700, 11_700), &all);
    assert_eq!((lease, reports), (0, 1));
}

/// How long after the last fault a task of a cancelled job may run: the nodes and the host are in touch after 4 s, the
/// cancellation takes effect within 3 s, and the task stops within 0.4 s.
const STOP_LIMIT: Duration = Duration::from_millis(7_400);

/// Returns for how long after the last fault tasks of cancelled jobs ran on, in a cell that has lost its scheduler by `loss`
/// after the jobs were cancelled while a host was out of contact.
fn longest_after_faults(seed: u64, loss: CellFault) -> Duration {
    let (cut_at, lost_at) = (Time::from_ms(11_500), Time::from_ms(13_000));
    let calm_from = Time::from_ms(14_500);
    let faults = vec![
        (cut_at, CellFault::HostCut(calm_from - cut_at)),
        (lost_at, loss),
    ];
    longest_after_cancel(seed, faults).saturating_sub(calm_from - CANCELLED_AT)
}

/// When the jobs of a cell are cancelled. Their tasks would run for a minute.
const CANCELLED_AT: Time = Time::from_ms(12_000);

/// Returns for how long tasks of cancelled jobs ran on in a cell with these faults.
fn longest_after_cancel(seed: u64, faults: Vec<(Time, CellFault)>) -> Duration {
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
        arrival.cancelled_at = Some(CANCELLED_AT);
    }
    let cell = CellSpec {
        arrivals,
        kinds: load.kinds,
        hosts: 4,
        host_size: Size::new(256_000, 1_048_576, 0),
        faults,
        seed,
        ..CellSpec::default()
    };
    let report = Cell::new(cell).run();
    assert_eq!(report.breaches, [], "seed {seed}");
    assert!(report.starts > 0, "nothing ran");
    report.longest_after_cancel
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

/// Returns for how long a task may run after the scheduler has ordered its stop, or has taken over, if its host answers polls
/// and refuses all orders: the lease is renewed until the stop is overdue, and then lapses. Messages take 0.1 s.
fn refused_limit(cfg: &SchedConfig) -> Duration {
    let drift = u32::try_from(cfg.clock_drift_milli).unwrap();
    let lapse = cfg.task_lease * 1_000 / (1_000 - drift) + cfg.lapse_margin;
    cfg.stop_overdue() + lapse + Duration::from_millis(100)
}

/// Guards against tasks of cancelled jobs that run on for good on hosts that answer polls, by which leases are renewed, and
/// refuse all orders, also if the scheduler is replaced.
#[test]
fn tasks_of_cancelled_jobs_end_on_hosts_that_refuse_all_orders() {
    let limit = refused_limit(&SchedConfig::default());
    let (refused_at, lost_at) = (Time::from_ms(11_500), Time::from_ms(13_000));
    let refused = (
        refused_at,
        CellFault::OrdersRefused(Duration::from_secs(60)),
    );
    for seed in 0..8 {
        let longest = longest_after_cancel(seed, vec![refused]);
        assert!(longest <= limit, "seed {seed}: {longest:?} > {limit:?}");
    }
    // Another node takes over so long after the loss.
    let losses = [
        (CellFault::SchedulerDies, 1),
        (CellFault::SchedulerReplaced, 0),
        (CellFault::AllNodesDie, 2),
    ];
    for (loss, takeover_s) in losses {
        let from = lost_at + Duration::from_secs(takeover_s);
        let limit = limit + (from - CANCELLED_AT);
        for seed in 0..8 {
            let longest = longest_after_cancel(seed, vec![refused, (lost_at, loss)]);
            assert!(
                longest <= limit,
                "{loss:?}, seed {seed}: {longest:?} > {limit:?}"
            );
        }
    }
}

/// Guards against tasks that run on at a worker that answers each second poll only, and no stop. Each unanswered poll may have
/// renewed its leases.
#[test]
fn the_leases_of_a_worker_that_answers_each_second_poll_and_no_stops_are_not_renewed_for_good() {
    let (mut scheduler, w1) = scheduler_without_stops();
    let all = [task(0), task(1), OPEN_TASK];
    let mut last_renewal = 0;
    for ms in (2_000..62_000).step_by(2_000) {
        if let Poll::Now(order) = scheduler.next_poll(at_ms(ms), w1)
            && order.lease_until_ms.is_some()
        {
            last_renewal = ms;
        }
        scheduler.poll_failed(at_ms(ms + 1_700), w1, PollFailure::Silent);
        assert!(matches!(
            scheduler.next_poll(at_ms(ms + 1_900), w1),
            Poll::Now(_)
        ));
        poll_all(&mut scheduler, at_ms(ms + 1_950), w1, &all);
        let actions = decide(&mut scheduler, at_ms(ms + 1_960));
        fail(&mut scheduler, at_ms(ms + 1_970), &stops(&actions));
    }
    assert!(last_renewal < 32_000, "renewed at {last_renewal} ms");
}
