//! Validation of submissions, and their merging into one entry.

use model::Unit;

use crate::{
    Change, ChangeError, Config, Conflict, Entry, RecallTarget, Submission, history::is_same_work,
    state::MAX_BASE_AGE,
};

/// The maximum number of changes in one entry, unless a single submission has more.
const CHANGES_PER_ENTRY: usize = 200;

/// A submission and the version that it is based on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The submission.
    pub submission: Submission,
    /// The version that the submitter's changes are based on.
    pub base: u64,
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal is part of the entry.
    Merged,
    /// The proposal has to be merged again once the entry is committed: it affects the same items as
    /// another proposal of the entry, or the entry is full.
    Deferred,
    /// The proposal would change nothing.
    Unchanged,
    /// The proposal has been committed before, as part of this version.
    AlreadyCommitted {
        /// The version.
        version: u64,
    },
    /// The proposal is refused.
    Refused(ChangeError),
}

/// The result of merging proposals into one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Merge {
    /// The entry, or `None` if no proposal changes anything.
    pub entry: Option<Entry>,
    /// The outcome of each proposal, in the order of the proposals.
    pub outcomes: Vec<Outcome>,
}

impl Config {
    /// Merges proposals into the entry of the next version.
    ///
    /// The configuration itself does not change: the entry has to be committed and passed to
    /// [`Self::apply`].
    #[must_use]
    pub fn merge(&self, proposals: &[Proposal]) -> Merge {
        let version = self.version() + 1;
        // Copying the state is expensive, and the first submission of the entry does not need a copy.
        let mut scratch: Option<Self> = None;
        let mut submissions: Vec<Submission> = Vec::new();
        let mut changes = 0;
        let mut outcomes = Vec::new();
        for proposal in proposals {
            if let Some(first) = submissions.first()
                && scratch.is_none()
            {
                let copy = scratch.insert(self.clone());
                copy.apply_submission(version, first);
            }
            let outcome = match scratch.as_ref().unwrap_or(self).prepare(proposal) {
                Ok(prepared) => {
                    let n = prepared.changes.len();
                    if changes > 0 && changes + n > CHANGES_PER_ENTRY {
                        Outcome::Deferred
                    } else {
                        if let Some(scratch) = &mut scratch {
                            scratch.apply_submission(version, &prepared);
                        }
                        submissions.push(prepared);
                        changes += n;
                        Outcome::Merged
                    }
                }
                // An error that the entry's other submissions cause is not final, because they may not be
                // committed.
                Err(outcome) if submissions.is_empty() => outcome,
                Err(_) => self.prepare(proposal).err().unwrap_or(Outcome::Deferred),
            };
            outcomes.push(outcome);
        }
        let entry = (!submissions.is_empty()).then_some(Entry {
            version,
            submissions,
        });
        Merge { entry, outcomes }
    }

    /// Returns the submission as it would be applied now: without changes that have no effect, and with
    /// the changes that follow from its recalls.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the proposal if it cannot be part of an entry.
    fn prepare(&self, proposal: &Proposal) -> Result<Submission, Outcome> {
        let submission = &proposal.submission;
        if let Some(record) = self.submissions.get(&submission.id) {
            let version = record.version;
            if record.fingerprint == submission.fingerprint {
                return Err(Outcome::AlreadyCommitted { version });
            }
            let id = submission.id.clone();
            return Err(Outcome::Refused(ChangeError::IdReused { id, version }));
        }
        self.check_base(proposal.base).map_err(Outcome::Refused)?;
        for change in &submission.changes {
            self.check_change(change).map_err(Outcome::Refused)?;
        }
        let has_effect = |change: &&Change| self.diff_change(change).is_some();
        let mut changes: Vec<Change> = submission
            .changes
            .iter()
            .filter(has_effect)
            .cloned()
            .collect();
        if changes.is_empty() {
            return Err(Outcome::Unchanged);
        }
        self.check_conflicts(proposal.base, &changes)
            .map_err(Outcome::Refused)?;
        self.add_recall_effects(&mut changes);
        Ok(Submission {
            changes,
            ..submission.clone()
        })
    }

    /// Checks that the base version is known and recent enough to detect conflicts with later changes.
    fn check_base(&self, base: u64) -> Result<(), ChangeError> {
        let newest = self.version();
        let oldest = newest.saturating_sub(MAX_BASE_AGE);
        if base > newest {
            Err(ChangeError::UnknownBase { base, newest })
        } else if base < oldest {
            Err(ChangeError::OldBase { base, oldest })
        } else {
            Ok(())
        }
    }

    /// Checks a change against the current state. Changes without effect pass.
    fn check_change(&self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::SetUnit(unit) if self.units().get(&unit.name) != Some(unit) => {
                self.check_not_recalled(unit)
            }
            Change::RemoveUnit(name) if !self.units().contains_key(name) => {
                Err(ChangeError::NoUnit { name: name.clone() })
            }
            Change::Recall(target) if !self.recalls().contains_key(target) => {
                self.check_recall_target(target)
            }
            Change::Lift(target) if !self.recalls().contains_key(target) => {
                let target = target.clone();
                Err(ChangeError::NotRecalled { target })
            }
            _ => Ok(()),
        }
    }

    /// Refuses to publish a unit whose name or content is recalled. A recall of a batch or job applies to its name, and to its contents
    /// under any name. A recall of a service's setting applies to its content.
    fn check_not_recalled(&self, unit: &Unit) -> Result<(), ChangeError> {
        let recalled_by = self.recalls().iter().find(|(target, recall)| match target {
            RecallTarget::Batch(name) => {
                *name == unit.name
                    || recall
                        .contents
                        .iter()
                        .any(|content| is_same_work(content, unit))
            }
            RecallTarget::Setting { service, .. } => {
                *service == unit.name && recall.contents.contains(unit)
            }
            RecallTarget::Worker(_) => false,
        });
        match recalled_by {
            None => Ok(()),
            Some((target, recall)) => Err(ChangeError::Recalled {
                item: format!("unit/{}", unit.name),
                target: target.clone(),
                author: recall.author.clone(),
                version: recall.version,
            }),
        }
    }

    /// Checks that the target of a recall exists.
    fn check_recall_target(&self, target: &RecallTarget) -> Result<(), ChangeError> {
        let reason = match target {
            RecallTarget::Worker(_) => None,
            RecallTarget::Batch(name) => match self.history.settings(name).last() {
                None => Some("no batch or job of this name is known".to_owned()),
                Some(setting) if setting.unit.kind.is_service() => {
                    Some("it is a service; recall one of its settings".to_owned())
                }
                Some(_) => None,
            },
            RecallTarget::Setting { service, version } => {
                let setting = self.history.setting_at(service, *version);
                let is_setting = setting.is_some_and(|setting| setting.unit.kind.is_service());
                (!is_setting).then(|| self.known_settings(service))
            }
        };
        reason.map_or(Ok(()), |reason| {
            let target = target.clone();
            Err(ChangeError::NoTarget { target, reason })
        })
    }

    /// Returns the text that lists the known settings of a service.
    fn known_settings(&self, service: &str) -> String {
        let settings = self.history.settings(service).iter();
        let versions: Vec<String> = settings.map(|s| s.version.to_string()).collect();
        if versions.is_empty() {
            "no service of this name is known".to_owned()
        } else {
            format!("its settings are of versions {}", versions.join(", "))
        }
    }

    /// Refuses changes of items that were changed after the base version. Recalls never conflict: a recall
    /// must not fail because of a concurrent change.
    fn check_conflicts(&self, base: u64, changes: &[Change]) -> Result<(), ChangeError> {
        let checked_changes = changes
            .iter()
            .filter(|change| !matches!(change, Change::Recall(_)));
        let conflicts: Vec<Conflict> = checked_changes
            .filter_map(|change| {
                let item = change.item();
                let touched = self.touched.get(&item).filter(|t| t.version > base)?;
                Some(Conflict {
                    item,
                    keys: touched.keys.clone(),
                    author: touched.author.clone(),
                    version: touched.version,
                })
            })
            .collect();
        if conflicts.is_empty() {
            Ok(())
        } else {
            Err(ChangeError::Conflict { conflicts, base })
        }
    }

    /// Adds the changes that follow from recalls: a recalled batch is removed, and a service whose content is
    /// recalled returns to its newest content that is not recalled.
    fn add_recall_effects(&self, changes: &mut Vec<Change>) {
        let targets: Vec<RecallTarget> = changes
            .iter()
            .filter_map(|change| match change {
                Change::Recall(target) => Some(target.clone()),
                _ => None,
            })
            .collect();
        let mut effects: Vec<Change> = Vec::new();
        for target in &targets {
            let effect = match target {
                RecallTarget::Batch(name) if self.units().contains_key(name) => {
                    Some(Change::RemoveUnit(name.clone()))
                }
                RecallTarget::Setting { service, .. } => self.roll_back(service, &targets),
                RecallTarget::Batch(_) | RecallTarget::Worker(_) => None,
            };
            effects.extend(effect.filter(|effect| !effects.contains(effect)));
        }
        changes.append(&mut effects);
    }

    /// Returns the change that replaces the content of a service if that content is recalled. A service
    /// without any content that is not recalled is removed.
    fn roll_back(&self, service: &str, new_recalls: &[RecallTarget]) -> Option<Change> {
        let content = self.units().get(service)?;
        let is_of_service = |target: &RecallTarget| matches!(target, RecallTarget::Setting { service: name, .. } if name == service);
        let mut recalled: Vec<Unit> = Vec::new();
        for target in new_recalls.iter().filter(|target| is_of_service(target)) {
            recalled.append(&mut self.contents_of(target));
        }
        for (_, recall) in self
            .recalls()
            .iter()
            .filter(|(target, _)| is_of_service(target))
        {
            recalled.extend_from_slice(&recall.contents);
        }
        if !recalled.contains(content) {
            return None;
        }
        let settings = self.history.settings(service).iter().rev();
        let replacement = settings
            .map(|s| &s.unit)
            .find(|unit| !recalled.contains(unit));
        Some(match replacement {
            Some(unit) => Change::SetUnit(unit.clone()),
            None => Change::RemoveUnit(service.to_owned()),
        })
    }
}
