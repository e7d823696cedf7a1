//! Routing of callers' requests: queues, slot grants and verdicts.
//!
//! A [`Router`] is told of services, backend servers, grants and requests, and returns
//! [`RouteAction`]s for its owner to carry out. It does no I/O and reads no clock.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use model::{Class, Repeat, Time, WorkerId};
//! use route::{Backend, Grant, Offer, ReqId, RouteAction, RouteConfig, Router, ServicePolicy};
//!
//! let mut router = Router::new(RouteConfig::default());
//! let policy = ServicePolicy {
//!     class: Class::Interactive,
//!     repeat: Repeat::Safe,
//!     deadline: Duration::from_millis(800),
//! };
//! router.set_service("lookup", policy);
//! let backend = Backend { worker: WorkerId(1), endpoint: "http://127.0.0.1:8080".into() };
//! router.set_backends("lookup", vec![backend]);
//! let grant = Grant { slots: 4, connections: 32, until: Time::from_ms(6_000) };
//! router.set_grant(WorkerId(1), grant);
//!
//! let mut out = Vec::new();
//! let offer = Offer { req: ReqId(1), service: "lookup".into(), key: None, forwarded: false };
//! router.offer(Time::ZERO, &offer, &mut out);
//! assert!(matches!(out[0], RouteAction::Dispatch { req: ReqId(1), .. }));
//! ```

mod grants;
mod router;

pub use crate::grants::{GrantBook, GrantConfig, NodeShares, Share, ShareReport};
pub use crate::router::{
    Backend, ClaimResult, Grant, Offer, Outcome, Remote, ReqId, RouteAction, RouteConfig, Router,
    ServicePolicy,
};
