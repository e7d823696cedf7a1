//! Printing of results on standard output.

use node::api::{OperatorResp, RecallView, UnitStatus};
use serde::Serialize;

use crate::exit::{Exit, failed};

/// Prints a value as JSON.
pub(crate) fn json(value: &impl Serialize) -> Exit {
    match serde_json::to_string_pretty(value) {
        Ok(text) => {
            println!("{text}");
            Exit::Done
        }
        Err(e) => failed(e, Exit::Failed),
    }
}

/// Prints the units of work, one line each.
pub(crate) fn units(units: &[UnitStatus]) -> Exit {
    for unit in units {
        println!("{}", cli::unit_line(unit));
    }
    if units.is_empty() {
        println!("no units of work");
    }
    Exit::Done
}

/// Prints the recalls in force, one line each.
pub(crate) fn recalls(recalls: &[RecallView]) -> Exit {
    for recall in recalls {
        let target = recall.target.to_string();
        println!(
            "{target:<32} recalled by {} with version {}",
            recall.author, recall.version
        );
    }
    if recalls.is_empty() {
        println!("nothing is recalled");
    }
    Exit::Done
}

/// Reports an answer whose kind does not match the call.
pub(crate) fn unexpected(resp: &OperatorResp) -> Exit {
    log::debug!("lacewing: {resp:?}");
    failed(
        "the node's answer is not understood; is it of another release?",
        Exit::Uncertain,
    )
}
