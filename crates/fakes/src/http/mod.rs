//! The stand-ins over HTTP, for runs with real node processes.
//!
//! A node whose platform address ends in `/from/<domain>` can be cut off from table and VM list.

mod admin;
mod backend;

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use model::{DomainId, Time, WorkerId};
use serde::{Serialize, de::DeserializeOwned};
use store::{ObjectReq, Objects, StoreError, Table, TableReq, VmList, WorkerCall, Workers};
use tiny_http::{Request, Response};

use crate::FakePlatform;

/// The interval of nudges, see [`nudge`].
const NUDGE_INTERVAL: Duration = Duration::from_millis(50);
/// How many threads answer.
const THREADS: usize = 64;

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

/// What is cut off, each up to a point in time.
#[derive(Debug, Default)]
struct Cuts {
    table: Time,
    replies: Time,
    domains: BTreeMap<DomainId, Time>,
    workers: BTreeMap<DomainId, Time>,
}

struct Shared {
    platform: Mutex<FakePlatform>,
    cuts: Mutex<Cuts>,
    start: Instant,
}

impl Shared {
    fn now(&self) -> Time {
        let ms = self.start.elapsed().as_millis();
        Time::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    fn platform(&self) -> MutexGuard<'_, FakePlatform> {
        self.platform.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cuts(&self) -> MutexGuard<'_, Cuts> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Refuses a call from a domain that is cut off from table and VM list.
    fn reach_from(&self, domain: Option<DomainId>) -> Result<(), StoreError> {
        let until = domain.and_then(|domain| self.cuts().domains.get(&domain).copied());
        if until.is_some_and(|until| self.now() < until) {
            return Err(unreachable("the domain is cut off"));
        }
        Ok(())
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
        cuts: Mutex::default(),
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
    thread::spawn(move || nudge(address));
    Ok(Server { address })
}

/// Connects to the server again and again, and closes at once. `tiny_http` may leave a connection in its
/// queue while a thread is idle; each further one makes a thread look at the queue.
fn nudge(address: SocketAddr) {
    loop {
        thread::sleep(NUDGE_INTERVAL);
        // Nothing depends on a single one.
        let _ = TcpStream::connect(address);
    }
}

fn handle(shared: &Shared, mut req: Request) {
    let url = req.url().to_owned();
    let path: Vec<&str> = url.trim_start_matches('/').split('/').collect();
    let (status, text) = match answer(shared, &path, &mut req) {
        Ok(text) => (200, text),
        Err(StoreError::Unreachable(e)) => (503, e),
        Err(StoreError::Refused(e)) => (400, e),
        Err(StoreError::Lost(e)) => (500, e),
    };
    // A caller that has gone away needs no answer.
    let _ = req.respond(Response::from_string(text).with_status_code(status));
}

fn answer(shared: &Shared, path: &[&str], req: &mut Request) -> Result<String, StoreError> {
    let (from, path) = match path {
        ["from", domain, rest @ ..] => (Some(admin::label(domain)?), rest),
        _ => (None, path),
    };
    match path {
        ["table"] => {
            shared.reach_from(from)?;
            table(shared, req)
        }
        ["objects"] => {
            shared.reach_from(from)?;
            let call = body::<ObjectReq>(req)?;
            with(shared, |p| p.object(&call))
        }
        ["vms", domain] => {
            shared.reach_from(from)?;
            let domain = admin::label(domain)?;
            with(shared, |p| p.vms(domain))
        }
        ["workers", _] => worker(shared, req),
        ["admin", rest @ ..] => admin::admin(shared, rest),
        ["backend", rest @ ..] => backend::backend(shared, rest, req),
        _ => Err(StoreError::Refused("no such path".to_owned())),
    }
}

fn body<T: DeserializeOwned>(req: &mut Request) -> Result<T, StoreError> {
    serde_json::from_reader(req.as_reader()).map_err(|e| StoreError::Refused(e.to_string()))
}

fn with<T: Serialize>(
    shared: &Shared,
    call: impl FnOnce(&mut crate::At<'_>) -> Result<T, StoreError>,
) -> Result<String, StoreError> {
    let now = shared.now();
    let resp = call(&mut shared.platform().at(now))?;
    to_json(&resp)
}

fn to_json(value: &impl Serialize) -> Result<String, StoreError> {
    serde_json::to_string(value).map_err(|e| StoreError::Refused(e.to_string()))
}

fn table(shared: &Shared, req: &mut Request) -> Result<String, StoreError> {
    let call: TableReq = body(req)?;
    let (down, lost) = {
        let cuts = shared.cuts();
        (cuts.table, cuts.replies)
    };
    if shared.now() < down {
        return Err(unreachable("the table is cut off"));
    }
    let resp = with(shared, |p| p.table(&call))?;
    if shared.now() < lost {
        return Err(StoreError::Lost("the reply was lost".to_owned()));
    }
    Ok(resp)
}

fn worker(shared: &Shared, req: &mut Request) -> Result<String, StoreError> {
    let call: WorkerCall = body(req)?;
    let (domain, paused_until) = {
        let mut platform = shared.platform();
        let place = platform.vm_list.place_of(call.worker);
        let fake = platform.worker_mut(call.worker);
        let paused_until = fake.map(|fake| fake.paused_until()).unwrap_or_default();
        (place.map(|(domain, _)| domain), paused_until)
    };
    let cut = domain.and_then(|domain| shared.cuts().workers.get(&domain).copied());
    if cut.is_some_and(|until| shared.now() < until) {
        return Err(unreachable("the domain's workers are cut off"));
    }
    if shared.now() < paused_until {
        return Err(StoreError::Lost("the worker is paused".to_owned()));
    }
    with(shared, |p| p.worker(&call))
}

fn unreachable(reason: &str) -> StoreError {
    StoreError::Unreachable(reason.to_owned())
}
