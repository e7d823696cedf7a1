//! Changes, the submissions that contain them, and the entries that submissions are merged into.

use model::{DomainId, Team, Unit};
use serde::{Deserialize, Serialize};

use crate::RecallTarget;

/// One change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// Adds or replaces a team.
    SetTeam(Team),
    /// Adds or replaces a unit of work.
    SetUnit(Unit),
    /// Removes a unit of work.
    RemoveUnit(String),
    /// Puts a recall in force, which withdraws its target until it is lifted.
    Recall(RecallTarget),
    /// Lifts a recall.
    Lift(RecallTarget),
    /// Moves all work out of a failure domain.
    Evacuate(DomainId),
    /// Allows a failure domain to run work again.
    Readmit(DomainId),
}

impl Change {
    /// Returns the name of the item that the change affects, such as `unit/dealer-lookup`.
    #[must_use]
    pub fn item(&self) -> String {
        match self {
            Self::SetTeam(team) => format!("team/{}", team.name),
            Self::SetUnit(unit) => format!("unit/{}", unit.name),
            Self::RemoveUnit(name) => format!("unit/{name}"),
            Self::Recall(target) | Self::Lift(target) => format!("recall/{target}"),
            Self::Evacuate(domain) | Self::Readmit(domain) => format!("domain/{domain}"),
        }
    }
}

/// The changes of one call by an operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// The id that the submitter chose, by which a resend is recognised; empty if there is none.
    pub id: String,
    /// A hash of the changes, by which a resend is told from another submission with the same id.
    pub fingerprint: u64,
    /// The name of the submitter.
    pub author: String,
    /// The changes, in the order in which they are made.
    pub changes: Vec<Change>,
}

impl Submission {
    /// Creates a submission of the given changes.
    #[must_use]
    pub fn new(id: &str, author: &str, changes: Vec<Change>) -> Self {
        Self {
            id: id.to_owned(),
            fingerprint: fingerprint(&changes),
            author: author.to_owned(),
            changes,
        }
    }
}

/// One version: the submissions that lead to it from the preceding version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The version that the entry leads to, which is the preceding version plus 1.
    pub version: u64,
    /// The submissions; no two of them change the same item.
    pub submissions: Vec<Submission>,
}

impl Entry {
    /// Returns the changes of all submissions in order.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.submissions
            .iter()
            .flat_map(|submission| &submission.changes)
    }
}

/// Returns a hash of the debug text of the changes.
///
/// It only serves to tell two submissions with the same id apart. Recalled contents are compared as
/// values, not by this hash.
fn fingerprint(changes: &[Change]) -> u64 {
    model::stable_hash(format!("{changes:?}").bytes())
}
