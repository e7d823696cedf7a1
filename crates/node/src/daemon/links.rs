//! Where the links' messages go within the process.

use std::sync::Arc;

use model::NodeId;
use peer::{ForwardedRequest, PeerMsg, Sink};
use stakker::sync::Channel;

use super::{actor::Incoming, forward::Forwards};
use crate::Event;

/// Passes what arrives on the links to the node's actor and to the threads for passed-on requests.
#[derive(Clone)]
pub(super) struct Inbox {
    channel: Channel<Incoming>,
    forwards: Arc<Forwards>,
}

impl Inbox {
    pub(super) fn new(channel: &Channel<Incoming>) -> Self {
        Self {
            channel: channel.clone(),
            forwards: Arc::new(Forwards::start(channel)),
        }
    }

    fn event(&self, event: Event) {
        // The channel is closed only when the process ends.
        self.channel.send(Incoming::Event(event));
    }
}

impl Sink for Inbox {
    fn message(&self, from: NodeId, msg: PeerMsg) {
        self.event(Event::Peer(from, msg));
    }

    fn failed(&self, to: NodeId, msg: PeerMsg) {
        self.event(Event::PeerFailed(to, msg));
    }

    fn forwarded(&self, req: ForwardedRequest) {
        self.forwards.handle(req);
    }
}
