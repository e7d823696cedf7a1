//! Entries of the platform's VM list. The list lags behind the actual state.

use model::{DomainId, NodeId, RackId, RegionId, Size, WorkerId};
use serde::{Deserialize, Serialize};

/// The state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum VmState {
    /// The VM is available.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// The purpose of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum VmRole {
    /// An entry VM, which runs a node.
    Entry {
        /// The node.
        node: NodeId,
    },
    /// A worker VM, which runs tasks. Replicas of services on it are backend servers.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// The rack of the VM.
        rack: RackId,
        /// The total resources of the VM.
        size: Size,
    },
}

/// An entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmInfo {
    /// The region of the VM.
    pub region: RegionId,
    /// The failure domain of the VM.
    pub domain: DomainId,
    /// The state of the VM.
    pub state: VmState,
    /// The purpose of the VM.
    pub role: VmRole,
}
