//! How a node's configuration follows the table's head and its peers.
//!
//! A version is only ever raised: by the entry that follows it, or by a snapshot of a higher version.
//! So a stale read of the table, a late answer or an old peer cannot take anything back.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{NodeId, Time};

use crate::{Config, ConfigUpdate, Entry, FollowerAction, Head, Snapshot};

/// A peer that was not heard for this long is forgotten.
const PEER_FORGOTTEN_AFTER: Duration = Duration::from_secs(600);

/// Settings of a [`Follower`].
#[derive(Clone, Debug)]
pub struct FollowerConfig {
    /// The interval at which the table's head is read. 1 s by default.
    pub poll_interval: Duration,
    /// How long a read of the table may take before another one is made. 1 s by default.
    pub read_timeout: Duration,
    /// The wait before a peer is asked again for what it has not sent. 500 ms by default.
    pub peer_retry_interval: Duration,
    /// How long a node that has just started waits to hear from its peers before it serves what the
    /// table gave it: longer than the interval of heartbeats. 1.5 s by default.
    pub startup_wait: Duration,
    /// A peer's version is out of date after this time without news of it. 10 s by default.
    pub peer_timeout: Duration,
    /// The most entries that are kept to answer peers with. 256 by default.
    pub entries_kept: usize,
    /// The most entries that are read at a time. 100 by default.
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

/// What was last heard of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heard {
    /// The version that it has in force.
    version: u64,
    at: Time,
}

/// A read of the table under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// None.
    Nothing,
    /// The head.
    Head,
    /// What leads up to this head.
    UpTo(Head),
}

/// A node's configuration, and how it follows the newest.
#[derive(Clone, Debug)]
pub struct Follower {
    cfg: FollowerConfig,
    config: Config,
    /// The newest entries, oldest first, without a gap up to the present version.
    kept: VecDeque<Entry>,
    reading: Reading,
    /// When the read under way, or the last one, began.
    read_at: Time,
    next_poll: Time,
    polls: u64,
    /// The newest poll after which this node had the version that the head named.
    caught_up: u64,
    /// The newest head that was read.
    head: Option<Head>,
    /// Whether the table has answered since the start.
    table_seen: bool,
    started: Option<Time>,
    known: bool,
    heard: BTreeMap<NodeId, Heard>,
    /// When a peer was asked that has not answered.
    asked: Option<Time>,
    asked_last: Option<NodeId>,
    stale_heads: u64,
}

impl Follower {
    /// A follower that has no version yet.
    #[must_use]
    pub fn new(cfg: FollowerConfig) -> Self {
        Self {
            cfg,
            config: Config::default(),
            kept: VecDeque::new(),
            reading: Reading::Nothing,
            read_at: Time::ZERO,
            next_poll: Time::ZERO,
            polls: 0,
            caught_up: 0,
            head: None,
            table_seen: false,
            started: None,
            known: false,
            heard: BTreeMap::new(),
            asked: None,
            asked_last: None,
            stale_heads: 0,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> &Config {
        &self.config
    }

    /// Whether the node may serve: it has had a version at least as new as its reachable peers'.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.known
    }

    /// How often the table named a lower version than this node has.
    #[must_use]
    pub const fn stale_heads(&self) -> u64 {
        self.stale_heads
    }

    /// The version of the head's row, if this node has the version that the head names.
    #[must_use]
    pub fn head_row_version(&self) -> Option<u64> {
        let current = self.head.filter(|h| h.version == self.config.version());
        current.map(|head| head.row_version)
    }

    /// A number for [`Self::is_refreshed`]; the head is read at the next tick.
    pub fn request_refresh(&mut self) -> u64 {
        self.poll_soon();
        self.polls + 1
    }

    /// Whether this node has all that was committed before [`Self::request_refresh`] gave this number.
    #[must_use]
    pub const fn is_refreshed(&self, number: u64) -> bool {
        self.caught_up >= number
    }

    /// Reads the head at the next tick.
    pub const fn poll_soon(&mut self) {
        self.next_poll = Time::ZERO;
    }

    /// Makes the reads that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<FollowerAction>) {
        let started = *self.started.get_or_insert(now);
        if self.reading != Reading::Nothing && now.since(self.read_at) >= self.cfg.read_timeout {
            // Its reply may be lost. An answer that comes after all is taken for that of the next read:
            // it can name an older head only, which changes nothing.
            self.reading = Reading::Nothing;
        }
        if self.reading == Reading::Nothing && now >= self.next_poll {
            self.next_poll = now + self.cfg.poll_interval;
            self.polls += 1;
            self.read_at = now;
            self.reading = Reading::Head;
            out.push(FollowerAction::Head);
        }
        self.heard
            .retain(|_, heard| now < heard.at + PEER_FORGOTTEN_AFTER);
        self.ask_peer(now, out);
        self.look_whether_known(now, started);
    }

    /// Takes the head; `None` where there is no row yet.
    pub fn head_read(&mut self, head: Option<Head>, out: &mut Vec<FollowerAction>) {
        if self.reading != Reading::Head {
            return;
        }
        self.reading = Reading::Nothing;
        self.table_seen = true;
        let version = head.map_or(0, |head| head.version);
        if version < self.config.version() {
            self.stale_heads += 1;
            return;
        }
        self.head = head;
        match head {
            Some(head) if version > self.config.version() => self.read_up_to(head, out),
            _ => self.caught_up = self.polls,
        }
    }

    fn read_up_to(&mut self, head: Head, out: &mut Vec<FollowerAction>) {
        self.reading = Reading::UpTo(head);
        let after = self.config.version();
        let limit = self.cfg.entries_per_read;
        out.push(if after == 0 && head.version > u64::from(limit) {
            FollowerAction::Snapshot
        } else {
            FollowerAction::Entries { after, limit }
        });
    }

    /// A read of the table has failed.
    pub const fn read_failed(&mut self) {
        self.reading = Reading::Nothing;
    }

    /// Takes the snapshot, and returns whether the configuration has changed.
    pub fn snapshot_read(
        &mut self,
        snapshot: Option<Snapshot>,
        out: &mut Vec<FollowerAction>,
    ) -> bool {
        let Reading::UpTo(head) = self.reading else {
            return false;
        };
        let changed = snapshot.is_some_and(|snapshot| self.take_whole(snapshot.config));
        let after = self.config.version();
        if after >= head.version {
            self.reached(head);
        } else {
            let limit = self.cfg.entries_per_read;
            out.push(FollowerAction::Entries { after, limit });
        }
        changed
    }

    /// Takes entries, and returns whether the configuration has changed.
    ///
    /// Where none of them follows the present version, those that do are no longer in the table: the
    /// snapshot has them.
    pub fn entries_read(&mut self, entries: &[Entry], out: &mut Vec<FollowerAction>) -> bool {
        let Reading::UpTo(head) = self.reading else {
            return false;
        };
        let changed = self.take_entries(entries);
        if self.config.version() >= head.version {
            self.reached(head);
        } else if changed {
            self.read_up_to(head, out);
        } else if entries
            .first()
            .is_some_and(|e| e.version > self.config.version() + 1)
        {
            out.push(FollowerAction::Snapshot);
        } else {
            // The scan was older than the head: the next poll tries again.
            self.reading = Reading::Nothing;
        }
        changed
    }

    fn reached(&mut self, head: Head) {
        self.reading = Reading::Nothing;
        if self.config.version() == head.version {
            self.caught_up = self.polls;
        }
    }

    /// Takes this node's own entry, which was committed with the head's row at this version. Returns
    /// whether the configuration has changed.
    pub fn committed(&mut self, entry: &Entry, row_version: u64) -> bool {
        let version = entry.version;
        if self.head.is_none_or(|head| head.version < version) {
            self.head = Some(Head {
                version,
                row_version,
            });
        }
        self.take_entries(std::slice::from_ref(entry))
    }

    /// Takes the version that a peer has in force.
    pub fn set_peer_version(
        &mut self,
        now: Time,
        node: NodeId,
        version: u64,
        out: &mut Vec<FollowerAction>,
    ) {
        let at = now;
        self.heard.insert(node, Heard { version, at });
        self.ask_peer(now, out);
    }

    /// Asks the peer that has the newest version, if it is newer than this node's.
    fn ask_peer(&mut self, now: Time, out: &mut Vec<FollowerAction>) {
        let after = self.config.version();
        let waits = self
            .asked
            .is_some_and(|at| now < at + self.cfg.peer_retry_interval);
        if waits || !self.heard.values().any(|heard| heard.version > after) {
            return;
        }
        // A peer that may have gone silent is asked twice in a row only if there is no other.
        let newer = self.heard.iter().filter(|(_, heard)| heard.version > after);
        let rank = |(node, heard): &(&NodeId, &Heard)| (self.asked_last != Some(**node), heard.at);
        if let Some((node, _)) = newer.max_by_key(rank) {
            let node = *node;
            self.asked = Some(now);
            self.asked_last = Some(node);
            out.push(FollowerAction::Peer { node, after });
        }
    }

    /// What a peer is told that has this version; `None` where it has all that this node has.
    #[must_use]
    pub fn update_after(&self, version: u64) -> Option<ConfigUpdate> {
        if version >= self.config.version() {
            return None;
        }
        let oldest = self.kept.front().map_or(u64::MAX, |entry| entry.version);
        if oldest > version + 1 {
            return Some(ConfigUpdate::Whole(Box::new(self.config.clone())));
        }
        let newer = self.kept.iter().filter(|entry| entry.version > version);
        Some(ConfigUpdate::Entries(newer.cloned().collect()))
    }

    /// Takes a peer's news, and returns whether the configuration has changed.
    pub fn apply_update(&mut self, news: ConfigUpdate) -> bool {
        self.asked = None;
        match news {
            ConfigUpdate::Entries(entries) => self.take_entries(&entries),
            ConfigUpdate::Whole(config) => self.take_whole(*config),
        }
    }

    fn take_entries(&mut self, entries: &[Entry]) -> bool {
        let before = self.config.version();
        for entry in entries {
            if self.config.apply(entry).is_ok() {
                self.kept.push_back(entry.clone());
            }
        }
        let surplus = self.kept.len().saturating_sub(self.cfg.entries_kept);
        self.kept.drain(..surplus);
        self.config.version() > before
    }

    fn take_whole(&mut self, config: Config) -> bool {
        let newer = config.version() > self.config.version();
        if newer {
            self.config = config;
            self.kept.clear();
        }
        newer
    }

    /// A node may serve once it has what the table's head named, or what a peer had, and what each
    /// peer has that is heard. A peer without any version proves nothing: it may have just started too.
    fn look_whether_known(&mut self, now: Time, started: Time) {
        if self.known {
            return;
        }
        self.known = self.may_serve(now, started);
    }

    fn may_serve(&self, now: Time, started: Time) -> bool {
        let version = self.config.version();
        let live = |heard: &&Heard| now < heard.at + self.cfg.peer_timeout;
        let newest = self.heard.values().filter(live).map(|heard| heard.version);
        let newest = newest.max();
        let head = self.head.map_or(0, |head| head.version);
        let has_source = self.table_seen || newest.is_some_and(|newest| newest > 0);
        let waited = newest.is_some() || now >= started + self.cfg.startup_wait;
        has_source && waited && version >= newest.unwrap_or(0) && version >= head
    }
}
