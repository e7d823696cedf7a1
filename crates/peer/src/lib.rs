//! Messages between nodes and the HTTP/2 connections (links) that carry them.
//!
//! A link is an `h2` connection. Each message is one stream with a `bincode` body and is acknowledged by
//! the response on that stream, so that a node that does not respond is detected within a timeout. A
//! caller's request that is forwarded to another node is one stream too, with both bodies streamed.
//!
//! All links of a process run on one thread with one `tokio` runtime. [`Links`] is the handle to it.
//!
//! # Example
//!
//! ```
//! use std::{net::SocketAddr, sync::mpsc, time::Duration};
//! use model::NodeId;
//! use peer::{ForwardedRequest, LinkHandler, Links, LinksConfig, PeerMsg};
//!
//! #[derive(Clone)]
//! struct Inbox(mpsc::Sender<(NodeId, PeerMsg)>);
//!
//! impl LinkHandler for Inbox {
//!     fn handle_message(&self, from: NodeId, msg: PeerMsg) {
//!         let _ = self.0.send((from, msg));
//!     }
//!     fn handle_send_failure(&self, _to: NodeId, _msg: PeerMsg) {}
//!     fn handle_forwarded(&self, _req: ForwardedRequest) {}
//! }
//!
//! let (tx, rx) = mpsc::channel();
//! let cfg = LinksConfig { node: NodeId(1), token: "a long secret".into(), ..LinksConfig::default() };
//! let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
//! let links = Links::start(cfg, listen, Inbox(tx)).unwrap();
//! links.send(NodeId(1), links.address(), PeerMsg::InboxNews);
//! let (from, msg) = rx.recv_timeout(Duration::from_secs(5)).unwrap();
//! assert_eq!((from, msg), (NodeId(1), PeerMsg::InboxNews));
//! ```

mod body;
mod client;
mod error;
mod links;
mod message;
mod server;

pub use crate::{
    body::{AnswerWriter, BodyReader},
    error::LinkError,
    links::{LinkHandler, Links, LinksConfig},
    message::{
        BackendView, DomainSummary, DomainView, GrantView, Heartbeat, NodeSummary, PeerMsg,
        ViewContent, ViewVersion,
    },
    server::{ForwardedRequest, secrets_equal},
};
