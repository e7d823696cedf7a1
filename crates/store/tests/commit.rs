//! Tests group commit against a table whose calls are lost, delayed, duplicated or refused.
//!
//! They guard against a change that is applied twice, or whose settlement contradicts the table. Both
//! can happen if a transaction is repeated or given up while an earlier copy is still in flight.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use model::{Incarnation, NodeId, Time};
use quickcheck::{Arbitrary, Gen};
use store::{
    Check, CommitChange, CommitConfig, CommitOutput, GroupCommit, PushError, Row, Settlement,
    StoreError, TableReq, TableResp, Txn, Write,
};

/// An in-memory table that counts how often each row was written.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, Row>,
    version: u64,
    write_counts: BTreeMap<String, u32>,
}

impl Table {
    fn call(&mut self, req: &TableReq) -> TableResp {
        match req {
            TableReq::Get { key } => TableResp::Row(self.rows.get(key).cloned()),
            TableReq::Commit(txn) => self.commit(txn),
            TableReq::Scan { .. } => unreachable!("group commit does not scan"),
        }
    }

    fn commit(&mut self, txn: &Txn) -> TableResp {
        let version = |key: &str| self.rows.get(key).map(|row| row.version);
        let failed = txn.checks.iter().find(|c| version(&c.key) != c.version);
        if let Some(check) = failed {
            let key = check.key.clone();
            return TableResp::Conflict { key };
        }
        self.version += 1;
        let version = self.version;
        for Write { key, value } in &txn.writes {
            *self.write_counts.entry(key.clone()).or_default() += 1;
            if let Some(value) = value.clone() {
                let key = key.clone();
                let row = Row {
                    key: key.clone(),
                    version,
                    value,
                };
                self.rows.insert(key, row);
            } else {
                self.rows.remove(key);
            }
        }
        TableResp::Committed { version }
    }

    /// Creates or deletes a row on behalf of another writer.
    fn toggle_row(&mut self, key: &str) {
        let value = (!self.rows.contains_key(key)).then(Vec::new);
        let key = key.to_owned();
        self.commit(&Txn {
            checks: Vec::new(),
            writes: vec![Write { key, value }],
        });
    }
}

/// What happens to a call to the table.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered,
    /// The call is executed and answered, and a copy of it is executed later.
    Duplicated,
    ReplyLost,
    /// The reply is lost, and the call is executed later.
    Late,
    Lost,
    Unreachable,
    Refused,
}

impl Arbitrary for CallOutcome {
    fn arbitrary(g: &mut Gen) -> Self {
        let outcomes = [
            Self::Answered,
            Self::Answered,
            Self::Duplicated,
            Self::ReplyLost,
            Self::Late,
            Self::Lost,
            Self::Unreachable,
            Self::Refused,
        ];
        *g.choose(&outcomes).unwrap()
    }
}

/// A group commit, its table and what has happened so far.
struct Run {
    now: Time,
    table: Table,
    group: GroupCommit,
    delayed: VecDeque<TableReq>,
    settled: BTreeMap<u64, Settlement>,
    sent: Vec<Time>,
    log: Vec<String>,
}

impl Run {
    fn new(cfg: CommitConfig) -> Self {
        Self {
            now: Time::ZERO,
            table: Table::default(),
            group: GroupCommit::new(cfg, NodeId(1), Incarnation(5)),
            delayed: VecDeque::new(),
            settled: BTreeMap::new(),
            sent: Vec::new(),
            log: Vec::new(),
        }
    }

    /// Pushes a change that writes a row of its own if the row `k` is absent.
    fn push(&mut self, tag: u64, k: &str) -> Result<(), PushError> {
        let check = Check {
            key: k.to_owned(),
            version: None,
        };
        let write = Write {
            key: format!("made/{tag}"),
            value: Some(Vec::new()),
        };
        let change = CommitChange {
            tag,
            checks: vec![check],
            writes: vec![write],
        };
        self.group.push(self.now, change)
    }

    /// Advances the time by 10 ms and polls. All calls of the step have the given outcome.
    fn step(&mut self, outcome: CallOutcome) {
        self.now += Duration::from_millis(10);
        let mut out = Vec::new();
        self.group.poll(self.now, &mut out);
        let mut outputs = VecDeque::from(out);
        while let Some(output) = outputs.pop_front() {
            match output {
                CommitOutput::Settled(tag, settlement) => {
                    self.log.push(format!("{} {tag}: {settlement:?}", self.now));
                    let before = self.settled.insert(tag, settlement);
                    assert_eq!(before, None, "{tag} is settled twice");
                }
                CommitOutput::Call(req) => {
                    if req.is_write() {
                        self.sent.push(self.now);
                        self.log
                            .push(format!("{} transaction: {outcome:?}", self.now));
                    }
                    let result = self.call(req, outcome);
                    let mut out = Vec::new();
                    self.group.reply(self.now, result, &mut out);
                    outputs.extend(out);
                }
            }
        }
    }

    /// Makes a call with the given outcome and returns what the group commit sees of it.
    fn call(&mut self, req: TableReq, outcome: CallOutcome) -> Result<TableResp, StoreError> {
        match outcome {
            CallOutcome::Answered => Ok(self.table.call(&req)),
            CallOutcome::Duplicated => {
                let resp = self.table.call(&req);
                self.delayed.push_back(req);
                Ok(resp)
            }
            CallOutcome::ReplyLost => {
                self.table.call(&req);
                Err(StoreError::Lost(String::new()))
            }
            CallOutcome::Late => {
                self.delayed.push_back(req);
                Err(StoreError::Lost(String::new()))
            }
            CallOutcome::Lost => Err(StoreError::Lost(String::new())),
            CallOutcome::Unreachable => Err(StoreError::Unreachable(String::new())),
            CallOutcome::Refused => Err(StoreError::Refused(String::new())),
        }
    }

    /// Executes the oldest delayed call.
    fn deliver_delayed(&mut self) {
        if let Some(req) = self.delayed.pop_front() {
            self.table.call(&req);
        }
    }

    /// Checks that each change was written as often as its settlement says, and that transactions were
    /// at least 50 ms apart.
    fn check(&self, pushed: u64) {
        for tag in 1..=pushed {
            let writes = self.table.write_counts.get(&format!("made/{tag}")).copied();
            let writes = writes.unwrap_or(0);
            let settlement = self.settled.get(&tag);
            let expected = match settlement {
                Some(Settlement::Committed { .. }) => 1,
                Some(Settlement::MayHaveRun) if self.group.is_stale() => writes.min(1),
                Some(Settlement::MayHaveRun) | None => panic!("{tag}: {settlement:?}"),
                Some(_) => 0,
            };
            assert_eq!(
                writes, expected,
                "{tag} was {settlement:?}\n{:#?}",
                self.log
            );
        }
        let gaps = self.sent.windows(2).map(|w| w[1] - w[0]);
        assert!(gaps.min() >= Some(Duration::from_millis(50)));
    }
}

/// Runs 300 steps with random pushes, call outcomes and other writers, then 300 steps in which all calls
/// succeed. With `is_replaced`, a later incarnation of the node writes to the table at step 200.
fn run_random(seed: u64, is_replaced: bool) {
    let g = &mut Gen::from_size_and_seed(16, seed);
    let mut run = Run::new(CommitConfig {
        max_changes: 4,
        max_wait: Duration::from_secs(1),
        retry_delay: Duration::from_millis(60),
        ..CommitConfig::default()
    });
    let keys = ["k/0", "k/1", "k/2"];
    let mut tag = 0;
    let mut outcome = CallOutcome::Answered;
    for step in 0..300 {
        if u8::arbitrary(g) < 60 {
            run.table.toggle_row(g.choose(&keys).unwrap());
        }
        if u8::arbitrary(g) < 100 && run.push(tag + 1, g.choose(&keys).unwrap()).is_ok() {
            tag += 1;
        }
        if u8::arbitrary(g) < 120 {
            outcome = CallOutcome::arbitrary(g);
        }
        if u8::arbitrary(g) < 60 {
            run.deliver_delayed();
        }
        if is_replaced && step == 200 {
            let mut successor = Run::new(CommitConfig::default());
            successor.group = GroupCommit::new(CommitConfig::default(), NodeId(1), Incarnation(6));
            std::mem::swap(&mut successor.table, &mut run.table);
            successor.push(1_000_000, "k/none").unwrap();
            successor.step(CallOutcome::Answered);
            std::mem::swap(&mut successor.table, &mut run.table);
        }
        run.step(outcome);
    }
    for _ in 0..300 {
        run.deliver_delayed();
        run.step(CallOutcome::Answered);
    }
    if is_replaced {
        assert!(run.group.is_stale() && run.push(tag + 1, "k/0") == Err(PushError::Stale));
    }
    assert_eq!(run.group.unsettled(), 0);
    run.check(tag);
}

#[test]
fn no_change_is_applied_twice_or_settled_wrongly() {
    for seed in 0..400 {
        run_random(seed, false);
    }
}

/// Guards against a process that keeps writing after a later incarnation of its node has started.
#[test]
fn a_later_incarnation_fences_a_stale_process() {
    for seed in 0..200 {
        run_random(seed, true);
    }
}

/// Guards against a failed check of one change failing the other changes of the same transaction.
#[test]
fn a_conflict_does_not_affect_other_changes() {
    let mut run = Run::new(CommitConfig::default());
    run.table.toggle_row("k/1");
    for (tag, k) in [(1, "k/0"), (2, "k/1"), (3, "k/2")] {
        run.push(tag, k).unwrap();
    }
    (0..100).for_each(|_| run.step(CallOutcome::Answered));
    let committed = |tag| matches!(run.settled[&tag], Settlement::Committed { .. });
    assert!(committed(1) && committed(3));
    let key = "k/1".to_owned();
    assert_eq!(run.settled[&2], Settlement::Conflict { key });
}

/// Guards against a second write, or a conflict, when the reply to a committed transaction is lost and
/// the transaction is sent again.
#[test]
fn lost_reply_after_the_write() {
    let mut run = Run::new(CommitConfig::default());
    run.push(1, "k/0").unwrap();
    run.step(CallOutcome::Answered);
    run.push(2, "k/0").unwrap();
    (0..6).for_each(|_| run.step(CallOutcome::ReplyLost));
    (0..100).for_each(|_| run.step(CallOutcome::Answered));
    run.check(2);
    insta::assert_snapshot!(run.log.join("\n"));
}

/// During an outage, changes that were never sent are settled as not run once they have waited too long,
/// and a change that may have been applied stays until its outcome is known.
#[test]
fn outage_with_queueing_and_refusal() {
    let mut run = Run::new(CommitConfig {
        max_queue_len: 3,
        ..CommitConfig::default()
    });
    run.push(1, "k/0").unwrap();
    run.step(CallOutcome::Answered);
    run.push(2, "k/0").unwrap();
    (0..6).for_each(|_| run.step(CallOutcome::Late));
    for tag in 3..=5 {
        run.push(tag, "k/0").unwrap();
    }
    assert_eq!(run.push(6, "k/0"), Err(PushError::Full));
    (0..1_200).for_each(|_| run.step(CallOutcome::Unreachable));
    assert_eq!(run.group.unsettled(), 1);
    assert!(run.group.oldest_wait(run.now) > Duration::from_secs(11));
    run.deliver_delayed();
    (0..100).for_each(|_| run.step(CallOutcome::Answered));
    run.check(5);
    run.log
        .retain(|line| !line.ends_with("transaction: Unreachable"));
    insta::assert_snapshot!(run.log.join("\n"));
}
