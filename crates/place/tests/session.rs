//! A snapshot of all decisions in a session on six workers.

mod world;

use std::{fmt::Write, time::Duration};

use model::{Class, TaskId, UnitId, Usage};
use place::{Decision, PlaceConfig, TaskEnd};

use world::{World, batch, gang, service, size, unit};

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::Start { task, worker, size } => format!("start {task} on {worker} with {size}"),
        Decision::Stop { task, worker } => format!("stop {task} on {worker}"),
        Decision::Checkpoint { task, worker } => format!("checkpoint {task} on {worker}"),
        Decision::Throttle {
            task,
            worker,
            milli_processors,
        } => {
            format!("throttle {task} on {worker} to {milli_processors}")
        }
        Decision::Explain {
            unit,
            reason: Some(e),
        } => format!("{unit} can't run: {e}"),
        Decision::Explain { unit, reason: None } => format!("{unit} can run"),
    }
}

/// Guards against unintended changes of any decision, from placement over preemption, growth and
/// worker loss to cancellation.
#[test]
fn a_day_in_a_small_cell() {
    let cfg = PlaceConfig {
        bulk_reservation_delay: Duration::from_secs(10),
        ..PlaceConfig::default()
    };
    let mut world = World::new(cfg, 5, size(16, 64, 0));
    world.add_worker(5, size(16, 64, 2));
    let mut text = String::new();
    let mut seen = 0;
    let mut record = |world: &World, heading: &str| {
        writeln!(text, "-- {heading}").unwrap();
        for (at, decision) in &world.decisions[seen..] {
            writeln!(text, "{at} {}", describe(decision)).unwrap();
        }
        seen = world.decisions.len();
    };
    world
        .submit(&unit(
            "lookup",
            Class::Interactive,
            service(3),
            size(2, 4, 0),
        ))
        .unwrap();
    world
        .submit(&unit("rebuild", Class::Bulk, batch(14), size(6, 8, 0)))
        .unwrap();
    world.run_for(Duration::from_secs(2));
    record(&world, "a service, and bulk work for all workers");
    world
        .submit(&unit("study", Class::Standard, gang(3), size(12, 8, 0)))
        .unwrap();
    world.run_for(Duration::from_secs(9));
    record(&world, "a job whose tasks start together");
    world
        .submit(&unit(
            "counter",
            Class::Interactive,
            batch(2),
            size(4, 4, 0),
        ))
        .unwrap();
    world.run_for(Duration::from_secs(3));
    record(&world, "urgent work");
    let grower = TaskId::new(&UnitId::new("counter"), 0);
    let usage = Usage {
        milli_processors: 9_000,
        memory_mb: 50 * 1_024,
    };
    world.placer.report_usage(world.now, &grower, usage);
    world.run_for(Duration::from_secs(3));
    record(&world, "an urgent task that uses more than it said");
    let replica = world.running_of("lookup")[1].0.clone();
    let lost = world.running[&replica].worker;
    let tasks = world.running.iter().filter(|(_, r)| r.worker == lost);
    let tasks: Vec<TaskId> = tasks.map(|(task, _)| task.clone()).collect();
    world.set_open(lost.0, false);
    for task in tasks {
        world.end(&task, TaskEnd::Lost);
    }
    world.run_for(Duration::from_secs(3));
    record(&world, "a worker is lost");
    world.cancel("rebuild");
    world.run_for(Duration::from_secs(3));
    record(&world, "the bulk work is cancelled");
    world.run_for(Duration::from_secs(120));
    record(&world, "until all is done");
    insta::assert_snapshot!(text);
}
