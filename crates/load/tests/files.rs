//! Recorded loads and drawings.

use std::time::Duration;

use load::{Experiment, LoadError, Policy, draw, read, write};

fn small() -> Experiment {
    Experiment {
        duration: Duration::from_secs(3),
        factor: 0.3,
        ..Experiment::default()
    }
}

#[test]
fn a_recorded_load_plays_like_the_one_that_was_written() {
    let experiment = small();
    let mut file = Vec::new();
    write(&experiment.arrivals(), &experiment.kinds(), &mut file).unwrap();
    let recorded = read(file.as_slice(), &experiment.kinds()).unwrap();
    let again = Experiment {
        recorded: Some(recorded),
        ..experiment.clone()
    };
    let outcome = |e: &Experiment| e.run(Policy::Standard).unwrap();
    assert_eq!(outcome(&again), outcome(&experiment));
}

#[test]
fn bad_lines_are_named() {
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
        match read(text.as_bytes(), &small().kinds()) {
            Err(LoadError::Line { line: 2, message }) => {
                assert!(message.contains(expected), "{message}");
            }
            other => panic!("{text}: {other:?}"),
        }
    }
    assert!(matches!(
        read(&b"\n"[..], &small().kinds()),
        Err(LoadError::Empty)
    ));
    assert!(read(line(id, "lookup", step).as_bytes(), &small().kinds()).is_ok());
}

#[test]
fn a_drawing_has_a_line_a_policy() {
    let outcomes = small()
        .compare(&[Policy::Standard, Policy::Arrival])
        .unwrap();
    let svg = draw(&outcomes).unwrap();
    assert!(svg.starts_with("<svg"));
    for name in ["standard", "arrival", "seconds"] {
        assert!(svg.contains(name), "{name}");
    }
}

#[test]
fn lost_workers_and_one_seed_give_the_same_figures_each_time() {
    let experiment = Experiment {
        lost_workers: 3,
        ..small()
    };
    let play = || experiment.run(Policy::Standard).unwrap();
    assert_eq!(play(), play());
}
