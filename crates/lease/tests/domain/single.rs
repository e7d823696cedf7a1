//! Tests of a single machine. The tests take the place of its peers and of the table.

use std::time::Duration;

use lease::{
    Holder, Input, LeaseConfig, LeaseMachine, LeaseMsg, Output, Purpose, QuestionId, Reply,
    RowState, WriteResult,
};
use model::{Epoch, Incarnation, NodeId, Time};

const EPOCH: Epoch = Epoch { table: 1, local: 0 };

fn holder(node: u32, incarnation: u64) -> Holder {
    Holder {
        node: NodeId(node),
        incarnation: Incarnation(incarnation),
        address: format!("10.0.0.{node}:7101"),
    }
}

fn step(machine: &mut LeaseMachine, ms: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    machine.step(Time::from_ms(ms), input, &mut out);
    out
}

/// Returns node 1 during its first claim, and the id of its request to node 2.
fn claimant() -> (LeaseMachine, QuestionId) {
    let mut machine = LeaseMachine::new(LeaseConfig::default(), holder(1, 5));
    step(&mut machine, 0, Input::Members(vec![holder(2, 0)]));
    let state = RowState::Absent;
    let out = step(&mut machine, 1, Input::RowRead { call: 1, state });
    (machine, asked(&out))
}

fn asked(out: &[Output]) -> QuestionId {
    let asks = out.iter().find_map(|output| match output {
        Output::Send { msg, .. } => msg.question(),
        _ => None,
    });
    asks.expect("a question is sent")
}

fn answer(question: QuestionId, reply: Reply) -> Input {
    let msg = LeaseMsg::Answer { question, reply };
    let from = NodeId(2);
    Input::Peer { from, msg }
}

/// Returns node 1 as the holder.
fn active() -> LeaseMachine {
    let (mut machine, question) = claimant();
    step(&mut machine, 2, answer(question, Reply::Confirmed));
    let result = WriteResult::Written(1);
    step(&mut machine, 3, Input::RowWritten { call: 2, result });
    assert_eq!(machine.active_epoch(Time::from_ms(3)), Some(EPOCH));
    machine
}

/// Guards against a member being considered unreachable too early: the failure of the first connection
/// may be reported again while the second one is open.
#[test]
fn a_late_failure_of_the_first_connection_does_not_end_the_second() {
    let (mut machine, first) = claimant();
    let to = NodeId(2);
    let failed = |question| Input::PeerFailed { to, question };
    let second = asked(&step(&mut machine, 500, failed(first)));
    assert_ne!(first, second);
    let mut undisturbed = machine.clone();
    step(&mut undisturbed, 600, Input::Tick);
    step(&mut machine, 600, failed(first));
    assert_eq!(machine, undisturbed);
    // An answer on either connection is accepted.
    let out = step(&mut machine, 700, answer(first, Reply::Confirmed));
    assert!(matches!(out[..], [Output::WriteRow { .. }]), "{out:?}");
}

/// Guards against a holder that continues after a takeover. A worker may be the first to report the
/// successor's epoch.
#[test]
fn a_higher_epoch_at_a_worker_stops_the_holder() {
    let mut machine = active();
    assert_eq!(step(&mut machine, 4, Input::EpochSeen(EPOCH)), []);
    let higher = Epoch { table: 1, local: 1 };
    let out = step(&mut machine, 5, Input::EpochSeen(higher));
    assert_eq!(out[0], Output::Stopped(EPOCH));
}

/// Guards against two processes of one node taking part: an earlier incarnation, which may still be
/// running after a restart, must receive [`Reply::Stale`].
#[test]
fn an_earlier_incarnation_of_a_node_is_answered_as_stale() {
    let mut machine = active();
    for (incarnation, expected) in [(7, Reply::Holding(EPOCH)), (6, Reply::Stale)] {
        let question = QuestionId {
            incarnation: Incarnation(incarnation),
            round: 1,
            attempt: 0,
        };
        let msg = LeaseMsg::Ask {
            question,
            purpose: Purpose::Claim,
            from: holder(2, incarnation),
            epoch: Epoch { table: 2, local: 0 },
        };
        let from = NodeId(2);
        let out = step(&mut machine, 10, Input::Peer { from, msg });
        let reply = LeaseMsg::Answer {
            question,
            reply: expected,
        };
        assert!(matches!(&out[0], Output::Send { msg, .. } if *msg == reply));
    }
}

/// Guards against a term that ends later than the members assume. It must count from before the
/// requests were sent, to the millisecond.
#[test]
fn the_term_ends_on_the_holders_own_clock() {
    let machine = active();
    let end = Time::from_ms(1) + Duration::from_secs(6);
    assert_eq!(machine.valid_until(Time::from_ms(3)), Some(end));
    assert_eq!(machine.active_epoch(end), None);
}
