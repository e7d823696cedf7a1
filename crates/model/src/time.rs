//! Points in time as seen by one process.

use std::{
    fmt,
    ops::{Add, AddAssign, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point on one process's monotonic clock, in milliseconds since that process's start.
///
/// Points of two processes are never compared: no clock is shared between machines.
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
    /// The process's start.
    pub const ZERO: Self = Self(0);
    /// Later than every point that a process reaches.
    pub const MAX: Self = Self(u64::MAX);

    /// The point `ms` milliseconds after the process's start.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms)
    }

    /// Milliseconds since the process's start.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0
    }

    /// Seconds since the process's start.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a process runs for less than 2^52 ms"
    )]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// The time passed since `earlier`, zero where `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(ms))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
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
