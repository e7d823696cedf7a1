//! The handling of messages from other nodes, and the state that this node sends to them.

use lease::{Input, LeaseMsg};
use model::{NodeId, Time, Verdict};
use peer::{DomainSummary, Heartbeat, PeerMsg};
use store::Write;

use super::{
    Node,
    calls::Owner,
    event::{Action, OperatorCallId},
    members::{SelfState, member_key},
    scheduler::Scheduler,
    views::HeartbeatReport,
};
use crate::api::OperatorResp;

impl Node {
    pub(super) fn self_state(&self, now: Time) -> SelfState {
        let scheduler = self.scheduler.as_ref();
        SelfState {
            config_version: self.config.config().version(),
            scheduler: scheduler.map(Scheduler::epoch),
            view: self.view.version(),
            is_leaving: self.is_shutting_down,
            free: scheduler.map_or(self.view.free(), Scheduler::free),
            shares: self.node_shares(now),
        }
    }

    /// While this node schedules the domain, deletes the rows of nodes that have been silent for long.
    pub(super) fn delete_expired_members(&mut self, now: Time) {
        if self.scheduler.is_none() || now < self.next_expiry_check {
            return;
        }
        self.next_expiry_check = now + self.cfg.members.forget_after;
        for node in self.members.expired(now) {
            log::info!("members: {node} was silent for long, its row is deleted");
            let write = Write {
                key: member_key(node),
                value: None,
            };
            // If the queue is full, the next check tries again.
            let _ = self
                .commits
                .push(now, Owner::Unowned, Vec::new(), vec![write]);
        }
    }

    pub(super) fn peer(&mut self, now: Time, from: NodeId, msg: PeerMsg, out: &mut Vec<Action>) {
        match msg {
            PeerMsg::Heartbeat(heartbeat) => self.heartbeat(now, from, &heartbeat, out),
            PeerMsg::Summary(summary) => self.summary(now, from, summary, out),
            PeerMsg::View(view) => {
                if let Some(sent) = self.members.newest_heartbeat_sent(view.heartbeat_seq) {
                    self.apply_view(sent, &view);
                }
            }
            PeerMsg::Lease(msg) => {
                if let LeaseMsg::Answer { question, .. } = &msg {
                    self.questions.remove(&(from, *question));
                }
                self.lease_step(now, Input::Peer { from, msg }, out);
            }
            PeerMsg::InboxNews => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.read_inbox_soon();
                }
            }
            PeerMsg::Drain => self.shutdown(now, out),
            PeerMsg::ConfigWanted { after } => {
                if let Some(update) = self.config.update_after(after) {
                    send_peer(out, from, PeerMsg::ConfigEntries(update));
                }
            }
            PeerMsg::ConfigEntries(update) => {
                if self.config.apply_update(update) {
                    self.config_changed(now, out);
                }
            }
        }
    }

    pub(super) fn summary(
        &mut self,
        now: Time,
        from: NodeId,
        summary: DomainSummary,
        out: &mut Vec<Action>,
    ) {
        if summary.is_leaving {
            // Refreshes the router's nodes at once, so that no more requests are forwarded to this one.
            self.next_remotes_refresh = now;
        }
        let (mut cx, parts) = self.split(now, out);
        // The versions of other nodes in the summary are not used here, since this node may be unable
        // to reach those nodes.
        let version = summary.config_version;
        parts.config.set_peer_version(&mut cx, from, version);
        parts.members.summary(now, from, summary);
    }

    pub(super) fn heartbeat(
        &mut self,
        now: Time,
        from: NodeId,
        msg: &Heartbeat,
        out: &mut Vec<Action>,
    ) {
        if !self.members.heartbeat_received(now, from, msg) {
            return;
        }
        let (mut cx, parts) = self.split(now, out);
        parts
            .config
            .set_peer_version(&mut cx, from, msg.config_version);
        if let Some(views) = &mut self.views {
            let report = HeartbeatReport {
                node: from,
                incarnation: msg.incarnation,
                seq: msg.seq,
                shares: &msg.shares,
            };
            views.heartbeat_received(now, report);
            self.send_view(now, from, out);
        }
    }

    /// Handles an operator's call to shut a node down gracefully.
    pub(super) fn drain(
        &mut self,
        now: Time,
        id: OperatorCallId,
        node: NodeId,
        out: &mut Vec<Action>,
    ) {
        let resp = if node == self.me.node {
            self.shutdown(now, out);
            drain_response(node)
        } else if self.address(node).is_some() {
            send_peer(out, node, PeerMsg::Drain);
            drain_response(node)
        } else {
            OperatorResp::Failed {
                verdict: Verdict::NotRun,
                message: format!("no node {node} is known; `lacewing dump` names the known ones"),
            }
        };
        out.push(Action::Operator(id, resp));
    }
}

fn drain_response(node: NodeId) -> OperatorResp {
    OperatorResp::Done {
        message: format!("{node} is asked to shut down gracefully"),
        version: 0,
    }
}

pub(super) fn send_peer(out: &mut Vec<Action>, to: NodeId, msg: PeerMsg) {
    out.push(Action::Peer {
        to,
        needs_new_connection: false,
        msg,
    });
}
