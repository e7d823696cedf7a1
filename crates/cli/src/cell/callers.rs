//! Callers: when they send requests, how long they wait, and what they send again.

use std::time::Duration;

use model::{NodeId, Repeat, Time, Verdict};

use super::{
    Cell, Happening, Load,
    records::{Answer, Try, TryId},
    traffic::TrafficStep,
};

/// The time between a caller and a node.
pub(crate) const CALLER_LATENCY: Duration = Duration::from_millis(1);
/// A caller waits for longer than the service's deadline by this.
const PATIENCE: Duration = Duration::from_secs(1);
/// The longest wait of a caller that was told when to come back.
const COMES_BACK_MAX: Duration = Duration::from_secs(5);
/// The most sendings of one request.
const TRIES_MAX: u32 = 4;

/// A request that a caller wants done, over all its sendings.
#[derive(Clone, Debug)]
pub(crate) struct Errand {
    pub(crate) load: usize,
    pub(crate) key: Option<String>,
    pub(crate) tries: u32,
}

/// All callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Callers {
    loads: Vec<Load>,
    errands: u64,
    last_try: u64,
}

impl Callers {
    pub(crate) fn add(&mut self, load: Load) -> usize {
        self.loads.push(load);
        self.loads.len() - 1
    }

    pub(crate) fn stop(&mut self, now: Time) {
        for load in &mut self.loads {
            load.until = load.until.min(now);
        }
    }
}

impl Cell {
    /// Sends a load's next request, and plans the one after it.
    pub(crate) fn next_caller(&mut self, i: usize) {
        let Some(load) = self.callers.loads.get(i).cloned() else {
            return;
        };
        if self.now >= load.until {
            return;
        }
        let wait = self
            .rng
            .span(Duration::from_millis(1), load.mean_interval * 2);
        let step = Happening::Traffic(TrafficStep::NextCaller(i));
        self.queue.push(self.now + wait, step);
        self.callers.errands += 1;
        let number = self.callers.errands;
        let key = (load.repeat == Repeat::Never).then(|| format!("key-{number}"));
        self.send_try(Errand {
            load: i,
            key,
            tries: 0,
        });
    }

    /// Sends a request to one of the nodes that the platform's balancer holds to be ready.
    pub(crate) fn send_try(&mut self, errand: Errand) {
        let Some(load) = self.callers.loads.get(errand.load) else {
            return;
        };
        let ready = self.ready_nodes();
        let Some(node) = pick(&ready, self.rng.below(ready.len() as u64)) else {
            return;
        };
        self.callers.last_try += 1;
        let id = TryId(self.callers.last_try);
        let gives_up_at = self.now + load.deadline + PATIENCE;
        self.records.tries.push(Try {
            id,
            service: load.service.clone(),
            key: errand.key.clone(),
            node,
            sent: self.now,
            gives_up_at,
            is_lost: false,
            answers: Vec::new(),
        });
        let errand = Errand {
            tries: errand.tries + 1,
            ..errand
        };
        self.traffic.remember(id, errand);
        let arrives = Happening::Traffic(TrafficStep::Arrives { id, node });
        self.queue.push(self.now + CALLER_LATENCY, arrives);
        let over = Happening::Traffic(TrafficStep::CallerGivesUp(id));
        self.queue.push(gives_up_at, over);
    }

    /// A caller reads an answer. The answer may be lost on the last part of its way.
    pub(crate) fn caller_answered(
        &mut self,
        id: TryId,
        answer: Answer,
        retry_after: Option<Duration>,
    ) {
        let verdict = answer.verdict;
        let is_lost = self.traffic.loses_answer();
        let Some(sent) = self.try_mut(id) else {
            return;
        };
        if is_lost && sent.answers.is_empty() {
            sent.is_lost = true;
            self.send_again(id, Duration::ZERO);
            return;
        }
        sent.answers.push(answer);
        if sent.answers.len() > 1 {
            return;
        }
        match verdict {
            Verdict::Ran => self.traffic.forget(id),
            Verdict::NotRun => {
                let wait = retry_after.unwrap_or_default().min(COMES_BACK_MAX);
                self.send_again(id, wait);
            }
            Verdict::MayHaveRun => self.send_again(id, Duration::ZERO),
        }
    }

    /// The connection broke before an answer came.
    pub(crate) fn caller_lost(&mut self, id: TryId) {
        if let Some(sent) = self.try_mut(id) {
            sent.is_lost = true;
            self.send_again(id, Duration::ZERO);
        }
    }

    pub(crate) fn caller_gives_up(&mut self, id: TryId) {
        let waits = |sent: &mut Try| !sent.is_lost && sent.answers.is_empty();
        if self.try_mut(id).is_some_and(waits) {
            self.send_again(id, Duration::ZERO);
        }
    }

    /// Sends the request of a try once more, with the same key.
    fn send_again(&mut self, id: TryId, wait: Duration) {
        let Some(errand) = self.traffic.take(id) else {
            return;
        };
        if errand.tries < TRIES_MAX {
            let at = self.now + wait;
            let step = Happening::Traffic(TrafficStep::Again(errand));
            self.queue.push(at, step);
        }
    }

    fn try_mut(&mut self, id: TryId) -> Option<&mut Try> {
        let i = usize::try_from(id.0).ok()?.checked_sub(1)?;
        self.records.tries.get_mut(i)
    }

    pub(crate) fn answer_now(&self, verdict: Verdict, reason: &str) -> Answer {
        Answer {
            at: self.now,
            verdict,
            body_of: None,
            is_complete: false,
            reason: reason.to_owned(),
        }
    }

    /// Whether callers still wait for something that is on its way.
    #[must_use]
    pub fn has_open_requests(&self) -> bool {
        self.traffic.is_open()
    }

    pub(crate) fn service_of(&self, id: TryId) -> Option<(String, Option<String>, Time)> {
        let i = usize::try_from(id.0).ok()?.checked_sub(1)?;
        let sent = self.records.tries.get(i)?;
        Some((sent.service.clone(), sent.key.clone(), sent.gives_up_at))
    }
}

fn pick(nodes: &[NodeId], i: u64) -> Option<NodeId> {
    nodes.get(usize::try_from(i).ok()?).copied()
}
