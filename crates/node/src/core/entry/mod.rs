//! The handling of callers' requests at a node: the router, the view that it was given by the domain's
//! scheduler, and the claims of requests that must not be repeated.

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

use self::claims::{ClaimOutcome, Claims};
use super::{calls::Cx, event::Action};

/// The time for which a node that shuts down still accepts requests.
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// The time for which a node that no longer accepts requests still answers them with refusals.
const REFUSE_DURATION: Duration = Duration::from_secs(1);

/// The router of a node with the state that feeds it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    router: Router,
    claims: Claims,
    services: BTreeSet<String>,
    max_request_time: Duration,
    recalled: BTreeSet<WorkerId>,
    view: ViewContent,
    /// The time from which a node that shuts down accepts no more requests.
    close_at: Option<Time>,
}

impl Entry {
    pub(crate) fn new(cfg: RouteConfig) -> Self {
        Self {
            router: Router::new(cfg),
            claims: Claims::default(),
            services: BTreeSet::new(),
            max_request_time: Duration::ZERO,
            recalled: BTreeSet::new(),
            view: ViewContent::default(),
            close_at: None,
        }
    }

    /// Begins to drain the node. New requests are served for [`DRAIN_GRACE`], in which the platform's
    /// balancer sees that the node is not ready, and are refused from then on.
    pub(crate) fn start_drain(&mut self, now: Time) {
        self.close_at = Some(now + DRAIN_GRACE);
    }

    /// Whether the process can exit without cutting off a request.
    ///
    /// Requests forwarded by other nodes may still arrive after the router has closed. They are refused
    /// for [`REFUSE_DURATION`], so that the sender gets an answer rather than a broken connection.
    pub(crate) fn is_drained(&self, now: Time) -> bool {
        let is_past_refusal = self
            .close_at
            .is_some_and(|close_at| now >= close_at + REFUSE_DURATION);
        is_past_refusal && self.router.is_closed() && self.router.in_flight() == 0
    }

    /// The longest deadline that any service has had so far.
    pub(crate) const fn max_request_time(&self) -> Duration {
        self.max_request_time
    }

    /// The shares of the domain's backend servers that this node holds, uses and wants.
    pub(crate) fn shares(&self, now: Time) -> Vec<ShareReport> {
        self.router.shares(now)
    }

    pub(crate) fn dump(&self) -> RouteDump {
        self.router.dump()
    }

    /// Applies the services and recalls of a new version of the configuration.
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
                self.max_request_time = self.max_request_time.max(requests.deadline);
                self.router.set_service(&unit.name, policy);
                services.insert(unit.name.clone());
            }
        }
        let mut actions = Vec::new();
        for removed in self.services.difference(&services) {
            self.router.remove_service(removed, &mut actions);
        }
        self.services = services;
        self.recalled = recalled_workers(config);
        self.set_backends();
        self.carry_out(cx, actions);
    }

    /// Applies the content of a view, whose grants are valid up to `until`.
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

    /// Extends the present grants up to `until`.
    pub(crate) fn renew_grants(&mut self, until: Time) {
        self.router.renew_grants(until);
    }

    /// Passes the backend servers to the router, without those on recalled workers: these get no new
    /// requests from now on, even if the scheduler still lists them.
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

    /// Sets the nodes of other domains to which the requests of each service can be forwarded.
    pub(crate) fn set_remotes(&mut self, remotes: impl Fn(&str) -> Vec<Remote>) {
        for service in &self.services {
            self.router.set_remotes(service, remotes(service));
        }
    }

    pub(crate) fn submit(&mut self, cx: &mut Cx<'_>, req: &IncomingRequest) {
        let mut actions = Vec::new();
        self.router.submit(cx.now, req, &mut actions);
        self.carry_out(cx, actions);
    }

    pub(crate) fn attempt_finished(&mut self, cx: &mut Cx<'_>, end: &AttemptEnd) {
        let mut actions = Vec::new();
        self.router.attempt_finished(cx.now, end, &mut actions);
        self.carry_out(cx, actions);
        if !self.router.is_open(end.req) {
            self.claims.release(end.req);
        }
    }

    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        if self.close_at.is_some_and(|close_at| cx.now >= close_at) {
            self.router.close();
        }
        let outcomes = self.claims.tick(cx);
        self.notify_router(cx, outcomes);
        let mut actions = Vec::new();
        self.router.tick(cx.now, &mut actions);
        self.carry_out(cx, actions);
    }

    /// Handles the settlement of a change to a claim.
    pub(crate) fn claim_settled(&mut self, cx: &mut Cx<'_>, req: ReqId, settlement: &Settlement) {
        let outcomes = self.claims.settled(cx, req, settlement);
        self.notify_router(cx, outcomes);
    }

    /// Handles the read of a claim's row.
    pub(crate) fn claim_read(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<TableResp, StoreError>,
    ) {
        let outcomes = self.claims.row_read(cx, req, result);
        self.notify_router(cx, outcomes);
    }

    /// Handles the object store's answer for a claim.
    pub(crate) fn claim_object(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<ObjectResp, StoreError>,
    ) {
        let outcomes = self.claims.object_answered(cx, req, result);
        self.notify_router(cx, outcomes);
    }

    fn notify_router(&mut self, cx: &mut Cx<'_>, outcomes: Vec<(ReqId, ClaimOutcome)>) {
        for (req, outcome) in outcomes {
            let mut actions = Vec::new();
            match outcome {
                ClaimOutcome::Claim(result) => {
                    self.router
                        .claim_finished(cx.now, req, result, &mut actions);
                }
                ClaimOutcome::Void(is_void) => {
                    self.router
                        .void_finished(cx.now, req, is_void, &mut actions);
                }
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
                        self.notify_router(cx, vec![(req, ClaimOutcome::Claim(result))]);
                    }
                }
                RouteAction::VoidClaim(req) => {
                    if !self.claims.void(cx, req) {
                        self.notify_router(cx, vec![(req, ClaimOutcome::Void(false))]);
                    }
                }
                RouteAction::KeepAnswer(req, answer) => self.claims.keep_answer(cx, req, answer),
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
