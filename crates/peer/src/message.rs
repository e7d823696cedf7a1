//! The messages.

use std::time::Duration;

use config::ConfigUpdate;
use lease::LeaseMsg;
use model::{DomainId, Epoch, Incarnation, NodeId, RegionId, Size, WorkerId};
use route::NodeShares;
use serde::{Deserialize, Serialize};

/// A message from one node to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMsg {
    /// The sender is alive; goes to the nodes of its failure domain.
    Heartbeat(Heartbeat),
    /// What the sender's failure domain offers; goes to nodes of other failure domains.
    Summary(DomainSummary),
    /// About the domain's lease. Travels on a fresh connection.
    Lease(LeaseMsg),
    /// What the domain's scheduler lets a node serve. Answers a heartbeat.
    View(DomainView),
    /// Asks for the configuration's entries after a version.
    ConfigWanted {
        /// The newest version that the sender has.
        after: u64,
    },
    /// Entries of the configuration, or the whole of it. Answers [`PeerMsg::ConfigWanted`].
    ConfigEntries(ConfigUpdate),
    /// The domain's inbox in the table has news.
    InboxNews,
    /// An operator asks the receiver to shut down gracefully.
    Drain,
}

/// The version of a domain's view: the scheduler's epoch, and a count of changes under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ViewVersion {
    /// The scheduler's epoch.
    pub epoch: Epoch,
    /// Counts the changes under the epoch.
    pub change: u64,
}

/// A sign of life within a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's start.
    pub incarnation: Incarnation,
    /// Counts the sender's heartbeats.
    pub seq: u64,
    /// The version of the configuration that the sender has in force.
    pub config_version: u64,
    /// The epoch under which the sender schedules the domain, if it does.
    pub scheduler: Option<Epoch>,
    /// The newest view that the sender has.
    pub view: ViewVersion,
    /// Whether the sender shuts down.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
    /// The sender's shares of backend servers.
    pub shares: NodeShares,
}

/// What a failure domain offers to others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainSummary {
    /// The domain.
    pub domain: DomainId,
    /// The domain's region.
    pub region: RegionId,
    /// The version of the configuration that the sender has in force.
    pub config_version: u64,
    /// The domain's nodes as the sender knows them.
    pub nodes: Vec<NodeSummary>,
    /// What the domain's workers have free.
    pub free: Size,
    /// The services with backend servers there; `None` if they are as told before.
    pub services: Option<Vec<String>>,
    /// Whether the sender shuts down.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
}

/// What a node of another failure domain is told of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeSummary {
    /// The node.
    pub node: NodeId,
    /// The version of the configuration that it has in force.
    pub config_version: u64,
    /// How long ago the sender heard of it.
    pub age: Duration,
}

/// A replica that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendView {
    /// The service.
    pub service: String,
    /// The worker on which the replica runs.
    pub worker: WorkerId,
    /// Where it takes requests.
    pub endpoint: String,
}

/// A share of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantView {
    /// The backend server.
    pub worker: WorkerId,
    /// The most requests at a time.
    pub slots: u32,
    /// The most connections at a time.
    pub connections: u32,
}

/// What the domain's scheduler lets one node serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainView {
    /// The view's version.
    pub version: ViewVersion,
    /// The receiver's heartbeat that this answers. The grants' term counts from when that heartbeat was
    /// sent, and they are taken only if it is the newest one.
    #[serde(rename = "answers")]
    pub heartbeat_seq: u64,
    /// How long the grants are good for.
    pub term: Duration,
    /// What the workers of the domain have free.
    pub free: Size,
    /// The content, unless the node has this version already.
    pub content: Option<ViewContent>,
}

/// The content of a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewContent {
    /// The domain's replicas that take new requests.
    pub backends: Vec<BackendView>,
    /// The receiver's shares.
    pub grants: Vec<GrantView>,
}
