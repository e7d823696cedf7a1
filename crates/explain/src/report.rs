//! Adds up the accounts of jobs by queue and by window of time.

use std::{collections::BTreeMap, fmt};

use serde::Serialize;

use crate::{
    history::History,
    phases::{Account, Outcome, Phase, account},
};

/// The phases that add up to the time that a job does not spend at work.
const WAITS: [Phase; 8] = [
    Phase::Acceptance,
    Phase::Takeover,
    Phase::Approval,
    Phase::Room,
    Phase::StartStorage,
    Phase::Order,
    Phase::Rerun,
    Phase::EndStorage,
];

/// Settings of a [`Report`].
#[derive(Clone, Copy, Debug)]
pub struct ReportConfig {
    /// The length of a window, in milliseconds.
    pub window_ms: u64,
    /// The number of jobs to list.
    pub slowest: usize,
}

impl Default for ReportConfig {
    fn default() -> Self {
        Self {
            window_ms: 2_000,
            slowest: 10,
        }
    }
}

/// The jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct QueueReport {
    /// The number of jobs.
    pub jobs: usize,
    /// The number of jobs that were completed late.
    pub late: usize,
    /// The number of jobs that were shown as failed.
    pub failed: usize,
    /// The number of jobs that no node has accepted.
    pub not_accepted: usize,
    /// The milliseconds of each phase of the late jobs.
    pub phases: BTreeMap<Phase, u64>,
}

/// The jobs that were handed in within a window of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct WindowReport {
    /// The number of jobs.
    pub jobs: usize,
    /// The number of jobs that were completed late.
    pub late: usize,
    /// The number of jobs that no node has accepted.
    pub not_accepted: usize,
    /// The milliseconds of each phase of the late jobs.
    pub phases: BTreeMap<Phase, u64>,
}

/// Where the time of late jobs went.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Report {
    /// The number of jobs that the logs name.
    pub jobs: usize,
    /// The number of jobs that were completed late.
    pub late: usize,
    /// The jobs by queue.
    pub queues: BTreeMap<String, QueueReport>,
    /// The jobs by the start of the window in which they were handed in, in Unix milliseconds.
    pub windows: BTreeMap<u64, WindowReport>,
    /// The jobs that exceeded their objectives most, worst first.
    pub slowest: Vec<Account>,
}

impl Report {
    /// Adds up the accounts of all jobs.
    #[must_use]
    pub fn new(history: &History, cfg: &ReportConfig) -> Self {
        let mut report = Self::default();
        let mut late = Vec::new();
        for (id, job) in &history.jobs {
            let Some(account) = account(id, job, &history.gaps) else {
                continue;
            };
            report.add(&account, cfg.window_ms.max(1));
            if account.outcome == Outcome::Late {
                late.push(account);
            }
        }
        let excess = |account: &Account| {
            let objective = account.objective_ms.unwrap_or_default();
            account.taken_ms.saturating_sub(objective)
        };
        late.sort_by_key(|account| std::cmp::Reverse(excess(account)));
        late.truncate(cfg.slowest);
        report.slowest = late;
        report
    }

    fn add(&mut self, account: &Account, window_ms: u64) {
        let is_late = account.outcome == Outcome::Late;
        let queue = self.queues.entry(account.queue.clone()).or_default();
        let start = account.from_ms / window_ms * window_ms;
        let window = self.windows.entry(start).or_default();
        self.jobs += 1;
        queue.jobs += 1;
        window.jobs += 1;
        match account.outcome {
            Outcome::Late => {
                self.late += 1;
                queue.late += 1;
                window.late += 1;
            }
            Outcome::Failed => queue.failed += 1,
            Outcome::NotAccepted => {
                queue.not_accepted += 1;
                window.not_accepted += 1;
            }
            Outcome::InTime | Outcome::Cancelled | Outcome::Unfinished => {}
        }
        for (&phase, &ms) in account.phases.iter().filter(|_| is_late) {
            *queue.phases.entry(phase).or_default() += ms;
            *window.phases.entry(phase).or_default() += ms;
        }
    }
}

/// Writes the mean of each wait of the late jobs, in milliseconds.
fn write_waits(
    f: &mut fmt::Formatter<'_>,
    phases: &BTreeMap<Phase, u64>,
    late: usize,
) -> fmt::Result {
    let late = u64::try_from(late).unwrap_or(u64::MAX).max(1);
    for phase in WAITS {
        let ms = phases.get(&phase).copied().unwrap_or_default();
        write!(f, " {:>width$}", ms / late, width = phase.name().len())?;
    }
    writeln!(f)
}

fn write_heading(f: &mut fmt::Formatter<'_>, first: &str) -> fmt::Result {
    write!(
        f,
        "{first:<16} {:>5} {:>5} {:>7}",
        "jobs", "late", "refused"
    )?;
    for phase in WAITS {
        write!(f, " {}", phase.name())?;
    }
    writeln!(f)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} jobs, {} late; mean waits of late jobs in ms\n",
            self.jobs, self.late
        )?;
        write_heading(f, "queue")?;
        for (name, queue) in &self.queues {
            let (jobs, late, refused) = (queue.jobs, queue.late, queue.not_accepted);
            write!(f, "{name:<16} {jobs:>5} {late:>5} {refused:>7}")?;
            write_waits(f, &queue.phases, late)?;
        }
        writeln!(f)?;
        write_heading(f, "from second")?;
        let first = self.windows.keys().next().copied().unwrap_or_default();
        for (start, window) in &self.windows {
            let (jobs, late, refused) = (window.jobs, window.late, window.not_accepted);
            let seconds = (start - first) / 1_000;
            write!(f, "{seconds:<16} {jobs:>5} {late:>5} {refused:>7}")?;
            write_waits(f, &window.phases, late)?;
        }
        if !self.slowest.is_empty() {
            writeln!(f, "\nslowest jobs")?;
        }
        for account in &self.slowest {
            let seconds = (account.from_ms.saturating_sub(first)) / 1_000;
            write!(
                f,
                "{} queue={} from_s={seconds} taken_ms={} objective_ms={}",
                account.job,
                account.queue,
                account.taken_ms,
                account.objective_ms.unwrap_or_default()
            )?;
            for (phase, ms) in &account.phases {
                write!(f, " {}={ms}", phase.name())?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
