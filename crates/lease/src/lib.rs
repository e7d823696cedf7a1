//! Leader election for a failure domain: the domain lease as a pure state machine.
//!
//! The node that holds the lease is the domain's scheduler. A [`LeaseMachine`] takes an [`Input`] and
//! the current time, and returns [`Output`]s for the caller to carry out. It does no I/O and reads no
//! clock.
//!
//! The members of a domain confirm each claim and each renewal on fresh connections. While the
//! platform's table is reachable, a compare-and-set on its row orders takeovers.
//! `docs/design/ownership.md` describes the protocol, its assumptions and the alternatives considered.
//!
//! # Example
//!
//! ```
//! use lease::{Holder, Input, LeaseConfig, LeaseMachine, Output, RowState};
//! use model::{Incarnation, NodeId, Time};
//!
//! let me = Holder {
//!     node: NodeId(1),
//!     incarnation: Incarnation(7),
//!     address: "127.0.0.1:7101".into(),
//! };
//! let mut machine = LeaseMachine::new(LeaseConfig::default(), me);
//! let mut out = Vec::new();
//! machine.step(Time::ZERO, Input::Members(Vec::new()), &mut out);
//! assert!(matches!(out[0], Output::ReadRow { .. }));
//!
//! // The table has no row yet and there are no other members to ask, so the machine claims the lease.
//! let Output::ReadRow { call } = out.remove(0) else { unreachable!() };
//! machine.step(Time::from_ms(5), Input::RowRead { call, state: RowState::Absent }, &mut out);
//! assert!(matches!(out[0], Output::WriteRow { .. }));
//! ```

mod answer;
mod claim;
mod config;
mod hold;
mod io;
mod machine;
mod members;
mod message;
mod round;
mod row;
mod table;

pub use crate::{
    config::LeaseConfig,
    io::{Input, Output},
    machine::LeaseMachine,
    message::{LeaseMsg, Purpose, QuestionId, Reply},
    row::{Holder, LeaseRow, RowState, WriteResult},
};
