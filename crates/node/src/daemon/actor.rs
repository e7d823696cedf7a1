//! The actor that owns a node's state machine.

use std::{
    collections::BTreeMap,
    sync::mpsc::Sender,
    time::{Duration, Instant},
};

use model::{NodeId, Time};
use peer::{Links, PeerMsg};
use route::{AttemptEnd, IncomingRequest, ReqId};
use stakker::{CX, after, stop, sync::ChannelGuard};

use super::{
    metrics::Metrics,
    platform::{PlatformCall, Pool},
    proxy::{Exchange, PendingRequests, Proxy},
};
use crate::{
    Action, Dump, Event, Identity, Node, NodeConfig, OperatorCallId,
    api::{OperatorReq, OperatorResp},
};

/// The interval of the node's ticks.
const TICK: Duration = Duration::from_millis(25);
/// The interval at which metrics are sent.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The longest wait for callers to read their answers before the process exits.
const LAST_ANSWERS_MAX: Duration = Duration::from_secs(5);

/// A message from another thread to the actor.
pub(super) enum Incoming {
    /// An event for the node.
    Event(Event),
    /// An operator's call.
    Operator {
        req: OperatorReq,
        reply: Sender<OperatorResp>,
    },
    /// A caller's request.
    Request {
        request: IncomingRequest,
        exchange: Exchange,
    },
    /// The end of an attempt, with the request if it has not been answered.
    Finished {
        end: AttemptEnd,
        exchange: Option<Exchange>,
    },
    /// Requests a dump of the node's state.
    Dump(Sender<Dump>),
    /// Asks whether the node is ready for callers' requests.
    Ready(Sender<bool>),
}

/// Passes events to a node and executes the node's actions.
pub(super) struct NodeActor {
    node: Node,
    start: Instant,
    pool: Option<Pool>,
    links: Option<Links>,
    metrics: Option<Metrics>,
    /// Keeps the channel from other threads open while the actor exists.
    channel: Option<ChannelGuard>,
    operators: BTreeMap<OperatorCallId, Sender<OperatorResp>>,
    pending: Option<PendingRequests>,
    /// The time at which the process exits even if answers are still being written.
    exit_deadline: Option<Instant>,
    last_id: u64,
}

impl NodeActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "an actor's constructor returns an option"
    )]
    pub(super) fn init(cx: CX![], cfg: NodeConfig, identity: Identity) -> Option<Self> {
        Some(Self {
            node: Node::new(cfg, identity),
            start: cx.now(),
            pool: None,
            links: None,
            metrics: None,
            channel: None,
            operators: BTreeMap::new(),
            pending: None,
            exit_deadline: None,
            last_id: 0,
        })
    }

    pub(super) fn connect(
        &mut self,
        cx: CX![],
        pool: Pool,
        links: Links,
        proxy: Proxy,
        metrics: Option<Metrics>,
        guard: ChannelGuard,
    ) {
        self.metrics = metrics;
        self.pending = Some(PendingRequests::new(proxy));
        self.pool = Some(pool);
        self.links = Some(links);
        self.channel = Some(guard);
        self.tick(cx);
        self.report(cx);
    }

    fn report(&mut self, cx: CX![]) {
        let now = self.now(cx);
        if let Some(metrics) = &mut self.metrics {
            metrics.report(&self.node.dump(now));
            after!(REPORT_INTERVAL, [cx], report());
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle_event(cx, Event::Tick);
        after!(TICK, [cx], tick());
    }

    pub(super) fn receive(&mut self, cx: CX![], incoming: Incoming) {
        match incoming {
            Incoming::Event(event) => self.handle_event(cx, event),
            Incoming::Operator { req, reply } => {
                let id = OperatorCallId(self.next_id());
                self.operators.insert(id, reply);
                self.handle_event(cx, Event::Operator(id, req));
            }
            Incoming::Request { request, exchange } => {
                let req = ReqId(self.next_id());
                if let Some(pending) = &mut self.pending {
                    pending.add(req, exchange);
                }
                self.handle_event(cx, Event::Request(IncomingRequest { req, ..request }));
            }
            Incoming::Finished { end, exchange } => {
                if let (Some(exchange), Some(pending)) = (exchange, &mut self.pending) {
                    pending.return_request(&end, exchange);
                }
                self.handle_event(cx, Event::AttemptFinished(end));
            }
            // Sending fails if the receiver has timed out, which needs no handling.
            Incoming::Dump(reply) => drop(reply.send(self.node.dump(self.now(cx)))),
            Incoming::Ready(reply) => drop(reply.send(self.node.is_ready())),
        }
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        let mut actions = Vec::new();
        let now = self.now(cx);
        self.node.handle(now, event, &mut actions);
        if let Some(pending) = self
            .pending
            .as_ref()
            .filter(|_| self.node.is_shutting_down())
        {
            pending.close_connections();
        }
        for action in actions {
            self.execute(cx, action);
        }
    }

    fn execute(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Table(call, req) => self.send(PlatformCall::Table(call, req)),
            Action::Object(call, req) => self.send(PlatformCall::Object(call, req)),
            Action::Vms => self.send(PlatformCall::Vms),
            Action::Worker(call, req) => self.send(PlatformCall::Worker(call, req)),
            Action::Operator(id, resp) => {
                if let Some(reply) = self.operators.remove(&id) {
                    // This fails if the operator has disconnected, which needs no handling.
                    let _ = reply.send(resp);
                }
            }
            Action::Dispatch(dispatch) => {
                let lost = self
                    .pending
                    .as_mut()
                    .and_then(|pending| pending.dispatch(dispatch));
                self.report_lost_attempt(cx, lost);
            }
            Action::Forward(forward) => {
                let address = self.node.address(forward.node);
                let address = address.and_then(|address| address.parse().ok());
                if let (Some(links), Some(pending)) = (&self.links, &mut self.pending) {
                    let lost = pending.forward(links, forward, address);
                    self.report_lost_attempt(cx, lost);
                }
            }
            Action::Answer(req, answer) => {
                if let Some(pending) = &mut self.pending {
                    pending.answer(req, answer);
                }
            }
            Action::Refuse(refusal) => {
                if let Some(pending) = &mut self.pending {
                    pending.refuse(refusal);
                }
            }
            Action::Peer {
                to,
                needs_new_connection,
                msg,
            } => self.send_peer(to, needs_new_connection, msg),
            Action::Exit => self.exit(cx),
        }
    }

    fn send(&self, call: PlatformCall) {
        if let Some(pool) = &self.pool {
            pool.send(call);
        }
    }

    fn send_peer(&self, to: NodeId, needs_new_connection: bool, msg: PeerMsg) {
        let address = self.node.address(to).unwrap_or_default();
        let (Some(links), Ok(address)) = (&self.links, address.parse()) else {
            log::warn!("node: {to} has no usable address: {address}");
            return;
        };
        if needs_new_connection {
            links.send_on_new_connection(to, address, msg);
        } else {
            links.send(to, address, msg);
        }
    }

    /// Stops the actor once all answers are written or the exit deadline has passed. The node repeats the
    /// exit action with each tick.
    fn exit(&mut self, cx: CX![]) {
        let deadline = *self
            .exit_deadline
            .get_or_insert(cx.now() + LAST_ANSWERS_MAX);
        let is_idle = self.pending.as_ref().is_none_or(PendingRequests::is_idle);
        if is_idle || cx.now() >= deadline {
            stop!(cx);
        }
    }

    /// Reports to the node the end of an attempt that could not be started.
    fn report_lost_attempt(&mut self, cx: CX![], lost: Option<AttemptEnd>) {
        if let Some(end) = lost {
            self.handle_event(cx, Event::AttemptFinished(end));
        }
    }

    fn now(&self, cx: CX![]) -> Time {
        let ms = cx.now().duration_since(self.start).as_millis();
        Time::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}
