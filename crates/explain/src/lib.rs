//! Explains from the structured logs of nodes where the time of each job went.
//!
//! [`History`] collects the log lines of all nodes. [`Report`] divides the time of each job, from when the job was handed
//! in to when it was shown as completed, into [`Phase`]s, and adds them up by queue and by window of time. The phases of a
//! job are those of its critical path: of each step, the task that ended last.
//!
//! The lines of all nodes are needed: a job is accepted by one node and scheduled by another. They may come in any order.
//! Lines of other programs, and events that are not known here, are ignored.
//!
//! # Example
//!
//! ```
//! use explain::{History, Phase, Report, ReportConfig};
//!
//! let log = "\
//! t=10200 level=INFO node=n1 part=cluster::entry event=accepted job=a1 queue=desk steps=1 objective_ms=1500 ms=200
//! t=11000 level=INFO node=n2 part=cluster::lead event=started task=a1.0.0.0 run=1 ms=10 decided_ms=300
//! t=12000 level=INFO node=n2 part=cluster::lead event=ended task=a1.0.0.0 run=1 how=Done
//! t=12100 level=INFO node=n2 part=cluster::lead event=state job=a1 state=Completed
//! ";
//! let mut history = History::default();
//! history.read(log.as_bytes()).unwrap();
//! let report = Report::new(&history, &ReportConfig::default());
//! assert_eq!(report.late, 1);
//! assert_eq!(report.queues["desk"].phases[&Phase::Acceptance], 200);
//! assert_eq!(report.queues["desk"].phases[&Phase::StartStorage], 300);
//! ```

mod gaps;
mod history;
mod line;
mod phases;
mod report;

pub use crate::{
    history::History,
    phases::{Account, Outcome, Phase},
    report::{QueueReport, Report, ReportConfig, WindowReport},
};
