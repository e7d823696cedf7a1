//! A stand-in for the table: rows with versions, and transactions that are conditional on the lease row.

use std::collections::BTreeMap;

use jobs::{Job, JobId, Progress};
use sched::{Batch, LeaseRow, Recovered};

/// The lease row and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Lease {
    pub(super) row: LeaseRow,
    pub(super) version: u64,
}

/// A transaction of a scheduler, stored only if the lease row has the expected version.
#[derive(Clone, Debug)]
pub(super) struct Write {
    pub(super) expected: u64,
    pub(super) row: LeaseRow,
    pub(super) batch: Batch,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// It was stored, and the lease row has this version.
    Stored(u64),
    /// It was not stored, because the lease row is this one.
    Conflict(Lease),
}

#[derive(Debug, Default)]
pub(super) struct Table {
    version: u64,
    pub(super) lease: Lease,
    jobs: BTreeMap<JobId, Job>,
    cancelled: BTreeMap<JobId, u64>,
    progress: BTreeMap<JobId, Vec<u8>>,
    /// The number of transactions stored so far.
    pub(super) writes: u64,
    /// Stores transactions without checking their condition; only set by a mutation.
    ignores_conditions: bool,
}

impl Table {
    pub(super) fn new(ignores_conditions: bool) -> Self {
        Self {
            ignores_conditions,
            ..Self::default()
        }
    }

    pub(super) fn add_job(&mut self, id: JobId, job: Job) {
        self.version += 1;
        self.writes += 1;
        self.jobs.entry(id).or_insert(job);
    }

    /// Returns the number of progress rows of jobs that are not stored.
    pub(super) fn rows_without_job(&self) -> usize {
        let is_missing = |id: &&JobId| !self.jobs.contains_key(id);
        self.progress.keys().filter(is_missing).count()
    }

    pub(super) fn cancel(&mut self, id: JobId) {
        self.version += 1;
        self.writes += 1;
        self.cancelled.insert(id, self.version);
    }

    pub(super) fn write(&mut self, write: &Write) -> Written {
        if write.expected != self.lease.version && !self.ignores_conditions {
            return Written::Conflict(self.lease.clone());
        }
        self.version += 1;
        self.writes += 1;
        self.lease = Lease {
            row: write.row.clone(),
            version: self.version,
        };
        for (id, row) in &write.batch.rows {
            self.progress.insert(*id, row.clone());
        }
        for id in &write.batch.forgotten {
            self.progress.remove(id);
        }
        Written::Stored(self.version)
    }

    /// Returns the state that a new scheduler recovers from.
    pub(super) fn read(&self) -> Recovered {
        let progress = self.progress.iter().map(|(&id, row)| {
            let progress: Progress = jobs::decode(row).expect("rows are written by schedulers");
            (id, progress)
        });
        Recovered {
            jobs: self
                .jobs
                .iter()
                .map(|(&id, job)| (id, job.clone()))
                .collect(),
            progress: progress.collect(),
            cancelled: self.cancelled.keys().copied().collect(),
            ..Recovered::default()
        }
    }
}
