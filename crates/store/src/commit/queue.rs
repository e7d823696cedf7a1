//! The queue of changes that wait for a transaction.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use model::Time;

use super::CommitChange;

/// A change and the time at which it was pushed.
#[derive(Clone, Debug)]
pub(super) struct QueuedChange {
    pub(super) queued_at: Time,
    pub(super) change: CommitChange,
}

/// Changes of which no copy was sent, or none can be committed any more.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    pending: VecDeque<QueuedChange>,
    /// Changes of a rejected transaction. They are retried one by one, before those in `pending`.
    individual: VecDeque<QueuedChange>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.pending.len() + self.individual.len()
    }

    pub(super) fn push(&mut self, now: Time, change: CommitChange) {
        self.pending.push_back(QueuedChange {
            queued_at: now,
            change,
        });
    }

    /// Puts the changes of a rejected transaction back, to be retried one by one.
    pub(super) fn push_individually(&mut self, changes: Vec<QueuedChange>) {
        for queued in changes.into_iter().rev() {
            self.individual.push_front(queued);
        }
    }

    /// Removes and returns the changes for the next transaction, at most `max`.
    pub(super) fn take(&mut self, max: usize) -> Vec<QueuedChange> {
        if let Some(single) = self.individual.pop_front() {
            return vec![single];
        }
        let n = self.independent_prefix_len(max);
        self.pending.drain(..n).collect()
    }

    /// Returns how many changes from the front can share one transaction. The table makes all checks of a
    /// transaction before its writes, so a change whose check depends on an earlier one's write has to
    /// wait for the next transaction. Otherwise two changes that each create the same row if it is absent
    /// would both be applied.
    fn independent_prefix_len(&self, max: usize) -> usize {
        let mut written = BTreeSet::new();
        let mut n = 0;
        for queued in self.pending.iter().take(max) {
            let change = &queued.change;
            if change
                .checks
                .iter()
                .any(|check| written.contains(check.key.as_str()))
            {
                break;
            }
            written.extend(change.writes.iter().map(|write| write.key.as_str()));
            n += 1;
        }
        n
    }

    /// Removes and returns the changes that have waited for longer than `max`.
    pub(super) fn take_expired(&mut self, now: Time, max: Duration) -> Vec<QueuedChange> {
        let mut expired = Vec::new();
        for queue in [&mut self.individual, &mut self.pending] {
            // Each queue is ordered by time, oldest first.
            let n = queue.partition_point(|queued| now.since(queued.queued_at) > max);
            expired.extend(queue.drain(..n));
        }
        expired
    }

    /// Removes the change with this tag. Returns whether there was one.
    pub(super) fn remove(&mut self, tag: u64) -> bool {
        for queue in [&mut self.individual, &mut self.pending] {
            if let Some(i) = queue.iter().position(|queued| queued.change.tag == tag) {
                queue.remove(i);
                return true;
            }
        }
        false
    }

    pub(super) fn take_all(&mut self) -> Vec<QueuedChange> {
        let individual = self.individual.drain(..);
        individual.chain(self.pending.drain(..)).collect()
    }

    /// Returns the time at which the oldest change was pushed.
    pub(super) fn oldest(&self) -> Option<Time> {
        let fronts = [self.individual.front(), self.pending.front()];
        fronts
            .into_iter()
            .flatten()
            .map(|queued| queued.queued_at)
            .min()
    }
}
