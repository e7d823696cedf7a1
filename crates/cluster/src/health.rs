//! Tracks whether this node can reach the table.
//!
//! The table may be slow, with answers that take most of a second, or it may refuse this node's calls,
//! stop answering, or be down. A slow table still serves calls, and abandoning and resending them makes
//! it slower. A call is therefore awaited for as long as other calls are answered. Once no call has been
//! answered for [`LOSS_TIMEOUT`], the table counts as lost, and requests of clients are
//! relayed through the scheduler at once.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jobs::StepKey;
use model::Time;
use sched::{Listing, PollFailure, PollOrder, StartOrder, StopOrder, WorkerInfo};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    Approval, Approver, AskError, CallError, Clock, CommitError, Directory, FeedError, FeedPage,
    Metrics, Page, Ports, Routes, StartOutcome, Table, Transaction, Versioned, WorkerChanges,
    Workers,
    rows::{LEASE, LEASE_KEY, SCHEDULER_PART},
    succession::average_answer,
};

/// The table counts as lost once a call has been outstanding for this long and no other call was
/// answered in that time. A slow table answers reads in 0.4 s and transactions in 0.9 s.
const LOSS_TIMEOUT: Duration = Duration::from_millis(1_100);

/// A failed call means that the table is lost, unless it has answered another call within this time: a
/// single broken connection also makes calls fail.
const RECENT_ANSWER: Duration = Duration::from_millis(250);

/// A table that is lost again within this time was not back. Long polls from before an outage, which wait for up to 1 s,
/// may still be answered during it.
const LULL: Duration = Duration::from_millis(1_200);

/// The pause between two probes of a lost table.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Tracks the calls to the table, and whether the table is lost.
#[derive(Debug)]
pub(crate) struct TableHealth {
    clock: Clock,
    metrics: Metrics,
    /// The outstanding calls: the time by which each should be answered, and its number.
    outstanding: RefCell<BTreeSet<(Time, u64)>>,
    last_call: Cell<u64>,
    answered_at: Cell<Time>,
    is_lost: Cell<bool>,
    /// When the table last answered before it was lost.
    lost_since: Cell<Time>,
    /// When it last answered after it was lost.
    back_at: Cell<Option<Time>>,
    /// When it last answered after it was lost, until the work of that outage is served.
    recovering_since: Cell<Option<Time>>,
    /// The average duration of recent calls that the table has answered at once.
    answer_time: Cell<Option<Duration>>,
    /// Signals that a call has begun, or that `is_lost` has changed.
    changed: Notify,
    /// Signals that the table was lost.
    lost: Notify,
    /// Signals that the lost table has answered.
    back: Notify,
}

impl TableHealth {
    pub(crate) fn new(clock: Clock, metrics: Metrics) -> Self {
        Self {
            clock,
            metrics,
            outstanding: RefCell::default(),
            last_call: Cell::default(),
            answered_at: Cell::default(),
            is_lost: Cell::default(),
            lost_since: Cell::default(),
            back_at: Cell::default(),
            recovering_since: Cell::default(),
            answer_time: Cell::default(),
            changed: Notify::new(),
            lost: Notify::new(),
            back: Notify::new(),
        }
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Returns how long the table takes to answer, or `None` if it has not answered yet.
    pub(crate) fn answer_time(&self) -> Option<Duration> {
        self.answer_time.get()
    }

    /// Returns once the table is lost.
    pub(crate) async fn wait_until_lost(&self) {
        while !self.is_lost.get() {
            self.lost.notified().await;
        }
    }

    /// Returns how long the table has been lost, from its last answer; zero if it is not lost.
    pub(crate) fn outage(&self) -> Duration {
        if self.is_lost.get() {
            self.clock.time() - self.lost_since.get()
        } else {
            Duration::ZERO
        }
    }

    /// Returns once the table has answered after it was lost.
    pub(crate) async fn wait_until_back(&self) {
        self.back.notified().await;
    }

    /// Returns the time since the last outage ended, once, if no step is late any more. `late_steps` is the number of
    /// waiting steps that can no longer be in time.
    pub(crate) fn take_recovery(&self, late_steps: usize) -> Option<Duration> {
        if self.is_lost.get() || late_steps > 0 {
            return None;
        }
        let since = self.recovering_since.take()?;
        Some(self.clock.time() - since)
    }

    /// Registers a call that the table may hold open for `wait`.
    fn begin(&self, wait: Duration) -> (Time, u64) {
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let call = (self.clock.time() + wait + LOSS_TIMEOUT, number);
        self.outstanding.borrow_mut().insert(call);
        self.changed.notify_one();
        call
    }

    fn end(&self, call: (Time, u64), is_answered: bool) {
        self.outstanding.borrow_mut().remove(&call);
        let now = self.clock.time();
        if is_answered {
            self.answered_at.set(now);
            self.set_lost(false);
        } else if now > self.answered_at.get() + RECENT_ANSWER {
            self.set_lost(true);
        }
    }

    fn set_lost(&self, is_lost: bool) {
        if self.is_lost.replace(is_lost) == is_lost {
            return;
        }
        let now = self.clock.time();
        if is_lost {
            let is_same_outage = self.back_at.get().is_some_and(|at| now < at + LULL);
            if !is_same_outage {
                self.lost_since.set(self.answered_at.get());
            }
            let since = (now - self.answered_at.get()).as_millis();
            log::warn!("event=table_lost last_answer_ms={since}");
            self.lost.notify_waiters();
        } else {
            self.back_at.set(Some(now));
            self.recovering_since.set(Some(now));
            let outage = now - self.lost_since.get();
            log::warn!("event=table_back outage_ms={}", outage.as_millis());
            self.metrics.time("table_outage", outage);
            self.back.notify_one();
        }
        self.metrics.set("table_lost", u64::from(is_lost));
        self.changed.notify_one();
    }

    /// Declares the table lost when outstanding calls stay unanswered, and probes a lost table until it
    /// answers again. Never returns.
    pub(crate) async fn monitor(&self, table: &impl Table) {
        loop {
            if self.is_lost.get() {
                let read = table.read(LEASE, SCHEDULER_PART, LEASE_KEY, None);
                if let Ok(Ok(_)) = timeout(PROBE_TIMEOUT, read).await {
                    self.answered_at.set(self.clock.time());
                    self.set_lost(false);
                } else {
                    sleep(PROBE_INTERVAL).await;
                }
                continue;
            }
            let first = self.outstanding.borrow().first().copied();
            let Some((due, _)) = first else {
                self.changed.notified().await;
                continue;
            };
            let now = self.clock.time();
            let due = due.max(self.answered_at.get() + LOSS_TIMEOUT);
            if now >= due {
                self.set_lost(true);
                continue;
            }
            // The next iteration checks both cases: a call has begun, or the time has passed.
            let _ = timeout(due - now, self.changed.notified()).await;
        }
    }

    /// Runs a call that the table may hold open for `wait`, and records whether it was answered.
    async fn monitor_call<T, E>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, E>>,
        is_answer: impl Fn(&Result<T, E>) -> bool,
    ) -> Result<T, E> {
        let guard = CallGuard {
            health: self,
            call: self.begin(wait),
        };
        let began = self.clock.time();
        let result = call.await;
        let is_answered = is_answer(&result);
        if is_answered && wait.is_zero() {
            let taken = self.clock.time() - began;
            self.metrics.time("table_answer", taken);
            let average = average_answer(self.answer_time.get(), taken);
            self.answer_time.set(Some(average));
        }
        guard.end(is_answered);
        result
    }
}

/// Removes an outstanding call if its future is dropped.
struct CallGuard<'a> {
    health: &'a TableHealth,
    call: (Time, u64),
}

impl CallGuard<'_> {
    fn end(self, is_answered: bool) {
        self.health.end(self.call, is_answered);
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.health.outstanding.borrow_mut().remove(&self.call);
    }
}

/// The platform's ports, with each call to the table and the directory recorded in [`TableHealth`].
#[derive(Clone, Debug)]
pub(crate) struct MonitoredPorts<P> {
    ports: P,
    health: Rc<TableHealth>,
}

impl<P: Ports> MonitoredPorts<P> {
    pub(crate) const fn new(ports: P, health: Rc<TableHealth>) -> Self {
        Self { ports, health }
    }
}

/// Returns whether the table has answered a feed call.
fn is_feed_answer<T>(result: &Result<T, FeedError>) -> bool {
    !matches!(result, Err(FeedError::Call(_)))
}

impl<P: Ports> Table for MonitoredPorts<P> {
    async fn commit(&self, tx: &Transaction) -> Result<u64, CommitError> {
        let is_answer = |result: &Result<u64, CommitError>| {
            matches!(result, Ok(_) | Err(CommitError::Conflict { .. }))
        };
        let call = self.ports.commit(tx);
        self.health
            .monitor_call(Duration::ZERO, call, is_answer)
            .await
    }

    async fn read(
        &self,
        table: &'static str,
        part: &str,
        from: &str,
        to: Option<&str>,
    ) -> Result<Page, CallError> {
        let call = self.ports.read(table, part, from, to);
        self.health
            .monitor_call(Duration::ZERO, call, Result::is_ok)
            .await
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait: Duration,
    ) -> Result<FeedPage, FeedError> {
        let call = self.ports.feed(table, after, wait);
        self.health.monitor_call(wait, call, is_feed_answer).await
    }
}

impl<P: Ports> Directory for MonitoredPorts<P> {
    async fn workers(&self) -> Result<Versioned<Vec<WorkerInfo>>, CallError> {
        let call = self.ports.workers();
        self.health
            .monitor_call(Duration::ZERO, call, Result::is_ok)
            .await
    }

    async fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<WorkerChanges>, FeedError> {
        let call = self.ports.worker_changes(after, wait);
        self.health.monitor_call(wait, call, is_feed_answer).await
    }

    async fn routes(&self) -> Result<Versioned<Option<Routes>>, CallError> {
        let call = self.ports.routes();
        self.health
            .monitor_call(Duration::ZERO, call, Result::is_ok)
            .await
    }

    async fn route_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<Option<Routes>>, FeedError> {
        let call = self.ports.route_changes(after, wait);
        self.health.monitor_call(wait, call, is_feed_answer).await
    }
}

impl<P: Ports> Workers for MonitoredPorts<P> {
    async fn start(
        &self,
        to: &WorkerInfo,
        order: &StartOrder,
        time_limit: Duration,
        may_send: impl Fn() -> bool,
    ) -> StartOutcome {
        self.ports.start(to, order, time_limit, may_send).await
    }

    async fn stop(&self, to: &WorkerInfo, fence: u64, order: &StopOrder) -> Result<(), CallError> {
        self.ports.stop(to, fence, order).await
    }

    async fn poll(
        &self,
        to: &WorkerInfo,
        fence: u64,
        order: &PollOrder,
    ) -> Result<Listing, PollFailure> {
        self.ports.poll(to, fence, order).await
    }

    fn disconnect(&self) {
        self.ports.disconnect();
    }
}

impl<P: Ports> Approver for MonitoredPorts<P> {
    async fn ask(&self, step: StepKey, workers: &[Arc<str>]) -> Result<Approval, AskError> {
        self.ports.ask(step, workers).await
    }
}
