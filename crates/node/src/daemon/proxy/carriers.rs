//! Pools of threads that are started as they are needed, up to a bound.

use std::{
    collections::VecDeque,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// A thread that has had nothing to do for this long ends.
const IDLE_MAX: Duration = Duration::from_secs(10);
/// The stack of a thread, in bytes.
const STACK_BYTES: usize = 512 << 10;

type Work = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    work: VecDeque<Work>,
    threads: usize,
    idle: usize,
}

struct Shared {
    name: &'static str,
    most: usize,
    state: Mutex<State>,
    work_came: Condvar,
}

/// A pool of threads. Clones share it.
#[derive(Clone)]
pub(super) struct Carriers {
    shared: Arc<Shared>,
}

impl Carriers {
    /// A pool of at most `most` threads; it has none at first.
    pub(super) fn new(name: &'static str, most: usize) -> Self {
        let shared = Shared {
            name,
            most,
            state: Mutex::default(),
            work_came: Condvar::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Whether nothing runs or waits.
    pub(super) fn is_idle(&self) -> bool {
        let state = self.shared.lock();
        state.work.is_empty() && state.idle == state.threads
    }

    /// Runs work on a thread of the pool; it waits while all threads are busy.
    pub(super) fn run(&self, work: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        state.work.push_back(Box::new(work));
        let start = state.idle < state.work.len() && state.threads < self.shared.most;
        if !start {
            self.shared.work_came.notify_one();
            return;
        }
        state.threads += 1;
        drop(state);
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .stack_size(STACK_BYTES);
        if let Err(e) = thread.spawn(move || shared.serve()) {
            log::error!("http: no thread for {}: {e}", self.shared.name);
            self.shared.lock().threads -= 1;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self) {
        while let Some(work) = self.next() {
            // The pool keeps its count of threads, whatever the work does.
            let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
            if done.is_err() {
                log::error!("http: a thread for {} has panicked", self.name);
            }
        }
    }

    /// The next work; `None` if the thread is to end.
    fn next(&self) -> Option<Work> {
        let mut state = self.lock();
        loop {
            if let Some(work) = state.work.pop_front() {
                return Some(work);
            }
            state.idle += 1;
            let waited = self.work_came.wait_timeout(state, IDLE_MAX);
            let (woken, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            state = woken;
            state.idle -= 1;
            if timeout.timed_out() && state.work.is_empty() {
                state.threads -= 1;
                return None;
            }
        }
    }
}
