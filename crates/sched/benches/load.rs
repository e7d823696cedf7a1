//! Worth and waits at the worst load, beside baselines: `cargo bench -p sched --bench load [-- SEEDS]`.
//!
//! Each order of the line is driven through the same loads on a cell of 48 hosts of 32 processors, with the
//! reminder service's kinds of jobs and a burst of lookups and one of rebuilds.

use std::{env, time::Duration};

use fakes::cell::{Burst, Cell, CellSpec, LoadSpec, Report, generate};
use model::{Size, Time};
use sched::{Order, SchedConfig};

const ORDERS: [(&str, Order); 5] = [
    ("policy", Order::InTime),
    ("before", Order::Hope),
    ("arrival", Order::Arrival),
    ("rank", Order::Rank),
    ("shortest", Order::Shortest),
];

/// How many times the load that asks for 0.8 of the room.
const FACTORS: [f64; 3] = [1.0, 1.3, 2.0];

const LASTS: Duration = Duration::from_secs(20);

/// The number of the kind that somebody waits at a counter for.
const LOOKUP: usize = 2;

fn load(factor: f64) -> LoadSpec {
    let burst = |kind, at, factor| Burst {
        kind,
        factor,
        from: Time::from_ms(at),
        lasts: Duration::from_secs(4),
    };
    LoadSpec {
        lasts: LASTS,
        factor,
        bursts: vec![burst(LOOKUP, 4_000, 2.0), burst(0, 12_000, 1.6)],
        ..LoadSpec::reminders()
    }
}

fn run(order: Order, factor: f64, seed: u64) -> (Report, LoadSpec) {
    let load = load(factor);
    let spec = CellSpec {
        nodes: 8,
        hosts: 48,
        host_size: Size::new(32_000, 131_072, 0),
        rack: 8,
        sched: SchedConfig {
            order,
            ..SchedConfig::default()
        },
        kinds: load.kinds.clone(),
        arrivals: generate(&load, seed),
        seed,
        ..CellSpec::default()
    };
    (Cell::new(spec).run(), load)
}

/// What was earned, and what was owed, of the jobs that `counts`.
fn worth(report: &Report, load: &LoadSpec, counts: impl Fn(usize) -> bool) -> (f64, f64) {
    let mut sums = (0.0, 0.0);
    let means: Vec<f64> = (0..load.kinds.len())
        .map(|kind| {
            let of_kind = report.served.iter().filter(|served| served.kind == kind);
            let (count, sum) = of_kind.fold((0_u32, 0.0), |(n, sum), s| (n + 1, sum + s.work));
            sum / f64::from(count.max(1))
        })
        .collect();
    for served in report.served.iter().filter(|served| counts(served.kind)) {
        let (in_time, late) = load.kinds[served.kind].worth;
        // Large jobs are worth more, up to four times the mean.
        let factor = (0.3 + 0.7 * served.work / means[served.kind]).min(4.0);
        sums.1 += in_time * factor;
        sums.0 += factor
            * match served.took {
                Some(took) if took <= served.objective => in_time,
                Some(took) if took <= served.objective * 3 => late,
                _ => 0.0,
            };
    }
    sums
}

/// The 99th percentile of the lookups' waits, in seconds.
fn lookup_wait(report: &Report) -> f64 {
    let lookups = report.served.iter().filter(|served| served.kind == LOOKUP);
    let mut waits: Vec<f64> = lookups.map(|served| served.waited.as_secs_f64()).collect();
    waits.sort_by(f64::total_cmp);
    waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// The share of the largest tenth of the rebuilds that is served in time, over that of all of them.
fn worst_tenth(report: &Report) -> f64 {
    let mut rebuilds: Vec<_> = report
        .served
        .iter()
        .filter(|served| served.kind == 0)
        .collect();
    rebuilds.sort_by(|a, b| b.work.total_cmp(&a.work));
    let share = |jobs: &[&fakes::cell::Served]| {
        let in_time = |s: &&&fakes::cell::Served| s.took.is_some_and(|took| took <= s.objective);
        ratio(jobs.iter().filter(in_time).count(), jobs.len())
    };
    let tenth = rebuilds.len().div_ceil(10);
    share(&rebuilds[..tenth]) / share(&rebuilds).max(f64::EPSILON)
}

fn ratio(part: usize, whole: usize) -> f64 {
    let float = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX));
    float(part) / float(whole).max(1.0)
}

fn main() {
    let seeds = env::args()
        .find_map(|word| word.parse::<u64>().ok())
        .unwrap_or(3);
    for factor in FACTORS {
        for (name, order) in ORDERS {
            let mut sums = [0.0; 6];
            let mut breaches = 0;
            for seed in 1..=seeds {
                let (report, load) = run(order, factor, seed);
                let (earned, owed) = worth(&report, &load, |_| true);
                let (lookups, of_lookups) = worth(&report, &load, |kind| kind == LOOKUP);
                let (rebuilds, of_rebuilds) = worth(&report, &load, |kind| kind == 0);
                let values = [
                    earned / owed,
                    lookups / of_lookups,
                    rebuilds / of_rebuilds,
                    lookup_wait(&report),
                    worst_tenth(&report),
                    report.wasted / (report.wasted + report.useful),
                ];
                for (sum, value) in sums.iter_mut().zip(values) {
                    *sum += value;
                }
                breaches += report.breaches.len();
            }
            let runs = f64::from(u32::try_from(seeds).unwrap_or(1));
            let figure = |what: &str, i: usize, unit: &str| {
                println!(
                    "figure load/{factor}/{name}/{what} {:.3} {unit}",
                    sums[i] / runs
                );
            };
            figure("worth", 0, "of_owed");
            figure("worth_lookups", 1, "of_owed");
            figure("worth_rebuilds", 2, "of_owed");
            figure("lookup_wait_p99", 3, "s");
            figure("largest_tenth", 4, "of_kind");
            figure("work_lost", 5, "of_work");
            println!("figure load/{factor}/{name}/breaches {breaches} count");
        }
    }
}
