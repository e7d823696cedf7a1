//! What control costs a node, by slope over the sizes of a domain and of the fleet.
//!
//! Drives real nodes over the stand-in platform on virtual time, with in-memory links, and counts their
//! calls, messages and bytes. `cpu` figures are the time spent in the nodes' decisions alone; the example
//! `real_domain` of crate `cli` measures whole processes.

#![expect(
    clippy::cast_precision_loss,
    reason = "counts of a minute are far below 2^52"
)]

mod fleet;
mod load;
mod wire;

use std::time::Duration;

use crate::{
    fleet::{Fleet, Role, Size},
    wire::Overhead,
};

/// The load runs for this long before anything is counted.
const WARM_UP: Duration = Duration::from_secs(90);
/// How long is counted.
const COUNTED: Duration = Duration::from_secs(60);

/// The two-year target: 10 domains of 8 nodes and 120 workers.
const TARGET: Size = Size {
    domains: 10,
    nodes: 8,
    workers: 120,
};

/// The target's bounds for a node.
const CPU_BOUND_PERCENT: f64 = 3.4;
const BYTES_BOUND_PER_S: f64 = 17_000.0;

fn main() {
    // `cargo bench` passes flags that mean nothing here.
    let overhead = Overhead::measure();
    println!("figure http_request_overhead {} bytes", overhead.request);
    println!("figure http_answer_overhead {} bytes", overhead.answer);
    for workers in [30, 60, 120] {
        let size = Size {
            domains: 2,
            workers,
            ..TARGET
        };
        run(&format!("workers{workers}"), size, overhead);
    }
    for domains in [2, 5, 10] {
        let size = Size { domains, ..TARGET };
        run(&format!("domains{domains}"), size, overhead);
    }
}

fn run(name: &str, size: Size, overhead: Overhead) {
    let mut fleet = Fleet::new(size, overhead);
    fleet.run_until(WARM_UP);
    fleet.reset_counts();
    fleet.run_until(WARM_UP + COUNTED);
    let seconds = COUNTED.as_secs_f64();
    let running = fleet.running();
    println!("figure {name}_running {running} tasks");
    let starts = fleet.starts_between(WARM_UP, WARM_UP + COUNTED);
    println!("figure {name}_starts {:.1} per_s", starts as f64 / seconds);
    for role in [Role::Scheduler, Role::Member] {
        let costs = fleet.mean_costs(role);
        let label = role.as_str();
        let cpu = costs.cpu.as_secs_f64() / seconds * 100.0;
        let bytes = costs.bytes() as f64 / seconds;
        println!("figure {name}_{label}_cpu {cpu:.3} percent");
        println!("figure {name}_{label}_bytes {bytes:.0} per_s");
        println!(
            "figure {name}_{label}_peer_bytes {:.0} per_s",
            costs.peer as f64 / seconds
        );
        println!(
            "figure {name}_{label}_table_bytes {:.0} per_s",
            costs.table as f64 / seconds
        );
        println!(
            "figure {name}_{label}_worker_bytes {:.0} per_s",
            costs.worker as f64 / seconds
        );
        println!(
            "figure {name}_{label}_vms_bytes {:.0} per_s",
            costs.vms as f64 / seconds
        );
        println!(
            "figure {name}_{label}_messages {:.1} per_s",
            costs.messages as f64 / seconds
        );
        if size == TARGET {
            verdict(label, "cpu", cpu, CPU_BOUND_PERCENT);
            verdict(label, "bytes", bytes, BYTES_BOUND_PER_S);
        }
    }
    let (reads, writes) = fleet.table_calls();
    println!(
        "figure {name}_table_reads {:.1} per_s",
        reads as f64 / seconds
    );
    println!(
        "figure {name}_table_writes {:.1} per_s",
        writes as f64 / seconds
    );
}

fn verdict(role: &str, what: &str, value: f64, bound: f64) {
    let within = if value <= bound { "within" } else { "OVER" };
    println!("{role} {what}: {value:.2} is {within} the bound of {bound}");
}
