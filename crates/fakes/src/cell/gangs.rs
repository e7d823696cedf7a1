//! Gangs at work: their members start to work when all of one run are there, and end together.

use std::collections::{BTreeMap, BTreeSet};

use jobs::StepKey;
use model::WorkerId;

/// The members of gangs' runs, by step and run.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    present: BTreeMap<(StepKey, u32), BTreeSet<(u32, WorkerId)>>,
}

impl Gangs {
    /// A member has come. Returns all of them if they are complete now.
    pub(super) fn join(
        &mut self,
        step: StepKey,
        run: u32,
        member: (u32, WorkerId),
        size: usize,
    ) -> Option<Vec<(u32, WorkerId)>> {
        let members = self.present.entry((step, run)).or_default();
        members.insert(member);
        (members.len() == size).then(|| members.iter().copied().collect())
    }

    /// A run has ended for one member, and so for all. Returns the others.
    pub(super) fn end(&mut self, step: StepKey, run: u32, index: u32) -> Vec<(u32, WorkerId)> {
        let members = self.present.remove(&(step, run)).unwrap_or_default();
        members
            .into_iter()
            .filter(|&(other, _)| other != index)
            .collect()
    }
}
