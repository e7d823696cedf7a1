//! The lists of nodes and workers that the scheduler sends to the other nodes.
//!
//! With hundreds of nodes, a list of all of them that is sent to each of them whenever one joins takes more than the
//! scheduler's network link: at 300 nodes, 240 MB within the second in which they start. Heartbeats are then late, and
//! other nodes take over. So both lists are bounded for each receiver, and changes are collected.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::Time;

use crate::message::{Message, TEAMS_LEVEL};

/// The most node addresses that a node is sent. It asks these nodes which one schedules while it cannot reach the
/// table, so it needs some that are alive, not all.
const MAX_NODES: usize = 64;

/// The most names of workers of a pool that a node is sent. A node names at most 100 workers in a request for approvals.
const MAX_WORKERS: usize = 600;

/// The least time between two lists that are too long to be sent in full. Shorter ones are sent at once.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The names of workers by pool.
pub(super) type Pools = BTreeMap<String, Vec<Arc<str>>>;

/// Decides when a list that has changed is sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    /// The length up to which the list is sent at once.
    short: usize,
    is_changed: bool,
    sent_at: Option<Time>,
}

impl Schedule {
    pub(super) const fn of_nodes() -> Self {
        Self::new(MAX_NODES)
    }

    pub(super) const fn of_workers() -> Self {
        Self::new(MAX_WORKERS)
    }

    const fn new(short: usize) -> Self {
        Self {
            short,
            is_changed: false,
            sent_at: None,
        }
    }

    pub(super) const fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns whether the list, which has `length` items now, has changed and is due to be sent. If so, records that it
    /// is sent now.
    pub(super) fn take_due(&mut self, now: Time, length: usize) -> bool {
        let is_due = self.is_changed
            && (length <= self.short || self.sent_at.is_none_or(|at| now >= at + LIST_INTERVAL));
        if is_due {
            self.is_changed = false;
            self.sent_at = Some(now);
        }
        is_due
    }
}

/// Returns the messages that tell a receiver of a protocol level about nodes, given by their addresses and levels.
pub(super) fn node_messages(
    receiver: &str,
    level: u32,
    nodes: &[(String, u32)],
) -> impl Iterator<Item = Message> {
    let nodes = sample(receiver, nodes, MAX_NODES);
    let earlier = earlier_positions(&nodes);
    let addresses = nodes.into_iter().map(|(address, _)| address).collect();
    let earlier = (level >= TEAMS_LEVEL).then_some(Message::EarlierNodes(earlier));
    [Message::Nodes(addresses)].into_iter().chain(earlier)
}

/// Returns the positions of the nodes that do not answer questions for the configuration.
pub(super) fn earlier_positions(nodes: &[(String, u32)]) -> Vec<u32> {
    let levels = (0..).zip(nodes.iter().map(|(_, level)| *level));
    let earlier = levels.filter(|(_, level)| *level < TEAMS_LEVEL);
    earlier.map(|(position, _)| position).collect()
}

/// Returns the workers for a receiver.
pub(super) fn workers_for(receiver: &str, workers: &Pools) -> Pools {
    let pools = workers.iter();
    pools
        .map(|(pool, names)| (pool.clone(), sample(receiver, names, MAX_WORKERS)))
        .collect()
}

/// Returns at most `limit` items, which start at a place that depends on the receiver, so that all items are sent to
/// some receivers.
fn sample<T: Clone>(receiver: &str, items: &[T], limit: usize) -> Vec<T> {
    if items.len() <= limit {
        return items.to_vec();
    }
    let length = u64::try_from(items.len()).unwrap_or(u64::MAX);
    let start = usize::try_from(model::stable_hash(receiver.bytes()) % length).unwrap_or(0);
    let cycle = items.iter().cycle().skip(start);
    cycle.take(limit).cloned().collect()
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use super::*;

    fn nodes(count: usize) -> Vec<(String, u32)> {
        (0..count)
            .map(|i| (format!("10.0.0.{i}:7000"), u32::from(i != 1)))
            .collect()
    }

    fn addresses_for(receiver: &str, nodes: &[(String, u32)]) -> Vec<String> {
        match node_messages(receiver, 0, nodes).next() {
            Some(Message::Nodes(addresses)) => addresses,
            other => panic!("not a list of nodes: {other:?}"),
        }
    }

    /// Guards against lists whose size grows with the fleet, and against nodes that nobody knows.
    #[test]
    fn each_receiver_gets_a_bounded_part_and_together_they_get_all() {
        let nodes = nodes(300);
        let receivers = (0..300).map(|i| format!("n{i}"));
        let lists: Vec<Vec<String>> = receivers.map(|r| addresses_for(&r, &nodes)).collect();
        assert!(lists.iter().all(|list| list.len() == MAX_NODES));
        let known: BTreeSet<&String> = lists.iter().flatten().collect();
        assert_eq!(known.len(), nodes.len());
    }

    /// Guards against small fleets being served otherwise than by a full list.
    #[test]
    fn small_fleets_are_listed_in_full() {
        let nodes = nodes(MAX_NODES);
        let all: Vec<String> = nodes.iter().map(|(address, _)| address.clone()).collect();
        assert_eq!(addresses_for("n1", &nodes), all);
    }

    /// Guards against questions to nodes that cannot answer them, and against messages that a build does not know.
    #[test]
    fn nodes_of_earlier_builds_are_named_to_those_of_this_one() {
        let nodes = nodes(3);
        let messages: Vec<Message> = node_messages("n1", TEAMS_LEVEL, &nodes).collect();
        assert_eq!(messages[1], Message::EarlierNodes(vec![1]));
        assert_eq!(node_messages("n1", 0, &nodes).count(), 1);
    }

    /// Guards against a list for each of the nodes that join at the same time.
    #[test]
    fn changes_of_a_long_list_are_collected() {
        let mut schedule = Schedule::of_nodes();
        let sent = (0..300_u32).filter(|&count| {
            schedule.mark_changed();
            let length = usize::try_from(count).unwrap();
            schedule.take_due(Time::from_ms(count.into()), length)
        });
        assert_eq!(sent.count(), MAX_NODES + 1);
        assert!(schedule.take_due(Time::from_ms(2_100), 300));
        assert!(!schedule.take_due(Time::from_ms(9_000), 300));
    }
}
