//! Request routing: queues, slot grants on backend servers, retries, claims and verdicts.
//!
//! A [`Router`] runs on each node. It receives services, backend servers, grants and requests as method
//! calls and returns [`RouteAction`]s for its owner to carry out. A [`GrantAllocator`] runs at the
//! scheduler of a failure domain and divides the slots of the domain's backend servers among its nodes.
//! Neither type does I/O or reads a clock: the current time is a parameter of each call.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//! use model::{Class, Repeat, Time, WorkerId};
//! use route::{Backend, Grant, IncomingRequest, ReqId, RouteAction, RouteConfig, Router, ServicePolicy};
//!
//! let mut router = Router::new(RouteConfig::default());
//! let policy = ServicePolicy {
//!     class: Class::Interactive,
//!     repeat: Repeat::Safe,
//!     deadline: Duration::from_millis(800),
//!     ..ServicePolicy::default()
//! };
//! router.set_service("lookup", policy);
//! let backend = Backend { worker: WorkerId(1), endpoint: "http://127.0.0.1:8080".into() };
//! router.set_backends("lookup", vec![backend]);
//! let grant = Grant { slots: 4, connections: 32, until: Time::from_ms(6_000) };
//! router.set_grant(WorkerId(1), grant);
//!
//! let mut out = Vec::new();
//! let request = IncomingRequest { req: ReqId(1), service: "lookup".into(), ..IncomingRequest::default() };
//! router.submit(Time::ZERO, &request, &mut out);
//! assert!(matches!(&out[0], RouteAction::Dispatch(dispatch) if dispatch.req == ReqId(1)));
//! ```

mod attempts;
mod budget;
mod choose;
mod claims;
mod completion;
mod config;
mod counters;
mod fair;
mod grants;
mod health;
mod request;
mod router;
mod service;
mod slots;
mod types;

pub use crate::{
    config::{HealthConfig, RouteConfig},
    counters::{RouteDump, ServiceCounters, ServiceDump},
    grants::{GrantAllocator, GrantConfig, NodeShares, Share, ShareReport},
    router::Router,
    types::{
        AttemptEnd, Backend, ClaimResult, Dispatch, Forward, Grant, IncomingRequest, Outcome,
        Reason, Refusal, Remote, ReqId, RouteAction, ServicePolicy, StoredAnswer,
    },
};
