//! The run times, the resource usage and the failures of stand-in tasks.

use std::{collections::BTreeMap, time::Duration};

use model::{Size, Usage, stable_hash};
use store::TaskStart;

/// Determines how long tasks run, how much they use and whether they fail, in place of real programs.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The shortest run time of tasks without a declared one. 1 s by default.
    pub min: Duration,
    /// The longest run time of tasks without a declared one. 20 s by default.
    pub max: Duration,
    /// The declared run time of units, by the part of their name before the first dot.
    pub declared: BTreeMap<String, Duration>,
    /// How far off declared run times are: true run times lie between the declared time divided by
    /// `declared_error_factor` and the declared time multiplied by it. 1, that is exact, by default.
    pub declared_error_factor: u32,
    /// The least usage of a task, in percent of its size. 100 by default.
    pub usage_min_percent: u64,
    /// The most usage of a task, in percent of its size. 100 by default.
    pub usage_max_percent: u64,
    /// How long after its start the usage of a task is reported. 5 s by default.
    pub usage_lag: Duration,
    /// Whether all tasks fail at once. False by default.
    pub always_fails: bool,
    /// The seed of the true run times and usages. 1 by default.
    pub seed: u64,
}

impl Default for RunPlan {
    fn default() -> Self {
        Self {
            min: Duration::from_secs(1),
            max: Duration::from_secs(20),
            declared: BTreeMap::new(),
            declared_error_factor: 1,
            usage_min_percent: 100,
            usage_max_percent: 100,
            usage_lag: Duration::from_secs(5),
            always_fails: false,
            seed: 1,
        }
    }
}

impl RunPlan {
    /// Returns how long an attempt runs.
    pub(crate) fn run_time(&self, start: &TaskStart) -> Duration {
        let unit = start.task.unit.as_str();
        let name = unit.split_once('.').map_or(unit, |(name, _)| name);
        match self.declared.get(name) {
            Some(declared) => self.true_run_time(*declared, start),
            None => self.min + scale(self.max.saturating_sub(self.min), self.draw(start, "time")),
        }
    }

    fn true_run_time(&self, declared: Duration, start: &TaskStart) -> Duration {
        let declared_error_factor = self.declared_error_factor.max(1);
        let shortest = declared / declared_error_factor;
        let width = (declared * declared_error_factor).saturating_sub(shortest);
        shortest + scale(width, self.draw(start, "time"))
    }

    /// Returns the resources that an attempt uses.
    pub(crate) fn usage(&self, start: &TaskStart) -> Usage {
        let width = self
            .usage_max_percent
            .saturating_sub(self.usage_min_percent);
        let percent = self.usage_min_percent + width * self.draw(start, "usage") / 1_000;
        let Size {
            milli_processors,
            memory_mb,
            ..
        } = start.size;
        Usage {
            milli_processors: milli_processors * percent / 100,
            memory_mb: memory_mb * percent / 100,
        }
    }

    /// Returns whether an attempt fails: if all do, or if `fail` is an argument of its command.
    pub(crate) fn fails(&self, start: &TaskStart) -> bool {
        self.always_fails || start.command.iter().any(|arg| arg == "fail")
    }

    /// Returns a number below 1,000 that depends only on the seed, the attempt and the purpose.
    fn draw(&self, start: &TaskStart, purpose: &str) -> u64 {
        let (task, attempt, seed) = (&start.task, start.attempt, self.seed);
        stable_hash(format!("{task}#{attempt}#{seed}#{purpose}").bytes()) % 1_000
    }
}

fn scale(span: Duration, per_mille: u64) -> Duration {
    let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(ms.saturating_mul(per_mille) / 1_000)
}
