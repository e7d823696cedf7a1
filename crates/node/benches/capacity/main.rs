//! Measures the cost of the control plane per node, for several sizes of a domain and of the fleet.
//!
//! Runs real nodes over the fake platform on virtual time, with in-memory links, and counts their calls,
//! messages and bytes. The `cpu` figures include only the time spent in the nodes' state machines; the
//! example `real_domain` of crate `cli` measures whole processes.

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

/// The virtual time before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(90);
/// The measured virtual time.
const MEASURED: Duration = Duration::from_secs(60);

/// The two-year target: 10 domains of 8 nodes and 120 workers.
const TARGET: Size = Size {
    domains: 10,
    nodes: 8,
    workers: 120,
};

/// The target's limit of processor time for a node, in percent of one processor.
const CPU_BOUND_PERCENT: f64 = 3.4;
/// The target's limit of traffic for a node, in bytes per second.
const BYTES_BOUND_PER_S: f64 = 17_000.0;

fn main() {
    // The flags that `cargo bench` passes are ignored.
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
    fleet.run_until(WARM_UP + MEASURED);
    let seconds = MEASURED.as_secs_f64();
    let running = fleet.running();
    println!("figure {name}_running {running} tasks");
    let starts = fleet.starts_between(WARM_UP, WARM_UP + MEASURED);
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
            print_bound_check(label, "cpu", cpu, CPU_BOUND_PERCENT);
            print_bound_check(label, "bytes", bytes, BYTES_BOUND_PER_S);
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

/// Prints whether a value is within its limit.
fn print_bound_check(role: &str, metric: &str, value: f64, bound: f64) {
    let relation = if value <= bound { "within" } else { "OVER" };
    println!("{role} {metric}: {value:.2} is {relation} the bound of {bound}");
}
