//! A node that schedules, or could.

use std::{collections::HashMap, sync::Arc};

use model::{Time, WorkerId};
use sched::Scheduler;

use super::table::{Lease, Write};

#[derive(Debug)]
pub(super) struct CellNode {
    pub(super) name: Arc<str>,
    /// Raised when it dies or begins to schedule, so that what was meant for an earlier life is told
    /// apart.
    pub(super) life: u64,
    pub(super) scheduler: Option<Scheduler>,
    pub(super) lease: Lease,
    /// The transaction on its way.
    pub(super) write: Option<Write>,
    pub(super) paused_until: Time,
    /// The last end that each host has listed to it.
    pub(super) listed: HashMap<WorkerId, u64>,
}

impl CellNode {
    pub(super) fn new(number: usize) -> Self {
        Self {
            name: format!("n{number}").into(),
            life: 0,
            scheduler: None,
            lease: Lease::default(),
            write: None,
            paused_until: Time::ZERO,
            listed: HashMap::new(),
        }
    }

    /// It dies, with all that it knows.
    pub(super) fn die(&mut self) {
        self.life += 1;
        self.scheduler = None;
        self.write = None;
        self.listed.clear();
    }

    pub(super) fn schedules(&self) -> bool {
        self.scheduler.as_ref().is_some_and(|s| !s.is_deposed())
    }
}
