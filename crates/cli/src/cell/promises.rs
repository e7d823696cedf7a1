//! The brief's promises, judged from outside: from what workers, backend servers, callers and
//! operators saw, never from the scheduler's own books.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use fakes::Run;
use model::{Incarnation, NodeId, TaskId, Time, Verdict};

use super::records::{Records, Try, TryId, VersionObservation};

/// The most requests that a backend server runs at a time.
const SLOTS: u32 = 8;
/// A leaving backend server gets no new work after this time, counted from the platform's list.
const LEAVING_BOUND: Duration = Duration::from_secs(5);
/// An accepted configuration is in force everywhere after this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// A domain whose scheduler was lost has a new one after this time.
const TAKEOVER: Duration = Duration::from_secs(15);

/// The promises that did not hold, a line each.
#[must_use]
pub fn broken_promises(records: &Records) -> Vec<String> {
    let mut lines = Vec::new();
    capacity(records, &mut lines);
    one_place(records, &mut lines);
    own_answer(records, &mut lines);
    not_run(records, &mut lines);
    at_most_once(records, &mut lines);
    leaving(records, &mut lines);
    shutdown(records, &mut lines);
    in_force(records, &mut lines);
    never_reverts(records, &mut lines);
    lines
}

fn capacity(records: &Records, lines: &mut Vec<String>) {
    for worker in &records.workers {
        let id = worker.worker;
        if !worker.peak.fits(&worker.size) {
            lines.push(format!(
                "{id} was given more than it holds: {}",
                worker.peak
            ));
        }
        if worker.requests > SLOTS {
            let open = worker.requests;
            lines.push(format!("{id} was sent {open} requests at a time"));
        }
    }
}

fn one_place(records: &Records, lines: &mut Vec<String>) {
    let mut runs: BTreeMap<&TaskId, Vec<&Run>> = BTreeMap::new();
    for run in &records.runs {
        runs.entry(&run.task).or_default().push(run);
    }
    for (task, mut runs) in runs {
        runs.sort_by_key(|run| run.began);
        let mut latest: Option<&Run> = None;
        for run in runs {
            if let Some(earlier) = latest
                && ended(earlier) > run.began
            {
                let (a, b, at) = (earlier.worker, run.worker, run.began);
                lines.push(format!("{task} ran on {a} and {b} at {at}"));
            }
            if latest.is_none_or(|earlier| ended(run) > ended(earlier)) {
                latest = Some(run);
            }
        }
    }
}

fn ended(run: &Run) -> Time {
    run.ended.unwrap_or(Time::MAX)
}

fn own_answer(records: &Records, lines: &mut Vec<String>) {
    let keys: BTreeMap<TryId, &Try> = records.tries.iter().map(|t| (t.id, t)).collect();
    for sent in &records.tries {
        let id = sent.id.0;
        if sent.answers.len() > 1 {
            lines.push(format!("request {id} was answered twice"));
        }
        let due = !sent.is_lost && records.end > sent.gives_up_at;
        if sent.answers.is_empty() && due && !node_was_disturbed(records, sent) {
            lines.push(format!("request {id} got no answer"));
        }
        for answer in &sent.answers {
            let same = |other: TryId| {
                let other_try = keys.get(&other);
                other == sent.id
                    || sent.key.is_some() && other_try.is_some_and(|t| t.key == sent.key)
            };
            if !answer.body_of.is_none_or(same) {
                lines.push(format!("request {id} got the answer of another"));
            }
            if answer.verdict == Verdict::Ran && !(answer.is_complete && answer.body_of.is_some()) {
                lines.push(format!("request {id} was given a part as the whole answer"));
            }
        }
    }
}

/// Whether the node that took a request could not act while the caller waited.
fn node_was_disturbed(records: &Records, sent: &Try) -> bool {
    records
        .disturbances
        .iter()
        .any(|d| d.node == Some(sent.node) && d.from <= sent.gives_up_at && sent.sent <= d.until)
}

fn not_run(records: &Records, lines: &mut Vec<String>) {
    let ran: BTreeSet<TryId> = records.executions.iter().map(|e| e.try_id).collect();
    for sent in &records.tries {
        let told = sent.answers.iter().any(|a| a.verdict == Verdict::NotRun);
        if told && ran.contains(&sent.id) {
            let id = sent.id.0;
            lines.push(format!(
                "request {id} ran, but its caller was told that it was not run"
            ));
        }
    }
}

fn at_most_once(records: &Records, lines: &mut Vec<String>) {
    let mut tasks: BTreeMap<&TaskId, u32> = BTreeMap::new();
    for run in &records.runs {
        let unit = run.task.unit.as_str();
        let name = unit.split_once('.').map_or(unit, |(name, _)| name);
        // A service's replicas, `name@domain`, are replaced; other work is `name.hash@domain`.
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

fn leaving(records: &Records, lines: &mut Vec<String>) {
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
            .filter(|at| !records.is_disturbed(None, leaving.domain, (*at, *at), TAKEOVER));
        if let Some(began) = late.max() {
            let span = began.since(listed).as_secs();
            lines.push(format!(
                "{worker} was leaving, but got new work after {span} s"
            ));
        }
    }
}

fn shutdown(records: &Records, lines: &mut Vec<String>) {
    for (node, id) in &records.cut_off {
        lines.push(format!("the shutdown of {node} cut off request {}", id.0));
    }
}

fn in_force(records: &Records, lines: &mut Vec<String>) {
    for (accepted, version) in &records.accepted_versions {
        let bound = *accepted + IN_FORCE_BOUND;
        let mut late: BTreeMap<NodeId, &VersionObservation> = BTreeMap::new();
        for seen in &records.versions {
            let Some(domain) = records.nodes.get(&seen.node) else {
                continue;
            };
            let behind = seen.is_ready && seen.at >= bound && seen.version < *version;
            let node = Some(seen.node);
            let span = (seen.at, seen.at);
            if behind && !records.is_disturbed(node, *domain, span, IN_FORCE_BOUND) {
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

fn never_reverts(records: &Records, lines: &mut Vec<String>) {
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
