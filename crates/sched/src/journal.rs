//! What has to be stored before something else may happen.
//!
//! Each change gets a number. Jobs with changes wait in the order of their first one and are written in
//! batches, one at a time. An effect is bound to the number of the change that it rests on, and is
//! released once all changes up to that number are stored.

use std::collections::{HashSet, VecDeque};

use jobs::JobId;

/// Orders changes, their storing, and the effects that wait for it.
#[derive(Debug)]
pub(crate) struct Journal<E> {
    next: u64,
    dirty: VecDeque<(u64, JobId)>,
    is_dirty: HashSet<JobId>,
    /// The last change of the batch on its way.
    in_flight: Option<u64>,
    stored: u64,
    effects: VecDeque<(u64, E)>,
}

impl<E> Default for Journal<E> {
    fn default() -> Self {
        Self {
            next: 1,
            dirty: VecDeque::new(),
            is_dirty: HashSet::new(),
            in_flight: None,
            stored: 0,
            effects: VecDeque::new(),
        }
    }
}

impl<E> Journal<E> {
    /// Notes a change of a job. Returns the change's number.
    pub(crate) fn mark(&mut self, job: JobId) -> u64 {
        let change = self.next;
        self.next += 1;
        if self.is_dirty.insert(job) {
            self.dirty.push_back((change, job));
        }
        change
    }

    /// The number of the last change.
    pub(crate) const fn last(&self) -> u64 {
        self.next - 1
    }

    /// All changes up to this one are stored.
    pub(crate) const fn stored(&self) -> u64 {
        self.stored
    }

    /// Has `effect` wait until all changes so far are stored. Returns it if they are.
    #[must_use]
    pub(crate) fn after_last(&mut self, effect: E) -> Option<E> {
        if self.last() <= self.stored {
            return Some(effect);
        }
        self.effects.push_back((self.last(), effect));
        None
    }

    /// Whether a batch is on its way.
    pub(crate) const fn is_busy(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether changes wait to be stored.
    pub(crate) fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Takes the next batch of at most `limit` jobs, oldest change first.
    pub(crate) fn take_batch(&mut self, limit: usize) -> Vec<JobId> {
        debug_assert!(self.in_flight.is_none());
        let count = limit.min(self.dirty.len());
        let batch: Vec<JobId> = self.dirty.drain(..count).map(|(_, job)| job).collect();
        for job in &batch {
            self.is_dirty.remove(job);
        }
        let upto = self
            .dirty
            .front()
            .map_or(self.last(), |(change, _)| change - 1);
        self.in_flight = Some(upto);
        batch
    }

    /// The batch on its way is stored. Returns the effects that waited for it.
    pub(crate) fn batch_stored(&mut self) -> Vec<E> {
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
