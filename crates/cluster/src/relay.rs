//! Relays table requests through the scheduler, for nodes that cannot reach the table.
//!
//! The platform may refuse the calls of some nodes and serve the others. A refused node still has its
//! clients and its link to the scheduler.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use jobs::JobId;
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

use crate::{
    Node, Ports, StateAnswer,
    guard::GuardCondition,
    intake::{NewRow, StoreOutcome},
    message::{Message, RelayReply, RelayRequest},
    rows::job_part,
};

/// How long the scheduler tries to execute a relayed request. The client of the requesting node waits
/// meanwhile.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How long the requesting node waits beyond [`RELAY_TIMEOUT`], for the network delay to the scheduler
/// and back.
const RELAY_SLACK: Duration = Duration::from_millis(200);

/// The outcome of relaying a request to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relayed {
    /// The scheduler has answered with this reply.
    Answered(RelayReply),
    /// The scheduler has not answered in time. It may still execute the request.
    Unanswered,
    /// The request was not sent because the scheduler cannot be reached.
    NotSent,
}

/// The relayed requests that wait for an answer, by number.
#[derive(Debug, Default)]
pub(crate) struct PendingRelays {
    last_number: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<RelayReply>>>,
}

impl<P: Ports> Node<P> {
    /// Sends a request to the scheduler, and waits for its reply until `deadline` or [`RELAY_TIMEOUT`] plus
    /// [`RELAY_SLACK`], whichever ends first.
    pub(crate) async fn relay(&self, request: RelayRequest, deadline: Instant) -> Relayed {
        let Some(upstream) = self.0.upstream.borrow().clone() else {
            return Relayed::NotSent;
        };
        let pending_relays = &self.0.pending_relays;
        let number = pending_relays.last_number.get() + 1;
        pending_relays.last_number.set(number);
        let (tx, rx) = oneshot::channel();
        pending_relays.waiting.borrow_mut().insert(number, tx);
        self.0.metrics.count("relayed");
        let is_sent = upstream
            .try_send(Message::Relay { number, request })
            .is_ok();
        let until = deadline.min(Instant::now() + RELAY_TIMEOUT + RELAY_SLACK);
        let answer = if is_sent {
            timeout_at(until, rx).await.ok().and_then(Result::ok)
        } else {
            None
        };
        pending_relays.waiting.borrow_mut().remove(&number);
        match answer {
            Some(reply) => Relayed::Answered(reply),
            None if is_sent => Relayed::Unanswered,
            None => Relayed::NotSent,
        }
    }

    /// Passes the scheduler's reply to the waiting requester.
    pub(crate) fn complete_relay(&self, number: u64, reply: RelayReply) {
        if let Some(tx) = self.0.pending_relays.waiting.borrow_mut().remove(&number) {
            // A requester that no longer waits has already answered its client.
            let _ = tx.send(reply);
        }
    }

    /// Executes a request for a node that cannot reach the table, and replies through `tx`.
    pub(crate) async fn serve_relay(
        self,
        number: u64,
        request: RelayRequest,
        tx: mpsc::Sender<Message>,
    ) {
        let deadline = Instant::now() + RELAY_TIMEOUT;
        let reply = match request {
            // Refused without a call to the table, so that it is certain that nothing was stored.
            RelayRequest::Submit(..)
            | RelayRequest::SubmitGuarded { .. }
            | RelayRequest::Cancel(_)
                if self.0.table.is_lost() =>
            {
                RelayReply::NotStored
            }
            // A node of an earlier build does not tell which guard it knows. Its request counts as read now.
            RelayRequest::Submit(id, row) => {
                let guard = GuardCondition {
                    version: self.0.guards.version(&job_part(id)),
                    read_at: Some(self.0.clock.time()),
                };
                match self.store_relayed(id, row, guard, deadline).await {
                    RelayReply::Outdated(_) => RelayReply::NotStored,
                    reply => reply,
                }
            }
            RelayRequest::SubmitGuarded { job, row, guard } => {
                let guard = GuardCondition {
                    version: guard,
                    read_at: None,
                };
                self.store_relayed(job, row, guard, deadline).await
            }
            RelayRequest::Cancel(id) => {
                let outcome = self.store_locally(NewRow::cancellation(id), deadline).await;
                log::info!("event=cancel_relayed job={id} outcome={outcome:?}");
                relay_reply(&outcome)
            }
            RelayRequest::State(id) => match self.local_state(id, deadline).await {
                StateAnswer::State(state) => RelayReply::State(state),
                StateAnswer::NoJob => RelayReply::NoJob,
                StateAnswer::Unknown => RelayReply::Unknown,
            },
        };
        if tx.try_send(Message::Relayed { number, reply }).is_err() {
            self.0.metrics.count("messages_dropped");
        }
    }

    /// Stores the row of a job for another node.
    async fn store_relayed(
        &self,
        id: JobId,
        row: Vec<u8>,
        guard: GuardCondition,
        deadline: Instant,
    ) -> RelayReply {
        let mut row = NewRow::job(id, row, guard);
        let outcome = self.store_guarded(&mut row, deadline).await;
        // The job of an announcement can start without waiting for the requesting node.
        if let StoreOutcome::Stored(_) = outcome {
            self.settle(id, row.value(), &outcome);
        }
        log::info!("event=relayed job={id} outcome={outcome:?}");
        relay_reply(&outcome)
    }
}

/// Converts the outcome of storing a row to a reply.
const fn relay_reply(outcome: &StoreOutcome) -> RelayReply {
    match outcome {
        StoreOutcome::Stored(_) => RelayReply::Stored,
        StoreOutcome::Exists => RelayReply::StoredBefore,
        StoreOutcome::Outdated(guard) => RelayReply::Outdated(*guard),
        StoreOutcome::NotStored(_) | StoreOutcome::Excluded => RelayReply::NotStored,
        StoreOutcome::Unknown(_) => RelayReply::Unknown,
    }
}
