//! The members of gangs that have started. The members of a run work once all of them have started, and end
//! together.

use std::collections::{BTreeMap, BTreeSet};

use jobs::StepKey;
use model::WorkerId;

/// The started members of gangs by step and run: the task index and the host of each.
#[derive(Debug, Default)]
pub(super) struct Gangs {
    members: BTreeMap<(StepKey, u32), BTreeSet<(u32, WorkerId)>>,
}

impl Gangs {
    /// Adds a member of a run. Returns all members if there are `size` of them now.
    pub(super) fn join(
        &mut self,
        step: StepKey,
        run: u32,
        member: (u32, WorkerId),
        size: usize,
    ) -> Option<Vec<(u32, WorkerId)>> {
        let members = self.members.entry((step, run)).or_default();
        members.insert(member);
        (members.len() == size).then(|| members.iter().copied().collect())
    }

    /// Removes a run, of which the member `index` has ended. Returns the other members.
    pub(super) fn end(&mut self, step: StepKey, run: u32, index: u32) -> Vec<(u32, WorkerId)> {
        let members = self.members.remove(&(step, run)).unwrap_or_default();
        members
            .into_iter()
            .filter(|&(other, _)| other != index)
            .collect()
    }
}
