//! Random loads with fixed seeds. The books of [`world::World`] judge each decision.

mod world;

use std::time::Duration;

use model::{Class, TaskId, Time, UnitId, Usage};
use place::{PlaceConfig, TaskEnd};
use quickcheck::{Arbitrary, Gen};

use world::{World, batch, gang, service, size, unit};

/// Random loads per property.
const SEEDS: u64 = 60;
const WORKERS: u32 = 12;
const TEAMS: u8 = 3;

/// One event of a load. Numbers choose among what there is.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        shape: u8,
        tasks: u8,
        big: u8,
        class: u8,
        team: u8,
    },
    End {
        which: u16,
        end: u8,
    },
    Cancel {
        which: u16,
    },
    Close {
        worker: u8,
    },
    Open {
        worker: u8,
    },
    Use {
        which: u16,
        percent: u8,
    },
    Quota {
        team: u8,
        halves: u8,
    },
    Wait {
        tenths: u8,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = u16::arbitrary(g);
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 16 {
            0..=4 => Self::Submit {
                shape: a,
                tasks: b,
                big: u8::arbitrary(g),
                class: u8::arbitrary(g),
                team: u8::arbitrary(g),
            },
            5..=7 => Self::End { which, end: a },
            8 => Self::Cancel { which },
            9 => Self::Close { worker: a },
            10 => Self::Open { worker: a },
            11..=12 => Self::Use { which, percent: a },
            13 => Self::Quota { team: a, halves: b },
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
        big,
        class: c,
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
    let of = size(
        u64::from(big % 8) + 1,
        u64::from(big / 8 % 16) + 1,
        accelerators,
    );
    let mut unit = unit(&format!("u{n}"), class(*c), kind, of);
    unit.team = format!("team{}", team % TEAMS);
    unit.run_time = Duration::from_secs(u64::from(big % 40) + 1);
    // A unit that can never run as things stand is refused and does no harm.
    let _ = world.submit(&unit);
}

fn nth_running(world: &World, which: u16) -> Option<TaskId> {
    let n = usize::from(which) % world.running.len().max(1);
    world.running.keys().nth(n).cloned()
}

fn apply(world: &mut World, n: usize, op: &Op) {
    match op {
        Op::Submit { .. } => submit(world, n, op),
        Op::End { which, end } => {
            let ends = [
                TaskEnd::Succeeded,
                TaskEnd::Failed,
                TaskEnd::StartFailed,
                TaskEnd::Checkpointed,
                TaskEnd::Stopped,
                TaskEnd::Lost,
                TaskEnd::NotStarted,
            ];
            if let Some(task) = nth_running(world, *which) {
                world.end(&task, ends[usize::from(*end) % ends.len()]);
            }
        }
        Op::Cancel { which } => {
            if let Some(task) = nth_running(world, *which) {
                world.cancel(task.unit.as_str());
            }
        }
        Op::Close { worker } => world.set_open(u32::from(*worker) % WORKERS, false),
        Op::Open { worker } => world.set_open(u32::from(*worker) % WORKERS, true),
        Op::Use { which, percent } => {
            if let Some(task) = nth_running(world, *which) {
                let declared = world.units[&task.unit].size;
                let part = |amount: u64| amount * (50 + u64::from(*percent)) / 100;
                let usage = Usage {
                    milli_processors: part(declared.milli_processors),
                    memory_mb: part(declared.memory_mb),
                };
                world.placer.report_usage(world.now, &task, usage);
            }
        }
        Op::Quota { team, halves } => {
            // Only raised: what runs within a quota that is then lowered is not stopped.
            let name = format!("team{}", team % TEAMS);
            let more = u64::from(*halves);
            world.team(&name, size(200 + more, 400 + more, 40));
        }
        Op::Wait { tenths } => {
            world.step(Duration::from_millis(u64::from(*tenths) * 100));
        }
    }
}

fn world() -> World {
    let mut world = World::new(PlaceConfig::default(), 0, size(0, 0, 0));
    for i in 0..WORKERS {
        world.worker(i, size(16, 64, if i % 4 == 0 { 4 } else { 0 }));
    }
    for i in 0..TEAMS {
        world.team(&format!("team{i}"), size(60, 200, 6));
    }
    world
}

fn load(seed: u64) -> Vec<Op> {
    let mut g = Gen::from_size_and_seed(300, seed);
    let ops = (0..400).map(|_| Op::arbitrary(&mut g));
    ops.collect()
}

#[test]
fn no_limit_is_passed_and_no_gang_starts_in_part() {
    let mut starts = 0;
    for seed in 0..SEEDS {
        let mut world = world();
        for (n, op) in load(seed).iter().enumerate() {
            // Quotas grow only where nothing counts on the first ones.
            if matches!(op, Op::Quota { .. }) && seed % 2 == 0 {
                continue;
            }
            apply(&mut world, n, op);
            world.decide();
        }
        starts += world.started_at.len();
    }
    assert!(starts > 1_000, "the loads start too little: {starts}");
}

#[test]
fn all_that_can_run_starts_once_arrivals_end() {
    for seed in 0..SEEDS / 2 {
        let mut world = world();
        let ops = load(seed);
        for (n, op) in ops.iter().enumerate() {
            if !matches!(op, Op::Close { .. } | Op::Use { .. } | Op::Quota { .. }) {
                apply(&mut world, n, op);
                world.decide();
            }
        }
        for i in 0..WORKERS {
            world.set_open(i, true);
        }
        // Replicas run for good and may fill the workers.
        let services = world.units.iter().filter(|(_, u)| u.kind.is_service());
        let services: Vec<UnitId> = services.map(|(id, _)| id.clone()).collect();
        for id in services {
            world.cancel(id.as_str());
        }
        // Longer than any backoff or patience.
        let mut idle = 0;
        while idle < 150 && world.now < Time::from_ms(4_000_000) {
            world.step(Duration::from_secs(1));
            idle = if world.running.is_empty() {
                idle + 1
            } else {
                0
            };
        }
        let refused = |id: &UnitId| {
            let mut probe = world.clone();
            let unit = probe.units[id].clone();
            probe.submit(&unit).is_err()
        };
        for (id, unit) in &world.units {
            let idle = world.cancelled.contains(id) || refused(id);
            for index in 0..unit.kind.tasks() {
                let task = TaskId::new(id, index);
                let done = world.over.contains(&task);
                assert!(done || idle, "seed {seed}: {task} is not done");
            }
        }
        assert!(world.running.is_empty(), "seed {seed}: something runs on");
    }
}

#[test]
fn the_same_load_gives_the_same_decisions() {
    for seed in 0..10 {
        let logs = [0, 1].map(|_| {
            let mut world = world();
            for (n, op) in load(seed).iter().enumerate() {
                apply(&mut world, n, op);
                world.decide();
            }
            world.log
        });
        assert_eq!(logs[0], logs[1]);
    }
}

/// The stated bound: once nothing else of its class is before it, a unit starts within its patience,
/// the longest run of what cannot be interrupted, and a margin for checkpoints.
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
    for (class, kind, of, patience) in cases {
        for seed in 0..4 {
            let mut g = Gen::from_size_and_seed(300, seed);
            let mut world = World::new(PlaceConfig::default(), WORKERS, size(16, 64, 0));
            let mut at = Time::MAX;
            for n in 0..1_500_u32 {
                // Four fifths of the workers, so that six of them are never empty by chance.
                if n % 5 == 0 {
                    let small = size(u64::from(u8::arbitrary(&mut g) % 4) + 1, 2, 0);
                    let mut small = unit(&format!("small{n}"), class, batch(1), small);
                    small.run_time = longest;
                    world.submit(&small).unwrap();
                }
                if n == 400 {
                    at = world.now;
                    let mut large = unit("large", class, kind.clone(), of);
                    large.run_time = longest;
                    world.submit(&large).unwrap();
                }
                world.step(Duration::from_millis(100));
            }
            let started = world.started("large").unwrap_or(Time::MAX);
            let waited = started - at;
            assert!(
                waited <= patience + longest + margin,
                "{kind:?} waited {waited:?}"
            );
        }
    }
}
