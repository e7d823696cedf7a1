//! Objectives and approval costs are finite and not negative for any values that an operator
//! writes.

use std::time::Duration;

use jobs::{ApprovalCost, Queue};

const WEEK: Duration = Duration::from_secs(7 * 24 * 3_600);

/// Guards against a panic or an overflow for a negative, infinite or NaN stretch.
#[test]
fn objectives_are_bounded_for_any_stretch() {
    let chain = Duration::from_secs(4);
    let cases = [
        (2.5, Duration::from_secs(13)),
        (0.0, Duration::from_secs(3)),
        (-1.0, Duration::from_secs(3)),
        (f64::NAN, Duration::from_secs(3)),
        (1e300, WEEK + Duration::from_secs(3)),
        (f64::INFINITY, WEEK + Duration::from_secs(3)),
    ];
    for (stretch, expected) in cases {
        let queue = Queue {
            target: Duration::from_secs(3),
            stretch,
            ..Queue::default()
        };
        assert_eq!(queue.objective(chain), expected, "{stretch}");
    }
}

/// Guards against a panic or an overflow for negative, huge or NaN costs.
#[test]
fn approval_costs_are_bounded_for_any_settings() {
    let cases = [
        (340.0, 4.9, Duration::from_millis(389)),
        (-5.0, 0.0, Duration::ZERO),
        (f64::NAN, 1.0, Duration::ZERO),
        (1e300, 1e300, WEEK),
    ];
    for (base_ms, per_worker_ms, expected) in cases {
        let cost = ApprovalCost {
            base_ms,
            per_worker_ms,
            ..ApprovalCost::default()
        };
        assert_eq!(cost.of(10), expected, "{base_ms} {per_worker_ms}");
    }
}
