//! A stand-in for the approval service. It handles one request of a node at a time, and its answers never
//! change.

use std::{collections::HashMap, sync::Arc, time::Duration};

use jobs::StepKey;
use model::{Time, WorkerId, stable_hash};

#[derive(Debug)]
pub(super) struct Approvals {
    seed: u64,
    busy_until: HashMap<Arc<str>, Time>,
    pub(super) requests: u64,
}

impl Approvals {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            seed,
            busy_until: HashMap::new(),
            requests: 0,
        }
    }

    /// Returns when a node has the answer to a request that it makes now and that takes `cost`.
    pub(super) fn answer_at(&mut self, now: Time, node: &Arc<str>, cost: Duration) -> Time {
        self.requests += 1;
        let busy = self.busy_until.entry(node.clone()).or_default();
        *busy = (*busy).max(now) + cost;
        *busy
    }

    /// Returns whether a host may run a step that a `share` of the hosts may run. Of any ten consecutive
    /// hosts that share is allowed, so that no step is left without hosts by chance.
    pub(super) fn is_allowed(&self, step: StepKey, host: WorkerId, share: f64) -> bool {
        let text = format!("{}/{step}", self.seed);
        let turn = (stable_hash(text.bytes()) % 10 + u64::from(host.0) * 7) % 10;
        f64::from(u32::try_from(turn).unwrap_or(0)) < share * 10.0
    }
}
