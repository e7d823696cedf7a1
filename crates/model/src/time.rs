//! Points in time on the clock of one process.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in milliseconds since that process started.
///
/// Times of different processes must not be compared, because machines do not share a clock.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use model::Time;
///
/// let sent = Time::from_ms(500);
/// assert_eq!(sent + Duration::from_secs(6), Time::from_ms(6_500));
/// assert_eq!(sent - Time::from_ms(900), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Self = Self(0);
    /// The latest representable time, which no process reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the time `ms` milliseconds after the start of the process.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the start of the process.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the start of the process.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a process runs for less than 2^52 ms"
    )]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}s", self.0 / 1_000, self.0 % 1_000)
    }
}
