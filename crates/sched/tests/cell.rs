//! Whole runs on stand-ins and virtual time: promises under faults, and guards whose removal is found.

use std::time::Duration;

use fakes::{
    Rng,
    cell::{Breach, Cell, CellFault, CellSpec, LoadSpec, Mutation, Report, generate},
};
use model::{Size, Time};

/// A small load: a tenth of the reminder service's, for ten seconds. Its gangs are small enough, and
/// allowed on enough hosts, that each can run although a host or two are gone.
fn small_load() -> LoadSpec {
    let mut load = LoadSpec {
        lasts: Duration::from_secs(10),
        factor: 0.12,
        cancelled: 0.05,
        ..LoadSpec::reminders()
    };
    for kind in &mut load.kinds {
        kind.allowed = 0.8;
        kind.tasks_max = kind.tasks_max.min(8);
        kind.size.0 = kind.size.0.min(5_000.0);
    }
    load
}

/// Tasks that run for longer than a lease.
fn long_load() -> LoadSpec {
    let mut load = small_load();
    for kind in &mut load.kinds {
        kind.seconds = 12.0;
        kind.gangs = 0.0;
    }
    load
}

fn spec(load: LoadSpec, seed: u64, faults: Vec<(Time, CellFault)>, mutation: Mutation) -> CellSpec {
    CellSpec {
        arrivals: generate(&load, seed),
        kinds: load.kinds,
        hosts: 8,
        host_size: Size::new(32_000, 131_072, 0),
        faults,
        mutation,
        seed,
        ..CellSpec::default()
    }
}

fn run(seed: u64, faults: Vec<(Time, CellFault)>, mutation: Mutation) -> Report {
    Cell::new(spec(small_load(), seed, faults, mutation)).run()
}

const SECOND: Duration = Duration::from_secs(1);

/// Every fault, with spans that reach over a task lease and below it.
const FAULTS: [CellFault; 16] = [
    CellFault::SchedulerDies,
    CellFault::SchedulerReplaced,
    CellFault::SchedulerPauses(Duration::from_secs(2)),
    CellFault::SchedulerPauses(Duration::from_secs(9)),
    CellFault::AllNodesDie,
    CellFault::HostCrashes(Duration::from_millis(300)),
    CellFault::HostCrashes(Duration::from_secs(4)),
    CellFault::HostCut(Duration::from_secs(2)),
    CellFault::HostCut(Duration::from_secs(14)),
    CellFault::TableDown(Duration::from_secs(2)),
    CellFault::TableDown(Duration::from_secs(9)),
    CellFault::OrdersLate(Duration::from_secs(5)),
    CellFault::TableAnswersLost(Duration::from_secs(5)),
    CellFault::HostFailsAll(Duration::from_secs(3)),
    CellFault::HostGone,
    CellFault::SchedulerDies,
];

fn assert_kept(seed: u64, faults: &[(Time, CellFault)]) {
    let report = run(seed, faults.to_vec(), Mutation::None);
    assert!(
        report.breaches.is_empty(),
        "seed {seed}, faults {faults:?}: {:?}",
        &report.breaches[..report.breaches.len().min(5)]
    );
}

#[test]
fn a_calm_run_serves_nearly_all_in_time() {
    let report = run(1, Vec::new(), Mutation::None);
    assert_eq!(report.breaches, []);
    let served = report.served.iter();
    let in_time = served
        .filter(|s| s.took.is_some_and(|took| took <= s.objective))
        .count();
    let share = in_time * 100 / report.served.len();
    assert!(share >= 90, "{share} % of {} in time", report.served.len());
}

#[test]
fn promises_hold_for_tasks_longer_than_a_lease() {
    for (i, fault) in FAULTS.into_iter().enumerate() {
        let at = Time::ZERO + 4 * SECOND;
        let faults = vec![(at, fault), (at + SECOND, fault)];
        let report = Cell::new(spec(long_load(), i as u64, faults, Mutation::None)).run();
        assert_eq!(report.breaches, [], "{fault:?} twice");
    }
}

#[test]
fn promises_hold_under_each_fault_alone() {
    for (i, fault) in FAULTS.into_iter().enumerate() {
        for seed in 0..3 {
            assert_kept(seed * 100 + i as u64, &[(Time::ZERO + 3 * SECOND, fault)]);
        }
    }
}

#[test]
fn promises_hold_under_pairs_of_faults() {
    for (i, first) in FAULTS.into_iter().enumerate() {
        for (j, second) in FAULTS.into_iter().enumerate() {
            let seed = 1_000 + (i * FAULTS.len() + j) as u64;
            let gap = Duration::from_millis(200 + seed * 37 % 2_500);
            let at = Time::ZERO + 3 * SECOND;
            assert_kept(seed, &[(at, first), (at + gap, second)]);
        }
    }
}

#[test]
fn promises_hold_under_many_faults() {
    for seed in 0..60 {
        assert_kept(seed, &random_faults(seed, 6));
    }
}

#[test]
fn a_start_that_the_next_life_has_answered_is_not_judged_by_an_older_list() {
    let crash = CellFault::HostCrashes(4 * SECOND);
    let cut = CellFault::HostCut(2 * SECOND);
    assert_kept_after(crash, cut, &[(440, 1_480), (501, 937), (2_430, 910)]);
}

/// One fault after another, by seed and gap in milliseconds. These were found among 3,000 with the guard
/// left out.
fn assert_kept_after(first: CellFault, second: CellFault, cases: &[(u64, u64)]) {
    let at = Time::ZERO + 3 * SECOND;
    for &(seed, gap) in cases {
        let gap = Duration::from_millis(gap);
        assert_kept(seed, &[(at, first), (at + gap, second)]);
    }
}

fn random_faults(seed: u64, count: u64) -> Vec<(Time, CellFault)> {
    let mut rng = Rng::new(seed ^ 0x5eed);
    let mut faults: Vec<(Time, CellFault)> = (0..count)
        .map(|_| {
            let at = Time::ZERO + rng.span(SECOND, 12 * SECOND);
            let fault = FAULTS[usize::try_from(rng.below(FAULTS.len() as u64)).unwrap()];
            (at, fault)
        })
        .collect();
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// The faults that bring a left-out guard to light, with the breach that it leads to.
fn assert_found(mutation: Mutation, faults: &[CellFault], is_expected: fn(&Breach) -> bool) {
    assert_found_with(small_load, mutation, faults, is_expected);
}

fn assert_found_with(
    load: fn() -> LoadSpec,
    mutation: Mutation,
    faults: &[CellFault],
    is_expected: fn(&Breach) -> bool,
) {
    let is_found = (0..40).any(|seed| {
        let mut rng = Rng::new(seed);
        let at = |rng: &mut Rng| Time::ZERO + rng.span(2 * SECOND, 8 * SECOND);
        let mut timed: Vec<_> = faults.iter().map(|&fault| (at(&mut rng), fault)).collect();
        timed.sort_by_key(|(at, _)| *at);
        let report = Cell::new(spec(load(), seed, timed, mutation)).run();
        report.breaches.iter().any(is_expected)
    });
    assert!(is_found, "{mutation:?} was not found");
}

const fn ran_twice(breach: &Breach) -> bool {
    matches!(breach, Breach::RanTwice(_) | Breach::RanAgain(_))
}

#[test]
fn a_start_before_it_is_stored_is_found() {
    let faults = [CellFault::SchedulerDies; 4];
    assert_found(Mutation::StartBeforeStored, &faults, ran_twice);
}

#[test]
fn a_write_without_the_epoch_is_found() {
    let faults = [
        CellFault::SchedulerReplaced,
        CellFault::SchedulerReplaced,
        CellFault::SchedulerReplaced,
        CellFault::SchedulerDies,
        CellFault::SchedulerDies,
    ];
    assert_found(Mutation::NoCondition, &faults, |breach| {
        ran_twice(breach) || matches!(breach, Breach::Unfinished(_) | Breach::OverCapacity(_))
    });
}

#[test]
fn starts_before_the_lists_are_read_are_found() {
    let faults = [CellFault::SchedulerDies; 3];
    assert_found(Mutation::NoLists, &faults, ran_twice);
}

#[test]
fn a_lapse_that_is_not_waited_for_is_found() {
    let cut = CellFault::HostCut(Duration::from_secs(9));
    let faults = [cut, cut, cut, cut];
    assert_found_with(long_load, Mutation::NoLapse, &faults, ran_twice);
}

#[test]
fn an_end_that_is_acknowledged_before_it_is_stored_is_found() {
    let faults = [
        CellFault::TableDown(Duration::from_secs(2)),
        CellFault::AllNodesDie,
    ];
    assert_found(Mutation::AcknowledgeEarly, &faults, ran_twice);
}
#[test]
fn a_stop_without_an_answer_keeps_the_run_for_the_next_life() {
    // Orders to a crashed host go unanswered until the run is withdrawn. One of them may still be carried out
    // by the host's next life, as the stop may come later than it.
    let crash = CellFault::HostCrashes(4 * SECOND);
    let late = CellFault::OrdersLate(5 * SECOND);
    let found = [
        (732, 1_084),
        (984, 608),
        (2_247, 1_139),
        (2_412, 1_644),
        (2_473, 1_101),
    ];
    assert_kept_after(crash, late, &found);
}
