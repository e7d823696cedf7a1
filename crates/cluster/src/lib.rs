//! Nodes that accept jobs from clients and schedule them as a cluster.
//!
//! Every node accepts jobs, answers queries for their state and requests approvals of the workers that may
//! run their steps. At any time at most one node is the scheduler: the holder of the lease row in the
//! table, for as long as no other node has replaced that row. All durable state is in the table; nodes
//! store nothing themselves.
//!
//! The crate reaches the platform through the traits [`Table`], [`Workers`], [`Approver`] and
//! [`Directory`], and runs on one thread: drive [`Node::run`] with a current-thread `tokio` runtime inside
//! a `LocalSet`.
//!
//! # Example
//!
//! ```
//! use cluster::{Route, Routes};
//! use jobs::Queue;
//!
//! let queue = Queue { name: "lookups".into(), ..Queue::default() };
//! let route = Route { host: "desk.example".into(), path_prefix: "/lookups/".into(), queue, ..Route::default() };
//! let routes = Routes::new(3, [route]);
//! let (queue, rest) = routes.find("desk.example", "/lookups/5c0e7a21d94b36f8").unwrap();
//! assert_eq!((queue.name.as_str(), rest), ("lookups", "5c0e7a21d94b36f8"));
//! assert!(routes.find("desk.example", "/other/").is_none());
//! ```

mod access;
mod admission;
mod announce;
mod answers;
mod approve;
mod callers;
mod clock;
mod commit;
mod configuration;
mod connections;
mod door;
mod early_cancels;
mod entry;
mod error;
mod feed;
mod follow;
mod guard;
mod health;
mod inbound;
mod intake;
mod lead;
mod lease;
mod link;
mod logs;
mod mechanism;
mod message;
mod metrics;
mod node;
mod order_times;
mod ports;
mod recover;
mod relay;
mod retry_after;
mod routes;
mod rows;
mod succession;

pub use crate::{
    access::{AccessSettings, Caller, KeyDigest, Refusal, Team},
    clock::Clock,
    connections::{CallClass, Connection, ConnectionLimits, ConnectionPool, Lease},
    entry::{CancelOutcome, StateAnswer, SubmitOutcome},
    error::{AskError, CallError, CommitError, FeedError},
    inbound::{Closing, Inbound, InboundConnection, InboundLimits, NoRoom},
    logs::start_logs,
    mechanism::{Mechanism, NodePolicy, UnknownMechanism},
    metrics::Metrics,
    node::{Node, NodeSettings},
    ports::{
        Approval, Approver, Directory, FeedPage, Page, Ports, Row, RowKey, StartOutcome, Table,
        Transaction, Versioned, WorkerChanges, Workers,
    },
    routes::{Route, Routes},
};
