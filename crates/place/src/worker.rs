//! One worker: what it holds, and the rooms that follow from that.

use std::collections::BTreeSet;

use model::Size;

use crate::{
    decision::WorkerSpec,
    health::{Health, Trust},
    units::{TaskKey, UnitIx},
};

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) open: bool,
    pub(crate) opened_once: bool,
    /// Kept for interactive work.
    pub(crate) reserve: bool,
    /// Reserved for the tasks there.
    pub(crate) used: Size,
    /// Kept for tasks that are to start, or to grow, once others have ended.
    pub(crate) held: Size,
    /// The part of `used` that services hold, which never ends by itself.
    pub(crate) fixed: Size,
    /// The part of `used` that preemption can free.
    pub(crate) preemptible: Size,
    pub(crate) health: Health,
    pub(crate) tasks: BTreeSet<TaskKey>,
    pub(crate) filed: Option<Filed>,
}

impl Worker {
    /// The room that a new task may take.
    pub(crate) fn free(&self) -> Size {
        self.spec.size - self.used - self.held
    }

    /// The room there would be without the preemptible tasks.
    pub(crate) fn shrinkable(&self) -> Size {
        self.spec.size - (self.used - self.preemptible) - self.held
    }

    /// The room there will be once all but services has ended.
    pub(crate) fn eventual(&self) -> Size {
        self.spec.size - self.fixed - self.held
    }

    /// Whether a task of `size` fits beside the running ones, with no regard to kept room.
    pub(crate) fn fits_beside_running(&self, size: Size) -> bool {
        (self.used + size).fits(&self.spec.size)
    }

    /// The free room without what is kept beside each free accelerator.
    pub(crate) fn plain_room(&self, share_permille: u64) -> Size {
        let free = self.free();
        let whole = self.spec.size;
        let per = |amount: u64| {
            let shares = amount * u64::from(free.accelerators) * share_permille;
            shares / (1_000 * u64::from(whole.accelerators.max(1)))
        };
        let kept = Size::new(per(whole.milli_processors), per(whole.memory_mb), 0);
        Size {
            accelerators: 0,
            ..free - kept
        }
    }

    /// Whether a task of a unit runs here.
    pub(crate) fn runs_any_of(&self, unit: UnitIx) -> bool {
        let mut tasks = self.tasks.range((unit, 0)..=(unit, u32::MAX));
        tasks.next().is_some()
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.open && self.health.trust == Trust::Full
    }

    /// Whether the domain can count on this worker: a closed one may have left.
    pub(crate) fn counts(&self) -> bool {
        self.open || !self.opened_once
    }
}

/// Under which rooms a worker stands in the indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Filed {
    pub(crate) free: Size,
    pub(crate) plain_room: Size,
    pub(crate) shrinkable: Size,
    pub(crate) eventual: Size,
}
