//! Asks which workers may run a step.
//!
//! Load pattern: the approval service answers one request of this node at a time. A request for a large
//! gang takes most of a second and one for a lookup 10 ms, so short requests go first.

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

/// Requests that are under way at a time. More than one hides the way to the service, which is up to
/// 20 ms each way.
const CONCURRENT: usize = 3;

/// Requests that wait. Further ones are refused, and the scheduler asks elsewhere.
const QUEUE_MAX: usize = 200;

/// A node asks for the steps of a job that it takes in by itself only if the answer is expected within
/// this time. Otherwise the scheduler picks a node that is less busy.
const OWN_BACKLOG: Duration = Duration::from_millis(120);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    cost: Duration,
    number: u64,
    step: StepKey,
    workers: Vec<Arc<str>>,
}

/// The requests of a node.
#[derive(Debug, Default)]
pub(crate) struct Asker {
    waiting: RefCell<BinaryHeap<Reverse<Request>>>,
    under_way: Cell<usize>,
    backlog: Cell<Duration>,
    count: Cell<u64>,
    answers: RefCell<Answers>,
}

impl<P: Ports> Node<P> {
    /// Whether this node would soon have the answer to a request.
    pub(crate) fn asks_soon(&self, cost: Duration) -> bool {
        self.0.asker.backlog.get() + cost <= OWN_BACKLOG
    }

    /// Asks which of some workers may run a step, and tells the scheduler.
    pub(crate) fn ask(&self, step: StepKey, workers: Vec<Arc<str>>, cost: Duration) {
        let asker = &self.0.asker;
        if asker.waiting.borrow().len() >= QUEUE_MAX {
            log::warn!("event=approvals_refused step={step} waiting={QUEUE_MAX}");
            self.0.metrics.count("approvals_refused");
            self.tell(Message::NotApproved { step });
            return;
        }
        let number = asker.count.get();
        asker.count.set(number + 1);
        asker.backlog.set(asker.backlog.get() + cost);
        asker.waiting.borrow_mut().push(Reverse(Request {
            cost,
            number,
            step,
            workers,
        }));
        self.ask_next();
    }

    fn ask_next(&self) {
        let asker = &self.0.asker;
        while asker.under_way.get() < CONCURRENT {
            let Some(Reverse(request)) = asker.waiting.borrow_mut().pop() else {
                return;
            };
            asker.under_way.set(asker.under_way.get() + 1);
            spawn_local(self.clone().ask_one(request));
        }
    }

    async fn ask_one(self, request: Request) {
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
                self.0.asker.answers.borrow_mut().keep(answer);
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
        self.tell(message);
        let asker = &self.0.asker;
        asker.under_way.set(asker.under_way.get() - 1);
        asker
            .backlog
            .set(asker.backlog.get().saturating_sub(request.cost));
        self.ask_next();
    }

    /// The approvals that this node knows of, for a scheduler that does not.
    pub(crate) fn known_approvals(&self) -> Vec<Message> {
        let now = self.0.clock.time();
        let states = self.0.states.borrow();
        let is_over = |id| states.get(&id).is_some_and(|known| known.state.is_final());
        self.0.asker.answers.borrow_mut().tell(now, is_over)
    }

    /// Tells the scheduler something that it learns otherwise, if later, when this is lost.
    pub(crate) fn tell(&self, message: Message) {
        let lead = self.0.lead.borrow().clone();
        if let Some(lead) = lead {
            lead.hear(message);
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
