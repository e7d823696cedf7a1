//! The replicas of services: `/backend/<worker>/<service>/<path>` answers with an echo of the request.

use std::{thread, time::Duration};

use model::WorkerId;
use serde::Serialize;
use store::StoreError;
use tiny_http::Request;

use super::{Shared, to_json};
use crate::{OpenRequest, ServedRequest};

/// How long a request occupies its place on the backend server.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// How long a request waits before it tries again, when the backend server runs as many as it can.
const RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// The largest declared length of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// The answer of a replica.
#[derive(Serialize)]
struct Echo<'a> {
    worker: String,
    service: &'a str,
    method: String,
    path: String,
    id: &'a str,
    key: Option<&'a str>,
    body: &'a str,
}

/// Runs a request on a replica. Does not hold the platform's lock while it waits.
pub(super) fn run_request(
    shared: &Shared,
    path: &[&str],
    req: &mut Request,
) -> Result<String, StoreError> {
    let [worker, service, rest @ ..] = path else {
        return Err(unreachable("no such backend server"));
    };
    let worker: WorkerId = worker
        .parse()
        .map_err(|_| unreachable("no such backend server"))?;
    let body = read_body(req)?;
    let id = header(req, "x-request-id").unwrap_or_default();
    let key = header(req, "idempotency-key");
    let open = begin(shared, worker, service, &id, key.as_deref())?;
    thread::sleep(SERVICE_TIME);
    let now = shared.now();
    let mut platform = shared.platform();
    platform.backends.end(now, open);
    platform.backends.disconnect(worker);
    drop(platform);
    to_json(&Echo {
        worker: worker.to_string(),
        service,
        method: req.method().to_string(),
        path: format!("/{}", rest.join("/")),
        id: &id,
        key: key.as_deref(),
        body: &body,
    })
}

/// Connects, waits until the backend server can run the request, and begins it. On an error the request has
/// not run.
fn begin(
    shared: &Shared,
    worker: WorkerId,
    service: &str,
    id: &str,
    key: Option<&str>,
) -> Result<OpenRequest, StoreError> {
    if !shared.platform().backends.connect(worker) {
        return Err(unreachable("no connection is free"));
    }
    loop {
        let now = shared.now();
        let mut platform = shared.platform();
        platform.advance(now);
        let is_serving = platform
            .worker_mut(worker)
            .is_some_and(|fake| !fake.is_dead() && fake.serves(service));
        if !is_serving {
            platform.backends.disconnect(worker);
            return Err(unreachable("no replica runs here"));
        }
        let served = ServedRequest {
            worker,
            service: service.to_owned(),
            id: id.to_owned(),
            key: key.map(str::to_owned),
            began: now,
            ended: None,
        };
        if let Some(open) = platform.backends.begin(served) {
            return Ok(open);
        }
        drop(platform);
        thread::sleep(RETRY_INTERVAL);
    }
}

fn read_body(req: &mut Request) -> Result<String, StoreError> {
    if req.body_length().is_some_and(|len| len > MAX_BODY_BYTES) {
        return Err(StoreError::Refused("the body is too large".to_owned()));
    }
    let mut body = String::new();
    req.as_reader()
        .read_to_string(&mut body)
        .map_err(|e| StoreError::Refused(e.to_string()))?;
    Ok(body)
}

fn header(req: &Request, name: &str) -> Option<String> {
    let is_named = |header: &&tiny_http::Header| {
        let field = header.field.as_str().as_str();
        field.eq_ignore_ascii_case(name)
    };
    let found = req.headers().iter().find(is_named)?;
    Some(found.value.as_str().to_owned())
}

fn unreachable(reason: &str) -> StoreError {
    StoreError::Unreachable(reason.to_owned())
}
