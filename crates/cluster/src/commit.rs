//! Transactions whose outcome has to be known.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{CommitError, Row, Table, Transaction};

/// The pause before a transaction is sent again. It doubles up to [`RETRY_MAX`].
const RETRY: Duration = Duration::from_millis(40);
/// The longest pause before a transaction is sent again.
const RETRY_MAX: Duration = Duration::from_millis(300);

/// What has become of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It is stored, under this version.
    Stored(u64),
    /// A row of its condition is as in `current`. If an earlier try went unanswered, that may be this
    /// transaction's own work.
    Conflict { current: Vec<Row> },
    /// It was not stored and never will be.
    NotStored(String),
    /// It was not known by the deadline whether it was stored, or will be.
    Unknown(String),
}

/// Sends a transaction until its outcome is known, or until `deadline`.
///
/// Sending it again is safe: its condition holds no more once it was stored. The condition has to have a
/// row that the transaction itself changes.
pub(crate) async fn settle(table: &impl Table, tx: &Transaction, deadline: Instant) -> Outcome {
    settle_unless(table, tx, deadline, || false).await
}

/// The same, but gives up after a failed try if `is_hopeless`.
pub(crate) async fn settle_unless(
    table: &impl Table,
    tx: &Transaction,
    deadline: Instant,
    is_hopeless: impl Fn() -> bool,
) -> Outcome {
    let mut may_be_stored = false;
    let mut pause = RETRY;
    loop {
        let reason = match tokio::time::timeout_at(deadline, table.commit(tx)).await {
            Ok(Ok(version)) => return Outcome::Stored(version),
            Ok(Err(CommitError::Conflict { current })) => return Outcome::Conflict { current },
            Ok(Err(CommitError::NotStored(reason))) => reason,
            Ok(Err(CommitError::Unknown(reason))) => {
                may_be_stored = true;
                reason
            }
            Err(_) => {
                may_be_stored = true;
                "no answer by the deadline".to_owned()
            }
        };
        if is_hopeless() || Instant::now() + pause >= deadline {
            return if may_be_stored {
                Outcome::Unknown(reason)
            } else {
                Outcome::NotStored(reason)
            };
        }
        sleep(pause).await;
        pause = (pause * 2).min(RETRY_MAX);
    }
}
