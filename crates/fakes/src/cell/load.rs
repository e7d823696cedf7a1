//! Generated loads: random jobs with their submission times.

use std::time::Duration;

use jobs::{ApprovalCost, Job, JobId, Queue, Step};
use model::{Size, Time};

use super::world::chance;
use crate::Rng;

/// A kind of job.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The queue of its jobs.
    pub queue: Queue,
    /// The mean number of jobs submitted per second.
    pub per_second: f64,
    /// The worth of a job that completes within its objective, and of a late one.
    pub worth: (f64, f64),
    /// The mean number of steps, each of which depends on the previous one. There are at most three.
    pub steps: f64,
    /// The mean number of tasks of a step, and the standard deviation of its logarithm.
    pub tasks: (f64, f64),
    /// The largest number of tasks of a step.
    pub tasks_max: u32,
    /// The mean size of a task: thousandths of a processor, and MB of memory.
    pub size: (f64, f64),
    /// The largest size of a task, in the same units.
    pub size_max: (u64, u64),
    /// The mean run time of a task, in seconds.
    pub seconds: f64,
    /// The longest run time of a task, in seconds.
    pub seconds_max: f64,
    /// The largest relative error of estimated run times in either direction: 0.9 for up to 90 %.
    pub estimate_error: f64,
    /// The share of steps that are gangs.
    pub gang_share: f64,
    /// The share of steps that save checkpoints.
    pub checkpoint_share: f64,
    /// The share of workers that may run a step, if its queue needs approvals.
    pub allowed_share: f64,
    /// The share of runs that fail without an injected fault.
    pub failure_share: f64,
}

/// A time in which more jobs of one kind are submitted.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// The index of the kind.
    pub kind: usize,
    /// The factor of the kind's rate.
    pub factor: f64,
    /// When the burst begins.
    pub from: Time,
    /// How long the burst lasts.
    pub duration: Duration,
}

/// The parameters of a generated load.
#[derive(Clone, Debug, Default)]
pub struct LoadSpec {
    /// The kinds of jobs.
    pub kinds: Vec<Kind>,
    /// How long jobs are submitted.
    pub duration: Duration,
    /// The factor of all kinds' rates.
    pub factor: f64,
    /// Bursts of single kinds.
    pub bursts: Vec<Burst>,
    /// The share of jobs that are cancelled one second after their submission.
    pub cancelled: f64,
}

/// A job that is submitted.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it is submitted.
    pub at: Time,
    /// The index of its kind.
    pub kind: usize,
    /// The job's id.
    pub id: JobId,
    /// The job.
    pub job: Job,
    /// The true run time of the tasks of each step, in seconds.
    pub seconds: Vec<f64>,
    /// When a client cancels it, if one does.
    pub cancelled_at: Option<Time>,
}

/// Generates the jobs of a load in the order of their submission.
#[must_use]
pub fn generate(spec: &LoadSpec, seed: u64) -> Vec<Arrival> {
    let mut rng = Rng::new(seed);
    let mut arrivals = Vec::new();
    for (number, kind) in spec.kinds.iter().enumerate() {
        let mut at = Time::ZERO;
        loop {
            let kind_bursts = spec.bursts.iter().filter(|b| b.kind == number);
            let is_active = |b: &&Burst| at >= b.from && at < b.from + b.duration;
            let factor: f64 = kind_bursts.filter(is_active).map(|b| b.factor).product();
            let rate = (kind.per_second * spec.factor * factor).max(0.001);
            at += Duration::from_secs_f64(exponential(&mut rng) / rate);
            if at >= Time::ZERO + spec.duration {
                break;
            }
            let (mut job, seconds) = draw_job(kind, &mut rng);
            let is_cancelled = chance(&mut rng, spec.cancelled);
            let id = JobId(rng.next_u64());
            job.spec = format!("spec of {id}");
            arrivals.push(Arrival {
                at,
                kind: number,
                id,
                job,
                seconds,
                cancelled_at: is_cancelled.then_some(at + Duration::from_secs(1)),
            });
        }
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.id));
    arrivals
}

fn draw_job(kind: &Kind, rng: &mut Rng) -> (Job, Vec<f64>) {
    let mut count = 1_u16;
    while f64::from(count) < 3.0 && chance(rng, 1.0 - 1.0 / kind.steps.max(1.0)) {
        count += 1;
    }
    let mut seconds = Vec::new();
    let steps = (0..count).map(|number| {
        let run_time_s = (kind.seconds * log_normal(rng, 0.5)).min(kind.seconds_max);
        let estimate_factor = 1.0 + kind.estimate_error * (2.0 * uniform(rng) - 1.0);
        let tasks = (kind.tasks.0 * log_normal(rng, kind.tasks.1)).round();
        let step = Step {
            tasks: round_to_u64(tasks)
                .clamp(1, u64::from(kind.tasks_max))
                .try_into()
                .unwrap_or(1),
            size: Size::new(
                round_to_u64(kind.size.0 * log_normal(rng, 0.4)).clamp(50, kind.size_max.0),
                round_to_u64(kind.size.1 * log_normal(rng, 0.5)).clamp(50, kind.size_max.1),
                0,
            ),
            estimate_ms: round_to_u64(run_time_s * estimate_factor * 1_000.0).max(1),
            after: if number > 0 {
                vec![number - 1]
            } else {
                Vec::new()
            },
            gang: chance(rng, kind.gang_share),
            saves_progress: chance(rng, kind.checkpoint_share),
            ..Step::default()
        };
        seconds.push(run_time_s);
        step
    });
    let job = Job {
        queue: kind.queue.clone(),
        steps: steps.collect(),
        ..Job::default()
    };
    (job, seconds)
}

fn uniform(rng: &mut Rng) -> f64 {
    f64::from(u32::try_from(rng.next_u64() >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}

fn exponential(rng: &mut Rng) -> f64 {
    -(1.0 - uniform(rng)).max(1e-9).ln()
}

/// Draws a log-normal factor with mean 1, where `deviation` is that of its logarithm.
fn log_normal(rng: &mut Rng, deviation: f64) -> f64 {
    let normal =
        (-2.0 * uniform(rng).max(1e-9).ln()).sqrt() * (std::f64::consts::TAU * uniform(rng)).cos();
    (deviation * normal - deviation * deviation / 2.0).exp()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is cast saturates, and none is negative here"
)]
fn round_to_u64(number: f64) -> u64 {
    number.round() as u64
}

/// The largest size of a task of [`LoadSpec::reminders`]: thousandths of a processor, and MB of memory.
const SIZE_MAX: (u64, u64) = (15_000, 50_000);

/// Returns a queue of the reminder service. An approval request takes `approval.0` milliseconds, and
/// `approval.1` more for each worker.
fn queue(name: &str, rank: u32, target_ms: u64, stretch: f64, approval: (f64, f64)) -> Queue {
    Queue {
        name: name.into(),
        pool: "desk".into(),
        rank,
        max_failures: 4,
        target: Duration::from_millis(target_ms),
        stretch,
        approval: Some(ApprovalCost {
            base_ms: approval.0,
            per_worker_ms: approval.1,
            valid: Duration::from_millis(2_500),
        }),
    }
}

impl LoadSpec {
    /// Returns the load of the reminder service: rebuilds in large gangs, batches, and many small lookups. At
    /// factor 1.0 it needs about 0.8 of 48 workers with 32 processors each.
    #[must_use]
    pub fn reminders() -> Self {
        let rebuild = Kind {
            queue: queue("rebuild", 1, 1_200, 2.2, (410.0, 5.9)),
            per_second: 1.8,
            worth: (12.8, 2.56),
            steps: 1.2,
            tasks: (5.0, 0.6),
            tasks_max: 26,
            size: (9_000.0, 26_000.0),
            size_max: SIZE_MAX,
            seconds: 6.2,
            seconds_max: f64::INFINITY,
            estimate_error: 0.9,
            gang_share: 1.0,
            checkpoint_share: 0.5,
            allowed_share: 0.35,
            failure_share: 0.02,
        };
        let batch = Kind {
            queue: queue("batch", 2, 3_000, 4.0, (53.0, 0.75)),
            per_second: 6.8,
            worth: (2.13, 0.426),
            steps: 1.5,
            tasks: (10.0, 0.8),
            tasks_max: 60,
            size: (2_000.0, 4_000.0),
            size_max: SIZE_MAX,
            seconds: 2.2,
            seconds_max: f64::INFINITY,
            estimate_error: 0.9,
            gang_share: 0.0,
            checkpoint_share: 0.8,
            allowed_share: 0.45,
            failure_share: 0.05,
        };
        let lookup = Kind {
            queue: queue("lookup", 0, 500, 1.5, (7.4, 0.11)),
            per_second: 48.0,
            worth: (0.42, 0.084),
            steps: 1.0,
            tasks: (2.0, 0.8),
            tasks_max: 12,
            size: (2_800.0, 5_700.0),
            size_max: SIZE_MAX,
            seconds: 0.64,
            seconds_max: f64::INFINITY,
            estimate_error: 0.9,
            gang_share: 0.3,
            checkpoint_share: 0.0,
            allowed_share: 0.7,
            failure_share: 0.005,
        };
        Self {
            kinds: vec![rebuild, batch, lookup],
            duration: Duration::from_secs(34),
            factor: 1.0,
            bursts: Vec::new(),
            cancelled: 0.0,
        }
    }

    /// Returns the load of the reminder service on a large fleet: gangs of 20 tasks of 9 processors, wide batches
    /// and a hundred lookups a second. At factor 1.0 it needs about 0.8 of 540 workers with 32 processors each.
    #[must_use]
    pub fn large_fleet() -> Self {
        let rebuild = Kind {
            queue: queue("rebuild", 1, 1_200, 2.2, (390.0, 5.6)),
            per_second: 8.33,
            worth: (5.57, 1.11),
            steps: 1.2,
            tasks: (20.0, 0.8),
            tasks_max: 120,
            size: (9_000.0, 26_000.0),
            size_max: (15_000, 52_000),
            seconds: 4.0,
            seconds_max: 10.0,
            estimate_error: 0.5,
            gang_share: 1.0,
            checkpoint_share: 0.5,
            allowed_share: 0.35,
            failure_share: 0.02,
        };
        let batch = Kind {
            queue: queue("batch", 2, 3_000, 4.0, (140.0, 2.0)),
            per_second: 11.1,
            worth: (2.6, 0.52),
            steps: 1.5,
            tasks: (15.0, 0.6),
            tasks_max: 76,
            size: (5_500.0, 16_000.0),
            size_max: (17_000, 47_000),
            seconds: 3.4,
            seconds_max: 8.4,
            estimate_error: 0.2,
            gang_share: 0.0,
            checkpoint_share: 0.8,
            allowed_share: 0.45,
            failure_share: 0.05,
        };
        let lookup = Kind {
            queue: queue("lookup", 0, 500, 1.5, (16.0, 0.23)),
            per_second: 98.7,
            worth: (0.411, 0.0822),
            steps: 1.0,
            tasks: (3.1, 0.8),
            tasks_max: 19,
            size: (7_900.0, 23_000.0),
            size_max: (24_000, 68_000),
            seconds: 0.8,
            seconds_max: 2.0,
            estimate_error: 0.9,
            gang_share: 0.3,
            checkpoint_share: 0.0,
            allowed_share: 0.7,
            failure_share: 0.02,
        };
        Self {
            kinds: vec![rebuild, batch, lookup],
            ..Self::reminders()
        }
    }
}
