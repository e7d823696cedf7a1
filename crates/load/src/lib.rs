//! Replays loads of jobs through the scheduler on virtual time and measures the outcome of each policy.
//!
//! A load is generated from a seed or read from a file. [`Experiment::run`] runs it through the unchanged
//! schedulers of `sched` on the simulated cell of `fakes`, under one [`Policy`]. The [`Outcome`] holds the worth
//! that clients earned by kind of job, by job size and over time, the waiting times, and the share of wasted
//! work.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use load::{Experiment, Policy};
//!
//! let experiment = Experiment {
//!     duration: Duration::from_secs(2),
//!     factor: 0.3,
//!     ..Experiment::default()
//! };
//! let outcome = experiment.run(Policy::Standard).unwrap();
//! assert_eq!(outcome.breaches, 0);
//! assert!(outcome.worth > 0.9);
//! ```

mod error;
mod experiment;
mod outcome;
mod plot;
mod policy;
mod recorded;

pub use crate::{
    error::LoadError,
    experiment::{Experiment, Shape},
    outcome::{KindFigures, Outcome, Window},
    plot::draw,
    policy::Policy,
    recorded::{read, write},
};
