//! All workers, and the indexes by which a worker with room is found.

use std::collections::{BTreeMap, BTreeSet};

use model::{RackId, Size, Time, WorkerId};

use crate::{
    config::PlaceConfig,
    decision::WorkerSpec,
    fit::{RoomIndex, Slot},
    health::{Health, HealthState},
    units::{Allocation, AllocationKind, TaskKey},
    worker::{IndexedRoom, Worker},
};

/// The number of workers by size (processors, memory, accelerators) and by whether they take
/// interactive work only.
type WorkerShapes = BTreeMap<(u64, u64, u32, bool), u32>;

/// All workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    slots: BTreeMap<WorkerId, Slot>,
    list: Vec<Worker>,
    /// Workers without accelerators that take any work, by free room.
    general: RoomIndex,
    /// Workers without accelerators that take interactive work only, by free room.
    interactive: RoomIndex,
    /// Accelerator hosts, by free room.
    accelerated: RoomIndex,
    /// Accelerator hosts, by the free room for tasks without accelerators.
    accelerated_general: RoomIndex,
    /// All workers, by the room that is left after preemption.
    room_after_preemption: RoomIndex,
    /// All workers, by the room that is left once all tasks but replicas have ended.
    room_after_completion: RoomIndex,
    /// Workers that wait for a probe after their quarantine.
    probes: BTreeSet<Slot>,
    /// The number of open workers by rack.
    racks: BTreeMap<RackId, u32>,
    shapes: WorkerShapes,
    /// The number of workers without accelerators that were ever added.
    general_added: u32,
    /// The number of open workers.
    open: u32,
    /// The sum of the free room of all workers that take work.
    free: Size,
    /// The rooms of workers, each recorded when it became larger, since the last
    /// [`Self::take_freed_rooms`].
    freed_rooms: Vec<Size>,
}

impl Workers {
    pub(crate) fn slot(&self, id: WorkerId) -> Option<Slot> {
        self.slots.get(&id).copied()
    }

    pub(crate) fn get(&self, slot: Slot) -> &Worker {
        &self.list[slot as usize]
    }

    fn get_mut(&mut self, slot: Slot) -> &mut Worker {
        &mut self.list[slot as usize]
    }

    pub(crate) const fn general(&self) -> &RoomIndex {
        &self.general
    }

    pub(crate) const fn interactive(&self) -> &RoomIndex {
        &self.interactive
    }

    pub(crate) const fn accelerated(&self) -> &RoomIndex {
        &self.accelerated
    }

    pub(crate) const fn accelerated_general(&self) -> &RoomIndex {
        &self.accelerated_general
    }

    pub(crate) const fn by_room_after_preemption(&self) -> &RoomIndex {
        &self.room_after_preemption
    }

    pub(crate) const fn by_room_after_completion(&self) -> &RoomIndex {
        &self.room_after_completion
    }

    pub(crate) const fn probes(&self) -> &BTreeSet<Slot> {
        &self.probes
    }

    /// Returns the number of racks with open workers.
    pub(crate) fn rack_count(&self) -> usize {
        self.racks.len()
    }

    /// Returns the number of open workers.
    pub(crate) const fn open_count(&self) -> u32 {
        self.open
    }

    /// Returns the sum of the free room of all workers that take work.
    pub(crate) const fn free(&self) -> Size {
        self.free
    }

    /// Returns the sizes of the workers with the number of workers of each size. Workers that take
    /// interactive work only are left out unless `is_interactive`.
    pub(crate) fn shapes(&self, is_interactive: bool) -> impl Iterator<Item = (Size, u32)> {
        let shapes = self.shapes.iter();
        shapes
            .filter(move |((.., is_interactive_only), _)| is_interactive || !is_interactive_only)
            .map(|((p, m, a, _), n)| (Size::new(*p, *m, *a), *n))
    }

    /// Adds a worker or changes its description. Returns whether anything changed.
    pub(crate) fn add(&mut self, spec: WorkerSpec, cfg: &PlaceConfig) -> bool {
        if let Some(slot) = self.slot(spec.id) {
            if self.get(slot).spec == spec {
                return false;
            }
            self.change(slot, |worker| worker.spec = spec, cfg);
            return true;
        }
        let slot = Slot::try_from(self.list.len()).unwrap_or(Slot::MAX);
        let worker = Worker {
            spec,
            is_open: false,
            was_opened: false,
            is_interactive_only: self.next_is_interactive_only(spec.size, cfg),
            used: Size::ZERO,
            reserved: Size::ZERO,
            service_used: Size::ZERO,
            preemptible: Size::ZERO,
            health: Health::default(),
            tasks: BTreeSet::new(),
            indexed: None,
        };
        self.slots.insert(spec.id, slot);
        self.list.push(worker);
        self.count_shape(slot, true);
        true
    }

    /// Returns whether the next worker takes interactive work only, which the middle one of every n
    /// workers without accelerators does.
    fn next_is_interactive_only(&mut self, size: Size, cfg: &PlaceConfig) -> bool {
        if cfg.urgent_reserve_permille == 0 || size.accelerators > 0 || size == Size::ZERO {
            return false;
        }
        let every = (1_000 / cfg.urgent_reserve_permille).max(1);
        self.general_added += 1;
        self.general_added % every == every / 2
    }

    /// Opens or closes a worker. Returns whether that changed anything.
    pub(crate) fn set_open(&mut self, slot: Slot, open: bool, cfg: &PlaceConfig) -> bool {
        if self.get(slot).is_open == open {
            return false;
        }
        let set = |worker: &mut Worker| {
            worker.is_open = open;
            worker.was_opened |= open;
        };
        self.change(slot, set, cfg);
        true
    }

    /// Adds a worker to the counts by size and rack, or removes it from them.
    fn count_shape(&mut self, slot: Slot, present: bool) {
        let worker = &self.list[slot as usize];
        if !worker.is_counted() {
            return;
        }
        let size = worker.spec.size;
        let key = (
            size.milli_processors,
            size.memory_mb,
            size.accelerators,
            worker.is_interactive_only,
        );
        adjust_count(&mut self.shapes, key, present);
        if worker.is_open {
            adjust_count(&mut self.racks, worker.spec.rack, present);
            self.open = if present {
                self.open + 1
            } else {
                self.open - 1
            };
        }
    }

    /// Changes a worker and updates the counts and indexes.
    pub(crate) fn change(
        &mut self,
        slot: Slot,
        change: impl FnOnce(&mut Worker),
        cfg: &PlaceConfig,
    ) {
        self.count_shape(slot, false);
        change(self.get_mut(slot));
        self.count_shape(slot, true);
        self.record_freed_room(slot);
        self.update_indexes(slot, cfg);
    }

    /// Allocates room for a task.
    pub(crate) fn allocate(&mut self, key: TaskKey, allocation: &Allocation, cfg: &PlaceConfig) {
        let worker = self.get_mut(allocation.slot);
        worker.used += allocation.size;
        if allocation.kind == AllocationKind::Service {
            worker.service_used += allocation.size;
        }
        if allocation.kind.is_preemptible() {
            worker.preemptible += allocation.size;
        }
        worker.tasks.insert(key);
        if let HealthState::Probing { is_busy } = &mut worker.health.state {
            *is_busy = true;
        }
        self.update_indexes(allocation.slot, cfg);
    }

    /// Releases the room of a task.
    pub(crate) fn release(&mut self, key: TaskKey, allocation: &Allocation, cfg: &PlaceConfig) {
        let worker = self.get_mut(allocation.slot);
        worker.used -= allocation.size;
        if allocation.kind == AllocationKind::Service {
            worker.service_used -= allocation.size;
        }
        if allocation.kind.is_preemptible() {
            worker.preemptible -= allocation.size;
        }
        worker.tasks.remove(&key);
        self.record_freed_room(allocation.slot);
        self.update_indexes(allocation.slot, cfg);
    }

    /// Reserves room on a worker for a task that is to start or to grow.
    pub(crate) fn reserve(&mut self, slot: Slot, size: Size, cfg: &PlaceConfig) {
        self.get_mut(slot).reserved += size;
        self.update_indexes(slot, cfg);
    }

    /// Gives reserved room back.
    pub(crate) fn unreserve(&mut self, slot: Slot, size: Size, cfg: &PlaceConfig) {
        self.get_mut(slot).reserved -= size;
        self.record_freed_room(slot);
        self.update_indexes(slot, cfg);
    }

    /// Ends a quarantine: the worker then takes one task as a probe.
    pub(crate) fn probe(&mut self, slot: Slot, now: Time, cfg: &PlaceConfig) {
        let worker = self.get_mut(slot);
        if let HealthState::Quarantined { until } = worker.health.state
            && now >= until
        {
            worker.health.state = HealthState::Probing { is_busy: false };
        }
        self.record_freed_room(slot);
        self.update_indexes(slot, cfg);
    }

    /// Changes a worker's health and returns the result of `change`.
    pub(crate) fn with_health<R>(
        &mut self,
        slot: Slot,
        change: impl FnOnce(&mut Health) -> R,
        cfg: &PlaceConfig,
    ) -> R {
        let before = self.get(slot).health.state;
        let result = change(&mut self.get_mut(slot).health);
        if self.get(slot).health.state != before {
            self.record_freed_room(slot);
        }
        self.update_indexes(slot, cfg);
        result
    }

    /// Records that a worker may have more room than before, which may let a waiting task start.
    /// Reserved room is included, since preemptible tasks may use it.
    fn record_freed_room(&mut self, slot: Slot) {
        let worker = self.get(slot);
        let room = worker.spec.size - worker.used;
        if worker.is_open && room != Size::ZERO {
            self.freed_rooms.push(room);
        }
    }

    /// Returns the recorded rooms of the workers that have gained room since the last call.
    pub(crate) fn take_freed_rooms(&mut self) -> Vec<Size> {
        std::mem::take(&mut self.freed_rooms)
    }

    /// Updates a worker's entries in the indexes after a change.
    fn update_indexes(&mut self, slot: Slot, cfg: &PlaceConfig) {
        let worker = &self.list[slot as usize];
        let old = worker.indexed;
        let new = worker.accepts_work().then(|| IndexedRoom {
            free: worker.free(),
            general_room: worker.general_room(cfg.accelerator_share_permille),
            room_after_preemption: worker.room_after_preemption(),
            room_after_completion: worker.room_after_completion(),
        });
        let is_probe_due =
            worker.is_open && worker.health.state == HealthState::Probing { is_busy: false };
        let is_accelerated = worker.spec.size.accelerators > 0;
        let is_interactive_only = worker.is_interactive_only;
        if is_probe_due {
            self.probes.insert(slot);
        } else {
            self.probes.remove(&slot);
        }
        if old == new {
            return;
        }
        self.list[slot as usize].indexed = new;
        let by_free = match (is_accelerated, is_interactive_only) {
            (true, _) => &mut self.accelerated,
            (false, true) => &mut self.interactive,
            (false, false) => &mut self.general,
        };
        move_entry(by_free, slot, old, new, |indexed| indexed.free);
        if is_accelerated {
            move_entry(&mut self.accelerated_general, slot, old, new, |indexed| {
                indexed.general_room
            });
        }
        move_entry(&mut self.room_after_preemption, slot, old, new, |indexed| {
            indexed.room_after_preemption
        });
        move_entry(&mut self.room_after_completion, slot, old, new, |indexed| {
            indexed.room_after_completion
        });
        self.free -= old.map_or(Size::ZERO, |indexed| indexed.free);
        self.free += new.map_or(Size::ZERO, |indexed| indexed.free);
    }
}

/// Moves a worker's entry in one index from its old room to its new one.
fn move_entry(
    index: &mut RoomIndex,
    slot: Slot,
    old: Option<IndexedRoom>,
    new: Option<IndexedRoom>,
    room: impl Fn(IndexedRoom) -> Size,
) {
    let (old, new) = (old.map(&room), new.map(&room));
    if old == new {
        return;
    }
    if let Some(old) = old {
        index.remove(old, slot);
    }
    if let Some(new) = new {
        index.insert(new, slot);
    }
}

/// Increments or decrements a count, and removes it if it reaches zero.
fn adjust_count<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K, present: bool) {
    let n = counts.entry(key);
    let n = n.or_default();
    *n = if present { *n + 1 } else { *n - 1 };
    counts.retain(|_, n| *n > 0);
}
