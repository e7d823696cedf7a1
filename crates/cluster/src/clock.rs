//! The process's clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::Time;
use rustix::time::{ClockId, clock_gettime};
use sched::Now;

/// Where the present time comes from.
#[derive(Clone, Copy, Debug)]
pub enum Clock {
    /// The clock that also counts while the machine is suspended, from this point on. Whether a lease
    /// still holds after a suspension can't be told by one that stands still.
    Boottime(Duration),
    /// The clock of the `tokio` runtime, which tests can pause.
    Runtime(tokio::time::Instant),
}

impl Clock {
    /// A clock of the machine that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self::Boottime(boottime())
    }

    /// A clock of the `tokio` runtime that begins now.
    #[must_use]
    pub fn runtime() -> Self {
        Self::Runtime(tokio::time::Instant::now())
    }

    /// The time since the clock's start, with the time of day beside it.
    #[must_use]
    pub fn now(&self) -> Now {
        let since = match self {
            Self::Boottime(start) => boottime().saturating_sub(*start),
            Self::Runtime(start) => start.elapsed(),
        };
        // A time of day before 1970 is no time that a schedule could go by.
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            time: Time::from_ms(millis(since)),
            unix_ms: millis(unix),
        }
    }

    /// The time since the clock's start.
    #[must_use]
    pub fn time(&self) -> Time {
        self.now().time
    }
}

fn boottime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
