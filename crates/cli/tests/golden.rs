//! Snapshots of whole sessions on the simulated cell: the event log and the outcome of each unit.

mod session;

use cli::Fault;
use model::WorkerId;
use node::api::{OperatorReq, OperatorResp, RecallTarget};
use session::{DESK, PUBLISHED_MS, Session, by, d, files, n, publish, secs, w};

/// Runs a session with scheduled faults to its end and returns the snapshot.
fn session(seed: u64, script: &[(u64, Fault)], end_s: u64) -> String {
    let mut session = Session::new(seed);
    session.faults(script);
    session.finish(end_s);
    session.golden()
}

#[test]
fn no_fault() {
    insta::assert_snapshot!(session(1, &[], 110));
}

#[test]
fn a_refusal() {
    let mut session = Session::empty(1);
    session.run_to(PUBLISHED_MS / 1_000);
    let unknown_key = DESK.replacen("tasks = 30", "taskz = 30", 1);
    let too_large = DESK.replacen("processors = 8.0", "processors = 64.0", 1);
    for text in [unknown_key.as_str(), too_large.as_str(), DESK] {
        session.cell.call_operator(n(1), publish(text));
    }
    let no_unit = OperatorReq::Cancel {
        by: by("clerk"),
        name: "no-such-unit".to_owned(),
    };
    session.cell.call_operator(n(2), no_unit);
    let outdated = OperatorReq::Publish {
        by: by("other"),
        base: Some(0),
        files: files(&DESK.replacen("replicas = 6", "replicas = 3", 1)),
        dry_run: false,
    };
    session.cell.call_operator(n(3), outdated);
    session.finish(90);
    insta::assert_snapshot!(session.golden());
}

#[test]
fn a_race_of_two_operators() {
    let mut session = Session::new(1);
    let change = |author: &str, replicas: &str| OperatorReq::Publish {
        by: by(author),
        base: Some(1),
        files: files(&DESK.replacen("replicas = 6", replicas, 1)),
        dry_run: false,
    };
    let first = session
        .cell
        .schedule_operator_call(20_000, n(1), change("first", "replicas = 3"));
    let second =
        session
            .cell
            .schedule_operator_call(20_000, n(2), change("second", "replicas = 9"));
    session.finish(110);
    let done = |resp: Option<OperatorResp>| matches!(resp, Some(OperatorResp::Done { .. }));
    let answers = (
        session.cell.take_answer(first),
        session.cell.take_answer(second),
    );
    assert!(
        done(answers.0) != done(answers.1),
        "just one of the two is accepted"
    );
    insta::assert_snapshot!(session.golden());
}

#[test]
fn a_cancel() {
    let mut session = Session::new(1);
    session.run_to(15);
    let cancel = OperatorReq::Cancel {
        by: by("clerk"),
        name: "rebuild".to_owned(),
    };
    session.cell.call_operator(n(4), cancel);
    session.finish(90);
    insta::assert_snapshot!(session.golden());
}

#[test]
fn a_recall_of_a_worker_and_its_lift() {
    let mut session = Session::new(1);
    let targets = || vec![RecallTarget::Worker(WorkerId(1))];
    let recall = OperatorReq::Recall {
        by: by("clerk"),
        targets: targets(),
    };
    let lift = OperatorReq::Lift {
        by: by("chief"),
        targets: targets(),
    };
    session.cell.schedule_operator_call(15_000, n(5), recall);
    session.cell.schedule_operator_call(60_000, n(6), lift);
    session.finish(110);
    insta::assert_snapshot!(session.golden());
}

#[test]
fn a_drain() {
    let mut session = Session::new(1);
    session
        .cell
        .schedule_operator_call(15_000, n(2), OperatorReq::Drain { node: n(1) });
    session.finish(110);
    insta::assert_snapshot!(session.golden());
}

#[test]
fn a_scheduler_crashes() {
    let golden = session(1, &[(15_000, Fault::Crash(n(1)))], 110);
    assert!(!golden.contains("stopped"), "work was stopped:\n{golden}");
    insta::assert_snapshot!(golden);
}

#[test]
fn a_scheduler_is_paused_past_its_term_and_returns() {
    let script = [(15_000, Fault::Pause(n(1), secs(20)))];
    let golden = session(1, &script, 110);
    assert!(!golden.contains("stopped"), "work was stopped:\n{golden}");
    insta::assert_snapshot!(golden);
}

#[test]
fn a_table_outage_of_ten_minutes() {
    let script = [(15_000, Fault::TableDown(secs(600)))];
    insta::assert_snapshot!(session(1, &script, 720));
}

#[test]
fn the_tables_replies_are_lost() {
    let script = [(PUBLISHED_MS + 100, Fault::TableRepliesLost(secs(20)))];
    insta::assert_snapshot!(session(1, &script, 110));
}

#[test]
fn a_domain_is_cut_off() {
    let script = [
        (15_000, Fault::CutFromPlatform(d(1), secs(60))),
        (15_000, Fault::CutFromPeers(d(1), secs(60))),
    ];
    insta::assert_snapshot!(session(1, &script, 130));
}

#[test]
fn connections_go_silent() {
    let script = [
        (15_000, Fault::LinkSilent(n(1), n(4))),
        (20_000, Fault::BackendSilent(w(1), secs(30))),
    ];
    insta::assert_snapshot!(session(1, &script, 110));
}
