//! The event queue: items in the order of time and of insertion.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use model::Time;

/// An item and its position in the order.
#[derive(Debug)]
struct Item<T> {
    at: Time,
    seq: u64,
    value: T,
}

impl<T> PartialEq for Item<T> {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}

impl<T> Eq for Item<T> {}

impl<T> PartialOrd for Item<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Item<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// A queue ordered by time. Items with equal times keep the order of insertion.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    heap: BinaryHeap<Reverse<Item<T>>>,
    seq: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            seq: 0,
        }
    }
}

impl<T> Queue<T> {
    pub(crate) fn push(&mut self, at: Time, value: T) {
        self.seq += 1;
        let seq = self.seq;
        self.heap.push(Reverse(Item { at, seq, value }));
    }

    /// Removes and returns the earliest item if it is not later than `end`.
    pub(crate) fn pop_until(&mut self, end: Time) -> Option<(Time, T)> {
        if self.heap.peek()?.0.at > end {
            return None;
        }
        let Reverse(item) = self.heap.pop()?;
        Some((item.at, item.value))
    }
}
