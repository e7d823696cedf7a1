//! `lacewing try`: runs operator files on a simulated cell.

mod figures;
mod report;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::{FaultLevel, PlatformSpec, RunPlan};
use model::{Catalog, Class, Kind, Time};
use node::api::{
    FileText, OperatorReq, OperatorResp, Submitter, TaskPhase, UnitStatus, parse_files,
};

pub use self::{
    figures::{Figures, Verdicts, Waits},
    report::{TryReport, unit_line},
};
use crate::{Cell, CellConfig, Load};

/// When the files are published. The nodes have acquired their leases by then.
const PUBLISH_AT: Duration = Duration::from_secs(2);
/// The interval at which the state of the work is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(5);
/// The shortest run. Callers send requests for at least this time.
const MIN_RUN_TIME: Duration = Duration::from_secs(40);
/// The shortest run with faults. The last fault has ended by then.
const MIN_RUN_TIME_WITH_FAULTS: Duration = Duration::from_secs(240);
/// The longest run.
const MAX_RUN_TIME: Duration = Duration::from_secs(900);
/// How long the cell runs after the end of the load, so that the last requests are answered.
const DRAIN_TIME: Duration = Duration::from_secs(15);
/// The most attempts to publish the files.
const MAX_PUBLISH_ATTEMPTS: u32 = 5;
/// The mean time between two requests to an interactive service.
const INTERACTIVE_INTERVAL: Duration = Duration::from_millis(60);
/// The mean time between two requests to any other service.
const OTHER_INTERVAL: Duration = Duration::from_millis(250);
/// The factor by which actual run times may differ from declared ones.
const RUN_TIME_ERROR_FACTOR: u32 = 2;

/// The options of a run.
#[derive(Clone, Copy, Debug)]
pub struct TryOptions {
    /// The seed of all random decisions. 1 by default.
    pub seed: u64,
    /// The number of workers. 12 by default.
    pub workers: u32,
    /// How many random faults are injected. None by default.
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

/// Runs operator files on a simulated cell, on virtual time.
///
/// If the files are invalid or cannot be published, the report contains the reason and is not ok.
#[must_use]
pub fn try_files(files: &[FileText], options: TryOptions) -> TryReport {
    let catalog = match parse(files) {
        Ok(catalog) => catalog,
        Err(message) => return TryReport::not_published(&message),
    };
    let mut cell = new_cell(&catalog, options);
    cell.run_until(PUBLISH_AT);
    let message = match publish(&mut cell, files) {
        Ok(message) => message,
        Err(message) => return TryReport::not_published(&message),
    };
    let published = cell.now();
    for load in loads(&catalog, published) {
        cell.start_load(load);
    }
    let (units, settled) = run_to_end(&mut cell, options.faults, &service_names(&catalog));
    cell.stop_load();
    let end = cell.now() + DRAIN_TIME;
    cell.run_until(end.since(Time::ZERO));
    let records = cell.records();
    TryReport {
        published: message,
        settled,
        figures: Figures::of(&records, &catalog, published, cell.costs()),
        broken: crate::broken_promises(&records),
        seconds: cell.now().since(Time::ZERO).as_secs(),
        units,
        log: cell.log().to_vec(),
    }
}

fn parse(files: &[FileText]) -> Result<Catalog, String> {
    parse_files(files).map_err(|e| e.to_string())
}

fn new_cell(catalog: &Catalog, options: TryOptions) -> Cell {
    let declared: BTreeMap<String, Duration> = catalog
        .units
        .values()
        .filter(|unit| !unit.run_time.is_zero())
        .map(|unit| (unit.name.clone(), unit.run_time))
        .collect();
    let plan = RunPlan {
        declared,
        declared_error_factor: RUN_TIME_ERROR_FACTOR,
        usage_min_percent: 40,
        usage_max_percent: 130,
        seed: options.seed,
        ..RunPlan::default()
    };
    let platform = PlatformSpec {
        workers: options.workers,
        plan,
        ..PlatformSpec::default()
    };
    Cell::new(&CellConfig {
        seed: options.seed,
        faults: options.faults,
        platform,
        ..CellConfig::default()
    })
}

/// Publishes the files. If the answer is missing or is a failure, publishes again with the same submission id, which
/// makes it the same call.
fn publish(cell: &mut Cell, files: &[FileText]) -> Result<String, String> {
    let mut last_error = "no node is ready".to_owned();
    for _ in 0..MAX_PUBLISH_ATTEMPTS {
        let Some(node) = cell.ready_nodes().first().copied() else {
            let next = cell.now() + POLL_INTERVAL;
            cell.run_until(next.since(Time::ZERO));
            continue;
        };
        let req = OperatorReq::Publish {
            by: Submitter {
                id: "try-1".to_owned(),
                author: "try".to_owned(),
            },
            base: None,
            files: files.to_vec(),
            dry_run: false,
        };
        match cell.call_operator(node, req) {
            Some(OperatorResp::Done { message, .. }) => return Ok(message),
            Some(OperatorResp::Failed { message, .. }) => last_error = message,
            _ => "no answer".clone_into(&mut last_error),
        }
    }
    Err(last_error)
}

/// Returns a load of callers' requests for each service.
fn loads(catalog: &Catalog, from: Time) -> Vec<Load> {
    let mut loads = Vec::new();
    for unit in catalog.units.values() {
        if let Kind::Service { requests, .. } = unit.kind {
            let mean_interval = match unit.class {
                Class::Interactive => INTERACTIVE_INTERVAL,
                Class::Standard | Class::Bulk => OTHER_INTERVAL,
            };
            loads.push(Load {
                service: unit.name.clone(),
                repeat: requests.repeat,
                deadline: requests.deadline,
                mean_interval,
                from,
                ..Load::default()
            });
        }
    }
    loads
}

fn service_names(catalog: &Catalog) -> BTreeSet<&str> {
    let services = catalog.units.values().filter(|u| u.kind.is_service());
    services.map(|unit| unit.name.as_str()).collect()
}

/// Runs until all work has ended and all replicas run, or until the run takes too long. Returns the units, and
/// whether all of them are settled.
fn run_to_end(
    cell: &mut Cell,
    faults: FaultLevel,
    services: &BTreeSet<&str>,
) -> (Vec<UnitStatus>, bool) {
    let min = match faults {
        FaultLevel::None => MIN_RUN_TIME,
        FaultLevel::Some | FaultLevel::Many => MIN_RUN_TIME_WITH_FAULTS,
    };
    let mut units = Vec::new();
    loop {
        let next = cell.now() + POLL_INTERVAL;
        cell.run_until(next.since(Time::ZERO));
        if let Some(node) = cell.ready_nodes().first().copied()
            && let Some(OperatorResp::Status(now)) =
                cell.call_operator(node, OperatorReq::Status { name: None })
        {
            units = now;
        }
        let is_listed = services
            .iter()
            .all(|name| units.iter().any(|unit| unit.name == **name));
        let settled = is_listed && units.iter().all(|unit| is_settled(cell, unit));
        let spent = cell.now().since(Time::ZERO);
        if settled && spent >= min || spent >= MAX_RUN_TIME {
            return (units, settled);
        }
    }
}

/// Returns whether all replicas of a service run, or other work has ended, according to both the scheduler and the
/// workers.
fn is_settled(cell: &Cell, unit: &UnitStatus) -> bool {
    let count = |wanted: fn(TaskPhase) -> bool| {
        let phases = unit.tasks.iter().map(|task| task.phase);
        phases.filter(|phase| wanted(*phase)).count()
    };
    let running = count(|phase| matches!(phase, TaskPhase::Running { .. }));
    // The units of a service are named `name@domain`, those of other work `name.hash@domain`.
    let waiting = count(|phase| phase == TaskPhase::Waiting);
    if !unit.id.contains('.') {
        return waiting == 0 && running > 0 && cell.running_attempts(&unit.id) == running;
    }
    let succeeded = count(|phase| phase == TaskPhase::Succeeded);
    running + waiting == 0 && cell.succeeded_tasks(&unit.id) >= succeeded
}
