//! Stores the rows that clients' requests need, several at a time.
//!
//! Load pattern: a part of the table takes one transaction after the other. While one of this node is on
//! its way, further rows for that part wait and go together in the next one, so that a slow table is not
//! made slower by a burst.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    time::Duration,
};

use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::{Instant, timeout_at},
};

use crate::{
    Node, Ports, RowKey, Transaction,
    commit::{self, Outcome},
};

/// The most rows of one transaction. Each is two entries, and the platform takes 100.
const BATCH_ROWS: usize = 40;

/// The most bytes of one transaction. The platform takes 1 MB, encoded.
const BATCH_BYTES: usize = 500 << 10;

/// How long a transaction is tried. The clients' deadlines are 3 s.
const BATCH_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the outcome of a transaction is waited for once the table is lost.
const LAST_ANSWER: Duration = Duration::from_millis(150);

struct Pending {
    number: u64,
    key: RowKey,
    value: Vec<u8>,
    tx: oneshot::Sender<Outcome>,
}

#[derive(Default)]
struct Part {
    waiting: Vec<Pending>,
    is_busy: bool,
}

/// Rows that wait to be stored, by part.
#[derive(Default)]
pub(crate) struct Intake {
    parts: RefCell<HashMap<String, Part>>,
    last: Cell<u64>,
}

impl Intake {
    /// Takes a row back that was not sent yet. Returns whether it was still there.
    fn withdraw(&self, part: &str, number: u64) -> bool {
        let mut parts = self.parts.borrow_mut();
        let Some(part) = parts.get_mut(part) else {
            return false;
        };
        let before = part.waiting.len();
        part.waiting.retain(|pending| pending.number != number);
        part.waiting.len() < before
    }

    /// Takes the rows for the next transaction of a part. None if there are none; the part is idle then.
    fn take_batch(&self, name: &str) -> Option<Vec<Pending>> {
        let mut parts = self.parts.borrow_mut();
        let part = parts.get_mut(name)?;
        if part.waiting.is_empty() {
            part.is_busy = false;
            return None;
        }
        let mut bytes = 0;
        let mut keys = HashSet::new();
        let fits = |pending: &&Pending| {
            bytes += pending.value.len();
            // One transaction can't create a row twice.
            bytes <= BATCH_BYTES && keys.insert(pending.key.clone())
        };
        let count = part
            .waiting
            .iter()
            .take(BATCH_ROWS)
            .take_while(fits)
            .count();
        Some(part.waiting.drain(..count.max(1)).collect())
    }

    fn put_back(&self, name: &str, mut rows: Vec<Pending>) {
        if let Some(part) = self.parts.borrow_mut().get_mut(name) {
            rows.append(&mut part.waiting);
            part.waiting = rows;
        }
    }
}

impl<P: Ports> Node<P> {
    /// Stores a row that must not exist yet, with this node's own calls. Gives up once the table is lost.
    pub(crate) async fn store_here(
        &self,
        key: RowKey,
        value: Vec<u8>,
        deadline: Instant,
    ) -> Outcome {
        let intake = &self.0.intake;
        let number = intake.last.get() + 1;
        intake.last.set(number);
        let (tx, rx) = oneshot::channel();
        let name = key.part.clone();
        let is_idle = {
            let mut parts = intake.parts.borrow_mut();
            let part = parts.entry(name.clone()).or_default();
            part.waiting.push(Pending {
                number,
                key,
                value,
                tx,
            });
            !std::mem::replace(&mut part.is_busy, true)
        };
        if is_idle {
            spawn_local(self.clone().store_part(name.clone()));
        }
        tokio::pin!(rx);
        let reason = tokio::select! {
            outcome = timeout_at(deadline, &mut rx) => match outcome {
                Ok(Ok(outcome)) => return outcome,
                Ok(Err(_)) | Err(_) => "no answer by the deadline",
            },
            () = self.0.table.until_lost() => "the table is lost",
        };
        if intake.withdraw(&name, number) {
            return Outcome::NotStored(reason.to_owned());
        }
        // A call that was refused ends with the loss, and its outcome is certain.
        match timeout_at(deadline.min(Instant::now() + LAST_ANSWER), rx).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Outcome::Unknown(reason.to_owned()),
        }
    }

    /// Stores the rows of a part until none wait.
    async fn store_part(self, name: String) {
        while let Some(rows) = self.0.intake.take_batch(&name) {
            let tx = Transaction {
                expected: rows.iter().map(|row| (row.key.clone(), 0)).collect(),
                set: rows
                    .iter()
                    .map(|row| (row.key.clone(), row.value.clone()))
                    .collect(),
                delete: Vec::new(),
            };
            let deadline = Instant::now() + BATCH_TIMEOUT;
            let is_lost = || self.0.table.is_lost();
            let outcome = commit::settle_unless(&self.0.ports, &tx, deadline, is_lost).await;
            let Outcome::Conflict { current } = outcome else {
                for row in rows {
                    // A requester that has given up has told its client so.
                    let _ = row.tx.send(outcome.clone());
                }
                continue;
            };
            let existing: HashSet<&str> = current
                .iter()
                .filter(|row| row.version > 0 && row.value.is_some())
                .map(|row| row.key.as_str())
                .collect();
            let (stored, others): (Vec<Pending>, Vec<Pending>) = rows
                .into_iter()
                .partition(|row| existing.contains(row.key.key.as_str()));
            let is_stuck = stored.is_empty();
            for row in stored {
                let conflict = Outcome::Conflict {
                    current: Vec::new(),
                };
                let _ = row.tx.send(conflict);
            }
            if is_stuck {
                log::error!(
                    "event=conflict_unexplained part={name} rows={}",
                    others.len()
                );
                for row in others {
                    let reason = "a conflict that names no row".to_owned();
                    let _ = row.tx.send(Outcome::Unknown(reason));
                }
            } else {
                self.0.intake.put_back(&name, others);
            }
        }
    }
}
