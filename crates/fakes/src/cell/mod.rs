//! A simulated cell on virtual time: nodes that schedule, hosts and a table, with seeded faults.
//!
//! The schedulers are those of the crate `sched`, unchanged. Each host is a worker to them. The hosts,
//! the table and the approval service are stand-ins that follow the platform's rules. A [`Checker`] records
//! violated guarantees from the runs on the hosts and the states that clients can see. A simulation is
//! determined by its [`CellSpec`], which includes the seed.

mod approvals;
mod checker;
mod crashing;
mod faults;
mod fleet;
mod gangs;
mod host;
mod load;
mod network;
mod node;
mod table;
mod trace;
mod world;

pub use self::{
    checker::{Breach, Checker, JobOutcome, Report},
    crashing::CrashingStep,
    faults::{CellFault, Mutation},
    fleet::{Fleet, Timer},
    host::{Host, MAX_LEASE_MS},
    load::{Arrival, Burst, Kind, LoadSpec, generate},
    trace::{Acknowledgement, RunEvent, TraceRow},
    world::{Announcing, Cell, CellSpec, ClientRetry},
};
