//! What a router has counted, for metrics and the dump.

use std::collections::BTreeMap;

use serde::Serialize;

/// Counts of one service since the router's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceCounters {
    /// Requests that were offered.
    pub offered: u64,
    /// Requests whose whole answer was passed on.
    pub answered: u64,
    /// Requests that were refused as not run.
    pub not_run: u64,
    /// Requests that ended as may have run.
    pub may_have_run: u64,
    /// Attempts at backend servers.
    pub dispatched: u64,
    /// Attempts by way of nodes of this region.
    pub forwarded: u64,
    /// Attempts by way of nodes of other regions.
    pub forwarded_across: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Bytes of bodies that went to another region and came from it.
    pub cross_region_bytes: u64,
}

/// The state of one service's requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ServiceDump {
    /// Requests that wait for a slot.
    pub queued: usize,
    /// The average time of a request at a backend server, in milliseconds.
    pub run_ms: u64,
    /// The backend servers that get requests.
    pub backends: Vec<String>,
    /// The backend servers that get none for a while, because they fail or are slow.
    pub ejected: Vec<String>,
    /// Counts.
    #[serde(flatten)]
    pub counters: ServiceCounters,
}

/// The state of a router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RouteDump {
    /// Requests with no final answer yet.
    pub open: usize,
    /// Requests that are on their way to backend servers or nodes.
    pub in_flight: usize,
    /// Whether new requests are refused.
    pub closed: bool,
    /// The services by name.
    pub services: BTreeMap<String, ServiceDump>,
}
