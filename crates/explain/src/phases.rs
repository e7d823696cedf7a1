//! Divides the time of a job into phases.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{
    gaps::Gaps,
    history::{Job, Millis, Run},
};

/// What a job waits for, or that it works. The order is that in which a job goes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// From the request to the stored row, including the time for which the job was held while the table was away.
    Acceptance,
    /// No node schedules.
    Takeover,
    /// Until the first approvals of a step are known.
    Approval,
    /// Until the start of a task is decided: for room, other approvals, or the scheduler.
    Room,
    /// Until the decision to start is stored.
    StartStorage,
    /// Until the worker has answered the start order.
    Order,
    /// Earlier runs of a task, which were interrupted or failed.
    Rerun,
    /// The work, and the time until its end is read.
    Run,
    /// Until the end is stored and shown.
    EndStorage,
}

impl Phase {
    /// All phases, in their order.
    pub const ALL: [Self; 9] = [
        Self::Acceptance,
        Self::Takeover,
        Self::Approval,
        Self::Room,
        Self::StartStorage,
        Self::Order,
        Self::Rerun,
        Self::Run,
        Self::EndStorage,
    ];

    /// Returns the name of the phase.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Acceptance => "acceptance",
            Self::Takeover => "takeover",
            Self::Approval => "approval",
            Self::Room => "room",
            Self::StartStorage => "start_storage",
            Self::Order => "order",
            Self::Rerun => "rerun",
            Self::Run => "run",
            Self::EndStorage => "end_storage",
        }
    }
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Completed within its objective, or the log does not tell the objective.
    InTime,
    /// Completed later than its objective.
    Late,
    /// Shown as failed.
    Failed,
    /// Cancelled by a client.
    Cancelled,
    /// Accepted, and neither completed nor failed by the end of the logs.
    Unfinished,
    /// Not accepted by any node.
    NotAccepted,
}

/// The time of a job by phase.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Account {
    /// The job's id.
    pub job: String,
    /// The queue of the job.
    pub queue: String,
    /// What became of it.
    pub outcome: Outcome,
    /// When it was handed in, in Unix milliseconds; when it was first refused, if it was never accepted.
    pub from_ms: u64,
    /// The time from then until its final state was shown, in milliseconds.
    pub taken_ms: u64,
    /// The objective, in milliseconds.
    pub objective_ms: Option<u64>,
    /// The milliseconds of each phase. They add up to `taken_ms` for completed jobs.
    pub phases: BTreeMap<Phase, u64>,
}

/// Adds spans of time to phases, one after the other.
struct Clock<'a> {
    now: Millis,
    gaps: &'a Gaps,
    phases: BTreeMap<Phase, u64>,
}

impl Clock<'_> {
    /// Assigns the time until `to` to a phase. Spans that overlap with earlier ones count once.
    fn advance(&mut self, to: Millis, phase: Phase) {
        if to > self.now {
            *self.phases.entry(phase).or_default() += to - self.now;
            self.now = to;
        }
    }

    /// Assigns the time until `to` to a phase, except for the part in which no node scheduled.
    fn wait(&mut self, to: Millis, phase: Phase) {
        let gap = self.gaps.within(self.now, to);
        if gap > 0 {
            *self.phases.entry(Phase::Takeover).or_default() += gap;
            self.now += gap;
        }
        self.advance(to, phase);
    }
}

/// Returns the account of a job; `None` if the logs do not name its queue, or not when it was handed in.
pub(crate) fn account(id: &str, job: &Job, gaps: &Gaps) -> Option<Account> {
    if job.queue.is_empty() {
        return None;
    }
    let first_refused = job.refused_at.iter().min().copied();
    let from = job.handed_in_at.or(first_refused)?;
    let end = job.ended.as_ref().map(|(_, at)| *at);
    let mut clock = Clock {
        now: from,
        gaps,
        phases: BTreeMap::new(),
    };
    if let (Some(accepted_at), Some(end)) = (job.accepted_at, end) {
        clock.advance(accepted_at.min(end), Phase::Acceptance);
        divide(job, &mut clock);
        clock.wait(end, Phase::EndStorage);
    }
    let taken_ms = end.map_or(0, |end| end.saturating_sub(from));
    let is_late = job.objective_ms.is_some_and(|limit| taken_ms > limit);
    let outcome = match job.ended.as_ref().map(|(state, _)| state.as_str()) {
        _ if job.accepted_at.is_none() => Outcome::NotAccepted,
        Some("Completed") if is_late => Outcome::Late,
        Some("Completed") => Outcome::InTime,
        Some("Failed") => Outcome::Failed,
        Some(_) => Outcome::Cancelled,
        None => Outcome::Unfinished,
    };
    Some(Account {
        job: id.to_owned(),
        queue: job.queue.clone(),
        outcome,
        from_ms: from,
        taken_ms,
        objective_ms: job.objective_ms,
        phases: clock.phases,
    })
}

/// Divides the time from the acceptance of a job to the last end of a task.
fn divide(job: &Job, clock: &mut Clock<'_>) {
    let steps: Vec<u16> = {
        let mut steps: Vec<u16> = job.runs.keys().map(|(step, _)| *step).collect();
        steps.dedup();
        steps
    };
    for step in steps {
        let tasks = job.runs.range((step, 0)..=(step, u32::MAX));
        let last = tasks
            .map(|(_, runs)| runs)
            .max_by_key(|runs| last_end(runs));
        for run in last.into_iter().flat_map(|runs| runs.values()) {
            divide_run(run, clock);
        }
    }
}

fn last_end(runs: &BTreeMap<u32, Run>) -> Option<Millis> {
    let ends = runs.values().filter_map(|run| run.end.as_ref());
    ends.map(|end| end.at).max()
}

fn divide_run(run: &Run, clock: &mut Clock<'_>) {
    let is_done = run.end.as_ref().is_some_and(|end| end.is_done);
    if let Some(start) = &run.start {
        if let Some(approved) = start.approved {
            clock.wait(approved.min(start.decided), Phase::Approval);
        }
        clock.wait(start.decided, Phase::Room);
        clock.wait(start.sent, Phase::StartStorage);
        clock.advance(start.answered, Phase::Order);
    }
    if let Some(end) = &run.end {
        clock.advance(end.at, if is_done { Phase::Run } else { Phase::Rerun });
    }
}
