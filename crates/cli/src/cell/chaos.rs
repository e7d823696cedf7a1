//! Random faults and configuration changes for a whole run, generated from the seed.

use std::time::Duration;

use fakes::{FaultLevel, Rng};
use model::{DomainId, NodeId, WorkerId};
use node::api::{FileText, OperatorReq, Submitter};

use super::{Cell, Fault};

/// The time of the first random fault.
const FIRST_FAULT_AT: Duration = Duration::from_secs(6);
/// No random fault occurs at or after this time.
const LAST_FAULT_AT: Duration = Duration::from_secs(200);
/// The mean time between two configuration changes.
const MEAN_CHANGE_INTERVAL: Duration = Duration::from_secs(8);
/// At most the number of workers divided by this fails permanently, so that all work still fits.
const LOST_WORKERS_DIVISOR: u32 = 6;

/// Schedules the random faults and configuration changes of a run, unless the fault level is `None`.
pub(crate) fn schedule(cell: &mut Cell) {
    let mean_interval = match cell.cfg.faults {
        FaultLevel::None => return,
        FaultLevel::Some => Duration::from_secs(25),
        FaultLevel::Many => Duration::from_secs(6),
    };
    let mut generator = FaultGenerator {
        rng: Rng::new(cell.cfg.seed ^ 0x6368_616f),
        nodes: cell.locations.keys().copied().collect(),
        domains: cell
            .locations
            .values()
            .map(|location| location.domain)
            .collect(),
        workers: cell.platform.worker_ids(),
        losses_left: cell.cfg.platform.workers / LOST_WORKERS_DIVISOR,
    };
    schedule_changes(cell, &mut generator);
    let mut at = FIRST_FAULT_AT;
    while at < LAST_FAULT_AT {
        if let Some(fault) = generator.next_fault() {
            let ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            cell.schedule_fault(ms, fault);
        }
        at += generator
            .rng
            .span(Duration::from_millis(1), mean_interval * 2);
    }
}

/// Schedules configuration changes that do not affect any work. Two operators submit each change at the same
/// time, so that their submissions conflict.
fn schedule_changes(cell: &mut Cell, generator: &mut FaultGenerator) {
    let mut at = FIRST_FAULT_AT;
    let mut number = 0;
    while at < LAST_FAULT_AT {
        number += 1;
        for author in ["first", "second"] {
            let Some(node) = pick(&mut generator.rng, &generator.nodes) else {
                return;
            };
            let ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            cell.schedule_operator_call(ms, node, spare_team(author, number));
        }
        at += generator
            .rng
            .span(MEAN_CHANGE_INTERVAL / 2, MEAN_CHANGE_INTERVAL * 3 / 2);
    }
}

/// Returns a call that publishes a team without work. The quota depends on the operator.
fn spare_team(author: &str, number: u32) -> OperatorReq {
    let quota = number * 10 + u32::from(author == "first");
    let text = format!(
        "[team]\nname = \"spare\"\nquota = {{ processors = {quota}.0, memory_mb = 1000 }}\n"
    );
    OperatorReq::Publish {
        by: Submitter {
            id: format!("{author}-{number}"),
            author: author.to_owned(),
        },
        base: None,
        files: vec![FileText {
            path: "spare/lacewing.toml".to_owned(),
            text,
        }],
        dry_run: false,
    }
}

/// Generates random faults.
struct FaultGenerator {
    rng: Rng,
    nodes: Vec<NodeId>,
    domains: Vec<DomainId>,
    workers: Vec<WorkerId>,
    /// How many more workers may fail permanently.
    losses_left: u32,
}

impl FaultGenerator {
    /// Draws a fault. Returns `None` if the fault would lose more workers than allowed.
    fn next_fault(&mut self) -> Option<Fault> {
        let short = self
            .rng
            .span(Duration::from_millis(200), Duration::from_secs(4));
        let long = self
            .rng
            .span(Duration::from_secs(4), Duration::from_secs(25));
        let node = pick(&mut self.rng, &self.nodes)?;
        let other = pick(&mut self.rng, &self.nodes)?;
        let domain = pick(&mut self.rng, &self.domains)?;
        let next = pick(&mut self.rng, &self.domains)?;
        let worker = pick(&mut self.rng, &self.workers)?;
        Some(match self.rng.below(18) {
            0 | 1 => Fault::Crash(node),
            2 => Fault::Pause(node, short),
            3 => Fault::Pause(node, long),
            4 => Fault::Shutdown(node),
            5 => Fault::WorkerRestarts(worker),
            6 => Fault::WorkerPauses(worker, short),
            7 => Fault::WorkerPauses(worker, long),
            8 => return self.lose_worker(Fault::WorkerDies(worker), worker),
            9 => return self.lose_worker(Fault::WorkerFailsAll(worker), worker),
            10 => return self.lose_worker(Fault::WorkerLeaves(worker), worker),
            11 => Fault::CutFromPlatform(domain, long),
            12 => Fault::CutFromPeers(domain, long),
            13 => Fault::CutBetween(domain, next, long),
            14 => Fault::TableDown(long),
            15 => Fault::TableSlow(long),
            16 => Fault::TableRepliesLost(short),
            _ if node == other => Fault::BackendSilent(worker, short),
            _ => Fault::LinkSilent(node, other),
        })
    }

    /// Returns the fault and excludes its worker from later ones, if another worker may be lost.
    fn lose_worker(&mut self, fault: Fault, worker: WorkerId) -> Option<Fault> {
        self.losses_left = self.losses_left.checked_sub(1)?;
        self.workers.retain(|other| *other != worker);
        Some(fault)
    }
}

fn pick<T: Copy>(rng: &mut Rng, list: &[T]) -> Option<T> {
    let i = rng.below(list.len() as u64);
    list.get(usize::try_from(i).ok()?).copied()
}
