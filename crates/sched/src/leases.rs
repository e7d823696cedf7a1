//! Bounds on task leases that outlast the scheduler that granted them.
//!
//! A worker that a new scheduler cannot reach may run its tasks until their leases have lapsed, and an earlier scheduler
//! that does not know of its successor may still renew them. What bounds this is kept in the lease row, as durations
//! from when the row was written, so that no clocks are compared:
//!
//! - which earlier schedulers may still renew leases, and for how long; and whether the holder may have granted any;
//! - bounds of workers that have not been heard of for [`SchedConfig::bound_after`], or not yet by this scheduler: until a
//!   row without the worker is stored, it is granted no lease that ends later. A successor replaces the very row that it
//!   has read, so the bound holds for all schedulers before it. Starts are not delayed, as each is stored first, with a
//!   row that does not tell the bound of a worker that has answered;
//! - the workers with runs that may have longer leases than usual;
//! - the workers whose runs a later incarnation may have begun than the one that the scheduler knows.
//!
//! The leases of a worker without a bound may be renewed for as long as an earlier scheduler renews without the table, or
//! until that one is known to have stopped: it has handed over, or its node tells that it follows the successor.
//!
//! A lease belongs to an incarnation of a worker, lasts though nothing runs, and applies to what starts later. It names a
//! time on the worker's clock, so an order that reaches a later incarnation than the one it was meant for grants the longest
//! lease. A scheduler does not know which incarnation has carried out its last orders until it has read the lists, or a clock
//! in an answer to a start. So:
//!
//! - a run that neither has shown yet is waited for as if each order to its worker had granted the longest lease;
//! - an incarnation may have the longest lease from all orders before the first answer to a poll that makes it refuse them,
//!   unless an earlier scheduler has recorded a run on it, and so has told in the row what it knows.

use std::{sync::Arc, time::Duration};

use jobs::trailing;
use model::{Time, WorkerId};
use serde::{Deserialize, Serialize};

use crate::{LeaseRow, Now, SchedConfig, Scheduler, worker::millis};

/// The most bytes of each list of a row. A row has at most 64 KB, and is rewritten several times a second.
const MAX_LIST_BYTES: usize = 20 << 10;

/// The bytes of an entry of a list besides the worker's name: the length of the name, and a time of less than a minute.
const ENTRY_BYTES: usize = 4;

/// What a lease row tells about task leases, as of when it was written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskLeases {
    /// The schedulers before the row's holder that may still renew leases.
    pub renewers: Vec<Renewer>,
    /// Whether the holder may have granted leases.
    pub holder_grants: bool,
    /// The workers that are granted no leases beyond a bound.
    pub bounded: Vec<LeaseEnd>,
    /// The workers with runs whose leases may end later than those that are granted now.
    pub longer: Vec<LeaseEnd>,
    /// The workers with runs that a later incarnation may have begun than the one that the holder knows. `None` if that or
    /// `longer` is not known of all workers, as in rows of earlier builds.
    #[serde(with = "trailing", skip_serializing_if = "trailing::is_default")]
    pub unsettled: Option<Vec<Arc<str>>>,
}

/// A scheduler that may still renew leases.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Renewer {
    /// The node; empty if it is not known.
    pub node: String,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

/// When all leases of a worker have lapsed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseEnd {
    /// The worker's name.
    pub worker: Arc<str>,
    /// The time until then, in milliseconds.
    pub in_ms: u64,
}

impl LeaseEnd {
    fn new(worker: &Arc<str>, end: Time, now: Time) -> Self {
        Self {
            worker: worker.clone(),
            in_ms: millis(end - now),
        }
    }
}

/// What a new scheduler knows of leases that were granted before, in its own time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PastLeases {
    /// By when all earlier schedulers but the `renewers` had stopped; `None` if there was none.
    stopped_by: Option<Time>,
    /// The nodes that may renew leases as earlier schedulers, and until when.
    renewers: Vec<(String, Time)>,
    bounded: Vec<(Arc<str>, Time)>,
    longer: Vec<(Arc<str>, Time)>,
    /// The workers with runs that a later incarnation may have begun than is recorded; `None` if it is not known which.
    unsettled: Option<Vec<Arc<str>>>,
}

impl PastLeases {
    /// Returns what holds if nothing is known of the schedulers before.
    pub(crate) fn unknown(now: Time, cfg: &SchedConfig) -> Self {
        Self {
            stopped_by: Some(now),
            renewers: vec![(String::new(), now + cfg.renew_without_table)],
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
        let unconfirmed_until = seen_at + cfg.renew_without_table;
        let Some(leases) = &row.leases else {
            // Earlier builds do not tell, but those before the holder were replaced before the row was written.
            return Self {
                stopped_by: Some(now),
                renewers: vec![(String::new(), unconfirmed_until)],
                ..Self::default()
            };
        };
        let after = |ms: u64| seen_at + Duration::from_millis(ms);
        let mut renewers: Vec<(String, Time)> = (leases.renewers.iter())
            .map(|renewer| (renewer.node.clone(), after(renewer.for_ms)))
            .collect();
        if leases.holder_grants && !row.holder.is_empty() {
            renewers.push((row.holder.clone(), unconfirmed_until));
        }
        // A node runs one process, and stops to schedule before it takes over again.
        renewers.retain(|(node, until)| node != own && *until > now);
        let ends = |list: &[LeaseEnd]| {
            let ends = list.iter();
            ends.map(|end| (end.worker.clone(), after(end.in_ms)))
                .collect()
        };
        Self {
            stopped_by: Some(now),
            renewers,
            bounded: ends(&leases.bounded),
            longer: ends(&leases.longer),
            unsettled: leases.unsettled.clone(),
        }
    }

    /// Returns what to tell in a lease row that is written at `now` or later, before the holder grants leases.
    #[must_use]
    pub fn to_row(&self, now: Time) -> TaskLeases {
        let ends = |list: &[(Arc<str>, Time)]| {
            let left = list.iter().filter(|(_, end)| *end > now);
            left.map(|(worker, end)| LeaseEnd::new(worker, *end, now))
                .collect()
        };
        TaskLeases {
            renewers: self.renewers(now),
            holder_grants: false,
            bounded: ends(&self.bounded),
            longer: ends(&self.longer),
            unsettled: self.unsettled.clone(),
        }
    }

    /// Returns the schedulers that may still renew leases.
    fn renewers(&self, now: Time) -> Vec<Renewer> {
        let left = self.renewers.iter().filter(|(_, until)| *until > now);
        left.map(|(node, until)| Renewer {
            node: node.clone(),
            for_ms: millis(*until - now),
        })
        .collect()
    }

    /// Returns until when earlier schedulers may have sent orders that grant leases; `None` if there was none.
    pub(crate) fn granted_until(&self) -> Option<Time> {
        let renewed_until = self.renewers.iter().map(|&(_, until)| until).max();
        renewed_until.max(self.stopped_by)
    }

    /// Returns whether the recorded runs of a worker are on the incarnation that is recorded with them, or nowhere.
    pub(crate) fn is_settled(&self, worker: &str) -> bool {
        let unsettled = self.unsettled.as_ref();
        unsettled.is_some_and(|workers| !workers.iter().any(|name| **name == *worker))
    }

    /// Returns by when the leases of a worker without a bound have lapsed, as far as earlier schedulers have granted them.
    fn assumed_end(&self, worker: &str, cfg: &SchedConfig) -> Time {
        let lapse = if self.is_settled(worker) {
            cfg.lapse_after()
        } else {
            cfg.late_start + cfg.longest_lapse()
        };
        let longer = find(&self.longer, worker).unwrap_or_default();
        longer.max(self.granted_until().unwrap_or_default() + lapse)
    }

    /// Returns by when the leases of a worker have lapsed that refuses earlier schedulers from now on, if runs of its
    /// present incarnation are recorded.
    pub(crate) fn recorded_end(&self, now: Time, worker: &str, cfg: &SchedConfig) -> Time {
        let lapse = if self.unsettled.is_some() {
            cfg.lapse_after()
        } else {
            cfg.longest_lapse()
        };
        let longer = find(&self.longer, worker).unwrap_or_default();
        longer.max(now + lapse)
    }

    /// Returns by when the leases of a worker have lapsed that refuses earlier schedulers from now on, if no runs of its
    /// present incarnation are recorded; `None` if there was no earlier scheduler.
    pub(crate) fn longest_end(&self, now: Time, cfg: &SchedConfig) -> Option<Time> {
        let until = self.granted_until()? + cfg.late_start;
        Some(until.min(now) + cfg.longest_lapse())
    }

    /// Notes that a node does not schedule. Returns whether that changes anything.
    fn stopped(&mut self, now: Time, node: &str) -> bool {
        let before = self.renewers.len();
        self.renewers.retain(|(renewer, _)| renewer != node);
        let has_stopped = self.renewers.len() < before;
        if has_stopped {
            self.stopped_by = Some(now);
        }
        has_stopped
    }
}

fn find(list: &[(Arc<str>, Time)], worker: &str) -> Option<Time> {
    let found = list.iter().find(|(name, _)| **name == *worker);
    found.map(|&(_, end)| end)
}

/// A bound that rows tell for the leases of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LeaseBound {
    /// When they have lapsed, if the next row tells it.
    wanted: Option<Time>,
    /// The earliest end that the rows so far have told, with the number of the last batch that told one, until a batch that
    /// does not is stored.
    told: Option<(Time, u64)>,
}

impl LeaseBound {
    /// Returns by when a lease that is granted now must have lapsed.
    pub(crate) fn limit(self) -> Option<Time> {
        let told = self.told.map(|(end, _)| end);
        self.wanted.into_iter().chain(told).min()
    }

    /// Notes that a batch tells an end.
    fn tell(&mut self, end: Time, batch: u64) {
        let earliest = self.told.map_or(end, |(told, _)| told.min(end));
        self.told = Some((earliest, batch));
    }

    /// Tells the bound no longer.
    pub(crate) const fn end(&mut self) {
        self.wanted = None;
    }

    const fn ends_with_next_batch(self) -> bool {
        self.wanted.is_none() && self.told.is_some()
    }
}

impl Scheduler {
    /// Notes what is known of the leases of a worker whose runs were found in the table. It has some time to answer even if
    /// they have lapsed already, because it may list ends.
    pub(crate) fn recover_leases(&mut self, now: Time, id: WorkerId) {
        let worker = self.fleet.get_mut(id);
        worker.unheard_since.get_or_insert(now);
        let contact_until = now + self.cfg.bound_after;
        let Some(end) = find(&self.past_leases.bounded, &worker.info.name) else {
            let end = (self.past_leases).assumed_end(&worker.info.name, &self.cfg);
            worker.assumed_lapse = Some(end.max(contact_until));
            return;
        };
        worker.lapse_at = worker.lapse_at.max(end).max(contact_until);
        if self.journal.batches() == 0 {
            // The row of the takeover tells the bound. Later, the starts of all runs on the worker are stored with rows
            // that do not.
            worker.bound = LeaseBound {
                wanted: Some(end),
                told: Some((end, 0)),
            };
        }
    }

    /// Handles that a node follows this scheduler, and so does not schedule itself. If it did before, it renews no more
    /// leases.
    pub fn node_follows(&mut self, now: Now, node: &str) {
        if !self.past_leases.stopped(now.time, node) {
            return;
        }
        for worker in self.fleet.iter_mut() {
            if let Some(assumed) = &mut worker.assumed_lapse {
                let end = (self.past_leases).assumed_end(&worker.info.name, &self.cfg);
                *assumed = end.min(*assumed);
            }
            let granted_until = self.past_leases.granted_until().unwrap_or_default();
            for run in worker.runs.values_mut() {
                run.former_orders_until = run.former_orders_until.min(granted_until);
            }
        }
    }

    /// Decides for which workers the next row tells a bound.
    fn update_bounds(&mut self, now: Time) {
        let (after, grace) = (self.cfg.bound_after, self.cfg.bound_grace);
        for worker in self.fleet.iter_mut() {
            let is_lost = worker.unheard_since.is_some() && worker.sent_runs().next().is_some();
            let is_new = worker.heard_at.is_none();
            if !is_lost {
                worker.bound.end();
            } else if is_new {
                worker.bound.wanted = Some(worker.leases_end());
            } else if worker.bound.wanted.is_none() && worker.unheard_for(now) >= after {
                // It may answer again while no row can be stored.
                let told = worker.bound.told.map(|(end, _)| end);
                worker.bound.wanted = Some(told.unwrap_or(worker.leases_end() + grace));
            }
        }
    }

    /// Returns whether a batch is due for what its row tells: it ends a bound, or it is the first after a takeover.
    pub(crate) fn has_bound_to_tell(&self) -> bool {
        let is_first = self.journal.batches() == 0;
        let mut workers = self.fleet.iter();
        workers
            .any(|w| w.bound.ends_with_next_batch() || (is_first && w.sent_runs().next().is_some()))
    }

    /// Returns what the lease row tells with the batch of this number.
    pub(crate) fn list_leases(&mut self, now: Time, batch: u64) -> TaskLeases {
        self.update_bounds(now);
        let usual = now + self.cfg.lapse_after();
        let mut bounded = List::default();
        let mut longer = List::default();
        let mut unsettled = List::default();
        for worker in self.fleet.iter_mut() {
            let name = worker.info.name.clone();
            let ends_at = worker.known_leases_end();
            let is_bounded = worker.bound.wanted.is_some_and(|end| {
                let end_now = end.max(worker.leases_end());
                let is_told = bounded.add(&name, || LeaseEnd::new(&name, end_now, now));
                if is_told {
                    worker.bound.tell(end, batch);
                }
                is_told
            });
            if !is_bounded && ends_at > usual && !worker.runs.is_empty() {
                longer.add(&name, || LeaseEnd::new(&name, ends_at, now));
            }
            if worker.has_unsettled_runs() {
                unsettled.add(&name, || name.clone());
            }
        }
        for name in self.announced.orphan_workers() {
            unsettled.add(name, || name.clone());
        }
        // A worker that the list of bounds leaves out is among the longer ones, if it has to be.
        let is_complete = longer.is_complete && unsettled.is_complete;
        TaskLeases {
            renewers: self.past_leases.renewers(now),
            holder_grants: true,
            bounded: bounded.rows,
            longer: longer.rows,
            unsettled: is_complete.then_some(unsettled.rows),
        }
    }

    /// Records that the batch of this number is stored: bounds that it does not tell have ended.
    pub(crate) fn leases_told(&mut self, batch: u64) {
        for worker in self.fleet.iter_mut() {
            if worker.bound.told.is_some_and(|(_, by)| by < batch) {
                worker.bound.told = None;
                self.needs_pass = true;
            }
        }
    }
}

/// A list of a row, which is bounded in size.
struct List<T> {
    rows: Vec<T>,
    bytes: usize,
    /// Whether nothing was left out.
    is_complete: bool,
}

impl<T> Default for List<T> {
    fn default() -> Self {
        Self {
            rows: Vec::new(),
            bytes: 0,
            is_complete: true,
        }
    }
}

impl<T> List<T> {
    /// Adds the row of a worker, unless the list is full. Returns whether it was added.
    fn add(&mut self, name: &str, row: impl FnOnce() -> T) -> bool {
        self.bytes += name.len() + ENTRY_BYTES;
        let has_room = self.bytes <= MAX_LIST_BYTES;
        if has_room {
            self.rows.push(row());
        }
        self.is_complete &= has_room;
        has_room
    }
}
