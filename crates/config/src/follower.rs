//! Keeps the configuration of a node up to date with the table's head and the node's peers.
//!
//! The version of a node only ever increases: by the entry that follows it, or by a whole configuration of
//! a higher version. Therefore a stale read of the table, a late answer or an outdated peer cannot undo a
//! change.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{NodeId, Time};

use crate::{Config, ConfigUpdate, Entry, FollowerAction, Head, Snapshot};

/// A peer from which nothing was received for this long is removed.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// Settings of a [`Follower`].
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The interval between reads of the table's head. 1 s by default.
    pub poll_interval: Duration,
    /// How long a read of the table may take before it is considered lost. 1 s by default.
    pub read_timeout: Duration,
    /// How long a peer has to answer before a peer is asked again. 500 ms by default.
    pub peer_retry_interval: Duration,
    /// How long a starting node waits for a first message from a peer before it serves with the
    /// configuration from the table alone. It must exceed the interval of heartbeats. 1.5 s by default.
    pub startup_wait: Duration,
    /// The version of a peer from which nothing was received for this long is disregarded when a starting
    /// node decides whether it may serve. 10 s by default.
    pub peer_timeout: Duration,
    /// The maximum number of entries that are kept for answers to peers. 256 by default.
    pub entries_kept: usize,
    /// The maximum number of entries in one read of the table. 100 by default.
    pub entries_per_read: u32,
}

impl Default for FollowerConfig {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            read_timeout: Duration::from_secs(1),
            peer_retry_interval: Duration::from_millis(500),
            startup_wait: Duration::from_millis(1_500),
            peer_timeout: Duration::from_secs(10),
            entries_kept: 256,
            entries_per_read: 100,
        }
    }
}

/// The last known version of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerVersion {
    /// The version that it has in force.
    version: u64,
    heard_at: Time,
}

/// The read of the table that is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TableRead {
    /// No read.
    Idle,
    /// A read of the head.
    Head,
    /// A read of the snapshot or the entries that lead to this head.
    ToHead(Head),
}

/// The configuration of a node, and the state that is needed to keep it up to date.
#[derive(Clone, Debug)]
pub struct Follower {
    cfg: FollowerConfig,
    config: Config,
    /// The newest entries, oldest first, without a gap up to the current version.
    recent_entries: VecDeque<Entry>,
    table_read: TableRead,
    /// When the current or last read of the table started.
    read_started_at: Time,
    next_poll: Time,
    /// The number of reads of the head that were started.
    polls: u64,
    /// The number of the newest poll after which this node had the version that the head named.
    caught_up_poll: u64,
    /// The newest head that was read or committed.
    head: Option<Head>,
    /// Whether a read of the head has succeeded since the start.
    has_read_table: bool,
    started: Option<Time>,
    is_ready: bool,
    peers: BTreeMap<NodeId, PeerVersion>,
    /// When a peer was asked, if it has not answered.
    asked_at: Option<Time>,
    last_asked: Option<NodeId>,
    stale_heads: u64,
}

impl Follower {
    /// Creates a follower that has no version yet.
    #[must_use]
    pub fn new(cfg: FollowerConfig) -> Self {
        Self {
            cfg,
            config: Config::default(),
            recent_entries: VecDeque::new(),
            table_read: TableRead::Idle,
            read_started_at: Time::ZERO,
            next_poll: Time::ZERO,
            polls: 0,
            caught_up_poll: 0,
            head: None,
            has_read_table: false,
            started: None,
            is_ready: false,
            peers: BTreeMap::new(),
            asked_at: None,
            last_asked: None,
            stale_heads: 0,
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Whether the node may serve, because it once had a version at least as new as those of its reachable
    /// peers and of the table's head.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns the number of reads in which the table's head named a lower version than this node had.
    #[must_use]
    pub const fn stale_heads(&self) -> u64 {
        self.stale_heads
    }

    /// Returns the version of the head's row, if this node has the version that the head names.
    #[must_use]
    pub fn head_row_version(&self) -> Option<u64> {
        let current = self.head.filter(|h| h.version == self.config.version());
        current.map(|head| head.row_version)
    }

    /// Requests a read of the head at the next tick, and returns a number for [`Self::is_refreshed`].
    pub fn request_refresh(&mut self) -> u64 {
        self.poll_soon();
        self.polls + 1
    }

    /// Whether this node has all entries that were committed before [`Self::request_refresh`] returned this
    /// number.
    #[must_use]
    pub const fn is_refreshed(&self, number: u64) -> bool {
        self.caught_up_poll >= number
    }

    /// Requests a read of the head at the next tick.
    pub const fn poll_soon(&mut self) {
        self.next_poll = Time::ZERO;
    }

    /// Requests the reads that are due, asks a peer if one has a newer version, and updates whether the node
    /// may serve.
    pub fn tick(&mut self, now: Time, out: &mut Vec<FollowerAction>) {
        let started = *self.started.get_or_insert(now);
        if self.table_read != TableRead::Idle
            && now.since(self.read_started_at) >= self.cfg.read_timeout
        {
            // The reply may be lost. If it arrives later, it is taken for the reply to the next read. This is
            // harmless, because it can only name an older head, which changes nothing.
            self.table_read = TableRead::Idle;
        }
        if self.table_read == TableRead::Idle && now >= self.next_poll {
            self.next_poll = now + self.cfg.poll_interval;
            self.polls += 1;
            self.read_started_at = now;
            self.table_read = TableRead::Head;
            out.push(FollowerAction::Head);
        }
        self.peers
            .retain(|_, peer| now < peer.heard_at + PEER_RETENTION);
        self.ask_peer(now, out);
        self.update_readiness(now, started);
    }

    /// Handles the result of [`FollowerAction::Head`], which is `None` if there is no head row yet.
    pub fn head_read(&mut self, head: Option<Head>, out: &mut Vec<FollowerAction>) {
        if self.table_read != TableRead::Head {
            return;
        }
        self.table_read = TableRead::Idle;
        self.has_read_table = true;
        let version = head.map_or(0, |head| head.version);
        if version < self.config.version() {
            self.stale_heads += 1;
            return;
        }
        self.head = head;
        match head {
            Some(head) if version > self.config.version() => self.read_to_head(head, out),
            _ => self.caught_up_poll = self.polls,
        }
    }

    /// Requests a read of the snapshot or of the entries that lead from the current version to the head.
    fn read_to_head(&mut self, head: Head, out: &mut Vec<FollowerAction>) {
        self.table_read = TableRead::ToHead(head);
        let after = self.config.version();
        let limit = self.cfg.entries_per_read;
        out.push(if after == 0 && head.version > u64::from(limit) {
            FollowerAction::Snapshot
        } else {
            FollowerAction::Entries { after, limit }
        });
    }

    /// Handles the failure of any read of the table.
    pub const fn read_failed(&mut self) {
        self.table_read = TableRead::Idle;
    }

    /// Handles the result of [`FollowerAction::Snapshot`], and returns whether the configuration has changed.
    pub fn snapshot_read(
        &mut self,
        snapshot: Option<Snapshot>,
        out: &mut Vec<FollowerAction>,
    ) -> bool {
        let TableRead::ToHead(head) = self.table_read else {
            return false;
        };
        let changed = snapshot.is_some_and(|snapshot| self.replace_config(snapshot.config));
        let after = self.config.version();
        if after >= head.version {
            self.finish_read(head);
        } else {
            let limit = self.cfg.entries_per_read;
            out.push(FollowerAction::Entries { after, limit });
        }
        changed
    }

    /// Handles the result of [`FollowerAction::Entries`], and returns whether the configuration has changed.
    ///
    /// If the first entry does not follow the current version, the entries in between are no longer in the
    /// table, and the snapshot, which contains them, is read.
    pub fn entries_read(&mut self, entries: &[Entry], out: &mut Vec<FollowerAction>) -> bool {
        let TableRead::ToHead(head) = self.table_read else {
            return false;
        };
        let changed = self.apply_entries(entries);
        if self.config.version() >= head.version {
            self.finish_read(head);
        } else if changed {
            self.read_to_head(head, out);
        } else if entries
            .first()
            .is_some_and(|e| e.version > self.config.version() + 1)
        {
            out.push(FollowerAction::Snapshot);
        } else {
            // The read returned a state that is older than the head. The next poll tries again.
            self.table_read = TableRead::Idle;
        }
        changed
    }

    /// Ends the read of the snapshot or entries once the configuration has reached the head.
    fn finish_read(&mut self, head: Head) {
        self.table_read = TableRead::Idle;
        if self.config.version() == head.version {
            self.caught_up_poll = self.polls;
        }
    }

    /// Applies an entry that this node has committed itself, and returns whether the configuration has
    /// changed. `row_version` is the version of the head's row after the commit.
    pub fn committed(&mut self, entry: &Entry, row_version: u64) -> bool {
        let version = entry.version;
        if self.head.is_none_or(|head| head.version < version) {
            self.head = Some(Head {
                version,
                row_version,
            });
        }
        self.apply_entries(std::slice::from_ref(entry))
    }

    /// Records the version that a peer has in force, and asks it for its configuration if that is newer.
    pub fn set_peer_version(
        &mut self,
        now: Time,
        node: NodeId,
        version: u64,
        out: &mut Vec<FollowerAction>,
    ) {
        let heard_at = now;
        self.peers.insert(node, PeerVersion { version, heard_at });
        self.ask_peer(now, out);
    }

    /// Asks a peer that has a newer version than this node, unless a peer was asked within the retry interval
    /// and has not answered.
    fn ask_peer(&mut self, now: Time, out: &mut Vec<FollowerAction>) {
        let after = self.config.version();
        let is_waiting = self
            .asked_at
            .is_some_and(|at| now < at + self.cfg.peer_retry_interval);
        if is_waiting || !self.peers.values().any(|peer| peer.version > after) {
            return;
        }
        // Prefers the peer that was heard from last. The last asked peer may have stopped responding, so it
        // is asked again only if no other peer has a newer version.
        let newer = self.peers.iter().filter(|(_, peer)| peer.version > after);
        let rank = |(node, peer): &(&NodeId, &PeerVersion)| {
            (self.last_asked != Some(**node), peer.heard_at)
        };
        if let Some((node, _)) = newer.max_by_key(rank) {
            let node = *node;
            self.asked_at = Some(now);
            self.last_asked = Some(node);
            out.push(FollowerAction::Peer { node, after });
        }
    }

    /// Returns what to send to a peer that has this version, or `None` if the peer is up to date.
    #[must_use]
    pub fn update_after(&self, version: u64) -> Option<ConfigUpdate> {
        if version >= self.config.version() {
            return None;
        }
        let oldest = self
            .recent_entries
            .front()
            .map_or(u64::MAX, |entry| entry.version);
        if oldest > version + 1 {
            return Some(ConfigUpdate::Whole(Box::new(self.config.clone())));
        }
        let newer = self
            .recent_entries
            .iter()
            .filter(|entry| entry.version > version);
        Some(ConfigUpdate::Entries(newer.cloned().collect()))
    }

    /// Applies a peer's answer to [`FollowerAction::Peer`], and returns whether the configuration has changed.
    pub fn apply_update(&mut self, update: ConfigUpdate) -> bool {
        self.asked_at = None;
        match update {
            ConfigUpdate::Entries(entries) => self.apply_entries(&entries),
            ConfigUpdate::Whole(config) => self.replace_config(*config),
        }
    }

    /// Applies the entries that follow the current version, and returns whether there were any.
    fn apply_entries(&mut self, entries: &[Entry]) -> bool {
        let before = self.config.version();
        for entry in entries {
            if self.config.apply(entry).is_ok() {
                self.recent_entries.push_back(entry.clone());
            }
        }
        let surplus = self
            .recent_entries
            .len()
            .saturating_sub(self.cfg.entries_kept);
        self.recent_entries.drain(..surplus);
        self.config.version() > before
    }

    /// Replaces the configuration if the given one is newer, and returns whether it was.
    fn replace_config(&mut self, config: Config) -> bool {
        let newer = config.version() > self.config.version();
        if newer {
            self.config = config;
            self.recent_entries.clear();
        }
        newer
    }

    /// Sets [`Self::is_ready`] once the node may serve. It is never reset.
    fn update_readiness(&mut self, now: Time, started: Time) {
        if self.is_ready {
            return;
        }
        self.is_ready = self.can_serve(now, started);
    }

    /// Whether the node has the version that the table's head named, and the newest version of all live peers.
    ///
    /// The table must have answered, or a peer must have a version. A peer without any version is not enough,
    /// because it may have just started as well. A node that has not heard from any live peer also waits for
    /// [`FollowerConfig::startup_wait`].
    fn can_serve(&self, now: Time, started: Time) -> bool {
        let version = self.config.version();
        let is_live = |peer: &&PeerVersion| now < peer.heard_at + self.cfg.peer_timeout;
        let newest = self.peers.values().filter(is_live).map(|peer| peer.version);
        let newest = newest.max();
        let head = self.head.map_or(0, |head| head.version);
        let has_source = self.has_read_table || newest.is_some_and(|newest| newest > 0);
        let has_waited = newest.is_some() || now >= started + self.cfg.startup_wait;
        has_source && has_waited && version >= newest.unwrap_or(0) && version >= head
    }
}
