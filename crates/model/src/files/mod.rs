//! Operator files: `lacewing.toml` beside each service's code.
//!
//! Every fault of every file is found in one pass: a key at fault spoils its item, not the reading of
//! what follows. The parser itself refuses values nested deeper than 80 levels.

mod cross;
mod items;
mod limits;
mod table;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use toml::de::DeTable;

use self::{
    cross::Found,
    table::{Checked, Table},
};
use crate::{
    Team, Unit,
    error::{FileError, FileErrors},
};

/// One operator file's text and the path that faults name.
#[derive(Clone, Copy, Debug)]
pub struct SourceFile<'a> {
    /// The path that faults name.
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
    /// Reads a set of operator files.
    ///
    /// # Errors
    ///
    /// Every fault of every file: text that is no TOML, unknown and missing keys, wrong types, numbers
    /// out of range, bad and duplicate names, teams that no file has, work that the quota of its team
    /// can never hold, and too many or too large files.
    pub fn parse(files: &[SourceFile<'_>]) -> Result<Self, FileErrors> {
        let mut faults = too_much(files);
        if !faults.is_empty() {
            return Err(FileErrors { errors: faults });
        }
        let mut found = Found::default();
        for (i, file) in files.iter().enumerate() {
            faults.extend(read(i, *file, &mut found));
        }
        let mut cross = found.cross_faults(files);
        faults.append(&mut cross);
        if faults.is_empty() {
            return Ok(found.catalog());
        }
        let order = |path: &str| files.iter().position(|file| file.path == path);
        faults.sort_by_key(|fault| (order(&fault.path), fault.line));
        Err(FileErrors { errors: faults })
    }
}

/// Files that are not looked into, as there are too many of them, or too large ones.
fn too_much(files: &[SourceFile<'_>]) -> Vec<FileError> {
    let fault = |path: &str, message: String| FileError {
        path: path.to_owned(),
        line: 0,
        key: String::new(),
        message,
    };
    let mut faults = Vec::new();
    if files.len() > limits::FILES_MAX {
        let message = format!("{} files, at most {}", files.len(), limits::FILES_MAX);
        faults.push(fault("", message));
    }
    let total: usize = files.iter().map(|file| file.text.len()).sum();
    if total > limits::TOTAL_BYTES_MAX {
        let message = format!(
            "{total} bytes in all files, at most {}",
            limits::TOTAL_BYTES_MAX
        );
        faults.push(fault("", message));
    }
    for file in files {
        let n = file.text.len();
        if n > limits::FILE_BYTES_MAX {
            let message = format!("{n} bytes, at most {}", limits::FILE_BYTES_MAX);
            faults.push(fault(file.path, message));
        }
    }
    faults
}

/// Reads one file, and returns the faults that it has by itself.
fn read(index: usize, file: SourceFile<'_>, found: &mut Found) -> Vec<FileError> {
    let mut checked = Checked::new(file);
    let (document, errors) = DeTable::parse_recoverable(file.text);
    for e in &errors {
        let line = checked.line(e.span().map_or(0, |span| span.start));
        checked.fault(line, "", e.message());
    }
    if errors.is_empty() {
        let root = Table::new("", document.get_ref(), 1);
        read_items(index, &mut checked, root, found);
    } else {
        // What the file holds beside is guesswork, and so are the teams that others miss.
        found.incomplete = true;
    }
    checked.into_faults()
}

fn read_items(index: usize, checked: &mut Checked<'_>, mut root: Table<'_, '_>, found: &mut Found) {
    if root.get("team").is_some() {
        match root.table(checked, "team", "a table headed by `[team]`") {
            Some(team) => found.add_team(index, items::team(checked, team)),
            None => found.incomplete = true,
        }
    }
    for service in root.tables(checked, "service") {
        found.add_unit(index, items::service(checked, service));
    }
    for batch in root.tables(checked, "batch") {
        found.add_unit(index, items::work(checked, batch, false));
    }
    for job in root.tables(checked, "job") {
        found.add_unit(index, items::work(checked, job, true));
    }
    root.finish(checked);
}
