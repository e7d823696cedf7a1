//! Connections to servers that accept only a limited number of them.
//!
//! A server counts a connection until it learns that the other side has closed it. It does not learn this from a machine
//! that loses power or is cut off, so each of these leaves behind as many connections as it held. A pool therefore bounds
//! the connections to one server that are open at all: in use, idle and being opened. A call that finds none free waits for
//! one; its [`CallClass`] tells which goes first.
//!
//! A server that has no room left closes each new connection while the older ones still work. Calls then go over those,
//! one after the other.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    fmt,
    rc::Rc,
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};

use crate::Metrics;

/// The most urgent calls that may go before a call with a reserved connection that came earlier. Without a bound, stop
/// orders that are repeated over the only connection that works would keep polls from renewing leases.
const MAX_OVERTAKING: u64 = 8;

/// A connection that a [`ConnectionPool`] may keep.
pub trait Connection {
    /// Returns whether the other side can still be sent a request.
    fn is_open(&self) -> bool;
}

/// How a call competes with others for the connections to a server. Calls that are equal in this are served in the order
/// in which they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// Goes before the normal calls, and before a reserved one that has not waited for long.
    Urgent,
    /// Goes after the calls of the other classes.
    Normal,
    /// Goes after the urgent calls that came before it or soon after it. One connection is reserved for calls of this class.
    Reserved,
}

/// The key by which calls that wait are sorted. The last number is unique.
type Turn = (bool, u64, u64);

impl CallClass {
    /// Returns the key by which calls that wait are sorted, for the call with this number.
    const fn turn(self, number: u64) -> Turn {
        match self {
            Self::Urgent => (false, number, number),
            Self::Reserved => (false, number + MAX_OVERTAKING, number),
            Self::Normal => (true, number, number),
        }
    }

    const fn is_reserved(self) -> bool {
        matches!(self, Self::Reserved)
    }
}

/// Limits of the connections to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The most connections that are open: in use, idle or being opened.
    pub open: usize,
    /// The most idle connections.
    pub idle: usize,
    /// The number of idle connections to all servers from which on only one to each is kept.
    pub idle_in_all: usize,
    /// How long an idle connection is kept beside another one.
    pub idle_time: Duration,
    /// How long no connection is opened to a server that has refused one, if another one works.
    pub refused_pause: Duration,
}

impl Default for ConnectionLimits {
    /// Limits for servers of which each client needs few connections.
    fn default() -> Self {
        Self {
            open: 4,
            idle: 4,
            idle_in_all: 512,
            idle_time: Duration::from_secs(2),
            refused_pause: Duration::from_secs(1),
        }
    }
}

/// A call that waits for a connection.
struct Waiting<C> {
    class: CallClass,
    tx: oneshot::Sender<Lease<C>>,
}

/// The connections to one server.
struct Server<C> {
    /// Idle connections, each with when it was used last, in the order of these times.
    idle: Vec<(C, Instant)>,
    /// The number of connections that are in use, idle or being opened.
    open: usize,
    /// The number of those that have carried an answer.
    proven: usize,
    /// The number of leases of calls without a reserved connection.
    unreserved: usize,
    /// The calls that wait, in their turn.
    waiting: BTreeMap<Turn, Waiting<C>>,
    /// Until when no connection is opened beside those that work, after one was refused. It is kept until one is accepted.
    refused_until: Option<Instant>,
}

impl<C> Default for Server<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            open: 0,
            proven: 0,
            unreserved: 0,
            waiting: BTreeMap::new(),
            refused_until: None,
        }
    }
}

impl<C> Server<C> {
    /// Closes the idle connections, and returns their number.
    fn close_idle(&mut self) -> usize {
        let closed = self.idle.len();
        self.idle.clear();
        self.open -= closed;
        self.proven -= closed;
        closed
    }

    /// Removes the idle connections that the other side has closed, and returns their number.
    fn remove_closed(&mut self) -> usize
    where
        C: Connection,
    {
        let before = self.idle.len();
        self.idle.retain(|(connection, _)| connection.is_open());
        let closed = before - self.idle.len();
        self.open -= closed;
        self.proven -= closed;
        closed
    }

    fn is_unused(&self) -> bool {
        self.open == 0 && self.waiting.is_empty()
    }

    fn is_refusing(&self) -> bool {
        self.proven > 0 && self.refused_until.is_some()
    }

    /// Returns whether a call of this class may have a connection now. Only normal calls try whether a server that has
    /// refused connections accepts one again, as a refused call fails.
    fn admits(&self, now: Instant, class: CallClass, limit: usize) -> bool {
        let is_left = class.is_reserved() || self.unreserved < limit.saturating_sub(1).max(1);
        let may_try = class == CallClass::Normal && self.refused_until.is_some_and(|at| now >= at);
        let may_open = self.open < limit && (!self.is_refusing() || may_try);
        is_left && (!self.idle.is_empty() || may_open)
    }

    /// Removes the first call that waits and may have a connection now.
    fn next_waiting(&mut self, now: Instant, limit: usize) -> Option<Waiting<C>> {
        let mut waiting = self.waiting.iter();
        let found = waiting.find(|(_, call)| self.admits(now, call.class, limit));
        let (&turn, _) = found?;
        self.waiting.remove(&turn)
    }
}

struct Servers<C> {
    by_address: HashMap<String, Server<C>>,
    open: usize,
    idle: usize,
    /// The value of `open` that the metrics show.
    shown: usize,
    next_number: u64,
}

/// Bounded connections to any number of servers. Clones share them.
pub struct ConnectionPool<C> {
    servers: Rc<RefCell<Servers<C>>>,
    limits: ConnectionLimits,
    metrics: Metrics,
    /// The prefix of the names of the metrics.
    name: &'static str,
}

impl<C> Clone for ConnectionPool<C> {
    fn clone(&self) -> Self {
        Self {
            servers: self.servers.clone(),
            limits: self.limits,
            metrics: self.metrics.clone(),
            name: self.name,
        }
    }
}

impl<C> fmt::Debug for ConnectionPool<C> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool")
            .field("name", &self.name)
            .field("limits", &self.limits)
            .finish_non_exhaustive()
    }
}

impl<C> ConnectionPool<C> {
    /// Creates an empty pool. The metrics are `NAME_connections`, the number of open ones, and the counters
    /// `NAME_connections_opened`, `NAME_connections_refused` and `NAME_connection_waits`.
    #[must_use]
    pub fn new(name: &'static str, limits: ConnectionLimits, metrics: Metrics) -> Self {
        Self {
            servers: Rc::new(RefCell::new(Servers {
                by_address: HashMap::new(),
                open: 0,
                idle: 0,
                shown: 0,
                next_number: 0,
            })),
            limits,
            metrics,
            name,
        }
    }

    /// Returns the right to use a connection to a server, or to open one. Waits while neither is possible.
    ///
    /// Drop the future to stop waiting.
    pub async fn lease(&self, now: Instant, address: &str, class: CallClass) -> Lease<C>
    where
        C: Connection,
    {
        loop {
            let waiting = match self.try_lease(now, address, class) {
                Ok(lease) => return lease,
                Err(waiting) => waiting,
            };
            self.count("connection_waits");
            // The sender stays in the map until it is used, so this does not fail.
            if let Ok(lease) = waiting.await {
                return lease;
            }
        }
    }

    fn try_lease(
        &self,
        now: Instant,
        address: &str,
        class: CallClass,
    ) -> Result<Lease<C>, oneshot::Receiver<Lease<C>>>
    where
        C: Connection,
    {
        let mut servers = self.servers.borrow_mut();
        let servers = &mut *servers;
        let server = match servers.by_address.get_mut(address) {
            Some(server) => server,
            None => servers.by_address.entry(address.to_owned()).or_default(),
        };
        let closed = server.remove_closed();
        servers.open -= closed;
        servers.idle -= closed;
        if server.admits(now, class, self.limits.open) {
            return Ok(self.grant(now, servers, address, class));
        }
        let (tx, rx) = oneshot::channel();
        server.waiting.retain(|_, call| !call.tx.is_closed());
        let turn = class.turn(servers.next_number);
        server.waiting.insert(turn, Waiting { class, tx });
        servers.next_number += 1;
        Err(rx)
    }

    /// Returns whether a server has refused the last connection that was opened beside one that works, so that calls share
    /// those that work.
    #[must_use]
    pub fn is_refusing(&self, address: &str) -> bool {
        let servers = self.servers.borrow();
        let server = servers.by_address.get(address);
        server.is_some_and(Server::is_refusing)
    }

    /// Returns the number of connections to a server that are in use, idle or being opened.
    #[must_use]
    pub fn open_to(&self, address: &str) -> usize {
        let servers = self.servers.borrow();
        let server = servers.by_address.get(address);
        server.map_or(0, |server| server.open)
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, address: &str) {
        let mut servers = self.servers.borrow_mut();
        let servers = &mut *servers;
        if let Some(server) = servers.by_address.get_mut(address) {
            let closed = server.close_idle();
            servers.idle -= closed;
            servers.open -= closed;
        }
        self.show_open(servers);
    }

    /// Closes the idle connections to all servers.
    pub fn close_all_idle(&self) {
        let mut servers = self.servers.borrow_mut();
        let servers = &mut *servers;
        let closed = servers.by_address.values_mut().map(Server::close_idle);
        servers.open -= closed.sum::<usize>();
        servers.idle = 0;
        servers.by_address.retain(|_, server| !server.is_unused());
        self.show_open(servers);
    }

    /// Removes the idle connections that the other side has closed, also of servers that are not called any more.
    fn remove_all_closed(&self)
    where
        C: Connection,
    {
        let mut servers = self.servers.borrow_mut();
        let servers = &mut *servers;
        let closed = servers.by_address.values_mut().map(Server::remove_closed);
        let closed: usize = closed.sum();
        servers.open -= closed;
        servers.idle -= closed;
        servers.by_address.retain(|_, server| !server.is_unused());
        self.show_open(servers);
    }

    /// Gives a call an idle connection, or the right to open one.
    fn grant(
        &self,
        now: Instant,
        servers: &mut Servers<C>,
        address: &str,
        class: CallClass,
    ) -> Lease<C> {
        let mut connection = None;
        if let Some(server) = servers.by_address.get_mut(address) {
            server.unreserved += usize::from(!class.is_reserved());
            connection = server.idle.pop().map(|(connection, _)| connection);
            if connection.is_some() {
                servers.idle -= 1;
            } else {
                server.open += 1;
                servers.open += 1;
                if let Some(until) = &mut server.refused_until {
                    // One connection at a time is tried.
                    *until = (*until).max(now + self.limits.refused_pause);
                }
            }
        }
        Lease {
            pool: self.clone(),
            address: address.to_owned(),
            class,
            is_proven: connection.is_some(),
            connection,
            used_at: now,
        }
    }

    /// Takes back a lease, with its connection if that is free again.
    fn take_back(&self, lease: &mut Lease<C>) {
        let used_at = lease.used_at;
        let mut servers = self.servers.borrow_mut();
        let servers = &mut *servers;
        let Some(server) = servers.by_address.get_mut(&lease.address) else {
            return;
        };
        server.unreserved -= usize::from(!lease.class.is_reserved());
        if let Some(connection) = lease.connection.take() {
            server.idle.push((connection, used_at));
            servers.idle += 1;
        } else {
            server.open -= 1;
            server.proven -= usize::from(lease.is_proven);
            servers.open -= 1;
        }
    }

    /// Serves the calls that wait, as far as possible, and closes idle connections that are too many or have not been used
    /// for long.
    fn serve_waiting(&self, now: Instant, address: &str) {
        loop {
            let (call, lease) = {
                let mut servers = self.servers.borrow_mut();
                let Some(server) = servers.by_address.get_mut(address) else {
                    return;
                };
                let Some(call) = server.next_waiting(now, self.limits.open) else {
                    break;
                };
                let lease = self.grant(now, &mut servers, address, call.class);
                (call, lease)
            };
            // A call that does not wait any more drops its lease, which serves the next one.
            let _ = call.tx.send(lease);
        }
        let mut servers = self.servers.borrow_mut();
        let servers = &mut *servers;
        let Some(server) = servers.by_address.get_mut(address) else {
            return;
        };
        let is_crowded = servers.idle > self.limits.idle_in_all;
        let limit = if is_crowded { 1 } else { self.limits.idle };
        while let [(_, used_at), _, ..] = server.idle[..]
            && (server.idle.len() > limit || now > used_at + self.limits.idle_time)
        {
            server.idle.remove(0);
            server.open -= 1;
            server.proven -= 1;
            servers.idle -= 1;
            servers.open -= 1;
        }
        if server.is_unused() {
            servers.by_address.remove(address);
        }
        self.show_open(servers);
    }

    fn count(&self, name: &str) {
        self.metrics.count(&format!("{}_{name}", self.name));
    }

    fn show_open(&self, servers: &mut Servers<C>) {
        if servers.open == servers.shown {
            return;
        }
        servers.shown = servers.open;
        let open = u64::try_from(servers.open).unwrap_or(u64::MAX);
        self.metrics
            .set(&format!("{}_connections", self.name), open);
    }
}

/// The right of a call to use a connection to a server, or to open one. Dropping it closes a connection that was taken out
/// of it, and leaves one that was not to other calls.
pub struct Lease<C> {
    pool: ConnectionPool<C>,
    address: String,
    class: CallClass,
    /// The connection, until it is taken out, and once it has carried an answer.
    connection: Option<C>,
    /// Whether the connection has carried an answer.
    is_proven: bool,
    /// When the connection was leased, or carried the answer.
    used_at: Instant,
}

impl<C> Lease<C> {
    /// Takes the leased connection; `None` if the call has to open one.
    pub fn take(&mut self) -> Option<C> {
        self.connection.take()
    }

    /// Returns whether the connection has carried an answer before.
    #[must_use]
    pub const fn is_proven(&self) -> bool {
        self.is_proven
    }

    /// Notes that the call has opened a connection.
    pub fn opened(&self)
    where
        C: Connection,
    {
        self.pool.count("connections_opened");
        self.pool.remove_all_closed();
    }

    /// Returns the connection, which has carried an answer at `now`.
    pub fn answered(mut self, now: Instant, connection: C) {
        self.connection = Some(connection);
        self.used_at = now;
        if self.is_proven {
            return;
        }
        self.is_proven = true;
        let mut servers = self.pool.servers.borrow_mut();
        if let Some(server) = servers.by_address.get_mut(&self.address) {
            server.proven += 1;
            if server.refused_until.take().is_some() {
                log::info!("event=connections_accepted address={}", self.address);
            }
        }
    }

    /// Notes that the server has closed the connection before it carried an answer, or has not accepted it. If another one
    /// works, none is opened for a while.
    pub fn refused(self, now: Instant) {
        if self.is_proven {
            return;
        }
        self.pool.count("connections_refused");
        let pause = self.pool.limits.refused_pause;
        let mut servers = self.pool.servers.borrow_mut();
        if let Some(server) = servers.by_address.get_mut(&self.address) {
            let is_first = server.refused_until.is_none();
            server.refused_until = Some(now + pause);
            if is_first && server.proven > 0 {
                let open = server.open;
                let address = &self.address;
                log::warn!("event=connections_refused address={address} open={open}");
            }
        }
    }
}

impl<C> Drop for Lease<C> {
    fn drop(&mut self) {
        let pool = self.pool.clone();
        pool.take_back(self);
        pool.serve_waiting(self.used_at, &self.address);
    }
}
