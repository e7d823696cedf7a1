//! The distribution of views: from the domain's scheduler to its nodes, and from the view that this
//! node was given to its router.

use model::{DomainId, NodeId, Size, Time};
use peer::{DomainView, PeerMsg};
use route::{GrantConfig, NodeShares};

use super::{
    Node,
    event::Action,
    peers::send_peer,
    views::{HeartbeatReport, Views},
};

impl Node {
    /// While this node schedules the domain, sends new views to its nodes at once when the backend
    /// servers change. Renews this node's own view then and at the interval of heartbeats.
    pub(super) fn refresh_views(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(scheduler) = &self.scheduler else {
            self.views = None;
            return;
        };
        let epoch = scheduler.epoch();
        let current = self.views.take().filter(|views| views.epoch() == epoch);
        let views = self.views.insert(current.unwrap_or_else(|| {
            let cfg = GrantConfig {
                term: self.cfg.lease.term,
                drift_margin: self.cfg.lease.drift_margin,
                max_request_time: self.entry.max_request_time(),
                ..GrantConfig::default()
            };
            Views::new(now, epoch, cfg)
        }));
        views.set_max_request_time(self.entry.max_request_time());
        let has_changed = views.refresh(scheduler);
        if has_changed {
            let others: Vec<NodeId> = self.members.live_in_domain(now).map(|(n, _)| n).collect();
            for node in others {
                self.send_view(now, node, out);
            }
        }
        if has_changed || now >= self.next_own_view {
            self.next_own_view = now + self.cfg.members.heartbeat_interval;
            self.apply_own_view(now);
        }
    }

    /// Returns the free capacity of the other failure domains that take new work.
    pub(super) fn free_elsewhere(&self, now: Time) -> Vec<(DomainId, Size)> {
        let config = self.config.config();
        let domains = self.members.free_elsewhere(now);
        domains
            .filter(|(domain, _)| !config.is_evacuated(*domain))
            .collect()
    }

    pub(super) fn node_shares(&self, now: Time) -> NodeShares {
        NodeShares {
            applied: self.view.applied(),
            shares: self.entry.shares(now),
        }
    }

    /// Applies the view of this node's own scheduler, which needs no message.
    pub(super) fn apply_own_view(&mut self, now: Time) {
        let shares = self.node_shares(now);
        let known_version = self.view.version();
        let (Some(views), Some(scheduler)) = (&mut self.views, &self.scheduler) else {
            return;
        };
        let seq = self.members.count_own_heartbeat(now);
        let report = HeartbeatReport {
            node: self.me.node,
            incarnation: self.me.incarnation,
            seq,
            shares: &shares,
        };
        views.heartbeat_received(now, report);
        if let Some(view) = views.view(now, self.me.node, known_version, scheduler.free()) {
            self.apply_view(now, &view);
        }
    }

    pub(super) fn send_view(&mut self, now: Time, to: NodeId, out: &mut Vec<Action>) {
        let (Some(views), Some(scheduler)) = (&mut self.views, &self.scheduler) else {
            return;
        };
        let Some(known_version) = self.members.view_of(to) else {
            return;
        };
        if let Some(view) = views.view(now, to, known_version, scheduler.free()) {
            send_peer(out, to, PeerMsg::View(view));
        }
    }

    /// Applies a view that answers a heartbeat sent at `sent`.
    pub(super) fn apply_view(&mut self, sent: Time, view: &DomainView) {
        if !self.view.apply(view) {
            return;
        }
        let until = sent + view.term;
        match &view.content {
            Some(content) => self.entry.set_view(until, content),
            None => self.entry.renew_grants(until),
        }
    }

    /// Updates the nodes of other domains to which the router can forward requests.
    pub(super) fn refresh_remotes(&mut self, now: Time) {
        if now < self.next_remotes_refresh {
            return;
        }
        self.next_remotes_refresh = now + self.cfg.members.summary_interval;
        let members = &self.members;
        self.entry
            .set_remotes(|service| members.remotes(now, service));
    }
}
