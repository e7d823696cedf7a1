//! Runs one case of the review: `review-standin CASE ROOT CASE_FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod cases;
mod http;
mod node;
mod record;
mod store;
mod worker;
mod world;

use std::{
    path::PathBuf,
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(time.unwrap_or_default().as_millis()).unwrap_or(0)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, dir] = args.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT CASE_FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let (root, dir) = (PathBuf::from(root), PathBuf::from(dir));
    let local = tokio::task::LocalSet::new();
    let running = async {
        use tokio::signal::unix::{SignalKind, signal};
        let (Ok(mut term), Ok(mut int)) = (
            signal(SignalKind::terminate()),
            signal(SignalKind::interrupt()),
        ) else {
            return 2;
        };
        tokio::select! {
            code = cases::run(case, &root, &dir, has_trouble) => code,
            _ = term.recv() => 2,
            _ = int.recv() => 2,
        }
    };
    let code = local.block_on(&runtime, running);
    // Dropping the tasks ends the processes that they hold.
    drop(local);
    ExitCode::from(code)
}
