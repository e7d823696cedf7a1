//! Tasks of a lost host start elsewhere in time, whichever schedulers are lost as well.

use std::time::Duration;

use fakes::cell::{Cell, CellFault, CellSpec, LoadSpec, Mutation, generate};
use model::{Size, Time};

const SECOND: Duration = Duration::from_secs(1);

/// A long-running task counts as lost if it does not run for 3 s, from 6 s after its last run.
const RESTART_LIMIT: Duration = Duration::from_secs(9);

/// The same after a fault that leaves nothing known of the host: the 3 s begin once the cell has been without a fault for 4 s
/// and calm for 4 s more.
const RESTART_LIMIT_UNKNOWN: Duration = Duration::from_secs(11);

/// How long after a lease row is written a node that suspects its holder has read it.
const ROW_SEEN_AFTER: Duration = Duration::from_millis(500);

/// Returns a cell of tasks that are longer than a lease, with room for those of lost hosts.
fn spec(seed: u64, faults: &[(Duration, CellFault)]) -> CellSpec {
    let mut load = LoadSpec {
        duration: Duration::from_secs(10),
        factor: 0.08,
        ..LoadSpec::reminders()
    };
    for kind in &mut load.kinds {
        kind.seconds = 30.0;
        kind.seconds_max = 40.0;
        kind.steps = 1.0;
        kind.gang_share = 0.0;
        kind.failure_share = 0.0;
        kind.tasks_max = kind.tasks_max.min(4);
        kind.size.0 = kind.size.0.min(1_000.0);
        kind.size_max.0 = 1_000;
    }
    let faults = faults.iter();
    CellSpec {
        arrivals: generate(&load, seed),
        kinds: load.kinds,
        host_size: Size::new(64_000, 262_144, 0),
        faults: faults
            .map(|&(at, fault)| (Time::ZERO + at, fault))
            .collect(),
        seed,
        ..CellSpec::default()
    }
}

/// Returns the longest time after which a task of a lost host began again.
fn longest_restart(nodes: usize, faults: &[(Duration, CellFault)]) -> Duration {
    let restarts = (0..12).map(|seed| {
        let report = Cell::new(CellSpec {
            nodes,
            ..spec(seed, faults)
        })
        .run();
        assert_eq!(report.breaches, [], "seed {seed}");
        report.longest_restart
    });
    let longest = restarts.max().unwrap_or_default();
    assert!(!longest.is_zero(), "no task was lost");
    longest
}

fn assert_restarts(faults: &[(Duration, CellFault)], limit: Duration) {
    let longest = longest_restart(3, faults);
    assert!(longest <= limit, "began again after {longest:?}");
}

#[test]
fn lost_tasks_run_again_in_time() {
    assert_restarts(&[(12 * SECOND, CellFault::HostGone)], RESTART_LIMIT);
}

/// Guards against a wait for leases that begins anew with a takeover.
#[test]
fn lost_tasks_run_again_in_time_though_their_scheduler_is_lost() {
    let faults = [
        (12 * SECOND, CellFault::HostGone),
        (16 * SECOND, CellFault::SchedulerGone),
    ];
    assert_restarts(&faults, RESTART_LIMIT);
}

/// Guards against a wait for leases that begins anew with each of several takeovers.
#[test]
fn lost_tasks_run_again_in_time_though_schedulers_die_one_after_the_other() {
    let faults = [
        (12 * SECOND, CellFault::HostGone),
        (14 * SECOND, CellFault::SchedulerDies),
        (16 * SECOND, CellFault::SchedulerDies),
        (18 * SECOND, CellFault::SchedulerDies),
    ];
    assert_restarts(&faults, RESTART_LIMIT);
}

/// Guards against waiting for leases of an earlier scheduler on a host that has answered its successor.
#[test]
fn tasks_that_are_lost_after_a_takeover_run_again_in_time() {
    let faults = [
        (12 * SECOND, CellFault::SchedulerGone),
        (14 * SECOND, CellFault::HostGone),
    ];
    assert_restarts(&faults, RESTART_LIMIT);
}

/// Guards against a wait that ignores that the former scheduler's process has ended.
#[test]
fn tasks_that_are_lost_with_their_scheduler_run_again_once_its_process_is_back() {
    let faults = [
        (12 * SECOND, CellFault::HostGone),
        (12 * SECOND, CellFault::SchedulerDies),
    ];
    assert_restarts(&faults, RESTART_LIMIT_UNKNOWN);
}

/// Guards against a wait that begins anew with each scheduler that is lost before it has done anything.
#[test]
fn lost_tasks_run_again_in_time_though_successors_are_lost_at_once() {
    let lost_at = |takeovers: u64| {
        let mut faults = vec![(12 * SECOND, CellFault::HostGone)];
        let at = |i| 12 * SECOND + Duration::from_millis(i * 1_200);
        faults.extend((0..=takeovers).map(|i| (at(i), CellFault::SchedulerGone)));
        longest_restart(6, &faults)
    };
    let (once, thrice) = (lost_at(0), lost_at(2));
    // Each successor counts from when it has seen the row.
    assert!(thrice <= once + 2 * ROW_SEEN_AFTER, "{once:?}, {thrice:?}");
}

/// Guards against a wait of more than what the platform tolerates, if a failure domain is lost with the scheduler in it.
#[test]
fn tasks_that_are_lost_with_their_scheduler_run_again_though_its_node_is_gone() {
    let faults = [
        (12 * SECOND, CellFault::HostGone),
        (12 * SECOND, CellFault::SchedulerGone),
    ];
    assert_restarts(&faults, RESTART_LIMIT_UNKNOWN);
}

/// Returns the work that is lost, in core-seconds, if a host is out of contact and the table is away from some time after that
/// on, for spans in milliseconds.
fn work_lost(host_cut: u64, outage_after: u64, outage: u64) -> f64 {
    let ms = Duration::from_millis;
    let outage_at = 12 * SECOND + ms(outage_after);
    let faults = [
        (12 * SECOND, CellFault::HostCut(ms(host_cut))),
        (outage_at, CellFault::TableDown(ms(outage))),
    ];
    let lost = (0..24).map(|seed| {
        let cell = CellSpec {
            hosts: 4,
            ..spec(seed, &faults)
        };
        Cell::new(cell).run().wasted
    });
    lost.sum()
}

/// Guards against tasks that lapse on a worker that was out of contact for a moment, because no row can be stored then.
#[test]
fn a_short_loss_before_an_outage_of_the_table_ends_no_task() {
    for (host_cut, outage_after, outage) in [
        (1_000, 1_000, 3_500),
        (1_500, 1_400, 3_500),
        (2_000, 1_800, 3_000),
    ] {
        let lost = work_lost(host_cut, outage_after, outage);
        assert!(lost < 0.1, "{host_cut} ms: {lost} core-s");
    }
}

/// Guards against the same in an outage that a scheduler outlasts otherwise.
#[test]
fn a_short_loss_before_a_longer_outage_of_the_table_ends_no_task() {
    let lost = work_lost(1_500, 1_200, 4_500);
    assert!(lost < 0.1, "{lost} core-s");
}

/// Returns the seeds of which a run breaks a guarantee, with the faults of each.
fn broken(
    seeds: impl Iterator<Item = u64>,
    faults: impl Fn(u64) -> Vec<(Duration, CellFault)>,
    mutation: Mutation,
) -> Vec<u64> {
    let is_broken = |&seed: &u64| {
        let cell = CellSpec {
            hosts: 3,
            mutation,
            ..spec(seed, &faults(seed))
        };
        !Cell::new(cell).run().breaches.is_empty()
    };
    seeds.filter(is_broken).collect()
}

/// A host that has been silent is back, and the scheduler renews its leases. Then its successor does not reach it.
fn silent_host_and_hidden_host(_: u64) -> Vec<(Duration, CellFault)> {
    let silent = CellFault::HostCut(Duration::from_millis(2_500));
    let hidden = CellFault::HostCutFromOthers(20 * SECOND);
    vec![
        (12 * SECOND, silent),
        (12 * SECOND, silent),
        (16 * SECOND, hidden),
        (16 * SECOND, hidden),
        (17 * SECOND, CellFault::SchedulerDies),
    ]
}

/// The former scheduler renews leases of hosts that its successors do not reach, and knows of none of them. Further
/// successors follow within seconds.
fn split_cell(seed: u64) -> Vec<(Duration, CellFault)> {
    let ms = Duration::from_millis;
    let cut_at = 12 * SECOND + ms(seed * 97 % 400);
    let more: &[u64] = match seed % 5 {
        0 => &[],
        1 => &[10, 20],
        2 => &[200, 1_300],
        3 => &[2_000],
        _ => &[300, 900, 2_500],
    };
    let mut faults = vec![
        (12 * SECOND, CellFault::HostsSplit(40 * SECOND)),
        (cut_at, CellFault::SchedulerCutFromTable(30 * SECOND)),
    ];
    let replaced = more.iter().map(|&later| cut_at + SECOND + ms(later));
    faults.extend(replaced.map(|at| (at, CellFault::SchedulerReplaced)));
    faults
}

/// A scheduler bounds the leases of a silent host, and is followed by two others before the host is reached again, by the
/// last of them only.
fn successor_of_a_successor(seed: u64) -> Vec<(Duration, CellFault)> {
    let ms = Duration::from_millis;
    let cut = CellFault::HostCut(ms(2_800 + seed * 53 % 1_200));
    vec![
        (12 * SECOND, cut),
        (12 * SECOND, cut),
        (14 * SECOND + ms(300), CellFault::SchedulerDies),
        (
            15 * SECOND + ms(500 + seed * 31 % 900),
            CellFault::HostCutFromOthers(20 * SECOND),
        ),
        (16 * SECOND + ms(seed * 71 % 700), CellFault::SchedulerDies),
    ]
}

/// Guards against a second run of a task whose lease an earlier scheduler still renews.
#[test]
fn no_task_runs_twice_while_an_earlier_scheduler_renews_leases() {
    assert_eq!(
        broken(0..100, split_cell, Mutation::None),
        Vec::<u64>::new()
    );
    for mutation in [Mutation::TakeForStopped, Mutation::ForgetRenewers] {
        let found = broken(0..100, split_cell, mutation);
        assert!(!found.is_empty(), "{mutation:?}");
    }
}

/// Guards against a row that tells a bound which its holder does not keep.
#[test]
fn no_task_runs_twice_after_its_host_was_silent_for_a_while() {
    let scenarios = [silent_host_and_hidden_host, successor_of_a_successor];
    for scenario in scenarios {
        assert_eq!(broken(0..40, scenario, Mutation::None), Vec::<u64>::new());
    }
    assert!(!broken(0..24, silent_host_and_hidden_host, Mutation::KeepBounds).is_empty());
}
