//! What can go wrong with loads.

use std::io;

/// A load that can't be played, or a figure that can't be drawn.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LoadError {
    /// A file can't be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A line of a recorded load can't be read.
    #[error("line {line} of the load: {message}")]
    Line {
        /// Its number, from 1.
        line: usize,
        /// What is wrong with it.
        message: String,
    },
    /// A recorded load holds no jobs.
    #[error("the load holds no jobs")]
    Empty,
    /// The figures can't be written as JSON.
    #[error("the figures: {0}")]
    Json(#[from] serde_json::Error),
    /// The plot can't be drawn.
    #[error("the plot: {0}")]
    Plot(String),
}
