//! Callers' requests at a node: the router, and what it knows from the domain's scheduler.

use std::collections::BTreeMap;

use config::Config;
use model::{Kind, Time};
use peer::DomainView;
use route::{
    Backend, Grant, Offer, Outcome, ReqId, RouteAction, RouteConfig, Router, ServicePolicy,
};

use super::event::Action;

/// The router of a node with its owner's part.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    router: Router,
    services: Vec<String>,
}

impl Entry {
    pub(crate) fn new(cfg: RouteConfig) -> Self {
        Self {
            router: Router::new(cfg),
            services: Vec::new(),
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.router.in_flight()
    }

    /// Takes the services of a new version of the configuration.
    pub(crate) fn set_config(&mut self, config: &Config) {
        self.services.clear();
        for unit in config.units().values() {
            if let Kind::Service { requests, .. } = unit.kind {
                let policy = ServicePolicy {
                    class: unit.class,
                    repeat: requests.repeat,
                    deadline: requests.deadline,
                };
                self.router.set_service(&unit.name, policy);
                self.services.push(unit.name.clone());
            }
        }
    }

    /// Takes what the domain's scheduler lets this node serve. `sent` is when the heartbeat was sent
    /// that the view answers: the scheduler counts the grants' term from later than that.
    pub(crate) fn set_view(&mut self, sent: Time, view: &DomainView) {
        for grant in &view.grants {
            let share = Grant {
                slots: grant.slots,
                connections: grant.connections,
                until: sent + view.term,
            };
            self.router.set_grant(grant.worker, share);
        }
        let mut backends: BTreeMap<&str, Vec<Backend>> = BTreeMap::new();
        for backend in &view.backends {
            let list = backends.entry(&backend.service).or_default();
            list.push(Backend {
                worker: backend.worker,
                endpoint: backend.endpoint.clone(),
            });
        }
        for service in &self.services {
            let list = backends.remove(service.as_str()).unwrap_or_default();
            self.router.set_backends(service, list);
        }
    }

    pub(crate) fn offer(&mut self, now: Time, offer: &Offer, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.router.offer(now, offer, &mut actions);
        carry_out(actions, out);
    }

    pub(crate) fn finished(
        &mut self,
        now: Time,
        req: ReqId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        self.router.finished(now, req, outcome, &mut actions);
        carry_out(actions, out);
    }

    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.router.tick(now, &mut actions);
        carry_out(actions, out);
    }
}

fn carry_out(actions: Vec<RouteAction>, out: &mut Vec<Action>) {
    for action in actions {
        out.push(match action {
            RouteAction::Dispatch {
                req,
                worker,
                endpoint,
                timeout,
            } => Action::Dispatch {
                req,
                worker,
                endpoint,
                timeout,
            },
            RouteAction::Forward { req, node, timeout } => Action::Forward { req, node, timeout },
            RouteAction::Refuse {
                req,
                verdict,
                reason,
                retry_after,
            } => Action::Refuse {
                req,
                verdict,
                reason,
                retry_after,
            },
            RouteAction::Claim { .. } => continue,
        });
    }
}
