//! The paths under `/admin/`: they inject faults, and return the runs and requests that workers and backend
//! servers have recorded.

use std::time::Duration;

use model::{DomainId, LabelError, Size, Time, WorkerId};
use serde::Serialize;
use store::{StoreError, TaskPhase};

use super::{Shared, to_json};
use crate::{FakeWorker, Run, ServedRequest};

/// Executes the operation named by the part of a path after `/admin/`.
pub(super) fn execute(shared: &Shared, path: &[&str]) -> Result<String, StoreError> {
    let now = shared.now();
    match path {
        ["cut-table", ms] => {
            let span = parse_millis(ms)?;
            shared.cuts().table = now + span;
            Ok(format!("the table is cut off for {ms} ms\n"))
        }
        ["cut-domain", domain, ms] => {
            let span = parse_millis(ms)?;
            shared
                .cuts()
                .domains
                .insert(parse_domain(domain)?, now + span);
            Ok(format!(
                "{domain} is cut off from the platform for {ms} ms\n"
            ))
        }
        ["cut-workers", domain, ms] => {
            let span = parse_millis(ms)?;
            shared
                .cuts()
                .workers
                .insert(parse_domain(domain)?, now + span);
            Ok(format!("the workers of {domain} are cut off for {ms} ms\n"))
        }
        ["lose-replies", ms] => {
            shared.cuts().replies = now + parse_millis(ms)?;
            Ok(format!("the table's replies are lost for {ms} ms\n"))
        }
        ["worker", id, rest @ ..] => change_worker(shared, now, id, rest),
        ["runs"] => list_runs(shared, now),
        ["requests"] => list_requests(shared),
        _ => Err(refused("no such admin path")),
    }
}

fn change_worker(
    shared: &Shared,
    now: Time,
    id: &str,
    rest: &[&str],
) -> Result<String, StoreError> {
    let id: WorkerId = id.parse().map_err(|_| refused("not a worker's number"))?;
    let mut platform = shared.platform();
    match rest {
        ["leave"] => {
            platform.vm_list.set_leaving(now, id);
            return Ok(format!("{id} is to leave\n"));
        }
        ["gone"] => platform.vm_list.set_gone(now, id),
        _ => {}
    }
    let fake = platform
        .worker_mut(id)
        .ok_or_else(|| refused("no such worker"))?;
    match rest {
        ["die" | "gone"] => fake.die(now),
        ["come-back"] => fake.restart(),
        ["pause", ms] => fake.pause(now + parse_millis(ms)?),
        ["fail-all"] => fake.set_always_fails(true),
        _ => return Err(refused("no such admin path")),
    }
    Ok(format!("{id}: {}\n", rest.join(" ")))
}

fn parse_millis(text: &str) -> Result<Duration, StoreError> {
    let ms = text.parse();
    ms.map(Duration::from_millis)
        .map_err(|_| refused("not a number of milliseconds"))
}

pub(super) fn parse_domain(name: &str) -> Result<DomainId, StoreError> {
    name.parse()
        .map_err(|e: LabelError| refused(&e.to_string()))
}

fn refused(reason: &str) -> StoreError {
    StoreError::Refused(reason.to_owned())
}

#[derive(Serialize)]
struct WorkerRecord {
    worker: String,
    size: Size,
    peak: Size,
    peak_connections: u32,
    runs: Vec<RunRecord>,
}

#[derive(Serialize)]
struct RunRecord {
    task: String,
    attempt: u32,
    began_ms: u64,
    ended_ms: Option<u64>,
    phase: TaskPhase,
}

#[derive(Serialize)]
struct RequestRecord<'a> {
    worker: String,
    service: &'a str,
    id: &'a str,
    key: Option<&'a str>,
    began_ms: u64,
    ended_ms: Option<u64>,
}

fn list_runs(shared: &Shared, now: Time) -> Result<String, StoreError> {
    let mut platform = shared.platform();
    platform.advance(now);
    let record = |worker: &FakeWorker| WorkerRecord {
        worker: worker.id().to_string(),
        size: worker.size(),
        peak: worker.peak(),
        peak_connections: platform.backends.peak_connections(worker.id()),
        runs: worker.runs().iter().map(run_record).collect(),
    };
    let records: Vec<WorkerRecord> = platform.workers().map(record).collect();
    to_json(&records)
}

fn run_record(run: &Run) -> RunRecord {
    RunRecord {
        task: run.task.to_string(),
        attempt: run.attempt.0,
        began_ms: run.began.as_ms(),
        ended_ms: run.ended.map(Time::as_ms),
        phase: run.phase,
    }
}

fn list_requests(shared: &Shared) -> Result<String, StoreError> {
    let platform = shared.platform();
    let record = |served: &ServedRequest| to_json(&request_record(served));
    let records: Result<Vec<String>, StoreError> =
        platform.backends.served().iter().map(record).collect();
    Ok(format!("[{}]", records?.join(",\n")))
}

fn request_record(served: &ServedRequest) -> RequestRecord<'_> {
    RequestRecord {
        worker: served.worker.to_string(),
        service: &served.service,
        id: &served.id,
        key: served.key.as_deref(),
        began_ms: served.began.as_ms(),
        ended_ms: served.ended.map(Time::as_ms),
    }
}
