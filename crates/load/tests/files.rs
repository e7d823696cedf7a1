//! Reading and writing recorded loads, the chart, and reproducible runs.

use std::time::Duration;

use load::{Experiment, LoadError, Policy, draw, read, write};

fn small_experiment() -> Experiment {
    Experiment {
        duration: Duration::from_secs(3),
        factor: 0.3,
        ..Experiment::default()
    }
}

/// Guards against fields of a job that are lost or changed when a load is written and read again.
#[test]
fn a_recorded_load_gives_the_same_outcome_as_the_generated_one() {
    let experiment = small_experiment();
    let mut file = Vec::new();
    write(&experiment.arrivals(), &experiment.kinds(), &mut file).unwrap();
    let recorded = read(file.as_slice(), &experiment.kinds()).unwrap();
    let replayed = Experiment {
        recorded: Some(recorded),
        ..experiment.clone()
    };
    let outcome = |e: &Experiment| e.run(Policy::Standard).unwrap();
    assert_eq!(outcome(&replayed), outcome(&experiment));
}

/// Guards against invalid lines that are accepted or reported without their number and cause. Empty lines count:
/// the invalid line is the second one.
#[test]
fn invalid_lines_are_reported_with_their_number() {
    let step =
        r#"{"tasks":1,"milli_processors":1000,"memory_mb":100,"estimate_ms":500,"seconds":0.5}"#;
    let line = |id: &str, kind: &str, step: &str| {
        format!(r#"{{"at_ms":5,"kind":"{kind}","id":"{id}","steps":[{step}]}}"#)
    };
    let id = "00000000000000aa";
    let cases = [
        ("{".to_owned(), "EOF"),
        (line(id, "lookups", step), "there is no kind `lookups`"),
        (line("zz", "lookup", step), "zz"),
        (
            line(id, "lookup", &step.replace("0.5}", "0}")),
            "can't take 0 s",
        ),
        (
            line(id, "lookup", &step.replace("\"tasks\":1", "\"tasks\":0")),
            "0",
        ),
        (
            line(id, "lookup", &step.replace("tasks", "task")),
            "unknown field `task`",
        ),
    ];
    for (text, expected) in cases {
        let text = format!("\n{text}\n");
        match read(text.as_bytes(), &small_experiment().kinds()) {
            Err(LoadError::Line { line: 2, message }) => {
                assert!(message.contains(expected), "{message}");
            }
            other => panic!("{text}: {other:?}"),
        }
    }
    assert!(matches!(
        read(&b"\n"[..], &small_experiment().kinds()),
        Err(LoadError::Empty)
    ));
    assert!(
        read(
            line(id, "lookup", step).as_bytes(),
            &small_experiment().kinds()
        )
        .is_ok()
    );
}

#[test]
fn the_chart_has_a_line_for_each_policy() {
    let outcomes = small_experiment()
        .compare(&[Policy::Standard, Policy::Arrival])
        .unwrap();
    let svg = draw(&outcomes).unwrap();
    assert!(svg.starts_with("<svg"));
    for name in ["standard", "arrival", "seconds"] {
        assert!(svg.contains(name), "{name}");
    }
}

/// Guards against state outside of the seed, such as the order of a hash map, that influences a run.
#[test]
fn a_run_with_lost_workers_is_reproducible() {
    let experiment = Experiment {
        lost_workers: 3,
        ..small_experiment()
    };
    let run = || experiment.run(Policy::Standard).unwrap();
    assert_eq!(run(), run());
}
