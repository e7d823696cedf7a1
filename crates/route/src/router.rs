//! The router of one node.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use crate::ShareReport;
use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct RouteConfig {
    /// What a refused caller is told to wait before it comes back. 1 s by default.
    pub retry_after: Duration,
    /// The most requests that wait for one service. 1,000 by default.
    pub queue_max: usize,
}

impl Default for RouteConfig {
    fn default() -> Self {
        Self {
            retry_after: Duration::from_secs(1),
            queue_max: 1_000,
        }
    }
}

/// A request at this node, numbered by the router's owner and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReqId(pub u64);

/// How a service's requests are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// How urgent they are.
    pub class: Class,
    /// Whether they may be sent a second time.
    pub repeat: Repeat,
    /// How long one may wait and run.
    pub deadline: Duration,
}

/// A replica that takes requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The worker on which it runs.
    pub worker: WorkerId,
    /// Where it takes requests.
    pub endpoint: String,
}

/// This node's share of a backend server, good until a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The most requests at a time.
    pub slots: u32,
    /// The most connections at a time.
    pub connections: u32,
    /// Nothing is dispatched under the grant from this point on.
    pub until: Time,
}

/// A node of another domain that can serve a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remote {
    /// The node.
    pub node: NodeId,
    /// Whether it is in this node's region.
    pub same_region: bool,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offer {
    /// The request.
    pub req: ReqId,
    /// The service that it is for.
    pub service: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Whether another node has passed it on; it is then not passed on again.
    pub forwarded: bool,
}

/// What became of a dispatched or forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was passed on.
    Answered,
    /// The request never reached the other side.
    NotSent,
    /// The other side said that it did not run it.
    Declined,
    /// The answer did not come, or came in part.
    CutShort,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The claim is this request's.
    Claimed,
    /// Another request with the same key has the claim, and its answer is stored.
    Answered,
    /// Another request with the same key has the claim, and its outcome is not known.
    Uncertain,
    /// The table could not be reached; no claim was made.
    Unreachable,
}

/// What the owner of a [`Router`] has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the request to a backend server. A slot and a connection are held for it.
    Dispatch {
        /// The request.
        req: ReqId,
        /// The backend server.
        worker: WorkerId,
        /// Where it takes requests.
        endpoint: String,
        /// How long it may take.
        timeout: Duration,
    },
    /// Pass the request to another node.
    Forward {
        /// The request.
        req: ReqId,
        /// The other node.
        node: NodeId,
        /// How long it may take.
        timeout: Duration,
    },
    /// Commit a claim row and hand its result to [`Router::claimed`].
    Claim {
        /// The request.
        req: ReqId,
        /// The service.
        service: String,
        /// The caller's idempotency key.
        key: String,
    },
    /// Answer the caller with a refusal or an error, at once.
    Refuse {
        /// The request.
        req: ReqId,
        /// Whether it may have run.
        verdict: Verdict,
        /// Why.
        reason: &'static str,
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
}

#[derive(Clone, Debug, Default)]
struct Service {
    policy: Option<ServicePolicy>,
    backends: Vec<Backend>,
    remotes: Vec<Remote>,
    queue: VecDeque<ReqId>,
}

#[derive(Clone, Debug)]
struct Request {
    service: String,
    forwarded: bool,
    deadline: Time,
    worker: Option<WorkerId>,
}

/// Decides where callers' requests go from one node.
#[derive(Clone, Debug)]
pub struct Router {
    cfg: RouteConfig,
    services: BTreeMap<String, Service>,
    grants: BTreeMap<WorkerId, Grant>,
    busy: BTreeMap<WorkerId, u32>,
    requests: BTreeMap<ReqId, Request>,
}

impl Router {
    /// A router that knows no service.
    #[must_use]
    pub fn new(cfg: RouteConfig) -> Self {
        Self {
            cfg,
            services: BTreeMap::new(),
            grants: BTreeMap::new(),
            busy: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    /// Adds a service or changes its policy.
    pub fn set_service(&mut self, name: &str, policy: ServicePolicy) {
        self.services.entry(name.to_owned()).or_default().policy = Some(policy);
    }

    /// Replaces the list of a service's backend servers.
    pub fn set_backends(&mut self, name: &str, backends: Vec<Backend>) {
        self.services.entry(name.to_owned()).or_default().backends = backends;
    }

    /// Replaces the list of nodes to which a service's requests can be passed.
    pub fn set_remotes(&mut self, name: &str, remotes: Vec<Remote>) {
        self.services.entry(name.to_owned()).or_default().remotes = remotes;
    }

    /// Replaces this node's share of a backend server.
    pub fn set_grant(&mut self, worker: WorkerId, grant: Grant) {
        self.grants.insert(worker, grant);
    }

    /// What this node holds, uses and wants of each backend server.
    #[must_use]
    pub fn shares(&self, now: Time) -> Vec<ShareReport> {
        let live = self.grants.iter().filter(|(_, grant)| now < grant.until);
        live.map(|(worker, grant)| {
            let in_flight = self.busy.get(worker).copied().unwrap_or(0);
            ShareReport {
                worker: *worker,
                slots: grant.slots,
                in_flight,
                wanted: in_flight + 1,
            }
        })
        .collect()
    }

    /// How many requests have no final answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Takes a caller's request.
    pub fn offer(&mut self, now: Time, offer: &Offer, out: &mut Vec<RouteAction>) {
        let Some(service) = self.services.get_mut(&offer.service) else {
            refuse(
                &self.cfg,
                offer.req,
                Verdict::NotRun,
                "no such service",
                out,
            );
            return;
        };
        let Some(policy) = service.policy else {
            refuse(
                &self.cfg,
                offer.req,
                Verdict::NotRun,
                "no such service",
                out,
            );
            return;
        };
        if service.queue.len() >= self.cfg.queue_max {
            refuse(&self.cfg, offer.req, Verdict::NotRun, "overloaded", out);
            return;
        }
        service.queue.push_back(offer.req);
        let request = Request {
            service: offer.service.clone(),
            forwarded: offer.forwarded,
            deadline: now + policy.deadline,
            worker: None,
        };
        self.requests.insert(offer.req, request);
        self.dispatch(now, &offer.service, out);
    }

    /// Takes what became of a request.
    pub fn finished(
        &mut self,
        now: Time,
        req: ReqId,
        outcome: Outcome,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(request) = self.requests.remove(&req) else {
            return;
        };
        if let Some(busy) = request.worker.and_then(|worker| self.busy.get_mut(&worker)) {
            *busy -= 1;
        }
        match outcome {
            Outcome::Answered => {}
            Outcome::NotSent | Outcome::Declined => {
                refuse(
                    &self.cfg,
                    req,
                    Verdict::NotRun,
                    "no backend server took it",
                    out,
                );
            }
            Outcome::CutShort => {
                refuse(
                    &self.cfg,
                    req,
                    Verdict::MayHaveRun,
                    "the answer was cut short",
                    out,
                );
            }
        }
        self.dispatch(now, &request.service, out);
    }

    /// Takes what became of a claim.
    pub fn claimed(
        &mut self,
        _now: Time,
        req: ReqId,
        result: ClaimResult,
        out: &mut Vec<RouteAction>,
    ) {
        if result == ClaimResult::Uncertain {
            refuse(
                &self.cfg,
                req,
                Verdict::MayHaveRun,
                "an earlier request has the key",
                out,
            );
        }
    }

    /// Gives up what cannot start in time.
    pub fn tick(&mut self, now: Time, out: &mut Vec<RouteAction>) {
        let names: Vec<String> = self.services.keys().cloned().collect();
        for name in names {
            self.dispatch(now, &name, out);
            self.give_up(now, &name, out);
        }
    }

    fn give_up(&mut self, now: Time, name: &str, out: &mut Vec<RouteAction>) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let requests = &self.requests;
        let late = |req: &ReqId| requests.get(req).is_none_or(|r| now >= r.deadline);
        let gone: Vec<ReqId> = service.queue.iter().copied().filter(late).collect();
        service.queue.retain(|req| !gone.contains(req));
        for req in gone {
            self.requests.remove(&req);
            refuse(
                &self.cfg,
                req,
                Verdict::NotRun,
                "it could not start in time",
                out,
            );
        }
    }

    fn dispatch(&mut self, now: Time, name: &str, out: &mut Vec<RouteAction>) {
        while let Some(req) = self
            .services
            .get(name)
            .and_then(|s| s.queue.front().copied())
        {
            let Some(action) = self.choose(now, name, req) else {
                return;
            };
            if let Some(service) = self.services.get_mut(name) {
                service.queue.pop_front();
            }
            out.push(action);
        }
    }

    fn choose(&mut self, now: Time, name: &str, req: ReqId) -> Option<RouteAction> {
        let service = self.services.get(name)?;
        let request = self.requests.get_mut(&req)?;
        let timeout = request.deadline.since(now);
        let free = |backend: &&Backend| {
            let busy = self.busy.get(&backend.worker).copied().unwrap_or(0);
            let grant = self.grants.get(&backend.worker);
            grant.is_some_and(|grant| now < grant.until && busy < grant.slots)
        };
        if let Some(backend) = service.backends.iter().find(free) {
            *self.busy.entry(backend.worker).or_default() += 1;
            request.worker = Some(backend.worker);
            return Some(RouteAction::Dispatch {
                req,
                worker: backend.worker,
                endpoint: backend.endpoint.clone(),
                timeout,
            });
        }
        if !service.backends.is_empty() || request.forwarded {
            return None;
        }
        let node = service.remotes.first()?.node;
        Some(RouteAction::Forward { req, node, timeout })
    }
}

fn refuse(
    cfg: &RouteConfig,
    req: ReqId,
    verdict: Verdict,
    reason: &'static str,
    out: &mut Vec<RouteAction>,
) {
    let retry_after = (verdict == Verdict::NotRun).then_some(cfg.retry_after);
    out.push(RouteAction::Refuse {
        req,
        verdict,
        reason,
        retry_after,
    });
}
