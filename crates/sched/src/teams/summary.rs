//! What operators are told about teams.

use std::{cmp::Reverse, mem, sync::Arc};

use model::Size;

use crate::Scheduler;

use super::{Team, TeamId, Teams, ledger::Ledger, rates::milli};

/// The most teams that a summary lists one by one, so that metrics stay bounded.
const MAX_LISTED: usize = 50;

/// The state of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamSummary {
    /// The team's name; empty for the jobs whose team is not configured.
    pub name: Arc<str>,
    /// The weight, in thousandths of a job per second.
    pub weight_milli: u64,
    /// The limit; 0 in a dimension for none there.
    pub limit: Size,
    /// The total size of the tasks that may be running.
    pub running: Size,
    /// The number of tasks that may be running.
    pub runs: u32,
    /// The number of steps that wait.
    pub waiting_steps: usize,
    /// The number of jobs beyond the team's rate of which no task has begun.
    pub waiting_surplus: u32,
    /// The fair share of the resource of which the team needs the greatest part, in thousandths of the fleet, as of the
    /// last pass; 0 if the team needs nothing.
    pub fair_share_milli: u64,
    /// Whether the last pass held work back because of the limit.
    pub is_held_by_limit: bool,
    /// Whether the last pass served others first because the team is above its fair share, and some of its work found no
    /// room.
    pub is_held_by_share: bool,
    /// The number of waiting gangs that are larger than the limit allows, so that they never start under it.
    pub gangs_over_limit: usize,
}

/// The states of teams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TeamsSummary {
    /// The largest teams, at most 50, largest first: by the size of their running tasks, then by their waiting steps.
    pub listed: Vec<TeamSummary>,
    /// The number of teams that are not listed.
    pub others: usize,
    /// The sums over the teams that are not listed. A hold is set if it is for any of them.
    pub sum_of_others: TeamSummary,
}

impl TeamSummary {
    fn new(team: &Team, id: TeamId, ledger: &Ledger) -> Self {
        let usage = ledger.usage(id);
        let is_needed = team.fair_share.is_finite();
        Self {
            name: team.policy.name.clone(),
            weight_milli: milli(team.rate()),
            limit: team.policy.limit,
            running: usage.size,
            runs: usage.runs,
            waiting_steps: 0,
            waiting_surplus: team.surplus_waiting,
            fair_share_milli: if is_needed { milli(team.fair_share) } else { 0 },
            is_held_by_limit: team.is_held_by_limit,
            is_held_by_share: team.is_held_by_share,
            gangs_over_limit: team.gangs_over_limit,
        }
    }

    fn add(&mut self, other: &Self) {
        self.weight_milli = self.weight_milli.saturating_add(other.weight_milli);
        self.limit += other.limit;
        self.running += other.running;
        self.runs = self.runs.saturating_add(other.runs);
        self.waiting_steps += other.waiting_steps;
        self.waiting_surplus = self.waiting_surplus.saturating_add(other.waiting_surplus);
        self.fair_share_milli = self.fair_share_milli.saturating_add(other.fair_share_milli);
        self.is_held_by_limit |= other.is_held_by_limit;
        self.is_held_by_share |= other.is_held_by_share;
        self.gangs_over_limit += other.gangs_over_limit;
    }

    fn rank(&self) -> (u64, u64, usize) {
        let running = self.running;
        (
            running.milli_processors,
            running.memory_mb,
            self.waiting_steps,
        )
    }
}

impl Teams {
    fn summaries(&self, ledger: &Ledger) -> Vec<TeamSummary> {
        let ids = (0..).map(TeamId);
        let teams = self.entries.iter().zip(ids);
        teams
            .map(|(team, id)| TeamSummary::new(team, id, ledger))
            .collect()
    }
}

impl Scheduler {
    /// Returns the states of the teams, and of the jobs whose team is not configured. Empty without teams.
    pub(crate) fn summarize_teams(&self) -> TeamsSummary {
        let mut summary = TeamsSummary::default();
        if self.teams.is_empty() {
            return summary;
        }
        let mut ledger = Ledger::default();
        ledger.recount(self.teams.entries.len(), self.team_charges());
        let mut teams = self.teams.summaries(&ledger);
        for key in &self.waiting {
            if let Some(entry) = self.jobs.get(&key.job) {
                teams[entry.team.index()].waiting_steps += 1;
            }
        }
        let is_used = |team: &TeamSummary| team.runs > 0 || team.waiting_steps > 0;
        if !is_used(&teams[TeamId::NONE.index()]) {
            teams.remove(TeamId::NONE.index());
        }
        teams.sort_by_key(|team| Reverse(team.rank()));
        let others = teams.split_off(teams.len().min(MAX_LISTED));
        summary.listed = mem::take(&mut teams);
        summary.others = others.len();
        for team in &others {
            summary.sum_of_others.add(team);
        }
        summary
    }
}
