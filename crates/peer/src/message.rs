//! The messages.

use std::time::Duration;

use config::News;
use lease::LeaseMsg;
use model::{DomainId, Epoch, Incarnation, NodeId, RegionId, Size, WorkerId};
use serde::{Deserialize, Serialize};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// The sender is alive; a short summary of it.
    Heartbeat(Heartbeat),
    /// About the domain's lease.
    Lease(LeaseMsg),
    /// What the domain's scheduler lets a node serve. Answers a heartbeat.
    View(DomainView),
    /// Asks for the configuration's entries after a version.
    ConfigWanted {
        /// The newest version that the sender has.
        after: u64,
    },
    /// Entries of the configuration, or the whole of it. Answers [`PeerMsg::ConfigWanted`].
    ConfigEntries(News),
    /// The domain's inbox in the table has news.
    InboxNews,
}

/// A short summary of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub node: NodeId,
    /// The sender's start.
    pub incarnation: Incarnation,
    /// The sender's failure domain.
    pub domain: DomainId,
    /// The sender's region.
    pub region: RegionId,
    /// Counts the sender's heartbeats.
    pub seq: u64,
    /// The version of the configuration that the sender has in force.
    pub config_version: u64,
    /// The epoch under which the sender schedules its domain, if it does.
    pub scheduler: Option<Epoch>,
    /// What the workers of the sender's domain have free.
    pub free: Size,
    /// Whether the sender shuts down.
    pub leaving: bool,
    /// The services with backend servers in the sender's domain.
    pub services: Vec<String>,
}

/// A replica that takes requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    /// The service.
    pub service: String,
    /// The worker on which the replica runs.
    pub worker: WorkerId,
    /// Where it takes requests.
    pub endpoint: String,
}

/// A share of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantView {
    /// The backend server.
    pub worker: WorkerId,
    /// The most requests at a time.
    pub slots: u32,
    /// The most connections at a time.
    pub connections: u32,
}

/// What the domain's scheduler lets one node serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainView {
    /// The scheduler's epoch.
    pub epoch: Epoch,
    /// The heartbeat that this answers. The grants' term counts from when that heartbeat was sent.
    pub answers: u64,
    /// How long the grants are good for.
    pub term: Duration,
    /// The domain's replicas that take new requests.
    pub backends: Vec<BackendView>,
    /// The receiver's shares.
    pub grants: Vec<GrantView>,
}
