//! Messages between the scheduler and the other nodes.

use std::{collections::BTreeMap, sync::Arc};

use jobs::{JobId, State, StepKey, trailing};
use sched::LeaseRow;
use serde::{Deserialize, Serialize};

use crate::{
    access::Owner,
    admission::TeamAdmission,
    configuration::{Answer, Question},
    succession::Standing,
};

/// The protocol level of this build, which nodes exchange in [`Message::Hello`] and [`Message::Beat`]. Builds before
/// levels were introduced have level 0 and close a link on which a message arrives that they do not know, so variants
/// that were added at a level are sent only to peers of that level or a higher one.
pub(crate) const LEVEL: u32 = 4;

/// The protocol level at which the messages about teams and the configuration were added.
pub(crate) const TEAMS_LEVEL: u32 = 1;

/// The protocol level at which [`Message::Standing`] and [`Message::Rank`] were added.
pub(crate) const STANDING_LEVEL: u32 = 2;

/// The protocol level at which [`Message::Follows`] was added.
pub(crate) const FOLLOWS_LEVEL: u32 = 3;

/// The protocol level at which [`RelayRequest::SubmitGuarded`] and [`RelayReply::Outdated`] were added.
pub(crate) const GUARDS_LEVEL: u32 = 4;

/// A message on a link. Nodes open links to the scheduler. New variants are appended, because messages are encoded with
/// the position of their variant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum Message {
    /// From a node: the first message on its link to the scheduler.
    Hello {
        /// The node's name.
        node: Arc<str>,
        /// The address at which the node accepts links.
        address: String,
        /// The node's protocol level.
        #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
        level: u32,
    },
    /// From a node: the first message on a link that only asks which node schedules.
    Who,
    /// From the scheduler: answers [`Message::Who`] with its lease row.
    Scheduler(LeaseRow),
    /// From a node: sent at intervals to show that the node is alive.
    Ping,
    /// From a node: an answer of the approval service.
    Approved {
        /// The step.
        step: StepKey,
        /// The workers in the request.
        asked: Vec<Arc<str>>,
        /// The workers that may run the step, with the tickets for their starts.
        allowed: Vec<(Arc<str>, Arc<str>)>,
        /// How long the tickets are still valid, in milliseconds.
        valid_ms: u64,
    },
    /// From a node: the approval service could not be asked or did not answer.
    NotApproved {
        /// The step.
        step: StepKey,
    },
    /// From a node that cannot reach the table: a request that the scheduler executes for it.
    Relay {
        /// The number of the request, unique for the node.
        number: u64,
        /// The request.
        request: RelayRequest,
    },
    /// From the scheduler: answers [`Message::Relay`].
    Relayed {
        /// The number of the request.
        number: u64,
        /// The outcome of the request.
        reply: RelayReply,
    },
    /// From the scheduler: a heartbeat.
    Beat {
        /// How long ago the sender's last stored transaction was sent, in milliseconds.
        table_age_ms: u64,
        /// Whether the scheduler cannot reach the table at present.
        is_table_lost: bool,
        /// The scheduler's protocol level.
        #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
        level: u32,
    },
    /// From a node that does not or no longer schedules: the lease row that it knows, if any.
    NotScheduler(Option<LeaseRow>),
    /// From a node that is taking over and has not finished its recovery.
    Recovering {
        /// How long ago the sender's last stored transaction was sent, in milliseconds.
        table_age_ms: u64,
    },
    /// From the scheduler: the link addresses of all nodes. A node that cannot reach the table asks these
    /// nodes which one schedules.
    Nodes(Vec<String>),
    /// From the scheduler: states of jobs that have changed.
    States(Vec<(JobId, State)>),
    /// From the scheduler: the number of jobs of each queue that have not started.
    Pending(BTreeMap<String, u64>),
    /// From the scheduler: the names of the workers that accept work, by pool.
    Workers(BTreeMap<String, Vec<Arc<str>>>),
    /// From the scheduler: asks the node to request approvals for a step.
    Ask {
        /// The step.
        step: StepKey,
        /// The workers to name in the request.
        workers: Vec<Arc<str>>,
        /// The expected time to the answer, in milliseconds.
        cost_ms: u64,
    },
    /// From a node whose configuration is not confirmed by the table: asks for a newer one. Level 1.
    ConfigurationQuestion(Question),
    /// Answers [`Message::ConfigurationQuestion`], or tells a node that has answered with an older version of a newer
    /// one. Level 1.
    Configuration(Answer),
    /// From the scheduler: the positions in the last [`Message::Nodes`] of the nodes with a level below 1, which do
    /// not answer questions for the configuration. Level 1.
    EarlierNodes(Vec<u32>),
    /// From the scheduler: the teams of jobs. Level 1.
    Owners(Vec<(JobId, Owner)>),
    /// From the scheduler: the teams whose new jobs are to be refused in part. Replaces the previous ones. Level 1.
    Admission(Vec<TeamAdmission>),
    /// From a node of level 1 or higher: a job that the node is storing, given as the encoded row.
    JobAnnounced(JobId, Vec<u8>),
    /// From a node of level 1 or higher: the outcome of storing an announced job.
    JobSettled {
        /// The job.
        job: JobId,
        /// The stable hash of the encoded row.
        digest: u64,
        /// Whether the row is stored. Otherwise the node has not stored it, and never will.
        is_stored: bool,
    },
    /// From a node: how well it could schedule. Level 2.
    Standing(Standing),
    /// From the scheduler: how many of the linked nodes should try to take over before the receiver. Level 2.
    Rank(u32),
    /// From a node that does not schedule: it follows the scheduler of this epoch. Level 3.
    Follows {
        /// The epoch in the lease row that the node knows.
        epoch: u64,
    },
}

/// A request that the scheduler executes for a node that cannot reach the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum RelayRequest {
    /// Store a job, given as the encoded row.
    Submit(JobId, Vec<u8>),
    /// Store the cancellation of a job.
    Cancel(JobId),
    /// Read a job's state.
    State(JobId),
    /// Store a job unless rows of its part of the table were deleted since the requesting node has read the client's request.
    /// Level 4.
    SubmitGuarded {
        /// The job.
        job: JobId,
        /// The encoded row.
        row: Vec<u8>,
        /// The version of the part's guard that the requesting node knows.
        guard: u64,
    },
}

/// The outcome of a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) enum RelayReply {
    /// The row is stored.
    Stored,
    /// The row was already stored before.
    StoredBefore,
    /// The row was not stored, and this request will never cause it to be stored.
    NotStored,
    /// The outcome is not known.
    Unknown,
    /// There is no such job.
    NoJob,
    /// The job's state.
    State(State),
    /// The row was not stored, and this request will never cause it to be stored: the guard has this newer version. Answers
    /// [`RelayRequest::SubmitGuarded`] only.
    Outdated(u64),
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The heartbeat as builds of level 0 define it. Its position in the enum is given by the variants before it.
    #[derive(Debug, PartialEq)]
    #[derive(Serialize, Deserialize)]
    struct OldBeat {
        variant: u32,
        table_age_ms: u64,
        is_table_lost: bool,
    }

    fn encode(message: &impl Serialize) -> Vec<u8> {
        bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap()
    }

    fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> T {
        let (value, _) =
            bincode::serde::decode_from_slice(bytes, bincode::config::standard()).unwrap();
        value
    }

    /// Fails if a level that is added to a message makes it unreadable for the build before, or the reverse.
    #[test]
    fn builds_of_different_levels_read_each_others_heartbeats() {
        let beat = Message::Beat {
            table_age_ms: 70,
            is_table_lost: true,
            level: LEVEL,
        };
        let old: OldBeat = decode(&encode(&beat));
        assert_eq!((old.table_age_ms, old.is_table_lost), (70, true));
        let read: Message = decode(&encode(&old));
        let expected = Message::Beat {
            table_age_ms: 70,
            is_table_lost: true,
            level: 0,
        };
        assert_eq!(read, expected);
    }
}
