//! LOST: a job whose progress takes more than one row of the store.

use std::{collections::BTreeMap, path::PathBuf, rc::Rc, time::Duration};

use hyper::Method;
use serde_json::{Value, json};
use tokio::{task::spawn_local, time::sleep};

use crate::{Deployment, Verdict, record::Record, workers::Fleet};

const LOOKUP: Duration = Duration::from_millis(600);
const REBUILD: Duration = Duration::from_millis(4_000);
const TRAFFIC: Duration = Duration::from_secs(40);
/// The large job is sent this long after the first lookup.
const LARGE_AT: Duration = Duration::from_secs(10);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(14);
const WORKERS: usize = 48;
const WORKER_CPU: u64 = 16_000;
const STEPS: usize = 6;
const TASKS: u64 = 500;
const TASK_CPU: u64 = 100;
const LOOKUP_CPU: u64 = 1_000;

/// Submits a job until it is accepted or its four retries are used up. Returns whether it was accepted.
async fn submit(deployment: &Deployment, path: &str, body: &Value, first: usize) -> bool {
    for attempt in 0..5 {
        let (status, _) = deployment
            .call(
                deployment.front(first + attempt),
                Method::POST,
                path,
                Some(body),
            )
            .await;
        if (200..300).contains(&status) {
            return true;
        }
        if status == 404 || status == 400 {
            return false;
        }
        sleep(Duration::from_secs(1)).await;
    }
    false
}

pub async fn play(record: Record, dir: PathBuf) -> Verdict {
    let duration = |_: &str, spec: &str| if spec == "lookup" { LOOKUP } else { REBUILD };
    let fleet = Fleet::new(record.clone(), duration);
    let started = Deployment::start(record, dir, fleet, (3, WORKERS)).await;
    let deployment = Rc::new(started.map_err(|e| e.to_string())?);
    let accepted: Rc<std::cell::RefCell<BTreeMap<String, bool>>> = Rc::default();
    let began = tokio::time::Instant::now();
    let mut number = 0_u64;
    let mut has_sent_large = false;
    while began.elapsed() < TRAFFIC {
        number += 1;
        let path = format!("/lookup/{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
        let (d, a) = (deployment.clone(), accepted.clone());
        spawn_local(async move {
            let steps = json!([{"count": 2, "cpu": LOOKUP_CPU, "memMb": 256, "estimateMs": 600}]);
            let body = json!({"spec": "lookup", "steps": steps});
            let first = usize::try_from(number).unwrap_or(0);
            if submit(&d, &path, &body, first).await {
                a.borrow_mut().insert(path, false);
            }
        });
        if began.elapsed() >= LARGE_AT && !has_sent_large {
            has_sent_large = true;
            // Without the disruption, the same work comes as many jobs.
            let jobs = if deployment.has_trouble { 1 } else { 60 };
            let steps_each = if deployment.has_trouble { STEPS } else { 1 };
            let count = TASKS * u64::try_from(STEPS / steps_each).unwrap_or(1) / jobs;
            for job in 0..jobs {
                let path = format!("/recon/{:016x}", 0xd94b_36f8_0000_0000_u64 + job);
                let step =
                    json!({"count": count, "cpu": TASK_CPU, "memMb": 32, "estimateMs": 4_000});
                let body = json!({"spec": "rebuild", "steps": vec![step; steps_each]});
                let (d, a) = (deployment.clone(), accepted.clone());
                spawn_local(async move {
                    if submit(&d, &path, &body, 0).await {
                        a.borrow_mut().insert(path, false);
                    }
                });
            }
        }
        sleep(Duration::from_millis(250)).await;
    }
    deployment.record.line("the traffic ends");
    sleep(FINISH).await;
    if deployment.nodes.iter().any(|node| node.has_ended()) {
        deployment.record.line("a process has ended by itself");
    }
    // Each accepted job is asked for, at each node if need be.
    let paths: Vec<String> = accepted.borrow().keys().cloned().collect();
    let mut open = Vec::new();
    let mut unanswered = 0;
    for (n, path) in paths.iter().enumerate() {
        let (status, body) = deployment
            .call(deployment.front(n), Method::GET, path, None)
            .await;
        let state = body["state"].as_str().unwrap_or_default();
        if status != 200 {
            unanswered += 1;
        } else if state != "completed" {
            open.push(path.clone());
        }
        if open.len() + unanswered >= 40 {
            break;
        }
    }
    // For 3 s, nothing of an open job runs, and under half of the capacity is in use.
    let mut idle: BTreeMap<String, bool> = open.iter().map(|path| (path.clone(), true)).collect();
    for _ in 0..31 {
        let running = deployment.fleet.running();
        let lookups = running
            .iter()
            .filter(|task| task.starts_with("5c0e7a21"))
            .count();
        let lookups = u64::try_from(lookups).unwrap_or(0);
        let used =
            lookups * LOOKUP_CPU + (u64::try_from(running.len()).unwrap_or(0) - lookups) * TASK_CPU;
        for (path, is_idle) in &mut idle {
            let id = path.rsplit('/').next().unwrap_or_default();
            let runs = running.iter().any(|task| task.starts_with(id));
            *is_idle &= !runs && used * 2 < WORKER_CPU * u64::try_from(WORKERS).unwrap_or(0);
        }
        sleep(Duration::from_millis(100)).await;
    }
    let mut lost: Vec<&String> = idle
        .iter()
        .filter(|(_, is_idle)| **is_idle)
        .map(|(path, _)| path)
        .collect();
    // A job that has ended meanwhile is not lost.
    let mut still = Vec::new();
    for path in std::mem::take(&mut lost) {
        let (status, body) = deployment
            .call(deployment.front(0), Method::GET, path, None)
            .await;
        if status != 200 || body["state"].as_str() != Some("completed") {
            still.push(path.clone());
        }
    }
    let takeovers: usize = deployment
        .nodes
        .iter()
        .map(|node| node.count_in_log("event=takeover "))
        .sum();
    let record = &deployment.record;
    record.line(&format!(
        "{} jobs were accepted; {} of those asked for had not ended, {unanswered} had no answer; the store has refused {} transactions; {takeovers} takeovers",
        paths.len(),
        open.len(),
        deployment.store.refused()
    ));
    record.line(&format!(
        "with nothing running for 3 s while most of the fleet is idle: {} jobs, such as {:?}",
        still.len(),
        still.first()
    ));
    if paths.len() < 40 {
        return Err("too few jobs were accepted".to_owned());
    }
    Ok(!still.is_empty() || unanswered > 0)
}
