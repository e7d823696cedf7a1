//! How current a node's configuration is, and its exchange between nodes.
//!
//! Nodes read the configuration from the table. A node that the table refuses or that cannot reach it asks the
//! scheduler, or other nodes if it has no link to a scheduler, and a scheduler in this situation asks the linked
//! nodes. Each question carries the time at which it was sent, on the asker's clock, and the answer repeats it. A
//! node that was frozen and resumes therefore does not take old answers for recent ones.

use std::{collections::HashSet, fmt, net::SocketAddr, sync::Arc, time::Duration};

use model::Time;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    Node, Ports, Route, Routes, Team, feed,
    link::{self, Link},
    message::{Message, TEAMS_LEVEL},
};

/// A node asks other nodes once its configuration was not confirmed for this long. While the table answers, calls for
/// changes confirm it about once a second, and within 1.8 s if the table is slow. It leaves more than half a second
/// of the shortest time within which a new version must be applied, 2.5 s.
const ASK_AFTER: Duration = Duration::from_millis(1_800);

/// How often a node checks whether to ask, and the shortest time between two questions.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// How long to wait for an answer before asking again. The configuration of 10,000 teams has about 1.5 MB.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(900);

/// How long to wait for an answer on a link that was opened for one question. Several nodes are asked one after the
/// other, and some may be down.
const LINK_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of nodes that are asked in one round. Others are asked in the next rounds.
const NODES_PER_ROUND: usize = 3;

/// The longest encoded configuration that is sent, in bytes. Links close on messages above 8 MB.
const MAX_CONTENT_BYTES: usize = 7 << 20;

/// From whom a node learned that its configuration is the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Source {
    /// The table.
    #[default]
    Table,
    /// Another node.
    Node,
}

/// When the configuration in force was last known to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct View {
    /// `None` if that is not known, for example because another node has sent the configuration unasked.
    confirmed_at: Option<Time>,
    source: Source,
}

impl View {
    /// Returns how long ago the configuration was known to be the newest one, and the longest duration if it was never
    /// known.
    pub(crate) fn age(self, now: Time) -> Duration {
        self.confirmed_at.map_or(Duration::MAX, |at| now - at)
    }

    /// Returns the name of the source for logs.
    pub(crate) const fn source_name(self) -> &'static str {
        match self.source {
            Source::Table => "table",
            Source::Node => "node",
        }
    }

    /// Records that there was no newer configuration at `at`. Answers may arrive out of order.
    pub(crate) fn confirm(&mut self, at: Time, source: Source) {
        if self.confirmed_at.is_none_or(|known| at > known) {
            *self = Self {
                confirmed_at: Some(at),
                source,
            };
        }
    }
}

/// A question for the newest configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Question {
    /// The asker's version.
    pub(crate) version: u64,
    /// When the question was sent, in milliseconds on the asker's clock.
    pub(crate) sent_ms: u64,
}

/// A node's version of the configuration, and how current it is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Answer {
    /// The time in the question; `None` if the message answers no question.
    pub(crate) sent_ms: Option<u64>,
    pub(crate) version: u64,
    /// How long before the answer was sent its version was known to be the newest one, in milliseconds.
    pub(crate) age_ms: u64,
    /// The configuration; `None` unless it is newer than that of the asker.
    pub(crate) content: Option<Content>,
}

/// What a node does with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reaction {
    /// When the configuration that is then in force was known to be the newest one; `None` if the answer does not
    /// show it.
    confirmed_at: Option<Time>,
    /// Whether to put the answer's configuration in force.
    applies: bool,
    /// Whether to send the own configuration to the node that has answered.
    sends_own: bool,
}

/// Returns what a node with version `own` does with an answer.
fn react(own: u64, answer: &Answer) -> Reaction {
    if answer.version < own {
        return Reaction {
            sends_own: answer.sent_ms.is_some(),
            ..Reaction::default()
        };
    }
    let applies = answer.version > own && answer.content.is_some();
    let is_known = applies || answer.version == own;
    Reaction {
        // The other node computed the age after the question was sent. A time before the start of this process cannot
        // be represented.
        confirmed_at: answer
            .sent_ms
            .filter(|_| is_known)
            .and_then(|sent_ms| sent_ms.checked_sub(answer.age_ms))
            .map(Time::from_ms),
        applies,
        sends_own: false,
    }
}

/// An encoded configuration. Its debug output shows only its length.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Content(Arc<[u8]>);

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Content({} bytes)", self.0.len())
    }
}

/// The fields of an encoded configuration.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Fields {
    version: u64,
    routes: Vec<Route>,
    /// The teams; `None` if no keys are required.
    teams: Option<Vec<Team>>,
}

impl Content {
    /// Encodes a configuration. Returns `None` if it is too long for a message.
    fn encode(routes: &Routes) -> Option<Self> {
        let keys = routes.keys();
        let fields = Fields {
            version: routes.version(),
            routes: routes.routes().cloned().collect(),
            teams: keys.is_required().then(|| keys.teams().to_vec()),
        };
        let bytes = jobs::encode(&fields);
        (bytes.len() <= MAX_CONTENT_BYTES).then(|| Self(bytes.into()))
    }

    /// Decodes a configuration. Returns `None` if it is invalid.
    fn decode(&self) -> Option<Routes> {
        let fields: Fields = jobs::decode(&self.0).ok()?;
        let routes = Routes::new(fields.version, fields.routes);
        Some(match fields.teams {
            Some(teams) => routes.with_teams(teams),
            None => routes,
        })
    }
}

impl<P: Ports> Node<P> {
    /// Records that there was no newer configuration than the one in force at `at`.
    pub(crate) fn confirm_configuration(&self, at: Time, source: Source) {
        let mut view = self.0.team_jobs.view.get();
        view.confirm(at, source);
        self.0.team_jobs.view.set(view);
    }

    fn configuration_version(&self) -> u64 {
        let routes = self.0.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// Returns the question to send now.
    fn configuration_question(&self) -> Message {
        Message::ConfigurationQuestion(Question {
            version: self.configuration_version(),
            sent_ms: self.0.clock.time().as_ms(),
        })
    }

    /// Returns the answer to a question, or an unasked message for a node with an older version.
    fn configuration_answer(&self, sent_ms: Option<u64>, other_version: u64) -> Message {
        let routes = self.0.routes.borrow();
        let newer = routes
            .as_ref()
            .filter(|routes| routes.version() > other_version);
        let age = self.0.team_jobs.view.get().age(self.0.clock.time());
        Message::Configuration(Answer {
            sent_ms,
            version: routes.as_ref().map_or(0, |routes| routes.version()),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            content: newer.and_then(|routes| Content::encode(routes)),
        })
    }

    /// Answers a question of another node through `tx`.
    pub(crate) fn answer_question(&self, question: Question, tx: &mpsc::Sender<Message>) {
        let answer = self.configuration_answer(Some(question.sent_ms), question.version);
        if tx.try_send(answer).is_err() {
            self.0.metrics.count("messages_dropped");
        }
    }

    /// Handles another node's answer, and sends it the own configuration through `tx` if that is newer.
    pub(crate) fn handle_answer(&self, answer: &Answer, tx: &mpsc::Sender<Message>) {
        self.0.team_jobs.asked_at.set(None);
        let reaction = react(self.configuration_version(), answer);
        if reaction.sends_own {
            let own = self.configuration_answer(None, answer.version);
            if tx.try_send(own).is_err() {
                self.0.metrics.count("messages_dropped");
            }
        }
        if reaction.applies {
            let routes = answer.content.as_ref().and_then(Content::decode);
            let Some(routes) = routes.filter(|routes| routes.version() == answer.version) else {
                log::warn!("event=config_undecodable version={}", answer.version);
                return;
            };
            log::info!("event=config_told version={}", answer.version);
            self.0.metrics.count("configurations_told");
            feed::put_in_force(self, Some(routes));
        }
        if let Some(at) = reaction.confirmed_at {
            self.confirm_configuration(at, Source::Node);
        }
    }

    /// Returns whether the configuration has teams and was not confirmed for [`ASK_AFTER`].
    pub(crate) fn is_configuration_outdated(&self, now: Time) -> bool {
        self.has_teams() && self.0.team_jobs.view.get().age(now) > ASK_AFTER
    }

    /// Returns whether to ask other nodes for the newest configuration.
    fn needs_confirmation(&self, now: Time) -> bool {
        let team_jobs = &self.0.team_jobs;
        let is_waiting = team_jobs
            .asked_at
            .get()
            .is_some_and(|at| now < at + ANSWER_TIMEOUT);
        let is_recent = team_jobs.view.get().age(now) <= ASK_INTERVAL;
        let is_lost = self.has_teams() && self.0.table.is_lost() && !is_recent;
        !is_waiting && (is_lost || self.is_configuration_outdated(now))
    }

    /// Asks other nodes for the newest configuration while the table does not confirm it. Never returns.
    pub(crate) async fn exchange_configuration(self) {
        let mut round = 0;
        loop {
            sleep(ASK_INTERVAL).await;
            let now = self.0.clock.time();
            if !self.needs_confirmation(now) {
                continue;
            }
            round += 1;
            let leader = self.0.leader.borrow().clone();
            // A node that is taking over has not told its level yet, and may stay without the table.
            let upstream = self.0.upstream.borrow().clone();
            let upstream = upstream.filter(|_| self.0.upstream_level.get() >= TEAMS_LEVEL);
            let question = self.configuration_question();
            let is_asked = match (leader, upstream) {
                (Some(leader), _) => leader.ask_peers(&question, round, NODES_PER_ROUND),
                (None, Some(upstream)) => upstream.try_send(question).is_ok(),
                (None, None) => false,
            };
            if is_asked {
                self.0.team_jobs.asked_at.set(Some(now));
            } else {
                self.ask_sources(round).await;
            }
        }
    }

    /// Asks some of the other nodes over links of their own.
    async fn ask_sources(&self, round: usize) {
        let sources = self.0.team_jobs.sources.borrow().clone();
        for to in rotated(&sources, round, NODES_PER_ROUND) {
            if *to == self.0.settings.link_address {
                continue;
            }
            let Ok(Ok(mut link)) = timeout(LINK_ANSWER_TIMEOUT, link::open(*to)).await else {
                continue;
            };
            if link.tx.try_send(self.configuration_question()).is_err() {
                continue;
            }
            let answering = async {
                while let Some(message) = link.rx.recv().await {
                    // A node that does not schedule says so first.
                    if let Message::Configuration(answer) = message {
                        self.handle_answer(&answer, &link.tx);
                        return;
                    }
                }
            };
            // Without an answer, the next node is asked.
            let _ = timeout(LINK_ANSWER_TIMEOUT, answering).await;
        }
    }

    /// Answers the questions on a link that was opened for them, the first of which was already received if it is
    /// not `None`.
    pub(crate) async fn serve_questions(self, mut link: Link, first: Option<Question>) {
        if let Some(question) = first {
            self.answer_question(question, &link.tx);
        }
        while let Ok(Some(message)) = timeout(LINK_ANSWER_TIMEOUT, link.rx.recv()).await {
            match message {
                Message::ConfigurationQuestion(question) => {
                    self.answer_question(question, &link.tx);
                }
                Message::Configuration(answer) => self.handle_answer(&answer, &link.tx),
                // A node that looks for the scheduler has been answered when the link was accepted.
                _ => {}
            }
        }
    }

    /// Records the addresses of all nodes that answer questions: `addresses` without the ones at the positions
    /// `earlier`.
    pub(crate) fn set_sources(&self, addresses: &[String], earlier: &[u32]) {
        let earlier: HashSet<u32> = earlier.iter().copied().collect();
        let sources = (0..)
            .zip(addresses)
            .filter(|(position, _)| !earlier.contains(position))
            .filter_map(|(_, address)| address.parse().ok());
        *self.0.team_jobs.sources.borrow_mut() = sources.collect();
    }
}

/// Returns up to `count` items. Consecutive rounds return all items in turn.
pub(crate) fn rotated<T>(items: &[T], round: usize, count: usize) -> impl Iterator<Item = &T> {
    let start = round
        .saturating_mul(count)
        .checked_rem(items.len())
        .unwrap_or(0);
    items
        .iter()
        .cycle()
        .skip(start)
        .take(count.min(items.len()))
}

/// The addresses of nodes that answer questions.
pub(crate) type Sources = Vec<SocketAddr>;

#[cfg(test)]
mod tests {
    use jobs::{Queue, TeamPolicy};

    use super::*;
    use crate::KeyDigest;

    fn routes(version: u64) -> Routes {
        let route = |name: &str, is_anonymous| Route {
            host: "h".into(),
            path_prefix: format!("/{name}/"),
            queue: Queue {
                name: name.into(),
                ..Queue::default()
            },
            is_anonymous,
        };
        let team = Team {
            policy: TeamPolicy {
                name: "red".into(),
                weight: 2.0,
                ..TeamPolicy::default()
            },
            keys: vec![KeyDigest::of(b"r1")],
        };
        Routes::new(version, [route("a", false), route("b", true)]).with_teams([team])
    }

    fn answer(version: u64, sent_ms: Option<u64>) -> Answer {
        Answer {
            sent_ms,
            version,
            age_ms: 400,
            content: (version > 5)
                .then(|| Content::encode(&routes(version)))
                .flatten(),
        }
    }

    /// Guards against a configuration that loses teams, keys or routes on its way between nodes.
    #[test]
    fn a_configuration_is_the_same_after_the_exchange() {
        for routes in [
            routes(7),
            Routes::new(8, []),
            Routes::new(9, []).with_teams([]),
        ] {
            let content = Content::encode(&routes).unwrap();
            assert_eq!(content.decode(), Some(routes));
        }
        assert_eq!(Content(Arc::from([1, 2])).decode(), None);
    }

    /// Guards against going back to an older version, and against a node that knows a newer version and keeps it.
    #[test]
    fn the_newer_of_two_versions_is_applied_by_both() {
        let sends_own = Reaction {
            sends_own: true,
            ..Reaction::default()
        };
        assert_eq!(react(5, &answer(4, Some(9_000))), sends_own);
        let applies = Reaction {
            applies: true,
            confirmed_at: Some(Time::from_ms(8_600)),
            sends_own: false,
        };
        assert_eq!(react(5, &answer(6, Some(9_000))), applies);
        // Two nodes must not send each other unasked messages without end.
        assert_eq!(react(5, &answer(4, None)), Reaction::default());
    }

    /// Guards against counting the configuration as confirmed at the time when an answer arrives: the answer may
    /// have waited while this node was frozen, or come from a node that is cut off from the table itself.
    #[test]
    fn an_answer_confirms_for_the_time_before_its_question() {
        let confirmed_at = |answer: &Answer| react(5, answer).confirmed_at;
        assert_eq!(
            confirmed_at(&answer(5, Some(9_000))),
            Some(Time::from_ms(8_600))
        );
        assert_eq!(confirmed_at(&answer(5, None)), None);
        // The process of this node is younger than the view of the other node.
        assert_eq!(confirmed_at(&answer(5, Some(399))), None);
        // A newer version exists but is not known here.
        let without_content = Answer {
            content: None,
            ..answer(6, Some(9_000))
        };
        assert_eq!(react(5, &without_content), Reaction::default());
    }

    /// Guards against an answer that arrives late and makes the view older, and against a view that counts as recent
    /// because the process has just started.
    #[test]
    fn a_view_never_becomes_older() {
        let mut view = View::default();
        assert_eq!(
            view.age(Time::from_ms(100)),
            Duration::MAX,
            "never confirmed"
        );
        view.confirm(Time::from_ms(3_000), Source::Table);
        view.confirm(Time::from_ms(2_000), Source::Node);
        assert_eq!(view.age(Time::from_ms(3_500)), Duration::from_millis(500));
        assert_eq!(view.source_name(), "table");
    }

    /// Guards against asking the same nodes in all rounds, of which none may be able to answer.
    #[test]
    fn all_nodes_are_asked_in_turn() {
        let items: Vec<u32> = (0..7).collect();
        let mut asked: Vec<u32> = (0..3)
            .flat_map(|round| rotated(&items, round, 3))
            .copied()
            .collect();
        asked.sort_unstable();
        asked.dedup();
        assert_eq!(asked, items);
        assert_eq!(rotated(&items[..2], 5, 3).count(), 2);
        assert_eq!(rotated(&items[..0], 5, 3).count(), 0);
    }

    /// Guards against digests in the log line of an unexpected message.
    #[test]
    fn debug_output_shows_no_content() {
        let text = format!("{:?}", Message::Configuration(answer(6, None)));
        assert!(text.contains("bytes)") && !text.contains('['), "{text}");
    }
}
