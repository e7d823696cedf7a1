//! One worker: what it holds, and the rooms that follow from that.

use std::collections::BTreeSet;

use model::Size;

use crate::{
    decision::WorkerSpec,
    health::{Health, HealthState},
    units::{TaskKey, UnitIx},
};

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) spec: WorkerSpec,
    pub(crate) is_open: bool,
    pub(crate) was_opened: bool,
    /// Kept for interactive work.
    pub(crate) is_interactive_only: bool,
    /// Reserved for the tasks there.
    pub(crate) used: Size,
    /// Kept for tasks that are to start, or to grow, once others have ended.
    pub(crate) reserved: Size,
    /// The part of `used` that services hold, which never ends by itself.
    pub(crate) service_used: Size,
    /// The part of `used` that preemption can free.
    pub(crate) preemptible: Size,
    pub(crate) health: Health,
    pub(crate) tasks: BTreeSet<TaskKey>,
    pub(crate) indexed: Option<IndexedRoom>,
}

impl Worker {
    /// The room that a new task may take.
    pub(crate) fn free(&self) -> Size {
        self.spec.size - self.used - self.reserved
    }

    /// The room there would be without the preemptible tasks.
    pub(crate) fn room_after_preemption(&self) -> Size {
        self.spec.size - (self.used - self.preemptible) - self.reserved
    }

    /// The room there will be once all but services has ended.
    pub(crate) fn room_after_completion(&self) -> Size {
        self.spec.size - self.service_used - self.reserved
    }

    /// Whether a task of `size` fits beside the running ones, with no regard to kept room.
    pub(crate) fn fits_beside_running(&self, size: Size) -> bool {
        (self.used + size).fits(&self.spec.size)
    }

    /// The free room without what is kept beside each free accelerator.
    pub(crate) fn general_room(&self, share_permille: u64) -> Size {
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

    pub(crate) fn accepts_work(&self) -> bool {
        self.is_open && self.health.state == HealthState::Healthy
    }

    /// Whether the domain can count on this worker: a closed one may have left.
    pub(crate) fn is_counted(&self) -> bool {
        self.is_open || !self.was_opened
    }
}

/// Under which rooms a worker stands in the indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IndexedRoom {
    pub(crate) free: Size,
    pub(crate) general_room: Size,
    pub(crate) room_after_preemption: Size,
    pub(crate) room_after_completion: Size,
}
