//! Settings of the scheduler.

use std::time::Duration;

use crate::{Order, ordering::URGENT};

/// Settings of a [`Scheduler`](crate::Scheduler).
#[derive(Clone, Copy, Debug)]
pub struct SchedConfig {
    /// How long a task may run after its lease was last renewed. It is long enough to outlast a
    /// takeover including the start of processes (about 4 s), and short enough to replace the tasks
    /// of a silent worker soon.
    pub task_lease: Duration,
    /// The longest lease that a worker accepts. It shortens longer ones.
    pub max_task_lease: Duration,
    /// By how much a worker's clock may be slower than this process's clock, in thousandths. The
    /// platform states 2 %.
    pub clock_drift_milli: u64,
    /// Added to each wait for leases to lapse, to cover rounding on either side.
    pub lapse_margin: Duration,
    /// How long a scheduler that cannot reach the table continues to renew leases. A successor
    /// waits for the same time for workers that it cannot reach, unless it knows more of their leases. It covers the
    /// outages that the platform has had.
    pub renew_without_table: Duration,
    /// How long a worker with runs is out of contact before the lease row tells a bound for its leases. A shorter loss needs
    /// no row.
    pub bound_after: Duration,
    /// How much later than its present leases the bound of a worker ends. Until then, its leases can be renewed though no row
    /// can be stored. A successor waits for as much longer.
    pub bound_grace: Duration,
    /// How old the list of workers may be when a task is started. A worker may have shrunk since then, and the platform
    /// lets its former size count for 4 s and the interval between two entries.
    pub workers_max_age: Duration,
    /// How long a poll may wait on a worker for a run to end.
    pub poll_wait: Duration,
    /// The interval between polls of a worker without tasks, so that its loss is noticed before
    /// work is given to it.
    pub idle_poll: Duration,
    /// The pause before a worker that did not answer is polled again.
    pub poll_retry: Duration,
    /// How long after the answer to a poll a worker cannot yet have restarted and ended a new run.
    pub ack_contact: Duration,
    /// The pause between polls of a worker whose ends may not be acknowledged yet. Ends that were not read count as lost
    /// if the worker crashes, so the pause is short.
    pub ack_pause: Duration,
    /// For how long an unanswered start order may still be carried out. The platform gives no bound; late orders
    /// in tests take up to 6 s.
    pub late_start: Duration,
    /// How many times an unanswered start order is sent again before it is withdrawn.
    pub start_retries: u32,
    /// The pause after a stop order has failed, before it is sent again.
    pub stop_retry: Duration,
    /// How long it takes from when a worker carries out a stop until it has ended the run, and the scheduler has read that and
    /// has renewed the leases of other runs. Workers take up to 0.4 s to end a run.
    pub stop_time: Duration,
    /// The most rows that one transaction writes. The platform accepts 100 entries, and the lease
    /// row takes two: a condition and a change.
    pub batch_rows: usize,
    /// The time without a transaction after which an empty one renews the lease row.
    pub heartbeat_interval: Duration,
    /// The part of an approval's validity that is left unused, to cover the time from the approver
    /// to the worker.
    pub approval_margin: Duration,
    /// How long the scheduler waits for the first approvals from the node that accepted a job
    /// before it requests them itself.
    pub approval_grace: Duration,
    /// The pause after a failed request for approvals, and between two searches for workers that a
    /// step has not asked about. Requests for gangs take most of a second.
    pub approval_retry: Duration,
    /// Requests for approvals that would have to wait longer than this at every node are not sent
    /// yet, because more urgent ones may come and capacity would be reserved meanwhile. It covers
    /// the transmission to the nodes.
    pub approval_backlog: Duration,
    /// The most workers that one request for approvals names. The platform accepts 100.
    pub approval_workers: usize,
    /// The number of consecutive task failures that put a worker under quarantine.
    pub failure_streak: u32,
    /// The duration of the first quarantine. Each further one without a success in between is twice
    /// as long.
    pub quarantine: Duration,
    /// The longest duration of a quarantine.
    pub quarantine_max: Duration,
    /// The number of workers that crash under a task before its job may fail, if all of them certainly had the task and the
    /// last one no tasks of other steps. Otherwise it takes one or two crashes more. The job fails then if the evidence
    /// points to the task rather than to the workers, and else after more crashes.
    pub crash_limit: u32,
    /// How long after a crash was noticed the workers that crashed at the same time are known. Workers are down for about
    /// a second, and the list of workers shows a restart half a second later.
    pub crash_settle: Duration,
    /// The number of tasks of a step that may run at a time after a worker has crashed under one of them and before
    /// one has succeeded. Those that were started before the crash do not count.
    pub max_trials: usize,
    /// A task under which workers have crashed starts only on a worker that has answered so recently. A crash soon
    /// after is then not one that came before the start.
    pub trial_contact: Duration,
    /// How long a task waits for silent workers to come back that may have crashed under it, if they and those that have
    /// would reach `crash_limit`. Long-running tasks do not wait.
    pub return_wait: Duration,
    /// A long-running task that has run for so long is no longer suspected to crash its workers: it need not stay apart
    /// from other work, and earlier crashes do not count.
    pub long_running_trial: Duration,
    /// The order in which waiting steps get free capacity.
    pub order: Order,
    /// The number of searches over all workers that a pass may make. Each search takes about 20 us
    /// for 350 workers.
    pub max_searches: usize,
    /// Queues of this rank or a more urgent one preempt running tasks that can resume elsewhere;
    /// `None` disables preemption. Preemption by gangs of less urgent ranks brought no gain: the
    /// preempted tasks had to be placed again.
    pub preempting_rank: Option<u32>,
    /// Steps that can wait are held back while gangs that can still be in time wait for at least this share
    /// of all processors, in thousandths.
    pub holding_gang_share_milli: u32,
    /// A step is no longer held back once its slack has shrunk to this percentage of what its job had at
    /// first. At 100 no step is held back.
    pub holding_slack_percent: u32,
    /// A gang requests approvals for workers until those that are likely to be allowed would hold, if
    /// empty, this many times its tasks. At 0 it requests no more than for tasks that start one by one.
    pub gang_choice: u32,
    /// Whether workers are reserved for long-running tasks that fit nowhere.
    pub reserves_workers: bool,
    /// The number of gangs, in scheduling order, that may have capacity reserved in a pass.
    pub max_gang_reservations: usize,
    /// How long a job is kept after it has ended. The platform requires 120 s.
    pub job_retention: Duration,
    /// How long the cancellation of an unknown job is kept. Meanwhile the job is not accepted. It is longer than a
    /// submission, a copy of it or a write that was given up may still be on its way.
    pub early_cancel_retention: Duration,
}

impl Default for SchedConfig {
    fn default() -> Self {
        Self {
            task_lease: Duration::from_secs(5),
            max_task_lease: Duration::from_secs(10),
            clock_drift_milli: 20,
            lapse_margin: Duration::from_millis(150),
            renew_without_table: Duration::from_secs(6),
            bound_after: Duration::from_millis(500),
            bound_grace: Duration::from_millis(1_750),
            workers_max_age: Duration::from_secs(3),
            poll_wait: Duration::from_secs(1),
            idle_poll: Duration::from_secs(5),
            poll_retry: Duration::from_millis(200),
            ack_contact: Duration::from_millis(100),
            ack_pause: Duration::from_millis(50),
            late_start: Duration::from_secs(6),
            start_retries: 2,
            stop_retry: Duration::from_millis(300),
            stop_time: Duration::from_secs(1),
            batch_rows: 90,
            heartbeat_interval: Duration::from_millis(200),
            approval_margin: Duration::from_millis(150),
            approval_grace: Duration::from_millis(400),
            approval_retry: Duration::from_millis(700),
            approval_backlog: Duration::from_millis(150),
            approval_workers: 100,
            failure_streak: 3,
            quarantine: Duration::from_millis(1_500),
            quarantine_max: Duration::from_secs(12),
            crash_limit: 3,
            crash_settle: Duration::from_secs(2),
            max_trials: 2,
            trial_contact: Duration::from_millis(500),
            return_wait: Duration::from_secs(8),
            long_running_trial: Duration::from_secs(10),
            order: Order::InTime,
            max_searches: 16,
            preempting_rank: Some(URGENT),
            holding_gang_share_milli: 30,
            holding_slack_percent: 50,
            gang_choice: 20,
            reserves_workers: true,
            max_gang_reservations: 1,
            job_retention: Duration::from_secs(150),
            early_cancel_retention: Duration::from_secs(30),
        }
    }
}

impl SchedConfig {
    /// Returns for how long a stop of a run may be due, while its worker answers polls but no stop order, before the leases of
    /// the worker are not renewed any more. A stop that is carried out as late as a start may be must end its run before the
    /// leases of the other runs lapse. They are last renewed by a poll that may wait.
    #[must_use]
    pub fn stop_overdue(&self) -> Duration {
        (self.late_start + self.stop_time + self.poll_wait).saturating_sub(self.task_lease)
    }

    /// Returns the time after which a lease that is granted or renewed now has certainly lapsed, by
    /// this process's clock.
    pub(crate) fn lapse_after(&self) -> Duration {
        self.lapse_after_lease(self.task_lease)
    }

    /// Returns the time after which every lease has certainly lapsed that a worker may hold now, whoever granted
    /// it. After a restart that is not noticed yet, an order names a time on the clock of the old incarnation,
    /// which may lie far in the future of the new one.
    pub(crate) fn longest_lapse(&self) -> Duration {
        self.lapse_after_lease(self.max_task_lease)
    }

    /// Returns the longest lease that has certainly lapsed `span` from now if it is granted now.
    pub(crate) fn lease_within(&self, span: Duration) -> Option<Duration> {
        let fast = u32::try_from(1_000 - self.clock_drift_milli).unwrap_or(1_000);
        let lease = span.checked_sub(self.lapse_margin)? * fast / 1_000;
        (!lease.is_zero()).then_some(lease)
    }

    fn lapse_after_lease(&self, lease: Duration) -> Duration {
        // A clock that is 2 % slow takes 1 / 0.98 times as long.
        let slow = lease * 1_000 / u32::try_from(1_000 - self.clock_drift_milli).unwrap_or(1_000);
        slow + self.lapse_margin
    }
}
