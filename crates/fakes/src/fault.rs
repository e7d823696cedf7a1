//! Seeded delays, losses and duplicates of calls.

use std::time::Duration;

use model::Time;

use crate::Rng;

/// How frequent faults are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultLevel {
    /// No faults; calls are only delayed by the network.
    #[default]
    None,
    /// A few lost calls and replies, duplicates and slow calls.
    Some,
    /// Many lost calls and replies, duplicates and slow calls. Simulations also add outages of the table.
    Many,
}

/// Whether and when a call and its reply arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The call arrives.
    pub is_delivered: bool,
    /// The call arrives a second time.
    pub is_duplicated: bool,
    /// The reply arrives.
    pub is_answered: bool,
    /// The delay of the call on the network.
    pub request_delay: Duration,
    /// The delay of the reply on the network.
    pub reply_delay: Duration,
}

/// Draws the deliveries of calls, and keeps whether the platform is cut off.
#[derive(Clone, Debug)]
pub struct Faults {
    rng: Rng,
    level: FaultLevel,
    /// The platform is unreachable before this time.
    down_until: Time,
}

impl Faults {
    /// Returns faults that depend only on the seed and the sequence of the draws.
    #[must_use]
    pub const fn new(seed: u64, level: FaultLevel) -> Self {
        Self {
            rng: Rng::new(seed),
            level,
            down_until: Time::ZERO,
        }
    }

    /// Cuts the platform off until the given time.
    pub fn cut(&mut self, until: Time) {
        self.down_until = until;
    }

    /// Returns whether the platform is cut off.
    #[must_use]
    pub fn is_cut(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Draws the delivery of a call over a link with the given round-trip time.
    pub fn draw(&mut self, round_trip: Duration) -> Delivery {
        // The chances of each fault, per mille.
        let (lost, lost_reply, duplicated, slow) = match self.level {
            FaultLevel::None => (0, 0, 0, 0),
            FaultLevel::Some => (2, 4, 2, 10),
            FaultLevel::Many => (15, 25, 10, 50),
        };
        let slowdown = if self.rng.chance(slow) { 20 } else { 1 };
        let request_delay = self.rng.span(round_trip / 2, round_trip) * slowdown;
        let reply_delay = self.rng.span(round_trip / 2, round_trip) * slowdown;
        Delivery {
            is_delivered: !self.rng.chance(lost),
            is_duplicated: self.rng.chance(duplicated),
            is_answered: !self.rng.chance(lost_reply),
            request_delay,
            reply_delay,
        }
    }
}
