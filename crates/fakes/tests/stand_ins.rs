//! Tests of the stand-ins in memory: run times, lags, crashes, late starts, and the recorded runs.

use std::time::Duration;

use fakes::{
    Backends, FakePlatform, MAX_CONNECTIONS, MAX_RUNNING_REQUESTS, PlatformSpec, RunPlan,
    ServedRequest,
};
use model::{Attempt, Epoch, Size, TaskId, Time, UnitId, WorkerId};
use store::{Command, TaskPhase, TaskStart, VmState, WorkerCall, WorkerReport};

const WORKER: WorkerId = WorkerId(1);

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn platform(plan: RunPlan) -> FakePlatform {
    FakePlatform::new(&PlatformSpec {
        workers: 3,
        plan,
        ..PlatformSpec::default()
    })
}

fn start(unit: &str, start_by: u64, lease_until: u64) -> Command {
    Command::Start(TaskStart {
        task: TaskId::new(&UnitId::new(unit), 0),
        attempt: Attempt(1),
        size: Size::new(1_000, 1_000, 0),
        command: Vec::new(),
        service: String::new(),
        start_by: at(start_by),
        lease_until: at(lease_until),
    })
}

fn call(platform: &mut FakePlatform, now: u64, commands: Vec<Command>) -> Option<WorkerReport> {
    let call = WorkerCall {
        worker: WORKER,
        epoch: Epoch::default(),
        boot: 0,
        since: 0,
        commands,
    };
    platform.call_worker(at(now), &call).ok()
}

fn phase(platform: &mut FakePlatform, now: u64) -> TaskPhase {
    call(platform, now, Vec::new())
        .expect("the worker lives")
        .tasks[0]
        .phase
}

fn declared(seconds: u64, declared_error_factor: u32) -> RunPlan {
    RunPlan {
        declared: [("a".to_owned(), Duration::from_secs(seconds))].into(),
        declared_error_factor,
        ..RunPlan::default()
    }
}

#[test]
fn a_task_succeeds_after_its_declared_run_time() {
    let mut platform = platform(declared(10, 1));
    call(&mut platform, 0, vec![start("a.1", 100, 60_000)]);
    assert_eq!(phase(&mut platform, 9_999), TaskPhase::Running);
    assert_eq!(phase(&mut platform, 10_000), TaskPhase::Succeeded);
    let worker = platform.workers().next().expect("a worker");
    assert_eq!(worker.runs()[0].ended, Some(at(10_000)));
    assert_eq!(worker.peak(), Size::new(1_000, 1_000, 0));
}

/// Guards against run times outside the declared error, and against seeds that have no effect or do not
/// repeat.
#[test]
fn true_run_times_stay_within_the_error_factor_and_depend_on_the_seed() {
    let ends = |seed| {
        let plan = RunPlan {
            seed,
            ..declared(10, 4)
        };
        let mut platform = platform(plan);
        call(&mut platform, 0, vec![start("a.1", 100, 60_000)]);
        platform.advance(at(50_000));
        let worker = platform.workers().next().expect("a worker");
        worker.runs()[0].ended.expect("the run has ended").as_ms()
    };
    let all: Vec<u64> = (0..20).map(ends).collect();
    assert!(
        all.iter().all(|ms| (2_500..=40_000).contains(ms)),
        "{all:?}"
    );
    assert!(all.iter().any(|ms| *ms != all[0]), "{all:?}");
    assert_eq!(all[0], ends(0));
}

/// Guards against a start order that takes effect after its deadline, and a task that outlives its lease.
#[test]
fn a_late_start_is_refused_and_a_lapsed_lease_ends_the_task() {
    let mut late = platform(declared(10, 1));
    call(&mut late, 101, vec![start("a.1", 100, 60_000)]);
    assert_eq!(phase(&mut late, 200), TaskPhase::NotStarted);
    let mut lapsed = platform(declared(10, 1));
    call(&mut lapsed, 0, vec![start("a.1", 100, 5_000)]);
    assert_eq!(phase(&mut lapsed, 5_000), TaskPhase::LeaseLapsed);
}

#[test]
fn usage_is_reported_with_a_lag() {
    let plan = RunPlan {
        usage_min_percent: 150,
        usage_max_percent: 150,
        ..declared(60, 1)
    };
    let mut platform = platform(plan);
    call(&mut platform, 0, vec![start("a.1", 100, 60_000)]);
    let usage = |platform: &mut FakePlatform, now| {
        let report = call(platform, now, Vec::new()).expect("the worker lives");
        report.tasks[0].usage.milli_processors
    };
    assert_eq!(usage(&mut platform, 4_999), 0);
    assert_eq!(usage(&mut platform, 5_000), 1_500);
}

/// Guards against tasks that survive the crash of their worker, and records that the crash deletes.
#[test]
fn a_dead_worker_does_not_answer_and_restarts_without_tasks() {
    let mut platform = platform(declared(60, 1));
    call(&mut platform, 0, vec![start("a.1", 100, 60_000)]);
    platform.worker_mut(WORKER).expect("a worker").die(at(10));
    assert_eq!(call(&mut platform, 20, Vec::new()), None);
    platform.worker_mut(WORKER).expect("a worker").restart();
    let report = call(&mut platform, 30, Vec::new()).expect("the worker lives");
    assert!(report.tasks.is_empty());
    let worker = platform.workers().next().expect("a worker");
    assert_eq!(worker.runs()[0].ended, Some(at(10)));
}

#[test]
fn the_vm_list_shows_changes_after_its_lag() {
    let mut platform = platform(RunPlan::default());
    let domain = "d1".parse().expect("a name");
    platform.vm_list.set_leaving(at(1_000), WORKER);
    platform.vm_list.set_gone(at(5_000), WORKER);
    let shown = |now| platform.vms(at(now), domain).first().map(|vm| vm.state);
    assert_eq!(shown(2_999), Some(VmState::Live));
    assert_eq!(shown(3_000), Some(VmState::Leaving));
    assert_eq!(shown(6_999), Some(VmState::Leaving));
    assert_eq!(shown(7_000), None);
}

#[test]
fn backend_servers_limit_running_requests_and_connections() {
    let mut backends = Backends::default();
    let served = |id: u32| ServedRequest {
        worker: WORKER,
        service: "a".to_owned(),
        id: id.to_string(),
        key: None,
        began: at(1),
        ended: None,
    };
    let open: Vec<_> = (0..MAX_RUNNING_REQUESTS)
        .map(|id| backends.begin(served(id)))
        .collect();
    assert!(open.iter().all(Option::is_some));
    assert_eq!(backends.begin(served(MAX_RUNNING_REQUESTS)), None);
    backends.end(at(5), open[0].expect("the request began"));
    assert!(backends.begin(served(MAX_RUNNING_REQUESTS)).is_some());
    assert_eq!(backends.served()[0].ended, Some(at(5)));
    assert!((0..MAX_CONNECTIONS).all(|_| backends.connect(WORKER)));
    assert!(!backends.connect(WORKER));
    backends.disconnect(WORKER);
    assert!(backends.connect(WORKER));
    assert_eq!(backends.peak_connections(WORKER), MAX_CONNECTIONS);
}
