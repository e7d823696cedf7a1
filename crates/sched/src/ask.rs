//! Chooses the workers for which a step requests approvals.
//!
//! A request takes an approver's time, which grows with the number of workers named, and a third to
//! two thirds of the named workers are allowed. While much capacity is free, a few workers are
//! enough. When most of it is in use, a gang needs many more to place all its tasks at once: it finds
//! room on few of its allowed workers, and which ones changes all the time. One request names at most a
//! hundred workers, so several approvers are asked at the same time, and more of them the more are idle.

use std::{cmp::Reverse, time::Duration};

use jobs::Step;
use model::{Size, Time, WorkerId};

use crate::{
    Action, Scheduler,
    approval::Approvals,
    decide::{Demand, Pass},
    fleet::index,
    preempt,
    worker::Worker,
};

/// The time beyond the expected answer after which a request for approvals counts as lost and may
/// be repeated.
const ANSWER_SLACK: Duration = Duration::from_millis(1_500);

/// Tickets are also renewed for spare workers: for half as many as are needed, plus this many.
const MIN_SPARE_TICKETS: usize = 2;

/// The most requests that are sent at a time for one step, unless approvers are idle.
const MAX_REQUESTS: usize = 2;

/// A step asks about workers until those that are likely to be allowed have room for this many
/// times its tasks. They share their capacity with all other steps that ask at the same time.
const CAPACITY_FACTOR: f64 = 2.0;

/// The least number of workers that a step asks about is this constant plus
/// [`MIN_WORKERS_PER_TASK`] for each task. A third to two thirds of the workers asked about are
/// allowed, and some of those are full.
const MIN_WORKERS: usize = 12;
const MIN_WORKERS_PER_TASK: usize = 3;

/// Used instead of [`MIN_WORKERS`] and [`MIN_WORKERS_PER_TASK`] for a gang, all of whose tasks must
/// be placed at once.
const GANG_MIN_WORKERS: usize = 24;
const GANG_MIN_WORKERS_PER_TASK: usize = 2;

impl Scheduler {
    /// Requests approvals for workers with free capacity that the step has not asked about yet.
    pub(crate) fn widen(&mut self, now: Time, demand: &Demand, pass: &mut Pass) {
        if pass.searches_left == 0 {
            return;
        }
        let pause = self.cfg.approval_retry;
        let approvals = self.approvals.get_mut(&demand.key);
        if !approvals.is_some_and(|approvals| approvals.may_widen(now, pause)) {
            return;
        }
        pass.searches_left -= 1;
        let size = demand.step().reserved();
        let mut workers = self.unasked(now, demand);
        workers.retain(|&id| size.fits(&pass.free[index(id)]));
        self.request_approvals(now, demand, &workers);
    }

    /// Returns how long the scheduler waits before it requests approvals itself, because the node
    /// that accepted the job sends the first request.
    pub(crate) fn approval_delay(&self, demand: &Demand) -> Duration {
        if demand.job.approvals_asked && demand.step().after.is_empty() {
            self.cfg.approval_grace
        } else {
            Duration::ZERO
        }
    }

    /// Renews the tickets of a waiting gang before it has free capacity and before the last ones lapse. A
    /// request takes about as long as tickets are valid, and the gang must start as soon as there is
    /// capacity.
    pub(crate) fn renew_gang_tickets(&mut self, now: Time, demand: &Demand) {
        let Some(approvals) = self.approvals.get(&demand.key) else {
            return;
        };
        let Some(cost) = demand.approval else {
            return;
        };
        let most = self.cfg.approval_workers;
        let answered_at = now + cost.of(most) + self.cfg.approval_margin;
        if approvals.is_pending(now) || approvals.has_tickets(answered_at) {
            return;
        }
        let allowed = self.allowed_workers(approvals);
        let mut workers = emptiest_first(allowed.filter(|worker| worker.takes_work(now)));
        workers.extend(self.unasked(now, demand));
        workers.truncate(most);
        self.request_approvals(now, demand, &workers);
    }

    /// Returns the workers that are known to be allowed, whether their tickets are still valid or
    /// not.
    pub(crate) fn allowed_workers(&self, approvals: &Approvals) -> impl Iterator<Item = &Worker> {
        let allowed = approvals.allowed().iter();
        allowed.map(|allowed| self.fleet.get(allowed.worker))
    }

    /// Requests new tickets for workers that are known to be allowed: for those in `placed`, and
    /// for some spares. If `missing` tasks fit nowhere, asks about further workers as well. Returns
    /// whether a request is in flight.
    pub(crate) fn renew_tickets(
        &mut self,
        now: Time,
        demand: &Demand,
        placed: &[WorkerId],
        missing: usize,
    ) -> bool {
        let Some(approvals) = self.approvals.get(&demand.key) else {
            return false;
        };
        if approvals.is_pending(now) {
            return true;
        }
        let is_spare = |worker: &&Worker| worker.takes_work(now) && !placed.contains(&worker.id);
        let spare = self.allowed_workers(approvals).filter(is_spare);
        let mut workers = placed.to_vec();
        workers.sort_unstable();
        workers.dedup();
        let spares = workers.len() / 2 + MIN_SPARE_TICKETS;
        workers.extend(emptiest_first(spare).into_iter().take(spares));
        if missing > 0 {
            workers.extend(self.unasked(now, demand));
        }
        workers.truncate(self.cfg.approval_workers);
        self.request_approvals(now, demand, &workers)
    }

    /// Returns the workers to ask about: those that suit the step and that it has not asked about
    /// yet, those with room for the most tasks first.
    pub(crate) fn unasked(&self, now: Time, demand: &Demand) -> Vec<WorkerId> {
        let known = self.approvals.get(&demand.key);
        let workers = self.fleet.iter().filter(|worker| {
            worker.suits(now, &demand.pool, demand.step())
                && known.is_none_or(|approvals| !approvals.is_known(worker.id))
        });
        let step = demand.step();
        let size = step.reserved();
        let fitting = |worker: &Worker| {
            // The capacity of less urgent runs that can resume elsewhere is likely to be free soon.
            let preemptible = if step.gang {
                preempt::preemptible_size(now, worker, demand.rank)
            } else {
                Size::ZERO
            };
            size.fit_count(worker.free() + preemptible)
        };
        let mut slots = 0.0;
        let mut workers: Vec<(u32, WorkerId)> = workers
            .map(|worker| {
                slots += f64::from(size.fit_count(worker.info.size));
                (fitting(worker), worker.id)
            })
            .collect();
        workers.sort_by_key(|&(fitting, id)| (Reverse(fitting), id));
        let share = self.allowed_shares.expected(&demand.job.queue.name);
        let needed = CAPACITY_FACTOR * to_f64(demand.tasks.len());
        let mut found = 0.0;
        let count = workers.iter().take_while(|(fitting, _)| {
            let is_needed = found < needed && *fitting > 0;
            found += share * f64::from(*fitting);
            is_needed
        });
        let least = approval_count(step);
        let count = if step.gang {
            let choice = f64::from(self.cfg.gang_choice) * to_f64(demand.tasks.len());
            let wanted = choice * to_f64(workers.len()) / (slots * share).max(f64::EPSILON);
            count.count().max(least).max(ceil_to_usize(wanted))
        } else {
            least
        };
        workers.iter().take(count).map(|&(_, id)| id).collect()
    }

    /// Sends requests for approvals of the workers, unless a request for the step is in flight or
    /// no approver is free. Returns whether any request was sent.
    pub(crate) fn request_approvals(
        &mut self,
        now: Time,
        demand: &Demand,
        workers: &[WorkerId],
    ) -> bool {
        let is_pending = self
            .approvals
            .get(&demand.key)
            .is_some_and(|approvals| approvals.is_pending(now));
        let Some(cost) = demand.approval else {
            return false;
        };
        if workers.is_empty() || is_pending {
            return false;
        }
        let mut is_asked = false;
        let requests = workers.len().div_ceil(self.cfg.approval_workers);
        let chunks = workers.chunks(workers.len().div_ceil(requests));
        for (number, workers) in chunks.enumerate() {
            // Steps that have no answer yet need approvers more than a wider choice for this one does.
            if number >= MAX_REQUESTS && !self.approvers.have_spare(now) {
                break;
            }
            let cost = cost.of(workers.len());
            let backlog = self.cfg.approval_backlog;
            let Some((approver, expected)) = self.approvers.pick(now, cost, backlog) else {
                break;
            };
            is_asked = true;
            let approvals = self.approvals.entry(demand.key).or_default();
            approvals.record_request(expected + ANSWER_SLACK);
            let name = |&id: &WorkerId| self.fleet.get(id).info.name.clone();
            self.actions.push(Action::Ask {
                approver,
                step: demand.key,
                workers: workers.iter().map(name).collect(),
                cost,
            });
        }
        is_asked
    }

    /// Returns the number of workers that a node asks about when it accepts a job, before the
    /// scheduler knows the job.
    #[must_use]
    pub fn approval_count(step: &Step) -> usize {
        approval_count(step)
    }
}

/// Returns the least number of workers to ask about for a step.
fn approval_count(step: &Step) -> usize {
    let tasks = usize::try_from(step.tasks).unwrap_or(usize::MAX);
    if step.gang {
        GANG_MIN_WORKERS + GANG_MIN_WORKERS_PER_TASK * tasks
    } else {
        MIN_WORKERS + MIN_WORKERS_PER_TASK * tasks
    }
}

/// Returns the ids of the workers, those with the most free processors first.
fn emptiest_first<'a>(workers: impl Iterator<Item = &'a Worker>) -> Vec<WorkerId> {
    let mut workers: Vec<&Worker> = workers.collect();
    workers.sort_by_key(|worker| (Reverse(worker.free().milli_processors), worker.id));
    workers.iter().map(|worker| worker.id).collect()
}

fn to_f64(n: usize) -> f64 {
    f64::from(u32::try_from(n).unwrap_or(u32::MAX))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float that is cast saturates, and none is negative here"
)]
fn ceil_to_usize(number: f64) -> usize {
    number.ceil() as usize
}
