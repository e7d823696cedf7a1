//! Health of backend servers and nodes, and their ejection after failures or slow answers.

use std::{cmp::Reverse, time::Duration};

use model::Time;

use crate::config::HealthConfig;

/// A new sample has a weight of one in this number in a moving average.
const AVERAGE_DIVISOR: u64 = 8;

/// Adds a sample to an exponential moving average.
///
/// Averages are kept in microseconds: with whole milliseconds, integer division would keep a small
/// average from changing at all.
pub(crate) const fn average(old_us: u64, sample_us: u64) -> u64 {
    (old_us * (AVERAGE_DIVISOR - 1) + sample_us) / AVERAGE_DIVISOR
}

/// Returns a duration in microseconds, saturating at a value that [`average`] can multiply.
pub(crate) fn as_us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX / AVERAGE_DIVISOR)
}

/// What the end of an attempt shows about the health of the backend server or node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// It answered after this time.
    Success(Duration),
    /// It failed.
    Failure,
    /// The attempt shows nothing about its health.
    Neutral,
}

/// The health of one backend server or node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the last successful probe.
    ejections: u32,
    ejected_until: Option<Time>,
    /// Whether a request is in flight that was sent after an ejection had expired.
    is_probing: bool,
    average_us: u64,
    samples: u32,
}

impl Health {
    /// Whether the server or node may get a request. After an ejection it gets one request at a time, as a
    /// probe, until a probe succeeds.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && !self.is_probing)
    }

    /// Whether the server or node was ejected and no probe has succeeded since.
    pub(crate) const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records the start of an attempt. The attempt is a probe if the server or node is ejected.
    pub(crate) fn attempt_started(&mut self) {
        self.is_probing = self.is_ejected();
    }

    /// Cancels the probe: the request was not sent after all.
    pub(crate) const fn cancel_probe(&mut self) {
        self.is_probing = false;
    }

    /// Records the end of an attempt, and returns whether the server or node should be ejected now.
    ///
    /// `median_us` is the median of the average answer times of the service's other backend servers.
    /// Without a median, as for a node, answers are never slow.
    pub(crate) fn record(
        &mut self,
        cfg: &HealthConfig,
        observation: Observation,
        median_us: Option<u64>,
    ) -> bool {
        let was_probing = std::mem::take(&mut self.is_probing);
        match observation {
            Observation::Success(took) => {
                self.failures = 0;
                let sample = as_us(took);
                // The time of a probe replaces the average, which dates from before the ejection.
                let replaces_average = self.samples == 0 || was_probing;
                self.average_us = if replaces_average {
                    sample
                } else {
                    average(self.average_us, sample)
                };
                self.samples = self.samples.saturating_add(1);
                let is_slow = self.is_slow(cfg, median_us);
                if was_probing && !is_slow {
                    self.ejected_until = None;
                    self.ejections = 0;
                }
                is_slow && (was_probing || !self.is_ejected())
            }
            Observation::Failure => {
                self.failures = self.failures.saturating_add(1);
                was_probing || (!self.is_ejected() && self.failures >= cfg.failures)
            }
            Observation::Neutral => false,
        }
    }

    fn is_slow(&self, cfg: &HealthConfig, median_us: Option<u64>) -> bool {
        let limit = median_us.map(|median| median * u64::from(cfg.slow_factor));
        self.samples >= cfg.slow_samples
            && self.average_us > as_us(cfg.min_slow_time)
            && limit.is_some_and(|limit| self.average_us > limit)
    }

    /// Ejects the server or node. Each consecutive ejection lasts twice as long as the one before, up to
    /// [`HealthConfig::max_eject_time`].
    pub(crate) fn eject(&mut self, now: Time, cfg: &HealthConfig) {
        let doubled = cfg.eject_time * (1 << self.ejections.min(8));
        self.ejected_until = Some(now + doubled.min(cfg.max_eject_time));
        self.ejections += 1;
        self.failures = 0;
    }

    /// Returns the average answer time in microseconds, or `None` before the first answer.
    pub(crate) fn average_us(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.average_us)
    }
}

/// Returns the median of the averages, which is the lower one of the two in the middle if their number
/// is even.
pub(crate) fn median_us(averages: impl Iterator<Item = u64>) -> Option<u64> {
    let mut averages: Vec<u64> = averages.collect();
    averages.sort_unstable_by_key(|average| Reverse(*average));
    averages.get(averages.len() / 2).copied()
}
