//! `lacewing load`: compares scheduling policies on one load.

use std::{
    fs::File,
    io::{BufReader, BufWriter, Write as _},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use load::{Experiment, LoadError, Outcome, Policy, Shape};
use serde::Serialize;

use crate::exit::{Exit, failed};

/// The options of the command.
#[derive(Clone, Debug)]
pub(crate) struct LoadOptions {
    /// The first seed.
    pub(crate) seed: u64,
    /// The number of consecutive seeds whose mean is shown.
    pub(crate) seeds: u64,
    pub(crate) shape: Shape,
    /// The number of workers; `None` for that of the shape.
    pub(crate) workers: Option<usize>,
    /// The sizes of the load. At 1.0 the load requires 0.8 of the processors of [`Shape::workers`].
    pub(crate) factors: Vec<f64>,
    /// The time in which jobs arrive, in seconds.
    pub(crate) seconds: u64,
    pub(crate) policies: Vec<Policy>,
    /// The number of workers that fail permanently.
    pub(crate) lost_workers: usize,
    /// How long the table is unreachable.
    pub(crate) outage: Duration,
    /// How long the table is slow.
    pub(crate) slow_table: Duration,
    /// Whether all nodes restart.
    pub(crate) restart: bool,
    /// The file of a recorded load to run.
    pub(crate) recorded: Option<PathBuf>,
    /// The file to which the load is written instead of running it.
    pub(crate) record: Option<PathBuf>,
    /// The file to which the chart is written.
    pub(crate) plot: Option<PathBuf>,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            seeds: 1,
            shape: Shape::Desk,
            workers: None,
            factors: vec![1.0, 1.3, 2.0],
            seconds: 20,
            policies: Policy::ALL.to_vec(),
            lost_workers: 0,
            outage: Duration::ZERO,
            slow_table: Duration::ZERO,
            restart: false,
            recorded: None,
            record: None,
            plot: None,
        }
    }
}

/// The outcome of one policy on one load.
#[derive(Debug)]
#[derive(Serialize)]
struct PolicyResult {
    factor: f64,
    policy: &'static str,
    seeds: u64,
    #[serde(flatten)]
    outcome: Outcome,
}

/// Runs the command.
pub(crate) fn run(options: &LoadOptions, json: bool) -> Exit {
    match run_load(options, json) {
        Ok(true) => Exit::Done,
        Ok(false) => failed("a promise was broken", Exit::Failed),
        Err(e) => failed(e, Exit::Usage),
    }
}

/// Runs or records the load and prints the results. Returns whether no promise was broken.
fn run_load(options: &LoadOptions, json: bool) -> Result<bool, LoadError> {
    let experiment = Experiment {
        workers: options.workers.unwrap_or_else(|| options.shape.workers()),
        duration: Duration::from_secs(options.seconds),
        lost_workers: options.lost_workers,
        outage: options.outage,
        slow_table: options.slow_table,
        restart: options.restart,
        seed: options.seed,
        factor: options.factors.first().copied().unwrap_or(1.0),
        ..Experiment::of(options.shape)
    };
    if let Some(path) = &options.record {
        record(&experiment, path)?;
        return Ok(true);
    }
    let recorded = match &options.recorded {
        Some(path) => {
            let file = File::open(path).map_err(|e| file_error(path, e))?;
            Some(load::read(BufReader::new(file), &experiment.kinds())?)
        }
        None => None,
    };
    // Factors apply to generated loads only.
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
    let mut all_kept = true;
    for factor in factors {
        let outcomes = compare(&experiment, options, factor)?;
        all_kept &= outcomes.iter().all(|(_, outcome)| outcome.breaches == 0);
        if let Some(path) = &options.plot {
            let path = plot_path(path, factor, options.factors.len() > 1);
            std::fs::write(&path, load::draw(&outcomes)?).map_err(|e| file_error(&path, e))?;
        }
        all.extend(outcomes.into_iter().map(|(policy, outcome)| PolicyResult {
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
    Ok(all_kept)
}

/// Runs the load with each seed under each policy. Returns the mean outcome of each policy over the seeds.
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

/// Writes the load of an experiment to a file.
fn record(experiment: &Experiment, path: &Path) -> Result<(), LoadError> {
    let file = File::create(path).map_err(|e| file_error(path, e))?;
    let mut out = BufWriter::new(file);
    load::write(&experiment.arrivals(), &experiment.kinds(), &mut out)
        .and_then(|()| out.flush())
        .map_err(|e| file_error(path, e))
}

/// Returns the error of an operation on a file.
fn file_error(path: &Path, source: std::io::Error) -> LoadError {
    LoadError::File {
        path: path.display().to_string(),
        source,
    }
}

/// Returns the path of the chart. If there are several factors, each has its own file.
fn plot_path(path: &Path, factor: f64, is_one_of_several: bool) -> PathBuf {
    if !is_one_of_several {
        return path.to_owned();
    }
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    path.with_file_name(format!("{stem}-{factor}.svg"))
}

/// Prints the results as a table, followed by `figure` lines. `taken` is the real time of all runs.
fn print_text(all: &[PolicyResult], taken: Duration) {
    println!(
        "load  policy         worth  lost   kind      in time  worth  p99 wait  largest tenth"
    );
    for result in all {
        let outcome = &result.outcome;
        for (number, kind) in outcome.kinds.iter().enumerate() {
            let head = if number == 0 {
                format!(
                    "{:<5} {:<13} {:>6.3} {:>5.3}",
                    result.factor, result.policy, outcome.worth, outcome.wasted
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
    for result in all {
        let name = format!("load/{}/{}", result.factor, result.policy);
        for line in result.outcome.figures(&name) {
            println!("{line}");
        }
    }
    let seeds = all.first().map_or(1, |result| result.seeds);
    let decisions: u64 = all.iter().map(|result| result.outcome.decisions).sum();
    let per_s = decisions * seeds * 1_000 / u64::try_from(taken.as_millis().max(1)).unwrap_or(1);
    println!("figure load/decisions_per_s {per_s} per_s");
}
