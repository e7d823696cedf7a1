//! The clock of a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use model::Time;
use rustix::time::{ClockId, clock_gettime};
use sched::Now;

/// A source of the current time, measured from the clock's start.
#[derive(Clone, Copy, Debug)]
pub enum Clock {
    /// The machine's boot-time clock, with its reading at the start. It also advances while the machine is
    /// suspended, so that leases that expired during a suspension are recognised as expired.
    Boottime(Duration),
    /// The clock of the `tokio` runtime, which tests can pause, with its reading at the start.
    Runtime(tokio::time::Instant),
}

impl Clock {
    /// Starts a clock on the machine's boot-time clock.
    #[must_use]
    pub fn start() -> Self {
        Self::Boottime(boottime())
    }

    /// Starts a clock on the `tokio` runtime's clock.
    #[must_use]
    pub fn runtime() -> Self {
        Self::Runtime(tokio::time::Instant::now())
    }

    /// Returns the time since the clock's start, and the wall-clock time.
    #[must_use]
    pub fn now(&self) -> Now {
        let since = match self {
            Self::Boottime(start) => boottime().saturating_sub(*start),
            Self::Runtime(start) => start.elapsed(),
        };
        // A wall-clock time before 1970 is wrong in any case and counts as 1970.
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Now {
            time: Time::from_ms(millis(since)),
            unix_ms: millis(unix),
        }
    }

    /// Returns the time since the clock's start.
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
