//! Calls from nodes to the platform: table, object store, VM list and workers.

use std::time::Duration;

use fakes::Delivery;
use model::{NodeId, WorkerId};
use node::{CallId, Event};
use store::{ObjectReq, StoreError, TableReq, WorkerCall};

use super::{Cell, SimEvent};

/// The time after which a call without an answer is reported as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// The round trip between a node and the platform.
const ROUND_TRIP: Duration = Duration::from_millis(4);

/// The request of a call.
#[derive(Clone, Debug)]
enum CallRequest {
    Table(TableReq),
    Worker(WorkerCall),
}

/// A call that was sent and has not been executed.
#[derive(Clone, Debug)]
pub(crate) struct PlatformCall {
    node: NodeId,
    /// The incarnation of the process that sent the call: the number of the node's starts up to then.
    start: u64,
    call: CallId,
    request: CallRequest,
    delivery: Delivery,
    /// Whether this is a duplicate of the call, whose answer is dropped.
    is_duplicate: bool,
}

impl Cell {
    pub(crate) fn call_table(&mut self, node: NodeId, start: u64, call: CallId, req: TableReq) {
        let mut delivery = self.faults.draw(ROUND_TRIP);
        if !self.reaches_table(node) {
            let event = Event::Table(call, Err(unreachable_error("the table is cut off")));
            self.schedule_event(ROUND_TRIP, node, start, event);
            return;
        }
        delivery.request_delay += self.links.table_delay(self.now);
        delivery.is_answered &= !self.links.loses_replies(self.now);
        if !(delivery.is_delivered && delivery.is_answered) {
            let event = Event::Table(call, Err(lost_error()));
            self.schedule_event(CALL_TIMEOUT, node, start, event);
        }
        self.send_call(PlatformCall {
            node,
            start,
            call,
            request: CallRequest::Table(req),
            delivery,
            is_duplicate: false,
        });
    }

    pub(crate) fn call_objects(&mut self, node: NodeId, start: u64, call: CallId, req: &ObjectReq) {
        let event = if self.reaches_table(node) {
            Event::Object(call, Ok(self.platform.objects.call(req)))
        } else {
            Event::Object(call, Err(unreachable_error("the object store is cut off")))
        };
        self.schedule_event(ROUND_TRIP, node, start, event);
    }

    pub(crate) fn call_vms(&mut self, node: NodeId, start: u64) {
        let Some(location) = self.locations.get(&node) else {
            return;
        };
        let event = if self.links.reaches_platform(self.now, location.domain) {
            Event::Vms(Ok(self.platform.vms(self.now, location.domain)))
        } else {
            Event::Vms(Err(unreachable_error("the VM list is cut off")))
        };
        self.schedule_event(ROUND_TRIP, node, start, event);
    }

    pub(crate) fn call_worker(&mut self, node: NodeId, start: u64, call: CallId, req: WorkerCall) {
        self.costs.worker_calls += 1;
        if let Some(location) = self.locations.get(&node) {
            let by = node.to_string();
            self.log
                .record_epoch(self.now, location.domain, req.epoch, &by);
        }
        let delivery = self.faults.draw(ROUND_TRIP);
        if !(delivery.is_delivered && delivery.is_answered) {
            let event = Event::Worker(call, req.worker, Err(lost_error()));
            self.schedule_event(CALL_TIMEOUT, node, start, event);
        }
        self.send_call(PlatformCall {
            node,
            start,
            call,
            request: CallRequest::Worker(req),
            delivery,
            is_duplicate: false,
        });
    }

    /// Schedules the execution of a call as often as it is delivered: never, once or twice.
    fn send_call(&mut self, call: PlatformCall) {
        if !call.delivery.is_delivered {
            return;
        }
        let at = self.now + call.delivery.request_delay;
        if call.delivery.is_duplicated {
            let mut duplicate = call.clone();
            duplicate.is_duplicate = true;
            let later = at + CALL_TIMEOUT / 2;
            self.queue.push(later, SimEvent::Call(duplicate));
        }
        self.queue.push(at, SimEvent::Call(call));
    }

    /// Executes a call on the platform and schedules its answer. A call to a paused worker is executed when the
    /// worker resumes, and its answer counts as lost.
    pub(crate) fn execute_call(&mut self, mut call: PlatformCall) {
        let event = match &call.request {
            CallRequest::Table(req) => Event::Table(call.call, Ok(self.platform.table.call(req))),
            CallRequest::Worker(req) => {
                if self.is_worker_paused(req.worker) {
                    let until = self.worker_paused_until(req.worker);
                    if call.delivery.is_answered && !call.is_duplicate {
                        let event = Event::Worker(call.call, req.worker, Err(lost_error()));
                        self.schedule_event(CALL_TIMEOUT, call.node, call.start, event);
                    }
                    call.delivery.is_answered = false;
                    self.queue.push(until, SimEvent::Call(call));
                    return;
                }
                let report = self.platform.call_worker(self.now, req);
                Event::Worker(call.call, req.worker, report)
            }
        };
        if call.delivery.is_answered && !call.is_duplicate {
            self.schedule_event(call.delivery.reply_delay, call.node, call.start, event);
        }
    }

    fn reaches_table(&self, node: NodeId) -> bool {
        let location = self.locations.get(&node);
        location.is_some_and(|location| self.links.reaches_table(self.now, location.domain))
    }

    pub(crate) fn is_worker_paused(&mut self, worker: WorkerId) -> bool {
        let until = self.worker_paused_until(worker);
        self.now < until
    }

    /// Returns the end of a worker's latest pause.
    pub(crate) fn worker_paused_until(&mut self, worker: WorkerId) -> model::Time {
        let fake = self.platform.worker_mut(worker);
        fake.map(|fake| fake.paused_until()).unwrap_or_default()
    }

    /// Schedules an event for the incarnation `start` of a node's process.
    pub(crate) fn schedule_event(
        &mut self,
        after: Duration,
        node: NodeId,
        start: u64,
        event: Event,
    ) {
        let at = self.now + after;
        self.queue.push(at, SimEvent::Event(node, start, event));
    }
}

fn unreachable_error(reason: &str) -> StoreError {
    StoreError::Unreachable(reason.to_owned())
}

fn lost_error() -> StoreError {
    StoreError::Lost("no answer in time".to_owned())
}
