//! What a run measured: waiting time, packing and control cost.

use std::{collections::BTreeMap, time::Duration};

use fakes::Run;
use model::{Catalog, Class, TaskId, Time, Verdict, WorkerId};
use serde::Serialize;

use crate::{Costs, Records};

/// How long things of one class waited.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Waits {
    /// The class.
    pub class: &'static str,
    /// What waited: `tasks` for their first start, `requests` for their whole answer.
    pub what: &'static str,
    /// How many waited.
    pub count: usize,
    /// The median, in milliseconds.
    pub p50_ms: u64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: u64,
}

/// How many sendings of requests ended how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Verdicts {
    /// Answered whole.
    pub ran: u64,
    /// Refused, and not run.
    pub not_run: u64,
    /// Not known.
    pub may_have_run: u64,
    /// The caller got no answer.
    pub no_answer: u64,
}

/// What a run measured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Figures {
    /// How long work and requests waited, by class.
    pub waits: Vec<Waits>,
    /// The processors that tasks held on a worker that ran any task, in thousandths, averaged over
    /// workers and time.
    pub milli_processors_per_worker_in_use: u64,
    /// The same as a share of the workers' processors, in percent.
    pub packing_percent: u64,
    /// How sendings of requests ended.
    pub verdicts: Verdicts,
    /// Messages between nodes.
    pub peer_messages: u64,
    /// Calls to workers.
    pub worker_calls: u64,
    /// Calls that read the table.
    pub table_reads: u64,
    /// Transactions tried on the table.
    pub table_writes: u64,
    /// Requests that were passed on to another region.
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

/// How long tasks waited for their first start.
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

fn request_waits(records: &Records, catalog: &Catalog, class: Class) -> Vec<Duration> {
    let of_class = |service: &str| catalog.units.get(service).is_some_and(|u| u.class == class);
    let tries = records.tries.iter().filter(|t| of_class(&t.service));
    let ran = tries.filter_map(|t| {
        let answer = t.answers.first().filter(|a| a.verdict == Verdict::Ran)?;
        Some(answer.at.since(t.sent))
    });
    ran.collect()
}

/// Processor time held by tasks, worker time in use, and processor time of workers in use; in
/// milliseconds, and thousandths of a processor times milliseconds.
fn packing(records: &Records) -> (u64, u64, u64) {
    let ended = |run: &Run| run.ended.unwrap_or(records.end);
    let mut used = 0;
    let mut spans: BTreeMap<WorkerId, Vec<(Time, Time)>> = BTreeMap::new();
    for run in &records.runs {
        let ms = millis(ended(run).since(run.began));
        used += ms * run.size.milli_processors;
        let list = spans.entry(run.worker).or_default();
        list.push((run.began, ended(run)));
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

/// The length of the union of spans, in milliseconds.
fn covered(mut spans: Vec<(Time, Time)>) -> u64 {
    spans.sort_unstable();
    let mut upto = Time::ZERO;
    let mut total = 0;
    for (from, until) in spans {
        total += millis(until.since(from.max(upto)));
        upto = upto.max(until);
    }
    total
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

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
