//! Places the tasks of a step on workers by best fit.
//!
//! Tasks need 1 to 15 processors, workers have 16 to 32, and approvals allow a third to two thirds
//! of the workers. Small tasks go where they leave the least free capacity, so that nearly empty
//! workers remain for gangs.

use std::collections::HashMap;

use model::{Size, WorkerId};

/// A worker that may run tasks of the step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) worker: WorkerId,
    /// The capacity that is left in this pass.
    pub(crate) free: Size,
    /// The capacity that is free once all runs have ended that end by themselves.
    pub(crate) free_eventually: Size,
    /// The worker's total size.
    pub(crate) size: Size,
    /// The number of further tasks of the step that it may take.
    pub(crate) slots: u32,
    /// Whether the step's data is on the worker's rack, or the step names no rack.
    pub(crate) is_near: bool,
    pub(crate) rack: Option<&'a str>,
}

/// Places up to `tasks` tasks on the candidates, as far as their free capacity allows. Returns the
/// worker of each placed task. If `one_rack` is set and all tasks fit on one rack, uses a single
/// rack.
pub(crate) fn place(
    candidates: &mut [Candidate<'_>],
    size: Size,
    tasks: usize,
    one_rack: bool,
) -> Vec<WorkerId> {
    if one_rack && let Some(placed) = place_in_one_rack(candidates, size, tasks) {
        return placed;
    }
    let mut placed = Vec::with_capacity(tasks);
    for _ in 0..tasks {
        let best = candidates
            .iter_mut()
            .filter(|c| c.slots > 0 && size.fits(&c.free))
            .min_by_key(|c| (!c.is_near, leftover(c, size), c.worker));
        let Some(best) = best else {
            break;
        };
        best.free -= size;
        best.slots -= 1;
        placed.push(best.worker);
    }
    placed
}

/// Returns the capacity that a task would leave free on a worker, in thousandths of the worker's
/// size: the smaller of the shares of processors and memory.
fn leftover(candidate: &Candidate<'_>, size: Size) -> u64 {
    let left = candidate.free - size;
    let share = |part: u64, whole: u64| part.saturating_mul(1_000) / whole.max(1);
    let processors = share(left.milli_processors, candidate.size.milli_processors);
    processors.min(share(left.memory_mb, candidate.size.memory_mb))
}

/// Places all tasks on the workers of one rack, if they fit on one.
fn place_in_one_rack(
    candidates: &mut [Candidate<'_>],
    size: Size,
    tasks: usize,
) -> Option<Vec<WorkerId>> {
    let mut racks: HashMap<&str, Vec<usize>> = HashMap::new();
    for (i, candidate) in candidates.iter().enumerate() {
        if let Some(rack) = candidate.rack {
            racks.entry(rack).or_default().push(i);
        }
    }
    let mut racks: Vec<_> = racks.into_iter().collect();
    racks.sort();
    for (_, members) in racks {
        let mut subset: Vec<Candidate<'_>> =
            members.iter().map(|&i| candidates[i].clone()).collect();
        let placed = place(&mut subset, size, tasks, false);
        if placed.len() == tasks {
            for (i, candidate) in members.into_iter().zip(subset) {
                candidates[i] = candidate;
            }
            return Some(placed);
        }
    }
    None
}
