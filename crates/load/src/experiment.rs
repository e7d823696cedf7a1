//! An experiment: a load of jobs and the simulated cell that runs it.

use std::{collections::HashSet, time::Duration};

use fakes::cell::{Arrival, Burst, Cell, CellSpec, Kind, LoadSpec, generate};
use model::{Size, Time};

use crate::{LoadError, Outcome, Policy};

/// The index of the kind of rebuilds in [`Experiment::kinds`].
const REBUILD_KIND: usize = 0;
/// The index of the kind of lookups, which an interactive user waits for.
const LOOKUP_KIND: usize = 2;

/// A load of jobs and the cell that runs it.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The number of workers. Each has 32 processors and 128 GB of memory.
    pub workers: usize,
    /// The number of nodes. Each requests approvals.
    pub nodes: usize,
    /// The size of the generated load. At 1.0 the load requires 0.8 of the processors of 48 workers.
    pub factor: f64,
    /// The length of the time in which jobs arrive.
    pub duration: Duration,
    /// The number of workers that fail permanently, spread evenly over the second half of `duration`.
    pub lost_workers: usize,
    /// A recorded load to run instead of a generated one.
    pub recorded: Option<Vec<Arrival>>,
    /// The seed of the generated load and of the simulated cell.
    pub seed: u64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            workers: 48,
            nodes: 8,
            factor: 1.0,
            duration: Duration::from_secs(20),
            lost_workers: 0,
            recorded: None,
            seed: 1,
        }
    }
}

impl Experiment {
    /// Returns the kinds of jobs.
    #[must_use]
    pub fn kinds(&self) -> Vec<Kind> {
        LoadSpec::reminders().kinds
    }

    /// Returns the recorded jobs, or generates jobs with a burst of lookups and a burst of rebuilds.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        if let Some(recorded) = &self.recorded {
            return recorded.clone();
        }
        let burst = |kind, at: u32, factor| Burst {
            kind,
            factor,
            from: Time::ZERO + self.duration * at / 10,
            duration: self.duration / 5,
        };
        let load = LoadSpec {
            duration: self.duration,
            factor: self.factor,
            bursts: vec![burst(LOOKUP_KIND, 2, 2.0), burst(REBUILD_KIND, 6, 1.6)],
            ..LoadSpec::reminders()
        };
        generate(&load, self.seed)
    }

    /// Runs the load under a policy until all jobs have ended.
    ///
    /// # Errors
    ///
    /// Returns [`LoadError::Empty`] if the load holds no jobs.
    pub fn run(&self, policy: Policy) -> Result<Outcome, LoadError> {
        let arrivals = self.arrivals();
        if arrivals.is_empty() {
            return Err(LoadError::Empty);
        }
        let kinds = self.kinds();
        let spec = CellSpec {
            nodes: self.nodes,
            hosts: self.workers,
            host_size: Size::new(32_000, 131_072, 0),
            rack: 8,
            sched: policy.settings(),
            kinds: kinds.clone(),
            faults: self.worker_losses(),
            arrivals,
            seed: self.seed,
            ..CellSpec::default()
        };
        Ok(Outcome::from_report(&Cell::new(spec).run(), &kinds))
    }

    fn worker_losses(&self) -> Vec<(Time, fakes::cell::CellFault)> {
        let count = u32::try_from(self.lost_workers).unwrap_or(u32::MAX);
        let step = self.duration / 2 / count.max(1);
        (0..count)
            .map(|i| {
                let at = Time::ZERO + self.duration / 2 + step * i;
                (at, fakes::cell::CellFault::HostGone)
            })
            .collect()
    }

    /// Runs the load under several policies, each on its own thread. A policy that is listed more than once is
    /// run once.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`run`](Self::run).
    ///
    /// # Panics
    ///
    /// Resumes the panic of a run that panicked.
    pub fn compare(&self, policies: &[Policy]) -> Result<Vec<(Policy, Outcome)>, LoadError> {
        let mut seen = HashSet::new();
        let policies = policies.iter().filter(|policy| seen.insert(policy.name()));
        let outcomes: Vec<_> = std::thread::scope(|scope| {
            let threads: Vec<_> = policies
                .map(|&policy| (policy, scope.spawn(move || self.run(policy))))
                .collect();
            threads
                .into_iter()
                .map(|(policy, thread)| (policy, thread.join()))
                .collect()
        });
        outcomes
            .into_iter()
            .map(|(policy, outcome)| match outcome {
                Ok(outcome) => Ok((policy, outcome?)),
                Err(panic) => std::panic::resume_unwind(panic),
            })
            .collect()
    }
}
