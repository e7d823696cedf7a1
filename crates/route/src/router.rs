//! The request router of one node.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Class, NodeId, Repeat, Time, Verdict, WorkerId};

use crate::{
    Backend, Grant, IncomingRequest, Reason, Refusal, Remote, ReqId, RouteAction, RouteConfig,
    RouteDump, ServiceCounters, ServicePolicy, ShareReport,
    budget::Jitter,
    fair::{FairOrder, Flow},
    health::{Health, as_us},
    request::Request,
    service::Service,
    slots::Slots,
};

/// The router's state of another node.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Peer {
    pub(crate) health: Health,
    /// The requests that are forwarded to the node and have not ended.
    pub(crate) in_flight: u32,
}

/// Decides where one node sends the requests of its callers.
///
/// Each request ends with exactly one of: the end of an attempt whose answer was passed on, or a
/// [`RouteAction::Refuse`] or [`RouteAction::Answer`].
#[derive(Clone, Debug)]
pub struct Router {
    pub(crate) cfg: RouteConfig,
    pub(crate) services: BTreeMap<String, Service>,
    pub(crate) slots: Slots,
    pub(crate) peers: BTreeMap<NodeId, Peer>,
    pub(crate) fair: FairOrder,
    pub(crate) requests: BTreeMap<ReqId, Request>,
    /// The times at which requests have to be handled again, in ascending order.
    pub(crate) timers: BTreeSet<(Time, ReqId)>,
    /// The number of attempts and claims in flight.
    pub(crate) in_flight: usize,
    pub(crate) jitter: Jitter,
    is_closed: bool,
}

impl Router {
    /// Creates a router without any service.
    #[must_use]
    pub fn new(cfg: RouteConfig) -> Self {
        Self {
            slots: Slots::new(cfg.interactive_percent),
            services: BTreeMap::new(),
            peers: BTreeMap::new(),
            fair: FairOrder::default(),
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            in_flight: 0,
            jitter: Jitter::new(cfg.seed),
            is_closed: false,
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
                self.fair.remove(&service.flow);
                if !service.queue.is_empty() {
                    self.fair.set_backlogged(&flow);
                }
                service.flow = flow;
            }
            service.policy = policy;
        } else {
            let service = Service::new(flow, policy, as_us(self.cfg.run_time));
            self.services.insert(name.to_owned(), service);
        }
        self.update_interactive_workers();
    }

    /// Removes a service. Its queued requests are refused; its requests in flight continue.
    pub fn remove_service(&mut self, name: &str, out: &mut Vec<RouteAction>) {
        let Some(service) = self.services.get(name) else {
            return;
        };
        let waiting: Vec<ReqId> = service.queue.iter().copied().collect();
        for req in waiting {
            self.give_up(req, Reason::NoSuchService, None, out);
        }
        if let Some(service) = self.services.remove(name) {
            self.fair.remove(&service.flow);
        }
        self.update_interactive_workers();
    }

    /// Replaces the list of a service's backend servers. A server that is not in the list gets no new
    /// requests; its requests in flight continue.
    pub fn set_backends(&mut self, name: &str, backends: Vec<Backend>) {
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.backends = backends;
        let workers = service.backends.iter().map(|backend| backend.worker);
        let workers: BTreeSet<WorkerId> = workers.collect();
        service.health.retain(|worker, _| workers.contains(worker));
        self.update_interactive_workers();
    }

    /// Replaces the list of nodes to which a service's requests can be forwarded.
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

    /// Extends this node's shares of all backend servers to `until`.
    pub fn renew_grants(&mut self, until: Time) {
        self.slots.renew(until);
    }

    /// Returns the slots that this node holds, uses and wants at each backend server.
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

    /// Refuses new requests from now on. Open requests continue.
    pub fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether new requests are refused.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Whether a request has no final answer yet.
    #[must_use]
    pub fn is_open(&self, req: ReqId) -> bool {
        self.requests.contains_key(&req)
    }

    /// Returns the number of requests that have no final answer yet.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the counters of a service, which are all 0 if there is no such service.
    #[must_use]
    pub fn counters(&self, service: &str) -> ServiceCounters {
        let service = self.services.get(service);
        service.map(|service| service.counters).unwrap_or_default()
    }

    /// Returns the state of the router for the dump.
    #[must_use]
    pub fn dump(&self) -> RouteDump {
        let services = self.services.iter();
        RouteDump {
            open: self.requests.len(),
            in_flight: self.in_flight,
            closed: self.is_closed,
            services: services
                .map(|(name, service)| (name.clone(), service.dump()))
                .collect(),
        }
    }

    /// Handles a new request: refuses it, or queues it and starts all attempts that can be started.
    pub fn submit(&mut self, now: Time, incoming: &IncomingRequest, out: &mut Vec<RouteAction>) {
        let refusal = match self.services.get_mut(&incoming.service) {
            // The service may have been published a moment ago and not have reached this node yet.
            None => Some((Reason::NoSuchService, Some(self.cfg.retry_after))),
            Some(service) => {
                service.counters.offered += 1;
                service.budget.deposit(&self.cfg);
                self.refusal(now, incoming)
            }
        };
        if let Some((reason, retry_after)) = refusal {
            self.refuse_incoming(incoming, reason, retry_after, out);
            return;
        }
        let Some(service) = self.services.get_mut(&incoming.service) else {
            return;
        };
        let deadline = service.policy.deadline;
        let time_left = incoming
            .time_left
            .map_or(deadline, |time_left| time_left.min(deadline));
        let run = Duration::from_micros(service.run_estimate_us());
        let request = Request::new(now, incoming, time_left, run.min(time_left / 2));
        self.timers.insert((request.timer_at, incoming.req));
        self.requests.insert(incoming.req, request);
        service.queue.push_back(incoming.req);
        self.fair.set_backlogged(&service.flow);
        self.dispatch_ready(now, out);
    }

    /// Returns why a new request is refused and when it may be sent again, or `None` if it is accepted.
    fn refusal(
        &mut self,
        now: Time,
        incoming: &IncomingRequest,
    ) -> Option<(Reason, Option<Duration>)> {
        let service = self.services.get(&incoming.service)?;
        if self.is_closed {
            return Some((Reason::ShuttingDown, Some(self.cfg.retry_after)));
        }
        if service.policy.repeat == Repeat::Never && incoming.key.is_none() {
            return Some((Reason::KeyMissing, None));
        }
        if service.queue.len() >= self.cfg.max_queue_len {
            let wait = self.expected_wait(now, service);
            return Some((Reason::Overloaded, Some(self.retry_after(wait))));
        }
        let late = self.lateness(now, service, incoming)?;
        Some((Reason::Overloaded, Some(self.retry_after(late))))
    }

    /// Returns when a refused caller may send its request again: after `wait`, in which the queue is
    /// expected to become short enough, plus jitter, so that refused callers do not all return at once.
    pub(crate) fn retry_after(&mut self, wait: Duration) -> Duration {
        let wait = wait.clamp(self.cfg.retry_after, self.cfg.max_retry_after);
        wait + self.jitter.duration_up_to(wait / 4)
    }

    fn refuse_incoming(
        &mut self,
        incoming: &IncomingRequest,
        reason: Reason,
        retry_after: Option<Duration>,
        out: &mut Vec<RouteAction>,
    ) {
        if let Some(service) = self.services.get_mut(&incoming.service) {
            service.counters.not_run += 1;
        }
        out.push(RouteAction::Refuse(Refusal {
            req: incoming.req,
            verdict: Verdict::NotRun,
            reason,
            retry_after,
        }));
    }

    /// Updates the list of backend servers with a replica of an interactive service.
    fn update_interactive_workers(&mut self) {
        let services = self.services.values();
        let interactive = services.filter(|service| service.policy.class == Class::Interactive);
        let workers = interactive.flat_map(|service| &service.backends);
        let workers = workers.map(|backend| backend.worker).collect();
        self.slots.set_interactive_workers(workers);
    }
}
