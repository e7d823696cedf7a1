//! Nodes that take jobs in and schedule them together.
//!
//! Every node takes jobs in, answers for their state and asks for approvals. One of them at a time is the
//! scheduler: it leads as long as its row in the table is the newest. All that must last lies in the
//! table; nodes keep nothing.
//!
//! The crate reaches the platform through ports ([`Table`], [`Workers`], [`Approver`], [`Directory`]), and
//! runs on one thread: [`Node::run`] is to be driven by a current-thread `tokio` runtime inside a
//! `LocalSet`.
//!
//! # Example
//!
//! ```
//! use cluster::{Route, Routes};
//! use jobs::Queue;
//!
//! let queue = Queue { name: "lookups".into(), ..Queue::default() };
//! let route = Route { host: "desk.example".into(), path_prefix: "/lookups/".into(), queue };
//! let routes = Routes::new(3, [route]);
//! let (queue, rest) = routes.find("desk.example", "/lookups/5c0e7a21d94b36f8").unwrap();
//! assert_eq!((queue.name.as_str(), rest), ("lookups", "5c0e7a21d94b36f8"));
//! assert!(routes.find("desk.example", "/other/").is_none());
//! ```

mod answers;
mod approve;
mod clock;
mod commit;
mod entry;
mod error;
mod feed;
mod follow;
mod health;
mod intake;
mod lead;
mod lease;
mod link;
mod logs;
mod message;
mod metrics;
mod node;
mod ports;
mod recover;
mod relay;
mod routes;
mod rows;

pub use crate::{
    clock::Clock,
    entry::{CancelOutcome, StateAnswer, SubmitOutcome},
    error::{AskError, CallError, CommitError, FeedError},
    logs::start_logs,
    metrics::Metrics,
    node::{Node, NodeSettings},
    ports::{
        Approval, Approver, Directory, FeedPage, Page, Ports, Row, RowKey, Table, Transaction,
        Versioned, WorkerChanges, Workers,
    },
    routes::{Route, Routes},
};
