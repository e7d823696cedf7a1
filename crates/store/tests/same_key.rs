//! Tests group commit with several changes of one node to the same row.

use model::{Incarnation, NodeId, Time};
use store::{
    Check, CommitChange, CommitConfig, CommitOutput, GroupCommit, Settlement, TableReq, TableResp,
    Write,
};

/// Returns a change that creates a row if it does not exist.
fn create_row(tag: u64, key: &str) -> CommitChange {
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

/// Polls for 10 s against a table in which the row `a` exists once a transaction has created it, and
/// returns the settlements.
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

/// Guards against two changes that both create the row being put into one transaction. The table
/// evaluates all checks before it applies the writes, so both would be committed.
#[test]
fn only_one_of_two_changes_creating_a_row_is_applied() {
    let cfg = CommitConfig::default();
    let mut group = GroupCommit::new(cfg, NodeId(1), Incarnation(1));
    for (tag, key) in [(1, "a"), (2, "b"), (3, "a")] {
        group
            .push(Time::ZERO, create_row(tag, key))
            .expect("the queue is not full");
    }
    let settled = settle(&mut group);
    let committed: Vec<u64> = settled
        .iter()
        .filter(|(_, settlement)| matches!(settlement, Settlement::Committed { .. }))
        .map(|(tag, _)| *tag)
        .collect();
    let conflict = (
        3,
        Settlement::Conflict {
            key: "a".to_owned(),
        },
    );
    assert!(settled.contains(&conflict), "{settled:?}");
    assert_eq!(committed.len(), 2, "{settled:?}");
}
