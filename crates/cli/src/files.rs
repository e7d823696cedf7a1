//! Collects operator files from a folder.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use node::api::FileText;

/// The name of an operator file.
const FILE_NAME: &str = "lacewing.toml";
/// The depth of the deepest folder that is searched, counted from 0 for the given folder.
const MAX_DEPTH: usize = 16;
/// The size of the largest operator file, in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The error of [`collect`].
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum FilesError {
    /// A file or folder cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The path of the file or folder.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The folder contains no operator file.
    #[error("{}: no {FILE_NAME} in this folder or below it", .0.display())]
    NoFiles(PathBuf),
    /// An operator file is too large.
    #[error("{}: larger than {MAX_FILE_BYTES} bytes", .0.display())]
    TooLarge(PathBuf),
}

/// Reads all operator files in a folder and its subfolders, up to 16 levels deep. The files are sorted by path.
///
/// # Errors
///
/// Returns an error if a file or folder cannot be read, if a file is larger than 1 MiB, or if there is no operator
/// file.
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
        if kind.is_dir() && depth < MAX_DEPTH {
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
    if size > MAX_FILE_BYTES {
        return Err(FilesError::TooLarge(path.to_owned()));
    }
    let text = fs::read_to_string(path).map_err(read_error)?;
    Ok(FileText {
        path: path.display().to_string(),
        text,
    })
}
