//! Units and the states of their tasks.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use model::{Class, Kind, RackId, Repeat, Size, TaskId, Time, Unit, UnitId};

use crate::{Unplaceable, fit::Slot, teams::TeamIx, unfit::RoomKind};

/// A unit's number within one placer.
pub(crate) type UnitIx = u32;

/// A task's key within one placer.
pub(crate) type TaskKey = (UnitIx, u32);

/// Workers that are remembered for their failures or successes, per unit and per task.
const MAX_REMEMBERED_SLOTS: usize = 8;

/// How firmly a running task holds its room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllocationKind {
    /// A service's replica: it does not end by itself.
    Service,
    /// It holds its room until it ends.
    NonPreemptible,
    /// It may be interrupted for more urgent work.
    Preemptible,
    /// It runs in room that is kept for another unit, and may be interrupted for that too.
    Revocable,
}

impl AllocationKind {
    pub(crate) const fn is_preemptible(self) -> bool {
        matches!(self, Self::Preemptible | Self::Revocable)
    }
}

/// Where a task runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allocation {
    pub(crate) slot: Slot,
    pub(crate) size: Size,
    pub(crate) since: Time,
    /// When it is expected to end.
    pub(crate) expected_end: Time,
    pub(crate) kind: AllocationKind,
    /// It has been told to stop or to save its progress.
    pub(crate) is_ending: bool,
    /// Room is kept there for its growth.
    pub(crate) is_growing: bool,
    /// Its processors were limited to what is reserved for it.
    pub(crate) is_throttled: bool,
    pub(crate) team: TeamIx,
    pub(crate) class: Class,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) failures: u32,
    /// Failures that its workers are blamed for.
    pub(crate) worker_failures: u32,
    pub(crate) preemptions: u32,
    /// Where it failed.
    pub(crate) failed_on: Vec<Slot>,
    pub(crate) allocation: Option<Allocation>,
    /// Room is kept for it.
    pub(crate) is_reserved: bool,
    /// It waits out its backoff until then.
    pub(crate) backoff_until: Option<Time>,
}

/// One unit.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: UnitId,
    pub(crate) unit: Unit,
    pub(crate) team: TeamIx,
    pub(crate) name_ix: usize,
    /// Its place in the order of arrival.
    pub(crate) seq: u64,
    pub(crate) waiting: BTreeSet<u32>,
    pub(crate) tasks: BTreeMap<u32, Task>,
    pub(crate) in_backoff: u32,
    /// Replicas by rack.
    pub(crate) racks: BTreeMap<RackId, u32>,
    pub(crate) is_cancelled: bool,
    pub(crate) blocked: Option<Unplaceable>,
    /// When it last got on: was queued, or had a task started.
    pub(crate) last_progress: Time,
    /// A gang that found no room is not tried again before.
    pub(crate) retry_at: Time,
    /// After room could not be kept for it, that is not tried again before.
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

    /// Whether a task that runs may be interrupted for others.
    pub(crate) const fn allows_preemption(&self) -> bool {
        matches!(self.unit.kind, Kind::Batch { .. })
            && matches!(self.unit.repeat, Repeat::Safe)
            && !matches!(self.unit.class, Class::Interactive)
    }

    /// Whether a running task counts as preemptible.
    pub(crate) fn is_preemptible(&self, index: u32, max_preemptions: u32) -> bool {
        let task = self.tasks.get(&index);
        self.allows_preemption() && task.is_none_or(|task| task.preemptions < max_preemptions)
    }

    /// Whether it stands in its queue.
    pub(crate) fn is_queued(&self) -> bool {
        !self.waiting.is_empty()
            && !self.is_cancelled
            && self.blocked.is_none()
            && (self.in_backoff == 0 || !self.is_gang())
    }

    /// Which room its tasks may use.
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

    pub(crate) fn record_success(&mut self, slot: Slot) {
        remember_slot(&mut self.succeeded_on, slot);
    }

    pub(crate) fn record_failure(&mut self, slot: Slot) {
        remember_slot(&mut self.failed_on, slot);
    }

    /// Whether a task of it has succeeded on another worker.
    pub(crate) fn has_succeeded_elsewhere(&self, slot: Slot) -> bool {
        self.succeeded_on.iter().any(|other| *other != slot)
    }

    /// Whether a task of it has failed on another worker.
    pub(crate) fn has_failed_elsewhere(&self, slot: Slot) -> bool {
        self.failed_on.iter().any(|other| *other != slot)
    }
}

/// Adds a worker to a short list, in place of the oldest if that is full.
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

    /// All units, by number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (UnitIx, &Entry)> {
        (0..)
            .zip(&self.entries)
            .filter_map(|(ix, entry)| Some((ix, entry.as_ref()?)))
    }
}
