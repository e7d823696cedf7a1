//! The order in which the linked nodes should try to succeed the scheduler.
//!
//! A scheduler near the table recovers in 30 ms and starts a task after two answers of 10 ms; from another region both take
//! several times as long. A node that is about to stop would have to hand over again, and one with a small share of a
//! processor falls behind on a large fleet. So nodes report how they stand, and the scheduler tells each one its rank. The
//! one with rank 0 takes over without a delay, the others one after the other.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// Answers of the table that are longer than the shortest ones by less than this count as equally short. It lies between
/// the variation within a region and the delay between regions, 40 ms for both ways.
const SIMILAR_ANSWERS: Duration = Duration::from_millis(15);

/// A node counts as small if it has less than the largest one's processors divided by this.
const SMALL_DIVISOR: u64 = 2;

/// The weight of an answer in the moving average of their durations, as a divisor.
const AVERAGE_WEIGHT: u32 = 8;

/// How well a node could schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Standing {
    /// Whether the node is about to stop.
    pub(crate) is_draining: bool,
    /// The time that the table takes to answer the node, in microseconds.
    pub(crate) table_answer_us: u64,
    /// The node's share of processors, in thousandths of a processor.
    pub(crate) processor_milli: u64,
}

/// Updates the moving average of the time that the table takes to answer.
pub(crate) fn average_answer(average: Option<Duration>, answer: Duration) -> Duration {
    average.map_or(answer, |average| {
        (average * (AVERAGE_WEIGHT - 1) + answer) / AVERAGE_WEIGHT
    })
}

/// Returns the names of the nodes in the order in which they should try to take over: those that stay before those that
/// drain, then those that are not small, then those near the table, then those with most processors.
pub(crate) fn order<'a>(
    nodes: impl IntoIterator<Item = (&'a Arc<str>, Standing)>,
) -> Vec<&'a Arc<str>> {
    let mut nodes: Vec<_> = nodes.into_iter().collect();
    let staying = nodes.iter().filter(|(_, standing)| !standing.is_draining);
    let shortest = staying.map(|(_, standing)| standing.table_answer_us).min();
    let processors = nodes.iter().map(|(_, standing)| standing.processor_milli);
    let most_processors = processors.max().unwrap_or_default();
    let similar = u64::try_from(SIMILAR_ANSWERS.as_micros()).unwrap_or(u64::MAX);
    // While the table is slow, all answers take longer, and vary more.
    let limit = shortest.map_or(0, |us| us.saturating_mul(2).max(us + similar));
    nodes.sort_by_key(|&(name, standing)| {
        let is_small = standing.processor_milli < most_processors / SMALL_DIVISOR;
        let is_far = standing.table_answer_us > limit;
        let processors = std::cmp::Reverse(standing.processor_milli);
        (standing.is_draining, is_small, is_far, processors, name)
    });
    nodes.into_iter().map(|(name, _)| name).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ordered(nodes: &[(&str, Standing)]) -> Vec<String> {
        let nodes: Vec<(Arc<str>, Standing)> = nodes
            .iter()
            .map(|&(name, standing)| (name.into(), standing))
            .collect();
        let nodes = nodes.iter().map(|(name, standing)| (name, *standing));
        order(nodes).iter().map(ToString::to_string).collect()
    }

    fn standing(table_answer_ms: u64, processor_milli: u64) -> Standing {
        Standing {
            is_draining: false,
            table_answer_us: table_answer_ms * 1_000,
            processor_milli,
        }
    }

    /// Guards against a scheduler in another region than the table, and against one on a VM that is about to stop.
    #[test]
    fn a_node_near_the_table_that_stays_comes_first() {
        let stopping = Standing {
            is_draining: true,
            ..standing(8, 500)
        };
        let nodes = [
            ("a", standing(49, 500)),
            ("b", stopping),
            ("c", standing(11, 250)),
            ("d", standing(9, 250)),
            ("e", standing(12, 500)),
        ];
        assert_eq!(ordered(&nodes), ["e", "c", "d", "a", "b"]);
    }

    /// Guards against a scheduler that cannot keep up with its fleet because it has a small processor.
    #[test]
    fn a_small_node_comes_last_even_if_it_is_near_the_table() {
        let nodes = [
            ("a", standing(8, 120)),
            ("b", standing(49, 500)),
            ("c", standing(49, 400)),
        ];
        assert_eq!(ordered(&nodes), ["b", "c", "a"]);
    }

    /// Guards against an order that changes with every answer while the table is slow.
    #[test]
    fn small_differences_do_not_change_the_order() {
        let nodes = |a, b| [("a", standing(a, 250)), ("b", standing(b, 250))];
        assert_eq!(ordered(&nodes(5, 9)), ordered(&nodes(9, 5)));
        assert_eq!(ordered(&nodes(700, 400)), ordered(&nodes(400, 700)));
        assert_ne!(ordered(&nodes(49, 8)), ordered(&nodes(8, 49)));
    }

    #[test]
    fn the_average_follows_the_answers() {
        let first = average_answer(None, Duration::from_millis(8));
        assert_eq!(first, Duration::from_millis(8));
        let next = average_answer(Some(first), Duration::from_millis(16));
        assert_eq!(next, Duration::from_millis(9));
    }
}
