//! Asks the approval service which workers may run a step.
//!
//! The approval service answers one request of this node at a time. A request for a large gang takes
//! most of a second and one for a lookup 10 ms, so the request with the lowest expected cost is sent
//! first.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::Duration,
};

use jobs::StepKey;
use tokio::task::spawn_local;

use crate::{
    Approver, Node, Ports,
    answers::{Answer, Answers},
    message::Message,
};

/// The number of requests in flight at a time. Sending more than one hides the network delay to the
/// service, which is up to 20 ms each way.
const MAX_IN_FLIGHT: usize = 3;

/// The number of requests that may wait to be sent. Further ones are refused, and the scheduler chooses
/// another node.
const MAX_WAITING: usize = 200;

/// A node requests approvals for the steps of a job that it accepts only if it expects the answer within
/// this time. Otherwise the scheduler chooses a less busy node.
const MAX_LOCAL_BACKLOG: Duration = Duration::from_millis(120);

/// A request that waits to be sent. Requests are ordered by cost, then by arrival.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    cost: Duration,
    number: u64,
    step: StepKey,
    workers: Vec<Arc<str>>,
}

/// The approval requests of a node that are waiting or in flight, and recent answers.
#[derive(Debug, Default)]
pub(crate) struct ApprovalQueue {
    waiting: RefCell<BinaryHeap<Reverse<Request>>>,
    in_flight: Cell<usize>,
    /// The expected time to answer all waiting and in-flight requests.
    backlog: Cell<Duration>,
    next_number: Cell<u64>,
    answers: RefCell<Answers>,
}

impl<P: Ports> Node<P> {
    /// Returns whether a request of this cost would be answered within [`MAX_LOCAL_BACKLOG`].
    pub(crate) fn can_ask_soon(&self, cost: Duration) -> bool {
        self.0.approval_queue.backlog.get() + cost <= MAX_LOCAL_BACKLOG
    }

    /// Asks which of `workers` may run a step, and sends the answer to the scheduler. `cost` is the
    /// expected time to the answer.
    pub(crate) fn ask(&self, step: StepKey, workers: Vec<Arc<str>>, cost: Duration) {
        let queue = &self.0.approval_queue;
        if queue.waiting.borrow().len() >= MAX_WAITING {
            log::warn!("event=approvals_refused step={step} waiting={MAX_WAITING}");
            self.0.metrics.count("approvals_refused");
            self.send_to_scheduler(Message::NotApproved { step });
            return;
        }
        let number = queue.next_number.get();
        queue.next_number.set(number + 1);
        queue.backlog.set(queue.backlog.get() + cost);
        queue.waiting.borrow_mut().push(Reverse(Request {
            cost,
            number,
            step,
            workers,
        }));
        self.start_requests();
    }

    /// Sends waiting requests until [`MAX_IN_FLIGHT`] are in flight.
    fn start_requests(&self) {
        let queue = &self.0.approval_queue;
        while queue.in_flight.get() < MAX_IN_FLIGHT {
            let Some(Reverse(request)) = queue.waiting.borrow_mut().pop() else {
                return;
            };
            queue.in_flight.set(queue.in_flight.get() + 1);
            spawn_local(self.clone().run_request(request));
        }
    }

    async fn run_request(self, request: Request) {
        let asked_at = self.0.clock.time();
        let answer = self.0.ports.ask(request.step, &request.workers).await;
        let taken = self.0.clock.time() - asked_at;
        self.0.metrics.time("approval", taken);
        let step = request.step;
        let message = match answer {
            Ok(approval) => {
                log::debug!(
                    "event=approved step={step} asked={} allowed={} ms={}",
                    request.workers.len(),
                    approval.allowed.len(),
                    taken.as_millis()
                );
                let now = self.0.clock.time();
                let answer = Answer {
                    step,
                    asked: request.workers,
                    allowed: approval.allowed,
                    until: now + approval.valid,
                };
                let message = answer.message(now);
                self.0.approval_queue.answers.borrow_mut().push(answer);
                message
            }
            Err(e) => {
                log::warn!(
                    "event=approval_failed step={step} error={:?}",
                    e.to_string()
                );
                self.0.metrics.count("approvals_failed");
                Message::NotApproved { step }
            }
        };
        self.send_to_scheduler(message);
        let queue = &self.0.approval_queue;
        queue.in_flight.set(queue.in_flight.get() - 1);
        queue
            .backlog
            .set(queue.backlog.get().saturating_sub(request.cost));
        self.start_requests();
    }

    /// Returns the recent answers of the approval service, for a new scheduler.
    pub(crate) fn cached_approvals(&self) -> Vec<Message> {
        let now = self.0.clock.time();
        let states = self.0.states.borrow();
        let is_over = |id| states.get(&id).is_some_and(|known| known.state.is_final());
        self.0
            .approval_queue
            .answers
            .borrow_mut()
            .messages(now, is_over)
    }

    /// Sends a message to the scheduler, or handles it if this node is the scheduler. The message may be
    /// lost: the scheduler must be able to recover its content later.
    pub(crate) fn send_to_scheduler(&self, message: Message) {
        let leader = self.0.leader.borrow().clone();
        if let Some(leader) = leader {
            leader.handle_message(message);
            return;
        }
        let upstream = self.0.upstream.borrow();
        let is_sent = upstream
            .as_ref()
            .is_some_and(|tx| tx.try_send(message).is_ok());
        if !is_sent {
            self.0.metrics.count("messages_dropped");
        }
    }
}
