//! The compact event log of a cell, which the snapshots of whole sessions contain.

use std::{collections::BTreeMap, fmt::Write as _};

use fakes::FakePlatform;
use model::{DomainId, Epoch, Time, WorkerId};
use store::TaskPhase;

/// The number of a unit's runs in each state when the log last examined them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UnitCounts {
    started: u32,
    succeeded: u32,
    failed: u32,
    stopped: u32,
}

/// The event log of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    lines: Vec<String>,
    runs_seen: BTreeMap<WorkerId, usize>,
    units: BTreeMap<String, UnitCounts>,
    epochs: BTreeMap<DomainId, Epoch>,
}

impl Log {
    /// Adds a line with its time.
    pub(crate) fn add(&mut self, now: Time, text: impl AsRef<str>) {
        let at = now.to_string();
        self.lines.push(format!("{at:>9} {}", text.as_ref()));
    }

    pub(crate) fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Logs the scheduling epoch of a call to a domain's workers if it is higher than any before.
    pub(crate) fn record_epoch(&mut self, now: Time, domain: DomainId, epoch: Epoch, by: &str) {
        let last = self.epochs.entry(domain).or_default();
        if epoch > *last {
            *last = epoch;
            self.add(now, format!("{by} schedules {domain} under {epoch}"));
        }
    }

    /// Logs one line for each unit whose tasks started or ended since the last call.
    pub(crate) fn record_progress(&mut self, now: Time, platform: &FakePlatform) {
        let total: usize = platform.workers().map(|worker| worker.runs().len()).sum();
        let seen: usize = self.runs_seen.values().sum();
        if total == seen && self.units.values().all(UnitCounts::is_idle) {
            return;
        }
        let mut counts: BTreeMap<String, UnitCounts> = BTreeMap::new();
        for worker in platform.workers() {
            self.runs_seen.insert(worker.id(), worker.runs().len());
            for run in worker.runs() {
                let unit = counts.entry(run.task.unit.to_string()).or_default();
                unit.count_run(run.phase);
            }
        }
        for (unit, counts) in counts {
            let last = self.units.insert(unit.clone(), counts).unwrap_or_default();
            if last != counts {
                self.add(now, format!("{unit}: {}", counts.describe()));
            }
        }
    }
}

impl UnitCounts {
    fn count_run(&mut self, phase: TaskPhase) {
        self.started += 1;
        match phase {
            TaskPhase::Running | TaskPhase::NotStarted => {}
            TaskPhase::Succeeded => self.succeeded += 1,
            TaskPhase::Failed | TaskPhase::StartFailed => self.failed += 1,
            TaskPhase::Stopped | TaskPhase::Checkpointed | TaskPhase::LeaseLapsed => {
                self.stopped += 1;
            }
        }
    }

    /// Returns whether all runs have ended.
    const fn is_idle(&self) -> bool {
        self.started == self.succeeded + self.failed + self.stopped
    }

    fn describe(&self) -> String {
        let mut text = format!("{} began", self.started);
        let parts = [
            (self.succeeded, "succeeded"),
            (self.failed, "failed"),
            (self.stopped, "stopped"),
        ];
        for (count, name) in parts.into_iter().filter(|(count, _)| *count > 0) {
            // Writing to a string cannot fail.
            let _ = write!(text, ", {count} {name}");
        }
        text
    }
}
