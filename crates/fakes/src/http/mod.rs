//! The stand-ins over HTTP, for runs with real node processes.
//!
//! A node whose platform address ends in `/from/<domain>` can be cut off from the table, the object store and
//! the VM list with the other nodes of that failure domain.

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

/// The interval of the connections of [`wake_threads`].
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of threads that answer requests.
const THREADS: usize = 64;

/// A stand-in platform that serves HTTP.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
}

impl Server {
    /// Returns the address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

/// The network faults, each with the time at which it ends.
#[derive(Debug, Default)]
struct Cuts {
    /// The table is unreachable.
    table: Time,
    /// The replies of the table are lost.
    replies: Time,
    /// The table, the object store and the VM list are unreachable from a failure domain.
    domains: BTreeMap<DomainId, Time>,
    /// The workers of a failure domain are unreachable.
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

    /// Returns an error if calls from the failure domain are cut off.
    fn check_reachable(&self, domain: Option<DomainId>) -> Result<(), StoreError> {
        let until = domain.and_then(|domain| self.cuts().domains.get(&domain).copied());
        if until.is_some_and(|until| self.now() < until) {
            return Err(unreachable("the domain is cut off"));
        }
        Ok(())
    }
}

/// Serves a platform on the address `listen` until the process ends.
///
/// # Errors
///
/// Returns an error if it cannot listen on the address.
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
    thread::spawn(move || wake_threads(address));
    Ok(Server { address })
}

/// Opens and closes connections to the server at an interval. `tiny_http` may leave a connection in its queue
/// while a thread is idle, and every further connection wakes a thread that takes it from the queue.
fn wake_threads(address: SocketAddr) {
    loop {
        thread::sleep(WAKE_INTERVAL);
        // A failed connection is harmless, because another one follows.
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
    // Sending fails if the caller has disconnected, and then no answer is needed.
    let _ = req.respond(Response::from_string(text).with_status_code(status));
}

fn answer(shared: &Shared, path: &[&str], req: &mut Request) -> Result<String, StoreError> {
    let (from, path) = match path {
        ["from", domain, rest @ ..] => (Some(admin::parse_domain(domain)?), rest),
        _ => (None, path),
    };
    match path {
        ["table"] => {
            shared.check_reachable(from)?;
            call_table(shared, req)
        }
        ["objects"] => {
            shared.check_reachable(from)?;
            let call = parse_body::<ObjectReq>(req)?;
            call_platform(shared, |p| p.object(&call))
        }
        ["vms", domain] => {
            shared.check_reachable(from)?;
            let domain = admin::parse_domain(domain)?;
            call_platform(shared, |p| p.vms(domain))
        }
        ["workers", _] => call_worker(shared, req),
        ["admin", rest @ ..] => admin::execute(shared, rest),
        ["backend", rest @ ..] => backend::run_request(shared, rest, req),
        _ => Err(StoreError::Refused("no such path".to_owned())),
    }
}

fn parse_body<T: DeserializeOwned>(req: &mut Request) -> Result<T, StoreError> {
    serde_json::from_reader(req.as_reader()).map_err(|e| StoreError::Refused(e.to_string()))
}

fn call_platform<T: Serialize>(
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

fn call_table(shared: &Shared, req: &mut Request) -> Result<String, StoreError> {
    let call: TableReq = parse_body(req)?;
    let (cut_until, replies_lost_until) = {
        let cuts = shared.cuts();
        (cuts.table, cuts.replies)
    };
    if shared.now() < cut_until {
        return Err(unreachable("the table is cut off"));
    }
    let resp = call_platform(shared, |p| p.table(&call))?;
    if shared.now() < replies_lost_until {
        return Err(StoreError::Lost("the reply was lost".to_owned()));
    }
    Ok(resp)
}

fn call_worker(shared: &Shared, req: &mut Request) -> Result<String, StoreError> {
    let call: WorkerCall = parse_body(req)?;
    let (domain, paused_until) = {
        let mut platform = shared.platform();
        let place = platform.vm_list.place_of(call.worker);
        let fake = platform.worker_mut(call.worker);
        let paused_until = fake.map(|fake| fake.paused_until()).unwrap_or_default();
        (place.map(|(domain, _)| domain), paused_until)
    };
    let cut_until = domain.and_then(|domain| shared.cuts().workers.get(&domain).copied());
    if cut_until.is_some_and(|until| shared.now() < until) {
        return Err(unreachable("the domain's workers are cut off"));
    }
    if shared.now() < paused_until {
        return Err(StoreError::Lost("the worker is paused".to_owned()));
    }
    call_platform(shared, |p| p.worker(&call))
}

fn unreachable(reason: &str) -> StoreError {
    StoreError::Unreachable(reason.to_owned())
}
