//! The scheduler's links to the other nodes.

use std::{rc::Rc, sync::Arc, time::Duration};

use sched::Now;
use tokio::time::{sleep, timeout};

use super::{
    Leader, Peer,
    lists::{self, Pools, Schedule},
};
use crate::{
    Ports,
    link::Link,
    message::{LEVEL, Message, TEAMS_LEVEL},
    succession::{self, Standing},
};

/// How often a heartbeat is sent to the other nodes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// The number of heartbeats per summary of the waiting jobs.
const HEARTBEATS_PER_SUMMARY: u64 = 3;

/// A node that has sent no message for this long is treated as failed. Nodes send a ping every second.
const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

impl<P: Ports> Leader<P> {
    /// Sends a message to all linked nodes, and drops those whose queues are full or whose links are
    /// closed.
    pub(super) fn broadcast(&self, message: &Message) {
        self.broadcast_from_level(0, message);
    }

    /// Sends a message that was added at a protocol level to the linked nodes of that level or a higher one, as
    /// [`broadcast`](Self::broadcast) does.
    pub(super) fn broadcast_from_level(&self, level: u32, message: &Message) {
        let mut lost = Vec::new();
        for (name, peer) in self.peers.borrow().iter() {
            if peer.level >= level && peer.tx.try_send(message.clone()).is_err() {
                lost.push(name.clone());
            }
        }
        for name in lost {
            log::warn!("event=peer_lost node={name} reason=behind");
            self.peers.borrow_mut().remove(&name);
            self.set_approvers();
        }
    }

    /// Sends heartbeats and summaries to the other nodes.
    pub(super) async fn send_heartbeats(self: Rc<Self>) {
        let mut count = 0;
        let mut workers_schedule = Schedule::of_workers();
        loop {
            let now = self.now();
            self.broadcast(&self.heartbeat(now));
            self.send_nodes(now);
            if count % HEARTBEATS_PER_SUMMARY == 0 {
                self.broadcast_summary(now, &mut workers_schedule);
                self.broadcast_admissions(now);
            }
            count += 1;
            if self.node.0.table.is_lost() {
                sleep(HEARTBEAT_INTERVAL).await;
            } else {
                // A loss of the table ends the pause early, so that the other nodes learn of it at once.
                let _ = timeout(HEARTBEAT_INTERVAL, self.node.0.table.wait_until_lost()).await;
            }
        }
    }

    /// Updates the metrics and sends the counts of waiting jobs, and the workers if they have changed.
    fn broadcast_summary(&self, now: Now, workers_schedule: &mut Schedule) {
        let (summary, workers) = {
            let scheduler = self.scheduler.borrow();
            (scheduler.summary(now), scheduler.workers_by_pool(now))
        };
        let metrics = &self.node.0.metrics;
        metrics.set("scheduling_epoch", self.epoch());
        metrics.set(
            "waiting_steps",
            u64::try_from(summary.waiting_steps).unwrap_or(0),
        );
        metrics.set("held_steps", u64::try_from(summary.held_steps).unwrap_or(0));
        metrics.set(
            "reserved_workers",
            u64::try_from(summary.reserved_workers).unwrap_or(0),
        );
        metrics.set("running_tasks", u64::try_from(summary.runs).unwrap_or(0));
        metrics.set(
            "unheard_runs",
            u64::try_from(summary.unheard_runs).unwrap_or(0),
        );
        metrics.set("open_workers", u64::try_from(summary.workers).unwrap_or(0));
        metrics.set("known_jobs", u64::try_from(summary.jobs).unwrap_or(0));
        metrics.set("processors_milli", summary.size.milli_processors);
        metrics.set("used_processors_milli", summary.used.milli_processors);
        self.report_table();
        metrics.set("late_steps", u64::try_from(summary.late_steps).unwrap_or(0));
        if let Some(taken) = self.node.0.table.take_recovery(summary.late_steps) {
            log::info!("event=outage_over recovery_ms={}", taken.as_millis());
            metrics.time("outage_recovery", taken);
        }
        let peers = self.peers.borrow();
        let earlier = peers.values().filter(|peer| peer.level < LEVEL).count();
        drop(peers);
        metrics.set(
            "peers_of_earlier_builds",
            u64::try_from(earlier).unwrap_or(0),
        );
        self.report_teams(&summary.teams);
        log::info!(
            "event=load waiting={} held={} reserved={} runs={} workers={} used={} of={}",
            summary.waiting_steps,
            summary.held_steps,
            summary.reserved_workers,
            summary.runs,
            summary.workers,
            summary.used,
            summary.size
        );
        self.broadcast(&Message::Pending(summary.pending.clone()));
        *self.node.0.pending.borrow_mut() = Some(summary.pending);
        self.node.0.scheduler_seen_at.set(Some(now.time));
        workers_schedule.mark_changed();
        let longest = workers.values().map(Vec::len).max();
        if workers_schedule.take_due(now.time, longest.unwrap_or(0)) {
            self.send_workers(workers);
        }
    }

    /// Sends each linked node its workers, unless it has been sent the same ones.
    fn send_workers(&self, workers: Pools) {
        for (name, peer) in self.peers.borrow_mut().iter_mut() {
            let list = lists::workers_for(name, &workers);
            // A node whose queue is full is dropped with the next heartbeat.
            if peer.workers != list && peer.tx.try_send(Message::Workers(list.clone())).is_ok() {
                peer.workers = list;
            }
        }
        *self.node.0.workers.borrow_mut() = workers;
    }

    /// Sends the addresses of the linked nodes to all of them, if they have changed and are due to be sent.
    fn send_nodes(&self, now: Now) {
        let nodes = self.nodes();
        let mut schedule = self.nodes_schedule.get();
        let is_due = schedule.take_due(now.time, nodes.len());
        self.nodes_schedule.set(schedule);
        if !is_due {
            return;
        }
        for (name, peer) in self.peers.borrow().iter() {
            for message in lists::node_messages(name, peer.level, &nodes) {
                // A node whose queue is full is dropped with the next heartbeat.
                let _ = peer.tx.try_send(message);
            }
        }
        let earlier = lists::earlier_positions(&nodes);
        let addresses: Vec<String> = nodes.into_iter().map(|(address, _)| address).collect();
        self.node.set_sources(&addresses, &earlier);
        *self.node.0.node_addresses.borrow_mut() = addresses;
    }

    /// Serves the link of another node until it closes or stays silent for [`PEER_TIMEOUT`].
    pub(crate) async fn serve(self: Rc<Self>, mut link: Link) {
        let hello = timeout(PEER_TIMEOUT, link.rx.recv()).await;
        if let Ok(Some(Message::Who)) = hello {
            let row = self.node.0.candidacy.borrow().row().cloned();
            // If this answer is lost, the other node asks again.
            if let Some(row) = row {
                let _ = link.tx.try_send(Message::Scheduler(row));
            }
            return;
        }
        if let Ok(Some(Message::ConfigurationQuestion(question))) = hello {
            let node = self.node.clone();
            node.serve_questions(link, Some(question)).await;
            return;
        }
        let Ok(Some(Message::Hello {
            node,
            address,
            level,
        })) = hello
        else {
            return;
        };
        log::info!("event=peer_up node={node} level={level}");
        // The teams come first, so that no state is known to the node without the team.
        if level >= TEAMS_LEVEL && !self.send_owners(&link.tx) {
            return;
        }
        let workers = {
            let scheduler = self.scheduler.borrow();
            lists::workers_for(&node, &scheduler.workers_by_pool(self.now()))
        };
        let nodes = self.nodes();
        let nodes = lists::node_messages(&node, level, &nodes);
        let initial_messages = self.initial_messages(workers.clone());
        for message in initial_messages.into_iter().chain(nodes) {
            if link.tx.try_send(message).is_err() {
                return;
            }
        }
        let tx = link.tx;
        let peer = Peer {
            tx: tx.clone(),
            address,
            level,
            workers,
            standing: None,
            rank: None,
        };
        self.peers.borrow_mut().insert(node.clone(), peer);
        self.set_approvers();
        let mut schedule = self.nodes_schedule.get();
        schedule.mark_changed();
        self.nodes_schedule.set(schedule);
        self.send_nodes(self.now());
        let reason = loop {
            match timeout(PEER_TIMEOUT, link.rx.recv()).await {
                Ok(Some(Message::Relay { number, request })) => {
                    let node = self.node.clone();
                    self.spawn(node.serve_relay(number, request, tx.clone()));
                }
                Ok(Some(Message::ConfigurationQuestion(question))) => {
                    self.node.answer_question(question, &tx);
                }
                Ok(Some(Message::Configuration(answer))) => self.node.handle_answer(&answer, &tx),
                Ok(Some(Message::Standing(standing))) => self.update_standing(&node, standing),
                Ok(Some(Message::Follows { epoch })) => {
                    if epoch == self.epoch() {
                        self.with_scheduler(|scheduler, now| scheduler.node_follows(now, &node));
                    }
                }
                Ok(Some(message)) => self.handle_message(message),
                Ok(None) => break "closed",
                Err(_) => break "silent",
            }
        };
        log::info!("event=peer_lost node={node} reason={reason}");
        let is_same = |peer: &Peer| peer.tx.same_channel(&tx);
        if self.peers.borrow().get(&node).is_some_and(is_same) {
            self.peers.borrow_mut().remove(&node);
            self.set_approvers();
        }
    }

    /// Records how well a linked node could schedule.
    fn update_standing(&self, name: &Arc<str>, standing: Standing) {
        if let Some(peer) = self.peers.borrow_mut().get_mut(name) {
            peer.standing = Some(standing);
        }
        self.set_approvers();
        self.send_ranks();
    }

    /// Tells the linked nodes in which order they should try to take over, as far as this has changed.
    fn send_ranks(&self) {
        if !self.node.0.settings.policy.tells_ranks {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let known = peers
            .iter()
            .filter_map(|(name, peer)| Some((name, peer.standing?)));
        let ordered: Vec<Arc<str>> = succession::order(known).into_iter().cloned().collect();
        for (rank, name) in (0..).zip(ordered) {
            let Some(peer) = peers.get_mut(&name) else {
                continue;
            };
            // A node whose queue is full is dropped with the next heartbeat.
            if peer.rank != Some(rank) && peer.tx.try_send(Message::Rank(rank)).is_ok() {
                peer.rank = Some(rank);
            }
        }
    }

    /// Returns a heartbeat message.
    fn heartbeat(&self, now: Now) -> Message {
        let age = now.time - self.scheduler.borrow().confirmed_at();
        Message::Beat {
            table_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            is_table_lost: self.node.0.table.is_lost(),
            level: LEVEL,
        }
    }

    /// Returns the link addresses and the protocol levels of this node and of the linked nodes.
    fn nodes(&self) -> Vec<(String, u32)> {
        let peers = self.peers.borrow();
        let linked = peers
            .values()
            .map(|peer| (peer.address.clone(), peer.level));
        let own = (self.node.0.settings.link_address.to_string(), LEVEL);
        linked.chain([own]).collect()
    }

    /// Returns the messages that a newly linked node is sent first.
    fn initial_messages(&self, workers: Pools) -> [Message; 4] {
        let now = self.now();
        let scheduler = self.scheduler.borrow();
        [
            self.heartbeat(now),
            Message::States(scheduler.states().collect()),
            Message::Pending(scheduler.summary(now).pending),
            Message::Workers(workers),
        ]
    }

    /// Handles a message of another node, or of this one.
    pub(crate) fn handle_message(&self, message: Message) {
        let now = self.now();
        match message {
            Message::Ping => {}
            Message::Approved {
                step,
                asked,
                allowed,
                valid_ms,
            } => {
                let valid = Duration::from_millis(valid_ms);
                let mut scheduler = self.scheduler.borrow_mut();
                scheduler.approved(now, step, &asked, &allowed, valid);
                self.wake.notify_one();
            }
            Message::JobAnnounced(job, row) => self.job_announced(job, &row),
            Message::JobSettled {
                job,
                digest,
                is_stored,
            } => self.job_settled(job, digest, is_stored),
            Message::NotApproved { step } => {
                let now = self.now();
                self.scheduler.borrow_mut().approval_failed(now, step);
            }
            other => log::warn!("event=unexpected_message message={other:?}"),
        }
    }
}
