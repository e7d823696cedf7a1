//! Callers' requests at a node: the router, and what it knows from the domain's scheduler.

use std::{collections::BTreeMap, time::Duration};

use config::Config;
use model::{Kind, Time};
use peer::{GrantView, ViewContent};
use route::{
    Backend, Grant, Offer, Outcome, Remote, ReqId, RouteAction, RouteConfig, Router, ServicePolicy,
    ShareReport,
};

use super::event::Action;

/// The router of a node with its owner's part.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    router: Router,
    services: Vec<String>,
    request_max: Duration,
    grants: Vec<GrantView>,
}

impl Entry {
    pub(crate) fn new(cfg: RouteConfig) -> Self {
        Self {
            router: Router::new(cfg),
            services: Vec::new(),
            request_max: Duration::ZERO,
            grants: Vec::new(),
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
                self.request_max = self.request_max.max(requests.deadline);
                self.router.set_service(&unit.name, policy);
                self.services.push(unit.name.clone());
            }
        }
    }

    /// Takes the content of a view, whose grants hold up to `until`.
    pub(crate) fn set_view(&mut self, until: Time, content: &ViewContent) {
        self.grants.clone_from(&content.grants);
        self.renew_grants(until);
        let mut backends: BTreeMap<&str, Vec<Backend>> = BTreeMap::new();
        for backend in &content.backends {
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

    /// Lets the present grants hold up to `until`.
    pub(crate) fn renew_grants(&mut self, until: Time) {
        for grant in &self.grants {
            let share = Grant {
                slots: grant.slots,
                connections: grant.connections,
                until,
            };
            self.router.set_grant(grant.worker, share);
        }
    }

    /// The longest deadline of the services' requests.
    pub(crate) fn request_max(&self) -> Duration {
        self.request_max
    }

    /// What this node holds, uses and wants of the domain's backend servers.
    pub(crate) fn shares(&self, now: Time) -> Vec<ShareReport> {
        self.router.shares(now)
    }

    /// Takes the nodes of other domains that can serve.
    pub(crate) fn set_remotes(&mut self, remotes: impl Fn(&str) -> Vec<Remote>) {
        for service in &self.services {
            self.router.set_remotes(service, remotes(service));
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
