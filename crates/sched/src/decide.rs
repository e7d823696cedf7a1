//! A pass over all that waits: what starts where.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use jobs::{ApprovalCost, Incarnation, Job, JobId, Step, StepKey, TaskKey};
use model::{Size, Time, WorkerId};

use crate::{
    Action, Now, Scheduler,
    fit::{self, Candidate},
    fleet::index,
    line::{self, Outlook, URGENT, Waiting},
    preempt::{self, Claims},
    scheduler::Effect,
    worker::{Run, RunPhase, Worker},
};

/// A gang that is late already asks about more workers only while those that are allowed would not hold this
/// many times its tasks: requests of many such gangs would hold up those that can be in time.
const GANG_CHOICE: usize = 3;

/// The room that is left to the steps that have not had their turn in this pass.
pub(crate) struct Pass {
    pub(crate) room: Vec<Size>,
    /// The workers that have room for the smallest task that waits.
    open: Vec<WorkerId>,
    /// How many gangs may still have room kept for them.
    kept_gangs: usize,
    /// How many searches over all workers may still be made.
    pub(crate) searches: usize,
    /// What is spoken for of the room that is about to be free.
    claims: Claims,
}

impl Pass {
    fn take(&mut self, size: Size, placed: &[WorkerId]) {
        for &worker in placed {
            self.room[index(worker)] -= size;
        }
    }
}

/// Which of the approved workers are candidates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Approved {
    /// Those with a ticket that holds.
    Now,
    /// All that are known to be allowed: their tickets can be renewed.
    Ever,
}

/// Tasks of one step that are to be placed.
pub(crate) struct Want {
    pub(crate) key: StepKey,
    pub(crate) job: Arc<Job>,
    pub(crate) tasks: Vec<u32>,
    pub(crate) pool: String,
    /// The rank of its queue.
    pub(crate) rank: u32,
    pub(crate) approval: Option<ApprovalCost>,
}

impl Want {
    pub(crate) fn step(&self) -> &Step {
        &self.job.steps[usize::from(self.key.step)]
    }
}

impl Scheduler {
    /// Decides what starts. Cheap if nothing has changed since the last call.
    pub fn decide(&mut self, now: Now) {
        if self.is_deposed {
            return;
        }
        self.open_due(now);
        self.end_lapsed(now.time);
        self.repeat_stops(now.time);
        if !std::mem::take(&mut self.needs_pass) || !self.may_order(now.time) {
            return;
        }
        let mut steps = self.line(now);
        line::sort(self.cfg.order, now.time, &mut steps);
        let room: Vec<Size> = self
            .fleet
            .iter()
            .map(|worker| free_room(now.time, worker))
            .collect();
        let least = self.least_size(&steps);
        let mut pass = Pass {
            open: self
                .fleet
                .iter()
                .map(|worker| worker.id)
                .filter(|&id| least.fits(&room[index(id)]))
                .collect(),
            room,
            kept_gangs: self.cfg.max_gang_reservations,
            searches: self.cfg.max_searches,
            claims: Claims::default(),
        };
        for waiting in steps {
            self.place(now.time, &waiting, &mut pass);
        }
    }

    /// When [`decide`](Self::decide) has something to do although nothing happens.
    #[must_use]
    pub fn next_due(&self, now: Now) -> Time {
        let timed = self.timed.first().map(|&(due, _)| {
            let wait = due.saturating_sub(now.unix_ms);
            now.time + Duration::from_millis(wait)
        });
        let stop = self.stop_checks.first().map(|&(at, _, _)| at);
        let lapse = self
            .fleet
            .iter()
            .filter(|worker| !worker.runs.is_empty() && worker.lapse_at > now.time)
            .map(|worker| worker.lapse_at)
            .min();
        let freed = self
            .fleet
            .iter()
            .filter(|worker| worker.quarantine_until > now.time)
            .map(|worker| worker.quarantine_until)
            .min();
        let due = [timed, stop, lapse, freed];
        due.into_iter().flatten().min().unwrap_or(Time::MAX)
    }

    /// Has the next [`decide`](Self::decide) go over all that waits, though nothing is known to have
    /// changed. Approvals lapse and quarantines end without an event.
    pub fn request_pass(&mut self) {
        self.needs_pass |= !self.waiting.is_empty();
    }

    /// The least that any task of the steps needs, in each dimension.
    fn least_size(&self, steps: &[Waiting]) -> Size {
        let sizes = steps.iter().filter_map(|waiting| {
            let entry = self.jobs.get(&waiting.key.job)?;
            let step = entry.job.steps.get(usize::from(waiting.key.step))?;
            Some(step.reserved())
        });
        let least = |a: Size, b: Size| {
            Size::new(
                a.milli_processors.min(b.milli_processors),
                a.memory_mb.min(b.memory_mb),
                a.accelerators.min(b.accelerators),
            )
        };
        sizes.reduce(least).unwrap_or_default()
    }

    fn line(&self, now: Now) -> Vec<Waiting> {
        let waiting = self.waiting.iter().filter_map(|&key| {
            let entry = self.jobs.get(&key.job)?;
            let policy = self.policy(&entry.job);
            let chain = self.chain(key.job, 0);
            let accepted_at = match entry.job.due_unix_ms(key.occurrence) {
                0 => entry.accepted_at,
                due => now.ago(now.unix_ms.saturating_sub(due)),
            };
            Some(Waiting {
                key,
                rank: policy.rank,
                accepted_at,
                objective: policy.objective(chain),
                remaining: self.chain(key.job, key.step),
                is_approved: self.has_approvals(key),
            })
        });
        waiting.collect()
    }

    /// The expected time of the longest chain of work that begins with the step `from`, or later.
    fn chain(&self, id: JobId, from: u16) -> Duration {
        let Some(entry) = self.jobs.get(&id) else {
            return Duration::ZERO;
        };
        let mut ends: Vec<Duration> = Vec::with_capacity(entry.job.steps.len());
        for (number, step) in (0_u16..).zip(&entry.job.steps) {
            let estimate = Duration::from_millis(step.estimate_ms);
            let own = if number < from {
                Duration::ZERO
            } else {
                self.run_times.expect(&entry.job.queue.name, estimate)
            };
            let before = step.after.iter().map(|&on| ends[usize::from(on)]).max();
            ends.push(before.unwrap_or_default() + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// The tasks of a step that are to be placed, if there are any.
    fn want(&self, key: StepKey) -> Option<Want> {
        let entry = self.jobs.get(&key.job)?;
        let tasks = entry.progress.waiting(&entry.job, key);
        if tasks.is_empty() {
            return None;
        }
        let policy = self.policy(&entry.job);
        Some(Want {
            key,
            job: entry.job.clone(),
            tasks,
            pool: policy.pool.clone(),
            rank: policy.rank,
            approval: policy.approval,
        })
    }

    /// Places what can be placed of a step.
    fn place(&mut self, now: Time, waiting: &Waiting, pass: &mut Pass) {
        let Some(want) = self.want(waiting.key) else {
            return;
        };
        if want.approval.is_some() && !self.has_approvals(want.key) {
            if now >= waiting.accepted_at + self.own_asking(&want) {
                let workers = self.unasked(now, &want);
                self.ask(now, &want, &workers);
            }
            return;
        }
        let is_gang = want.step().gang;
        let placed = self.fit(now, &want, want.tasks.len(), Approved::Now, pass);
        let is_whole = placed.len() == want.tasks.len();
        if is_whole || (!is_gang && !placed.is_empty()) {
            pass.take(want.step().reserved(), &placed);
            self.start(now, want.key, &want.tasks, &placed);
        }
        if !is_whole {
            let missing = want.tasks.len() - if is_gang { 0 } else { placed.len() };
            let is_pressing = is_gang || (waiting.rank == URGENT && placed.is_empty());
            if is_pressing && waiting.outlook(now) == Outlook::InTime && pass.searches > 0 {
                if is_gang {
                    self.keep_tickets(now, &want);
                    self.widen(now, &want, pass);
                }
                if self.make_way(now, &want, pass) {
                    return;
                }
            }
            self.prepare(now, &want, missing, pass);
        }
    }

    /// Has less urgent runs stopped for a step that would fit in their room, or keeps the room that is about to
    /// be free for it. Returns whether that is done.
    fn make_way(&mut self, now: Time, want: &Want, pass: &mut Pass) -> bool {
        let is_allowed = self
            .cfg
            .preempting_rank
            .is_some_and(|most| want.rank <= most);
        if !is_allowed || pass.searches == 0 {
            return false;
        }
        pass.searches -= 1;
        let placed = self.fit_with_way(now, want, pass);
        let is_whole = placed.len() == want.tasks.len();
        if is_whole {
            self.preempt(now, want, &placed, pass);
        }
        is_whole
    }

    /// The workers that all tasks of a step fit on in the room that is there, is about to be free or is held by
    /// runs that make way. Room that is there is used first.
    fn fit_with_way(&self, now: Time, want: &Want, pass: &Pass) -> Vec<WorkerId> {
        let step = want.step();
        let size = step.reserved();
        let usable = if want.approval.is_some() {
            Approved::Now
        } else {
            Approved::Ever
        };
        let mut candidates = self.candidates(now, want, usable, pass);
        for candidate in &mut candidates {
            let worker = self.fleet.get(candidate.worker);
            candidate.room += pass.claims.unclaimed(worker);
        }
        let mut placed = fit::place(&mut candidates, size, want.tasks.len(), step.one_rack);
        let missing = want.tasks.len() - placed.len();
        if missing > 0 {
            for candidate in &mut candidates {
                let worker = self.fleet.get(candidate.worker);
                candidate.room += preempt::yielding(now, worker, want.rank);
            }
            placed.extend(fit::place(&mut candidates, size, missing, step.one_rack));
        }
        placed
    }

    /// Stops what is in the way of a step, and keeps the room for it.
    fn preempt(&mut self, now: Time, want: &Want, placed: &[WorkerId], pass: &mut Pass) {
        let mut needs: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for &id in placed {
            *needs.entry(id).or_default() += 1;
        }
        for (id, tasks) in needs {
            let need = want.step().reserved().saturating_mul(tasks);
            let worker = self.fleet.get(id);
            let free = pass.room[index(id)];
            let room = free + pass.claims.unclaimed(worker);
            for key in preempt::victims(now, worker, want.rank, room, need) {
                self.actions.push(Action::Preempted {
                    key,
                    worker: id,
                    by: want.key,
                });
                self.stop_run(now, id, key);
            }
            pass.room[index(id)] -= need;
            pass.claims.claim(id, need - free);
        }
    }

    /// The rank below which work has the runs of a task make way, if they can resume elsewhere.
    pub(crate) fn yields_to(&self, key: TaskKey) -> Option<u32> {
        let job = &self.jobs.get(&key.job)?.job;
        let step = job.steps.get(usize::from(key.step))?;
        let can_resume = step.saves_progress && !step.gang && !step.is_long_running;
        can_resume.then(|| self.policy(job).rank)
    }

    /// Prepares a later start of tasks that have found no room on workers whose tickets hold: renews
    /// tickets if there is room with them, otherwise keeps what room there is for a gang.
    fn prepare(&mut self, now: Time, want: &Want, tasks: usize, pass: &mut Pass) {
        let size = want.step().reserved();
        let is_gang = want.step().gang;
        let placed = self.fit(now, want, tasks, Approved::Ever, pass);
        let is_enough = placed.len() == tasks || (!is_gang && !placed.is_empty());
        if is_enough && want.approval.is_some() {
            // The room is spoken for until the tickets are there, so that not all ask for the same.
            if self.ask_again(now, want, &placed, tasks - placed.len()) {
                pass.take(size, &placed);
            }
            return;
        }
        let capacity = if is_gang { self.capacity(now, want) } else { 0 };
        if want.approval.is_some() && (!is_gang || capacity < GANG_CHOICE * tasks) {
            self.widen(now, want, pass);
        }
        // Room that is kept for a gang that never finds enough would be lost to all others.
        if is_gang && pass.kept_gangs > 0 && capacity >= tasks {
            pass.kept_gangs -= 1;
            pass.take(size, &placed);
        }
    }

    fn has_approvals(&self, key: StepKey) -> bool {
        let approvals = self.approvals.get(&key);
        approvals.is_some_and(|approvals| !approvals.is_empty())
    }

    /// The workers that `tasks` tasks fit on, as far as there is room.
    fn fit(
        &self,
        now: Time,
        want: &Want,
        tasks: usize,
        approved: Approved,
        pass: &Pass,
    ) -> Vec<WorkerId> {
        let step = want.step();
        let size = step.reserved();
        let mut candidates = self.candidates(now, want, approved, pass);
        candidates.retain(|candidate| size.fits(&candidate.room));
        fit::place(&mut candidates, size, tasks, step.one_rack)
    }

    /// The workers that may run a step, whether they have room or not. Where no approvals are needed, `Now`
    /// stands for those that have room for some step.
    fn candidates<'a>(
        &'a self,
        now: Time,
        want: &'a Want,
        approved: Approved,
        pass: &Pass,
    ) -> Vec<Candidate<'a>> {
        if want.approval.is_none() {
            return match approved {
                Approved::Ever => suitable(now, want, pass, self.fleet.iter()),
                Approved::Now => {
                    let open = pass.open.iter().map(|&id| self.fleet.get(id));
                    suitable(now, want, pass, open)
                }
            };
        }
        let Some(approvals) = self.approvals.get(&want.key) else {
            return Vec::new();
        };
        if approved == Approved::Now && !approvals.has_tickets(now) {
            return Vec::new();
        }
        let allowed = approvals.allowed().iter().filter(|allowed| {
            let started_unix_ms = self.fleet.get(allowed.worker).info.started_unix_ms;
            approved == Approved::Ever || allowed.ticket(now, started_unix_ms).is_some()
        });
        let workers = allowed.map(|allowed| self.fleet.get(allowed.worker));
        suitable(now, want, pass, workers)
    }

    /// Starts the first of `tasks` on the workers of `placed`.
    fn start(&mut self, now: Time, key: StepKey, tasks: &[u32], placed: &[WorkerId]) {
        let Some(entry) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let size = entry.job.steps[usize::from(key.step)].reserved();
        let pairs: Vec<(TaskKey, WorkerId)> = tasks
            .iter()
            .zip(placed)
            .map(|(&index, &worker)| (key.task(index), worker))
            .collect();
        let lives: Vec<(TaskKey, Incarnation)> = pairs
            .iter()
            .map(|&(task, worker)| {
                let info = &self.fleet.get(worker).info;
                let life = Incarnation {
                    worker: info.name.clone(),
                    started_unix_ms: info.started_unix_ms,
                };
                (task, life)
            })
            .collect();
        let run = entry.progress.assign(&lives);
        self.changed(now, key.job);
        let yields_to = self.yields_to(key.task(0));
        for (task, id) in pairs {
            let worker = self.fleet.get_mut(id);
            let ticket = self
                .approvals
                .get(&key)
                .and_then(|a| a.ticket(now, id, worker.info.started_unix_ms))
                .cloned();
            let new = Run {
                number: run,
                size,
                phase: RunPhase::Pending,
                confirmed_at: None,
                since: now,
                is_of_past_life: false,
                checkpoint: String::new(),
                yields_to,
            };
            worker.add_run(task, new);
            let start = Effect::Start {
                key: task,
                run,
                worker: id,
                ticket,
            };
            self.effect(now, start);
        }
    }

    /// How many tasks of a gang would fit on the allowed workers if they were empty.
    fn capacity(&mut self, now: Time, want: &Want) -> usize {
        let known = self.approvals.get(&want.key);
        if let Some(capacity) = known.and_then(|approvals| approvals.capacity(now)) {
            return capacity;
        }
        let size = want.step().reserved();
        let times =
            |worker: &Worker| usize::try_from(size.fit_count(worker.info.size)).unwrap_or(0);
        let suits = |worker: &&Worker| worker.suits(now, &want.pool, want.step());
        let capacity = match known {
            Some(approvals) if want.approval.is_some() => {
                let allowed = self.allowed_workers(approvals);
                allowed.filter(suits).map(times).sum()
            }
            _ => self.fleet.iter().filter(suits).map(times).sum(),
        };
        if let Some(approvals) = self.approvals.get_mut(&want.key) {
            approvals.note_capacity(now, capacity);
        }
        capacity
    }
}

/// The room for new work on a worker.
fn free_room(now: Time, worker: &Worker) -> Size {
    if worker.takes_work(now) {
        worker.room()
    } else {
        Size::ZERO
    }
}

/// Those of the workers that suit a step, as candidates for it.
fn suitable<'a>(
    now: Time,
    want: &Want,
    pass: &Pass,
    workers: impl Iterator<Item = &'a Worker>,
) -> Vec<Candidate<'a>> {
    workers
        .filter(|worker| worker.suits(now, &want.pool, want.step()))
        .map(|worker| candidate(worker, want, pass))
        .collect()
}

fn candidate<'a>(worker: &'a Worker, want: &Want, pass: &Pass) -> Candidate<'a> {
    let step = want.step();
    let left = |limit: u32| limit.saturating_sub(worker.count_of(want.key));
    Candidate {
        worker: worker.id,
        room: pass.room[index(worker.id)],
        size: worker.info.size,
        slots: step.per_worker.map_or(u32::MAX, left),
        is_near: step.data_rack.is_none() || step.data_rack == worker.info.rack,
        rack: worker.info.rack.as_deref(),
    }
}
