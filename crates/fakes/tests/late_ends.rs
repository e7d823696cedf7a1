//! Tests of a [`Fleet`] whose owner is held up, so that it notices the ends of runs late. What counts is when a
//! run was due to end, and whether its host's lease lapsed between that and the acknowledgement of the end.

use std::time::Duration;

use fakes::{
    Rng,
    cell::{Arrival, Breach, Fleet, Host},
};
use jobs::{EndKind, Job, JobId, Queue, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{StartAnswer, StartOrder, WorkerInfo};

const FIRST: WorkerId = WorkerId(0);
const OTHER: WorkerId = WorkerId(1);

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

/// A job of one task.
struct Cell {
    fleet: Fleet,
    rng: Rng,
    task: TaskKey,
}

impl Cell {
    /// Returns two hosts with accurate clocks and a job of one task that runs for `run_ms`.
    fn new(run_ms: u64) -> Self {
        let host = |name: &str| {
            let info = WorkerInfo {
                name: name.into(),
                size: Size::new(8_000, 8_000, 0),
                ..WorkerInfo::default()
            };
            Host::new(info, 0, 0)
        };
        let hosts = vec![host("w0"), host("w1")];
        let mut fleet = Fleet::new(hosts, Vec::new(), Duration::from_secs(3));
        let step = Step {
            tasks: 1,
            size: Size::new(1_000, 1_000, 0),
            ..Step::default()
        };
        let queue = Queue {
            max_failures: 1,
            ..Queue::default()
        };
        fleet.submitted(Arrival {
            at: Time::ZERO,
            kind: 0,
            id: JobId(1),
            job: Job {
                queue,
                steps: vec![step],
                ..Job::default()
            },
            seconds: vec![Duration::from_millis(run_ms).as_secs_f64()],
            cancelled_at: None,
        });
        Self {
            fleet,
            rng: Rng::new(1),
            task: TaskKey {
                job: JobId(1),
                occurrence: 0,
                step: 0,
                index: 0,
            },
        }
    }

    fn start(&mut self, at_ms: u64, worker: WorkerId, run: u32, lease_until_ms: u64) {
        let order = StartOrder {
            worker,
            key: self.task,
            run,
            spec: String::new(),
            checkpoint: String::new(),
            ticket: None,
            lease_until_ms,
            fence: 1,
            unanswered: 0,
        };
        let answer = self.fleet.start(at(at_ms), &mut self.rng, worker, &order);
        assert_eq!(answer, StartAnswer::Started);
    }

    /// Polls the first host, as a scheduler that has read its ends up to `acknowledged`.
    fn poll(&mut self, at_ms: u64, acknowledged: u64, lease_until_ms: u64) {
        let lease = Some(lease_until_ms);
        assert!(self.fleet.poll(at(at_ms), FIRST, 1, acknowledged, lease));
    }

    fn breaches(&mut self) -> Vec<Breach> {
        self.fleet.checker().report().breaches.clone()
    }

    fn first_end(&self, at_ms: u64) -> Option<EndKind> {
        let listing = self.fleet.host(FIRST).list(at(at_ms));
        listing.ended.first().map(|row| row.end.kind)
    }
}

/// The sequence of the soak's seeds 2009, 2019 and 2045: everything stands still from before the end until after
/// the lease.
#[test]
fn a_task_may_run_again_if_the_lease_lapsed_before_a_late_noticed_end_was_acknowledged() {
    let mut cell = Cell::new(3_000);
    cell.start(0, FIRST, 1, 5_000);
    cell.fleet.tick(at(10_000), FIRST);
    assert_eq!(cell.first_end(10_000), Some(EndKind::Done));
    cell.poll(10_010, 1, 15_000);
    cell.start(10_200, OTHER, 2, 15_000);
    assert_eq!(cell.breaches(), []);
}

/// The same, but the poll is handled before the timer of the end.
#[test]
fn a_poll_handled_before_a_due_end_does_not_renew_a_lapsed_run() {
    let mut cell = Cell::new(7_000);
    cell.start(0, FIRST, 1, 5_000);
    cell.poll(10_000, 0, 15_000);
    assert_eq!(cell.first_end(10_000), Some(EndKind::Interrupted));
    cell.start(10_200, OTHER, 2, 15_000);
    assert_eq!(cell.breaches(), []);
}

#[test]
fn a_run_that_was_due_to_end_does_not_overlap_one_that_begins_before_this_is_noticed() {
    let mut cell = Cell::new(7_000);
    cell.start(0, FIRST, 1, 5_000);
    cell.start(10_000, OTHER, 2, 15_000);
    assert_eq!(cell.breaches(), []);
}

#[test]
fn a_second_run_after_an_acknowledgement_within_the_lease_is_found() {
    let mut cell = Cell::new(3_000);
    cell.start(0, FIRST, 1, 5_000);
    cell.fleet.tick(at(3_000), FIRST);
    cell.poll(4_000, 1, 9_000);
    cell.start(20_000, OTHER, 2, 25_000);
    assert_eq!(cell.breaches(), [Breach::RanAgain(cell.task)]);
}

/// The end is noticed late as well, but the lease had been renewed for longer.
#[test]
fn a_second_run_after_a_late_noticed_end_within_the_lease_is_found() {
    let mut cell = Cell::new(3_000);
    cell.start(0, FIRST, 1, 5_000);
    cell.poll(1_000, 0, 12_000);
    cell.fleet.tick(at(10_000), FIRST);
    cell.poll(10_010, 1, 15_000);
    cell.start(10_200, OTHER, 2, 15_000);
    assert_eq!(cell.breaches(), [Breach::RanAgain(cell.task)]);
}

/// An end that comes after a lapsed lease, in a new one, binds again.
#[test]
fn a_second_run_after_an_end_in_a_later_lease_is_found() {
    let mut cell = Cell::new(3_000);
    cell.start(0, FIRST, 1, 2_000);
    cell.fleet.tick(at(10_000), FIRST);
    assert_eq!(cell.first_end(10_000), Some(EndKind::Interrupted));
    cell.start(10_100, FIRST, 2, 15_000);
    cell.fleet.tick(at(13_500), FIRST);
    cell.poll(13_600, 2, 18_000);
    cell.start(14_000, OTHER, 3, 19_000);
    assert_eq!(cell.breaches(), [Breach::RanAgain(cell.task)]);
}

#[test]
fn a_run_within_a_renewed_lease_still_overlaps_a_second_one() {
    let mut cell = Cell::new(20_000);
    cell.start(0, FIRST, 1, 5_000);
    cell.poll(1_000, 0, 12_000);
    cell.start(10_000, OTHER, 2, 15_000);
    assert_eq!(cell.breaches(), [Breach::RanTwice(cell.task)]);
}

/// Failures count like successes: by when the run was due to end.
#[test]
fn a_failure_noticed_late_counts_within_the_lease_only() {
    for (lease_until_ms, expected) in [(5_000, 0), (9_500, 1)] {
        let mut cell = Cell::new(3_000);
        cell.fleet.fail_all(FIRST, at(1_000));
        cell.start(0, FIRST, 1, lease_until_ms);
        cell.fleet.tick(at(9_000), FIRST);
        assert_eq!(cell.first_end(9_000), Some(EndKind::Failed));
        cell.poll(9_010, 1, 15_000);
        cell.start(9_200, OTHER, 2, 15_000);
        let breaches = cell.breaches();
        assert_eq!(breaches, vec![Breach::OverBudget(cell.task); expected]);
    }
}
