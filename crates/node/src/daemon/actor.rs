//! The actor that owns a node's decisions.

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
    platform::{Job, Pool},
    proxy::{Exchange, Proxy, Waiting},
};
use crate::{
    Action, Dump, Event, Identity, Node, NodeConfig, OperatorCallId,
    api::{OperatorReq, OperatorResp},
};

/// How often the node's clock ticks.
const TICK: Duration = Duration::from_millis(25);
/// How often metrics are sent.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// The longest wait for callers to take the last answers before the process ends.
const LAST_ANSWERS_MAX: Duration = Duration::from_secs(5);

/// What other threads send to the actor.
pub(super) enum Incoming {
    /// Something for the node itself.
    Event(Event),
    /// An operator's call.
    Operator {
        req: OperatorReq,
        reply: Sender<OperatorResp>,
    },
    /// A caller's request.
    Request {
        offer: IncomingRequest,
        exchange: Exchange,
    },
    /// The end of an attempt, and the request if it is not answered.
    Finished {
        end: AttemptEnd,
        exchange: Option<Exchange>,
    },
    /// Asks for the node's state.
    Dump(Sender<Dump>),
    /// Asks whether callers may be sent here.
    Ready(Sender<bool>),
}

/// Owns a node's decisions and carries out its actions.
pub(super) struct NodeActor {
    node: Node,
    start: Instant,
    pool: Option<Pool>,
    links: Option<Links>,
    metrics: Option<Metrics>,
    /// Keeps the channel from other threads open.
    channel: Option<ChannelGuard>,
    operators: BTreeMap<OperatorCallId, Sender<OperatorResp>>,
    waiting: Option<Waiting>,
    /// When the process ends, whether or not the last answers are written.
    exit_by: Option<Instant>,
    last_id: u64,
}

impl NodeActor {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "an actor's constructor returns an option"
    )]
    pub(super) fn init(cx: CX![], cfg: NodeConfig, me: Identity) -> Option<Self> {
        Some(Self {
            node: Node::new(cfg, me),
            start: cx.now(),
            pool: None,
            links: None,
            metrics: None,
            channel: None,
            operators: BTreeMap::new(),
            waiting: None,
            exit_by: None,
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
        self.waiting = Some(Waiting::new(proxy));
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
        self.event(cx, Event::Tick);
        after!(TICK, [cx], tick());
    }

    pub(super) fn receive(&mut self, cx: CX![], incoming: Incoming) {
        match incoming {
            Incoming::Event(event) => self.event(cx, event),
            Incoming::Operator { req, reply } => {
                let id = OperatorCallId(self.next_id());
                self.operators.insert(id, reply);
                self.event(cx, Event::Operator(id, req));
            }
            Incoming::Request { offer, exchange } => {
                let req = ReqId(self.next_id());
                if let Some(waiting) = &mut self.waiting {
                    waiting.add(req, exchange);
                }
                self.event(cx, Event::Request(IncomingRequest { req, ..offer }));
            }
            Incoming::Finished { end, exchange } => {
                if let (Some(exchange), Some(waiting)) = (exchange, &mut self.waiting) {
                    waiting.take_back(&end, exchange);
                }
                self.event(cx, Event::AttemptFinished(end));
            }
            // The asker may have given up waiting.
            Incoming::Dump(reply) => drop(reply.send(self.node.dump(self.now(cx)))),
            Incoming::Ready(reply) => drop(reply.send(self.node.is_ready())),
        }
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let mut actions = Vec::new();
        let now = self.now(cx);
        self.node.handle(now, event, &mut actions);
        if let Some(waiting) = self
            .waiting
            .as_ref()
            .filter(|_| self.node.is_shutting_down())
        {
            waiting.close_connections();
        }
        for action in actions {
            self.act(cx, action);
        }
    }

    fn act(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Table(call, req) => self.send(Job::Table(call, req)),
            Action::Object(call, req) => self.send(Job::Object(call, req)),
            Action::Vms => self.send(Job::Vms),
            Action::Worker(call, req) => self.send(Job::Worker(call, req)),
            Action::Operator(id, resp) => {
                if let Some(reply) = self.operators.remove(&id) {
                    // The operator may have gone away.
                    let _ = reply.send(resp);
                }
            }
            Action::Dispatch(dispatch) => {
                let lost = self.waiting.as_mut().and_then(|w| w.dispatch(dispatch));
                self.attempt_lost(cx, lost);
            }
            Action::Forward(forward) => {
                let address = self.node.address(forward.node);
                let address = address.and_then(|address| address.parse().ok());
                if let (Some(links), Some(waiting)) = (&self.links, &mut self.waiting) {
                    let lost = waiting.forward(links, forward, address);
                    self.attempt_lost(cx, lost);
                }
            }
            Action::Answer(req, answer) => {
                if let Some(waiting) = &mut self.waiting {
                    waiting.answer(req, answer);
                }
            }
            Action::Refuse(refuse) => {
                if let Some(waiting) = &mut self.waiting {
                    waiting.refuse(refuse);
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

    fn send(&self, job: Job) {
        if let Some(pool) = &self.pool {
            pool.send(job);
        }
    }

    fn send_peer(&self, to: NodeId, fresh: bool, msg: PeerMsg) {
        let address = self.node.address(to).unwrap_or_default();
        let (Some(links), Ok(address)) = (&self.links, address.parse()) else {
            log::warn!("node: {to} has no address that can be used: {address}");
            return;
        };
        if fresh {
            links.send_on_new_connection(to, address, msg);
        } else {
            links.send(to, address, msg);
        }
    }

    /// Ends the process once the last answers are written. The node asks for it again with each tick.
    fn exit(&mut self, cx: CX![]) {
        let latest = *self.exit_by.get_or_insert(cx.now() + LAST_ANSWERS_MAX);
        let idle = self.waiting.as_ref().is_none_or(Waiting::is_idle);
        if idle || cx.now() >= latest {
            stop!(cx);
        }
    }

    /// An attempt could not begin.
    fn attempt_lost(&mut self, cx: CX![], lost: Option<AttemptEnd>) {
        if let Some(end) = lost {
            self.event(cx, Event::AttemptFinished(end));
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
