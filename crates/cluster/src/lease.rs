//! The lease row, and what the scheduler stores with it.

use std::time::Duration;

use jobs::CodecError;
use sched::{Batch, LeaseRow};
use tokio::time::Instant;

use crate::{
    Node, Ports, Row, Transaction,
    commit::{self, Outcome},
    rows::{LEASE_KEY, lease_key, progress_key},
};

/// After this time without an outcome a transaction is logged as stuck. It is sent again.
const STUCK: Duration = Duration::from_secs(2);

/// Reads a lease row.
pub(crate) fn decode_lease(row: &Row) -> Result<LeaseRow, CodecError> {
    jobs::decode(row.value.as_deref().unwrap_or_default())
}

/// Writes the lease row, and with it what the scheduler has to store.
#[derive(Debug)]
pub(crate) struct LeaseWriter {
    row: LeaseRow,
    version: u64,
}

impl LeaseWriter {
    pub(crate) const fn new(row: LeaseRow, version: u64) -> Self {
        Self { row, version }
    }

    pub(crate) const fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// Stores a batch, however long it takes. Returns false if another node has taken over.
    pub(crate) async fn commit<P: Ports>(&mut self, node: &Node<P>, batch: &Batch) -> bool {
        let next = LeaseRow {
            seq: self.row.seq + 1,
            ..self.row.clone()
        };
        self.write(node, next, batch).await
    }

    /// Hands over: any node may take over at once.
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
            let outcome = commit::settle(&node.0.ports, &tx, Instant::now() + STUCK).await;
            let version = match outcome {
                Outcome::Stored(version) => version,
                Outcome::Conflict { current } => {
                    let row = current.iter().find(|row| row.key == LEASE_KEY);
                    let seen = row.and_then(|row| Some((decode_lease(row).ok()?, row.version)));
                    match seen {
                        // An earlier try was stored, and its answer was lost.
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
