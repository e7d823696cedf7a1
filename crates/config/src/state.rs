//! The state that the entries add up to.

use std::collections::{BTreeMap, BTreeSet};

use model::{Team, Unit};
use serde::{Deserialize, Serialize};

use crate::{
    ApplyError, ChangeError, ItemChange, RecallTarget,
    diff::{item_change, recall_fields, team_fields, unit_fields},
};

/// One change of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a team or changes it.
    SetTeam(Team),
    /// Adds a unit of work or changes it.
    SetUnit(Unit),
    /// Removes a unit of work.
    RemoveUnit(String),
    /// Puts a recall in force.
    Recall(RecallTarget),
    /// Lifts a recall.
    Lift(RecallTarget),
}

impl Change {
    /// The name of the item that the change is about, such as `unit/dealer-lookup`.
    #[must_use]
    pub fn item(&self) -> String {
        match self {
            Self::SetTeam(team) => format!("team/{}", team.name),
            Self::SetUnit(unit) => format!("unit/{}", unit.name),
            Self::RemoveUnit(name) => format!("unit/{name}"),
            Self::Recall(target) | Self::Lift(target) => format!("recall/{target:?}"),
        }
    }
}

/// A version: the changes that lead to it from the version before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that the entry makes; one more than that before.
    pub version: u64,
    /// Who made the changes.
    pub author: String,
    /// The changes.
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Touched {
    version: u64,
    author: String,
}

/// All settings in force at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    version: u64,
    teams: BTreeMap<String, Team>,
    units: BTreeMap<String, Unit>,
    recalls: BTreeSet<RecallTarget>,
    touched: BTreeMap<String, Touched>,
}

impl Config {
    /// The version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The teams by name.
    #[must_use]
    pub const fn teams(&self) -> &BTreeMap<String, Team> {
        &self.teams
    }

    /// The units of work by name.
    #[must_use]
    pub const fn units(&self) -> &BTreeMap<String, Unit> {
        &self.units
    }

    /// The recalls in force.
    #[must_use]
    pub const fn recalls(&self) -> &BTreeSet<RecallTarget> {
        &self.recalls
    }

    /// What changes would change, item by item. Changes of nothing are left out.
    #[must_use]
    pub fn diff(&self, changes: &[Change]) -> Vec<ItemChange> {
        changes.iter().filter_map(|c| self.diff_one(c)).collect()
    }

    fn diff_one(&self, change: &Change) -> Option<ItemChange> {
        let item = change.item();
        let (before, after) = match change {
            Change::SetTeam(team) => {
                let before = self.teams.get(&team.name);
                (team_fields(before), team_fields(Some(team)))
            }
            Change::SetUnit(unit) => {
                let before = self.units.get(&unit.name);
                (unit_fields(before), unit_fields(Some(unit)))
            }
            Change::RemoveUnit(name) => {
                let before = self.units.get(name);
                (unit_fields(before), unit_fields(None))
            }
            Change::Recall(target) => (Vec::new(), recall_fields(target)),
            Change::Lift(target) => (recall_fields(target), Vec::new()),
        };
        item_change(&item, &before, &after)
    }

    /// The entry that makes changes which were drawn up against the version `base`.
    ///
    /// # Errors
    ///
    /// Another change of the same item came after `base`, or the content is recalled.
    pub fn prepare(
        &self,
        author: &str,
        base: u64,
        changes: Vec<Change>,
    ) -> Result<Entry, ChangeError> {
        if base > self.version {
            let newest = self.version;
            return Err(ChangeError::UnknownBase { base, newest });
        }
        for change in &changes {
            self.check(base, change)?;
        }
        Ok(Entry {
            version: self.version + 1,
            author: author.to_owned(),
            changes,
        })
    }

    fn check(&self, base: u64, change: &Change) -> Result<(), ChangeError> {
        let item = change.item();
        if let Some(touched) = self.touched.get(&item).filter(|t| t.version > base) {
            return Err(ChangeError::Conflict {
                item,
                author: touched.author.clone(),
                version: touched.version,
                base,
            });
        }
        if let Change::SetUnit(unit) = change {
            let batch = RecallTarget::Batch(unit.name.clone());
            if self.recalls.contains(&batch) {
                return Err(ChangeError::Recalled { item });
            }
        }
        Ok(())
    }

    /// Makes the next version.
    ///
    /// # Errors
    ///
    /// The entry does not follow the present version; nothing is changed.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), ApplyError> {
        if entry.version != self.version + 1 {
            return Err(ApplyError {
                entry: entry.version,
                version: self.version,
            });
        }
        self.version = entry.version;
        for change in &entry.changes {
            let touched = Touched {
                version: entry.version,
                author: entry.author.clone(),
            };
            self.touched.insert(change.item(), touched);
            self.apply_change(change);
        }
        Ok(())
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::SetTeam(team) => {
                self.teams.insert(team.name.clone(), team.clone());
            }
            Change::SetUnit(unit) => {
                self.units.insert(unit.name.clone(), unit.clone());
            }
            Change::RemoveUnit(name) => {
                self.units.remove(name);
            }
            Change::Recall(target) => {
                self.recalls.insert(target.clone());
            }
            Change::Lift(target) => {
                self.recalls.remove(target);
            }
        }
    }
}
