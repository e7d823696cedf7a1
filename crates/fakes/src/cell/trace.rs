//! A trace of the runs on the hosts, which shows why a guarantee counts as violated.

use std::fmt;

use jobs::{EndKind, TaskKey};
use model::{Time, WorkerId};

/// What happened to a run on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// It began.
    Began {
        /// The end of its lease on the host's clock.
        lease_until_ms: u64,
    },
    /// It ended.
    Ended {
        /// How it ended.
        kind: EndKind,
        /// When it was due to end. The owner of a fleet that was held up notices an end later.
        due: Time,
    },
    /// The end of the run was acknowledged to its host.
    Acknowledged(Acknowledgement),
    /// Its host crashed.
    Lost,
}

/// The acknowledgement of an end, with times on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acknowledgement {
    /// How the run ended.
    pub kind: EndKind,
    /// When the run ended.
    pub ended_at_ms: u64,
    /// The end of the host's last lease that has lapsed; 0 if none has.
    pub lapsed_at_ms: u64,
}

impl Acknowledgement {
    /// Returns whether the task must not run again. It may if the host's lease lapsed between the end and its
    /// acknowledgement, because schedulers that cannot reach the host start its tasks elsewhere then.
    #[must_use]
    pub const fn is_binding(&self) -> bool {
        self.ended_at_ms > self.lapsed_at_ms
    }
}

/// An event of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TraceRow {
    /// When the event was carried out or noticed.
    pub at: Time,
    /// The same time on the host's clock.
    pub clock_ms: u64,
    /// The host.
    pub host: WorkerId,
    /// The task.
    pub key: TaskKey,
    /// The number of the run.
    pub run: u32,
    /// What happened.
    pub event: RunEvent,
}

impl fmt::Display for TraceRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, run, host, .. } = self;
        let (at, clock) = (self.at.as_ms(), self.clock_ms);
        write!(f, "{at} ms: {key} run {run} on w{} ", host.0)?;
        match self.event {
            RunEvent::Began { lease_until_ms } => {
                write!(f, "began, lease until {lease_until_ms}")?;
            }
            RunEvent::Ended { kind, due } => write!(f, "ended {kind:?}, due {} ms", due.as_ms())?,
            RunEvent::Acknowledged(end) => write!(
                f,
                "acknowledged {:?}, ended at {}, lease lapsed at {}, binding: {}",
                end.kind,
                end.ended_at_ms,
                end.lapsed_at_ms,
                end.is_binding()
            )?,
            RunEvent::Lost => write!(f, "lost")?,
        }
        write!(f, " (clock {clock})")
    }
}
