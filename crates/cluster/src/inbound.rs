//! Limits of the connections that others open to a process: their number, and the memory of messages that are being
//! received.
//!
//! A connection that has made no progress for longest makes room for others. One whose request is being answered is
//! never closed, because its outcome would be unknown to the caller.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};

use crate::{Metrics, link};

/// The memory of a connection beside that of a message, with the buffers of its socket, in bytes.
const CONNECTION_BYTES: usize = 32 << 10;

/// The number of links that any node accepts.
const MIN_LINKS: usize = 64;

/// The shortest time between two log lines about closed connections.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits of the connections to one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InboundLimits {
    /// The most open connections.
    pub connections: usize,
    /// The most bytes of all messages that are being received or answered.
    pub bytes: usize,
    /// A connection that holds at most this many bytes is closed for the sake of others only if none holds more.
    pub small_bytes: usize,
    /// The bytes beyond `bytes` that only messages of at most `small_bytes` may take.
    pub reserve_bytes: usize,
}

impl Default for InboundLimits {
    fn default() -> Self {
        Self {
            connections: 2_048,
            bytes: 64 << 20,
            small_bytes: 16 << 10,
            reserve_bytes: 4 << 20,
        }
    }
}

impl InboundLimits {
    /// Returns the limits for clients of a process with this much memory and this many sockets. The rest is left for
    /// the state of the process and for its connections to others.
    #[must_use]
    pub fn clients(memory_bytes: usize, sockets: usize) -> Self {
        let connections = (sockets / 8 * 5).min(memory_bytes / 4 / CONNECTION_BYTES);
        Self {
            connections: connections.max(1),
            bytes: memory_bytes / 4,
            reserve_bytes: memory_bytes / 64,
            ..Self::default()
        }
    }

    /// Returns the limits for links of other nodes, of a process with this much memory and this many sockets. There is
    /// room for a message of the greatest length in any case.
    #[must_use]
    pub fn links(memory_bytes: usize, sockets: usize) -> Self {
        Self {
            connections: (sockets / 8).max(MIN_LINKS),
            bytes: (memory_bytes / 4).max(2 * link::MAX_MESSAGE_BYTES),
            ..Self::default()
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing of a message has been received.
    Idle,
    Receiving,
    Answering,
}

#[derive(Debug)]
struct Entry {
    phase: Cell<Phase>,
    progress_at: Cell<Instant>,
    bytes: Cell<usize>,
    close: RefCell<Option<oneshot::Sender<()>>>,
}

/// What was done for lack of room since the last log line.
#[derive(Debug, Default)]
struct Unlogged {
    closed: u64,
    refused: u64,
}

#[derive(Debug)]
struct Table {
    name: &'static str,
    limits: InboundLimits,
    metrics: Metrics,
    open: BTreeMap<u64, Rc<Entry>>,
    bytes: usize,
    last_id: u64,
    logged_at: Option<Instant>,
    unlogged: Unlogged,
}

impl Table {
    /// Closes the connection that `order` puts first among those that are not being answered. Returns whether there was
    /// one.
    fn close_first<K: Ord>(&mut self, order: impl Fn(&Entry) -> Option<K>) -> bool {
        let entries = self.open.iter();
        let keys = entries.filter_map(|(id, entry)| Some((order(entry)?, *id)));
        let Some((_, id)) = keys.min() else {
            return false;
        };
        if let Some(entry) = self.remove(id)
            && let Some(close) = entry.close.take()
        {
            self.unlogged.closed += 1;
            self.metrics
                .count(&format!("{}_closed_for_room", self.name));
            // The connection may be closing by itself.
            let _ = close.send(());
        }
        true
    }

    fn remove(&mut self, id: u64) -> Option<Rc<Entry>> {
        let entry = self.open.remove(&id)?;
        self.bytes -= entry.bytes.take();
        Some(entry)
    }

    fn refuse(&mut self) {
        self.unlogged.refused += 1;
        self.metrics
            .count(&format!("{}_refused_for_room", self.name));
    }

    fn log(&mut self, now: Instant) {
        let Unlogged { closed, refused } = self.unlogged;
        let is_due = self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL);
        if closed + refused == 0 || !is_due {
            return;
        }
        self.logged_at = Some(now);
        self.unlogged = Unlogged::default();
        log::warn!(
            "event=no_room listener={} closed={closed} refused={refused} open={} bytes={}",
            self.name,
            self.open.len(),
            self.bytes
        );
    }
}

/// The open connections to a listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Inbound(Rc<RefCell<Table>>);

/// Resolves when a connection has to be closed to make room for others.
pub type Closing = oneshot::Receiver<()>;

/// There is no room for more bytes, and no connection can be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("no room for a message")]
pub struct NoRoom;

impl Inbound {
    /// Begins without connections. `name` is the listener's in metrics and log lines.
    #[must_use]
    pub fn new(name: &'static str, limits: InboundLimits, metrics: Metrics) -> Self {
        Self(Rc::new(RefCell::new(Table {
            name,
            limits,
            metrics,
            open: BTreeMap::new(),
            bytes: 0,
            last_id: 0,
            logged_at: None,
            unlogged: Unlogged::default(),
        })))
    }

    /// Adds a connection. If there are too many, the one without progress for longest is closed. Returns `None` if all
    /// others are being answered.
    #[must_use]
    pub fn open(&self, now: Instant) -> Option<(InboundConnection, Closing)> {
        let mut table = self.0.borrow_mut();
        let mut has_room = true;
        while has_room && table.open.len() >= table.limits.connections {
            has_room = table.close_first(|entry| {
                (entry.phase.get() != Phase::Answering).then(|| entry.progress_at.get())
            });
        }
        if !has_room {
            table.refuse();
        }
        table.log(now);
        if !has_room {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        let entry = Rc::new(Entry {
            phase: Cell::new(Phase::Idle),
            progress_at: Cell::new(now),
            bytes: Cell::new(0),
            close: RefCell::new(Some(tx)),
        });
        table.last_id += 1;
        let id = table.last_id;
        table.open.insert(id, entry.clone());
        let connection = InboundConnection {
            inbound: self.clone(),
            id,
            entry,
        };
        Some((connection, rx))
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.borrow().open.len()
    }

    /// Returns whether a further connection needs the place of another one.
    #[must_use]
    pub fn is_full(&self) -> bool {
        let table = self.0.borrow();
        table.open.len() >= table.limits.connections
    }

    /// Returns whether no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.borrow().open.is_empty()
    }
}

/// An open connection, which is removed when this is dropped.
#[derive(Debug)]
pub struct InboundConnection {
    inbound: Inbound,
    id: u64,
    entry: Rc<Entry>,
}

impl InboundConnection {
    /// Records that a part of a message was received, and that `bytes` are held for it. If all connections hold too much,
    /// others are closed that are receiving, those without progress for longest first.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room. What was held for the message then no longer counts.
    pub fn receive(&self, now: Instant, bytes: usize) -> Result<(), NoRoom> {
        self.entry.phase.set(Phase::Receiving);
        self.entry.progress_at.set(now);
        self.hold(now, bytes)
    }

    fn hold(&self, now: Instant, bytes: usize) -> Result<(), NoRoom> {
        let last = self.entry.bytes.get();
        if bytes == last {
            return Ok(());
        }
        let mut table = self.inbound.0.borrow_mut();
        if !table.open.contains_key(&self.id) {
            // The connection has been closed to make room, and its bytes no longer count.
            return Err(NoRoom);
        }
        self.entry.bytes.set(bytes);
        table.bytes = table.bytes - last + bytes;
        let small = table.limits.small_bytes;
        let reserve = if bytes <= small {
            table.limits.reserve_bytes
        } else {
            0
        };
        let limit = table.limits.bytes + reserve;
        let mut has_room = true;
        while has_room && table.bytes > limit {
            has_room = table.close_first(|entry| {
                let is_other = !std::ptr::eq(entry, Rc::as_ptr(&self.entry));
                let bytes = entry.bytes.get();
                let may_close = is_other && bytes > 0 && entry.phase.get() == Phase::Receiving;
                may_close.then(|| (bytes <= small, entry.progress_at.get()))
            });
        }
        if !has_room {
            table.bytes -= self.entry.bytes.take();
            table.refuse();
        }
        table.log(now);
        if has_room { Ok(()) } else { Err(NoRoom) }
    }

    /// Records that a whole message was received and is being answered. What was held for it still counts.
    pub fn answer(&self, now: Instant) {
        self.entry.phase.set(Phase::Answering);
        self.entry.progress_at.set(now);
    }

    /// Records that nothing is held for the connection any more.
    pub fn finish(&self, now: Instant) {
        self.entry.phase.set(Phase::Idle);
        self.entry.progress_at.set(now);
        let bytes = self.entry.bytes.take();
        if bytes > 0 {
            self.inbound.0.borrow_mut().bytes -= bytes;
        }
    }
}

impl Drop for InboundConnection {
    fn drop(&mut self) {
        self.inbound.0.borrow_mut().remove(self.id);
    }
}
