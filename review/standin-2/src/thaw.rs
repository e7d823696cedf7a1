//! TWICE: a scheduler that is frozen while a start is being stored, and a worker that crashes meanwhile.

use std::{
    cell::{Cell, RefCell},
    path::PathBuf,
    rc::Rc,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    Deployment, Verdict,
    record::Record,
    unix_ms,
    workers::{Begun, Ended, Fleet},
};

const WORKERS: usize = 24;
const LOOKUP: Duration = Duration::from_millis(400);
const STUDY: Duration = Duration::from_millis(5_000);
const FREEZE: Duration = Duration::from_millis(1_800);
/// When the worker crashes, after the freeze has begun, and for how long it is down.
const CRASH_AT: Duration = Duration::from_millis(1_300);
const DOWN: Duration = Duration::from_millis(200);

pub async fn play(record: Record, dir: PathBuf) -> Verdict {
    let duration = |_: &str, spec: &str| if spec == "lookup" { LOOKUP } else { STUDY };
    let fleet = Fleet::new(record.clone(), false, duration);
    let started = Deployment::start(record.clone(), dir, fleet.clone(), (3, WORKERS)).await;
    let deployment = Rc::new(started.map_err(|e| e.to_string())?);
    sleep(Duration::from_secs(4)).await;
    let study = "5c0e7a21d94b36f8";
    // The scheduler stops as the answer to its transaction with the first start is on its way.
    let found: Rc<Cell<Option<usize>>> = Rc::default();
    let assigned: Rc<RefCell<Option<usize>>> = Rc::default();
    let (d, f, a) = (Rc::downgrade(&deployment), found.clone(), assigned.clone());
    *deployment.store.write_hook.borrow_mut() = Some(Box::new(move |node, body| {
        let rows = body["setKeys"].as_array().into_iter().flatten();
        let Some(row) = rows
            .into_iter()
            .find(|row| row["table"] == "progress" && row["key"] == study)
        else {
            return;
        };
        let Some(d) = d.upgrade().filter(|_| f.get().is_none()) else {
            return;
        };
        let value = STANDARD
            .decode(row["value"].as_str().unwrap_or_default())
            .unwrap_or_default();
        let workers = d.fleet.workers.borrow();
        let names = |worker: &&Rc<crate::workers::Worker>| {
            value
                .windows(worker.id.len())
                .any(|part| part == worker.id.as_bytes())
        };
        let Some(worker) = workers.iter().find(names) else {
            return;
        };
        f.set(Some(node));
        *a.borrow_mut() = Some(worker.number);
        d.record.line(&format!(
            "{} has stored a start of {study} on {}",
            d.nodes[node].name, worker.id
        ));
        if d.has_trouble {
            d.record.line(&format!("{} freezes", d.nodes[node].name));
            d.nodes[node].freeze(true);
        }
    }));
    let step = json!({"count": 1, "cpu": 16_000, "memMb": 1_024, "estimateMs": 5_000});
    let body = json!({"spec": "study", "steps": [step]});
    let (status, _) = deployment
        .call(
            deployment.front(0),
            Method::POST,
            &format!("/recon/{study}"),
            Some(&body),
        )
        .await;
    let mut is_accepted = status == 200;
    let mut waited = 0;
    while found.get().is_none() && waited < 100 {
        sleep(Duration::from_millis(10)).await;
        waited += 1;
    }
    let Some(frozen) = found.get() else {
        return Err("no start was stored".to_owned());
    };
    let frozen_at = tokio::time::Instant::now();
    let others: Vec<usize> = (0..deployment.nodes.len())
        .filter(|node| *node != frozen)
        .collect();
    // An urgent lookup that needs a whole worker comes at another node.
    let step = json!({"count": 1, "cpu": 16_000, "memMb": 1_024, "estimateMs": 500});
    let lookup = json!({"spec": "lookup", "steps": [step]});
    deployment
        .call(
            deployment.front(others[0]),
            Method::POST,
            "/lookup/5c0e7a2100000001",
            Some(&lookup),
        )
        .await;
    let crashed = assigned.borrow().unwrap_or(0);
    let worker = deployment.fleet.workers.borrow()[crashed].clone();
    if deployment.has_trouble {
        sleep(CRASH_AT.saturating_sub(frozen_at.elapsed())).await;
        fleet.crash(&worker);
        sleep(DOWN).await;
        fleet.restart(&worker, unix_ms());
        sleep(FREEZE.saturating_sub(frozen_at.elapsed())).await;
        record.line(&format!("{} wakes", deployment.nodes[frozen].name));
        deployment.nodes[frozen].freeze(false);
    }
    sleep(Duration::from_secs(12)).await;
    if !is_accepted {
        // A client that had no answer sends the request again.
        let path = format!("/recon/{study}");
        let (status, _) = deployment
            .call(
                deployment.front(others[0]),
                Method::POST,
                &path,
                Some(&body),
            )
            .await;
        is_accepted = status == 200;
    }
    record.line(&format!("the study was accepted: {is_accepted}"));
    sleep(Duration::from_secs(8)).await;
    let overlaps = overlaps(&fleet.begun.borrow(), &fleet.ended.borrow());
    for overlap in &overlaps {
        record.line(overlap);
    }
    if fleet.begun.borrow().is_empty() {
        return Err("nothing was started".to_owned());
    }
    Ok(!overlaps.is_empty())
}

/// Returns the runs of one task that were at work at the same time, and the runs that began after one had ended `done`.
pub fn overlaps(begun: &[Begun], ended: &[Ended]) -> Vec<String> {
    let end_of = |run: &Begun| {
        let ends = ended
            .iter()
            .filter(|end| end.task == run.task && end.run == run.run && end.at_ms >= run.at_ms);
        ends.into_iter().next()
    };
    let mut found = Vec::new();
    for (n, a) in begun.iter().enumerate() {
        for b in begun[n + 1..].iter().filter(|b| b.task == a.task) {
            let end = end_of(a);
            if end.is_none_or(|end| end.at_ms > b.at_ms) {
                found.push(format!(
                    "TWICE: {} run {} on worker {} from {} ms to {:?} and run {} on worker {} from {} ms",
                    a.task, a.run, a.worker, a.at_ms, end.map(|end| end.at_ms), b.run, b.worker, b.at_ms
                ));
            } else if end.is_some_and(|end| end.how == "done") {
                found.push(format!(
                    "TWICE: {} run {} was done, and run {} began at {} ms",
                    a.task, a.run, b.run, b.at_ms
                ));
            }
        }
    }
    found
}
