//! A cell of schedulers, hosts and a table on virtual time, with seeded faults, judged from outside.
//!
//! The schedulers are those of the crate `sched`, unchanged; hosts, table and approvals are stand-ins that
//! follow the platform's rules. One run is determined by its settings and seed.

mod approvals;
mod checker;
mod faults;
mod fleet;
mod gangs;
mod host;
mod load;
mod network;
mod node;
mod table;
mod world;

pub use self::{
    checker::{Breach, Checker, JobOutcome, Report},
    faults::{CellFault, Mutation},
    fleet::{Fleet, Timer},
    host::Host,
    load::{Arrival, Burst, Kind, LoadSpec, generate},
    world::{Cell, CellSpec},
};
