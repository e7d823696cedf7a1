//! Checks across items and files: duplicate names, missing teams and quotas.

use std::collections::BTreeMap;

use super::{Catalog, SourceFile, items::Item};
use crate::{Kind, Size, Team, Unit, error::FileError};

/// An item and the index of the file that contains it.
#[derive(Clone, Debug)]
struct LocatedItem<T> {
    file: usize,
    item: Item<T>,
}

/// The items of all files.
#[derive(Clone, Debug, Default)]
pub(super) struct ParsedItems {
    teams: Vec<LocatedItem<Team>>,
    units: Vec<LocatedItem<Unit>>,
    /// Whether some teams may be missing because they could not be read.
    pub(super) is_incomplete: bool,
}

impl ParsedItems {
    pub(super) fn add_team(&mut self, file: usize, item: Item<Team>) {
        self.is_incomplete |= item.name.is_none();
        self.teams.push(LocatedItem { file, item });
    }

    pub(super) fn add_unit(&mut self, file: usize, item: Item<Unit>) {
        self.units.push(LocatedItem { file, item });
    }

    /// Returns the errors that concern more than one item.
    pub(super) fn cross_errors(&self, files: &[SourceFile<'_>]) -> Vec<FileError> {
        let mut errors = Vec::new();
        report_duplicates(&self.teams, files, &mut errors);
        report_duplicates(&self.units, files, &mut errors);
        for unit in &self.units {
            self.check_team(unit, files, &mut errors);
        }
        errors
    }

    fn check_team(
        &self,
        located: &LocatedItem<Unit>,
        files: &[SourceFile<'_>],
        errors: &mut Vec<FileError>,
    ) {
        let Some(unit) = &located.item.value else {
            return;
        };
        let has_name = |team: &&LocatedItem<Team>| team.item.name.as_ref() == Some(&unit.team);
        let key = located.item.key;
        let mut report = |line, key: String, message| {
            errors.push(FileError {
                path: files[located.file].path.to_owned(),
                line,
                key,
                message,
            });
        };
        match self.teams.iter().find(has_name) {
            None if self.is_incomplete => {}
            None => {
                let message = format!("no file has the team `{}`", unit.team);
                report(located.item.lines.team, format!("{key}.team"), message);
            }
            Some(team) => {
                let quota = team.item.value.as_ref().map(|team| team.quota);
                let (size, of_what) = min_concurrent_size(unit);
                if let Some(quota) = quota.filter(|quota| !size.fits(quota)) {
                    let message = format!(
                        "{of_what} ({size}) can never fit into the quota of the team `{}` ({quota})",
                        unit.team
                    );
                    report(located.item.lines.size, format!("{key}.size"), message);
                }
            }
        }
    }

    /// Returns the teams and units. Must be called only if there are no errors, because items with
    /// errors are left out.
    pub(super) fn into_catalog(self) -> Catalog {
        let teams = self.teams.into_iter().filter_map(|team| team.item.value);
        let units = self.units.into_iter().filter_map(|unit| unit.item.value);
        Catalog {
            teams: teams.map(|team| (team.name.clone(), team)).collect(),
            units: units.map(|unit| (unit.name.clone(), unit)).collect(),
        }
    }
}

/// Returns the smallest total size that must fit into the quota at one time for the unit to run, with a
/// description of it for error messages.
fn min_concurrent_size(unit: &Unit) -> (Size, &'static str) {
    match unit.kind {
        Kind::Service { replicas, .. } => {
            (unit.size.saturating_mul(replicas), "all replicas together")
        }
        Kind::Gang { tasks } => (unit.size.saturating_mul(tasks), "all tasks together"),
        Kind::Batch { .. } => (unit.size, "one task"),
    }
}

fn report_duplicates<T>(
    all: &[LocatedItem<T>],
    files: &[SourceFile<'_>],
    errors: &mut Vec<FileError>,
) {
    let mut first: BTreeMap<&str, &LocatedItem<T>> = BTreeMap::new();
    for located in all {
        let Some(name) = located.item.name.as_deref() else {
            continue;
        };
        if let Some(other) = first.get(name) {
            let path = files[other.file].path;
            let line = other.item.lines.name;
            errors.push(FileError {
                path: files[located.file].path.to_owned(),
                line: located.item.lines.name,
                key: format!("{}.name", located.item.key),
                message: format!("the name `{name}` is used twice; first at {path}:{line}"),
            });
        } else {
            first.insert(name, located);
        }
    }
}
