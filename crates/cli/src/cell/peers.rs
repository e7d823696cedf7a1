//! Messages between nodes.

use model::NodeId;
use node::Event;
use peer::PeerMsg;

use super::{Cell, Happening, links::ACK_TIMEOUT, process::Process};

/// A message on its way to another node.
#[derive(Clone, Debug)]
pub(crate) struct Delivery {
    from: NodeId,
    from_start: u64,
    to: NodeId,
    msg: PeerMsg,
}

impl Cell {
    /// Sends a message, on a fresh connection where the node asks for one.
    pub(crate) fn send_peer(
        &mut self,
        from: NodeId,
        from_start: u64,
        to: NodeId,
        fresh: bool,
        msg: PeerMsg,
    ) {
        self.costs.peer_messages += 1;
        let (Some(a), Some(b)) = (self.places.get(&from), self.places.get(&to)) else {
            return;
        };
        let delivery = self.links.send(self.now, a, b, fresh);
        if let Some(at) = delivery.failed {
            let event = Event::PeerFailed(to, msg.clone());
            self.queue
                .push(at, Happening::Event(from, from_start, event));
        }
        let message = Delivery {
            from,
            from_start,
            to,
            msg,
        };
        for at in delivery.arrives {
            self.queue.push(at, Happening::Peer(message.clone()));
        }
    }

    /// A message reaches the other node's VM. Where no process listens, its sender is told; a paused
    /// process takes it later, and its acknowledgement comes too late.
    pub(crate) fn peer_arrives(&mut self, message: Delivery) {
        let Delivery {
            from,
            from_start,
            to,
            msg,
        } = message;
        let start = self.start_of(to);
        let is_paused = self.processes.get(&to).is_some_and(Process::is_paused);
        if start == 0 || is_paused {
            let after = if is_paused {
                ACK_TIMEOUT
            } else {
                self.latency(to, from)
            };
            let event = Event::PeerFailed(to, msg.clone());
            self.later(after, from, from_start, event);
        }
        self.event(to, start, Event::Peer(from, msg));
    }

    fn latency(&mut self, a: NodeId, b: NodeId) -> std::time::Duration {
        match (self.places.get(&a), self.places.get(&b)) {
            (Some(a), Some(b)) => self.links.latency(a, b),
            _ => ACK_TIMEOUT,
        }
    }
}
