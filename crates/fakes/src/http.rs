//! The stand-ins over HTTP, for runs with real node processes.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use model::{Time, WorkerId};
use serde::{Serialize, de::DeserializeOwned};
use store::{ObjectReq, Objects, StoreError, Table, TableReq, VmList, WorkerCall, Workers};
use tiny_http::{Request, Response};

use crate::FakePlatform;

/// How many threads answer.
const THREADS: usize = 16;

/// A stand-in platform that listens.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
}

impl Server {
    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

struct Shared {
    platform: Mutex<FakePlatform>,
    table_down_until: Mutex<Time>,
    start: Instant,
}

impl Shared {
    fn now(&self) -> Time {
        let ms = self.start.elapsed().as_millis();
        Time::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}

/// Serves a platform on `listen` until the process ends.
///
/// # Errors
///
/// The address cannot be listened on.
pub fn serve(listen: &str, mut platform: FakePlatform) -> io::Result<Server> {
    let http = tiny_http::Server::http(listen).map_err(io::Error::other)?;
    let address = http
        .server_addr()
        .to_ip()
        .ok_or_else(|| io::Error::other("not an IP address"))?;
    let ids: Vec<WorkerId> = platform.worker_ids();
    for id in ids {
        if let Some(worker) = platform.worker_mut(id) {
            worker.set_endpoint(format!("http://{address}/backend/{}", id.0));
        }
    }
    let http = Arc::new(http);
    let shared = Arc::new(Shared {
        platform: Mutex::new(platform),
        table_down_until: Mutex::new(Time::ZERO),
        start: Instant::now(),
    });
    for _ in 0..THREADS {
        let http = Arc::clone(&http);
        let shared = Arc::clone(&shared);
        thread::spawn(move || {
            while let Ok(req) = http.recv() {
                handle(&shared, req);
            }
        });
    }
    Ok(Server { address })
}

fn handle(shared: &Shared, mut req: Request) {
    let url = req.url().to_owned();
    let path: Vec<&str> = url.trim_start_matches('/').split('/').collect();
    let answer = match path[..] {
        ["table"] => table(shared, &mut req),
        ["objects"] => body::<ObjectReq>(&mut req).and_then(|r| with(shared, |p| p.object(&r))),
        ["vms", domain] => vms(shared, domain),
        ["workers", _] => {
            body::<WorkerCall>(&mut req).and_then(|call| with(shared, |p| p.worker(&call)))
        }
        ["admin", "cut-table", ms] => cut_table(shared, ms),
        ["admin", "runs"] => runs(shared),
        ["backend", worker, ..] => backend(shared, worker, &url),
        _ => Err(StoreError::Refused(format!("no such path: {url}"))),
    };
    let (status, text) = match answer {
        Ok(text) => (200, text),
        Err(StoreError::Unreachable(e)) => (503, e),
        Err(StoreError::Refused(e)) => (400, e),
        Err(StoreError::Lost(e)) => (500, e),
    };
    // A caller that has gone away needs no answer.
    let _ = req.respond(Response::from_string(text).with_status_code(status));
}

fn body<T: DeserializeOwned>(req: &mut Request) -> Result<T, StoreError> {
    serde_json::from_reader(req.as_reader()).map_err(|e| StoreError::Refused(e.to_string()))
}

fn with<T: Serialize>(
    shared: &Shared,
    call: impl FnOnce(&mut crate::At<'_>) -> Result<T, StoreError>,
) -> Result<String, StoreError> {
    let mut platform = shared
        .platform
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let resp = call(&mut platform.at(shared.now()))?;
    to_json(&resp)
}

fn to_json(value: &impl Serialize) -> Result<String, StoreError> {
    serde_json::to_string(value).map_err(|e| StoreError::Refused(e.to_string()))
}

fn table(shared: &Shared, req: &mut Request) -> Result<String, StoreError> {
    let req: TableReq = body(req)?;
    let down = *shared
        .table_down_until
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if shared.now() < down {
        return Err(StoreError::Unreachable("the table is cut off".to_owned()));
    }
    with(shared, |p| p.table(&req))
}

fn vms(shared: &Shared, domain: &str) -> Result<String, StoreError> {
    let domain = domain
        .parse()
        .map_err(|e: model::LabelError| StoreError::Refused(e.to_string()))?;
    with(shared, |p| p.vms(domain))
}

fn cut_table(shared: &Shared, ms: &str) -> Result<String, StoreError> {
    let ms = ms
        .parse()
        .map_err(|_| StoreError::Refused("not a number of milliseconds".to_owned()))?;
    let until = shared.now() + Duration::from_millis(ms);
    *shared
        .table_down_until
        .lock()
        .unwrap_or_else(PoisonError::into_inner) = until;
    Ok(format!("the table is cut off for {ms} ms\n"))
}

fn backend(shared: &Shared, worker: &str, url: &str) -> Result<String, StoreError> {
    let id: WorkerId = worker
        .parse()
        .map_err(|_| StoreError::Refused("no such worker".to_owned()))?;
    let mut platform = shared
        .platform
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let known = platform.worker_mut(id).is_some();
    if known {
        Ok(format!("{id} answers {url}\n"))
    } else {
        Err(StoreError::Refused("no such worker".to_owned()))
    }
}

#[derive(Serialize)]
struct WorkerRecord {
    worker: String,
    size: model::Size,
    peak: model::Size,
    runs: Vec<RunRecord>,
}

#[derive(Serialize)]
struct RunRecord {
    task: String,
    attempt: u32,
    began_ms: u64,
    ended_ms: Option<u64>,
    phase: store::TaskPhase,
}

fn runs(shared: &Shared) -> Result<String, StoreError> {
    let mut platform = shared
        .platform
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    platform.advance(shared.now());
    let records: Vec<WorkerRecord> = platform.workers().map(worker_record).collect();
    to_json(&records)
}

fn worker_record(worker: &crate::FakeWorker) -> WorkerRecord {
    let run_record = |run: &crate::Run| RunRecord {
        task: run.task.to_string(),
        attempt: run.attempt.0,
        began_ms: run.began.as_ms(),
        ended_ms: run.ended.map(Time::as_ms),
        phase: run.phase,
    };
    WorkerRecord {
        worker: worker.id().to_string(),
        size: worker.size(),
        peak: worker.peak(),
        runs: worker.runs().iter().map(run_record).collect(),
    }
}
