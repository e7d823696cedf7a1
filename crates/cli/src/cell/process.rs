//! The node processes of a cell: starts, pauses, crashes and exits.

use std::time::Duration;

use model::{Incarnation, NodeId, Time};
use node::{Event, Identity, Node};

use super::{Cell, SimEvent, records::Disturbance};

/// The time from the end of a process to the start of its replacement on a new VM.
pub(crate) const VM_REPLACEMENT_DELAY: Duration = Duration::from_secs(3);

/// A process of a node.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) node: Node,
    /// The number of the node's starts so far, which is the process's incarnation.
    pub(crate) start: u64,
    started_at: Time,
    paused_until: Option<Time>,
    /// The events that arrived during the pause.
    deferred: Vec<Event>,
}

impl Process {
    /// Returns the time on the process's own clock, which begins at the start of the process. The clocks of two
    /// processes therefore differ.
    pub(crate) fn local_time(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.started_at)
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        Incarnation(self.start)
    }

    pub(crate) const fn is_paused(&self) -> bool {
        self.paused_until.is_some()
    }

    pub(crate) const fn paused_until(&self) -> Option<Time> {
        self.paused_until
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.is_paused() && self.node.is_ready()
    }

    /// Stores an event that arrives during a pause. Ticks are dropped.
    pub(crate) fn defer(&mut self, event: Event) {
        if event != Event::Tick {
            self.deferred.push(event);
        }
    }
}

impl Cell {
    /// Returns the start number of a node's running process, or 0 if none runs.
    pub(crate) fn current_start(&self, node: NodeId) -> u64 {
        self.processes.get(&node).map_or(0, |p| p.start)
    }

    /// Returns whether the process with this start number is the node's running process.
    pub(crate) fn is_running(&self, node: NodeId, start: u64) -> bool {
        start > 0 && self.current_start(node) == start
    }

    /// Starts a new process of a node.
    pub(crate) fn start_process(&mut self, id: NodeId) {
        let Some(location) = self.locations.get(&id) else {
            return;
        };
        let start = self.starts.entry(id).or_default();
        *start += 1;
        let me = Identity {
            node: id,
            incarnation: Incarnation(*start),
            region: location.region,
            domain: location.domain,
            peer_address: format!("10.0.0.{}:7100", id.0),
        };
        let process = Process {
            node: Node::new(self.cfg.node.clone(), me),
            start: *start,
            started_at: self.now,
            paused_until: None,
            deferred: Vec::new(),
        };
        if process.start > 1 {
            self.log.add(self.now, format!("{id} starts again"));
        }
        self.queue.push(self.now, SimEvent::Tick(id, *start));
        self.processes.insert(id, process);
    }

    /// Ends a process immediately and drops its connections. If `is_replaced`, a new process starts later.
    pub(crate) fn crash(&mut self, id: NodeId, is_replaced: bool) {
        if self.processes.remove(&id).is_none() {
            return;
        }
        self.drop_requests_of(id);
        let until = if is_replaced {
            self.queue
                .push(self.now + VM_REPLACEMENT_DELAY, SimEvent::StartProcess(id));
            self.now + VM_REPLACEMENT_DELAY
        } else {
            Time::MAX
        };
        self.record_node_disturbance(id, until);
    }

    /// Pauses a process for a time span.
    pub(crate) fn pause(&mut self, id: NodeId, span: Duration) {
        let until = self.now + span;
        let Some(process) = self.processes.get_mut(&id) else {
            return;
        };
        process.paused_until = Some(until);
        let start = process.start;
        self.queue.push(until, SimEvent::Resume(id, start));
        self.record_node_disturbance(id, until);
    }

    /// Resumes a process if its pause is over, and delivers the events that arrived during the pause.
    pub(crate) fn resume(&mut self, id: NodeId, start: u64) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&id).filter(|p| p.start == start) else {
            return;
        };
        if process.paused_until.is_none_or(|until| now < until) {
            return;
        }
        process.paused_until = None;
        let deferred = std::mem::take(&mut process.deferred);
        for event in deferred {
            self.deliver_event(id, start, event);
        }
    }

    /// Ends a process that has completed its graceful shutdown, and schedules its replacement. Requests that are
    /// still open are recorded as cut off.
    pub(crate) fn exit(&mut self, id: NodeId, start: u64) {
        if !self.is_running(id, start) {
            return;
        }
        for try_id in self.open_tries_of(id) {
            self.records.cut_off.push((id, try_id));
        }
        self.log.add(self.now, format!("{id} exits"));
        self.processes.remove(&id);
        self.drop_requests_of(id);
        let until = self.now + VM_REPLACEMENT_DELAY;
        self.queue.push(until, SimEvent::StartProcess(id));
        self.record_node_disturbance(id, until);
    }

    fn record_node_disturbance(&mut self, id: NodeId, until: Time) {
        let domain = self.locations.get(&id).map(|location| location.domain);
        self.records.disturbances.push(Disturbance {
            node: Some(id),
            domain,
            from: self.now,
            until,
        });
    }
}
