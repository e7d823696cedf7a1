//! Polls of workers. They renew leases, and the answers list the runs in progress and the ended
//! runs.

use std::{collections::HashSet, time::Duration};

use jobs::{EndKind, Phase, TaskKey};
use model::{Time, WorkerId};

use crate::{
    Action, Interruption, Listing, Now, Poll, PollFailure, PollOrder, RunningRow, Scheduler,
    teams::ledger::Charge,
    worker::{BegunBy, Run, RunPhase},
};

/// The most ends that a worker lists at a time. A list of this length may be incomplete.
const MAX_LISTED_ENDS: usize = 500;

impl Scheduler {
    /// Returns when to poll a worker, or the poll to send now. A returned poll is recorded as sent.
    pub fn next_poll(&mut self, now: Now, id: WorkerId) -> Poll {
        let now = now.time;
        let stored = self.journal.stored();
        // A successor relies on the first row to tell that this scheduler may have granted leases.
        let may_renew = self.may_order(now) && self.journal.batches() > 0;
        let cfg = self.cfg;
        if self.is_deposed {
            return Poll::Never;
        }
        let worker = self.fleet.get_mut(id);
        if worker.info.address.is_empty() || (!worker.is_listed && worker.is_idle()) {
            return Poll::Never;
        }
        if worker.ack_after <= stored {
            worker.ackable = worker.processed;
        }
        let polled_at = worker.polled_at.unwrap_or(Time::ZERO);
        let is_acknowledging = worker.ackable < worker.processed;
        // A late acknowledgement must find no ends of a later incarnation. So none is sent while a start order
        // from before may still be carried out, and those sent while it is open carry a higher fencing token.
        let awaits_starts = worker.has_unacknowledged_ends() && worker.awaits_starts(now);
        let may_acknowledge = !awaits_starts && worker.is_known_to_last(now, &cfg);
        // Its leases are renewed for longer as soon as a row that tells no bound is stored.
        let is_bounded = !worker.runs.is_empty() && worker.bound.limit().is_some();
        let pause = if worker.probed_at.is_some() {
            Duration::ZERO
        } else if worker.silent_since.is_some() {
            cfg.poll_retry
        } else if !worker.is_synced {
            Duration::ZERO
        } else if is_acknowledging {
            // Until the ends are stored, the worker would only list them again. Leases still have
            // to be renewed.
            cfg.task_lease / 4
        } else if awaits_starts {
            // The answer to the start order is likely to come before, and ends the pause.
            let read_at = worker.lists_read.map_or(polled_at, |(_, read_at)| read_at);
            read_at.max(polled_at) + cfg.ack_pause - polled_at
        } else if is_bounded {
            cfg.poll_retry
        } else if worker.is_idle() && !worker.has_unacknowledged_ends() {
            cfg.idle_poll
        } else {
            Duration::ZERO
        };
        let is_first = worker.polled_at.is_none();
        if !is_first && now < polled_at + pause {
            return Poll::At(polled_at + pause);
        }
        worker.polled_at = Some(now);
        // Each incarnation numbers its ends from the start. A worker that has been silent may have
        // restarted, and would then take the old number as an acknowledgement of ends that were
        // never read.
        let is_incarnation_known = worker.is_synced && worker.silent_since.is_none();
        let has_ends = worker.has_unacknowledged_ends();
        let acknowledged = if is_incarnation_known && may_acknowledge && has_ends {
            worker.ack_sent = worker.ackable;
            worker.ackable
        } else {
            0
        };
        worker.poll_acknowledges = acknowledged > 0;
        worker.poll_raises = worker.fence_raises;
        let is_acknowledged = !is_acknowledging && !worker.has_unacknowledged_ends();
        let may_wait =
            worker.is_synced && worker.silent_since.is_none() && is_acknowledged && !is_bounded;
        let wait = if may_wait && !worker.is_idle() {
            // A recorded run is ordered after the next lists.
            let is_recorded = |run: &Run| run.phase == RunPhase::Recorded;
            if worker.runs.values().any(is_recorded) {
                cfg.poll_retry
            } else {
                cfg.poll_wait
            }
        } else {
            Duration::ZERO
        };
        // The leases of a silent worker are not renewed. Each renewal that it might have received
        // would postpone the time from which its tasks may start elsewhere.
        let renews = may_renew
            && !worker.runs.is_empty()
            && worker.silent_since.is_none()
            && !worker.has_overdue_stops(now, &cfg);
        Poll::Now(PollOrder {
            worker: id,
            acknowledged,
            lease_until_ms: if renews {
                worker.grant_lease(now, &cfg)
            } else {
                None
            },
            wait,
        })
    }

    /// Handles a worker's answer to a poll that was sent at `sent_at`.
    pub fn polled(&mut self, now: Now, id: WorkerId, sent_at: Time, listing: &Listing) {
        let now = now.time;
        self.fleet.get_mut(id).poll_acknowledges = false;
        let started_unix_ms = self.fleet.get(id).info.started_unix_ms;
        if listing.started_unix_ms < started_unix_ms {
            return;
        }
        if listing.started_unix_ms > started_unix_ms {
            self.worker_restarted(now, id, listing.started_unix_ms);
            if started_unix_ms > 0 {
                // The new incarnation may have another size or other labels, which its own entry in the directory
                // tells. Entries without a start time are not replaced.
                self.fleet.get_mut(id).is_listed = false;
            }
        }
        let worker = self.fleet.get_mut(id);
        worker.known_at.get_or_insert(now);
        worker.start_told_by = None;
        worker.read_clock(listing.clock_ms, now);
        worker.heard_at = Some(now);
        worker.contacted(now);
        self.needs_pass |= worker.probed_at.take().is_some();
        if worker.silent_since.take().is_some() || !worker.is_synced {
            self.needs_pass = true;
        }
        if !worker.is_fence_current(sent_at) {
            // Orders for the earlier incarnation may still be carried out after these lists.
            return;
        }
        worker.answered(now, &self.past_leases, &self.cfg);
        if self.lists_orphans(listing) {
            return;
        }
        self.fleet.get_mut(id).lists_read = Some((sent_at, now));
        // Ends are applied first: a run whose order reached the new incarnation may already have
        // ended there.
        self.forget_lapses(now, id);
        self.apply_ends(now, id, listing);
        self.end_earlier_incarnations(now, id, sent_at, listing);
        self.end_strays(id, listing);
        for row in &listing.running {
            self.update_running(now, id, sent_at, row);
        }
        if listing.ended.len() < MAX_LISTED_ENDS {
            self.end_missing(now, id, sent_at, listing);
        }
        self.fleet.get_mut(id).is_synced = true;
        self.heard_without_orphans(now, id);
        self.check_overdue_stops(now, id);
    }

    /// Reports stops that are overdue, so that the leases of the worker are not renewed.
    fn check_overdue_stops(&mut self, now: Time, id: WorkerId) {
        let worker = self.fleet.get_mut(id);
        let is_overdue = worker.has_overdue_stops(now, &self.cfg);
        let was_overdue = std::mem::replace(&mut worker.stops.are_overdue, is_overdue);
        if is_overdue && !was_overdue {
            let (runs, due_for) = worker.unanswered_stops(now);
            self.actions.push(Action::StopsOverdue {
                worker: id,
                runs,
                due_for,
            });
        }
        self.needs_pass |= was_overdue && !is_overdue;
    }

    /// Handles the failure of a poll.
    pub fn poll_failed(&mut self, now: Now, id: WorkerId, failure: PollFailure) {
        let worker = self.fleet.get(id);
        let is_fence_current = worker.poll_raises == worker.fence_raises;
        if failure == PollFailure::Fenced && is_fence_current {
            self.depose();
            return;
        }
        if failure == PollFailure::OtherLife {
            self.worker_replaced(now.time, id);
        }
        let worker = self.fleet.get_mut(id);
        // The acknowledgement in the poll may be lost, or may be carried out much later.
        worker.ack_sent = 0;
        worker.probed_at = None;
        let has_acknowledged = std::mem::take(&mut worker.poll_acknowledges);
        if failure == PollFailure::Fenced {
            // The worker has refused a token that was raised since, and has done nothing.
            return;
        }
        if has_acknowledged && is_fence_current {
            worker.fence_raises += 1;
        }
        worker.contact_lost();
        if worker.silent_since.is_none() {
            worker.may_grant(now.time + self.cfg.late_start, &self.cfg);
        }
        worker.silent_since.get_or_insert(now.time);
        worker.unheard_since.get_or_insert(now.time);
    }

    /// Applies the listed ends that were not processed yet.
    fn apply_ends(&mut self, now: Time, id: WorkerId, listing: &Listing) {
        let cfg = self.cfg;
        for row in &listing.ended {
            let worker = self.fleet.get_mut(id);
            if row.number <= worker.processed {
                continue;
            }
            worker.processed = row.number;
            let end = &row.end;
            let is_current = worker
                .runs
                .get(&end.key)
                .is_some_and(|r| r.number == end.run);
            let run = if is_current {
                worker.remove_run(now, &end.key)
            } else {
                None
            };
            match end.kind {
                EndKind::Done => worker.record_result(now, false, &cfg),
                EndKind::Failed => worker.record_result(now, true, &cfg),
                EndKind::Interrupted => {}
            }
            self.needs_pass = true;
            if end.kind != EndKind::Interrupted {
                self.mark_begun(end.key.job);
            }
            if let Some(run) = run.filter(|_| end.kind == EndKind::Done) {
                self.record_run_time(now, end.key, &run);
            }
            let is_applied = self.apply_end(now, end);
            if !is_applied && end.kind != EndKind::Interrupted && !self.is_done(end.key) {
                let end = end.clone();
                self.actions.push(Action::EndIgnored { worker: id, end });
            }
            self.fleet.get_mut(id).ack_after = self.journal.last();
        }
    }

    /// Returns whether a task has succeeded, as one member's success counts for its whole gang.
    fn is_done(&self, key: TaskKey) -> bool {
        let entry = self.jobs.get(&key.job);
        entry.is_some_and(|entry| entry.progress.task(key).phase == Phase::Done)
    }

    /// Updates a run from the worker's list, or stops the listed run if it is not the current one.
    fn update_running(&mut self, now: Time, id: WorkerId, sent_at: Time, row: &RunningRow) {
        let needs_ticket = self.needs_ticket(row.key.job);
        let worker = self.fleet.get_mut(id);
        let current = worker.runs.get_mut(&row.key);
        let Some(run) = current.filter(|run| run.number == row.run) else {
            self.stop_stray(now, id, row);
            return;
        };
        run.checkpoint.clone_from(&row.checkpoint);
        let late = worker.late_starts.get(&(row.key, row.run));
        if needs_ticket || late.is_none_or(|&until| until <= sent_at) {
            run.begun_by = BegunBy::Known;
        }
        if run.phase == RunPhase::Recorded {
            // The earlier scheduler has sent its order, and this is what it has begun.
            run.former_orders_until = Time::ZERO;
        }
        if matches!(run.phase, RunPhase::Recorded | RunPhase::Ordered { .. }) {
            run.phase = RunPhase::Running;
            run.has_begun = true;
            run.confirmed_at = Some(now);
            self.mark_begun(row.key.job);
        }
    }

    /// Stops a run that is not the current one of its task. Its capacity stays occupied until the worker no
    /// longer lists it, or until its lease has lapsed. After each list that has it, the order is sent again unless the last
    /// one is open.
    fn stop_stray(&mut self, now: Time, id: WorkerId, row: &RunningRow) {
        let step = self
            .jobs
            .get(&row.key.job)
            .and_then(|entry| entry.job.steps.get(usize::from(row.key.step)));
        let size = step.map(jobs::Step::reserved);
        let charge = step.map(|_| self.charge(row.key.step_key()));
        // An earlier scheduler may have granted the lease, or an order that was carried out late.
        let lapse_at = now + self.cfg.longest_lapse();
        let worker = self.fleet.get_mut(id);
        // A run of unknown size may use all of the worker.
        let size = size.unwrap_or(worker.info.size);
        let charge = charge.unwrap_or(Charge {
            size,
            ..Charge::default()
        });
        if worker.add_stray(now, row.key, row.run, size, charge) {
            worker.lapse_at = worker.lapse_at.max(lapse_at);
            self.actions.push(Action::Stray {
                key: row.key,
                run: row.run,
                worker: id,
            });
        }
        let order = worker.open_stop(row.key, row.run);
        self.actions.extend(order.map(Action::Stop));
    }

    /// Releases the capacity of the strays that the worker no longer lists.
    fn end_strays(&mut self, id: WorkerId, listing: &Listing) {
        let is_listed =
            |key, run| (listing.running.iter()).any(|row| row.key == key && row.run == run);
        if self.fleet.get_mut(id).retain_strays(is_listed) {
            self.needs_pass = true;
        }
    }

    /// Ends the runs that the worker does not list although it had confirmed them before the poll was sent, or
    /// although no order for them could still be carried out by then. Orders the others that were recorded: their task may
    /// not start on another worker yet.
    fn end_missing(&mut self, now: Time, id: WorkerId, sent_at: Time, listing: &Listing) {
        let listed: HashSet<(TaskKey, u32)> = listing
            .running
            .iter()
            .map(|row| (row.key, row.run))
            .collect();
        let is_missing = |run: &Run| {
            let must_be_listed = match run.phase {
                RunPhase::Recorded => true,
                RunPhase::Pending | RunPhase::Ordered { .. } => false,
                RunPhase::Running => run.confirmed_at.is_some_and(|at| at < sent_at),
                // A worker that refuses all stop orders may still answer polls.
                RunPhase::Stopping => {
                    run.confirmed_at.is_some_and(|at| at < sent_at) || run.orders_lapse_at < sent_at
                }
            };
            must_be_listed && run.former_orders_until <= sent_at
        };
        let missing: Vec<TaskKey> = self
            .fleet
            .get(id)
            .runs
            .iter()
            .filter(|(key, run)| !listed.contains(&(**key, run.number)) && is_missing(run))
            .map(|(&key, _)| key)
            .collect();
        for key in missing {
            self.interrupt(now, id, key, Interruption::NotListed);
        }
        let runs = self.fleet.get(id).runs.iter();
        let recorded: Vec<TaskKey> = runs
            .filter(|(_, run)| run.phase == RunPhase::Recorded && !run.is_of_earlier_incarnation)
            .map(|(&key, _)| key)
            .collect();
        for key in recorded {
            self.order_recorded(now, id, key);
        }
    }
}
