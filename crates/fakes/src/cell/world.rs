//! The cell itself: events on virtual time.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use jobs::{JobId, StepKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, LeaseRow, Listing, Now, Poll, PollFailure, PollOrder, SchedConfig, Scheduler,
    StartAnswer, StartOrder, StopOrder, WorkerInfo,
};

use super::{
    approvals::Approvals,
    checker::{JobOutcome, Report},
    faults::{CellFault, Mutation},
    fleet::{Fleet, Timer},
    host::Host,
    load::{Arrival, Kind},
    network::{Fate, Network},
    node::CellNode,
    table::{Lease, Table, Write, Written},
};
use crate::Rng;

/// How long an order or a transaction may go unanswered.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause before a transaction is sent again.
const WRITE_RETRY: Duration = Duration::from_millis(100);
/// How long other nodes take to notice that the scheduler is gone.
const NOTICE: Duration = Duration::from_secs(1);
/// How long a change of the list of hosts takes to be seen.
const DIRECTORY_LAG: Duration = Duration::from_millis(500);
/// How long a host that is gone stays listed: three of its heartbeats.
const UNLISTED: Duration = Duration::from_millis(4_500);
/// How long runs go on after their lease where hosts do not keep to it, in milliseconds.
const OVERRUN_MS: u64 = 8_000;
/// How long a gang waits for its members.
const GANG_WAIT: Duration = Duration::from_secs(3);
/// A scheduler decides at least this often.
const LOOK: Duration = Duration::from_millis(250);
/// Events that come together are handled together.
const PASS: Duration = Duration::from_millis(4);
/// How long after the last arrival and the last fault everything must be over.
const FINISH: Duration = Duration::from_secs(120);
/// Unix time at the start of each run, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

/// What a cell is made of.
#[derive(Clone, Debug)]
pub struct CellSpec {
    /// How many nodes.
    pub nodes: usize,
    /// How many hosts.
    pub hosts: usize,
    /// What each host holds.
    pub host_size: Size,
    /// Hosts in a rack.
    pub rack: usize,
    /// Settings of the schedulers.
    pub sched: SchedConfig,
    /// The kinds of the arrivals.
    pub kinds: Vec<Kind>,
    /// What is submitted.
    pub arrivals: Vec<Arrival>,
    /// What goes wrong, and when.
    pub faults: Vec<(Time, CellFault)>,
    /// A guard that is left out.
    pub mutation: Mutation,
    /// Determines the rest.
    pub seed: u64,
}

impl Default for CellSpec {
    fn default() -> Self {
        Self {
            nodes: 3,
            hosts: 8,
            host_size: Size::new(16_000, 65_536, 0),
            rack: 4,
            sched: SchedConfig::default(),
            kinds: Vec::new(),
            arrivals: Vec::new(),
            faults: Vec::new(),
            mutation: Mutation::None,
            seed: 0,
        }
    }
}

#[derive(Debug)]
enum Event {
    Submit(usize),
    Cancel(JobId),
    Fault(CellFault),
    TakeOver,
    Decide(usize, u64),
    WriteArrives(usize, u64, Box<Write>, bool),
    WriteAnswered(usize, u64, Written),
    WriteAgain(usize, u64),
    Start(Sent, StartOrder),
    StartAnswered(usize, u64, StartOrder, StartAnswer),
    Stop(Sent, StopOrder),
    StopAnswered(usize, u64, StopOrder),
    PollLoop(usize, u64, WorkerId),
    PollArrives(Waiter, u64),
    PollWaited(WorkerId),
    PollAnswered(
        usize,
        u64,
        WorkerId,
        Time,
        Result<Box<Listing>, PollFailure>,
    ),
    Approved(
        usize,
        u64,
        StepKey,
        Vec<Arc<str>>,
        Vec<(Arc<str>, Arc<str>)>,
        Duration,
    ),
    Timer(Timer),
    HostBack(WorkerId),
    HostListed(WorkerId),
    HostUnlisted(WorkerId),
}

/// How an order was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    node: usize,
    life: u64,
    host: WorkerId,
    fence: u64,
    /// For an order that is carried out late: the beginning of the host's life that has received it.
    late: Option<u64>,
}

/// A poll that waits at a host.
#[derive(Clone, Debug)]
struct Waiter {
    node: usize,
    life: u64,
    order: PollOrder,
    sent_at: Time,
    until: Time,
}

/// A cell. See the [module documentation](super).
#[derive(Debug)]
pub struct Cell {
    spec: CellSpec,
    now: Time,
    sequence: u64,
    events: BTreeMap<(Time, u64), Event>,
    nodes: Vec<CellNode>,
    fleet: Fleet,
    waiters: HashMap<WorkerId, Vec<Waiter>>,
    /// The polls that are under way, by node, its life, and the number that it knows the host under.
    polling: HashSet<(usize, u64, WorkerId)>,
    table: Table,
    approvals: Approvals,
    network: Network,
    rng: Rng,
}

impl Cell {
    /// A cell in which nothing has happened yet.
    #[must_use]
    pub fn new(spec: CellSpec) -> Self {
        let mut rng = Rng::new(spec.seed);
        let hosts = (0..spec.hosts)
            .map(|i| make_host(&spec, i, &mut rng))
            .collect();
        let mut fleet = Fleet::new(hosts, spec.kinds.clone(), GANG_WAIT);
        fleet.truth = spec.arrivals.iter().map(|a| (a.id, a.clone())).collect();
        let table = Table::new(spec.mutation == Mutation::NoCondition);
        let mut cell = Self {
            now: Time::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            nodes: (0..spec.nodes).map(CellNode::new).collect(),
            fleet,
            waiters: HashMap::new(),
            polling: HashSet::new(),
            table,
            approvals: Approvals::new(spec.seed),
            network: Network::new(rng.next_u64()),
            rng,
            spec,
        };
        cell.at(Time::ZERO, Event::TakeOver);
        for i in 0..cell.spec.arrivals.len() {
            cell.at(cell.spec.arrivals[i].at, Event::Submit(i));
        }
        for (at, fault) in cell.spec.faults.clone() {
            cell.at(at, Event::Fault(fault));
        }
        cell
    }

    /// Runs until all is over, and judges.
    #[must_use]
    pub fn run(mut self) -> Report {
        let last_arrival = self
            .spec
            .arrivals
            .last()
            .map_or(Time::ZERO, |arrival| arrival.at);
        let last_fault = self
            .spec
            .faults
            .iter()
            .map(|(at, _)| *at)
            .max()
            .unwrap_or_default();
        let end = last_arrival.max(last_fault) + FINISH;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > end || (at > last_arrival.max(last_fault) && self.is_over()) {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.finish()
    }

    fn is_over(&self) -> bool {
        let told = &self.fleet.checker.told;
        let is_over = |id: &JobId| told.get(id).is_some_and(|(state, _)| state.is_final());
        self.fleet.truth.keys().all(is_over)
    }

    fn finish(mut self) -> Report {
        for arrival in &self.spec.arrivals {
            let told = self.fleet.checker.told.get(&arrival.id).copied();
            let is_over = told.is_some_and(|(state, _)| state.is_final());
            if !is_over {
                self.fleet.checker.job_unfinished(arrival.id);
            }
            if self.fleet.checker.is_cancelled(arrival.id) {
                continue;
            }
            let done_at = told.filter(|(state, _)| *state == jobs::State::Completed);
            let started = self
                .fleet
                .checker
                .first_start(arrival.id)
                .unwrap_or(self.now);
            self.fleet.checker.report.served.push(JobOutcome {
                job: arrival.id,
                kind: arrival.kind,
                at: arrival.at,
                took: done_at.map(|(_, at)| at - arrival.at),
                waited: started - arrival.at,
                objective: objective(arrival),
                work: work(arrival),
            });
        }
        let mut report = self.fleet.checker.report;
        report.writes = self.table.writes;
        report.approval_requests = self.approvals.requests;
        report
    }

    fn at(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn moment(&self) -> Now {
        Now {
            time: self.now,
            unix_ms: EPOCH_MS + self.now.as_ms(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(i) => self.submit(i),
            Event::Cancel(id) => self.cancel(id),
            Event::Fault(fault) => self.fault(fault),
            Event::TakeOver => self.take_over(),
            Event::Decide(node, life) => self.decide(node, life),
            Event::WriteArrives(node, life, write, answers) => {
                let written = self.table.write(&write);
                if answers {
                    let at = self.now + self.network.delay();
                    self.at(at, Event::WriteAnswered(node, life, written));
                }
            }
            Event::WriteAnswered(node, life, written) => self.written(node, life, written),
            Event::WriteAgain(node, life) => self.send_write(node, life),
            Event::Start(sent, order) => self.start_arrives(sent, order),
            Event::StartAnswered(node, life, order, answer) => {
                let now = self.moment();
                if let Some(scheduler) = self.live(node, life) {
                    scheduler.start_answered(now, &order, answer);
                    self.decide_soon(node, life);
                }
            }
            Event::Stop(sent, order) => self.stop_arrives(sent, order),
            Event::StopAnswered(node, life, order) => {
                let now = self.moment();
                if let Some(scheduler) = self.live(node, life) {
                    scheduler.stop_answered(now, &order);
                    self.decide_soon(node, life);
                }
            }
            Event::PollLoop(node, life, host) => self.poll_loop(node, life, host),
            Event::PollArrives(waiter, fence) => self.poll_arrives(waiter, fence),
            Event::PollWaited(host) => self.answer_polls(host),
            Event::PollAnswered(node, life, host, sent_at, answer) => {
                self.poll_answered(node, life, host, sent_at, answer);
            }
            Event::Approved(node, life, step, asked, allowed, valid) => {
                let now = self.moment();
                if let Some(scheduler) = self.live(node, life) {
                    scheduler.approved(now, step, &asked, &allowed, valid);
                    self.decide_soon(node, life);
                }
            }
            Event::Timer(Timer::Tick(host)) => {
                self.fleet.tick(self.now, host);
                self.settle();
            }
            Event::Timer(Timer::GangTimeout(step, run)) => {
                self.fleet.gang_timeout(self.now, step, run);
                self.settle();
            }
            Event::HostBack(host) => {
                self.fleet.hosts[index(host)].restart(self.now);
                self.at(self.now + DIRECTORY_LAG, Event::HostListed(host));
            }
            Event::HostUnlisted(host) => {
                let name = self.fleet.hosts[index(host)].name().clone();
                for node in &mut self.nodes {
                    if let Some(scheduler) = &mut node.scheduler {
                        scheduler.worker_unlisted(&name);
                    }
                }
            }
            Event::HostListed(host) => {
                let (now, info) = (self.moment(), self.fleet.hosts[index(host)].info.clone());
                for node in &mut self.nodes {
                    if let Some(scheduler) = &mut node.scheduler {
                        scheduler.worker_listed(now, info.clone());
                    }
                }
            }
        }
    }

    /// The scheduler of a node, if the node still lives the same life and is not paused.
    fn live(&mut self, node: usize, life: u64) -> Option<&mut Scheduler> {
        let node = &mut self.nodes[node];
        if node.life != life {
            return None;
        }
        node.scheduler.as_mut()
    }

    fn decide_soon(&mut self, node: usize, life: u64) {
        self.at(self.now + PASS, Event::Decide(node, life));
    }

    fn submit(&mut self, i: usize) {
        let arrival = self.spec.arrivals[i].clone();
        let (now, id) = (self.moment(), arrival.id);
        let mut job = arrival.job;
        job.accepted_unix_ms = now.unix_ms;
        self.fleet.checker.submitted(id, &job);
        self.table.add_job(id, job.clone());
        if let Some(at) = arrival.cancelled_at {
            self.at(at, Event::Cancel(id));
        }
        for node in 0..self.nodes.len() {
            let life = self.nodes[node].life;
            if let Some(scheduler) = self.live(node, life) {
                scheduler.job_stored(now, id, job.clone());
                self.decide_soon(node, life);
            }
        }
    }

    fn cancel(&mut self, id: JobId) {
        let now = self.moment();
        let is_over = self
            .fleet
            .checker
            .told
            .get(&id)
            .is_some_and(|(state, _)| state.is_final());
        if is_over {
            return;
        }
        self.table.cancel(id);
        self.fleet.checker.cancel_acknowledged(self.now, id);
        for node in 0..self.nodes.len() {
            let life = self.nodes[node].life;
            if let Some(scheduler) = self.live(node, life) {
                scheduler.job_cancelled(now, id);
                self.decide_soon(node, life);
            }
        }
    }

    fn fault(&mut self, fault: CellFault) {
        let scheduling = self.nodes.iter().position(CellNode::schedules);
        let host =
            WorkerId(u32::try_from(self.rng.below(self.fleet.hosts.len() as u64)).unwrap_or(0));
        match fault {
            CellFault::SchedulerDies => {
                if let Some(node) = scheduling {
                    self.nodes[node].die();
                }
                self.at(self.now + NOTICE, Event::TakeOver);
            }
            CellFault::SchedulerReplaced => self.at(self.now, Event::TakeOver),
            CellFault::SchedulerPauses(span) => {
                if let Some(node) = scheduling {
                    self.nodes[node].paused_until = self.now + span;
                }
                self.at(self.now + NOTICE * 2, Event::TakeOver);
            }
            CellFault::AllNodesDie => {
                self.nodes.iter_mut().for_each(CellNode::die);
                self.at(self.now + NOTICE * 2, Event::TakeOver);
            }
            CellFault::HostCrashes(span) => {
                self.fleet.crash(self.now, host);
                self.settle();
                self.at(self.now + span, Event::HostBack(host));
            }
            CellFault::HostGone => {
                self.fleet.crash(self.now, host);
                self.settle();
                self.at(self.now + UNLISTED, Event::HostUnlisted(host));
            }
            CellFault::HostCut(span) => self.network.cut(host, self.now + span),
            CellFault::TableDown(span) => self.network.table_down_until = self.now + span,
            CellFault::OrdersLate(span) => self.network.orders_late_until = self.now + span,
            CellFault::TableAnswersLost(span) => self.network.answers_lost_until = self.now + span,
            CellFault::HostFailsAll(span) => self.fleet.fail_all(host, self.now + span),
        }
    }

    /// A node that does not schedule takes the lease row over, and goes on from the table.
    fn take_over(&mut self) {
        if self.now < self.network.table_down_until {
            self.at(self.now + NOTICE, Event::TakeOver);
            return;
        }
        let idle: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| {
                !self.nodes[node].schedules() && self.now >= self.nodes[node].paused_until
            })
            .collect();
        if idle.is_empty() {
            return;
        }
        let node = idle[usize::try_from(self.rng.below(idle.len() as u64)).unwrap_or(0)];
        let old = self.table.lease.clone();
        let write = Write {
            expected: old.version,
            row: LeaseRow {
                holder: self.nodes[node].name.to_string(),
                address: String::new(),
                epoch: old.row.epoch + 1,
                seq: 0,
            },
            batch: sched::Batch::default(),
        };
        let Written::Stored(version) = self.table.write(&write) else {
            return;
        };
        let now = self.moment();
        let recovered = self.table.read();
        let epoch = write.row.epoch;
        let mut scheduler = Scheduler::new(self.spec.sched, epoch, now, recovered);
        scheduler.set_queues(self.spec.kinds.iter().map(|kind| kind.queue.clone()));
        scheduler.set_approvers(self.nodes.iter().map(|node| node.name.clone()));
        for host in self.fleet.hosts.iter().filter(|host| host.is_up) {
            scheduler.worker_listed(now, host.info.clone());
        }
        self.mutate(&mut scheduler);
        let taking = &mut self.nodes[node];
        taking.die();
        taking.lease = Lease {
            row: write.row,
            version,
        };
        taking.scheduler = Some(scheduler);
        let life = taking.life;
        self.decide_soon(node, life);
    }

    /// Leaves a guard of the takeover out.
    fn mutate(&self, scheduler: &mut Scheduler) {
        let now = self.moment();
        if self.spec.mutation != Mutation::NoLists {
            return;
        }
        for host in &self.fleet.hosts {
            let blank = Listing {
                started_unix_ms: host.info.started_unix_ms,
                clock_ms: host.clock_ms(self.now),
                ..Listing::default()
            };
            if let Some(number) = scheduler.worker_id(host.name()) {
                scheduler.polled(now, number, self.now, &blank);
            }
        }
    }

    fn decide(&mut self, node: usize, life: u64) {
        let now = self.moment();
        let paused = self.nodes[node].paused_until;
        if self.now < paused {
            self.at(paused, Event::Decide(node, life));
            return;
        }
        let writes = self.nodes[node].write.is_some();
        let Some(scheduler) = self.live(node, life) else {
            return;
        };
        if scheduler.is_deposed() {
            self.nodes[node].die();
            return;
        }
        scheduler.decide(now);
        scheduler.request_pass();
        let batch = if writes {
            None
        } else {
            scheduler.take_batch(now)
        };
        let actions = scheduler.take_actions();
        let fence = scheduler.epoch();
        self.fleet.checker.report.decisions += 1;
        if let Some(batch) = batch {
            let lease = &self.nodes[node].lease;
            let write = Write {
                expected: lease.version,
                row: LeaseRow {
                    seq: lease.row.seq + 1,
                    ..lease.row.clone()
                },
                batch,
            };
            self.nodes[node].write = Some(write);
            self.send_write(node, life);
            if self.spec.mutation == Mutation::StartBeforeStored
                && let Some(scheduler) = self.live(node, life)
            {
                scheduler.batch_stored(now);
                self.decide_soon(node, life);
            }
        }
        for action in actions {
            self.carry_out(node, life, fence, action);
        }
        let has_event = self.events.range((self.now, 0)..(self.now + LOOK, 0));
        let is_due =
            |event: &Event| matches!(event, Event::Decide(n, l) if *n == node && *l == life);
        if !has_event.map(|(_, event)| event).any(is_due) {
            self.at(self.now + LOOK, Event::Decide(node, life));
        }
    }

    fn send_write(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life {
            return;
        }
        let Some(write) = self.nodes[node].write.clone() else {
            return;
        };
        let (at, answers) = match self.network.fate_of_write(self.now) {
            Fate::Arrives(at) => (Some(at), true),
            Fate::Unanswered(at) => (Some(at), false),
            Fate::Lost => (None, false),
        };
        if let Some(at) = at {
            self.at(
                at,
                Event::WriteArrives(node, life, Box::new(write), answers),
            );
        }
        if !answers {
            self.at(
                self.now + CALL_TIMEOUT + WRITE_RETRY,
                Event::WriteAgain(node, life),
            );
        }
    }

    fn written(&mut self, node: usize, life: u64, written: Written) {
        let now = self.moment();
        let mutation = self.spec.mutation;
        if self.nodes[node].life != life {
            return;
        }
        let Some(write) = self.nodes[node].write.take() else {
            return;
        };
        let version = match written {
            Written::Stored(version) => version,
            // An earlier try was stored, and its answer was lost.
            Written::Conflict(lease) if lease.row == write.row => lease.version,
            Written::Conflict(_) => {
                self.nodes[node].die();
                return;
            }
        };
        self.nodes[node].lease = Lease {
            row: write.row,
            version,
        };
        if mutation != Mutation::StartBeforeStored
            && let Some(scheduler) = self.live(node, life)
        {
            scheduler.batch_stored(now);
        }
        self.decide_soon(node, life);
    }

    fn carry_out(&mut self, node: usize, life: u64, fence: u64, action: Action) {
        match action {
            Action::Start(order) if !self.may_send(node) => {
                self.unanswered(node, life, order);
            }
            Action::Start(order) => {
                let (fate, sent) = self.send(node, life, fence, order.worker);
                match fate {
                    Fate::Arrives(at) => self.at(at, Event::Start(sent, order)),
                    Fate::Unanswered(at) => {
                        self.at(at, Event::Start(sent, order.clone()));
                        self.unanswered(node, life, order);
                    }
                    Fate::Lost => self.unanswered(node, life, order),
                }
            }
            Action::Stop(order) => {
                let (fate, sent) = self.send(node, life, fence, order.worker);
                match fate {
                    Fate::Arrives(at) | Fate::Unanswered(at) => {
                        self.at(at, Event::Stop(sent, order));
                    }
                    Fate::Lost => {}
                }
            }
            Action::Ask {
                approver,
                step,
                workers,
                cost,
            } => self.ask(node, life, &approver, step, workers, cost),
            Action::Publish { job, state } => {
                self.fleet.checker.state_published(self.now, job, state);
            }
            Action::Wake(worker) => self.at(self.now, Event::PollLoop(node, life, worker)),
            Action::Preempted { .. } => self.fleet.checker.report.preempted += 1,
        }
    }

    fn may_send(&self, node: usize) -> bool {
        let now = self.moment();
        let scheduler = self.nodes[node].scheduler.as_ref();
        scheduler.is_some_and(|scheduler| scheduler.may_send(now))
    }

    /// Sends an order to the host that a scheduler knows under a number.
    fn send(&mut self, node: usize, life: u64, fence: u64, worker: WorkerId) -> (Fate, Sent) {
        let host = self.host_of(node, worker);
        let fate = self.network.fate_of_order(self.now, host);
        let is_late = matches!(fate, Fate::Unanswered(_));
        let late = is_late.then_some(self.fleet.hosts[index(host)].info.started_unix_ms);
        let sent = Sent {
            node,
            life,
            host,
            fence,
            late,
        };
        (fate, sent)
    }

    /// The host that a scheduler knows under a number.
    fn host_of(&self, node: usize, worker: WorkerId) -> WorkerId {
        let scheduler = self.nodes[node].scheduler.as_ref();
        let name = scheduler
            .map(|s| s.worker_info(worker).name.clone())
            .unwrap_or_default();
        self.host_named(&name)
    }

    fn host_named(&self, name: &str) -> WorkerId {
        let i = self
            .fleet
            .hosts
            .iter()
            .position(|host| **host.name() == *name)
            .unwrap_or(0);
        WorkerId(u32::try_from(i).unwrap_or(u32::MAX))
    }

    fn unanswered(&mut self, node: usize, life: u64, order: StartOrder) {
        let answer = StartAnswer::Unknown;
        self.at(
            self.now + CALL_TIMEOUT,
            Event::StartAnswered(node, life, order, answer),
        );
    }

    fn ask(
        &mut self,
        node: usize,
        life: u64,
        approver: &Arc<str>,
        step: StepKey,
        workers: Vec<Arc<str>>,
        cost: Duration,
    ) {
        let at = self.approvals.answer_at(self.now, approver, cost) + self.network.delay() * 2;
        let Some(arrival) = self.fleet.truth.get(&step.job) else {
            return;
        };
        let share = self
            .spec
            .kinds
            .get(arrival.kind)
            .map_or(1.0, |kind| kind.allowed_share);
        let valid = arrival
            .job
            .queue
            .approval
            .map_or(Duration::ZERO, |approval| approval.valid);
        let allowed = workers
            .iter()
            .filter(|worker| {
                self.approvals
                    .is_allowed(step, self.host_named(worker), share)
            })
            .map(|worker| (worker.clone(), Arc::from("ticket")))
            .collect();
        self.at(
            at,
            Event::Approved(node, life, step, workers, allowed, valid),
        );
    }

    /// Whether an order reaches the host that it was sent to. One that a life has received and not carried out
    /// dies with it.
    fn reaches(&self, sent: Sent) -> bool {
        let host = &self.fleet.hosts[index(sent.host)];
        host.is_up
            && sent
                .late
                .is_none_or(|started_unix_ms| started_unix_ms == host.info.started_unix_ms)
    }

    fn start_arrives(&mut self, sent: Sent, order: StartOrder) {
        let Sent { node, life, .. } = sent;
        let answers = sent.late.is_none();
        if !self.reaches(sent) {
            if answers {
                self.unanswered(node, life, order);
            }
            return;
        }
        let answer = self
            .fleet
            .start(self.now, &mut self.rng, sent.host, &order, sent.fence);
        self.settle();
        if answers {
            let at = self.now + self.network.delay();
            self.at(at, Event::StartAnswered(node, life, order, answer));
        }
    }

    fn stop_arrives(&mut self, sent: Sent, order: StopOrder) {
        let (key, run) = (order.key, order.run);
        let is_done =
            self.reaches(sent) && self.fleet.stop(self.now, sent.host, key, run, sent.fence);
        if !is_done {
            return;
        }
        self.settle();
        if sent.late.is_none() {
            let at = self.now + self.network.delay();
            self.at(at, Event::StopAnswered(sent.node, sent.life, order));
        }
    }

    fn poll_loop(&mut self, node: usize, life: u64, worker: WorkerId) {
        let now = self.moment();
        let paused = self.nodes[node].paused_until;
        if self.now < paused {
            self.at(paused, Event::PollLoop(node, life, worker));
            return;
        }
        let is_under_way = self.polling.contains(&(node, life, worker));
        let Some(scheduler) = self.live(node, life) else {
            return;
        };
        if is_under_way {
            return;
        }
        match scheduler.next_poll(now, worker) {
            Poll::Never => {}
            Poll::At(at) => self.at(at.max(self.now + PASS), Event::PollLoop(node, life, worker)),
            Poll::Now(order) => self.send_poll(node, life, order),
        }
    }

    fn send_poll(&mut self, node: usize, life: u64, mut order: PollOrder) {
        let host = self.host_of(node, order.worker);
        if self.spec.mutation == Mutation::AcknowledgeEarly {
            let listed = self.nodes[node].listed.get(&host).copied().unwrap_or(0);
            order.acknowledged = order.acknowledged.max(listed);
        }
        self.polling.insert((node, life, order.worker));
        let fence = self.nodes[node].lease.row.epoch;
        let waiter = Waiter {
            node,
            life,
            sent_at: self.now,
            until: self.now + order.wait,
            order,
        };
        match self.network.fate_of_order(self.now, host) {
            Fate::Arrives(at) if self.fleet.hosts[index(host)].is_up => {
                self.at(at, Event::PollArrives(waiter, fence));
            }
            _ => {
                let at = waiter.until + CALL_TIMEOUT;
                let (worker, sent_at) = (waiter.order.worker, waiter.sent_at);
                let failure = Err(PollFailure::Silent);
                self.at(
                    at,
                    Event::PollAnswered(node, life, worker, sent_at, failure),
                );
            }
        }
    }

    fn poll_arrives(&mut self, waiter: Waiter, fence: u64) {
        let id = if self.nodes[waiter.node].life == waiter.life {
            self.host_of(waiter.node, waiter.order.worker)
        } else {
            return;
        };
        let (now, order) = (self.now, waiter.order.clone());
        let is_current = self
            .fleet
            .poll(now, id, fence, order.acknowledged, order.lease_until_ms);
        if !is_current {
            let answer = Err(PollFailure::Fenced);
            self.answer_poll(&waiter, answer);
            return;
        }
        let until = waiter.until;
        self.waiters.entry(id).or_default().push(waiter);
        self.answer_polls(id);
        self.at(until.max(self.now), Event::PollWaited(id));
        self.fleet.tick_later(self.now, id);
        self.settle();
    }

    /// Takes up what has come of a change on the hosts.
    fn settle(&mut self) {
        for (at, timer) in self.fleet.take_timers() {
            self.at(at, Event::Timer(timer));
        }
        for host in self.fleet.take_changed_hosts() {
            self.answer_polls(host);
        }
    }

    /// Answers the polls at a host that have waited long enough, or for which there is an end.
    fn answer_polls(&mut self, id: WorkerId) {
        let has_ends = self.fleet.hosts[index(id)].has_ends();
        let waiters = self.waiters.remove(&id).unwrap_or_default();
        let (due, waiting): (Vec<Waiter>, Vec<Waiter>) = waiters
            .into_iter()
            .partition(|waiter| has_ends || self.now >= waiter.until);
        self.waiters.insert(id, waiting);
        for waiter in due {
            let listing = self.fleet.hosts[index(id)].list(self.now);
            let answer = if self.fleet.hosts[index(id)].is_up && !self.network.is_cut(self.now, id)
            {
                Ok(Box::new(listing))
            } else {
                Err(PollFailure::Silent)
            };
            self.answer_poll(&waiter, answer);
        }
    }

    fn answer_poll(&mut self, waiter: &Waiter, answer: Result<Box<Listing>, PollFailure>) {
        let at = self.now + self.network.delay();
        let Waiter {
            node,
            life,
            sent_at,
            ..
        } = *waiter;
        self.at(
            at,
            Event::PollAnswered(node, life, waiter.order.worker, sent_at, answer),
        );
    }

    fn poll_answered(
        &mut self,
        node: usize,
        life: u64,
        worker: WorkerId,
        sent_at: Time,
        answer: Result<Box<Listing>, PollFailure>,
    ) {
        let now = self.moment();
        let paused = self.nodes[node].paused_until;
        if self.now < paused {
            self.at(
                paused,
                Event::PollAnswered(node, life, worker, sent_at, answer),
            );
            return;
        }
        self.polling.remove(&(node, life, worker));
        let host = if self.nodes[node].life == life {
            self.host_of(node, worker)
        } else {
            return;
        };
        if let Ok(listing) = &answer
            && let Some(last) = listing.ended.last()
        {
            self.nodes[node].listed.insert(host, last.number);
        }
        let Some(scheduler) = self.live(node, life) else {
            return;
        };
        match answer {
            Ok(listing) => scheduler.polled(now, worker, sent_at, &listing),
            Err(failure) => scheduler.poll_failed(now, worker, failure),
        }
        self.at(self.now, Event::PollLoop(node, life, worker));
        self.decide_soon(node, life);
    }
}

fn make_host(spec: &CellSpec, i: usize, rng: &mut Rng) -> Host {
    // The clock of a host is up to 2 % slow.
    let slow_milli = rng.below(21);
    let info = WorkerInfo {
        name: format!("w{i}").into(),
        address: format!("w{i}"),
        domain: "d1".into(),
        pool: "desk".into(),
        size: spec.host_size,
        rack: Some(format!("r{}", i / spec.rack.max(1))),
        started_unix_ms: 1,
        ..WorkerInfo::default()
    };
    let overrun_ms = if spec.mutation == Mutation::NoLapse {
        OVERRUN_MS
    } else {
        0
    };
    Host::new(info, slow_milli, overrun_ms)
}

fn objective(arrival: &Arrival) -> Duration {
    let chain: f64 = arrival.seconds.iter().sum();
    let queue = &arrival.job.queue;
    queue.target + Duration::from_secs_f64(chain * queue.stretch)
}

fn work(arrival: &Arrival) -> f64 {
    let steps = arrival.job.steps.iter().zip(&arrival.seconds);
    steps
        .map(|(step, seconds)| {
            let cores = f64::from(u32::try_from(step.size.milli_processors).unwrap_or(0)) / 1_000.0;
            f64::from(step.tasks) * cores * seconds
        })
        .sum()
}

pub(super) fn chance(rng: &mut Rng, share: f64) -> bool {
    f64::from(u32::try_from(rng.below(1_000_000)).unwrap_or(0)) < share * 1_000_000.0
}

fn index(host: WorkerId) -> usize {
    usize::try_from(host.0).unwrap_or(usize::MAX)
}
