//! A compact log of what happened in a cell, for golden files of whole sessions.

use std::{collections::BTreeMap, fmt::Write as _};

use fakes::FakePlatform;
use model::{DomainId, Epoch, Time, WorkerId};
use store::TaskPhase;

/// How far a unit's tasks were when the log last looked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UnitCounts {
    began: u32,
    succeeded: u32,
    failed: u32,
    lost: u32,
}

/// The log of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    lines: Vec<String>,
    seen: BTreeMap<WorkerId, usize>,
    units: BTreeMap<String, UnitCounts>,
    epochs: BTreeMap<DomainId, Epoch>,
}

impl Log {
    pub(crate) fn add(&mut self, now: Time, what: impl AsRef<str>) {
        let at = now.to_string();
        self.lines.push(format!("{at:>9} {}", what.as_ref()));
    }

    pub(crate) fn lines(&self) -> &[String] {
        &self.lines
    }

    /// Notes under which epoch a domain's workers are called.
    pub(crate) fn called(&mut self, now: Time, domain: DomainId, epoch: Epoch, by: &str) {
        let last = self.epochs.entry(domain).or_default();
        if epoch > *last {
            *last = epoch;
            self.add(now, format!("{by} schedules {domain} under {epoch}"));
        }
    }

    /// Notes units whose tasks began or ended since the last look, a line for each unit.
    pub(crate) fn look(&mut self, now: Time, platform: &FakePlatform) {
        let total: usize = platform.workers().map(|worker| worker.runs().len()).sum();
        let seen: usize = self.seen.values().sum();
        if total == seen && self.units.values().all(UnitCounts::is_idle) {
            return;
        }
        let mut counts: BTreeMap<String, UnitCounts> = BTreeMap::new();
        for worker in platform.workers() {
            self.seen.insert(worker.id(), worker.runs().len());
            for run in worker.runs() {
                let unit = counts.entry(run.task.unit.to_string()).or_default();
                unit.add(run.phase);
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
    fn add(&mut self, phase: TaskPhase) {
        self.began += 1;
        match phase {
            TaskPhase::Running | TaskPhase::NotStarted => {}
            TaskPhase::Succeeded => self.succeeded += 1,
            TaskPhase::Failed | TaskPhase::StartFailed => self.failed += 1,
            TaskPhase::Stopped | TaskPhase::Checkpointed | TaskPhase::LeaseLapsed => self.lost += 1,
        }
    }

    const fn is_idle(&self) -> bool {
        self.began == self.succeeded + self.failed + self.lost
    }

    fn describe(&self) -> String {
        let mut text = format!("{} began", self.began);
        let parts = [
            (self.succeeded, "succeeded"),
            (self.failed, "failed"),
            (self.lost, "stopped"),
        ];
        for (count, name) in parts.into_iter().filter(|(count, _)| *count > 0) {
            // Writing to a string cannot fail.
            let _ = write!(text, ", {count} {name}");
        }
        text
    }
}
