//! The figures of a run: the worth of the jobs, waiting times and wasted work.
//!
//! The worth of a job is what its client earns: the full amount if the job ends within its objective, a smaller
//! amount up to `LATE_FACTOR` times the objective, and nothing after that. It is weighted by the job's size.

use std::time::Duration;

use fakes::cell::{JobOutcome, Kind, Report};
use serde::Serialize;

/// The length of a [`Window`].
const WINDOW_LENGTH: Duration = Duration::from_secs(2);

/// A job that ends within this multiple of its objective still earns the amount for late jobs.
const LATE_FACTOR: u32 = 3;

/// The upper bounds of the histogram of waiting times, in seconds. Longer waits are counted in one more bucket.
const WAIT_BOUNDS_S: [f64; 7] = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];

/// The share of a job's weight that does not depend on its work.
const FIXED_WEIGHT: f64 = 0.3;
/// The upper limit of a job's weight.
const MAX_WEIGHT: f64 = 4.0;

/// The figures of one load under one policy.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Outcome {
    /// The number of jobs.
    pub jobs: usize,
    /// The worth that was earned, as a share of the worth of all jobs in time.
    pub worth: f64,
    /// The figures of each kind of job.
    pub kinds: Vec<KindFigures>,
    /// The figures of each window of arrival times.
    pub windows: Vec<Window>,
    /// The core-seconds of runs whose work was lost, as a share of the core-seconds of all runs.
    pub wasted: f64,
    /// The number of runs that were preempted.
    pub preempted: u64,
    /// The number of requests for approvals.
    pub approval_requests: u64,
    /// The number of scheduling decisions.
    pub decisions: u64,
    /// The number of violations of the scheduler's guarantees.
    pub breaches: usize,
}

/// The figures of the jobs of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct KindFigures {
    /// The name of the kind.
    pub name: String,
    /// The number of jobs.
    pub jobs: usize,
    /// The share of jobs that ended within their objective.
    pub in_time: f64,
    /// The worth that was earned, as a share of the worth of all jobs in time.
    pub worth: f64,
    /// The 99th percentile of the time from a job's arrival to its first start, in seconds.
    pub wait_p99_s: f64,
    /// The share of jobs that ended within their objective, for each tenth of the jobs by size, the smallest
    /// jobs first.
    pub tenths: Vec<f64>,
    /// The histogram of waiting times: the number of jobs that waited up to 0.1, 0.3, 1, 3, 10, 30 and 100 s, and
    /// the number that waited longer.
    pub waits: Vec<usize>,
}

/// The figures of the jobs that arrived in one window of time.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Window {
    /// The start of the window, in seconds since the start of the load.
    pub from_s: f64,
    /// The number of jobs.
    pub jobs: usize,
    /// The worth that was earned, as a share of the worth of all jobs in time.
    pub worth: f64,
}

impl Outcome {
    /// Computes the figures from the report of a simulated cell.
    #[must_use]
    pub fn from_report(report: &Report, kinds: &[Kind]) -> Self {
        let mut all = Vec::new();
        let mut figures = Vec::new();
        for (number, kind) in kinds.iter().enumerate() {
            let served = report
                .outcomes
                .iter()
                .filter(|served| served.kind == number);
            let served: Vec<&JobOutcome> = served.collect();
            let mean = served.iter().map(|s| s.work).sum::<f64>() / to_f64(served.len()).max(1.0);
            let jobs: Vec<ScoredJob<'_>> = served
                .iter()
                .map(|s| ScoredJob::of(s, kind, mean))
                .collect();
            figures.push(KindFigures::of(kind, &jobs));
            all.extend(jobs);
        }
        let total = report.useful + report.wasted;
        Self {
            jobs: all.len(),
            worth: worth(&all),
            kinds: figures,
            windows: windows(&all),
            wasted: report.wasted / total.max(f64::EPSILON),
            preempted: report.preempted,
            approval_requests: report.approval_requests,
            decisions: report.decisions,
            breaches: report.breaches.len(),
        }
    }

    /// Returns the means of several outcomes of the same policy. Mean counts are rounded down; `breaches` and the
    /// histograms of waiting times are sums. Windows that are missing in any of the outcomes are left out.
    #[must_use]
    pub fn mean(outcomes: &[Self]) -> Self {
        let Some(first) = outcomes.first() else {
            return Self::default();
        };
        let mean = |value: &dyn Fn(&Self) -> f64| {
            outcomes.iter().map(value).sum::<f64>() / to_f64(outcomes.len())
        };
        let mean_count = |value: fn(&Self) -> u64| {
            outcomes.iter().map(value).sum::<u64>() / u64::try_from(outcomes.len()).unwrap_or(1)
        };
        let kinds = first.kinds.iter().enumerate().map(|(i, kind)| KindFigures {
            name: kind.name.clone(),
            jobs: outcomes.iter().map(|o| o.kinds[i].jobs).sum::<usize>() / outcomes.len(),
            in_time: mean(&|o| o.kinds[i].in_time),
            worth: mean(&|o| o.kinds[i].worth),
            wait_p99_s: mean(&|o| o.kinds[i].wait_p99_s),
            tenths: (0..kind.tenths.len())
                .map(|tenth| mean(&|o| o.kinds[i].tenths.get(tenth).copied().unwrap_or(0.0)))
                .collect(),
            waits: (0..kind.waits.len())
                .map(|bucket| outcomes.iter().map(|o| o.kinds[i].waits[bucket]).sum())
                .collect(),
        });
        let shortest = outcomes.iter().map(|o| o.windows.len()).min().unwrap_or(0);
        let windows = (0..shortest).map(|i| Window {
            from_s: first.windows[i].from_s,
            jobs: outcomes.iter().map(|o| o.windows[i].jobs).sum::<usize>() / outcomes.len(),
            worth: mean(&|o| o.windows[i].worth),
        });
        Self {
            jobs: outcomes.iter().map(|o| o.jobs).sum::<usize>() / outcomes.len(),
            worth: mean(&|o| o.worth),
            kinds: kinds.collect(),
            windows: windows.collect(),
            wasted: mean(&|o| o.wasted),
            preempted: mean_count(|o| o.preempted),
            approval_requests: mean_count(|o| o.approval_requests),
            decisions: mean_count(|o| o.decisions),
            breaches: outcomes.iter().map(|o| o.breaches).sum(),
        }
    }

    /// Returns the figures as lines `figure NAME VALUE UNIT`, with names that begin with `name`.
    #[must_use]
    pub fn figures(&self, name: &str) -> Vec<String> {
        let mut lines = vec![
            format!("figure {name}/worth {:.3} of_owed", self.worth),
            format!("figure {name}/work_lost {:.3} of_work", self.wasted),
            format!("figure {name}/preempted {} runs", self.preempted),
            format!(
                "figure {name}/approval_requests {} count",
                self.approval_requests
            ),
            format!("figure {name}/breaches {} count", self.breaches),
        ];
        for kind in &self.kinds {
            let name = format!("{name}/{}", kind.name);
            let last = kind.tenths.last().copied().unwrap_or(0.0);
            lines.push(format!("figure {name}/worth {:.3} of_owed", kind.worth));
            lines.push(format!("figure {name}/in_time {:.3} of_jobs", kind.in_time));
            lines.push(format!("figure {name}/wait_p99 {:.3} s", kind.wait_p99_s));
            lines.push(format!("figure {name}/largest_tenth {last:.3} in_time"));
        }
        lines
    }
}

/// A job and its worth.
#[derive(Clone, Copy, Debug)]
struct ScoredJob<'a> {
    served: &'a JobOutcome,
    earned: f64,
    owed: f64,
    is_in_time: bool,
}

impl<'a> ScoredJob<'a> {
    fn of(served: &'a JobOutcome, kind: &Kind, mean_work: f64) -> Self {
        // Clients earn more with larger jobs.
        let relative = served.work / mean_work.max(f64::EPSILON);
        let weight = (FIXED_WEIGHT + (1.0 - FIXED_WEIGHT) * relative).min(MAX_WEIGHT);
        let (in_time, late) = kind.worth;
        let is_within = |times: u32| {
            served
                .took
                .is_some_and(|took| took <= served.objective * times)
        };
        let earned = if is_within(1) {
            in_time
        } else if is_within(LATE_FACTOR) {
            late
        } else {
            0.0
        };
        Self {
            served,
            earned: earned * weight,
            owed: in_time * weight,
            is_in_time: is_within(1),
        }
    }
}

impl KindFigures {
    fn of(kind: &Kind, jobs: &[ScoredJob<'_>]) -> Self {
        let mut waits: Vec<f64> = jobs
            .iter()
            .map(|job| job.served.waited.as_secs_f64())
            .collect();
        waits.sort_by(f64::total_cmp);
        let mut buckets = vec![0; WAIT_BOUNDS_S.len() + 1];
        for wait in &waits {
            buckets[WAIT_BOUNDS_S.partition_point(|bound| bound < wait)] += 1;
        }
        let mut by_size = jobs.to_vec();
        by_size.sort_by(|a, b| a.served.work.total_cmp(&b.served.work));
        let tenths = by_size.chunks(by_size.len().div_ceil(10).max(1));
        Self {
            name: kind.queue.name.clone(),
            jobs: jobs.len(),
            in_time: in_time(jobs),
            worth: worth(jobs),
            wait_p99_s: waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0),
            tenths: tenths.map(in_time).collect(),
            waits: buckets,
        }
    }
}

/// Returns the earned worth as a share of the worth of all jobs in time.
fn worth(jobs: &[ScoredJob<'_>]) -> f64 {
    let owed: f64 = jobs.iter().map(|job| job.owed).sum();
    jobs.iter().map(|job| job.earned).sum::<f64>() / owed.max(f64::EPSILON)
}

/// Returns the share of jobs that ended within their objective.
fn in_time(jobs: &[ScoredJob<'_>]) -> f64 {
    to_f64(jobs.iter().filter(|job| job.is_in_time).count()) / to_f64(jobs.len()).max(1.0)
}

/// Returns the figures of each window up to the last arrival.
fn windows(jobs: &[ScoredJob<'_>]) -> Vec<Window> {
    let number = |job: &ScoredJob<'_>| job.served.at.as_ms() / 1_000 / WINDOW_LENGTH.as_secs();
    let last = jobs.iter().map(number).max().unwrap_or(0);
    (0..=last)
        .map(|window| {
            let own: Vec<ScoredJob<'_>> = jobs
                .iter()
                .filter(|job| number(job) == window)
                .copied()
                .collect();
            let from = WINDOW_LENGTH * u32::try_from(window).unwrap_or(u32::MAX);
            Window {
                from_s: from.as_secs_f64(),
                jobs: own.len(),
                worth: worth(&own),
            }
        })
        .collect()
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
