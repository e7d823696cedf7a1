//! Keys of teams, and the decision what to answer to a call.

use std::{collections::HashMap, fmt, sync::Arc, time::Duration};

use jobs::{Job, TeamPolicy};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// How long a client should wait before it retries a call that a node could not decide because its configuration may
/// be outdated. The node learns of a new configuration within this time once it reaches the table or another node.
const RETRY_AFTER_STALE: Duration = Duration::from_secs(1);

/// The SHA-256 digest of a key. Keys themselves are not kept.
#[derive(Clone, Copy)]
#[derive(Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the part of the digest by which [`Keys`] finds candidates.
    fn prefix(&self) -> [u8; 8] {
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&self.0[..8]);
        prefix
    }
}

/// Compares in constant time.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for KeyDigest {}

/// Shows nothing of the digest.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A team of the configuration, and the digests of its keys.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Team {
    /// The team's name, weight and limit.
    pub policy: TeamPolicy,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// The teams of one version of the configuration, and an index of their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Keys {
    teams: Vec<Team>,
    /// Whether calls need a key.
    is_required: bool,
    /// The keys by the first bytes of their digests, with the positions of their teams. The time of a look-up depends
    /// on the digest of the given key and not on how much of it agrees with a configured key.
    by_prefix: HashMap<[u8; 8], Vec<(KeyDigest, usize)>>,
}

impl Keys {
    /// Indexes the keys of teams. A key that several teams have belongs to the first of them.
    pub(crate) fn new(teams: Vec<Team>, is_required: bool) -> Self {
        let mut by_prefix: HashMap<[u8; 8], Vec<(KeyDigest, usize)>> = HashMap::new();
        for (position, team) in teams.iter().enumerate() {
            for digest in &team.keys {
                let same_prefix = by_prefix.entry(digest.prefix()).or_default();
                match same_prefix.iter().find(|(known, _)| known == digest) {
                    Some(&(_, first)) if first != position => log::warn!(
                        "event=key_shared team={:?} other={:?}",
                        teams[first].policy.name,
                        team.policy.name
                    ),
                    Some(_) => {}
                    None => same_prefix.push((*digest, position)),
                }
            }
        }
        Self {
            teams,
            is_required,
            by_prefix,
        }
    }

    pub(crate) const fn is_required(&self) -> bool {
        self.is_required
    }

    pub(crate) fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Returns the name of the team that has a key.
    pub(crate) fn team_of(&self, key: &[u8]) -> Option<&Arc<str>> {
        let digest = KeyDigest::of(key);
        let candidates = self.by_prefix.get(&digest.prefix())?;
        let (_, position) = candidates.iter().find(|(known, _)| *known == digest)?;
        Some(&self.teams[*position].policy.name)
    }
}

/// How current a node's configuration has to be for its decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessSettings {
    /// The time within which a new version must be applied. An unknown key may be a new one if the node has not
    /// confirmed its version for longer.
    pub apply_limit: Duration,
    /// The time after which a known key is no longer accepted unless the version is confirmed; `None` for no limit.
    pub revoke_limit: Option<Duration>,
}

impl Default for AccessSettings {
    fn default() -> Self {
        Self {
            apply_limit: Duration::from_millis(2_500),
            revoke_limit: None,
        }
    }
}

/// On whose behalf an accepted call is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration requires no keys.
    Unrestricted,
    /// A call with a key of this team.
    Team(Arc<str>),
    /// A call without a known key to a route that requires none.
    Anonymous,
}

impl Caller {
    /// Returns the team that a job of this caller belongs to; empty if there is none.
    #[must_use]
    pub fn team(&self) -> Arc<str> {
        match self {
            Self::Team(team) => team.clone(),
            Self::Unrestricted | Self::Anonymous => Arc::default(),
        }
    }
}

/// Why a call is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The route requires a key, and the call has none.
    NoKey,
    /// No team of the current configuration has the key.
    UnknownKey,
    /// The configuration may be outdated, so that the key can be neither accepted nor refused.
    OutdatedView {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns the name of the reason in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::OutdatedView { .. } => "outdated_view",
        }
    }
}

/// Decides about a call with `key` to a route, given how long ago the configuration was known to be the newest one.
pub(crate) fn decide(
    keys: &Keys,
    view_age: Duration,
    settings: &AccessSettings,
    is_anonymous_route: bool,
    key: Option<&[u8]>,
) -> Result<Caller, Refusal> {
    if !keys.is_required() {
        return Ok(Caller::Unrestricted);
    }
    let team = key.and_then(|key| keys.team_of(key));
    if is_anonymous_route {
        return Ok(team.map_or(Caller::Anonymous, |team| Caller::Team(team.clone())));
    }
    let outdated = Refusal::OutdatedView {
        retry_after: RETRY_AFTER_STALE,
    };
    match (key, team) {
        (None, _) => Err(Refusal::NoKey),
        (Some(_), None) if view_age > settings.apply_limit => Err(outdated),
        (Some(_), None) => Err(Refusal::UnknownKey),
        (Some(_), Some(_)) if settings.revoke_limit.is_some_and(|limit| view_age > limit) => {
            Err(outdated)
        }
        (Some(_), Some(team)) => Ok(Caller::Team(team.clone())),
    }
}

/// What a node knows about the team of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Owner {
    /// The number of the team's name.
    team: u32,
    /// The number of the queue's name.
    queue: u32,
}

impl Owner {
    /// Returns the owner of a job; `None` if the job has no team and is open to all callers.
    pub(crate) fn of(job: &Job) -> Option<Self> {
        (!job.team.is_empty()).then(|| Self {
            team: number_of(&job.team),
            queue: number_of(&job.queue.name),
        })
    }

    /// Returns whether a caller may read and cancel the job. `is_anonymous` tells whether the queue with a number
    /// accepts calls without a key.
    pub(crate) fn admits(self, caller: &Caller, is_anonymous: impl Fn(u32) -> bool) -> bool {
        match caller {
            Caller::Unrestricted => true,
            Caller::Team(team) => number_of(team) == self.team,
            Caller::Anonymous => is_anonymous(self.queue),
        }
    }
}

/// Returns a number for the name of a team or a queue, which is the same on all nodes and shorter than the name. Two
/// of 10,000 teams have the same number with a probability of about 1 in 90; they could then read each other's jobs,
/// whose ids they would have to guess.
pub(crate) fn number_of(name: &str) -> u32 {
    let [a, b, c, d, ..] = model::stable_hash(name.bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

#[cfg(test)]
mod tests {
    use jobs::Queue;

    use super::*;

    const SECOND: Duration = Duration::from_secs(1);

    fn team(name: &str, keys: &[&str]) -> Team {
        Team {
            policy: TeamPolicy {
                name: name.into(),
                ..TeamPolicy::default()
            },
            keys: keys
                .iter()
                .map(|key| KeyDigest::of(key.as_bytes()))
                .collect(),
        }
    }

    fn keys() -> Keys {
        Keys::new(
            vec![team("red", &["r1", "r2"]), team("blue", &["b1"])],
            true,
        )
    }

    fn caller(name: &str) -> Caller {
        Caller::Team(name.into())
    }

    /// Guards against a key that is accepted for the wrong team, or by a part of it only.
    #[test]
    fn a_key_belongs_to_the_team_that_has_it() {
        let settings = AccessSettings::default();
        let decide = |key: &str| decide(&keys(), SECOND, &settings, false, Some(key.as_bytes()));
        assert_eq!(decide("r1"), Ok(caller("red")));
        assert_eq!(decide("r2"), Ok(caller("red")));
        assert_eq!(decide("b1"), Ok(caller("blue")));
        for unknown in ["", "r", "r11", "R1", "red"] {
            assert_eq!(decide(unknown), Err(Refusal::UnknownKey), "{unknown}");
        }
        let without = super::decide(&keys(), SECOND, &settings, false, None);
        assert_eq!(without, Err(Refusal::NoKey));
    }

    /// Guards against refusing calls in deployments without teams, and against accepting all calls if no team of a
    /// configuration with teams can be read.
    #[test]
    fn keys_are_required_only_by_configurations_with_teams() {
        let settings = AccessSettings::default();
        let none = Keys::default();
        for key in [None, Some(&b"r1"[..])] {
            let decision = decide(&none, 60 * SECOND, &settings, false, key);
            assert_eq!(decision, Ok(Caller::Unrestricted));
        }
        let unreadable = Keys::new(Vec::new(), true);
        let decision = decide(&unreadable, SECOND, &settings, false, Some(b"r1"));
        assert_eq!(decision, Err(Refusal::UnknownKey));
    }

    /// Guards against losing the team of a job that is submitted with a key to a route that requires none.
    #[test]
    fn an_anonymous_route_accepts_all_calls_and_keeps_the_team() {
        let settings = AccessSettings {
            revoke_limit: Some(3 * SECOND),
            ..AccessSettings::default()
        };
        for age in [SECOND, 60 * SECOND] {
            let decide = |key: Option<&[u8]>| decide(&keys(), age, &settings, true, key);
            assert_eq!(decide(Some(b"b1")), Ok(caller("blue")));
            assert_eq!(decide(Some(b"x")), Ok(Caller::Anonymous));
            assert_eq!(decide(None), Ok(Caller::Anonymous));
        }
    }

    /// Guards against refusing a new key for good, and against accepting a revoked one without limit, at a node that
    /// cannot confirm its configuration.
    #[test]
    fn the_age_of_the_view_decides_about_new_and_revoked_keys() {
        let lenient = AccessSettings::default();
        let strict = AccessSettings {
            revoke_limit: Some(4 * SECOND),
            ..lenient
        };
        let ms = Duration::from_millis;
        let outdated = Refusal::OutdatedView {
            retry_after: SECOND,
        };
        let cases = [
            // The age of the view, whether the key is known, and the decisions without and with strict revocation.
            (
                ms(2_500),
                false,
                Err(Refusal::UnknownKey),
                Err(Refusal::UnknownKey),
            ),
            (ms(2_501), false, Err(outdated), Err(outdated)),
            (ms(4_000), true, Ok(caller("red")), Ok(caller("red"))),
            (ms(4_001), true, Ok(caller("red")), Err(outdated)),
        ];
        for (age, is_known, without, with) in cases {
            let key: &[u8] = if is_known { b"r1" } else { b"new" };
            let decide = |settings| decide(&keys(), age, settings, false, Some(key));
            assert_eq!(decide(&lenient), without, "{age:?}");
            assert_eq!(decide(&strict), with, "{age:?}");
        }
        // A call without a key is refused whatever the age of the view is.
        let decision = decide(&keys(), 60 * SECOND, &strict, false, None);
        assert_eq!(decision, Err(Refusal::NoKey));
    }

    /// Guards against access to the jobs of another team, and to a team's jobs by way of a route that requires no key.
    #[test]
    fn jobs_of_a_team_are_closed_to_others() {
        let (red, blue) = (caller("red"), caller("blue"));
        let admitted = |job: &Job| {
            let owner = Owner::of(job).unwrap();
            let is_anonymous = |queue| queue == number_of("open");
            [&red, &blue, &Caller::Anonymous, &Caller::Unrestricted]
                .map(|caller| owner.admits(caller, is_anonymous))
        };
        let job = |team: &str, queue: &str| Job {
            team: team.into(),
            queue: Queue {
                name: queue.into(),
                ..Queue::default()
            },
            ..Job::default()
        };
        assert_eq!(admitted(&job("red", "closed")), [true, false, false, true]);
        assert_eq!(admitted(&job("red", "open")), [true, false, true, true]);
        assert_eq!(Owner::of(&job("", "closed")), None);
    }

    /// Guards against keys or their digests in logs.
    #[test]
    fn debug_output_shows_no_digest() {
        assert_eq!(format!("{:?}", KeyDigest::of(b"r1")), "KeyDigest(..)");
    }
}
