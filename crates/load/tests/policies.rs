//! Each policy earns more than what it replaces, on the load that it answers.

use std::time::Duration;

use load::{Experiment, Outcome, Policy};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Half of the cell that a factor is counted on, so that the tests take seconds.
const WORKERS: usize = 24;

/// The mean of all seeds, at so many times the load that asks for 0.8 of the room.
fn mean(policy: Policy, times: f64) -> Outcome {
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| {
                let experiment = Experiment {
                    workers: WORKERS,
                    factor: times / 2.0,
                    duration: Duration::from_secs(12),
                    seed,
                    ..Experiment::default()
                };
                scope.spawn(move || experiment.run(policy).unwrap())
            })
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    let outcome = Outcome::mean(&outcomes);
    assert_eq!(outcome.breaches, 0, "{policy} at {times}");
    outcome
}

fn in_time(outcome: &Outcome, kind: &str) -> f64 {
    let kind = outcome.kinds.iter().find(|k| k.name == kind).unwrap();
    kind.in_time
}

/// The line stands for longer than most jobs may take.
#[test]
fn what_can_be_in_time_first_earns_more_than_age_when_the_line_stands() {
    let standard = mean(Policy::Standard, 2.0);
    for other in [Policy::UnexpiredFirst, Policy::Arrival, Policy::Rank] {
        let worth = mean(other, 2.0).worth;
        assert!(
            standard.worth > worth,
            "{:.3} of standard, {worth:.3} of {other}",
            standard.worth
        );
    }
}

/// Lookups come first at any load: somebody waits for them at a counter.
#[test]
fn lookups_are_in_time_at_twice_the_room() {
    let standard = mean(Policy::Standard, 2.0);
    let lookups = in_time(&standard, "lookup");
    assert!(lookups >= 0.95, "{lookups:.3}");
    let arrival = in_time(&mean(Policy::Arrival, 2.0), "lookup");
    assert!(
        lookups > arrival,
        "{lookups:.3} of standard, {arrival:.3} of arrival"
    );
}

/// Batches that resume from checkpoints fill all room, and somebody waits at a counter.
#[test]
fn lookups_are_in_time_more_often_where_batches_make_way() {
    let with = mean(Policy::Standard, 2.0);
    let without = mean(Policy::NoPreemption, 2.0);
    assert!(with.preempted > 0);
    assert_eq!(without.preempted, 0);
    let (with, without) = (in_time(&with, "lookup"), in_time(&without, "lookup"));
    assert!(with > without, "{with:.3} with, {without:.3} without");
}

/// The largest tenth of a kind is served at least half as often as all of it.
#[test]
fn large_jobs_are_not_starved_at_the_worst_load() {
    let standard = mean(Policy::Standard, 2.0);
    for kind in &standard.kinds {
        let last = kind.tenths.last().copied().unwrap_or_default();
        assert!(
            last >= kind.in_time / 2.0,
            "{}: {last:.3} of the largest tenth, {:.3} of all",
            kind.name,
            kind.in_time
        );
    }
}
