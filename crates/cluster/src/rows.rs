//! What lies in the table, and where.
//!
//! | table | part | key | value | written by |
//! |---|---|---|---|---|
//! | `jobs` | one of [`JOB_PARTS`] | job id | the job | the node that takes it in, once |
//! | `jobs` | the same | job id and `!` | nothing | the node that takes the cancelling in, once |
//! | `progress` | [`SCHEDULER_PART`] | job id | its progress | the scheduler |
//! | `lease` | [`SCHEDULER_PART`] | [`LEASE_KEY`] | who schedules | the scheduler, with each transaction |

use jobs::{Job, JobId};
use serde::de::DeserializeOwned;

use crate::{Row, RowKey};

/// Jobs and their cancellings.
pub(crate) const JOBS: &str = "jobs";
/// The progress of jobs.
pub(crate) const PROGRESS: &str = "progress";
/// Who schedules.
pub(crate) const LEASE: &str = "lease";

/// Jobs are spread over so many parts. A part takes 200 transactions a second one after the other, and
/// two a second while the table is slow; each job is one.
pub(crate) const JOB_PARTS: u64 = 64;
/// All that the scheduler writes is in one part, so that each write can be bound to its lease row.
pub(crate) const SCHEDULER_PART: &str = "s";
/// The lease row.
pub(crate) const LEASE_KEY: &str = "scheduler";

/// The content of a cancelling. Only that there is one counts.
pub(crate) const CANCELLED: [u8; 1] = [1];

/// Follows the id in the key of a cancelling.
const CANCEL_MARK: char = '!';

pub(crate) fn job_part(id: JobId) -> String {
    format!("j{}", id.0 % JOB_PARTS)
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
        key: format!("{id}{CANCEL_MARK}"),
        ..job_key(id)
    }
}

/// The end of the range of keys that holds a job and its cancelling.
pub(crate) fn job_range_end(id: JobId) -> String {
    format!("{id}~")
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

/// What a row of the table of jobs is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobRow {
    Job(JobId),
    Cancel(JobId),
}

/// What a row of the table of jobs holds.
#[derive(Debug)]
pub(crate) enum JobContent {
    Job(JobId, Box<Job>),
    Cancel(JobId),
}

/// Reads a row of the table of jobs. None for a deleted row, and for one that can't be read, which is
/// logged.
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

/// Reads the content of a row. None if it can't be read, which is logged.
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

/// Reads the key of a row of the table of jobs. None for a key that no node of this program writes.
pub(crate) fn parse_job_key(key: &str) -> Option<JobRow> {
    match key.strip_suffix(CANCEL_MARK) {
        Some(id) => id.parse().ok().map(JobRow::Cancel),
        None => key.parse().ok().map(JobRow::Job),
    }
}
