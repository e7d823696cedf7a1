//! Cancellations that come before the row of their job.

use std::time::Duration;

use cluster::{CancelOutcome, Node, StateAnswer, SubmitOutcome};
use jobs::{JobId, State};
use tokio::time::{Instant, sleep};

use super::{ID, run, submit, until_state};
use crate::support::{Platform, TableFault, deadline, job, platform, queue, start, until};

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
