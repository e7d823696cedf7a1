//! Reads the state from which a new scheduler continues.

use std::{collections::HashMap, time::Duration};

use sched::{PastLeases, Recovered, Scheduler};
use tokio::{
    task::{JoinSet, spawn_local},
    time::{Instant, sleep, timeout_at},
};

use crate::{
    CallError, Directory, Node, Page, Ports, Row, Table,
    lease::LeaseWriter,
    link::Link,
    message::Message,
    rows::{JOBS, JobContent, PROGRESS, SCHEDULER_PART, all_job_parts, read_content, read_job_row},
};

/// How often other nodes are sent a message that this node is about to schedule: several times within the
/// silence after which they would take over.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The versions from which to follow the tables.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedPositions {
    pub(crate) jobs: u64,
    pub(crate) workers: u64,
}

/// Reads the table and the list of workers, and builds a scheduler from them. Renews the lease row
/// meanwhile. Returns `None` if another node has taken over, or if this node drains.
pub(crate) async fn recover<P: Ports>(
    node: &Node<P>,
    mut writer: LeaseWriter,
) -> Option<(Scheduler, LeaseWriter, FeedPositions)> {
    let reader = node.clone();
    let epoch = writer.epoch();
    let past = writer.past_leases().clone();
    let mut reading = spawn_local(async move { read_all(&reader, epoch, past).await });
    loop {
        tokio::select! {
            read = &mut reading => return read.ok().map(|(scheduler, positions)| (scheduler, writer, positions)),
            () = sleep(node.0.settings.sched.heartbeat_interval) => {
                let sent_at = node.0.clock.time();
                if !writer.commit(node, &sched::Batch::default()).await {
                    reading.abort();
                    return None;
                }
                node.0.recovery_sent_at.set(Some(sent_at));
            }
        }
        if node.0.is_draining.get() {
            reading.abort();
            writer.release(node).await;
            return None;
        }
    }
}

/// Notifies another node at intervals that this one is about to schedule, so that it does not take over.
/// When the recovery ends the link closes, and the other node opens a new one.
pub(crate) async fn serve_while_recovering<P: Ports>(node: Node<P>, mut link: Link) {
    while let Some(sent_at) = node.0.recovery_sent_at.get() {
        let age = node.0.clock.time() - sent_at;
        let message = Message::Recovering {
            table_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        if link.tx.try_send(message).is_err() {
            return;
        }
        let pause = Instant::now() + HEARTBEAT_INTERVAL;
        while let Ok(message) = timeout_at(pause, link.rx.recv()).await {
            match message {
                Some(Message::ConfigurationQuestion(question)) => {
                    node.answer_question(question, &link.tx);
                }
                // The other node repeats its messages on the next link.
                Some(_) => {}
                None => return,
            }
        }
    }
}

async fn read_all<P: Ports>(
    node: &Node<P>,
    epoch: u64,
    past: PastLeases,
) -> (Scheduler, FeedPositions) {
    let (mut recovered, jobs) = read_jobs(node).await;
    for (id, job) in &recovered.jobs {
        node.record_job(*id, job);
    }
    log::info!(
        "event=recovered epoch={epoch} jobs={} with_progress={} cancelled={} version={jobs}",
        recovered.jobs.len(),
        recovered.progress.len(),
        recovered.cancelled.len()
    );
    let (workers, read_at) = loop {
        let read_at = node.0.clock.time();
        match node.0.ports.workers().await {
            Ok(change) => break (change, read_at),
            Err(e) => log_and_pause("workers", &e).await,
        }
    };
    let now = node.0.clock.now();
    recovered.leases = Some(past);
    recovered.confirmed_at = node.0.recovery_sent_at.get();
    let mut scheduler = Scheduler::new(node.0.settings.sched, epoch, now, recovered);
    for info in workers.value {
        scheduler.worker_listed(now, info);
    }
    scheduler.workers_read(now, read_at);
    let positions = FeedPositions {
        jobs,
        workers: workers.version,
    };
    (scheduler, positions)
}

/// Reads all jobs with their progress. Also returns the version from which to follow the table of jobs.
pub(crate) async fn read_jobs<P: Ports>(node: &Node<P>) -> (Recovered, u64) {
    let mut recovered = Recovered::default();
    let mut after = u64::MAX;
    // The progress is read before the jobs. A job's progress is deleted only after its row, so a row that is
    // read later without progress is never that of an ended job that is being deleted.
    let mut reads = JoinSet::new();
    for (from, to) in id_ranges() {
        let node = node.clone();
        reads.spawn_local(async move {
            read_range(&node, PROGRESS, SCHEDULER_PART, &from, to.as_deref()).await
        });
    }
    while let Some(read) = reads.join_next().await {
        let (rows, _) = read.expect("a read does not panic");
        for row in rows {
            if let (Ok(id), Some(progress)) = (row.key.parse(), read_content(PROGRESS, &row)) {
                recovered.progress.insert(id, progress);
            }
        }
    }
    let mut reads = JoinSet::new();
    for part in all_job_parts() {
        let node = node.clone();
        reads.spawn_local(async move { read_range(&node, JOBS, &part, "", None).await });
    }
    while let Some(read) = reads.join_next().await {
        let (rows, version) = read.expect("a read does not panic");
        after = after.min(version);
        for content in rows.iter().filter_map(read_job_row) {
            match content {
                JobContent::Job(id, job) => recovered.jobs.push((id, *job)),
                JobContent::Cancel(id) => {
                    recovered.cancelled.insert(id);
                }
            }
        }
    }
    (recovered, after)
}

/// Returns ranges of keys that together hold all job ids: one for each first digit. The progress of all jobs
/// lies in one part, and its pages would otherwise be read one after the other, each a round trip.
fn id_ranges() -> impl Iterator<Item = (String, Option<String>)> {
    (0..16).map(|digit: u32| {
        let from = format!("{digit:x}");
        let to = (digit < 15).then(|| format!("{:x}", digit + 1));
        (from, to)
    })
}

/// Reads the rows of a part with keys from `from` up to, not including, `to`. Also returns the version from
/// which to follow the part's changes.
async fn read_range<P: Ports>(
    node: &Node<P>,
    table: &'static str,
    part: &str,
    from: &str,
    to: Option<&str>,
) -> (Vec<Row>, u64) {
    // A row that changes between two pages may be read twice.
    let mut rows: HashMap<String, Row> = HashMap::new();
    let mut from = from.to_owned();
    let mut first_version = None;
    loop {
        let page = read_page(node, table, part, &from, to).await;
        first_version.get_or_insert(page.version);
        if let Some(last) = page.rows.last() {
            // The smallest key above the last one.
            from = format!("{}\0", last.key);
        }
        rows.extend(page.rows.into_iter().map(|row| (row.key.clone(), row)));
        if !page.has_more {
            return (rows.into_values().collect(), first_version.unwrap_or(0));
        }
    }
}

async fn read_page<P: Ports>(
    node: &Node<P>,
    table: &'static str,
    part: &str,
    from: &str,
    to: Option<&str>,
) -> Page {
    loop {
        match node.0.ports.read(table, part, from, to).await {
            Ok(page) => return page,
            Err(e) => log_and_pause(table, &e).await,
        }
    }
}

async fn log_and_pause(what: &str, error: &CallError) {
    log::warn!(
        "event=recovery_unread what={what} error={:?}",
        error.to_string()
    );
    sleep(RETRY_DELAY).await;
}
