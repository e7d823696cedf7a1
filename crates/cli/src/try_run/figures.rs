//! The figures of a run: waiting times, packing of workers and control cost.

use std::{collections::BTreeMap, time::Duration};

use fakes::Run;
use model::{Catalog, Class, TaskId, Time, Verdict, WorkerId};
use serde::Serialize;

use crate::{Costs, Records};

/// The waiting times of the tasks or requests of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Waits {
    /// The class.
    pub class: &'static str,
    /// What waited: `tasks` for their first start, or `requests` for their complete answer.
    pub what: &'static str,
    /// The number of tasks or requests.
    pub count: usize,
    /// The median waiting time, in milliseconds.
    pub p50_ms: u64,
    /// The 99th percentile of the waiting time, in milliseconds.
    pub p99_ms: u64,
}

/// The number of tries of requests, by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Verdicts {
    /// Tries that were run and answered.
    pub ran: u64,
    /// Tries that were refused and not run.
    pub not_run: u64,
    /// Tries with an unknown outcome.
    pub may_have_run: u64,
    /// Tries without an answer.
    pub no_answer: u64,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Figures {
    /// The waiting times of tasks and requests, by class.
    pub waits: Vec<Waits>,
    /// The processors allocated to tasks on a worker that runs any task, in thousandths of a processor, averaged over
    /// workers and time.
    pub milli_processors_per_worker_in_use: u64,
    /// The allocated processors as a share of the processors of the workers that run any task, in percent.
    pub packing_percent: u64,
    /// The outcomes of the tries of requests.
    pub verdicts: Verdicts,
    /// The number of messages between nodes.
    pub peer_messages: u64,
    /// The number of calls to workers.
    pub worker_calls: u64,
    /// The number of read calls to the table.
    pub table_reads: u64,
    /// The number of attempted transactions on the table.
    pub table_writes: u64,
    /// The number of requests that were forwarded to another region.
    pub cross_region_requests: u64,
}

impl Figures {
    pub(crate) fn of(records: &Records, catalog: &Catalog, from: Time, costs: Costs) -> Self {
        let mut waits = Vec::new();
        for class in Class::URGENT_FIRST {
            waits.extend(summary(
                class,
                "tasks",
                task_waits(records, catalog, class, from),
            ));
            waits.extend(summary(
                class,
                "requests",
                request_waits(records, catalog, class),
            ));
        }
        let (used, in_use, held) = packing(records);
        Self {
            waits,
            milli_processors_per_worker_in_use: used / in_use.max(1),
            packing_percent: used * 100 / held.max(1),
            verdicts: verdicts(records),
            peer_messages: costs.peer_messages,
            worker_calls: costs.worker_calls,
            table_reads: costs.table_reads,
            table_writes: costs.table_writes,
            cross_region_requests: costs.cross_region_requests,
        }
    }
}

/// Returns the percentiles of the waiting times, or `None` if there are none.
fn summary(class: Class, what: &'static str, mut waits: Vec<Duration>) -> Option<Waits> {
    waits.sort_unstable();
    let last = waits.len().checked_sub(1)?;
    let at = |percent: usize| {
        let ms = waits[last * percent / 100].as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    };
    Some(Waits {
        class: class.as_str(),
        what,
        count: waits.len(),
        p50_ms: at(50),
        p99_ms: at(99),
    })
}

/// Returns the time from `from` to the first start of each task of a class.
fn task_waits(records: &Records, catalog: &Catalog, class: Class, from: Time) -> Vec<Duration> {
    let mut first: BTreeMap<&TaskId, Time> = BTreeMap::new();
    for run in &records.runs {
        let unit = run.task.unit.as_str();
        let name = unit.split(['.', '@']).next().unwrap_or(unit);
        if catalog.units.get(name).is_some_and(|u| u.class == class) {
            let began = first.entry(&run.task).or_insert(run.began);
            *began = (*began).min(run.began);
        }
    }
    first.values().map(|began| began.since(from)).collect()
}

/// Returns the time from sending to the answer of each request of a class that ran.
fn request_waits(records: &Records, catalog: &Catalog, class: Class) -> Vec<Duration> {
    let of_class = |service: &str| catalog.units.get(service).is_some_and(|u| u.class == class);
    let tries = records.tries.iter().filter(|t| of_class(&t.service));
    let ran = tries.filter_map(|t| {
        let answer = t.answers.first().filter(|a| a.verdict == Verdict::Ran)?;
        Some(answer.at.since(t.sent))
    });
    ran.collect()
}

/// Returns the processor time allocated to tasks, the time in which workers ran any task, and the processor time of
/// the workers in that time. Times are in milliseconds, and processor times in thousandths of a processor times
/// milliseconds.
fn packing(records: &Records) -> (u64, u64, u64) {
    let end_of = |run: &Run| run.ended.unwrap_or(records.end);
    let mut used = 0;
    let mut spans: BTreeMap<WorkerId, Vec<(Time, Time)>> = BTreeMap::new();
    for run in &records.runs {
        let ms = millis(end_of(run).since(run.began));
        used += ms * run.size.milli_processors;
        let list = spans.entry(run.worker).or_default();
        list.push((run.began, end_of(run)));
    }
    let mut in_use = 0;
    let mut held = 0;
    for worker in &records.workers {
        let ms = covered(spans.remove(&worker.worker).unwrap_or_default());
        in_use += ms;
        held += ms * worker.size.milli_processors;
    }
    (used, in_use, held)
}

/// Returns the length of the union of spans, in milliseconds.
fn covered(mut spans: Vec<(Time, Time)>) -> u64 {
    spans.sort_unstable();
    let mut covered_until = Time::ZERO;
    let mut total = 0;
    for (from, until) in spans {
        total += millis(until.since(from.max(covered_until)));
        covered_until = covered_until.max(until);
    }
    total
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Counts the tries by the verdict of their first answer.
fn verdicts(records: &Records) -> Verdicts {
    let mut counts = Verdicts::default();
    for sent in &records.tries {
        match sent.answers.first().map(|answer| answer.verdict) {
            Some(Verdict::Ran) => counts.ran += 1,
            Some(Verdict::NotRun) => counts.not_run += 1,
            Some(Verdict::MayHaveRun) => counts.may_have_run += 1,
            None => counts.no_answer += 1,
        }
    }
    counts
}
