//! The inputs of a [`Follower`](crate::Follower) and the actions that it requests.

use model::NodeId;
use serde::{Deserialize, Serialize};

use crate::{Config, Entry};

/// The head row of the configuration in the platform's table, as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The configuration version that the head names.
    pub version: u64,
    /// The version of the head's row in the table.
    pub row_version: u64,
}

/// The whole configuration at one version, as it is stored in the table for new nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// The entries up to and including this version are no longer in the table.
    pub deleted_to: u64,
    /// The configuration.
    pub config: Config,
}

/// The part of the configuration that one node sends to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The entries after the requested version, oldest first.
    Entries(Vec<Entry>),
    /// The whole configuration, if the entries are no longer available.
    Whole(Box<Config>),
}

/// An action that a [`Follower`](crate::Follower) requests from its owner.
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
        /// The maximum number of entries to read.
        limit: u32,
    },
    /// Ask a peer for a newer configuration, and pass its answer to
    /// [`Follower::apply_update`](crate::Follower::apply_update).
    Peer {
        /// The peer.
        node: NodeId,
        /// The version that this node has. The answer should contain the entries after it, or the whole
        /// configuration.
        after: u64,
    },
}
