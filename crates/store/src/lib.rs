//! Interfaces (ports) to the platform's table, object store, VM list and workers, and their HTTP
//! adapter.
//!
//! A port consists of a request type, a response type and a small trait. The daemon calls the platform
//! through [`HttpPlatform`]; tests use in-memory fakes that implement the same traits. [`GroupCommit`]
//! batches small changes into table transactions.
//!
//! # Example
//!
//! ```
//! use store::{Check, TableReq, Txn, Write};
//!
//! // Creates a row if it does not exist.
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
