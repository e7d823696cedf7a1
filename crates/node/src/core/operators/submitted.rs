//! The messages that operators get for their submissions, and a check of submissions.

use config::{Change, Config, Submission};
use model::DomainId;

/// Returns a line that says what a submission did. For a recall it names the effects on units.
pub(super) fn message(version: u64, submission: &Submission) -> String {
    let is_recall = |change: &Change| matches!(change, Change::Recall(_));
    if !submission.changes.iter().any(is_recall) {
        return format!("version {version}, {} changes", submission.changes.len());
    }
    let texts: Vec<String> = submission
        .changes
        .iter()
        .map(|change| match change {
            Change::Recall(target) => format!("{target} is recalled"),
            Change::SetUnit(unit) => format!("{} returns to its last good content", unit.name),
            Change::RemoveUnit(name) => format!("{name} is removed"),
            other => other.item(),
        })
        .collect();
    format!("version {version}: {}", texts.join(", "))
}

/// Whether a submission evacuates a domain and would leave no domain that takes work.
pub(super) fn evacuates_last(
    submission: &Submission,
    current: &Config,
    members: &[DomainId],
) -> bool {
    let leaves = |domain: &DomainId| {
        current.is_evacuated(*domain) || submission.changes.contains(&Change::Evacuate(*domain))
    };
    let evacuates = |change: &Change| matches!(change, Change::Evacuate(_));
    submission.changes.iter().any(evacuates) && members.iter().all(leaves)
}
