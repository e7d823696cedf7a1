//! The layout of the rows in the table.
//!
//! | table | part | key | value | written by |
//! |---|---|---|---|---|
//! | `jobs` | one of [`JOB_PARTS`] | job id | the job | the node that accepts it, once |
//! | `jobs` | the same | job id and `!` | [`CANCELLED`] | the node that accepts the cancellation, once |
//! | `guards` | the same | [`GUARD_KEY`] | a [`GuardRow`] | the scheduler, with each deletion in the part |
//! | `progress` | [`SCHEDULER_PART`] | job id | its progress | the scheduler |
//! | `lease` | [`SCHEDULER_PART`] | [`LEASE_KEY`] | the lease row | the scheduler, with each transaction |

use jobs::{Job, JobId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{Row, RowKey};

/// The table of jobs and their cancellations.
pub(crate) const JOBS: &str = "jobs";
/// The table of the guards of the parts of [`JOBS`]. A table of its own, because builds without guards follow [`JOBS`].
pub(crate) const GUARDS: &str = "guards";
/// The table of the progress of jobs.
pub(crate) const PROGRESS: &str = "progress";
/// The table of the lease row, which names the scheduler.
pub(crate) const LEASE: &str = "lease";

/// The number of parts over which jobs are spread. A part executes 200 transactions per second, one at a
/// time, and two per second while the table is slow.
pub(crate) const JOB_PARTS: u64 = 64;
/// The part of all rows that the scheduler writes, so that each of its transactions can include the
/// lease row.
pub(crate) const SCHEDULER_PART: &str = "s";
/// The key of the lease row.
pub(crate) const LEASE_KEY: &str = "scheduler";

/// The key of the guard of a part.
pub(crate) const GUARD_KEY: &str = "guard";

/// The content of a cancellation row. Only the existence of the row matters.
pub(crate) const CANCELLED: [u8; 1] = [1];

/// The suffix of the job id in the key of a cancellation row.
const CANCEL_SUFFIX: char = '!';

/// Returns the number of the part with the rows of a job, below [`JOB_PARTS`].
pub(crate) const fn job_part_number(id: JobId) -> u64 {
    id.0 % JOB_PARTS
}

pub(crate) fn job_part(id: JobId) -> String {
    format!("j{}", job_part_number(id))
}

pub(crate) fn all_job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(|part| format!("j{part}"))
}

pub(crate) fn job_key(id: JobId) -> RowKey {
    RowKey {
        table: JOBS,
        part: job_part(id),
        key: id.to_string(),
    }
}

pub(crate) fn cancel_key(id: JobId) -> RowKey {
    RowKey {
        key: format!("{id}{CANCEL_SUFFIX}"),
        ..job_key(id)
    }
}

/// Returns the exclusive end of the key range that holds a job and its cancellation.
pub(crate) fn job_range_end(id: JobId) -> String {
    format!("{id}~")
}

pub(crate) fn guard_key(part: &str) -> RowKey {
    RowKey {
        table: GUARDS,
        part: part.to_owned(),
        key: GUARD_KEY.to_owned(),
    }
}

pub(crate) fn progress_key(id: JobId) -> RowKey {
    RowKey {
        table: PROGRESS,
        part: SCHEDULER_PART.to_owned(),
        key: id.to_string(),
    }
}

pub(crate) fn lease_key() -> RowKey {
    RowKey {
        table: LEASE,
        part: SCHEDULER_PART.to_owned(),
        key: LEASE_KEY.to_owned(),
    }
}

/// The content of a guard: which transaction has written it. Shows the writer whether an attempt without an answer was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct GuardRow {
    /// The epoch of the scheduler.
    pub(crate) epoch: u64,
    /// The number of the transaction, unique in the epoch.
    pub(crate) number: u64,
}

/// The kind of a row of the table of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobRow {
    Job(JobId),
    Cancel(JobId),
}

/// The decoded content of a row of the table of jobs.
#[derive(Debug)]
pub(crate) enum JobContent {
    Job(JobId, Box<Job>),
    Cancel(JobId),
}

/// Decodes a row of the table of jobs. Returns `None` for a deleted row, and for one that cannot be
/// decoded, which is logged.
pub(crate) fn read_job_row(row: &Row) -> Option<JobContent> {
    row.value.as_ref()?;
    match parse_job_key(&row.key) {
        Some(JobRow::Job(id)) => {
            read_content(JOBS, row).map(|job| JobContent::Job(id, Box::new(job)))
        }
        Some(JobRow::Cancel(id)) => Some(JobContent::Cancel(id)),
        None => {
            log::error!(
                "event=bad_row table={JOBS} key={:?} error=\"no job id\"",
                row.key
            );
            None
        }
    }
}

/// Decodes the content of a row. Returns `None` if it cannot be decoded, which is logged.
pub(crate) fn read_content<T: DeserializeOwned>(table: &str, row: &Row) -> Option<T> {
    match jobs::decode(row.value.as_deref().unwrap_or_default()) {
        Ok(content) => Some(content),
        Err(e) => {
            log::error!(
                "event=bad_row table={table} key={} error={:?}",
                row.key,
                e.to_string()
            );
            None
        }
    }
}

/// Parses the key of a row of the table of jobs. Returns `None` for a key that no node writes.
pub(crate) fn parse_job_key(key: &str) -> Option<JobRow> {
    match key.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => id.parse().ok().map(JobRow::Cancel),
        None => key.parse().ok().map(JobRow::Job),
    }
}
