//! A node that does not reach the table has the scheduler store and read for it.
//!
//! The platform may turn some nodes away and serve the others. Such a node still has its clients, and its
//! link to the scheduler.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

use crate::{
    Node, Ports, StateAnswer,
    commit::Outcome,
    message::{Message, RelayReply, RelayRequest},
    rows::{CANCELLED, cancel_key, job_key},
};

/// How long the scheduler tries for another node. That node's client waits meanwhile.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// What the way to the scheduler and back may take beyond that.
const RELAY_SLACK: Duration = Duration::from_millis(200);

/// What has become of a request to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Relayed {
    /// The scheduler has answered.
    Answered(RelayReply),
    /// It has not answered. It may do what it was asked for.
    Unanswered,
    /// It can't be reached.
    NotSent,
}

/// Relayed requests that wait for their answers.
#[derive(Debug, Default)]
pub(crate) struct Relays {
    last: Cell<u64>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<RelayReply>>>,
}

impl<P: Ports> Node<P> {
    /// Has the scheduler do something.
    pub(crate) async fn relay(&self, request: RelayRequest, deadline: Instant) -> Relayed {
        let Some(upstream) = self.0.upstream.borrow().clone() else {
            return Relayed::NotSent;
        };
        let relays = &self.0.relays;
        let number = relays.last.get() + 1;
        relays.last.set(number);
        let (tx, rx) = oneshot::channel();
        relays.waiting.borrow_mut().insert(number, tx);
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
        relays.waiting.borrow_mut().remove(&number);
        match answer {
            Some(reply) => Relayed::Answered(reply),
            None if is_sent => Relayed::Unanswered,
            None => Relayed::NotSent,
        }
    }

    /// The scheduler has answered a relayed request.
    pub(crate) fn relayed(&self, number: u64, reply: RelayReply) {
        if let Some(tx) = self.0.relays.waiting.borrow_mut().remove(&number) {
            // A requester that has given up has told its client so.
            let _ = tx.send(reply);
        }
    }

    /// Does something for a node that does not reach the table.
    pub(crate) async fn serve_relay(
        self,
        number: u64,
        request: RelayRequest,
        tx: mpsc::Sender<Message>,
    ) {
        let deadline = Instant::now() + RELAY_TIMEOUT;
        let reply = match request {
            // Nothing is sent, so that the answer is certain.
            RelayRequest::Submit(..) | RelayRequest::Cancel(_) if self.0.table.is_lost() => {
                RelayReply::NotStored
            }
            RelayRequest::Submit(id, row) => {
                let outcome = self.store_here(job_key(id), row, deadline).await;
                log::info!("event=relayed job={id} outcome={outcome:?}");
                stored(&outcome)
            }
            RelayRequest::Cancel(id) => {
                let outcome = self
                    .store_here(cancel_key(id), CANCELLED.to_vec(), deadline)
                    .await;
                log::info!("event=cancel_relayed job={id} outcome={outcome:?}");
                stored(&outcome)
            }
            RelayRequest::State(id) => match self.state_here(id, deadline).await {
                StateAnswer::State(state) => RelayReply::State(state),
                StateAnswer::NoJob => RelayReply::NoJob,
                StateAnswer::Unknown => RelayReply::Unknown,
            },
        };
        if tx.try_send(Message::Relayed { number, reply }).is_err() {
            self.0.metrics.count("messages_dropped");
        }
    }
}

const fn stored(outcome: &Outcome) -> RelayReply {
    match outcome {
        Outcome::Stored(_) => RelayReply::Stored,
        Outcome::Conflict { .. } => RelayReply::StoredBefore,
        Outcome::NotStored(_) => RelayReply::NotStored,
        Outcome::Unknown(_) => RelayReply::Unknown,
    }
}
