//! LOST: a task that lasts is not started again while one job that can never be done keeps all workers in quarantine.

use std::{path::PathBuf, time::Duration};

use hyper::Method;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{Deployment, Verdict, record::Record, workers::Fleet};

const WORKERS: usize = 24;
/// The job that can never be done: each task fails after this time.
const TASKS: u64 = 480;
const TASK_CPU: u64 = 800;
const FAILS_AFTER: Duration = Duration::from_millis(300);
/// The job that lasts.
const LASTING: u64 = 8;
const LASTING_CPU: u64 = 1_000;
/// When a task of it fails by itself, after the other job was accepted.
const OWN_FAILURE: Duration = Duration::from_millis(1_500);
const WATCH: Duration = Duration::from_secs(45);
/// LOST holds for tasks that last from 6 s after their last run, if 3 s without a run and the 4 s before are calm.
const AFTER_RUN: Duration = Duration::from_secs(6);
const CALM: Duration = Duration::from_secs(4);
const MISSING: Duration = Duration::from_secs(3);

pub async fn play(record: Record, dir: PathBuf) -> Verdict {
    let fleet = Fleet::new(record.clone(), |_, spec| match spec {
        "hopeless" => FAILS_AFTER,
        "lasts" => Duration::from_secs(3_600),
        _ => Duration::from_millis(500),
    });
    let started = Deployment::start(record.clone(), dir, fleet.clone(), (3, WORKERS)).await;
    let deployment = started.map_err(|e| e.to_string())?;
    sleep(Duration::from_secs(3)).await;
    let lasting = "5c0e7a21d94b36f8";
    let step = json!({"count": LASTING, "cpu": LASTING_CPU, "memMb": 512, "estimateMs": 500, "longRunning": true});
    let body = json!({"spec": "lasts", "steps": [step]});
    let path = format!("/study/{lasting}");
    let (status, _) = deployment
        .call(deployment.front(0), Method::POST, &path, Some(&body))
        .await;
    if status != 200 {
        return Err("the job that lasts was not accepted".to_owned());
    }
    sleep(Duration::from_secs(8)).await;
    if deployment.has_trouble {
        let step = json!({"count": TASKS, "cpu": TASK_CPU, "memMb": 64, "estimateMs": 300});
        let body = json!({"spec": "hopeless", "steps": [step]});
        let path = "/recon/d94b36f85c0e7a21";
        let (status, _) = deployment
            .call(deployment.front(1), Method::POST, path, Some(&body))
            .await;
        if status != 200 {
            return Err("the job that can never be done was not accepted".to_owned());
        }
    }
    let sent_at = Instant::now();
    sleep(OWN_FAILURE).await;
    let task = format!("{lasting}.0.0.0");
    if !fleet.fail(&task) {
        return Err("the task that lasts did not run".to_owned());
    }
    let ended_at = Instant::now();
    record.line(&format!("{task} fails by itself; no other job is sent"));
    // All is calm from here on: the job that can never be done is the last that was sent.
    let counts_from = (ended_at + AFTER_RUN).max(sent_at + CALM);
    let mut missing_since: Option<Instant> = None;
    let mut longest = Duration::ZERO;
    while ended_at.elapsed() < WATCH {
        let running = deployment.fleet.running();
        let now = Instant::now();
        if running.contains(&task) {
            missing_since = None;
        } else if now >= counts_from {
            let since = *missing_since.get_or_insert(now);
            longest = longest.max(now - since);
        }
        sleep(Duration::from_millis(50)).await;
    }
    record.line(&format!(
        "from 6 s after its last run, the task was without a run for {} ms on end; it needs {LASTING_CPU} of {} thousandths of a core",
        longest.as_millis(),
        WORKERS * 16_000
    ));
    Ok(longest >= MISSING)
}
