//! Sizes and run times as learned from reports, by the name of the unit.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use model::{Size, Usage};

/// Names that are remembered beyond those in use.
const NAMES_REMEMBERED: usize = 10_000;

/// Run times that are remembered per name.
const RUNS_REMEMBERED: usize = 16;

/// Ended runs after which an older peak of use is forgotten.
const WINDOW_RUNS: u32 = 64;

/// Learned processors are rounded up to a multiple of this, in thousandths of a processor.
const PROCESSOR_STEP: u64 = 100;

/// Learned memory is rounded up to a multiple of this, in MB.
const MEMORY_STEP: u64 = 64;

/// What is known of the runs of one name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learned {
    /// The peak of the present window and of the one before.
    peaks: [Usage; 2],
    runs_in_window: u32,
    run_times: Vec<Duration>,
    next_run: usize,
}

impl Learned {
    pub(crate) fn used(&mut self, usage: Usage) {
        let peak = &mut self.peaks[0];
        peak.milli_processors = peak.milli_processors.max(usage.milli_processors);
        peak.memory_mb = peak.memory_mb.max(usage.memory_mb);
    }

    pub(crate) fn ran(&mut self, time: Duration) {
        if self.run_times.len() < RUNS_REMEMBERED {
            self.run_times.push(time);
        } else {
            self.run_times[self.next_run] = time;
        }
        self.next_run = (self.next_run + 1) % RUNS_REMEMBERED;
        self.runs_in_window += 1;
        if self.runs_in_window >= WINDOW_RUNS {
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
            milli_processors: larger(processors, declared.milli_processors, PROCESSOR_STEP),
            memory_mb: larger(memory, declared.memory_mb, MEMORY_STEP),
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
struct Known {
    name: String,
    /// Units that have this name now.
    units: u32,
    /// When the last of them went, as a count.
    idle_since: u64,
    learned: Learned,
}

/// The learned values of all names. Those that were not used for longest make way for new ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learning {
    by_name: HashMap<String, usize>,
    known: Vec<Known>,
    /// Names without a unit, longest unused first.
    idle: BTreeSet<(u64, usize)>,
    released: u64,
}

impl Learning {
    /// The number that stands for a name, for one more unit of it.
    pub(crate) fn acquire(&mut self, name: &str) -> usize {
        let ix = match self.by_name.get(name) {
            Some(ix) => *ix,
            None => self.insert(name),
        };
        let known = &mut self.known[ix];
        known.units += 1;
        self.idle.remove(&(known.idle_since, ix));
        ix
    }

    fn insert(&mut self, name: &str) -> usize {
        let known = Known {
            name: name.to_owned(),
            ..Known::default()
        };
        let reused = if self.known.len() < NAMES_REMEMBERED {
            None
        } else {
            self.idle.pop_first()
        };
        let ix = if let Some((_, ix)) = reused {
            self.by_name.remove(&self.known[ix].name);
            self.known[ix] = known;
            ix
        } else {
            self.known.push(known);
            self.known.len() - 1
        };
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    /// Takes a unit of a name out.
    pub(crate) fn release(&mut self, ix: usize) {
        self.released += 1;
        let known = &mut self.known[ix];
        known.units -= 1;
        if known.units == 0 {
            known.idle_since = self.released;
            self.idle.insert((self.released, ix));
        }
    }

    pub(crate) fn of(&self, name: usize) -> &Learned {
        &self.known[name].learned
    }

    pub(crate) fn of_mut(&mut self, name: usize) -> &mut Learned {
        &mut self.known[name].learned
    }
}
