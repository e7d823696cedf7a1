//! Simulations of a whole cell in virtual time. They check that the guarantees hold under faults,
//! and that leaving out a safeguard is detected as a breach.

use std::time::Duration;

use fakes::{
    Rng,
    cell::{Announcing, Breach, Cell, CellFault, CellSpec, LoadSpec, Mutation, Report, generate},
};
use model::{Size, Time};

/// A small load: about a tenth of the reminder service's, for ten seconds. Its gangs are small
/// enough, and allowed on enough hosts, that each can run even if one or two hosts are gone.
fn small_load() -> LoadSpec {
    let mut load = LoadSpec {
        duration: Duration::from_secs(10),
        factor: 0.12,
        cancelled: 0.05,
        ..LoadSpec::reminders()
    };
    for kind in &mut load.kinds {
        kind.allowed_share = 0.8;
        kind.tasks_max = kind.tasks_max.min(8);
        kind.size.0 = kind.size.0.min(5_000.0);
    }
    load
}

/// A load whose tasks run for longer than a task lease.
fn long_load() -> LoadSpec {
    let mut load = small_load();
    for kind in &mut load.kinds {
        kind.seconds = 12.0;
        kind.gang_share = 0.0;
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

/// All kinds of faults, with durations shorter and longer than a task lease.
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

fn assert_no_breaches(seed: u64, faults: &[(Time, CellFault)]) {
    let report = run(seed, faults.to_vec(), Mutation::None);
    assert!(
        report.breaches.is_empty(),
        "seed {seed}, faults {faults:?}: {:?}",
        &report.breaches[..report.breaches.len().min(5)]
    );
}

#[test]
fn nearly_all_jobs_finish_in_time_without_faults() {
    let report = run(1, Vec::new(), Mutation::None);
    assert_eq!(report.breaches, []);
    let served = report.outcomes.iter();
    let in_time = served
        .filter(|s| s.took.is_some_and(|took| took <= s.objective))
        .count();
    let share = in_time * 100 / report.outcomes.len();
    assert!(
        share >= 90,
        "{share} % of {} in time",
        report.outcomes.len()
    );
}

/// Guards against lost or duplicate runs when a fault occurs twice, a second apart, and tasks
/// depend on renewed leases.
#[test]
fn guarantees_hold_for_tasks_longer_than_a_lease() {
    for (i, fault) in FAULTS.into_iter().enumerate() {
        let at = Time::ZERO + 4 * SECOND;
        let faults = vec![(at, fault), (at + SECOND, fault)];
        let report = Cell::new(spec(long_load(), i as u64, faults, Mutation::None)).run();
        assert_eq!(report.breaches, [], "{fault:?} twice");
    }
}

#[test]
fn guarantees_hold_under_each_fault_alone() {
    for (i, fault) in FAULTS.into_iter().enumerate() {
        for seed in 0..3 {
            assert_no_breaches(seed * 100 + i as u64, &[(Time::ZERO + 3 * SECOND, fault)]);
        }
    }
}

#[test]
fn guarantees_hold_under_pairs_of_faults() {
    for (i, first) in FAULTS.into_iter().enumerate() {
        for (j, second) in FAULTS.into_iter().enumerate() {
            let seed = 1_000 + (i * FAULTS.len() + j) as u64;
            let gap = Duration::from_millis(200 + seed * 37 % 2_500);
            let at = Time::ZERO + 3 * SECOND;
            assert_no_breaches(seed, &[(at, first), (at + gap, second)]);
        }
    }
}

#[test]
fn guarantees_hold_under_many_faults() {
    for seed in 0..60 {
        assert_no_breaches(seed, &random_faults(seed, 6));
    }
}

/// Guards against ending a run too early. A host restarts while a start order is in flight, and its
/// new incarnation confirms the start after the list that the scheduler then processes was
/// requested.
#[test]
fn a_start_confirmed_by_a_new_incarnation_is_not_ended_by_an_older_list() {
    let crash = CellFault::HostCrashes(4 * SECOND);
    let cut = CellFault::HostCut(2 * SECOND);
    assert_no_breaches_after(crash, cut, &[(440, 1_480), (501, 937), (2_430, 910)]);
}

/// Checks that the guarantees hold when `second` follows `first`. `cases` are seeds and gaps in
/// milliseconds, found among 3,000 runs without the safeguard under test.
fn assert_no_breaches_after(first: CellFault, second: CellFault, cases: &[(u64, u64)]) {
    let at = Time::ZERO + 3 * SECOND;
    for &(seed, gap) in cases {
        let gap = Duration::from_millis(gap);
        assert_no_breaches(seed, &[(at, first), (at + gap, second)]);
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

/// Checks that at least one of 40 seeds detects that a safeguard is left out: the faults lead to a
/// breach of the expected kind.
fn assert_detected(mutation: Mutation, faults: &[CellFault], is_expected: fn(&Breach) -> bool) {
    assert_detected_with(small_load, mutation, faults, is_expected);
}

fn assert_detected_with(
    load: fn() -> LoadSpec,
    mutation: Mutation,
    faults: &[CellFault],
    is_expected: fn(&Breach) -> bool,
) {
    let is_detected = (0..40).any(|seed| {
        let mut rng = Rng::new(seed);
        let at = |rng: &mut Rng| Time::ZERO + rng.span(2 * SECOND, 8 * SECOND);
        let mut timed: Vec<_> = faults.iter().map(|&fault| (at(&mut rng), fault)).collect();
        timed.sort_by_key(|(at, _)| *at);
        let report = Cell::new(spec(load(), seed, timed, mutation)).run();
        report.breaches.iter().any(is_expected)
    });
    assert!(is_detected, "{mutation:?} was not detected");
}

const fn ran_twice(breach: &Breach) -> bool {
    matches!(breach, Breach::RanTwice(_) | Breach::RanAgain(_))
}

/// Without the rule that a run is stored before its order is sent, a scheduler that dies in between
/// leaves a run that its successor does not know and starts again.
#[test]
fn a_start_before_it_is_stored_is_detected() {
    let faults = [CellFault::SchedulerDies; 4];
    assert_detected(Mutation::StartBeforeStored, &faults, ran_twice);
}

/// Without the condition on the lease row, a replaced scheduler overwrites the rows of its
/// successor.
#[test]
fn a_write_without_the_epoch_is_detected() {
    let faults = [
        CellFault::SchedulerReplaced,
        CellFault::SchedulerReplaced,
        CellFault::SchedulerReplaced,
        CellFault::SchedulerDies,
        CellFault::SchedulerDies,
    ];
    assert_detected(Mutation::NoCondition, &faults, |breach| {
        ran_twice(breach) || matches!(breach, Breach::Unfinished(_) | Breach::OverCapacity(_))
    });
}

/// Without reading a worker's lists first, a new scheduler starts tasks whose earlier runs are
/// still in progress.
#[test]
fn starts_before_the_lists_are_read_are_detected() {
    let faults = [CellFault::SchedulerDies; 3];
    assert_detected(Mutation::NoLists, &faults, ran_twice);
}

/// Without waiting for the lease to lapse, a task of a host that is cut off starts elsewhere while
/// its run continues on the host.
#[test]
fn a_run_replaced_before_its_lease_lapses_is_detected() {
    let cut = CellFault::HostCut(Duration::from_secs(9));
    let faults = [cut, cut, cut, cut];
    assert_detected_with(long_load, Mutation::NoLapse, &faults, ran_twice);
}

/// If an end is acknowledged before it is stored and all nodes then die, the host has forgotten the
/// end and the task runs again.
#[test]
fn an_end_that_is_acknowledged_before_it_is_stored_is_detected() {
    let faults = [
        CellFault::TableDown(Duration::from_secs(2)),
        CellFault::AllNodesDie,
    ];
    assert_detected(Mutation::AcknowledgeEarly, &faults, ran_twice);
}

#[test]
fn a_run_with_an_unanswered_stop_is_kept_for_the_next_incarnation() {
    // Guards against a run that starts after it was withdrawn. Start orders to a crashed host go
    // unanswered until the run is withdrawn. One of them may still be carried out by the host's
    // next incarnation, because the stop order may arrive after it.
    let crash = CellFault::HostCrashes(4 * SECOND);
    let late = CellFault::OrdersLate(5 * SECOND);
    let found = [
        (732, 1_084),
        (984, 608),
        (2_247, 1_139),
        (2_412, 1_644),
        (2_473, 1_101),
    ];
    assert_no_breaches_after(crash, late, &found);
}

/// A load whose tasks often fail, in queues that allow three failures.
fn failing_load() -> LoadSpec {
    let mut load = small_load();
    for kind in &mut load.kinds {
        kind.gang_share = 0.3;
        kind.failure_share = 0.3;
        kind.queue.max_failures = 3;
    }
    load
}

/// A load of small gangs that run for nearly twice as long as a lease.
fn long_gang_load() -> LoadSpec {
    let mut load = small_load();
    for kind in &mut load.kinds {
        kind.gang_share = 0.7;
        kind.seconds = 9.0;
        kind.tasks_max = kind.tasks_max.min(4);
        kind.failure_share = 0.1;
        kind.queue.max_failures = 3;
    }
    load
}

/// Faults with their times in milliseconds.
type TimedFault = (u64, CellFault);

fn run_timed(load: LoadSpec, hosts: usize, seed: u64, faults: &[TimedFault]) -> Report {
    let at = |&(at_ms, fault): &TimedFault| (Time::from_ms(at_ms), fault);
    let faults = faults.iter().map(at).collect();
    let spec = CellSpec {
        hosts,
        ..spec(load, seed, faults, Mutation::None)
    };
    Cell::new(spec).run()
}

/// Guards against ending a run because a repeated start order was refused, while an earlier, unanswered one was
/// carried out or still will be. Found among 15 seeds for each pair of faults.
#[test]
fn a_refused_repetition_of_a_start_does_not_end_the_run() {
    let answers_cut = CellFault::HostAnswersCut(SECOND);
    let ill = CellFault::HostUnhealthy(3 * SECOND);
    let flaps = CellFault::HostFlaps(6 * SECOND);
    let late = CellFault::OrdersLate(5 * SECOND);
    let reset = CellFault::OrdersReset(5 * SECOND);
    let found = [
        (2, [(5_659, answers_cut), (6_567, ill)]),
        (9, [(1_715, reset), (3_863, ill)]),
        (8, [(5_041, flaps), (6_346, late)]),
        (14, [(1_985, flaps), (2_675, late)]),
    ];
    for (seed, faults) in found {
        let report = run_timed(small_load(), 8, seed, &faults);
        assert_eq!(report.breaches, [], "seed {seed}, {faults:?}");
    }
}

/// Guards against failures that are not counted because the run had been taken for one that never began.
#[test]
fn the_failure_of_a_run_whose_repeated_start_was_refused_is_counted() {
    let answers_cut = CellFault::HostAnswersCut(SECOND);
    let flaps = CellFault::HostFlaps(6 * SECOND);
    let crash = CellFault::HostCrashes(4 * SECOND);
    let long_cut = CellFault::HostAnswersCut(4 * SECOND);
    let found = [
        (11, [(5_521, answers_cut), (5_640, flaps)]),
        (4, [(5_435, crash), (7_732, long_cut)]),
    ];
    for (seed, faults) in found {
        let report = run_timed(failing_load(), 8, seed, &faults);
        assert_eq!(report.breaches, [], "seed {seed}, {faults:?}");
    }
}

/// Guards against a lease that outlasts what the scheduler assumes. A host restarts unnoticed, and an order gives
/// its new incarnation a lease on the clock of the old one, which is far ahead. The host is then cut off. Found
/// among 300 seeds, with a scheduler that stops a run whose repeated start order is refused.
#[test]
fn a_lease_on_the_clock_of_an_earlier_incarnation_is_waited_for() {
    let crash = CellFault::HostCrashes(Duration::from_millis(50));
    let cut = CellFault::HostCut(14 * SECOND);
    let found = [
        (56, [(2_469, crash), (2_922, cut)]),
        (68, [(2_403, crash), (2_622, cut)]),
    ];
    for (seed, faults) in found {
        let report = run_timed(long_gang_load(), 3, seed, &faults);
        assert_eq!(report.breaches, [], "seed {seed}, {faults:?}");
    }
}

/// Runs a cell whose hosts carry out orders and polls that an earlier incarnation has received. Each half second a
/// host crashes.
fn run_with_outliving_orders(late: CellFault, seed: u64) -> Report {
    let crash = CellFault::HostCrashes(Duration::from_millis(300));
    let at = Time::ZERO + 2 * SECOND;
    let mut faults = vec![(at, late)];
    faults.extend((0..8).map(|i| (at + i * (SECOND / 2), crash)));
    let spec = CellSpec {
        orders_outlive_hosts: true,
        ..spec(small_load(), seed, faults, Mutation::None)
    };
    Cell::new(spec).run()
}

/// Guards against a second run after a late order has begun a run that was given up, or a late poll has acknowledged
/// ends that were never read, on a host that has restarted. Found among 40 seeds for each fault.
#[test]
fn orders_and_polls_for_an_earlier_incarnation_do_not_count() {
    let late = CellFault::OrdersLate(6 * SECOND);
    let reset = CellFault::OrdersReset(6 * SECOND);
    let late_seeds = [3, 4, 8, 12, 16, 27, 32, 33, 35, 38].map(|seed| (late, seed));
    let reset_seeds = [8, 29, 35].map(|seed| (reset, seed));
    for (fault, seed) in late_seeds.into_iter().chain(reset_seeds) {
        let report = run_with_outliving_orders(fault, seed);
        assert_eq!(report.breaches, [], "{fault:?}, seed {seed}");
    }
}

/// Guards against the same while the scheduler does not know of the restart.
#[test]
fn guarantees_hold_while_a_restart_is_not_noticed() {
    for late in [
        CellFault::OrdersLate(6 * SECOND),
        CellFault::OrdersReset(6 * SECOND),
    ] {
        // The code before failed on the last two.
        for seed in (0..40).chain([1_649, 3_606]) {
            let report = run_with_outliving_orders(late, seed);
            assert_eq!(report.breaches, [], "{late:?}, seed {seed}");
        }
    }
}

/// Guards against a crash that counts for a run which the worker's new incarnation has begun. Found among 1,000 seeds
/// for each fault.
#[test]
fn a_run_that_a_new_incarnation_has_begun_is_no_suspect_of_the_crash() {
    for (fault, seed) in [
        (CellFault::OrdersLate(6 * SECOND), 448),
        (CellFault::OrdersReset(6 * SECOND), 375),
    ] {
        let report = run_with_outliving_orders(fault, seed);
        assert_eq!(report.breaches, [], "{fault:?}, seed {seed}");
    }
}

/// Runs a cell whose table takes long to store jobs, which are announced meanwhile.
fn run_announcing(seed: u64, faults: Vec<(Time, CellFault)>, mutation: Mutation) -> Report {
    let announcing = Announcing {
        store_time: Duration::from_millis(1_200),
        lost_job_period: 8,
    };
    let spec = CellSpec {
        announcing: Some(announcing),
        ..spec(small_load(), seed, faults, mutation)
    };
    Cell::new(spec).run()
}

/// Guards against runs and states of announced jobs that are not stored, against second runs after a takeover, and
/// against progress that remains of jobs that were never stored.
#[test]
fn guarantees_hold_for_announced_jobs() {
    for (i, first) in FAULTS.into_iter().enumerate() {
        for (j, second) in FAULTS.into_iter().enumerate() {
            let seed = 7_000 + (i * FAULTS.len() + j) as u64;
            let gap = Duration::from_millis(200 + seed * 37 % 2_500);
            let at = Time::ZERO + 3 * SECOND;
            let slow = (at, CellFault::TableSlow(4 * SECOND));
            let faults = vec![slow, (at, first), (at + gap, second)];
            let report = run_announcing(seed, faults, Mutation::None);
            assert_eq!(report.breaches, [], "seed {seed}: {first:?}, {second:?}");
            assert_eq!(report.rows_without_job, 0, "seed {seed}");
        }
    }
}

/// Returns whether one of the seeds below `seeds` leads to an expected breach with announced jobs. The fault occurs each
/// second, while a share of the polls and orders to hosts is late.
fn is_detected_announcing(
    mutation: Mutation,
    fault: CellFault,
    seeds: u64,
    is_expected: fn(&Breach) -> bool,
) -> bool {
    (0..seeds).any(|seed| {
        let at = |i: u32| Time::ZERO + i * SECOND;
        let late = (at(1), CellFault::OrdersLate(9 * SECOND));
        let mut faults = vec![late];
        faults.extend((2..9).map(|i| (at(i), fault)));
        let report = run_announcing(seed, faults, mutation);
        report.breaches.iter().any(is_expected)
    })
}

/// If announced jobs count as stored, tasks of jobs run that are not stored.
#[test]
fn an_announcement_that_counts_as_storage_is_detected() {
    let is_unstored =
        |breach: &Breach| matches!(breach, Breach::Unasked(_) | Breach::ShownUnstored(_));
    let mutation = Mutation::TrustAnnouncements;
    let dies = CellFault::SchedulerDies;
    assert!(is_detected_announcing(mutation, dies, 10, is_unstored));
}

/// If a successor ignores progress whose job is not stored yet, a task runs twice: the former scheduler learns that the
/// job is stored and starts it too.
#[test]
fn a_successor_that_ignores_progress_without_a_job_is_detected() {
    let replaced = CellFault::SchedulerReplaced;
    let seeds = 60;
    let mutation = Mutation::IgnoreOrphans;
    assert!(is_detected_announcing(mutation, replaced, seeds, ran_twice));
    let mutation = Mutation::None;
    assert!(!is_detected_announcing(mutation, replaced, seeds, |_| true));
}

/// A load of long jobs with checkpoints, of which many are cancelled.
fn cancelled_load() -> LoadSpec {
    let mut load = LoadSpec {
        cancelled: 0.3,
        ..small_load()
    };
    for kind in &mut load.kinds {
        kind.seconds = 30.0;
        kind.checkpoint_share = 1.0;
    }
    load
}

/// Without a stop, or without the news of a cancellation, tasks of cancelled jobs run on.
#[test]
fn tasks_of_cancelled_jobs_that_run_on_are_detected() {
    for mutation in [Mutation::NoStops, Mutation::IgnoreCancels] {
        assert_detected_with(cancelled_load, mutation, &[], |breach| {
            matches!(breach, Breach::RanOnAfterCancel(_))
        });
    }
    assert_detected_with(cancelled_load, Mutation::IgnoreCancels, &[], |breach| {
        matches!(breach, Breach::StartedAfterCancel(_))
    });
}

#[test]
fn orders_for_what_no_client_has_sent_are_detected() {
    assert_detected(Mutation::OtherSpec, &[], |breach| {
        matches!(breach, Breach::OtherSpec(_))
    });
    assert_detected(Mutation::UnknownTask, &[], |breach| {
        matches!(breach, Breach::Unasked(_))
    });
    let cuts = [CellFault::HostCut(14 * SECOND); 3];
    assert_detected_with(cancelled_load, Mutation::OtherCheckpoint, &cuts, |breach| {
        matches!(breach, Breach::OtherCheckpoint(_))
    });
}

/// Gangs resume from the checkpoint of any member, and runs that were lost from one that was listed.
#[test]
fn checkpoints_belong_to_their_tasks_under_many_faults() {
    let mut resumed = 0;
    for seed in 0..20 {
        let faults = random_faults(seed, 6);
        let mut load = cancelled_load();
        for kind in &mut load.kinds {
            kind.seconds = 4.0;
        }
        let spec = CellSpec {
            lists_checkpoints: true,
            ..spec(load, seed, faults, Mutation::None)
        };
        let report = Cell::new(spec).run();
        assert_eq!(report.breaches, [], "seed {seed}");
        resumed += report.resumed;
    }
    assert!(resumed > 0);
}
