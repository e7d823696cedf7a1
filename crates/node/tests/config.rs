//! Tests of the configuration with snapshots of sessions: concurrent changes, bursts, lost replies,
//! outages, domains that are cut off, and recalls.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, domain};
use model::{NodeId, Time};
use node::api::{FileText, OperatorReq, RecallTarget, Submitter};

const SECOND: Duration = Duration::from_secs(1);

fn service(name: &str, replicas: u32) -> String {
    format!(
        "[[service]]\nname = \"{name}\"\nteam = \"t\"\ncommand = [\"serve\"]\n\
         size = {{ processors = 1, memory_mb = 1 }}\nclass = \"standard\"\n\
         replicas = {replicas}\nspread = \"rack\"\n"
    )
}

fn batch(name: &str, command: &str) -> String {
    format!(
        "[[batch]]\nname = \"{name}\"\nteam = \"t\"\ncommand = [\"{command}\"]\n\
         size = {{ processors = 1, memory_mb = 1 }}\nclass = \"bulk\"\ntasks = 4\n\
         repeat = \"safe\"\nrun_time_s = 1\n"
    )
}

fn by(author: &str, id: &str) -> Submitter {
    let (id, author) = (id.to_owned(), author.to_owned());
    Submitter { id, author }
}

fn publish(author: &str, id: &str, base: Option<u64>, items: &str) -> OperatorReq {
    let team = "[team]\nname = \"t\"\nquota = { processors = 100, memory_mb = 100 }\n";
    OperatorReq::Publish {
        by: by(author, id),
        base,
        files: vec![FileText {
            path: "lacewing.toml".to_owned(),
            text: format!("{team}{items}"),
        }],
        dry_run: false,
    }
}

fn recall(targets: &[&str]) -> OperatorReq {
    let targets = targets.iter().map(|text| text.parse().unwrap()).collect();
    let by = by("deniz", "");
    OperatorReq::Recall { by, targets }
}

fn lift(target: &str) -> OperatorReq {
    let targets = vec![target.parse::<RecallTarget>().unwrap()];
    let by = by("deniz", "");
    OperatorReq::Lift { by, targets }
}

/// Six nodes in three domains that have run for 15 s, and the log of the session.
struct Session {
    fleet: Fleet,
    log: String,
}

impl Session {
    fn new() -> Self {
        let mut fleet = Fleet::new(3, 2, 1);
        fleet.run(SECOND * 15);
        let log = String::new();
        Self { fleet, log }
    }

    fn note(&mut self, line: &str) {
        self.log.push_str(line);
        self.log.push('\n');
    }

    /// Makes a call and logs its answer.
    fn call(&mut self, node: u32, what: &str, req: OperatorReq) {
        let answer = self.fleet.call(node, req);
        self.note(&format!("n{node} {what}\n    {answer}"));
    }

    /// Lets time pass and logs the versions that the nodes have in force.
    fn wait(&mut self, seconds: u32) {
        self.fleet.run(SECOND * seconds);
        let versions = self.fleet.versions();
        self.note(&format!("{seconds} s later: {versions}"));
    }

    fn replicas(&mut self, node: u32, name: &str) {
        let unit = self.fleet.node(node).config().units().get(name).cloned();
        let text = unit.map_or("none".to_owned(), |unit| unit.kind.tasks().to_string());
        self.note(&format!("replicas of {name} at n{node}: {text}"));
    }
}

/// Guards against lost or overwritten changes when two operators publish at two nodes at the same time:
/// changes of one item conflict, and changes of different items both succeed.
#[test]
fn races() {
    let mut session = Session::new();
    let first = format!("{}{}", service("desk", 1), service("mail", 1));
    session.call(
        1,
        "publish desk and mail",
        publish("ayla", "", None, &first),
    );
    session.wait(2);
    session.note("two operators change desk from version 1 at the same time");
    let fleet = &mut session.fleet;
    let one = fleet.ask(1, publish("ayla", "", Some(1), &service("desk", 2)));
    let two = fleet.ask(2, publish("berk", "", Some(1), &service("desk", 3)));
    session.wait(2);
    let answers = [session.fleet.answer(one), session.fleet.answer(two)];
    session.note(&format!("ayla: {}\nberk: {}", answers[0], answers[1]));
    session.note("two operators change different services at the same time");
    let fleet = &mut session.fleet;
    let one = fleet.ask(3, publish("ayla", "", Some(2), &service("desk", 4)));
    let two = fleet.ask(4, publish("berk", "", Some(2), &service("mail", 4)));
    session.wait(2);
    let answers = [session.fleet.answer(one), session.fleet.answer(two)];
    session.note(&format!("ayla: {}\nberk: {}", answers[0], answers[1]));
    session.replicas(5, "desk");
    session.replicas(5, "mail");
    insta::assert_snapshot!(session.log);
}

/// Guards against a version for each change, or lost changes, when an operator makes 40 changes at one
/// node within two seconds.
#[test]
fn bursts_merge() {
    let mut session = Session::new();
    let mut calls = Vec::new();
    for i in 0..40 {
        let name = format!("s{i}");
        let req = publish("ayla", &name, None, &service(&name, 1));
        calls.push(session.fleet.ask(1, req));
        session.fleet.run(Duration::from_millis(50));
    }
    session.fleet.run(SECOND * 3);
    for call in calls {
        let answer = session.fleet.answer(call);
        assert!(answer.starts_with("done: version"), "{answer}");
    }
    let config = session.fleet.node(6).config();
    assert_eq!(config.units().len(), 40);
    assert!(config.version() <= 6, "{} versions", config.version());
}

/// Guards against a second run of a batch when the reply to its commit is lost and the operator resends
/// the call, also at another node.
#[test]
fn lost_replies() {
    let mut session = Session::new();
    session.fleet.losing_replies.insert(NodeId(1));
    let fleet = &mut session.fleet;
    let req = publish("ayla", "id-1", None, &batch("run", "go"));
    let lost = fleet.ask(1, req.clone());
    fleet.run(SECOND);
    session.note("the commit's reply is lost; the operator resends at another node");
    session.call(2, "publish run again", req.clone());
    session.fleet.losing_replies.clear();
    session.wait(3);
    let answer = session.fleet.answer(lost);
    session.note(&format!("the first call: {answer}"));
    session.call(1, "publish run once more", req);
    let other = publish("ayla", "id-1", None, &batch("other", "go2"));
    session.call(1, "publish other content under the same id", other);
    session.wait(2);
    insta::assert_snapshot!(session.log);
}

/// Guards against a wrong verdict on a publication when the table fails after its commit and before the
/// reply: the change may come into force, and a resend after the outage finds it done.
#[test]
fn outage_in_mid_publish() {
    let mut session = Session::new();
    session.fleet.losing_replies.insert(NodeId(1));
    let req = publish("ayla", "id-1", None, &service("desk", 1));
    let id = session.fleet.ask(1, req.clone());
    while session.fleet.head().is_none() {
        session.fleet.run(Duration::from_millis(2));
    }
    session.note("the table goes away after the commit, before its reply");
    session.fleet.cut.extend([domain(1), domain(2), domain(3)]);
    session.wait(5);
    let early = session.fleet.answer(id);
    session.wait(7);
    let late = session.fleet.answer(id);
    session.note(&format!("after 5 s: {early}\nafter 12 s: {late}"));
    session.call(
        3,
        "publish another one",
        publish("berk", "", None, &service("mail", 1)),
    );
    session.fleet.cut.clear();
    session.fleet.losing_replies.clear();
    session.note("the table comes back");
    session.wait(4);
    session.call(5, "resend the first one", req);
    session.wait(2);
    insta::assert_snapshot!(session.log);
}

/// Guards against a resend that is answered not run while the entry with its first call may come into force.
#[test]
fn a_resend_is_called_not_run_while_its_entry_is_open() {
    let mut session = Session::new();
    let fleet = &mut session.fleet;
    fleet.losing_replies.insert(NodeId(1));
    let req = publish("ayla", "id-1", None, &service("desk", 1));
    let first = fleet.ask(1, req.clone());
    while fleet.head().is_none() {
        fleet.run(Duration::from_millis(2));
    }
    fleet.cut.extend([domain(1), domain(2), domain(3)]);
    fleet.run(SECOND * 12);
    let answer = fleet.answer(first);
    assert!(answer.starts_with("may-have-run: "), "{answer}");
    let resent = fleet.ask(1, req.clone());
    let other = fleet.ask(1, publish("berk", "id-2", None, &service("mail", 1)));
    fleet.run(SECOND * 11);
    let answer = fleet.answer(resent);
    assert!(answer.starts_with("may-have-run: "), "{answer}");
    let answer = fleet.answer(other);
    assert!(answer.starts_with("not-run: "), "{answer}");
    fleet.cut.clear();
    fleet.losing_replies.clear();
    fleet.run(SECOND * 4);
    assert_eq!(fleet.node(1).config().version(), 1);
    assert!(fleet.node(1).config().units().contains_key("desk"));
    assert!(!fleet.node(1).config().units().contains_key("mail"));
    let answer = fleet.call(1, req);
    assert!(answer.starts_with("done: version 1: "), "{answer}");
}

/// Guards against a domain without access to the table that misses new versions: its nodes get them
/// from the nodes of other domains, also after a restart.
#[test]
fn a_domain_cut_off_from_the_platform() {
    let mut session = Session::new();
    session.call(
        1,
        "publish desk",
        publish("ayla", "", None, &service("desk", 1)),
    );
    session.wait(2);
    session.fleet.cut.insert(domain(3));
    session.note("d3 (n3 and n6) is cut off from the platform");
    session.call(
        1,
        "publish desk",
        publish("ayla", "", None, &service("desk", 2)),
    );
    session.wait(4);
    session.call(
        3,
        "publish there",
        publish("berk", "", None, &service("mail", 1)),
    );
    session.note("n6 starts anew, without anything in memory");
    session.fleet.start(NodeId(6), domain(3), 2);
    session.wait(1);
    session.wait(4);
    session.call(2, "recall", recall(&["setting/desk@2"]));
    session.wait(4);
    session.replicas(3, "desk");
    session.fleet.cut.clear();
    session.note("d3 is back");
    session.wait(3);
    insta::assert_snapshot!(session.log);
}

/// Guards against a return to an older version, or a publication based on it, when the table serves an
/// old head.
#[test]
fn stale_heads() {
    let mut session = Session::new();
    session.call(
        1,
        "publish desk",
        publish("ayla", "", None, &service("desk", 1)),
    );
    session.wait(2);
    let old = session.fleet.head();
    session.call(
        1,
        "publish desk",
        publish("ayla", "", None, &service("desk", 2)),
    );
    session.wait(2);
    session.fleet.stale_head = old;
    session.note("the table serves the head of version 1");
    session.wait(3);
    session.note("n2 starts anew");
    session.fleet.start(NodeId(2), domain(2), 2);
    session.wait(4);
    session.call(
        2,
        "publish desk",
        publish("berk", "", None, &service("desk", 3)),
    );
    session.fleet.stale_head = None;
    session.note("the table serves its newest head");
    session.call(
        2,
        "publish desk",
        publish("berk", "", None, &service("desk", 4)),
    );
    session.wait(3);
    let stale: u64 = (1..=6)
        .map(|n| session.fleet.node(n).dump(Time::ZERO).stale_heads)
        .sum();
    assert!(stale > 10, "{stale} stale heads were seen");
    insta::assert_snapshot!(session.log);
}

/// Guards against recalls that are not applied by all nodes, against recalled content that is published
/// again, and against a batch that keeps its old run when it is published after its recall is lifted.
#[test]
fn recalls() {
    let mut session = Session::new();
    session.call(
        1,
        "publish desk",
        publish("ayla", "", None, &service("desk", 1)),
    );
    session.call(
        1,
        "publish desk",
        publish("ayla", "", None, &service("desk", 9)),
    );
    let run = batch("run", "bad");
    session.call(1, "publish run", publish("ayla", "", None, &run));
    session.call(2, "recall a version too few", recall(&["setting/desk@7"]));
    session.call(2, "recall a service as a batch", recall(&["batch/desk"]));
    let targets = ["setting/desk@2", "batch/run", "worker/w7"];
    session.call(2, "recall three things", recall(&targets));
    session.wait(2);
    session.replicas(6, "desk");
    let config = session.fleet.node(6).config();
    let held = [
        config.is_batch_recalled("run"),
        config.is_worker_recalled("w7".parse().unwrap()),
    ];
    assert_eq!(held, [true, true]);
    session.call(
        3,
        "publish desk of 9 again",
        publish("ayla", "", None, &service("desk", 9)),
    );
    session.call(3, "publish run again", publish("ayla", "", None, &run));
    let renamed = batch("run2", "bad");
    session.call(
        3,
        "publish run under another name",
        publish("ayla", "", None, &renamed),
    );
    session.call(
        3,
        "publish desk of 8",
        publish("ayla", "", None, &service("desk", 8)),
    );
    session.call(3, "lift what is not recalled", lift("batch/desk"));
    session.call(3, "lift the batch", lift("batch/run"));
    session.call(3, "publish run again", publish("ayla", "", None, &run));
    session.call(3, "which recalls are in force", OperatorReq::Recalls);
    session.wait(2);
    let rows = session.fleet.table.call(&store::TableReq::Scan {
        prefix: "unit/run".to_owned(),
        after: String::new(),
        limit: 9,
    });
    let store::TableResp::Rows(rows) = rows else {
        panic!("{rows:?}");
    };
    // Each run has a part in each of the three domains.
    assert_eq!(rows.len(), 6);
    let runs: std::collections::BTreeSet<&str> = rows
        .iter()
        .filter_map(|row| row.key.split('@').next())
        .collect();
    assert_eq!(
        runs.len(),
        2,
        "the run after the lift is another one, in each domain"
    );
    insta::assert_snapshot!(session.log);
}

/// Guards against a log of entries that grows without limit, and against a node that reads all of it at
/// its start after hundreds of versions: it reads the snapshot and the few entries after it.
#[test]
fn old_entries_are_compacted() {
    let mut session = Session::new();
    let fleet = &mut session.fleet;
    for version in 1..=330 {
        let req = publish("ayla", "", None, &service("desk", version % 9 + 1));
        let answer = fleet.call(version % 6 + 1, req);
        assert!(
            answer.starts_with(&format!("done: version {version},")),
            "{answer}"
        );
    }
    fleet.run(SECOND * 2);
    let entries = fleet.rows("config/entry/");
    assert!(
        (128..=192).contains(&entries),
        "{entries} entries are in the table"
    );
    let before = fleet.traffic;
    fleet.has_gossip = false;
    fleet.start(NodeId(6), domain(3), 2);
    fleet.run(SECOND);
    assert_eq!(fleet.node(6).config().version(), 330);
    assert_eq!(fleet.node(6).config(), fleet.node(1).config());
    let reads = fleet.traffic.table_reads - before.table_reads;
    assert!(reads <= 12, "{reads} reads, polls of the others included");
}

/// Guards against units that are accepted although no domain can place them, when no node is
/// registered.
#[test]
fn without_a_registered_node_nothing_is_published() {
    let mut session = Session::new();
    let scan = store::TableReq::Scan {
        prefix: "member/".to_owned(),
        after: String::new(),
        limit: 100,
    };
    let store::TableResp::Rows(rows) = session.fleet.table.call(&scan) else {
        panic!("no rows");
    };
    let writes = rows.into_iter().map(|row| store::Write {
        key: row.key,
        value: None,
    });
    session
        .fleet
        .table
        .call(&store::TableReq::Commit(store::Txn {
            checks: Vec::new(),
            writes: writes.collect(),
        }));
    let answer = session
        .fleet
        .call(1, publish("ayla", "", None, &batch("run", "good")));
    assert!(answer.contains("no node of a failure domain"), "{answer}");
    assert_eq!(session.fleet.node(1).config().version(), 0);
}
