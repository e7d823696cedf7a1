//! What a router is told, and what it wants done.

use std::{fmt, time::Duration};

use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};
use serde::{Deserialize, Serialize};

/// A request at this node, numbered by the router's owner and never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// How a service's requests are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The team that the service belongs to.
    pub team: String,
    /// How urgent its requests are.
    pub class: Class,
    /// Whether they may be sent a second time.
    pub repeat: Repeat,
    /// How long one may wait and run.
    pub deadline: Duration,
}

impl Default for ServicePolicy {
    /// Standard requests of no team that are never repeated, with a deadline of 10 s.
    fn default() -> Self {
        Self {
            team: String::new(),
            class: Class::Standard,
            repeat: Repeat::Never,
            deadline: Duration::from_secs(10),
        }
    }
}

/// A replica that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The worker on which it runs.
    pub worker: WorkerId,
    /// Where it takes requests.
    pub endpoint: String,
}

/// This node's share of a backend server, good until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The most requests at a time.
    pub slots: u32,
    /// The most connections at a time.
    pub connections: u32,
    /// Nothing is dispatched under the grant from this point on.
    pub until: Time,
}

/// A node of another domain that can serve a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The node.
    pub node: NodeId,
    /// Whether it is in this node's region.
    pub is_same_region: bool,
}

/// A caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The request.
    pub req: ReqId,
    /// The service that it is for.
    pub service: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Tells requests with the same key but different content apart: a hash of method and path.
    pub fingerprint: u64,
    /// How much is left of the deadline that another node has counted; `None` for the service's own.
    pub time_left: Option<Duration>,
    /// Whether another node has passed it on; it is then not passed on again.
    pub is_forwarded: bool,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed on.
    Answered,
    /// The whole answer was passed on; its status says that the backend server fails.
    Faulty,
    /// The request never reached the other side.
    NotSent,
    /// The other side said that it did not run it.
    Declined,
    /// The answer did not come, or came in part, and nothing of it was passed on.
    CutShort,
    /// The answer did not begin within the bound, and nothing of it was passed on.
    Silent,
    /// The answer was cut short after a part was passed on; the caller has seen the cut.
    Broken,
    /// The caller went away, or sent its request in part; nobody waits for an answer.
    CallerGone,
}

/// An answer as it is kept for a resend of a request that must not be repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that callers get, by name.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The request.
    pub req: ReqId,
    /// The attempt, as [`Dispatch`] or [`Forward`] named it. The end of any other is passed over.
    pub attempt: u32,
    /// What became of it.
    pub outcome: Outcome,
    /// Whether the request's body is at hand for another attempt.
    pub is_replayable: bool,
    /// Bytes of the bodies that went both ways.
    pub bytes: u64,
    /// The whole answer, if it was asked for and is small enough to be kept.
    pub answer: Option<StoredAnswer>,
}

impl AttemptEnd {
    /// The end of an attempt that could be made again and has no answer to keep.
    #[must_use]
    pub const fn new(req: ReqId, attempt: u32, outcome: Outcome) -> Self {
        Self {
            req,
            attempt,
            outcome,
            is_replayable: true,
            bytes: 0,
            answer: None,
        }
    }
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is this request's.
    Claimed,
    /// An earlier request with the key was answered.
    Answered(StoredAnswer),
    /// An earlier request with the key has run, and its answer is not at hand.
    Ran,
    /// An earlier request with the key may have run.
    Uncertain,
    /// The key stands for a request with other content.
    Mismatch,
    /// The table could not be reached; no claim was made and none will be.
    Unreachable,
}

/// Why a request is refused or ends without its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No service has the name.
    NoSuchService,
    /// The service's requests need an `Idempotency-Key`.
    KeyMissing,
    /// The key was used for a request with other content.
    KeyReused,
    /// The queue is too long for the request's deadline.
    Overloaded,
    /// The request waited until it could no longer be run in time.
    TooLate,
    /// No backend server took the request.
    NoBackend,
    /// The platform's table cannot be reached, and the request must be claimed there first.
    PlatformUnreachable,
    /// The node shuts down.
    ShuttingDown,
    /// The answer did not come, or came in part.
    AnswerLost,
    /// An earlier request with the key may have run.
    EarlierUncertain,
    /// An earlier request with the key has run; its answer was not kept.
    EarlierRan,
    /// The claim could not be settled in time.
    ClaimUncertain,
}

impl Reason {
    /// The reason as callers read it.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoSuchService => "no such service",
            Self::KeyMissing => {
                "requests to this service must not be repeated: send an Idempotency-Key"
            }
            Self::KeyReused => "the Idempotency-Key was used for another request",
            Self::Overloaded => "overloaded: the queue is too long for the deadline",
            Self::TooLate => "it could not start in time",
            Self::NoBackend => "no backend server took it",
            Self::PlatformUnreachable => "the platform's table cannot be reached",
            Self::ShuttingDown => "the node shuts down",
            Self::AnswerLost => "the backend server's answer was lost",
            Self::EarlierUncertain => "an earlier request with this Idempotency-Key may have run",
            Self::EarlierRan => {
                "an earlier request with this Idempotency-Key has run; its answer was not kept"
            }
            Self::ClaimUncertain => "the platform's table gave no answer in time",
        }
    }

    /// The HTTP status of an answer with this reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NoSuchService => 404,
            Self::KeyMissing => 400,
            Self::KeyReused => 422,
            Self::Overloaded
            | Self::TooLate
            | Self::NoBackend
            | Self::PlatformUnreachable
            | Self::ShuttingDown => 503,
            Self::AnswerLost | Self::ClaimUncertain => 502,
            Self::EarlierUncertain | Self::EarlierRan => 409,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// An attempt at a backend server. A slot and a connection are held for it until its end is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub req: ReqId,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The backend server.
    pub worker: WorkerId,
    /// Where it takes requests.
    pub endpoint: String,
    /// How long the attempt may take.
    pub timeout: Duration,
    /// How long to wait for the beginning of the answer.
    pub first_byte_timeout: Duration,
    /// Whether it needs a new connection: an open one may have gone silent unnoticed.
    pub needs_new_connection: bool,
    /// Whether the answer is to be handed back for keeping.
    pub keep_answer: bool,
}

/// An attempt by way of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The request.
    pub req: ReqId,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The other node.
    pub node: NodeId,
    /// How long the attempt may take.
    pub timeout: Duration,
}

/// An answer that the node gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub req: ReqId,
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// When the caller may come back; `None` where the same request would fare no better.
    pub retry_after: Option<Duration>,
}

/// What the owner of a router has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the request to a backend server.
    Dispatch(Dispatch),
    /// Pass the request to another node.
    Forward(Forward),
    /// Commit a claim row and hand its result to `Router::claim_finished`.
    Claim {
        /// The request.
        req: ReqId,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: String,
        /// The request's fingerprint, to be kept with the claim.
        fingerprint: u64,
    },
    /// Void the request's claim, so that a resend may run. Hand the result to `Router::void_finished`.
    VoidClaim(ReqId),
    /// Keep the answer with the request's claim. `None`: it has run, and the answer is too large.
    KeepAnswer(ReqId, Option<StoredAnswer>),
    /// Answer the caller with what was kept.
    Answer(ReqId, StoredAnswer),
    /// Answer the caller with a refusal or an error, at once.
    Refuse(Refusal),
}
