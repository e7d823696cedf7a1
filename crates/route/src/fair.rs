//! Hierarchical fair queueing: selects among classes by weight, then among the teams of a class, then
//! among the services of a team, each by the slot time that it has used. The slot time of a request is
//! how long it holds a slot of a backend server.
//!
//! The algorithm is fair queueing by virtual time, which takes the place of the deficits of deficit round
//! robin. The virtual time of a flow grows by the slot time of its requests. Among the backlogged
//! flows whose next request can be sent now, the flow with the lowest virtual time is served. A flow
//! that becomes backlogged starts slightly below the lowest virtual time at its level. It therefore
//! gets no credit for the time in which it was idle, but does not have to wait for the corrections of
//! other flows either: an estimate is charged when a request is sent, and is corrected when the request
//! ends.

use std::collections::{BTreeMap, BTreeSet};

use model::Class;

/// How far below the lowest virtual time of the backlogged classes a class starts that becomes
/// backlogged, in microseconds.
const CLASS_CREDIT_US: u64 = 1_000_000;
/// How far below the lowest virtual time at its level a team or service starts that becomes backlogged,
/// in microseconds.
const FLOW_CREDIT_US: u64 = 100_000;

/// The slot time that a class gets relative to bulk while all classes are backlogged.
const fn weight(class: Class) -> u64 {
    match class {
        Class::Bulk => 1,
        Class::Standard => 4,
        Class::Interactive => 16,
    }
}

/// The owner of one request queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Flow {
    pub(crate) class: Class,
    pub(crate) team: String,
    pub(crate) service: String,
}

/// The virtual times of classes, teams and services in microseconds, and the backlogged flows.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairOrder {
    classes: BTreeMap<Class, u64>,
    teams: BTreeMap<(Class, String), u64>,
    services: BTreeMap<Flow, u64>,
    backlogged: BTreeSet<Flow>,
}

impl FairOrder {
    /// Marks a flow as having queued requests, and raises its virtual times to the current level.
    pub(crate) fn set_backlogged(&mut self, flow: &Flow) {
        if self.backlogged.contains(flow) {
            return;
        }
        let class = flow.class;
        let team = (class, flow.team.clone());
        let others = || self.backlogged.iter();
        if !others().any(|other| other.class == class) {
            let least = others().map(|other| self.class_time(other.class)).min();
            raise(
                self.classes.entry(class).or_default(),
                least,
                CLASS_CREDIT_US,
            );
        }
        let peers = || self.backlogged.iter().filter(|other| other.class == class);
        if !peers().any(|other| other.team == flow.team) {
            let times = peers().map(|other| self.team_time(other));
            let least = times.min();
            raise(self.teams.entry(team).or_default(), least, FLOW_CREDIT_US);
        }
        let siblings = self.backlogged.iter();
        let siblings = siblings.filter(|other| other.class == class && other.team == flow.team);
        let least = siblings.map(|other| self.service_time(other)).min();
        let time = self.services.entry(flow.clone()).or_default();
        raise(time, least, FLOW_CREDIT_US);
        self.backlogged.insert(flow.clone());
    }

    /// Marks a flow as having no queued request.
    pub(crate) fn set_idle(&mut self, flow: &Flow) {
        self.backlogged.remove(flow);
    }

    /// Removes the flow of a service that was removed or has changed its class or team.
    pub(crate) fn remove(&mut self, flow: &Flow) {
        self.backlogged.remove(flow);
        self.services.remove(flow);
    }

    /// Adds `actual_us - estimated_us` of slot time to the virtual times of a flow. The difference is
    /// negative where an earlier estimate was too large.
    pub(crate) fn charge(&mut self, flow: &Flow, estimated_us: u64, actual_us: u64) {
        let adjust = |time: &mut u64, weight: u64| {
            *time = (*time + actual_us / weight).saturating_sub(estimated_us / weight);
        };
        adjust(
            self.classes.entry(flow.class).or_default(),
            weight(flow.class),
        );
        let team = (flow.class, flow.team.clone());
        adjust(self.teams.entry(team).or_default(), 1);
        adjust(self.services.entry(flow.clone()).or_default(), 1);
    }

    /// Returns the backlogged flows in the order in which they are to be served.
    pub(crate) fn order(&self) -> Vec<Flow> {
        let mut flows: Vec<&Flow> = self.backlogged.iter().rev().collect();
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

    /// Returns the backlogged flows.
    pub(crate) fn backlogged(&self) -> impl Iterator<Item = &Flow> {
        self.backlogged.iter()
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

/// Raises a virtual time to `credit_us` below `least`, if it is lower than that.
fn raise(time: &mut u64, least: Option<u64>, credit_us: u64) {
    let begin = least.unwrap_or(0).saturating_sub(credit_us);
    *time = (*time).max(begin);
}
