//! Golden sessions of a domain of three nodes: what was said and who held the lease, when.

use std::time::Duration;

use crate::world::{Fault, Mutation, World};
use lease::LeaseConfig;

const STEP: Duration = Duration::from_millis(100);
const SECOND: u64 = 10;

fn quiet_domain() -> World {
    let mut world = World::new(3, LeaseConfig::default(), STEP, Mutation::None);
    world.run(10 * SECOND);
    assert_eq!(world.holders(), [0]);
    world.log.clear();
    world
}

fn end(mut world: World) -> String {
    assert!(!world.two_holders);
    let row = format!("the row: {}", world.row());
    world.log.push(row);
    world.log.join("\n")
}

#[test]
fn start() {
    let mut world = World::new(3, LeaseConfig::default(), STEP, Mutation::None);
    world.run(10 * SECOND);
    insta::assert_snapshot!(end(world));
}

#[test]
fn holder_crashes() {
    let mut world = quiet_domain();
    world.step(&[Fault::Crash(0)]);
    world.run(10 * SECOND);
    world.step(&[Fault::Restart(0)]);
    world.run(10 * SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

#[test]
fn holder_pauses_past_its_term_and_returns() {
    let mut world = quiet_domain();
    world.step(&[Fault::Pause(0, 20 * SECOND)]);
    world.run(30 * SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

#[test]
fn holder_pauses_for_less_than_its_term() {
    let mut world = quiet_domain();
    world.step(&[Fault::Pause(0, 3 * SECOND)]);
    world.run(10 * SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

fn cut_all(steps: u64) -> [Fault; 3] {
    [0, 1, 2].map(|i| Fault::Cut(i, steps))
}

#[test]
fn table_is_out_for_ten_minutes() {
    let mut world = quiet_domain();
    world.step(&cut_all(600 * SECOND));
    world.run(620 * SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

#[test]
fn table_is_out_for_ten_minutes_and_the_holder_dies() {
    let mut world = quiet_domain();
    world.step(&cut_all(600 * SECOND));
    world.run(60 * SECOND);
    world.step(&[Fault::Crash(0)]);
    world.run(600 * SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

/// One node reaches neither the table nor, over the connections that it had, its peers; its questions
/// on fresh connections are answered.
#[test]
fn holder_alone_is_cut_off_from_the_table() {
    let mut world = quiet_domain();
    world.step(&[Fault::Cut(0, 60 * SECOND)]);
    world.run(70 * SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

#[test]
fn hand_over() {
    let mut world = quiet_domain();
    world.step(&[Fault::HandOver(0)]);
    world.run(SECOND);
    world.step(&[Fault::Crash(0)]);
    world.run(10 * SECOND);
    assert_eq!(world.holders(), [1]);
    insta::assert_snapshot!(end(world));
}

/// A connection to a peer goes silent in the middle of a question: another one brings the answer.
#[test]
fn connection_to_a_peer_goes_silent() {
    let mut world = quiet_domain();
    // The first question of the next renewal is lost, the second one is not.
    for _ in 0..5 {
        world.step(&[Fault::Lose(0, 1)]);
    }
    world.run(10 * SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}

#[test]
fn lost_reply_to_a_renewal_is_no_conflict() {
    let mut world = quiet_domain();
    for _ in 0..3 * SECOND {
        world.step(&[Fault::LoseReply(0)]);
    }
    world.run(10 * SECOND);
    assert_eq!(world.holders(), [0]);
    insta::assert_snapshot!(end(world));
}
