//! The changes that wait for a transaction, and how long they have waited.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use model::Time;

use super::CommitChange;

/// A change and the time since which it waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) since: Time,
    pub(super) change: CommitChange,
}

/// Changes of which no copy can reach the table any more, or ever could.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: VecDeque<Waiting>,
    /// Changes of a transaction that was not made, to be tried one by one before the others.
    split: VecDeque<Waiting>,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.waiting.len() + self.split.len()
    }

    pub(super) fn push(&mut self, now: Time, change: CommitChange) {
        self.waiting.push_back(Waiting { since: now, change });
    }

    /// Puts the changes of a transaction back, to be tried one by one.
    pub(super) fn split(&mut self, changes: Vec<Waiting>) {
        for waiting in changes.into_iter().rev() {
            self.split.push_front(waiting);
        }
    }

    /// Takes what the next transaction is made of.
    pub(super) fn take(&mut self, max: usize) -> Vec<Waiting> {
        if let Some(single) = self.split.pop_front() {
            return vec![single];
        }
        let n = self.independent(max);
        self.waiting.drain(..n).collect()
    }

    /// How many changes from the front can go into one transaction. The table makes all checks of a
    /// transaction before its writes, so a change whose check depends on an earlier one's write has to
    /// wait for the next transaction: two changes that each make a row "unless there is one" would both
    /// be made otherwise.
    fn independent(&self, max: usize) -> usize {
        let mut written = BTreeSet::new();
        let mut n = 0;
        for waiting in self.waiting.iter().take(max) {
            let change = &waiting.change;
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

    /// Takes the changes that have waited for longer than `max`.
    pub(super) fn take_expired(&mut self, now: Time, max: Duration) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for queue in [&mut self.split, &mut self.waiting] {
            // The oldest is in front.
            let n = queue.partition_point(|w| now.since(w.since) > max);
            expired.extend(queue.drain(..n));
        }
        expired
    }

    /// Removes a change.
    pub(super) fn remove(&mut self, tag: u64) -> bool {
        for queue in [&mut self.split, &mut self.waiting] {
            if let Some(i) = queue.iter().position(|w| w.change.tag == tag) {
                queue.remove(i);
                return true;
            }
        }
        false
    }

    pub(super) fn take_all(&mut self) -> Vec<Waiting> {
        let split = self.split.drain(..);
        split.chain(self.waiting.drain(..)).collect()
    }

    /// The time since which the oldest change waits.
    pub(super) fn oldest(&self) -> Option<Time> {
        let fronts = [self.split.front(), self.waiting.front()];
        fronts.into_iter().flatten().map(|w| w.since).min()
    }
}
