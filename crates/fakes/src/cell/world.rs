//! The simulation of a cell: an event queue on virtual time that drives schedulers, hosts and the table.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use jobs::{JobId, StepKey, TaskKey, TeamPolicy};
use model::{Size, Time, WorkerId};
use sched::{
    Action, LeaseRow, Listing, Now, PastLeases, Poll, PollFailure, PollOrder, SchedConfig,
    Scheduler, Settlement, StartAnswer, StartOrder, StopOrder, WorkerInfo,
};

use super::{
    approvals::Approvals,
    checker::{JobOutcome, Report},
    crashing::CrashingStep,
    faults::{CellFault, Mutation},
    fleet::{Fleet, Timer},
    host::Host,
    load::{Arrival, Kind},
    network::{Delivery, Network},
    node::CellNode,
    table::{Lease, Table, Write, Written},
};
use crate::Rng;

/// How long a node waits for the answer to an order, a poll or a transaction.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The additional delay before an unanswered transaction is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long the other nodes take to detect that the scheduler has failed.
const FAILURE_DETECTION: Duration = Duration::from_secs(1);
/// How long after a change of the lease row another node has read it at the latest, if the scheduler is suspected then.
const ROW_READ_DELAY: Duration = Duration::from_millis(500);
/// How long other nodes take to open a link to a new scheduler.
const LINK_DELAY: Duration = Duration::from_millis(200);
/// How long after its restart a host appears in the schedulers' list of hosts.
const DIRECTORY_LAG: Duration = Duration::from_millis(500);
/// How long a host that is gone for good stays listed: three heartbeat intervals of 1.5 s each.
const UNLIST_DELAY: Duration = Duration::from_millis(4_500);
/// How long runs continue after their lease under [`Mutation::NoLapse`], in milliseconds.
const OVERRUN_MS: u64 = 8_000;
/// How long the first members of a gang wait for the others before their run is ended.
const GANG_WAIT: Duration = Duration::from_secs(3);
/// The longest time between two decisions of a scheduler.
const DECIDE_INTERVAL: Duration = Duration::from_millis(250);
/// The delay before a decision or a further poll, so that events close together are handled together.
const COALESCE_DELAY: Duration = Duration::from_millis(4);
/// The Unix time at the start of a simulation, in milliseconds.
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The size, load and faults of a simulated cell.
#[derive(Clone, Debug)]
pub struct CellSpec {
    /// The number of nodes that can become the scheduler. 3 by default.
    pub nodes: usize,
    /// The number of hosts. 8 by default.
    pub hosts: usize,
    /// The capacity of each host. 16 processors and 64 GB by default.
    pub host_size: Size,
    /// The number of hosts per rack. 4 by default.
    pub rack: usize,
    /// One host in this many is slow; 0 for none. 0 by default.
    pub slow_host_period: usize,
    /// The factor of the run times on slow hosts.
    pub slow_host_factor: f64,
    /// How clients retry submissions that are refused while the table is unreachable. `None`, the default, stores
    /// such submissions nevertheless.
    pub client_retry: Option<ClientRetry>,
    /// How the table stores jobs, of which it then takes long. `None`, the default, stores them at once and announces
    /// none.
    pub announcing: Option<Announcing>,
    /// The settings of the schedulers.
    pub sched: SchedConfig,
    /// The job kinds, which [`Arrival::kind`] indexes.
    pub kinds: Vec<Kind>,
    /// The teams, with their limits. None by default.
    pub teams: Vec<TeamPolicy>,
    /// The jobs that are submitted, in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// The faults with their times.
    pub faults: Vec<(Time, CellFault)>,
    /// The steps with tasks that crash the hosts that start them.
    pub crashing_steps: Vec<CrashingStep>,
    /// How often a task that crashes its hosts may start after three hosts have crashed under it. 2 by default. It takes
    /// more to find it while hosts crash by themselves.
    pub late_starts: u32,
    /// Whether an order or a poll that is carried out late may be carried out by the next incarnation of its host.
    /// The platform's description does not say. `false` by default.
    pub orders_outlive_hosts: bool,
    /// Whether hosts list the checkpoints of their runs, and gangs save them too. `false` by default.
    pub lists_checkpoints: bool,
    /// How long after the last arrival and the last fault the simulation ends. A job that is not over by then is
    /// reported as a breach. 120 s by default. Tasks under which hosts have crashed run one after the other.
    pub completion_timeout: Duration,
    /// The safeguard that is left out, if any.
    pub mutation: Mutation,
    /// The seed of the random delays, faults and failures.
    pub seed: u64,
}

impl Default for CellSpec {
    fn default() -> Self {
        Self {
            nodes: 3,
            hosts: 8,
            host_size: Size::new(16_000, 65_536, 0),
            rack: 4,
            slow_host_period: 0,
            slow_host_factor: 1.0,
            client_retry: None,
            announcing: None,
            sched: SchedConfig::default(),
            kinds: Vec::new(),
            teams: Vec::new(),
            arrivals: Vec::new(),
            faults: Vec::new(),
            crashing_steps: Vec::new(),
            late_starts: 2,
            orders_outlive_hosts: false,
            lists_checkpoints: false,
            completion_timeout: Duration::from_secs(120),
            mutation: Mutation::None,
            seed: 0,
        }
    }
}

/// How clients retry refused submissions.
#[derive(Clone, Copy, Debug)]
pub struct ClientRetry {
    /// The time after which a client submits again.
    pub after: Duration,
    /// The number of times that a client submits again before it gives up.
    pub limit: u32,
}

/// The storage of jobs that are announced to a scheduler meanwhile. The outcome is told to that scheduler three times
/// out of four.
#[derive(Clone, Copy, Debug)]
pub struct Announcing {
    /// The longest time until a job's row is stored, and the longest time from then until schedulers see it.
    pub store_time: Duration,
    /// One job in this many is never stored.
    pub lost_job_period: u64,
}

/// The events of the simulation. Those of a node carry its index and its incarnation; they are ignored
/// if the node has entered a later incarnation.
#[derive(Debug)]
enum Event {
    /// The index of the arrival, and how many times the submission was refused before.
    Submit(usize, u32),
    Cancel(JobId),
    /// The index of the arrival, and the node that the job was announced to, with its incarnation.
    RowStored(usize, Option<(usize, u64)>),
    RowSeen(usize),
    Settled(usize, (usize, u64), Settlement),
    Fault(CellFault),
    TakeOver,
    /// A node has a link to another one, which schedules in this incarnation.
    Follows(usize, usize, u64),
    Decide(usize, u64),
    WriteArrives(usize, u64, Box<Write>, bool),
    WriteAnswered(usize, u64, Written),
    RetryWrite(usize, u64),
    Start(Sent, StartOrder),
    StartAnswered(usize, u64, StartOrder, StartAnswer),
    Stop(Sent, StopOrder),
    StopAnswered(usize, u64, StopOrder),
    StopFailed(usize, u64, StopOrder),
    NextPoll(usize, u64, WorkerId),
    PollArrives(PendingPoll),
    PollTimeout(WorkerId),
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
    HostRestarts(WorkerId),
    HostIsCut(WorkerId, Duration),
    HostResized(WorkerId, Size),
    HostListed(WorkerId),
    HostUnlisted(WorkerId),
}

/// The sender, the target and the fence of an order.
#[derive(Clone, Copy, Debug)]
struct Sent {
    node: usize,
    incarnation: u64,
    host: WorkerId,
    fence: u64,
    /// Whether the sender waits for an answer that may arrive.
    is_answered: bool,
    /// For an order that is carried out late: the start time of the host incarnation that received it, unless it
    /// survives the end of that incarnation.
    late_incarnation: Option<u64>,
}

/// A long poll that a node has sent to a host.
#[derive(Clone, Debug)]
struct PendingPoll {
    sent: Sent,
    order: PollOrder,
    sent_at: Time,
    deadline: Time,
}

/// A simulated cell. See the [module documentation](super).
#[derive(Debug)]
pub struct Cell {
    spec: CellSpec,
    now: Time,
    sequence: u64,
    events: BTreeMap<(Time, u64), Event>,
    nodes: Vec<CellNode>,
    fleet: Fleet,
    /// The polls that wait at each host, by the host's index.
    pending_polls: HashMap<WorkerId, Vec<PendingPoll>>,
    /// The polls that a node has sent and that were not answered yet, by node, its incarnation, and the worker
    /// id that its scheduler uses.
    open_polls: HashSet<(usize, u64, WorkerId)>,
    /// The jobs whose clients have given up submitting them.
    given_up: HashSet<JobId>,
    /// The ids of the hosts, by name.
    host_ids: HashMap<Arc<str>, WorkerId>,
    table: Table,
    /// When the lease row was last written.
    lease_written_at: Time,
    approvals: Approvals,
    network: Network,
    rng: Rng,
}

impl Cell {
    /// Returns a cell at time zero with its arrivals and faults scheduled.
    #[must_use]
    pub fn new(spec: CellSpec) -> Self {
        let mut rng = Rng::new(spec.seed);
        let hosts: Vec<Host> = (0..spec.hosts)
            .map(|i| make_host(&spec, i, &mut rng))
            .collect();
        let host_ids = (0..)
            .zip(&hosts)
            .map(|(i, host)| (host.name().clone(), WorkerId(i)))
            .collect();
        let mut fleet = Fleet::new(hosts, spec.kinds.clone(), GANG_WAIT);
        fleet.checker.teams.clone_from(&spec.teams);
        for &step in &spec.crashing_steps {
            fleet.add_crashing_step(step);
        }
        fleet.checker.allow_late_starts(spec.late_starts);
        fleet.arrivals = spec.arrivals.iter().map(|a| (a.id, a.clone())).collect();
        let table = Table::new(spec.mutation == Mutation::NoCondition);
        let mut cell = Self {
            now: Time::ZERO,
            sequence: 0,
            events: BTreeMap::new(),
            nodes: (0..spec.nodes).map(CellNode::new).collect(),
            fleet,
            pending_polls: HashMap::new(),
            open_polls: HashSet::new(),
            given_up: HashSet::new(),
            host_ids,
            table,
            lease_written_at: Time::ZERO,
            approvals: Approvals::new(spec.seed),
            network: Network::new(rng.next_u64()),
            rng,
            spec,
        };
        cell.schedule(Time::ZERO, Event::TakeOver);
        for i in 0..cell.spec.arrivals.len() {
            cell.schedule(cell.spec.arrivals[i].at, Event::Submit(i, 0));
        }
        for (at, fault) in cell.spec.faults.clone() {
            cell.schedule(at, Event::Fault(fault));
        }
        cell
    }

    /// Runs until all jobs are over or the time limit is reached, and returns what was found.
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
        let end = last_arrival.max(last_fault) + self.spec.completion_timeout;
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
        let published = &self.fleet.checker.published;
        let is_over = |id: &JobId| published.get(id).is_some_and(|(state, _)| state.is_final());
        let has_ended = |id: &JobId| is_over(id) || self.given_up.contains(id);
        let are_hosts_idle = self.fleet.hosts.iter().all(|host| host.runs.is_empty());
        let has_rows = self.table.rows_without_job() > 0;
        self.fleet.arrivals.keys().all(has_ended) && are_hosts_idle && !has_rows
    }

    fn finish(mut self) -> Report {
        self.fleet.checker.finish(self.now);
        for arrival in &self.spec.arrivals {
            let published = self.fleet.checker.published.get(&arrival.id).copied();
            let is_over = published.is_some_and(|(state, _)| state.is_final());
            if !is_over && !self.given_up.contains(&arrival.id) {
                self.fleet.checker.job_unfinished(arrival.id);
            }
            if self.fleet.checker.is_cancelled(arrival.id) {
                continue;
            }
            let done_at = published.filter(|(state, _)| *state == jobs::State::Completed);
            let started = self
                .fleet
                .checker
                .first_start(arrival.id)
                .unwrap_or(self.now);
            self.fleet.checker.report.outcomes.push(JobOutcome {
                job: arrival.id,
                kind: arrival.kind,
                at: arrival.at,
                took: done_at.map(|(_, at)| at - arrival.at),
                waited: started - arrival.at,
                objective: time_objective(arrival),
                work: total_work(arrival),
            });
        }
        let mut report = self.fleet.checker.report;
        report.writes = self.table.writes;
        report.rows_without_job = self.table.rows_without_job();
        report.approval_requests = self.approvals.requests;
        report
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn scheduler_now(&self) -> Now {
        Now {
            time: self.now,
            unix_ms: START_UNIX_MS + self.now.as_ms(),
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(i, refusals) => self.submit(i, refusals),
            Event::Cancel(id) => self.cancel(id),
            Event::RowStored(i, announced_to) => self.row_stored(i, announced_to),
            Event::RowSeen(i) => self.row_seen(i),
            Event::Settled(i, (node, incarnation), settlement) => {
                let (now, id) = (self.scheduler_now(), self.spec.arrivals[i].id);
                if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                    scheduler.job_settled(now, id, 0, settlement);
                    self.schedule_decision(node, incarnation);
                }
            }
            Event::Fault(fault) => self.inject_fault(fault),
            Event::TakeOver => self.take_over(),
            Event::Follows(follower, node, incarnation) => {
                self.follow(follower, node, incarnation);
            }
            Event::Decide(node, incarnation) => self.decide(node, incarnation),
            Event::WriteArrives(node, incarnation, write, answers) => {
                let written = self.write_table(&write);
                if answers {
                    let at = self.now + self.network.delay();
                    self.schedule(at, Event::WriteAnswered(node, incarnation, written));
                }
            }
            Event::WriteAnswered(node, incarnation, written) => {
                self.write_answered(node, incarnation, written);
            }
            Event::RetryWrite(node, incarnation) => self.send_write(node, incarnation),
            Event::Start(sent, order) => self.start_arrives(sent, order),
            Event::StartAnswered(node, incarnation, order, answer) => {
                let now = self.scheduler_now();
                if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                    scheduler.start_answered(now, &order, answer);
                    self.schedule_decision(node, incarnation);
                }
            }
            Event::Stop(sent, order) => self.stop_arrives(sent, order),
            Event::StopAnswered(node, incarnation, order) => {
                let now = self.scheduler_now();
                if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                    scheduler.stop_answered(now, &order);
                    self.schedule_decision(node, incarnation);
                }
            }
            Event::StopFailed(node, incarnation, order) => {
                let now = self.scheduler_now();
                if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                    scheduler.stop_failed(now, &order);
                    self.schedule_decision(node, incarnation);
                }
            }
            Event::NextPoll(node, incarnation, host) => {
                self.continue_polling(node, incarnation, host);
            }
            Event::PollArrives(poll) => self.poll_arrives(poll),
            Event::PollTimeout(host) => self.answer_polls(host),
            Event::PollAnswered(node, incarnation, host, sent_at, answer) => {
                self.poll_answered(node, incarnation, host, sent_at, answer);
            }
            Event::Approved(node, incarnation, step, asked, allowed, valid) => {
                let now = self.scheduler_now();
                if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                    scheduler.approved(now, step, &asked, &allowed, valid);
                    self.schedule_decision(node, incarnation);
                }
            }
            Event::Timer(Timer::Tick(host)) => {
                self.fleet.tick(self.now, host);
                self.process_host_changes();
            }
            Event::Timer(Timer::GangTimeout(step, run)) => {
                self.fleet.gang_timeout(self.now, step, run);
                self.process_host_changes();
            }
            Event::Timer(Timer::Crash(host, key, run)) => self.crash_by_task(host, key, run),
            Event::HostIsCut(host, span) => self.network.cut(host, self.now + span),
            Event::HostResized(host, size) => {
                self.fleet.hosts[index(host)].resize(self.now, size);
                self.schedule(self.now + DIRECTORY_LAG, Event::HostListed(host));
            }
            // A host that has crashed while it was down starts once.
            Event::HostRestarts(host) if self.fleet.hosts[index(host)].is_up => {}
            Event::HostRestarts(host) => {
                self.fleet.hosts[index(host)].restart(self.now);
                self.schedule(self.now + DIRECTORY_LAG, Event::HostListed(host));
            }
            Event::HostUnlisted(_) | Event::HostListed(_)
                if self.now < self.network.directory_stuck_until =>
            {
                self.schedule(self.network.directory_stuck_until, event);
            }
            Event::HostUnlisted(host) => self.unlist_host(host),
            Event::HostListed(host) => self.list_host(host),
        }
    }

    fn unlist_host(&mut self, host: WorkerId) {
        let name = self.fleet.hosts[index(host)].name().clone();
        for node in &mut self.nodes {
            if let Some(scheduler) = &mut node.scheduler {
                scheduler.worker_unlisted(&name);
            }
        }
    }

    fn list_host(&mut self, host: WorkerId) {
        let now = self.scheduler_now();
        let info = self.fleet.hosts[index(host)].info.clone();
        for node in &mut self.nodes {
            if let Some(scheduler) = &mut node.scheduler {
                scheduler.worker_listed(now, info.clone());
            }
        }
    }

    /// Returns the scheduler of a node, if the node runs one and is still in that incarnation.
    fn scheduler_of(&mut self, node: usize, incarnation: u64) -> Option<&mut Scheduler> {
        let node = &mut self.nodes[node];
        if node.incarnation != incarnation {
            return None;
        }
        node.scheduler.as_mut()
    }

    fn schedule_decision(&mut self, node: usize, incarnation: u64) {
        self.schedule(self.now + COALESCE_DELAY, Event::Decide(node, incarnation));
    }

    fn submit(&mut self, i: usize, refusals: u32) {
        let arrival = self.spec.arrivals[i].clone();
        if self.now < self.network.table_down_until
            && let Some(retry) = self.spec.client_retry
        {
            if refusals < retry.limit {
                self.schedule(self.now + retry.after, Event::Submit(i, refusals + 1));
            } else {
                self.given_up.insert(arrival.id);
            }
            return;
        }
        self.spec.arrivals[i].job.accepted_unix_ms = self.scheduler_now().unix_ms;
        match self.spec.announcing {
            Some(announcing) => self.announce(i, announcing),
            None => self.row_stored(i, None),
        }
    }

    /// Announces a job to one of the schedulers, and begins to store its row.
    fn announce(&mut self, i: usize, announcing: Announcing) {
        let now = self.scheduler_now();
        let Arrival { id, job, .. } = self.spec.arrivals[i].clone();
        let scheduling: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| self.nodes[node].is_scheduling())
            .collect();
        let chosen = self.rng.below(scheduling.len().max(1) as u64);
        let node = scheduling.get(usize::try_from(chosen).unwrap_or(0));
        let is_trusted = self.spec.mutation == Mutation::TrustAnnouncements;
        let announced_to = node.map(|&node| (node, self.nodes[node].incarnation));
        if let Some((node, incarnation)) = announced_to
            && let Some(scheduler) = self.scheduler_of(node, incarnation)
        {
            scheduler.job_announced(now, id, job, 0);
            if is_trusted {
                scheduler.job_settled(now, id, 0, Settlement::Stored);
            }
            self.schedule_decision(node, incarnation);
        }
        let at = self.now + self.random_time(announcing.store_time);
        if self.rng.below(announcing.lost_job_period) > 0 {
            self.schedule(at, Event::RowStored(i, announced_to));
        } else {
            self.given_up.insert(id);
            self.settle(at, i, announced_to, Settlement::NotStored);
        }
    }

    /// Tells a scheduler the outcome of an announcement, three times out of four.
    fn settle(
        &mut self,
        at: Time,
        i: usize,
        announced_to: Option<(usize, u64)>,
        settlement: Settlement,
    ) {
        if let Some(to) = announced_to
            && self.rng.below(4) > 0
        {
            let at = at + self.network.delay();
            self.schedule(at, Event::Settled(i, to, settlement));
        }
    }

    /// Returns a time from zero up to `longest`.
    fn random_time(&mut self, longest: Duration) -> Duration {
        let ms = u64::try_from(longest.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.rng.below(ms.max(1)))
    }

    fn row_stored(&mut self, i: usize, announced_to: Option<(usize, u64)>) {
        let arrival = self.spec.arrivals[i].clone();
        self.fleet.checker.submitted(arrival.id, &arrival.job);
        self.table.add_job(arrival.id, arrival.job);
        if let Some(at) = arrival.cancelled_at {
            self.schedule(at.max(self.now), Event::Cancel(arrival.id));
        }
        self.settle(self.now, i, announced_to, Settlement::Stored);
        match self.spec.announcing {
            Some(announcing) => {
                let at = self.now + self.random_time(announcing.store_time);
                self.schedule(at, Event::RowSeen(i));
            }
            None => self.row_seen(i),
        }
    }

    /// Passes a job's row to all schedulers.
    fn row_seen(&mut self, i: usize) {
        let now = self.scheduler_now();
        let Arrival { id, job, .. } = self.spec.arrivals[i].clone();
        for node in 0..self.nodes.len() {
            let incarnation = self.nodes[node].incarnation;
            if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                scheduler.job_stored(now, id, job.clone());
                self.schedule_decision(node, incarnation);
            }
        }
    }

    fn cancel(&mut self, id: JobId) {
        let now = self.scheduler_now();
        let is_over = self
            .fleet
            .checker
            .published
            .get(&id)
            .is_some_and(|(state, _)| state.is_final());
        if is_over {
            return;
        }
        self.table.cancel(id);
        self.fleet.checker.cancel_acknowledged(self.now, id);
        if self.spec.mutation == Mutation::IgnoreCancels {
            return;
        }
        for node in 0..self.nodes.len() {
            let incarnation = self.nodes[node].incarnation;
            if let Some(scheduler) = self.scheduler_of(node, incarnation) {
                scheduler.job_cancelled(now, id);
                self.schedule_decision(node, incarnation);
            }
        }
    }

    fn inject_fault(&mut self, fault: CellFault) {
        let active_node = self.nodes.iter().position(CellNode::is_scheduling);
        let host =
            WorkerId(u32::try_from(self.rng.below(self.fleet.hosts.len() as u64)).unwrap_or(0));
        match fault {
            CellFault::SchedulerDies => {
                if let Some(node) = active_node {
                    self.nodes[node].reset();
                }
                self.schedule(self.now + FAILURE_DETECTION, Event::TakeOver);
            }
            CellFault::SchedulerGone => {
                if let Some(node) = active_node {
                    self.nodes[node].reset();
                    self.nodes[node].is_gone = true;
                }
                self.schedule(self.now + FAILURE_DETECTION, Event::TakeOver);
            }
            CellFault::SchedulerReplaced => self.schedule(self.now, Event::TakeOver),
            CellFault::SchedulerPauses(span) => {
                if let Some(node) = active_node {
                    self.nodes[node].paused_until = self.now + span;
                }
                self.schedule(self.now + FAILURE_DETECTION * 2, Event::TakeOver);
            }
            CellFault::AllNodesDie => {
                self.nodes.iter_mut().for_each(CellNode::reset);
                self.schedule(self.now + FAILURE_DETECTION * 2, Event::TakeOver);
            }
            CellFault::HostCrashes(span) => {
                self.fleet.crash(self.now, host);
                self.process_host_changes();
                self.schedule(self.now + span, Event::HostRestarts(host));
            }
            CellFault::HostsCrash(percent, span) => {
                self.crash_hosts(percent, span);
            }
            CellFault::HostsRecut {
                percent,
                down,
                up,
                cut,
            } => {
                for host in self.crash_hosts(percent, down) {
                    self.schedule(self.now + down + up, Event::HostIsCut(host, cut));
                }
            }
            CellFault::HostGone => {
                self.fleet.crash(self.now, host);
                self.process_host_changes();
                self.schedule(self.now + UNLIST_DELAY, Event::HostUnlisted(host));
            }
            CellFault::HostCut(span) => self.network.cut(host, self.now + span),
            CellFault::HostCutFromOthers(span) => {
                if let Some(node) = active_node {
                    self.network.cut_from_others(host, node, self.now + span);
                }
            }
            CellFault::HostsSplit(span) => {
                if let Some(node) = active_node {
                    self.split_hosts(node, self.now + span);
                }
            }
            CellFault::SchedulerCutFromTable(span) => {
                if let Some(node) = active_node {
                    self.network.cut_from_table(node, self.now + span);
                }
                self.schedule(self.now + FAILURE_DETECTION, Event::TakeOver);
            }
            CellFault::TableDown(span) => self.network.table_down_until = self.now + span,
            CellFault::TableSlow(span) => self.network.table_slow_until = self.now + span,
            CellFault::OrdersLate(span) => self.network.orders_late_until = self.now + span,
            CellFault::TableAnswersLost(span) => self.network.answers_lost_until = self.now + span,
            CellFault::HostFailsAll(span) => self.fleet.fail_all(host, self.now + span),
            CellFault::HostUnhealthy(span) => {
                self.fleet.make_unhealthy(host, self.now + span, false);
            }
            CellFault::HostFlaps(span) => self.fleet.make_unhealthy(host, self.now + span, true),
            CellFault::HostAnswersCut(span) => self.network.cut_answers(host, self.now + span),
            CellFault::OrdersReset(span) => self.network.orders_reset_until = self.now + span,
            CellFault::OrdersRefused(span) => self.network.orders_refused_until = self.now + span,
            CellFault::HostShrinks(span) => {
                let Size {
                    milli_processors,
                    memory_mb,
                    accelerators,
                } = self.spec.host_size;
                let half = Size::new(milli_processors / 2, memory_mb / 2, accelerators / 2);
                self.schedule(self.now, Event::HostResized(host, half));
                let whole = Event::HostResized(host, self.spec.host_size);
                self.schedule(self.now + span, whole);
            }
            CellFault::DirectoryStuck(span) => {
                let until = &mut self.network.directory_stuck_until;
                *until = (*until).max(self.now + span);
            }
        }
    }

    /// Leaves every other host to one node, and the rest to the other nodes.
    fn split_hosts(&mut self, node: usize, until: Time) {
        for host in 0..u32::try_from(self.fleet.hosts.len()).unwrap_or(0) {
            if host % 2 == 0 {
                self.network.cut_from_others(WorkerId(host), node, until);
            } else {
                self.network.cut_from_one(WorkerId(host), node, until);
            }
        }
    }

    /// Crashes this percentage of the hosts, at least one. Those that are down already count. Returns the others.
    fn crash_hosts(&mut self, percent: u32, span: Duration) -> Vec<WorkerId> {
        let mut crashed = Vec::new();
        let mut hosts: Vec<usize> = (0..self.fleet.hosts.len()).collect();
        let count = hosts.len() * usize::try_from(percent).unwrap_or(100) / 100;
        for _ in 0..count.max(1) {
            let chosen = self.rng.below(hosts.len() as u64);
            let host = hosts.swap_remove(usize::try_from(chosen).unwrap_or(0));
            if !self.fleet.hosts[host].is_up {
                continue;
            }
            let id = WorkerId(u32::try_from(host).unwrap_or(0));
            self.fleet.crash(self.now, id);
            self.process_host_changes();
            self.schedule(self.now + span, Event::HostRestarts(id));
            crashed.push(id);
        }
        crashed
    }

    /// Crashes a host if it still has the run of a task that crashes its hosts.
    fn crash_by_task(&mut self, host: WorkerId, key: TaskKey, run: u32) {
        if let Some(down) = self.fleet.crash_by_task(self.now, host, key, run) {
            self.process_host_changes();
            self.schedule(self.now + down, Event::HostRestarts(host));
        }
    }

    /// Makes a random node that is not scheduling take over the lease row and recover from the table.
    fn take_over(&mut self) {
        if self.now < self.network.table_down_until {
            self.schedule(self.now + FAILURE_DETECTION, Event::TakeOver);
            return;
        }
        let idle: Vec<usize> = (0..self.nodes.len())
            .filter(|&node| {
                let node = &self.nodes[node];
                !node.is_scheduling() && !node.is_gone && self.now >= node.paused_until
            })
            .collect();
        if idle.is_empty() {
            return;
        }
        let node = idle[usize::try_from(self.rng.below(idle.len() as u64)).unwrap_or(0)];
        let mut old = self.table.lease.clone();
        if self.spec.mutation == Mutation::TakeForStopped {
            old.row.holder.clear();
        }
        let now = self.scheduler_now();
        let name = self.nodes[node].name.clone();
        let seen_at = self.now.min(self.lease_written_at + ROW_READ_DELAY);
        let past = PastLeases::from_row(now.time, seen_at, &old.row, &name, &self.spec.sched);
        let mut row = LeaseRow {
            holder: name.to_string(),
            address: String::new(),
            epoch: old.row.next_epoch(),
            seq: 0,
            leases: Some(past.to_row(now.time)),
        };
        if self.spec.mutation == Mutation::ForgetRenewers {
            forget_renewers(&mut row);
        }
        let write = Write {
            expected: old.version,
            row,
            batch: sched::Batch::default(),
        };
        let Written::Stored(version) = self.write_table(&write) else {
            return;
        };
        let mut recovered = self.table.read();
        recovered.leases = Some(past);
        if self.spec.mutation == Mutation::IgnoreOrphans {
            let ids: HashSet<JobId> = recovered.jobs.iter().map(|(id, _)| *id).collect();
            recovered.progress.retain(|id, _| ids.contains(id));
        }
        let epoch = write.row.epoch;
        let mut scheduler = Scheduler::new(self.spec.sched, epoch, now, recovered);
        scheduler.set_queues(self.spec.kinds.iter().map(|kind| kind.queue.clone()));
        scheduler.set_teams(self.spec.teams.iter().cloned());
        scheduler.set_approvers(self.nodes.iter().map(|node| node.name.clone()));
        for host in self.fleet.hosts.iter().filter(|host| host.is_up) {
            scheduler.worker_listed(now, host.info.clone());
        }
        scheduler.workers_read(now, now.time);
        self.apply_takeover_mutation(&mut scheduler);
        let new_active = &mut self.nodes[node];
        new_active.reset();
        new_active.lease = Lease {
            row: write.row,
            version,
        };
        new_active.scheduler = Some(scheduler);
        let incarnation = new_active.incarnation;
        self.schedule_decision(node, incarnation);
        for other in (0..self.nodes.len()).filter(|&other| other != node) {
            let at = self.now + LINK_DELAY;
            self.schedule(at, Event::Follows(other, node, incarnation));
        }
    }

    fn write_table(&mut self, write: &Write) -> Written {
        let written = self.table.write(write);
        if matches!(written, Written::Stored(_)) {
            self.lease_written_at = self.now;
        }
        written
    }

    /// Tells a scheduler that another node follows it, once that node schedules no longer.
    fn follow(&mut self, follower: usize, node: usize, incarnation: u64) {
        let other = &self.nodes[follower];
        let at = (self.now + LINK_DELAY).max(other.paused_until);
        if other.is_gone || self.nodes[node].incarnation != incarnation {
            return;
        }
        if other.is_scheduling() || self.now < other.paused_until {
            self.schedule(at, Event::Follows(follower, node, incarnation));
            return;
        }
        let (now, name) = (self.scheduler_now(), other.name.clone());
        if let Some(scheduler) = self.scheduler_of(node, incarnation) {
            scheduler.node_follows(now, &name);
        }
    }

    /// Under [`Mutation::NoLists`], makes a new scheduler believe that every host has listed no runs.
    fn apply_takeover_mutation(&self, scheduler: &mut Scheduler) {
        let now = self.scheduler_now();
        if self.spec.mutation != Mutation::NoLists {
            return;
        }
        for host in &self.fleet.hosts {
            let empty = Listing {
                started_unix_ms: host.info.started_unix_ms,
                clock_ms: host.clock_ms(self.now),
                ..Listing::default()
            };
            if let Some(number) = scheduler.worker_id(host.name()) {
                scheduler.polled(now, number, self.now, &empty);
            }
        }
    }

    fn decide(&mut self, node: usize, incarnation: u64) {
        let now = self.scheduler_now();
        let paused = self.nodes[node].paused_until;
        if self.now < paused {
            self.schedule(paused, Event::Decide(node, incarnation));
            return;
        }
        let is_writing = self.nodes[node].write.is_some();
        let has_directory = self.now > self.network.directory_stuck_until;
        let Some(scheduler) = self.scheduler_of(node, incarnation) else {
            return;
        };
        if scheduler.is_deposed() {
            self.nodes[node].reset();
            return;
        }
        if has_directory {
            scheduler.workers_read(now, now.time);
        }
        scheduler.decide(now);
        scheduler.request_pass();
        let batch = if is_writing {
            None
        } else {
            scheduler.take_batch(now)
        };
        let actions = scheduler.take_actions();
        self.fleet.checker.report.decisions += 1;
        if let Some(batch) = batch {
            let lease = &self.nodes[node].lease;
            let mut row = LeaseRow {
                seq: lease.row.seq + 1,
                leases: batch.leases.clone(),
                ..lease.row.clone()
            };
            match self.spec.mutation {
                Mutation::KeepBounds => keep_bounds(&lease.row, &mut row),
                Mutation::ForgetRenewers => forget_renewers(&mut row),
                _ => {}
            }
            let write = Write {
                expected: lease.version,
                row,
                batch,
            };
            self.nodes[node].write = Some(write);
            self.send_write(node, incarnation);
            if self.spec.mutation == Mutation::StartBeforeStored
                && let Some(scheduler) = self.scheduler_of(node, incarnation)
            {
                scheduler.batch_stored(now);
                self.schedule_decision(node, incarnation);
            }
        }
        for action in actions {
            self.execute(node, incarnation, action);
        }
        let upcoming = self
            .events
            .range((self.now, 0)..(self.now + DECIDE_INTERVAL, 0));
        let is_due =
            |event: &Event| matches!(event, Event::Decide(n, i) if *n == node && *i == incarnation);
        if !upcoming.map(|(_, event)| event).any(is_due) {
            self.schedule(self.now + DECIDE_INTERVAL, Event::Decide(node, incarnation));
        }
    }

    fn send_write(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let Some(write) = self.nodes[node].write.clone() else {
            return;
        };
        let (at, answers) = match self.network.deliver_write(self.now, node) {
            Delivery::Arrives(at) => (Some(at), true),
            Delivery::Unanswered(at) | Delivery::Reset(at, _) => (Some(at), false),
            Delivery::Lost => (None, false),
        };
        if let Some(at) = at {
            self.schedule(
                at,
                Event::WriteArrives(node, incarnation, Box::new(write), answers),
            );
        }
        if !answers {
            self.schedule(
                self.now + CALL_TIMEOUT + WRITE_RETRY_DELAY,
                Event::RetryWrite(node, incarnation),
            );
        }
    }

    fn write_answered(&mut self, node: usize, incarnation: u64, written: Written) {
        let now = self.scheduler_now();
        let mutation = self.spec.mutation;
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let Some(write) = self.nodes[node].write.take() else {
            return;
        };
        let version = match written {
            Written::Stored(version) => version,
            // An earlier attempt was stored and its answer was lost.
            Written::Conflict(lease) if lease.row == write.row => lease.version,
            Written::Conflict(_) => {
                self.nodes[node].reset();
                return;
            }
        };
        self.nodes[node].lease = Lease {
            row: write.row,
            version,
        };
        if mutation != Mutation::StartBeforeStored
            && let Some(scheduler) = self.scheduler_of(node, incarnation)
        {
            scheduler.batch_stored(now);
        }
        self.schedule_decision(node, incarnation);
    }

    fn execute(&mut self, node: usize, incarnation: u64, action: Action) {
        match action {
            Action::Start(order) if !self.may_send(node) => {
                self.start_unanswered(node, incarnation, order);
            }
            Action::Start(mut order) => {
                if let Some(noticed_at) = self.network.refuse_order(self.now) {
                    let answer = StartAnswer::Unknown;
                    let event = Event::StartAnswered(node, incarnation, order, answer);
                    self.schedule(noticed_at, event);
                    return;
                }
                match self.spec.mutation {
                    Mutation::OtherSpec => order.spec.push('x'),
                    Mutation::OtherCheckpoint if !order.checkpoint.is_empty() => {
                        order.checkpoint.push('x');
                    }
                    Mutation::UnknownTask => order.key.index = u32::MAX,
                    _ => {}
                }
                let (delivery, sent) = self.send(node, incarnation, order.fence, order.worker);
                match delivery {
                    Delivery::Arrives(at) => self.schedule(at, Event::Start(sent, order)),
                    Delivery::Unanswered(at) => {
                        self.schedule(at, Event::Start(sent, order.clone()));
                        self.start_unanswered(node, incarnation, order);
                    }
                    Delivery::Reset(at, noticed_at) => {
                        self.schedule(at, Event::Start(sent, order.clone()));
                        let answer = StartAnswer::Unknown;
                        self.schedule(
                            noticed_at,
                            Event::StartAnswered(node, incarnation, order, answer),
                        );
                    }
                    Delivery::Lost => self.start_unanswered(node, incarnation, order),
                }
            }
            Action::Stop(order) if self.spec.mutation == Mutation::NoStops => {
                let at = self.now + self.network.delay();
                self.schedule(at, Event::StopAnswered(node, incarnation, order));
            }
            Action::Stop(order) => {
                if let Some(noticed_at) = self.network.refuse_order(self.now) {
                    self.schedule(noticed_at, Event::StopFailed(node, incarnation, order));
                    return;
                }
                let fence = self.fence(node, order.worker);
                let (delivery, sent) = self.send(node, incarnation, fence, order.worker);
                let timeout = self.now + CALL_TIMEOUT;
                let (at, failed_at) = match delivery {
                    Delivery::Arrives(at) => (Some(at), None),
                    Delivery::Unanswered(at) => (Some(at), Some(timeout)),
                    Delivery::Reset(at, noticed_at) => (Some(at), Some(noticed_at)),
                    Delivery::Lost => (None, Some(timeout)),
                };
                if let Some(at) = at {
                    self.schedule(at, Event::Stop(sent, order));
                }
                if let Some(at) = failed_at {
                    self.schedule(at, Event::StopFailed(node, incarnation, order));
                }
            }
            Action::Ask {
                approver,
                step,
                workers,
                cost,
            } => self.request_approval(node, incarnation, &approver, step, workers, cost),
            Action::Publish { job, state } => {
                self.fleet.checker.state_published(self.now, job, state);
            }
            Action::Wake(worker) => {
                self.schedule(self.now, Event::NextPoll(node, incarnation, worker));
            }
            Action::Preempted { .. } => self.fleet.checker.report.preempted += 1,
            Action::Interrupted { .. }
            | Action::Crashed { .. }
            | Action::GivenUp { .. }
            | Action::Stray { .. }
            | Action::EndIgnored { .. }
            | Action::LapseAwaited { .. }
            | Action::Restarted { .. }
            | Action::StopsOverdue { .. }
            | Action::Waits { .. }
            | Action::StartsHeld(_) => {}
        }
    }

    /// Returns the fencing token of a node's scheduler for a worker.
    fn fence(&self, node: usize, worker: WorkerId) -> u64 {
        let scheduler = self.nodes[node].scheduler.as_ref();
        scheduler.map_or(0, |scheduler| scheduler.fence(worker))
    }

    fn may_send(&self, node: usize) -> bool {
        let now = self.scheduler_now();
        let scheduler = self.nodes[node].scheduler.as_ref();
        scheduler.is_some_and(|scheduler| scheduler.may_send(now))
    }

    /// Draws the delivery of an order to a worker of a node's scheduler.
    fn send(
        &mut self,
        node: usize,
        incarnation: u64,
        fence: u64,
        worker: WorkerId,
    ) -> (Delivery, Sent) {
        let host = self.host_of(node, worker);
        let delivery = self.network.deliver_order(self.now, host, node);
        let is_late = matches!(delivery, Delivery::Unanswered(_) | Delivery::Reset(..));
        let started_unix_ms = self.fleet.hosts[index(host)].info.started_unix_ms;
        let sent = Sent {
            node,
            incarnation,
            host,
            fence,
            is_answered: matches!(delivery, Delivery::Arrives(_)),
            late_incarnation: (is_late && !self.spec.orders_outlive_hosts)
                .then_some(started_unix_ms),
        };
        (delivery, sent)
    }

    /// Returns the host behind a worker id. Each scheduler assigns its own worker ids, so that the host is
    /// found by its name.
    fn host_of(&self, node: usize, worker: WorkerId) -> WorkerId {
        let scheduler = self.nodes[node].scheduler.as_ref();
        let name = scheduler
            .map(|s| s.worker_info(worker).name.clone())
            .unwrap_or_default();
        self.host_named(&name)
    }

    fn host_named(&self, name: &str) -> WorkerId {
        self.host_ids.get(name).copied().unwrap_or(WorkerId(0))
    }

    fn start_unanswered(&mut self, node: usize, incarnation: u64, order: StartOrder) {
        let answer = StartAnswer::Unknown;
        self.schedule(
            self.now + CALL_TIMEOUT,
            Event::StartAnswered(node, incarnation, order, answer),
        );
    }

    fn request_approval(
        &mut self,
        node: usize,
        incarnation: u64,
        approver: &Arc<str>,
        step: StepKey,
        workers: Vec<Arc<str>>,
        cost: Duration,
    ) {
        let issued_at = self.approvals.answer_at(self.now, approver, cost);
        let at = issued_at + self.network.delay() * 2;
        let Some(arrival) = self.fleet.arrivals.get(&step.job) else {
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
        let mut allowed = Vec::new();
        for worker in &workers {
            let host = self.host_named(worker);
            if self.approvals.is_allowed(step, host, share) {
                let born = self.fleet.hosts[index(host)].info.started_unix_ms;
                let ticket = self.approvals.issue(step, host, born, issued_at + valid);
                allowed.push((worker.clone(), ticket));
            }
        }
        self.schedule(
            at,
            Event::Approved(node, incarnation, step, workers, allowed, valid),
        );
    }

    /// Returns whether the host that an order was sent to carries it out. The host must be up, and a late
    /// order is lost if the host has restarted since it received it.
    fn is_received(&self, sent: Sent) -> bool {
        let host = &self.fleet.hosts[index(sent.host)];
        host.is_up
            && sent
                .late_incarnation
                .is_none_or(|started_unix_ms| started_unix_ms == host.info.started_unix_ms)
    }

    fn start_arrives(&mut self, sent: Sent, order: StartOrder) {
        let Sent {
            node, incarnation, ..
        } = sent;
        if !self.is_received(sent) {
            if sent.is_answered {
                self.start_unanswered(node, incarnation, order);
            }
            return;
        }
        let answer = if self.fleet.is_unhealthy(self.now, sent.host)
            || self.is_approved(sent.host, &order)
        {
            self.fleet.start(self.now, &mut self.rng, sent.host, &order)
        } else {
            StartAnswer::NoApproval
        };
        self.process_host_changes();
        if !sent.is_answered {
            return;
        }
        let is_up = self.fleet.hosts[index(sent.host)].is_up;
        if !is_up || self.network.are_answers_cut(self.now, sent.host) {
            return self.start_unanswered(node, incarnation, order);
        }
        let at = self.now + self.network.delay();
        self.schedule(at, Event::StartAnswered(node, incarnation, order, answer));
    }

    /// Returns whether an order carries a ticket that is valid now, if its queue needs one.
    fn is_approved(&self, host: WorkerId, order: &StartOrder) -> bool {
        let arrival = self.fleet.arrivals.get(&order.key.job);
        if arrival.is_none_or(|arrival| arrival.job.queue.approval.is_none()) {
            return true;
        }
        let born = self.fleet.hosts[index(host)].info.started_unix_ms;
        let step = order.key.step_key();
        let ticket = order.ticket.as_ref();
        ticket.is_some_and(|ticket| self.approvals.is_valid(self.now, ticket, step, host, born))
    }

    fn stop_arrives(&mut self, sent: Sent, order: StopOrder) {
        let (key, run) = (order.key, order.run);
        let Sent {
            node, incarnation, ..
        } = sent;
        let is_received = self.is_received(sent);
        let is_done = is_received && self.fleet.stop(self.now, sent.host, key, run, sent.fence);
        if is_done {
            self.process_host_changes();
        }
        if !sent.is_answered {
            return;
        }
        if !is_received || self.network.are_answers_cut(self.now, sent.host) {
            let at = self.now + CALL_TIMEOUT;
            self.schedule(at, Event::StopFailed(node, incarnation, order));
            return;
        }
        let answer = if is_done {
            Event::StopAnswered(node, incarnation, order)
        } else {
            Event::StopFailed(node, incarnation, order)
        };
        let at = self.now + self.network.delay();
        self.schedule(at, answer);
    }

    fn continue_polling(&mut self, node: usize, incarnation: u64, worker: WorkerId) {
        let now = self.scheduler_now();
        let paused = self.nodes[node].paused_until;
        if self.now < paused {
            self.schedule(paused, Event::NextPoll(node, incarnation, worker));
            return;
        }
        let is_under_way = self.open_polls.contains(&(node, incarnation, worker));
        let Some(scheduler) = self.scheduler_of(node, incarnation) else {
            return;
        };
        if is_under_way {
            return;
        }
        match scheduler.next_poll(now, worker) {
            Poll::Never => {}
            Poll::At(at) => self.schedule(
                at.max(self.now + COALESCE_DELAY),
                Event::NextPoll(node, incarnation, worker),
            ),
            Poll::Now(order) => self.send_poll(node, incarnation, order),
        }
    }

    fn send_poll(&mut self, node: usize, incarnation: u64, mut order: PollOrder) {
        let host = self.host_of(node, order.worker);
        if self.spec.mutation == Mutation::AcknowledgeEarly {
            let last_listed = self.nodes[node]
                .last_listed_end
                .get(&host)
                .copied()
                .unwrap_or(0);
            order.acknowledged = order.acknowledged.max(last_listed);
        }
        self.open_polls.insert((node, incarnation, order.worker));
        let fence = self.fence(node, order.worker);
        let (delivery, sent) = self.send(node, incarnation, fence, order.worker);
        let poll = PendingPoll {
            sent,
            sent_at: self.now,
            deadline: self.now + order.wait,
            order,
        };
        let timeout = poll.deadline + CALL_TIMEOUT;
        match delivery {
            Delivery::Arrives(at) if self.fleet.hosts[index(host)].is_up => {
                self.schedule(at, Event::PollArrives(poll));
            }
            Delivery::Unanswered(at) => {
                self.poll_fails_at(timeout, &poll);
                self.schedule(at, Event::PollArrives(poll));
            }
            Delivery::Reset(at, noticed_at) => {
                self.poll_fails_at(noticed_at, &poll);
                self.schedule(at, Event::PollArrives(poll));
            }
            Delivery::Arrives(_) | Delivery::Lost => self.poll_fails_at(timeout, &poll),
        }
    }

    fn poll_fails_at(&mut self, at: Time, poll: &PendingPoll) {
        let Sent {
            node, incarnation, ..
        } = poll.sent;
        let failure = Err(PollFailure::Silent);
        self.schedule(
            at,
            Event::PollAnswered(node, incarnation, poll.order.worker, poll.sent_at, failure),
        );
    }

    fn poll_arrives(&mut self, poll: PendingPoll) {
        let (now, sent, order) = (self.now, poll.sent, poll.order.clone());
        let id = sent.host;
        if !self.is_received(sent) {
            if sent.is_answered {
                self.poll_fails_at(poll.deadline + CALL_TIMEOUT, &poll);
            }
            return;
        }
        let is_current = self.fleet.poll(
            now,
            id,
            sent.fence,
            order.acknowledged,
            order.lease_until_ms,
        );
        let deadline = poll.deadline;
        if !is_current {
            if sent.is_answered {
                self.answer_poll(&poll, Err(PollFailure::Fenced));
            }
            return;
        }
        if sent.is_answered {
            self.pending_polls.entry(id).or_default().push(poll);
            self.answer_polls(id);
            self.schedule(deadline.max(self.now), Event::PollTimeout(id));
        }
        self.fleet.schedule_tick(self.now, id);
        self.process_host_changes();
    }

    /// Schedules the timers that a change on the hosts has set, and answers polls at the changed hosts.
    fn process_host_changes(&mut self) {
        for (at, timer) in self.fleet.take_timers() {
            match timer {
                Timer::Crash(host, key, run) if at <= self.now => {
                    self.crash_by_task(host, key, run);
                }
                _ => self.schedule(at, Event::Timer(timer)),
            }
        }
        for host in self.fleet.take_changed_hosts() {
            self.answer_polls(host);
        }
    }

    /// Answers those polls at a host that are past their deadline, or all of them if the host has ended runs
    /// that are not acknowledged.
    fn answer_polls(&mut self, id: WorkerId) {
        let has_ends = self.fleet.hosts[index(id)].has_ends();
        let pending_polls = self.pending_polls.remove(&id).unwrap_or_default();
        let (due, waiting): (Vec<PendingPoll>, Vec<PendingPoll>) = pending_polls
            .into_iter()
            .partition(|poll| has_ends || self.now >= poll.deadline);
        self.pending_polls.insert(id, waiting);
        for poll in due {
            let listing = self.fleet.list(self.now, id);
            if self.network.are_answers_cut(self.now, id) {
                self.poll_fails_at(poll.deadline + CALL_TIMEOUT, &poll);
                continue;
            }
            let is_cut = self.network.is_cut(self.now, id, poll.sent.node);
            let answer = if self.fleet.hosts[index(id)].is_up && !is_cut {
                Ok(Box::new(listing))
            } else {
                Err(PollFailure::Silent)
            };
            self.answer_poll(&poll, answer);
        }
    }

    fn answer_poll(&mut self, poll: &PendingPoll, answer: Result<Box<Listing>, PollFailure>) {
        let at = self.now + self.network.delay();
        let Sent {
            node, incarnation, ..
        } = poll.sent;
        self.schedule(
            at,
            Event::PollAnswered(node, incarnation, poll.order.worker, poll.sent_at, answer),
        );
    }

    fn poll_answered(
        &mut self,
        node: usize,
        incarnation: u64,
        worker: WorkerId,
        sent_at: Time,
        answer: Result<Box<Listing>, PollFailure>,
    ) {
        let now = self.scheduler_now();
        let paused = self.nodes[node].paused_until;
        if self.now < paused {
            self.schedule(
                paused,
                Event::PollAnswered(node, incarnation, worker, sent_at, answer),
            );
            return;
        }
        self.open_polls.remove(&(node, incarnation, worker));
        let host = if self.nodes[node].incarnation == incarnation {
            self.host_of(node, worker)
        } else {
            return;
        };
        if let Ok(listing) = &answer
            && let Some(last) = listing.ended.last()
        {
            self.nodes[node].last_listed_end.insert(host, last.number);
        }
        let Some(scheduler) = self.scheduler_of(node, incarnation) else {
            return;
        };
        match answer {
            Ok(listing) => scheduler.polled(now, worker, sent_at, &listing),
            Err(failure) => scheduler.poll_failed(now, worker, failure),
        }
        self.schedule(self.now, Event::NextPoll(node, incarnation, worker));
        self.schedule_decision(node, incarnation);
    }
}

fn forget_renewers(row: &mut LeaseRow) {
    if let Some(leases) = &mut row.leases {
        leases.renewers.clear();
    }
}

/// Tells in a lease row the bounds that the one before tells.
fn keep_bounds(before: &LeaseRow, row: &mut LeaseRow) {
    let (Some(before), Some(leases)) = (&before.leases, &mut row.leases) else {
        return;
    };
    for old in &before.bounded {
        if !leases.bounded.iter().any(|new| new.worker == old.worker) {
            leases.bounded.push(old.clone());
        }
    }
}

fn make_host(spec: &CellSpec, i: usize, rng: &mut Rng) -> Host {
    // The clock of a host is slow by 0 to 2 %.
    let clock_slow_per_mille = rng.below(21);
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
    let is_slow = spec.slow_host_period > 0 && i.is_multiple_of(spec.slow_host_period);
    let run_time_factor = if is_slow { spec.slow_host_factor } else { 1.0 };
    let host = Host::new(info, clock_slow_per_mille, overrun_ms);
    let host = host.with_run_time_factor(run_time_factor);
    if spec.lists_checkpoints {
        host.with_listed_checkpoints()
    } else {
        host
    }
}

fn time_objective(arrival: &Arrival) -> Duration {
    let run_time_s: f64 = arrival.seconds.iter().sum();
    let queue = &arrival.job.queue;
    queue.target + Duration::from_secs_f64(run_time_s * queue.stretch)
}

fn total_work(arrival: &Arrival) -> f64 {
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
