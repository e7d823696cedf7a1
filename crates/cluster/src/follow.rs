//! Finds the scheduler, keeps the link to it, and takes over when it is gone.

use std::{io, net::SocketAddr, time::Duration};

use model::Time;
use sched::{LeaseRow, LinkState, Step};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    Node, Ports, Table, Transaction,
    commit::{self, Outcome},
    lead::Lead,
    lease, link,
    message::Message,
    recover,
    rows::{LEASE, LEASE_KEY, SCHEDULER_PART, lease_key},
};

/// The pause before a link is opened again.
const REOPEN: Duration = Duration::from_millis(150);

/// How often a node tells the scheduler that it is alive.
const PING: Duration = Duration::from_secs(1);

/// How often a node that knows of no scheduler asks the others, if it does not reach the table.
const ASK_AROUND: Duration = Duration::from_millis(500);

/// How long a node that is asked who schedules may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a takeover waits for the table. Another one follows if it is still needed.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Watches the scheduler, and schedules when it is this node's turn. Returns once the node drains.
pub(crate) async fn campaign<P: Ports>(node: Node<P>) {
    let mut version = 0;
    while !node.0.is_draining.get() {
        let now = node.0.clock.time();
        let step = node.0.candidacy.borrow_mut().next_step(now);
        match step {
            Step::Wait(until) => {
                let changed = node.0.candidacy_changed.notified();
                // The time passing without a change is the usual case.
                let _ = timeout(until - now, changed).await;
            }
            Step::Read => {
                node.0.candidacy.borrow_mut().read_started(now);
                match read_lease(&node).await {
                    Ok((row, read_version)) => {
                        version = read_version;
                        note_row(&node, row);
                    }
                    Err(e) => log::warn!("event=lease_unread error={e:?}"),
                }
            }
            Step::TakeOver => {
                // Others may see the row before the answer is here.
                node.0.recovering.set(Some(now));
                let taken = take_over(&node, version).await;
                if let Some((row, version)) = taken {
                    schedule(&node, row, version).await;
                }
                node.0.recovering.set(None);
            }
        }
    }
}

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

fn note_row<P: Ports>(node: &Node<P>, row: Option<LeaseRow>) {
    let now = node.0.clock.time();
    let address = |row: Option<&LeaseRow>| row.map(|row| row.address.clone());
    let mut candidacy = node.0.candidacy.borrow_mut();
    let old = address(candidacy.row());
    let is_new = old != address(row.as_ref());
    if is_new {
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
        // An earlier process of this node has held it.
        candidacy.link_changed(now, LinkState::Gone);
    }
    if is_new {
        node.0.target_changed.notify_one();
    }
}

/// Replaces the lease row by one of this node. Returns the row and its version.
async fn take_over<P: Ports>(node: &Node<P>, version: u64) -> Option<(LeaseRow, u64)> {
    let old = node.0.candidacy.borrow().row().cloned();
    let row = LeaseRow {
        holder: node.0.settings.name.to_string(),
        address: node.0.settings.link_address.to_string(),
        epoch: old.as_ref().map_or(1, |row| row.epoch + 1),
        seq: 0,
    };
    let tx = Transaction {
        expected: vec![(lease_key(), version)],
        set: vec![(lease_key(), jobs::encode(&row))],
        delete: Vec::new(),
    };
    let before = old.map(|row| row.holder).unwrap_or_default();
    log::info!("event=takeover_tried epoch={} before={before}", row.epoch);
    let deadline = Instant::now() + TAKE_OVER_TIMEOUT;
    match commit::settle(&node.0.ports, &tx, deadline).await {
        Outcome::Stored(version) => {
            log::info!("event=takeover epoch={} before={before}", row.epoch);
            node.0.metrics.count("takeovers");
            Some((row, version))
        }
        Outcome::Conflict { current } => {
            let current = current.iter().find(|r| r.key == LEASE_KEY);
            let seen = current.and_then(|r| Some((lease::decode_lease(r).ok()?, r.version)));
            match seen {
                // An earlier try was stored, and its answer was lost.
                Some((seen, version)) if seen == row => {
                    log::info!("event=takeover epoch={} before={before}", row.epoch);
                    Some((row, version))
                }
                seen => {
                    note_row(node, seen.map(|(row, _)| row));
                    None
                }
            }
        }
        Outcome::NotStored(reason) | Outcome::Unknown(reason) => {
            log::warn!(
                "event=takeover_failed epoch={} reason={reason:?}",
                row.epoch
            );
            None
        }
    }
}

/// Schedules until another node does, or this one drains.
async fn schedule<P: Ports>(node: &Node<P>, row: LeaseRow, version: u64) {
    node.0
        .candidacy
        .borrow_mut()
        .row_read(node.0.clock.time(), Some(row.clone()));
    node.0.upstream.borrow_mut().take();
    node.0.target_changed.notify_one();
    let epoch = row.epoch;
    let started = node.0.clock.time();
    let writer = lease::LeaseWriter::new(row, version);
    node.0.recovering.set(Some(started));
    let recovered = recover::recover(node, writer).await;
    node.0.recovering.set(None);
    if let Some((scheduler, writer, after)) = recovered {
        let lead = Lead::new(node.clone(), scheduler, writer);
        log::info!(
            "event=scheduling epoch={epoch} recovery_ms={}",
            (node.0.clock.time() - started).as_millis()
        );
        *node.0.lead.borrow_mut() = Some(lead.clone());
        for approval in node.known_approvals() {
            lead.hear(approval);
        }
        lead.run(after).await;
        node.0.lead.borrow_mut().take();
        log::info!("event=scheduling_ended epoch={epoch}");
    }
    node.0.metrics.set("scheduling_epoch", 0);
    // The row has changed, or is to be looked at again.
    node.0
        .candidacy
        .borrow_mut()
        .link_changed(node.0.clock.time(), LinkState::Unknown);
}

/// Keeps a link to the scheduler.
pub(crate) async fn link_up<P: Ports>(node: Node<P>) {
    loop {
        let Some(target) = target(&node) else {
            let changed = node.0.target_changed.notified();
            // A node that has scheduled until another one took over may not be able to read by whom.
            if timeout(ASK_AROUND, changed).await.is_err() && is_in_the_dark(&node) {
                ask_around(&node, node.0.settings.link_address).await;
            }
            continue;
        };
        match link::open(target).await {
            Ok(link) => listen(&node, link, target).await,
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                note_link(&node, LinkState::Gone);
            }
            Err(e) => log::debug!("link to {target} not opened: {e}"),
        }
        node.0.upstream.borrow_mut().take();
        if node.0.table.is_lost() {
            ask_around(&node, target).await;
        }
        // Either the time passes or there is another scheduler.
        let _ = timeout(REOPEN, node.0.target_changed.notified()).await;
    }
}

/// Whether this node neither schedules nor can read who does.
fn is_in_the_dark<P: Ports>(node: &Node<P>) -> bool {
    node.0.table.is_lost() && node.0.lead.borrow().is_none()
}

/// Asks the other nodes who schedules. This node can't read it in the table.
async fn ask_around<P: Ports>(node: &Node<P>, but: SocketAddr) {
    let nodes = node.0.nodes.borrow().clone();
    for address in nodes.iter().filter_map(|address| address.parse().ok()) {
        if address == but || address == node.0.settings.link_address {
            continue;
        }
        let Ok(mut link) = link::open(address).await else {
            continue;
        };
        if link.tx.try_send(Message::Who).is_err() {
            continue;
        }
        let told = match timeout(ANSWER_TIMEOUT, link.rx.recv()).await {
            Ok(Some(Message::Scheduler(row))) => Some(row),
            Ok(Some(Message::NotScheduler(row))) => row,
            _ => None,
        };
        if let Some(row) = told {
            node.0.candidacy.borrow_mut().hint(row);
            if target(node) != Some(but) {
                log::info!("event=scheduler_told by={address}");
                return;
            }
        }
    }
}

/// Where the scheduler is reached, if it is another node.
fn target<P: Ports>(node: &Node<P>) -> Option<SocketAddr> {
    let candidacy = node.0.candidacy.borrow();
    let row = candidacy.row()?;
    let is_other = !row.holder.is_empty() && row.holder != *node.0.settings.name;
    row.address.parse().ok().filter(|_| is_other)
}

fn note_link<P: Ports>(node: &Node<P>, state: LinkState) {
    let now = node.0.clock.time();
    node.0.candidacy.borrow_mut().link_changed(now, state);
    let is_fine = matches!(
        state,
        LinkState::Up {
            is_table_lost: false,
            ..
        }
    );
    if !is_fine {
        node.0.candidacy_changed.notify_one();
    }
}

/// Listens to the scheduler until it is silent, gone, or replaced.
async fn listen<P: Ports>(node: &Node<P>, mut link: link::Link, to: SocketAddr) {
    let hello = Message::Hello {
        node: node.0.settings.name.clone(),
        address: node.0.settings.link_address.to_string(),
    };
    if link.tx.send(hello).await.is_err() {
        return;
    }
    let approvals = node.known_approvals();
    log::debug!("event=approvals_told to={to} count={}", approvals.len());
    let pings = link.tx.clone();
    let ping = spawn_local(async move {
        for approval in approvals {
            if pings.send(approval).await.is_err() {
                return;
            }
        }
        while pings.send(Message::Ping).await.is_ok() {
            sleep(PING).await;
        }
    });
    *node.0.upstream.borrow_mut() = Some(link.tx.clone());
    let silence = node.0.settings.candidacy.link_timeout;
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
                note_link(node, LinkState::Gone);
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
                hear(node, message);
            }
            Ok(None) => {
                log::info!("event=link_lost to={to} reason=closed");
                note_link(node, LinkState::Unknown);
                break;
            }
            Err(_) => {
                log::info!("event=link_lost to={to} reason=silent");
                note_link(node, LinkState::Unknown);
                break;
            }
        }
    }
    ping.abort();
}

/// Something that the scheduler says.
fn hear<P: Ports>(node: &Node<P>, message: Message) {
    let now = node.0.clock.time();
    if let Message::Recovering { table_age_ms } = message {
        // Nothing is known of jobs yet.
        let link = LinkState::Up {
            heard_at: now,
            table_age: Duration::from_millis(table_age_ms),
            is_table_lost: false,
        };
        note_link(node, link);
        return;
    }
    node.0.heard_at.set(Some(now));
    match message {
        Message::Beat {
            table_age_ms,
            is_table_lost,
        } => note_link(
            node,
            LinkState::Up {
                heard_at: now,
                table_age: Duration::from_millis(table_age_ms),
                is_table_lost,
            },
        ),
        Message::Relayed { number, reply } => node.relayed(number, reply),
        Message::Nodes(nodes) => *node.0.nodes.borrow_mut() = nodes,
        Message::States(news) => node.learn_states(news),
        Message::Pending(pending) => *node.0.pending.borrow_mut() = Some(pending),
        Message::Workers(workers) => *node.0.workers.borrow_mut() = workers,
        Message::Ask {
            step,
            workers,
            cost_ms,
        } => node.ask(step, workers, Duration::from_millis(cost_ms)),
        other => log::warn!("event=unexpected_message message={other:?}"),
    }
}

/// A sign of life that is too old to rely on.
pub(crate) fn is_fresh(heard_at: Option<Time>, now: Time, within: Duration) -> bool {
    heard_at.is_some_and(|at| now < at + within)
}
