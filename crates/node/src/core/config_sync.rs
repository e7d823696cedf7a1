//! The configuration in force at a node: the follower's reads as calls to the table and to peers.

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
/// A snapshot is written at each multiple of this version, by the node that has committed it.
const VERSIONS_PER_SNAPSHOT: u64 = 64;
/// How many entries before the snapshot stay in the table, for nodes that are a little behind.
const ENTRIES_KEPT: u64 = 128;
/// The most entries that one compaction deletes.
const DELETES_MAX: u64 = 256;

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

    /// Whether the node may serve with the version that it has.
    pub(crate) const fn is_known(&self) -> bool {
        self.follower.is_ready()
    }

    /// How often the table named a lower version than this node has.
    pub(crate) const fn stale_heads(&self) -> u64 {
        self.follower.stale_heads()
    }

    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        self.follow(cx, Follower::tick);
    }

    /// Reads the head at the next tick.
    pub(crate) fn poll_soon(&mut self) {
        self.follower.poll_soon();
    }

    /// A number for [`Self::is_fresh`]; the head is read at the next tick.
    pub(crate) fn want_fresh(&mut self) -> u64 {
        self.follower.request_refresh()
    }

    /// Whether this node has all that was committed before `want_fresh` gave this number.
    pub(crate) const fn is_fresh(&self, number: u64) -> bool {
        self.follower.is_refreshed(number)
    }

    /// Takes the head row.
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
            head => self.follow(cx, |follower, _, wants| {
                follower.head_read(head.flatten(), wants);
            }),
        }
    }

    /// Takes the snapshot's row, and returns whether the configuration has changed.
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
        self.follow(cx, |follower, _, wants| {
            follower.snapshot_read(snapshot, wants)
        })
    }

    /// Takes entries' rows, and returns whether the configuration has changed.
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
        self.follow(cx, |follower, _, wants| {
            follower.entries_read(&entries, wants)
        })
    }

    /// Takes the version that a peer has in force, as its heartbeat or summary tells.
    pub(crate) fn peer_version(&mut self, cx: &mut Cx<'_>, node: NodeId, version: u64) {
        self.follow(cx, |follower, now, wants| {
            follower.set_peer_version(now, node, version, wants);
        });
    }

    /// What a peer is told that has this version; `None` where it has all that this node has.
    pub(crate) fn entries_after(&self, version: u64) -> Option<ConfigUpdate> {
        self.follower.update_after(version)
    }

    /// Takes a peer's news, and returns whether the configuration has changed.
    pub(crate) fn take_entries(&mut self, news: ConfigUpdate) -> bool {
        self.follower.apply_update(news)
    }

    /// The check and writes that make an entry the newest version.
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

    /// Takes this node's own entry, whose rows have this version in the table. Returns whether the
    /// configuration has changed.
    pub(crate) fn committed(&mut self, cx: &mut Cx<'_>, entry: &Entry, row_version: u64) -> bool {
        let changed = self.follower.committed(entry, row_version);
        if entry.version.is_multiple_of(VERSIONS_PER_SNAPSHOT) {
            let key = SNAPSHOT_KEY.to_owned();
            cx.table(Purpose::ConfigCompact, TableReq::Get { key });
        }
        changed
    }

    /// Writes a snapshot in place of an older one, and deletes entries that it makes needless.
    ///
    /// The check of the snapshot's row keeps a late compaction from putting an older one back.
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
        let last = version.saturating_sub(ENTRIES_KEPT);
        let last = last.clamp(deleted_to, deleted_to + DELETES_MAX);
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
        // Nobody waits for it: the next multiple tries again.
        let _ = cx.commits.push(cx.now, Owner::Nobody, vec![check], writes);
    }

    /// Lets the follower do something, and carries out what it then wants.
    fn follow<T>(
        &mut self,
        cx: &mut Cx<'_>,
        act: impl FnOnce(&mut Follower, Time, &mut Vec<FollowerAction>) -> T,
    ) -> T {
        let mut wants = Vec::new();
        let done = act(&mut self.follower, cx.now, &mut wants);
        for want in wants {
            carry_out(cx, want);
        }
        done
    }
}

fn carry_out(cx: &mut Cx<'_>, want: FollowerAction) {
    let get = |key: &str| TableReq::Get {
        key: key.to_owned(),
    };
    match want {
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

/// Keys sort as their versions do.
fn entry_key(version: u64) -> String {
    format!("{ENTRY_PREFIX}{version:016}")
}
