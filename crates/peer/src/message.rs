//! The messages between nodes.

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
    /// A heartbeat to the nodes of the sender's failure domain.
    Heartbeat(Heartbeat),
    /// A summary of the sender's failure domain, for nodes of other failure domains.
    Summary(DomainSummary),
    /// A message of the protocol for the domain's lease. Sent on a new connection.
    Lease(LeaseMsg),
    /// The domain's backend servers and the receiver's shares of them. The scheduler's reply to a
    /// heartbeat.
    View(DomainView),
    /// Requests the configuration's entries after a version.
    ConfigWanted {
        /// The newest version that the sender has.
        after: u64,
    },
    /// Entries of the configuration, or the complete configuration. The reply to
    /// [`PeerMsg::ConfigWanted`].
    ConfigEntries(ConfigUpdate),
    /// Something was added to the domain's inbox in the table.
    InboxNews,
    /// An operator's request that the receiver shut down gracefully.
    Drain,
}

/// The version of a domain's view: the scheduler's epoch, and a count of changes under it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct ViewVersion {
    /// The scheduler's epoch.
    pub epoch: Epoch,
    /// The number of changes under the epoch.
    pub change: u64,
}

/// The content of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sequence number of the heartbeat.
    pub seq: u64,
    /// The version of the configuration that the sender has in force.
    pub config_version: u64,
    /// The epoch under which the sender schedules the domain, or `None` if it is not the scheduler.
    pub scheduler: Option<Epoch>,
    /// The version of the newest view that the sender has.
    pub view: ViewVersion,
    /// Whether the sender is shutting down.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
    /// The sender's shares of backend servers.
    pub shares: NodeShares,
}

/// A summary of a failure domain for nodes of other failure domains.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainSummary {
    /// The domain.
    pub domain: DomainId,
    /// The domain's region.
    pub region: RegionId,
    /// The version of the configuration that the sender has in force.
    pub config_version: u64,
    /// The domain's nodes that the sender knows.
    pub nodes: Vec<NodeSummary>,
    /// The total free resources of the domain's workers.
    pub free: Size,
    /// The services with backend servers in the domain, or `None` if they have not changed since the
    /// previous summary.
    pub services: Option<Vec<String>>,
    /// Whether the sender is shutting down.
    #[serde(rename = "leaving")]
    pub is_leaving: bool,
}

/// One node in a [`DomainSummary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeSummary {
    /// The node.
    pub node: NodeId,
    /// The version of the configuration that the node has in force.
    pub config_version: u64,
    /// The time since the sender last heard from the node.
    pub age: Duration,
}

/// A replica that accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BackendView {
    /// The service.
    pub service: String,
    /// The worker on which the replica runs.
    pub worker: WorkerId,
    /// The base URL at which the replica accepts requests.
    pub endpoint: String,
}

/// A node's share of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantView {
    /// The backend server.
    pub worker: WorkerId,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
}

/// A failure domain's backend servers and one node's shares of them, as sent by the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DomainView {
    /// The view's version.
    pub version: ViewVersion,
    /// The sequence number of the receiver's heartbeat to which this is the reply. The term of the grants
    /// starts when that heartbeat was sent, and they are accepted only if it is the newest heartbeat.
    #[serde(rename = "answers")]
    pub heartbeat_seq: u64,
    /// How long the grants are valid.
    pub term: Duration,
    /// The total free resources of the domain's workers.
    pub free: Size,
    /// The content, or `None` if the receiver already has this version.
    pub content: Option<ViewContent>,
}

/// The content of a view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ViewContent {
    /// The domain's replicas that accept new requests.
    pub backends: Vec<BackendView>,
    /// The receiver's shares of backend servers.
    pub grants: Vec<GrantView>,
}
