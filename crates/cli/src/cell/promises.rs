//! The brief's promises, judged from outside: from what workers and callers saw, never from the
//! scheduler's own books.

use std::collections::BTreeMap;

use fakes::{FakePlatform, Run};
use model::{TaskId, Time};

/// The promises that did not hold, a line each.
pub(crate) fn broken(platform: &FakePlatform) -> Vec<String> {
    let mut lines = Vec::new();
    for worker in platform.workers() {
        if !worker.peak().fits(&worker.size()) {
            let (id, peak) = (worker.id(), worker.peak());
            lines.push(format!("{id} was given more than it holds: {peak}"));
        }
    }
    let mut runs: BTreeMap<&TaskId, Vec<&Run>> = BTreeMap::new();
    for run in platform.workers().flat_map(fakes::FakeWorker::runs) {
        runs.entry(&run.task).or_default().push(run);
    }
    for (task, mut runs) in runs {
        runs.sort_by_key(|run| run.began);
        for pair in runs.windows(2) {
            if pair[0].ended.unwrap_or(Time::MAX) > pair[1].began {
                let (a, b) = (pair[0].worker, pair[1].worker);
                lines.push(format!("{task} ran on {a} and {b} at the same time"));
            }
        }
    }
    lines
}
