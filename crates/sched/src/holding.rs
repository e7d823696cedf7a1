//! Holds back steps that can wait while gangs wait for capacity.
//!
//! Under high load, capacity becomes free in small pieces. Tasks that start one by one use each piece as
//! soon as it appears, so a gang of twenty tasks finds room for some of them only, until it is late. The
//! jobs whose tasks start one by one often have more time than they need: a batch may take three times as
//! long as it runs. So while gangs that can still be in time wait for a notable part of the fleet, such
//! steps are started only once a good part of their slack is used up.

use std::time::Duration;

use model::Time;

use crate::{
    SchedConfig,
    ordering::{Timeliness, URGENT, WaitingStep},
};

/// The demand of the gangs that were considered in a pass and did not fit.
#[derive(Debug)]
pub(crate) struct Holding {
    /// The processors of the fleet, in thousandths.
    fleet_processors: u64,
    /// Whether less than half of them are in use. Gangs then wait for something else than capacity.
    is_fleet_idle: bool,
    /// The processors that gangs wait for, in thousandths.
    awaited_processors: u64,
}

impl Holding {
    /// Returns the state at the start of a pass. `fleet_processors` and `used_processors` are in
    /// thousandths.
    pub(crate) const fn new(fleet_processors: u64, used_processors: u64) -> Self {
        Self {
            fleet_processors,
            is_fleet_idle: used_processors < fleet_processors / 2,
            awaited_processors: 0,
        }
    }

    /// Returns whether less than half of the fleet's processors are in use.
    pub(crate) const fn is_fleet_idle(&self) -> bool {
        self.is_fleet_idle
    }

    /// Records that a gang waits for this many thousandths of a processor. Urgent gangs are small and are
    /// served before all others, and nothing is gained by holding back work for late ones.
    pub(crate) fn gang_waits(&mut self, now: Time, gang: &WaitingStep, processors: u64) {
        if gang.rank != URGENT && gang.timeliness(now) == Timeliness::InTime {
            self.awaited_processors = self.awaited_processors.saturating_add(processors);
        }
    }

    /// Returns whether a step has to wait whose tasks start one by one and end by themselves.
    pub(crate) fn holds(&self, now: Time, cfg: &SchedConfig, step: &WaitingStep) -> bool {
        let awaited = u128::from(self.awaited_processors) * 1_000;
        let enough = u128::from(self.fleet_processors) * u128::from(cfg.holding_gang_share_milli);
        let reserve: Duration = step.initial_slack() * cfg.holding_slack_percent / 100;
        !self.is_fleet_idle
            && step.rank != URGENT
            && awaited > 0
            && awaited >= enough
            && step.timeliness(now) == Timeliness::InTime
            && step.slack(now) > reserve
    }
}
