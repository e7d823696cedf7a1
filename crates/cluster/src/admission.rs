//! Refuses new jobs of teams that submit more than their rate while the fleet is busy.
//!
//! The scheduler decides which share of a team's new jobs is accepted, and tells all nodes. Whether a job belongs to
//! that share, and when its client may retry, follows from a hash of its id, so that all nodes decide alike.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jobs::JobId;
use model::Time;
use sched::Admission;
use serde::{Deserialize, Serialize};

/// How long admissions are in force after they have arrived: three intervals in which the scheduler repeats them. A
/// node that loses its link then accepts all jobs again.
const VALIDITY: Duration = Duration::from_millis(1_500);

/// The first byte that is hashed before the id for each of the two decisions about a job, so that the retry times of
/// the refused jobs spread over the whole range.
const ADMISSION_SALT: u8 = 1;
const RETRY_SALT: u8 = 2;

/// An [`Admission`] in a message.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct TeamAdmission {
    team: Arc<str>,
    /// The share of new jobs to accept, in thousandths.
    accepted_milli: u32,
    /// The earliest and the latest time after which clients of the other jobs may retry, in milliseconds.
    retry_ms: (u32, u32),
}

impl From<Admission> for TeamAdmission {
    fn from(admission: Admission) -> Self {
        let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        let (from, to) = admission.retry_after;
        Self {
            team: admission.team,
            accepted_milli: admission.accepted_milli,
            retry_ms: (millis(from), millis(to)),
        }
    }
}

/// The admissions that are in force at a node.
#[derive(Debug, Default)]
pub(crate) struct Admissions {
    by_team: HashMap<Arc<str>, TeamAdmission>,
    until: Time,
}

impl Admissions {
    /// Replaces the admissions with ones that have just arrived.
    pub(crate) fn replace(&mut self, now: Time, admissions: Vec<TeamAdmission>) {
        let by_team = admissions
            .into_iter()
            .map(|admission| (admission.team.clone(), admission));
        self.by_team = by_team.collect();
        self.until = now + VALIDITY;
    }

    /// Returns after which time the client of a new job may retry, or `None` if the job is accepted.
    pub(crate) fn retry_after(&self, now: Time, team: &str, id: JobId) -> Option<Duration> {
        if now >= self.until {
            return None;
        }
        let admission = self.by_team.get(team)?;
        if hash_below(ADMISSION_SALT, id, 1_000) < admission.accepted_milli {
            return None;
        }
        let (from, to) = admission.retry_ms;
        let offset = hash_below(RETRY_SALT, id, to.saturating_sub(from).saturating_add(1));
        Some(Duration::from_millis(u64::from(from) + u64::from(offset)))
    }
}

/// Returns a number below `bound` that depends on the id only.
fn hash_below(salt: u8, id: JobId, bound: u32) -> u32 {
    let JobId(number) = id;
    let hash = model::stable_hash([salt].into_iter().chain(number.to_le_bytes()));
    // The lower bits of this hash depend on the lower bits of the bytes only.
    let scaled = ((hash >> 32) * u64::from(bound)) >> 32;
    u32::try_from(scaled).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Time = Time::from_ms(10_000);

    fn admissions(accepted_milli: u32) -> Admissions {
        let admission = Admission {
            team: "red".into(),
            accepted_milli,
            retry_after: (Duration::from_secs(2), Duration::from_secs(6)),
        };
        let mut admissions = Admissions::default();
        admissions.replace(NOW, vec![admission.into()]);
        admissions
    }

    /// Five seconds of a team that submits 200 jobs per second, of which a fifth is to be accepted.
    fn ids() -> impl Iterator<Item = JobId> {
        (0..1_000_u64).map(|n| JobId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
    }

    /// Guards against a share that is far from the one that the scheduler has decided, and against clients that all
    /// return at the same time.
    #[test]
    fn the_share_is_accepted_and_the_others_return_spread_out() {
        let admissions = admissions(200);
        let refused: Vec<Duration> = ids()
            .filter_map(|id| admissions.retry_after(NOW, "red", id))
            .collect();
        assert!((750..850).contains(&refused.len()), "{}", refused.len());
        for second in 2..6 {
            let second = Duration::from_secs(second)..Duration::from_secs(second + 1);
            let count = refused
                .iter()
                .filter(|after| second.contains(after))
                .count();
            assert!((150..250).contains(&count), "{second:?}: {count}");
        }
        assert!(refused.iter().all(|after| after.as_secs() < 7));
    }

    /// Guards against refusing a job at one node that another one accepts, and against refusing jobs of a lower
    /// share that are accepted at a higher one.
    #[test]
    fn the_decision_about_a_job_is_stable() {
        for id in ids() {
            let refused = |share| admissions(share).retry_after(NOW, "red", id);
            assert_eq!(refused(300), refused(300));
            assert!(refused(300).is_some() || refused(301).is_none());
            assert!(refused(0).is_some() && refused(1_000).is_none());
        }
    }

    /// Guards against refusals that outlast their cause, and against refusals of other teams.
    #[test]
    fn admissions_expire_and_concern_one_team() {
        let mut admissions = admissions(0);
        let id = JobId(7);
        let last = Time::from_ms(11_499);
        assert!(admissions.retry_after(last, "red", id).is_some());
        assert_eq!(admissions.retry_after(NOW, "blue", id), None);
        assert_eq!(
            admissions.retry_after(Time::from_ms(11_500), "red", id),
            None
        );
        admissions.replace(NOW, Vec::new());
        assert_eq!(admissions.retry_after(NOW, "red", id), None);
    }
}
