//! Faults of operator files.

use std::fmt;

/// One fault of an operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The file, as it was named by the caller.
    pub path: String,
    /// The line, from 1; 0 where the fault belongs to the whole file.
    pub line: usize,
    /// The key at fault, such as `batch.size.processors`; empty where there is none.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.path, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// All faults of a set of operator files, in the order of files and lines.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub struct FileErrors {
    /// The faults; never empty.
    pub errors: Vec<FileError>,
}

impl fmt::Display for FileErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.errors.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}
