//! What the scheduler tells the other nodes about teams.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jobs::{Job, JobId};
use sched::{Now, TeamSummary, TeamsSummary};
use tokio::sync::mpsc;

use super::Leader;
use crate::{
    Ports,
    access::Owner,
    admission::TeamAdmission,
    configuration,
    message::{Message, TEAMS_LEVEL},
};

impl<P: Ports> Leader<P> {
    /// Records the team of a job, and prepares it for [`broadcast_new_owners`](Self::broadcast_new_owners).
    pub(crate) fn record_owner(&self, id: JobId, job: &Job) {
        self.node.record_job(id, job);
        let owner = Owner::of(job).map(|owner| (id, owner));
        self.new_owners.borrow_mut().extend(owner);
    }

    /// Sends the teams of new jobs to the other nodes.
    pub(crate) fn broadcast_new_owners(&self) {
        let owners = self.new_owners.take();
        if !owners.is_empty() {
            self.broadcast_from_level(TEAMS_LEVEL, &Message::Owners(owners));
        }
    }

    /// Sends the teams of all jobs to a newly linked node. Returns whether the message was sent or not needed.
    pub(super) fn send_owners(&self, tx: &mpsc::Sender<Message>) -> bool {
        let owners = self.node.0.team_jobs.owners();
        owners.is_empty() || tx.try_send(Message::Owners(owners)).is_ok()
    }

    /// Tells all nodes which teams' new jobs to refuse in part, if there are any or were the last time.
    pub(super) fn broadcast_admissions(&self, now: Now) {
        let admissions = self.scheduler.borrow().admissions(now);
        let has_any = !admissions.is_empty();
        if !self.has_admissions.replace(has_any) && !has_any {
            return;
        }
        let admissions: Vec<_> = admissions.into_iter().map(TeamAdmission::from).collect();
        let metrics = &self.node.0.metrics;
        let count = u64::try_from(admissions.len()).unwrap_or(0);
        metrics.set("teams_refused_in_part", count);
        self.broadcast_from_level(TEAMS_LEVEL, &Message::Admission(admissions.clone()));
        let in_force = &self.node.0.team_jobs.admissions;
        in_force.borrow_mut().replace(now.time, admissions);
    }

    /// Updates the metrics of teams, and logs which teams' work their limits begin and cease to hold back.
    pub(super) fn report_teams(&self, summary: &TeamsSummary) {
        let metrics = &self.node.0.metrics;
        metrics.set_teams(gauges(summary));
        let others = &summary.sum_of_others;
        let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
        metrics.set("other_teams", count(summary.others));
        metrics.set("other_teams_waiting_steps", count(others.waiting_steps));
        metrics.set(
            "other_teams_used_processors_milli",
            others.running.milli_processors,
        );
        let mut held = self.held_teams.borrow_mut();
        let is_held = |team: &&TeamSummary| team.is_held_by_limit || team.gangs_over_limit > 0;
        let now_held: BTreeSet<Arc<str>> = summary
            .listed
            .iter()
            .filter(is_held)
            .map(|team| team.name.clone())
            .collect();
        for team in summary
            .listed
            .iter()
            .filter(|team| now_held.contains(&team.name) && !held.contains(&team.name))
        {
            log::info!(
                "event=team_held team={:?} limit={} running={} waiting={} gangs_over_limit={}",
                team.name,
                team.limit,
                team.running,
                team.waiting_steps,
                team.gangs_over_limit
            );
        }
        for team in held.difference(&now_held) {
            log::info!("event=team_released team={team:?}");
        }
        *held = now_held;
    }

    /// Sends a question for the newest configuration to some of the linked nodes. Returns whether one was sent.
    pub(crate) fn ask_peers(&self, question: &Message, round: usize, count: usize) -> bool {
        let peers = self.peers.borrow();
        let current: Vec<_> = peers
            .values()
            .filter(|peer| peer.level >= TEAMS_LEVEL)
            .collect();
        configuration::rotated(&current, round, count)
            .filter(|peer| peer.tx.try_send(question.clone()).is_ok())
            .count()
            > 0
    }
}

/// Returns the gauges of the listed teams by name.
fn gauges(summary: &TeamsSummary) -> BTreeMap<&'static str, Vec<(Arc<str>, u64)>> {
    let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    let mut gauges: BTreeMap<&'static str, Vec<(Arc<str>, u64)>> = BTreeMap::new();
    for team in &summary.listed {
        let values = [
            ("team_weight_milli", team.weight_milli),
            ("team_limit_processors_milli", team.limit.milli_processors),
            ("team_limit_memory_mb", team.limit.memory_mb),
            ("team_limit_accelerators", team.limit.accelerators.into()),
            ("team_used_processors_milli", team.running.milli_processors),
            ("team_used_memory_mb", team.running.memory_mb),
            ("team_used_accelerators", team.running.accelerators.into()),
            ("team_runs", team.runs.into()),
            ("team_waiting_steps", count(team.waiting_steps)),
            ("team_waiting_surplus", team.waiting_surplus.into()),
            ("team_fair_share_milli", team.fair_share_milli),
            ("team_held_by_limit", team.is_held_by_limit.into()),
            ("team_held_by_share", team.is_held_by_share.into()),
            ("team_gangs_over_limit", count(team.gangs_over_limit)),
        ];
        for (name, value) in values {
            let named = gauges.entry(name).or_default();
            named.push((team.name.clone(), value));
        }
    }
    gauges
}
