//! Selection of the next request to send and of its target, and the estimate of queueing time.

use std::time::Duration;

use model::{Class, Time};

use crate::{
    IncomingRequest, Reason, Remote, ReqId, RouteAction, Router,
    health::Health,
    request::{Request, Target},
    service::Service,
};

impl Router {
    /// Starts attempts for all queued requests that can be sent now, in fair queueing order.
    pub(crate) fn dispatch_ready(&mut self, now: Time, out: &mut Vec<RouteAction>) {
        while let Some((req, target)) = self.next_dispatch(now) {
            if self.must_not_start(req) {
                self.give_up(req, Reason::AnswerLost, None, out);
                continue;
            }
            self.remove_from_queue(req);
            out.extend(self.start_attempt(now, req, target));
        }
    }

    /// Whether the request may have run, and its service's policy became `never` while it waited for a retry.
    fn must_not_start(&self, req: ReqId) -> bool {
        let request = self.requests.get(&req);
        let service = request.and_then(|request| self.services.get(&request.service));
        request
            .zip(service)
            .is_some_and(|(request, service)| request.must_not_start(service))
    }

    /// Returns the request to send next and its target. Only the first request of each queue is considered,
    /// and the first without a claim, which may be forwarded while claimed ones wait for a local server.
    fn next_dispatch(&self, now: Time) -> Option<(ReqId, Target)> {
        let flows = self.fair.order();
        flows.iter().find_map(|flow| {
            let service = self.services.get(&flow.service)?;
            if self.max_in_flight(flow.class) <= self.in_flight {
                return None;
            }
            let mut queue = service.queue.iter().map_while(|req| self.requests.get(req));
            let first = queue.next()?;
            let unclaimed = (first.is_claimed)
                .then(|| queue.find(|request| !request.is_claimed))
                .flatten();
            [Some(first), unclaimed]
                .into_iter()
                .flatten()
                .filter(|request| now < request.start_by)
                .find_map(|request| {
                    let target = self.choose_target(now, service, request)?;
                    Some((request.id, target))
                })
        })
    }

    /// Returns the number of requests in flight below which a request of a class may be sent. A part of
    /// [`RouteConfig::max_in_flight`](crate::RouteConfig::max_in_flight) is reserved for interactive requests.
    const fn max_in_flight(&self, class: Class) -> usize {
        let max = self.cfg.max_in_flight;
        let reserved = max * self.cfg.interactive_percent as usize / 100;
        match class {
            Class::Interactive => max,
            Class::Standard | Class::Bulk => max - reserved,
        }
    }

    /// Returns where the request can be sent now: a backend server of this failure domain, or a node of
    /// another domain.
    fn choose_target(&self, now: Time, service: &Service, request: &Request) -> Option<Target> {
        if let Some(target) = self.local_target(now, service, request) {
            return Some(target);
        }
        // Another node would take the claim of a claimed request for that of an earlier one.
        if request.is_forwarded || request.is_claimed {
            return None;
        }
        // While this domain has a usable backend server, a request first waits for a slot here: for a
        // quarter of its time before it uses another domain of this region, and for half of its time
        // before it uses another region, because traffic between regions is billed.
        let waited = now.since(request.received_at);
        let max_wait = request.start_by.since(request.received_at);
        let has_usable_backend = service.backends.iter().any(|backend| {
            let health = service.health.get(&backend.worker);
            health.is_none_or(|health| health.is_usable(now))
                && self.slots.usable(now, backend.worker, service.flow.class) > 0
        });
        let may_use_same_region = !has_usable_backend || waited >= max_wait / 4;
        let may_use_other_region = !has_usable_backend || waited >= max_wait / 2;
        let remote = |is_same_region| self.remote_target(now, service, request, is_same_region);
        (may_use_same_region.then(|| remote(true)).flatten())
            .or_else(|| may_use_other_region.then(|| remote(false)).flatten())
    }

    /// Returns the least loaded backend server of this domain that has a free slot. The server of the
    /// last attempt is used only if no other server has a free slot.
    fn local_target(&self, now: Time, service: &Service, request: &Request) -> Option<Target> {
        let class = service.flow.class;
        let free = service.backends.iter().filter(|backend| {
            let health = service.health.get(&backend.worker);
            health.is_none_or(|health| health.is_usable(now))
                && self.slots.is_free(now, backend.worker, class)
        });
        let best = free.min_by_key(|backend| {
            let is_last_target = request.last_target == Some(Target::Worker(backend.worker));
            // Among equally loaded servers, the choice rotates with the request's number.
            let rotation = u64::from(backend.worker.0).wrapping_sub(request.id.0) % 1_024;
            (is_last_target, self.slots.load(backend.worker), rotation)
        })?;
        Some(Target::Worker(best.worker))
    }

    /// Returns the node with the fewest forwarded requests in flight, of this region or of other regions.
    /// The node of the last attempt is used only if no other node is usable.
    fn remote_target(
        &self,
        now: Time,
        service: &Service,
        request: &Request,
        is_same_region: bool,
    ) -> Option<Target> {
        let is_usable = |remote: &&Remote| {
            let peer = self.peers.get(&remote.node).copied().unwrap_or_default();
            remote.is_same_region == is_same_region
                && peer.in_flight < self.cfg.max_forwards_per_node
                && Health::is_usable(&peer.health, now)
        };
        let best = service
            .remotes
            .iter()
            .filter(is_usable)
            .min_by_key(|remote| {
                let node = remote.node;
                let is_other_region = !remote.is_same_region;
                let is_last_target = request.last_target
                    == Some(Target::Node {
                        node,
                        is_other_region,
                    });
                let in_flight = self.peers.get(&node).map_or(0, |peer| peer.in_flight);
                let rotation = u64::from(node.0).wrapping_sub(request.id.0) % 1_024;
                (is_last_target, in_flight, rotation)
            })?;
        Some(Target::Node {
            node: best.node,
            is_other_region: !is_same_region,
        })
    }

    /// Returns how long a new request of the service is expected to wait for a slot.
    ///
    /// The requests ahead of it are those of all more urgent services that share a backend server with
    /// its service. In its own class, the services that share a server are served in turn, so the queue
    /// of its own service is counted once per such service, up to the sum of their queues.
    pub(crate) fn expected_wait(&self, now: Time, service: &Service) -> Duration {
        let class = service.flow.class;
        let slots: u32 = service
            .backends
            .iter()
            .map(|backend| self.slots.usable(now, backend.worker, class))
            .sum();
        let mut more_urgent_us = 0;
        let mut same_class_us = 0;
        let mut sharing_services = 1;
        for flow in self.fair.backlogged().filter(|flow| **flow != service.flow) {
            let Some(other) = self.services.get(&flow.service) else {
                continue;
            };
            if !shares_server(service, other) {
                continue;
            }
            let work_us = queued_us(other);
            if flow.class > class {
                more_urgent_us += work_us;
            } else if flow.class == class {
                same_class_us += work_us;
                sharing_services += 1;
            }
        }
        let own_us = queued_us(service);
        let ahead_us = more_urgent_us + (own_us * sharing_services).min(own_us + same_class_us);
        let slots = u64::from(slots.max(1));
        let has_free_slot = service
            .backends
            .iter()
            .any(|backend| self.slots.is_free(now, backend.worker, class));
        // If no slot is free, one of the n slots is expected to become free after 1/n of a request's time.
        let first_free_us = if has_free_slot || service.backends.is_empty() {
            0
        } else {
            service.run_estimate_us() / slots
        };
        Duration::from_micros(first_free_us + ahead_us / slots)
    }

    /// Returns how much later than its deadline a new request would end, or `None` if it would end in time.
    pub(crate) fn lateness(
        &self,
        now: Time,
        service: &Service,
        incoming: &IncomingRequest,
    ) -> Option<Duration> {
        let deadline = service.policy.deadline;
        let time_left = incoming
            .time_left
            .map_or(deadline, |time_left| time_left.min(deadline));
        let run = Duration::from_micros(service.run_estimate_us()).min(time_left / 2);
        let end = self.expected_wait(now, service) + run;
        (end > time_left).then(|| end.saturating_sub(time_left))
    }
}

/// Returns the slot time that a service's queued requests are expected to use, in microseconds.
fn queued_us(service: &Service) -> u64 {
    u64::try_from(service.queue.len()).unwrap_or(0) * service.run_estimate_us()
}

/// Whether two services have a replica on the same backend server.
fn shares_server(a: &Service, b: &Service) -> bool {
    a.backends.iter().any(|backend| {
        let mut others = b.backends.iter();
        others.any(|other| other.worker == backend.worker)
    })
}
