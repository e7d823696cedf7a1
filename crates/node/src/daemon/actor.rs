//! The actor that owns a node's decisions.

use std::{
    collections::BTreeMap,
    sync::mpsc::Sender,
    time::{Duration, Instant},
};

use model::{NodeId, Time, Verdict};
use peer::{Links, PeerMsg};
use route::{Outcome, ReqId};
use stakker::{CX, after, stop, sync::ChannelGuard};

use super::platform::{Job, Pool};
use crate::{
    Action, Dump, Event, Identity, Node, NodeConfig, OperatorId,
    api::{OperatorReq, OperatorResp},
};

/// How often the node's clock ticks.
const TICK: Duration = Duration::from_millis(25);

/// What is to be done with a caller's request.
#[derive(Clone, Debug)]
pub(super) enum RouteAnswer {
    /// Send it to a backend server.
    Dispatch {
        req: ReqId,
        endpoint: String,
        timeout: Duration,
    },
    /// Pass it to another node.
    Forward {
        req: ReqId,
        node: NodeId,
        address: String,
    },
    /// Answer the caller at once.
    Refuse {
        verdict: Verdict,
        reason: &'static str,
        retry_after: Option<Duration>,
    },
}

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
        service: String,
        key: Option<String>,
        forwarded: bool,
        reply: Sender<RouteAnswer>,
    },
    /// What became of a caller's request.
    Finished(ReqId, Outcome),
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
    requests: BTreeMap<ReqId, Sender<RouteAnswer>>,
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
            last_id: 0,
        })
    }

    pub(super) fn connect(&mut self, cx: CX![], pool: Pool, links: Links, guard: ChannelGuard) {
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
            Incoming::Request {
                service,
                key,
                forwarded,
                reply,
            } => {
                let req = ReqId(self.next_id());
                self.requests.insert(req, reply);
                let event = Event::Request {
                    req,
                    service,
                    key,
                    forwarded,
                };
                self.event(cx, event);
            }
            Incoming::Finished(req, outcome) => self.event(cx, Event::Finished(req, outcome)),
            // The asker may have given up waiting.
            Incoming::Dump(reply) => drop(reply.send(self.node.dump(self.now(cx)))),
            Incoming::Ready(reply) => drop(reply.send(self.node.is_ready())),
        }
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let mut actions = Vec::new();
        let now = self.now(cx);
        self.node.handle(now, event, &mut actions);
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
            Action::Dispatch {
                req,
                endpoint,
                timeout,
                ..
            } => {
                let answer = RouteAnswer::Dispatch {
                    req,
                    endpoint,
                    timeout,
                };
                self.answer(req, answer);
            }
            Action::Refuse {
                req,
                verdict,
                reason,
                retry_after,
            } => {
                let answer = RouteAnswer::Refuse {
                    verdict,
                    reason,
                    retry_after,
                };
                self.answer(req, answer);
            }
            Action::Peer { to, fresh, msg } => self.send_peer(to, fresh, msg),
            Action::Forward { req, node, .. } => {
                let address = self.node.address(node).unwrap_or_default().to_owned();
                let answer = RouteAnswer::Forward { req, node, address };
                self.answer(req, answer);
            }
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

    fn answer(&mut self, req: ReqId, answer: RouteAnswer) {
        if let Some(reply) = self.requests.remove(&req) {
            // The caller may have gone away.
            let _ = reply.send(answer);
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
