//! A node's state as operators see it.

use std::collections::BTreeMap;

use model::Size;
use route::RouteDump;
use serde::Serialize;

use super::scheduler::{Scheduler, Worker};
use crate::api::TaskPhase;

/// A node's state, without secrets.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Dump {
    /// The node.
    pub node: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// The time since its start, in milliseconds.
    pub uptime_ms: u64,
    /// Whether callers and operators may be sent to it.
    pub ready: bool,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// The number of reads in which the table named an older configuration than the node has.
    pub stale_heads: u64,
    /// The recalls in force.
    pub recalls: Vec<String>,
    /// The number of changes that are queued or being committed.
    pub unsettled_changes: usize,
    /// The number of transactions sent since the start.
    pub transactions: u64,
    /// The other nodes.
    pub members: BTreeMap<String, MemberDump>,
    /// The free capacity of its domain's workers.
    pub free: Size,
    /// The free capacity of the other failure domains from which a summary came recently.
    pub free_elsewhere: BTreeMap<String, Size>,
    /// Callers' requests.
    pub requests: RouteDump,
    /// The domain's scheduler, if it runs on this node.
    pub scheduler: Option<SchedulerDump>,
}

/// Another node.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct MemberDump {
    /// Its failure domain.
    pub domain: String,
    /// The version of the configuration that it had in force when last heard of.
    pub config_version: u64,
    /// The time since it was last heard of, by this node or another, in milliseconds.
    pub heard_ms_ago: Option<u64>,
}

/// The state of a domain's scheduler.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct SchedulerDump {
    /// The epoch under which it acts.
    pub epoch: String,
    /// Whether it has rebuilt its state after the takeover.
    pub recovered: bool,
    /// Its workers.
    pub workers: BTreeMap<String, WorkerDump>,
    /// The number of known tasks in each phase.
    pub tasks: BTreeMap<&'static str, usize>,
    /// The backend servers that take new requests, as `<service> on <worker>`.
    pub backends: Vec<String>,
}

/// One worker.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkerDump {
    /// Whether it answers.
    pub answers: bool,
    /// Whether it takes new work.
    pub open: bool,
    /// Whether it gets no work after repeated failures of tasks on it.
    pub quarantined: bool,
    /// The number of tasks that run there or are being started.
    pub tasks: usize,
}

impl Scheduler {
    pub(crate) fn dump(&self) -> SchedulerDump {
        let mut tasks = BTreeMap::new();
        for task in self.jobs().values().flat_map(|job| &job.row.tasks) {
            *tasks.entry(phase_name(task.phase)).or_default() += 1;
        }
        let worker = |worker: &Worker| {
            let dump = WorkerDump {
                answers: worker.is_known,
                open: worker.serves(),
                quarantined: self.is_quarantined(worker.spec.id),
                tasks: worker.expected.len(),
            };
            (worker.spec.id.to_string(), dump)
        };
        let backends = self.backends().into_iter();
        SchedulerDump {
            epoch: self.epoch().to_string(),
            recovered: self.is_recovered(),
            workers: self.workers().map(worker).collect(),
            tasks,
            backends: backends
                .map(|backend| format!("{} on {}", backend.service, backend.worker))
                .collect(),
        }
    }
}

/// Returns the name of a phase in dumps.
const fn phase_name(phase: TaskPhase) -> &'static str {
    match phase {
        TaskPhase::Waiting => "waiting",
        TaskPhase::Running { .. } => "running",
        TaskPhase::Succeeded => "succeeded",
        TaskPhase::Failed => "failed",
        TaskPhase::Cancelled => "cancelled",
    }
}
