//! Sizes and run times as learned from reports, by the name of the unit.

use std::{collections::HashMap, time::Duration};

use model::{Size, Usage};

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

/// The learned values of all names.
#[derive(Clone, Debug, Default)]
pub(crate) struct Learning {
    by_name: HashMap<String, usize>,
    learned: Vec<Learned>,
}

impl Learning {
    /// The number that stands for a name.
    pub(crate) fn name(&mut self, name: &str) -> usize {
        if let Some(ix) = self.by_name.get(name) {
            return *ix;
        }
        let ix = self.learned.len();
        self.learned.push(Learned::default());
        self.by_name.insert(name.to_owned(), ix);
        ix
    }

    pub(crate) fn of(&self, name: usize) -> &Learned {
        &self.learned[name]
    }

    pub(crate) fn of_mut(&mut self, name: usize) -> &mut Learned {
        &mut self.learned[name]
    }
}
