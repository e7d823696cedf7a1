//! Announces jobs to the scheduler while they are being stored.
//!
//! The scheduler can then decide and store the starts of a job at the same time as the node stores the job's row. Without
//! an announcement it learns of the job through the feed of the table, one answer after the row is stored.

use std::time::Duration;

use jobs::{Job, JobId};
use model::stable_hash;
use sched::Settlement;
use tokio::time::{Instant, timeout};

use crate::{
    Node, Ports,
    intake::{NewRow, StoreOutcome},
    lead::Leader,
    message::Message,
};

/// A job is announced once storing its row has taken this long. The table answers a transaction within 10 ms unless it
/// is slow, and the scheduler then learns of the job through the feed almost as soon.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(25);

/// The protocol level from which nodes know announcements.
pub(crate) const ANNOUNCE_LEVEL: u32 = 1;

impl<P: Ports> Node<P> {
    /// Stores the row of a job, and announces the job to the scheduler if this takes long.
    pub(crate) async fn store_job(
        &self,
        id: JobId,
        row: &NewRow,
        deadline: Instant,
    ) -> StoreOutcome {
        let storing = self.store(row.clone(), deadline);
        tokio::pin!(storing);
        if let Ok(outcome) = timeout(ANNOUNCE_DELAY, &mut storing).await {
            return outcome;
        }
        let is_announced = self.announce(id, row.value());
        let outcome = storing.await;
        if is_announced {
            self.settle(id, row.value(), &outcome);
        }
        outcome
    }

    /// Announces a job to the scheduler. Returns whether the announcement was sent.
    fn announce(&self, id: JobId, row: &[u8]) -> bool {
        let is_leader = self.0.leader.borrow().is_some();
        let is_known_upstream =
            self.0.upstream.borrow().is_some() && self.0.upstream_level.get() >= ANNOUNCE_LEVEL;
        let may_send = self.0.settings.policy.announces && (is_leader || is_known_upstream);
        if may_send && !self.0.table.is_lost() {
            self.0.metrics.count("jobs_announced");
            self.send_to_scheduler(Message::JobAnnounced(id, row.to_vec()));
            return true;
        }
        false
    }

    /// Tells the scheduler the outcome of storing an announced job, if it is certain. A row that existed before may have
    /// another content, which only the feed tells.
    pub(crate) fn settle(&self, id: JobId, row: &[u8], outcome: &StoreOutcome) {
        let is_stored = match outcome {
            StoreOutcome::Stored(_) => true,
            StoreOutcome::NotStored(_) | StoreOutcome::Excluded | StoreOutcome::Outdated(_) => {
                false
            }
            StoreOutcome::Exists | StoreOutcome::Unknown(_) => return,
        };
        let is_leader = self.0.leader.borrow().is_some();
        if is_leader || self.0.upstream_level.get() >= ANNOUNCE_LEVEL {
            self.send_to_scheduler(Message::JobSettled {
                job: id,
                digest: stable_hash(row.iter().copied()),
                is_stored,
            });
        }
    }
}

impl<P: Ports> Leader<P> {
    /// Handles the announcement of a job that another node, or this one, is storing.
    pub(crate) fn job_announced(&self, id: JobId, row: &[u8]) {
        // A successor of an earlier build would not expect that an order for an announced job may still arrive.
        if self.has_peers_below(ANNOUNCE_LEVEL) {
            return;
        }
        match jobs::decode::<Job>(row) {
            Ok(job) => {
                let digest = stable_hash(row.iter().copied());
                log::debug!("event=announced job={id}");
                // Its state may be published before the feed tells the job's team.
                self.record_owner(id, &job);
                self.broadcast_new_owners();
                self.with_scheduler(|scheduler, now| {
                    scheduler.job_announced(now, id, job, digest);
                });
            }
            Err(e) => log::warn!("event=bad_announcement job={id} error={:?}", e.to_string()),
        }
    }

    /// Handles the outcome of storing an announced job.
    pub(crate) fn job_settled(&self, id: JobId, digest: u64, is_stored: bool) {
        let settlement = if is_stored {
            Settlement::Stored
        } else {
            Settlement::NotStored
        };
        log::debug!("event=settled job={id} outcome={settlement:?}");
        self.with_scheduler(|scheduler, now| {
            scheduler.job_settled(now, id, digest, settlement);
        });
    }

    /// Updates the metrics of announcements, of the trips to the table, and of the age of its last answer.
    pub(crate) fn report_table(&self) {
        let counts = self.scheduler.borrow().announcement_counts();
        let size = |n: usize| u64::try_from(n).unwrap_or(u64::MAX);
        let metrics = self.metrics();
        let age = self.now().time - self.scheduler.borrow().confirmed_at();
        metrics.set(
            "table_age_ms",
            u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        );
        let trips = self.scheduler.borrow().trips();
        for (name, count) in [("start", trips.starts), ("end", trips.ends)] {
            metrics.set(&format!("{name}_trip_events"), count.events);
            metrics.set(&format!("{name}_trips"), count.trips);
            metrics.set(&format!("{name}_trips_most"), count.most);
        }
        metrics.set("announcements_open", size(counts.open));
        metrics.set("announcements_confirmed", counts.confirmed);
        metrics.set("announcements_withdrawn", counts.withdrawn);
        metrics.set("orphaned_progress", size(counts.orphans));
    }
}
