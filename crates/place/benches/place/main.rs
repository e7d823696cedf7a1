//! Benchmark of the placer against baseline policies, all on the same seeded loads in one run.
//!
//! Waiting times and packing are measured in virtual time, the cost of decisions in real time. Each
//! value is printed as a line `figure NAME VALUE UNIT`. `NAME` ends with the names of the load and
//! the policy, which are left out for the target load and for the placer. With the argument
//! `variants`, only the placer is run, with different settings; further arguments select the
//! variants whose names contain one of them.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures are rounded for print"
)]

mod baselines;
mod drive;
mod load;

use std::time::Duration;

use model::Class;
use place::{Backfill, FitRule, PlaceConfig, Placer};

use crate::{
    baselines::{Rule, Scan},
    drive::{Outcome, run},
    load::{Load, LoadSpec},
};

/// The resolution of measured waiting times, in seconds. Shorter mean waits count as this much in
/// quotients.
const WAIT_RESOLUTION_S: f64 = 0.05;

/// The number of runs per load size from which the growth of the decision cost is computed.
const COST_GROWTH_RUNS: u32 = 7;

/// Returns the `q`-quantile of `values`, or 0 if there are none.
fn quantile(values: &[f64], q: f64) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let rank = ((values.len() as f64 * q) as usize).min(values.len().saturating_sub(1));
    values.get(rank).copied().unwrap_or(0.0)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn figure(name: &str, suffix: &str, value: f64, unit: &str) {
    println!("figure {name}{suffix} {value:.3} {unit}");
}

/// Returns the mean time per decision, in microseconds.
fn cost_us(outcome: &Outcome) -> f64 {
    outcome.busy.as_secs_f64() * 1e6 / outcome.decisions as f64
}

/// Returns the processor-seconds of bulk work per worker-second in use.
fn packing(outcome: &Outcome) -> f64 {
    outcome.bulk_processor_s / outcome.worker_s_in_use
}

fn waits(outcome: &Outcome, class: Class) -> &[f64] {
    outcome.waits.get(&class).map_or(&[], Vec::as_slice)
}

/// Prints all figures of one run.
fn report(suffix: &str, o: &Outcome) {
    let urgent = waits(o, Class::Interactive);
    figure("urgent_wait_mean_s", suffix, mean(urgent), "s");
    figure("urgent_wait_p99_s", suffix, quantile(urgent, 0.99), "s");
    figure("urgent_wait_max_s", suffix, quantile(urgent, 1.0), "s");
    let standard = waits(o, Class::Standard);
    figure("standard_wait_mean_s", suffix, mean(standard), "s");
    figure("standard_wait_p99_s", suffix, quantile(standard, 0.99), "s");
    figure("bulk_wait_mean_s", suffix, mean(waits(o, Class::Bulk)), "s");
    if !o.gang_waits.is_empty() {
        figure("gang_wait_mean_s", suffix, mean(&o.gang_waits), "s");
        figure(
            "gang_wait_p99_s",
            suffix,
            quantile(&o.gang_waits, 0.99),
            "s",
        );
    }
    figure("packing", suffix, packing(o), "processors");
    let while_loaded = o.while_loaded.0 / o.while_loaded.1;
    figure("packing_while_loaded", suffix, while_loaded, "processors");
    figure("makespan_s", suffix, o.makespan_s, "s");
    figure("reserved_processors", suffix, o.allocated.0 * 100.0, "%");
    figure("reserved_memory", suffix, o.allocated.1 * 100.0, "%");
    let overloaded = o.overloaded_worker_s;
    figure("overloaded", suffix, overloaded, "worker_s");
    let wrongly = o.given_up_wrongly as f64;
    figure("given_up_wrongly", suffix, wrongly, "tasks");
    figure("violations", suffix, o.violations as f64, "times");
    figure("checkpoints", suffix, o.checkpoints as f64, "tasks");
    figure(
        "stops_in_call_max",
        suffix,
        o.stops_in_tick_max as f64,
        "tasks",
    );
    figure("running_max", suffix, o.running_max as f64, "tasks");
    figure("starts", suffix, o.starts as f64, "tasks");
    let rate = o.decisions as f64 / o.busy.as_secs_f64();
    figure("decisions_per_s", suffix, rate, "1/s");
    let p99 = quantile(&o.latency_us, 0.99);
    figure("decision_p99_us", suffix, p99, "us");
    figure("decision_cost_us", suffix, cost_us(o), "us");
}

/// Runs the placer and all baselines on one load and prints their figures. Returns the placer's
/// outcome.
fn compare(load: &Load, has_plain_names: bool) -> Outcome {
    let name = load.spec.name;
    let suffix = if has_plain_names {
        String::new()
    } else {
        format!("_{name}")
    };
    let ours = run(Placer::new(PlaceConfig::default()), load);
    report(&suffix, &ours);
    let rules = [
        ("first_fit", Rule::FirstFit),
        ("least_loaded", Rule::LeastLoaded),
        ("previous", Rule::ClassFirst),
    ];
    for (rule_name, rule) in rules {
        let theirs = run(Scan::new(rule), load);
        let both = format!("{suffix}_{rule_name}");
        report(&both, &theirs);
        let times = mean(waits(&theirs, Class::Interactive))
            / mean(waits(&ours, Class::Interactive)).max(WAIT_RESOLUTION_S);
        figure("urgent_wait_gain", &both, times, "times");
        let gain = packing(&ours) / packing(&theirs);
        figure("packing_gain", &both, gain, "times");
    }
    ours
}

/// A change of the placer's settings.
type Change = fn(&mut PlaceConfig);

/// The variants of the settings that the design page on placement compares.
const VARIANTS: [(&str, Change); 15] = [
    ("base", |_| {}),
    ("fit_alignment", |cfg| cfg.fit = FitRule::Alignment),
    ("fit_balance", |cfg| cfg.fit = FitRule::Balance),
    ("no_backfill", |cfg| cfg.backfill = Backfill::None),
    ("depth_8", |cfg| cfg.scan_depth = 8),
    ("patience_bulk_120s", |cfg| {
        cfg.bulk_reservation_delay = Duration::from_secs(120);
    }),
    ("batch_256", |cfg| cfg.max_starts_per_call = 256),
    ("press_30s", |cfg| {
        cfg.preempt_after = Duration::from_secs(30);
    }),
    ("kept_bulk_16", |cfg| cfg.max_bulk_reservations = 16),
    ("kept_urgent_4", |cfg| cfg.max_urgent_reservations = 4),
    ("no_kept_room", |cfg| {
        cfg.max_bulk_reservations = 0;
        cfg.max_urgent_reservations = 0;
    }),
    ("no_reserve", |cfg| cfg.urgent_reserve_permille = 0),
    ("no_preemption", |cfg| cfg.is_preemption_enabled = false),
    ("accelerator_share_0", |cfg| {
        cfg.accelerator_share_permille = 0;
    }),
    ("accelerator_share_1000", |cfg| {
        cfg.accelerator_share_permille = 1_000;
    }),
];

/// Runs one load with each variant of the settings whose name contains a word of `only`, or with
/// all variants if `only` is empty.
fn variants(load: &Load, only: &[String]) {
    for (name, change) in VARIANTS {
        if !only.is_empty() && !only.iter().any(|arg| name.contains(arg.as_str())) {
            continue;
        }
        let mut cfg = PlaceConfig::default();
        change(&mut cfg);
        let outcome = run(Placer::new(cfg), load);
        report(&format!("_{}_{name}", load.spec.name), &outcome);
    }
}

/// Measures the cost of a decision on the target load relative to that on an eighth of its workers
/// and load. The two are run alternately several times and the median is reported, because other
/// processes may disturb single runs.
fn cost_growth() {
    let loads = [LoadSpec::eighth(), LoadSpec::target()].map(Load::new);
    let mut quotients = Vec::new();
    for _ in 0..COST_GROWTH_RUNS {
        let [eighth, target] = [&loads[0], &loads[1]]
            .map(|load| cost_us(&run(Placer::new(PlaceConfig::default()), load)));
        figure("decision_cost_us", "_eighth", eighth, "us");
        figure("decision_cost_us", "_target", target, "us");
        quotients.push(target / eighth);
    }
    let growth = quantile(&quotients, 0.5);
    figure("decision_cost_growth", "", growth, "times");
}

fn main() {
    let args: Vec<String> = std::env::args().filter(|arg| arg != "--bench").collect();
    if args.get(1).is_some_and(|arg| arg == "variants") {
        for spec in [
            LoadSpec::target(),
            LoadSpec::hatirlat(),
            LoadSpec::blue_mahoe(),
        ] {
            variants(&Load::new(spec), &args[2..]);
        }
        return;
    }
    cost_growth();
    compare(&Load::new(LoadSpec::target()), true);
    compare(&Load::new(LoadSpec::hatirlat()), false);
    compare(&Load::new(LoadSpec::blue_mahoe()), false);
}
