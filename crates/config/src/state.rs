//! The state that the entries add up to.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use model::{DomainId, Team, Unit, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{
    ApplyError, Change, Entry, ItemChange, RecallTarget, Setting, Submission,
    diff::{domain_fields, item_change, recall_fields, team_fields, unit_fields},
    history::History,
};

/// How many versions back a change can be based: some three days at the target's rate of changes.
pub(crate) const BASE_WINDOW: u64 = 10_000;
/// The most submissions whose ids are remembered.
const SUBMISSIONS_KEPT: usize = 1_024;

/// The newest change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Touched {
    pub(crate) version: u64,
    pub(crate) author: String,
    pub(crate) keys: Vec<String>,
    /// Whether the change has removed the item.
    removed: bool,
}

/// A recall in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Recall {
    /// The version that put it in force.
    pub version: u64,
    /// Who has recalled.
    pub author: String,
    /// The recalled contents, by which a publication of the same content is recognised.
    pub contents: Vec<Unit>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct SubmissionMark {
    pub(crate) version: u64,
    pub(crate) fingerprint: u64,
}

/// All settings in force at one version.
///
/// It depends on the entries alone: all nodes of one version have the same state, to the byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Config {
    version: u64,
    teams: BTreeMap<String, Team>,
    units: BTreeMap<String, Unit>,
    recalls: BTreeMap<RecallTarget, Recall>,
    evacuated: BTreeSet<DomainId>,
    pub(crate) history: History,
    pub(crate) touched: BTreeMap<String, Touched>,
    pub(crate) submissions: BTreeMap<String, SubmissionMark>,
    submission_order: VecDeque<String>,
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

    /// The recalled worker VMs.
    pub fn recalled_workers(&self) -> impl Iterator<Item = WorkerId> {
        self.recalls.keys().filter_map(|target| match target {
            RecallTarget::Worker(worker) => Some(*worker),
            _ => None,
        })
    }

    /// The names of the recalled batches and jobs.
    pub fn recalled_batches(&self) -> impl Iterator<Item = &str> {
        self.recalls.keys().filter_map(|target| match target {
            RecallTarget::Batch(name) => Some(name.as_str()),
            _ => None,
        })
    }

    /// The content of a service that is in force, and the version that put it in force.
    #[must_use]
    pub fn setting_of(&self, service: &str) -> Option<&Setting> {
        let unit = self.units.get(service)?;
        let setting = self.history.of(service).last()?;
        unit.kind.is_service().then_some(setting)
    }

    /// The contents of a unit that are kept, oldest first.
    #[must_use]
    pub fn retained_settings(&self, name: &str) -> &[Setting] {
        self.history.of(name)
    }

    /// Whether the domain's work is to be taken elsewhere.
    #[must_use]
    pub fn is_evacuated(&self, domain: DomainId) -> bool {
        self.evacuated.contains(&domain)
    }

    /// The version that last removed a unit of this name; 0 if none has.
    ///
    /// Work that is published again after a removal is new work, also where its content is the same.
    #[must_use]
    pub fn removed_at(&self, name: &str) -> u64 {
        let touched = self.touched.get(&removal_item(name));
        touched.map_or(0, |touched| touched.version)
    }

    /// The version that a submission of this id is part of, if it is one of the newest thousand.
    #[must_use]
    pub fn submitted_in(&self, id: &str) -> Option<u64> {
        self.submissions.get(id).map(|mark| mark.version)
    }

    /// What changes would change, item by item. Changes of nothing are left out.
    #[must_use]
    pub fn diff(&self, changes: &[Change]) -> Vec<ItemChange> {
        changes.iter().filter_map(|c| self.diff_one(c)).collect()
    }

    pub(crate) fn diff_one(&self, change: &Change) -> Option<ItemChange> {
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

    fn recall_fields(&self, target: &RecallTarget) -> Vec<(&'static str, String)> {
        if self.recalls.contains_key(target) {
            recall_fields(target)
        } else {
            Vec::new()
        }
    }

    fn domain_fields(&self, domain: DomainId) -> Vec<(&'static str, String)> {
        if self.is_evacuated(domain) {
            domain_fields()
        } else {
            Vec::new()
        }
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
        for submission in &entry.submissions {
            self.apply_submission(entry.version, submission);
        }
        self.version = entry.version;
        self.forget_old();
        Ok(())
    }

    /// Makes the changes of a submission as part of the version `version`.
    pub(crate) fn apply_submission(&mut self, version: u64, submission: &Submission) {
        for change in &submission.changes {
            self.touch(version, &submission.author, change);
            self.apply_change(version, &submission.author, change);
        }
        if !submission.id.is_empty() {
            let mark = SubmissionMark {
                version,
                fingerprint: submission.fingerprint,
            };
            if self
                .submissions
                .insert(submission.id.clone(), mark)
                .is_none()
            {
                self.submission_order.push_back(submission.id.clone());
            }
        }
    }

    fn touch(&mut self, version: u64, author: &str, change: &Change) {
        let keys = self.diff_one(change).map_or_else(Vec::new, |item| {
            item.keys.into_iter().map(|change| change.key).collect()
        });
        let removed = matches!(
            change,
            Change::RemoveUnit(_) | Change::Lift(_) | Change::Readmit(_)
        );
        let touched = Touched {
            version,
            author: author.to_owned(),
            keys,
            removed,
        };
        if let Change::RemoveUnit(name) = change {
            self.touched.insert(removal_item(name), touched.clone());
        }
        self.touched.insert(change.item(), touched);
    }

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

    /// The contents that a recall of this target is about.
    pub(crate) fn contents_of(&self, target: &RecallTarget) -> Vec<Unit> {
        match target {
            RecallTarget::Batch(name) => {
                let settings = self.history.of(name).iter();
                settings.map(|setting| setting.unit.clone()).collect()
            }
            RecallTarget::Setting { service, version } => {
                let setting = self.history.at(service, *version);
                setting.map(|s| s.unit.clone()).into_iter().collect()
            }
            RecallTarget::Worker(_) => Vec::new(),
        }
    }

    /// Bounds what is remembered of items and submissions that are gone.
    fn forget_old(&mut self) {
        while self.submission_order.len() > SUBMISSIONS_KEPT {
            if let Some(id) = self.submission_order.pop_front() {
                self.submissions.remove(&id);
            }
        }
        let oldest = self.version.saturating_sub(BASE_WINDOW);
        // The whole map is walked once in a while only: a version must be cheap to apply.
        if oldest > 0 && self.version.is_multiple_of(1_000) {
            let (units, history) = (&self.units, &mut self.history);
            self.touched.retain(|item, touched| {
                let keep = !touched.removed || touched.version > oldest;
                if !keep
                    && let Some(name) = item.strip_prefix("unit/")
                    && !units.contains_key(name)
                {
                    history.forget(name);
                }
                keep
            });
        }
    }
}

/// Where the removal of a unit is remembered when the unit is published again.
fn removal_item(name: &str) -> String {
    format!("removal/{name}")
}
