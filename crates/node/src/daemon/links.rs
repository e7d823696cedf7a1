//! Delivery of what arrives on the links within the process.

use model::NodeId;
use peer::{ForwardedRequest, LinkHandler, PeerMsg};
use stakker::sync::Channel;

use super::{actor::Incoming, proxy::Proxy};
use crate::Event;

/// Passes messages from other nodes to the node's actor, and forwarded requests to the proxy.
#[derive(Clone)]
pub(super) struct Inbox {
    channel: Channel<Incoming>,
    proxy: Proxy,
}

impl Inbox {
    pub(super) fn new(channel: &Channel<Incoming>, proxy: &Proxy) -> Self {
        Self {
            channel: channel.clone(),
            proxy: proxy.clone(),
        }
    }

    fn event(&self, event: Event) {
        // The channel closes only when the process ends, so the result can be ignored.
        self.channel.send(Incoming::Event(event));
    }
}

impl LinkHandler for Inbox {
    fn handle_message(&self, from: NodeId, msg: PeerMsg) {
        self.event(Event::Peer(from, msg));
    }

    fn handle_send_failure(&self, to: NodeId, msg: PeerMsg) {
        self.event(Event::PeerFailed(to, msg));
    }

    fn handle_forwarded(&self, req: ForwardedRequest) {
        self.proxy.forwarded(req);
    }
}
