//! Finds the scheduler, keeps a link to it, and takes over when it fails.

use std::{io, net::SocketAddr, time::Duration};

use model::Time;
use sched::{LeaseRow, LinkState, Step};
use tokio::{
    sync::mpsc,
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    Node, Ports, Table, Transaction,
    commit::{self, Outcome},
    lead::Leader,
    lease::{self, LeaseWriter},
    link,
    message::{FOLLOWS_LEVEL, LEVEL, Message, STANDING_LEVEL},
    recover,
    rows::{LEASE, LEASE_KEY, SCHEDULER_PART, lease_key},
};

/// The pause before a link is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);

/// How often a node sends a ping to the scheduler.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// How often a node tells the scheduler how well it could schedule.
const STANDING_INTERVAL: Duration = Duration::from_secs(2);

/// How often a node that knows of no scheduler asks the other nodes, while it cannot reach the table.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// How long to wait for another node's answer to the question which node schedules.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a takeover waits for the table. It is tried again later if it is still needed.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Executes the steps of the node's [`sched::Candidacy`]: monitors the lease row, and takes over and
/// schedules when a step calls for it. Returns once the node drains.
pub(crate) async fn run_candidacy<P: Ports>(node: Node<P>) {
    let mut version = 0;
    while !node.0.is_draining.get() {
        let now = node.0.clock.time();
        let step = node.0.candidacy.borrow_mut().next_step(now);
        match step {
            Step::Wait(until) => wait_until(&node, until).await,
            Step::Read => {
                if let Some(read_version) = read_row(&node).await {
                    version = read_version;
                }
            }
            Step::TakeOver => {
                // Other nodes may read the new lease row, and open links to this node, before the answer to
                // the transaction arrives here.
                node.0.recovery_sent_at.set(Some(now));
                match take_over(&node, version).await {
                    Ok(writer) => schedule(&node, writer, now).await,
                    Err(found) => version = found,
                }
                node.0.recovery_sent_at.set(None);
            }
        }
    }
}

/// Executes the steps of the [`sched::Candidacy`] of a node that drains: monitors the lease row, so that the node finds
/// the scheduler, but never takes over. Never returns.
pub(crate) async fn observe_candidacy<P: Ports>(node: Node<P>) {
    let interval = node.0.settings.candidacy.read_interval;
    loop {
        let now = node.0.clock.time();
        let step = node.0.candidacy.borrow_mut().next_step(now);
        match step {
            Step::Wait(until) => wait_until(&node, until).await,
            Step::Read => {
                read_row(&node).await;
            }
            Step::TakeOver => {
                sleep(interval).await;
                read_row(&node).await;
            }
        }
    }
}

/// Waits until `until`, or until what the candidacy depends on has changed.
async fn wait_until<P: Ports>(node: &Node<P>, until: Time) {
    let left = until - node.0.clock.time();
    // A timeout is the usual case: nothing has changed.
    let _ = timeout(left, node.0.candidacy_changed.notified()).await;
}

/// Reads the lease row and passes it to the candidacy. Returns the row's version, or `None` if it cannot be read.
async fn read_row<P: Ports>(node: &Node<P>) -> Option<u64> {
    let now = node.0.clock.time();
    node.0.candidacy.borrow_mut().read_started(now);
    match read_lease(node).await {
        Ok((row, version)) => {
            apply_lease_row(node, row);
            Some(version)
        }
        Err(e) => {
            log::warn!("event=lease_unread error={e:?}");
            None
        }
    }
}

/// Reads the lease row and its version. The version of a missing row is 0.
async fn read_lease<P: Ports>(node: &Node<P>) -> Result<(Option<LeaseRow>, u64), String> {
    let end = format!("{LEASE_KEY}~");
    let page = node
        .0
        .ports
        .read(LEASE, SCHEDULER_PART, LEASE_KEY, Some(&end))
        .await
        .map_err(|e| e.to_string())?;
    let Some(row) = page.rows.into_iter().find(|row| row.key == LEASE_KEY) else {
        return Ok((None, 0));
    };
    let lease = lease::decode_lease(&row).map_err(|e| e.to_string())?;
    Ok((Some(lease), row.version))
}

/// Passes a lease row that was read to the candidacy, and reconnects if the scheduler's address has
/// changed.
fn apply_lease_row<P: Ports>(node: &Node<P>, row: Option<LeaseRow>) {
    let now = node.0.clock.time();
    let address = |row: Option<&LeaseRow>| row.map(|row| row.address.clone());
    let mut candidacy = node.0.candidacy.borrow_mut();
    let old = address(candidacy.row());
    let is_address_changed = old != address(row.as_ref());
    if is_address_changed {
        log::info!(
            "event=scheduler_seen holder={} epoch={}",
            row.as_ref().map_or("-", |row| &row.holder),
            row.as_ref().map_or(0, |row| row.epoch)
        );
    }
    let is_own = row
        .as_ref()
        .is_some_and(|row| row.holder == *node.0.settings.name);
    candidacy.row_read(now, row);
    if is_own {
        candidacy.link_changed(now, LinkState::Restarted);
    }
    if is_address_changed {
        node.0.target_changed.notify_one();
    }
}

/// Replaces the lease row with one of this node. Returns the writer of the new row or, if the takeover failed, the version
/// of the row that the candidacy knows then.
async fn take_over<P: Ports>(node: &Node<P>, version: u64) -> Result<LeaseWriter, u64> {
    let now = node.0.clock.time();
    let old = node.0.candidacy.borrow().row().cloned();
    let (own, cfg) = (&node.0.settings.name, &node.0.settings.sched);
    let past = node.0.candidacy.borrow().past_leases(now, own, cfg);
    let row = LeaseRow {
        holder: own.to_string(),
        address: node.0.settings.link_address.to_string(),
        epoch: old.clone().unwrap_or_default().next_epoch(),
        seq: 0,
        leases: Some(past.to_row(now)),
    };
    let tx = Transaction {
        expected: vec![(lease_key(), version)],
        set: vec![(lease_key(), jobs::encode(&row))],
        delete: Vec::new(),
    };
    let before = old.map(|row| row.holder).unwrap_or_default();
    log::info!("event=takeover_tried epoch={} before={before}", row.epoch);
    let deadline = Instant::now() + TAKEOVER_TIMEOUT;
    match commit::with_retry(&node.0.ports, &tx, deadline).await {
        Outcome::Stored(version) => {
            log::info!("event=takeover epoch={} before={before}", row.epoch);
            node.0.metrics.count("takeovers");
            Ok(LeaseWriter::new(row, version, past))
        }
        Outcome::Conflict { current } => {
            let current = current.iter().find(|r| r.key == LEASE_KEY);
            let found = current.map_or(0, |r| r.version);
            match current.map(lease::decode_lease).transpose() {
                // An earlier attempt was stored, but its answer was lost.
                Ok(Some(seen)) if seen == row => {
                    log::info!("event=takeover epoch={} before={before}", row.epoch);
                    Ok(LeaseWriter::new(row, found, past))
                }
                Ok(seen) => {
                    apply_lease_row(node, seen);
                    Err(found)
                }
                Err(e) => {
                    log::warn!("event=lease_unread error={:?}", e.to_string());
                    node.0.candidacy.borrow_mut().row_unreadable();
                    Err(found)
                }
            }
        }
        Outcome::NotStored(reason) | Outcome::Unknown(reason) => {
            log::warn!(
                "event=takeover_failed epoch={} reason={reason:?}",
                row.epoch
            );
            Err(version)
        }
    }
}

/// Runs the scheduler until another node takes over or this one drains. The takeover began at `taken_at`.
async fn schedule<P: Ports>(node: &Node<P>, writer: LeaseWriter, taken_at: Time) {
    node.0
        .candidacy
        .borrow_mut()
        .row_read(node.0.clock.time(), Some(writer.row().clone()));
    node.0.upstream.borrow_mut().take();
    node.0.target_changed.notify_one();
    let epoch = writer.epoch();
    let started = node.0.clock.time();
    node.0.recovery_sent_at.set(Some(taken_at));
    let recovered = if node.0.is_draining.get() {
        let mut writer = writer;
        writer.release(node).await;
        None
    } else {
        recover::recover(node, writer).await
    };
    node.0.recovery_sent_at.set(None);
    if let Some((scheduler, writer, after)) = recovered {
        let leader = Leader::new(node.clone(), scheduler, writer);
        log::info!(
            "event=scheduling epoch={epoch} recovery_ms={}",
            (node.0.clock.time() - started).as_millis()
        );
        *node.0.leader.borrow_mut() = Some(leader.clone());
        // A node that is about to stop hands over at once.
        if node.0.is_draining.get() {
            leader.drain();
        }
        for approval in node.cached_approvals() {
            leader.handle_message(approval);
        }
        leader.run(after).await;
        node.0.leader.borrow_mut().take();
        log::info!("event=scheduling_ended epoch={epoch}");
    }
    node.0.metrics.set("scheduling_epoch", 0);
    // The lease row has changed or must be read again.
    node.0
        .candidacy
        .borrow_mut()
        .link_changed(node.0.clock.time(), LinkState::Unknown);
}

/// Keeps a link to the scheduler open.
pub(crate) async fn keep_scheduler_link<P: Ports>(node: Node<P>) {
    loop {
        let Some(target) = target(&node) else {
            let changed = node.0.target_changed.notified();
            // A node that was deposed may be unable to read from the table which node replaced it.
            if timeout(QUERY_INTERVAL, changed).await.is_err() && has_no_scheduler_source(&node) {
                query_other_nodes(&node, node.0.settings.link_address).await;
            }
            continue;
        };
        match link::open(target).await {
            Ok(link) => follow_link(&node, link, target).await,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                update_link_state(&node, LinkState::Gone);
            }
            Err(e) => log::debug!("cannot open link to {target}: {e}"),
        }
        node.0.upstream.borrow_mut().take();
        if node.0.table.is_lost() {
            query_other_nodes(&node, target).await;
        }
        // Ends early if there is another scheduler.
        let _ = timeout(RECONNECT_DELAY, node.0.target_changed.notified()).await;
    }
}

/// Returns whether this node neither schedules nor can read from the table which node does.
fn has_no_scheduler_source<P: Ports>(node: &Node<P>) -> bool {
    node.0.table.is_lost() && node.0.leader.borrow().is_none()
}

/// Asks all other nodes but `except` which node schedules. Stops once the known address of the scheduler is
/// no longer `except`. Used while the table cannot be read.
async fn query_other_nodes<P: Ports>(node: &Node<P>, except: SocketAddr) {
    let nodes = node.0.node_addresses.borrow().clone();
    for address in nodes.iter().filter_map(|address| address.parse().ok()) {
        if address == except || address == node.0.settings.link_address {
            continue;
        }
        let Ok(mut link) = link::open(address).await else {
            continue;
        };
        if link.tx.try_send(Message::Who).is_err() {
            continue;
        }
        let hint = match timeout(ANSWER_TIMEOUT, link.rx.recv()).await {
            Ok(Some(Message::Scheduler(row))) => Some(row),
            Ok(Some(Message::NotScheduler(row))) => row,
            _ => None,
        };
        if let Some(row) = hint {
            node.0.candidacy.borrow_mut().hint(row);
            if target(node) != Some(except) {
                log::info!("event=scheduler_told by={address}");
                return;
            }
        }
    }
}

/// Returns the address of the scheduler, if another node is the scheduler.
fn target<P: Ports>(node: &Node<P>) -> Option<SocketAddr> {
    let candidacy = node.0.candidacy.borrow();
    let row = candidacy.row()?;
    let is_other = !row.holder.is_empty() && row.holder != *node.0.settings.name;
    row.address.parse().ok().filter(|_| is_other)
}

/// Passes the state of the link to the candidacy, and wakes [`run_candidacy`] unless the link is up and the
/// scheduler can reach the table.
fn update_link_state<P: Ports>(node: &Node<P>, state: LinkState) {
    let now = node.0.clock.time();
    node.0.candidacy.borrow_mut().link_changed(now, state);
    let is_healthy = matches!(
        state,
        LinkState::Up {
            is_table_lost: false,
            ..
        }
    );
    if !is_healthy {
        node.0.candidacy_changed.notify_one();
    }
}

/// Handles the scheduler's messages until its link closes or is silent for too long, or another scheduler
/// is known.
async fn follow_link<P: Ports>(node: &Node<P>, mut link: link::Link, to: SocketAddr) {
    let hello = Message::Hello {
        node: node.0.settings.name.clone(),
        address: node.0.settings.link_address.to_string(),
        level: LEVEL,
    };
    if link.tx.send(hello).await.is_err() {
        return;
    }
    let approvals = node.cached_approvals();
    log::debug!("event=approvals_told to={to} count={}", approvals.len());
    let pings = link.tx.clone();
    let ping = spawn_local(async move {
        for approval in approvals {
            if pings.send(approval).await.is_err() {
                return;
            }
        }
        while pings.send(Message::Ping).await.is_ok() {
            sleep(PING_INTERVAL).await;
        }
    });
    node.0.upstream_level.set(0);
    *node.0.upstream.borrow_mut() = Some(link.tx.clone());
    let silence = node.0.settings.candidacy.link_timeout;
    let mut standing_told = None;
    let mut has_told_follows = false;
    let mut was_up = false;
    loop {
        let message = tokio::select! {
            message = timeout(silence, link.rx.recv()) => message,
            () = node.0.target_changed.notified() => {
                if target(node) == Some(to) {
                    continue;
                }
                break;
            }
        };
        match message {
            Ok(Some(Message::NotScheduler(row))) => {
                update_link_state(node, LinkState::Gone);
                if let Some(row) = row {
                    node.0.candidacy.borrow_mut().hint(row);
                }
                break;
            }
            Ok(Some(message)) => {
                if !was_up {
                    log::info!("event=link_up to={to}");
                    was_up = true;
                }
                handle_message(node, message);
                standing_told = tell_standing(node, &link.tx, standing_told);
                has_told_follows = has_told_follows || tell_follows(node, &link.tx);
            }
            Ok(None) => {
                log::info!("event=link_lost to={to} reason=closed");
                update_link_state(node, LinkState::Unknown);
                break;
            }
            Err(_) => {
                log::info!("event=link_lost to={to} reason=silent");
                update_link_state(node, LinkState::Unknown);
                break;
            }
        }
    }
    ping.abort();
}

/// Tells the scheduler how well this node could schedule, if `told` is older than [`STANDING_INTERVAL`] or the node has
/// begun to drain since then. Returns when it was told last, and whether it was draining.
fn tell_standing<P: Ports>(
    node: &Node<P>,
    tx: &mpsc::Sender<Message>,
    told: Option<(Time, bool)>,
) -> Option<(Time, bool)> {
    let now = node.0.clock.time();
    let standing = node.standing();
    let is_current = told.is_some_and(|(at, was_draining)| {
        now < at + STANDING_INTERVAL && was_draining == standing.is_draining
    });
    if is_current || node.0.upstream_level.get() < STANDING_LEVEL {
        return told;
    }
    let is_sent = tx.try_send(Message::Standing(standing)).is_ok();
    is_sent.then_some((now, standing.is_draining)).or(told)
}

/// Tells the scheduler that this node follows it, and so renews no leases if it has scheduled before. Returns whether it
/// was told.
fn tell_follows<P: Ports>(node: &Node<P>, tx: &mpsc::Sender<Message>) -> bool {
    let schedules = node.0.leader.borrow().is_some() || node.0.recovery_sent_at.get().is_some();
    if schedules || node.0.upstream_level.get() < FOLLOWS_LEVEL {
        return false;
    }
    let epoch = node.0.candidacy.borrow().row().map(|row| row.epoch);
    epoch.is_some_and(|epoch| tx.try_send(Message::Follows { epoch }).is_ok())
}

/// Handles a message from the scheduler.
fn handle_message<P: Ports>(node: &Node<P>, message: Message) {
    let now = node.0.clock.time();
    if let Message::Recovering { table_age_ms } = message {
        // The node is still reading the jobs and knows no states, so `scheduler_seen_at` stays as it is.
        let link = LinkState::Up {
            heard_at: now,
            table_age: Duration::from_millis(table_age_ms),
            is_table_lost: false,
        };
        update_link_state(node, link);
        return;
    }
    node.0.scheduler_seen_at.set(Some(now));
    match message {
        Message::Beat {
            table_age_ms,
            is_table_lost,
            level,
        } => {
            node.0.upstream_level.set(level);
            let is_quick = level >= STANDING_LEVEL;
            node.0.candidacy.borrow_mut().set_quick(is_quick);
            if !is_table_lost {
                node.open_door();
            }
            let link = LinkState::Up {
                heard_at: now,
                table_age: Duration::from_millis(table_age_ms),
                is_table_lost,
            };
            update_link_state(node, link);
        }
        Message::Relayed { number, reply } => node.complete_relay(number, reply),
        Message::Nodes(nodes) => *node.0.node_addresses.borrow_mut() = nodes,
        Message::States(states) => node.update_states(states),
        Message::Pending(pending) => *node.0.pending.borrow_mut() = Some(pending),
        Message::Workers(workers) => *node.0.workers.borrow_mut() = workers,
        Message::Ask {
            step,
            workers,
            cost_ms,
        } => node.ask(step, workers, Duration::from_millis(cost_ms)),
        Message::EarlierNodes(earlier) => {
            node.set_sources(&node.0.node_addresses.borrow(), &earlier);
        }
        Message::Admission(admissions) => {
            let in_force = &node.0.team_jobs.admissions;
            in_force.borrow_mut().replace(now, admissions);
        }
        Message::Rank(rank) => node.0.candidacy.borrow_mut().set_rank(rank),
        Message::Owners(owners) => node.0.team_jobs.record(now, owners),
        Message::ConfigurationQuestion(question) => {
            if let Some(tx) = &*node.0.upstream.borrow() {
                node.answer_question(question, tx);
            }
        }
        Message::Configuration(answer) => {
            let upstream = node.0.upstream.borrow().clone();
            if let Some(tx) = upstream {
                node.handle_answer(&answer, &tx);
            }
        }
        other => log::warn!("event=unexpected_message message={other:?}"),
    }
}

/// Returns whether the last message of the scheduler arrived less than `within` ago.
pub(crate) fn is_fresh(seen_at: Option<Time>, now: Time, within: Duration) -> bool {
    seen_at.is_some_and(|at| now < at + within)
}
