//! Ports to the platform (table, object store, VM list, workers) and their HTTP adapters.
//!
//! A port is a typed request, a typed reply and a small trait between them. The daemon talks to the
//! platform through [`HttpPlatform`]; tests talk to in-memory stand-ins through the same traits.
//!
//! # Example
//!
//! ```
//! use store::{Check, TableReq, Txn, Write};
//!
//! // Creates a row, unless somebody else has created it.
//! let txn = Txn {
//!     checks: vec![Check { key: "unit/a".into(), version: None }],
//!     writes: vec![Write { key: "unit/a".into(), value: Some(b"spec".to_vec()) }],
//! };
//! let req = TableReq::Commit(txn);
//! assert!(req.is_write());
//! ```

mod codec;
mod commit;
mod error;
mod http;
mod object;
mod port;
mod table;
mod vm;
mod worker;

pub use crate::{
    codec::{DecodeError, decode, encode},
    commit::{CommitChange, CommitConfig, CommitOutput, GroupCommit, PushError, Settlement},
    error::StoreError,
    http::{HttpPlatform, HttpPlatformConfig},
    object::{ObjectReq, ObjectResp},
    port::{Objects, Platform, Table, VmList, Workers},
    table::{Check, Row, TableReq, TableResp, Txn, Write},
    vm::{VmInfo, VmRole, VmState},
    worker::{Command, TaskPhase, TaskStart, TaskView, WorkerCall, WorkerReport},
};
