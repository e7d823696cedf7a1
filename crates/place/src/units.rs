//! Units and the states of their tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::{Class, Kind, RackId, Repeat, Size, TaskId, Time, Unit, UnitId};

use crate::{Unplaceable, fit::Slot, teams::TeamIx, unfit::RoomKind};

/// A unit's number within one placer.
pub(crate) type UnitIx = u32;

/// A task's key within one placer.
pub(crate) type TaskKey = (UnitIx, u32);

/// The maximum number of workers in each list of past successes or failures of a unit or task.
const MAX_REMEMBERED_SLOTS: usize = 8;

/// Whether and for what an allocation may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllocationKind {
    /// A service's replica, which does not end by itself and is not preempted.
    Service,
    /// A task that keeps its room until it ends.
    NonPreemptible,
    /// A task that may be interrupted for more urgent work.
    Preemptible,
    /// A task that runs in room that is reserved for another unit. It may be interrupted for that
    /// unit, whatever its class, and for more urgent work.
    Revocable,
}

impl AllocationKind {
    pub(crate) const fn is_preemptible(self) -> bool {
        matches!(self, Self::Preemptible | Self::Revocable)
    }
}

/// The room that a running task, or one that is being started, holds on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allocation {
    pub(crate) slot: Slot,
    pub(crate) size: Size,
    /// When the room was allocated.
    pub(crate) since: Time,
    /// When the task is expected to end.
    pub(crate) expected_end: Time,
    pub(crate) kind: AllocationKind,
    /// Whether the task was told to stop or to save its progress.
    pub(crate) is_ending: bool,
    /// Whether room is reserved on the worker for the task's growth.
    pub(crate) is_growing: bool,
    /// Whether the task's processors were limited to its allocation.
    pub(crate) is_throttled: bool,
    pub(crate) team: TeamIx,
    pub(crate) class: Class,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// Failed attempts that count against the task.
    pub(crate) failures: u32,
    /// Failed attempts that are blamed on the workers.
    pub(crate) worker_failures: u32,
    /// How often the task was lost with its worker since it last ended by itself.
    pub(crate) losses: u32,
    /// How often the task was checkpointed to make room.
    pub(crate) preemptions: u32,
    /// The workers on which the task failed.
    pub(crate) failed_on: Vec<Slot>,
    pub(crate) allocation: Option<Allocation>,
    /// Whether room is reserved for the task.
    pub(crate) is_reserved: bool,
    /// The end of the task's backoff; `None` if it is not in backoff.
    pub(crate) backoff_until: Option<Time>,
}

/// A unit and the state of its tasks.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: UnitId,
    pub(crate) unit: Unit,
    pub(crate) team: TeamIx,
    /// The index of the unit's name in the usage histories.
    pub(crate) name_ix: usize,
    /// The unit's position in the order of arrival.
    pub(crate) seq: u64,
    /// The tasks that wait to be placed, without those in backoff or with reserved room.
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) tasks: BTreeMap<u32, Task>,
    /// The number of tasks in backoff.
    pub(crate) in_backoff: u32,
    /// The number of running tasks by rack.
    pub(crate) racks: BTreeMap<RackId, u32>,
    pub(crate) is_cancelled: bool,
    /// Why the unit cannot run with the current workers, teams and quotas, if it cannot.
    pub(crate) blocked: Option<Unplaceable>,
    /// When the unit was queued or last had a task started.
    pub(crate) last_progress: Time,
    /// The earliest time to try again to start a gang that found no room.
    pub(crate) retry_at: Time,
    /// The earliest time to try again to reserve room, after that failed.
    pub(crate) reserve_retry_at: Time,
    succeeded_on: Vec<Slot>,
    failed_on: Vec<Slot>,
}

impl Entry {
    pub(crate) fn new(id: &UnitId, unit: &Unit, team: TeamIx, name_ix: usize, seq: u64) -> Self {
        Self {
            id: id.clone(),
            unit: unit.clone(),
            team,
            name_ix,
            seq,
            waiting: BTreeSet::new(),
            tasks: BTreeMap::new(),
            in_backoff: 0,
            racks: BTreeMap::new(),
            is_cancelled: false,
            blocked: None,
            last_progress: Time::ZERO,
            retry_at: Time::ZERO,
            reserve_retry_at: Time::ZERO,
            succeeded_on: Vec::new(),
            failed_on: Vec::new(),
        }
    }

    pub(crate) const fn class(&self) -> Class {
        self.unit.class
    }

    pub(crate) const fn is_gang(&self) -> bool {
        matches!(self.unit.kind, Kind::Gang { .. })
    }

    pub(crate) const fn is_service(&self) -> bool {
        self.unit.kind.is_service()
    }

    /// Returns whether tasks of this unit may be interrupted for others.
    pub(crate) const fn allows_preemption(&self) -> bool {
        matches!(self.unit.kind, Kind::Batch { .. })
            && matches!(self.unit.repeat, Repeat::Safe)
            && !matches!(self.unit.class, Class::Interactive)
    }

    /// Returns whether a task may be preempted: its unit allows it and it was preempted fewer than
    /// `max_preemptions` times.
    pub(crate) fn is_preemptible(&self, index: u32, max_preemptions: u32) -> bool {
        let task = self.tasks.get(&index);
        self.allows_preemption() && task.is_none_or(|task| task.preemptions < max_preemptions)
    }

    /// Returns whether the unit belongs in its queue. A gang does not while any of its tasks is in
    /// backoff.
    pub(crate) fn is_queued(&self) -> bool {
        !self.waiting.is_empty()
            && !self.is_cancelled
            && self.blocked.is_none()
            && (self.in_backoff == 0 || !self.is_gang())
    }

    /// Returns the kind of room that the unit's tasks may use.
    pub(crate) const fn room_kind(&self) -> RoomKind {
        if self.is_service() {
            RoomKind::Service
        } else if self.allows_preemption() {
            RoomKind::Preemptible
        } else {
            RoomKind::NonPreemptible
        }
    }

    pub(crate) fn task_id(&self, index: u32) -> TaskId {
        TaskId::new(&self.id, index)
    }

    /// Records that a task succeeded on a worker.
    pub(crate) fn record_success(&mut self, slot: Slot) {
        remember_slot(&mut self.succeeded_on, slot);
    }

    /// Records that a task failed on a worker.
    pub(crate) fn record_failure(&mut self, slot: Slot) {
        remember_slot(&mut self.failed_on, slot);
    }

    /// Returns whether a task of the unit has succeeded on another worker.
    pub(crate) fn has_succeeded_elsewhere(&self, slot: Slot) -> bool {
        self.succeeded_on.iter().any(|other| *other != slot)
    }

    /// Returns whether a task of the unit has failed on another worker.
    pub(crate) fn has_failed_elsewhere(&self, slot: Slot) -> bool {
        self.failed_on.iter().any(|other| *other != slot)
    }
}

/// Adds a worker to a bounded list, replacing the oldest entry if the list is full.
pub(crate) fn remember_slot(slots: &mut Vec<Slot>, slot: Slot) {
    if slots.contains(&slot) {
        return;
    }
    if slots.len() >= MAX_REMEMBERED_SLOTS {
        slots.remove(0);
    }
    slots.push(slot);
}

/// All units.
#[derive(Clone, Debug, Default)]
pub(crate) struct Units {
    by_id: HashMap<UnitId, UnitIx>,
    entries: Vec<Option<Entry>>,
    /// Numbers of removed units, which are used again.
    vacant: Vec<UnitIx>,
}

impl Units {
    pub(crate) fn find(&self, id: &UnitId) -> Option<UnitIx> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn get(&self, ix: UnitIx) -> Option<&Entry> {
        self.entries.get(ix as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, ix: UnitIx) -> Option<&mut Entry> {
        self.entries.get_mut(ix as usize)?.as_mut()
    }

    pub(crate) fn allocation(&self, key: TaskKey) -> Option<&Allocation> {
        self.get(key.0)?.tasks.get(&key.1)?.allocation.as_ref()
    }

    pub(crate) fn allocation_mut(&mut self, key: TaskKey) -> Option<&mut Allocation> {
        self.get_mut(key.0)?
            .tasks
            .get_mut(&key.1)?
            .allocation
            .as_mut()
    }

    pub(crate) fn insert(&mut self, entry: Entry) -> UnitIx {
        let ix = self.vacant.pop().unwrap_or_else(|| {
            self.entries.push(None);
            UnitIx::try_from(self.entries.len() - 1).unwrap_or(UnitIx::MAX)
        });
        self.by_id.insert(entry.id.clone(), ix);
        self.entries[ix as usize] = Some(entry);
        ix
    }

    pub(crate) fn remove(&mut self, ix: UnitIx) -> Option<Entry> {
        let entry = self.entries.get_mut(ix as usize)?.take()?;
        self.by_id.remove(&entry.id);
        self.vacant.push(ix);
        Some(entry)
    }

    /// Iterates over all units in the order of their numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (UnitIx, &Entry)> {
        (0..)
            .zip(&self.entries)
            .filter_map(|(ix, entry)| Some((ix, entry.as_ref()?)))
    }
}
