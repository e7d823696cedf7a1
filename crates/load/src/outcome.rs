//! What the jobs of a load were worth.

use std::time::Duration;

use fakes::cell::{JobOutcome, Kind, Report};
use serde::Serialize;

/// How long the parts are that worth is told for.
const WINDOW: Duration = Duration::from_secs(2);

/// A job counts for something up to so many times its objective.
const LATE: u32 = 3;

/// The upper bounds of the classes of waiting times, in seconds. What waits longer is in a last class.
const WAITS_S: [f64; 7] = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];

/// The share of a job's worth that does not depend on its work, and the most that large jobs count.
const FLAT: f64 = 0.3;
const WEIGHT_MAX: f64 = 4.0;

/// What became of a load.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Outcome {
    /// How many jobs there were.
    pub jobs: usize,
    /// What was earned, of what was owed.
    pub worth: f64,
    /// By kind of job.
    pub kinds: Vec<KindFigures>,
    /// By the time at which jobs came.
    pub windows: Vec<Window>,
    /// Core-seconds of runs that came to nothing, of all.
    pub wasted: f64,
    /// Runs that made way for others.
    pub preempted: u64,
    /// Requests for approvals.
    pub approval_requests: u64,
    /// Decisions.
    pub decisions: u64,
    /// Broken promises.
    pub breaches: usize,
}

/// What became of the jobs of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct KindFigures {
    /// The kind's name.
    pub name: String,
    /// How many jobs there were.
    pub jobs: usize,
    /// The share that was done within its objective.
    pub in_time: f64,
    /// What was earned, of what was owed.
    pub worth: f64,
    /// The 99th percentile of the times that jobs waited for their first start, in seconds.
    pub wait_p99_s: f64,
    /// The share that was done in time, by tenths of size, the smallest first.
    pub tenths: Vec<f64>,
    /// How many jobs waited for up to 0.1, 0.3, 1, 3, 10, 30 and 100 s, and for longer.
    pub waits: Vec<usize>,
}

/// What became of the jobs that came in a part of the time.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct Window {
    /// When it begins, in seconds.
    pub from_s: f64,
    /// How many jobs came.
    pub jobs: usize,
    /// What was earned, of what was owed.
    pub worth: f64,
}

impl Outcome {
    /// Sums up what became of a cell's jobs.
    #[must_use]
    pub fn from_report(report: &Report, kinds: &[Kind]) -> Self {
        let mut all = Vec::new();
        let mut figures = Vec::new();
        for (number, kind) in kinds.iter().enumerate() {
            let served = report.served.iter().filter(|served| served.kind == number);
            let served: Vec<&JobOutcome> = served.collect();
            let mean = served.iter().map(|s| s.work).sum::<f64>() / count(served.len()).max(1.0);
            let jobs: Vec<Job<'_>> = served.iter().map(|s| Job::of(s, kind, mean)).collect();
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

    /// The mean of several; counts are rounded down.
    #[must_use]
    pub fn mean(outcomes: &[Self]) -> Self {
        let Some(first) = outcomes.first() else {
            return Self::default();
        };
        let mean = |value: &dyn Fn(&Self) -> f64| {
            outcomes.iter().map(value).sum::<f64>() / count(outcomes.len())
        };
        let whole = |value: fn(&Self) -> u64| {
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
                .map(|class| outcomes.iter().map(|o| o.kinds[i].waits[class]).sum())
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
            preempted: whole(|o| o.preempted),
            approval_requests: whole(|o| o.approval_requests),
            decisions: whole(|o| o.decisions),
            breaches: outcomes.iter().map(|o| o.breaches).sum(),
        }
    }

    /// Lines `figure NAME VALUE UNIT`.
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

/// A job with its worth.
#[derive(Clone, Copy, Debug)]
struct Job<'a> {
    served: &'a JobOutcome,
    earned: f64,
    owed: f64,
    is_in_time: bool,
}

impl<'a> Job<'a> {
    fn of(served: &'a JobOutcome, kind: &Kind, mean_work: f64) -> Self {
        // Large jobs are worth more to their clients.
        let relative = served.work / mean_work.max(f64::EPSILON);
        let weight = (FLAT + (1.0 - FLAT) * relative).min(WEIGHT_MAX);
        let (in_time, late) = kind.worth;
        let is_within = |times: u32| {
            served
                .took
                .is_some_and(|took| took <= served.objective * times)
        };
        let earned = if is_within(1) {
            in_time
        } else if is_within(LATE) {
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
    fn of(kind: &Kind, jobs: &[Job<'_>]) -> Self {
        let mut waits: Vec<f64> = jobs
            .iter()
            .map(|job| job.served.waited.as_secs_f64())
            .collect();
        waits.sort_by(f64::total_cmp);
        let mut classes = vec![0; WAITS_S.len() + 1];
        for wait in &waits {
            classes[WAITS_S.partition_point(|bound| bound < wait)] += 1;
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
            waits: classes,
        }
    }
}

fn worth(jobs: &[Job<'_>]) -> f64 {
    let owed: f64 = jobs.iter().map(|job| job.owed).sum();
    jobs.iter().map(|job| job.earned).sum::<f64>() / owed.max(f64::EPSILON)
}

fn in_time(jobs: &[Job<'_>]) -> f64 {
    count(jobs.iter().filter(|job| job.is_in_time).count()) / count(jobs.len()).max(1.0)
}

fn windows(jobs: &[Job<'_>]) -> Vec<Window> {
    let number = |job: &Job<'_>| job.served.at.as_ms() / 1_000 / WINDOW.as_secs();
    let last = jobs.iter().map(number).max().unwrap_or(0);
    (0..=last)
        .map(|window| {
            let own: Vec<Job<'_>> = jobs
                .iter()
                .filter(|job| number(job) == window)
                .copied()
                .collect();
            let from = WINDOW * u32::try_from(window).unwrap_or(u32::MAX);
            Window {
                from_s: from.as_secs_f64(),
                jobs: own.len(),
                worth: worth(&own),
            }
        })
        .collect()
}

fn count(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}
