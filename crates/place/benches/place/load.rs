//! Seeded loads: workers, teams, and units with their arrival times and actual behaviour.

use std::time::Duration;

use model::{
    Class, Kind, RackId, Repeat, RequestPolicy, Size, Spread, Team, Time, Unit, UnitId, WorkerId,
};
use place::WorkerSpec;

/// The number of workers per rack.
const WORKERS_PER_RACK: u32 = 8;

/// A seeded pseudorandom number generator (splitmix64).
#[derive(Clone, Debug)]
pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from `low` to `high`, both inclusive.
    pub(crate) fn range(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low + 1)
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.next() % 100 < percent
    }
}

/// The parameters of a load.
#[derive(Clone, Debug)]
pub(crate) struct LoadSpec {
    pub(crate) name: &'static str,
    pub(crate) seed: u64,
    pub(crate) workers: u32,
    pub(crate) size: Size,
    /// The percentage of the workers that are accelerator hosts.
    pub(crate) accelerator_hosts_percent: u32,
    pub(crate) teams: u32,
    /// The number of replicas of all services together.
    pub(crate) service_replicas: u32,
    /// Task starts of interactive work per 1,000 s, for all workers together. The following rates
    /// are in the same unit, except that gangs are counted as units.
    pub(crate) interactive: u64,
    pub(crate) standard: u64,
    pub(crate) bulk: u64,
    pub(crate) gangs: u64,
    pub(crate) accelerated: u64,
    /// The time over which units arrive.
    pub(crate) length: Duration,
}

/// A unit, its time of arrival, and the actual behaviour of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Time,
    pub(crate) id: UnitId,
    pub(crate) unit: Unit,
    /// The actual run time of each task.
    pub(crate) actual_run_time: Duration,
    /// The memory and processors that a task uses, in percent of the declared ones.
    pub(crate) use_percent: u64,
    /// Whether its tasks fail on every worker.
    pub(crate) always_fails: bool,
    /// When the unit is cancelled, if it is.
    pub(crate) cancel_at: Option<Time>,
}

/// A load: the workers, teams and arrivals generated from a [`LoadSpec`].
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) spec: LoadSpec,
    pub(crate) workers: Vec<WorkerSpec>,
    pub(crate) teams: Vec<Team>,
    pub(crate) arrivals: Vec<Arrival>,
}

impl LoadSpec {
    /// The peak load that is expected in two years, with more bulk work than there is room for.
    pub(crate) fn target() -> Self {
        Self {
            name: "target",
            seed: 11,
            workers: 1_200,
            size: Size::new(32_000, 131_072, 0),
            accelerator_hosts_percent: 31,
            teams: 63,
            service_replicas: 1_760,
            interactive: 25_000,
            standard: 30_000,
            bulk: 85_000,
            gangs: 250,
            accelerated: 5_000,
            length: Duration::from_secs(150),
        }
    }

    /// The target load scaled down to an eighth, on an eighth of the workers.
    pub(crate) fn eighth() -> Self {
        let target = Self::target();
        Self {
            name: "eighth",
            workers: 150,
            service_replicas: target.service_replicas / 8,
            interactive: target.interactive / 8,
            standard: target.standard / 8,
            bulk: target.bulk / 8,
            gangs: target.gangs / 8,
            accelerated: target.accelerated / 8,
            ..target
        }
    }

    /// Overnight rebuilds with some interactive lookups.
    pub(crate) fn hatirlat() -> Self {
        Self {
            name: "hatirlat",
            seed: 12,
            workers: 50,
            size: Size::new(32_000, 131_072, 0),
            accelerator_hosts_percent: 0,
            teams: 4,
            service_replicas: 60,
            interactive: 1_000,
            standard: 500,
            bulk: 6_000,
            gangs: 0,
            accelerated: 0,
            length: Duration::from_secs(300),
        }
    }

    /// A filing deadline: many interactive lookups, benchmark gangs and studies.
    pub(crate) fn blue_mahoe() -> Self {
        Self {
            name: "blue_mahoe",
            seed: 13,
            workers: 50,
            size: Size::new(16_000, 65_536, 0),
            accelerator_hosts_percent: 0,
            teams: 6,
            service_replicas: 60,
            interactive: 4_000,
            standard: 1_500,
            bulk: 2_500,
            gangs: 40,
            accelerated: 0,
            length: Duration::from_secs(300),
        }
    }
}

/// The ranges from which the units of one kind are drawn, both ends inclusive.
struct Shape {
    name: &'static str,
    class: Class,
    /// The number of tasks per unit.
    tasks: (u64, u64),
    /// The processors of a task, in halves of a processor.
    halves: (u64, u64),
    /// The memory per processor, in MB.
    memory: (u64, u64),
    /// The accelerators of a task.
    accelerators: (u64, u64),
    /// The actual run time of a task, in milliseconds.
    run_ms: (u64, u64),
    gang: bool,
}

const INTERACTIVE: Shape = Shape {
    name: "lookup",
    class: Class::Interactive,
    tasks: (1, 2),
    halves: (1, 4),
    memory: (1_024, 4_096),
    accelerators: (0, 0),
    run_ms: (2_000, 10_000),
    gang: false,
};
const STANDARD: Shape = Shape {
    name: "study",
    class: Class::Standard,
    tasks: (1, 8),
    halves: (2, 8),
    memory: (1_024, 6_144),
    accelerators: (0, 0),
    run_ms: (20_000, 60_000),
    gang: false,
};
const BULK: Shape = Shape {
    name: "rebuild",
    class: Class::Bulk,
    tasks: (20, 200),
    halves: (4, 16),
    memory: (1_024, 8_192),
    accelerators: (0, 0),
    run_ms: (30_000, 120_000),
    gang: false,
};
const GANG: Shape = Shape {
    name: "benchmark",
    class: Class::Standard,
    tasks: (4, 24),
    halves: (8, 16),
    memory: (2_048, 4_096),
    accelerators: (0, 0),
    run_ms: (30_000, 60_000),
    gang: true,
};
const ACCELERATED: Shape = Shape {
    name: "model",
    class: Class::Standard,
    tasks: (1, 4),
    halves: (4, 8),
    memory: (2_048, 4_096),
    accelerators: (1, 4),
    run_ms: (60_000, 180_000),
    gang: false,
};

impl Load {
    pub(crate) fn new(spec: LoadSpec) -> Self {
        let mut rng = Rng(spec.seed);
        let workers = (0..spec.workers)
            .map(|i| {
                let hosts = (i + 1) * spec.accelerator_hosts_percent / 100;
                let before = i * spec.accelerator_hosts_percent / 100;
                WorkerSpec {
                    id: WorkerId(i),
                    rack: RackId(i / WORKERS_PER_RACK),
                    size: Size {
                        accelerators: (hosts - before) * 8,
                        ..spec.size
                    },
                }
            })
            .collect();
        // Quotas are overcommitted: together they are three times the total capacity.
        let whole = spec.size.saturating_mul(spec.workers);
        let part = |amount: u64| amount * 3 / u64::from(spec.teams);
        let quota = Size::new(part(whole.milli_processors), part(whole.memory_mb), 600);
        let teams = (0..spec.teams)
            .map(|i| Team {
                name: format!("team-{i}"),
                quota,
            })
            .collect();
        let mut arrivals = services(&spec, &mut rng);
        let rates = [
            (&INTERACTIVE, spec.interactive),
            (&STANDARD, spec.standard),
            (&BULK, spec.bulk),
            (&GANG, spec.gangs),
            (&ACCELERATED, spec.accelerated),
        ];
        for (shape, starts) in rates {
            arrive(&spec, shape, starts, &mut rng, &mut arrivals);
        }
        arrivals.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
        Self {
            spec,
            workers,
            teams,
            arrivals,
        }
    }
}

fn services(spec: &LoadSpec, rng: &mut Rng) -> Vec<Arrival> {
    let replicas = 4;
    (0..spec.service_replicas / replicas)
        .map(|i| {
            let size = Size::new(rng.range(1, 8) * 500, rng.range(1, 4) * 1_024, 0);
            let kind = Kind::Service {
                replicas,
                spread: Spread::Rack,
                requests: RequestPolicy::default(),
            };
            let name = format!("service-{i}");
            Arrival {
                at: Time::ZERO,
                id: UnitId::new(&name),
                unit: unit(name, spec, i, size, Class::Standard, kind, Duration::ZERO),
                actual_run_time: Duration::from_secs(1_000_000),
                use_percent: 100,
                always_fails: false,
                cancel_at: None,
            }
        })
        .collect()
}

fn unit(
    name: String,
    spec: &LoadSpec,
    i: u32,
    size: Size,
    class: Class,
    kind: Kind,
    run_time: Duration,
) -> Unit {
    Unit {
        name,
        team: format!("team-{}", i % spec.teams),
        command: vec!["run".into()],
        size,
        class,
        repeat: Repeat::Safe,
        attempts: 3,
        run_time,
        kind,
    }
}

/// Adds units of one shape at a mean rate of `starts` tasks per 1,000 s (for gangs, units per 1,000
/// s). Bulk work has a backlog at the start.
fn arrive(spec: &LoadSpec, shape: &Shape, starts: u64, rng: &mut Rng, arrivals: &mut Vec<Arrival>) {
    let length_ms = u64::try_from(spec.length.as_millis()).unwrap_or(u64::MAX);
    let mean_tasks = if shape.gang {
        1
    } else {
        u64::midpoint(shape.tasks.0, shape.tasks.1)
    };
    let mut units = starts * length_ms / 1_000_000 / mean_tasks;
    let backlog = if shape.class == Class::Bulk {
        units * 2 / 3
    } else {
        0
    };
    units += backlog;
    for i in 0..units {
        let at = if i < backlog {
            0
        } else {
            rng.next() % length_ms
        };
        arrivals.push(arrival(spec, shape, i, Time::from_ms(at), rng));
    }
}

fn arrival(spec: &LoadSpec, shape: &Shape, i: u64, at: Time, rng: &mut Rng) -> Arrival {
    let halves = rng.range(shape.halves.0, shape.halves.1);
    let memory = halves * rng.range(shape.memory.0, shape.memory.1) / 2;
    let accelerators = rng.range(shape.accelerators.0, shape.accelerators.1);
    let accelerators = u32::try_from(accelerators).unwrap_or(0);
    let size = Size::new(halves * 500, memory, accelerators);
    let tasks = u32::try_from(rng.range(shape.tasks.0, shape.tasks.1)).unwrap_or(1);
    let kind = if shape.gang {
        Kind::Gang { tasks }
    } else {
        Kind::Batch { tasks }
    };
    let run_ms = rng.range(shape.run_ms.0, shape.run_ms.1);
    // A third of the declared run times are wrong, by a factor of 3 in either direction.
    let declared_ms = match rng.range(0, 5) {
        0 => run_ms / 3,
        1 => run_ms * 3,
        _ => run_ms,
    };
    // A tenth of the units use a third more than declared.
    let use_percent = if rng.chance(10) { 133 } else { 90 };
    let always_fails = !shape.gang && rng.chance(1);
    // Cancellations come in two waves, after a half and after three quarters of the load.
    let wave = Time::ZERO + spec.length * if rng.chance(50) { 2 } else { 3 } / 4;
    let cancel_at = (shape.class == Class::Bulk && rng.chance(20)).then_some(wave);
    let team = u32::try_from(rng.next() % u64::from(spec.teams)).unwrap_or(0);
    let declared = Duration::from_millis(declared_ms);
    let name = format!("{}-{i}", shape.name);
    Arrival {
        at,
        id: UnitId::new(&name),
        unit: unit(name, spec, team, size, shape.class, kind, declared),
        actual_run_time: Duration::from_millis(run_ms),
        use_percent,
        always_fails,
        cancel_at,
    }
}
