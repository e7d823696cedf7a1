//! The `lacewingrouter` daemon: the state machine of a node, and the actors that connect it with the
//! network and the platform.
//!
//! The state machine, [`Node`], handles events and returns actions. It does no I/O itself.
//!
//! # Example
//!
//! ```
//! use model::{Incarnation, NodeId, Time};
//! use node::{Action, Event, Identity, Node, NodeConfig};
//!
//! let me = Identity {
//!     node: NodeId(1),
//!     incarnation: Incarnation(1),
//!     region: "r1".parse().unwrap(),
//!     domain: "d1".parse().unwrap(),
//!     peer_address: "127.0.0.1:7101".into(),
//! };
//! let mut node = Node::new(NodeConfig::default(), me);
//! let mut out = Vec::new();
//! node.handle(Time::ZERO, Event::Tick, &mut out);
//! assert!(matches!(out[0], Action::Table(..)));
//! ```

pub mod api;
mod core;
mod daemon;
mod settings;

pub use crate::{
    core::{
        Action, CallId, ConfigSyncConfig, Dump, Event, Identity, MemberDump, MembersConfig, Node,
        NodeConfig, OperatorCallId, RequestNode, SchedulerConfig, SchedulerDump, WorkerDump,
    },
    daemon::{FixedProxy, FixedService, run as run_daemon},
    settings::{CommandLine, Settings, SettingsError, parse as parse_settings, parse_with},
};
