//! The slots and connections of backend servers that are granted to this node, and their use.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Class, Time, WorkerId};

use crate::{Grant, ShareReport};

/// How long a peak of use counts as demand in the reports to the scheduler.
const PEAK_WINDOW: Duration = Duration::from_secs(2);

/// The slots of one backend server that this node uses.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    in_use: u32,
    /// The slots in use by requests that are not interactive.
    non_interactive: u32,
    /// The highest value of `in_use` since the last reset of the peaks.
    recent_peak: u32,
}

/// The grants of this node, and its use of each backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    interactive_percent: u32,
    grants: BTreeMap<WorkerId, Grant>,
    usage: BTreeMap<WorkerId, Usage>,
    /// The backend servers with a replica of an interactive service.
    interactive_workers: BTreeSet<WorkerId>,
    next_peak_reset: Time,
}

impl Slots {
    pub(crate) fn new(interactive_percent: u32) -> Self {
        Self {
            interactive_percent,
            ..Self::default()
        }
    }

    pub(crate) fn set_grant(&mut self, worker: WorkerId, grant: Grant) {
        self.grants.insert(worker, grant);
    }

    pub(crate) fn set_grants(&mut self, grants: BTreeMap<WorkerId, Grant>) {
        self.grants = grants;
    }

    /// Extends all grants to `until`. Grants that are valid for longer stay as they are.
    pub(crate) fn renew(&mut self, until: Time) {
        for grant in self.grants.values_mut() {
            grant.until = grant.until.max(until);
        }
    }

    pub(crate) fn set_interactive_workers(&mut self, workers: BTreeSet<WorkerId>) {
        self.interactive_workers = workers;
    }

    /// Returns how many slots of a backend server requests of a class may use.
    ///
    /// On servers with an interactive service, a part of the slots is reserved for interactive requests.
    pub(crate) fn usable(&self, now: Time, worker: WorkerId, class: Class) -> u32 {
        let Some(grant) = self.grants.get(&worker).filter(|grant| now < grant.until) else {
            return 0;
        };
        let slots = grant.slots.min(grant.connections);
        if class == Class::Interactive || !self.interactive_workers.contains(&worker) {
            return slots;
        }
        let reserved = (slots * self.interactive_percent).div_ceil(100);
        // A single slot is not reserved: no other class could use the server at all.
        if slots > 1 { slots - reserved } else { slots }
    }

    /// Whether a request of a class can be sent to a backend server now.
    pub(crate) fn is_free(&self, now: Time, worker: WorkerId, class: Class) -> bool {
        let usage = self.usage(worker);
        let grant = self.grants.get(&worker).filter(|grant| now < grant.until);
        let is_open = grant.is_some_and(|grant| usage.in_use < grant.slots.min(grant.connections));
        let is_lower_class = class != Class::Interactive;
        is_open && (!is_lower_class || usage.non_interactive < self.usable(now, worker, class))
    }

    /// Returns the slots in use at a backend server in thousandths of the slots granted to this node.
    pub(crate) fn load(&self, worker: WorkerId) -> u32 {
        let slots = self.grants.get(&worker).map_or(0, |grant| grant.slots);
        self.usage(worker).in_use * 1_000 / slots.max(1)
    }

    /// Takes a slot and a connection for an attempt or a claim.
    pub(crate) fn acquire(&mut self, worker: WorkerId, class: Class) {
        let usage = self.usage.entry(worker).or_default();
        usage.in_use += 1;
        usage.recent_peak = usage.recent_peak.max(usage.in_use);
        usage.non_interactive += u32::from(class != Class::Interactive);
    }

    /// Releases the slot and the connection that [`Self::acquire`] took.
    pub(crate) fn release(&mut self, worker: WorkerId, class: Class) {
        if let Some(usage) = self.usage.get_mut(&worker) {
            usage.in_use = usage.in_use.saturating_sub(1);
            let decrement = u32::from(class != Class::Interactive);
            usage.non_interactive = usage.non_interactive.saturating_sub(decrement);
        }
    }

    fn usage(&self, worker: WorkerId) -> Usage {
        self.usage.get(&worker).copied().unwrap_or_default()
    }

    /// Resets the peaks of use once per [`PEAK_WINDOW`].
    pub(crate) fn tick(&mut self, now: Time) {
        if now < self.next_peak_reset {
            return;
        }
        self.next_peak_reset = now + PEAK_WINDOW;
        self.usage
            .retain(|_, usage| usage.in_use > 0 || usage.recent_peak > 0);
        for usage in self.usage.values_mut() {
            usage.recent_peak = usage.in_use;
        }
    }

    /// Returns the report for the scheduler of the failure domain. `queued` is the number of queued
    /// requests by backend server.
    pub(crate) fn report(&self, now: Time, queued: &BTreeMap<WorkerId, u32>) -> Vec<ShareReport> {
        let workers: BTreeSet<WorkerId> = self
            .grants
            .keys()
            .chain(self.usage.keys())
            .chain(queued.keys())
            .copied()
            .collect();
        let reports = workers.into_iter().map(|worker| {
            let usage = self.usage(worker);
            let grant = self.grants.get(&worker).filter(|grant| now < grant.until);
            ShareReport {
                worker,
                slots: grant.map_or(0, |grant| grant.slots),
                in_flight: usage.in_use,
                wanted: usage.recent_peak + queued.get(&worker).copied().unwrap_or(0),
            }
        });
        reports.collect()
    }
}
