//! Usage and run times observed in earlier runs, by the name of the unit.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use model::{Size, Usage};

/// The number of names that are kept before a new name replaces the least recently used name that
/// has no unit.
const MAX_NAMES: usize = 10_000;

/// The maximum number of run times that are kept per name.
const MAX_RUN_TIMES: usize = 16;

/// The number of successful runs in one window of peak usage. The peaks of the current window and of the
/// one before it count.
const RUNS_PER_WINDOW: u32 = 64;

/// Observed processors are rounded up to a multiple of this, in thousandths of a processor.
const PROCESSOR_STEP_MILLI: u64 = 100;

/// Observed memory is rounded up to a multiple of this, in MB.
const MEMORY_STEP_MB: u64 = 64;

/// The observed usage and run times of one name.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageHistory {
    /// The peak usage in the current window and in the one before it.
    peaks: [Usage; 2],
    runs_in_window: u32,
    run_times: Vec<Duration>,
    /// The index in `run_times` at which the next run time is stored.
    next_run: usize,
}

impl UsageHistory {
    /// Records the usage of a running task.
    pub(crate) fn record_usage(&mut self, usage: Usage) {
        let peak = &mut self.peaks[0];
        peak.milli_processors = peak.milli_processors.max(usage.milli_processors);
        peak.memory_mb = peak.memory_mb.max(usage.memory_mb);
    }

    /// Records the run time of a task that succeeded.
    pub(crate) fn record_run(&mut self, time: Duration) {
        if self.run_times.len() < MAX_RUN_TIMES {
            self.run_times.push(time);
        } else {
            self.run_times[self.next_run] = time;
        }
        self.next_run = (self.next_run + 1) % MAX_RUN_TIMES;
        self.runs_in_window += 1;
        if self.runs_in_window >= RUNS_PER_WINDOW {
            self.runs_in_window = 0;
            self.peaks = [Usage::default(), self.peaks[0]];
        }
    }

    /// Returns the size to allocate: in each dimension, the larger of the declared size and the
    /// observed peak.
    pub(crate) fn size(&self, declared: Size) -> Size {
        let processors = self.peaks.iter().map(|p| p.milli_processors).max();
        let memory = self.peaks.iter().map(|p| p.memory_mb).max();
        let larger = |observed: Option<u64>, declared: u64, step: u64| match observed {
            Some(observed) if observed > declared => observed.next_multiple_of(step),
            _ => declared,
        };
        Size {
            milli_processors: larger(processors, declared.milli_processors, PROCESSOR_STEP_MILLI),
            memory_mb: larger(memory, declared.memory_mb, MEMORY_STEP_MB),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the expected run time: the 90th percentile of the observed run times, or the
    /// declared run time if there are none.
    pub(crate) fn run_time(&self, declared: Duration) -> Duration {
        let mut times = self.run_times.clone();
        times.sort_unstable();
        let rank = times.len() * 9 / 10;
        times.get(rank).copied().unwrap_or(declared)
    }
}

/// A name with its history.
#[derive(Clone, Debug, Default)]
struct NamedHistory {
    name: String,
    /// The number of current units with this name.
    units: u32,
    /// The sequence number of the release of the last unit with this name.
    released_seq: u64,
    history: UsageHistory,
}

/// The histories of all names. The least recently used ones are replaced by new ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histories {
    by_name: HashMap<String, usize>,
    entries: Vec<NamedHistory>,
    /// Names without a unit, least recently used first.
    idle: BTreeSet<(u64, usize)>,
    /// The number of calls of [`Self::release`].
    release_count: u64,
}

impl Histories {
    /// Returns the index of a name and counts one more unit with that name.
    pub(crate) fn acquire(&mut self, name: &str) -> usize {
        let ix = match self.by_name.get(name) {
            Some(ix) => *ix,
            None => self.insert(name),
        };
        let named = &mut self.entries[ix];
        named.units += 1;
        self.idle.remove(&(named.released_seq, ix));
        ix
    }

    fn insert(&mut self, name: &str) -> usize {
        let named = NamedHistory {
            name: name.to_owned(),
            ..NamedHistory::default()
        };
        let reused = if self.entries.len() < MAX_NAMES {
            None
        } else {
            self.idle.pop_first()
        };
        let ix = if let Some((_, ix)) = reused {
            self.by_name.remove(&self.entries[ix].name);
            self.entries[ix] = named;
            ix
        } else {
            self.entries.push(named);
            self.entries.len() - 1
        };
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Counts one unit less with the name at this index.
    pub(crate) fn release(&mut self, ix: usize) {
        self.release_count += 1;
        let named = &mut self.entries[ix];
        named.units -= 1;
        if named.units == 0 {
            named.released_seq = self.release_count;
            self.idle.insert((self.release_count, ix));
        }
    }

    pub(crate) fn get(&self, ix: usize) -> &UsageHistory {
        &self.entries[ix].history
    }

    pub(crate) fn get_mut(&mut self, ix: usize) -> &mut UsageHistory {
        &mut self.entries[ix].history
    }
}
