//! UNASKED: a job whose row is stored late, after its cancelling was answered with 410.

use std::{cell::Cell, path::PathBuf, rc::Rc, time::Duration};

use hyper::Method;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::{Deployment, Verdict, record::Record, workers::Fleet};

const WORKERS: usize = 24;
const TASK: Duration = Duration::from_millis(8_000);
/// How much later the lost writes are done: "1 to 6 s".
const LATE: Duration = Duration::from_millis(5_500);
/// For how long answers of the store are lost; the site files have up to 4.5 s.
const LOST_FOR: Duration = Duration::from_millis(4_500);
/// `cancel_ms` and `contactMs`.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 4_000;

pub async fn play(record: Record, dir: PathBuf) -> Verdict {
    let fleet = Fleet::new(record.clone(), false, |_, _| TASK);
    let started = Deployment::start(record.clone(), dir, fleet.clone(), (3, WORKERS)).await;
    let deployment = started.map_err(|e| e.to_string())?;
    sleep(Duration::from_secs(6)).await;
    let job = "5c0e7a21d94b36f8";
    let path = format!("/recon/{job}");
    let ends_at = Instant::now() + LOST_FOR;
    if deployment.has_trouble {
        // Of the writes, which are several a second, those of this job's row are not answered.
        let count: Rc<Cell<u32>> = Rc::default();
        *deployment.store.write_fault.borrow_mut() = Some(Box::new(move |body| {
            let rows = body["setKeys"].as_array().into_iter().flatten();
            let is_hit = rows
                .into_iter()
                .any(|row| row["table"] == "jobs" && row["key"] == job);
            count.set(count.get() + u32::from(is_hit));
            (is_hit && Instant::now() < ends_at).then_some(LATE)
        }));
    }
    let step = json!({"count": 2, "cpu": 1_000, "memMb": 256, "estimateMs": 8_000});
    let next = json!({"count": 2, "cpu": 1_000, "memMb": 256, "estimateMs": 8_000, "after": [0]});
    let body = json!({"spec": "reminders", "steps": [step, next]});
    let (submitted, _) = deployment
        .call(deployment.front(0), Method::POST, &path, Some(&body))
        .await;
    let mut cancelled_ms = None;
    for attempt in 0..4 {
        let (status, _) = deployment
            .call(deployment.front(1 + attempt), Method::DELETE, &path, None)
            .await;
        if (200..300).contains(&status) || status == 410 {
            cancelled_ms = Some(record.ms());
            break;
        }
        sleep(Duration::from_millis(500)).await;
    }
    let Some(cancelled_ms) = cancelled_ms else {
        return Err("the cancelling was not acknowledged".to_owned());
    };
    let calm_ms = record.ms()
        + u64::try_from(
            ends_at
                .saturating_duration_since(Instant::now())
                .as_millis(),
        )
        .unwrap_or(0)
        + CONTACT_MS;
    record.line(&format!(
        "the submission had the answer {submitted}; the cancelling is acknowledged"
    ));
    sleep(Duration::from_secs(30)).await;
    let begun = fleet.begun.borrow();
    let late: Vec<_> = begun
        .iter()
        .filter(|run| run.at_ms > cancelled_ms + CANCEL_MS)
        .collect();
    for run in &late {
        let since = run.at_ms - cancelled_ms;
        record.line(&format!(
            "UNASKED: {} run {} began {since} ms after the cancelling was acknowledged",
            run.task, run.run
        ));
    }
    // Only starts in steady state count.
    let in_touch = late.iter().filter(|run| run.at_ms > calm_ms).count();
    record.line(&format!(
        "{in_touch} of these starts came later than contactMs after the end of the disruption"
    ));
    Ok(in_touch > 0)
}
