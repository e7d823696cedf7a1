//! Follows changes of the configuration.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{Directory, FeedError, Node, Ports, Routes, configuration::Source};

/// How long one call waits for a change. It bounds how long a broken silent connection stays undetected,
/// and so how late a configuration is applied. Configurations must be in force within 2.5 s.
const FEED_WAIT: Duration = Duration::from_secs(1);

/// How long a call waits while the configuration is not confirmed. After an outage, keys would otherwise stay
/// undecided for another [`FEED_WAIT`].
const CONFIRM_WAIT: Duration = Duration::from_millis(50);

/// The pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Keeps the node's configuration up to date. Never returns.
pub(crate) async fn follow_routes<P: Ports>(node: Node<P>) {
    loop {
        let sent_at = node.0.clock.time();
        let version = match node.0.ports.routes().await {
            Ok(change) => {
                put_in_force(&node, change.value);
                node.confirm_configuration(sent_at, Source::Table);
                change.version
            }
            Err(e) => {
                log::warn!("event=config_unread error={:?}", e.to_string());
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        follow_from(&node, version).await;
    }
}

/// Follows changes after `version`. Returns when the platform no longer keeps the changes after the last version
/// that was read.
async fn follow_from<P: Ports>(node: &Node<P>, mut version: u64) {
    loop {
        let sent_at = node.0.clock.time();
        let wait = if node.is_configuration_outdated(sent_at) {
            CONFIRM_WAIT
        } else {
            FEED_WAIT
        };
        match node.0.ports.route_changes(version, wait).await {
            Ok(change) => {
                version = change.version;
                // The table holds a call without changes for `wait`. An answer that is read later, because this
                // process stood still, says nothing about the time after that.
                let held = if change.value.is_some() {
                    Duration::ZERO
                } else {
                    wait
                };
                let confirmed_at = node.0.clock.time().min(sent_at + held);
                put_in_force(node, change.value);
                node.confirm_configuration(confirmed_at, Source::Table);
            }
            Err(FeedError::HistoryGone) => return,
            Err(e @ FeedError::Call(_)) => {
                log::debug!("cannot read configuration: {e}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Puts a configuration in force, unless the one in force is as new or newer.
pub(crate) fn put_in_force<P: Ports>(node: &Node<P>, routes: Option<Routes>) {
    let Some(routes) = routes else {
        return;
    };
    let old = node
        .0
        .routes
        .borrow()
        .as_ref()
        .map(|routes| routes.version());
    if old.is_some_and(|old| old >= routes.version()) {
        return;
    }
    log::info!(
        "event=config_in_force version={} before={} queues={} teams={}",
        routes.version(),
        old.unwrap_or(0),
        routes.queues().count(),
        routes.teams().count()
    );
    node.0.metrics.set("config_version", routes.version());
    *node.0.routes.borrow_mut() = Some(Rc::new(routes));
    node.0.routes_changed.notify_waiters();
}
