//! Sends orders to workers and handles their answers.

use std::time::Duration;

use jobs::{Phase, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Action, Interruption, Now, Scheduler, StartAnswer, StartOrder, StopOrder, Ticket,
    worker::{BegunBy, RunPhase},
};

impl Scheduler {
    /// Returns whether orders may be sent: the table has confirmed a transaction of this scheduler
    /// so recently that no successor assumes yet that its leases have lapsed.
    pub(crate) fn may_order(&self, now: Time) -> bool {
        !self.is_deposed && now < self.confirmed_at + self.cfg.renew_without_table
    }

    /// Returns whether tasks may be started: orders may be sent, and the sizes of the workers are current.
    pub(crate) fn may_start(&self, now: Time) -> bool {
        self.may_order(now) && self.are_workers_current(now)
    }

    /// Returns whether a start order that was decided earlier may still be sent. The process may
    /// have been suspended since then, and a worker that has restarted meanwhile does not know of a
    /// newer scheduler, so it would not refuse the order. So the time since the last
    /// confirmed transaction is checked again before the order is sent, and the age of the list of workers.
    #[must_use]
    pub fn may_send(&self, now: Now) -> bool {
        self.may_start(now.time)
    }

    /// Sends the start order of a run that is stored now, unless the run has been withdrawn in the
    /// meantime.
    pub(crate) fn release_start(
        &mut self,
        now: Time,
        key: TaskKey,
        run: u32,
        worker: WorkerId,
        needs_ticket: bool,
    ) {
        let is_pending = self
            .fleet
            .get(worker)
            .runs
            .get(&key)
            .is_some_and(|r| r.number == run && r.phase == RunPhase::Pending);
        if !is_pending {
            return;
        }
        let ticket = self.current_ticket(now, key, worker);
        if needs_ticket && ticket.is_none() {
            // The ticket has lapsed while the run was being stored. The worker would refuse the order.
            self.withdraw(now, worker, key);
            return;
        }
        let Some(order) = self.start_order(now, key, run, worker, ticket, 0) else {
            self.withdraw(now, worker, key);
            return;
        };
        if let Some(r) = self.fleet.get_mut(worker).runs.get_mut(&key) {
            r.phase = RunPhase::Ordered { unanswered: 0 };
        }
        self.actions.push(Action::Start(order));
        self.actions.push(Action::Wake(worker));
    }

    /// Orders a run that an earlier scheduler has recorded and whose worker does not have it. That scheduler may still send the
    /// same order, also to a later incarnation of the worker. On this worker the two are one run: an incarnation that takes the
    /// one has it already when the other comes, and a restart ends both.
    pub(crate) fn order_recorded(&mut self, now: Time, id: WorkerId, key: TaskKey) {
        let worker = self.fleet.get(id);
        let Some(number) = worker.runs.get(&key).map(|run| run.number) else {
            return;
        };
        let pool = self
            .jobs
            .get(&key.job)
            .map(|entry| &self.policy(&entry.job).pool);
        let takes_work = worker.is_listed
            && !worker.info.is_draining
            && pool == Some(&worker.info.pool)
            && now >= worker.quarantine_until;
        // A successor relies on the first row to tell that this scheduler may have granted leases.
        if !takes_work || self.journal.batches() == 0 {
            return;
        }
        // A refusal covers only this order and not the one of the earlier scheduler, as if that one had gone without an answer.
        let unanswered = 1;
        let Some(order) = self.start_order(now, key, number, id, None, unanswered) else {
            return;
        };
        if let Some(run) = self.fleet.get_mut(id).runs.get_mut(&key) {
            run.phase = RunPhase::Ordered { unanswered };
        }
        self.actions.push(Action::Start(order));
    }

    /// Returns the ticket for a task's step on a worker, if one is valid now.
    fn current_ticket(&self, now: Time, key: TaskKey, worker: WorkerId) -> Option<Ticket> {
        let started_unix_ms = self.fleet.get(worker).info.started_unix_ms;
        let approvals = self.approvals.get(&key.step_key())?;
        approvals.ticket(now, worker, started_unix_ms).cloned()
    }

    /// Returns the start order for a run, if tasks may be started, the run is still wanted, the worker has not shrunk
    /// below what it has, its clock is known, and its leases may be renewed, which the order does.
    fn start_order(
        &mut self,
        now: Time,
        key: TaskKey,
        run: u32,
        worker: WorkerId,
        ticket: Option<Ticket>,
        unanswered: u32,
    ) -> Option<StartOrder> {
        let target = self.fleet.get(worker);
        let takes_starts = !target.is_overcommitted() && !target.has_overdue_stops(now, &self.cfg);
        if !self.may_start(now) || !takes_starts {
            return None;
        }
        let entry = self.jobs.get(&key.job)?;
        let task = entry.progress.task(key);
        let started_unix_ms = self.fleet.get(worker).info.started_unix_ms;
        let is_wanted = entry.ended_at.is_none()
            && task.run == run
            && matches!(&task.phase, Phase::Assigned(incarnation) if incarnation.started_unix_ms == started_unix_ms);
        if !is_wanted {
            return None;
        }
        let spec = entry.job.spec.clone();
        let target = self.fleet.get_mut(worker);
        let lease_until_ms = target.grant_lease(now, &self.cfg)?;
        target.start_sent(now);
        if let Some(run) = target.runs.get_mut(&key) {
            run.orders_lapse_at = now + self.cfg.lapse_after();
        }
        let fence = self.fence(worker);
        Some(StartOrder {
            worker,
            key,
            run,
            spec,
            checkpoint: task.checkpoint,
            ticket,
            lease_until_ms,
            fence,
            unanswered,
        })
    }

    /// Handles the outcome of a start order.
    pub fn start_answered(&mut self, now: Now, order: &StartOrder, answer: StartAnswer) {
        let now = now.time;
        let fence = self.fence(order.worker);
        let worker = self.fleet.get_mut(order.worker);
        worker.open_starts = worker.open_starts.saturating_sub(1);
        worker.last_start_at = now;
        if answer == StartAnswer::Unknown {
            let until = now + self.cfg.late_start;
            worker.start_unanswered(now, order.key, order.run, until);
            worker.may_grant(until, &self.cfg);
        } else {
            worker.may_grant(now, &self.cfg);
        }
        if worker.has_unacknowledged_ends() && !worker.awaits_starts(now) {
            self.actions.push(Action::Wake(order.worker));
        }
        let Some(run) = worker.runs.get_mut(&order.key) else {
            return;
        };
        let RunPhase::Ordered { unanswered } = run.phase else {
            return;
        };
        if run.number != order.run {
            return;
        }
        match answer {
            StartAnswer::Started => {
                run.phase = RunPhase::Running;
                run.has_begun = true;
                run.confirmed_at = Some(now);
                worker.heard_at = Some(now);
                self.mark_begun(order.key.job);
            }
            StartAnswer::NoRoom | StartAnswer::NoApproval => {
                if let Some(approvals) = self.approvals.get_mut(&order.key.step_key()) {
                    approvals.revoke(order.worker);
                }
                self.start_refused(now, order, answer, unanswered);
            }
            StartAnswer::Busy => self.start_refused(now, order, answer, unanswered),
            StartAnswer::Unhealthy
            | StartAnswer::Faulty
            | StartAnswer::OtherLife
            | StartAnswer::NotSent => {
                worker.quarantine_until = now + self.cfg.quarantine;
                if answer == StartAnswer::NotSent {
                    // The worker is probably down, and its next poll may be seconds away.
                    worker.probed_at = Some(now);
                    self.actions.push(Action::Wake(order.worker));
                }
                self.start_refused(now, order, answer, unanswered);
            }
            StartAnswer::Fenced if order.fence >= fence => self.depose(),
            // A refusal of a token that was raised since says nothing about the orders before.
            StartAnswer::Unknown | StartAnswer::Fenced if unanswered < self.cfg.start_retries => {
                run.phase = RunPhase::Ordered {
                    unanswered: unanswered + 1,
                };
                let again = self.start_order(
                    now,
                    order.key,
                    order.run,
                    order.worker,
                    order.ticket.clone(),
                    unanswered + 1,
                );
                match again {
                    Some(again) => self.actions.push(Action::Start(again)),
                    None => self.stop_member(now, order.worker, order.key, order.run),
                }
            }
            StartAnswer::Unknown | StartAnswer::Fenced => {
                self.stop_member(now, order.worker, order.key, order.run);
            }
            // The run may have begun and ended, as done with its whole gang. The lists show this; the stop order
            // keeps it from beginning later.
            StartAnswer::Outdated => self.stop_run(now, order.worker, order.key),
        }
    }

    /// Handles the clock of a worker in its answer to a start order, after [`start_answered`](Self::start_answered). An
    /// incarnation whose clock shows no less than was expected takes this order, and later ones, for usual leases.
    pub fn start_clock_read(&mut self, now: Now, order: &StartOrder, clock_ms: u64) {
        let granted = Duration::from_millis(order.lease_until_ms.saturating_sub(clock_ms));
        if granted > self.cfg.task_lease {
            return;
        }
        let needs_ticket = self.needs_ticket(order.key.job);
        let worker = self.fleet.get_mut(order.worker);
        let is_late = worker.late_starts.contains_key(&(order.key, order.run));
        if let Some(run) = worker.runs.get_mut(&order.key)
            && run.number == order.run
            && run.phase == RunPhase::Running
            && (needs_ticket || !is_late)
        {
            run.begun_by = BegunBy::Known;
            worker.lapse_at = worker.lapse_at.max(now.time + self.cfg.lapse_after());
        }
    }

    /// Handles the refusal of a start order after `unanswered` earlier orders for the same run. The refusal
    /// covers only the order that it answers: an earlier one may have been carried out, or may still be.
    fn start_refused(
        &mut self,
        now: Time,
        order: &StartOrder,
        answer: StartAnswer,
        unanswered: u32,
    ) {
        if unanswered > 0 {
            self.stop_member(now, order.worker, order.key, order.run);
        } else {
            if let Some(run) = self.fleet.get_mut(order.worker).runs.get_mut(&order.key) {
                run.crash = None;
            }
            let cause = Interruption::Refused(answer);
            self.interrupt(now, order.worker, order.key, cause);
        }
    }

    /// Stops a run whose start is given up and, for a gang, its other members, which cannot work without it.
    fn stop_member(&mut self, now: Time, worker: WorkerId, key: TaskKey, run: u32) {
        self.stop_run(now, worker, key);
        if self.is_gang(key) {
            self.stop_gang(now, key, run);
        }
    }

    /// Stops a run. A run whose start order was not sent yet ends at once.
    pub(crate) fn stop_run(&mut self, now: Time, worker: WorkerId, key: TaskKey) {
        let has_ended = self.has_ended(key.job);
        let target = self.fleet.get_mut(worker);
        let stop_due = target.contact_time(now);
        let Some(run) = target.runs.get_mut(&key) else {
            return;
        };
        if has_ended {
            // No further run of the task starts.
            run.former_orders_until = Time::ZERO;
        }
        match run.phase {
            RunPhase::Pending => {
                self.withdraw(now, worker, key);
            }
            RunPhase::Stopping => {}
            RunPhase::Recorded | RunPhase::Ordered { .. } | RunPhase::Running => {
                run.phase = RunPhase::Stopping;
                run.confirmed_at = None;
                run.stop_due = stop_due;
                self.order_stop(worker, key);
            }
        }
    }

    /// Sends a stop order for a run, unless an earlier one is open.
    fn order_stop(&mut self, worker: WorkerId, key: TaskKey) {
        let worker = self.fleet.get_mut(worker);
        if let Some(run) = worker.runs.get(&key).map(|run| run.number) {
            let order = worker.open_stop(key, run);
            self.actions.extend(order.map(Action::Stop));
        }
    }

    /// Handles a worker's confirmation of a stop order: the run ends soon, or never starts there.
    pub fn stop_answered(&mut self, now: Now, order: &StopOrder) {
        let worker = self.fleet.get_mut(order.worker);
        if !worker.close_stop(order) {
            // The present incarnation has not seen the order.
            return;
        }
        self.needs_pass |= worker.stops.are_overdue;
        worker.stop_answered(now.time);
        if let Some(run) = worker.runs.get_mut(&order.key)
            && run.number == order.run
            && run.phase == RunPhase::Stopping
        {
            run.confirmed_at = Some(now.time);
            self.actions.push(Action::Wake(order.worker));
        }
    }

    /// Handles the failure of a stop order: the worker has refused it or has not answered. It is sent again after a pause.
    pub fn stop_failed(&mut self, now: Now, order: &StopOrder) {
        if self.fleet.get_mut(order.worker).close_stop(order) {
            let retry_at = now.time + self.cfg.stop_retry;
            self.stop_checks.insert((retry_at, order.worker, order.key));
        }
    }

    /// Schedules the stop orders again that an earlier incarnation of a worker may have had. The lists of the new one are
    /// likely to be read before, and to show that most are not needed.
    pub(crate) fn renew_stops(&mut self, now: Time, id: WorkerId) {
        let retry_at = now + self.cfg.stop_retry;
        let runs = self.fleet.get(id).runs.iter();
        let stopping = runs.filter(|(_, run)| run.phase == RunPhase::Stopping);
        self.stop_checks
            .extend(stopping.map(|(&key, _)| (retry_at, id, key)));
    }

    /// Sends failed stop orders again.
    pub(crate) fn repeat_stops(&mut self, now: Time) {
        while let Some(&(at, worker, key)) = self.stop_checks.first() {
            if at > now {
                break;
            }
            self.stop_checks.pop_first();
            let run = self.fleet.get(worker).runs.get(&key);
            let is_unanswered =
                run.is_some_and(|r| r.phase == RunPhase::Stopping && r.confirmed_at.is_none());
            if is_unanswered {
                self.order_stop(worker, key);
            }
        }
    }
}
