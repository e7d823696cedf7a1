//! Tests of the daemon's settings.

use node::{CommandLine, parse_with};

fn split_args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

const GOOD: &str = "--node-id 1 --region marmara --domain marmara-1 --listen 127.0.0.1:0 \
    --peer-listen 127.0.0.1:0 --platform http://127.0.0.1:7000/ --operator-token long-secret-1 \
    --peer-token long-secret-2";

fn errors(text: &str) -> Vec<String> {
    match parse_with(&split_args(text), |_| None) {
        Ok(parsed) => panic!("{parsed:?}"),
        Err(e) => e.errors,
    }
}

/// Guards against valid settings that are refused or misread.
#[test]
fn good_settings_are_read() {
    let Ok(CommandLine::Run(settings)) = parse_with(&split_args(GOOD), |_| None) else {
        panic!("they are not read");
    };
    assert_eq!(settings.node, model::NodeId(1));
    assert_eq!(settings.platform, "http://127.0.0.1:7000");
    assert_eq!(settings.metrics, None);
}

/// Guards against an environment variable that overrides a flag, or is not read without the flag.
#[test]
fn flags_win_over_variables() {
    let variable = |name: &str| (name == "LACEWING_NODE_ID").then(|| "9".to_owned());
    let Ok(CommandLine::Run(settings)) = parse_with(&split_args(GOOD), variable) else {
        panic!("they are not read");
    };
    assert_eq!(settings.node, model::NodeId(1));
    let without = GOOD.replace("--node-id 1", "");
    let Ok(CommandLine::Run(settings)) = parse_with(&split_args(&without), variable) else {
        panic!("they are not read");
    };
    assert_eq!(settings.node, model::NodeId(9));
}

/// Guards against an error that names only the first missing setting.
#[test]
fn all_missing_settings_are_named_at_once() {
    let errors = errors("");
    assert_eq!(errors.len(), 8, "{errors:#?}");
    assert!(errors[0].contains("--node-id") && errors[0].contains("LACEWING_NODE_ID"));
}

/// Guards against wrong settings that are accepted, or reported without their flag and value.
#[test]
fn each_wrong_setting_is_named() {
    let table = [
        (
            "--node-id 1",
            "--node-id one",
            "--node-id: `one` is not a number",
        ),
        (
            "--region marmara",
            "--region a/b",
            "--region: `a/b` is not a short name",
        ),
        (
            "--listen 127.0.0.1:0",
            "--listen here",
            "--listen: `here` is not an address",
        ),
        (
            "http://127.0.0.1:7000/",
            "ftp://x",
            "does not begin with http://",
        ),
        (
            "long-secret-1",
            "short",
            "--operator-token: shorter than 8 bytes",
        ),
        (
            "--node-id 1",
            "--node-id 1 --metrics there",
            "--metrics: `there` is not an address",
        ),
        ("--node-id 1", "--node-id 1 stray", "`stray` is no option"),
        ("--node-id 1", "--node-id 1 --colour red", "colour"),
    ];
    for (good, wrong, expected) in table {
        let errors = errors(&GOOD.replace(good, wrong));
        assert_eq!(errors.len(), 1, "{errors:#?}");
        assert!(errors[0].contains(expected), "{}: {}", expected, errors[0]);
    }
}
