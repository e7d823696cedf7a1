//! Sizes and run times as learned from reports, by the name of the unit.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use model::{Size, Usage};

/// Names that are remembered beyond those in use.
const MAX_NAMES: usize = 10_000;

/// Run times that are remembered per name.
const MAX_RUN_TIMES: usize = 16;

/// Ended runs after which an older peak of use is forgotten.
const RUNS_PER_WINDOW: u32 = 64;

/// Learned processors are rounded up to a multiple of this, in thousandths of a processor.
const PROCESSOR_STEP_MILLI: u64 = 100;

/// Learned memory is rounded up to a multiple of this, in MB.
const MEMORY_STEP_MB: u64 = 64;

/// What is known of the runs of one name.
#[derive(Clone, Debug, Default)]
pub(crate) struct UsageHistory {
    /// The peak of the present window and of the one before.
    peaks: [Usage; 2],
    runs_in_window: u32,
    run_times: Vec<Duration>,
    next_run: usize,
}

impl UsageHistory {
    pub(crate) fn record_usage(&mut self, usage: Usage) {
        let peak = &mut self.peaks[0];
        peak.milli_processors = peak.milli_processors.max(usage.milli_processors);
        peak.memory_mb = peak.memory_mb.max(usage.memory_mb);
    }

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

    /// What to reserve: the larger of declared and learned, in each dimension.
    pub(crate) fn size(&self, declared: Size) -> Size {
        let processors = self.peaks.iter().map(|p| p.milli_processors).max();
        let memory = self.peaks.iter().map(|p| p.memory_mb).max();
        let larger = |learned: Option<u64>, declared: u64, step: u64| match learned {
            Some(learned) if learned > declared => learned.next_multiple_of(step),
            _ => declared,
        };
        Size {
            milli_processors: larger(processors, declared.milli_processors, PROCESSOR_STEP_MILLI),
            memory_mb: larger(memory, declared.memory_mb, MEMORY_STEP_MB),
            accelerators: declared.accelerators,
        }
    }

    /// How long a run is expected to take: longer than nine of ten did, or else as declared.
    pub(crate) fn run_time(&self, declared: Duration) -> Duration {
        let mut times = self.run_times.clone();
        times.sort_unstable();
        let rank = times.len() * 9 / 10;
        times.get(rank).copied().unwrap_or(declared)
    }
}

/// What is known of a name.
#[derive(Clone, Debug, Default)]
struct NamedHistory {
    name: String,
    /// Units that have this name now.
    units: u32,
    /// When the last of them went, as a count.
    released_seq: u64,
    history: UsageHistory,
}

/// The learned values of all names. Those that were not used for longest make way for new ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histories {
    by_name: HashMap<String, usize>,
    histories: Vec<NamedHistory>,
    /// Names without a unit, longest unused first.
    idle: BTreeSet<(u64, usize)>,
    release_count: u64,
}

impl Histories {
    /// The number that stands for a name, for one more unit of it.
    pub(crate) fn acquire(&mut self, name: &str) -> usize {
        let ix = match self.by_name.get(name) {
            Some(ix) => *ix,
            None => self.insert(name),
        };
        let named = &mut self.histories[ix];
        named.units += 1;
        self.idle.remove(&(named.released_seq, ix));
        ix
    }

    fn insert(&mut self, name: &str) -> usize {
        let named = NamedHistory {
            name: name.to_owned(),
            ..NamedHistory::default()
        };
        let reused = if self.histories.len() < MAX_NAMES {
            None
        } else {
            self.idle.pop_first()
        };
        let ix = if let Some((_, ix)) = reused {
            self.by_name.remove(&self.histories[ix].name);
            self.histories[ix] = named;
            ix
        } else {
            self.histories.push(named);
            self.histories.len() - 1
        };
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Takes a unit of a name out.
    pub(crate) fn release(&mut self, ix: usize) {
        self.release_count += 1;
        let named = &mut self.histories[ix];
        named.units -= 1;
        if named.units == 0 {
            named.released_seq = self.release_count;
            self.idle.insert((self.release_count, ix));
        }
    }

    pub(crate) fn get(&self, ix: usize) -> &UsageHistory {
        &self.histories[ix].history
    }

    pub(crate) fn get_mut(&mut self, ix: usize) -> &mut UsageHistory {
        &mut self.histories[ix].history
    }
}
