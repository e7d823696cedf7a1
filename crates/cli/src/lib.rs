//! The library of the `lacewing` command line: collecting operator files, and running them on a simulated cell.
//!
//! [`Cell`] simulates a whole cell on virtual time, and [`broken_promises`] checks what was observed in it.
//! [`try_files`] is the implementation of `lacewing try`.
//!
//! # Example
//!
//! ```
//! use cli::{Cell, CellConfig};
//!
//! let mut cell = Cell::new(&CellConfig::default());
//! cell.run_until(std::time::Duration::from_secs(3));
//! assert!(cell.broken_promises().is_empty());
//! ```

mod cell;
mod files;
mod try_run;

pub use crate::{
    cell::{
        Answer, Cell, CellConfig, Costs, Disturbance, Execution, Fault, Leaving, Load, Records,
        Try, TryId, VersionObservation, WorkerPeak, broken_promises,
    },
    files::{FilesError, collect},
    try_run::{Figures, TryOptions, TryReport, Verdicts, Waits, try_files, unit_line},
};
