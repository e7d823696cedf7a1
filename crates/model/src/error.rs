//! Errors in operator files.

use std::fmt;

/// An error in an operator file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileError {
    /// The path of the file, as given by the caller. Empty if the error concerns the whole set of
    /// files.
    pub path: String,
    /// The line number, from 1, or 0 if the error concerns the whole file.
    pub line: usize,
    /// The key with the error, such as `batch.size.processors`. Empty if there is none.
    pub key: String,
    /// A description of the error and of what was expected.
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

/// All errors in a set of operator files, in the order of files and lines.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub struct FileErrors {
    /// The errors; never empty.
    pub errors: Vec<FileError>,
}

impl fmt::Display for FileErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.errors.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
