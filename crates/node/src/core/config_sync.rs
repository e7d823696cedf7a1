//! The configuration in force at a node: turns the follower's actions into calls to the table and
//! messages to peers.

use config::{
    Config, ConfigUpdate, Entry, Follower, FollowerAction, FollowerConfig, Head, Snapshot,
};
use model::{NodeId, Time};
use peer::PeerMsg;
use serde::{Deserialize, Serialize};
use store::{Check, Row, StoreError, TableReq, TableResp, Write, decode, encode};

use super::{
    calls::{Cx, Owner, Purpose},
    event::Action,
    settings::ConfigSyncConfig,
};

const HEAD_KEY: &str = "config/head";
const ENTRY_PREFIX: &str = "config/entry/";
const SNAPSHOT_KEY: &str = "config/snapshot";
/// The number of versions between two snapshots. A snapshot is written at each multiple, by the node
/// that has committed that version.
const VERSIONS_PER_SNAPSHOT: u64 = 64;
/// The number of entries before the snapshot that stay in the table, for nodes that are a little
/// behind.
const RETAINED_ENTRIES: u64 = 128;
/// The maximum number of entries that one compaction deletes.
const MAX_DELETES_PER_COMPACTION: u64 = 256;

/// The row `config/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct HeadRow {
    version: u64,
}

/// The configuration in force at a node.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSync {
    follower: Follower,
}

impl ConfigSync {
    pub(crate) fn new(cfg: &ConfigSyncConfig) -> Self {
        let cfg = FollowerConfig {
            poll_interval: cfg.poll_interval,
            ..FollowerConfig::default()
        };
        Self {
            follower: Follower::new(cfg),
        }
    }

    pub(crate) const fn config(&self) -> &Config {
        self.follower.config()
    }

    /// Whether the version that the node has is good enough to serve with.
    pub(crate) const fn is_ready(&self) -> bool {
        self.follower.is_ready()
    }

    /// The number of reads in which the table named a lower version than this node has.
    pub(crate) const fn stale_heads(&self) -> u64 {
        self.follower.stale_heads()
    }

    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        self.follow(cx, Follower::tick);
    }

    /// Makes the next read of the head due at the next tick.
    pub(crate) fn poll_soon(&mut self) {
        self.follower.poll_soon();
    }

    /// Requests a read of the head at the next tick. Returns a number for [`Self::is_refreshed`].
    pub(crate) fn request_refresh(&mut self) -> u64 {
        self.follower.request_refresh()
    }

    /// Whether this node has everything that was committed before [`Self::request_refresh`] returned
    /// this number.
    pub(crate) const fn is_refreshed(&self, number: u64) -> bool {
        self.follower.is_refreshed(number)
    }

    /// Handles a read of the head row.
    pub(crate) fn head_read(&mut self, cx: &mut Cx<'_>, result: Result<TableResp, StoreError>) {
        let Ok(TableResp::Row(row)) = result else {
            self.follower.read_failed();
            return;
        };
        let head = row.map(|row| {
            let row_version = row.version;
            decode_row::<HeadRow>(&row).map(|head| Head {
                version: head.version,
                row_version,
            })
        });
        match head {
            Some(None) => self.follower.read_failed(),
            head => self.follow(cx, |follower, _, actions| {
                follower.head_read(head.flatten(), actions);
            }),
        }
    }

    /// Handles a read of the snapshot's row. Returns whether the configuration has changed.
    pub(crate) fn snapshot_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<TableResp, StoreError>,
    ) -> bool {
        let Ok(TableResp::Row(row)) = result else {
            self.follower.read_failed();
            return false;
        };
        let snapshot = row.as_ref().and_then(decode_row);
        self.follow(cx, |follower, _, actions| {
            follower.snapshot_read(snapshot, actions)
        })
    }

    /// Handles a read of entry rows. Returns whether the configuration has changed.
    pub(crate) fn entries_read(
        &mut self,
        cx: &mut Cx<'_>,
        result: Result<TableResp, StoreError>,
    ) -> bool {
        let Ok(TableResp::Rows(rows)) = result else {
            self.follower.read_failed();
            return false;
        };
        let entries: Vec<Entry> = rows.iter().map_while(decode_row).collect();
        self.follow(cx, |follower, _, actions| {
            follower.entries_read(&entries, actions)
        })
    }

    /// Sets the version that a peer has in force, as given by its heartbeat or summary.
    pub(crate) fn set_peer_version(&mut self, cx: &mut Cx<'_>, node: NodeId, version: u64) {
        self.follow(cx, |follower, now, actions| {
            follower.set_peer_version(now, node, version, actions);
        });
    }

    /// Returns the update for a peer that has this version, or `None` if this node has nothing newer.
    pub(crate) fn update_after(&self, version: u64) -> Option<ConfigUpdate> {
        self.follower.update_after(version)
    }

    /// Applies an update from a peer. Returns whether the configuration has changed.
    pub(crate) fn apply_update(&mut self, update: ConfigUpdate) -> bool {
        self.follower.apply_update(update)
    }

    /// Returns the check and writes that make an entry the newest version.
    pub(crate) fn writes(&self, entry: &Entry) -> (Check, Vec<Write>) {
        let head = HeadRow {
            version: entry.version,
        };
        let check = Check {
            key: HEAD_KEY.to_owned(),
            version: self.follower.head_row_version(),
        };
        let writes = vec![
            Write {
                key: HEAD_KEY.to_owned(),
                value: Some(encode(&head)),
            },
            Write {
                key: entry_key(entry.version),
                value: Some(encode(entry)),
            },
        ];
        (check, writes)
    }

    /// Applies this node's own entry after its commit. `row_version` is the version of its rows in the
    /// table. Returns whether the configuration has changed.
    pub(crate) fn committed(&mut self, cx: &mut Cx<'_>, entry: &Entry, row_version: u64) -> bool {
        let changed = self.follower.committed(entry, row_version);
        if entry.version.is_multiple_of(VERSIONS_PER_SNAPSHOT) {
            let key = SNAPSHOT_KEY.to_owned();
            cx.table(Purpose::ConfigCompact, TableReq::Get { key });
        }
        changed
    }

    /// Replaces an older snapshot by a new one and deletes entries that are no longer needed.
    ///
    /// The check of the snapshot's row keeps a late compaction from replacing a newer snapshot.
    pub(crate) fn compact(&self, cx: &mut Cx<'_>, result: Result<TableResp, StoreError>) {
        let Ok(TableResp::Row(row)) = result else {
            return;
        };
        let old = row.as_ref().and_then(decode_row::<Snapshot>);
        if row.is_some() && old.is_none() {
            return;
        }
        let (old_version, deleted_to) =
            old.map_or((0, 0), |old| (old.config.version(), old.deleted_to));
        let version = self.config().version();
        if version <= old_version {
            return;
        }
        let last = version.saturating_sub(RETAINED_ENTRIES);
        let last = last.clamp(deleted_to, deleted_to + MAX_DELETES_PER_COMPACTION);
        let snapshot = Snapshot {
            deleted_to: last,
            config: self.config().clone(),
        };
        let check = Check {
            key: SNAPSHOT_KEY.to_owned(),
            version: row.map(|row| row.version),
        };
        let mut writes = vec![Write {
            key: SNAPSHOT_KEY.to_owned(),
            value: Some(encode(&snapshot)),
        }];
        writes.extend((deleted_to + 1..=last).map(|version| Write {
            key: entry_key(version),
            value: None,
        }));
        // A failure has no effect: the next multiple tries again.
        let _ = cx.commits.push(cx.now, Owner::Unowned, vec![check], writes);
    }

    /// Calls `act` on the follower and carries out the actions that it returns.
    fn follow<T>(
        &mut self,
        cx: &mut Cx<'_>,
        act: impl FnOnce(&mut Follower, Time, &mut Vec<FollowerAction>) -> T,
    ) -> T {
        let mut actions = Vec::new();
        let done = act(&mut self.follower, cx.now, &mut actions);
        for action in actions {
            carry_out(cx, action);
        }
        done
    }
}

fn carry_out(cx: &mut Cx<'_>, action: FollowerAction) {
    let get = |key: &str| TableReq::Get {
        key: key.to_owned(),
    };
    match action {
        FollowerAction::Head => cx.table(Purpose::ConfigHead, get(HEAD_KEY)),
        FollowerAction::Snapshot => cx.table(Purpose::ConfigSnapshot, get(SNAPSHOT_KEY)),
        FollowerAction::Entries { after, limit } => {
            let req = TableReq::Scan {
                prefix: ENTRY_PREFIX.to_owned(),
                after: entry_key(after),
                limit,
            };
            cx.table(Purpose::ConfigEntries, req);
        }
        FollowerAction::Peer { node, after } => cx.out.push(Action::Peer {
            to: node,
            needs_new_connection: false,
            msg: PeerMsg::ConfigWanted { after },
        }),
    }
}

fn decode_row<T: serde::de::DeserializeOwned>(row: &Row) -> Option<T> {
    let value = decode(&row.value);
    value
        .inspect_err(|e| log::error!("config: row {} cannot be read: {e}", row.key))
        .ok()
}

/// Returns the key of an entry. Keys sort in the order of the versions.
fn entry_key(version: u64) -> String {
    format!("{ENTRY_PREFIX}{version:016}")
}
