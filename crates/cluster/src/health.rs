//! Whether this node reaches the table.
//!
//! Load pattern: the table may be slow, with answers that take most of a second, or it may turn this node
//! away, fall silent, or be gone. A slow table still serves, and calls that are given up and sent again
//! make it slower. So a call is waited for as long as others are answered; once nothing has been answered
//! for a while, the table counts as lost, and what can be done otherwise is done at once.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jobs::StepKey;
use model::Time;
use sched::{Listing, PollFailure, PollOrder, StartAnswer, StartOrder, StopOrder, WorkerInfo};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use crate::{
    Approval, Approver, AskError, CallError, Clock, CommitError, Directory, FeedError, FeedPage,
    Metrics, Page, Ports, Routes, Table, Transaction, Versioned, WorkerChanges, Workers,
    rows::{LEASE, LEASE_KEY, SCHEDULER_PART},
};

/// With a call outstanding for so long, and no answer to any other, the table is lost. A slow table
/// answers reads in 0.4 s and transactions in 0.9 s.
const SILENCE: Duration = Duration::from_millis(1_100);

/// A call that fails at once means that the table is lost, unless it has answered another one within this
/// time: single connections break too.
const RECENT_ANSWER: Duration = Duration::from_millis(250);

/// How often a node looks whether the table can be reached again.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// How long such a look may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);

/// Watches the calls to the table.
#[derive(Debug)]
pub(crate) struct TableHealth {
    clock: Clock,
    metrics: Metrics,
    /// By when each outstanding call should be answered.
    outstanding: RefCell<BTreeSet<(Time, u64)>>,
    last_call: Cell<u64>,
    answered_at: Cell<Time>,
    is_lost: Cell<bool>,
    /// A call has begun, or the table was lost.
    changed: Notify,
    lost: Notify,
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
            changed: Notify::new(),
            lost: Notify::new(),
        }
    }

    pub(crate) fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Returns once the table is lost.
    pub(crate) async fn until_lost(&self) {
        while !self.is_lost.get() {
            self.lost.notified().await;
        }
    }

    fn begin(&self, wait: Duration) -> (Time, u64) {
        let number = self.last_call.get() + 1;
        self.last_call.set(number);
        let call = (self.clock.time() + wait + SILENCE, number);
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
        let since = (self.clock.time() - self.answered_at.get()).as_millis();
        if is_lost {
            log::warn!("event=table_lost last_answer_ms={since}");
            self.lost.notify_waiters();
        } else {
            log::warn!("event=table_back");
        }
        self.metrics.set("table_lost", u64::from(is_lost));
        self.changed.notify_one();
    }

    /// Watches outstanding calls, and looks whether a lost table is back. Never returns.
    pub(crate) async fn watch(&self, table: &impl Table) {
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
            let due = due.max(self.answered_at.get() + SILENCE);
            if now >= due {
                self.set_lost(true);
                continue;
            }
            // Whether a call has begun or the time has passed, the next round tells.
            let _ = timeout(due - now, self.changed.notified()).await;
        }
    }

    /// Watches a call that may take `wait` for what it waits for.
    async fn watched<T, E>(
        &self,
        wait: Duration,
        call: impl Future<Output = Result<T, E>>,
        is_answer: impl Fn(&Result<T, E>) -> bool,
    ) -> Result<T, E> {
        let guard = Guard {
            health: self,
            call: self.begin(wait),
        };
        let result = call.await;
        guard.end(is_answer(&result));
        result
    }
}

/// Takes an outstanding call off when it is given up.
struct Guard<'a> {
    health: &'a TableHealth,
    call: (Time, u64),
}

impl Guard<'_> {
    fn end(self, is_answered: bool) {
        self.health.end(self.call, is_answered);
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.health.outstanding.borrow_mut().remove(&self.call);
    }
}

/// The ports, with each call to the table watched.
#[derive(Clone, Debug)]
pub(crate) struct Watched<P> {
    ports: P,
    health: Rc<TableHealth>,
}

impl<P: Ports> Watched<P> {
    pub(crate) const fn new(ports: P, health: Rc<TableHealth>) -> Self {
        Self { ports, health }
    }
}

fn is_fed<T>(result: &Result<T, FeedError>) -> bool {
    !matches!(result, Err(FeedError::Call(_)))
}

impl<P: Ports> Table for Watched<P> {
    async fn commit(&self, tx: &Transaction) -> Result<u64, CommitError> {
        let is_answer = |result: &Result<u64, CommitError>| {
            matches!(result, Ok(_) | Err(CommitError::Conflict { .. }))
        };
        let call = self.ports.commit(tx);
        self.health.watched(Duration::ZERO, call, is_answer).await
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
            .watched(Duration::ZERO, call, Result::is_ok)
            .await
    }

    async fn feed(
        &self,
        table: &'static str,
        after: u64,
        wait: Duration,
    ) -> Result<FeedPage, FeedError> {
        let call = self.ports.feed(table, after, wait);
        self.health.watched(wait, call, is_fed).await
    }
}

impl<P: Ports> Directory for Watched<P> {
    async fn workers(&self) -> Result<Versioned<Vec<WorkerInfo>>, CallError> {
        let call = self.ports.workers();
        self.health
            .watched(Duration::ZERO, call, Result::is_ok)
            .await
    }

    async fn worker_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<WorkerChanges>, FeedError> {
        let call = self.ports.worker_changes(after, wait);
        self.health.watched(wait, call, is_fed).await
    }

    async fn routes(&self) -> Result<Versioned<Option<Routes>>, CallError> {
        let call = self.ports.routes();
        self.health
            .watched(Duration::ZERO, call, Result::is_ok)
            .await
    }

    async fn route_changes(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<Option<Routes>>, FeedError> {
        let call = self.ports.route_changes(after, wait);
        self.health.watched(wait, call, is_fed).await
    }
}

impl<P: Ports> Workers for Watched<P> {
    async fn start(&self, to: &WorkerInfo, fence: u64, order: &StartOrder) -> StartAnswer {
        self.ports.start(to, fence, order).await
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
}

impl<P: Ports> Approver for Watched<P> {
    async fn ask(&self, step: StepKey, workers: &[Arc<str>]) -> Result<Approval, AskError> {
        self.ports.ask(step, workers).await
    }
}
