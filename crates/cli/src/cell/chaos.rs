//! Faults drawn by seed for a whole run.

use std::time::Duration;

use fakes::{FaultLevel, Rng};
use model::{DomainId, NodeId, WorkerId};
use node::api::{FileText, OperatorReq, Submitter};

use super::{Cell, Fault};

/// No fault happens earlier.
const FIRST: Duration = Duration::from_secs(6);
/// No fault happens later.
const LAST: Duration = Duration::from_secs(200);
/// The mean time between two changes of the configuration.
const CHANGE_EVERY: Duration = Duration::from_secs(8);
/// The most workers that are lost for good, as a share of all.
const LOST_SHARE: u32 = 6;

/// Schedules the faults of a whole run.
pub(crate) fn schedule(cell: &mut Cell) {
    let every = match cell.cfg.faults {
        FaultLevel::None => return,
        FaultLevel::Some => Duration::from_secs(25),
        FaultLevel::Many => Duration::from_secs(6),
    };
    let mut draw = Draw {
        rng: Rng::new(cell.cfg.seed ^ 0x6368_616f),
        nodes: cell.places.keys().copied().collect(),
        domains: cell.places.values().map(|place| place.domain).collect(),
        workers: cell.platform.worker_ids(),
        may_lose: cell.cfg.platform.workers / LOST_SHARE,
    };
    schedule_changes(cell, &mut draw);
    let mut at = FIRST;
    while at < LAST {
        if let Some(fault) = draw.fault() {
            let ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            cell.schedule_fault(ms, fault);
        }
        at += draw.rng.span(Duration::from_millis(1), every * 2);
    }
}

/// Schedules changes of the configuration that harm no work, each by two operators at a time.
fn schedule_changes(cell: &mut Cell, draw: &mut Draw) {
    let mut at = FIRST;
    let mut number = 0;
    while at < LAST {
        number += 1;
        for author in ["first", "second"] {
            let Some(node) = pick(&mut draw.rng, &draw.nodes) else {
                return;
            };
            let ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            cell.schedule_operator_call(ms, node, spare_team(author, number));
        }
        at += draw.rng.span(CHANGE_EVERY / 2, CHANGE_EVERY * 3 / 2);
    }
}

/// A team without work, whose quota each operator sets in their own way.
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

struct Draw {
    rng: Rng,
    nodes: Vec<NodeId>,
    domains: Vec<DomainId>,
    workers: Vec<WorkerId>,
    may_lose: u32,
}

impl Draw {
    fn fault(&mut self) -> Option<Fault> {
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
            8 => return self.lose(Fault::WorkerDies(worker), worker),
            9 => return self.lose(Fault::WorkerFailsAll(worker), worker),
            10 => return self.lose(Fault::WorkerLeaves(worker), worker),
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

    /// Only so many workers are lost for good that all work still has room.
    fn lose(&mut self, fault: Fault, worker: WorkerId) -> Option<Fault> {
        self.may_lose = self.may_lose.checked_sub(1)?;
        self.workers.retain(|other| *other != worker);
        Some(fault)
    }
}

fn pick<T: Copy>(rng: &mut Rng, list: &[T]) -> Option<T> {
    let i = rng.below(list.len() as u64);
    list.get(usize::try_from(i).ok()?).copied()
}
