//! Checks of the system's promises to operators and callers.
//!
//! The checks use only the records of workers, backend servers, callers and operators, and not the scheduler's own
//! state, which may be wrong itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::Run;
use model::{Incarnation, NodeId, TaskId, Time, Verdict};

use super::records::{Records, Try, TryId, VersionObservation};

/// The largest number of requests that a backend server may have open at the same time.
const MAX_OPEN_REQUESTS: u32 = 8;
/// A leaving worker gets no new tasks or requests later than this after the VM list shows it as leaving.
const LEAVING_BOUND: Duration = Duration::from_secs(5);
/// An accepted version of the configuration is in force on all ready nodes within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// A domain that lost its scheduler has a new one within this time.
const TAKEOVER_BOUND: Duration = Duration::from_secs(15);

/// Returns the promises that were broken, one line each.
#[must_use]
pub fn broken_promises(records: &Records) -> Vec<String> {
    let mut lines = Vec::new();
    check_capacity(records, &mut lines);
    check_single_run(records, &mut lines);
    check_answers(records, &mut lines);
    check_not_run(records, &mut lines);
    check_at_most_once(records, &mut lines);
    check_leaving(records, &mut lines);
    check_shutdown(records, &mut lines);
    check_in_force(records, &mut lines);
    check_versions_increase(records, &mut lines);
    lines
}

/// No worker is allocated more than its capacity, and no backend server has too many open requests.
fn check_capacity(records: &Records, lines: &mut Vec<String>) {
    for worker in &records.workers {
        let id = worker.worker;
        if !worker.peak.fits(&worker.size) {
            lines.push(format!(
                "{id} was given more than it holds: {}",
                worker.peak
            ));
        }
        if worker.requests > MAX_OPEN_REQUESTS {
            let open = worker.requests;
            lines.push(format!("{id} was sent {open} requests at a time"));
        }
    }
}

/// No two attempts of a task run at the same time.
fn check_single_run(records: &Records, lines: &mut Vec<String>) {
    let mut runs: BTreeMap<&TaskId, Vec<&Run>> = BTreeMap::new();
    for run in &records.runs {
        runs.entry(&run.task).or_default().push(run);
    }
    for (task, mut runs) in runs {
        runs.sort_by_key(|run| run.began);
        let mut latest: Option<&Run> = None;
        for run in runs {
            if let Some(earlier) = latest
                && end_of(earlier) > run.began
            {
                let (a, b, at) = (earlier.worker, run.worker, run.began);
                lines.push(format!("{task} ran on {a} and {b} at {at}"));
            }
            if latest.is_none_or(|earlier| end_of(run) > end_of(earlier)) {
                latest = Some(run);
            }
        }
    }
}

/// Returns the end of a run, or the largest time if it has not ended.
fn end_of(run: &Run) -> Time {
    run.ended.unwrap_or(Time::MAX)
}

/// Each request gets exactly one answer, which is complete and belongs to the request or to one with the same key.
fn check_answers(records: &Records, lines: &mut Vec<String>) {
    let tries: BTreeMap<TryId, &Try> = records.tries.iter().map(|t| (t.id, t)).collect();
    for sent in &records.tries {
        let id = sent.id.0;
        if sent.answers.len() > 1 {
            lines.push(format!("request {id} was answered twice"));
        }
        let is_due = !sent.is_lost && records.end > sent.gives_up_at;
        if sent.answers.is_empty() && is_due && !node_was_disturbed(records, sent) {
            lines.push(format!("request {id} got no answer"));
        }
        for answer in &sent.answers {
            let is_same_request = |other: TryId| {
                let other_try = tries.get(&other);
                other == sent.id
                    || sent.key.is_some() && other_try.is_some_and(|t| t.key == sent.key)
            };
            if !answer.body_of.is_none_or(is_same_request) {
                lines.push(format!("request {id} got the answer of another"));
            }
            if answer.verdict == Verdict::Ran && !(answer.is_complete && answer.body_of.is_some()) {
                lines.push(format!("request {id} was given a part as the whole answer"));
            }
        }
    }
}

/// Returns whether a disturbance affected the node of a try while the caller waited.
fn node_was_disturbed(records: &Records, sent: &Try) -> bool {
    records
        .disturbances
        .iter()
        .any(|d| d.node == Some(sent.node) && d.from <= sent.gives_up_at && sent.sent <= d.until)
}

/// A request that was answered as not run does not run, not even later.
fn check_not_run(records: &Records, lines: &mut Vec<String>) {
    let ran: BTreeSet<TryId> = records.executions.iter().map(|e| e.try_id).collect();
    for sent in &records.tries {
        let is_refused = sent.answers.iter().any(|a| a.verdict == Verdict::NotRun);
        if is_refused && ran.contains(&sent.id) {
            let id = sent.id.0;
            lines.push(format!(
                "request {id} ran, but its caller was told that it was not run"
            ));
        }
    }
}

/// Tasks and requests that must not be repeated run at most once.
fn check_at_most_once(records: &Records, lines: &mut Vec<String>) {
    let mut tasks: BTreeMap<&TaskId, u32> = BTreeMap::new();
    for run in &records.runs {
        let unit = run.task.unit.as_str();
        let name = unit.split_once('.').map_or(unit, |(name, _)| name);
        // The units of a service are named `name@domain`, and its replicas may be replaced. The units of other work
        // are named `name.hash@domain`.
        if records.at_most_once.contains(name) && unit.contains('.') {
            *tasks.entry(&run.task).or_default() += 1;
        }
    }
    for (task, count) in tasks.into_iter().filter(|(_, count)| *count > 1) {
        lines.push(format!(
            "{task} must not be repeated, but ran {count} times"
        ));
    }
    let mut requests: BTreeMap<(&str, &str), u32> = BTreeMap::new();
    for run in &records.executions {
        if let Some(key) = &run.key
            && records.at_most_once.contains(&run.service)
        {
            *requests.entry((&run.service, key)).or_default() += 1;
        }
    }
    for ((service, key), count) in requests.into_iter().filter(|(_, count)| *count > 1) {
        lines.push(format!(
            "request {key} to {service} must not be repeated, but ran {count} times"
        ));
    }
}

/// A leaving worker gets no new work, except during or shortly after a disturbance of its domain.
fn check_leaving(records: &Records, lines: &mut Vec<String>) {
    for leaving in &records.leaving {
        let (worker, listed) = (leaving.worker, leaving.listed_at);
        let bound = listed + LEAVING_BOUND;
        let starts = records.runs.iter().filter(|run| run.worker == worker);
        let starts = starts.map(|run| run.began);
        let requests = records.executions.iter().filter(|e| e.worker == worker);
        let requests = requests.map(|execution| execution.began);
        let late = starts
            .chain(requests)
            .filter(|began| *began > bound)
            .filter(|at| !records.is_disturbed(None, leaving.domain, (*at, *at), TAKEOVER_BOUND));
        if let Some(began) = late.max() {
            let span = began.since(listed).as_secs();
            lines.push(format!(
                "{worker} was leaving, but got new work after {span} s"
            ));
        }
    }
}

/// A graceful shutdown does not cut off requests.
fn check_shutdown(records: &Records, lines: &mut Vec<String>) {
    for (node, id) in &records.cut_off {
        lines.push(format!("the shutdown of {node} cut off request {}", id.0));
    }
}

/// An accepted version of the configuration is in force on all ready nodes in time, except on disturbed nodes.
fn check_in_force(records: &Records, lines: &mut Vec<String>) {
    for (accepted, version) in &records.accepted_versions {
        let bound = *accepted + IN_FORCE_BOUND;
        let mut late: BTreeMap<NodeId, &VersionObservation> = BTreeMap::new();
        for seen in &records.versions {
            let Some(domain) = records.nodes.get(&seen.node) else {
                continue;
            };
            let is_behind = seen.is_ready && seen.at >= bound && seen.version < *version;
            let node = Some(seen.node);
            let span = (seen.at, seen.at);
            if is_behind && !records.is_disturbed(node, *domain, span, IN_FORCE_BOUND) {
                late.entry(seen.node).or_insert(seen);
            }
        }
        for (node, seen) in late {
            let (at, has) = (seen.at, seen.version);
            lines.push(format!(
                "version {version} was accepted at {accepted}, but {node} has {has} at {at}"
            ));
        }
    }
}

/// The version that is in force on an incarnation of a node never decreases.
fn check_versions_increase(records: &Records, lines: &mut Vec<String>) {
    let mut newest: BTreeMap<(NodeId, Incarnation), u64> = BTreeMap::new();
    for seen in &records.versions {
        let last = newest.entry((seen.node, seen.incarnation)).or_default();
        if seen.version < *last {
            let (node, has) = (seen.node, seen.version);
            lines.push(format!("{node} went back from version {last} to {has}"));
        }
        *last = (*last).max(seen.version);
    }
}
