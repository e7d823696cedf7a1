//! Teams: what each may use, and who goes first when capacity is scarce.
//!
//! The parts work on plain data: the [`ledger`] counts what may be running, [`limits`] tells what may start, [`rates`]
//! which jobs are surplus, and [`shares`] what is a team's fair share of a full fleet. [`pass`] connects them to the
//! scheduling pass. Without configured teams none of them is called.

pub(crate) mod admission;
pub(crate) mod ledger;
pub(crate) mod limits;
pub(crate) mod pass;
pub(crate) mod rates;
pub(crate) mod shares;
mod summary;

use std::{collections::HashMap, sync::Arc, time::Duration};

use jobs::{JobId, StepKey, TeamPolicy};
use model::{Size, Time};

use crate::{Now, Scheduler, entry::Entry};

use self::{
    admission::Intake,
    ledger::{Charge, Ledger},
    rates::Bucket,
};

pub use self::summary::{TeamSummary, TeamsSummary};

/// How many of a team's new jobs to accept while it submits more than it is owed and the fleet has no idle capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The team.
    pub team: Arc<str>,
    /// The share of its new jobs to accept, in thousandths.
    pub accepted_milli: u32,
    /// The earliest and the latest time after which clients of the other jobs may come back.
    pub retry_after: (Duration, Duration),
}

/// Identifies a team within the configuration in force. The default stands for all jobs whose team is not configured,
/// which together count as one team without a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct TeamId(u32);

impl TeamId {
    /// The team of the jobs whose team is not configured.
    pub(crate) const NONE: Self = Self(0);

    pub(crate) fn index(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

/// A team, and what is known of it since it is configured.
#[derive(Clone, Debug, Default)]
pub(crate) struct Team {
    pub(crate) policy: TeamPolicy,
    bucket: Bucket,
    intake: Intake,
    /// The number of jobs that are surplus and of which no task has begun, as of the last pass.
    surplus_waiting: u32,
    /// The fair share of the dominant resource, as of the last pass.
    fair_share: f64,
    /// Whether the last pass held work back because of the limit, or because of the share.
    is_held_by_limit: bool,
    is_held_by_share: bool,
    /// The number of waiting gangs that can never start under the limit, as of the last pass.
    gangs_over_limit: usize,
}

impl Team {
    fn new(policy: TeamPolicy) -> Self {
        let rate = rate(&policy);
        Self {
            policy,
            bucket: Bucket::full(rate),
            fair_share: f64::INFINITY,
            ..Self::default()
        }
    }

    fn rate(&self) -> f64 {
        rate(&self.policy)
    }
}

/// Returns the number of jobs per second that a team is entitled to. An invalid weight entitles it to none.
fn rate(policy: &TeamPolicy) -> f64 {
    if policy.weight.is_finite() {
        policy.weight.max(0.0)
    } else {
        0.0
    }
}

/// The configured teams. Only they have state: a name that is not configured creates none.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    by_name: HashMap<Arc<str>, TeamId>,
    /// By the index of the id. The first stands for the jobs whose team is not configured. Empty without teams.
    entries: Vec<Team>,
    ledger: Ledger,
    /// The total size of the listed workers, as of the last pass.
    capacity: Size,
    /// The teams of which jobs are refused.
    refusing: Vec<TeamId>,
    revised_at: Time,
    /// Whether a pass since the last revision has found the fleet without idle capacity.
    was_full: bool,
}

impl Teams {
    /// Returns whether no team is configured, so that nothing is limited or shared.
    pub(crate) const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn id(&self, name: &str) -> TeamId {
        self.by_name.get(name).copied().unwrap_or_default()
    }

    pub(crate) fn policy(&self, name: &str) -> Option<&TeamPolicy> {
        let id = self.by_name.get(name)?;
        self.entries.get(id.index()).map(|team| &team.policy)
    }

    fn get(&self, id: TeamId) -> Option<&Team> {
        self.entries.get(id.index())
    }

    fn get_mut(&mut self, id: TeamId) -> Option<&mut Team> {
        self.entries.get_mut(id.index())
    }

    /// Replaces the policies. Teams that remain keep their state. Returns for each earlier id the new one.
    fn replace(&mut self, policies: impl IntoIterator<Item = TeamPolicy>) -> Vec<TeamId> {
        let mut old = std::mem::take(&mut self.entries);
        let old_ids = std::mem::take(&mut self.by_name);
        // Jobs without a team have an empty name.
        let policies = policies
            .into_iter()
            .filter(|policy| !policy.name.is_empty());
        for policy in policies {
            if self.entries.is_empty() {
                self.entries.push(Team::new(TeamPolicy::default()));
            }
            if let Some(id) = self.by_name.get(&policy.name) {
                self.entries[id.index()].policy = policy;
                continue;
            }
            let id = TeamId(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
            self.by_name.insert(policy.name.clone(), id);
            let team = match old_ids.get(&policy.name) {
                Some(id) => Team {
                    policy,
                    ..std::mem::take(&mut old[id.index()])
                },
                None => Team::new(policy),
            };
            self.entries.push(team);
        }
        self.refusing.clear();
        let mut renamed = vec![TeamId::NONE; old.len()];
        for (name, id) in old_ids {
            renamed[id.index()] = self.id(&name);
        }
        renamed
    }

    /// Counts an accepted job of a team. Returns whether it is surplus.
    fn count_job(&mut self, id: TeamId, accepted_unix_ms: u64) -> bool {
        if id == TeamId::NONE {
            return false;
        }
        let Some(team) = self.get_mut(id) else {
            return false;
        };
        let rate = team.rate();
        team.bucket.take(rate, accepted_unix_ms)
    }
}

impl Scheduler {
    /// Replaces the configured teams. Jobs whose team is not configured have no limit; while the fleet is full, they
    /// share it as if they were one more team of mean weight.
    ///
    /// A new scheduler must know the teams before its first pass, as it counts nothing against limits that it does not
    /// know.
    pub fn set_teams(&mut self, teams: impl IntoIterator<Item = TeamPolicy>) {
        let renamed = self.teams.replace(teams);
        self.needs_pass = true;
        if self.teams.is_empty() && renamed.is_empty() {
            return;
        }
        let mut added: Vec<(u64, JobId, TeamId)> = Vec::new();
        let is_kept = |old: TeamId| old != TeamId::NONE;
        for (&id, entry) in &mut self.jobs {
            let team = self.teams.id(&entry.job.team);
            if team == TeamId::NONE {
                entry.is_surplus = false;
            } else if !is_kept(entry.team) {
                added.push((entry.job.accepted_unix_ms, id, team));
            }
            entry.team = team;
        }
        // The buckets of new teams count the jobs that are known already, so a takeover does not refill them.
        added.sort_unstable_by_key(|&(accepted_unix_ms, id, _)| (accepted_unix_ms, id));
        for (accepted_unix_ms, id, team) in added {
            let is_surplus = self.teams.count_job(team, accepted_unix_ms);
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.is_surplus = is_surplus;
            }
        }
        let jobs = &self.jobs;
        for worker in self.fleet.iter_mut() {
            worker.update_charges(|key, charge| {
                // The job of a stray may be known no more.
                let old = renamed.get(charge.team.index()).copied();
                charge.team = jobs
                    .get(&key.job)
                    .map_or_else(|| old.unwrap_or_default(), |entry| entry.team);
            });
        }
    }

    /// Returns the policy of a configured team.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&TeamPolicy> {
        self.teams.policy(name)
    }

    /// Sets the team of a new job, and counts the job.
    pub(crate) fn count_job(&mut self, now: Now, entry: &mut Entry) {
        if self.teams.is_empty() {
            return;
        }
        entry.team = self.teams.id(&entry.job.team);
        let accepted_unix_ms = entry.job.accepted_unix_ms.min(now.unix_ms);
        entry.is_surplus = self.teams.count_job(entry.team, accepted_unix_ms);
        if let Some(team) = self.teams.get_mut(entry.team) {
            team.intake.count();
        }
    }

    /// Returns what each task of a step counts against its team.
    pub(crate) fn charge(&self, key: StepKey) -> Charge {
        let charge = self.jobs.get(&key.job).and_then(|entry| {
            let step = entry.job.steps.get(usize::from(key.step))?;
            Some(Charge {
                team: entry.team,
                size: step.size,
            })
        });
        charge.unwrap_or_default()
    }

    /// Returns the teams whose new jobs are to be refused in part.
    #[must_use]
    pub fn admissions(&self, now: Now) -> Vec<Admission> {
        if now.time >= self.teams.revised_at + admission::MAX_AGE {
            return Vec::new();
        }
        let refusing = self.teams.refusing.iter();
        let teams = refusing.filter_map(|&id| self.teams.get(id));
        let admissions = teams.map(|team| Admission {
            team: team.policy.name.clone(),
            accepted_milli: team.intake.accepted_milli(),
            retry_after: admission::retry_after(team.rate(), team.surplus_waiting),
        });
        admissions.collect()
    }
}

/// Returns the amounts of processors, memory and accelerators.
pub(crate) fn dimensions(size: Size) -> [u64; 3] {
    [
        size.milli_processors,
        size.memory_mb,
        size.accelerators.into(),
    ]
}
