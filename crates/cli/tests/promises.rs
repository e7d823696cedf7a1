//! The checks of the promises, each on records in which the promise is broken and on records in which it is kept.

use std::time::Duration;

use cli::{
    Answer, Disturbance, Execution, Leaving, Records, Try, TryId, VersionObservation, WorkerPeak,
    broken_promises,
};
use fakes::Run;
use model::{Attempt, Incarnation, NodeId, Size, TaskId, Time, UnitId, Verdict, WorkerId};
use store::TaskPhase;

fn at(ms: u64) -> Time {
    Time::from_ms(ms)
}

fn run(unit: &str, worker: u32, began: u64, ended: u64) -> Run {
    Run {
        task: TaskId::new(&UnitId::new(unit), 0),
        attempt: Attempt(1),
        size: Size::new(1_000, 1_000, 0),
        worker: WorkerId(worker),
        began: at(began),
        ended: Some(at(ended)),
        phase: TaskPhase::Succeeded,
    }
}

fn peak(milli_processors: u64, requests: u32) -> WorkerPeak {
    WorkerPeak {
        worker: WorkerId(1),
        size: Size::new(4_000, 4_000, 0),
        peak: Size::new(milli_processors, 1_000, 0),
        requests,
    }
}

fn sent(id: u64, key: Option<&str>, answers: Vec<Answer>) -> Try {
    Try {
        id: TryId(id),
        service: "sender".to_owned(),
        key: key.map(str::to_owned),
        node: NodeId(1),
        sent: at(1_000),
        gives_up_at: at(3_000),
        is_lost: false,
        answers,
    }
}

fn answer(verdict: Verdict, body_of: Option<u64>, is_complete: bool) -> Answer {
    Answer {
        at: at(1_500),
        verdict,
        body_of: body_of.map(TryId),
        is_complete,
        reason: String::new(),
    }
}

fn execution(try_id: u64, key: Option<&str>, began: u64) -> Execution {
    Execution {
        worker: WorkerId(1),
        try_id: TryId(try_id),
        service: "sender".to_owned(),
        key: key.map(str::to_owned),
        began: at(began),
    }
}

fn seen(ms: u64, version: u64) -> VersionObservation {
    VersionObservation {
        at: at(ms),
        node: NodeId(1),
        incarnation: Incarnation(1),
        version,
        is_ready: true,
    }
}

fn records() -> Records {
    let mut records = Records {
        end: at(60_000),
        ..Records::default()
    };
    records.at_most_once.insert("sender".to_owned());
    records.nodes.insert(NodeId(1), "d1".parse().unwrap());
    records
}

/// A name, a function that changes the records, and the beginning of the only expected line. The beginning is empty if
/// no promise is broken.
type Case = (&'static str, fn(&mut Records), &'static str);

const CASES: &[Case] = &[
    ("nothing happened", |_| {}, ""),
    ("a worker is full", |r| r.workers.push(peak(4_000, 8)), ""),
    (
        "a worker is given too much",
        |r| r.workers.push(peak(4_001, 0)),
        "w1 was given more than it holds",
    ),
    (
        "a worker is sent too many requests",
        |r| r.workers.push(peak(0, 9)),
        "w1 was sent 9 requests",
    ),
    (
        "one run after the other",
        |r| r.runs = vec![run("a", 1, 0, 50), run("a", 2, 50, 90)],
        "",
    ),
    (
        "two runs at a time",
        |r| r.runs = vec![run("a", 1, 0, 51), run("a", 2, 50, 90)],
        "a/0 ran on w1 and w2",
    ),
    (
        "its own whole answer",
        |r| r.tries = vec![sent(1, None, vec![answer(Verdict::Ran, Some(1), true)])],
        "",
    ),
    (
        "the answer of another request",
        |r| r.tries = vec![sent(1, None, vec![answer(Verdict::Ran, Some(2), true)])],
        "request 1 got the answer of another",
    ),
    (
        "the stored answer of the same key",
        |r| {
            r.tries = vec![
                sent(1, Some("k"), vec![answer(Verdict::MayHaveRun, None, false)]),
                sent(2, Some("k"), vec![answer(Verdict::Ran, Some(1), true)]),
            ];
        },
        "",
    ),
    (
        "the stored answer of another key",
        |r| {
            r.tries = vec![
                sent(1, Some("k"), vec![answer(Verdict::MayHaveRun, None, false)]),
                sent(2, Some("l"), vec![answer(Verdict::Ran, Some(1), true)]),
            ];
        },
        "request 2 got the answer of another",
    ),
    (
        "a part of an answer",
        |r| r.tries = vec![sent(1, None, vec![answer(Verdict::Ran, Some(1), false)])],
        "request 1 was given a part",
    ),
    (
        "two answers",
        |r| {
            let one = answer(Verdict::NotRun, None, false);
            r.tries = vec![sent(1, None, vec![one.clone(), one])];
        },
        "request 1 was answered twice",
    ),
    (
        "no answer",
        |r| r.tries = vec![sent(1, None, Vec::new())],
        "request 1 got no answer",
    ),
    (
        "no answer from a node that stood still",
        |r| {
            r.tries = vec![sent(1, None, Vec::new())];
            r.disturbances.push(Disturbance {
                node: Some(NodeId(1)),
                domain: None,
                from: at(2_000),
                until: at(9_000),
            });
        },
        "",
    ),
    (
        "not run, and it did not run",
        |r| r.tries = vec![sent(1, None, vec![answer(Verdict::NotRun, None, false)])],
        "",
    ),
    (
        "not run, but it ran later",
        |r| {
            r.tries = vec![sent(1, None, vec![answer(Verdict::NotRun, None, false)])];
            r.executions = vec![execution(1, None, 9_000)];
        },
        "request 1 ran, but its caller was told",
    ),
    (
        "a request that ran twice",
        |r| r.executions = vec![execution(1, Some("k"), 10), execution(2, Some("k"), 20)],
        "request k to sender must not be repeated",
    ),
    (
        "two requests",
        |r| r.executions = vec![execution(1, Some("k"), 10), execution(2, Some("l"), 20)],
        "",
    ),
    (
        "a task that ran twice",
        |r| r.runs = vec![run("sender.0a", 1, 0, 10), run("sender.0a", 1, 20, 30)],
        "sender.0a/0 must not be repeated",
    ),
    (
        "a task of a domain's part that ran twice",
        |r| {
            r.runs = vec![
                run("sender.0a@d1", 1, 0, 10),
                run("sender.0a@d1", 1, 20, 30),
            ];
        },
        "sender.0a@d1/0 must not be repeated",
    ),
    (
        "a replica that was replaced",
        |r| r.runs = vec![run("sender@d1", 1, 0, 10), run("sender@d1", 1, 20, 30)],
        "",
    ),
    (
        "work for a leaving worker at once",
        |r| {
            leave(r);
            r.executions = vec![execution(1, None, 14_000)];
        },
        "",
    ),
    (
        "work for a leaving worker",
        |r| {
            leave(r);
            r.executions = vec![execution(1, None, 16_000)];
        },
        "w1 was leaving, but got new work after 6 s",
    ),
    (
        "a task for a leaving worker",
        |r| {
            leave(r);
            r.runs = vec![run("a", 1, 17_000, 18_000)];
        },
        "w1 was leaving, but got new work after 7 s",
    ),
    (
        "a shutdown that cut a request off",
        |r| r.cut_off = vec![(NodeId(1), TryId(7))],
        "the shutdown of n1 cut off request 7",
    ),
    (
        "in force in time",
        |r| {
            r.accepted_versions = vec![(at(1_000), 1)];
            r.versions = vec![seen(4_900, 0), seen(5_000, 1)];
        },
        "",
    ),
    (
        "in force too late",
        |r| {
            r.accepted_versions = vec![(at(1_000), 1)];
            r.versions = vec![seen(5_000, 0), seen(9_000, 1)];
        },
        "version 1 was accepted at 1.000s, but n1 has 0 at 5.000s",
    ),
    (
        "a version that reverts",
        |r| r.versions = vec![seen(1_000, 2), seen(2_000, 1)],
        "n1 went back from version 2 to 1",
    ),
];

fn leave(records: &mut Records) {
    records.leaving.push(Leaving {
        worker: WorkerId(1),
        domain: "d1".parse().unwrap(),
        listed_at: at(10_000),
    });
}

#[test]
fn each_broken_promise_is_reported() {
    for (name, change, expected) in CASES {
        let mut records = records();
        change(&mut records);
        let lines = broken_promises(&records);
        if expected.is_empty() {
            assert!(lines.is_empty(), "{name}: {lines:?}");
        } else {
            let found = lines.iter().any(|line| line.starts_with(expected));
            assert!(found && lines.len() == 1, "{name}: {lines:?}");
        }
    }
}

/// Guards against disturbances that excuse late versions long after they have ended.
#[test]
fn a_disturbance_excuses_only_what_happens_in_it() {
    let mut records = records();
    records.accepted_versions = vec![(at(1_000), 1)];
    records.versions = vec![seen(30_000, 0)];
    records.disturbances.push(Disturbance {
        node: None,
        domain: None,
        from: at(2_000),
        until: at(9_000),
    });
    assert_eq!(broken_promises(&records).len(), 1);
    let until = at(9_000) + Duration::from_secs(20);
    records.disturbances[0].until = until;
    assert!(broken_promises(&records).is_empty());
}

/// Guards against comparing a run only with the run that started before it, which may have ended earlier than a longer
/// run of the same task.
#[test]
fn a_long_run_is_not_hidden_behind_a_short_one() {
    let mut records = records();
    records.runs = vec![run("a", 1, 0, 100), run("a", 2, 0, 10), run("a", 3, 60, 90)];
    let lines = broken_promises(&records);
    assert!(lines[1].starts_with("a/0 ran on w1 and w3"), "{lines:?}");
}
