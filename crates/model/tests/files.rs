//! Tests of the parser for operator files: reported errors and limits.

use std::fmt::Write;

use model::{Catalog, FileErrors, Kind, SourceFile};
use quickcheck::{Arbitrary, Gen};

/// The seed of the generated texts.
const SEED: u64 = 7;

fn parse(text: &str) -> Result<Catalog, FileErrors> {
    let path = "lacewing.toml";
    Catalog::parse(&[SourceFile { path, text }])
}

fn unit(kind: &str, name: &str, team: &str) -> String {
    format!(
        "[[{kind}]]\nname = \"{name}\"\nteam = \"{team}\"\ncommand = [\"run\"]\n\
         size = {{ processors = 1, memory_mb = 1 }}\nclass = \"bulk\"\ntasks = 1\n\
         repeat = \"safe\"\nrun_time_s = 1\n"
    )
}

const TEAM: &str = "[team]\nname = \"t\"\nquota = { processors = 10, memory_mb = 100 }\n";

/// Guards against errors that are missing, or reported with the wrong line or key. `faults.txt` has one
/// faulty file per kind of error.
#[test]
fn every_error_is_reported_with_line_and_key() {
    let mut report = String::new();
    for case in include_str!("../testdata/faults.txt").split("=== ").skip(1) {
        let (title, text) = case.split_once('\n').expect("a title and a text");
        let e = parse(text).expect_err(title);
        write!(report, "{title}\n{e}\n\n").expect("writing to a string does not fail");
    }
    insta::assert_snapshot!(report);
}

/// Guards against a parser that stops at the first file with an error.
#[test]
fn errors_of_all_files_are_reported_together() {
    let first = unit("batch", "b", "t");
    let second = format!("{TEAM}\n{}\nbad = 1\n", unit("batch", "b", "t"));
    let files = [
        SourceFile {
            path: "a/lacewing.toml",
            text: &first,
        },
        SourceFile {
            path: "b/lacewing.toml",
            text: &second,
        },
        SourceFile {
            path: "c/lacewing.toml",
            text: TEAM,
        },
    ];
    let e = Catalog::parse(&files).unwrap_err();
    insta::assert_snapshot!(e.to_string());
}

/// Guards against a unit being rejected because its team is defined in a different file.
#[test]
fn a_team_may_be_defined_in_another_file() {
    let first = unit("batch", "b", "t");
    let files = [
        SourceFile {
            path: "a",
            text: &first,
        },
        SourceFile {
            path: "b",
            text: TEAM,
        },
    ];
    let catalog = Catalog::parse(&files).unwrap();
    assert_eq!(catalog.units["b"].kind, Kind::Batch { tasks: 1 });
    assert_eq!(catalog.units["b"].attempts, 3);
}

/// Guards against excessive resource use: large files, many files, a large total, and deep nesting
/// must be rejected.
#[test]
fn limits_of_size_count_and_depth() {
    let large = "#".repeat((1 << 20) + 1);
    assert!(
        parse(&large)
            .unwrap_err()
            .to_string()
            .contains("at most 1048576")
    );
    let many = vec![
        SourceFile {
            path: "a",
            text: ""
        };
        2_001
    ];
    let e = Catalog::parse(&many).unwrap_err();
    assert!(e.to_string().contains("2001 files, at most 2000"));
    let full = "#".repeat(1 << 20);
    let together = vec![
        SourceFile {
            path: "a",
            text: &full
        };
        17
    ];
    assert!(Catalog::parse(&together).is_err());
    for open in ["[", "{ a = ", "{ a.a.a.a = "] {
        let deep = format!("x = {}", open.repeat(50_000));
        assert!(parse(&deep).is_err(), "{open}");
    }
}

/// Guards against panics on arbitrary input, and against errors that name a line that the file does not
/// have. A valid file is edited at random.
#[test]
fn any_text_is_parsed_or_rejected() {
    let mut g = Gen::from_size_and_seed(60, SEED);
    let valid = format!(
        "{TEAM}\n{}\n{}",
        unit("batch", "b", "t"),
        unit("job", "j", "t")
    );
    for _ in 0..2_000 {
        let mut text = valid.clone().into_bytes();
        for _ in 0..=usize::arbitrary(&mut g) % 4 {
            let at = usize::arbitrary(&mut g) % text.len();
            let with = String::arbitrary(&mut g);
            let end = (at + usize::arbitrary(&mut g) % 8).min(text.len());
            text.splice(at..end, with.bytes());
        }
        let text = String::from_utf8_lossy(&text);
        if let Err(e) = parse(&text) {
            let lines = text.matches('\n').count() + 1;
            assert!(
                e.errors
                    .iter()
                    .all(|error| (1..=lines).contains(&error.line)),
                "{e}"
            );
        }
    }
}
