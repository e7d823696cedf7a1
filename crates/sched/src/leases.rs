//! Bounds on task leases that outlast the scheduler that granted them.
//!
//! A worker that a new scheduler cannot reach may run its tasks until their leases have lapsed, and an earlier scheduler
//! that does not know of its successor may still renew them. What bounds this is kept in the lease row, as durations
//! from when the row was written, so that no clocks are compared:
//!
//! - for how long schedulers before the holder may renew leases;
//! - the workers whose leases the holder withholds, with the time until these have lapsed. A worker is listed once it has
//!   not been heard of for [`SchedConfig::withhold_after`]. From then on it is granted no lease until a row without it is
//!   stored. A successor replaces the very row that it has read, so what this row lists holds for all schedulers before.
//!
//! A worker that is not listed may have had its leases renewed for as long as the holder renews without the table, or
//! until the holder is known to have stopped: it has handed over, or its node tells that it follows the successor.

use std::{sync::Arc, time::Duration};

use model::{Time, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{LeaseRow, Now, SchedConfig, Scheduler, worker::millis};

/// The most workers that a row lists. A row has at most 64 KB, and is rewritten several times a second.
const MAX_LISTED: usize = 500;

/// What a lease row tells about task leases, as of when it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskLeases {
    /// For how long schedulers before the row's holder may still renew leases, in milliseconds.
    pub renewed_for_ms: u64,
    /// The workers whose leases are withheld.
    pub withheld: Vec<Withheld>,
}

/// A worker that is granted no leases.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Withheld {
    /// The worker's name.
    pub worker: Arc<str>,
    /// The time until its leases have lapsed, in milliseconds.
    pub lapse_in_ms: u64,
}

/// What a new scheduler knows of leases that were granted before, in its own time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PastLeases {
    /// The node that scheduled last; empty if it is known to have stopped.
    holder: String,
    /// Until when the last scheduler may renew leases.
    holder_renews_until: Time,
    /// Until when those before it may.
    others_renew_until: Time,
    /// The workers whose leases are withheld, with the times by which these have lapsed.
    withheld: Vec<(Arc<str>, Time)>,
}

impl PastLeases {
    /// Returns what holds if nothing is known of the schedulers before.
    pub(crate) fn unknown(now: Time, cfg: &SchedConfig) -> Self {
        Self {
            others_renew_until: now + cfg.renew_without_table,
            ..Self::default()
        }
    }

    /// Returns what a lease row shows to the node `own` that replaces it at `now`. The row was seen with this content at
    /// `seen_at`, so it was written by then.
    #[must_use]
    pub fn from_row(
        now: Time,
        seen_at: Time,
        row: &LeaseRow,
        own: &str,
        cfg: &SchedConfig,
    ) -> Self {
        // A node runs one process, and stops to schedule before it takes over again.
        let has_stopped = row.holder.is_empty() || row.holder == own;
        let unconfirmed_until = seen_at + cfg.renew_without_table;
        let holder_renews_until = if has_stopped { now } else { unconfirmed_until };
        let holder = if has_stopped { "" } else { &row.holder };
        let Some(leases) = &row.leases else {
            // Earlier builds do not tell, but those before the holder were replaced before the row was written.
            return Self {
                holder: holder.to_owned(),
                holder_renews_until,
                others_renew_until: unconfirmed_until,
                withheld: Vec::new(),
            };
        };
        let withheld = leases.withheld.iter();
        Self {
            holder: holder.to_owned(),
            holder_renews_until,
            others_renew_until: seen_at + Duration::from_millis(leases.renewed_for_ms),
            withheld: withheld
                .map(|w| {
                    let lapse_at = seen_at + Duration::from_millis(w.lapse_in_ms);
                    (w.worker.clone(), lapse_at)
                })
                .collect(),
        }
    }

    /// Returns until when any earlier scheduler may renew leases.
    pub(crate) fn renewed_until(&self) -> Time {
        self.holder_renews_until.max(self.others_renew_until)
    }

    /// Returns what to tell in a lease row that is written at `now` or later.
    #[must_use]
    pub fn to_row(&self, now: Time) -> TaskLeases {
        let withheld = self.withheld.iter();
        TaskLeases {
            renewed_for_ms: millis(self.renewed_until() - now),
            withheld: withheld
                .map(|(worker, lapse_at)| Withheld {
                    worker: worker.clone(),
                    lapse_in_ms: millis(*lapse_at - now),
                })
                .collect(),
        }
    }

    /// Returns by when the leases of a worker have lapsed, if they were withheld.
    fn lapse_of(&self, worker: &str) -> Option<Time> {
        let found = self.withheld.iter().find(|(name, _)| **name == *worker);
        found.map(|&(_, lapse_at)| lapse_at)
    }
}

/// Whether a worker is granted leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Withholding {
    /// Whether the next rows list the worker.
    is_wanted: bool,
    /// The number of the last batch that listed it, until one that does not is stored.
    listed_by: Option<u64>,
}

impl Withholding {
    /// Returns whether leases may be granted: no row that may be stored lists the worker.
    pub(crate) const fn allows_grants(self) -> bool {
        !self.is_wanted && self.listed_by.is_none()
    }

    /// Lists the worker no longer.
    pub(crate) const fn end(&mut self) {
        self.is_wanted = false;
    }

    /// Returns whether the next batch makes grants possible again.
    pub(crate) const fn ends_with_next_batch(self) -> bool {
        !self.is_wanted && self.listed_by.is_some()
    }
}

impl Scheduler {
    /// Sets by when the leases of a worker have lapsed whose runs were found in the table. It has some time to answer
    /// even if they have lapsed already, because it may list ends.
    pub(crate) fn recover_lease_end(&mut self, now: Time, id: WorkerId) {
        let worker = self.fleet.get_mut(id);
        let withheld = self.past_leases.lapse_of(&worker.info.name);
        let assumed = self.past_leases.renewed_until() + self.cfg.lapse_after();
        if withheld.is_some() && self.journal.batches() == 0 {
            // The row of the takeover lists it. A worker without runs is granted leases only for starts that are stored
            // with a later row.
            worker.withholding = Withholding {
                is_wanted: true,
                listed_by: Some(0),
            };
        }
        let lapse_at = withheld.unwrap_or(assumed);
        let lapse_at = lapse_at.max(now + self.cfg.withhold_after);
        worker.lapse_at = worker.lapse_at.max(lapse_at);
        // After a restart, orders may have granted leases on the clock of another incarnation.
        let is_assumed = withheld.is_none() && worker.restarted_at.is_none();
        worker.assumed_lapse = is_assumed.then_some(worker.lapse_at);
        worker.unheard_since.get_or_insert(now);
    }

    /// Handles that a node follows this scheduler, and so does not schedule itself. If it scheduled before, it renews no
    /// more leases.
    pub fn node_follows(&mut self, now: Now, node: &str) {
        let past = &mut self.past_leases;
        if past.holder.is_empty() || past.holder != node {
            return;
        }
        past.holder.clear();
        past.holder_renews_until = past.holder_renews_until.min(now.time);
        let lapse_at = past.renewed_until().max(now.time) + self.cfg.lapse_after();
        for worker in self.fleet.iter_mut() {
            if let Some(assumed) = &mut worker.assumed_lapse {
                *assumed = lapse_at.min(*assumed);
                worker.lapse_at = *assumed;
            }
        }
    }

    /// Decides which workers are granted no leases.
    pub(crate) fn update_withheld(&mut self, now: Time) {
        let after = self.cfg.withhold_after;
        for worker in self.fleet.iter_mut() {
            let is_lost = worker.unheard_since.is_some() && worker.sent_runs().next().is_some();
            let was_wanted = worker.withholding.is_wanted;
            worker.withholding.is_wanted =
                is_lost && (was_wanted || worker.unheard_for(now) >= after);
        }
    }

    /// Returns whether the next batch makes grants to a worker possible.
    pub(crate) fn has_withheld_to_end(&self) -> bool {
        let mut workers = self.fleet.iter();
        workers.any(|worker| worker.withholding.ends_with_next_batch())
    }

    /// Returns what the lease row tells with the batch of this number.
    pub(crate) fn list_leases(&mut self, now: Time, batch: u64) -> TaskLeases {
        self.update_withheld(now);
        let mut withheld = Vec::new();
        let workers = self.fleet.iter_mut();
        for worker in workers.filter(|worker| worker.withholding.is_wanted) {
            if withheld.len() == MAX_LISTED {
                break;
            }
            worker.withholding.listed_by = Some(batch);
            withheld.push(Withheld {
                worker: worker.info.name.clone(),
                lapse_in_ms: millis(worker.lapse_at - now),
            });
        }
        TaskLeases {
            renewed_for_ms: millis(self.past_leases.renewed_until() - now),
            withheld,
        }
    }

    /// Records that the batch of this number is stored: workers that it does not list may be granted leases again.
    pub(crate) fn leases_listed(&mut self, batch: u64) {
        for worker in self.fleet.iter_mut() {
            if worker.withholding.listed_by.is_some_and(|by| by < batch) {
                worker.withholding.listed_by = None;
                self.needs_pass = true;
            }
        }
    }
}
