//! An index of workers by free room, and the scores that choose among them.
//!
//! A search examines a few candidates in each step of free processors and never scans all workers.
//! Within a step, the workers are sorted by free memory, so the tightest one that fits comes first.

use std::collections::{BTreeMap, BTreeSet};

use model::Size;

use crate::config::FitRule;

/// The number of steps of the processor scale between one power of two and the next.
const STEPS_PER_OCTAVE: u64 = 8;

/// The maximum number of candidates that are scored per step of free processors.
const MAX_CANDIDATES_PER_STEP: usize = 2;

/// The number of scored candidates after which a search ends, counted per number of free
/// accelerators.
const MAX_CANDIDATES: usize = 24;

/// Shares are in millionths.
const SHARE_SCALE: u64 = 1_000_000;

/// A worker's number within one placer.
pub(crate) type Slot = u32;

/// Free memory in MB, free processors in thousandths, and the worker.
type RoomEntry = (u64, u64, Slot);

/// Workers by free accelerators, then by steps of free processors, then by free memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct RoomIndex {
    steps: BTreeMap<(u32, u64), BTreeSet<RoomEntry>>,
}

/// Returns the step of the processor scale that an amount belongs to. It grows monotonically with
/// the amount.
fn processor_step(milli_processors: u64) -> u64 {
    if milli_processors < STEPS_PER_OCTAVE {
        return milli_processors;
    }
    let octave = u64::from(milli_processors.ilog2());
    let shift = octave - u64::from(STEPS_PER_OCTAVE.ilog2());
    octave * STEPS_PER_OCTAVE + (milli_processors >> shift) - STEPS_PER_OCTAVE
}

impl RoomIndex {
    pub(crate) fn insert(&mut self, room: Size, slot: Slot) {
        let key = (room.accelerators, processor_step(room.milli_processors));
        let entry = (room.memory_mb, room.milli_processors, slot);
        self.steps.entry(key).or_default().insert(entry);
    }

    pub(crate) fn remove(&mut self, room: Size, slot: Slot) {
        let key = (room.accelerators, processor_step(room.milli_processors));
        if let Some(set) = self.steps.get_mut(&key) {
            set.remove(&(room.memory_mb, room.milli_processors, slot));
            if set.is_empty() {
                self.steps.remove(&key);
            }
        }
    }

    /// Returns the worker with room for `size` that has the lowest score among a few candidates of
    /// each step. Workers for which `score` returns `None` are skipped. Hosts with the fewest
    /// sufficient free accelerators are preferred.
    pub(crate) fn best<S: Ord + Copy>(
        &self,
        size: Size,
        mut score: impl FnMut(Slot, Size) -> Option<S>,
    ) -> Option<Slot> {
        let least = processor_step(size.milli_processors);
        let mut best: Option<(S, Slot)> = None;
        let mut current_accelerators = size.accelerators;
        let mut total_candidates = 0;
        for ((accelerators, step), set) in self.steps.range((size.accelerators, least)..) {
            if *accelerators != current_accelerators {
                if best.is_some() {
                    break;
                }
                total_candidates = 0;
                current_accelerators = *accelerators;
            }
            if *step < least {
                continue;
            }
            if total_candidates >= MAX_CANDIDATES {
                break;
            }
            let mut step_candidates = 0;
            for (memory, processors, slot) in set.range((size.memory_mb, 0, 0)..) {
                if *processors < size.milli_processors {
                    continue;
                }
                let room = Size::new(*processors, *memory, *accelerators);
                let Some(score) = score(*slot, room) else {
                    continue;
                };
                if best.is_none_or(|b| (score, *slot) < b) {
                    best = Some((score, *slot));
                }
                step_candidates += 1;
                total_candidates += 1;
                if step_candidates >= MAX_CANDIDATES_PER_STEP {
                    break;
                }
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Returns the workers in descending order of free accelerators, then of the step of free
    /// processors, then of free memory.
    pub(crate) fn roomiest(&self) -> impl Iterator<Item = Slot> {
        let sets = self.steps.values().rev();
        sets.flat_map(|set| set.iter().rev().map(|(_, _, slot)| *slot))
    }
}

/// Returns `amount` as a share of `whole`, in millionths.
pub(crate) const fn share(amount: u64, whole: u64) -> u64 {
    if whole == 0 {
        return 0;
    }
    amount.saturating_mul(SHARE_SCALE) / whole
}

impl FitRule {
    /// Scores a worker of size `whole` with free `room` for a task of `size`. Lower is better.
    pub(crate) fn score(self, size: Size, room: Size, whole: Size) -> u64 {
        let left = room - size;
        let processors = share(left.milli_processors, whole.milli_processors);
        let memory = share(left.memory_mb, whole.memory_mb);
        match self {
            Self::Best => processors + memory,
            Self::Alignment => {
                let dot =
                    |a: u64, b: u64, whole: u64| share(a, whole) * share(b, whole) / SHARE_SCALE;
                let product = dot(
                    size.milli_processors,
                    room.milli_processors,
                    whole.milli_processors,
                ) + dot(size.memory_mb, room.memory_mb, whole.memory_mb);
                u64::MAX - product
            }
            Self::Balance => processors.abs_diff(memory) + (processors + memory) / 4,
        }
    }
}
