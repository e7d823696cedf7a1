//! How many new jobs of a team above its rate are accepted while the fleet is full.
//!
//! The nodes that accept jobs apply the share that the scheduler tells them. They tell nothing about the jobs that they
//! refuse, so the offered rate is estimated from the accepted jobs and the share that was in force.

use std::time::Duration;

/// The interval at which the shares are revised. It covers the time until the nodes apply a share: the scheduler sends
/// shares every 450 ms.
pub(crate) const REVISION_INTERVAL: Duration = Duration::from_secs(1);

/// Shares that were not revised for this long are no longer told, as the scheduler makes no passes.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(3);

/// Jobs are refused while the waiting surplus would take longer than this at the team's rate, in seconds.
pub(crate) const MAX_BACKLOG_S: f64 = 5.0;

/// Once jobs are refused, this continues until the waiting surplus has shrunk to this, in seconds, so that refusals do
/// not start and end with each job.
const LEAST_BACKLOG_S: f64 = 2.5;

/// The weight of the last interval in the estimate of the offered rate.
const SMOOTHING: f64 = 0.5;

/// The least and the greatest bounds of the time after which refused clients may come back, in seconds.
const RETRY_S: (f64, f64) = (1.0, 10.0);

/// The intake of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Intake {
    /// The jobs that were accepted since the last revision.
    accepted: u32,
    /// The estimated number of jobs that are submitted per second.
    offered: f64,
    /// The share of the new jobs to accept, and the one that was in force before the last revision.
    admitted: f64,
    admitted_before: f64,
    is_refusing: bool,
}

impl Default for Intake {
    fn default() -> Self {
        Self {
            accepted: 0,
            offered: 0.0,
            admitted: 1.0,
            admitted_before: 1.0,
            is_refusing: false,
        }
    }
}

impl Intake {
    /// Counts an accepted job.
    pub(crate) const fn count(&mut self) {
        self.accepted = self.accepted.saturating_add(1);
    }

    /// Revises the share after `span`. The team is entitled to `rate` jobs a second, `surplus` surplus jobs wait, and
    /// `is_full` tells whether the fleet had no idle capacity. Returns whether jobs are to be refused.
    pub(crate) fn revise(
        &mut self,
        span: Duration,
        rate: f64,
        surplus: u32,
        is_full: bool,
    ) -> bool {
        // The last share took effect during this interval.
        let in_force = f64::midpoint(self.admitted, self.admitted_before);
        let accepted =
            f64::from(std::mem::take(&mut self.accepted)) / span.as_secs_f64().max(0.001);
        let offered = accepted / in_force.max(0.01);
        self.offered += SMOOTHING * (offered - self.offered);
        let least = if self.is_refusing {
            LEAST_BACKLOG_S
        } else {
            MAX_BACKLOG_S
        };
        self.is_refusing = is_full && f64::from(surplus) > least * rate;
        self.admitted_before = self.admitted;
        self.admitted = if self.is_refusing && self.offered > rate {
            rate / self.offered
        } else {
            1.0
        };
        self.accepted_milli() < 1_000
    }

    /// Returns the share of the new jobs to accept, in thousandths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share lies between 0 and 1"
    )]
    pub(crate) const fn accepted_milli(&self) -> u32 {
        (self.admitted * 1_000.0) as u32
    }
}

/// Returns the range of times after which the clients of refused jobs may come back: about when the waiting surplus of a
/// team has shrunk so far that its jobs are accepted again.
pub(crate) fn retry_after(rate: f64, surplus: u32) -> (Duration, Duration) {
    let (least, most) = RETRY_S;
    let backlog_s = f64::from(surplus) / rate.max(1e-3);
    let earliest = (backlog_s - MAX_BACKLOG_S).clamp(least, most / 2.0);
    (
        Duration::from_secs_f64(earliest),
        Duration::from_secs_f64(earliest * 2.0),
    )
}
