//! The error type of this crate.

use std::io;

/// An error from reading, writing or running a load, or from drawing its outcome.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LoadError {
    /// A file cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The path of the file.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A line of a recorded load is invalid.
    #[error("line {line} of the load: {message}")]
    Line {
        /// The number of the line, from 1.
        line: usize,
        /// What is wrong with the line.
        message: String,
    },
    /// The load holds no jobs.
    #[error("the load holds no jobs")]
    Empty,
    /// The figures cannot be written as JSON.
    #[error("the figures: {0}")]
    Json(#[from] serde_json::Error),
    /// The plot cannot be drawn.
    #[error("the plot: {0}")]
    Plot(String),
}
