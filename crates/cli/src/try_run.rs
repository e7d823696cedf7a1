//! `lacewing try`: operator files on an embedded cell.

use std::{fmt::Write as _, time::Duration};

use fakes::{FaultLevel, PlatformSpec};
use model::{NodeId, Time};
use node::api::{FileText, OperatorReq, OperatorResp, Submitter, TaskPhase, UnitStatus};

use crate::{Cell, CellConfig};

/// The cell's nodes have their leases by then.
const PUBLISH_AT: Duration = Duration::from_secs(2);
/// How often the run is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(5);
/// The longest run.
const RUN_MAX: Duration = Duration::from_secs(900);

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct TryOptions {
    /// All that is random depends on it. 1 by default.
    pub seed: u64,
    /// How many workers there are. 12 by default.
    pub workers: u32,
    /// How many faults there are. None by default.
    pub faults: FaultLevel,
}

impl Default for TryOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            workers: 12,
            faults: FaultLevel::None,
        }
    }
}

/// What a run brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TryReport {
    /// The report's text.
    pub text: String,
    /// Whether every promise held and all work came to its end.
    pub ok: bool,
}

/// Runs operator files on an embedded cell, on virtual time.
#[must_use]
pub fn try_files(files: Vec<FileText>, options: TryOptions) -> TryReport {
    let platform = PlatformSpec {
        workers: options.workers,
        ..PlatformSpec::default()
    };
    let mut cell = Cell::new(&CellConfig {
        seed: options.seed,
        faults: options.faults,
        platform,
        ..CellConfig::default()
    });
    cell.run_until(PUBLISH_AT);
    let req = OperatorReq::Publish {
        by: Submitter {
            id: "try".to_owned(),
            author: "try".to_owned(),
        },
        base: None,
        files,
        dry_run: false,
    };
    let published = cell.operator(NodeId(1), req);
    let mut text = String::new();
    match published {
        Some(OperatorResp::Done { message, .. }) => {
            line(&mut text, &format!("published: {message}"));
        }
        Some(OperatorResp::Failed { message, .. }) => {
            line(&mut text, &format!("not published: {message}"));
            return TryReport { text, ok: false };
        }
        Some(_) | None => {
            line(&mut text, "not published: no answer");
            return TryReport { text, ok: false };
        }
    }
    let units = run_to_end(&mut cell);
    let settled = !units.is_empty() && units.iter().all(is_settled);
    for unit in &units {
        line(&mut text, &unit_line(unit));
    }
    let broken = cell.broken_promises();
    for promise in &broken {
        line(&mut text, &format!("BROKEN: {promise}"));
    }
    let seconds = cell.now().since(Time::ZERO).as_secs();
    line(
        &mut text,
        &format!("{} units, {seconds} s of virtual time", units.len()),
    );
    line(
        &mut text,
        if broken.is_empty() {
            "every promise held"
        } else {
            "a promise was broken"
        },
    );
    TryReport {
        text,
        ok: broken.is_empty() && settled,
    }
}

fn run_to_end(cell: &mut Cell) -> Vec<UnitStatus> {
    loop {
        let next = cell.now() + LOOK_EVERY;
        cell.run_until(next.since(Time::ZERO));
        let units = match cell.operator(NodeId(1), OperatorReq::Status { name: None }) {
            Some(OperatorResp::Status(units)) => units,
            _ => Vec::new(),
        };
        let settled = !units.is_empty() && units.iter().all(is_settled);
        if settled || cell.now() >= Time::ZERO + RUN_MAX {
            return units;
        }
    }
}

/// Whether a service runs whole, or other work is over.
fn is_settled(unit: &UnitStatus) -> bool {
    let running = |phase| matches!(phase, TaskPhase::Running { .. });
    let is_service = unit.id.contains('@');
    unit.tasks.iter().all(|task| match task.phase {
        TaskPhase::Waiting => false,
        phase if running(phase) => is_service,
        _ => true,
    })
}

/// The line that shows a unit and how many of its tasks are in each phase.
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
    let mut text = format!("{:<28} {:<4}", unit.id, unit.home);
    for (name, count) in names.iter().zip(counts).filter(|(_, count)| *count > 0) {
        let _ = write!(text, " {count} {name}");
    }
    if !unit.reason.is_empty() {
        let _ = write!(text, " ({})", unit.reason);
    }
    text
}

fn line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
