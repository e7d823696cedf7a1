//! The requests of clients: submitting a job, cancelling it and reading its state.

use std::{sync::Arc, time::Duration};

use jobs::{Job, JobId, Progress, Queue, State, StepKey};
use sched::Scheduler;
use tokio::time::{Instant, sleep};

use crate::{
    Node, Ports, Row, Table,
    follow::is_fresh,
    guard::GuardCondition,
    intake::{NewRow, StoreOutcome},
    message::{RelayReply, RelayRequest},
    relay::Relayed,
    retry_after::retry_after,
    rows::{
        JOBS, JobRow, PROGRESS, SCHEDULER_PART, job_key, job_part, job_range_end, parse_job_key,
        progress_key, read_content,
    },
};

/// A state that may still change is answered from memory if the last message of the scheduler is younger
/// than this, and read from the table otherwise.
const MAX_STATE_AGE: Duration = Duration::from_millis(1_500);

/// How long clients should wait before they retry after a node had no configuration yet.
const RETRY_AFTER_START: Duration = Duration::from_secs(1);

/// The shortest time that clients can be told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pause between two attempts to store a row that may already be stored.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);

/// The longest expected time of the approval requests that a node makes for a job by itself. Longer ones
/// are left to the scheduler, which chooses the node that makes them.
const MAX_LOCAL_APPROVAL_COST: Duration = Duration::from_millis(40);

/// The outcome of submitting a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, by this request or an earlier one.
    Accepted,
    /// The job is not stored, and this request will never cause it to run.
    NotRun {
        /// How long the client should wait before it retries.
        retry_after: Duration,
        /// Why the job was not stored.
        reason: &'static str,
    },
    /// The job may or may not be stored. The same request can safely be sent again.
    Unknown,
}

/// The outcome of a request to cancel a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The cancellation is stored, or the job had already ended.
    Accepted,
    /// There is no such job, and a submission that has not been answered yet will not cause it to run.
    NoJob,
    /// There is no such job, and this node has stored too many cancellations of unknown jobs lately. Nothing was stored.
    Busy {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// The cancellation may or may not be stored. The same request can safely be sent again.
    Unknown,
}

/// The answer to a query for a job's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateAnswer {
    /// The job's state.
    State(State),
    /// There is no such job.
    NoJob,
    /// The state cannot be read at present.
    Unknown,
}

/// An approval request that a node makes by itself for a step of a job that it accepts.
struct LocalApprovalRequest {
    step: u16,
    workers: Vec<Arc<str>>,
    cost: Duration,
}

impl<P: Ports> Node<P> {
    /// Accepts a job: stores it in the table, directly or through the scheduler, before it returns
    /// [`SubmitOutcome::Accepted`].
    pub async fn submit(
        &self,
        queue: &Queue,
        id: JobId,
        mut job: Job,
        deadline: Instant,
    ) -> SubmitOutcome {
        let began = self.0.clock.time();
        let asked = self.local_approval_requests(queue, &job);
        job.approvals_asked = asked.is_some();
        let guard = GuardCondition {
            version: self.0.guards.version(&job_part(id)),
            read_at: Some(began),
        };
        let row = NewRow::job(id, jobs::encode(&job), guard);
        let objective_ms = queue.objective(job.estimated_time()).as_millis();
        let (spec_bytes, steps) = (job.spec.len(), job.steps.len());
        let team = job.team.clone();
        for LocalApprovalRequest {
            step,
            workers,
            cost,
        } in asked.into_iter().flatten()
        {
            let key = StepKey {
                job: id,
                occurrence: 0,
                step,
            };
            self.ask(key, workers, cost);
        }
        let outcome = self.store_or_wait(queue, id, &job, &row, deadline).await;
        let ms = (self.0.clock.time() - began).as_millis();
        self.0.metrics.time("submit", self.0.clock.time() - began);
        match outcome {
            StoreOutcome::Stored(version) => {
                log::info!(
                    "event=accepted job={id} queue={} team={team:?} steps={steps} bytes={spec_bytes} objective_ms={objective_ms} version={version} ms={ms}",
                    queue.name
                );
                self.0.metrics.count("jobs_accepted");
                self.record_job(id, &job);
                self.update_states([(id, State::Queued)]);
                SubmitOutcome::Accepted
            }
            // The row already exists: the client has resent the job, or the answer to an earlier attempt
            // was lost.
            StoreOutcome::Exists => {
                log::info!(
                    "event=accepted_before job={id} queue={} ms={ms}",
                    queue.name
                );
                self.0.metrics.count("jobs_resent");
                SubmitOutcome::Accepted
            }
            StoreOutcome::Excluded => {
                log::info!(
                    "event=refused_as_cancelled job={id} queue={} ms={ms}",
                    queue.name
                );
                self.0.metrics.count("jobs_refused_as_cancelled");
                SubmitOutcome::NotRun {
                    retry_after: self.0.settings.sched.early_cancel_retention,
                    reason: "the job was cancelled before it was accepted",
                }
            }
            StoreOutcome::Outdated(guard) => {
                log::warn!(
                    "event=refused_as_late job={id} queue={} guard={guard} ms={ms}",
                    queue.name
                );
                self.0.metrics.count("jobs_refused_as_late");
                SubmitOutcome::NotRun {
                    retry_after: MIN_RETRY_AFTER,
                    reason: "rows were deleted since the request was read",
                }
            }
            StoreOutcome::NotStored(reason) => {
                let outage = self.0.table.outage();
                let retry_after = if self.0.settings.policy.retries_by_outage {
                    retry_after(outage, id, queue.rank)
                } else {
                    MIN_RETRY_AFTER
                };
                log::warn!(
                    "event=refused job={id} queue={} reason={reason:?} ms={ms} outage_ms={} retry_s={}",
                    queue.name,
                    outage.as_millis(),
                    retry_after.as_secs()
                );
                self.0.metrics.count("jobs_refused");
                self.0.metrics.time("retry_after", retry_after);
                SubmitOutcome::NotRun {
                    retry_after,
                    reason: "the table cannot be reached",
                }
            }
            StoreOutcome::Unknown(reason) => {
                log::warn!(
                    "event=unsettled job={id} queue={} reason={reason:?} ms={ms}",
                    queue.name
                );
                self.0.metrics.count("jobs_unsettled");
                SubmitOutcome::Unknown
            }
        }
    }

    /// Returns the approval requests that this node should make for a job by itself. Returns `None` if
    /// the queue needs no approvals, or if the requests are left to the scheduler because the job has a
    /// schedule, this node knows no workers of the pool, or the answers would take too long.
    fn local_approval_requests(
        &self,
        queue: &Queue,
        job: &Job,
    ) -> Option<Vec<LocalApprovalRequest>> {
        let cost = queue.approval?;
        if !self.0.settings.policy.asks_for_own_jobs {
            return None;
        }
        let workers = self.0.workers.borrow();
        let workers = workers.get(&queue.pool)?;
        let mut requests = Vec::new();
        let mut total = Duration::ZERO;
        for (number, step) in (0_u16..).zip(&job.steps) {
            if !step.after.is_empty() {
                continue;
            }
            let limit = self.0.settings.sched.approval_workers;
            let count = Scheduler::approval_count(step)
                .min(workers.len())
                .min(limit);
            // Requests start at different places in the list, so that the load spreads over the workers.
            let offset =
                model::stable_hash(job.spec.bytes()) % u64::try_from(workers.len()).ok()?.max(1);
            let offset = usize::try_from(offset).unwrap_or(0);
            let named = workers.iter().cycle().skip(offset).take(count).cloned();
            let step_cost = cost.of(count);
            total += step_cost;
            requests.push(LocalApprovalRequest {
                step: number,
                workers: named.collect(),
                cost: step_cost,
            });
        }
        let is_local = job.schedule.is_none()
            && !requests.is_empty()
            && total <= MAX_LOCAL_APPROVAL_COST
            && self.can_ask_soon(total);
        is_local.then_some(requests)
    }

    /// Returns how long clients should wait before they retry when the node has no configuration yet.
    #[must_use]
    pub const fn retry_after_start() -> Duration {
        RETRY_AFTER_START
    }

    /// Cancels a job: stores the cancellation in the table, directly or through the scheduler.
    pub async fn cancel(&self, id: JobId, deadline: Instant) -> CancelOutcome {
        let known = self.0.states.borrow().get(&id).map(|known| known.state);
        match known {
            Some(state) if state.is_final() => return CancelOutcome::Accepted,
            Some(_) => {}
            None => match self.state(id, deadline).await {
                StateAnswer::State(_) => {}
                StateAnswer::NoJob => return self.cancel_unknown(id, deadline).await,
                StateAnswer::Unknown => return CancelOutcome::Unknown,
            },
        }
        self.cancel_stored(id, deadline).await
    }

    /// Cancels a job that is stored.
    async fn cancel_stored(&self, id: JobId, deadline: Instant) -> CancelOutcome {
        let row = NewRow::cancellation(id);
        match self.store(row, deadline).await {
            StoreOutcome::Stored(_) | StoreOutcome::Exists => {
                log::info!("event=cancel_accepted job={id}");
                self.0.metrics.count("cancels_accepted");
                CancelOutcome::Accepted
            }
            StoreOutcome::Excluded | StoreOutcome::Outdated(_) => CancelOutcome::Unknown,
            StoreOutcome::NotStored(reason) | StoreOutcome::Unknown(reason) => {
                log::warn!("event=cancel_unsettled job={id} reason={reason:?}");
                CancelOutcome::Unknown
            }
        }
    }

    /// Cancels a job that is not stored. A submission of it may still be on its way, as a request or as a write that was
    /// given up, so the cancellation is stored before the client learns that there is no such job. The scheduler deletes it
    /// after [`SchedConfig::early_cancel_retention`](sched::SchedConfig::early_cancel_retention).
    pub(crate) async fn cancel_unknown(&self, id: JobId, deadline: Instant) -> CancelOutcome {
        let wait = self.0.early_cancels.borrow_mut().take(self.0.clock.time());
        if let Some(retry_after) = wait {
            self.0.metrics.count("early_cancels_refused");
            return CancelOutcome::Busy { retry_after };
        }
        let row = NewRow::early_cancellation(id);
        match self.store(row, deadline).await {
            StoreOutcome::Stored(_) | StoreOutcome::Exists => {
                log::info!("event=cancel_early job={id}");
                self.0.metrics.count("early_cancels");
                CancelOutcome::NoJob
            }
            // The job was stored meanwhile.
            StoreOutcome::Excluded => self.cancel_stored(id, deadline).await,
            StoreOutcome::Outdated(_) => CancelOutcome::Unknown,
            StoreOutcome::NotStored(reason) | StoreOutcome::Unknown(reason) => {
                log::warn!("event=cancel_unsettled job={id} reason={reason:?}");
                CancelOutcome::Unknown
            }
        }
    }

    /// Stores a row that must not exist yet, through the scheduler if this node cannot reach the table.
    /// Retries until `deadline` once an attempt may have been stored.
    pub(crate) async fn store(&self, mut row: NewRow, deadline: Instant) -> StoreOutcome {
        // A scheduler of an earlier build may have an attempt that expects no version of the guard.
        let unknown_if_late =
            || StoreOutcome::Unknown("rows were deleted since the request was read".to_owned());
        let mut may_be_stored = false;
        loop {
            if Instant::now() >= deadline && !may_be_stored {
                return StoreOutcome::NotStored("no time is left".to_owned());
            }
            if !self.0.table.is_lost() {
                match self.store_guarded(&mut row, deadline).await {
                    StoreOutcome::Unknown(_) => may_be_stored = true,
                    StoreOutcome::NotStored(_) => {}
                    StoreOutcome::Outdated(_) if may_be_stored => return unknown_if_late(),
                    known => return known,
                }
            }
            let request = row.relay_request(self.0.upstream_level.get());
            match self.relay(request, deadline).await {
                Relayed::Answered(RelayReply::Outdated(guard)) => {
                    if self.renew_guard(&mut row, guard) {
                        continue;
                    }
                    return if may_be_stored {
                        unknown_if_late()
                    } else {
                        StoreOutcome::Outdated(guard)
                    };
                }
                Relayed::Answered(RelayReply::Stored) => return StoreOutcome::Stored(0),
                Relayed::Answered(RelayReply::StoredBefore) => {
                    return StoreOutcome::Exists;
                }
                Relayed::Answered(RelayReply::NotStored) | Relayed::NotSent => {}
                Relayed::Answered(_) | Relayed::Unanswered => may_be_stored = true,
            }
            let reason = "neither this node nor the scheduler reaches the table".to_owned();
            if !may_be_stored {
                return StoreOutcome::NotStored(reason);
            }
            if Instant::now() + STORE_RETRY_DELAY >= deadline {
                return StoreOutcome::Unknown(reason);
            }
            sleep(STORE_RETRY_DELAY).await;
        }
    }

    /// Returns a job's state: from memory if it is reliable, otherwise from the table or through the
    /// scheduler.
    pub async fn state(&self, id: JobId, deadline: Instant) -> StateAnswer {
        if let Some(state) = self.known_state(id) {
            return StateAnswer::State(state);
        }
        let mut answer = StateAnswer::Unknown;
        if !self.0.table.is_lost() {
            answer = self.read_state(id, deadline).await;
        }
        if answer == StateAnswer::Unknown {
            answer = self.relay_state(id, deadline).await;
        }
        if let StateAnswer::State(state) = answer {
            self.update_states([(id, state)]);
        }
        answer
    }

    /// Asks the scheduler to read a state that this node cannot read from the table.
    async fn relay_state(&self, id: JobId, deadline: Instant) -> StateAnswer {
        match self.relay(RelayRequest::State(id), deadline).await {
            Relayed::Answered(RelayReply::State(state)) => StateAnswer::State(state),
            Relayed::Answered(RelayReply::NoJob) => StateAnswer::NoJob,
            _ => StateAnswer::Unknown,
        }
    }

    /// Returns a job's state without asking the scheduler.
    pub(crate) async fn local_state(&self, id: JobId, deadline: Instant) -> StateAnswer {
        match self.known_state(id) {
            Some(state) => StateAnswer::State(state),
            None => self.read_state(id, deadline).await,
        }
    }

    /// Returns the state in memory if it is final or recent enough.
    fn known_state(&self, id: JobId) -> Option<State> {
        let state = self.0.states.borrow().get(&id)?.state;
        let is_fresh = is_fresh(
            self.0.scheduler_seen_at.get(),
            self.0.clock.time(),
            MAX_STATE_AGE,
        );
        (state.is_final() || is_fresh).then_some(state)
    }

    /// Reads a job's state from the table.
    async fn read_state(&self, id: JobId, deadline: Instant) -> StateAnswer {
        self.0.metrics.count("states_read");
        let Some(rows) = self.read_job(id, deadline).await else {
            return StateAnswer::Unknown;
        };
        if !rows.has_job {
            log::info!("event=no_job job={id} version={}", rows.version);
            return StateAnswer::NoJob;
        }
        let key = progress_key(id);
        let end = job_range_end(id);
        let read = self
            .0
            .ports
            .read(PROGRESS, SCHEDULER_PART, &key.key, Some(&end));
        let Ok(Ok(page)) = tokio::time::timeout_at(deadline, read).await else {
            return StateAnswer::Unknown;
        };
        let progress = page.rows.iter().find(|row| row.key == key.key);
        let state = match progress {
            None => State::Queued,
            Some(row) => match read_content::<Progress>(PROGRESS, row) {
                Some(progress) => progress.state(),
                None => return StateAnswer::Unknown,
            },
        };
        if rows.has_cancellation && !state.is_final() {
            return StateAnswer::State(State::Cancelled);
        }
        StateAnswer::State(state)
    }

    /// Reads which rows exist for a job. Returns `None` if the table cannot be reached.
    async fn read_job(&self, id: JobId, deadline: Instant) -> Option<JobRows> {
        let key = job_key(id).key;
        let end = job_range_end(id);
        let part = job_part(id);
        let read = self.0.ports.read(JOBS, &part, &key, Some(&end));
        match tokio::time::timeout_at(deadline, read).await {
            Ok(Ok(page)) => {
                let has = |wanted: JobRow| {
                    let is_wanted = |row: &Row| parse_job_key(&row.key) == Some(wanted);
                    page.rows.iter().any(is_wanted)
                };
                self.record_job_rows(&page.rows);
                Some(JobRows {
                    has_job: has(JobRow::Job(id)),
                    has_cancellation: has(JobRow::Cancel(id)),
                    version: page.version,
                })
            }
            Ok(Err(e)) => {
                log::warn!("event=job_unread job={id} error={:?}", e.to_string());
                None
            }
            Err(_) => {
                log::warn!("event=job_unread job={id} error=\"no answer by the deadline\"");
                None
            }
        }
    }

    /// Returns the number of jobs of a queue that have not started, or `None` if the scheduler has not sent
    /// it yet.
    #[must_use]
    pub fn pending(&self, queue: &Queue) -> Option<u64> {
        let pending = self.0.pending.borrow();
        let pending = pending.as_ref()?;
        Some(pending.get(&queue.name).copied().unwrap_or(0))
    }
}

/// Which rows exist for a job, and the version of the table they were read at.
#[derive(Clone, Copy, Debug)]
struct JobRows {
    has_job: bool,
    has_cancellation: bool,
    version: u64,
}
