//! Sizes for which there is no room, remembered until some worker has more of it.

use model::Size;

/// Sizes that are remembered.
const SIZES_REMEMBERED: usize = 32;

/// Which room a task may use. Room for one kind is not room for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Need {
    /// A service's replica, which stays off accelerator hosts.
    Lasting,
    /// A task that can't be interrupted.
    Firm,
    /// A task that may also use room that is kept for others.
    Movable,
}

/// The smallest sizes without room.
#[derive(Clone, Debug, Default)]
pub(crate) struct Failed {
    sizes: Vec<(Need, Size)>,
}

impl Failed {
    /// Whether a task of no greater size was found to have no room.
    pub(crate) fn covers(&self, need: Need, size: Size) -> bool {
        let mut sizes = self.sizes.iter();
        sizes.any(|(n, failed)| *n == need && failed.fits(&size))
    }

    pub(crate) fn add(&mut self, need: Need, size: Size) {
        self.sizes
            .retain(|(n, failed)| *n != need || !size.fits(failed));
        if self.sizes.len() < SIZES_REMEMBERED {
            self.sizes.push((need, size));
        }
    }

    /// Forgets the sizes that fit in `room`, which a worker has come to have.
    pub(crate) fn grown(&mut self, room: Size) {
        self.sizes.retain(|(_, failed)| !failed.fits(&room));
    }

    /// Forgets tasks that may use kept room: there is more of it.
    pub(crate) fn more_kept(&mut self) {
        self.sizes.retain(|(need, _)| *need != Need::Movable);
    }
}
