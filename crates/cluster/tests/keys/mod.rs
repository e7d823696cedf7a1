//! Keys and configurations of teams at nodes on an in-memory platform, of which some miss changes.

use std::time::{Duration, UNIX_EPOCH};

use cluster::{
    AccessSettings, Caller, CancelOutcome, KeyDigest, Node, Refusal, Routes, StateAnswer,
    SubmitOutcome, Team,
};
use jobs::{Job, JobId, State, TeamPolicy};
use tokio::time::sleep;

use crate::{
    ID, run, start_two,
    support::{
        Platform, TableFault, deadline, job, platform, queue, route, start, start_with, until,
    },
    until_scheduler_known,
};

/// Puts a version of the configuration in force at the platform, with teams and one key of each.
fn configure(platform: &Platform, version: u64, teams: &[(&str, &str)]) {
    let team = |&(name, key): &(&str, &str)| Team {
        policy: TeamPolicy {
            name: name.into(),
            weight: 1.0,
            ..TeamPolicy::default()
        },
        keys: vec![KeyDigest::of(key.as_bytes())],
    };
    let routes = Routes::new(version, [route()]).with_teams(teams.iter().map(team));
    *platform.shared.routes.borrow_mut() = routes;
}

/// Creates a platform whose configuration has version 1 and two teams.
fn platform_with_teams() -> Platform {
    let platform = platform();
    configure(&platform, 1, &[("red", "r1"), ("blue", "b1")]);
    platform
}

fn authorize(node: &Node<Platform>, key: &str) -> Result<Caller, Refusal> {
    node.authorize(&route(), Some(key.as_bytes()))
}

fn caller(team: &str) -> Caller {
    Caller::Team(team.into())
}

/// Makes the table refuse a node's calls, and waits until the calls that it has accepted have ended.
async fn refuse(platform: &Platform) {
    platform.fault.set(TableFault::Refuses);
    sleep(Duration::from_millis(100)).await;
}

async fn until_version(node: &Node<Platform>, version: u64) {
    until("the version is in force", || {
        node.routes()
            .is_some_and(|routes| routes.version() == version)
    })
    .await;
}

/// Guards against a node that accepts a revoked key for as long as the table refuses its calls.
#[test]
fn a_node_without_the_table_learns_of_a_revocation_from_the_scheduler() {
    run(async {
        let platform = platform_with_teams();
        let other = platform.for_another();
        let (_first, second) = start_two(&platform, &other).await;
        assert_eq!(authorize(&second, "r1"), Ok(caller("red")));
        refuse(&other).await;
        configure(&platform, 2, &[("red", "r2"), ("blue", "b1")]);
        until_version(&second, 2).await;
        assert_eq!(authorize(&second, "r1"), Err(Refusal::UnknownKey));
        assert_eq!(authorize(&second, "r2"), Ok(caller("red")));
        // The view stays recent, so that unknown keys are still refused for good.
        sleep(AccessSettings::default().apply_limit).await;
        assert_eq!(authorize(&second, "x"), Err(Refusal::UnknownKey));
    });
}

/// Guards against a scheduler that accepts a revoked key while the table refuses only its own calls.
#[test]
fn a_scheduler_without_the_table_learns_of_a_revocation() {
    run(async {
        let platform = platform_with_teams();
        let (first, _second) = start_two(&platform, &platform.for_another()).await;
        refuse(&platform).await;
        configure(&platform, 2, &[("blue", "b1")]);
        until_version(&first, 2).await;
        assert_eq!(authorize(&first, "r1"), Err(Refusal::UnknownKey));
    });
}

/// Guards against a node that learns of a revocation only if there is a scheduler.
#[test]
fn a_node_without_the_table_and_a_scheduler_asks_the_other_nodes() {
    run(async {
        let platform = platform_with_teams();
        let (refused, reading) = (platform.for_another(), platform.for_another());
        let (first, second) = start_two(&platform, &refused).await;
        let third = start("n3", 2, &reading).await;
        until_scheduler_known(&third).await;
        refuse(&refused).await;
        // This node reads the configuration but cannot take over.
        reading.fault.set(TableFault::RefusesTransactions);
        first.drain();
        sleep(Duration::from_secs(1)).await;
        configure(&platform, 2, &[("blue", "b1")]);
        until_version(&second, 2).await;
        assert_eq!(authorize(&second, "r1"), Err(Refusal::UnknownKey));
    });
}

/// Guards against refusing a new key for good, and against accepting a revoked key without limit, at a node that
/// can reach neither the table nor another node.
#[test]
fn a_node_with_an_old_view_postpones_its_answer() {
    run(async {
        let platform = platform_with_teams();
        let ms = Duration::from_millis;
        let strict = AccessSettings {
            apply_limit: ms(300),
            revoke_limit: Some(ms(900)),
        };
        let node = start_with("n1", 0, &platform, strict).await;
        sleep(ms(600)).await;
        assert_eq!(
            authorize(&node, "r2"),
            Err(Refusal::UnknownKey),
            "the view is confirmed"
        );
        refuse(&platform).await;
        configure(&platform, 2, &[("red", "r2")]);
        let is_postponed = |key| matches!(authorize(&node, key), Err(Refusal::OutdatedView { .. }));
        until("the new key may be valid", || is_postponed("r2")).await;
        assert_eq!(authorize(&node, "r1"), Ok(caller("red")));
        until("the old key may be revoked", || is_postponed("r1")).await;
        platform.fault.set(TableFault::None);
        until_version(&node, 2).await;
        assert_eq!(authorize(&node, "r1"), Err(Refusal::UnknownKey));
        assert_eq!(authorize(&node, "r2"), Ok(caller("red")));
    });
}

/// Guards against access to another team's job at a node that has neither accepted the job nor read its row.
#[test]
fn nodes_learn_the_teams_of_jobs_from_the_scheduler() {
    run(async {
        let platform = platform_with_teams();
        let other = platform.for_another();
        let (first, second) = start_two(&platform, &other).await;
        let submit = async |id: JobId| {
            let job = Job {
                team: "red".into(),
                ..job(1)
            };
            let outcome = first.submit(&queue(), id, job, deadline()).await;
            assert_eq!(outcome, SubmitOutcome::Accepted);
        };
        refuse(&other).await;
        submit(ID).await;
        let state = async |node: &Node<Platform>, team: &str| {
            node.state_for(&caller(team), ID, deadline()).await
        };
        while state(&second, "red").await != StateAnswer::State(State::Completed) {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(state(&second, "blue").await, StateAnswer::NoJob);
        assert_eq!(state(&first, "blue").await, StateAnswer::NoJob);
        let cancelled = second.cancel_for(&caller("blue"), ID, deadline()).await;
        assert_eq!(cancelled, CancelOutcome::NoJob);
        // A node that is linked later is told of earlier jobs.
        let third = start("n3", 2, &platform.for_another()).await;
        until_scheduler_known(&third).await;
        assert_eq!(state(&third, "blue").await, StateAnswer::NoJob);
        assert_eq!(
            state(&third, "red").await,
            StateAnswer::State(State::Completed)
        );
    });
}

/// Guards against admissions of the scheduler that do not reach the nodes, and against refusing a job that was accepted.
#[test]
fn nodes_refuse_new_jobs_of_a_team_above_its_rate() {
    run(async {
        let platform = platform_with_teams();
        platform.shared.task_time.set(Duration::from_secs(60));
        let (first, second) = start_two(&platform, &platform.for_another()).await;
        let (red, blue) = (caller("red"), caller("blue"));
        let new_ids = || (0..100).map(|n: u64| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1));
        let is_refused = |node: &Node<Platform>, id| node.retry_surplus_after(&red, id).is_some();
        // The first job fills all workers. The others come from a team that is owed one per second.
        let mut accepted = Vec::new();
        while ![&first, &second]
            .iter()
            .all(|node| new_ids().any(|id| is_refused(node, id)))
        {
            let id = JobId(1_000 + 2 * u64::try_from(accepted.len()).unwrap());
            let unix = UNIX_EPOCH.elapsed().unwrap_or_default();
            let job = Job {
                team: "red".into(),
                accepted_unix_ms: u64::try_from(unix.as_millis()).unwrap(),
                ..job(if accepted.is_empty() { 24 } else { 1 })
            };
            let outcome = first.submit(&queue(), id, job, deadline()).await;
            assert_eq!(outcome, SubmitOutcome::Accepted);
            accepted.push(id);
            assert!(accepted.len() < 600, "no new job is refused");
            sleep(Duration::from_millis(30)).await;
        }
        for node in [&first, &second] {
            for &id in &accepted {
                let state = node.state_for(&red, id, deadline()).await;
                assert!(matches!(state, StateAnswer::State(_)), "{id}: {state:?}");
                assert!(!is_refused(node, id), "{id} was accepted");
            }
            assert!(new_ids().all(|id| node.retry_surplus_after(&blue, id).is_none()));
        }
    });
}
