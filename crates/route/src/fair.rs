//! Which service's queue is served next: classes by weight, then teams, then services, each by the
//! slot time that it has used.
//!
//! It is deficit round robin with the deficits kept as virtual times: a flow's virtual time grows by
//! the slot time of its requests, and of the flows with waiting requests that can be sent now, the one
//! with the least is served. A flow that was empty begins a little before the least virtual time of its
//! kind, so that it has no claim to what it did not use, but does not wait for the corrections of others
//! either: an estimate is charged when a request is sent, and corrected when it ends.

use std::collections::{BTreeMap, BTreeSet};

use model::Class;

/// How far before the others a class begins that had no requests waiting, in microseconds.
const CLASS_CREDIT_US: u64 = 1_000_000;
/// How far before the others a team or service begins, in microseconds.
const FLOW_CREDIT_US: u64 = 100_000;

/// How much slot time a class gets for one part of bulk's, if all classes have requests waiting.
const fn weight(class: Class) -> u64 {
    match class {
        Class::Bulk => 1,
        Class::Standard => 4,
        Class::Interactive => 16,
    }
}

/// The owner of one queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Flow {
    pub(crate) class: Class,
    pub(crate) team: String,
    pub(crate) service: String,
}

/// The virtual times of classes, teams and services, and which have requests waiting.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fair {
    classes: BTreeMap<Class, u64>,
    teams: BTreeMap<(Class, String), u64>,
    services: BTreeMap<Flow, u64>,
    waiting: BTreeSet<Flow>,
}

impl Fair {
    /// A flow has requests waiting.
    pub(crate) fn wait(&mut self, flow: &Flow) {
        if self.waiting.contains(flow) {
            return;
        }
        let class = flow.class;
        let team = (class, flow.team.clone());
        let others = || self.waiting.iter();
        if !others().any(|other| other.class == class) {
            let least = others().map(|other| self.class_time(other.class)).min();
            raise(
                self.classes.entry(class).or_default(),
                least,
                CLASS_CREDIT_US,
            );
        }
        let peers = || self.waiting.iter().filter(|other| other.class == class);
        if !peers().any(|other| other.team == flow.team) {
            let times = peers().map(|other| self.team_time(other));
            let least = times.min();
            raise(self.teams.entry(team).or_default(), least, FLOW_CREDIT_US);
        }
        let siblings = self.waiting.iter();
        let siblings = siblings.filter(|other| other.class == class && other.team == flow.team);
        let least = siblings.map(|other| self.service_time(other)).min();
        let time = self.services.entry(flow.clone()).or_default();
        raise(time, least, FLOW_CREDIT_US);
        self.waiting.insert(flow.clone());
    }

    /// A flow has no request waiting any more.
    pub(crate) fn rest(&mut self, flow: &Flow) {
        self.waiting.remove(flow);
    }

    /// A service was removed.
    pub(crate) fn forget(&mut self, flow: &Flow) {
        self.waiting.remove(flow);
        self.services.remove(flow);
    }

    /// Charges a flow for slot time, or pays back where an estimate was too large.
    pub(crate) fn charge(&mut self, flow: &Flow, estimated_us: u64, actual_us: u64) {
        let move_time = |time: &mut u64, weight: u64| {
            *time = (*time + actual_us / weight).saturating_sub(estimated_us / weight);
        };
        move_time(
            self.classes.entry(flow.class).or_default(),
            weight(flow.class),
        );
        let team = (flow.class, flow.team.clone());
        move_time(self.teams.entry(team).or_default(), 1);
        move_time(self.services.entry(flow.clone()).or_default(), 1);
    }

    /// The flows with requests waiting, in the order in which they are to be served.
    pub(crate) fn order(&self) -> Vec<Flow> {
        let mut flows: Vec<&Flow> = self.waiting.iter().rev().collect();
        flows.sort_by_key(|flow| {
            (
                self.class_time(flow.class),
                std::cmp::Reverse(flow.class),
                self.team_time(flow),
                self.service_time(flow),
            )
        });
        flows.into_iter().cloned().collect()
    }

    /// The flows with requests waiting.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = &Flow> {
        self.waiting.iter()
    }

    fn class_time(&self, class: Class) -> u64 {
        self.classes.get(&class).copied().unwrap_or(0)
    }

    fn team_time(&self, flow: &Flow) -> u64 {
        let team = (flow.class, flow.team.clone());
        self.teams.get(&team).copied().unwrap_or(0)
    }

    fn service_time(&self, flow: &Flow) -> u64 {
        self.services.get(flow).copied().unwrap_or(0)
    }
}

fn raise(time: &mut u64, least: Option<u64>, credit_us: u64) {
    let begin = least.unwrap_or(0).saturating_sub(credit_us);
    *time = (*time).max(begin);
}
