//! TWICE: an idle worker that starts again under its id is given a task before its restart is noticed, and is cut off.

use std::{path::PathBuf, time::Duration};

use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{Deployment, Verdict, record::Record, thaw::overlaps, unix_ms, workers::Fleet};

const WORKERS: usize = 12;
const LOOKUP: Duration = Duration::from_millis(500);
const STUDY: Duration = Duration::from_millis(15_000);
const DOWN: Duration = Duration::from_millis(200);
/// When the study is submitted, after the worker has started again.
const SUBMIT_AFTER: Duration = Duration::from_millis(200);
/// When the worker is cut off, after the study was accepted, and for how long.
const CUT_AFTER: Duration = Duration::from_millis(400);
const CUT: Duration = Duration::from_millis(5_500);

pub async fn play(record: Record, dir: PathBuf) -> Verdict {
    let duration = |_: &str, spec: &str| if spec == "lookup" { LOOKUP } else { STUDY };
    let fleet = Fleet::new(record.clone(), true, duration);
    let started = Deployment::start(record.clone(), dir, fleet.clone(), (3, WORKERS)).await;
    let deployment = started.map_err(|e| e.to_string())?;
    sleep(Duration::from_secs(12)).await;
    // Shows which worker a task is given that needs a whole one.
    let step = json!({"count": 1, "cpu": 16_000, "memMb": 1_024, "estimateMs": 500});
    let lookup = json!({"spec": "lookup", "steps": [step]});
    deployment
        .call(
            deployment.front(0),
            Method::POST,
            "/lookup/5c0e7a2100000001",
            Some(&lookup),
        )
        .await;
    sleep(Duration::from_millis(1_800)).await;
    let Some(number) = fleet.begun.borrow().first().map(|run| run.worker) else {
        return Err("the lookup was not started".to_owned());
    };
    let worker = fleet.workers.borrow()[number].clone();
    if deployment.has_trouble {
        fleet.crash(&worker);
        sleep(DOWN).await;
        fleet.restart(&worker, unix_ms());
        sleep(SUBMIT_AFTER).await;
    }
    let step = json!({"count": 1, "cpu": 16_000, "memMb": 1_024, "estimateMs": 15_000});
    let study = json!({"spec": "study", "steps": [step]});
    let path = "/recon/5c0e7a21d94b36f8";
    let (status, _) = deployment
        .call(deployment.front(1), Method::POST, path, Some(&study))
        .await;
    if status != 200 {
        return Err("the study was not accepted".to_owned());
    }
    if deployment.has_trouble {
        sleep(CUT_AFTER).await;
        record.line(&format!("{} is cut off, and runs on", worker.id));
        worker.is_cut.set(true);
        sleep(CUT).await;
        record.line(&format!("{} is back", worker.id));
        worker.is_cut.set(false);
    }
    sleep(Duration::from_secs(18)).await;
    let overlaps = overlaps(&fleet.begun.borrow(), &fleet.ended.borrow());
    for overlap in &overlaps {
        record.line(overlap);
    }
    Ok(!overlaps.is_empty())
}
