//! The scheduling pass: goes over all waiting steps and decides which tasks start on which workers.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashSet},
    sync::Arc,
    time::Duration,
};

use jobs::{ApprovalCost, Incarnation, Job, Step, StepKey, TaskKey};
use model::{Size, Time, WorkerId};

use crate::{
    Action, Now, Scheduler, WaitReason,
    entry::Entry,
    fit::{self, Candidate},
    fleet::index,
    holding::Holding,
    ordering::{self, Timeliness, URGENT, WaitingStep},
    preempt::{self, Claims},
    scheduler::Effect,
    teams::pass::Turns,
    worker::{BegunBy, Run, RunPhase, Suspicion, Worker},
};

/// A gang that is already late requests approvals for more workers only while its allowed workers
/// would hold, if empty, fewer than this many times its tasks, or while most of the fleet is idle.
/// Requests of many such gangs would delay those of gangs that can still be in time.
const GANG_CAPACITY_FACTOR: usize = 3;

/// At most one in so many of the workers that suit a long-running step is reserved for tasks that fit nowhere. While less
/// than half of them is in use, a quarter is then free for other work.
const RESERVED_WORKERS_DIVISOR: usize = 4;

/// The capacity and the budgets that are left to the steps not yet considered in this pass.
pub(crate) struct Pass {
    /// The free capacity of each worker, by worker index.
    pub(crate) free: Vec<Size>,
    /// The workers that had room for the smallest waiting task when the list was last checked.
    workers_with_room: Vec<WorkerId>,
    /// The least size of a waiting task, in each dimension.
    least: Size,
    /// Whether capacity was taken since `workers_with_room` was last checked.
    is_room_stale: bool,
    /// The number of gangs that may still have capacity reserved for them.
    gang_reservations: usize,
    /// The workers that are reserved for long-running tasks.
    reserved_workers: HashSet<WorkerId>,
    /// The number of searches over all workers that may still be made.
    pub(crate) searches_left: usize,
    /// The capacity of stopping runs that is already claimed by a step.
    claims: Claims,
    /// What the gangs considered so far wait for.
    holding: Holding,
    /// The number of steps that were held back.
    held_steps: usize,
    /// The tasks of which a worker still has a run that was given up.
    strays: HashSet<TaskKey>,
    /// The teams' part of the pass.
    pub(crate) turns: Turns,
}

impl Pass {
    pub(crate) fn take(&mut self, size: Size, placed: &[WorkerId]) {
        for &worker in placed {
            self.free[index(worker)] -= size;
        }
        self.is_room_stale |= !placed.is_empty();
    }

    /// Drops the workers that have no room for any waiting task, so that steps without room are cheap in a full fleet.
    fn check_room(&mut self) {
        if std::mem::take(&mut self.is_room_stale) {
            let (least, free) = (self.least, &self.free);
            self.workers_with_room
                .retain(|&id| least.fits(&free[index(id)]));
        }
    }
}

/// Which of the approved workers are candidates.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum TicketFilter {
    /// Only workers whose ticket is still valid when a start that is decided now is ordered.
    Valid,
    /// All workers that are known to be allowed. Their tickets can be renewed.
    Any,
}

/// The tasks of one step that must be placed, with the constraints on their placement.
pub(crate) struct Demand {
    pub(crate) key: StepKey,
    pub(crate) job: Arc<Job>,
    pub(crate) tasks: Vec<u32>,
    pub(crate) pool: String,
    /// The rank of the step's queue.
    pub(crate) rank: u32,
    pub(crate) approval: Option<ApprovalCost>,
}

impl Demand {
    pub(crate) fn step(&self) -> &Step {
        &self.job.steps[usize::from(self.key.step)]
    }

    /// Returns the processors of all tasks, in thousandths.
    fn processors(&self) -> u64 {
        let tasks = u64::try_from(self.tasks.len()).unwrap_or(u64::MAX);
        let size = self.step().reserved();
        size.milli_processors.saturating_mul(tasks)
    }
}

impl Scheduler {
    /// Runs a scheduling pass. Returns quickly if nothing has changed since the last call.
    pub fn decide(&mut self, now: Now) {
        if self.is_deposed {
            return;
        }
        self.expire_announcements(now.time);
        self.open_due(now);
        self.end_lapsed(now.time);
        self.repeat_stops(now.time);
        self.end_long_trials(now.time);
        self.settle_crashes(now.time);
        self.report_lapses(now.time);
        self.report_starts_held(now.time);
        if !std::mem::take(&mut self.needs_pass) || !self.may_start(now.time) {
            return;
        }
        self.forget_waits();
        self.update_unsteady(now.time);
        let mut steps = self.waiting_steps(now);
        ordering::sort(self.cfg.order, now.time, &mut steps);
        self.begin_team_pass(&steps);
        let is_late = |step: &&WaitingStep| step.timeliness(now.time) != Timeliness::InTime;
        self.late_steps = steps.iter().filter(is_late).count();
        let free: Vec<Size> = self
            .fleet
            .iter()
            .map(|worker| free_size(now.time, worker))
            .collect();
        let least = least_size(&steps);
        let (fleet, used) = self
            .fleet
            .iter()
            .filter(|worker| worker.is_in_fleet())
            .fold((Size::ZERO, Size::ZERO), |(fleet, used), worker| {
                (fleet + worker.info.size, used + worker.used)
            });
        let mut pass = Pass {
            workers_with_room: self
                .fleet
                .iter()
                .map(|worker| worker.id)
                .filter(|&id| least.fits(&free[index(id)]))
                .collect(),
            least,
            is_room_stale: false,
            free,
            gang_reservations: self.cfg.max_gang_reservations,
            reserved_workers: HashSet::new(),
            searches_left: self.cfg.max_searches,
            claims: Claims::default(),
            holding: Holding::new(fleet.milli_processors, used.milli_processors),
            held_steps: 0,
            strays: self.fleet.iter().flat_map(Worker::stray_tasks).collect(),
            turns: Turns::default(),
        };
        self.place_in_turns(now.time, &steps, &mut pass);
        self.end_team_pass(now.time, &pass);
        self.held_steps = pass.held_steps;
        self.reserved_workers = pass.reserved_workers.len();
    }

    /// Returns when [`decide`](Self::decide) next has something to do even if no event occurs.
    #[must_use]
    pub fn next_due(&self, now: Now) -> Time {
        let scheduled = self.scheduled.first().map(|&(due, _)| {
            let wait = due.saturating_sub(now.unix_ms);
            now.time + Duration::from_millis(wait)
        });
        let stop = self.stop_checks.first().map(|&(at, _, _)| at);
        let busy = self.fleet.iter().filter(|worker| !worker.is_idle());
        let lapse = busy.filter_map(|worker| worker.next_lapse(now.time)).min();
        let quarantine_end = self
            .fleet
            .iter()
            .filter(|worker| worker.quarantine_until > now.time)
            .map(|worker| worker.quarantine_until)
            .min();
        let expiry = self.announced.next_expiry();
        let settled = self.background.next_due();
        let due = [scheduled, stop, lapse, quarantine_end, expiry, settled];
        due.into_iter().flatten().min().unwrap_or(Time::MAX)
    }

    /// Makes the next [`decide`](Self::decide) go over all waiting steps even if no event has
    /// occurred. Approvals expire and quarantines end without an event.
    pub fn request_pass(&mut self) {
        self.needs_pass |= !self.waiting.is_empty();
    }

    fn waiting_steps(&self, now: Now) -> Vec<WaitingStep> {
        let waiting = self.waiting.iter().filter_map(|&key| {
            let entry = self.jobs.get(&key.job)?;
            let policy = self.policy(&entry.job);
            let step = entry.job.steps.get(usize::from(key.step))?;
            let critical_path = self.critical_path(entry, 0);
            // An occurrence of a scheduled job counts as accepted when it is due.
            let accepted_at = match entry.job.due_unix_ms(key.occurrence) {
                0 => entry.accepted_at,
                due => now.ago(now.unix_ms.saturating_sub(due)),
            };
            Some(WaitingStep {
                key,
                team: entry.team,
                is_surplus: entry.is_surplus,
                task_size: entry.job.steps[usize::from(key.step)].reserved(),
                waiting_size: self.waiting_size(entry, key),
                rank: policy.rank,
                accepted_at,
                objective: policy.objective(critical_path),
                remaining: self.critical_path(entry, key.step),
                critical_path,
                is_approved: self.has_approvals(key),
                is_long_running: step.is_long_running,
            })
        });
        waiting.collect()
    }

    /// Returns the expected duration of the critical path of the job through the steps numbered
    /// `from` and above.
    fn critical_path(&self, entry: &Entry, from: u16) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(entry.job.steps.len());
        for (number, step) in (0_u16..).zip(&entry.job.steps) {
            let estimate = Duration::from_millis(step.estimate_ms);
            let own = if number < from {
                Duration::ZERO
            } else {
                self.run_times.expected(&entry.job.queue.name, estimate)
            };
            let before = step.after.iter().map(|&on| ends[usize::from(on)]).max();
            ends.push(before.unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the tasks of a step that must be placed, or `None` if no task of the step can be. A task of which a
    /// worker still has a run, or that waits for silent workers or a verdict, is left out, as is a gang with such a
    /// member.
    fn demand(&self, now: Time, key: StepKey, strays: &HashSet<TaskKey>) -> Option<Demand> {
        let entry = self.jobs.get(&key.job)?;
        let mut tasks = entry.progress.waiting(&entry.job, key);
        let count = tasks.len();
        let is_awaiting = |key: &TaskKey| {
            let until = self.awaiting_workers.get(key);
            until.is_some_and(|&until| now < until) && self.may_return(*key)
        };
        tasks.retain(|&index| {
            let task = key.task(index);
            !strays.contains(&task) && !is_awaiting(&task) && !self.awaits_verdict(task)
        });
        let is_gang = entry.job.steps[usize::from(key.step)].gang;
        if tasks.is_empty() || (is_gang && tasks.len() < count) {
            return None;
        }
        let policy = self.policy(&entry.job);
        Some(Demand {
            key,
            job: entry.job.clone(),
            tasks,
            pool: policy.pool.clone(),
            rank: policy.rank,
            approval: policy.approval,
        })
    }

    /// Places as many tasks of a step as possible. A gang is placed whole or not at all.
    pub(crate) fn place(&mut self, now: Time, waiting: &WaitingStep, pass: &mut Pass) {
        let Some(mut demand) = self.demand(now, waiting.key, &pass.strays) else {
            self.report_wait(waiting.key, WaitReason::Unsettled);
            return;
        };
        if !self.limit_to_team(now, waiting, &mut demand, pass) {
            self.report_wait(waiting.key, WaitReason::Team);
            return;
        }
        if demand.approval.is_some() && !self.has_approvals(demand.key) {
            if now >= waiting.accepted_at + self.approval_delay(&demand) {
                let workers = self.unasked(now, &demand);
                self.request_approvals(now, &demand, &workers);
            }
            self.report_wait(waiting.key, WaitReason::Approvals);
            return;
        }
        let is_gang = demand.step().gang;
        // Tasks that last are never held back: their clients expect them to be there all the time.
        let may_hold = !is_gang && !demand.step().is_long_running;
        if may_hold && pass.holding.holds(now, &self.cfg, waiting) {
            pass.held_steps += 1;
            self.report_wait(waiting.key, WaitReason::Held);
            return;
        }
        if self.has_suspects(&demand) {
            self.place_suspects(now, demand, pass);
            self.report_wait(waiting.key, WaitReason::Suspected);
            return;
        }
        let placed = self.fit(now, &demand, demand.tasks.len(), TicketFilter::Valid, pass);
        let is_whole = placed.len() == demand.tasks.len();
        if is_whole || (!is_gang && !placed.is_empty()) {
            pass.take(demand.step().reserved(), &placed);
            self.start(now, demand.key, &demand.tasks, &placed);
        }
        if !is_whole {
            self.report_wait(waiting.key, WaitReason::NoRoom);
            pass.check_room();
            self.note_lack(waiting, pass);
            // Nothing is gained by holding back work for a gang that could not run on empty workers either.
            if is_gang && self.capacity(now, &demand) >= demand.tasks.len() {
                pass.holding.gang_waits(now, waiting, demand.processors());
            }
            let missing = demand.tasks.len() - if is_gang { 0 } else { placed.len() };
            let may_make_room = is_gang || (waiting.rank == URGENT && placed.is_empty());
            if may_make_room
                && waiting.timeliness(now) == Timeliness::InTime
                && pass.searches_left > 0
            {
                if is_gang {
                    self.renew_gang_tickets(now, &demand);
                    self.widen(now, &demand, pass);
                }
                // Jobs beyond their team's rate are not entitled to others' capacity.
                if !waiting.is_surplus && self.make_room(now, &demand, pass) {
                    return;
                }
            }
            self.prepare(now, &demand, missing, pass);
        }
    }

    /// If the step fits once less urgent runs have been stopped, stops them and reserves their
    /// capacity for the step. Returns whether it did.
    fn make_room(&mut self, now: Time, demand: &Demand, pass: &mut Pass) -> bool {
        let is_allowed = self
            .cfg
            .preempting_rank
            .is_some_and(|most| demand.rank <= most);
        // No run is stopped for a job that may never be stored.
        let is_stored = !self.announced.contains(demand.key.job);
        if !is_allowed || !is_stored || pass.searches_left == 0 {
            return false;
        }
        pass.searches_left -= 1;
        let placed = self.fit_with_preemption(now, demand, pass);
        let is_whole = placed.len() == demand.tasks.len();
        if is_whole {
            self.preempt(now, demand, &placed, pass);
        }
        is_whole
    }

    /// Returns the workers for the tasks of a step, counting free capacity, the unclaimed capacity
    /// of stopping runs, and the capacity of runs that may be preempted. Runs are preempted only
    /// for the tasks that do not fit otherwise. The result is shorter than the number of tasks if
    /// they do not all fit.
    fn fit_with_preemption(&self, now: Time, demand: &Demand, pass: &Pass) -> Vec<WorkerId> {
        let step = demand.step();
        let size = step.reserved();
        // For a step without approvals, `Any` includes the workers that have no free capacity but
        // may have runs to preempt.
        let usable = if demand.approval.is_some() {
            TicketFilter::Valid
        } else {
            TicketFilter::Any
        };
        let mut candidates = self.candidates(now, demand, usable, pass);
        for candidate in &mut candidates {
            let worker = self.fleet.get(candidate.worker);
            candidate.free += pass.claims.unclaimed(worker);
        }
        let mut placed = fit::place(&mut candidates, size, demand.tasks.len(), step.one_rack);
        let missing = demand.tasks.len() - placed.len();
        if missing > 0 {
            for candidate in &mut candidates {
                let worker = self.fleet.get(candidate.worker);
                candidate.free += preempt::preemptible_size(now, worker, demand.rank);
            }
            placed.extend(fit::place(&mut candidates, size, missing, step.one_rack));
        }
        placed
    }

    /// Stops the runs that occupy the capacity of a step on the workers of `placed`, and reserves
    /// the capacity for the step.
    fn preempt(&mut self, now: Time, demand: &Demand, placed: &[WorkerId], pass: &mut Pass) {
        let mut needs: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for &id in placed {
            *needs.entry(id).or_default() += 1;
        }
        for (id, tasks) in needs {
            let need = demand.step().reserved().saturating_mul(tasks);
            let worker = self.fleet.get(id);
            let free = pass.free[index(id)];
            let available = free + pass.claims.unclaimed(worker);
            for key in preempt::victims(now, worker, demand.rank, available, need) {
                self.actions.push(Action::Preempted {
                    key,
                    worker: id,
                    by: demand.key,
                });
                self.stop_run(now, id, key);
            }
            pass.free[index(id)] -= need;
            pass.claims.claim(id, need - free);
        }
        let charge = self.charge(demand.key);
        self.teams.count_tasks(charge, placed.len());
    }

    /// Returns the rank of the task's queue if the task can resume elsewhere, and `None` otherwise.
    /// Only more urgent work, which has a lower rank, may preempt runs of the task.
    pub(crate) fn preemptible_below(&self, key: TaskKey) -> Option<u32> {
        let job = &self.jobs.get(&key.job)?.job;
        let step = job.steps.get(usize::from(key.step))?;
        let can_resume = step.saves_progress && !step.gang && !step.is_long_running;
        can_resume.then(|| self.policy(job).rank)
    }

    /// Prepares a later start of tasks that do not fit on workers with valid tickets. Renews
    /// tickets if the tasks fit on workers whose tickets have expired; otherwise reserves the
    /// available capacity for a gang.
    pub(crate) fn prepare(&mut self, now: Time, demand: &Demand, tasks: usize, pass: &mut Pass) {
        let size = demand.step().reserved();
        let is_gang = demand.step().gang;
        if !is_gang && !demand.step().is_long_running && demand.approval.is_none() {
            // There are no tickets to renew, and no capacity is reserved for such steps.
            return;
        }
        let placed = self.fit(now, demand, tasks, TicketFilter::Any, pass);
        let is_enough = placed.len() == tasks || (!is_gang && !placed.is_empty());
        if is_enough && demand.approval.is_some() {
            // Takes the capacity until the tickets arrive, so that several steps do not request
            // tickets for the same capacity.
            if self.renew_tickets(now, demand, &placed, tasks - placed.len()) {
                pass.take(size, &placed);
                let charge = self.charge(demand.key);
                self.teams.count_tasks(charge, placed.len());
            }
            return;
        }
        if self.cfg.reserves_workers && demand.step().is_long_running && !is_gang {
            self.reserve_workers(now, demand, tasks, pass);
        }
        let capacity = if is_gang {
            self.capacity(now, demand)
        } else {
            0
        };
        let needs_choice =
            !is_gang || capacity < GANG_CAPACITY_FACTOR * tasks || pass.holding.is_fleet_idle();
        if demand.approval.is_some() && needs_choice {
            self.widen(now, demand, pass);
        }
        // Reserving capacity for a gang that could never fit would waste it.
        if is_gang && pass.gang_reservations > 0 && capacity >= tasks {
            pass.gang_reservations -= 1;
            pass.take(size, &placed);
            let charge = self.charge(demand.key);
            self.teams.count_tasks(charge, tasks);
        }
    }

    /// Reserves the workers with the most free processors, one for each task of a long-running step that fits nowhere.
    /// Smaller tasks would otherwise take the pieces in which their capacity becomes free. Workers on which the step would
    /// not fit after the ends of all runs that end by themselves are left out, and so are most of the others: how soon
    /// those runs end is not known.
    fn reserve_workers(&self, now: Time, demand: &Demand, tasks: usize, pass: &mut Pass) {
        let size = demand.step().reserved();
        let mut candidates = self.candidates(now, demand, TicketFilter::Any, pass);
        let is_reserved = |c: &Candidate<'_>| pass.reserved_workers.contains(&c.worker);
        let reserved = candidates.iter().filter(|c| is_reserved(c)).count();
        let most = (candidates.len() / RESERVED_WORKERS_DIVISOR).max(1);
        candidates.retain(|c| c.slots > 0 && !is_reserved(c) && size.fits(&c.free_eventually));
        candidates.sort_by_key(|c| (Reverse(c.free.milli_processors), c.worker));
        let count = tasks.min(most.saturating_sub(reserved));
        for candidate in candidates.iter().take(count) {
            pass.free[index(candidate.worker)] = Size::ZERO;
            pass.reserved_workers.insert(candidate.worker);
        }
    }

    fn has_approvals(&self, key: StepKey) -> bool {
        let approvals = self.approvals.get(&key);
        approvals.is_some_and(|approvals| !approvals.is_empty())
    }

    /// Returns workers for up to `tasks` tasks, as far as their free capacity allows.
    pub(crate) fn fit(
        &self,
        now: Time,
        demand: &Demand,
        tasks: usize,
        filter: TicketFilter,
        pass: &Pass,
    ) -> Vec<WorkerId> {
        let step = demand.step();
        let size = step.reserved();
        let mut candidates = self.candidates(now, demand, filter, pass);
        candidates.retain(|candidate| size.fits(&candidate.free));
        fit::place(&mut candidates, size, tasks, step.one_rack)
    }

    /// Returns the workers that may run a step, whether they have free capacity or not. If the step
    /// needs no approvals, `Valid` selects the workers with room for the smallest waiting task.
    pub(crate) fn candidates<'a>(
        &'a self,
        now: Time,
        demand: &'a Demand,
        filter: TicketFilter,
        pass: &Pass,
    ) -> Vec<Candidate<'a>> {
        if demand.approval.is_none() {
            return match filter {
                TicketFilter::Any => suitable(now, demand, pass, self.fleet.iter()),
                TicketFilter::Valid => {
                    let open = pass.workers_with_room.iter().map(|&id| self.fleet.get(id));
                    suitable(now, demand, pass, open)
                }
            };
        }
        let Some(approvals) = self.approvals.get(&demand.key) else {
            return Vec::new();
        };
        // A start is ordered once it is stored, and its ticket must be valid then.
        let ordered_at = now + self.store_delay(now);
        if filter == TicketFilter::Valid && !approvals.has_tickets(ordered_at) {
            return Vec::new();
        }
        let allowed = approvals.allowed().iter().filter(|allowed| {
            let started_unix_ms = self.fleet.get(allowed.worker).info.started_unix_ms;
            filter == TicketFilter::Any || allowed.ticket(ordered_at, started_unix_ms).is_some()
        });
        let workers = allowed.map(|allowed| self.fleet.get(allowed.worker));
        suitable(now, demand, pass, workers)
    }

    /// Starts the first of `tasks` on the workers of `placed`, one task per entry.
    pub(crate) fn start(&mut self, now: Time, key: StepKey, tasks: &[u32], placed: &[WorkerId]) {
        let needs_ticket = self.needs_ticket(key.job);
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let size = entry.job.steps[usize::from(key.step)].reserved();
        let pairs: Vec<(TaskKey, WorkerId)> = tasks
            .iter()
            .zip(placed)
            .map(|(&index, &worker)| (key.task(index), worker))
            .collect();
        let incarnations: Vec<(TaskKey, Incarnation)> = pairs
            .iter()
            .map(|&(task, worker)| {
                let info = &self.fleet.get(worker).info;
                let incarnation = Incarnation {
                    worker: info.name.clone(),
                    started_unix_ms: info.started_unix_ms,
                };
                (task, incarnation)
            })
            .collect();
        let run = entry.progress.assign(&incarnations);
        self.job_changed(now, key.job);
        let preemptible_below = self.preemptible_below(key.task(0));
        let charge = self.charge(key);
        self.teams.count_tasks(charge, pairs.len());
        let is_blamed = self.is_step_blamed(key);
        let is_repeated = self.is_repeated(key);
        for (task, id) in pairs {
            let suspicion = if is_blamed {
                self.suspicion(task)
            } else {
                Suspicion::None
            };
            let worker = self.fleet.get_mut(id);
            let new = Run {
                number: run,
                size,
                charge,
                phase: RunPhase::Pending,
                confirmed_at: None,
                since: now,
                stop_due: Duration::ZERO,
                orders_lapse_at: Time::ZERO,
                begun_by: BegunBy::Any,
                former_orders_until: Time::ZERO,
                has_begun: false,
                is_of_earlier_incarnation: false,
                crash: None,
                checkpoint: String::new(),
                suspicion,
                is_repeated,
                preemptible_below,
            };
            worker.add_run(task, new);
            let start = Effect::Start {
                key: task,
                run,
                worker: id,
                needs_ticket,
                since_batch: self.journal.batches(),
            };
            self.defer_until_stored(now, start);
        }
    }

    /// Returns how many tasks of a step would fit on the allowed workers once all runs have ended that end by themselves.
    pub(crate) fn capacity(&mut self, now: Time, demand: &Demand) -> usize {
        let known = self.approvals.get(&demand.key);
        if let Some(capacity) = known.and_then(|approvals| approvals.capacity(now)) {
            return capacity;
        }
        let size = demand.step().reserved();
        let most = demand.step().per_worker.unwrap_or(u32::MAX);
        let task_count = |worker: &Worker| {
            let count = size.fit_count(worker.free_eventually()).min(most);
            usize::try_from(count).unwrap_or(0)
        };
        let suits = |worker: &&Worker| worker.suits(now, &demand.pool, demand.step());
        let capacity = match known {
            Some(approvals) if demand.approval.is_some() => {
                let allowed = self.allowed_workers(approvals);
                allowed.filter(suits).map(task_count).sum()
            }
            _ => self.fleet.iter().filter(suits).map(task_count).sum(),
        };
        if let Some(approvals) = self.approvals.get_mut(&demand.key) {
            approvals.cache_capacity(now, capacity);
        }
        capacity
    }
}

/// Returns the least size that any task of the steps needs, in each dimension.
fn least_size(steps: &[WaitingStep]) -> Size {
    let least = |a: Size, b: Size| {
        Size::new(
            a.milli_processors.min(b.milli_processors),
            a.memory_mb.min(b.memory_mb),
            a.accelerators.min(b.accelerators),
        )
    };
    let sizes = steps.iter().map(|waiting| waiting.task_size);
    sizes.reduce(least).unwrap_or_default()
}

/// Returns the capacity of a worker that is available to new work.
fn free_size(now: Time, worker: &Worker) -> Size {
    if worker.takes_work(now) && !worker.is_isolating() {
        worker.usable()
    } else {
        Size::ZERO
    }
}

/// Returns those of the workers that suit a step, as candidates for it.
fn suitable<'a>(
    now: Time,
    demand: &Demand,
    pass: &Pass,
    workers: impl Iterator<Item = &'a Worker>,
) -> Vec<Candidate<'a>> {
    workers
        .filter(|worker| worker.suits(now, &demand.pool, demand.step()))
        .map(|worker| candidate(worker, demand, pass))
        .collect()
}

fn candidate<'a>(worker: &'a Worker, demand: &Demand, pass: &Pass) -> Candidate<'a> {
    let step = demand.step();
    let left = |limit: u32| limit.saturating_sub(worker.count_of(demand.key));
    Candidate {
        worker: worker.id,
        free: pass.free[index(worker.id)],
        free_eventually: worker.free_eventually(),
        size: worker.info.size,
        slots: step.per_worker.map_or(u32::MAX, left),
        is_near: step.data_rack.is_none() || step.data_rack == worker.info.rack,
        rack: worker.info.rack.as_deref(),
    }
}
