//! `try_files` on the example files: a snapshot of the report, and reproducible runs.

use std::path::Path;

use cli::{TryOptions, collect, try_files};
use fakes::FaultLevel;

fn examples() -> Vec<node::api::FileText> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    collect(&dir).expect("the examples can be read")
}

#[test]
fn submit_to_finish() {
    let report = try_files(&examples(), TryOptions::default());
    assert!(report.is_ok(), "{report}");
    insta::assert_snapshot!(report.to_string());
}

/// Guards against state outside of the seed, such as the order of a hash map, that influences a run.
#[test]
fn a_run_with_many_faults_is_reproducible() {
    let options = TryOptions {
        seed: 7,
        faults: FaultLevel::Many,
        ..TryOptions::default()
    };
    let first = try_files(&examples(), options);
    let second = try_files(&examples(), options);
    assert_eq!(first, second);
}
