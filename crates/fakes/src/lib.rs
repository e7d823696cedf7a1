//! Small stand-ins for the platform: table, object store, VM list and workers, with seeded faults.
//!
//! The stand-ins implement the platform's interfaces in memory and over HTTP (see [`serve`]). Workers start
//! every task that they are told to start, and record their runs, so that tests can check the guarantees
//! from outside. The module [`cell`] simulates a whole cell on virtual time.
//!
//! # Example
//!
//! ```
//! use fakes::{FakePlatform, PlatformSpec};
//! use model::Time;
//!
//! let spec = PlatformSpec { domains: 3, workers: 6, ..PlatformSpec::default() };
//! let platform = FakePlatform::new(&spec);
//! assert_eq!(platform.vms(Time::ZERO, "d1".parse().unwrap()).len(), 2);
//! ```

mod backend;
pub mod cell;
mod fault;
mod http;
mod plan;
mod platform;
mod rng;
mod table;
mod vm_list;
mod worker;

pub use crate::{
    backend::{Backends, MAX_CONNECTIONS, MAX_RUNNING_REQUESTS, OpenRequest, ServedRequest},
    fault::{Delivery, FaultLevel, Faults},
    http::{Server, serve},
    plan::RunPlan,
    platform::{At, FakePlatform, PlatformSpec},
    rng::Rng,
    table::{FakeObjects, FakeTable},
    vm_list::FakeVmList,
    worker::{FakeWorker, Run},
};
