//! Callers' requests at a node: the router, what it knows from the domain's scheduler, and the claims
//! of requests that must not be repeated.

mod claims;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use config::{Config, RecallTarget};
use model::{Kind, Time, WorkerId};
use peer::{GrantView, ViewContent};
use route::{
    AttemptEnd, Backend, Grant, IncomingRequest, Remote, ReqId, RouteAction, RouteConfig,
    RouteDump, Router, ServicePolicy, ShareReport,
};
use store::{ObjectResp, Settlement, StoreError, TableResp};

use self::claims::{Claims, Told};
use super::{calls::Cx, event::Action};

/// How long a node that shuts down still takes requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// How long a node that has closed goes on refusing what still comes.
const REFUSE_FOR: Duration = Duration::from_secs(1);

/// The router of a node with its owner's part.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    router: Router,
    claims: Claims,
    services: BTreeSet<String>,
    request_max: Duration,
    recalled: BTreeSet<WorkerId>,
    view: ViewContent,
    /// When a node that shuts down takes no more requests.
    closes: Option<Time>,
}

impl Entry {
    pub(crate) fn new(cfg: RouteConfig) -> Self {
        Self {
            router: Router::new(cfg),
            claims: Claims::default(),
            services: BTreeSet::new(),
            request_max: Duration::ZERO,
            recalled: BTreeSet::new(),
            view: ViewContent::default(),
            closes: None,
        }
    }

    /// Begins to drain: requests that still come here are served until the platform's balancer has had
    /// the time to see that the node is not ready, and refused from then on.
    pub(crate) fn leave(&mut self, now: Time) {
        self.closes = Some(now + DRAIN_GRACE);
    }

    /// Whether nothing is cut off if the process ends now.
    ///
    /// What other nodes pass on may still be on its way when the router closes: it is refused for a
    /// while, so that its sender gets an answer in place of a broken connection.
    pub(crate) fn is_drained(&self, now: Time) -> bool {
        let closed_for_long = self.closes.is_some_and(|closes| now >= closes + REFUSE_FOR);
        closed_for_long && self.router.is_closed() && self.router.in_flight() == 0
    }

    /// The longest deadline that requests have had.
    pub(crate) const fn request_max(&self) -> Duration {
        self.request_max
    }

    /// What this node holds, uses and wants of the domain's backend servers.
    pub(crate) fn shares(&self, now: Time) -> Vec<ShareReport> {
        self.router.shares(now)
    }

    pub(crate) fn dump(&self) -> RouteDump {
        self.router.dump()
    }

    /// Takes the services of a new version of the configuration.
    pub(crate) fn set_config(&mut self, cx: &mut Cx<'_>, config: &Config) {
        let mut services = BTreeSet::new();
        for unit in config.units().values() {
            if let Kind::Service { requests, .. } = unit.kind {
                let policy = ServicePolicy {
                    team: unit.team.clone(),
                    class: unit.class,
                    repeat: requests.repeat,
                    deadline: requests.deadline,
                };
                self.request_max = self.request_max.max(requests.deadline);
                self.router.set_service(&unit.name, policy);
                services.insert(unit.name.clone());
            }
        }
        let mut actions = Vec::new();
        for gone in self.services.difference(&services) {
            self.router.remove_service(gone, &mut actions);
        }
        self.services = services;
        self.recalled = recalled_workers(config);
        self.set_backends();
        self.carry_out(cx, actions);
    }

    /// Takes the content of a view, whose grants hold up to `until`.
    pub(crate) fn set_view(&mut self, until: Time, content: &ViewContent) {
        self.view = content.clone();
        let share = |grant: &GrantView| {
            let share = Grant {
                slots: grant.slots,
                connections: grant.connections,
                until,
            };
            (grant.worker, share)
        };
        let grants = self.view.grants.iter().map(share).collect();
        self.router.set_grants(grants);
        self.set_backends();
    }

    /// Lets the present grants hold up to `until`.
    pub(crate) fn renew_grants(&mut self, until: Time) {
        self.router.renew_grants(until);
    }

    /// A worker that is recalled gets no new request at once, whatever the scheduler says.
    fn set_backends(&mut self) {
        let mut backends: BTreeMap<&str, Vec<Backend>> = BTreeMap::new();
        let open = |worker: &WorkerId| !self.recalled.contains(worker);
        for backend in self.view.backends.iter().filter(|b| open(&b.worker)) {
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

    /// Takes the nodes of other domains that can serve.
    pub(crate) fn set_remotes(&mut self, remotes: impl Fn(&str) -> Vec<Remote>) {
        for service in &self.services {
            self.router.set_remotes(service, remotes(service));
        }
    }

    pub(crate) fn offer(&mut self, cx: &mut Cx<'_>, offer: &IncomingRequest) {
        let mut actions = Vec::new();
        self.router.submit(cx.now, offer, &mut actions);
        self.carry_out(cx, actions);
    }

    pub(crate) fn finished(&mut self, cx: &mut Cx<'_>, end: &AttemptEnd) {
        let mut actions = Vec::new();
        self.router.attempt_finished(cx.now, end, &mut actions);
        self.carry_out(cx, actions);
        if !self.router.is_open(end.req) {
            self.claims.release(end.req);
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        if self.closes.is_some_and(|closes| cx.now >= closes) {
            self.router.close();
        }
        let told = self.claims.tick(cx);
        self.tell(cx, told);
        let mut actions = Vec::new();
        self.router.tick(cx.now, &mut actions);
        self.carry_out(cx, actions);
    }

    /// A change of a claim is settled.
    pub(crate) fn claim_settled(&mut self, cx: &mut Cx<'_>, req: ReqId, settlement: &Settlement) {
        let told = self.claims.settled(cx, req, settlement);
        self.tell(cx, told);
    }

    /// A claim's row was read.
    pub(crate) fn claim_read(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<TableResp, StoreError>,
    ) {
        let told = self.claims.row_read(cx, req, result);
        self.tell(cx, told);
    }

    /// The object store has answered for a claim.
    pub(crate) fn claim_object(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<ObjectResp, StoreError>,
    ) {
        let told = self.claims.object_answered(cx, req, result);
        self.tell(cx, told);
    }

    fn tell(&mut self, cx: &mut Cx<'_>, told: Vec<(ReqId, Told)>) {
        for (req, told) in told {
            let mut actions = Vec::new();
            match told {
                Told::Claim(result) => {
                    self.router
                        .claim_finished(cx.now, req, result, &mut actions);
                }
                Told::Void(done) => self.router.void_finished(cx.now, req, done, &mut actions),
            }
            self.carry_out(cx, actions);
        }
    }

    fn carry_out(&mut self, cx: &mut Cx<'_>, actions: Vec<RouteAction>) {
        for action in actions {
            match action {
                RouteAction::Dispatch(dispatch) => cx.out.push(Action::Dispatch(dispatch)),
                RouteAction::Forward(forward) => cx.out.push(Action::Forward(forward)),
                RouteAction::Refuse(refuse) => {
                    self.claims.release(refuse.req);
                    cx.out.push(Action::Refuse(refuse));
                }
                RouteAction::Answer(req, answer) => cx.out.push(Action::Answer(req, answer)),
                RouteAction::Claim {
                    req,
                    service,
                    key,
                    fingerprint,
                } => {
                    let result = self.claims.claim(cx, req, &service, &key, fingerprint);
                    if let Some(result) = result {
                        self.tell(cx, vec![(req, Told::Claim(result))]);
                    }
                }
                RouteAction::VoidClaim(req) => {
                    if !self.claims.void(cx, req) {
                        self.tell(cx, vec![(req, Told::Void(false))]);
                    }
                }
                RouteAction::KeepAnswer(req, answer) => self.claims.keep(cx, req, answer),
            }
        }
    }
}

fn recalled_workers(config: &Config) -> BTreeSet<WorkerId> {
    let recalls = config.recalls().keys();
    let workers = recalls.filter_map(|recall| match recall {
        RecallTarget::Worker(worker) => Some(*worker),
        RecallTarget::Batch(_) | RecallTarget::Setting { .. } => None,
    });
    workers.collect()
}
