//! Recent answers of the approval service, kept for the next scheduler.
//!
//! When a scheduler fails, hundreds of steps may be waiting. Requesting all their approvals again would
//! keep the approval service busy for seconds, during which few tasks start. The answers stay usable:
//! which workers are allowed to run a step never changes, and most tickets are still valid.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use jobs::{JobId, StepKey};
use model::Time;
use sched::Ticket;

use crate::message::Message;

/// The number of answers that a node keeps. Each takes about 5 KB. Under the heaviest load a node
/// receives two per second, and jobs last for about half a minute.
const MAX_ANSWERS: usize = 200;

/// An answer of the approval service.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) step: StepKey,
    /// The workers in the request.
    pub(crate) asked: Vec<Arc<str>>,
    /// The workers that may run the step, with the tickets for their starts.
    pub(crate) allowed: Vec<(Arc<str>, Ticket)>,
    /// When the tickets expire.
    pub(crate) until: Time,
}

impl Answer {
    /// Returns the message that reports this answer to the scheduler.
    pub(crate) fn message(&self, now: Time) -> Message {
        let valid: Duration = self.until - now;
        Message::Approved {
            step: self.step,
            asked: self.asked.clone(),
            allowed: self.allowed.clone(),
            valid_ms: u64::try_from(valid.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// The most recent answers, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    entries: VecDeque<Answer>,
}

impl Answers {
    /// Adds an answer, and drops the oldest one if there are already [`MAX_ANSWERS`].
    pub(crate) fn push(&mut self, answer: Answer) {
        if self.entries.len() >= MAX_ANSWERS {
            self.entries.pop_front();
        }
        self.entries.push_back(answer);
    }

    /// Drops the answers of jobs that have ended, and returns the messages that report the others to a new
    /// scheduler, oldest first.
    pub(crate) fn messages(&mut self, now: Time, is_over: impl Fn(JobId) -> bool) -> Vec<Message> {
        self.entries.retain(|answer| !is_over(answer.step.job));
        self.entries
            .iter()
            .map(|answer| answer.message(now))
            .collect()
    }
}
