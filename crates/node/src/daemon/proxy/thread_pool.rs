//! Thread pools that start threads on demand, up to a maximum.

use std::{
    collections::VecDeque,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

/// The time after which an idle thread ends.
const IDLE_MAX: Duration = Duration::from_secs(10);
/// The stack size of a thread, in bytes.
const STACK_BYTES: usize = 512 << 10;

type Work = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    work: VecDeque<Work>,
    threads: usize,
    idle_threads: usize,
}

struct Shared {
    name: &'static str,
    max_threads: usize,
    state: Mutex<State>,
    work_available: Condvar,
}

/// A thread pool. Clones share the same threads.
#[derive(Clone)]
pub(super) struct ThreadPool {
    shared: Arc<Shared>,
}

impl ThreadPool {
    /// Creates a pool of at most `max_threads` threads. The pool starts without threads.
    pub(super) fn new(name: &'static str, max_threads: usize) -> Self {
        let shared = Shared {
            name,
            max_threads,
            state: Mutex::default(),
            work_available: Condvar::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns whether no work is running or queued.
    pub(super) fn is_idle(&self) -> bool {
        let state = self.shared.lock();
        state.work.is_empty() && state.idle_threads == state.threads
    }

    /// Runs work on a thread of the pool. The work is queued while all threads are busy.
    pub(super) fn run(&self, work: impl FnOnce() + Send + 'static) {
        let mut state = self.shared.lock();
        state.work.push_back(Box::new(work));
        let must_start =
            state.idle_threads < state.work.len() && state.threads < self.shared.max_threads;
        if !must_start {
            self.shared.work_available.notify_one();
            return;
        }
        state.threads += 1;
        drop(state);
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .stack_size(STACK_BYTES);
        if let Err(e) = thread.spawn(move || shared.run_thread()) {
            log::error!("http: cannot start a thread for {}: {e}", self.shared.name);
            self.shared.lock().threads -= 1;
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn run_thread(&self) {
        while let Some(work) = self.next_work() {
            // A panic must not end the thread, or the pool's thread count would be wrong.
            let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(work));
            if result.is_err() {
                log::error!("http: work on a thread for {} panicked", self.name);
            }
        }
    }

    /// Waits for the next work. Returns `None` if the thread should end because it was idle too long.
    fn next_work(&self) -> Option<Work> {
        let mut state = self.lock();
        loop {
            if let Some(work) = state.work.pop_front() {
                return Some(work);
            }
            state.idle_threads += 1;
            let waited = self.work_available.wait_timeout(state, IDLE_MAX);
            let (woken, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
            state = woken;
            state.idle_threads -= 1;
            if timeout.timed_out() && state.work.is_empty() {
                state.threads -= 1;
                return None;
            }
        }
    }
}
