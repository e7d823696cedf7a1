//! Seeded faults of calls and messages.

use std::time::Duration;

use model::Time;

use crate::Rng;

/// How many faults a run has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultLevel {
    /// None: calls are only delayed by the network.
    #[default]
    None,
    /// Lost replies and slow calls now and then.
    Some,
    /// Many lost calls and replies, duplicates, and outages of the table.
    Many,
}

/// What becomes of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The call reaches the other side.
    pub is_delivered: bool,
    /// The call reaches the other side a second time.
    pub is_duplicated: bool,
    /// The answer comes back.
    pub is_answered: bool,
    /// The time on the way there.
    pub request_delay: Duration,
    /// The time on the way back.
    pub reply_delay: Duration,
}

/// Draws the fates of calls.
#[derive(Clone, Debug)]
pub struct Faults {
    rng: Rng,
    level: FaultLevel,
    /// The platform cannot be reached before this point.
    down_until: Time,
}

impl Faults {
    /// Faults that depend on the seed and the calls made alone.
    #[must_use]
    pub const fn new(seed: u64, level: FaultLevel) -> Self {
        Self {
            rng: Rng::new(seed),
            level,
            down_until: Time::ZERO,
        }
    }

    /// Cuts the platform off up to a point in time.
    pub fn cut(&mut self, until: Time) {
        self.down_until = until;
    }

    /// Whether the platform is cut off.
    #[must_use]
    pub fn is_cut(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Draws the fate of a call over a link with this round trip.
    pub fn draw(&mut self, round_trip: Duration) -> Delivery {
        let (lost, lost_reply, twice, slow) = match self.level {
            FaultLevel::None => (0, 0, 0, 0),
            FaultLevel::Some => (2, 4, 2, 10),
            FaultLevel::Many => (15, 25, 10, 50),
        };
        let slowed = if self.rng.chance(slow) { 20 } else { 1 };
        let request_delay = self.rng.span(round_trip / 2, round_trip) * slowed;
        let reply_delay = self.rng.span(round_trip / 2, round_trip) * slowed;
        Delivery {
            is_delivered: !self.rng.chance(lost),
            is_duplicated: self.rng.chance(twice),
            is_answered: !self.rng.chance(lost_reply),
            request_delay,
            reply_delay,
        }
    }
}
