//! The lease row, and the transactions of the scheduler, each of which renews it.

use std::time::Duration;

use jobs::CodecError;
use sched::{Batch, LeaseRow, PastLeases};
use tokio::time::Instant;

use crate::{
    Node, Ports, Row, Transaction,
    commit::{self, Outcome},
    rows::{LEASE_KEY, lease_key, progress_key},
};

/// A transaction whose outcome is still unknown after this time is logged as stuck and sent again.
const STUCK_AFTER: Duration = Duration::from_secs(2);

/// Decodes a lease row.
pub(crate) fn decode_lease(row: &Row) -> Result<LeaseRow, CodecError> {
    jobs::decode(row.value.as_deref().unwrap_or_default())
}

/// Writes the scheduler's batches. Each transaction renews the lease row, and fails if another node has
/// replaced it.
#[derive(Debug)]
pub(crate) struct LeaseWriter {
    row: LeaseRow,
    version: u64,
    /// What was known of task leases at the takeover.
    past: PastLeases,
}

impl LeaseWriter {
    pub(crate) const fn new(row: LeaseRow, version: u64, past: PastLeases) -> Self {
        Self { row, version, past }
    }

    pub(crate) const fn row(&self) -> &LeaseRow {
        &self.row
    }

    pub(crate) const fn past_leases(&self) -> &PastLeases {
        &self.past
    }

    pub(crate) const fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Stores a batch. Retries without a time limit. Returns false if another node has taken over.
    pub(crate) async fn commit<P: Ports>(&mut self, node: &Node<P>, batch: &Batch) -> bool {
        let past = || self.past.to_row(node.0.clock.time());
        let next = LeaseRow {
            seq: self.row.seq + 1,
            leases: Some(batch.leases.clone().unwrap_or_else(past)),
            ..self.row.clone()
        };
        self.write(node, next, batch).await
    }

    /// Clears the holder of the lease row, so that any node may take over at once.
    pub(crate) async fn release<P: Ports>(&mut self, node: &Node<P>) {
        let next = LeaseRow {
            holder: String::new(),
            seq: self.row.seq + 1,
            ..self.row.clone()
        };
        let is_released = self.write(node, next, &Batch::default()).await;
        log::info!(
            "event=handed_over epoch={} stored={is_released}",
            self.row.epoch
        );
    }

    async fn write<P: Ports>(&mut self, node: &Node<P>, next: LeaseRow, batch: &Batch) -> bool {
        let rows = batch.rows.iter();
        let mut set: Vec<_> = rows
            .map(|(id, row)| (progress_key(*id), row.clone()))
            .collect();
        set.push((lease_key(), jobs::encode(&next)));
        let tx = Transaction {
            expected: vec![(lease_key(), self.version)],
            set,
            delete: batch.forgotten.iter().map(|id| progress_key(*id)).collect(),
        };
        loop {
            let sent_at = node.0.clock.time();
            let outcome =
                commit::with_retry(&node.0.ports, &tx, Instant::now() + STUCK_AFTER).await;
            let version = match outcome {
                Outcome::Stored(version) => version,
                Outcome::Conflict { current } => {
                    let row = current.iter().find(|row| row.key == LEASE_KEY);
                    let seen = row.and_then(|row| Some((decode_lease(row).ok()?, row.version)));
                    match seen {
                        // An earlier attempt was stored, but its answer was lost.
                        Some((seen, version)) if seen == next => version,
                        seen => {
                            log::warn!(
                                "event=deposed epoch={} by={}",
                                self.row.epoch,
                                seen.map_or_else(|| "-".to_owned(), |(row, _)| row.holder)
                            );
                            return false;
                        }
                    }
                }
                Outcome::NotStored(reason) | Outcome::Unknown(reason) => {
                    log::warn!(
                        "event=batch_stuck epoch={} reason={reason:?}",
                        self.row.epoch
                    );
                    node.0.metrics.count("batches_stuck");
                    continue;
                }
            };
            node.0
                .metrics
                .time("transaction", node.0.clock.time() - sent_at);
            log::debug!(
                "event=stored epoch={} seq={} rows={} ms={}",
                next.epoch,
                next.seq,
                batch.rows.len(),
                (node.0.clock.time() - sent_at).as_millis()
            );
            self.row = next;
            self.version = version;
            return true;
        }
    }
}
