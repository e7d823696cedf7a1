//! Small stand-ins for the platform: table, object store, VM list and workers, with seeded faults.
//!
//! They are interfaces with faults, no model of a cluster: workers start whatever they are given,
//! and record what they ran, so that a test can judge from outside.
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
