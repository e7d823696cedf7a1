//! Retries transactions until their outcome is known.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::{CommitError, Row, Table, Transaction};

/// The pause before a transaction is sent again. It doubles up to [`MAX_RETRY_DELAY`].
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// The longest pause before a transaction is sent again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The transaction is stored, with this version.
    Stored(u64),
    /// The rows of the condition are as in `current` and do not match it. If an earlier attempt was not
    /// answered, this transaction itself may have written them.
    Conflict { current: Vec<Row> },
    /// The transaction was not stored and never will be.
    NotStored(String),
    /// The transaction may be stored, now or later.
    Unknown(String),
}

/// Sends a transaction until its outcome is known, or until `deadline`.
///
/// The condition must include a row that the transaction itself changes. Sending it again is then safe,
/// because the condition no longer holds once the transaction is stored.
pub(crate) async fn with_retry(table: &impl Table, tx: &Transaction, deadline: Instant) -> Outcome {
    with_retry_unless(table, tx, deadline, || false).await
}

/// Like [`with_retry`], but also stops after a failed attempt if `should_give_up` returns true.
pub(crate) async fn with_retry_unless(
    table: &impl Table,
    tx: &Transaction,
    deadline: Instant,
    should_give_up: impl Fn() -> bool,
) -> Outcome {
    let mut may_be_stored = false;
    let mut pause = RETRY_DELAY;
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
        if should_give_up() || Instant::now() + pause >= deadline {
            return if may_be_stored {
                Outcome::Unknown(reason)
            } else {
                Outcome::NotStored(reason)
            };
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_DELAY);
    }
}
