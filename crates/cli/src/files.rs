//! Collecting operator files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use node::api::FileText;

/// The name of an operator file.
const FILE_NAME: &str = "lacewing.toml";
/// The deepest folder that is looked into.
const DEPTH_MAX: usize = 16;
/// The largest operator file, in bytes.
const FILE_MAX_BYTES: u64 = 1 << 20;

/// Operator files that cannot be collected.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FilesError {
    /// A file or folder cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file or folder.
        path: PathBuf,
        /// The system's reason.
        source: io::Error,
    },
    /// There is no operator file.
    #[error("{}: no {FILE_NAME} in this folder or below it", .0.display())]
    NoFiles(PathBuf),
    /// An operator file is too large.
    #[error("{}: larger than {FILE_MAX_BYTES} bytes", .0.display())]
    TooLarge(PathBuf),
}

/// Reads all operator files in a folder and below it, in the order of their paths.
///
/// # Errors
///
/// A file or folder cannot be read, a file is too large, or there is none.
pub fn collect(dir: &Path) -> Result<Vec<FileText>, FilesError> {
    let mut files = Vec::new();
    walk(dir, 0, &mut files)?;
    if files.is_empty() {
        return Err(FilesError::NoFiles(dir.to_owned()));
    }
    files.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(files)
}

fn walk(dir: &Path, depth: usize, files: &mut Vec<FileText>) -> Result<(), FilesError> {
    let read_error = |source| FilesError::Read {
        path: dir.to_owned(),
        source,
    };
    for entry in fs::read_dir(dir).map_err(read_error)? {
        let entry = entry.map_err(read_error)?;
        let path = entry.path();
        let kind = entry.file_type().map_err(read_error)?;
        if kind.is_dir() && depth < DEPTH_MAX {
            walk(&path, depth + 1, files)?;
        } else if kind.is_file() && entry.file_name() == FILE_NAME {
            files.push(read(&path)?);
        }
    }
    Ok(())
}

fn read(path: &Path) -> Result<FileText, FilesError> {
    let read_error = |source| FilesError::Read {
        path: path.to_owned(),
        source,
    };
    let size = fs::metadata(path).map_err(read_error)?.len();
    if size > FILE_MAX_BYTES {
        return Err(FilesError::TooLarge(path.to_owned()));
    }
    let text = fs::read_to_string(path).map_err(read_error)?;
    Ok(FileText {
        path: path.display().to_string(),
        text,
    })
}
