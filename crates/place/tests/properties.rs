//! Properties of random loads with fixed seeds. [`World`] checks each decision.

mod world;

use std::time::Duration;

use model::{Class, TaskId, Time, UnitId, Usage};
use place::{PlaceConfig, TaskEnd};
use quickcheck::{Arbitrary, Gen};

use world::{World, batch, gang, service, size, unit};

/// The number of random loads per property.
const SEEDS: u64 = 60;
const WORKERS: u32 = 12;
const TEAMS: u8 = 3;

/// One event of a load. The numbers select among the existing tasks, workers and teams.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        shape: u8,
        tasks: u8,
        size_seed: u8,
        class: u8,
        team: u8,
    },
    End {
        pick: u16,
        end: u8,
    },
    Cancel {
        pick: u16,
    },
    Close {
        worker: u8,
    },
    Open {
        worker: u8,
    },
    ReportUsage {
        pick: u16,
        percent: u8,
    },
    Quota {
        team: u8,
        extra: u8,
    },
    Wait {
        tenths: u8,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u16::arbitrary(g);
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..=4 => Self::Submit {
                shape: a,
                tasks: b,
                size_seed: u8::arbitrary(g),
                class: u8::arbitrary(g),
                team: u8::arbitrary(g),
            },
            5..=7 => Self::End { pick, end: a },
            8 => Self::Cancel { pick },
            9 => Self::Close { worker: a },
            10 => Self::Open { worker: a },
            11..=12 => Self::ReportUsage { pick, percent: a },
            13 => Self::Quota { team: a, extra: b },
            _ => Self::Wait { tenths: a },
        }
    }
}

fn class(n: u8) -> Class {
    Class::URGENT_FIRST[usize::from(n % 3)]
}

fn submit(world: &mut World, n: usize, op: &Op) {
    let Op::Submit {
        shape,
        tasks,
        size_seed,
        class: class_seed,
        team,
    } = op
    else {
        return;
    };
    let tasks = u32::from(tasks % 8) + 1;
    let kind = match shape % 5 {
        0 => service(tasks.min(4)),
        1 => gang(tasks),
        _ => batch(tasks * 3),
    };
    let accelerators = u32::from(shape % 7 == 3);
    let task_size = size(
        u64::from(size_seed % 8) + 1,
        u64::from(size_seed / 8 % 16) + 1,
        accelerators,
    );
    let mut unit = unit(&format!("u{n}"), class(*class_seed), kind, task_size);
    unit.team = format!("team{}", team % TEAMS);
    unit.run_time = Duration::from_secs(u64::from(size_seed % 40) + 1);
    // An infeasible unit is refused, which has no further effect.
    let _ = world.submit(&unit);
}

fn nth_running(world: &World, pick: u16) -> Option<TaskId> {
    let n = usize::from(pick) % world.running.len().max(1);
    world.running.keys().nth(n).cloned()
}

fn apply(world: &mut World, n: usize, op: &Op) {
    match op {
        Op::Submit { .. } => submit(world, n, op),
        Op::End { pick, end } => {
            let ends = [
                TaskEnd::Succeeded,
                TaskEnd::Failed,
                TaskEnd::StartFailed,
                TaskEnd::Checkpointed,
                TaskEnd::Stopped,
                TaskEnd::Lost,
                TaskEnd::NotStarted,
            ];
            if let Some(task) = nth_running(world, *pick) {
                world.end(&task, ends[usize::from(*end) % ends.len()]);
            }
        }
        Op::Cancel { pick } => {
            if let Some(task) = nth_running(world, *pick) {
                world.cancel(task.unit.as_str());
            }
        }
        Op::Close { worker } => world.set_open(u32::from(*worker) % WORKERS, false),
        Op::Open { worker } => world.set_open(u32::from(*worker) % WORKERS, true),
        Op::ReportUsage { pick, percent } => {
            if let Some(task) = nth_running(world, *pick) {
                let declared = world.units[&task.unit].size;
                let scaled = |amount: u64| amount * (50 + u64::from(*percent)) / 100;
                let usage = Usage {
                    milli_processors: scaled(declared.milli_processors),
                    memory_mb: scaled(declared.memory_mb),
                };
                world.placer.report_usage(world.now, &task, usage);
            }
        }
        Op::Quota { team, extra } => {
            // Quotas are only raised: tasks that run within a quota are not stopped when it is
            // lowered, so the check of the quotas would fail.
            let name = format!("team{}", team % TEAMS);
            let more = u64::from(*extra);
            world.set_team(&name, size(200 + more, 400 + more, 40));
        }
        Op::Wait { tenths } => {
            world.step(Duration::from_millis(u64::from(*tenths) * 100));
        }
    }
}

fn world() -> World {
    let mut world = World::new(PlaceConfig::default(), 0, size(0, 0, 0));
    for i in 0..WORKERS {
        world.add_worker(i, size(16, 64, if i % 4 == 0 { 4 } else { 0 }));
    }
    for i in 0..TEAMS {
        world.set_team(&format!("team{i}"), size(60, 200, 6));
    }
    world
}

fn load(seed: u64) -> Vec<Op> {
    let mut g = Gen::from_size_and_seed(300, seed);
    let ops = (0..400).map(|_| Op::arbitrary(&mut g));
    ops.collect()
}

/// Checks that random loads never exceed a worker's size or a team's quota and never start a gang
/// in part. The checks are those of [`World::decide`].
#[test]
fn no_limit_is_passed_and_no_gang_starts_in_part() {
    let mut starts = 0;
    for seed in 0..SEEDS {
        let mut world = world();
        for (n, op) in load(seed).iter().enumerate() {
            // Half of the loads keep their first quotas.
            if matches!(op, Op::Quota { .. }) && seed % 2 == 0 {
                continue;
            }
            apply(&mut world, n, op);
            world.decide();
        }
        starts += world.first_starts.len();
    }
    assert!(starts > 1_000, "the loads start too little: {starts}");
}

/// Checks that no task is left behind: a lost wake-up, a reservation that is never released, or a
/// wrong entry in the cache of sizes without room would leave tasks queued forever.
#[test]
fn all_feasible_tasks_finish_once_arrivals_end() {
    for seed in 0..SEEDS / 2 {
        let mut world = world();
        let ops = load(seed);
        for (n, op) in ops.iter().enumerate() {
            if !matches!(
                op,
                Op::Close { .. } | Op::ReportUsage { .. } | Op::Quota { .. }
            ) {
                apply(&mut world, n, op);
                world.decide();
            }
        }
        for i in 0..WORKERS {
            world.set_open(i, true);
        }
        // Replicas never end and might fill the workers.
        let services = world.units.iter().filter(|(_, u)| u.kind.is_service());
        let services: Vec<UnitId> = services.map(|(id, _)| id.clone()).collect();
        for id in services {
            world.cancel(id.as_str());
        }
        // 150 steps of one second are longer than any backoff or reservation delay.
        let mut idle_steps = 0;
        while idle_steps < 150 && world.now < Time::from_ms(4_000_000) {
            world.step(Duration::from_secs(1));
            idle_steps = if world.running.is_empty() {
                idle_steps + 1
            } else {
                0
            };
        }
        let is_refused = |id: &UnitId| {
            let mut probe = world.clone();
            let unit = probe.units[id].clone();
            probe.submit(&unit).is_err()
        };
        for (id, unit) in &world.units {
            let is_excused = world.cancelled.contains(id) || is_refused(id);
            for index in 0..unit.kind.tasks() {
                let task = TaskId::new(id, index);
                let is_finished = world.finished.contains(&task);
                assert!(is_finished || is_excused, "seed {seed}: {task} is not done");
            }
        }
        assert!(world.running.is_empty(), "seed {seed}: something runs on");
    }
}

/// Decisions must not depend on the iteration order of a hash map or on other hidden state.
#[test]
fn the_same_load_gives_the_same_decisions() {
    for seed in 0..10 {
        let logs = [0, 1].map(|_| {
            let mut world = world();
            for (n, op) in load(seed).iter().enumerate() {
                apply(&mut world, n, op);
                world.decide();
            }
            world.decisions
        });
        assert_eq!(logs[0], logs[1]);
    }
}

/// Checks the bound on waiting: once no other unit of its class is before it, a unit starts within
/// its reservation delay, plus the longest run time of tasks that cannot be interrupted, plus a
/// margin for checkpoints. Without reservations, small units would take each freed piece of room.
#[test]
fn large_units_are_not_starved_by_small_ones() {
    let longest = Duration::from_secs(30);
    let margin = Duration::from_secs(6);
    let cfg = PlaceConfig::default();
    let cases = [
        (
            Class::Standard,
            gang(6),
            size(16, 64, 0),
            cfg.standard_reservation_delay,
        ),
        (
            Class::Standard,
            gang(12),
            size(9, 8, 0),
            cfg.standard_reservation_delay,
        ),
        (
            Class::Bulk,
            gang(4),
            size(16, 64, 0),
            cfg.bulk_reservation_delay,
        ),
        (
            Class::Bulk,
            batch(1),
            size(16, 64, 0),
            cfg.bulk_reservation_delay,
        ),
    ];
    for (class, kind, task_size, delay) in cases {
        for seed in 0..4 {
            let mut g = Gen::from_size_and_seed(300, seed);
            let mut world = World::new(PlaceConfig::default(), WORKERS, size(16, 64, 0));
            let mut at = Time::MAX;
            for n in 0..1_500_u32 {
                // The small units use four fifths of the workers, so that six workers are never
                // empty by chance.
                if n % 5 == 0 {
                    let small = size(u64::from(u8::arbitrary(&mut g) % 4) + 1, 2, 0);
                    let mut small = unit(&format!("small{n}"), class, batch(1), small);
                    small.run_time = longest;
                    world.submit(&small).unwrap();
                }
                if n == 400 {
                    at = world.now;
                    let mut large = unit("large", class, kind.clone(), task_size);
                    large.run_time = longest;
                    world.submit(&large).unwrap();
                }
                world.step(Duration::from_millis(100));
            }
            let started = world.first_start("large").unwrap_or(Time::MAX);
            let waited = started - at;
            assert!(
                waited <= delay + longest + margin,
                "{kind:?} waited {waited:?}"
            );
        }
    }
}
