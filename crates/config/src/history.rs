//! The contents that each unit of work has had.

use std::collections::BTreeMap;

use model::Unit;
use serde::{Deserialize, Serialize};

/// The most contents kept of a service. A recall can undo as many settings in a row.
const SERVICE_KEPT: usize = 16;
/// The most contents kept of a batch or job: a recall recognises these under another name too.
const WORK_KEPT: usize = 4;

/// A unit's content and the version that put it in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Setting {
    /// The version that put it in force.
    pub version: u64,
    /// The content.
    pub unit: Unit,
}

/// The contents of all units, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct History(BTreeMap<String, Vec<Setting>>);

impl History {
    pub(crate) fn add(&mut self, version: u64, unit: &Unit) {
        let settings = self.0.entry(unit.name.clone()).or_default();
        let unit = unit.clone();
        let kept = if unit.kind.is_service() {
            SERVICE_KEPT
        } else {
            WORK_KEPT
        };
        settings.push(Setting { version, unit });
        let surplus = settings.len().saturating_sub(kept);
        settings.drain(..surplus);
    }

    pub(crate) fn of(&self, name: &str) -> &[Setting] {
        self.0.get(name).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn at(&self, name: &str, version: u64) -> Option<&Setting> {
        let found = |setting: &&Setting| setting.version == version;
        self.of(name).iter().find(found)
    }

    pub(crate) fn forget(&mut self, name: &str) {
        self.0.remove(name);
    }
}

/// Whether two units are the same work under two names.
pub(crate) fn same_work(a: &Unit, b: &Unit) -> bool {
    let renamed = Unit {
        name: b.name.clone(),
        ..a.clone()
    };
    renamed == *b
}
