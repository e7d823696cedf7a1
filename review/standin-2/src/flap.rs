//! LOST: a gang that needs all workers, of which one goes down and up by turns.

use std::{path::PathBuf, time::Duration};

use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{Deployment, Verdict, record::Record, unix_ms, workers::Fleet};

const WORKERS: usize = 24;
const TASK_CPU: u64 = 12_000;
/// How long the gang works.
const WORK: Duration = Duration::from_millis(7_000);
/// How long the worker is up and down by turns, and how often it goes down.
const UP: Duration = Duration::from_millis(6_000);
const DOWN: Duration = Duration::from_millis(1_000);
const TURNS: usize = 6;
/// How long all workers are up after that.
const CALM: Duration = Duration::from_secs(30);

pub async fn play(record: Record, dir: PathBuf) -> Verdict {
    let fleet = Fleet::new(record.clone(), false, |_, _| WORK);
    let started = Deployment::start(record.clone(), dir, fleet.clone(), (3, WORKERS)).await;
    let deployment = started.map_err(|e| e.to_string())?;
    sleep(Duration::from_secs(6)).await;
    let path = "/study/5c0e7a21d94b36f8";
    let step = json!({"count": WORKERS, "cpu": TASK_CPU, "memMb": 1_024, "estimateMs": 7_000, "gang": true});
    let body = json!({"spec": format!("gang of {WORKERS}"), "steps": [step]});
    let (status, _) = deployment
        .call(deployment.front(0), Method::POST, path, Some(&body))
        .await;
    if status != 200 {
        return Err("the job was not accepted".to_owned());
    }
    let worker = fleet.workers.borrow()[5].clone();
    if deployment.has_trouble {
        for _ in 0..TURNS {
            sleep(UP).await;
            fleet.crash(&worker);
            sleep(DOWN).await;
            fleet.restart(&worker, unix_ms());
        }
    }
    record.line("from now on all workers are up");
    sleep(CALM).await;
    let mut state = String::new();
    for node in 0..3 {
        let (_, body) = deployment
            .call(deployment.front(node), Method::GET, path, None)
            .await;
        state = body["state"].as_str().unwrap_or_default().to_owned();
    }
    let failed = fleet
        .ended
        .borrow()
        .iter()
        .filter(|end| end.how == "failed")
        .count();
    let done = fleet
        .ended
        .borrow()
        .iter()
        .filter(|end| end.how == "done")
        .count();
    record.line(&format!(
        "the job is shown as {state:?}; {failed} runs have ended `failed`, {done} `done`"
    ));
    Ok(state == "failed" && failed == 0)
}
