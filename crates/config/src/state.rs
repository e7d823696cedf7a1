//! The state that results from applying the entries in order.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::{DomainId, Team, Unit, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{
    ApplyError, Change, Entry, ItemChange, RecallTarget, Setting, Submission,
    diff::{domain_fields, item_change, recall_fields, team_fields, unit_fields},
    history::History,
};

/// The maximum age, in versions, of the version that a change is based on. At 3,200 changes a day, it
/// corresponds to about three days.
pub(crate) const MAX_BASE_AGE: u64 = 10_000;
/// The maximum number of submissions whose ids are kept.
const MAX_SUBMISSION_IDS: usize = 1_024;

/// The last change of an item, by which conflicting proposals are detected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LastChange {
    pub(crate) version: u64,
    pub(crate) author: String,
    pub(crate) keys: Vec<String>,
    /// Whether the change removed the item.
    removed: bool,
}

/// A recall in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recall {
    /// The version that put it in force.
    pub version: u64,
    /// The name of the operator who made the recall.
    pub author: String,
    /// The recalled contents. Publishing one of them again is refused.
    pub contents: Vec<Unit>,
}

/// A submission that was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SubmissionRecord {
    pub(crate) version: u64,
    pub(crate) fingerprint: u64,
}

/// The configuration at one version.
///
/// It depends only on the entries, so the states of all nodes at the same version are identical byte for byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    version: u64,
    teams: BTreeMap<String, Team>,
    units: BTreeMap<String, Unit>,
    recalls: BTreeMap<RecallTarget, Recall>,
    evacuated: BTreeSet<DomainId>,
    pub(crate) history: History,
    pub(crate) touched: BTreeMap<String, LastChange>,
    pub(crate) submissions: BTreeMap<String, SubmissionRecord>,
    submission_order: VecDeque<String>,
}

impl Config {
    /// Returns the version.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the teams by name.
    #[must_use]
    pub const fn teams(&self) -> &BTreeMap<String, Team> {
        &self.teams
    }

    /// Returns the units of work by name.
    #[must_use]
    pub const fn units(&self) -> &BTreeMap<String, Unit> {
        &self.units
    }

    /// Returns the recalls in force.
    #[must_use]
    pub const fn recalls(&self) -> &BTreeMap<RecallTarget, Recall> {
        &self.recalls
    }

    /// Whether the batch or job of this name is recalled.
    #[must_use]
    pub fn is_batch_recalled(&self, name: &str) -> bool {
        self.recalls
            .contains_key(&RecallTarget::Batch(name.to_owned()))
    }

    /// Whether the worker VM is recalled.
    #[must_use]
    pub fn is_worker_recalled(&self, worker: WorkerId) -> bool {
        self.recalls.contains_key(&RecallTarget::Worker(worker))
    }

    /// Returns the recalled worker VMs.
    pub fn recalled_workers(&self) -> impl Iterator<Item = WorkerId> {
        self.recalls.keys().filter_map(|target| match target {
            RecallTarget::Worker(worker) => Some(*worker),
            _ => None,
        })
    }

    /// Returns the names of the recalled batches and jobs.
    pub fn recalled_batches(&self) -> impl Iterator<Item = &str> {
        self.recalls.keys().filter_map(|target| match target {
            RecallTarget::Batch(name) => Some(name.as_str()),
            _ => None,
        })
    }

    /// Returns the content of a service that is in force, with the version that put it in force.
    #[must_use]
    pub fn setting_of(&self, service: &str) -> Option<&Setting> {
        let unit = self.units.get(service)?;
        let setting = self.history.settings(service).last()?;
        unit.kind.is_service().then_some(setting)
    }

    /// Returns the settings of a unit that are kept, oldest first.
    #[must_use]
    pub fn retained_settings(&self, name: &str) -> &[Setting] {
        self.history.settings(name)
    }

    /// Whether a failure domain is evacuated, so that its work moves elsewhere.
    #[must_use]
    pub fn is_evacuated(&self, domain: DomainId) -> bool {
        self.evacuated.contains(&domain)
    }

    /// Returns the version that last removed a unit of this name; 0 if none did.
    ///
    /// Work that is published again after a removal counts as new work, even if its content is the same.
    #[must_use]
    pub fn removed_at(&self, name: &str) -> u64 {
        let touched = self.touched.get(&removal_key(name));
        touched.map_or(0, |touched| touched.version)
    }

    /// Returns the version that contains the submission with this id, if it is one of the newest 1,024
    /// submissions.
    #[must_use]
    pub fn submitted_in(&self, id: &str) -> Option<u64> {
        self.submissions.get(id).map(|record| record.version)
    }

    /// Returns the effect of the changes on each item. Changes without effect are left out.
    #[must_use]
    pub fn diff(&self, changes: &[Change]) -> Vec<ItemChange> {
        changes.iter().filter_map(|c| self.diff_change(c)).collect()
    }

    /// Returns the effect of a change on its item, or `None` if it has no effect.
    pub(crate) fn diff_change(&self, change: &Change) -> Option<ItemChange> {
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
            Change::Recall(target) => (self.recall_fields(target), recall_fields(target)),
            Change::Lift(target) => (self.recall_fields(target), Vec::new()),
            Change::Evacuate(domain) => (self.domain_fields(*domain), domain_fields()),
            Change::Readmit(domain) => (self.domain_fields(*domain), Vec::new()),
        };
        item_change(&change.item(), &before, &after)
    }

    /// Returns the fields of a recall, or an empty list if it is not in force.
    fn recall_fields(&self, target: &RecallTarget) -> Vec<(&'static str, String)> {
        if self.recalls.contains_key(target) {
            recall_fields(target)
        } else {
            Vec::new()
        }
    }

    /// Returns the fields of a failure domain, or an empty list if it is not evacuated.
    fn domain_fields(&self, domain: DomainId) -> Vec<(&'static str, String)> {
        if self.is_evacuated(domain) {
            domain_fields()
        } else {
            Vec::new()
        }
    }

    /// Applies an entry, which leads to the next version.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the entry's version is not the current version plus 1.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), ApplyError> {
        if entry.version != self.version + 1 {
            return Err(ApplyError {
                entry: entry.version,
                version: self.version,
            });
        }
        for submission in &entry.submissions {
            self.apply_submission(entry.version, submission);
        }
        self.version = entry.version;
        self.prune();
        Ok(())
    }

    /// Applies the changes of a submission as part of the version `version`.
    pub(crate) fn apply_submission(&mut self, version: u64, submission: &Submission) {
        for change in &submission.changes {
            self.record_last_change(version, &submission.author, change);
            self.apply_change(version, &submission.author, change);
        }
        if !submission.id.is_empty() {
            let record = SubmissionRecord {
                version,
                fingerprint: submission.fingerprint,
            };
            if self
                .submissions
                .insert(submission.id.clone(), record)
                .is_none()
            {
                self.submission_order.push_back(submission.id.clone());
            }
        }
    }

    /// Records a change as the last change of its item.
    fn record_last_change(&mut self, version: u64, author: &str, change: &Change) {
        let keys = self.diff_change(change).map_or_else(Vec::new, |item| {
            item.keys.into_iter().map(|change| change.key).collect()
        });
        let removed = matches!(
            change,
            Change::RemoveUnit(_) | Change::Lift(_) | Change::Readmit(_)
        );
        let touched = LastChange {
            version,
            author: author.to_owned(),
            keys,
            removed,
        };
        if let Change::RemoveUnit(name) = change {
            self.touched.insert(removal_key(name), touched.clone());
        }
        self.touched.insert(change.item(), touched);
    }

    /// Applies one change.
    fn apply_change(&mut self, version: u64, author: &str, change: &Change) {
        match change {
            Change::SetTeam(team) => {
                self.teams.insert(team.name.clone(), team.clone());
            }
            Change::SetUnit(unit) => {
                self.history.add(version, unit);
                self.units.insert(unit.name.clone(), unit.clone());
            }
            Change::RemoveUnit(name) => {
                self.units.remove(name);
            }
            Change::Recall(target) => {
                let recall = Recall {
                    version,
                    author: author.to_owned(),
                    contents: self.contents_of(target),
                };
                self.recalls.entry(target.clone()).or_insert(recall);
            }
            Change::Lift(target) => {
                self.recalls.remove(target);
            }
            Change::Evacuate(domain) => {
                self.evacuated.insert(*domain);
            }
            Change::Readmit(domain) => {
                self.evacuated.remove(domain);
            }
        }
    }

    /// Returns the contents that a recall of this target covers.
    pub(crate) fn contents_of(&self, target: &RecallTarget) -> Vec<Unit> {
        match target {
            RecallTarget::Batch(name) => {
                let settings = self.history.settings(name).iter();
                settings.map(|setting| setting.unit.clone()).collect()
            }
            RecallTarget::Setting { service, version } => {
                let setting = self.history.setting_at(service, *version);
                setting.map(|s| s.unit.clone()).into_iter().collect()
            }
            RecallTarget::Worker(_) => Vec::new(),
        }
    }

    /// Removes old records of submissions and of removed items.
    fn prune(&mut self) {
        while self.submission_order.len() > MAX_SUBMISSION_IDS {
            if let Some(id) = self.submission_order.pop_front() {
                self.submissions.remove(&id);
            }
        }
        let oldest = self.version.saturating_sub(MAX_BASE_AGE);
        // The whole map is scanned only once per 1,000 versions, because a scan for each version would make
        // versions expensive to apply.
        if oldest > 0 && self.version.is_multiple_of(1_000) {
            let (units, history) = (&self.units, &mut self.history);
            self.touched.retain(|item, touched| {
                let keep = !touched.removed || touched.version > oldest;
                if !keep
                    && let Some(name) = item.strip_prefix("unit/")
                    && !units.contains_key(name)
                {
                    history.remove(name);
                }
                keep
            });
        }
    }
}

/// Returns the key under which the removal of a unit stays recorded when the unit is published again.
fn removal_key(name: &str) -> String {
    format!("removal/{name}")
}
