//! The order in which steps get room.
//!
//! Load pattern: the cores that are asked for exceed those that are there while a burst lasts, or once an
//! outage is over, so that a line stands for longer than most jobs may take. Served by age, each job would get
//! its turn when its objective has just passed. So what can still be in time goes first, then what is late and
//! still of use, then the rest, which is finished all the same. Among what can be in time the rank of the queue
//! decides, then whether the approvals are there, as they have cost an approver's time, and then the newest: it
//! has the most time left, and so is the most likely to be in time although estimates are off.
//!
//! Somebody looks on while urgent work waits, and it is small: it goes first though it is late, by age.

use std::{cmp::Ordering, time::Duration};

use jobs::StepKey;
use model::Time;

/// How many times its objective a job may take before it is past hope.
const HOPE: u32 = 3;

/// In which order steps get room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// What can be in time first, then what is late, then what is past hope; by rank, and the newest of those
    /// first that have their approvals.
    #[default]
    InTime,
    /// What is not past hope first, by rank and then by age. The policy before this one, kept as a baseline.
    UnexpiredFirst,
    /// By age alone. A baseline.
    Arrival,
    /// By rank, then by age. A baseline.
    Rank,
    /// The least remaining work first. A baseline.
    Shortest,
}

/// What a job can still come to, by the time that it needs at least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can be done within its objective.
    InTime,
    /// It can be done in a time that counts for something.
    Late,
    /// It can't.
    PastHope,
}

/// The rank of queues whose clients wait while they look on.
pub(crate) const URGENT: u32 = 0;

/// Who goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Turn {
    Urgent,
    InTime,
    Late,
    Last,
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
    /// Whether it has approvals.
    pub(crate) is_approved: bool,
}

impl Waiting {
    /// Whether it is urgent or can be in time, in the order of turns.
    fn turn(&self, now: Time) -> Turn {
        match self.outlook(now) {
            Outlook::PastHope => Turn::Last,
            _ if self.rank == URGENT => Turn::Urgent,
            Outlook::InTime => Turn::InTime,
            Outlook::Late => Turn::Late,
        }
    }

    pub(crate) fn outlook(&self, now: Time) -> Outlook {
        let end = now + self.remaining;
        if end <= self.accepted_at + self.objective {
            Outlook::InTime
        } else if end <= self.accepted_at + self.objective * HOPE {
            Outlook::Late
        } else {
            Outlook::PastHope
        }
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
        Order::InTime => {
            let turn = a.turn(now).cmp(&b.turn(now)).then(rank);
            if a.rank == URGENT {
                return turn.then(age);
            }
            let approved = b.is_approved.cmp(&a.is_approved);
            turn.then(approved).then(age.reverse())
        }
        Order::UnexpiredFirst => {
            let is_past_hope = |waiting: &Waiting| waiting.outlook(now) == Outlook::PastHope;
            let hope = is_past_hope(a).cmp(&is_past_hope(b));
            hope.then(rank).then(age)
        }
        Order::Arrival => age,
        Order::Rank => rank.then(age),
        Order::Shortest => a.remaining.cmp(&b.remaining).then(age),
    }
}
