//! Settings of the scheduler.

use std::time::Duration;

use crate::{Order, ordering::URGENT};

/// Settings of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Copy, Debug)]
pub struct SchedConfig {
    /// How long a task runs on after its lease was last renewed. Long enough to outlive a takeover with
    /// its start of processes (about 4 s), short enough to replace what a silent worker ran.
    pub task_lease: Duration,
    /// How much slower than this process's clock a worker's clock may be, in thousandths. The platform
    /// states 2 %.
    pub clock_drift_milli: u64,
    /// Added to each wait for a lapse, for rounding on either side.
    pub lapse_margin: Duration,
    /// How long a scheduler that can't reach the table renews leases. A successor waits as long for
    /// workers that it can't reach. It covers the outages that the platform has had.
    pub renew_without_table: Duration,
    /// How long a poll of a worker waits there for an end.
    pub poll_wait: Duration,
    /// How often a worker without tasks is polled, to notice its loss before work is given to it.
    pub idle_poll: Duration,
    /// The pause before a worker that did not answer is polled again.
    pub poll_retry: Duration,
    /// How often an unanswered start is sent again before it is withdrawn.
    pub start_retries: u32,
    /// The pause before an unanswered stop is sent again.
    pub stop_retry: Duration,
    /// The most rows that one transaction writes. The platform takes 100 entries, of which the lease row
    /// is two: a condition and a change.
    pub batch_rows: usize,
    /// A lease row is renewed by an empty transaction after this time without another.
    pub heartbeat_interval: Duration,
    /// How much of an approval's validity is left unused, for the way from the approver to the worker.
    pub approval_margin: Duration,
    /// How long the node that took a job in may take for its first approvals before the scheduler has
    /// them asked for itself.
    pub approval_grace: Duration,
    /// The pause after a request for approvals has failed, and between two searches for workers that a step
    /// was not asked about. Requests for gangs take most of a second.
    pub approval_retry: Duration,
    /// Requests for approvals that would have to wait longer than this at every node are not made yet: more
    /// urgent ones may come, and room is held meanwhile. It covers the way to the nodes.
    pub approval_backlog: Duration,
    /// The most workers that one request for approvals names. The platform takes 100.
    pub approval_workers: usize,
    /// Consecutive failures of tasks, with no success between, that put a worker under quarantine.
    pub failure_streak: u32,
    /// The first quarantine. Each further one without a success in between is twice as long.
    pub quarantine: Duration,
    /// The longest quarantine.
    pub quarantine_max: Duration,
    /// In which order steps get room.
    pub order: Order,
    /// How many times a pass may search all workers for a step. Each search takes some 20 us for 350.
    pub max_searches: usize,
    /// Running tasks that can resume elsewhere make way for queues of up to this rank; none for no queue. For
    /// gangs of lower ranks it gained nothing: what made way had to find room again.
    pub preempting_rank: Option<u32>,
    /// How many gangs at the head of the line have room kept for them.
    pub max_gang_reservations: usize,
    /// How long a job that is over is remembered. The platform asks for 120 s.
    pub job_retention: Duration,
}

impl Default for SchedConfig {
    fn default() -> Self {
        Self {
            task_lease: Duration::from_secs(5),
            clock_drift_milli: 20,
            lapse_margin: Duration::from_millis(150),
            renew_without_table: Duration::from_secs(6),
            poll_wait: Duration::from_secs(1),
            idle_poll: Duration::from_secs(5),
            poll_retry: Duration::from_millis(200),
            start_retries: 2,
            stop_retry: Duration::from_millis(300),
            batch_rows: 90,
            heartbeat_interval: Duration::from_millis(400),
            approval_margin: Duration::from_millis(150),
            approval_grace: Duration::from_millis(400),
            approval_retry: Duration::from_millis(700),
            approval_backlog: Duration::from_millis(150),
            approval_workers: 100,
            failure_streak: 3,
            quarantine: Duration::from_millis(1_500),
            quarantine_max: Duration::from_secs(12),
            order: Order::InTime,
            max_searches: 16,
            preempting_rank: Some(URGENT),
            max_gang_reservations: 1,
            job_retention: Duration::from_secs(150),
        }
    }
}

impl SchedConfig {
    /// How long after the sending of a renewal the lease has surely lapsed, by this process's clock.
    pub(crate) fn lapse_after(&self) -> Duration {
        let lease = self.task_lease;
        // A clock that runs 2 % slow takes 1 / 0.98 as long.
        let slow = lease * 1_000 / u32::try_from(1_000 - self.clock_drift_milli).unwrap_or(1_000);
        slow + self.lapse_margin
    }
}
