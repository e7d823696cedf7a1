//! The checks of a submission, and its merging with others into one entry.

use model::Unit;

use crate::{
    Change, ChangeError, Config, Conflict, Entry, RecallTarget, Submission, history::same_work,
    state::BASE_WINDOW,
};

/// The most changes of one entry, unless one submission alone has more.
const CHANGES_PER_ENTRY: usize = 200;

/// A submission and the version that it was drawn up against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The submission.
    pub submission: Submission,
    /// The version that it is based on.
    pub base: u64,
}

/// What becomes of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It goes into the entry.
    Merged,
    /// It has to wait for the entry to be committed, then to be looked at again: it concerns the same
    /// items as another proposal of the entry, or there is no room.
    Deferred,
    /// It would change nothing.
    Unchanged,
    /// It was committed before, as part of this version.
    AlreadyCommitted {
        /// The version.
        version: u64,
    },
    /// It is refused.
    Refused(ChangeError),
}

/// Proposals merged into one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Merge {
    /// The entry; `None` where no proposal changes anything.
    pub entry: Option<Entry>,
    /// What becomes of each proposal, in their order.
    pub outcomes: Vec<Outcome>,
}

impl Config {
    /// Merges proposals into the entry of the next version.
    #[must_use]
    pub fn merge(&self, proposals: &[Proposal]) -> Merge {
        let version = self.version() + 1;
        // A copy of the state is dear: the first submission of the entry needs none.
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
                // What the entry's other submissions cause is no answer yet: they may not be committed.
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

    /// The submission as it would be made now: without changes of nothing, with what its recalls
    /// bring along.
    fn prepare(&self, proposal: &Proposal) -> Result<Submission, Outcome> {
        let submission = &proposal.submission;
        if let Some(mark) = self.submissions.get(&submission.id) {
            let version = mark.version;
            if mark.fingerprint == submission.fingerprint {
                return Err(Outcome::AlreadyCommitted { version });
            }
            let id = submission.id.clone();
            return Err(Outcome::Refused(ChangeError::IdReused { id, version }));
        }
        self.check_base(proposal.base).map_err(Outcome::Refused)?;
        for change in &submission.changes {
            self.check_change(change).map_err(Outcome::Refused)?;
        }
        let news = |change: &&Change| self.diff_one(change).is_some();
        let mut changes: Vec<Change> = submission.changes.iter().filter(news).cloned().collect();
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

    fn check_base(&self, base: u64) -> Result<(), ChangeError> {
        let newest = self.version();
        let oldest = newest.saturating_sub(BASE_WINDOW);
        if base > newest {
            Err(ChangeError::UnknownBase { base, newest })
        } else if base < oldest {
            Err(ChangeError::OldBase { base, oldest })
        } else {
            Ok(())
        }
    }

    fn check_change(&self, change: &Change) -> Result<(), ChangeError> {
        match change {
            Change::SetUnit(unit) if self.units().get(&unit.name) != Some(unit) => {
                self.check_not_recalled(unit)
            }
            Change::RemoveUnit(name) if !self.units().contains_key(name) => {
                Err(ChangeError::NoUnit { name: name.clone() })
            }
            Change::Recall(target) if !self.recalls().contains_key(target) => {
                self.check_target(target)
            }
            Change::Lift(target) if !self.recalls().contains_key(target) => {
                let target = target.clone();
                Err(ChangeError::NotRecalled { target })
            }
            _ => Ok(()),
        }
    }

    /// Refuses content that is recalled: a batch by its name, and by its content under any name; a
    /// service's setting by its content.
    fn check_not_recalled(&self, unit: &Unit) -> Result<(), ChangeError> {
        let hit = self.recalls().iter().find(|(target, recall)| match target {
            RecallTarget::Batch(name) => {
                *name == unit.name
                    || recall
                        .contents
                        .iter()
                        .any(|content| same_work(content, unit))
            }
            RecallTarget::Setting { service, .. } => {
                *service == unit.name && recall.contents.contains(unit)
            }
            RecallTarget::Worker(_) => false,
        });
        match hit {
            None => Ok(()),
            Some((target, recall)) => Err(ChangeError::Recalled {
                item: format!("unit/{}", unit.name),
                target: target.clone(),
                author: recall.author.clone(),
                version: recall.version,
            }),
        }
    }

    fn check_target(&self, target: &RecallTarget) -> Result<(), ChangeError> {
        let reason = match target {
            RecallTarget::Worker(_) => None,
            RecallTarget::Batch(name) => match self.history.of(name).last() {
                None => Some("no batch or job of this name is known".to_owned()),
                Some(setting) if setting.unit.kind.is_service() => {
                    Some("it is a service; recall one of its settings".to_owned())
                }
                Some(_) => None,
            },
            RecallTarget::Setting { service, version } => {
                let known = self.history.at(service, *version);
                let is_setting = known.is_some_and(|setting| setting.unit.kind.is_service());
                (!is_setting).then(|| self.known_settings(service))
            }
        };
        reason.map_or(Ok(()), |reason| {
            let target = target.clone();
            Err(ChangeError::NoTarget { target, reason })
        })
    }

    fn known_settings(&self, service: &str) -> String {
        let settings = self.history.of(service).iter();
        let versions: Vec<String> = settings.map(|s| s.version.to_string()).collect();
        if versions.is_empty() {
            "no service of this name is known".to_owned()
        } else {
            format!("its settings are of versions {}", versions.join(", "))
        }
    }

    /// A recall conflicts with nothing: it must not fail because somebody else was busy.
    fn check_conflicts(&self, base: u64, changes: &[Change]) -> Result<(), ChangeError> {
        let checked = changes
            .iter()
            .filter(|change| !matches!(change, Change::Recall(_)));
        let conflicts: Vec<Conflict> = checked
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

    /// Adds what the recalls bring along: a recalled batch is removed, and a service whose content is
    /// recalled returns to its newest content that is not.
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
                RecallTarget::Setting { service, .. } => self.undo(service, &targets),
                RecallTarget::Batch(_) | RecallTarget::Worker(_) => None,
            };
            effects.extend(effect.filter(|effect| !effects.contains(effect)));
        }
        changes.append(&mut effects);
    }

    /// The change that takes a service out of a recalled content, if its content is one.
    fn undo(&self, service: &str, new_recalls: &[RecallTarget]) -> Option<Change> {
        let content = self.units().get(service)?;
        let of_service = |target: &RecallTarget| matches!(target, RecallTarget::Setting { service: name, .. } if name == service);
        let mut recalled: Vec<Unit> = Vec::new();
        for target in new_recalls.iter().filter(|target| of_service(target)) {
            recalled.append(&mut self.contents_of(target));
        }
        for (_, recall) in self
            .recalls()
            .iter()
            .filter(|(target, _)| of_service(target))
        {
            recalled.extend_from_slice(&recall.contents);
        }
        if !recalled.contains(content) {
            return None;
        }
        let settings = self.history.of(service).iter().rev();
        let good = settings
            .map(|s| &s.unit)
            .find(|unit| !recalled.contains(unit));
        Some(match good {
            Some(unit) => Change::SetUnit(unit.clone()),
            None => Change::RemoveUnit(service.to_owned()),
        })
    }
}
