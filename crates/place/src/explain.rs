//! Work that can never run as things stand.

use model::{Class, Kind, Size};

use crate::{Decision, Placer, Unplaceable, failed::Failed, units::UnitIx};

impl Placer {
    /// Whether a unit can run at all on the workers and under the quota that there are.
    pub(crate) fn check(&self, unit: UnitIx) -> Result<(), Unplaceable> {
        let Some(entry) = self.units.get(unit) else {
            return Ok(());
        };
        let size = self.size_of(unit);
        let Some(quota) = self.teams.quota(entry.team) else {
            return Err(Unplaceable::NoTeam(entry.unit.team.clone()));
        };
        let together = match entry.unit.kind {
            Kind::Gang { tasks } => tasks,
            Kind::Batch { .. } | Kind::Service { .. } => 1,
        };
        let at_once = size.saturating_mul(together);
        if !at_once.fits(&quota) {
            return Err(Unplaceable::OverQuota(at_once));
        }
        let urgent = entry.class() == Class::Interactive;
        let held = self.held_at_a_time(size, urgent);
        match held {
            Some(0) => Err(Unplaceable::TooLarge(size)),
            Some(n) if n < u64::from(together) => Err(Unplaceable::TooManyTogether {
                tasks: together,
                size,
            }),
            _ => Ok(()),
        }
    }

    /// How many tasks of `size` the empty workers would hold; `None` if there are no workers.
    fn held_at_a_time(&self, size: Size, urgent: bool) -> Option<u64> {
        let mut shapes = self.workers.shapes(urgent).peekable();
        shapes.peek()?;
        Some(
            shapes
                .map(|(whole, n)| times_held(size, whole) * u64::from(n))
                .sum(),
        )
    }

    /// Whether workers without accelerators can hold a task.
    pub(crate) fn plain_holds(&self, size: Size, urgent: bool) -> bool {
        let mut shapes = self.workers.shapes(urgent);
        shapes.any(|(whole, _)| whole.accelerators == 0 && size.fits(&whole))
    }

    /// Looks at all units again after workers or quotas have changed.
    pub(crate) fn recheck(&mut self) {
        if !std::mem::take(&mut self.recheck) {
            return;
        }
        self.no_room
            .values_mut()
            .for_each(|failed| *failed = Failed::default());
        let waits = self
            .units
            .iter()
            .filter(|(_, entry)| !entry.waiting.is_empty() && !entry.cancelled);
        let units: Vec<UnitIx> = waits.map(|(ix, _)| ix).collect();
        for unit in units {
            let reason = self.check(unit).err();
            let Some(entry) = self.units.get_mut(unit) else {
                continue;
            };
            if entry.blocked == reason {
                continue;
            }
            entry.blocked.clone_from(&reason);
            let unit_id = entry.id.clone();
            self.file(unit);
            self.dirty = true;
            self.pending.push(Decision::Explain {
                unit: unit_id,
                reason,
            });
        }
    }
}

/// How many tasks of `size` fit in an empty worker.
fn times_held(size: Size, whole: Size) -> u64 {
    let times = |size: u64, whole: u64| whole.checked_div(size).unwrap_or(u64::MAX);
    let accelerators = times(u64::from(size.accelerators), u64::from(whole.accelerators));
    let processors = times(size.milli_processors, whole.milli_processors);
    let memory = times(size.memory_mb, whole.memory_mb);
    processors
        .min(memory)
        .min(accelerators)
        .min(u64::from(u32::MAX))
}
