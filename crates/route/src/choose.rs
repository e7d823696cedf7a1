//! The choice of what is sent next, and where to.

use std::time::Duration;

use model::{Class, Time};

use crate::{
    IncomingRequest, Remote, ReqId, RouteAction, Router,
    health::Health,
    request::{Request, Target},
    service::Service,
};

impl Router {
    /// Sends what can be sent now, in the order of fairness.
    pub(crate) fn pump(&mut self, now: Time, out: &mut Vec<RouteAction>) {
        while let Some((req, target)) = self.next(now) {
            if let Some(request) = self.requests.get(&req)
                && let Some(service) = self.services.get_mut(&request.service)
            {
                service.queue.pop_front();
                if service.queue.is_empty() {
                    self.fair.rest(&service.flow);
                }
            }
            out.extend(self.begin(now, req, target));
        }
    }

    fn next(&self, now: Time) -> Option<(ReqId, Target)> {
        let flows = self.fair.order();
        flows.iter().find_map(|flow| {
            let service = self.services.get(&flow.service)?;
            let req = *service.queue.front()?;
            let request = self.requests.get(&req)?;
            let room = self.room(flow.class);
            let target = (now < request.give_up && room > self.in_flight)
                .then(|| self.target(now, service, request))??;
            Some((req, target))
        })
    }

    /// How many requests of a class and those above it may be on their way.
    const fn room(&self, class: Class) -> usize {
        let most = self.cfg.max_in_flight;
        let kept = most * self.cfg.interactive_percent as usize / 100;
        match class {
            Class::Interactive => most,
            Class::Standard | Class::Bulk => most - kept,
        }
    }

    fn target(&self, now: Time, service: &Service, request: &Request) -> Option<Target> {
        if let Some(target) = self.local(now, service, request) {
            return Some(target);
        }
        if request.is_forwarded {
            return None;
        }
        // A busy domain keeps its requests for a while before another domain's slots are used, and
        // longer where that is billed.
        let waited = now.since(request.offered);
        let patience = request.give_up.since(request.offered);
        let serves = service.backends.iter().any(|backend| {
            let health = service.health.get(&backend.worker);
            health.is_none_or(|health| health.is_usable(now))
                && self.slots.usable(now, backend.worker, service.flow.class) > 0
        });
        let near = !serves || waited >= patience / 4;
        let far = !serves || waited >= patience / 2;
        let nearest = |is_same_region| self.remote(now, service, request, is_same_region);
        (near.then(|| nearest(true)).flatten()).or_else(|| far.then(|| nearest(false)).flatten())
    }

    /// The least loaded backend server of this domain with a free slot, and another one than that of
    /// the last attempt where there is one.
    fn local(&self, now: Time, service: &Service, request: &Request) -> Option<Target> {
        let class = service.flow.class;
        let free = service.backends.iter().filter(|backend| {
            let health = service.health.get(&backend.worker);
            health.is_none_or(|health| health.is_usable(now))
                && self.slots.is_free(now, backend.worker, class)
        });
        let best = free.min_by_key(|backend| {
            let again = request.last == Some(Target::Worker(backend.worker));
            // Servers of one load are taken in turn.
            let turn = u64::from(backend.worker.0).wrapping_sub(request.id.0) % 1_024;
            (again, self.slots.load(backend.worker), turn)
        })?;
        Some(Target::Worker(best.worker))
    }

    fn remote(
        &self,
        now: Time,
        service: &Service,
        request: &Request,
        is_same_region: bool,
    ) -> Option<Target> {
        let usable = |remote: &&Remote| {
            let peer = self.peers.get(&remote.node).copied().unwrap_or_default();
            remote.is_same_region == is_same_region
                && peer.in_flight < self.cfg.max_forwards_per_node
                && Health::is_usable(&peer.health, now)
        };
        let best = service.remotes.iter().filter(usable).min_by_key(|remote| {
            let node = remote.node;
            let across = !remote.is_same_region;
            let again = request.last == Some(Target::Node { node, across });
            let in_flight = self.peers.get(&node).map_or(0, |peer| peer.in_flight);
            let turn = u64::from(node.0).wrapping_sub(request.id.0) % 1_024;
            (again, in_flight, turn)
        })?;
        Some(Target::Node {
            node: best.node,
            across: !is_same_region,
        })
    }

    /// How long a new request of the service is expected to wait for a slot.
    ///
    /// Ahead of it are all requests of more urgent classes that share a server with it, and of its own
    /// class its service's queue, taken as many times as there are services that share the slots.
    pub(crate) fn expected_wait(&self, now: Time, service: &Service) -> Duration {
        let class = service.flow.class;
        let slots: u32 = service
            .backends
            .iter()
            .map(|backend| self.slots.usable(now, backend.worker, class))
            .sum();
        let mut more_urgent = 0;
        let mut same = 0;
        let mut sharing = 1;
        for flow in self.fair.waiting().filter(|flow| **flow != service.flow) {
            let Some(other) = self.services.get(&flow.service) else {
                continue;
            };
            if !shares_server(service, other) {
                continue;
            }
            let work = queued_us(other);
            if flow.class > class {
                more_urgent += work;
            } else if flow.class == class {
                same += work;
                sharing += 1;
            }
        }
        let own = queued_us(service);
        let ahead = more_urgent + (own * sharing).min(own + same);
        let slots = u64::from(slots.max(1));
        let free = service
            .backends
            .iter()
            .any(|backend| self.slots.is_free(now, backend.worker, class));
        // With no slot free, the first one comes free after a part of a request's time.
        let first = if free || service.backends.is_empty() {
            0
        } else {
            service.run_estimate_us() / slots
        };
        Duration::from_micros(first + ahead / slots)
    }

    /// How much later than its deadline a new request would end; `None` if it would end in time.
    pub(crate) fn lateness(
        &self,
        now: Time,
        service: &Service,
        offer: &IncomingRequest,
    ) -> Option<Duration> {
        let deadline = service.policy.deadline;
        let within = offer
            .time_left
            .map_or(deadline, |within| within.min(deadline));
        let run = Duration::from_micros(service.run_estimate_us()).min(within / 2);
        let end = self.expected_wait(now, service) + run;
        (end > within).then(|| end.saturating_sub(within))
    }
}

fn queued_us(service: &Service) -> u64 {
    u64::try_from(service.queue.len()).unwrap_or(0) * service.run_estimate_us()
}

fn shares_server(a: &Service, b: &Service) -> bool {
    a.backends.iter().any(|backend| {
        let mut others = b.backends.iter();
        others.any(|other| other.worker == backend.worker)
    })
}
