//! Decides which tasks of which jobs start on which workers, and when a node should become the
//! scheduler.
//!
//! A [`Scheduler`] receives events about jobs, workers, approvals and the runs that workers list. It
//! returns [`Action`]s for its owner to carry out: start and stop orders, requests for approvals, and
//! states to publish. Its decisions are stored by its owner in batches before they take effect. A
//! [`Candidacy`] decides when a node should try to become the scheduler. Neither does I/O or reads a
//! clock.
//!
//! # Example
//!
//! ```
//! use jobs::{Job, JobId, Queue, Step};
//! use model::Time;
//! use sched::{Now, Recovered, SchedConfig, Scheduler};
//!
//! let now = Now { time: Time::ZERO, unix_ms: 1_700_000_000_000 };
//! let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
//! let queue = Queue { name: "lookups".into(), pool: "desk".into(), ..Queue::default() };
//! scheduler.set_queues([queue.clone()]);
//! let steps = vec![Step { tasks: 2, ..Step::default() }];
//! let job = Job { queue, steps, ..Job::default() };
//! scheduler.job_stored(now, JobId(7), job);
//! scheduler.decide(now);
//! // There is no worker yet, so nothing starts.
//! assert!(scheduler.take_actions().iter().all(|action| !action.is_order()));
//! ```

mod action;
mod announced;
mod approval;
mod approvers;
mod ask;
mod background;
mod cancel;
mod config;
mod decide;
mod ends;
mod entry;
mod evidence;
mod fit;
mod fleet;
mod holding;
mod journal;
mod leader;
mod leases;
mod ordering;
mod orders;
mod polls;
mod preempt;
mod recovery;
mod scheduler;
mod statistics;
mod suspects;
mod teams;
mod trips;
mod waits;
mod worker;

pub use crate::{
    action::{
        Action, Batch, EndedRow, Interruption, Listing, Now, Poll, PollFailure, PollOrder,
        RunningRow, StartAnswer, StartOrder, StartsHeld, StopOrder, WaitReason,
    },
    announced::{AnnouncementCounts, Settlement},
    approval::Ticket,
    config::SchedConfig,
    leader::{Candidacy, CandidacyConfig, LeaseRow, LinkState, Step},
    leases::{LeaseEnd, PastLeases, Renewer, TaskLeases},
    ordering::Order,
    recovery::Recovered,
    scheduler::{Scheduler, StartAges, Summary},
    teams::{Admission, TeamSummary, TeamsSummary},
    trips::{TripCount, Trips},
    worker::WorkerInfo,
};
