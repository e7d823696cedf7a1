//! Tests that the checker finds each kind of work that no client has asked for.

use std::time::Duration;

use fakes::{
    Rng,
    cell::{Arrival, Breach, Fleet, Host},
};
use jobs::{Job, JobId, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{StartOrder, WorkerInfo};

const HOST: WorkerId = WorkerId(0);
const JOB: JobId = JobId(1);

/// How long each test lasts at most, in milliseconds.
const END_MS: u64 = 60_000;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

const fn task(index: u32) -> TaskKey {
    TaskKey {
        job: JOB,
        occurrence: 0,
        step: 0,
        index,
    }
}

struct Cell {
    fleet: Fleet,
    rng: Rng,
}

impl Cell {
    /// Returns a host with an accurate clock and a job of two tasks without an end, which save checkpoints.
    fn new(gang: bool) -> Self {
        let info = WorkerInfo {
            size: Size::new(8_000, 8_000, 0),
            ..WorkerInfo::default()
        };
        let host = Host::new(info, 0, 0).with_listed_checkpoints();
        let mut fleet = Fleet::new(vec![host], Vec::new(), Duration::from_secs(3));
        let step = Step {
            tasks: 2,
            size: Size::new(1_000, 1_000, 0),
            gang,
            saves_progress: true,
            is_long_running: true,
            ..Step::default()
        };
        fleet.submitted(Arrival {
            at: Time::ZERO,
            kind: 0,
            id: JOB,
            job: Job {
                spec: "spec".to_owned(),
                steps: vec![step],
                ..Job::default()
            },
            seconds: vec![1e6],
            cancelled_at: None,
        });
        let rng = Rng::new(1);
        Self { fleet, rng }
    }

    fn start(&mut self, at_ms: u64, key: TaskKey, run: u32, (spec, checkpoint): (&str, &str)) {
        let order = StartOrder {
            worker: HOST,
            key,
            run,
            spec: spec.to_owned(),
            checkpoint: checkpoint.to_owned(),
            ticket: None,
            lease_until_ms: END_MS,
            fence: 1,
            unanswered: 0,
        };
        (self.fleet).start(at(at_ms), &mut self.rng, HOST, &order);
    }

    /// Renews the lease until a time, checks the tasks of cancelled jobs then, and returns all breaches.
    fn run_until(&mut self, until_ms: u64) -> Vec<Breach> {
        for ms in (0..=until_ms).step_by(1_000) {
            (self.fleet).poll(at(ms), HOST, 1, 0, Some(ms + 5_000));
        }
        let checker = self.fleet.checker();
        checker.check_cancelled_runs(at(until_ms));
        checker.report().breaches.clone()
    }
}

#[test]
fn a_start_of_a_task_that_the_job_does_not_have_is_found() {
    for key in [task(2), TaskKey { step: 1, ..task(0) }] {
        let mut cell = Cell::new(false);
        cell.start(0, key, 1, ("spec", ""));
        assert_eq!(cell.run_until(1_000), [Breach::Unasked(key)]);
    }
}

#[test]
fn another_specification_is_found() {
    let mut cell = Cell::new(false);
    cell.start(0, task(0), 1, ("spec", ""));
    cell.start(0, task(1), 1, ("", ""));
    assert_eq!(cell.run_until(1_000), [Breach::OtherSpec(task(1))]);
}

#[test]
fn a_checkpoint_of_another_task_is_found_and_a_listed_one_of_the_task_is_not() {
    let mut cell = Cell::new(false);
    cell.start(0, task(0), 1, ("spec", ""));
    let listing = cell.fleet.list(at(2_500), HOST);
    let checkpoint = listing.running[0].checkpoint.clone();
    cell.fleet.stop(at(2_600), HOST, task(0), 1, 1);
    cell.start(2_700, task(0), 2, ("spec", &checkpoint));
    assert_eq!(cell.run_until(2_800), []);
    cell.start(2_900, task(1), 1, ("spec", &checkpoint));
    assert_eq!(cell.run_until(3_000), [Breach::OtherCheckpoint(task(1))]);
}

#[test]
fn members_of_a_gang_with_different_checkpoints_are_found() {
    for (is_same, expected) in [
        (true, vec![]),
        (false, vec![Breach::OtherCheckpoint(task(1))]),
    ] {
        let mut cell = Cell::new(true);
        cell.start(0, task(0), 1, ("spec", ""));
        cell.start(0, task(1), 1, ("spec", ""));
        let listing = cell.fleet.list(at(2_500), HOST);
        let saved = listing.running[1].checkpoint.clone();
        cell.fleet.stop(at(2_600), HOST, task(0), 1, 1);
        cell.start(2_700, task(0), 2, ("spec", &saved));
        let other = if is_same { saved.as_str() } else { "" };
        cell.start(2_700, task(1), 2, ("spec", other));
        assert_eq!(cell.run_until(2_800), expected);
    }
}

/// Without faults, a start is late after 3 s. Faults excuse it for as long as the owner allows.
#[test]
fn a_start_after_the_cancellation_is_found() {
    let late = vec![Breach::StartedAfterCancel(task(0))];
    for (at_ms, is_excused, expected) in [
        (3_900, false, vec![]),
        (4_100, false, late.clone()),
        (18_900, true, vec![]),
        (19_100, true, late),
    ] {
        let mut cell = Cell::new(false);
        let checker = cell.fleet.checker();
        checker.allow_start_delay(Duration::from_secs(15));
        checker.cancel_acknowledged(at(1_000), JOB);
        if is_excused {
            checker.excuse_until(at(END_MS));
        }
        cell.start(at_ms, task(0), 1, ("spec", ""));
        let breaches = cell.fleet.checker().report().breaches.clone();
        assert_eq!(breaches, expected, "{at_ms} ms");
    }
}

/// Without faults, a task must be gone after 3.4 s; in any case after 6 s without the table, a lease of 10 s on a slow
/// clock, and these 3.4 s.
#[test]
fn a_task_that_runs_on_after_the_cancellation_is_found() {
    let found = vec![Breach::RanOnAfterCancel(task(0))];
    for (until_ms, excused_ms, expected) in [
        (4_300, 0, vec![]),
        (4_500, 0, found.clone()),
        (9_300, 2_000, vec![]),
        (9_500, 2_000, found.clone()),
        (20_500, END_MS, vec![]),
        (20_700, END_MS, found),
    ] {
        let mut cell = Cell::new(false);
        cell.start(0, task(0), 1, ("spec", ""));
        let checker = cell.fleet.checker();
        checker.cancel_acknowledged(at(1_000), JOB);
        if excused_ms > 0 {
            checker.excuse_until(at(excused_ms));
        }
        assert_eq!(cell.run_until(until_ms), expected, "{until_ms} ms");
    }
}
