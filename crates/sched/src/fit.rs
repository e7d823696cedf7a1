//! Which workers take the tasks of a step.
//!
//! Load pattern: tasks of 1 to 15 cores on workers of 16 to 32, of which approvals allow a third to two
//! thirds. Small tasks go where the least room is left over, so that whole workers stay for gangs.

use std::collections::HashMap;

use model::{Size, WorkerId};

/// A worker that may take tasks of the step.
#[derive(Clone, Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) worker: WorkerId,
    /// The room that is left in this pass.
    pub(crate) room: Size,
    /// What it holds in all.
    pub(crate) size: Size,
    /// How many more tasks of the step it may take.
    pub(crate) slots: u32,
    /// Whether the data of the step lies on its rack, or nothing is said of that.
    pub(crate) is_near: bool,
    pub(crate) rack: Option<&'a str>,
}

/// Gives as many of `tasks` tasks to the candidates as there is room for. Returns the worker of each.
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
            .filter(|c| c.slots > 0 && size.fits(&c.room))
            .min_by_key(|c| (!c.is_near, leftover(c, size), c.worker));
        let Some(best) = best else {
            break;
        };
        best.room -= size;
        best.slots -= 1;
        placed.push(best.worker);
    }
    placed
}

/// What is left of a worker's room after a task, in thousandths of the whole, the scarcer of processors
/// and memory.
fn leftover(candidate: &Candidate<'_>, size: Size) -> u64 {
    let left = candidate.room - size;
    let share = |part: u64, whole: u64| part * 1_000 / whole.max(1);
    let processors = share(left.milli_processors, candidate.size.milli_processors);
    processors.min(share(left.memory_mb, candidate.size.memory_mb))
}

/// Gives all tasks to the workers of one rack, if one has room for them.
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
