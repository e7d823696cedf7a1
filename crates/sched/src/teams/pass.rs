//! The teams' part of a scheduling pass.

use std::{collections::HashSet, mem};

use jobs::{JobId, StepKey};
use model::{Size, Time};

use crate::{
    Order, Scheduler,
    decide::{Demand, Pass},
    entry::Entry,
    ordering::WaitingStep,
    worker::Worker,
};

use super::{
    TeamId, Teams, admission, dimensions,
    ledger::{Charge, Usage},
    limits::{self, GangFit},
    shares::{self, Claim},
};

/// The fleet counts as full only while at least this part of its scarcest resource is in use, as a divisor and its
/// multiplier: four fifths. Tasks need up to half of a worker, so more than that cannot always be used.
const FULL: (u64, u64) = (5, 4);

/// The margin within which a share counts as reached, for rounding.
const ROUNDING: f64 = 1e-9;

/// Which steps get capacity now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Turn {
    /// All, as the order has it.
    #[default]
    Any,
    /// Those of teams within their fair share.
    Own,
    /// Those of teams above their fair share.
    Lent,
}

/// The state of the teams' part of a pass.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    turn: Turn,
    /// The steps that get capacity once all others of their group had their turn.
    deferred: Vec<WaitingStep>,
    /// The teams of which a gang waits until enough of its team has ended. Later steps must not use what has.
    reserved: HashSet<TeamId>,
    /// Whether a step found no room.
    lacks_room: bool,
}

impl Teams {
    /// Counts what is started, or what capacity is reserved for, until the next pass.
    pub(crate) fn count_tasks(&mut self, charge: Charge, tasks: usize) {
        if !self.is_empty() {
            let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
            self.ledger.add(charge, tasks);
        }
    }

    fn is_above_share(&self, id: TeamId) -> bool {
        let share = self.get(id).map_or(f64::INFINITY, |team| team.fair_share);
        let used = shares::dominant_share(self.ledger.usage(id).size, self.capacity);
        used + ROUNDING >= share
    }

    /// Returns how many tasks of this size a team starts until it has reached its fair share: at least one, so that the
    /// last one may exceed the share.
    fn tasks_to_share(&self, charge: Charge, tasks: usize) -> usize {
        let share = self
            .get(charge.team)
            .map_or(f64::INFINITY, |team| team.fair_share);
        let used = dimensions(self.ledger.usage(charge.team).size);
        let capacity = dimensions(self.capacity);
        let size = dimensions(charge.size);
        let left = |r: usize| share * shares::to_f64(capacity[r]) - shares::to_f64(used[r]);
        let count = (0..3)
            .filter(|&r| capacity[r] > 0 && size[r] > 0)
            .map(|r| (left(r) / shares::to_f64(size[r]) - ROUNDING).ceil())
            .fold(f64::INFINITY, f64::min);
        let limit = shares::to_f64(u64::try_from(tasks).unwrap_or(u64::MAX));
        if count >= limit {
            return tasks;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the count lies between 1 and the number of tasks"
        )]
        let count = count.max(1.0) as usize;
        count
    }

    /// Computes the fair shares from what runs and `waiting`, the sizes of the waiting tasks by the index of the team.
    fn compute_shares(&mut self, waiting: &[Size]) {
        let mut active: Vec<usize> = Vec::new();
        let mut claims: Vec<Claim> = Vec::new();
        let ids = (0..).map(TeamId);
        for ((index, team), id) in self.entries.iter_mut().enumerate().zip(ids) {
            let used = self.ledger.usage(id).size;
            let demand = limits::capped(used + waiting[index], team.policy.limit);
            team.fair_share = f64::INFINITY;
            if demand != Size::ZERO {
                active.push(index);
                claims.push(Claim {
                    weight: team.rate(),
                    demand,
                });
            }
        }
        // The jobs without a configured team share the fleet like one more team of mean weight.
        if let Some((&0, configured)) = active.split_first()
            && !configured.is_empty()
        {
            let sum: f64 = claims[1..].iter().map(|claim| claim.weight).sum();
            let count = u32::try_from(configured.len()).unwrap_or(u32::MAX);
            claims[0].weight = sum / f64::from(count);
        }
        let fair = shares::fair_shares(self.capacity, &claims);
        for (index, share) in active.into_iter().zip(fair) {
            self.entries[index].fair_share = share;
        }
    }

    /// Returns whether the fleet has no idle capacity, given what is in use of it.
    fn is_full(&self, used: Size) -> bool {
        let (divisor, multiplier) = FULL;
        let capacity = dimensions(self.capacity).into_iter();
        capacity
            .zip(dimensions(used))
            .any(|(capacity, used)| capacity > 0 && used >= capacity / divisor * multiplier)
    }

    /// Revises which share of the new jobs is accepted, once an interval has passed.
    fn revise_admissions(&mut self, now: Time) {
        let span = now - self.revised_at;
        if span < admission::REVISION_INTERVAL {
            return;
        }
        self.revised_at = now;
        let is_full = mem::take(&mut self.was_full);
        self.refusing.clear();
        let ids = (0..).map(TeamId);
        for (team, id) in self.entries.iter_mut().zip(ids).skip(1) {
            let (rate, surplus) = (team.rate(), team.surplus_waiting);
            if team.intake.revise(span, rate, surplus, is_full) {
                self.refusing.push(id);
            }
        }
    }
}

impl Scheduler {
    /// Counts what each team may be running and how much it wants to run, and computes the fair shares.
    pub(crate) fn begin_team_pass(&mut self, steps: &[WaitingStep]) {
        if self.teams.is_empty() {
            return;
        }
        self.count_fleet();
        let mut waiting = vec![Size::ZERO; self.teams.entries.len()];
        for team in &mut self.teams.entries {
            team.surplus_waiting = 0;
            team.is_held_by_limit = false;
            team.is_held_by_share = false;
            team.gangs_over_limit = 0;
        }
        let mut surplus_jobs: HashSet<JobId> = HashSet::new();
        for step in steps {
            waiting[step.team.index()] += step.waiting_size;
            let has_begun = |entry: &Entry| entry.has_begun;
            if step.is_surplus
                && !self.jobs.get(&step.key.job).is_some_and(has_begun)
                && surplus_jobs.insert(step.key.job)
            {
                self.teams.entries[step.team.index()].surplus_waiting += 1;
            }
        }
        self.teams.compute_shares(&waiting);
    }

    /// Returns the size of the waiting tasks of a step together; zero if no team is configured.
    pub(crate) fn waiting_size(&self, entry: &Entry, key: StepKey) -> Size {
        if self.teams.is_empty() {
            return Size::ZERO;
        }
        let tasks = entry.progress.waiting(&entry.job, key).len();
        let size = entry.job.steps[usize::from(key.step)].size;
        size.saturating_mul(u32::try_from(tasks).unwrap_or(u32::MAX))
    }

    /// Counts the runs and strays of all workers.
    fn count_fleet(&mut self) {
        let count = self.teams.entries.len();
        let mut ledger = mem::take(&mut self.teams.ledger);
        ledger.recount(count, self.team_charges());
        self.teams.ledger = ledger;
        let fleet = self.fleet.iter().filter(|worker| worker.is_in_fleet());
        self.teams.capacity = fleet.fold(Size::ZERO, |sum, worker| sum + worker.info.size);
    }

    /// Returns what the runs and strays of all workers count against their teams.
    pub(crate) fn team_charges(&self) -> impl Iterator<Item = Charge> {
        let runs = self.fleet.iter().flat_map(Worker::run_charges);
        let strays = self.fleet.iter().flat_map(Worker::stray_charges);
        // The job of a stray may have become known since.
        let strays = strays.map(|(key, charge)| Charge {
            team: self
                .jobs
                .get(&key.job)
                .map_or(charge.team, |entry| entry.team),
            ..charge
        });
        runs.chain(strays)
    }

    /// Places steps group by group. Within a group, those of teams within their fair share go first.
    pub(crate) fn place_in_turns(&mut self, now: Time, steps: &[WaitingStep], pass: &mut Pass) {
        if self.teams.is_empty() || self.cfg.order != Order::InTime {
            for waiting in steps {
                self.place(now, waiting, pass);
            }
            return;
        }
        for group in steps.chunk_by(|a, b| a.group(now) == b.group(now)) {
            pass.turns.turn = Turn::Own;
            for waiting in group {
                if self.teams.is_above_share(waiting.team) {
                    pass.turns.deferred.push(*waiting);
                } else {
                    self.place(now, waiting, pass);
                }
            }
            pass.turns.turn = Turn::Lent;
            for waiting in mem::take(&mut pass.turns.deferred) {
                self.place(now, &waiting, pass);
            }
        }
    }

    /// Reduces the tasks of a step to those that its team may start now. Returns whether any are left.
    pub(crate) fn limit_to_team(
        &mut self,
        now: Time,
        waiting: &WaitingStep,
        demand: &mut Demand,
        pass: &mut Pass,
    ) -> bool {
        if self.teams.is_empty() {
            return true;
        }
        let step = demand.step();
        let charge = Charge {
            team: waiting.team,
            size: step.size,
            is_long_running: step.is_long_running,
        };
        let Some(team) = self.teams.get_mut(charge.team) else {
            return true;
        };
        if pass.turns.reserved.contains(&charge.team) {
            team.is_held_by_limit = true;
            return false;
        }
        let limit = team.policy.limit;
        let usage: Usage = self.teams.ledger.usage(charge.team);
        let count = demand.tasks.len();
        if demand.step().gang {
            let long_running = self.teams.ledger.long_running(charge.team);
            let fit = limits::gang_fit(usage, long_running, limit, charge.size, count);
            if let Some(team) = self.teams.get_mut(charge.team) {
                team.is_held_by_limit |= fit != GangFit::Fits;
                team.gangs_over_limit += usize::from(fit == GangFit::TooLarge);
            }
            // Nothing is gained by holding back work for a gang that could not run on empty workers either.
            if fit == GangFit::Waits && self.capacity(now, demand) >= count {
                pass.turns.reserved.insert(charge.team);
            }
            return fit == GangFit::Fits;
        }
        let mut allowed = limits::startable(usage, limit, charge.size, count);
        if allowed < count
            && let Some(team) = self.teams.get_mut(charge.team)
        {
            team.is_held_by_limit = true;
        }
        if pass.turns.turn == Turn::Own {
            let within = self.teams.tasks_to_share(charge, allowed);
            if within < allowed {
                pass.turns.deferred.push(*waiting);
                allowed = within;
            }
        }
        demand.tasks.truncate(allowed);
        allowed > 0
    }

    /// Notes that a step found no room for all of its tasks. The rest of its tasks then need no second turn.
    pub(crate) fn note_lack(&mut self, waiting: &WaitingStep, pass: &mut Pass) {
        pass.turns.lacks_room = true;
        if (pass.turns.deferred.last()).is_some_and(|last| last.key == waiting.key) {
            pass.turns.deferred.pop();
        }
        if pass.turns.turn == Turn::Lent
            && let Some(team) = self.teams.get_mut(waiting.team)
        {
            team.is_held_by_share = true;
        }
    }

    /// Notes whether the fleet is full, and revises the admissions.
    pub(crate) fn end_team_pass(&mut self, now: Time, pass: &Pass) {
        if self.teams.is_empty() {
            return;
        }
        if pass.turns.lacks_room && !self.teams.was_full {
            let fleet = self.fleet.iter().filter(|worker| worker.is_in_fleet());
            let used = fleet.fold(Size::ZERO, |sum, worker| sum + worker.used);
            self.teams.was_full = self.teams.is_full(used);
        }
        self.teams.revise_admissions(now);
    }
}
