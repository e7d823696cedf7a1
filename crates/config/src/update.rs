//! What a [`Follower`](crate::Follower) takes, and what it wants.

use model::NodeId;
use serde::{Deserialize, Serialize};

use crate::{Config, Entry};

/// The table's head as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The version of the configuration that it names.
    pub version: u64,
    /// The version of the head's row in the table.
    pub row_version: u64,
}

/// The whole state at one version, as it is stored for new nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The entries up to this version are no longer in the table.
    pub deleted_to: u64,
    /// The state.
    pub config: Config,
}

/// What one node tells another about the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The entries after the version that was asked for, oldest first.
    Entries(Vec<Entry>),
    /// The whole state: the entries are no longer at hand.
    Whole(Box<Config>),
}

/// What a [`Follower`](crate::Follower) wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerAction {
    /// Read the head, then call [`Follower::head_read`](crate::Follower::head_read).
    Head,
    /// Read the snapshot, then call [`Follower::snapshot_read`](crate::Follower::snapshot_read).
    Snapshot,
    /// Read entries, then call [`Follower::entries_read`](crate::Follower::entries_read).
    Entries {
        /// Only entries after this version.
        after: u64,
        /// The most entries to read.
        limit: u32,
    },
    /// Ask a peer for its news, and hand its answer to [`Follower::apply_update`](crate::Follower::apply_update).
    Peer {
        /// The peer.
        node: NodeId,
        /// The version that this node has.
        after: u64,
    },
}
