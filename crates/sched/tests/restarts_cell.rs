//! Simulations of a whole cell whose hosts restart under their names and are cut off soon after, while schedulers are lost.

use std::time::Duration;

use fakes::{
    Rng,
    cell::{Cell, CellFault, CellSpec, LoadSpec, generate},
};
use model::{Size, Time};

const SECOND: Duration = Duration::from_secs(1);

/// Returns a cell of tasks that run for longer than a lease, with room for those of lost hosts.
fn spec(seed: u64, faults: Vec<(Time, CellFault)>) -> CellSpec {
    let mut load = LoadSpec {
        duration: 9 * SECOND,
        factor: 0.1,
        ..LoadSpec::reminders()
    };
    for kind in &mut load.kinds {
        kind.seconds = 18.0;
        kind.seconds_max = 30.0;
        kind.steps = 1.0;
        kind.gang_share = if seed.is_multiple_of(3) { 0.3 } else { 0.0 };
        kind.failure_share = 0.0;
        kind.allowed_share = 1.0;
        kind.tasks_max = kind.tasks_max.min(4);
        kind.size.0 = kind.size.0.min(1_000.0);
        kind.size_max.0 = 1_000;
    }
    CellSpec {
        arrivals: generate(&load, seed),
        kinds: load.kinds,
        hosts: 4,
        host_size: Size::new(64_000, 262_144, 0),
        faults,
        // Tasks that were lost with their hosts run one after the other.
        completion_timeout: 600 * SECOND,
        seed,
        ..CellSpec::default()
    }
}

/// Three of four hosts restart while the list of hosts stands still, and are cut off 1 to 3 s later. In between, `losses`
/// schedulers are lost one after the other.
fn recut(seed: u64, losses: u64) -> Vec<(Time, CellFault)> {
    let mut rng = Rng::new(seed);
    let mut ms = |least, most| rng.span(Duration::from_millis(least), Duration::from_millis(most));
    let at = Time::ZERO + ms(4_000, 5_000);
    let (down, up, cut) = (ms(50, 800), ms(1_000, 3_000), ms(9_000, 14_000));
    let recut = CellFault::HostsRecut {
        percent: 75,
        down,
        up,
        cut,
    };
    let stuck = CellFault::DirectoryStuck(down + ms(500, 2_000));
    let mut faults = vec![(at, recut), (at, stuck)];
    for number in 0..losses {
        let lost_at = at + down + ms(0, 2_000).min(up.saturating_sub(ms(0, 1_000)));
        let loss = if (seed + number).is_multiple_of(2) {
            CellFault::SchedulerDies
        } else {
            CellFault::SchedulerReplaced
        };
        faults.push((lost_at, loss));
    }
    faults.sort_by_key(|&(at, _)| at);
    faults
}

/// Returns the seeds of which a cell breaks a guarantee.
fn broken(seeds: impl Iterator<Item = u64>, losses: u64) -> Vec<u64> {
    let is_broken = |&seed: &u64| {
        let report = Cell::new(spec(seed, recut(seed, losses))).run();
        !report.breaches.is_empty()
    };
    seeds.filter(is_broken).collect()
}

/// Guards against two runs of a task: its host has the longest lease by an order of a lost scheduler, which was meant for the
/// incarnation before.
#[test]
fn a_lease_of_a_restarted_host_that_a_lost_scheduler_has_granted_is_not_waited_for() {
    assert_eq!(broken(0..20, 1), Vec::<u64>::new());
}

/// Guards against the same if the successors are lost as well.
#[test]
fn a_lease_of_a_restarted_host_is_forgotten_by_the_second_or_third_successor() {
    for losses in [2, 3] {
        assert_eq!(broken(7..20, losses), Vec::<u64>::new(), "{losses} losses");
    }
}
