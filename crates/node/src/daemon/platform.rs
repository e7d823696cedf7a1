//! A bounded thread pool that makes the blocking calls to the platform.

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        mpsc::{self, Receiver, Sender},
    },
    thread,
};

use model::DomainId;
use stakker::sync::Channel;
use store::{
    HttpPlatform, HttpPlatformConfig, ObjectReq, Objects, Table, TableReq, VmList, WorkerCall,
    Workers,
};

use super::actor::Incoming;
use crate::{CallId, Event};

/// The maximum number of concurrent calls to the table and the VM list.
const TABLE_THREADS: usize = 8;
/// The maximum number of concurrent calls to the object store.
const OBJECT_THREADS: usize = 4;
/// The maximum number of concurrent calls to workers.
const WORKER_THREADS: usize = 16;

/// A call to the platform.
#[derive(Clone, Debug)]
pub(super) enum PlatformCall {
    Table(CallId, TableReq),
    Object(CallId, ObjectReq),
    Vms,
    Worker(CallId, WorkerCall),
}

/// The thread pool. Its threads end when it is dropped.
///
/// Each part of the platform has threads of its own. Otherwise, workers that do not respond could occupy
/// all threads and prevent the renewal of a lease in the table.
pub(super) struct Pool {
    table: Sender<PlatformCall>,
    objects: Sender<PlatformCall>,
    workers: Sender<PlatformCall>,
}

impl Pool {
    pub(super) fn start(
        cfg: HttpPlatformConfig,
        domain: DomainId,
        channel: &Channel<Incoming>,
    ) -> Self {
        let platform = HttpPlatform::new(cfg);
        let start = |threads| start_threads(threads, domain, &platform, channel);
        Self {
            table: start(TABLE_THREADS),
            objects: start(OBJECT_THREADS),
            workers: start(WORKER_THREADS),
        }
    }

    pub(super) fn send(&self, call: PlatformCall) {
        let calls = match &call {
            PlatformCall::Table(..) | PlatformCall::Vms => &self.table,
            PlatformCall::Object(..) => &self.objects,
            PlatformCall::Worker(..) => &self.workers,
        };
        // The threads outlive the pool, so the send does not fail.
        let _ = calls.send(call);
    }
}

fn start_threads(
    threads: usize,
    domain: DomainId,
    platform: &HttpPlatform,
    channel: &Channel<Incoming>,
) -> Sender<PlatformCall> {
    let (calls, rx) = mpsc::channel();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..threads {
        let rx = Arc::clone(&rx);
        let channel = channel.clone();
        let platform = platform.clone();
        thread::spawn(move || run_calls(&rx, domain, platform, &channel));
    }
    calls
}

fn run_calls(
    rx: &Mutex<Receiver<PlatformCall>>,
    domain: DomainId,
    mut platform: HttpPlatform,
    channel: &Channel<Incoming>,
) {
    loop {
        let call = rx.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(call) = call else {
            return;
        };
        let event = match call {
            PlatformCall::Table(id, req) => Event::Table(id, platform.table(&req)),
            PlatformCall::Object(id, req) => Event::Object(id, platform.object(&req)),
            PlatformCall::Vms => Event::Vms(platform.vms(domain)),
            PlatformCall::Worker(id, req) => Event::Worker(id, req.worker, platform.worker(&req)),
        };
        if !channel.send(Incoming::Event(event)) {
            return;
        }
    }
}
