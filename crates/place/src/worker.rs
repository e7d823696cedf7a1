//! One worker: its allocations and reservations, and the room that they leave.

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
    /// Whether the worker was ever open.
    pub(crate) was_opened: bool,
    /// Whether only interactive work is placed here.
    pub(crate) is_interactive_only: bool,
    /// The sum of the allocations.
    pub(crate) used: Size,
    /// The room reserved for tasks that start or grow once others have ended.
    pub(crate) reserved: Size,
    /// The part of `used` that is allocated to services, which do not end by themselves.
    pub(crate) service_used: Size,
    /// The part of `used` that preemption can free.
    pub(crate) preemptible: Size,
    pub(crate) health: Health,
    pub(crate) tasks: BTreeSet<TaskKey>,
    /// The rooms under which the worker is indexed; `None` while it takes no work.
    pub(crate) indexed: Option<IndexedRoom>,
}

impl Worker {
    /// Returns the room that is neither allocated nor reserved.
    pub(crate) fn free(&self) -> Size {
        self.spec.size - self.used - self.reserved
    }

    /// Returns the room that is left if all preemptible tasks are preempted.
    pub(crate) fn room_after_preemption(&self) -> Size {
        self.spec.size - (self.used - self.preemptible) - self.reserved
    }

    /// Returns the room that is left once all tasks but services' replicas have ended.
    pub(crate) fn room_after_completion(&self) -> Size {
        self.spec.size - self.service_used - self.reserved
    }

    /// Returns whether a task of `size` fits beside the running tasks, ignoring reservations.
    pub(crate) fn fits_beside_running(&self, size: Size) -> bool {
        (self.used + size).fits(&self.spec.size)
    }

    /// Returns the free room for tasks without accelerators: all but the processors and memory that
    /// are kept free for each free accelerator.
    pub(crate) fn general_room(&self, share_permille: u64) -> Size {
        let free = self.free();
        let whole = self.spec.size;
        let kept_part = |amount: u64| {
            let shares = u128::from(free.accelerators) * u128::from(share_permille);
            let whole_shares = 1_000 * u128::from(whole.accelerators.max(1));
            let kept = u128::from(amount).saturating_mul(shares) / whole_shares;
            u64::try_from(kept).unwrap_or(u64::MAX)
        };
        let kept = Size::new(
            kept_part(whole.milli_processors),
            kept_part(whole.memory_mb),
            0,
        );
        Size {
            accelerators: 0,
            ..free - kept
        }
    }

    /// Returns whether a task of a unit runs here.
    pub(crate) fn runs_any_of(&self, unit: UnitIx) -> bool {
        let mut tasks = self.tasks.range((unit, 0)..=(unit, u32::MAX));
        tasks.next().is_some()
    }

    /// Returns whether the worker is open and healthy, so that any task may be placed on it.
    pub(crate) fn accepts_work(&self) -> bool {
        self.is_open && self.health.state == HealthState::Healthy
    }

    /// Returns whether the worker counts as capacity of the failure domain. Open workers do, and
    /// those that have not been opened yet. A worker that was closed may have left for good.
    pub(crate) fn is_counted(&self) -> bool {
        self.is_open || !self.was_opened
    }
}

/// The rooms under which a worker is entered in the indexes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IndexedRoom {
    pub(crate) free: Size,
    pub(crate) general_room: Size,
    pub(crate) room_after_preemption: Size,
    pub(crate) room_after_completion: Size,
}
