//! The settings of the state machine of a node.

use std::time::Duration;

use lease::LeaseConfig;
use model::{DomainId, Incarnation, NodeId, RegionId};
use place::PlaceConfig;
use route::RouteConfig;
use store::CommitConfig;

/// The identity of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The id of the node.
    pub node: NodeId,
    /// The start of the node's process.
    pub incarnation: Incarnation,
    /// The node's region.
    pub region: RegionId,
    /// The node's failure domain.
    pub domain: DomainId,
    /// The address at which its peers reach it.
    pub peer_address: String,
}

/// Settings of the scheduler of a failure domain.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// How long a task may run without a renewal of its lease. 20 s by default.
    pub task_lease: Duration,
    /// The interval at which each worker is read and its task leases are renewed. 6 s by default.
    pub worker_interval: Duration,
    /// How long a start command is valid. 1 s by default.
    pub start_window: Duration,
    /// The timeout of a call to a worker. 4 s by default.
    pub call_timeout: Duration,
    /// The margin added to durations for clocks that run at different speeds. 600 ms by default.
    pub drift_margin: Duration,
    /// The interval at which the inbox is read. 1 s by default.
    pub inbox_interval: Duration,
    /// The interval at which the VM list is read. 5 s by default.
    pub vms_interval: Duration,
    /// The delay before a worker that did not answer is called again. 1 s by default.
    pub worker_retry_delay: Duration,
    /// The time that backend servers get to finish their requests, on a worker that leaves and in a
    /// rolling update. 10 s by default.
    pub leave_grace: Duration,
    /// The interval at which services are checked for replicas to be replaced. 1 s by default.
    pub update_interval: Duration,
    /// The interval at which units are checked for moves to another domain. 2 s by default.
    pub move_interval: Duration,
    /// How long a unit waits at its home before it is moved. 15 s by default.
    pub move_after: Duration,
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            task_lease: Duration::from_secs(20),
            worker_interval: Duration::from_secs(6),
            start_window: Duration::from_secs(1),
            call_timeout: Duration::from_secs(4),
            drift_margin: Duration::from_millis(600),
            inbox_interval: Duration::from_secs(1),
            vms_interval: Duration::from_secs(5),
            worker_retry_delay: Duration::from_secs(1),
            leave_grace: Duration::from_secs(10),
            update_interval: Duration::from_secs(1),
            move_interval: Duration::from_secs(2),
            move_after: Duration::from_secs(15),
        }
    }
}

/// Settings of a node.
#[derive(Clone, Debug, Default)]
pub struct NodeConfig {
    /// Settings of the domain's lease.
    pub lease: LeaseConfig,
    /// Settings of placement.
    pub place: PlaceConfig,
    /// Settings of the group commit.
    pub commit: CommitConfig,
    /// Settings of routing.
    pub route: RouteConfig,
    /// Settings of the domain's scheduler.
    pub scheduler: SchedulerConfig,
    /// Settings of the reads of the configuration.
    pub config: ConfigSyncConfig,
    /// Settings of membership.
    pub members: MembersConfig,
}

/// Settings of the reads of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigSyncConfig {
    /// The interval at which the head of the configuration is read. 1 s by default.
    pub poll_interval: Duration,
}

impl Default for ConfigSyncConfig {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
        }
    }
}

/// Settings of membership: how nodes know of each other.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// The interval of heartbeats within a failure domain. 1 s by default.
    pub heartbeat_interval: Duration,
    /// The interval of summaries to each other failure domain. 2 s by default.
    pub summary_interval: Duration,
    /// The interval at which the members' rows are read. 10 s by default.
    pub rows_interval: Duration,
    /// The time without a heartbeat after which a node counts as not live. 5 s by default.
    pub liveness_timeout: Duration,
    /// The time without a heartbeat after which the row of a node is deleted by the scheduler of its
    /// domain. 300 s by default.
    pub forget_after: Duration,
}

impl Default for MembersConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_secs(1),
            summary_interval: Duration::from_secs(2),
            rows_interval: Duration::from_secs(10),
            liveness_timeout: Duration::from_secs(5),
            forget_after: Duration::from_secs(300),
        }
    }
}
