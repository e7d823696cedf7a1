//! Approvals that a node has asked for, kept for the next scheduler.
//!
//! Load pattern: when a scheduler is gone, hundreds of steps wait. To ask for all their approvals anew would
//! keep the approvers busy for seconds, in which little starts. Which workers are allowed never changes, and
//! most tickets still hold.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use jobs::{JobId, StepKey};
use model::Time;
use sched::Ticket;

use crate::message::Message;

/// How many answers a node keeps. Each takes some 5 KB; a node gets two in a second at the worst load, and jobs
/// last for half a minute or so.
const ANSWERS_MAX: usize = 200;

/// An answer of the approval service.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) step: StepKey,
    /// The workers that were asked about.
    pub(crate) asked: Vec<Arc<str>>,
    /// Those of them that are allowed.
    pub(crate) allowed: Vec<(Arc<str>, Ticket)>,
    /// Until when the tickets hold.
    pub(crate) until: Time,
}

impl Answer {
    /// What the scheduler is told.
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

/// The last answers, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Answers {
    kept: VecDeque<Answer>,
}

impl Answers {
    /// Keeps an answer, and drops the oldest if there are too many.
    pub(crate) fn keep(&mut self, answer: Answer) {
        if self.kept.len() >= ANSWERS_MAX {
            self.kept.pop_front();
        }
        self.kept.push_back(answer);
    }

    /// What a new scheduler is told, in the order in which it came. What belongs to jobs that are over is
    /// dropped.
    pub(crate) fn tell(&mut self, now: Time, is_over: impl Fn(JobId) -> bool) -> Vec<Message> {
        self.kept.retain(|answer| !is_over(answer.step.job));
        self.kept.iter().map(|answer| answer.message(now)).collect()
    }
}
