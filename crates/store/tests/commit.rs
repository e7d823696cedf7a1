//! Group commit against a table whose replies are lost, late or refused.

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

/// A table that counts how often each row was written.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, Row>,
    version: u64,
    made: BTreeMap<String, u32>,
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
            *self.made.entry(key.clone()).or_default() += 1;
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

    /// Another writer makes or removes a row.
    fn flip(&mut self, key: &str) {
        let value = (!self.rows.contains_key(key)).then(Vec::new);
        let key = key.to_owned();
        self.commit(&Txn {
            checks: Vec::new(),
            writes: vec![Write { key, value }],
        });
    }
}

#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// It is made, and made again later if its checks hold.
    Twice,
    ReplyLost,
    /// It arrives later, after it was given up.
    Late,
    Lost,
    Unreachable,
    Refused,
}

impl Arbitrary for Fate {
    fn arbitrary(g: &mut Gen) -> Self {
        let fates = [
            Self::Answered,
            Self::Answered,
            Self::Twice,
            Self::ReplyLost,
            Self::Late,
            Self::Lost,
            Self::Unreachable,
            Self::Refused,
        ];
        *g.choose(&fates).unwrap()
    }
}

struct Run {
    now: Time,
    table: Table,
    group: GroupCommit,
    late: VecDeque<TableReq>,
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
            late: VecDeque::new(),
            settled: BTreeMap::new(),
            sent: Vec::new(),
            log: Vec::new(),
        }
    }

    /// A change that writes its own row if the row `k` is absent.
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

    /// One step of 10 ms, in which calls meet this fate.
    fn step(&mut self, fate: Fate) {
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
                        self.log.push(format!("{} transaction: {fate:?}", self.now));
                    }
                    let result = self.meet(req, fate);
                    let mut out = Vec::new();
                    self.group.reply(self.now, result, &mut out);
                    outputs.extend(out);
                }
            }
        }
    }

    fn meet(&mut self, req: TableReq, fate: Fate) -> Result<TableResp, StoreError> {
        match fate {
            Fate::Answered => Ok(self.table.call(&req)),
            Fate::Twice => {
                let resp = self.table.call(&req);
                self.late.push_back(req);
                Ok(resp)
            }
            Fate::ReplyLost => {
                self.table.call(&req);
                Err(StoreError::Lost(String::new()))
            }
            Fate::Late => {
                self.late.push_back(req);
                Err(StoreError::Lost(String::new()))
            }
            Fate::Lost => Err(StoreError::Lost(String::new())),
            Fate::Unreachable => Err(StoreError::Unreachable(String::new())),
            Fate::Refused => Err(StoreError::Refused(String::new())),
        }
    }

    fn arrive_late(&mut self) {
        if let Some(req) = self.late.pop_front() {
            self.table.call(&req);
        }
    }

    fn check(&self, pushed: u64) {
        for tag in 1..=pushed {
            let made = self.table.made.get(&format!("made/{tag}")).copied();
            let made = made.unwrap_or(0);
            let settlement = self.settled.get(&tag);
            let expected = match settlement {
                Some(Settlement::Committed { .. }) => 1,
                Some(Settlement::MayHaveRun) if self.group.is_stale() => made.min(1),
                Some(Settlement::MayHaveRun) | None => panic!("{tag}: {settlement:?}"),
                Some(_) => 0,
            };
            assert_eq!(made, expected, "{tag} was {settlement:?}\n{:#?}", self.log);
        }
        let gaps = self.sent.windows(2).map(|w| w[1] - w[0]);
        assert!(gaps.min() >= Some(Duration::from_millis(50)));
    }
}

/// Pushes, fates and other writers as the generator draws them; then the platform is well again.
fn any_run(seed: u64, replaced: bool) {
    let g = &mut Gen::from_size_and_seed(16, seed);
    let mut run = Run::new(CommitConfig {
        max_changes: 4,
        max_wait: Duration::from_secs(1),
        retry_delay: Duration::from_millis(60),
        ..CommitConfig::default()
    });
    let keys = ["k/0", "k/1", "k/2"];
    let mut tag = 0;
    let mut fate = Fate::Answered;
    for step in 0..300 {
        if u8::arbitrary(g) < 60 {
            run.table.flip(g.choose(&keys).unwrap());
        }
        if u8::arbitrary(g) < 100 && run.push(tag + 1, g.choose(&keys).unwrap()).is_ok() {
            tag += 1;
        }
        if u8::arbitrary(g) < 120 {
            fate = Fate::arbitrary(g);
        }
        if u8::arbitrary(g) < 60 {
            run.arrive_late();
        }
        if replaced && step == 200 {
            let mut later = Run::new(CommitConfig::default());
            later.group = GroupCommit::new(CommitConfig::default(), NodeId(1), Incarnation(6));
            std::mem::swap(&mut later.table, &mut run.table);
            later.push(1_000_000, "k/none").unwrap();
            later.step(Fate::Answered);
            std::mem::swap(&mut later.table, &mut run.table);
        }
        run.step(fate);
    }
    for _ in 0..300 {
        run.arrive_late();
        run.step(Fate::Answered);
    }
    if replaced {
        assert!(run.group.is_stale() && run.push(tag + 1, "k/0") == Err(PushError::Stale));
    }
    assert_eq!(run.group.unsettled(), 0);
    run.check(tag);
}

#[test]
fn no_change_is_made_twice_or_settled_wrongly() {
    for seed in 0..400 {
        any_run(seed, false);
    }
}

#[test]
fn a_stale_process_is_fenced_by_a_later_start() {
    for seed in 0..200 {
        any_run(seed, true);
    }
}

#[test]
fn a_conflict_is_not_that_of_its_neighbours() {
    let mut run = Run::new(CommitConfig::default());
    run.table.flip("k/1");
    for (tag, k) in [(1, "k/0"), (2, "k/1"), (3, "k/2")] {
        run.push(tag, k).unwrap();
    }
    (0..100).for_each(|_| run.step(Fate::Answered));
    let committed = |tag| matches!(run.settled[&tag], Settlement::Committed { .. });
    assert!(committed(1) && committed(3));
    let key = "k/1".to_owned();
    assert_eq!(run.settled[&2], Settlement::Conflict { key });
}

#[test]
fn lost_reply_after_the_write() {
    let mut run = Run::new(CommitConfig::default());
    run.push(1, "k/0").unwrap();
    run.step(Fate::Answered);
    run.push(2, "k/0").unwrap();
    (0..6).for_each(|_| run.step(Fate::ReplyLost));
    (0..100).for_each(|_| run.step(Fate::Answered));
    run.check(2);
    insta::assert_snapshot!(run.log.join("\n"));
}

/// What was never sent is refused in time; what may have been made stays until it is known.
#[test]
fn outage_with_queueing_and_refusal() {
    let mut run = Run::new(CommitConfig {
        max_queue_len: 3,
        ..CommitConfig::default()
    });
    run.push(1, "k/0").unwrap();
    run.step(Fate::Answered);
    run.push(2, "k/0").unwrap();
    (0..6).for_each(|_| run.step(Fate::Late));
    for tag in 3..=5 {
        run.push(tag, "k/0").unwrap();
    }
    assert_eq!(run.push(6, "k/0"), Err(PushError::Full));
    (0..1_200).for_each(|_| run.step(Fate::Unreachable));
    assert_eq!(run.group.unsettled(), 1);
    assert!(run.group.oldest_wait(run.now) > Duration::from_secs(11));
    run.arrive_late();
    (0..100).for_each(|_| run.step(Fate::Answered));
    run.check(5);
    run.log
        .retain(|line| !line.ends_with("transaction: Unreachable"));
    insta::assert_snapshot!(run.log.join("\n"));
}
