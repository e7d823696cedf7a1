//! What each team may be running.
//!
//! The ledger is counted anew from all runs and strays of the fleet at the start of each pass, so it cannot drift from
//! them. During the pass, what is started is added.

use model::Size;

use super::TeamId;

/// What one task counts against its team. All of the task's size counts, also what is not reserved on its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Charge {
    pub(crate) team: TeamId,
    pub(crate) size: Size,
}

/// What a team may be running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) size: Size,
    pub(crate) runs: u32,
}

/// What the teams may be running.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// By the index of the team.
    usage: Vec<Usage>,
}

impl Ledger {
    /// Replaces the contents by the sum of these charges, for `teams` teams.
    pub(crate) fn recount(&mut self, teams: usize, charges: impl IntoIterator<Item = Charge>) {
        self.usage.clear();
        self.usage.resize(teams, Usage::default());
        for charge in charges {
            self.add(charge, 1);
        }
    }

    /// Counts `tasks` further tasks.
    pub(crate) fn add(&mut self, charge: Charge, tasks: u32) {
        if let Some(usage) = self.usage.get_mut(charge.team.index()) {
            usage.size += charge.size.saturating_mul(tasks);
            usage.runs = usage.runs.saturating_add(tasks);
        }
    }

    pub(crate) fn usage(&self, team: TeamId) -> Usage {
        self.usage.get(team.index()).copied().unwrap_or_default()
    }
}
