//! Calls of nodes to the platform: table, object store, VM list and workers.

use std::time::Duration;

use fakes::Delivery;
use model::{NodeId, WorkerId};
use node::{CallId, Event};
use store::{ObjectReq, StoreError, TableReq, WorkerCall};

use super::{Cell, Happening};

/// After this time a call without an answer counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The round trip between a node and the platform.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// What a call asks for.
#[derive(Clone, Debug)]
enum Ask {
    Table(TableReq),
    Worker(WorkerCall),
}

/// A call on its way.
#[derive(Clone, Debug)]
pub(crate) struct PlatformCall {
    node: NodeId,
    start: u64,
    call: CallId,
    ask: Ask,
    delivery: Delivery,
    /// Whether this is a duplicate, whose answer nobody waits for.
    again: bool,
}

impl Cell {
    pub(crate) fn call_table(&mut self, node: NodeId, start: u64, call: CallId, req: TableReq) {
        let mut delivery = self.faults.draw(ROUND_TRIP);
        if !self.reaches_table(node) {
            let event = Event::Table(call, Err(unreachable("the table is cut off")));
            self.later(ROUND_TRIP, node, start, event);
            return;
        }
        delivery.request_delay += self.links.table_delay(self.now);
        delivery.is_answered &= !self.links.loses_replies(self.now);
        if !(delivery.is_delivered && delivery.is_answered) {
            let event = Event::Table(call, Err(lost()));
            self.later(CALL_TIMEOUT, node, start, event);
        }
        self.launch(PlatformCall {
            node,
            start,
            call,
            ask: Ask::Table(req),
            delivery,
            again: false,
        });
    }

    pub(crate) fn call_objects(&mut self, node: NodeId, start: u64, call: CallId, req: &ObjectReq) {
        let event = if self.reaches_table(node) {
            Event::Object(call, Ok(self.platform.objects.call(req)))
        } else {
            Event::Object(call, Err(unreachable("the object store is cut off")))
        };
        self.later(ROUND_TRIP, node, start, event);
    }

    pub(crate) fn call_vms(&mut self, node: NodeId, start: u64) {
        let Some(place) = self.places.get(&node) else {
            return;
        };
        let event = if self.links.reaches_platform(self.now, place.domain) {
            Event::Vms(Ok(self.platform.vms(self.now, place.domain)))
        } else {
            Event::Vms(Err(unreachable("the VM list is cut off")))
        };
        self.later(ROUND_TRIP, node, start, event);
    }

    pub(crate) fn call_worker(&mut self, node: NodeId, start: u64, call: CallId, req: WorkerCall) {
        self.costs.worker_calls += 1;
        if let Some(place) = self.places.get(&node) {
            let by = node.to_string();
            self.log.called(self.now, place.domain, req.epoch, &by);
        }
        let delivery = self.faults.draw(ROUND_TRIP);
        if !(delivery.is_delivered && delivery.is_answered) {
            let event = Event::Worker(call, req.worker, Err(lost()));
            self.later(CALL_TIMEOUT, node, start, event);
        }
        self.launch(PlatformCall {
            node,
            start,
            call,
            ask: Ask::Worker(req),
            delivery,
            again: false,
        });
    }

    fn launch(&mut self, call: PlatformCall) {
        if !call.delivery.is_delivered {
            return;
        }
        let at = self.now + call.delivery.request_delay;
        if call.delivery.is_duplicated {
            let mut duplicate = call.clone();
            duplicate.again = true;
            let later = at + CALL_TIMEOUT / 2;
            self.queue.push(later, Happening::Call(duplicate));
        }
        self.queue.push(at, Happening::Call(call));
    }

    pub(crate) fn call_arrives(&mut self, mut call: PlatformCall) {
        let event = match &call.ask {
            Ask::Table(req) => Event::Table(call.call, Ok(self.platform.table.call(req))),
            Ask::Worker(req) => {
                if self.is_worker_paused(req.worker) {
                    let until = self.worker_paused_until(req.worker);
                    if call.delivery.is_answered && !call.again {
                        let event = Event::Worker(call.call, req.worker, Err(lost()));
                        self.later(CALL_TIMEOUT, call.node, call.start, event);
                    }
                    call.delivery.is_answered = false;
                    self.queue.push(until, Happening::Call(call));
                    return;
                }
                let report = self.platform.call_worker(self.now, req);
                Event::Worker(call.call, req.worker, report)
            }
        };
        if call.delivery.is_answered && !call.again {
            self.later(call.delivery.reply_delay, call.node, call.start, event);
        }
    }

    fn reaches_table(&self, node: NodeId) -> bool {
        let place = self.places.get(&node);
        place.is_some_and(|place| self.links.reaches_table(self.now, place.domain))
    }

    pub(crate) fn is_worker_paused(&mut self, worker: WorkerId) -> bool {
        let until = self.worker_paused_until(worker);
        self.now < until
    }

    pub(crate) fn worker_paused_until(&mut self, worker: WorkerId) -> model::Time {
        let fake = self.platform.worker_mut(worker);
        fake.map(|fake| fake.paused_until()).unwrap_or_default()
    }

    pub(crate) fn later(&mut self, after: Duration, node: NodeId, start: u64, event: Event) {
        let at = self.now + after;
        self.queue.push(at, Happening::Event(node, start, event));
    }
}

fn unreachable(reason: &str) -> StoreError {
    StoreError::Unreachable(reason.to_owned())
}

fn lost() -> StoreError {
    StoreError::Lost("no answer in time".to_owned())
}
