//! Accounts of jobs from log lines.

use explain::{History, Outcome, Phase, Report, ReportConfig};

/// A job of two steps while the table is slow; a node takes over between them.
const SLOW: &str = "\
t=1000 node=n1 event=scheduling epoch=8 recovery_ms=20
t=1700 node=n2 event=accepted job=a queue=desk steps=2 objective_ms=2000 ms=700
t=2600 node=n1 event=started task=a.0.0.0 run=1 epoch=8 ms=100 approved_ms=750 decided_ms=600
t=3600 node=n1 event=ended task=a.0.0.0 run=1 how=Done number=1
t=3600 node=n1 event=load epoch=8
t=4600 node=n3 event=scheduling epoch=12 recovery_ms=30
t=4900 node=n3 event=started task=a.0.1.0 run=1 epoch=12 ms=0 decided_ms=100
t=5200 node=n3 event=interrupted task=a.0.1.0 run=1 cause=Lapsed
t=5500 node=n3 event=started task=a.0.1.0 run=2 epoch=12 ms=0 decided_ms=0
t=6000 node=n3 event=ended task=a.0.1.0 run=2 how=Done number=2
t=6400 node=n3 event=state job=a state=Completed epoch=12
";

fn report(log: &str) -> Report {
    let mut history = History::default();
    history.read(log.as_bytes()).unwrap();
    Report::new(&history, &ReportConfig::default())
}

#[test]
fn the_phases_of_a_late_job_add_up_to_its_time() {
    let report = report(SLOW);
    let job = &report.slowest[0];
    assert_eq!(job.outcome, Outcome::Late);
    assert_eq!(job.taken_ms, 5_400);
    assert_eq!(job.phases.values().sum::<u64>(), job.taken_ms);
    let ms = |phase| job.phases.get(&phase).copied().unwrap_or_default();
    assert_eq!(ms(Phase::Acceptance), 700);
    assert_eq!(ms(Phase::Approval), 50);
    assert_eq!(ms(Phase::Takeover), 1_000);
    assert_eq!(ms(Phase::StartStorage), 700);
    assert_eq!(ms(Phase::Order), 100);
    assert_eq!(ms(Phase::Rerun), 300);
    assert_eq!(ms(Phase::Run), 1_500);
    assert_eq!(ms(Phase::EndStorage), 400);
}

/// Guards against an account that depends on the order in which the logs of the nodes are read.
#[test]
fn lines_may_come_in_any_order() {
    let mut lines: Vec<&str> = SLOW.lines().collect();
    lines.reverse();
    assert_eq!(report(&lines.join("\n")), report(SLOW));
}

#[test]
fn refused_unfinished_and_scheduled_jobs_are_told_apart() {
    let report = report(
        "\
t=100 node=n1 event=refused job=r queue=desk reason=\"no room\" ms=2
t=200 node=n1 event=accepted job=u queue=desk steps=1 objective_ms=900 ms=5
t=300 node=n1 event=accepted job=c queue=night steps=1 objective_ms=900 ms=5
t=310 node=n1 event=ended task=c.3.0.0 run=1 how=Done
t=400 node=n1 event=state job=c state=Completed epoch=8
t=500 node=n1 event=state job=unknown state=Completed epoch=8
not a line of a log
",
    );
    assert_eq!((report.jobs, report.late), (3, 0));
    assert_eq!(report.queues["desk"].not_accepted, 1);
    assert_eq!(report.queues["night"].jobs, 1);
    assert!(
        report
            .to_string()
            .contains("desk                 2     0       1")
    );
}
