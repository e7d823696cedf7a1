//! A node's proxy in front of a fixed list of backend servers, without platform and other nodes: for
//! benches and tests.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use model::{Time, WorkerId};
use route::{
    Backend, ClaimResult, Grant, IncomingRequest, ReqId, RouteAction, RouteConfig, RouteDump,
    Router, ServicePolicy, StoredAnswer,
};
use stakker::{
    CX, Stakker, actor, after, call, fwd_to, ret_nop,
    sync::{Channel, ChannelGuard},
};

use super::{
    actor::Incoming,
    http::Faces,
    proxy::{Proxy, Waiting},
    run_actors,
};

/// How often the router's clock ticks.
const TICK: Duration = Duration::from_millis(25);

/// A service with its backend servers, each with a share of slots that does not lapse.
#[derive(Clone, Debug, Default)]
pub struct FixedService {
    /// The service's name.
    pub name: String,
    /// How its requests are handled.
    pub policy: ServicePolicy,
    /// Where its replicas take requests, such as `http://127.0.0.1:8080`.
    pub endpoints: Vec<String>,
    /// The most requests at a time at each. 0 by default.
    pub slots: u32,
}

/// A proxy that listens on a loopback port until the process ends.
///
/// Claims are kept in memory only. A process can have one at a time, since its actors need the process's
/// only `Stakker`.
#[derive(Clone, Debug)]
pub struct FixedProxy {
    address: SocketAddr,
    dumps: mpsc::Sender<mpsc::Sender<RouteDump>>,
}

impl FixedProxy {
    /// Starts a proxy.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(cfg: RouteConfig, services: Vec<FixedService>) -> io::Result<Self> {
        let (started, rx) = mpsc::channel();
        let (dumps, dump_rx) = mpsc::channel();
        thread::spawn(move || run(cfg, services, &started, dump_rx));
        let address = rx.recv().map_err(io::Error::other)??;
        Ok(Self { address, dumps })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The state of its router; `None` if its thread has ended.
    #[must_use]
    pub fn dump(&self) -> Option<RouteDump> {
        let (reply, rx) = mpsc::channel();
        self.dumps.send(reply).ok()?;
        rx.recv().ok()
    }
}

fn run(
    cfg: RouteConfig,
    services: Vec<FixedService>,
    started: &mpsc::Sender<io::Result<SocketAddr>>,
    dumps: mpsc::Receiver<mpsc::Sender<RouteDump>>,
) {
    let mut stakker = Stakker::new(Instant::now());
    let main = thread::current();
    stakker.set_poll_waker(move || main.unpark());
    let actor = actor!(&mut stakker, Fixed::init(cfg, services), ret_nop!());
    let fwd = fwd_to!([actor], receive() as (Incoming));
    let (channel, guard) = Channel::new(&mut stakker, fwd);
    let proxy = Proxy::new(channel.clone());
    let faces = Faces::listen(([127, 0, 0, 1], 0).into(), String::new(), &channel, &proxy);
    let listening = faces.is_ok();
    // The starter waits for it.
    let _ = started.send(faces.map(|faces| faces.address()));
    if !listening {
        return;
    }
    call!([actor], connect(Waiting::new(proxy), dumps, guard));
    run_actors(&mut stakker);
}

struct Fixed {
    router: Router,
    start: Instant,
    waiting: Option<Waiting>,
    dumps: Option<mpsc::Receiver<mpsc::Sender<RouteDump>>>,
    /// Keeps the channel from other threads open.
    channel: Option<ChannelGuard>,
    /// The keys of requests that are claimed, and the answers kept.
    claims: BTreeMap<String, Option<StoredAnswer>>,
    keys: BTreeMap<ReqId, String>,
    last_req: u64,
}

impl Fixed {
    #[expect(
        clippy::unnecessary_wraps,
        reason = "an actor's constructor returns an option"
    )]
    fn init(cx: CX![], cfg: RouteConfig, services: Vec<FixedService>) -> Option<Self> {
        let mut router = Router::new(cfg);
        let mut workers = BTreeMap::new();
        for service in services {
            router.set_service(&service.name, service.policy);
            let endpoints = service.endpoints.into_iter();
            let backends = endpoints.map(|endpoint| {
                let next = WorkerId(u32::try_from(workers.len()).unwrap_or(u32::MAX));
                let worker = *workers.entry(endpoint.clone()).or_insert(next);
                Backend { worker, endpoint }
            });
            let backends: Vec<Backend> = backends.collect();
            for backend in &backends {
                let grant = Grant {
                    slots: service.slots,
                    connections: service.slots,
                    until: Time::MAX,
                };
                router.set_grant(backend.worker, grant);
            }
            router.set_backends(&service.name, backends);
        }
        Some(Self {
            router,
            start: cx.now(),
            waiting: None,
            dumps: None,
            channel: None,
            claims: BTreeMap::new(),
            keys: BTreeMap::new(),
            last_req: 0,
        })
    }

    fn connect(
        &mut self,
        cx: CX![],
        waiting: Waiting,
        dumps: mpsc::Receiver<mpsc::Sender<RouteDump>>,
        guard: ChannelGuard,
    ) {
        self.waiting = Some(waiting);
        self.dumps = Some(dumps);
        self.channel = Some(guard);
        self.tick(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        let mut actions = Vec::new();
        self.router.tick(self.now(cx), &mut actions);
        self.carry_out(cx, actions);
        for reply in self.dumps.iter().flat_map(mpsc::Receiver::try_iter) {
            // The asker may have given up.
            let _ = reply.send(self.router.dump());
        }
        after!(TICK, [cx], tick());
    }

    fn receive(&mut self, cx: CX![], incoming: Incoming) {
        let mut actions = Vec::new();
        let now = self.now(cx);
        match incoming {
            Incoming::Request { offer, exchange } => {
                self.last_req += 1;
                let req = ReqId(self.last_req);
                if let Some(waiting) = &mut self.waiting {
                    waiting.add(req, exchange);
                }
                self.router
                    .submit(now, &IncomingRequest { req, ..offer }, &mut actions);
            }
            Incoming::Finished { end, exchange } => {
                if let (Some(exchange), Some(waiting)) = (exchange, &mut self.waiting) {
                    waiting.take_back(&end, exchange);
                }
                self.router.attempt_finished(now, &end, &mut actions);
            }
            _ => {}
        }
        self.carry_out(cx, actions);
    }

    fn carry_out(&mut self, cx: CX![], actions: Vec<RouteAction>) {
        let now = self.now(cx);
        for action in actions {
            let mut more = Vec::new();
            let Some(waiting) = &mut self.waiting else {
                return;
            };
            match action {
                RouteAction::Dispatch(dispatch) => {
                    if let Some(end) = waiting.dispatch(dispatch) {
                        self.router.attempt_finished(now, &end, &mut more);
                    }
                }
                RouteAction::Answer(req, answer) => waiting.answer(req, answer),
                RouteAction::Refuse(refuse) => waiting.refuse(refuse),
                RouteAction::Claim { req, key, .. } => {
                    let result = match self.claims.get(&key) {
                        None => ClaimResult::Claimed,
                        Some(None) => ClaimResult::Uncertain,
                        Some(Some(answer)) => ClaimResult::Answered(answer.clone()),
                    };
                    if result == ClaimResult::Claimed {
                        self.claims.insert(key.clone(), None);
                        self.keys.insert(req, key);
                    }
                    self.router.claim_finished(now, req, result, &mut more);
                }
                RouteAction::VoidClaim(req) => {
                    let key = self.keys.remove(&req);
                    let voided = key.is_some_and(|key| self.claims.remove(&key).is_some());
                    self.router.void_finished(now, req, voided, &mut more);
                }
                RouteAction::KeepAnswer(req, answer) => {
                    if let Some(key) = self.keys.remove(&req) {
                        self.claims.insert(key, answer);
                    }
                }
                // There are no other nodes.
                RouteAction::Forward(_) => {}
            }
            self.carry_out(cx, more);
        }
    }

    fn now(&self, cx: CX![]) -> Time {
        let ms = cx.now().duration_since(self.start).as_millis();
        Time::from_ms(u64::try_from(ms).unwrap_or(u64::MAX))
    }
}
