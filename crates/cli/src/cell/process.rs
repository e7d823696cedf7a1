//! The node processes of a cell: their starts, pauses, crashes and exits.

use std::time::Duration;

use model::{Incarnation, NodeId, Time};
use node::{Event, Identity, Node};

use super::{Cell, Happening, records::Disturbance};

/// The time from a process's end to the start of its successor on a new VM.
pub(crate) const REPLACED_AFTER: Duration = Duration::from_secs(3);

/// One start of a node.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) node: Node,
    /// Counts the node's starts, and is its incarnation.
    pub(crate) start: u64,
    began: Time,
    paused_until: Option<Time>,
    deferred: Vec<Event>,
}

impl Process {
    /// The point on the process's own clock: no two processes' clocks agree.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time::ZERO + now.since(self.began)
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

    /// Keeps what arrives during a pause. Missed ticks are not made up for.
    pub(crate) fn defer(&mut self, event: Event) {
        if event != Event::Tick {
            self.deferred.push(event);
        }
    }
}

impl Cell {
    /// Which start of a node runs; 0 where none does.
    pub(crate) fn start_of(&self, node: NodeId) -> u64 {
        self.processes.get(&node).map_or(0, |p| p.start)
    }

    pub(crate) fn runs(&self, node: NodeId, start: u64) -> bool {
        start > 0 && self.start_of(node) == start
    }

    pub(crate) fn boot(&mut self, id: NodeId) {
        let Some(place) = self.places.get(&id) else {
            return;
        };
        let start = self.starts.entry(id).or_default();
        *start += 1;
        let me = Identity {
            node: id,
            incarnation: Incarnation(*start),
            region: place.region,
            domain: place.domain,
            peer_address: format!("10.0.0.{}:7100", id.0),
        };
        let process = Process {
            node: Node::new(self.cfg.node.clone(), me),
            start: *start,
            began: self.now,
            paused_until: None,
            deferred: Vec::new(),
        };
        if process.start > 1 {
            self.log.add(self.now, format!("{id} starts again"));
        }
        self.queue.push(self.now, Happening::Tick(id, *start));
        self.processes.insert(id, process);
    }

    /// Ends a process at once, with all its connections.
    pub(crate) fn crash(&mut self, id: NodeId, comes_back: bool) {
        if self.processes.remove(&id).is_none() {
            return;
        }
        self.drop_requests_of(id);
        let until = if comes_back {
            self.queue
                .push(self.now + REPLACED_AFTER, Happening::Boot(id));
            self.now + REPLACED_AFTER
        } else {
            Time::MAX
        };
        self.disturb_node(id, until);
    }

    pub(crate) fn pause(&mut self, id: NodeId, span: Duration) {
        let until = self.now + span;
        let Some(process) = self.processes.get_mut(&id) else {
            return;
        };
        process.paused_until = Some(until);
        let start = process.start;
        self.queue.push(until, Happening::Resume(id, start));
        self.disturb_node(id, until);
    }

    /// Everything that the process missed reaches it at once.
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
            self.event(id, start, event);
        }
    }

    /// A graceful shutdown is complete.
    pub(crate) fn exit(&mut self, id: NodeId, start: u64) {
        if !self.runs(id, start) {
            return;
        }
        for try_id in self.open_tries_of(id) {
            self.records.cut_off.push((id, try_id));
        }
        self.log.add(self.now, format!("{id} exits"));
        self.processes.remove(&id);
        self.drop_requests_of(id);
        let until = self.now + REPLACED_AFTER;
        self.queue.push(until, Happening::Boot(id));
        self.disturb_node(id, until);
    }

    fn disturb_node(&mut self, id: NodeId, until: Time) {
        let domain = self.places.get(&id).map(|place| place.domain);
        self.records.disturbances.push(Disturbance {
            node: Some(id),
            domain,
            from: self.now,
            until,
        });
    }
}
