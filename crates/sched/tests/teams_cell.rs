//! Simulations of a cell whose jobs belong to teams. They check limits under faults, and what each team is served while
//! the fleet is full.

use std::time::Duration;

use fakes::cell::{Breach, Cell, CellFault, CellSpec, Kind, LoadSpec, Mutation, Report, generate};
use jobs::{Queue, TeamPolicy};
use model::{Size, Time};

const SECOND: Duration = Duration::from_secs(1);

/// The number of teams.
const TEAMS: usize = 20;

/// The processors of all hosts together: 8 of 16 each.
const FLEET_PROCESSORS: f64 = 128.0;

/// The processor-seconds of a job on average.
const JOB_WORK: f64 = 4.0;

fn queue() -> Queue {
    Queue {
        name: "batch".into(),
        pool: "desk".into(),
        rank: 1,
        max_failures: 3,
        target: Duration::from_secs(3),
        stretch: 2.0,
        ..Queue::default()
    }
}

/// Returns a kind of jobs of two tasks of two processors that run for a second.
fn kind(per_second: f64) -> Kind {
    Kind {
        queue: queue(),
        per_second,
        worth: (1.0, 0.2),
        steps: 1.0,
        tasks: (2.0, 0.0),
        tasks_max: 2,
        size: (2_000.0, 1_000.0),
        size_max: (16_000, 32_000),
        seconds: 1.0,
        seconds_max: 4.0,
        estimate_error: 0.5,
        gang_share: 0.0,
        checkpoint_share: 0.0,
        allowed_share: 1.0,
        failure_share: 0.0,
    }
}

fn name(team: usize) -> String {
    format!("team{team}")
}

/// Returns a cell in which the team `i` submits `rates[i]` jobs a second for 30 s. Without teams, all jobs are served in
/// the same order as with them, but for shares and rates.
fn spec(rates: &[f64], teams: Vec<TeamPolicy>, seed: u64) -> CellSpec {
    let load = LoadSpec {
        kinds: rates.iter().map(|&rate| kind(rate)).collect(),
        duration: 30 * SECOND,
        factor: 1.0,
        ..LoadSpec::default()
    };
    let mut arrivals = generate(&load, seed);
    for arrival in &mut arrivals {
        arrival.job.team = name(arrival.kind).as_str().into();
    }
    CellSpec {
        arrivals,
        kinds: load.kinds,
        teams,
        seed,
        ..CellSpec::default()
    }
}

fn teams(weights: &[f64], limit: Size) -> Vec<TeamPolicy> {
    let policy = |(team, &weight): (usize, &f64)| TeamPolicy {
        name: name(team).as_str().into(),
        weight,
        limit,
    };
    weights.iter().enumerate().map(policy).collect()
}

/// Returns the share of the jobs of each kind that were completed within their objective.
fn served(report: &Report, kinds: usize) -> Vec<f64> {
    let share = |kind: usize| {
        let of_kind = report.outcomes.iter().filter(|o| o.kind == kind);
        let (mut all, mut in_time) = (0_u32, 0_u32);
        for outcome in of_kind {
            all += 1;
            in_time += u32::from(outcome.took.is_some_and(|took| took <= outcome.objective));
        }
        f64::from(in_time) / f64::from(all.max(1))
    };
    (0..kinds).map(share).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / f64::from(u32::try_from(values.len()).unwrap())
}

/// Guards against a team above its rate that takes what the others are entitled to. Together, all teams at their rates
/// use 0.9 of the fleet.
#[test]
fn a_team_at_five_times_its_rate_costs_the_quiet_ones_nothing() {
    let rate = 0.9 * FLEET_PROCESSORS / JOB_WORK / 20.0;
    let weights = [rate; TEAMS];
    let mut loud = weights;
    loud[TEAMS - 1] *= 5.0;
    for seed in 0..2 {
        let run = |rates: &[f64], teams| Cell::new(spec(rates, teams, seed)).run();
        let quiet_day = run(&weights, teams(&weights, Size::ZERO));
        let loud_day = run(&loud, teams(&weights, Size::ZERO));
        let without = run(&loud, Vec::new());
        assert_eq!(loud_day.breaches, []);
        let before = mean(&served(&quiet_day, TEAMS)[..TEAMS - 1]);
        let after = mean(&served(&loud_day, TEAMS)[..TEAMS - 1]);
        let unshared = mean(&served(&without, TEAMS)[..TEAMS - 1]);
        println!("seed {seed}: quiet {before:.3}, loud {after:.3}, without teams {unshared:.3}");
        assert!(before - after <= 0.05, "seed {seed}: {before} to {after}");
        assert!(after > unshared, "seed {seed}: teams make no difference");
    }
}

/// Guards against teams that get less than their part of a fleet that all together ask 1.3 times its capacity of.
#[test]
fn twenty_teams_share_a_full_fleet_by_weight() {
    let unit = 1.3 * FLEET_PROCESSORS / JOB_WORK / 40.0;
    let weights: Vec<f64> = (0..TEAMS)
        .map(|team| if team < TEAMS / 2 { unit } else { 3.0 * unit })
        .collect();
    let report = Cell::new(spec(&weights, teams(&weights, Size::ZERO), 1)).run();
    assert_eq!(report.breaches, []);
    let served = served(&report, TEAMS);
    let all = mean(&served);
    println!("{served:.2?}, mean {all:.3}");
    for (team, share) in served.iter().enumerate() {
        assert!((share - all).abs() <= 0.2, "team {team}: {share} of {all}");
    }
    let (light, heavy) = served.split_at(TEAMS / 2);
    assert!(
        (mean(light) - mean(heavy)).abs() <= 0.1,
        "{light:?} {heavy:?}"
    );
}

/// Returns a cell with gangs and large tasks, in which each of four teams may use a sixth of the fleet. All tasks run for
/// `seconds` if that is given.
fn limited(
    seconds: Option<f64>,
    seed: u64,
    faults: Vec<(Time, CellFault)>,
    mutation: Mutation,
) -> CellSpec {
    let limit = Size::new(21_000, 0, 0);
    let mut spec = spec(&[5.0; 4], teams(&[5.0; 4], limit), seed);
    // All work is done within two minutes.
    let end = Time::ZERO
        + if seconds.is_some() {
            5 * SECOND
        } else {
            12 * SECOND
        };
    spec.arrivals.retain(|arrival| arrival.at < end);
    for (number, arrival) in spec.arrivals.iter_mut().enumerate() {
        if let Some(seconds) = seconds {
            arrival.seconds.fill(seconds);
        }
        let step = &mut arrival.job.steps[0];
        match number % 10 {
            0 => {
                step.gang = true;
                step.tasks = 4;
            }
            1 => {
                step.size = Size::new(14_000, 1_000, 0);
                step.tasks = 1;
            }
            _ => {}
        }
    }
    CellSpec {
        faults,
        mutation,
        ..spec
    }
}

/// Guards against more than a limit that runs after a fault: a scheduler that dies between a stored start and its
/// answer, a worker that is silent until its leases have lapsed, an order that arrives late.
#[test]
fn limits_hold_under_each_fault_alone() {
    let faults = [
        CellFault::SchedulerDies,
        CellFault::SchedulerReplaced,
        CellFault::SchedulerPauses(9 * SECOND),
        CellFault::AllNodesDie,
        CellFault::HostCrashes(SECOND),
        CellFault::HostCut(2 * SECOND),
        CellFault::HostCut(14 * SECOND),
        CellFault::TableDown(2 * SECOND),
        CellFault::OrdersLate(5 * SECOND),
        CellFault::TableAnswersLost(5 * SECOND),
        CellFault::HostFailsAll(3 * SECOND),
        CellFault::HostGone,
    ];
    for (i, fault) in (0..).zip(faults) {
        // Tasks of 8 s outlast a lease.
        for seconds in [None, Some(8.0)] {
            let at = Time::ZERO + 3 * SECOND;
            let report = Cell::new(limited(seconds, i, vec![(at, fault)], Mutation::None)).run();
            let breaches = &report.breaches[..report.breaches.len().min(5)];
            assert_eq!(breaches, [], "{fault:?}, tasks of {seconds:?} s");
        }
    }
}

fn assert_limit_fault_is_detected(mutation: Mutation, fault: CellFault, seconds: Option<f64>) {
    let is_detected = |seed: u64| {
        let faults = (3..9).map(|second| (Time::ZERO + second * SECOND, fault));
        let report = Cell::new(limited(seconds, seed, faults.collect(), mutation)).run();
        let is_over = |breach: &Breach| matches!(breach, Breach::OverLimit(_));
        report.breaches.iter().any(is_over)
    };
    assert!((0..10).any(is_detected), "{mutation:?} is not detected");
}

/// Shows that the check would find a takeover that starts tasks before all workers' runs are counted.
#[test]
fn starts_beyond_the_limit_before_the_lists_are_read_are_detected() {
    assert_limit_fault_is_detected(Mutation::NoLists, CellFault::SchedulerDies, None);
}

/// Shows that the check would find a ledger that drops the runs of silent workers before their leases have lapsed.
#[test]
fn starts_beyond_the_limit_before_leases_lapse_are_detected() {
    let cut = CellFault::HostCut(Duration::from_secs(9));
    assert_limit_fault_is_detected(Mutation::NoLapse, cut, Some(8.0));
}
