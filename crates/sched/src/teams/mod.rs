//! Teams: what each may use, and who goes first when capacity is scarce.

use std::{sync::Arc, time::Duration};

use crate::{Now, Scheduler};

/// How many of a team's new jobs to accept while it submits more than it is owed and the fleet has no idle capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The team.
    pub team: Arc<str>,
    /// The share of its new jobs to accept, in thousandths.
    pub accepted_milli: u32,
    /// The earliest and the latest time after which clients of the other jobs may come back.
    pub retry_after: (Duration, Duration),
}

impl Scheduler {
    /// Returns the teams whose new jobs are to be refused in part.
    #[must_use]
    pub const fn admissions(&self, _now: Now) -> Vec<Admission> {
        Vec::new()
    }
}
