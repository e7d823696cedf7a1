//! Recorded loads: files with one job in JSON on each line.

use std::io::{BufRead, Write};

use fakes::cell::{Arrival, Kind};
use jobs::{Job, JobId, Step};
use model::{Size, Time};
use serde::{Deserialize, Serialize};

use crate::LoadError;

/// A job as it is recorded. Error messages of `serde_json` contain the names of this type and of [`StepLine`].
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    /// The arrival time, in milliseconds since the start of the load.
    at_ms: u64,
    /// The name of the job's kind.
    kind: String,
    id: String,
    steps: Vec<StepLine>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    cancelled_at_ms: Option<u64>,
}

/// A step of a recorded job.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct StepLine {
    tasks: u32,
    milli_processors: u64,
    memory_mb: u64,
    /// The run time of a task that the client declares, in milliseconds.
    estimate_ms: u64,
    /// The actual run time of a task, in seconds.
    seconds: f64,
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    saves: bool,
}

/// Writes a load, one job on each line.
///
/// # Errors
///
/// Returns the error of the output if it cannot be written.
pub fn write(arrivals: &[Arrival], kinds: &[Kind], mut out: impl Write) -> std::io::Result<()> {
    for arrival in arrivals {
        let steps = arrival.job.steps.iter().zip(&arrival.seconds);
        let line = Line {
            at_ms: arrival.at.as_ms(),
            kind: kinds
                .get(arrival.kind)
                .map(|kind| kind.queue.name.clone())
                .unwrap_or_default(),
            id: arrival.id.to_string(),
            steps: steps
                .map(|(step, &seconds)| step_line(step, seconds))
                .collect(),
            cancelled_at_ms: arrival.cancelled_at.map(Time::as_ms),
        };
        serde_json::to_writer(&mut out, &line)?;
        out.write_all(b"\n")?;
    }
    Ok(())
}

fn step_line(step: &Step, seconds: f64) -> StepLine {
    StepLine {
        tasks: step.tasks,
        milli_processors: step.size.milli_processors,
        memory_mb: step.size.memory_mb,
        estimate_ms: step.estimate_ms,
        seconds,
        after: step.after.clone(),
        gang: step.gang,
        saves: step.saves_progress,
    }
}

/// Reads a load and sorts its jobs by arrival time and id. Empty lines are skipped.
///
/// # Errors
///
/// Returns [`LoadError::Line`] if a line cannot be parsed, names a kind that is not in `kinds`, or holds a job
/// that the scheduler would refuse, and [`LoadError::Empty`] if there are no jobs.
pub fn read(input: impl BufRead, kinds: &[Kind]) -> Result<Vec<Arrival>, LoadError> {
    let mut arrivals = Vec::new();
    for (number, text) in input.lines().enumerate() {
        let line_error = |message: String| LoadError::Line {
            line: number + 1,
            message,
        };
        let text = text.map_err(|e| line_error(e.to_string()))?;
        if !text.trim().is_empty() {
            let line: Line = serde_json::from_str(&text).map_err(|e| line_error(e.to_string()))?;
            arrivals.push(arrival(line, kinds).map_err(line_error)?);
        }
    }
    if arrivals.is_empty() {
        return Err(LoadError::Empty);
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.id));
    Ok(arrivals)
}

fn arrival(line: Line, kinds: &[Kind]) -> Result<Arrival, String> {
    let kind = kinds.iter().position(|kind| kind.queue.name == line.kind);
    let kind = kind.ok_or_else(|| format!("there is no kind `{}`", line.kind))?;
    let id: JobId = line.id.parse().map_err(|e| format!("{e}"))?;
    if let Some(step) = line
        .steps
        .iter()
        .find(|step| !(step.seconds > 0.0 && step.seconds.is_finite()))
    {
        return Err(format!("a task can't take {} s", step.seconds));
    }
    let seconds = line.steps.iter().map(|step| step.seconds).collect();
    let steps = line.steps.into_iter().map(|step| Step {
        tasks: step.tasks,
        size: Size::new(step.milli_processors, step.memory_mb, 0),
        estimate_ms: step.estimate_ms,
        after: step.after,
        gang: step.gang,
        saves_progress: step.saves,
        ..Step::default()
    });
    let job = Job {
        queue: kinds[kind].queue.clone(),
        steps: steps.collect(),
        ..Job::default()
    };
    job.check().map_err(|e| e.to_string())?;
    Ok(Arrival {
        at: Time::from_ms(line.at_ms),
        kind,
        id,
        job,
        seconds,
        cancelled_at: line.cancelled_at_ms.map(Time::from_ms),
    })
}
