//! Tests of single placement rules on small clusters.

mod world;

use std::{collections::BTreeSet, time::Duration};

use model::{Class, Repeat, Size, TaskId, Time, Unit, UnitId, Usage, WorkerId};
use place::{Decision, NextState, PlaceConfig, TaskEnd, Unplaceable};

use world::{World, batch, gang, service, size, unit};

const TICK: Duration = Duration::from_millis(100);
const WHOLE: Size = Size::new(16_000, 64 * 1_024, 0);

fn world(workers: u32) -> World {
    World::new(PlaceConfig::default(), workers, WHOLE)
}

fn of_team(unit: Unit, team: &str) -> Unit {
    Unit {
        team: team.into(),
        ..unit
    }
}

fn task(unit: &str, index: u32) -> TaskId {
    TaskId::new(&UnitId::new(unit), index)
}

fn workers_of(world: &World, name: &str) -> Vec<u32> {
    let running = world.running_of(name);
    running.iter().map(|(_, r)| r.worker.0).collect()
}

/// Replicas of a service that share a rack are lost together when the rack fails.
#[test]
fn replicas_are_spread_over_racks() {
    let mut world = world(16);
    let web = unit("web", Class::Standard, service(4), size(2, 2, 0));
    world.submit(&web).unwrap();
    world.decide();
    let racks: BTreeSet<u32> = workers_of(&world, "web").iter().map(|w| w / 4).collect();
    assert_eq!(racks.len(), 4);
    // A lost replica is replaced in the rack that has none now.
    let lost = world.running_of("web")[2].0.clone();
    let rack = world.running[&lost].worker.0 / 4;
    world.end(&lost, TaskEnd::Lost);
    world.decide();
    assert_eq!(world.running[&lost].worker.0 / 4, rack);
}

/// Tasks without accelerators that fill accelerator hosts would leave the accelerators there
/// without processors and memory.
#[test]
fn tasks_without_accelerators_leave_room_on_accelerator_hosts() {
    let mut world = World::new(PlaceConfig::default(), 0, WHOLE);
    world.add_worker(0, size(16, 64, 4));
    world.add_worker(1, size(16, 64, 4));
    world.add_worker(2, size(16, 64, 0));
    let cases = [
        ("service", Class::Standard, service(8)),
        ("firm", Class::Standard, batch(8)),
    ];
    for (name, class, kind) in cases {
        world
            .submit(&unit(name, class, kind, size(2, 2, 0)))
            .unwrap();
    }
    world.decide();
    assert_eq!(workers_of(&world, "service"), [2; 8]);
    // Half of the host's processors and memory per free accelerator is kept free.
    let batch_workers = workers_of(&world, "firm");
    assert!(
        batch_workers.len() == 8 && batch_workers.iter().all(|w| *w != 2),
        "{batch_workers:?}"
    );
    world
        .submit(&unit("model", Class::Standard, batch(2), size(2, 2, 4)))
        .unwrap();
    world.decide();
    assert_eq!(workers_of(&world, "model").len(), 2);
}

/// An entry of the VM list may name any size. Its arithmetic must not overflow.
#[test]
fn work_is_placed_beside_a_worker_of_the_largest_size() {
    let mut world = world(1);
    world.add_worker(1, Size::new(u64::MAX, u64::MAX, u32::MAX));
    let firm = unit("firm", Class::Standard, batch(12), size(2, 2, 0));
    world.submit(&firm).unwrap();
    world.decide();
    assert_eq!(workers_of(&world, "firm").len(), 12);
}

/// Preemption of the task that has run longest would lose the most work.
#[test]
fn urgent_work_preempts_the_cheapest_victim() {
    let mut world = world(2);
    let mut add = |name: &str, wait: u64| {
        let mut bulk = unit(name, Class::Bulk, batch(1), size(16, 8, 0));
        bulk.run_time = Duration::from_secs(600);
        world.submit(&bulk).unwrap();
        world.step(Duration::from_secs(wait));
    };
    add("old", 30);
    add("young", 30);
    let urgent = unit("urgent", Class::Interactive, batch(1), size(1, 1, 0));
    world.submit(&urgent).unwrap();
    let submitted = world.now;
    let out = world.decide();
    let victim = task("young", 0);
    assert!(
        matches!(&out[..], [Decision::Checkpoint { task, .. }] if *task == victim),
        "{out:?}"
    );
    world.run_for(Duration::from_secs(2));
    let waited = world.first_start("urgent").unwrap() - submitted;
    assert!(waited <= Duration::from_secs(8), "{waited:?}");
    assert!(world.running_of("old").len() == 1);
}

/// A task that never finishes its checkpoint must not keep urgent work waiting.
#[test]
fn a_checkpoint_that_takes_too_long_becomes_a_stop() {
    let mut world = world(1);
    let bulk = unit("bulk", Class::Bulk, batch(1), WHOLE);
    world.submit(&bulk).unwrap();
    world.decide();
    let urgent = unit("urgent", Class::Interactive, batch(1), size(1, 1, 0));
    world.submit(&urgent).unwrap();
    let mut out = Vec::new();
    world.placer.decide(world.now, &mut out);
    assert!(matches!(out[..], [Decision::Checkpoint { .. }]));
    let late = world.now + PlaceConfig::default().checkpoint_timeout;
    assert_eq!(world.placer.next_wake(), Some(late));
    out.clear();
    world.placer.decide(late, &mut out);
    assert!(matches!(out[..], [Decision::Stop { .. }]), "{out:?}");
}

/// A steady stream of urgent work must not preempt the same task forever.
#[test]
fn a_task_is_preempted_a_bounded_number_of_times() {
    let mut world = world(1);
    let mut bulk = unit("bulk", Class::Bulk, batch(1), WHOLE);
    bulk.run_time = Duration::from_secs(50);
    world.submit(&bulk).unwrap();
    for n in 0..200 {
        let mut urgent = unit(
            &format!("u{n}"),
            Class::Interactive,
            batch(1),
            size(1, 1, 0),
        );
        urgent.run_time = Duration::from_secs(1);
        world.submit(&urgent).unwrap();
        world.run_for(Duration::from_secs(10));
    }
    let checkpoints = world.count(|d| matches!(d, Decision::Checkpoint { .. }));
    assert_eq!(checkpoints, 3);
    assert!(world.finished.contains(&task("bulk", 0)));
}

/// A task that uses more than its allocation must not overload its worker at the cost of more
/// urgent tasks.
#[test]
fn growth_uses_free_room_or_throttles_or_preempts_the_lowest_class() {
    let usage = |p, gb: u64| Usage {
        milli_processors: p,
        memory_mb: gb * 1_024,
    };
    let mut world = world(1);
    let cases = [("low", Class::Bulk), ("high", Class::Standard)];
    for (name, class) in cases {
        world
            .submit(&unit(name, class, batch(1), size(6, 24, 0)))
            .unwrap();
    }
    world.decide();
    let (low, high) = (task("low", 0), task("high", 0));
    world
        .placer
        .report_usage(world.now, &high, usage(8_000, 32));
    assert!(world.decide().is_empty());
    assert_eq!(world.placer.allocated(&high), Some(size(8, 32, 0)));
    world
        .placer
        .report_usage(world.now, &high, usage(12_000, 32));
    let out = world.decide();
    assert!(
        matches!(&out[..], [Decision::Throttle { task, milli_processors: 8_000, .. }] if *task == high),
        "{out:?}"
    );
    world
        .placer
        .report_usage(world.now, &high, usage(8_000, 50));
    let out = world.decide();
    assert!(
        matches!(&out[..], [Decision::Checkpoint { task, .. }] if *task == low),
        "{out:?}"
    );
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.placer.allocated(&high), Some(size(8, 50, 0)));
    // The observed peak usage is allocated for the next attempt of a unit with this name.
    world.end(&high, TaskEnd::Lost);
    world.step(TICK);
    assert_eq!(
        world.placer.allocated(&high),
        Some(Size::new(12_000, 50 * 1_024, 0))
    );
}

/// If failures counted only against tasks, a faulty worker would use up the attempts of many tasks.
/// If they counted only against workers, a faulty task would quarantine one worker after another.
#[test]
fn faulty_workers_are_distinguished_from_faulty_tasks() {
    let mut world = world(8);
    world.faulty_workers.insert(WorkerId(0));
    let mut bad = unit("bad", Class::Bulk, batch(4), size(2, 2, 0));
    bad.command[0] = "fail".into();
    world.submit(&bad).unwrap();
    for n in 0..6 {
        let mut good = unit(&format!("good{n}"), Class::Bulk, batch(60), size(2, 2, 0));
        good.run_time = Duration::from_secs(5);
        world.submit(&good).unwrap();
    }
    world.run_for(Duration::from_secs(40));
    assert!(world.placer.is_quarantined(WorkerId(0)));
    assert!((1..8).all(|w| !world.placer.is_quarantined(WorkerId(w))));
    world.run_for(Duration::from_secs(300));
    let given_up: BTreeSet<&str> = world.given_up.keys().map(|t| t.unit.as_str()).collect();
    assert_eq!(given_up, BTreeSet::from(["bad"]));
    // The worker is repaired; a successful probe ends its quarantine.
    world.faulty_workers.clear();
    let mut late = unit("late", Class::Bulk, batch(400), size(2, 2, 0));
    late.run_time = Duration::from_secs(5);
    world.submit(&late).unwrap();
    world.run_for(Duration::from_secs(600));
    assert!(!world.placer.is_quarantined(WorkerId(0)));
    let is_start_on_probed_worker = |d: &Decision| matches!(d, Decision::Start { task, worker: WorkerId(0), .. } if task.unit.as_str() == "late");
    assert!(world.count(is_start_on_probed_worker) > 0);
}

/// A task that always fails must not be restarted at once, endlessly, or always on the same worker.
#[test]
fn attempts_are_bounded_and_wait_longer_each_time() {
    let mut world = world(8);
    let mut bad = unit("bad", Class::Bulk, batch(1), size(2, 2, 0));
    bad.command[0] = "fail".into();
    bad.attempts = 5;
    world.submit(&bad).unwrap();
    world.run_for(Duration::from_secs(60));
    let starts = world.decisions.iter().filter_map(|(at, d)| match d {
        Decision::Start { worker, .. } => Some((*at, *worker)),
        _ => None,
    });
    let starts: Vec<(Time, WorkerId)> = starts.collect();
    assert_eq!(starts.len(), 5);
    let gaps: Vec<u64> = starts
        .windows(2)
        .map(|w| (w[1].0 - w[0].0).as_secs())
        .collect();
    assert_eq!(gaps, [1, 2, 4, 8]);
    assert_ne!(starts[0].1, starts[1].1, "not twice on one worker");
}

/// A unit that can never run must be refused instead of waiting forever.
#[test]
fn infeasible_units_are_refused_with_a_reason() {
    let mut world = world(2);
    world.set_team("small", size(8, 100, 0));
    let cases = [
        (
            unit("wide", Class::Bulk, batch(1), size(17, 1, 0)),
            "no worker holds",
        ),
        (
            unit("gpu", Class::Bulk, batch(1), size(1, 1, 1)),
            "no worker holds",
        ),
        (
            unit("gang", Class::Bulk, gang(5), size(6, 1, 0)),
            "workers together",
        ),
        (
            of_team(unit("q", Class::Bulk, batch(1), size(9, 1, 0)), "small"),
            "quota",
        ),
        (
            of_team(unit("n", Class::Bulk, batch(1), size(1, 1, 0)), "none"),
            "not known",
        ),
    ];
    for (unit, reason) in cases {
        let e = world.submit(&unit).unwrap_err();
        assert!(e.to_string().contains(reason), "{e}");
    }
    assert!(world.decide().is_empty());
}

/// A queued unit can become infeasible when a worker closes, and feasible again when it opens.
#[test]
fn an_explanation_follows_each_change_of_feasibility() {
    let mut world = world(1);
    world.add_worker(1, size(32, 64, 0));
    world
        .submit(&unit("first", Class::Bulk, batch(1), size(32, 1, 0)))
        .unwrap();
    world.decide();
    let big = unit("big", Class::Bulk, batch(1), size(20, 1, 0));
    world.submit(&big).unwrap();
    world.decide();
    world.set_open(1, false);
    let out = world.decide();
    let explained = |reason| Decision::Explain {
        unit: UnitId::new("big"),
        reason,
    };
    let reason = Unplaceable::TooLarge(size(20, 1, 0));
    assert_eq!(out, [explained(Some(reason))]);
    world.set_open(1, true);
    assert_eq!(world.decide(), [explained(None)]);
    world.run_for(Duration::from_secs(70));
    assert!(world.first_start("big").is_some());
}

/// A mass cancellation must not give thousands of stops in one call, and the freed room must go to
/// other units.
#[test]
fn mass_cancellation_stops_tasks_at_a_bounded_rate() {
    let mut world = World::new(PlaceConfig::default(), 200, WHOLE);
    world
        .submit(&unit("wave", Class::Bulk, batch(5_000), size(1, 1, 0)))
        .unwrap();
    world
        .submit(&unit("next", Class::Bulk, batch(10), size(1, 1, 0)))
        .unwrap();
    world.run_for(Duration::from_secs(5));
    let running = world.running_of("wave").len();
    assert!(running > 3_000);
    let mut most = world.cancel("wave");
    for _ in 0..100 {
        let out = world.step(TICK);
        let stops = out.iter().filter(|d| matches!(d, Decision::Stop { .. }));
        most = most.max(stops.count());
    }
    assert!(most <= 50, "{most} stops at a time");
    assert_eq!(world.count(|d| matches!(d, Decision::Stop { .. })), running);
    assert!(world.running_of("wave").is_empty());
    assert_eq!(
        world
            .first_starts
            .keys()
            .filter(|t| t.unit.as_str() == "next")
            .count(),
        10
    );
}

/// A team with much queued work must not crowd out the others.
#[test]
fn teams_share_in_proportion_to_their_quotas() {
    let mut world = world(10);
    for (team, processors) in [("a", 160), ("b", 160), ("c", 80)] {
        world.set_team(team, size(processors, 1_000, 0));
        let many = unit(
            &format!("many-{team}"),
            Class::Bulk,
            batch(500),
            size(1, 1, 0),
        );
        world.submit(&of_team(many, team)).unwrap();
    }
    world.decide();
    world.run_for(Duration::from_secs(1));
    let held = ["many-a", "many-b", "many-c"].map(|name| world.running_of(name).len());
    assert_eq!(held, [64, 64, 32]);
}

/// A task that must not be repeated would run twice if it were retried after an end that leaves
/// open whether it ran.
#[test]
fn tasks_not_to_be_repeated_are_given_up_after_an_uncertain_end() {
    let cases = [
        (TaskEnd::Lost, true),
        (TaskEnd::Failed, true),
        (TaskEnd::Stopped, true),
        (TaskEnd::Checkpointed, true),
        (TaskEnd::StartFailed, false),
        (TaskEnd::NotStarted, false),
    ];
    for (end, expected) in cases {
        let mut world = world(1);
        let mut once = unit("once", Class::Bulk, batch(1), size(1, 1, 0));
        once.repeat = Repeat::Never;
        world.submit(&once).unwrap();
        world.decide();
        let next = world.end(&task("once", 0), end);
        assert_eq!(
            matches!(next, NextState::GivenUp { .. }),
            expected,
            "{end:?}"
        );
    }
}

/// Two gangs that each held a part of the room would deadlock.
#[test]
fn two_gangs_that_fit_one_at_a_time_both_run() {
    let mut world = world(4);
    for name in ["a", "b"] {
        let mut gang = unit(name, Class::Standard, gang(3), size(16, 1, 0));
        gang.run_time = Duration::from_secs(20);
        world.submit(&gang).unwrap();
    }
    world.run_for(Duration::from_secs(60));
    assert!(world.finished.len() == 6, "{:?}", world.finished);
}

/// Tasks that run in reserved room must leave it in time, also if they run longer than they
/// declared.
#[test]
fn backfill_does_not_delay_the_unit_with_the_reservation() {
    // One of the backfilled tasks runs much longer than declared.
    let large_start = |with_small: bool| {
        let mut world = world(2);
        let mut long = unit("long", Class::Bulk, batch(2), size(8, 1, 0));
        long.run_time = Duration::from_secs(200);
        world.submit(&long).unwrap();
        world.step(TICK);
        world
            .submit(&unit("large", Class::Bulk, gang(2), WHOLE))
            .unwrap();
        world.run_for(Duration::from_secs(90));
        if with_small {
            let mut small = unit("small", Class::Bulk, batch(6), size(4, 1, 0));
            small.run_time = Duration::from_secs(30);
            world.submit(&small).unwrap();
            let mut overrunning = unit("liar", Class::Bulk, batch(1), size(4, 1, 0));
            overrunning.run_time = Duration::from_secs(40);
            world.submit(&overrunning).unwrap();
        }
        world.run_for(Duration::from_secs(40));
        if let Some(running) = world.running.get_mut(&task("liar", 0)) {
            running.ends = world.now + Duration::from_secs(200);
        }
        world.run_for(Duration::from_secs(120));
        for name in ["small", "liar"] {
            assert_eq!(world.first_start(name).is_some(), with_small);
        }
        world.first_start("large").unwrap()
    };
    let margin = Duration::from_secs(2);
    assert!(large_start(true) <= large_start(false) + margin);
}

/// A worker that starts to fail must not use up the attempts of tasks that allow only one.
#[test]
fn failures_of_a_suspect_worker_do_not_count_against_its_tasks() {
    let mut world = world(4);
    let mut once = unit("once", Class::Bulk, batch(2_000), size(2, 2, 0));
    once.run_time = Duration::from_secs(5);
    once.attempts = 1;
    world.submit(&once).unwrap();
    world.run_for(Duration::from_secs(12));
    world.faulty_workers.insert(WorkerId(0));
    world.run_for(Duration::from_secs(30));
    assert!(world.placer.is_quarantined(WorkerId(0)));
    // The first failure may have been the task's own fault. A task that started before the fault
    // still succeeds, which resets the worker's failures, so a second first failure counts too.
    assert!(world.given_up.len() <= 2, "{:?}", world.given_up);
}

/// A task that crashes its workers would take one after the other, as fast as each is given up.
#[test]
fn a_task_that_is_lost_again_and_again_starts_ever_more_slowly() {
    let mut world = world(8);
    let crashing = unit("crashing", Class::Bulk, batch(1), size(1, 1, 0));
    world.submit(&crashing).unwrap();
    let mut starts = 0;
    for _ in 0..100 {
        world.decide();
        if world.running_of("crashing").len() == 1 {
            starts += 1;
            let next = world.end(&task("crashing", 0), TaskEnd::Lost);
            assert_eq!(next, NextState::Waiting, "silent workers are no failures");
        }
        world.run_for(Duration::from_secs(1));
    }
    // The pauses are 0, 1, 2, 4, 8, 16, 32 and 60 s.
    assert!((6..=9).contains(&starts), "{starts} starts in 100 s");
}
