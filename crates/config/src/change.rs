//! Changes, and the entries that carry them.

use model::{DomainId, Team, Unit};
use serde::{Deserialize, Serialize};

use crate::RecallTarget;

/// One change of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
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
    /// Takes the work out of a failure domain.
    Evacuate(DomainId),
    /// Lets a failure domain take work again.
    Readmit(DomainId),
}

impl Change {
    /// The name of the item that the change is about, such as `unit/dealer-lookup`.
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

/// The changes of one operator's call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the submitter, so that a resend is recognised; empty where there is none.
    pub id: String,
    /// Tells whether another submission of the same id is the same one.
    pub fingerprint: u64,
    /// Who submits.
    pub author: String,
    /// The changes, in the order in which they are made.
    pub changes: Vec<Change>,
}

impl Submission {
    /// A submission of these changes.
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

/// A version: the submissions that lead to it from the version before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The version that the entry makes; one more than that before.
    pub version: u64,
    /// The submissions; no two of them change the same item.
    pub submissions: Vec<Submission>,
}

impl Entry {
    /// All changes in order.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.submissions.iter().flat_map(|one| &one.changes)
    }
}

/// A hash of the changes' text.
///
/// It tells two submissions of one id apart, no more: what is recalled is compared outright.
fn fingerprint(changes: &[Change]) -> u64 {
    model::stable_hash(format!("{changes:?}").bytes())
}
