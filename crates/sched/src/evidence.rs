//! Estimates how often workers crash by themselves, and weighs a crash as a likelihood ratio: how likely it is if the
//! task is the cause, against how likely it is if workers go down independently of the task.
//!
//! A task that crashes its workers does so in each run. If it does not, its worker is one of those that could have gone
//! down in the time of the run. Of `n` other workers let `c` have crashed in that time. Whatever the rate of crashes is,
//! and however much they come at once, the worker of the run is then among the `c + 1` of `n + 1` that have crashed with
//! a probability of `(c + 1) / (n + 1)`. The likelihood ratio is the inverse of that, times the share of guilty tasks
//! that crash their workers as long after the start. The expected factor that a run adds for an innocent task is at most
//! 1, so by Ville's inequality the product of the factors ever reaches `r` with a probability of at most `1 / r`.

use std::time::Duration;

use model::Time;

/// The weights of the evidence are logarithms in thousandths.
const UNIT: f64 = 1_000.0;

/// The evidence at which a job with a single task is given up: ln(10,000). An innocent task reaches it with a probability
/// of at most 1 in 10,000.
const GIVE_UP: i32 = 9_210;

/// The weight of a crash while no other worker crashes, at least: three such crashes are enough to give up a job with one
/// task, and four if it has up to 21 tasks. A small fleet could not show as much by its number of workers.
const QUIET_WEIGHT: i32 = 3_070;

/// The weight of a crash at most, so that no two crashes are enough.
const MOST_WEIGHT: i32 = 4_600;

/// The part of its weight that is stored with a crash before it is known which workers crashed at the same time. A
/// scheduler that takes over keeps it as it is. Four are enough to give up a job with one task.
const UNSETTLED_WEIGHT: i32 = GIVE_UP / 4 + 1;

/// The average weight of its crashes from which a task is taken for their cause rather than its workers: 4.5 to 1.
const BLAMED_WEIGHT: i32 = 1_500;

/// The evidence from which a task is taken for the cause of its crashes, and its crashes say nothing about other workers.
const ATTRIBUTED_WEIGHT: i32 = 3_500;

/// The share of runs of a gang's guilty member that may seem to survive because they had not begun when another member's
/// worker crashed.
const SURVIVING_SHARE: f64 = 0.2;

/// The number of workers that are enough to tell how many crash at a time. With fewer, one of them more or less would
/// make too great a difference.
const ENOUGH_OTHERS: u32 = 8;

/// For how long crashes are remembered as the background rate.
pub(crate) const HISTORY: Duration = Duration::from_secs(30);

/// The time in which a task that crashes its workers is expected to do so, by which the background rate is measured.
const WINDOW: Duration = Duration::from_secs(2);

/// The share of tasks that crash their workers within the first [`WINDOW`]. Of the others, half do so in each further one.
const PROMPT_SHARE: f64 = 0.75;

/// What happened to other workers in the time from the start of a run to the crash of its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Exposure {
    /// The number of other workers that could have crashed, and of those that have.
    pub(crate) others: u32,
    pub(crate) crashed: u32,
    /// The same in the worker's rack or failure domain, if the share is greater there.
    pub(crate) neighbours: u32,
    pub(crate) crashed_neighbours: u32,
    /// Whether another task that the worker had is known to crash its workers.
    pub(crate) is_explained: bool,
    /// The number of other crashes of the same worker in the [`HISTORY`].
    pub(crate) own_crashes: u32,
    /// The number of all workers.
    pub(crate) fleet: u32,
    /// The number of all crashes in the [`HISTORY`] that no task is known to have caused, including those of workers which
    /// had suspected tasks.
    pub(crate) past_crashes: u32,
    /// The part of the [`HISTORY`] during which crashes were noticed.
    pub(crate) watched: Duration,
    /// The time from the start of the run to the crash; zero if it is not known.
    pub(crate) delay: Duration,
    /// Whether this scheduler has started the run, and has noticed crashes since then.
    pub(crate) is_own_run: bool,
}

impl Exposure {
    /// Returns the probability that the worker of an innocent run has crashed.
    fn crash_share(&self) -> f64 {
        if self.is_explained && self.has_many_crashes() {
            return 1.0;
        }
        let share = |crashed: u32, all: u32| f64::from(crashed + 1) / f64::from(all + 1);
        let past = share(self.past_crashes, self.past_windows());
        let now = share_of_few(self.crashed, self.others, past);
        // Without crashes at the same time, their number in the past tells more than the number of workers.
        let mut most = if self.crashed == 0 && self.is_own_run {
            past
        } else {
            now
        };
        if self.crashed_neighbours > 1 {
            most = most.max(share_of_few(self.crashed_neighbours, self.neighbours, now));
        }
        if self.own_crashes > 0 {
            let windows = HISTORY.as_secs_f64() / WINDOW.as_secs_f64();
            most = most.max(f64::from(self.own_crashes + 1) / windows);
        }
        most.min(1.0)
    }

    /// Returns the number of pairs of a worker and a past time of a [`WINDOW`].
    fn past_windows(&self) -> u32 {
        let windows = self.watched.as_millis() / WINDOW.as_millis();
        let windows = u32::try_from(windows).unwrap_or(u32::MAX);
        self.fleet.saturating_mul(windows.max(1))
    }

    /// Returns whether so many crashes are not explained by tasks, one for two workers, that workers seem to crash by
    /// themselves. Several tasks that crash their workers at the same time cause fewer before they are found.
    pub(crate) const fn has_many_crashes(&self) -> bool {
        self.past_crashes.saturating_mul(2) >= self.fleet
    }

    const fn is_quiet(&self) -> bool {
        self.past_crashes == 0 && self.crashed == 0 && self.is_own_run
    }

    /// Returns the share of tasks that crash their workers which do so as long after the start.
    fn delay_share(&self) -> f64 {
        let windows = self.delay.as_millis() / WINDOW.as_millis();
        match i32::try_from(windows).unwrap_or(i32::MAX) {
            0 => PROMPT_SHARE,
            later => (1.0 - PROMPT_SHARE) * 0.5_f64.powi(later.min(10)),
        }
    }

    /// Returns the evidence of a crash against the task.
    pub(crate) fn weight(&self) -> i32 {
        let weight = log(self.delay_share() / self.crash_share()).min(MOST_WEIGHT);
        if self.is_quiet() {
            weight.max(QUIET_WEIGHT)
        } else {
            weight
        }
    }

    /// Returns the evidence of a crash against a member of a gang.
    pub(crate) fn member_weight(&self) -> i32 {
        if self.is_quiet() {
            return self.weight();
        }
        let guilty = (1.0 - SURVIVING_SHARE) * self.delay_share();
        log(guilty / self.crash_share()).min(MOST_WEIGHT)
    }

    /// Returns the evidence of a gang's run in which `crashed` of at most `workers` workers have crashed against the gang,
    /// of which one member or several may be the cause.
    pub(crate) fn gang_weight(&self, crashed: u32, workers: u32) -> i32 {
        let share = self.crash_share();
        let any = 1.0 - (1.0 - share).powi(i32::try_from(workers).unwrap_or(i32::MAX));
        // Half of the guilty gangs crash one worker, and half any number of them.
        let several = at_least(crashed, workers, share) * f64::from(workers.max(1));
        let ratio = 0.5 / any + 0.5 / several;
        let weight = log(self.delay_share() * ratio).min(MOST_WEIGHT);
        if self.is_quiet() {
            weight.max(QUIET_WEIGHT)
        } else {
            weight
        }
    }

    /// Returns the evidence against a member of a gang whose own worker has survived the crash of another member's.
    pub(crate) fn surviving_weight(&self) -> i32 {
        if self.is_quiet() {
            return 0;
        }
        let survives = (1.0 - self.crash_share()).max(SURVIVING_SHARE);
        log(SURVIVING_SHARE / survives)
    }
}

/// Returns the evidence at which a job is given up. Each task, and each gang as a whole, could reach that of a job with
/// one task by chance.
pub(crate) fn limit(candidates: u32) -> i32 {
    GIVE_UP + log(f64::from(candidates.max(1)))
}

/// Returns the part of a crash's weight to store before it is known which workers crashed at the same time.
pub(crate) fn unsettled(weight: i32) -> i32 {
    weight.min(UNSETTLED_WEIGHT)
}

/// Returns by how much the weight of a crash may rise once it is known what has caused the crashes at the same time.
pub(crate) fn open_weight(weight: i32) -> i32 {
    (QUIET_WEIGHT - weight).max(0)
}

/// Returns whether a task with this evidence from `count` crashes is taken for their cause rather than its workers.
pub(crate) fn is_blamed(weight: i32, count: u32) -> bool {
    let count = i32::try_from(count).unwrap_or(i32::MAX);
    weight >= BLAMED_WEIGHT.saturating_mul(count).min(ATTRIBUTED_WEIGHT)
}

/// Returns whether the evidence against a task is so strong that the crashes under it say nothing about the background.
pub(crate) const fn is_attributed(weight: i32) -> bool {
    weight >= ATTRIBUTED_WEIGHT
}

/// Returns the probability that a worker has crashed if as many others have. If few workers could be compared, `usual`
/// stands for the missing ones.
fn share_of_few(crashed: u32, all: u32, usual: f64) -> f64 {
    let missing = f64::from(ENOUGH_OTHERS.saturating_sub(all));
    (f64::from(crashed + 1) + missing * usual) / (f64::from(all + 1) + missing)
}

/// Returns the probability that at least `count` of `all` workers crash, each with a probability of `share`.
fn at_least(count: u32, all: u32, share: f64) -> f64 {
    let share = share.clamp(1e-6, 1.0 - 1e-6);
    let mut exactly = (1.0 - share).powi(i32::try_from(all).unwrap_or(i32::MAX));
    let mut fewer = 0.0;
    for n in 0..count.min(all) {
        fewer += exactly;
        exactly *= f64::from(all - n) / f64::from(n + 1) * share / (1.0 - share);
    }
    (1.0_f64 - fewer).max(exactly).max(1e-9)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the logarithm of a ratio of counts is small"
)]
fn log(ratio: f64) -> i32 {
    (ratio.ln() * UNIT).round() as i32
}

/// The time in which a worker has crashed, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Span {
    pub(crate) from: Time,
    pub(crate) until: Time,
}

impl Span {
    pub(crate) fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.until && other.from <= self.until
    }
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeMap;

    use super::*;

    /// The share of workers that crash in a wave, and the time between two waves.
    const WAVE_SHARE: f64 = 0.3;
    const WAVE_INTERVAL: Duration = Duration::from_secs(3);

    /// Returns the probability that exactly `count` of `all` workers crash.
    fn exactly(count: u32, all: u32, share: f64) -> f64 {
        (0..count).fold((1.0 - share).powi(i32::try_from(all).unwrap()), |p, n| {
            p * f64::from(all - n) / f64::from(n + 1) * share / (1.0 - share)
        })
    }

    /// Returns the probabilities of the weights of a crash under an innocent task, whose runs meet at most `waves` waves.
    /// `past` waves have come before. They add up to less than one, because a run may succeed.
    fn weights(fleet: u32, past: u32, waves: u32) -> BTreeMap<i32, f64> {
        // After the first wave most workers have tasks under which others have crashed.
        let others = if past == 0 { fleet - 1 } else { fleet / 3 };
        let mut weights = BTreeMap::new();
        for wave in 1..=waves {
            let reaches = (1.0 - WAVE_SHARE).powi(i32::try_from(wave).unwrap() - 1);
            let has_crashed = 1.0 - (1.0 - WAVE_SHARE).powi(i32::try_from(wave).unwrap());
            for crashed in 0..=others {
                let seen = (past + wave).min(10);
                let exposure = Exposure {
                    others,
                    crashed,
                    fleet,
                    // Those of the last wave are noticed only among the workers that are compared.
                    past_crashes: fleet * 3 / 10 * (seen - 1) + crashed,
                    watched: (WAVE_INTERVAL * (past + wave)).min(HISTORY),
                    delay: WAVE_INTERVAL * (wave - 1),
                    is_own_run: true,
                    ..Exposure::default()
                };
                let probability = reaches * WAVE_SHARE * exactly(crashed, others, has_crashed);
                *weights.entry(exposure.weight()).or_insert(0.0) += probability;
            }
        }
        weights
    }

    /// Returns an upper bound of the probability that an innocent job with this many tasks is given up.
    fn given_up(fleet: u32, waves: u32, tasks: u32) -> f64 {
        // Sums are rounded up to hundredths, which makes the result too large rather than too small.
        let mut sums = BTreeMap::from([(0, 1.0)]);
        let mut total = 0.0;
        for past in 0..60 {
            let mut next = BTreeMap::new();
            let weights = weights(fleet, past, waves);
            for (&sum, probability) in &sums {
                for (&weight, share) in &weights {
                    let sum = ((sum + weight + 9) / 10 * 10).max(-3_000);
                    if sum >= limit(tasks) && past >= 2 {
                        total += probability * share;
                    } else {
                        *next.entry(sum).or_insert(0.0) += probability * share;
                    }
                }
            }
            sums = next;
        }
        total * f64::from(tasks)
    }

    /// Guards against innocent jobs that are given up while 30 % of the workers go down every 3 s: the bound is 1 in 10,000.
    #[test]
    fn an_innocent_job_is_given_up_less_than_once_in_ten_thousand_times() {
        for fleet in [10, 30, 120] {
            for waves in [1, 2, 20] {
                for tasks in [1, 20, 1_000] {
                    let probability = given_up(fleet, waves, tasks);
                    println!("{fleet} workers, {waves} waves, {tasks} tasks: {probability:.2e}");
                    assert!(
                        probability < 1e-4,
                        "{fleet} workers, {waves} waves, {tasks} tasks: {probability:.2e}"
                    );
                }
            }
        }
    }

    /// Guards against a task that takes many workers down on a fleet where no other worker crashes.
    #[test]
    fn three_or_four_crashes_are_enough_on_a_quiet_fleet() {
        for (fleet, watched_s, tasks, expected) in [
            (3, 0, 1, 3),
            (12, 0, 1, 3),
            (12, 0, 20, 4),
            (12, 30, 20, 3),
            (300, 10, 20, 3),
            (300, 10, 1_000, 4),
        ] {
            let exposure = Exposure {
                others: fleet - 1,
                fleet,
                watched: Duration::from_secs(watched_s),
                is_own_run: true,
                ..Exposure::default()
            };
            let crashes = (1..10)
                .find(|n| n * exposure.weight() >= limit(tasks))
                .unwrap();
            assert_eq!(crashes, expected, "{fleet} workers, {tasks} tasks");
        }
    }

    /// Guards against a task that takes one worker after the other while others crash as well.
    #[test]
    fn each_prompt_crash_counts_against_the_task_unless_most_workers_crash() {
        for crashed in 0..=17 {
            let exposure = Exposure {
                others: 29,
                crashed,
                fleet: 30,
                past_crashes: 90,
                watched: HISTORY,
                is_own_run: true,
                ..Exposure::default()
            };
            assert!(exposure.weight() > 0, "{crashed} of 29");
        }
    }
}
