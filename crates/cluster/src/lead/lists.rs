//! The lists of nodes and workers that the scheduler sends to the other nodes.
//!
//! With hundreds of nodes, a list of all of them that is sent to each of them whenever one joins takes more than the
//! scheduler's network link: at 300 nodes, 240 MB within the second in which they start. Heartbeats are then late, and
//! other nodes take over. So both lists are bounded for each receiver, and changes are collected.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use model::Time;

/// The most node addresses that a node is sent. It asks these nodes which one schedules while it cannot reach the
/// table, so it needs some that are alive, not all.
const MAX_NODES: usize = 64;

/// The most names of workers of a pool that a node is sent. A node names at most 100 workers in a request for approvals.
const MAX_WORKERS: usize = 600;

/// The least time between two lists of nodes, and between two lists of workers if these are longer than [`MAX_WORKERS`].
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// The names of workers by pool.
pub(super) type Pools = BTreeMap<String, Vec<Arc<str>>>;

/// Collects changes of a list until it is due to be sent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Schedule {
    is_changed: bool,
    sent_at: Option<Time>,
}

impl Schedule {
    pub(super) const fn mark_changed(&mut self) {
        self.is_changed = true;
    }

    /// Returns whether the list has changed and is due to be sent, and if so records that it is sent now.
    pub(super) fn take_due(&mut self, now: Time) -> bool {
        let is_due = self.is_changed && self.sent_at.is_none_or(|at| now >= at + LIST_INTERVAL);
        if is_due {
            self.is_changed = false;
            self.sent_at = Some(now);
        }
        is_due
    }
}

/// Returns the node addresses for a receiver.
pub(super) fn nodes_for(receiver: &str, nodes: &[String]) -> Vec<String> {
    sample(receiver, nodes, MAX_NODES)
}

/// Returns the workers for a receiver.
pub(super) fn workers_for(receiver: &str, workers: &Pools) -> Pools {
    let pools = workers.iter();
    pools
        .map(|(pool, names)| (pool.clone(), sample(receiver, names, MAX_WORKERS)))
        .collect()
}

/// Returns whether no receiver gets all workers.
pub(super) fn is_large(workers: &Pools) -> bool {
    workers.values().any(|names| names.len() > MAX_WORKERS)
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

    fn addresses(count: usize) -> Vec<String> {
        (0..count).map(|i| format!("10.0.0.{i}:7000")).collect()
    }

    /// Guards against lists whose size grows with the fleet, and against nodes that nobody knows.
    #[test]
    fn each_receiver_gets_a_bounded_part_and_together_they_get_all() {
        let nodes = addresses(300);
        let receivers = (0..300).map(|i| format!("n{i}"));
        let lists: Vec<Vec<String>> = receivers.map(|r| nodes_for(&r, &nodes)).collect();
        assert!(lists.iter().all(|list| list.len() == MAX_NODES));
        let known: BTreeSet<&String> = lists.iter().flatten().collect();
        assert_eq!(known.len(), nodes.len());
    }

    /// Guards against small fleets being served otherwise than by a full list.
    #[test]
    fn small_fleets_are_listed_in_full() {
        let nodes = addresses(MAX_NODES);
        assert_eq!(nodes_for("n1", &nodes), nodes);
    }

    /// Guards against a list for each of the nodes that join at the same time.
    #[test]
    fn changes_are_collected() {
        let mut schedule = Schedule::default();
        let sent = (0_u64..300).filter(|&ms| {
            schedule.mark_changed();
            schedule.take_due(Time::from_ms(ms))
        });
        assert_eq!(sent.count(), 1);
        assert!(schedule.take_due(Time::from_ms(2_000)));
        assert!(!schedule.take_due(Time::from_ms(9_000)));
    }
}
