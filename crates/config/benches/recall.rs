//! Measures how soon a recall stops 5,000 running tasks, in the embedded cell with 160 workers in 10 failure
//! domains.
//!
//! The baseline is a cancellation of the same batch. Both are also measured with one failure domain cut off
//! from the platform. That domain learns of a recall from its peers, but not of a cancellation.

use std::time::Duration;

use cli::{Cell, CellConfig, Fault};
use fakes::{PlatformSpec, RunPlan};
use model::{NodeId, Time};
use node::api::{FileText, OperatorReq, OperatorResp, RecallTarget, Submitter};

const DOMAINS: u32 = 10;
const WORKERS: u32 = 160;
const TASKS: usize = 5_000;
/// When the batch is published.
const PUBLISH_AT: Duration = Duration::from_secs(20);
/// When one failure domain is cut off from the platform.
const CUT_AT: Duration = Duration::from_secs(140);
/// When the batch is recalled or cancelled.
const STOP_AT: Duration = Duration::from_secs(150);
/// When the runs are counted.
const END_AT: Duration = Duration::from_secs(200);
/// The operator file that publishes the batch.
const FILE: &str = r#"
[team]
name = "t"
quota = { processors = 100000, memory_mb = 100000000 }

[[batch]]
name = "faulty"
team = "t"
command = ["faulty"]
size = { processors = 1, memory_mb = 64 }
class = "standard"
tasks = 5000
repeat = "safe"
run_time_s = 3600
"#;

fn main() {
    for (suffix, is_cut) in [("", false), ("_one_domain_cut", true)] {
        let by = Submitter::default;
        let targets = vec![RecallTarget::Batch("faulty".to_owned())];
        let recall = OperatorReq::Recall { by: by(), targets };
        run(&format!("recall{suffix}"), recall, is_cut);
        let name = "faulty".to_owned();
        let cancel = OperatorReq::Cancel { by: by(), name };
        run(&format!("cancel{suffix}"), cancel, is_cut);
    }
}

/// Runs the cell with the given call at [`STOP_AT`], and prints the figures.
fn run(name: &str, stop: OperatorReq, is_cut: bool) {
    let hour = Duration::from_secs(3_600);
    let plan = RunPlan {
        min: hour,
        max: hour,
        ..RunPlan::default()
    };
    let platform = PlatformSpec {
        domains: DOMAINS,
        workers: WORKERS,
        plan,
        ..PlatformSpec::default()
    };
    let mut cell = Cell::new(&CellConfig {
        platform,
        ..CellConfig::default()
    });
    cell.run_until(PUBLISH_AT);
    let publish = OperatorReq::Publish {
        by: Submitter::default(),
        base: None,
        files: vec![FileText {
            path: "lacewing.toml".to_owned(),
            text: FILE.to_owned(),
        }],
        dry_run: false,
    };
    expect_done(cell.call_operator(NodeId(1), publish).as_ref());
    cell.run_until(CUT_AT);
    if is_cut {
        let domain = format!("d{DOMAINS}")
            .parse()
            .expect("a short name is valid");
        let ms = u64::try_from(CUT_AT.as_millis()).expect("a few minutes");
        cell.schedule_fault(ms, Fault::CutFromPlatform(domain, END_AT));
    }
    cell.run_until(STOP_AT);
    let called_at = cell.now();
    expect_done(cell.call_operator(NodeId(1), stop).as_ref());
    let answered_at = cell.now();
    cell.run_until(END_AT);
    let runs = cell.records().runs;
    let was_running = |began: Time, ended: Option<Time>| {
        began <= called_at && ended.is_none_or(|ended| ended > called_at)
    };
    let running = runs.iter().filter(|run| was_running(run.began, run.ended));
    let late = runs.iter().filter(|run| run.began > answered_at).count();
    let still = runs.iter().filter(|run| run.ended.is_none()).count();
    let last = runs.iter().filter_map(|run| run.ended).max();
    let span = last.map_or(f64::NAN, |last| last.since(called_at).as_secs_f64());
    println!("figure {name}_running_tasks {} tasks", running.count());
    println!("figure {name}_last_stop_s {span:.3} s");
    println!("figure {name}_never_stopped {still} tasks");
    println!("figure {name}_started_after_answer {late} tasks");
    assert!(runs.len() >= TASKS, "only {} tasks have run", runs.len());
}

fn expect_done(resp: Option<&OperatorResp>) {
    assert!(matches!(resp, Some(OperatorResp::Done { .. })), "{resp:?}");
}
