//! Snapshot tests of a domain of three nodes: the messages, and the holders over time.

use std::time::Duration;

use crate::world::{Fault, Mutation, World};
use lease::LeaseConfig;

const STEP: Duration = Duration::from_millis(100);
/// Steps of [`STEP`] in one second.
const STEPS_PER_SECOND: u64 = 10;

/// Returns a domain in which node 0 holds the lease, with an empty log.
fn domain_with_holder() -> World {
    let mut world = World::new(3, LeaseConfig::default(), STEP, Mutation::None);
    world.run(10 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [0]);
    world.log.clear();
    world
}

/// Returns the log followed by the row, after checking that there were never two holders.
fn end(mut world: World) -> String {
    assert!(!world.had_two_holders);
    let row = format!("the row: {}", world.row());
    world.log.push(row);
    world.log.join("\n")
}

/// All nodes start at once. Node 0, the lowest one, must take the lease without a competing claim.
#[test]
fn start() {
    let mut world = World::new(3, LeaseConfig::default(), STEP, Mutation::None);
    world.run(10 * STEPS_PER_SECOND);
    insta::assert_snapshot!(end(world));
}

/// The holder's process dies and starts again. Node 1 must take over and keep the lease.
#[test]
fn holder_crashes() {
    let mut world = domain_with_holder();
    world.step(&[Fault::Crash(0)]);
    world.run(10 * STEPS_PER_SECOND);
    world.step(&[Fault::Restart(0)]);
    world.run(10 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

/// The holder resumes after another node has taken over. It must stop and not take the lease back.
#[test]
fn holder_pauses_past_its_term_and_returns() {
    let mut world = domain_with_holder();
    world.step(&[Fault::Pause(0, 20 * STEPS_PER_SECOND)]);
    world.run(30 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

/// The holder resumes before its term ends. It must keep the lease, and the claim of node 1 must fail.
#[test]
fn holder_pauses_for_less_than_its_term() {
    let mut world = domain_with_holder();
    world.step(&[Fault::Pause(0, 3 * STEPS_PER_SECOND)]);
    world.run(10 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

fn cut_all(steps: u64) -> [Fault; 3] {
    [0, 1, 2].map(|i| Fault::Cut(i, steps))
}

/// No node can reach the table. The members' confirmations must keep the lease valid.
#[test]
fn table_is_out_for_ten_minutes() {
    let mut world = domain_with_holder();
    world.step(&cut_all(600 * STEPS_PER_SECOND));
    world.run(620 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

/// The holder dies while no node can reach the table. Node 1 must take over with a local epoch.
#[test]
fn table_is_out_for_ten_minutes_and_the_holder_dies() {
    let mut world = domain_with_holder();
    world.step(&cut_all(600 * STEPS_PER_SECOND));
    world.run(60 * STEPS_PER_SECOND);
    world.step(&[Fault::Crash(0)]);
    world.run(600 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

/// The holder alone cannot reach the table. Its requests to peers are still answered on fresh
/// connections, so it must keep the lease.
#[test]
fn holder_alone_is_cut_off_from_the_table() {
    let mut world = domain_with_holder();
    world.step(&[Fault::Cut(0, 60 * STEPS_PER_SECOND)]);
    world.run(70 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

/// The holder hands over before it shuts down. Node 1 must take over without waiting for the term.
#[test]
fn hand_over() {
    let mut world = domain_with_holder();
    world.step(&[Fault::HandOver(0)]);
    world.run(STEPS_PER_SECOND);
    world.step(&[Fault::Crash(0)]);
    world.run(10 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

/// A connection to a peer stops responding during a request. A second connection must bring the
/// answer, so that the renewal succeeds.
#[test]
fn connection_to_a_peer_goes_silent() {
    let mut world = domain_with_holder();
    // The first request of the next renewal is lost, but the second one is not.
    for _ in 0..5 {
        world.step(&[Fault::Lose(0, 1)]);
    }
    world.run(10 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

/// The holder's writes are applied but their replies are lost. When it reads the row, it must
/// recognise its own write and keep the lease.
#[test]
fn lost_reply_to_a_renewal_is_no_conflict() {
    let mut world = domain_with_holder();
    for _ in 0..3 * STEPS_PER_SECOND {
        world.step(&[Fault::LoseReply(0)]);
    }
    world.run(10 * STEPS_PER_SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}
