//! The platform's list of VMs, which lags behind the truth.

use model::{DomainId, NodeId, RackId, RegionId, Size, WorkerId};
use serde::{Deserialize, Serialize};

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum VmState {
    /// It stays.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum VmRole {
    /// It runs a node.
    Entry {
        /// The node.
        node: NodeId,
    },
    /// It runs tasks, and its services' replicas are backend servers.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The rack it stands in.
        rack: RackId,
        /// All that it holds.
        size: Size,
    },
}

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmInfo {
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it stays.
    pub state: VmState,
    /// What it is for.
    pub role: VmRole,
}
