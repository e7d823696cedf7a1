//! The operator's side: the command line's parts and the embedded cell.
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
