//! A cache of task sizes that found no room, kept until some worker has more room.

use model::Size;

/// The maximum number of sizes in the cache.
const MAX_SIZES: usize = 32;

/// The kind of room that a task may use. A size that finds no room of one kind may find room of
/// another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoomKind {
    /// Room for a service's replica, which is not placed on accelerator hosts.
    Service,
    /// Room for a task that cannot be interrupted.
    NonPreemptible,
    /// Room for a task that can be interrupted and may also use room that is reserved for others.
    Preemptible,
}

/// The smallest sizes that found no room, with the kind of room.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnfitSizes {
    sizes: Vec<(RoomKind, Size)>,
}

impl UnfitSizes {
    /// Returns whether a size no larger than `size` is known to find no room of this kind.
    pub(crate) fn covers(&self, kind: RoomKind, size: Size) -> bool {
        let mut sizes = self.sizes.iter();
        sizes.any(|(other, unfit)| *other == kind && unfit.fits(&size))
    }

    /// Adds a size that found no room. It replaces larger sizes of the same kind.
    pub(crate) fn add(&mut self, kind: RoomKind, size: Size) {
        self.sizes
            .retain(|(other, unfit)| *other != kind || !size.fits(unfit));
        if self.sizes.len() < MAX_SIZES {
            self.sizes.push((kind, size));
        }
    }

    /// Removes the sizes that fit in `room`, which a worker has now.
    pub(crate) fn room_freed(&mut self, room: Size) {
        self.sizes.retain(|(_, unfit)| !unfit.fits(&room));
    }

    /// Removes the sizes of tasks that may use reserved room, since more room is reserved now.
    pub(crate) fn reservations_added(&mut self) {
        self.sizes
            .retain(|(kind, _)| *kind != RoomKind::Preemptible);
    }
}
