//! The standard policy is better than its alternatives at the loads that each of its rules is made for.

use std::time::Duration;

use load::{Experiment, Outcome, Policy, Shape};

const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// The number of workers: half of the 48 that `Experiment::factor` refers to, so that the tests take seconds.
const WORKERS: usize = 24;

/// Runs the load with each seed and returns the mean outcome. At a `load_factor` of 1.0 the load requires 0.8 of
/// the capacity.
fn mean(policy: Policy, load_factor: f64) -> Outcome {
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| {
                let experiment = Experiment {
                    workers: WORKERS,
                    factor: load_factor / 2.0,
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
    assert_eq!(outcome.breaches, 0, "{policy} at {load_factor}");
    outcome
}

/// Runs the load of a large fleet on a third of it, with bursts of lookups and of gangs.
fn mean_of_large(policy: Policy) -> Outcome {
    let outcomes: Vec<Outcome> = std::thread::scope(|scope| {
        let threads: Vec<_> = SEEDS
            .map(|seed| {
                let experiment = Experiment {
                    workers: Shape::Large.workers() / 3,
                    nodes: Shape::Large.nodes() / 3,
                    factor: 1.0 / 3.0,
                    duration: Duration::from_secs(14),
                    seed,
                    ..Experiment::of(Shape::Large)
                };
                scope.spawn(move || experiment.run(policy).unwrap())
            })
            .collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    let outcome = Outcome::mean(&outcomes);
    assert_eq!(outcome.breaches, 0, "{policy}");
    outcome
}

fn in_time(outcome: &Outcome, kind: &str) -> f64 {
    let kind = outcome.kinds.iter().find(|k| k.name == kind).unwrap();
    kind.in_time
}

/// At twice the usual load most jobs wait in the queue for longer than their objective allows. Orders by age then
/// spend the capacity on jobs that are already late.
#[test]
fn the_standard_order_earns_more_than_orders_by_age_under_overload() {
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

/// Interactive users wait for lookups, so lookups must be in time at any load.
#[test]
fn lookups_are_in_time_under_overload() {
    let standard = mean(Policy::Standard, 2.0);
    let lookups = in_time(&standard, "lookup");
    assert!(lookups >= 0.95, "{lookups:.3}");
    let arrival = in_time(&mean(Policy::Arrival, 2.0), "lookup");
    assert!(
        lookups > arrival,
        "{lookups:.3} of standard, {arrival:.3} of arrival"
    );
}

/// Without preemption, batches that save checkpoints occupy all workers, and lookups wait until a batch ends.
#[test]
fn preempting_batches_brings_more_lookups_in_time() {
    let with = mean(Policy::Standard, 2.0);
    let without = mean(Policy::NoPreemption, 2.0);
    assert!(with.preempted > 0);
    assert_eq!(without.preempted, 0);
    let (with, without) = (in_time(&with, "lookup"), in_time(&without, "lookup"));
    assert!(with > without, "{with:.3} with, {without:.3} without");
}

/// Guards against orders that postpone large jobs for as long as smaller ones arrive: the largest tenth of the
/// jobs of a kind must be in time at least half as often as all jobs of the kind.
#[test]
fn large_jobs_are_not_starved_under_overload() {
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

/// On a large fleet gangs of 20 tasks compete for capacity with batches that have time. Without holding them
/// back, batches use each processor as it becomes free, and gangs never find room for all their tasks at once.
#[test]
fn batches_with_slack_let_gangs_start() {
    let with = mean_of_large(Policy::Standard);
    let without = mean_of_large(Policy::NoHolding);
    assert!(
        with.worth > without.worth,
        "{:.3} with, {:.3} without",
        with.worth,
        without.worth
    );
    let (gangs, gangs_without) = (in_time(&with, "rebuild"), in_time(&without, "rebuild"));
    assert!(
        gangs > gangs_without,
        "{gangs:.3} with, {gangs_without:.3} without"
    );
    // A batch is held back for half of its slack only.
    let batches = in_time(&with, "batch");
    assert!(batches >= 0.9, "{batches:.3}");
}

/// A third of the workers are allowed to run a gang's tasks. If it knows of few of them, it waits for capacity on
/// those while others have room.
#[test]
fn a_wide_choice_of_workers_brings_more_gangs_in_time() {
    let wide = in_time(&mean_of_large(Policy::Standard), "rebuild");
    let few = in_time(&mean_of_large(Policy::FewApprovals), "rebuild");
    assert!(wide > few, "{wide:.3} with many, {few:.3} with few");
}
