//! Loads replayed through the scheduler on virtual time, and what the jobs were worth.
//!
//! A load is generated from a seed, or recorded in a file. It is played through the schedulers of `sched`,
//! unchanged, on the cell of `fakes`, once for each policy, and judged: what clients earn by kind, by size and
//! over time, how long jobs wait, and what work came to nothing.
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
    experiment::Experiment,
    outcome::{KindFigures, Outcome, Window},
    plot::draw,
    policy::Policy,
    recorded::{read, write},
};
