//! The report of a run, as text and as JSON.

use std::fmt;

use node::api::{TaskPhase, UnitStatus};
use serde::Serialize;

use super::Figures;

/// The report of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct TryReport {
    /// The node's message about the publication, or the reason why nothing was published.
    pub published: String,
    /// The units of work and their state.
    pub units: Vec<UnitStatus>,
    /// Whether all work has ended and all replicas run.
    pub settled: bool,
    /// The promises that were broken, one line each.
    pub broken: Vec<String>,
    /// The measured figures.
    pub figures: Figures,
    /// The virtual time that the run took, in seconds.
    pub seconds: u64,
    /// The event log, one line for each event. It is not part of the text report.
    pub log: Vec<String>,
}

impl TryReport {
    pub(crate) fn not_published(reason: &str) -> Self {
        Self {
            published: format!("not published: {reason}"),
            ..Self::default()
        }
    }

    /// Returns whether no promise was broken and all work was settled.
    #[must_use]
    pub const fn is_ok(&self) -> bool {
        self.broken.is_empty() && self.settled
    }
}

impl fmt::Display for TryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "published: {}", self.published)?;
        for unit in &self.units {
            writeln!(f, "{}", unit_line(unit))?;
        }
        let (count, seconds) = (self.units.len(), self.seconds);
        writeln!(f, "{count} units, {seconds} s of virtual time")?;
        self.figures.fmt_into(f)?;
        for promise in &self.broken {
            writeln!(f, "BROKEN: {promise}")?;
        }
        if !self.settled {
            writeln!(f, "some work did not come to its end")?;
        }
        if self.broken.is_empty() {
            writeln!(f, "every promise held")
        } else {
            writeln!(f, "a promise was broken")
        }
    }
}

impl Figures {
    fn fmt_into(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for waits in &self.waits {
            writeln!(
                f,
                "waiting time  {:<12} {:<9} p50 {:>7} ms  p99 {:>7} ms  of {}",
                waits.class, waits.what, waits.p50_ms, waits.p99_ms, waits.count
            )?;
        }
        let processors = self.milli_processors_per_worker_in_use;
        writeln!(
            f,
            "packing       {}.{:03} processors held per worker in use, {} % of it",
            processors / 1_000,
            processors % 1_000,
            self.packing_percent
        )?;
        writeln!(
            f,
            "control       {} messages between nodes, {} calls to workers, {} reads and {} writes \
             of the table",
            self.peer_messages, self.worker_calls, self.table_reads, self.table_writes
        )?;
        let verdicts = &self.verdicts;
        writeln!(
            f,
            "requests      {} ran, {} not run, {} may have run, {} without an answer, {} passed on \
             to another region",
            verdicts.ran,
            verdicts.not_run,
            verdicts.may_have_run,
            verdicts.no_answer,
            self.cross_region_requests
        )
    }
}

/// Returns the line that shows a unit and the number of its tasks in each phase.
#[must_use]
pub fn unit_line(unit: &UnitStatus) -> String {
    let mut counts = [0_u32; 5];
    for task in &unit.tasks {
        let i = match task.phase {
            TaskPhase::Waiting => 0,
            TaskPhase::Running { .. } => 1,
            TaskPhase::Succeeded => 2,
            TaskPhase::Failed => 3,
            TaskPhase::Cancelled => 4,
        };
        counts[i] += 1;
    }
    let names = ["waiting", "running", "succeeded", "failed", "cancelled"];
    let parts = names.iter().zip(counts).filter(|(_, count)| *count > 0);
    let mut text = format!("{:<28} {:<4}", unit.id, unit.home);
    for (name, count) in parts {
        text.push_str(&[" ", &count.to_string(), " ", name].concat());
    }
    if !unit.reason.is_empty() {
        text.push_str(&[" (", &unit.reason, ")"].concat());
    }
    text
}
