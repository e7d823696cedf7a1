//! The changes that wait for a transaction, and how long they have waited.

use std::{collections::VecDeque, time::Duration};

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
        let n = self.waiting.len().min(max);
        self.waiting.drain(..n).collect()
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
