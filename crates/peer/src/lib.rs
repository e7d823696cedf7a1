//! Messages between nodes.
//!
//! # Example
//!
//! ```
//! use model::Epoch;
//! use peer::PeerMsg;
//!
//! let msg = PeerMsg::Lease(lease::LeaseMsg::HandedOver { epoch: Epoch::default() });
//! assert!(matches!(msg, PeerMsg::Lease(_)));
//! ```

mod message;

pub use crate::message::{BackendView, DomainView, GrantView, Heartbeat, PeerMsg};
