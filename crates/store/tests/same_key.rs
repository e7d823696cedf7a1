//! Changes of one node that are about the same row.

use model::{Incarnation, NodeId, Time};
use store::{
    Check, CommitChange, CommitConfig, CommitOutput, GroupCommit, Settlement, TableReq, TableResp,
    Write,
};

/// A change that makes a row, unless there is one.
fn creates(tag: u64, key: &str) -> CommitChange {
    CommitChange {
        tag,
        checks: vec![Check {
            key: key.to_owned(),
            version: None,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(vec![1]),
        }],
    }
}

/// Polls until nothing is due, with a table that has one row `a` after the first transaction.
fn settle(group: &mut GroupCommit) -> Vec<(u64, Settlement)> {
    let mut settled = Vec::new();
    let mut has_row = false;
    for ms in (0..10_000).step_by(50) {
        let now = Time::from_ms(ms);
        let mut out = Vec::new();
        group.poll(now, &mut out);
        while let Some(output) = out.pop() {
            match output {
                CommitOutput::Settled(tag, settlement) => settled.push((tag, settlement)),
                CommitOutput::Call(TableReq::Commit(txn)) => {
                    let creates_a = txn.checks.iter().any(|check| check.key == "a");
                    let resp = if creates_a && has_row {
                        TableResp::Conflict {
                            key: "a".to_owned(),
                        }
                    } else {
                        has_row |= creates_a;
                        TableResp::Committed { version: ms + 1 }
                    };
                    group.reply(now, Ok(resp), &mut out);
                }
                CommitOutput::Call(_) => group.reply(now, Ok(TableResp::Row(None)), &mut out),
            }
        }
    }
    settled
}

#[test]
fn of_two_changes_that_make_a_row_one_is_made() {
    let cfg = CommitConfig::default();
    let mut group = GroupCommit::new(cfg, NodeId(1), Incarnation(1));
    for (tag, key) in [(1, "a"), (2, "b"), (3, "a")] {
        group
            .push(Time::ZERO, creates(tag, key))
            .expect("there is room");
    }
    let settled = settle(&mut group);
    let made: Vec<u64> = settled
        .iter()
        .filter(|(_, settlement)| matches!(settlement, Settlement::Committed { .. }))
        .map(|(tag, _)| *tag)
        .collect();
    let refused = (
        3,
        Settlement::Conflict {
            key: "a".to_owned(),
        },
    );
    assert!(settled.contains(&refused), "{settled:?}");
    assert_eq!(made.len(), 2, "{settled:?}");
}
