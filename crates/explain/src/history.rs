//! What the logs tell of each job.

use std::{
    collections::BTreeMap,
    io::{self, BufRead},
};

use crate::{gaps::Gaps, line::Line};

/// A time, in Unix milliseconds.
pub(crate) type Millis = u64;

/// When the steps to the start of a run were taken, which a worker has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Start {
    /// When the first approvals of the step were known; `None` if it needs none, or if the log does not tell.
    pub(crate) approved: Option<Millis>,
    pub(crate) decided: Millis,
    pub(crate) sent: Millis,
    pub(crate) answered: Millis,
}

/// The end of a run, as the scheduler has read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct End {
    pub(crate) at: Millis,
    pub(crate) is_done: bool,
}

/// A run of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Run {
    pub(crate) start: Option<Start>,
    pub(crate) end: Option<End>,
}

/// The step and the index of a task.
pub(crate) type TaskNumber = (u16, u32);

/// What is known of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Job {
    pub(crate) queue: String,
    /// When the job was handed in to the node that has accepted it.
    pub(crate) handed_in_at: Option<Millis>,
    pub(crate) accepted_at: Option<Millis>,
    pub(crate) objective_ms: Option<u64>,
    /// The times at which an attempt to hand the job in was answered without accepting the job.
    pub(crate) refused_at: Vec<Millis>,
    /// The runs of the first occurrence, by task and number of the run.
    pub(crate) runs: BTreeMap<TaskNumber, BTreeMap<u32, Run>>,
    /// The final state and when it was shown.
    pub(crate) ended: Option<(String, Millis)>,
}

/// The jobs and the changes of scheduler that the logs of nodes tell of.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) gaps: Gaps,
}

impl History {
    /// Adds all lines of a log.
    ///
    /// # Errors
    ///
    /// Returns the error of the reader. Lines that are not valid UTF-8 are read as far as they are.
    pub fn read(&mut self, mut log: impl BufRead) -> io::Result<()> {
        let mut bytes = Vec::new();
        while log.read_until(b'\n', &mut bytes)? > 0 {
            self.add(&String::from_utf8_lossy(&bytes));
            bytes.clear();
        }
        Ok(())
    }

    /// Adds a line. Lines that are no events of a node are ignored.
    pub fn add(&mut self, text: &str) {
        if let Some(line) = Line::parse(text) {
            self.gaps.add(&line);
            // A line that lacks a field is of an earlier build, or cut off.
            let _ = self.add_event(&line);
        }
    }

    /// Returns the number of jobs that the logs name.
    #[must_use]
    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    fn add_event(&mut self, line: &Line<'_>) -> Option<()> {
        match line.event {
            "accepted" => {
                let job = self.job(line.field("job")?);
                line.field("queue")?.clone_into(&mut job.queue);
                job.objective_ms = line.number("objective_ms");
                job.accepted_at = Some(line.at_ms);
                job.handed_in_at = Some(line.at_ms.saturating_sub(line.number("ms")?));
            }
            "refused" | "unsettled" => {
                let job = self.job(line.field("job")?);
                line.field("queue")?.clone_into(&mut job.queue);
                job.refused_at.push(line.at_ms);
            }
            "started" => {
                let sent = line.at_ms.saturating_sub(line.number("ms")?);
                let before_sent = |name| Some(sent.saturating_sub(line.number(name)?));
                let start = Start {
                    approved: before_sent("approved_ms"),
                    decided: before_sent("decided_ms").unwrap_or(sent),
                    sent,
                    answered: line.at_ms,
                };
                self.run(line)?.start = Some(start);
            }
            "ended" | "interrupted" => {
                let end = End {
                    at: line.at_ms,
                    is_done: line.field("how") == Some("Done"),
                };
                let run = self.run(line)?;
                // The end is listed again until it is acknowledged.
                run.end.get_or_insert(end);
            }
            "state" => {
                let state = line.field("state")?;
                if matches!(state, "Completed" | "Failed" | "Cancelled") {
                    let job = self.job(line.field("job")?);
                    job.ended.get_or_insert((state.to_owned(), line.at_ms));
                }
            }
            _ => {}
        }
        Some(())
    }

    fn job(&mut self, id: &str) -> &mut Job {
        self.jobs.entry(id.to_owned()).or_default()
    }

    /// Returns the run that a line names, if it is one of a first occurrence.
    fn run(&mut self, line: &Line<'_>) -> Option<&mut Run> {
        let number = line.number("run")?.try_into().ok()?;
        let mut parts = line.field("task")?.split('.');
        let id = parts.next()?;
        let occurrence: u32 = parts.next()?.parse().ok()?;
        let task = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
        if occurrence > 0 {
            return None;
        }
        let runs = self.job(id).runs.entry(task).or_default();
        Some(runs.entry(number).or_default())
    }
}
