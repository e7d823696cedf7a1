//! What the domain's nodes may serve: a scheduler's views on their way to its nodes, and the view that
//! this node was given on its way to the router.

use model::{DomainId, NodeId, Size, Time};
use peer::{DomainView, PeerMsg};
use route::{GrantConfig, NodeShares};

use super::{
    Node,
    event::Action,
    peers::send_peer,
    views::{Beat, Views},
};

impl Node {
    /// While this node schedules the domain: tells its nodes at once of a change of backend servers, and
    /// itself each second.
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
                max_request_time: self.entry.request_max(),
                ..GrantConfig::default()
            };
            Views::new(now, epoch, cfg)
        }));
        views.set_request_max(self.entry.request_max());
        let changed = views.refresh(scheduler);
        if changed {
            let others: Vec<NodeId> = self.members.live_in_domain(now).map(|(n, _)| n).collect();
            for node in others {
                self.send_view(now, node, out);
            }
        }
        if changed || now >= self.next_own_view {
            self.next_own_view = now + self.cfg.members.heartbeat_interval;
            self.take_own_view(now);
        }
    }

    /// What other failure domains have free that take new work.
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

    /// Takes the view of this node's own scheduler, which needs no message.
    pub(super) fn take_own_view(&mut self, now: Time) {
        let shares = self.node_shares(now);
        let has = self.view.version();
        let (Some(views), Some(scheduler)) = (&mut self.views, &self.scheduler) else {
            return;
        };
        let seq = self.members.own_beat(now);
        let beat = Beat {
            node: self.me.node,
            start: self.me.incarnation,
            seq,
            shares: &shares,
        };
        views.heard(now, beat);
        if let Some(view) = views.view(now, self.me.node, has, scheduler.free()) {
            self.take_view(now, &view);
        }
    }

    pub(super) fn send_view(&mut self, now: Time, to: NodeId, out: &mut Vec<Action>) {
        let (Some(views), Some(scheduler)) = (&mut self.views, &self.scheduler) else {
            return;
        };
        let Some(has) = self.members.view_of(to) else {
            return;
        };
        if let Some(view) = views.view(now, to, has, scheduler.free()) {
            send_peer(out, to, PeerMsg::View(view));
        }
    }

    /// Takes a view that answers a heartbeat sent at `sent`.
    pub(super) fn take_view(&mut self, sent: Time, view: &DomainView) {
        if !self.view.take(view) {
            return;
        }
        let until = sent + view.term;
        match &view.content {
            Some(content) => self.entry.set_view(until, content),
            None => self.entry.renew_grants(until),
        }
    }

    /// Tells the router which nodes of other domains can serve.
    pub(super) fn refresh_remotes(&mut self, now: Time) {
        if now < self.next_remotes {
            return;
        }
        self.next_remotes = now + self.cfg.members.summary_interval;
        let members = &self.members;
        self.entry
            .set_remotes(|service| members.remotes(now, service));
    }
}
