//! A simulation of a domain on virtual time: lease machines, a table and the links between them.
//!
//! Messages arrive in the time step in which they are sent unless they are delayed. A process that
//! resumes after a pause first handles its expired requests and then the inputs that have arrived in
//! the meantime.

use std::{
    collections::{BTreeSet, VecDeque},
    hash::{Hash, Hasher},
    time::Duration,
};

use lease::{
    Holder, Input, LeaseConfig, LeaseMachine, LeaseMsg, LeaseRow, Output, Purpose, QuestionId,
    Reply, RowState, WriteResult,
};
use model::{Incarnation, NodeId, Time};

/// A safeguard of the protocol that is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    /// The members are not asked. Each request is answered with a made-up confirmation.
    SkipAsking,
    /// The holder counts its term from the answer that completes a renewal, instead of from before the
    /// requests.
    TermFromReply,
    /// The members do not know each other.
    TableOnly,
}

/// The process of one node. Its clock advances in every step except a missed one.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Process {
    pub machine: LeaseMachine,
    pub is_alive: bool,
    pub is_leaving: bool,
    has_missed_step: bool,
    incarnation: u64,
    clock: Time,
    /// The step from which the process runs again.
    paused_until: u64,
    /// The step from which messages reach the VM again.
    frozen_until: u64,
    /// The step from which the table is reachable again.
    cut_until: u64,
    inbox: VecDeque<Input>,
    /// The step in which each unanswered request expires, its receiver and its id.
    open_requests: BTreeSet<(u64, NodeId, QuestionId)>,
    /// When the lease ends under [`Mutation::TermFromReply`].
    trusted_until: Time,
}

/// A call to the table. A write consists of the expected version and the new row.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Request {
    from: usize,
    incarnation: u64,
    call: u64,
    write: Option<(Option<u64>, LeaseRow)>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
enum Event {
    Input(usize, u64, Input),
    Request(Request),
}

/// A fault in one step. Faults of links and writes affect the next message or write in that step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    Crash(usize),
    Restart(usize),
    /// The process is paused for this many steps. Messages to it are queued.
    Pause(usize, u64),
    /// The VM is stopped for this many steps. Messages to it are lost.
    Freeze(usize, u64),
    /// The node cannot reach the table for this many steps.
    Cut(usize, u64),
    /// The next message from the first node to the second is lost. At most one message of a run is
    /// lost or delayed, because the protocol assumes that one of two fresh connections works.
    Lose(usize, usize),
    /// The next message from the first node to the second arrives this many steps later.
    Delay(usize, usize, u64),
    /// The next message from the first node to the second arrives again this many steps later.
    Duplicate(usize, usize, u64),
    /// The next write is applied, but its reply is lost.
    LoseReply(usize),
    /// The next write is reported as unknown and applied this many steps later.
    LateWrite(usize, u64),
    /// The node's clock misses a step, at most once in a run.
    SlowClock(usize),
    HandOver(usize),
}

#[derive(Clone)]
pub struct World {
    /// The current step.
    pub now: u64,
    /// The duration of a step.
    step_duration: Duration,
    cfg: LeaseConfig,
    mutation: Mutation,
    pub processes: Vec<Process>,
    version: u64,
    row: Option<(u64, LeaseRow)>,
    events: Vec<(u64, Event)>,
    ready: VecDeque<(usize, Input)>,
    /// The faults of the current step that have not taken effect yet.
    faults: Vec<Fault>,
    pub writes: u64,
    pub messages: u64,
    pub log: Vec<String>,
    /// Whether `log` is not written.
    pub is_log_disabled: bool,
    pub had_two_holders: bool,
    /// Whether a message was lost or delayed.
    has_link_fault: bool,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            self.now,
            &self.processes,
            &self.row,
            &self.events,
            self.has_link_fault,
        )
            .hash(state);
    }
}

impl World {
    pub fn new(n: usize, cfg: LeaseConfig, step_duration: Duration, mutation: Mutation) -> Self {
        let mut world = Self {
            now: 0,
            step_duration,
            cfg,
            mutation,
            processes: Vec::new(),
            version: 0,
            row: None,
            events: Vec::new(),
            ready: VecDeque::new(),
            faults: Vec::new(),
            writes: 0,
            messages: 0,
            log: Vec::new(),
            is_log_disabled: false,
            had_two_holders: false,
            has_link_fault: false,
        };
        for i in 0..n {
            let process = world.start(i, n, 1);
            world.processes.push(process);
        }
        world
    }

    fn start(&self, i: usize, n: usize, incarnation: u64) -> Process {
        let known = if self.mutation == Mutation::TableOnly {
            0
        } else {
            n
        };
        let list = (0..known).map(|j| holder(j, 0)).collect();
        Process {
            machine: LeaseMachine::new(self.cfg.clone(), holder(i, incarnation)),
            is_alive: true,
            is_leaving: false,
            has_missed_step: false,
            incarnation,
            clock: Time::ZERO,
            paused_until: 0,
            frozen_until: 0,
            cut_until: 0,
            inbox: VecDeque::from([Input::Members(list)]),
            open_requests: BTreeSet::new(),
            trusted_until: Time::ZERO,
        }
    }

    /// Returns the nodes that act as holders, including paused ones that would if they resumed now.
    pub fn holders(&self) -> Vec<usize> {
        let is_active = |p: &Process| {
            let is_trusted = self.mutation == Mutation::TermFromReply && p.clock < p.trusted_until;
            p.is_alive && (p.machine.active_epoch(p.clock).is_some() || is_trusted)
        };
        (0..self.processes.len())
            .filter(|i| is_active(&self.processes[*i]))
            .collect()
    }

    /// Advances time by one step with these faults.
    pub fn step(&mut self, faults: &[Fault]) {
        self.faults = faults.to_vec();
        for fault in faults {
            self.inject_fault(*fault);
        }
        self.now += 1;
        for i in 0..self.processes.len() {
            if self.has_fault(|f| f == Fault::SlowClock(i)) && !self.processes[i].has_missed_step {
                self.processes[i].has_missed_step = true;
            } else {
                self.processes[i].clock += self.step_duration;
            }
        }
        for i in 0..self.processes.len() {
            self.resume(i);
        }
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.events = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.process_event(event);
        }
        for i in 0..self.processes.len() {
            self.expire_requests(i);
            self.deliver(i, Input::Tick);
        }
        self.check_holders();
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(&[]);
        }
    }

    fn inject_fault(&mut self, fault: Fault) {
        let n = self.processes.len();
        match fault {
            Fault::Crash(i) => self.processes[i].is_alive = false,
            Fault::Restart(i) if !self.processes[i].is_alive => {
                self.processes[i] = self.start(i, n, self.processes[i].incarnation + 1);
            }
            Fault::Pause(i, steps) => {
                let until = &mut self.processes[i].paused_until;
                *until = (*until).max(self.now + steps);
            }
            Fault::Freeze(i, steps) => {
                self.processes[i].frozen_until = self.now + steps;
                self.inject_fault(Fault::Pause(i, steps));
            }
            Fault::Cut(i, steps) => self.processes[i].cut_until = self.now + steps,
            Fault::HandOver(i) => {
                self.processes[i].is_leaving = true;
                self.deliver(i, Input::HandOver);
            }
            _ => {}
        }
    }

    fn has_fault(&self, is: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|fault| is(*fault))
    }

    /// Removes and returns the first matching fault of this step.
    fn take_fault(&mut self, is: impl Fn(Fault) -> bool) -> Option<Fault> {
        let at = self.faults.iter().position(|fault| is(*fault))?;
        Some(self.faults.remove(at))
    }

    fn is_awake(&self, i: usize) -> bool {
        self.processes[i].is_alive && self.processes[i].paused_until <= self.now
    }

    fn resume(&mut self, i: usize) {
        if self.is_awake(i) && !self.processes[i].inbox.is_empty() {
            self.expire_requests(i);
            for input in std::mem::take(&mut self.processes[i].inbox) {
                self.deliver(i, input);
            }
        }
    }

    fn expire_requests(&mut self, i: usize) {
        if !self.is_awake(i) {
            return;
        }
        let mut overdue = self.processes[i].open_requests.clone();
        overdue.retain(|(due, ..)| *due <= self.now);
        for entry in overdue {
            self.processes[i].open_requests.remove(&entry);
            let (_, to, question) = entry;
            self.deliver(i, Input::PeerFailed { to, question });
        }
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Input(i, incarnation, input) => {
                if self.processes[i].incarnation == incarnation {
                    self.deliver(i, input);
                }
            }
            Event::Request(request) => {
                self.apply_request(&request);
            }
        }
    }

    /// Delivers an input to a node, and then all inputs that result from it.
    fn deliver(&mut self, i: usize, input: Input) {
        self.ready.push_back((i, input));
        while let Some((i, input)) = self.ready.pop_front() {
            self.deliver_one(i, input);
        }
    }

    fn deliver_one(&mut self, i: usize, input: Input) {
        if !self.is_awake(i) {
            if self.processes[i].is_alive && input != Input::Tick {
                self.processes[i].inbox.push_back(input);
            }
            return;
        }
        match &input {
            Input::PeerFailed { to, .. } => self.log(i, || format!("has no answer from {to}")),
            Input::RowWritten { result, .. } if !matches!(result, WriteResult::Written(_)) => {
                self.log(i, || format!("writes the row: {result:?}"));
            }
            _ => {}
        }
        if let Input::Peer {
            from,
            msg: LeaseMsg::Answer { question, .. },
        } = &input
        {
            let open_requests = &mut self.processes[i].open_requests;
            open_requests.retain(|(_, to, q)| (to, q.round) != (from, question.round));
        }
        let process = &mut self.processes[i];
        let clock = process.clock;
        let before = process.machine.valid_until(clock);
        let mut out = Vec::new();
        process.machine.step(clock, input, &mut out);
        let after = process.machine.valid_until(clock);
        if after > before {
            process.trusted_until = clock + self.cfg.term;
        } else if after.is_none() && before.is_some() {
            // The holder has stopped by itself.
            process.trusted_until = clock;
        }
        for output in out {
            self.carry_out(i, output);
        }
    }

    fn carry_out(&mut self, i: usize, output: Output) {
        match output {
            Output::ReadRow { call } => self.call_table(i, call, None),
            Output::WriteRow {
                call,
                expected,
                row,
            } => {
                self.writes += 1;
                self.call_table(i, call, Some((expected, row)));
            }
            Output::Send { to, msg, .. } => self.send(i, to, msg),
            Output::Activated(epoch) => self.log(i, || format!("holds {epoch}")),
            Output::Stopped(epoch) => self.log(i, || format!("stops {epoch}")),
        }
        self.check_holders();
    }

    fn log(&mut self, i: usize, what: impl Fn() -> String) {
        if self.is_log_disabled {
            return;
        }
        let what = what();
        let ms = u128::from(self.now) * self.step_duration.as_millis();
        let at = Time::ZERO + Duration::from_millis(u64::try_from(ms).unwrap());
        let what = format!(" n{i} {what}");
        let is_repeated = self.log.last().is_some_and(|line| line.ends_with(&what));
        if !is_repeated {
            self.log.push(format!("{at}{what}"));
        }
    }

    fn check_holders(&mut self) {
        self.had_two_holders |= self.holders().len() > 1;
    }

    fn send(&mut self, i: usize, to: NodeId, msg: LeaseMsg) {
        self.messages += 1;
        let from = NodeId(u32::try_from(i).unwrap());
        let j = to.0 as usize;
        if let Some(question) = msg.question() {
            if self.mutation == Mutation::SkipAsking {
                let reply = Reply::Confirmed;
                let msg = LeaseMsg::Answer { question, reply };
                return self.ready.push_back((i, Input::Peer { from: to, msg }));
            }
            if !self.processes[j].is_alive {
                return self
                    .ready
                    .push_back((i, Input::PeerFailed { to, question }));
            }
            let steps = self.cfg.ask_timeout.as_millis() / self.step_duration.as_millis();
            let due = self.now + u64::try_from(steps).unwrap();
            self.processes[i].open_requests.insert((due, to, question));
        }
        match &msg {
            LeaseMsg::Ask { purpose, .. } if *purpose == Purpose::Renew => {}
            LeaseMsg::Ask { epoch, .. } => self.log(i, || format!("to n{j}: claims {epoch}")),
            LeaseMsg::Answer { reply, .. } if *reply == Reply::Confirmed => {}
            LeaseMsg::Answer { reply, .. } => self.log(i, || format!("to n{j}: {reply:?}")),
            LeaseMsg::HandedOver { epoch } => self.log(i, || format!("to n{j}: gave up {epoch}")),
        }
        let incarnation = self.processes[j].incarnation;
        let input = Input::Peer { from, msg };
        let on_link = |f| match f {
            Fault::Lose(a, b) | Fault::Delay(a, b, _) | Fault::Duplicate(a, b, _) => {
                (a, b) == (i, j)
            }
            _ => false,
        };
        if self.processes[j].frozen_until > self.now {
            return;
        }
        match self.take_fault(on_link) {
            Some(Fault::Lose(..) | Fault::Delay(..)) if self.has_link_fault => {}
            Some(Fault::Lose(..)) => {
                self.has_link_fault = true;
                return;
            }
            Some(Fault::Delay(.., steps)) => {
                self.has_link_fault = true;
                let event = Event::Input(j, incarnation, input);
                return self.events.push((self.now + steps, event));
            }
            Some(Fault::Duplicate(.., steps)) => {
                let event = Event::Input(j, incarnation, input.clone());
                self.events.push((self.now + steps, event));
            }
            _ => {}
        }
        self.ready.push_back((j, input));
    }

    fn call_table(&mut self, i: usize, call: u64, write: Option<(Option<u64>, LeaseRow)>) {
        let is_write = write.is_some();
        let incarnation = self.processes[i].incarnation;
        let request = Request {
            from: i,
            incarnation,
            call,
            write,
        };
        let unknown = Input::RowWritten {
            call,
            result: WriteResult::Unknown,
        };
        if self.processes[i].cut_until > self.now {
            let input = if is_write {
                let result = WriteResult::NotWritten;
                Input::RowWritten { call, result }
            } else {
                let state = RowState::Unreachable;
                Input::RowRead { call, state }
            };
            return self.ready.push_back((i, input));
        }
        let on_write = |f| match f {
            Fault::LoseReply(a) | Fault::LateWrite(a, _) => is_write && a == i,
            _ => false,
        };
        match self.take_fault(on_write) {
            Some(Fault::LateWrite(_, steps)) => {
                self.events
                    .push((self.now + steps, Event::Request(request)));
                self.ready.push_back((i, unknown));
            }
            Some(_) => {
                self.apply_request(&request);
                self.ready.push_back((i, unknown));
            }
            None => {
                let reply = self.apply_request(&request);
                self.ready.push_back((i, reply));
            }
        }
    }

    fn apply_request(&mut self, request: &Request) -> Input {
        let call = request.call;
        let version = self.row.as_ref().map(|(version, _)| *version);
        let Some((expected, row)) = &request.write else {
            let row = self.row.clone();
            let state = row.map_or(RowState::Absent, |(v, row)| RowState::Present(v, row));
            return Input::RowRead { call, state };
        };
        let result = if *expected == version {
            self.version += 1;
            self.row = Some((self.version, row.clone()));
            WriteResult::Written(self.version)
        } else {
            WriteResult::Conflict
        };
        Input::RowWritten { call, result }
    }

    /// Returns the row's holder and epoch as text.
    pub fn row(&self) -> String {
        let Some((_, row)) = &self.row else {
            return "no row".to_owned();
        };
        let holder = row.holder.as_ref().map(|h| format!("{}", h.node));
        format!("{} {}", holder.unwrap_or("nobody".to_owned()), row.epoch)
    }
}

fn holder(i: usize, incarnation: u64) -> Holder {
    Holder {
        node: NodeId(u32::try_from(i).unwrap()),
        incarnation: Incarnation(incarnation),
        address: format!("10.0.0.{i}:7101"),
    }
}
