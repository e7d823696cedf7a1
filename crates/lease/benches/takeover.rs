//! Measures on virtual time how long a domain is without a scheduler after the holder's VM dies, after
//! its process dies, and after a hand-over. The baseline uses the table alone.
//!
//! The bench runs real lease machines in a simulated domain without network latency. It also counts
//! messages and row writes.

#[path = "../tests/domain/world.rs"]
#[expect(dead_code, reason = "the tests use the rest of it")]
mod world;

use std::time::Duration;

use lease::LeaseConfig;
use world::{Fault, Mutation, World};

const STEP: Duration = Duration::from_millis(100);
/// Steps of [`STEP`] in one second.
const STEPS_PER_SECOND: u64 = 10;
const NODE_COUNTS: [usize; 3] = [2, 4, 8];

/// Returns the mean and the longest time without a holder, in seconds, over faults at each step of a
/// renewal interval.
fn takeover_s(nodes: usize, mutation: Mutation, fault: Fault) -> (f64, f64) {
    let spans: Vec<f64> = (0..2 * STEPS_PER_SECOND)
        .map(|phase| {
            let mut world = World::new(nodes, LeaseConfig::default(), STEP, mutation);
            world.is_log_disabled = true;
            world.run(30 * STEPS_PER_SECOND + phase);
            assert_eq!(world.holders(), [0]);
            let since = world.now;
            world.step(&[fault]);
            while world.holders().iter().all(|i| *i == 0) {
                world.step(&[]);
            }
            assert!(!world.had_two_holders);
            steps_to_seconds(world.now - since)
        })
        .collect();
    let n = f64::from(u32::try_from(spans.len()).expect("few runs"));
    let longest = spans.iter().copied().fold(0.0, f64::max);
    (spans.iter().sum::<f64>() / n, longest)
}

fn steps_to_seconds(steps: u64) -> f64 {
    let steps = u32::try_from(steps).expect("a short run");
    (STEP * steps).as_secs_f64()
}

/// Returns the messages and row writes per second of a domain without faults.
fn idle_rates(nodes: usize) -> (f64, f64) {
    let mut world = World::new(nodes, LeaseConfig::default(), STEP, Mutation::None);
    world.is_log_disabled = true;
    world.run(30 * STEPS_PER_SECOND);
    let (messages, writes) = (world.messages, world.writes);
    world.run(600 * STEPS_PER_SECOND);
    let per_s = |n: u64| f64::from(u32::try_from(n).expect("a short run")) / 600.0;
    (
        per_s(world.messages - messages),
        per_s(world.writes - writes),
    )
}

fn main() {
    let vm_dies = Fault::Freeze(0, 1_000 * STEPS_PER_SECOND);
    let cases = [
        ("vm_death", vm_dies),
        ("process_death", Fault::Crash(0)),
        ("hand_over", Fault::HandOver(0)),
    ];
    for nodes in NODE_COUNTS {
        for (name, fault) in cases {
            let (mean, longest) = takeover_s(nodes, Mutation::None, fault);
            println!("figure takeover_s/{name}/{nodes}_nodes {mean:.2} s");
            println!("figure takeover_longest_s/{name}/{nodes}_nodes {longest:.2} s");
        }
        let (mean, longest) = takeover_s(nodes, Mutation::TableOnly, Fault::Crash(0));
        println!("figure takeover_s/table_alone/{nodes}_nodes {mean:.2} s");
        println!("figure takeover_longest_s/table_alone/{nodes}_nodes {longest:.2} s");
    }
    let rates = NODE_COUNTS.map(idle_rates);
    for (nodes, (messages, writes)) in NODE_COUNTS.iter().zip(rates) {
        println!("figure lease_messages_per_s/{nodes}_nodes {messages:.2} 1/s");
        println!("figure lease_row_writes_per_s/{nodes}_nodes {writes:.2} 1/s");
    }
    let slope = (rates[2].0 - rates[0].0) / 6.0;
    println!("figure lease_messages_per_s_per_node {slope:.2} 1/s");
}
