//! How long messages take, and which of them are lost.

use std::{collections::HashMap, time::Duration};

use model::{Time, WorkerId};

use crate::Rng;

/// Regions are 20 ms apart; a call inside a failure domain takes about 1 ms.
const DELAY_MS: (u64, u64) = (1, 25);

/// The shares of orders that come late, and of the table's answers that are lost, while a fault lasts.
const LATE_PER_MILLE: u32 = 300;
const LOST_PER_MILLE: u32 = 300;

/// By how much an order comes late: from 2 to 6 s.
const LATE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(6));

/// What becomes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It arrives, and so does its answer.
    Arrives(Time),
    /// It arrives; its answer does not.
    Unanswered(Time),
    /// It does not arrive.
    Lost,
}

#[derive(Debug)]
pub(super) struct Network {
    rng: Rng,
    cut_until: HashMap<WorkerId, Time>,
    pub(super) table_down_until: Time,
    pub(super) orders_late_until: Time,
    pub(super) answers_lost_until: Time,
}

impl Network {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: Rng::new(seed),
            cut_until: HashMap::new(),
            table_down_until: Time::ZERO,
            orders_late_until: Time::ZERO,
            answers_lost_until: Time::ZERO,
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

    pub(super) fn is_cut(&self, now: Time, host: WorkerId) -> bool {
        self.cut_until.get(&host).is_some_and(|&until| now < until)
    }

    /// A message to a host.
    pub(super) fn fate_of_order(&mut self, now: Time, host: WorkerId) -> Fate {
        if self.is_cut(now, host) {
            return Fate::Lost;
        }
        if now < self.orders_late_until && self.rng.chance(LATE_PER_MILLE) {
            return Fate::Unanswered(now + self.rng.span(LATE.0, LATE.1));
        }
        Fate::Arrives(now + self.delay())
    }

    /// A transaction to the table.
    pub(super) fn fate_of_write(&mut self, now: Time) -> Fate {
        if now < self.table_down_until {
            return Fate::Lost;
        }
        let at = now + self.delay();
        if now < self.answers_lost_until && self.rng.chance(LOST_PER_MILLE) {
            return Fate::Unanswered(at);
        }
        Fate::Arrives(at)
    }
}
