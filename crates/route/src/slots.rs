//! The slots and connections of backend servers that this node holds and uses.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use model::{Class, Time, WorkerId};

use crate::{Grant, ShareReport};

/// How long a peak of use counts as wanted.
const PEAK_WINDOW: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug, Default)]
struct Busy {
    all: u32,
    /// Those of requests that are not interactive.
    lower: u32,
    /// The most of `all` of late.
    peak: u32,
}

/// What this node holds of each backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slots {
    interactive_percent: u32,
    grants: BTreeMap<WorkerId, Grant>,
    busy: BTreeMap<WorkerId, Busy>,
    /// The servers with a replica of an interactive service.
    interactive: BTreeSet<WorkerId>,
    next_peak: Time,
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

    /// Prolongs all grants.
    pub(crate) fn renew(&mut self, until: Time) {
        for grant in self.grants.values_mut() {
            grant.until = grant.until.max(until);
        }
    }

    pub(crate) fn set_interactive(&mut self, workers: BTreeSet<WorkerId>) {
        self.interactive = workers;
    }

    /// The slots that requests of a class may use at a server.
    pub(crate) fn usable(&self, now: Time, worker: WorkerId, class: Class) -> u32 {
        let Some(grant) = self.grants.get(&worker).filter(|grant| now < grant.until) else {
            return 0;
        };
        let slots = grant.slots.min(grant.connections);
        if class == Class::Interactive || !self.interactive.contains(&worker) {
            return slots;
        }
        let kept = (slots * self.interactive_percent).div_ceil(100);
        // A single slot is not kept from anybody: the server would be closed to all others.
        if slots > 1 { slots - kept } else { slots }
    }

    /// Whether a request of a class can be sent now.
    pub(crate) fn is_free(&self, now: Time, worker: WorkerId, class: Class) -> bool {
        let busy = self.busy(worker);
        let grant = self.grants.get(&worker).filter(|grant| now < grant.until);
        let open = grant.is_some_and(|grant| busy.all < grant.slots.min(grant.connections));
        let lower = class != Class::Interactive;
        open && (!lower || busy.lower < self.usable(now, worker, class))
    }

    /// The part of the server's slots in use, in thousandths of what this node holds.
    pub(crate) fn load(&self, worker: WorkerId) -> u32 {
        let slots = self.grants.get(&worker).map_or(0, |grant| grant.slots);
        self.busy(worker).all * 1_000 / slots.max(1)
    }

    pub(crate) fn take(&mut self, worker: WorkerId, class: Class) {
        let busy = self.busy.entry(worker).or_default();
        busy.all += 1;
        busy.peak = busy.peak.max(busy.all);
        busy.lower += u32::from(class != Class::Interactive);
    }

    pub(crate) fn release(&mut self, worker: WorkerId, class: Class) {
        if let Some(busy) = self.busy.get_mut(&worker) {
            busy.all = busy.all.saturating_sub(1);
            let lower = u32::from(class != Class::Interactive);
            busy.lower = busy.lower.saturating_sub(lower);
        }
    }

    fn busy(&self, worker: WorkerId) -> Busy {
        self.busy.get(&worker).copied().unwrap_or_default()
    }

    /// Forgets old peaks of use.
    pub(crate) fn tick(&mut self, now: Time) {
        if now < self.next_peak {
            return;
        }
        self.next_peak = now + PEAK_WINDOW;
        self.busy.retain(|_, busy| busy.all > 0 || busy.peak > 0);
        for busy in self.busy.values_mut() {
            busy.peak = busy.all;
        }
    }

    /// What to tell the domain's scheduler. `queued` are the requests that wait, by server.
    pub(crate) fn report(&self, now: Time, queued: &BTreeMap<WorkerId, u32>) -> Vec<ShareReport> {
        let workers: BTreeSet<WorkerId> = self
            .grants
            .keys()
            .chain(self.busy.keys())
            .chain(queued.keys())
            .copied()
            .collect();
        let reports = workers.into_iter().map(|worker| {
            let busy = self.busy(worker);
            let grant = self.grants.get(&worker).filter(|grant| now < grant.until);
            ShareReport {
                worker,
                slots: grant.map_or(0, |grant| grant.slots),
                in_flight: busy.all,
                wanted: busy.peak + queued.get(&worker).copied().unwrap_or(0),
            }
        });
        reports.collect()
    }
}
