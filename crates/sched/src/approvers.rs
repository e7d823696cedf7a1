//! Which node asks for an approval.
//!
//! Load pattern: the approval service answers one request at a time for each node. Requests for large
//! gangs take most of a second, those for lookups some 10 ms, and a lookup that waits behind a gang is
//! late. So some nodes ask for what is short only.

use std::{sync::Arc, time::Duration};

use model::Time;

/// Requests that take longer go to the nodes set aside for them. It lies between what lookups and what
/// batches take on the platform.
const LONG_REQUEST: Duration = Duration::from_millis(40);

/// One node in so many is set aside for short requests: those for lookups take a twentieth of the approvers'
/// time at most, those for gangs and batches most of it at the worst load.
const SHORT_SHARE: usize = 5;

#[derive(Debug)]
struct Approver {
    node: Arc<str>,
    busy_until: Time,
}

/// The nodes that can ask.
#[derive(Debug, Default)]
pub(crate) struct Approvers {
    nodes: Vec<Approver>,
}

impl Approvers {
    /// Sets which nodes can ask.
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

    /// Picks the node that will have the answer first, and counts the request on it. Returns the node
    /// and when its answer is expected, or none if it would have to wait for longer than `backlog`.
    pub(crate) fn pick(
        &mut self,
        now: Time,
        cost: Duration,
        backlog: Duration,
    ) -> Option<(Arc<str>, Time)> {
        let long = self.nodes.len() - self.nodes.len().div_ceil(SHORT_SHARE);
        let range = match long {
            0 => 0..self.nodes.len(),
            _ if cost >= LONG_REQUEST => 0..long,
            _ => long..self.nodes.len(),
        };
        let approver = self.nodes[range].iter_mut().min_by_key(|a| a.busy_until)?;
        if approver.busy_until > now + backlog {
            return None;
        }
        approver.busy_until = approver.busy_until.max(now) + cost;
        Some((approver.node.clone(), approver.busy_until))
    }
}
