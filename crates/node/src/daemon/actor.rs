//! The actor that owns a node's decisions.

use std::{
    collections::BTreeMap,
    sync::mpsc::Sender,
    time::{Duration, Instant},
};

use model::{NodeId, Time, Verdict};
use peer::{Links, PeerMsg};
use route::{AttemptEnd, Offer, Outcome, Reason, Refuse, ReqId};
use stakker::{CX, after, stop, sync::ChannelGuard};

use super::{
    platform::{Job, Pool},
    proxy::{Exchange, Proxy},
};
use crate::{
    Action, Dump, Event, Identity, Node, NodeConfig, OperatorId,
    api::{OperatorReq, OperatorResp},
};

/// How often the node's clock ticks.
const TICK: Duration = Duration::from_millis(25);

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
    Request { offer: Offer, exchange: Exchange },
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
    /// Keeps the channel from other threads open.
    channel: Option<ChannelGuard>,
    operators: BTreeMap<OperatorId, Sender<OperatorResp>>,
    /// Requests that wait for a decision.
    requests: BTreeMap<ReqId, Exchange>,
    proxy: Option<Proxy>,
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
            channel: None,
            operators: BTreeMap::new(),
            requests: BTreeMap::new(),
            proxy: None,
            last_id: 0,
        })
    }

    pub(super) fn connect(
        &mut self,
        cx: CX![],
        pool: Pool,
        links: Links,
        proxy: Proxy,
        guard: ChannelGuard,
    ) {
        self.proxy = Some(proxy);
        self.pool = Some(pool);
        self.links = Some(links);
        self.channel = Some(guard);
        self.tick(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        self.event(cx, Event::Tick);
        after!(TICK, [cx], tick());
    }

    pub(super) fn receive(&mut self, cx: CX![], incoming: Incoming) {
        match incoming {
            Incoming::Event(event) => self.event(cx, event),
            Incoming::Operator { req, reply } => {
                let id = OperatorId(self.next_id());
                self.operators.insert(id, reply);
                self.event(cx, Event::Operator(id, req));
            }
            Incoming::Request { offer, exchange } => {
                let req = ReqId(self.next_id());
                self.requests.insert(req, exchange);
                self.event(cx, Event::Request(Offer { req, ..offer }));
            }
            Incoming::Finished { end, exchange } => self.finished(cx, end, exchange),
            // The asker may have given up waiting.
            Incoming::Dump(reply) => drop(reply.send(self.node.dump(self.now(cx)))),
            Incoming::Ready(reply) => drop(reply.send(self.node.is_ready())),
        }
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let mut actions = Vec::new();
        let now = self.now(cx);
        self.node.handle(now, event, &mut actions);
        if let Some(proxy) = self.proxy.as_ref().filter(|_| self.node.is_leaving()) {
            proxy.close_connections();
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
                let (req, attempt) = (dispatch.req, dispatch.attempt);
                let carry = |proxy: &Proxy, exchange| proxy.dispatch(exchange, dispatch);
                self.attempt(cx, req, attempt, carry);
            }
            Action::Forward(forward) => {
                let address = self
                    .node
                    .address(forward.node)
                    .unwrap_or_default()
                    .to_owned();
                let (req, attempt) = (forward.req, forward.attempt);
                let links = self.links.clone();
                let carry = |proxy: &Proxy, exchange| {
                    if let Some(links) = links {
                        proxy.forward(&links, exchange, forward, address);
                    }
                };
                self.attempt(cx, req, attempt, carry);
            }
            Action::Answer(req, answer) => {
                self.answer(req, |proxy, exchange| proxy.answer(exchange, answer));
            }
            Action::Refuse(refuse) => {
                self.answer(refuse.req, |proxy, exchange| proxy.refuse(exchange, refuse));
            }
            Action::Peer { to, fresh, msg } => self.send_peer(to, fresh, msg),
            Action::Exit => stop!(cx),
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
            links.send_fresh(to, address, msg);
        } else {
            links.send(to, address, msg);
        }
    }

    /// Carries out an attempt. A request that was lost with its thread can't be sent any more.
    fn attempt(
        &mut self,
        cx: CX![],
        req: ReqId,
        attempt: u32,
        carry: impl FnOnce(&Proxy, Exchange),
    ) {
        if self.requests.contains_key(&req) {
            self.answer(req, carry);
        } else {
            let end = AttemptEnd::new(req, attempt, Outcome::CallerGone);
            self.event(cx, Event::Finished(end));
        }
    }

    /// Hands a request over to be answered or sent.
    fn answer(&mut self, req: ReqId, carry: impl FnOnce(&Proxy, Exchange)) {
        if let (Some(exchange), Some(proxy)) = (self.requests.remove(&req), &self.proxy) {
            carry(proxy, exchange);
        }
    }

    fn finished(&mut self, cx: CX![], end: AttemptEnd, exchange: Option<Exchange>) {
        let req = end.req;
        let gone = end.outcome == Outcome::CallerGone;
        if let Some(exchange) = exchange {
            self.requests.insert(req, exchange);
        }
        self.event(cx, Event::Finished(end));
        // The caller's own body has failed: what came of the request is not known.
        if gone {
            let refuse = Refuse {
                req,
                verdict: Verdict::MayHaveRun,
                reason: Reason::AnswerLost,
                retry_after: None,
            };
            self.answer(req, |proxy, exchange| proxy.refuse(exchange, refuse));
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
