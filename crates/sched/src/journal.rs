//! Orders changes of jobs, their storage, and the effects that depend on them.
//!
//! Each change has a number. Jobs with unstored changes are queued in the order of their first such
//! change and are written in batches, one batch at a time. An effect is tagged with the number of
//! the last change before it, and is released once all changes up to that number are stored.

use std::collections::{HashSet, VecDeque};

use jobs::JobId;

/// Tracks unstored changes and the effects that wait for them to be stored.
#[derive(Debug)]
pub(crate) struct Journal<E> {
    /// The number of the next change.
    next: u64,
    /// The jobs to store, with the number of their first unstored change.
    dirty: VecDeque<(u64, JobId)>,
    /// The jobs in `dirty`.
    dirty_jobs: HashSet<JobId>,
    /// The number of the last change that is stored once the batch in flight is.
    in_flight: Option<u64>,
    /// All changes up to this number are stored.
    stored: u64,
    /// The number of batches stored so far.
    batches: u64,
    /// The deferred effects, with the number of the change that each waits for.
    effects: VecDeque<(u64, E)>,
}

impl<E> Default for Journal<E> {
    fn default() -> Self {
        Self {
            next: 1,
            dirty: VecDeque::new(),
            dirty_jobs: HashSet::new(),
            in_flight: None,
            stored: 0,
            batches: 0,
            effects: VecDeque::new(),
        }
    }
}

impl<E> Journal<E> {
    /// Records a change of a job. Returns the change's number.
    pub(crate) fn mark_changed(&mut self, job: JobId) -> u64 {
        let change = self.next;
        self.next += 1;
        if self.dirty_jobs.insert(job) {
            self.dirty.push_back((change, job));
        }
        change
    }

    /// Returns the number of the last change.
    pub(crate) const fn last(&self) -> u64 {
        self.next - 1
    }

    /// Returns the number up to which all changes are stored.
    pub(crate) const fn stored(&self) -> u64 {
        self.stored
    }

    /// Returns the number of batches stored so far.
    pub(crate) const fn batches(&self) -> u64 {
        self.batches
    }

    /// Defers `effect` until all changes so far are stored. Returns it if they already are.
    #[must_use]
    pub(crate) fn defer(&mut self, effect: E) -> Option<E> {
        if self.last() <= self.stored {
            return Some(effect);
        }
        self.effects.push_back((self.last(), effect));
        None
    }

    /// Discards the deferred effects for which `is_discarded` returns true.
    pub(crate) fn discard_effects(&mut self, is_discarded: impl Fn(&E) -> bool) {
        self.effects.retain(|(_, effect)| !is_discarded(effect));
    }

    /// Returns whether a batch is in flight.
    pub(crate) const fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether there are changes to store that are not in the batch in flight.
    pub(crate) fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Takes the next batch of at most `limit` jobs, oldest change first.
    pub(crate) fn take_batch(&mut self, limit: usize) -> Vec<JobId> {
        debug_assert!(self.in_flight.is_none());
        let count = limit.min(self.dirty.len());
        let batch: Vec<JobId> = self.dirty.drain(..count).map(|(_, job)| job).collect();
        for job in &batch {
            self.dirty_jobs.remove(job);
        }
        let upto = self
            .dirty
            .front()
            .map_or(self.last(), |(change, _)| change - 1);
        self.in_flight = Some(upto);
        batch
    }

    /// Records that the batch in flight is stored. Returns the effects that waited for it.
    pub(crate) fn batch_stored(&mut self) -> Vec<E> {
        self.batches += 1;
        if let Some(upto) = self.in_flight.take() {
            self.stored = self.stored.max(upto);
        }
        let due = self
            .effects
            .partition_point(|(change, _)| *change <= self.stored);
        self.effects
            .drain(..due)
            .map(|(_, effect)| effect)
            .collect()
    }
}
