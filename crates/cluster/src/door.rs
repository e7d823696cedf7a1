//! Jobs that wait at a node while the table is away.
//!
//! A client that is refused comes back seconds later, which is too late for most jobs. Outages often end earlier. So a
//! job that was certainly not stored waits at the node while it can still be served, and is stored as soon as the table
//! is back. The place is bounded; the most urgent jobs have it.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use jobs::{Job, JobId, Queue};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

use crate::{
    Node, Ports,
    intake::{NewRow, StoreOutcome},
};

/// Settings of a [`Door`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct DoorConfig {
    /// The most jobs that wait.
    pub(crate) max_jobs: usize,
    /// The most bytes of the rows of all jobs that wait.
    pub(crate) max_bytes: usize,
    /// A job waits for at most its latency objective divided by this. The rest is left for its work.
    pub(crate) objective_divisor: u32,
    /// The time before the client's deadline that is left to store the job and to answer.
    pub(crate) store_margin: Duration,
}

impl Default for DoorConfig {
    fn default() -> Self {
        Self {
            max_jobs: 256,
            max_bytes: 4 << 20,
            objective_divisor: 4,
            store_margin: Duration::from_millis(300),
        }
    }
}

/// Why a job no longer waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Leave {
    /// The table may be back.
    TableBack,
    /// More urgent jobs need the place.
    Displaced,
}

/// The order in which waiting jobs are stored: by rank, then by the end of their time, then by arrival.
type Place = (u32, Instant, u64);

#[derive(Debug)]
struct Waiter {
    bytes: usize,
    tx: oneshot::Sender<Leave>,
}

/// The jobs that wait at a node, most urgent first.
#[derive(Debug, Default)]
pub(crate) struct Door {
    cfg: DoorConfig,
    waiting: BTreeMap<Place, Waiter>,
    bytes: usize,
    last_number: u64,
}

impl Door {
    /// Adds a job, and removes less urgent ones if there is no room for all. Returns `None` if there is no room for this
    /// one.
    fn enter(
        &mut self,
        rank: u32,
        until: Instant,
        bytes: usize,
    ) -> Option<(Place, oneshot::Receiver<Leave>)> {
        self.last_number += 1;
        let place = (rank, until, self.last_number);
        let (tx, rx) = oneshot::channel();
        self.waiting.insert(place, Waiter { bytes, tx });
        self.bytes += bytes;
        while self.waiting.len() > self.cfg.max_jobs || self.bytes > self.cfg.max_bytes {
            let Some((last, waiter)) = self.waiting.pop_last() else {
                break;
            };
            self.bytes -= waiter.bytes;
            if last == place {
                return None;
            }
            // A job that no longer waits has removed itself, or is about to.
            let _ = waiter.tx.send(Leave::Displaced);
        }
        Some((place, rx))
    }

    fn leave(&mut self, place: &Place) {
        if let Some(waiter) = self.waiting.remove(place) {
            self.bytes -= waiter.bytes;
        }
    }

    /// Lets all jobs leave, most urgent first.
    fn open(&mut self) {
        self.bytes = 0;
        for (_, waiter) in std::mem::take(&mut self.waiting) {
            let _ = waiter.tx.send(Leave::TableBack);
        }
    }

    fn len(&self) -> usize {
        self.waiting.len()
    }
}

/// Removes a job from the door if its future is dropped, for example because its client has gone.
struct PlaceGuard<'a> {
    door: &'a RefCell<Door>,
    place: Place,
}

impl Drop for PlaceGuard<'_> {
    fn drop(&mut self) {
        self.door.borrow_mut().leave(&self.place);
    }
}

impl<P: Ports> Node<P> {
    /// Stores the row of a job. While the table is away, waits for it as long as the job can still be served.
    pub(crate) async fn store_or_wait(
        &self,
        queue: &Queue,
        id: JobId,
        job: &Job,
        row: &NewRow,
        deadline: Instant,
    ) -> StoreOutcome {
        let arrived_at = Instant::now();
        let cfg = self.0.door.borrow().cfg;
        let objective = queue.objective(job.estimated_time());
        let patience = objective / cfg.objective_divisor;
        let last = deadline.checked_sub(cfg.store_margin).unwrap_or(arrived_at);
        let until = last.min(arrived_at + patience);
        loop {
            let outcome = self.store_job(id, row, deadline).await;
            if !matches!(outcome, StoreOutcome::NotStored(_)) || !self.0.table.is_lost() {
                return outcome;
            }
            if !self
                .wait_at_door(queue.rank, until, row.value().len())
                .await
            {
                return outcome;
            }
        }
    }

    /// Waits until the table may be back. Returns false if the job should be refused: it would be late, or there is no
    /// room for it.
    async fn wait_at_door(&self, rank: u32, until: Instant, bytes: usize) -> bool {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || !self.0.settings.policy.holds_jobs {
            return false;
        }
        let entered = self.0.door.borrow_mut().enter(rank, until, bytes);
        let Some((place, rx)) = entered else {
            self.0.metrics.count("door_full");
            return false;
        };
        self.0.metrics.count("door_entered");
        self.report_door();
        let guard = PlaceGuard {
            door: &self.0.door,
            place,
        };
        let left = timeout_at(until, rx).await;
        drop(guard);
        self.report_door();
        let is_back = matches!(left, Ok(Ok(Leave::TableBack)));
        self.0.metrics.count(if is_back {
            "door_released"
        } else {
            "door_refused"
        });
        is_back
    }

    fn report_door(&self) {
        let waiting = self.0.door.borrow().len();
        let waiting = u64::try_from(waiting).unwrap_or(u64::MAX);
        self.0.metrics.set("door_waiting", waiting);
    }

    /// Lets the waiting jobs try again. Called when the table is back, or when the scheduler reaches it.
    pub(crate) fn open_door(&self) {
        if self.0.door.borrow().len() > 0 {
            self.0.door.borrow_mut().open();
        }
    }

    /// Opens the door each time the table is back. Never returns.
    pub(crate) async fn watch_door(self) {
        loop {
            self.0.table.wait_until_back().await;
            self.open_door();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn small_door() -> Door {
        Door {
            cfg: DoorConfig {
                max_jobs: 2,
                max_bytes: 100,
                ..DoorConfig::default()
            },
            ..Door::default()
        }
    }

    /// Guards against urgent jobs that are refused while less urgent ones wait, and against a door without bounds.
    #[test]
    fn the_most_urgent_jobs_have_the_place() {
        let mut door = small_door();
        let until = Instant::now();
        let (_, mut batch) = door.enter(2, until, 10).unwrap();
        let (_, mut standard) = door.enter(1, until, 10).unwrap();
        let (_, mut urgent) = door.enter(0, until, 10).unwrap();
        assert_eq!(batch.try_recv(), Ok(Leave::Displaced));
        assert!(door.enter(2, until, 10).is_none(), "no room");
        assert!(standard.try_recv().is_err());
        let (_, _big) = door.enter(0, until, 85).unwrap();
        assert_eq!(standard.try_recv(), Ok(Leave::Displaced), "too many bytes");
        door.open();
        assert_eq!(urgent.try_recv(), Ok(Leave::TableBack));
        assert_eq!((door.len(), door.bytes), (0, 0));
    }

    /// Guards against places that stay taken by jobs whose clients have gone.
    #[test]
    fn a_job_that_leaves_frees_its_place() {
        let door = RefCell::new(small_door());
        let (place, _rx) = door.borrow_mut().enter(0, Instant::now(), 90).unwrap();
        drop(PlaceGuard { door: &door, place });
        assert_eq!((door.borrow().len(), door.borrow().bytes), (0, 0));
    }
}
