//! Parser for operator files: the `lacewing.toml` beside each service's code.
//!
//! One pass reports all errors of all files: an invalid key invalidates its item, but reading
//! continues with the next key. The TOML parser rejects values nested deeper than 80 levels.

mod cross;
mod items;
mod limits;
mod table;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use toml::de::DeTable;

use self::{
    cross::ParsedItems,
    table::{CheckedFile, Table},
};
use crate::{
    Team, Unit,
    error::{FileError, FileErrors},
};

/// The text of an operator file, and the path under which errors report it.
#[derive(Clone, Copy, Debug)]
pub struct SourceFile<'a> {
    /// The path that is shown in errors.
    pub path: &'a str,
    /// The file's content.
    pub text: &'a str,
}

/// All teams and units of a set of operator files, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Catalog {
    /// The teams by name.
    pub teams: BTreeMap<String, Team>,
    /// The units of work by name.
    pub units: BTreeMap<String, Unit>,
}

impl Catalog {
    /// Parses a set of operator files.
    ///
    /// # Errors
    ///
    /// Returns all errors of all files: invalid TOML, unknown and missing keys, wrong types, numbers
    /// out of range, invalid and duplicate names, teams that no file defines, and work that can never
    /// fit into the quota of its team. If there are too many files or they are too large, only this is
    /// reported.
    pub fn parse(files: &[SourceFile<'_>]) -> Result<Self, FileErrors> {
        let mut errors = check_limits(files);
        if !errors.is_empty() {
            return Err(FileErrors { errors });
        }
        let mut parsed = ParsedItems::default();
        for (i, file) in files.iter().enumerate() {
            errors.extend(read_file(i, *file, &mut parsed));
        }
        let mut cross = parsed.cross_errors(files);
        errors.append(&mut cross);
        if errors.is_empty() {
            return Ok(parsed.into_catalog());
        }
        let order = |path: &str| files.iter().position(|file| file.path == path);
        errors.sort_by_key(|error| (order(&error.path), error.line));
        Err(FileErrors { errors })
    }
}

/// Checks the number and sizes of the files, which are not parsed if a limit is exceeded.
fn check_limits(files: &[SourceFile<'_>]) -> Vec<FileError> {
    let error = |path: &str, message: String| FileError {
        path: path.to_owned(),
        line: 0,
        key: String::new(),
        message,
    };
    let mut errors = Vec::new();
    if files.len() > limits::MAX_FILES {
        let message = format!("{} files, at most {}", files.len(), limits::MAX_FILES);
        errors.push(error("", message));
    }
    let total: usize = files.iter().map(|file| file.text.len()).sum();
    if total > limits::MAX_TOTAL_BYTES {
        let message = format!(
            "{total} bytes in all files, at most {}",
            limits::MAX_TOTAL_BYTES
        );
        errors.push(error("", message));
    }
    for file in files {
        let n = file.text.len();
        if n > limits::MAX_FILE_BYTES {
            let message = format!("{n} bytes, at most {}", limits::MAX_FILE_BYTES);
            errors.push(error(file.path, message));
        }
    }
    errors
}

/// Reads one file, and returns the errors that do not depend on other files.
fn read_file(index: usize, file: SourceFile<'_>, parsed: &mut ParsedItems) -> Vec<FileError> {
    let mut checked = CheckedFile::new(file);
    let (document, errors) = DeTable::parse_recoverable(file.text);
    for e in &errors {
        let line = checked.line(e.span().map_or(0, |span| span.start));
        checked.report(line, "", e.message());
    }
    if errors.is_empty() {
        let root = Table::new("", document.get_ref(), 1);
        read_items(index, &mut checked, root, parsed);
    } else {
        // The rest of the file is unreliable. It may define teams to which other files refer.
        parsed.is_incomplete = true;
    }
    checked.into_errors()
}

fn read_items(
    index: usize,
    checked: &mut CheckedFile<'_>,
    mut root: Table<'_, '_>,
    parsed: &mut ParsedItems,
) {
    if root.get("team").is_some() {
        match root.table(checked, "team", "a table headed by `[team]`") {
            Some(team) => parsed.add_team(index, items::read_team(checked, team)),
            None => parsed.is_incomplete = true,
        }
    }
    for service in root.tables(checked, "service") {
        parsed.add_unit(index, items::read_service(checked, service));
    }
    for batch in root.tables(checked, "batch") {
        parsed.add_unit(index, items::read_batch_or_job(checked, batch, false));
    }
    for job in root.tables(checked, "job") {
        parsed.add_unit(index, items::read_batch_or_job(checked, job, true));
    }
    root.finish(checked);
}
