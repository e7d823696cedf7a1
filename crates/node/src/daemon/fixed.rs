//! A proxy in front of a fixed list of backend servers, without a platform or other nodes. For benches
//! and tests.

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
    http::HttpServer,
    proxy::{PendingRequests, Proxy},
    run_actors,
};

/// The interval of the router's ticks.
const TICK: Duration = Duration::from_millis(25);

/// A service with its backend servers. The proxy's slots on the backend servers do not expire.
#[derive(Clone, Debug, Default)]
pub struct FixedService {
    /// The service's name.
    pub name: String,
    /// The policy for the service's requests.
    pub policy: ServicePolicy,
    /// The base URLs of the backend servers, such as `http://127.0.0.1:8080`.
    pub endpoints: Vec<String>,
    /// The maximum number of concurrent requests to each backend server. 0 by default.
    pub slots: u32,
}

/// A proxy that listens on a loopback port until the process ends.
///
/// Claims of idempotency keys are kept in memory only. A process can run only one proxy, because the
/// proxy's actor needs the `Stakker` runtime, of which a process can have only one.
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
    /// Returns an error if no port can be listened on.
    pub fn start(cfg: RouteConfig, services: Vec<FixedService>) -> io::Result<Self> {
        let (started, rx) = mpsc::channel();
        let (dumps, dump_rx) = mpsc::channel();
        thread::spawn(move || run(cfg, services, &started, dump_rx));
        let address = rx.recv().map_err(io::Error::other)??;
        Ok(Self { address, dumps })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a dump of the router, or `None` if its thread has ended.
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
    let actor = actor!(&mut stakker, FixedActor::init(cfg, services), ret_nop!());
    let fwd = fwd_to!([actor], receive() as (Incoming));
    let (channel, guard) = Channel::new(&mut stakker, fwd);
    let proxy = Proxy::new(channel.clone());
    let server = HttpServer::listen(([127, 0, 0, 1], 0).into(), String::new(), &channel, &proxy);
    let is_listening = server.is_ok();
    // `FixedProxy::start` waits for this message.
    let _ = started.send(server.map(|server| server.address()));
    if !is_listening {
        return;
    }
    call!([actor], connect(PendingRequests::new(proxy), dumps, guard));
    run_actors(&mut stakker);
}

/// The actor that owns the router.
struct FixedActor {
    router: Router,
    start: Instant,
    pending: Option<PendingRequests>,
    dumps: Option<mpsc::Receiver<mpsc::Sender<RouteDump>>>,
    /// Keeps the channel from other threads open while the actor exists.
    channel: Option<ChannelGuard>,
    /// The claimed idempotency keys, with the stored answers of finished requests.
    claims: BTreeMap<String, Option<StoredAnswer>>,
    keys: BTreeMap<ReqId, String>,
    last_req: u64,
}

impl FixedActor {
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
            pending: None,
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
        pending: PendingRequests,
        dumps: mpsc::Receiver<mpsc::Sender<RouteDump>>,
        guard: ChannelGuard,
    ) {
        self.pending = Some(pending);
        self.dumps = Some(dumps);
        self.channel = Some(guard);
        self.tick(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        let mut actions = Vec::new();
        self.router.tick(self.now(cx), &mut actions);
        self.carry_out(cx, actions);
        for reply in self.dumps.iter().flat_map(mpsc::Receiver::try_iter) {
            // This fails if the receiver has been dropped, which needs no handling.
            let _ = reply.send(self.router.dump());
        }
        after!(TICK, [cx], tick());
    }

    fn receive(&mut self, cx: CX![], incoming: Incoming) {
        let mut actions = Vec::new();
        let now = self.now(cx);
        match incoming {
            Incoming::Request { request, exchange } => {
                self.last_req += 1;
                let req = ReqId(self.last_req);
                if let Some(pending) = &mut self.pending {
                    pending.add(req, exchange);
                }
                self.router
                    .submit(now, &IncomingRequest { req, ..request }, &mut actions);
            }
            Incoming::Finished { end, exchange } => {
                if let (Some(exchange), Some(pending)) = (exchange, &mut self.pending) {
                    pending.return_request(&end, exchange);
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
            let Some(pending) = &mut self.pending else {
                return;
            };
            match action {
                RouteAction::Dispatch(dispatch) => {
                    if let Some(end) = pending.dispatch(dispatch) {
                        self.router.attempt_finished(now, &end, &mut more);
                    }
                }
                RouteAction::Answer(req, answer) => pending.answer(req, answer),
                RouteAction::Refuse(refusal) => pending.refuse(refusal),
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
