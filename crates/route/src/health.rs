//! Which backend servers and nodes answer, by the outcome and time of their last attempts.

use std::{cmp::Reverse, time::Duration};

use model::Time;

use crate::config::HealthConfig;

/// One in this many parts of a new sample goes into an average.
const AVERAGE_PARTS: u64 = 8;

/// Moves an average of milliseconds towards a sample. Averages are kept in thousandths, so that small
/// ones do not stand still.
pub(crate) const fn average(old_us: u64, sample_us: u64) -> u64 {
    (old_us * (AVERAGE_PARTS - 1) + sample_us) / AVERAGE_PARTS
}

/// A span in microseconds.
pub(crate) fn as_us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX / AVERAGE_PARTS)
}

/// What an attempt says of the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sign {
    /// It answered, after this time.
    Good(Duration),
    /// It failed.
    Bad,
    /// Nothing.
    None,
}

/// How one backend server or node has fared.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Time>,
    probing: bool,
    average_us: u64,
    samples: u32,
}

impl Health {
    /// Whether it may get a request: after an ejection one at a time until one is answered.
    pub(crate) fn is_usable(&self, now: Time) -> bool {
        self.ejected_until
            .is_none_or(|until| now >= until && !self.probing)
    }

    pub(crate) const fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// A request goes there.
    pub(crate) fn began(&mut self) {
        self.probing = self.is_ejected();
    }

    /// The request did not go there in the end.
    pub(crate) const fn released(&mut self) {
        self.probing = false;
    }

    /// Takes what an attempt says, and returns whether an ejection is due.
    pub(crate) fn ended(&mut self, cfg: &HealthConfig, sign: Sign, median_us: Option<u64>) -> bool {
        let probed = std::mem::take(&mut self.probing);
        match sign {
            Sign::Good(took) => {
                self.failures = 0;
                let sample = as_us(took);
                // A probe's time counts alone: what came before the ejection is over.
                let alone = self.samples == 0 || probed;
                self.average_us = if alone {
                    sample
                } else {
                    average(self.average_us, sample)
                };
                self.samples = self.samples.saturating_add(1);
                let slow = self.is_slow(cfg, median_us);
                if probed && !slow {
                    self.ejected_until = None;
                    self.ejections = 0;
                }
                slow && (probed || !self.is_ejected())
            }
            Sign::Bad => {
                self.failures = self.failures.saturating_add(1);
                probed || (!self.is_ejected() && self.failures >= cfg.failures)
            }
            Sign::None => false,
        }
    }

    fn is_slow(&self, cfg: &HealthConfig, median_us: Option<u64>) -> bool {
        let limit = median_us.map(|median| median * u64::from(cfg.slow_factor));
        self.samples >= cfg.slow_samples
            && self.average_us > as_us(cfg.min_slow_time)
            && limit.is_some_and(|limit| self.average_us > limit)
    }

    /// No requests for a while, longer each time.
    pub(crate) fn eject(&mut self, now: Time, cfg: &HealthConfig) {
        let doubled = cfg.eject_time * (1 << self.ejections.min(8));
        self.ejected_until = Some(now + doubled.min(cfg.max_eject_time));
        self.ejections += 1;
        self.failures = 0;
    }

    /// The average time of an answer; `None` before the first.
    pub(crate) fn average_us(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.average_us)
    }
}

/// The median of the averages.
pub(crate) fn median_us(averages: impl Iterator<Item = u64>) -> Option<u64> {
    let mut averages: Vec<u64> = averages.collect();
    averages.sort_unstable_by_key(|average| Reverse(*average));
    averages.get(averages.len() / 2).copied()
}
