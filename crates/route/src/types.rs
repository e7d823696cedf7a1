//! The inputs of a router and the actions that it returns.

use std::{fmt, time::Duration};

use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};
use serde::{Deserialize, Serialize};

/// The number of a request at this node. The router's owner assigns the numbers and never reuses one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// How the requests of a service are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// The team that the service belongs to.
    pub team: String,
    /// The class of its requests.
    pub class: Class,
    /// Whether its requests may be repeated.
    pub repeat: Repeat,
    /// How long a request may take, including its time in the queue.
    pub deadline: Duration,
}

impl Default for ServicePolicy {
    /// Returns a policy for standard requests of no team that are never repeated and have a deadline of 10 s.
    fn default() -> Self {
        Self {
            team: String::new(),
            class: Class::Standard,
            repeat: Repeat::Never,
            deadline: Duration::from_secs(10),
        }
    }
}

/// A replica of a service on a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The worker VM on which it runs.
    pub worker: WorkerId,
    /// The address at which it accepts requests.
    pub endpoint: String,
}

/// This node's share of a backend server, which is valid until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The maximum number of requests at a time.
    pub slots: u32,
    /// The maximum number of connections at a time.
    pub connections: u32,
    /// No request is dispatched under the grant from this time on.
    pub until: Time,
}

/// A node of another failure domain to which a service's requests can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The node.
    pub node: NodeId,
    /// Whether it is in this node's region.
    pub is_same_region: bool,
}

/// A request as it arrives from a caller or another node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IncomingRequest {
    /// The number of the request.
    pub req: ReqId,
    /// The name of the service.
    pub service: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// A hash of method and path, by which requests with the same key but different content are told apart.
    pub fingerprint: u64,
    /// The time left until the deadline, if another node has forwarded the request. `None` stands for the
    /// whole deadline of the service.
    pub time_left: Option<Duration>,
    /// Whether another node has forwarded the request, which is then not forwarded again.
    pub is_forwarded: bool,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed on to the caller. One that is kept for resent requests may still be on its way.
    Answered,
    /// The same, and the answer's status shows that the backend server is failing.
    Faulty,
    /// The request never reached the backend server or node.
    NotSent,
    /// The backend server or node reported that it did not run the request.
    Declined,
    /// The answer was missing or incomplete, and nothing of it was passed on.
    CutShort,
    /// The first byte of the answer did not arrive in time, and nothing was passed on.
    Silent,
    /// The answer ended early after a part of it was passed on, so the caller has seen an incomplete answer.
    Broken,
    /// The caller disconnected, or sent an incomplete request, and no longer waits for an answer.
    CallerGone,
}

/// An answer that is stored with a claim, for a resend of a request that must not be repeated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The names and values of the headers that are sent to callers.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The request.
    pub req: ReqId,
    /// The number of the attempt from [`Dispatch`] or [`Forward`]. The end of any but the current attempt
    /// is ignored.
    pub attempt: u32,
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the request's body is available for another attempt.
    pub is_replayable: bool,
    /// The size of the request and response bodies that were transferred, in bytes.
    pub bytes: u64,
    /// The whole answer, if [`Dispatch::keep_answer`] was set and the answer is small enough to be stored.
    pub answer: Option<StoredAnswer>,
}

impl AttemptEnd {
    /// Returns the end of an attempt whose request is replayable and whose answer is not to be stored.
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

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim was committed for this request.
    Claimed,
    /// An earlier request with the key was answered.
    Answered(StoredAnswer),
    /// An earlier request with the key has run, and its answer is not available.
    Ran,
    /// An earlier request with the key may have run.
    Uncertain,
    /// The key belongs to a request with other content.
    Mismatch,
    /// The platform's table could not be reached. No claim was made, and none will be made later.
    Unreachable,
}

/// Why a request is refused or ends without an answer.
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
    /// The request was queued until it could no longer run in time.
    TooLate,
    /// No backend server accepted the request.
    NoBackend,
    /// The platform's table, in which the request must be claimed first, cannot be reached.
    PlatformUnreachable,
    /// The node is shutting down.
    ShuttingDown,
    /// The answer was missing or incomplete.
    AnswerLost,
    /// An earlier request with the key may have run.
    EarlierUncertain,
    /// An earlier request with the key has run, and its answer was not stored.
    EarlierRan,
    /// The result of the claim was not known in time.
    ClaimUncertain,
}

impl Reason {
    /// Returns the text that callers get.
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

    /// Returns the HTTP status of an answer with this reason.
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

/// An attempt at a backend server. It holds a slot and a connection until its end is reported to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub req: ReqId,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The backend server.
    pub worker: WorkerId,
    /// The address at which it accepts requests.
    pub endpoint: String,
    /// How long the attempt may take.
    pub timeout: Duration,
    /// How long to wait for the first byte of the answer.
    pub first_byte_timeout: Duration,
    /// Whether the attempt needs a new connection, because an open one may have broken unnoticed.
    pub needs_new_connection: bool,
    /// Whether the whole answer is to be returned in [`AttemptEnd::answer`].
    pub keep_answer: bool,
}

/// An attempt that is forwarded to another node.
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

/// An answer that the node gives itself, instead of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The request.
    pub req: ReqId,
    /// Whether the request has run, may have run or has not run.
    pub verdict: Verdict,
    /// The reason.
    pub reason: Reason,
    /// After which time the caller may retry; `None` if the same request would be refused again.
    pub retry_after: Option<Duration>,
}

/// An action for the owner of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the request to a backend server.
    Dispatch(Dispatch),
    /// Forward the request to another node.
    Forward(Forward),
    /// Commit a claim row to the platform's table, and pass the result to
    /// [`Router::claim_finished`](crate::Router::claim_finished).
    Claim {
        /// The request.
        req: ReqId,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: String,
        /// The request's fingerprint, which is stored with the claim.
        fingerprint: u64,
    },
    /// Void the request's claim, so that a resend may run, and pass the result to
    /// [`Router::void_finished`](crate::Router::void_finished).
    VoidClaim(ReqId),
    /// Store the answer with the request's claim. `None` records that the request has run and that its
    /// answer is too large to be stored.
    KeepAnswer(ReqId, Option<StoredAnswer>),
    /// Answer the caller with the stored answer of an earlier request.
    Answer(ReqId, StoredAnswer),
    /// Answer the caller with a refusal or an error.
    Refuse(Refusal),
}
