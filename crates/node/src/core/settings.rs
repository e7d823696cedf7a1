//! Settings of a node's decisions.

use std::time::Duration;

use lease::LeaseConfig;
use model::{DomainId, Incarnation, NodeId, RegionId};
use place::PlaceConfig;
use route::RouteConfig;
use store::CommitConfig;

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The node.
    pub node: NodeId,
    /// Its start.
    pub incarnation: Incarnation,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where its peers reach it.
    pub peer_address: String,
}

/// Settings of the scheduler of a failure domain.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// How long a task may run without a renewal. 20 s by default.
    pub task_lease: Duration,
    /// The interval at which each worker is read and its leases are renewed. 6 s by default.
    pub worker_interval: Duration,
    /// How long a start command is good for. 1 s by default.
    pub start_window: Duration,
    /// The longest time that a call to a worker takes before it is given up. 4 s by default.
    pub call_timeout: Duration,
    /// Added to each term for clocks that run at different speeds. 600 ms by default.
    pub drift_margin: Duration,
    /// The interval at which the inbox is read. 1 s by default.
    pub inbox_interval: Duration,
    /// The interval at which the VM list is read. 5 s by default.
    pub vms_interval: Duration,
    /// The wait before a worker that gave no answer is called again. 1 s by default.
    pub worker_retry_delay: Duration,
    /// How long the backend servers on a worker that leaves may finish their requests. 10 s by default.
    pub leave_grace: Duration,
    /// The interval at which services are looked at for replicas to be replaced. 1 s by default.
    pub update_interval: Duration,
    /// The interval at which units are looked at to be moved to another domain. 2 s by default.
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
    /// The domain lease.
    pub lease: LeaseConfig,
    /// Placement.
    pub place: PlaceConfig,
    /// Group commit.
    pub commit: CommitConfig,
    /// Routing.
    pub route: RouteConfig,
    /// The domain's scheduler.
    pub scheduler: SchedulerConfig,
    /// How configuration is read.
    pub config: ConfigSyncConfig,
    /// How nodes know of each other.
    pub members: MembersConfig,
}

/// Settings of how configuration is read.
#[derive(Clone, Debug)]
pub struct ConfigSyncConfig {
    /// The interval at which the head is read. 1 s by default.
    pub poll_interval: Duration,
}

impl Default for ConfigSyncConfig {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
        }
    }
}

/// Settings of how nodes know of each other.
#[derive(Clone, Debug)]
pub struct MembersConfig {
    /// The interval of heartbeats within a failure domain. 1 s by default.
    pub heartbeat_interval: Duration,
    /// The interval of summaries to each other failure domain. 2 s by default.
    pub summary_interval: Duration,
    /// The interval at which the members' rows are read. 10 s by default.
    pub rows_interval: Duration,
    /// A node that was not heard for this long counts as not live. 5 s by default.
    pub liveness_timeout: Duration,
    /// The row of a node of the own domain that was not heard for this long is deleted by the domain's
    /// scheduler. 300 s by default.
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
