//! Teams: whose jobs share one limit, and what they are owed.

use std::sync::Arc;

use model::Size;
use serde::{Deserialize, Serialize};

/// What a team may use, and its share when capacity is scarce.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TeamPolicy {
    /// The team's name, unique in the configuration.
    pub name: Arc<str>,
    /// The number of jobs a second that the team is owed. It is also the team's share of the fleet, relative to the
    /// weights of the other teams, when the fleet is full.
    pub weight: f64,
    /// The largest total size of the team's running tasks; 0 in a dimension for no limit there.
    pub limit: Size,
}
