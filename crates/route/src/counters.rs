//! The counters and the state of a router, for metrics and the dump.

use std::collections::BTreeMap;

use serde::Serialize;

/// The counters of one service since the start of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceCounters {
    /// Requests that were received for the service.
    pub offered: u64,
    /// Requests whose whole answer was passed on to the caller.
    pub answered: u64,
    /// Requests that were refused with the verdict that they have not run.
    pub not_run: u64,
    /// Requests that ended with the verdict that they may have run.
    pub may_have_run: u64,
    /// Attempts at backend servers.
    pub dispatched: u64,
    /// Attempts that were forwarded to nodes of this region.
    pub forwarded: u64,
    /// Attempts that were forwarded to nodes of other regions.
    pub forwarded_across: u64,
    /// Attempts after the first one of a request.
    pub retries: u64,
    /// Bytes of request and response bodies that were sent to or received from other regions.
    pub cross_region_bytes: u64,
}

/// The state of one service in a router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceDump {
    /// Requests that wait for a slot.
    pub queued: usize,
    /// The moving average of a request's time at a backend server, in milliseconds.
    pub run_ms: u64,
    /// The backend servers that are not ejected.
    pub backends: Vec<String>,
    /// The backend servers that are ejected because they failed or were slow.
    pub ejected: Vec<String>,
    /// The counters since the start of the router.
    #[serde(flatten)]
    pub counters: ServiceCounters,
}

/// The state of a router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RouteDump {
    /// Requests with no final answer yet.
    pub open: usize,
    /// Attempts and claims that are in flight.
    pub in_flight: usize,
    /// Whether new requests are refused.
    pub closed: bool,
    /// The services by name.
    pub services: BTreeMap<String, ServiceDump>,
}
