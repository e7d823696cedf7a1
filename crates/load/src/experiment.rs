//! An experiment: a load of jobs and the simulated cell that runs it.

use std::{collections::HashSet, str::FromStr, time::Duration};

use fakes::cell::{
    Arrival, Burst, Cell, CellFault, CellSpec, ClientRetry, Kind, LoadSpec, generate,
};
use model::{Size, Time};

use crate::{LoadError, Outcome, Policy};

/// The index of the kind of rebuilds in [`Experiment::kinds`].
const REBUILD_KIND: usize = 0;
/// The index of the kind of lookups, which an interactive user waits for.
const LOOKUP_KIND: usize = 2;

/// How many times a client submits a refused job again.
const CLIENT_RETRIES: u32 = 4;

/// The shape of the fleet and of the jobs that it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shape {
    /// 48 workers and 8 nodes. Gangs have 5 tasks.
    #[default]
    Desk,
    /// 540 workers, a third of which take 1.3 times as long, and 97 nodes. Gangs have 20 tasks.
    Large,
}

impl Shape {
    /// All shapes.
    pub const ALL: [Self; 2] = [Self::Desk, Self::Large];

    /// Returns the shape's name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Desk => "desk",
            Self::Large => "large",
        }
    }

    /// Returns the number of workers for which a load of factor 1.0 requires 0.8 of the processors.
    #[must_use]
    pub const fn workers(self) -> usize {
        match self {
            Self::Desk => 48,
            Self::Large => 540,
        }
    }

    /// Returns the number of nodes that request approvals.
    #[must_use]
    pub const fn nodes(self) -> usize {
        match self {
            Self::Desk => 8,
            Self::Large => 97,
        }
    }

    fn load(self) -> LoadSpec {
        match self {
            Self::Desk => LoadSpec::reminders(),
            Self::Large => LoadSpec::large_fleet(),
        }
    }
}

impl FromStr for Shape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|shape| shape.name() == text);
        found.ok_or_else(|| format!("`{text}` is no shape of a fleet"))
    }
}

/// A load of jobs and the cell that runs it.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// The shape of the fleet and of the jobs.
    pub shape: Shape,
    /// The number of workers. Each has 32 processors and 128 GB of memory.
    pub workers: usize,
    /// The number of nodes. Each requests approvals.
    pub nodes: usize,
    /// The size of the generated load. At 1.0 the load requires 0.8 of the processors of
    /// [`Shape::workers`].
    pub factor: f64,
    /// The length of the time in which jobs arrive.
    pub duration: Duration,
    /// The number of workers that fail permanently, spread evenly over the second half of `duration`.
    pub lost_workers: usize,
    /// How long the table is unreachable, from two fifths of `duration` on. Jobs submitted meanwhile are refused,
    /// and their clients come back after `retry_after`.
    pub outage: Duration,
    /// How long the table is slow, from one fifth of `duration` on, while the burst of lookups comes.
    pub slow_table: Duration,
    /// When the clients of refused jobs submit them again.
    pub retry_after: Duration,
    /// Whether all nodes restart at four fifths of `duration`.
    pub restart: bool,
    /// A recorded load to run instead of a generated one.
    pub recorded: Option<Vec<Arrival>>,
    /// The seed of the generated load and of the simulated cell.
    pub seed: u64,
}

impl Default for Experiment {
    fn default() -> Self {
        Self {
            shape: Shape::Desk,
            workers: Shape::Desk.workers(),
            nodes: Shape::Desk.nodes(),
            factor: 1.0,
            duration: Duration::from_secs(20),
            lost_workers: 0,
            outage: Duration::ZERO,
            slow_table: Duration::ZERO,
            retry_after: Duration::from_secs(2),
            restart: false,
            recorded: None,
            seed: 1,
        }
    }
}

impl Experiment {
    /// Returns the default experiment on a fleet of this shape.
    #[must_use]
    pub fn of(shape: Shape) -> Self {
        Self {
            shape,
            workers: shape.workers(),
            nodes: shape.nodes(),
            ..Self::default()
        }
    }

    /// Returns the kinds of jobs.
    #[must_use]
    pub fn kinds(&self) -> Vec<Kind> {
        self.shape.load().kinds
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
            ..self.shape.load()
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
            slow_host_period: if self.shape == Shape::Large { 3 } else { 0 },
            slow_host_factor: 1.3,
            client_retry: Some(ClientRetry {
                after: self.retry_after,
                limit: CLIENT_RETRIES,
            }),
            sched: policy.settings(),
            kinds: kinds.clone(),
            faults: self.faults(),
            arrivals,
            seed: self.seed,
            ..CellSpec::default()
        };
        Ok(Outcome::from_report(&Cell::new(spec).run(), &kinds))
    }

    fn faults(&self) -> Vec<(Time, CellFault)> {
        let count = u32::try_from(self.lost_workers).unwrap_or(u32::MAX);
        let step = self.duration / 2 / count.max(1);
        let mut faults: Vec<(Time, CellFault)> = (0..count)
            .map(|i| {
                let at = Time::ZERO + self.duration / 2 + step * i;
                (at, CellFault::HostGone)
            })
            .collect();
        if !self.outage.is_zero() {
            let at = Time::ZERO + self.duration * 2 / 5;
            faults.push((at, CellFault::TableDown(self.outage)));
        }
        if !self.slow_table.is_zero() {
            let at = Time::ZERO + self.duration / 5;
            faults.push((at, CellFault::TableSlow(self.slow_table)));
        }
        if self.restart {
            let at = Time::ZERO + self.duration * 4 / 5;
            faults.push((at, CellFault::AllNodesDie));
        }
        faults
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
