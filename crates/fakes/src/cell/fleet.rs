//! What runs on the hosts, judged from outside: hosts, the gangs at work on them, and the true run times.
//!
//! It keeps no clock and sends nothing. What has to happen later, and whose polls may be answered, is handed
//! out by [`Fleet::take_timers`] and [`Fleet::take_changed_hosts`].

use std::{collections::HashMap, time::Duration};

use jobs::{EndKind, JobId, StepKey, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{EndedRow, StartAnswer, StartOrder};

use super::{
    checker::{Checker, Work},
    gangs::Gangs,
    host::Host,
    load::{Arrival, Kind},
    world::chance,
};
use crate::Rng;

/// How soon a host that fails all it starts does so.
const QUICK_FAILURE: Duration = Duration::from_millis(50);

/// Something that the owner has to bring about at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Look whether a run ends on a host: [`Fleet::tick`].
    Tick(WorkerId),
    /// Look whether a gang's run is still not complete: [`Fleet::gang_timeout`].
    GangTimeout(StepKey, u32),
}

/// The hosts and what runs on them.
#[derive(Debug)]
pub struct Fleet {
    pub(super) hosts: Vec<Host>,
    /// The kinds of the jobs.
    kinds: Vec<Kind>,
    /// How long a gang waits for its members.
    gang_wait: Duration,
    fails_all_until: HashMap<WorkerId, Time>,
    gangs: Gangs,
    pub(super) checker: Checker,
    pub(super) truth: HashMap<JobId, Arrival>,
    timers: Vec<(Time, Timer)>,
    touched: Vec<WorkerId>,
}

impl Fleet {
    /// Hosts that run nothing yet.
    #[must_use]
    pub fn new(hosts: Vec<Host>, kinds: Vec<Kind>, gang_wait: Duration) -> Self {
        Self {
            hosts,
            kinds,
            gang_wait,
            fails_all_until: HashMap::new(),
            gangs: Gangs::default(),
            checker: Checker::default(),
            truth: HashMap::new(),
            timers: Vec::new(),
            touched: Vec::new(),
        }
    }

    /// A host.
    #[must_use]
    pub fn host(&self, id: WorkerId) -> &Host {
        &self.hosts[index(id)]
    }

    /// A host.
    pub fn host_mut(&mut self, id: WorkerId) -> &mut Host {
        &mut self.hosts[index(id)]
    }

    /// The judge of what happens.
    pub const fn checker(&mut self) -> &mut Checker {
        &mut self.checker
    }

    /// What has to be brought about later.
    pub fn take_timers(&mut self) -> Vec<(Time, Timer)> {
        std::mem::take(&mut self.timers)
    }

    /// The hosts that have ended something since the last call.
    pub fn take_changed_hosts(&mut self) -> Vec<WorkerId> {
        std::mem::take(&mut self.touched)
    }

    /// A client has sent a job.
    pub fn submitted(&mut self, arrival: Arrival) {
        self.checker.submitted(arrival.id, &arrival.job);
        self.truth.insert(arrival.id, arrival);
    }

    /// From now until then, the host fails all that it starts.
    pub fn fail_all(&mut self, id: WorkerId, until: Time) {
        self.fails_all_until.insert(id, until);
    }

    /// An order to start reaches a host that is up.
    pub fn start(
        &mut self,
        now: Time,
        rng: &mut Rng,
        id: WorkerId,
        order: &StartOrder,
        fence: u64,
    ) -> StartAnswer {
        let key = order.key;
        let step = self
            .truth
            .get(&key.job)
            .and_then(|arrival| arrival.job.steps.get(usize::from(key.step)));
        let size = step.map(jobs::Step::reserved).unwrap_or_default();
        let saves = step.is_some_and(|step| step.saves_progress && !step.gang);
        let host = &mut self.hosts[index(id)];
        let (answer, is_new) = host.start(now, order, fence, size, saves);
        if is_new {
            self.begun(now, rng, id, key, order.run);
        }
        answer
    }

    /// A run has begun.
    fn begun(&mut self, now: Time, rng: &mut Rng, id: WorkerId, key: TaskKey, run: u32) {
        let host = &self.hosts[index(id)];
        let beside = host
            .runs
            .keys()
            .filter(|other| other.step_key() == key.step_key())
            .count();
        let beside = u32::try_from(beside).unwrap_or(u32::MAX);
        let room: (Size, Size) = (host.used(), host.info.size);
        self.checker.began(now, (key, run), id, beside, room);
        let Some(arrival) = self.truth.get(&key.job) else {
            return;
        };
        let Some(step) = arrival.job.steps.get(usize::from(key.step)) else {
            return;
        };
        let (is_gang, tasks) = (step.gang, step.tasks);
        let whole = Duration::from_secs_f64(arrival.seconds[usize::from(key.step)]);
        let saved = host.runs.get(&key).and_then(|run| run.saved);
        let took = saved.map_or(whole, |saved| saved.left(now, whole));
        let failing = self
            .kinds
            .get(arrival.kind)
            .map_or(0.0, |kind| kind.failure_share);
        let fails_all = self
            .fails_all_until
            .get(&id)
            .is_some_and(|&until| now < until);
        let end = if fails_all {
            (now + QUICK_FAILURE, EndKind::Failed)
        } else if chance(rng, failing) {
            (now + took / 2, EndKind::Failed)
        } else {
            (now + took, EndKind::Done)
        };
        if is_gang {
            let size = usize::try_from(tasks).unwrap_or(0);
            let members = self.gangs.join(key.step_key(), run, (key.index, id), size);
            if let Some(members) = members {
                for (member, host) in members {
                    let task = key.step_key().task(member);
                    self.set_end(now, host, task, run, end);
                }
            } else {
                let timer = Timer::GangTimeout(key.step_key(), run);
                self.timers.push((now + self.gang_wait, timer));
            }
        } else {
            self.set_end(now, id, key, run, end);
        }
        self.tick_later(now, id);
    }

    fn set_end(&mut self, now: Time, host: WorkerId, key: TaskKey, run: u32, end: (Time, EndKind)) {
        if let Some(r) = self.hosts[index(host)].runs.get_mut(&key)
            && r.run == run
        {
            r.ends = Some(end);
        }
        self.tick_later(now, host);
    }

    /// Has a host looked at when the next of its runs ends.
    pub(super) fn tick_later(&mut self, now: Time, host: WorkerId) {
        if let Some((at, _, _)) = self.hosts[index(host)].next_end() {
            self.timers.push((at.max(now), Timer::Tick(host)));
        }
    }

    /// Ends the runs of a host whose time has come.
    pub fn tick(&mut self, now: Time, id: WorkerId) {
        while let Some((at, key, kind)) = self.hosts[index(id)].next_end() {
            if at > now {
                break;
            }
            self.end_run(now, id, key, kind);
        }
        self.touched.push(id);
        self.tick_later(now, id);
    }

    fn end_run(&mut self, now: Time, id: WorkerId, key: TaskKey, kind: EndKind) {
        let saves = self.hosts[index(id)].saves(&key);
        let Some(run) = self.hosts[index(id)].end(now, key, kind) else {
            return;
        };
        self.checker.over(now, key, run, id, Work::of(kind, saves));
        if kind == EndKind::Failed {
            self.checker.failed(key);
        }
        self.gang_ends(now, key, run, kind);
    }

    /// What ends a member of a gang's run ends the others: all are done together, or broken.
    fn gang_ends(&mut self, now: Time, key: TaskKey, run: u32, kind: EndKind) {
        let kind = if kind == EndKind::Done {
            EndKind::Done
        } else {
            EndKind::Interrupted
        };
        for (member, host) in self.gangs.end(key.step_key(), run, key.index) {
            let task = key.step_key().task(member);
            let is_same = self.hosts[index(host)]
                .runs
                .get(&task)
                .is_some_and(|r| r.run == run);
            if is_same && self.hosts[index(host)].end(now, task, kind).is_some() {
                self.checker
                    .over(now, task, run, host, Work::of(kind, false));
                self.touched.push(host);
            }
        }
    }

    /// A gang that is not complete in time ends.
    pub fn gang_timeout(&mut self, now: Time, step: StepKey, run: u32) {
        for i in 0..self.hosts.len() {
            let waiting: Vec<TaskKey> = self.hosts[i]
                .runs
                .iter()
                .filter(|(key, r)| key.step_key() == step && r.run == run && r.ends.is_none())
                .map(|(&key, _)| key)
                .collect();
            let id = WorkerId(u32::try_from(i).unwrap_or(u32::MAX));
            for key in waiting {
                self.end_run(now, id, key, EndKind::Interrupted);
                self.touched.push(id);
            }
        }
    }

    /// An order to stop reaches a host that is up. Returns whether its fence is good.
    pub fn stop(&mut self, now: Time, id: WorkerId, key: TaskKey, run: u32, fence: u64) -> bool {
        let host = &mut self.hosts[index(id)];
        let saves = host.saves(&key);
        let Some(was_there) = host.stop(now, key, run, fence) else {
            return false;
        };
        if was_there {
            let work = Work::of(EndKind::Interrupted, saves);
            self.checker.over(now, key, run, id, work);
            self.gang_ends(now, key, run, EndKind::Interrupted);
            self.touched.push(id);
        }
        true
    }

    /// A poll reaches a host that is up. Returns whether its fence is good.
    pub fn poll(
        &mut self,
        now: Time,
        id: WorkerId,
        fence: u64,
        acknowledged: u64,
        lease_until_ms: Option<u64>,
    ) -> bool {
        let host = &mut self.hosts[index(id)];
        let Some(noted): Option<Vec<EndedRow>> =
            host.poll(now, fence, acknowledged, lease_until_ms)
        else {
            return false;
        };
        for row in noted {
            let kind = row.end.kind;
            self.checker
                .noted(row.end.key, kind == EndKind::Done, kind == EndKind::Failed);
        }
        true
    }

    /// A host crashes with all that runs on it.
    pub fn crash(&mut self, now: Time, id: WorkerId) {
        for (key, run) in self.hosts[index(id)].crash() {
            self.checker.over(now, key, run, id, Work::Lost);
            self.gang_ends(now, key, run, EndKind::Interrupted);
        }
    }
}

fn index(host: WorkerId) -> usize {
    usize::try_from(host.0).unwrap_or(usize::MAX)
}
