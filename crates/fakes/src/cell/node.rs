//! A node that is the scheduler or can take over from it.

use std::{collections::HashMap, sync::Arc};

use model::{Time, WorkerId};
use sched::Scheduler;

use super::table::{Lease, Write};

#[derive(Debug)]
pub(super) struct CellNode {
    pub(super) name: Arc<str>,
    /// Incremented when the node dies, takes over or stops as the scheduler, so that events for an earlier
    /// incarnation are ignored.
    pub(super) incarnation: u64,
    pub(super) scheduler: Option<Scheduler>,
    pub(super) lease: Lease,
    /// The transaction whose answer is outstanding.
    pub(super) write: Option<Write>,
    pub(super) paused_until: Time,
    /// Whether the node is lost for good.
    pub(super) is_gone: bool,
    /// The number of the last ended run that each host has listed to this node.
    pub(super) last_listed_end: HashMap<WorkerId, u64>,
}

impl CellNode {
    pub(super) fn new(number: usize) -> Self {
        Self {
            name: format!("n{number}").into(),
            incarnation: 0,
            scheduler: None,
            lease: Lease::default(),
            write: None,
            paused_until: Time::ZERO,
            is_gone: false,
            last_listed_end: HashMap::new(),
        }
    }

    /// Discards the node's scheduler and begins a new incarnation.
    pub(super) fn reset(&mut self) {
        self.incarnation += 1;
        self.scheduler = None;
        self.write = None;
        self.last_listed_end.clear();
    }

    pub(super) fn is_scheduling(&self) -> bool {
        self.scheduler.as_ref().is_some_and(|s| !s.is_deposed())
    }
}
