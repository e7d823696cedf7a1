//! `lacewing try`: operator files on an embedded cell.

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

/// The cell's nodes have their leases by then.
const PUBLISH_AT: Duration = Duration::from_secs(2);
/// How often the run is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(5);
/// Callers send requests for at least this time.
const RUN_MIN: Duration = Duration::from_secs(40);
/// A run with faults goes on until the last of them is mended.
const RUN_MIN_WITH_FAULTS: Duration = Duration::from_secs(240);
/// The longest run.
const RUN_MAX: Duration = Duration::from_secs(900);
/// The last requests have their answers after this time.
const LAST_ANSWERS: Duration = Duration::from_secs(15);
/// The most sendings of the publication.
const PUBLISH_TRIES: u32 = 5;
/// The time between two requests to an interactive service.
const INTERACTIVE_EVERY: Duration = Duration::from_millis(60);
/// The time between two requests to another service.
const OTHER_EVERY: Duration = Duration::from_millis(250);
/// How far off declared run times are.
const WRONG_BY: u32 = 2;

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

/// Runs operator files on an embedded cell, on virtual time.
#[must_use]
pub fn try_files(files: &[FileText], options: TryOptions) -> TryReport {
    let catalog = match parse(files) {
        Ok(catalog) => catalog,
        Err(message) => return TryReport::not_published(&message),
    };
    let mut cell = cell(&catalog, options);
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
    let end = cell.now() + LAST_ANSWERS;
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

fn cell(catalog: &Catalog, options: TryOptions) -> Cell {
    let declared: BTreeMap<String, Duration> = catalog
        .units
        .values()
        .filter(|unit| !unit.run_time.is_zero())
        .map(|unit| (unit.name.clone(), unit.run_time))
        .collect();
    let plan = RunPlan {
        declared,
        declared_error_factor: WRONG_BY,
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

/// Publishes as a careful operator does: again under the same id after an uncertain answer.
fn publish(cell: &mut Cell, files: &[FileText]) -> Result<String, String> {
    let mut last = "no node is ready".to_owned();
    for _ in 0..PUBLISH_TRIES {
        let Some(node) = cell.ready_nodes().first().copied() else {
            let next = cell.now() + LOOK_EVERY;
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
            Some(OperatorResp::Failed { message, .. }) => last = message,
            _ => "no answer".clone_into(&mut last),
        }
    }
    Err(last)
}

/// Callers' requests to each service.
fn loads(catalog: &Catalog, from: Time) -> Vec<Load> {
    let mut loads = Vec::new();
    for unit in catalog.units.values() {
        if let Kind::Service { requests, .. } = unit.kind {
            let every = match unit.class {
                Class::Interactive => INTERACTIVE_EVERY,
                Class::Standard | Class::Bulk => OTHER_EVERY,
            };
            loads.push(Load {
                service: unit.name.clone(),
                repeat: requests.repeat,
                deadline: requests.deadline,
                mean_interval: every,
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

/// Runs until all work is over and all replicas run. Returns the units, and whether it came to that.
fn run_to_end(
    cell: &mut Cell,
    faults: FaultLevel,
    services: &BTreeSet<&str>,
) -> (Vec<UnitStatus>, bool) {
    let min = match faults {
        FaultLevel::None => RUN_MIN,
        FaultLevel::Some | FaultLevel::Many => RUN_MIN_WITH_FAULTS,
    };
    let mut units = Vec::new();
    loop {
        let next = cell.now() + LOOK_EVERY;
        cell.run_until(next.since(Time::ZERO));
        if let Some(node) = cell.ready_nodes().first().copied()
            && let Some(OperatorResp::Status(now)) =
                cell.call_operator(node, OperatorReq::Status { name: None })
        {
            units = now;
        }
        let listed = services
            .iter()
            .all(|name| units.iter().any(|unit| unit.name == **name));
        let settled = listed && units.iter().all(|unit| is_settled(cell, unit));
        let spent = cell.now().since(Time::ZERO);
        if settled && spent >= min || spent >= RUN_MAX {
            return (units, settled);
        }
    }
}

/// Whether a service runs whole, or other work is over, in the books and as workers see it.
fn is_settled(cell: &Cell, unit: &UnitStatus) -> bool {
    let count = |wanted: fn(TaskPhase) -> bool| {
        let phases = unit.tasks.iter().map(|task| task.phase);
        phases.filter(|phase| wanted(*phase)).count()
    };
    let running = count(|phase| matches!(phase, TaskPhase::Running { .. }));
    // A service's parts are `name@domain`; other work is `name.hash@domain`.
    let waiting = count(|phase| phase == TaskPhase::Waiting);
    if !unit.id.contains('.') {
        return waiting == 0 && running > 0 && cell.running_attempts(&unit.id) == running;
    }
    let succeeded = count(|phase| phase == TaskPhase::Succeeded);
    running + waiting == 0 && cell.succeeded_tasks(&unit.id) >= succeeded
}
