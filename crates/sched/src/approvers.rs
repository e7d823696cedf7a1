//! Assigns approval requests to nodes.
//!
//! The approval service answers one request at a time for each node. Requests for large gangs take
//! most of a second, those for lookups (small interactive jobs) some 10 ms, and a lookup that waits
//! behind a gang is late. So some nodes send only short requests.

use std::{sync::Arc, time::Duration};

use model::Time;

/// Requests that take at least this long are sent only by the nodes for long requests. The value
/// lies between the durations of requests for lookups and for batches on the platform.
const MIN_LONG_REQUEST: Duration = Duration::from_millis(40);

/// One node in this many is set aside for short requests. Requests for lookups take at most a
/// twentieth of the approvers' time; those for gangs and batches take most of it at the highest
/// load.
const SHORT_ONLY_ONE_IN: usize = 5;

#[derive(Debug)]
struct Approver {
    node: Arc<str>,
    busy_until: Time,
}

/// The nodes that can request approvals, sorted by name.
#[derive(Debug, Default)]
pub(crate) struct Approvers {
    nodes: Vec<Approver>,
}

impl Approvers {
    /// Replaces the nodes. Those that were known before keep their `busy_until`.
    pub(crate) fn set(&mut self, nodes: impl IntoIterator<Item = Arc<str>>) {
        let mut old = std::mem::take(&mut self.nodes);
        self.nodes = nodes
            .into_iter()
            .map(|node| {
                let known = old.iter_mut().find(|approver| approver.node == node);
                let busy_until = known.map_or(Time::ZERO, |approver| approver.busy_until);
                Approver { node, busy_until }
            })
            .collect();
        self.nodes.sort_by(|a, b| a.node.cmp(&b.node));
    }

    /// Picks the node that will have the answer first, and extends its `busy_until` by `cost`.
    /// Returns the node and when its answer is expected, or `None` if the request would have to
    /// wait for longer than `backlog`.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        cost: Duration,
        backlog: Duration,
    ) -> Option<(Arc<str>, Time)> {
        let long = self.long_count();
        let range = match long {
            // A single node sends requests of both kinds.
            0 => 0..self.nodes.len(),
            _ if cost >= MIN_LONG_REQUEST => 0..long,
            _ => long..self.nodes.len(),
        };
        let approver = self.nodes[range].iter_mut().min_by_key(|a| a.busy_until)?;
        if approver.busy_until > now + backlog {
            return None;
        }
        approver.busy_until = approver.busy_until.max(now) + cost;
        Some((approver.node.clone(), approver.busy_until))
    }

    /// Returns the number of nodes that send long requests.
    fn long_count(&self) -> usize {
        self.nodes.len() - self.nodes.len().div_ceil(SHORT_ONLY_ONE_IN)
    }

    /// Returns whether more than a quarter of the nodes for long requests are idle.
    pub(crate) fn have_spare(&self, now: Time) -> bool {
        let long = &self.nodes[..self.long_count()];
        let idle = long.iter().filter(|node| node.busy_until <= now).count();
        idle * 4 > long.len()
    }
}
