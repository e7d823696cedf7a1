//! The recent contents of each unit of work, including the one in force.

use std::collections::BTreeMap;

use model::Unit;
use serde::{Deserialize, Serialize};

/// The maximum number of settings that are kept of a service. A series of recalls can roll back up to that
/// many settings.
const MAX_SERVICE_SETTINGS: usize = 16;
/// The maximum number of settings that are kept of a batch or job. A recall also recognises their contents
/// under another name.
const MAX_BATCH_SETTINGS: usize = 4;

/// The content of a unit of work, and the version that put it in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Setting {
    /// The version that put it in force.
    pub version: u64,
    /// The content.
    pub unit: Unit,
}

/// The settings of all units by name, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct History(BTreeMap<String, Vec<Setting>>);

impl History {
    /// Adds a setting, and drops the oldest ones above the maximum.
    pub(crate) fn add(&mut self, version: u64, unit: &Unit) {
        let settings = self.0.entry(unit.name.clone()).or_default();
        let unit = unit.clone();
        let max_settings = if unit.kind.is_service() {
            MAX_SERVICE_SETTINGS
        } else {
            MAX_BATCH_SETTINGS
        };
        settings.push(Setting { version, unit });
        let surplus = settings.len().saturating_sub(max_settings);
        settings.drain(..surplus);
    }

    /// Returns the settings of a unit, oldest first.
    pub(crate) fn settings(&self, name: &str) -> &[Setting] {
        self.0.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns the setting that a version put in force.
    pub(crate) fn setting_at(&self, name: &str, version: u64) -> Option<&Setting> {
        let has_version = |setting: &&Setting| setting.version == version;
        self.settings(name).iter().find(has_version)
    }

    /// Removes all settings of a unit.
    pub(crate) fn remove(&mut self, name: &str) {
        self.0.remove(name);
    }
}

/// Whether two units have the same content apart from their names.
pub(crate) fn is_same_work(a: &Unit, b: &Unit) -> bool {
    let renamed = Unit {
        name: b.name.clone(),
        ..a.clone()
    };
    renamed == *b
}
