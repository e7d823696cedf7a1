//! Cancellations that come before the row of their job.

use std::{cell::Cell, future::poll_fn, pin::pin, rc::Rc, task::Poll, time::Duration};

use cluster::{CancelOutcome, Node, StateAnswer, SubmitOutcome};
use jobs::{JobId, State};
use tokio::{
    sync::Notify,
    task::{JoinHandle, LocalSet, spawn_local},
    time::{Instant, sleep},
};

use super::{ID, run, submit, until_state};
use crate::support::{
    Platform, TableFault, deadline, job, platform, queue, start, start_with_retention, until,
};

/// A job whose row is in the same part as that of [`ID`].
const SAME_PART: JobId = JobId(7 + 64);

/// Returns a platform, and two nodes on it. The first one schedules.
async fn two_nodes() -> (Platform, Node<Platform>, Platform, Node<Platform>) {
    let first = platform();
    let scheduling = start("n1", 0, &first).await;
    assert_eq!(
        submit(&scheduling, JobId(1), 1).await,
        SubmitOutcome::Accepted
    );
    until_state(&scheduling, JobId(1), State::Completed).await;
    let second = first.for_another();
    let other = start("n2", 1, &second).await;
    until_state(&other, JobId(1), State::Completed).await;
    (first, scheduling, second, other)
}

/// Guards against a job that runs though its submission was answered with 504 and its cancellation with 410: a write that was
/// given up was carried out after the cancellation.
#[test]
fn a_job_that_was_cancelled_before_its_late_write_never_runs() {
    run(async {
        let (first, _scheduling, second, other) = two_nodes().await;
        let third = start("n3", 2, &first.for_another()).await;
        // The submission is also relayed to the scheduler, whose write is late as well.
        let fault = TableFault::CarriesOutJobsLate(Duration::from_millis(1_500));
        first.fault.set(fault);
        second.fault.set(fault);
        let soon = Instant::now() + Duration::from_millis(600);
        let submission = other.submit(&queue(), ID, job(2), soon).await;
        assert_eq!(submission, SubmitOutcome::Unknown);
        assert_eq!(third.cancel(ID, deadline()).await, CancelOutcome::NoJob);
        first.fault.set(TableFault::None);
        second.fault.set(TableFault::None);
        sleep(Duration::from_millis(2_500)).await;
        assert_eq!(first.starts(), 1, "runs of the first job only");
        assert_eq!(third.state(ID, deadline()).await, StateAnswer::NoJob);
    });
}

/// Guards against a job that is accepted after the client was told that it does not exist: it would end as cancelled, or run
/// unasked.
#[test]
fn a_copy_of_a_submission_after_the_cancellation_is_not_run() {
    run(async {
        let (first, scheduling, _, other) = two_nodes().await;
        assert_eq!(
            scheduling.cancel(ID, deadline()).await,
            CancelOutcome::NoJob
        );
        for node in [&scheduling, &other] {
            let submission = submit(node, ID, 1).await;
            assert!(
                matches!(submission, SubmitOutcome::NotRun { .. }),
                "{submission:?}"
            );
            assert_eq!(node.state(ID, deadline()).await, StateAnswer::NoJob);
            assert_eq!(node.cancel(ID, deadline()).await, CancelOutcome::NoJob);
        }
        sleep(Duration::from_millis(300)).await;
        assert_eq!(first.starts(), 1);
    });
}

/// Guards against a batch that fails as a whole because one of its jobs was cancelled before.
#[test]
fn a_cancelled_job_does_not_fail_the_others_of_its_batch() {
    run(async {
        let (first, scheduling, _, other) = two_nodes().await;
        assert_eq!(other.cancel(ID, deadline()).await, CancelOutcome::NoJob);
        first.shared.table_time.set(Duration::from_millis(50));
        let others = [JobId(7 + 128), SAME_PART, JobId(7 + 192)];
        let (a, cancelled, b, c) = tokio::join!(
            submit(&scheduling, others[0], 1),
            submit(&scheduling, ID, 1),
            submit(&scheduling, others[1], 1),
            submit(&scheduling, others[2], 1),
        );
        assert!(
            matches!(cancelled, SubmitOutcome::NotRun { .. }),
            "{cancelled:?}"
        );
        assert_eq!([a, b, c], [const { SubmitOutcome::Accepted }; 3]);
        for id in others {
            until_state(&scheduling, id, State::Completed).await;
        }
        assert_eq!(first.starts(), 4);
    });
}

/// Guards against an early cancellation that a node without the table does not pass on.
#[test]
fn an_early_cancellation_is_relayed() {
    run(async {
        let (first, scheduling, second, other) = two_nodes().await;
        second.fault.set(TableFault::Refuses);
        assert_eq!(other.cancel(ID, deadline()).await, CancelOutcome::NoJob);
        let submission = submit(&other, ID, 1).await;
        assert!(
            matches!(submission, SubmitOutcome::NotRun { .. }),
            "{submission:?}"
        );
        let submission = submit(&scheduling, ID, 1).await;
        assert!(
            matches!(submission, SubmitOutcome::NotRun { .. }),
            "{submission:?}"
        );
        assert_eq!(first.starts(), 1);
    });
}

/// Guards against a 410 that does not hold: the cancellation could not be stored.
#[test]
fn a_cancellation_that_cannot_be_stored_is_not_acknowledged() {
    run(async {
        let (first, scheduling, second, other) = two_nodes().await;
        first.fault.set(TableFault::RefusesTransactions);
        second.fault.set(TableFault::RefusesTransactions);
        for node in [&scheduling, &other] {
            let soon = Instant::now() + Duration::from_millis(500);
            assert_eq!(node.cancel(ID, soon).await, CancelOutcome::Unknown);
        }
    });
}

/// Guards against a job that a new scheduler runs, because only the scheduler before it knew of the cancellation.
#[test]
fn an_early_cancellation_outlives_the_scheduler() {
    run(async {
        let (first, scheduling, _, other) = two_nodes().await;
        assert_eq!(other.cancel(ID, deadline()).await, CancelOutcome::NoJob);
        scheduling.drain();
        until("the other node schedules", || {
            first.lease().is_some_and(|row| row.holder == "n2")
        })
        .await;
        let submission = submit(&other, ID, 1).await;
        assert!(
            matches!(submission, SubmitOutcome::NotRun { .. }),
            "{submission:?}"
        );
        sleep(Duration::from_millis(300)).await;
        assert_eq!(first.starts(), 1);
    });
}

/// Guards against a table that a client fills with cancellations of invented ids.
#[test]
fn cancellations_of_unknown_jobs_are_limited() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        let mut refused = 0;
        for id in 0..400 {
            match node.cancel(JobId(id), deadline()).await {
                CancelOutcome::NoJob => {}
                CancelOutcome::Busy { retry_after } => {
                    assert!(!retry_after.is_zero());
                    refused += 1;
                }
                other => panic!("{other:?}"),
            }
        }
        assert!(refused > 200, "{refused} refused");
        assert!(platform.rows("jobs") < 200);
        // The cancellation of an accepted job has no limit.
        platform.shared.task_time.set(Duration::from_secs(60));
        assert_eq!(
            submit(&node, JobId(1_000), 1).await,
            SubmitOutcome::Accepted
        );
        assert_eq!(
            node.cancel(JobId(1_000), deadline()).await,
            CancelOutcome::Accepted
        );
    });
}

/// Guards against a cancellation that is answered seconds late because the answer to the row of another job was lost.
#[test]
fn a_cancellation_does_not_wait_for_the_row_of_a_job() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        platform.fault.set(TableFault::KeepsJobs);
        let submitting = node.clone();
        spawn_local(async move { submit(&submitting, SAME_PART, 1).await });
        sleep(Duration::from_millis(50)).await;
        let soon = Instant::now() + Duration::from_secs(1);
        assert_eq!(node.cancel(ID, soon).await, CancelOutcome::NoJob);
    });
}

/// How long the nodes of the tests below keep cancellations of unknown jobs, and ended jobs.
const RETENTION: Duration = Duration::from_secs(2);

/// Returns a platform and two nodes on it that delete cancellations soon. The first one schedules.
async fn two_nodes_with_short_retention() -> (Platform, Node<Platform>, Platform, Node<Platform>) {
    let first = platform();
    let scheduling = start_with_retention("n1", 0, &first, RETENTION).await;
    assert_eq!(
        submit(&scheduling, JobId(1), 1).await,
        SubmitOutcome::Accepted
    );
    until_state(&scheduling, JobId(1), State::Completed).await;
    let second = first.for_another();
    let other = start_with_retention("n2", 1, &second, RETENTION).await;
    until_state(&other, JobId(1), State::Completed).await;
    (first, scheduling, second, other)
}

fn cancel_key() -> String {
    format!("{ID}!")
}

/// Cancels [`ID`] before its row is stored, and waits until the cancellation was deleted.
async fn cancel_and_expire(platform: &Platform, node: &Node<Platform>) {
    assert_eq!(node.cancel(ID, deadline()).await, CancelOutcome::NoJob);
    assert!(platform.has_job_row(&cancel_key()));
    until("the cancellation expires", || {
        !platform.has_job_row(&cancel_key())
    })
    .await;
}

/// Guards against a job that runs after its cancellation because its write was carried out later than the cancellation is kept.
#[test]
fn a_write_that_outlasts_the_cancellation_is_not_carried_out() {
    run(async {
        let (first, _scheduling, second, other) = two_nodes_with_short_retention().await;
        let third = start("n3", 2, &first.for_another()).await;
        first.fault.set(TableFault::KeepsJobs);
        second.fault.set(TableFault::KeepsJobs);
        let soon = Instant::now() + Duration::from_millis(600);
        let submission = other.submit(&queue(), ID, job(2), soon).await;
        assert_eq!(submission, SubmitOutcome::Unknown);
        cancel_and_expire(&first, &third).await;
        let late = first.carry_out_held();
        assert!(!late.is_empty() && !late.contains(&true), "{late:?}");
        sleep(Duration::from_millis(300)).await;
        assert_eq!(first.starts(), 1, "runs of the first job only");
        assert_eq!(other.state(ID, deadline()).await, StateAnswer::NoJob);
    });
}

/// Guards against a job that runs a second time because a write of its row was carried out after the job was forgotten.
#[test]
fn a_write_that_outlasts_its_job_is_not_carried_out() {
    run(async {
        let (first, scheduling, second, other) = two_nodes_with_short_retention().await;
        second.fault.set(TableFault::KeepsJobs);
        // The scheduler stores the job for the other node, whose own write is late.
        let id = JobId(1 + 64);
        let submission = other.submit(&queue(), id, job(1), deadline()).await;
        assert_eq!(submission, SubmitOutcome::Accepted);
        until_state(&scheduling, id, State::Completed).await;
        let key = id.to_string();
        until("the job is forgotten", || !first.has_job_row(&key)).await;
        let late = first.carry_out_held();
        assert!(!late.is_empty() && !late.contains(&true), "{late:?}");
        sleep(Duration::from_millis(300)).await;
        assert_eq!(first.starts(), 2, "one run of each job");
    });
}

/// Guards against a job that stays refused once the cancellation before it has expired, at a node that has not seen the deletion.
#[test]
fn a_submission_after_the_cancellation_has_expired_is_accepted() {
    run(async {
        let (first, scheduling, second, other) = two_nodes_with_short_retention().await;
        cancel_and_expire(&first, &scheduling).await;
        // Stored by the scheduler, which has to tell the other node of the deletion.
        second.fault.set(TableFault::Refuses);
        assert_eq!(submit(&other, ID, 1).await, SubmitOutcome::Accepted);
        second.fault.set(TableFault::None);
        assert_eq!(submit(&other, SAME_PART, 1).await, SubmitOutcome::Accepted);
        let third = start("n3", 2, &first.for_another()).await;
        let newer = JobId(SAME_PART.0 + 64);
        assert_eq!(submit(&third, newer, 1).await, SubmitOutcome::Accepted);
        for id in [ID, SAME_PART, newer] {
            until_state(&other, id, State::Completed).await;
        }
        assert_eq!(first.starts(), 4);
    });
}

/// Runs tasks that can be suspended together, as a process can.
#[derive(Clone, Default)]
struct Process {
    is_suspended: Rc<Cell<bool>>,
    changed: Rc<Notify>,
}

impl Process {
    /// Starts a task of the process. Tasks that it spawns belong to the process.
    fn spawn<T: 'static>(&self, task: impl Future<Output = T> + 'static) -> JoinHandle<T> {
        let tasks = LocalSet::new();
        let handle = tasks.spawn_local(task);
        let process = self.clone();
        spawn_local(async move {
            let mut tasks = pin!(tasks);
            loop {
                let changed = process.changed.notified();
                let mut changed = pin!(changed);
                let mut is_done = false;
                poll_fn(|cx| {
                    if !process.is_suspended.get() {
                        is_done = tasks.as_mut().poll(cx).is_ready();
                    }
                    let is_changed = changed.as_mut().poll(cx).is_ready();
                    if is_done || is_changed {
                        Poll::Ready(())
                    } else {
                        Poll::Pending
                    }
                })
                .await;
                if is_done {
                    return;
                }
            }
        });
        handle
    }

    fn suspend(&self) {
        self.is_suspended.set(true);
    }

    fn resume(&self) {
        self.is_suspended.set(false);
        self.changed.notify_waiters();
    }
}

/// Guards against a job that runs after its cancellation because its row was first sent when a suspended node went on.
#[test]
fn a_row_that_waited_in_a_suspended_node_is_not_stored_after_its_cancellation() {
    run(async {
        let (first, scheduling, _, _) = two_nodes_with_short_retention().await;
        let process = Process::default();
        let third = first.for_another();
        let platform = third.clone();
        let submission = process.spawn(async move {
            let node = start_with_retention("n3", 2, &platform, RETENTION).await;
            platform.fault.set(TableFault::HoldsAnswers);
            // Takes the turn of the part, so that the row of the other job has to wait.
            let before = node.clone();
            spawn_local(async move { submit(&before, SAME_PART, 1).await });
            sleep(Duration::from_millis(50)).await;
            submit(&node, ID, 1).await
        });
        let same_part = SAME_PART.to_string();
        until("the other job is stored", || first.has_job_row(&same_part)).await;
        sleep(Duration::from_millis(100)).await;
        process.suspend();
        third.fault.set(TableFault::None);
        cancel_and_expire(&first, &scheduling).await;
        process.resume();
        let submission = submission.await.unwrap();
        assert!(
            matches!(submission, SubmitOutcome::NotRun { .. }),
            "{submission:?}"
        );
        until_state(&scheduling, SAME_PART, State::Completed).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(scheduling.state(ID, deadline()).await, StateAnswer::NoJob);
        assert_eq!(first.starts(), 2, "runs of the other jobs only");
    });
}

/// Guards against an acknowledged cancellation that is deleted early, by the late deletion of an earlier one.
#[test]
fn a_deletion_that_is_carried_out_late_deletes_no_newer_cancellation() {
    run(async {
        let (first, scheduling, _, other) = two_nodes_with_short_retention().await;
        first.fault.set(TableFault::KeepsDeletion);
        cancel_and_expire(&first, &scheduling).await;
        assert_eq!(first.fault.get(), TableFault::None, "the first attempt");
        assert_eq!(other.cancel(ID, deadline()).await, CancelOutcome::NoJob);
        assert_eq!(first.carry_out_held(), [false], "the late deletion");
        assert!(first.has_job_row(&cancel_key()));
    });
}

/// Guards against rows that a new scheduler cannot delete, because it does not know the guard that its predecessor has left, or
/// deletes twice, because the answer to a deletion was lost.
#[test]
fn a_successor_deletes_rows_though_an_answer_is_lost() {
    run(async {
        let (first, scheduling, second, other) = two_nodes_with_short_retention().await;
        cancel_and_expire(&first, &scheduling).await;
        scheduling.drain();
        until("the other node schedules", || {
            first.lease().is_some_and(|row| row.holder == "n2")
        })
        .await;
        let cancelling = other.cancel(ID, deadline()).await;
        assert_eq!(cancelling, CancelOutcome::NoJob);
        second.fault.set(TableFault::LosesDeletionAnswer);
        until("the cancellation expires", || {
            !first.has_job_row(&cancel_key())
        })
        .await;
        assert_eq!(second.fault.get(), TableFault::None);
        let versions = first.guard_versions();
        sleep(Duration::from_millis(300)).await;
        assert_eq!(first.guard_versions(), versions, "one deletion");
        assert_eq!(submit(&other, ID, 1).await, SubmitOutcome::Accepted);
    });
}
