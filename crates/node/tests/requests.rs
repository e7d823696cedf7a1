//! Tests of callers' requests on the state machines of nodes, with virtual time: snapshots of sessions,
//! and invariants under faults that are drawn from seeds.

#[path = "requests/world.rs"]
mod world;

use std::{collections::BTreeMap, time::Duration};

use fakes::{FaultLevel, Rng};
use model::{Time, Verdict, WorkerId};

use self::world::World;

const MS: Duration = Duration::from_millis(1);

fn session(world: &World) -> String {
    world.log.join("\n")
}

/// Guards against a second run of a request that must not be repeated, when its caller has lost the
/// answer and resends it to another node. The stored answer is returned instead.
#[test]
fn a_resend_after_a_lost_answer() {
    let mut world = World::new(1, FaultLevel::None, 2, 1);
    world.run_for(3_500 * MS);
    // The connection of the caller breaks, and the resend goes to the other node.
    world.send(0, "send", "reminder-7");
    world.run_for(60 * MS);
    world.send(1, "send", "reminder-7");
    world.run_for(1_000 * MS);
    world.send(1, "send", "reminder-7");
    world.run_for(1_000 * MS);
    insta::assert_snapshot!(session(&world));
}

/// Guards against requests that hang during an outage of the table: those that must not be repeated are
/// refused as not run, the others are served, and a resend after the outage runs.
#[test]
fn an_outage_of_the_table() {
    let mut world = World::new(1, FaultLevel::None, 1, 1);
    world.run_for(500 * MS);
    world.faults.cut(Time::from_ms(4_000));
    for i in 0..4 {
        world.send(0, "send", &format!("reminder-{i}"));
        world.send(0, "lookup", &format!("due-{i}"));
        world.run_for(400 * MS);
    }
    world.run_for(3_000 * MS);
    world.send(0, "send", "reminder-0");
    world.run_for(1_000 * MS);
    insta::assert_snapshot!(session(&world));
}

/// Guards against a resend that is answered not run while its first request is open at the same node.
#[test]
fn a_resend_is_called_not_run_while_its_first_request_is_open() {
    let mut world = World::new(1, FaultLevel::None, 1, 1);
    world.run_for(500 * MS);
    world.run_time = (1_500 * MS, 1_501 * MS);
    let running = world.send(0, "send", "reminder-1");
    world.run_for(100 * MS);
    assert_eq!(world.tries[running].runs, 1);
    world.run_time = (20 * MS, 21 * MS);
    world.loses_replies = true;
    let claiming = world.send(0, "send", "reminder-2");
    world.run_for(700 * MS);
    let verdict = |world: &World, id: usize| world.tries[id].answers.first().map(|(v, _)| *v);
    assert_eq!(verdict(&world, running), None);
    assert_eq!(verdict(&world, claiming), None);
    let resends = [
        world.send(0, "send", "reminder-1"),
        world.send(0, "send", "reminder-2"),
    ];
    let other = world.send(0, "send", "reminder-3");
    world.run_for(50 * MS);
    let may_have_run = Some(Verdict::MayHaveRun);
    let seen = resends.map(|id| verdict(&world, id));
    assert_eq!(seen, [may_have_run; 2], "{}", session(&world));
    assert_eq!(verdict(&world, other), Some(Verdict::NotRun));
    world.loses_replies = false;
    world.run_for(3_000 * MS);
    for first in [running, claiming] {
        assert_eq!(verdict(&world, first), Some(Verdict::Ran));
    }
    check(&world, 1);
}

/// Guards against a resend to the same node that is answered "may have run" after the caller has had the answer, because
/// the table has not confirmed the stored answer yet.
#[test]
fn a_resend_gets_the_answer_while_it_is_being_stored() {
    let mut world = World::new(1, FaultLevel::None, 1, 1);
    world.run_for(500 * MS);
    world.run_time = (200 * MS, 201 * MS);
    let first = world.send(0, "send", "reminder-1");
    world.run_for(100 * MS);
    assert_eq!(world.tries[first].runs, 1);
    world.loses_replies = true;
    world.run_for(200 * MS);
    let verdict = |world: &World, id: usize| world.tries[id].answers.first().map(|(v, _)| *v);
    assert_eq!(verdict(&world, first), Some(Verdict::Ran));
    let resend = world.send(0, "send", "reminder-1");
    world.run_for(50 * MS);
    let seen = verdict(&world, resend);
    assert_eq!(seen, Some(Verdict::Ran), "{}", session(&world));
    assert_eq!(world.tries[resend].runs, 0);
    world.loses_replies = false;
    world.run_for(3_000 * MS);
    check(&world, 1);
}

/// Guards against a node that exits during a drain with open requests, or that leaves late requests
/// without an answer.
#[test]
fn a_draining_node_under_load() {
    let mut world = World::new(1, FaultLevel::None, 1, 1);
    world.run_time = (900 * MS, 901 * MS);
    world.run_for(500 * MS);
    for i in 0..3 {
        world.send(0, "send", &format!("reminder-{i}"));
    }
    world.run_for(400 * MS);
    world.shut_down(0);
    for i in 3..7 {
        world.run_for(600 * MS);
        world.send(0, "send", &format!("reminder-{i}"));
    }
    world.run_for(3_000 * MS);
    assert!(world.nodes[0].has_exited);
    insta::assert_snapshot!(session(&world));
}

/// Guards against second runs and missing answers when a worker stops responding without closing its
/// connections, and against lookups that are still sent there.
#[test]
fn a_silent_connection() {
    let mut world = World::new(5, FaultLevel::None, 1, 2);
    world.run_for(500 * MS);
    for i in 0..12 {
        world.send(0, "lookup", &format!("due-{i}"));
        world.run_for(25 * MS);
    }
    world.silent.insert(WorkerId(1), Time::from_ms(20_000));
    for i in 12..18 {
        world.send(0, "lookup", &format!("due-{i}"));
        world.send(0, "send", &format!("reminder-{i}"));
        world.run_for(500 * MS);
    }
    world.run_for(3_000 * MS);
    insta::assert_snapshot!(session(&world));
}

/// Checks that the answers to callers agree with the runs at backend servers, and that no worker had
/// more requests than slots.
fn check(world: &World, seed: u64) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for (id, sent) in world.tries.iter().enumerate() {
        let text = format!("seed {seed}, try {id}: {sent:?}");
        *runs.entry(&sent.key).or_default() += sent.runs;
        let alive = world.nodes[sent.node].start == sent.start;
        assert!(sent.answers.len() <= 1, "answered twice: {text}");
        assert!(!alive || sent.answers.len() == 1, "no answer: {text}");
        for (verdict, body) in &sent.answers {
            let own = format!("{} {}", sent.service, sent.key);
            match verdict {
                Verdict::Ran => assert_eq!(*body, own, "{text}"),
                Verdict::NotRun => assert!(sent.runs == 0, "it ran: {text}"),
                Verdict::MayHaveRun => {}
            }
        }
    }
    for sent in world.tries.iter().filter(|sent| sent.service == "send") {
        let count = runs[sent.key.as_str()];
        assert!(count <= 1, "seed {seed}: {} ran {count} times", sent.key);
    }
    for (worker, peak) in &world.peak {
        assert!(*peak <= 8, "seed {seed}: {peak} requests at {worker}");
    }
}

/// Runs a seeded session with node crashes, lost replies, outages of the table, silent workers and
/// drains.
fn chaos(seed: u64) -> World {
    let mut world = World::new(seed, FaultLevel::Many, 3, 2);
    let mut rng = Rng::new(seed ^ 0x5eed);
    world.run_time = (5 * MS, 400 * MS);
    world.cut_per_mille = 30;
    world.run_for(1_000 * MS);
    let mut keys: Vec<String> = Vec::new();
    for i in 0..900 {
        world.run_for(rng.span(Duration::ZERO, 120 * MS));
        let node = usize::try_from(rng.below(3)).unwrap();
        if keys.is_empty() || rng.chance(600) {
            keys.push(format!("k{i}"));
        }
        // Callers resend one of their latest requests, to any node and at any time.
        let back = usize::try_from(rng.below(6)).unwrap().min(keys.len() - 1);
        let key = keys[keys.len() - 1 - back].clone();
        if rng.chance(700) {
            world.send(node, "send", &format!("s-{key}"));
        } else {
            world.send(node, "lookup", &format!("l-{key}"));
        }
        match rng.below(400) {
            0 => world.start(node),
            1 => world.shut_down(node),
            2 => world.faults.cut(world.now + rng.span(100 * MS, 6_000 * MS)),
            3 => {
                let until = world.now + rng.span(100 * MS, 5_000 * MS);
                world.silent.insert(WorkerId(1), until);
            }
            4 => {
                world.leaving.clear();
                world.leaving.insert(WorkerId(2));
            }
            5 => world.leaving.clear(),
            _ => {}
        }
        if world.nodes[node].has_exited {
            world.start(node);
        }
    }
    world.run_for(20_000 * MS);
    world
}

/// Guards against wrong verdicts, second runs and missing answers when several faults coincide.
#[test]
fn promises_hold_under_faults_together() {
    for seed in 0..40 {
        let world = chaos(seed);
        check(&world, seed);
    }
}

/// Guards against a router that keeps the invariants only by refusing most requests.
#[test]
fn faults_leave_most_lookups_answered() {
    let world = chaos(1);
    let lookups = world.tries.iter().filter(|sent| sent.service == "lookup");
    let ran = |sent: &&world::Try| sent.answers.iter().any(|(v, _)| *v == Verdict::Ran);
    let all = lookups.clone().count();
    let ran = lookups.filter(ran).count();
    assert!(ran * 2 > all, "{ran} of {all}");
}
