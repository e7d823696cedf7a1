//! Placement of services, batch jobs and gangs on the workers of one failure domain.
//!
//! The caller reports workers, teams, units and the ends of tasks to a [`Placer`].
//! [`Placer::decide`] returns the resulting decisions: which tasks to start on which workers, and
//! which running tasks to stop, checkpoint or throttle. The crate does no I/O and reads no clock;
//! the caller passes the current time to each call.
//!
//! Two terms recur. An *allocation* is the room that a task holds on its worker. A *reservation* is
//! room set aside on workers for a unit that waits, until all of that room is free.
//!
//! # Example
//!
//! ```
//! use model::{Class, Kind, RackId, Repeat, Size, Team, Time, Unit, UnitId, WorkerId};
//! use place::{Decision, PlaceConfig, Placer, WaitingTask, WorkerSpec};
//!
//! let mut placer = Placer::new(PlaceConfig::default());
//! placer.set_team(&Team { name: "t".into(), quota: Size::new(64_000, 64_000, 0) });
//! let spec = WorkerSpec { id: WorkerId(1), rack: RackId(1), size: Size::new(16_000, 65_536, 0) };
//! placer.add_worker(spec);
//! placer.open_worker(Time::ZERO, WorkerId(1));
//! let unit = Unit {
//!     name: "rebuild".into(),
//!     team: "t".into(),
//!     command: vec!["rebuild".into()],
//!     size: Size::new(4_000, 8_192, 0),
//!     class: Class::Bulk,
//!     repeat: Repeat::Safe,
//!     attempts: 3,
//!     run_time: std::time::Duration::from_secs(60),
//!     kind: Kind::Batch { tasks: 2 },
//! };
//! let waiting = [0, 1].map(|index| WaitingTask { index, failures: 0 });
//! let id = UnitId::new("rebuild");
//! placer.add_unit(&id, &unit);
//! placer.enqueue(Time::ZERO, &id, &waiting).unwrap();
//! let mut out = Vec::new();
//! placer.decide(Time::ZERO, &mut out);
//! assert!(matches!(out[0], Decision::Start { worker: WorkerId(1), .. }));
//! assert_eq!(out.len(), 2);
//! ```

mod cancel;
mod completion;
mod config;
mod decision;
mod error;
mod feasibility;
mod fit;
mod growth;
mod health;
mod history;
mod overdue;
mod pass;
mod placer;
mod preempt;
mod queries;
mod queues;
mod reservations;
mod stops;
mod teams;
mod unfit;
mod units;
mod worker;
mod workers;

pub use crate::{
    config::{Backfill, FitRule, PlaceConfig},
    decision::{Decision, NextState, TaskEnd, WaitingTask, WorkerSpec},
    error::Unplaceable,
    placer::Placer,
};
