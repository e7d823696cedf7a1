//! A bounded pool of threads that make the blocking calls to the platform.

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

/// How many calls to the table and the VM list are made at a time.
const TABLE_THREADS: usize = 8;
/// How many calls to the object store are made at a time.
const OBJECT_THREADS: usize = 4;
/// How many calls to workers are made at a time.
const WORKER_THREADS: usize = 16;

/// A call to make.
#[derive(Clone, Debug)]
pub(super) enum Job {
    Table(CallId, TableReq),
    Object(CallId, ObjectReq),
    Vms,
    Worker(CallId, WorkerCall),
}

/// The pool. Its threads end when it is dropped.
///
/// Each part of the platform has threads of its own: workers that give no answer must not keep a lease
/// from being renewed in the table.
pub(super) struct Pool {
    table: Sender<Job>,
    objects: Sender<Job>,
    workers: Sender<Job>,
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

    pub(super) fn send(&self, job: Job) {
        let jobs = match &job {
            Job::Table(..) | Job::Vms => &self.table,
            Job::Object(..) => &self.objects,
            Job::Worker(..) => &self.workers,
        };
        // The threads outlive the pool, so the send does not fail.
        let _ = jobs.send(job);
    }
}

fn start_threads(
    threads: usize,
    domain: DomainId,
    platform: &HttpPlatform,
    channel: &Channel<Incoming>,
) -> Sender<Job> {
    let (jobs, rx) = mpsc::channel();
    let rx = Arc::new(Mutex::new(rx));
    for _ in 0..threads {
        let rx = Arc::clone(&rx);
        let channel = channel.clone();
        let platform = platform.clone();
        thread::spawn(move || work(&rx, domain, platform, &channel));
    }
    jobs
}

fn work(
    rx: &Mutex<Receiver<Job>>,
    domain: DomainId,
    mut platform: HttpPlatform,
    channel: &Channel<Incoming>,
) {
    loop {
        let job = rx.lock().unwrap_or_else(PoisonError::into_inner).recv();
        let Ok(job) = job else {
            return;
        };
        let event = match job {
            Job::Table(call, req) => Event::Table(call, platform.table(&req)),
            Job::Object(call, req) => Event::Object(call, platform.object(&req)),
            Job::Vms => Event::Vms(platform.vms(domain)),
            Job::Worker(call, req) => Event::Worker(call, req.worker, platform.worker(&req)),
        };
        if !channel.send(Incoming::Event(event)) {
            return;
        }
    }
}
