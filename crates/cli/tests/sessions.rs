//! Golden files of whole sessions on the embedded cell.

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

#[test]
fn one_seed_gives_the_same_bytes() {
    let options = TryOptions {
        seed: 7,
        faults: FaultLevel::Many,
        ..TryOptions::default()
    };
    let first = try_files(&examples(), options);
    let second = try_files(&examples(), options);
    assert_eq!(first, second);
}
