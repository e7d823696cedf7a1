//! How much a team may start below its limit.
//!
//! The platform tolerates an excess of a tenth of the limit and one task. Work is admitted into this tolerance only
//! where it could never run otherwise, and while nothing else of the team runs.

use model::Size;

use super::{dimensions, ledger::Usage};

/// The part of a limit by which the platform lets a team exceed it, as a divisor.
const TOLERANCE_DIVISOR: u64 = 10;

/// Whether a gang may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GangFit {
    /// It may start now.
    Fits,
    /// It may start once less of its team runs.
    Waits,
    /// It can never start under this limit.
    TooLarge,
}

/// Returns how many tasks of this size, at most `tasks`, a team may start that is limited to `limit`. A single task that
/// is larger than the limit may start while nothing else of the team runs.
pub(crate) fn startable(usage: Usage, limit: Size, size: Size, tasks: usize) -> usize {
    let used = dimensions(usage.size);
    let limits = dimensions(limit).into_iter().zip(used);
    let counts = limits
        .zip(dimensions(size))
        .filter(|&((limit, _), _)| limit > 0)
        .filter_map(|((limit, used), size)| limit.saturating_sub(used).checked_div(size));
    let count = counts.min().map_or(tasks, |count| {
        usize::try_from(count).unwrap_or(usize::MAX).min(tasks)
    });
    if count == 0 && usage.runs == 0 {
        return tasks.min(1);
    }
    count
}

/// Returns whether a gang of `tasks` tasks of this size may start in a team that is limited to `limit`.
pub(crate) fn gang_fit(usage: Usage, limit: Size, size: Size, tasks: usize) -> GangFit {
    let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
    let whole = size.saturating_mul(tasks);
    if exceeds(usage.size + whole, limit, |limit, _| limit, size) {
        let tolerated = |limit: u64, task: u64| {
            let excess = (limit / TOLERANCE_DIVISOR).saturating_add(task);
            limit.saturating_add(excess)
        };
        return if exceeds(whole, limit, tolerated, size) {
            GangFit::TooLarge
        } else if usage.runs == 0 {
            GangFit::Fits
        } else {
            GangFit::Waits
        };
    }
    GangFit::Fits
}

/// Returns whether `sum` is above what `allowed` returns, given the limit and the size of a task, in any dimension that
/// is limited.
fn exceeds(sum: Size, limit: Size, allowed: impl Fn(u64, u64) -> u64, task: Size) -> bool {
    let limits = dimensions(limit).into_iter().zip(dimensions(task));
    limits
        .zip(dimensions(sum))
        .any(|((limit, task), sum)| limit > 0 && sum > allowed(limit, task))
}

/// Returns the part of `demand` that is within `limit`.
pub(crate) fn capped(demand: Size, limit: Size) -> Size {
    let cap = |demand: u64, limit: u64| if limit > 0 { demand.min(limit) } else { demand };
    Size::new(
        cap(demand.milli_processors, limit.milli_processors),
        cap(demand.memory_mb, limit.memory_mb),
        if limit.accelerators > 0 {
            demand.accelerators.min(limit.accelerators)
        } else {
            demand.accelerators
        },
    )
}
