//! How long a start order may take until it is sent again.
//!
//! Some workers leave an order unanswered and carry it out seconds later, or never. All tasks of a step wait for such a
//! one, while a repeated order is answered at once. An order that is sent again without need costs little: a worker
//! that has the run confirms it. So the first order for a run is waited for only a little longer than others usually
//! take; later ones are waited for longer, since a busy worker may just be slow.

use std::time::Duration;

/// The limit before any answer was observed, and the largest one: several times the delay between regions.
const MAX_LIMIT: Duration = Duration::from_millis(700);

/// The smallest limit. A pause of a process or a lost packet delays an answer by as much.
const MIN_LIMIT: Duration = Duration::from_millis(150);

/// The weight of an answer in the averages, as a divisor, as TCP has it for the round trip time (RFC 6298).
const WEIGHT: u32 = 8;

/// The multiple of the mean deviation that is added to the mean (RFC 6298).
const DEVIATIONS: u32 = 4;

/// The multiple of that sum which the first order for a run may take.
const PATIENCE: u32 = 2;

/// The durations of answered start orders.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OrderTimes {
    /// The mean and the mean deviation, once an order was answered.
    average: Option<(Duration, Duration)>,
}

impl OrderTimes {
    /// Records the duration of an order that was answered.
    pub(crate) fn record(&mut self, taken: Duration) {
        self.average = Some(match self.average {
            None => (taken, taken / 2),
            Some((mean, deviation)) => {
                let error = mean.abs_diff(taken);
                (
                    (mean * (WEIGHT - 1) + taken) / WEIGHT,
                    (deviation * (WEIGHT - 1) + error) / WEIGHT,
                )
            }
        });
    }

    /// Returns how long to wait for the answer to an order for a run of which `unanswered` earlier orders were not answered.
    pub(crate) fn limit(&self, unanswered: u32) -> Duration {
        let Some((mean, deviation)) = self.average else {
            return MAX_LIMIT;
        };
        let usual = (mean + deviation * DEVIATIONS) * PATIENCE;
        let backed_off = usual.max(MIN_LIMIT) * 2_u32.saturating_pow(unanswered.min(8));
        backed_off.min(MAX_LIMIT)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    /// Returns the limit of a first order after answers that take these times, one after the other.
    fn limit_after(answers: impl IntoIterator<Item = u32>) -> Duration {
        let mut times = OrderTimes::default();
        for ms in answers {
            times.record(MS * ms);
        }
        times.limit(0)
    }

    /// Guards against tasks that wait most of a second for an order that its worker has left unanswered, and against orders
    /// that are repeated while answers from other regions are on their way.
    #[test]
    fn the_limit_follows_the_answers() {
        let near_and_far = (0..200).map(|i| [2, 45, 46, 3, 80][i % 5]);
        let limit = limit_after(near_and_far);
        assert!(limit > MS * 160 && limit < MS * 400, "{limit:?}");
        assert_eq!(limit_after([1; 200]), MIN_LIMIT);
        assert_eq!(limit_after([]), MAX_LIMIT);
    }

    /// Guards against a storm of repeated orders when all workers or the network turn slow.
    #[test]
    fn slow_answers_raise_the_limit() {
        let slow = (0..200).map(|i| if i < 150 { 20 } else { 400 });
        assert_eq!(limit_after(slow), MAX_LIMIT);
    }

    #[test]
    fn later_orders_are_waited_for_longer() {
        let mut times = OrderTimes::default();
        times.record(MS * 30);
        assert!(times.limit(1) > times.limit(0));
        assert_eq!(times.limit(20), MAX_LIMIT);
    }
}
