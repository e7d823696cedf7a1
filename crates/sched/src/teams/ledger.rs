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
    /// Whether it runs until its job is cancelled.
    pub(crate) is_long_running: bool,
}

/// What a team may be running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) size: Size,
    pub(crate) runs: u32,
}

impl Usage {
    fn add(&mut self, size: Size, tasks: u32) {
        self.size += size.saturating_mul(tasks);
        self.runs = self.runs.saturating_add(tasks);
    }
}

/// What the teams may be running.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    /// By the index of the team.
    usage: Vec<Usage>,
    /// The part of it that runs until its jobs are cancelled.
    long_running: Vec<Usage>,
}

impl Ledger {
    /// Replaces the contents by the sum of these charges, for `teams` teams.
    pub(crate) fn recount(&mut self, teams: usize, charges: impl IntoIterator<Item = Charge>) {
        self.usage.clear();
        self.usage.resize(teams, Usage::default());
        self.long_running.clear();
        self.long_running.resize(teams, Usage::default());
        for charge in charges {
            self.add(charge, 1);
        }
    }

    /// Counts `tasks` further tasks.
    pub(crate) fn add(&mut self, charge: Charge, tasks: u32) {
        let index = charge.team.index();
        if let Some(usage) = self.usage.get_mut(index) {
            usage.add(charge.size, tasks);
        }
        if charge.is_long_running
            && let Some(usage) = self.long_running.get_mut(index)
        {
            usage.add(charge.size, tasks);
        }
    }

    pub(crate) fn usage(&self, team: TeamId) -> Usage {
        self.usage.get(team.index()).copied().unwrap_or_default()
    }

    /// Returns the part of a team's usage that runs until its jobs are cancelled.
    pub(crate) fn long_running(&self, team: TeamId) -> Usage {
        let usage = self.long_running.get(team.index());
        usage.copied().unwrap_or_default()
    }
}
