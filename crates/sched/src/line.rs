//! The order in which steps get room.
//!
//! Load pattern: the cores that are asked for exceed those that are there while a burst lasts, so that
//! something has to wait. A job counts for its client if it is done within its objective, for a part
//! within three times that, and hardly after. What can still be in time goes first, by the rank of its
//! queue and then by age; what is past hope goes last, and is still finished.

use std::{cmp::Ordering, time::Duration};

use jobs::StepKey;
use model::Time;

/// How many times its objective a job may take before it is past hope.
const HOPE: u32 = 3;

/// In which order steps get room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// What can still be in time first, by the rank of its queue and then by age; then the rest.
    #[default]
    Hope,
    /// By age alone. A baseline.
    Arrival,
    /// By rank, then by age. A baseline.
    Rank,
    /// The least remaining work first. A baseline.
    Shortest,
    /// What can be in time first, then what can be late, then the rest; by rank, then by age.
    InTime,
    /// The same, by rank and then the newest first.
    InTimeNewest,
    /// The same, by rank and then by objective.
    InTimeShort,
}

/// A step that waits for room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) key: StepKey,
    /// The rank of its queue: 0 comes first.
    pub(crate) rank: u32,
    pub(crate) accepted_at: Time,
    /// The objective of its job, counted from `accepted_at`.
    pub(crate) objective: Duration,
    /// The least time that its job needs from now on.
    pub(crate) remaining: Duration,
}

impl Waiting {
    /// Whether its job can still be done within its objective.
    pub(crate) fn is_in_time(&self, now: Time) -> bool {
        now + self.remaining <= self.accepted_at + self.objective
    }

    fn tier(&self, now: Time) -> u8 {
        let end = now + self.remaining;
        if end <= self.accepted_at + self.objective {
            0
        } else if end <= self.accepted_at + self.objective * HOPE {
            1
        } else {
            2
        }
    }

    /// Whether its job can't be done any more in a time that counts.
    pub(crate) fn is_past_hope(&self, now: Time) -> bool {
        now + self.remaining > self.accepted_at + self.objective * HOPE
    }
}

/// Sorts steps by the order in which they get room.
pub(crate) fn sort(order: Order, now: Time, steps: &mut [Waiting]) {
    steps.sort_by(|a, b| compare(order, now, a, b));
}

fn compare(order: Order, now: Time, a: &Waiting, b: &Waiting) -> Ordering {
    let age = a.accepted_at.cmp(&b.accepted_at).then(a.key.cmp(&b.key));
    let rank = a.rank.cmp(&b.rank);
    match order {
        Order::Hope => {
            let hope = a.is_past_hope(now).cmp(&b.is_past_hope(now));
            hope.then(rank).then(age)
        }
        Order::Arrival => age,
        Order::Rank => rank.then(age),
        Order::Shortest => a.remaining.cmp(&b.remaining).then(age),
        Order::InTime => a.tier(now).cmp(&b.tier(now)).then(rank).then(age),
        Order::InTimeNewest => a.tier(now).cmp(&b.tier(now)).then(rank).then(age.reverse()),
        Order::InTimeShort => a
            .tier(now)
            .cmp(&b.tier(now))
            .then(rank)
            .then(a.objective.cmp(&b.objective))
            .then(age),
    }
}
