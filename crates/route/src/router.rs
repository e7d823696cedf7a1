//! The router of one node.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};

use crate::{
    Backend, Grant, IncomingRequest, Reason, Refusal, Remote, ReqId, RouteAction, RouteConfig,
    RouteDump, ServiceCounters, ServicePolicy, ShareReport,
    budget::Jitter,
    fair::{Fair, Flow},
    health::{Health, as_us},
    request::Request,
    service::Service,
    slots::Slots,
};

/// Another node as the router knows it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) health: Health,
    pub(crate) in_flight: u32,
}

/// Decides where callers' requests go from one node.
///
/// Each request ends with exactly one of: the end of an attempt whose answer was passed on, or a
/// [`RouteAction::Refuse`] or [`RouteAction::Answer`].
#[derive(Clone, Debug)]
pub struct Router {
    pub(crate) cfg: RouteConfig,
    pub(crate) services: BTreeMap<String, Service>,
    pub(crate) slots: Slots,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    pub(crate) fair: Fair,
    pub(crate) requests: BTreeMap<ReqId, Request>,
    /// When each request is next looked at, if nothing happens to it before.
    pub(crate) timers: BTreeSet<(Time, ReqId)>,
    pub(crate) in_flight: usize,
    pub(crate) jitter: Jitter,
    closed: bool,
}

impl Router {
    /// A router that knows no service.
    #[must_use]
    pub fn new(cfg: RouteConfig) -> Self {
        Self {
            slots: Slots::new(cfg.interactive_percent),
            services: BTreeMap::new(),
            peers: BTreeMap::new(),
            fair: Fair::default(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            in_flight: 0,
            jitter: Jitter::new(cfg.seed),
            closed: false,
            cfg,
        }
    }

    /// Adds a service or changes its policy.
    pub fn set_service(&mut self, name: &str, policy: ServicePolicy) {
        let flow = Flow {
            class: policy.class,
            team: policy.team.clone(),
            service: name.to_owned(),
        };
        if let Some(service) = self.services.get_mut(name) {
            if service.flow != flow {
                self.fair.forget(&service.flow);
                if !service.queue.is_empty() {
                    self.fair.wait(&flow);
                }
                service.flow = flow;
            }
            service.policy = policy;
        } else {
            let service = Service::new(flow, policy, as_us(self.cfg.run_time));
            self.services.insert(name.to_owned(), service);
        }
        self.find_interactive();
    }

    /// Removes a service: what waits for it is refused, what runs goes on.
    pub fn remove_service(&mut self, name: &str, out: &mut Vec<RouteAction>) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        let waiting: Vec<ReqId> = service.queue.iter().copied().collect();
        for req in waiting {
            self.give_up(req, Reason::NoSuchService, None, out);
        }
        if let Some(service) = self.services.remove(name) {
            self.fair.forget(&service.flow);
        }
        self.find_interactive();
    }

    /// Replaces the list of a service's backend servers. One that is missing gets no new request from
    /// now on; requests in flight there go on.
    pub fn set_backends(&mut self, name: &str, backends: Vec<Backend>) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.backends = backends;
        let workers = service.backends.iter().map(|backend| backend.worker);
        let workers: BTreeSet<WorkerId> = workers.collect();
        service.health.retain(|worker, _| workers.contains(worker));
        self.find_interactive();
    }

    /// Replaces the list of nodes to which a service's requests can be passed.
    pub fn set_remotes(&mut self, name: &str, remotes: Vec<Remote>) {
        if let Some(service) = self.services.get_mut(name) {
            service.remotes = remotes;
        }
    }

    /// Replaces this node's share of one backend server.
    pub fn set_grant(&mut self, worker: WorkerId, grant: Grant) {
        self.slots.set_grant(worker, grant);
    }

    /// Replaces this node's shares of all backend servers.
    pub fn set_grants(&mut self, grants: BTreeMap<WorkerId, Grant>) {
        self.slots.set_grants(grants);
    }

    /// Prolongs all shares.
    pub fn renew_grants(&mut self, until: Time) {
        self.slots.renew(until);
    }

    /// What this node holds, uses and wants of each backend server.
    #[must_use]
    pub fn shares(&self, now: Time) -> Vec<ShareReport> {
        let mut queued: BTreeMap<WorkerId, u32> = BTreeMap::new();
        for service in self.services.values() {
            let part = service.queue.len().div_ceil(service.backends.len().max(1));
            for backend in &service.backends {
                *queued.entry(backend.worker).or_default() += u32::try_from(part).unwrap_or(0);
            }
        }
        self.slots.report(now, &queued)
    }

    /// Refuses new requests from now on; those that are here go on.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether new requests are refused.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Whether a request has no final answer yet.
    #[must_use]
    pub fn is_open(&self, req: ReqId) -> bool {
        self.requests.contains_key(&req)
    }

    /// How many requests have no final answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Counts of one service.
    #[must_use]
    pub fn counters(&self, service: &str) -> ServiceCounters {
        let service = self.services.get(service);
        service.map(|service| service.counters).unwrap_or_default()
    }

    /// The router's state.
    #[must_use]
    pub fn dump(&self) -> RouteDump {
        let services = self.services.iter();
        RouteDump {
            open: self.requests.len(),
            in_flight: self.in_flight,
            closed: self.closed,
            services: services
                .map(|(name, service)| (name.clone(), service.dump()))
                .collect(),
        }
    }

    /// Takes a caller's request.
    pub fn submit(&mut self, now: Time, offer: &IncomingRequest, out: &mut Vec<RouteAction>) {
        let refusal = match self.services.get_mut(&offer.service) {
            // It may have been published a moment ago, and not be known here yet.
            None => Some((Reason::NoSuchService, Some(self.cfg.retry_after))),
            Some(service) => {
                service.counters.offered += 1;
                service.budget.pay_in(&self.cfg);
                self.refusal(now, offer)
            }
        };
        if let Some((reason, retry_after)) = refusal {
            self.refuse_offer(offer, reason, retry_after, out);
            return;
        }
        let Some(service) = self.services.get_mut(&offer.service) else {
            return;
        };
        let deadline = service.policy.deadline;
        let within = offer
            .time_left
            .map_or(deadline, |within| within.min(deadline));
        let run = Duration::from_micros(service.run_estimate_us());
        let request = Request::new(now, offer, within, run.min(within / 2));
        self.timers.insert((request.timer, offer.req));
        self.requests.insert(offer.req, request);
        service.queue.push_back(offer.req);
        self.fair.wait(&service.flow);
        self.pump(now, out);
    }

    fn refusal(
        &mut self,
        now: Time,
        offer: &IncomingRequest,
    ) -> Option<(Reason, Option<Duration>)> {
        let service = self.services.get(&offer.service)?;
        if self.closed {
            return Some((Reason::ShuttingDown, Some(self.cfg.retry_after)));
        }
        if service.policy.repeat == Repeat::Never && offer.key.is_none() {
            return Some((Reason::KeyMissing, None));
        }
        if service.queue.len() >= self.cfg.max_queue_len {
            let wait = self.expected_wait(now, service);
            return Some((Reason::Overloaded, Some(self.retry_after(wait))));
        }
        let late = self.lateness(now, service, offer)?;
        Some((Reason::Overloaded, Some(self.retry_after(late))))
    }

    /// When a refused caller may come back: once the queue is expected to be short enough, spread out
    /// so that refused callers do not all come back together.
    pub(crate) fn retry_after(&mut self, wait: Duration) -> Duration {
        let wait = wait.clamp(self.cfg.retry_after, self.cfg.max_retry_after);
        wait + self.jitter.span(wait / 4)
    }

    fn refuse_offer(
        &mut self,
        offer: &IncomingRequest,
        reason: Reason,
        retry_after: Option<Duration>,
        out: &mut Vec<RouteAction>,
    ) {
        if let Some(service) = self.services.get_mut(&offer.service) {
            service.counters.not_run += 1;
        }
        out.push(RouteAction::Refuse(Refusal {
            req: offer.req,
            verdict: Verdict::NotRun,
            reason,
            retry_after,
        }));
    }

    fn find_interactive(&mut self) {
        let services = self.services.values();
        let interactive = services.filter(|service| service.policy.class == Class::Interactive);
        let workers = interactive.flat_map(|service| &service.backends);
        let workers = workers.map(|backend| backend.worker).collect();
        self.slots.set_interactive(workers);
    }
}
