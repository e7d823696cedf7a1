//! What is checked across items and files: duplicate names, missing teams, quotas.

use std::collections::BTreeMap;

use super::{Catalog, SourceFile, items::Item};
use crate::{Kind, Size, Team, Unit, error::FileError};

/// An item and the file in which it stands.
#[derive(Clone, Debug)]
struct Placed<T> {
    file: usize,
    item: Item<T>,
}

/// All items of all files.
#[derive(Clone, Debug, Default)]
pub(super) struct Found {
    teams: Vec<Placed<Team>>,
    units: Vec<Placed<Unit>>,
    /// Whether there may be teams that could not be read.
    pub(super) incomplete: bool,
}

impl Found {
    pub(super) fn add_team(&mut self, file: usize, item: Item<Team>) {
        self.incomplete |= item.name.is_none();
        self.teams.push(Placed { file, item });
    }

    pub(super) fn add_unit(&mut self, file: usize, item: Item<Unit>) {
        self.units.push(Placed { file, item });
    }

    /// The faults that no file has by itself.
    pub(super) fn cross_faults(&self, files: &[SourceFile<'_>]) -> Vec<FileError> {
        let mut faults = Vec::new();
        duplicates(&self.teams, files, &mut faults);
        duplicates(&self.units, files, &mut faults);
        for unit in &self.units {
            self.check_team(unit, files, &mut faults);
        }
        faults
    }

    fn check_team(
        &self,
        placed: &Placed<Unit>,
        files: &[SourceFile<'_>],
        faults: &mut Vec<FileError>,
    ) {
        let Some(unit) = &placed.item.value else {
            return;
        };
        let has_name = |team: &&Placed<Team>| team.item.name.as_ref() == Some(&unit.team);
        let key = placed.item.key;
        let mut fault = |line, key: String, message| {
            faults.push(FileError {
                path: files[placed.file].path.to_owned(),
                line,
                key,
                message,
            });
        };
        match self.teams.iter().find(has_name) {
            None if self.incomplete => {}
            None => {
                let message = format!("no file has the team `{}`", unit.team);
                fault(placed.item.lines.team, format!("{key}.team"), message);
            }
            Some(team) => {
                let quota = team.item.value.as_ref().map(|team| team.quota);
                let (size, of_what) = least_size(unit);
                if let Some(quota) = quota.filter(|quota| !size.fits(quota)) {
                    let message = format!(
                        "{of_what} ({size}) can never fit into the quota of the team `{}` ({quota})",
                        unit.team
                    );
                    fault(placed.item.lines.size, format!("{key}.size"), message);
                }
            }
        }
    }

    /// The teams and units. To be called where there is no fault.
    pub(super) fn catalog(self) -> Catalog {
        let teams = self.teams.into_iter().filter_map(|team| team.item.value);
        let units = self.units.into_iter().filter_map(|unit| unit.item.value);
        Catalog {
            teams: teams.map(|team| (team.name.clone(), team)).collect(),
            units: units.map(|unit| (unit.name.clone(), unit)).collect(),
        }
    }
}

/// What has to fit into the quota at a time for the unit to run as it is described.
fn least_size(unit: &Unit) -> (Size, &'static str) {
    match unit.kind {
        Kind::Service { replicas, .. } => {
            (unit.size.saturating_mul(replicas), "all replicas together")
        }
        Kind::Gang { tasks } => (unit.size.saturating_mul(tasks), "all tasks together"),
        Kind::Batch { .. } => (unit.size, "one task"),
    }
}

fn duplicates<T>(all: &[Placed<T>], files: &[SourceFile<'_>], faults: &mut Vec<FileError>) {
    let mut first: BTreeMap<&str, &Placed<T>> = BTreeMap::new();
    for placed in all {
        let Some(name) = placed.item.name.as_deref() else {
            continue;
        };
        if let Some(other) = first.get(name) {
            let path = files[other.file].path;
            let line = other.item.lines.name;
            faults.push(FileError {
                path: files[placed.file].path.to_owned(),
                line: placed.item.lines.name,
                key: format!("{}.name", placed.item.key),
                message: format!("the name `{name}` is used twice; first at {path}:{line}"),
            });
        } else {
            first.insert(name, placed);
        }
    }
}
