//! Sizes for which there is no room, remembered until some worker has more of it.

use model::Size;

/// Sizes that are remembered.
const MAX_SIZES: usize = 32;

/// Which room a task may use. Room for one kind is not room for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoomKind {
    /// A service's replica, which stays off accelerator hosts.
    Service,
    /// A task that can't be interrupted.
    NonPreemptible,
    /// A task that may also use room that is kept for others.
    Preemptible,
}

/// The smallest sizes without room.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnfitSizes {
    sizes: Vec<(RoomKind, Size)>,
}

impl UnfitSizes {
    /// Whether a task of no greater size was found to have no room.
    pub(crate) fn covers(&self, kind: RoomKind, size: Size) -> bool {
        let mut sizes = self.sizes.iter();
        sizes.any(|(other, unfit)| *other == kind && unfit.fits(&size))
    }

    pub(crate) fn add(&mut self, kind: RoomKind, size: Size) {
        self.sizes
            .retain(|(other, unfit)| *other != kind || !size.fits(unfit));
        if self.sizes.len() < MAX_SIZES {
            self.sizes.push((kind, size));
        }
    }

    /// Forgets the sizes that fit in `room`, which a worker has come to have.
    pub(crate) fn room_grown(&mut self, room: Size) {
        self.sizes.retain(|(_, unfit)| !unfit.fits(&room));
    }

    /// Forgets tasks that may use kept room: there is more of it.
    pub(crate) fn reservations_added(&mut self) {
        self.sizes
            .retain(|(kind, _)| *kind != RoomKind::Preemptible);
    }
}
