//! Stand-ins for backend servers: limits of connections and requests, and a record of the requests that ran.

use std::collections::BTreeMap;

use model::{Time, WorkerId};

/// The largest number of requests that a backend server runs at a time.
pub const MAX_RUNNING_REQUESTS: u32 = 8;
/// The largest number of connections that a backend server accepts at a time.
pub const MAX_CONNECTIONS: u32 = 64;

/// A request that a backend server ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedRequest {
    /// The backend server's worker.
    pub worker: WorkerId,
    /// The service's name.
    pub service: String,
    /// The id that the caller gave the request.
    pub id: String,
    /// The idempotency key, if the request has one.
    pub key: Option<String>,
    /// When it began.
    pub began: Time,
    /// When it ended; `None` while it runs.
    pub ended: Option<Time>,
}

/// A handle of a request that runs on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenRequest(usize);

#[derive(Clone, Copy, Debug, Default)]
struct Server {
    connections: u32,
    running: u32,
    peak_connections: u32,
}

/// The backend servers of all workers.
#[derive(Clone, Debug, Default)]
pub struct Backends {
    servers: BTreeMap<WorkerId, Server>,
    served: Vec<ServedRequest>,
}

impl Backends {
    /// Opens a connection to a worker's backend server. Returns false if it has [`MAX_CONNECTIONS`] already.
    pub fn connect(&mut self, worker: WorkerId) -> bool {
        let server = self.servers.entry(worker).or_default();
        if server.connections >= MAX_CONNECTIONS {
            return false;
        }
        server.connections += 1;
        server.peak_connections = server.peak_connections.max(server.connections);
        true
    }

    /// Closes a connection.
    pub fn disconnect(&mut self, worker: WorkerId) {
        let server = self.servers.entry(worker).or_default();
        server.connections = server.connections.saturating_sub(1);
    }

    /// Begins a request. Returns `None` if the backend server runs [`MAX_RUNNING_REQUESTS`] already.
    pub fn begin(&mut self, served: ServedRequest) -> Option<OpenRequest> {
        let state = self.servers.entry(served.worker).or_default();
        if state.running >= MAX_RUNNING_REQUESTS {
            return None;
        }
        state.running += 1;
        self.served.push(served);
        Some(OpenRequest(self.served.len() - 1))
    }

    /// Ends a request, and releases its place on the backend server.
    pub fn end(&mut self, now: Time, open: OpenRequest) {
        let Some(served) = self.served.get_mut(open.0) else {
            return;
        };
        if served.ended.replace(now).is_none() {
            let state = self.servers.entry(served.worker).or_default();
            state.running = state.running.saturating_sub(1);
        }
    }

    /// Returns the requests that the backend servers ran, in the order in which they began.
    #[must_use]
    pub fn served(&self) -> &[ServedRequest] {
        &self.served
    }

    /// Returns the largest number of connections that a backend server has had at a time.
    #[must_use]
    pub fn peak_connections(&self, worker: WorkerId) -> u32 {
        self.servers
            .get(&worker)
            .map_or(0, |server| server.peak_connections)
    }
}
