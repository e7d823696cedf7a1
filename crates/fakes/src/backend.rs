//! Backend servers: the requests that services' replicas take, and a record of what each ran.

use std::collections::BTreeMap;

use model::{Time, WorkerId};

/// How many requests a backend server runs at a time.
pub const MAX_RUNNING_REQUESTS: u32 = 8;
/// How many connections a backend server takes at a time.
pub const MAX_CONNECTIONS: u32 = 64;

/// A request that a backend server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedRequest {
    /// The backend server's worker.
    pub worker: WorkerId,
    /// The service.
    pub service: String,
    /// The caller's own mark of the request.
    pub id: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// When it began.
    pub began: Time,
    /// When it ended; `None` while it runs.
    pub ended: Option<Time>,
}

/// A request that is open at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequest(usize);

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    connections: u32,
    running: u32,
    peak: u32,
}

/// All backend servers.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    servers: BTreeMap<WorkerId, Server>,
    served: Vec<ServedRequest>,
}

impl Backends {
    /// Takes a connection, unless the backend server has as many as it can hold.
    pub fn connect(&mut self, worker: WorkerId) -> bool {
        let server = self.servers.entry(worker).or_default();
        if server.connections >= MAX_CONNECTIONS {
            return false;
        }
        server.connections += 1;
        server.peak = server.peak.max(server.connections);
        true
    }

    /// Gives a connection up.
    pub fn disconnect(&mut self, worker: WorkerId) {
        let server = self.servers.entry(worker).or_default();
        server.connections = server.connections.saturating_sub(1);
    }

    /// Runs a request, if a slot is free.
    pub fn begin(&mut self, served: ServedRequest) -> Option<OpenRequest> {
        let state = self.servers.entry(served.worker).or_default();
        if state.running >= MAX_RUNNING_REQUESTS {
            return None;
        }
        state.running += 1;
        self.served.push(served);
        Some(OpenRequest(self.served.len() - 1))
    }

    /// Ends a request.
    pub fn end(&mut self, now: Time, open: OpenRequest) {
        let Some(served) = self.served.get_mut(open.0) else {
            return;
        };
        if served.ended.replace(now).is_none() {
            let state = self.servers.entry(served.worker).or_default();
            state.running = state.running.saturating_sub(1);
        }
    }

    /// What the backend servers ran, in the order of the beginnings.
    #[must_use]
    pub fn served(&self) -> &[ServedRequest] {
        &self.served
    }

    /// The most connections that a backend server had at a time.
    #[must_use]
    pub fn peak_connections(&self, worker: WorkerId) -> u32 {
        self.servers.get(&worker).map_or(0, |server| server.peak)
    }
}
