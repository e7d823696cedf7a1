//! Delivery of messages between nodes.

use model::NodeId;
use node::Event;
use peer::PeerMsg;

use super::{Cell, SimEvent, links::ACK_TIMEOUT, process::Process};

/// A message that was sent and has not arrived.
#[derive(Clone, Debug)]
pub(crate) struct MessageInFlight {
    from: NodeId,
    from_start: u64,
    to: NodeId,
    msg: PeerMsg,
}

impl Cell {
    /// Sends a message, on a new connection if the node requests one.
    pub(crate) fn send_peer(
        &mut self,
        from: NodeId,
        from_start: u64,
        to: NodeId,
        needs_new_connection: bool,
        msg: PeerMsg,
    ) {
        self.costs.peer_messages += 1;
        let (Some(a), Some(b)) = (self.locations.get(&from), self.locations.get(&to)) else {
            return;
        };
        let plan = self.links.send(self.now, a, b, needs_new_connection);
        if let Some(at) = plan.failed_at {
            let event = Event::PeerFailed(to, msg.clone());
            self.queue
                .push(at, SimEvent::Event(from, from_start, event));
        }
        let message = MessageInFlight {
            from,
            from_start,
            to,
            msg,
        };
        for at in plan.arrivals {
            self.queue.push(at, SimEvent::Peer(message.clone()));
        }
    }

    /// Delivers a message to the VM of the receiving node.
    ///
    /// If no process listens there, the sender gets an error. A paused process receives the message when it
    /// resumes, which is too late for the acknowledgement, so its sender sees a failure as well.
    pub(crate) fn deliver_peer_message(&mut self, message: MessageInFlight) {
        let MessageInFlight {
            from,
            from_start,
            to,
            msg,
        } = message;
        let start = self.current_start(to);
        let is_paused = self.processes.get(&to).is_some_and(Process::is_paused);
        if start == 0 || is_paused {
            let after = if is_paused {
                ACK_TIMEOUT
            } else {
                self.latency(to, from)
            };
            let event = Event::PeerFailed(to, msg.clone());
            self.schedule_event(after, from, from_start, event);
        }
        self.deliver_event(to, start, Event::Peer(from, msg));
    }

    fn latency(&mut self, a: NodeId, b: NodeId) -> std::time::Duration {
        match (self.locations.get(&a), self.locations.get(&b)) {
            (Some(a), Some(b)) => self.links.latency(a, b),
            _ => ACK_TIMEOUT,
        }
    }
}
