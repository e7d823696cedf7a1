//! Nodes over a platform in memory: what clients are told is true, whatever the table does.

mod support;

use std::time::Duration;

use cluster::{CancelOutcome, Node, StateAnswer, SubmitOutcome};
use jobs::{JobId, State, StepKey};
use support::{Platform, TableFault, deadline, job, platform, queue, start, until};
use tokio::{
    runtime::Builder,
    task::LocalSet,
    time::{Instant, sleep, timeout},
};

const ID: JobId = JobId(7);

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

async fn submit(node: &Node<Platform>, id: JobId, tasks: u32) -> SubmitOutcome {
    node.submit(&queue(), id, job(tasks), deadline()).await
}

async fn until_state(node: &Node<Platform>, id: JobId, wanted: State) {
    let waiting = async {
        while node.state(id, deadline()).await != StateAnswer::State(wanted) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let is_there = timeout(Duration::from_secs(30), waiting).await.is_ok();
    assert!(
        is_there,
        "{id} is not {wanted:?}: {:?}",
        node.state(id, deadline()).await
    );
}

#[test]
fn a_job_is_stored_run_and_told_completed_once() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        assert_eq!(submit(&node, ID, 5).await, SubmitOutcome::Accepted);
        assert_eq!(platform.rows("jobs"), 1);
        assert_eq!(
            submit(&node, ID, 5).await,
            SubmitOutcome::Accepted,
            "a resend"
        );
        until_state(&node, ID, State::Completed).await;
        assert_eq!(
            submit(&node, ID, 5).await,
            SubmitOutcome::Accepted,
            "a late resend"
        );
        sleep(Duration::from_millis(100)).await;
        assert_eq!(platform.starts(), 5);
        assert_eq!(platform.rows("jobs"), 1);
    });
}

#[test]
fn what_nobody_submitted_is_not_known() {
    run(async {
        let node = start("n1", 0, &platform()).await;
        assert_eq!(node.state(ID, deadline()).await, StateAnswer::NoJob);
        assert_eq!(node.cancel(ID, deadline()).await, CancelOutcome::NoJob);
    });
}

#[test]
fn a_cancelled_job_is_stopped_and_never_starts_again() {
    run(async {
        let platform = platform();
        platform.world.task_time.set(Duration::from_secs(60));
        let node = start("n1", 0, &platform).await;
        assert_eq!(submit(&node, ID, 2).await, SubmitOutcome::Accepted);
        until("the tasks run", || platform.starts() == 2).await;
        assert_eq!(node.cancel(ID, deadline()).await, CancelOutcome::Accepted);
        until_state(&node, ID, State::Cancelled).await;
        sleep(Duration::from_millis(100)).await;
        assert_eq!(platform.starts(), 2);
        assert_eq!(
            node.cancel(ID, deadline()).await,
            CancelOutcome::Accepted,
            "once more"
        );
    });
}

#[test]
fn lost_answers_are_settled_and_nothing_runs_twice() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        // A scheduler is there before the answers go missing.
        assert_eq!(submit(&node, JobId(1), 1).await, SubmitOutcome::Accepted);
        until_state(&node, JobId(1), State::Completed).await;
        platform.fault.set(TableFault::LosesAnswers);
        let submitting = submit(&node, ID, 3);
        let healing = async {
            sleep(Duration::from_millis(300)).await;
            platform.fault.set(TableFault::None);
        };
        let (submission, ()) = tokio::join!(submitting, healing);
        assert_eq!(submission, SubmitOutcome::Accepted);
        until_state(&node, ID, State::Completed).await;
        assert_eq!(platform.starts(), 4);
    });
}

#[test]
fn not_run_is_told_at_once_and_is_true() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        until_state_known(&node).await;
        platform.fault.set(TableFault::Refuses);
        // The first one finds out that the table is lost; the next ones are refused without a try.
        let first = submit(&node, JobId(1), 1).await;
        assert!(matches!(first, SubmitOutcome::NotRun { .. }), "{first:?}");
        let began = Instant::now();
        let refused = submit(&node, ID, 1).await;
        let SubmitOutcome::NotRun { retry_after, .. } = refused else {
            panic!("{refused:?}");
        };
        assert!(retry_after > Duration::ZERO);
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "held back to its deadline"
        );
        platform.fault.set(TableFault::None);
        sleep(Duration::from_millis(500)).await;
        assert_eq!(platform.rows("jobs"), 0);
        assert_eq!(
            submit(&node, ID, 1).await,
            SubmitOutcome::Accepted,
            "after the outage"
        );
    });
}

/// Starts a node that schedules, and another one that knows of it.
async fn start_two(of_first: &Platform, of_second: &Platform) -> (Node<Platform>, Node<Platform>) {
    let first = start("n1", 0, of_first).await;
    until_state_known(&first).await;
    let second = start("n2", 1, of_second).await;
    until_state_known(&second).await;
    (first, second)
}

async fn until_state_known(node: &Node<Platform>) {
    until("the scheduler has told what waits", || {
        node.pending(&queue()).is_some()
    })
    .await;
}

#[test]
fn a_silent_table_is_never_told_as_not_run_once_something_was_sent() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        until_state_known(&node).await;
        platform.fault.set(TableFault::Silent);
        let until = Instant::now() + Duration::from_secs(4);
        let submission = node.submit(&queue(), ID, job(1), until).await;
        assert_eq!(submission, SubmitOutcome::Unknown);
    });
}

#[test]
fn a_node_without_the_table_serves_by_way_of_the_scheduler() {
    run(async {
        let platform = platform();
        let other = platform.for_another();
        let (_first, second) = start_two(&platform, &other).await;
        other.fault.set(TableFault::Refuses);
        assert_eq!(submit(&second, ID, 2).await, SubmitOutcome::Accepted);
        until_state(&second, ID, State::Completed).await;
        assert_eq!(
            second.state(JobId(99), deadline()).await,
            StateAnswer::NoJob
        );
        assert_eq!(platform.starts(), 2);
    });
}

#[test]
fn a_scheduler_that_shuts_down_hands_over() {
    run(async {
        let platform = platform();
        let (first, second) = start_two(&platform, &platform.for_another()).await;
        assert_eq!(submit(&second, ID, 4).await, SubmitOutcome::Accepted);
        first.drain();
        assert!(!first.is_ready());
        assert_eq!(submit(&second, JobId(8), 4).await, SubmitOutcome::Accepted);
        until_state(&second, ID, State::Completed).await;
        until_state(&second, JobId(8), State::Completed).await;
        assert_eq!(platform.starts(), 8);
    });
}

#[test]
fn approvals_outlive_the_scheduler_that_had_them_asked_for() {
    run(async {
        let platform = platform();
        let (first, second) = start_two(&platform, &platform.for_another()).await;
        // The first job fills all workers, so that the second one waits with its approvals.
        platform.world.task_time.set(Duration::from_millis(1_500));
        assert_eq!(submit(&second, ID, 24).await, SubmitOutcome::Accepted);
        until("the workers are full", || platform.starts() == 24).await;
        let waiting = JobId(8);
        assert_eq!(submit(&second, waiting, 1).await, SubmitOutcome::Accepted);
        let step = StepKey {
            job: waiting,
            occurrence: 0,
            step: 0,
        };
        let asked = || platform.world.asked.borrow().get(&step).copied();
        until("its approvals are asked for", || asked() == Some(1)).await;
        first.drain();
        until_state(&second, waiting, State::Completed).await;
        assert_eq!(asked(), Some(1));
    });
}

#[test]
fn a_scheduler_that_the_table_turns_away_is_followed() {
    run(async {
        let platform = platform();
        let (first, second) = start_two(&platform, &platform.for_another()).await;
        platform.fault.set(TableFault::Refuses);
        assert_eq!(submit(&second, ID, 3).await, SubmitOutcome::Accepted);
        until_state(&second, ID, State::Completed).await;
        until_state(&first, ID, State::Completed).await;
        assert_eq!(platform.starts(), 3);
    });
}

#[test]
fn a_lower_version_of_the_configuration_is_never_put_in_force() {
    run(async {
        let platform = platform();
        let node = start("n1", 0, &platform).await;
        let with = |version| cluster::Routes::new(version, []);
        *platform.world.routes.borrow_mut() = with(5);
        let version = || node.routes().map_or(0, |routes| routes.version());
        until("version 5 is in force", || version() == 5).await;
        *platform.world.routes.borrow_mut() = with(4);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(version(), 5);
    });
}
