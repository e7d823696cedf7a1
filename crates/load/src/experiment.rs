//! A load on a cell.

use std::{collections::HashSet, time::Duration};

use fakes::cell::{Arrival, Burst, Cell, CellSpec, Kind, LoadSpec, generate};
use model::{Size, Time};

use crate::{LoadError, Outcome, Policy};

/// The number of the kind of rebuilds, and of the kind that somebody waits at a counter for.
const REBUILD: usize = 0;
const LOOKUP: usize = 2;

/// A load, and the cell that it is played on.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// How many workers, each of 32 processors and 128 GB.
    pub workers: usize,
    /// How many nodes, each of which asks for approvals.
    pub nodes: usize,
    /// How many times the load that asks for 0.8 of 48 workers.
    pub factor: f64,
    /// For how long jobs come.
    pub duration: Duration,
    /// Workers that are lost for good, one after the other over the second half of the load.
    pub lost_workers: usize,
    /// A recorded load, instead of a generated one.
    pub recorded: Option<Vec<Arrival>>,
    /// Determines the rest.
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
    /// The kinds of jobs.
    #[must_use]
    pub fn kinds(&self) -> Vec<Kind> {
        LoadSpec::reminders().kinds
    }

    /// The jobs: those recorded, or else those generated, with a burst of lookups and one of rebuilds.
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
            bursts: vec![burst(LOOKUP, 2, 2.0), burst(REBUILD, 6, 1.6)],
            ..LoadSpec::reminders()
        };
        generate(&load, self.seed)
    }

    /// Plays the load under a policy until all jobs are over.
    ///
    /// # Errors
    ///
    /// The load holds no jobs.
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
            faults: self.losses(),
            arrivals,
            seed: self.seed,
            ..CellSpec::default()
        };
        Ok(Outcome::from_report(&Cell::new(spec).run(), &kinds))
    }

    fn losses(&self) -> Vec<(Time, fakes::cell::CellFault)> {
        let count = u32::try_from(self.lost_workers).unwrap_or(u32::MAX);
        let step = self.duration / 2 / count.max(1);
        (0..count)
            .map(|i| {
                let at = Time::ZERO + self.duration / 2 + step * i;
                (at, fakes::cell::CellFault::HostGone)
            })
            .collect()
    }

    /// Plays the load under several policies, on as many threads as there are processors.
    ///
    /// # Errors
    ///
    /// As [`run`](Self::run).
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
