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

/// How many calls are made at a time.
const THREADS: usize = 16;

/// A call to make.
#[derive(Clone, Debug)]
pub(super) enum Job {
    Table(CallId, TableReq),
    Object(CallId, ObjectReq),
    Vms,
    Worker(CallId, WorkerCall),
}

/// The pool. Its threads end when it is dropped.
pub(super) struct Pool {
    jobs: Sender<Job>,
}

impl Pool {
    pub(super) fn start(
        cfg: HttpPlatformConfig,
        domain: DomainId,
        channel: &Channel<Incoming>,
    ) -> Self {
        let (jobs, rx) = mpsc::channel();
        let rx = Arc::new(Mutex::new(rx));
        let platform = HttpPlatform::new(cfg);
        for _ in 0..THREADS {
            let rx = Arc::clone(&rx);
            let channel = channel.clone();
            let platform = platform.clone();
            thread::spawn(move || work(&rx, domain, platform, &channel));
        }
        Self { jobs }
    }

    pub(super) fn send(&self, job: Job) {
        // The threads outlive the pool, so the send does not fail.
        let _ = self.jobs.send(job);
    }
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
