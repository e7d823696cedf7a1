//! The workers: what they hold, what is reserved on them, and the indexes that find room.

use std::collections::{BTreeMap, BTreeSet};

use model::{RackId, Size, Time, WorkerId};

use crate::{
    config::PlaceConfig,
    decision::WorkerSpec,
    fit::{RoomIndex, Slot},
    health::{Health, Trust},
    units::{Hold, Placed, TaskKey},
    worker::{Filed, Worker},
};

/// A size that workers have, whether they are kept for interactive work, and how many there are.
type Shapes = BTreeMap<(u64, u64, u32, bool), u32>;

/// All workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    slots: BTreeMap<WorkerId, Slot>,
    list: Vec<Worker>,
    plain: RoomIndex,
    urgent: RoomIndex,
    accelerated: RoomIndex,
    accelerated_plain: RoomIndex,
    shrinkable: RoomIndex,
    eventual: RoomIndex,
    probes: BTreeSet<Slot>,
    racks: BTreeMap<RackId, u32>,
    shapes: Shapes,
    plain_added: u32,
    open: u32,
    free: Size,
    /// Room that workers have come to have since this was last taken.
    grown: Vec<Size>,
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

    pub(crate) const fn plain(&self) -> &RoomIndex {
        &self.plain
    }

    pub(crate) const fn urgent(&self) -> &RoomIndex {
        &self.urgent
    }

    pub(crate) const fn accelerated(&self) -> &RoomIndex {
        &self.accelerated
    }

    pub(crate) const fn accelerated_plain(&self) -> &RoomIndex {
        &self.accelerated_plain
    }

    pub(crate) const fn by_shrinkable(&self) -> &RoomIndex {
        &self.shrinkable
    }

    pub(crate) const fn by_eventual(&self) -> &RoomIndex {
        &self.eventual
    }

    pub(crate) const fn probes(&self) -> &BTreeSet<Slot> {
        &self.probes
    }

    /// How many racks have open workers.
    pub(crate) fn rack_count(&self) -> usize {
        self.racks.len()
    }

    /// How many workers are open.
    pub(crate) const fn open_count(&self) -> u32 {
        self.open
    }

    /// The room of all workers that take work, summed.
    pub(crate) const fn free(&self) -> Size {
        self.free
    }

    /// The sizes of the workers that work of an urgent class, or not, may count on.
    pub(crate) fn shapes(&self, urgent: bool) -> impl Iterator<Item = (Size, u32)> {
        let shapes = self.shapes.iter();
        shapes
            .filter(move |((.., reserve), _)| urgent || !reserve)
            .map(|((p, m, a, _), n)| (Size::new(*p, *m, *a), *n))
    }

    /// Adds a worker or takes its changed size, and returns whether anything changed.
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
            open: false,
            opened_once: false,
            reserve: self.next_is_reserve(spec.size, cfg),
            used: Size::ZERO,
            held: Size::ZERO,
            fixed: Size::ZERO,
            preemptible: Size::ZERO,
            health: Health::default(),
            tasks: BTreeSet::new(),
            filed: None,
        };
        self.slots.insert(spec.id, slot);
        self.list.push(worker);
        self.count_shape(slot, true);
        true
    }

    /// Every n-th worker without accelerators is kept for interactive work.
    fn next_is_reserve(&mut self, size: Size, cfg: &PlaceConfig) -> bool {
        if cfg.urgent_reserve_permille == 0 || size.accelerators > 0 || size == Size::ZERO {
            return false;
        }
        let every = (1_000 / cfg.urgent_reserve_permille).max(1);
        self.plain_added += 1;
        self.plain_added % every == every / 2
    }

    /// Opens or closes a worker and returns whether that changed anything.
    pub(crate) fn set_open(&mut self, slot: Slot, open: bool, cfg: &PlaceConfig) -> bool {
        if self.get(slot).open == open {
            return false;
        }
        let set = |worker: &mut Worker| {
            worker.open = open;
            worker.opened_once |= open;
        };
        self.change(slot, set, cfg);
        true
    }

    fn count_shape(&mut self, slot: Slot, present: bool) {
        let worker = &self.list[slot as usize];
        if !worker.counts() {
            return;
        }
        let size = worker.spec.size;
        let key = (
            size.milli_processors,
            size.memory_mb,
            size.accelerators,
            worker.reserve,
        );
        count(&mut self.shapes, key, present);
        if worker.open {
            count(&mut self.racks, worker.spec.rack, present);
            self.open = if present {
                self.open + 1
            } else {
                self.open - 1
            };
        }
    }

    /// Changes a worker and all that is derived from it.
    pub(crate) fn change(
        &mut self,
        slot: Slot,
        change: impl FnOnce(&mut Worker),
        cfg: &PlaceConfig,
    ) {
        self.count_shape(slot, false);
        change(self.get_mut(slot));
        self.count_shape(slot, true);
        self.note_grown(slot);
        self.refile(slot, cfg);
    }

    /// Reserves room for a task.
    pub(crate) fn reserve(&mut self, key: TaskKey, placed: &Placed, cfg: &PlaceConfig) {
        let worker = self.get_mut(placed.slot);
        worker.used += placed.size;
        if placed.hold == Hold::Lasting {
            worker.fixed += placed.size;
        }
        if placed.hold.is_preemptible() {
            worker.preemptible += placed.size;
        }
        worker.tasks.insert(key);
        if let Trust::Probing { busy } = &mut worker.health.trust {
            *busy = true;
        }
        self.refile(placed.slot, cfg);
    }

    /// Frees the room of a task.
    pub(crate) fn release(&mut self, key: TaskKey, placed: &Placed, cfg: &PlaceConfig) {
        let worker = self.get_mut(placed.slot);
        worker.used -= placed.size;
        if placed.hold == Hold::Lasting {
            worker.fixed -= placed.size;
        }
        if placed.hold.is_preemptible() {
            worker.preemptible -= placed.size;
        }
        worker.tasks.remove(&key);
        self.note_grown(placed.slot);
        self.refile(placed.slot, cfg);
    }

    /// Keeps room on a worker for a task that is to start or to grow.
    pub(crate) fn hold(&mut self, slot: Slot, size: Size, cfg: &PlaceConfig) {
        self.get_mut(slot).held += size;
        self.refile(slot, cfg);
    }

    /// Gives kept room back.
    pub(crate) fn unhold(&mut self, slot: Slot, size: Size, cfg: &PlaceConfig) {
        self.get_mut(slot).held -= size;
        self.note_grown(slot);
        self.refile(slot, cfg);
    }

    /// Ends a quarantine: the worker takes one task.
    pub(crate) fn probe(&mut self, slot: Slot, now: Time, cfg: &PlaceConfig) {
        let worker = self.get_mut(slot);
        if let Trust::Quarantined { until } = worker.health.trust
            && now >= until
        {
            worker.health.trust = Trust::Probing { busy: false };
        }
        self.note_grown(slot);
        self.refile(slot, cfg);
    }

    /// Changes a worker's record of failures.
    pub(crate) fn with_health<R>(
        &mut self,
        slot: Slot,
        change: impl FnOnce(&mut Health) -> R,
        cfg: &PlaceConfig,
    ) -> R {
        let before = self.get(slot).health.trust;
        let result = change(&mut self.get_mut(slot).health);
        if self.get(slot).health.trust != before {
            self.note_grown(slot);
        }
        self.refile(slot, cfg);
        result
    }

    /// Notes that a worker has more room than before, which may be of use to tasks that wait.
    fn note_grown(&mut self, slot: Slot) {
        let worker = self.get(slot);
        let room = worker.spec.size - worker.used;
        if worker.open && room != Size::ZERO {
            self.grown.push(room);
        }
    }

    /// The room that workers have come to have since the last call.
    pub(crate) fn take_grown(&mut self) -> Vec<Size> {
        std::mem::take(&mut self.grown)
    }

    /// Brings the indexes in step with a worker.
    fn refile(&mut self, slot: Slot, cfg: &PlaceConfig) {
        let worker = &self.list[slot as usize];
        let old = worker.filed;
        let new = worker.takes_work().then(|| Filed {
            free: worker.free(),
            plain_room: worker.plain_room(cfg.accelerator_share_permille),
            shrinkable: worker.shrinkable(),
            eventual: worker.eventual(),
        });
        let probes = worker.open && worker.health.trust == Trust::Probing { busy: false };
        let accelerated = worker.spec.size.accelerators > 0;
        let reserve = worker.reserve;
        if probes {
            self.probes.insert(slot);
        } else {
            self.probes.remove(&slot);
        }
        if old == new {
            return;
        }
        self.list[slot as usize].filed = new;
        let by_free = match (accelerated, reserve) {
            (true, _) => &mut self.accelerated,
            (false, true) => &mut self.urgent,
            (false, false) => &mut self.plain,
        };
        move_entry(by_free, slot, old, new, |filed| filed.free);
        if accelerated {
            move_entry(&mut self.accelerated_plain, slot, old, new, |filed| {
                filed.plain_room
            });
        }
        move_entry(&mut self.shrinkable, slot, old, new, |filed| {
            filed.shrinkable
        });
        move_entry(&mut self.eventual, slot, old, new, |filed| filed.eventual);
        self.free -= old.map_or(Size::ZERO, |filed| filed.free);
        self.free += new.map_or(Size::ZERO, |filed| filed.free);
    }
}

fn move_entry(
    index: &mut RoomIndex,
    slot: Slot,
    old: Option<Filed>,
    new: Option<Filed>,
    room: impl Fn(Filed) -> Size,
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

fn count<K: Ord>(counts: &mut BTreeMap<K, u32>, key: K, present: bool) {
    let n = counts.entry(key);
    let n = n.or_default();
    *n = if present { *n + 1 } else { *n - 1 };
    counts.retain(|_, n| *n > 0);
}
