//! Tests of `Progress` as a state machine: its guarantees hold for every order of starts and ends.

use jobs::{
    CountedCrash, Crash, End, EndKind, Incarnation, Job, JobError, JobId, Limits, Phase, Progress,
    Queue, Schedule, State, Step, StepKey, TaskKey, decode, encode,
};
use quickcheck::quickcheck;

const ID: JobId = JobId(0x5c0e_7a21_d94b_36f8);

fn step(tasks: u32, after: &[u16], gang: bool) -> Step {
    Step {
        tasks,
        after: after.to_vec(),
        gang,
        ..Step::default()
    }
}

fn job(steps: Vec<Step>) -> Job {
    Job {
        queue: Queue {
            max_failures: 3,
            ..Queue::default()
        },
        steps,
        ..Job::default()
    }
}

fn key(step: u16, index: u32) -> TaskKey {
    TaskKey {
        job: ID,
        occurrence: 0,
        step,
        index,
    }
}

fn end(key: TaskKey, run: u32, kind: EndKind) -> End {
    End {
        key,
        run,
        kind,
        checkpoint: String::new(),
    }
}

fn assign(progress: &mut Progress, tasks: &[TaskKey]) -> u32 {
    let pairs: Vec<_> = tasks
        .iter()
        .map(|&key| (key, Incarnation::new("w", 1)))
        .collect();
    progress.assign(&pairs)
}

/// One action of a random sequence.
#[derive(Clone, Copy, Debug)]
enum Event {
    Start,
    End(EndKind),
    /// An end that arrives a second time or late.
    Stale,
    Cancel,
}

fn events(bytes: &[u8]) -> impl Iterator<Item = (Event, usize)> + '_ {
    bytes.iter().map(|byte| {
        let event = match byte % 16 {
            0..=5 => Event::Start,
            6..=9 => Event::End(EndKind::Done),
            10 => Event::End(EndKind::Failed),
            11..=12 => Event::End(EndKind::Interrupted),
            13..=14 => Event::Stale,
            _ if *byte == 255 => Event::Cancel,
            _ => Event::Start,
        };
        (event, usize::from(byte / 16))
    })
}

quickcheck! {
    /// Guards against a task that has two runs at the same time, starts before its dependencies are
    /// done, or starts again after a success; against states that go backwards; and against stored
    /// values that decode to something else. Any order of starts, ends, repeated ends and
    /// cancellation can bring these about.
    fn any_order_of_starts_and_ends_is_safe(bytes: Vec<u8>) -> bool {
        let job = job(vec![step(3, &[], false), step(2, &[0], true), step(2, &[0, 1], false)]);
        let mut progress = Progress::new(&job);
        let mut running: Vec<(TaskKey, u32)> = Vec::new();
        let mut past: Vec<(TaskKey, u32)> = Vec::new();
        let mut done: Vec<TaskKey> = Vec::new();
        let mut runs: Vec<(TaskKey, u32)> = Vec::new();
        for (event, pick) in events(&bytes) {
            let before = progress.state();
            match event {
                Event::Start => {
                    let step = u16::try_from(pick % 3).unwrap();
                    let steps = StepKey { job: ID, occurrence: 0, step };
                    let waiting = progress.waiting(&job, steps);
                    let is_gang = job.steps[usize::from(step)].gang;
                    let chosen: Vec<TaskKey> = waiting
                        .iter()
                        .take(if is_gang { usize::MAX } else { 1 })
                        .map(|&index| steps.task(index))
                        .collect();
                    if chosen.is_empty() {
                        continue;
                    }
                    for task in &chosen {
                        let has_dependencies_done = job.steps[usize::from(step)].after.iter().all(|&on| {
                            (0..job.steps[usize::from(on)].tasks).all(|i| done.contains(&key(on, i)))
                        });
                        if done.contains(task) || running.iter().any(|(k, _)| k == task) || !has_dependencies_done {
                            return false;
                        }
                    }
                    let run = assign(&mut progress, &chosen);
                    if chosen.iter().any(|task| runs.iter().any(|(k, r)| k == task && *r >= run)) {
                        return false;
                    }
                    runs.extend(chosen.iter().map(|&task| (task, run)));
                    running.extend(chosen.into_iter().map(|task| (task, run)));
                }
                Event::End(kind) if !running.is_empty() => {
                    let (task, run) = running.remove(pick % running.len());
                    let is_gang = job.steps[usize::from(task.step)].gang;
                    progress.end(&job, &end(task, run, kind), 3);
                    past.push((task, run));
                    if is_gang {
                        // The end of one member ends the runs of the others.
                        let others: Vec<_> = running
                            .iter()
                            .copied()
                            .filter(|(k, r)| k.step_key() == task.step_key() && *r == run)
                            .collect();
                        running.retain(|entry| !others.contains(entry));
                        let kind = if kind == EndKind::Done { kind } else { EndKind::Interrupted };
                        for (other, run) in others {
                            progress.end(&job, &end(other, run, kind), 3);
                            past.push((other, run));
                        }
                    }
                    if kind == EndKind::Done {
                        let step = &job.steps[usize::from(task.step)];
                        let all = if step.gang { 0..step.tasks } else { task.index..task.index + 1 };
                        done.extend(all.map(|i| key(task.step, i)));
                    }
                }
                Event::Stale if !past.is_empty() => {
                    let (task, run) = past[pick % past.len()];
                    let before = progress.clone();
                    let is_changed = progress.end(&job, &end(task, run, EndKind::Done), 3);
                    if is_changed || before != progress {
                        return false;
                    }
                }
                Event::Cancel => {
                    progress.cancel();
                }
                Event::End(_) | Event::Stale => {}
            }
            if before.is_final() && progress.state() != before {
                return false;
            }
            if progress.state() == State::Completed && done.len() < 7 {
                return false;
            }
            if decode::<Progress>(&encode(&progress)).unwrap() != progress {
                return false;
            }
        }
        true
    }
}

/// Guards against counting one failed run several times when several members of the gang report it.
#[test]
fn a_failed_run_of_a_gang_counts_once() {
    let job = job(vec![step(2, &[], true)]);
    let mut progress = Progress::new(&job);
    for attempt in 1..=3 {
        let run = assign(&mut progress, &[key(0, 0), key(0, 1)]);
        assert_eq!(run, attempt);
        assert!(progress.end(&job, &end(key(0, 0), run, EndKind::Failed), 3));
        assert!(progress.end(&job, &end(key(0, 1), run, EndKind::Failed), 3));
        let expected = if attempt < 3 {
            State::Running
        } else {
            State::Failed
        };
        assert_eq!(progress.state(), expected, "attempt {attempt}");
    }
}

/// Guards against starting a gang again while members of its last run are still assigned to
/// workers.
#[test]
fn a_gang_waits_until_no_member_of_its_last_run_is_left() {
    let job = job(vec![step(2, &[], true)]);
    let mut progress = Progress::new(&job);
    let run = assign(&mut progress, &[key(0, 0), key(0, 1)]);
    progress.end(&job, &end(key(0, 0), run, EndKind::Interrupted), 3);
    assert_eq!(progress.waiting(&job, key(0, 0).step_key()), [0_u32; 0]);
    progress.end(&job, &end(key(0, 1), run, EndKind::Interrupted), 3);
    assert_eq!(progress.waiting(&job, key(0, 0).step_key()), [0, 1]);
}

/// Guards against members of a gang that resume from different checkpoints, and against checkpoints
/// that reach another step.
#[test]
fn checkpoints_are_kept_and_shared_by_gangs() {
    let job = job(vec![step(2, &[], true), step(1, &[], false)]);
    let mut progress = Progress::new(&job);
    let run = assign(&mut progress, &[key(0, 0), key(0, 1)]);
    let saved = End {
        checkpoint: "c1".into(),
        ..end(key(0, 1), run, EndKind::Interrupted)
    };
    progress.end(&job, &saved, 3);
    assert_eq!(progress.task(key(0, 0)).checkpoint, "c1");
    assert_eq!(progress.task(key(1, 0)).checkpoint, "");
}

/// Guards against a run that resumes from the checkpoint of an earlier run whose end is listed late.
#[test]
fn a_late_end_of_an_earlier_run_changes_no_checkpoint() {
    for is_gang in [false, true] {
        let job = job(vec![step(2, &[], is_gang)]);
        let mut progress = Progress::new(&job);
        let tasks = [key(0, 0), key(0, 1)];
        let stopped = |task, run, checkpoint: &str| End {
            checkpoint: checkpoint.into(),
            ..end(task, run, EndKind::Interrupted)
        };
        let first = assign(&mut progress, &tasks);
        for task in tasks {
            progress.end(&job, &stopped(task, first, "c1"), 3);
        }
        let second = assign(&mut progress, &tasks);
        assert!(!progress.end(&job, &stopped(tasks[0], first, "c0"), 3));
        assert_eq!(
            tasks.map(|task| progress.task(task).checkpoint),
            ["c1", "c1"]
        );
        for task in tasks {
            assert!(progress.end(&job, &stopped(task, second, "c2"), 3));
        }
        assert!(!progress.end(&job, &stopped(tasks[1], first, "c0"), 3));
        assert_eq!(
            tasks.map(|task| progress.task(task).checkpoint),
            ["c2", "c2"]
        );
    }
}

/// Guards against a long-running task that is not restarted, or that fails its job, after it ends.
#[test]
fn long_running_tasks_are_restarted_however_they_end() {
    let long_running = Step {
        is_long_running: true,
        ..step(1, &[], false)
    };
    let job = job(vec![long_running]);
    let mut progress = Progress::new(&job);
    for kind in [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Failed,
        EndKind::Failed,
        EndKind::Failed,
    ] {
        let run = assign(&mut progress, &[key(0, 0)]);
        assert!(progress.end(&job, &end(key(0, 0), run, kind), 3));
        assert_eq!(progress.task(key(0, 0)).phase, Phase::Waiting);
        assert_eq!(progress.state(), State::Running);
    }
}

/// Guards against a scheduled job that completes before its last occurrence is done.
#[test]
fn a_scheduled_job_completes_with_its_last_occurrence() {
    let schedule = Schedule {
        first_unix_ms: 1_000,
        interval_ms: 500,
        count: 2,
    };
    let job = Job {
        schedule: Some(schedule),
        ..job(vec![step(1, &[], false)])
    };
    assert_eq!(job.due_unix_ms(1), 1_500);
    let mut progress = Progress::new(&job);
    assert_eq!(progress.waiting(&job, key(0, 0).step_key()), [0_u32; 0]);
    for occurrence in [0, 1] {
        assert_eq!(progress.open_next(&job), occurrence);
        let task = TaskKey {
            occurrence,
            ..key(0, 0)
        };
        let run = assign(&mut progress, &[task]);
        assert_ne!(progress.state(), State::Completed);
        progress.end(&job, &end(task, run, EndKind::Done), 3);
    }
    assert_eq!(progress.state(), State::Completed);
}

type Check = fn(&JobError) -> bool;

/// Guards against accepting jobs that cannot run or whose progress does not fit into a row.
#[test]
fn invalid_jobs_are_rejected_with_the_right_error() {
    let limits = Limits::default();
    let long = "x".repeat(limits.spec_bytes + 1);
    let often = Schedule {
        count: 2,
        interval_ms: 0,
        ..Schedule::default()
    };
    let one = || vec![step(1, &[], false)];
    let cases: [(Job, Check); 6] = [
        (job(Vec::new()), |f| *f == JobError::NoSteps),
        (job(vec![step(0, &[], false)]), |f| {
            matches!(f, JobError::TaskCount { found: 0, .. })
        }),
        (job(vec![step(1, &[0], false)]), |f| {
            matches!(f, JobError::Dependency { step: 0, on: 0 })
        }),
        (job(vec![step(1, &[], false); 65]), |f| {
            matches!(f, JobError::TooManySteps { found: 65, .. })
        }),
        (
            Job {
                spec: long,
                ..job(one())
            },
            |f| matches!(f, JobError::SpecTooLong { .. }),
        ),
        (
            Job {
                schedule: Some(often),
                ..job(one())
            },
            |f| matches!(f, JobError::Schedule { count: 2, .. }),
        ),
    ];
    for (job, is_expected) in cases {
        let error = job.check().unwrap_err();
        assert!(is_expected(&error), "{error}");
    }
    assert_eq!(job(one()).check(), Ok(()));
}

/// Guards against ids and task keys that do not parse back to the same value, such as upper-case
/// ones.
#[test]
fn ids_parse_back_and_invalid_ones_are_rejected() {
    let task = key(1, 17);
    assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    assert_eq!(task.to_string().parse(), Ok(task));
    for text in [
        "",
        "5c0e",
        "5C0E7A21D94B36F8",
        "5c0e7a21d94b36f8.0.1",
        "g000000000000000.0.0.0",
    ] {
        assert!(text.parse::<TaskKey>().is_err(), "{text}");
        assert!(text.parse::<JobId>().is_err(), "{text}");
    }
}

/// Guards against decoding values of another format version, or truncated ones.
#[test]
fn bytes_of_another_format_are_rejected() {
    assert!(decode::<Progress>(&[]).is_err());
    assert!(
        decode::<Progress>(&[9, 0, 0])
            .unwrap_err()
            .to_string()
            .contains("format 9")
    );
    let bytes = encode(&Progress::new(&job(vec![step(1, &[], false)])));
    assert!(decode::<Progress>(&bytes[..bytes.len() - 1]).is_err());
}

/// The stored progress of a build that did not count crashes: two tasks, one of which has failed once.
const EARLIER_ROW: [u8; 23] = [
    1, 0, 1, 1, 1, 0, 1, 2, 0, 1, 1, 1, 99, 1, 2, 119, 50, 9, 1, 0, 0, 0, 0,
];

/// Returns the progress that `EARLIER_ROW` holds.
fn earlier_progress(job: &Job) -> Progress {
    let mut progress = Progress::new(job);
    let tasks = [
        (key(0, 0), Incarnation::new("w1", 7)),
        (key(0, 1), Incarnation::new("w2", 9)),
    ];
    progress.assign(&tasks);
    let failed = End {
        checkpoint: "c".into(),
        ..end(key(0, 0), 1, EndKind::Failed)
    };
    progress.end(job, &failed, 3);
    progress
}

fn crash(key: TaskKey, run: u32) -> Crash {
    Crash {
        key,
        run,
        is_certain: true,
        is_alone: true,
    }
}

/// Guards against rows that one of two builds cannot read during an upgrade. The earlier build ignores what follows
/// the fields that it knows.
#[test]
fn rows_of_an_earlier_build_are_read_and_its_fields_come_first() {
    let job = job(vec![step(2, &[], false)]);
    let mut progress = earlier_progress(&job);
    assert_eq!(encode(&progress), EARLIER_ROW);
    assert_eq!(decode::<Progress>(&EARLIER_ROW).unwrap(), progress);
    progress.crashed(&job, &crash(key(0, 1), 1), 3);
    progress.lapsed(key(0, 0), 1, Incarnation::new("w1", 7));
    let unweighed_row = encode(&progress);
    assert!(unweighed_row.starts_with(&EARLIER_ROW));
    assert_eq!(decode::<Progress>(&unweighed_row).unwrap(), progress);
    for length in EARLIER_ROW.len() + 1..unweighed_row.len() {
        assert!(
            decode::<Progress>(&unweighed_row[..length]).is_err(),
            "{length}"
        );
    }
    // The build before, which counts crashes, does not weigh them.
    let unweighed = progress.clone();
    progress.add_weight(key(0, 1), 2_500);
    let row = encode(&progress);
    assert!(row.starts_with(&unweighed_row));
    assert_eq!(decode::<Progress>(&row).unwrap(), progress);
    assert_eq!(decode::<Progress>(&unweighed_row).unwrap(), unweighed);
    assert_eq!(unweighed.weight(key(0, 1)), None);
    for length in unweighed_row.len() + 1..row.len() {
        assert!(decode::<Progress>(&row[..length]).is_err(), "{length}");
    }
}

/// Guards against a task that is given up after fewer crashes than allowed, or started after more.
#[test]
fn crashes_are_enough_after_three_to_five_and_each_run_counts_once() {
    let job = job(vec![step(1, &[], false)]);
    let task = key(0, 0);
    let cases = [
        // Whether the run had begun, whether the worker had nothing else, and after how many crashes the job may fail.
        (true, true, 3),
        (true, false, 4),
        (false, true, 5),
    ];
    for (is_certain, is_alone, expected) in cases {
        let mut progress = Progress::new(&job);
        for count in 1..=expected {
            let run = assign(&mut progress, &[task]);
            let crash = Crash {
                is_certain,
                is_alone,
                ..crash(task, run)
            };
            let is_enough = count == expected;
            let counted = CountedCrash { count, is_enough };
            assert_eq!(progress.crashed(&job, &crash, 3), Some(counted));
            assert_eq!(progress.crashed(&job, &crash, 3), None, "counted twice");
            progress.end(&job, &end(task, run, EndKind::Interrupted), 3);
            assert_ne!(progress.state(), State::Failed, "{count}");
        }
        assert!(progress.give_up());
        assert_eq!(progress.state(), State::Failed);
        assert!(!progress.give_up(), "given up twice");
    }
}

/// Guards against a crash that counts for a worker that was only silent, and one that is not counted because its run
/// had lapsed before.
#[test]
fn a_lapsed_run_counts_once_its_worker_has_crashed() {
    let job = job(vec![step(1, &[], false)]);
    let task = key(0, 0);
    let mut progress = Progress::new(&job);
    for run in 1..=2 {
        assign(&mut progress, &[task]);
        progress.end(&job, &end(task, run, EndKind::Interrupted), 3);
        progress.lapsed(task, run, Incarnation::new("w", 1));
    }
    assert_eq!(progress.lapsed_runs(ID).count(), 2);
    assert!(progress.forget_lapse(task, 1), "its worker was only silent");
    let counted = progress.crashed(&job, &crash(task, 2), 3);
    assert_eq!(counted.map(|counted| counted.count), Some(1));
    assert_eq!(progress.lapsed_runs(ID).count(), 0);
    assert_eq!(progress.crash_count(task), 1);
}
