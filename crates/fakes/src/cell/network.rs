//! Delays and losses of messages between nodes, hosts and the table.

use std::{collections::HashMap, time::Duration};

use model::{Time, WorkerId};

use crate::Rng;

/// The least and the most delay of a message, in milliseconds; the most is exclusive. A call inside a failure
/// domain takes about 1 ms, and regions are 20 ms apart.
const DELAY_MS: (u64, u64) = (1, 25);

/// The share of orders that arrive late during [`CellFault::OrdersLate`](super::CellFault::OrdersLate).
const LATE_ORDERS_PER_MILLE: u32 = 300;
/// The share of orders whose connection is reset during
/// [`CellFault::OrdersReset`](super::CellFault::OrdersReset). Half of these orders arrive late.
const RESET_ORDERS_PER_MILLE: u32 = 300;
/// The share of the table's answers that are lost during
/// [`CellFault::TableAnswersLost`](super::CellFault::TableAnswersLost).
const LOST_ANSWERS_PER_MILLE: u32 = 300;

/// The additional delay of a transaction during [`CellFault::TableSlow`](super::CellFault::TableSlow).
const SLOW_TRANSACTION: Duration = Duration::from_millis(500);

/// The least and the most delay of a late order.
const LATE_DELAY: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(6));

/// Whether and when a message and its answer arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    /// The message arrives at this time, and its answer arrives.
    Arrives(Time),
    /// The message arrives at this time, and its answer is lost.
    Unanswered(Time),
    /// The message arrives at the first time, and at the second one its sender notices that the connection was
    /// reset.
    Reset(Time, Time),
    /// The message is lost.
    Lost,
}

#[derive(Debug)]
pub(super) struct Network {
    rng: Rng,
    cut_until: HashMap<WorkerId, Time>,
    /// The hosts that only one node reaches, given by its index.
    cut_from_others: HashMap<WorkerId, (usize, Time)>,
    /// The hosts that one node does not reach, given by its index.
    cut_from_one: HashMap<WorkerId, (usize, Time)>,
    /// The node that does not reach the table.
    cut_from_table: Option<(usize, Time)>,
    answers_cut_until: HashMap<WorkerId, Time>,
    pub(super) table_down_until: Time,
    pub(super) table_slow_until: Time,
    pub(super) orders_late_until: Time,
    pub(super) orders_reset_until: Time,
    pub(super) orders_refused_until: Time,
    pub(super) answers_lost_until: Time,
    pub(super) directory_stuck_until: Time,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Rng::new(seed),
            cut_until: HashMap::new(),
            cut_from_others: HashMap::new(),
            cut_from_one: HashMap::new(),
            cut_from_table: None,
            answers_cut_until: HashMap::new(),
            table_down_until: Time::ZERO,
            table_slow_until: Time::ZERO,
            orders_late_until: Time::ZERO,
            orders_reset_until: Time::ZERO,
            orders_refused_until: Time::ZERO,
            answers_lost_until: Time::ZERO,
            directory_stuck_until: Time::ZERO,
        }
    }

    pub(super) fn delay(&mut self) -> Duration {
        let (least, most) = DELAY_MS;
        Duration::from_millis(least + self.rng.below(most - least))
    }

    pub(super) fn cut(&mut self, host: WorkerId, until: Time) {
        let cut = self.cut_until.entry(host).or_default();
        *cut = (*cut).max(until);
    }

    /// Cuts a host from all nodes but this one.
    pub(super) fn cut_from_others(&mut self, host: WorkerId, node: usize, until: Time) {
        self.cut_from_others.insert(host, (node, until));
    }

    /// Cuts a host from this node.
    pub(super) fn cut_from_one(&mut self, host: WorkerId, node: usize, until: Time) {
        self.cut_from_one.insert(host, (node, until));
    }

    /// Cuts a node from the table.
    pub(super) const fn cut_from_table(&mut self, node: usize, until: Time) {
        self.cut_from_table = Some((node, until));
    }

    /// Returns whether messages between a host and a node are lost.
    pub(super) fn is_cut(&self, now: Time, host: WorkerId, node: usize) -> bool {
        let others = self.cut_from_others.get(&host);
        let one = self.cut_from_one.get(&host);
        self.cut_until.get(&host).is_some_and(|&until| now < until)
            || others.is_some_and(|&(only, until)| node != only && now < until)
            || one.is_some_and(|&(from, until)| node == from && now < until)
    }

    pub(super) fn cut_answers(&mut self, host: WorkerId, until: Time) {
        let cut = self.answers_cut_until.entry(host).or_default();
        *cut = (*cut).max(until);
    }

    /// Returns whether the answers of a host are lost while its orders arrive.
    pub(super) fn are_answers_cut(&self, now: Time, host: WorkerId) -> bool {
        let cut = self.answers_cut_until.get(&host);
        cut.is_some_and(|&until| now < until)
    }

    /// Draws the delivery of an order or a poll of a node to a host.
    pub(super) fn deliver_order(&mut self, now: Time, host: WorkerId, node: usize) -> Delivery {
        if self.is_cut(now, host, node) {
            return Delivery::Lost;
        }
        if now < self.orders_late_until && self.rng.chance(LATE_ORDERS_PER_MILLE) {
            return Delivery::Unanswered(now + self.rng.span(LATE_DELAY.0, LATE_DELAY.1));
        }
        if now < self.orders_reset_until && self.rng.chance(RESET_ORDERS_PER_MILLE) {
            let at = if self.rng.chance(500) {
                now + self.rng.span(LATE_DELAY.0, LATE_DELAY.1)
            } else {
                now + self.delay()
            };
            return Delivery::Reset(at, now + self.delay() * 2);
        }
        Delivery::Arrives(now + self.delay())
    }

    /// Returns when the sender of an order notices that the host has refused its connection, if hosts do so.
    pub(super) fn refuse_order(&mut self, now: Time) -> Option<Time> {
        (now < self.orders_refused_until).then(|| now + self.delay() * 2)
    }

    /// Draws the delivery of a node's transaction to the table.
    pub(super) fn deliver_write(&mut self, now: Time, node: usize) -> Delivery {
        let cut = self.cut_from_table;
        let is_cut = cut.is_some_and(|(from, until)| node == from && now < until);
        if is_cut || now < self.table_down_until {
            return Delivery::Lost;
        }
        let mut at = now + self.delay();
        if now < self.table_slow_until {
            at += SLOW_TRANSACTION;
        }
        if now < self.answers_lost_until && self.rng.chance(LOST_ANSWERS_PER_MILLE) {
            return Delivery::Unanswered(at);
        }
        Delivery::Arrives(at)
    }
}
