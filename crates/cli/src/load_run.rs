//! `lacewing load`: policies beside each other on one load.

use std::{
    fs::File,
    io::{BufReader, BufWriter, Write as _},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use load::{Experiment, LoadError, Outcome, Policy};
use serde::Serialize;

use crate::exit::{Exit, failed};

/// What to play, and what to show.
#[derive(Clone, Debug)]
pub(crate) struct LoadOptions {
    pub(crate) seed: u64,
    pub(crate) seeds: u64,
    pub(crate) workers: usize,
    /// How many times the load that asks for 0.8 of 48 workers.
    pub(crate) factors: Vec<f64>,
    pub(crate) seconds: u64,
    pub(crate) policies: Vec<Policy>,
    pub(crate) lost_workers: usize,
    /// The file of a recorded load.
    pub(crate) recorded: Option<PathBuf>,
    /// Where to write the load instead of playing it.
    pub(crate) record: Option<PathBuf>,
    /// Where to draw.
    pub(crate) plot: Option<PathBuf>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            seeds: 1,
            workers: 48,
            factors: vec![1.0, 1.3, 2.0],
            seconds: 20,
            policies: Policy::ALL.to_vec(),
            lost_workers: 0,
            recorded: None,
            record: None,
            plot: None,
        }
    }
}

/// What one policy came to on one load.
#[derive(Debug)]
#[derive(Serialize)]
struct Played {
    factor: f64,
    policy: &'static str,
    seeds: u64,
    #[serde(flatten)]
    outcome: Outcome,
}

pub(crate) fn run(options: &LoadOptions, json: bool) -> Exit {
    match play(options, json) {
        Ok(true) => Exit::Done,
        Ok(false) => failed("a promise was broken", Exit::Failed),
        Err(e) => failed(e, Exit::Usage),
    }
}

fn play(options: &LoadOptions, json: bool) -> Result<bool, LoadError> {
    let experiment = Experiment {
        workers: options.workers,
        duration: Duration::from_secs(options.seconds),
        lost_workers: options.lost_workers,
        seed: options.seed,
        factor: options.factors.first().copied().unwrap_or(1.0),
        ..Experiment::default()
    };
    if let Some(path) = &options.record {
        record(&experiment, path)?;
        return Ok(true);
    }
    let recorded = match &options.recorded {
        Some(path) => {
            let file = File::open(path).map_err(|e| at(path, e))?;
            Some(load::read(BufReader::new(file), &experiment.kinds())?)
        }
        None => None,
    };
    // A recorded load is as large as it is.
    let factors = if recorded.is_some() {
        vec![1.0]
    } else {
        options.factors.clone()
    };
    let experiment = Experiment {
        recorded,
        ..experiment
    };
    let began = Instant::now();
    let mut all = Vec::new();
    let mut is_kept = true;
    for factor in factors {
        let outcomes = compare(&experiment, options, factor)?;
        is_kept &= outcomes.iter().all(|(_, outcome)| outcome.breaches == 0);
        if let Some(path) = &options.plot {
            let path = named(path, factor, options.factors.len() > 1);
            std::fs::write(&path, load::draw(&outcomes)?).map_err(|e| at(&path, e))?;
        }
        all.extend(outcomes.into_iter().map(|(policy, outcome)| Played {
            factor,
            policy: policy.name(),
            seeds: options.seeds,
            outcome,
        }));
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&all)?);
    } else {
        print_text(&all, began.elapsed());
    }
    Ok(is_kept)
}

/// The means over all seeds, by policy.
fn compare(
    experiment: &Experiment,
    options: &LoadOptions,
    factor: f64,
) -> Result<Vec<(Policy, Outcome)>, LoadError> {
    let mut by_policy: Vec<(Policy, Vec<Outcome>)> = Vec::new();
    for seed in options.seed..options.seed + options.seeds {
        let experiment = Experiment {
            factor,
            seed,
            ..experiment.clone()
        };
        for (number, (policy, outcome)) in experiment
            .compare(&options.policies)?
            .into_iter()
            .enumerate()
        {
            if by_policy.len() <= number {
                by_policy.push((policy, Vec::new()));
            }
            by_policy[number].1.push(outcome);
        }
    }
    let means = by_policy.into_iter();
    Ok(means
        .map(|(policy, outcomes)| (policy, Outcome::mean(&outcomes)))
        .collect())
}

fn record(experiment: &Experiment, path: &Path) -> Result<(), LoadError> {
    let file = File::create(path).map_err(|e| at(path, e))?;
    let mut out = BufWriter::new(file);
    load::write(&experiment.arrivals(), &experiment.kinds(), &mut out)
        .and_then(|()| out.flush())
        .map_err(|e| at(path, e))
}

fn at(path: &Path, source: std::io::Error) -> LoadError {
    LoadError::File {
        path: path.display().to_string(),
        source,
    }
}

/// The drawing's file; each factor has its own.
fn named(path: &Path, factor: f64, is_one_of_several: bool) -> PathBuf {
    if !is_one_of_several {
        return path.to_owned();
    }
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    path.with_file_name(format!("{stem}-{factor}.svg"))
}

fn print_text(all: &[Played], taken: Duration) {
    println!(
        "load  policy         worth  lost   kind      in time  worth  p99 wait  largest tenth"
    );
    for played in all {
        let outcome = &played.outcome;
        for (number, kind) in outcome.kinds.iter().enumerate() {
            let head = if number == 0 {
                format!(
                    "{:<5} {:<13} {:>6.3} {:>5.3}",
                    played.factor, played.policy, outcome.worth, outcome.wasted
                )
            } else {
                " ".repeat(32)
            };
            println!(
                "{head}  {:<9} {:>7.3} {:>6.3} {:>8.2}s  {:>6.3}",
                kind.name,
                kind.in_time,
                kind.worth,
                kind.wait_p99_s,
                kind.tenths.last().copied().unwrap_or(0.0)
            );
        }
    }
    for played in all {
        let name = format!("load/{}/{}", played.factor, played.policy);
        for line in played.outcome.figures(&name) {
            println!("{line}");
        }
    }
    let seeds = all.first().map_or(1, |played| played.seeds);
    let decisions: u64 = all.iter().map(|played| played.outcome.decisions).sum();
    let per_s = decisions * seeds * 1_000 / u64::try_from(taken.as_millis().max(1)).unwrap_or(1);
    println!("figure load/decisions_per_s {per_s} per_s");
}
