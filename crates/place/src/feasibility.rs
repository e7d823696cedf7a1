//! Detection of units that can never run with the current workers, teams and quotas.

use model::{Class, Kind, Size};

use crate::{Decision, Placer, Unplaceable, unfit::UnfitSizes, units::UnitIx};

impl Placer {
    /// Checks whether a unit can ever run on the current workers and under its team's quota. While
    /// there are no workers, only the team and its quota are checked.
    pub(crate) fn check_feasible(&self, unit: UnitIx) -> Result<(), Unplaceable> {
        let Some(entry) = self.units.get(unit) else {
            return Ok(());
        };
        let size = self.task_size(unit);
        let Some(quota) = self.teams.quota(entry.team) else {
            return Err(Unplaceable::NoTeam(entry.unit.team.clone()));
        };
        let together = match entry.unit.kind {
            Kind::Gang { tasks } => tasks,
            Kind::Batch { .. } | Kind::Service { .. } => 1,
        };
        let total_size = size.saturating_mul(together);
        if !total_size.fits(&quota) {
            return Err(Unplaceable::OverQuota(total_size));
        }
        let is_interactive = entry.class() == Class::Interactive;
        let capacity = self.task_capacity(size, is_interactive);
        match capacity {
            Some(0) => Err(Unplaceable::TooLarge(size)),
            Some(n) if n < u64::from(together) => Err(Unplaceable::TooManyTogether {
                tasks: together,
                size,
            }),
            _ => Ok(()),
        }
    }

    /// Returns how many tasks of `size` all workers would hold if they were empty, or `None` if
    /// there are no workers.
    fn task_capacity(&self, size: Size, is_interactive: bool) -> Option<u64> {
        let mut shapes = self.workers.shapes(is_interactive).peekable();
        shapes.peek()?;
        Some(
            shapes
                .map(|(whole, n)| tasks_per_worker(size, whole) * u64::from(n))
                .sum(),
        )
    }

    /// Returns whether any worker without accelerators is large enough for a task of `size`.
    /// Workers that take interactive work only count if `is_interactive`.
    pub(crate) fn fits_general_worker(&self, size: Size, is_interactive: bool) -> bool {
        let mut shapes = self.workers.shapes(is_interactive);
        shapes.any(|(whole, _)| whole.accelerators == 0 && size.fits(&whole))
    }

    /// Checks all waiting units again after workers, teams or units have changed, and adds an
    /// explanation for each unit whose answer has changed.
    pub(crate) fn recheck_units(&mut self) {
        if !std::mem::take(&mut self.needs_recheck) {
            return;
        }
        self.unfit_sizes
            .values_mut()
            .for_each(|sizes| *sizes = UnfitSizes::default());
        let waiting = self
            .units
            .iter()
            .filter(|(_, entry)| !entry.waiting.is_empty() && !entry.is_cancelled);
        let units: Vec<UnitIx> = waiting.map(|(ix, _)| ix).collect();
        for unit in units {
            let reason = self.check_feasible(unit).err();
            let Some(entry) = self.units.get_mut(unit) else {
                continue;
            };
            if entry.blocked == reason {
                continue;
            }
            entry.blocked.clone_from(&reason);
            let unit_id = entry.id.clone();
            self.update_queue(unit);
            self.needs_pass = true;
            self.pending_decisions.push(Decision::Explain {
                unit: unit_id,
                reason,
            });
        }
    }
}

/// Returns how many tasks of `size` fit in an empty worker of size `whole`.
fn tasks_per_worker(size: Size, whole: Size) -> u64 {
    let quotient = |size: u64, whole: u64| whole.checked_div(size).unwrap_or(u64::MAX);
    let accelerators = quotient(u64::from(size.accelerators), u64::from(whole.accelerators));
    let processors = quotient(size.milli_processors, whole.milli_processors);
    let memory = quotient(size.memory_mb, whole.memory_mb);
    processors
        .min(memory)
        .min(accelerators)
        .min(u64::from(u32::MAX))
}
