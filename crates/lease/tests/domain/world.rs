//! A domain of lease machines, a table and the links between them, on virtual time.
//!
//! Messages arrive in the same step of time unless they are delayed. A process that is paused takes its
//! timeouts first when it goes on, and then what has arrived meanwhile.

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

/// A guard taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutation {
    None,
    /// The members are not asked: their answers are made up.
    SkipAsking,
    /// The holder counts its term from the answer that completes a renewal.
    FromReply,
    /// The members do not know each other.
    TableOnly,
}

/// One node. Its clock counts the steps that it was not made to miss.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Proc {
    pub machine: LeaseMachine,
    pub alive: bool,
    pub leaving: bool,
    slowed: bool,
    incarnation: u64,
    clock: Time,
    paused_until: u64,
    frozen_until: u64,
    cut_until: u64,
    inbox: VecDeque<Input>,
    open: BTreeSet<(u64, NodeId, QuestionId)>,
    trusted_until: Time,
}

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

/// What goes wrong with the next message or call of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    Crash(usize),
    Restart(usize),
    /// The process stops for so many steps; messages wait for it.
    Pause(usize, u64),
    /// The VM stops for so many steps; messages to it are lost.
    Freeze(usize, u64),
    Cut(usize, u64),
    /// The next message from one node to the other is lost. Only one message of a run is lost or
    /// delayed: of two fresh connections one works.
    Lose(usize, usize),
    /// The next message arrives so many steps later.
    Delay(usize, usize, u64),
    /// The next message arrives once more, so many steps later.
    Duplicate(usize, usize, u64),
    /// The next write is made, and its reply lost.
    LoseReply(usize),
    /// The next write is made so many steps after it was given up.
    LateWrite(usize, u64),
    /// The node's clock misses a step, once.
    SlowClock(usize),
    HandOver(usize),
}

#[derive(Clone)]
pub struct World {
    pub now: u64,
    quantum: Duration,
    cfg: LeaseConfig,
    mutation: Mutation,
    pub procs: Vec<Proc>,
    version: u64,
    row: Option<(u64, LeaseRow)>,
    events: Vec<(u64, Event)>,
    ready: VecDeque<(usize, Input)>,
    /// Faults of this step.
    faults: Vec<Fault>,
    pub writes: u64,
    pub messages: u64,
    pub log: Vec<String>,
    /// Nothing is logged.
    pub quiet: bool,
    pub two_holders: bool,
    /// A message was lost or delayed.
    troubled: bool,
}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            self.now,
            &self.procs,
            &self.row,
            &self.events,
            self.troubled,
        )
            .hash(state);
    }
}

impl World {
    pub fn new(n: usize, cfg: LeaseConfig, quantum: Duration, mutation: Mutation) -> Self {
        let mut world = Self {
            now: 0,
            quantum,
            cfg,
            mutation,
            procs: Vec::new(),
            version: 0,
            row: None,
            events: Vec::new(),
            ready: VecDeque::new(),
            faults: Vec::new(),
            writes: 0,
            messages: 0,
            log: Vec::new(),
            quiet: false,
            two_holders: false,
            troubled: false,
        };
        for i in 0..n {
            let proc = world.start(i, n, 1);
            world.procs.push(proc);
        }
        world
    }

    fn start(&self, i: usize, n: usize, incarnation: u64) -> Proc {
        let known = if self.mutation == Mutation::TableOnly {
            0
        } else {
            n
        };
        let list = (0..known).map(|j| holder(j, 0)).collect();
        Proc {
            machine: LeaseMachine::new(self.cfg.clone(), holder(i, incarnation)),
            alive: true,
            leaving: false,
            slowed: false,
            incarnation,
            clock: Time::ZERO,
            paused_until: 0,
            frozen_until: 0,
            cut_until: 0,
            inbox: VecDeque::from([Input::Members(list)]),
            open: BTreeSet::new(),
            trusted_until: Time::ZERO,
        }
    }

    /// The nodes that act as holders, or would if they went on now.
    pub fn holders(&self) -> Vec<usize> {
        let active = |p: &Proc| {
            let trusted = self.mutation == Mutation::FromReply && p.clock < p.trusted_until;
            p.alive && (p.machine.active_epoch(p.clock).is_some() || trusted)
        };
        (0..self.procs.len())
            .filter(|i| active(&self.procs[*i]))
            .collect()
    }

    /// One step of time with these faults.
    pub fn step(&mut self, faults: &[Fault]) {
        self.faults = faults.to_vec();
        for fault in faults {
            self.begin_fault(*fault);
        }
        self.now += 1;
        for i in 0..self.procs.len() {
            if self.has(|f| f == Fault::SlowClock(i)) && !self.procs[i].slowed {
                self.procs[i].slowed = true;
            } else {
                self.procs[i].clock += self.quantum;
            }
        }
        for i in 0..self.procs.len() {
            self.go_on(i);
        }
        let (due, later) = std::mem::take(&mut self.events)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.events = later;
        let due: Vec<(u64, Event)> = due;
        for (_, event) in due {
            self.event(event);
        }
        for i in 0..self.procs.len() {
            self.time_out(i);
            self.input(i, Input::Tick);
        }
        self.check();
    }

    pub fn run(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step(&[]);
        }
    }

    fn begin_fault(&mut self, fault: Fault) {
        let n = self.procs.len();
        match fault {
            Fault::Crash(i) => self.procs[i].alive = false,
            Fault::Restart(i) if !self.procs[i].alive => {
                self.procs[i] = self.start(i, n, self.procs[i].incarnation + 1);
            }
            Fault::Pause(i, steps) => {
                let until = &mut self.procs[i].paused_until;
                *until = (*until).max(self.now + steps);
            }
            Fault::Freeze(i, steps) => {
                self.procs[i].frozen_until = self.now + steps;
                self.begin_fault(Fault::Pause(i, steps));
            }
            Fault::Cut(i, steps) => self.procs[i].cut_until = self.now + steps,
            Fault::HandOver(i) => {
                self.procs[i].leaving = true;
                self.input(i, Input::HandOver);
            }
            _ => {}
        }
    }

    fn has(&self, is: impl Fn(Fault) -> bool) -> bool {
        self.faults.iter().any(|fault| is(*fault))
    }

    /// Takes a fault of this step, once.
    fn take_fault(&mut self, is: impl Fn(Fault) -> bool) -> Option<Fault> {
        let at = self.faults.iter().position(|fault| is(*fault))?;
        Some(self.faults.remove(at))
    }

    fn awake(&self, i: usize) -> bool {
        self.procs[i].alive && self.procs[i].paused_until <= self.now
    }

    fn go_on(&mut self, i: usize) {
        if self.awake(i) && !self.procs[i].inbox.is_empty() {
            self.time_out(i);
            for input in std::mem::take(&mut self.procs[i].inbox) {
                self.input(i, input);
            }
        }
    }

    fn time_out(&mut self, i: usize) {
        if !self.awake(i) {
            return;
        }
        let mut overdue = self.procs[i].open.clone();
        overdue.retain(|(due, ..)| *due <= self.now);
        for entry in overdue {
            self.procs[i].open.remove(&entry);
            let (_, to, question) = entry;
            self.input(i, Input::PeerFailed { to, question });
        }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Input(i, incarnation, input) => {
                if self.procs[i].incarnation == incarnation {
                    self.input(i, input);
                }
            }
            Event::Request(request) => {
                self.serve(&request);
            }
        }
    }

    /// Gives a node an input, and everybody what follows from it.
    fn input(&mut self, i: usize, input: Input) {
        self.ready.push_back((i, input));
        while let Some((i, input)) = self.ready.pop_front() {
            self.take(i, input);
        }
    }

    fn take(&mut self, i: usize, input: Input) {
        if !self.awake(i) {
            if self.procs[i].alive && input != Input::Tick {
                self.procs[i].inbox.push_back(input);
            }
            return;
        }
        match &input {
            Input::PeerFailed { to, .. } => self.note(i, || format!("has no answer from {to}")),
            Input::RowWritten { result, .. } if !matches!(result, WriteResult::Written(_)) => {
                self.note(i, || format!("writes the row: {result:?}"));
            }
            _ => {}
        }
        if let Input::Peer {
            from,
            msg: LeaseMsg::Answer { question, .. },
        } = &input
        {
            let open = &mut self.procs[i].open;
            open.retain(|(_, to, q)| (to, q.round) != (from, question.round));
        }
        let proc = &mut self.procs[i];
        let clock = proc.clock;
        let before = proc.machine.valid_until(clock);
        let mut out = Vec::new();
        proc.machine.step(clock, input, &mut out);
        let after = proc.machine.valid_until(clock);
        if after > before {
            proc.trusted_until = clock + self.cfg.term;
        } else if after.is_none() && before.is_some() {
            // It has stopped on its own.
            proc.trusted_until = clock;
        }
        for output in out {
            self.output(i, output);
        }
    }

    fn output(&mut self, i: usize, output: Output) {
        match output {
            Output::ReadRow { call } => self.request(i, call, None),
            Output::WriteRow {
                call,
                expected,
                row,
            } => {
                self.writes += 1;
                self.request(i, call, Some((expected, row)));
            }
            Output::Send { to, msg, .. } => self.send(i, to, msg),
            Output::Activated(epoch) => self.note(i, || format!("holds {epoch}")),
            Output::Stopped(epoch) => self.note(i, || format!("stops {epoch}")),
        }
        self.check();
    }

    fn note(&mut self, i: usize, what: impl Fn() -> String) {
        if self.quiet {
            return;
        }
        let what = what();
        let ms = u128::from(self.now) * self.quantum.as_millis();
        let at = Time::ZERO + Duration::from_millis(u64::try_from(ms).unwrap());
        let what = format!(" n{i} {what}");
        let repeated = self.log.last().is_some_and(|line| line.ends_with(&what));
        if !repeated {
            self.log.push(format!("{at}{what}"));
        }
    }

    fn check(&mut self) {
        self.two_holders |= self.holders().len() > 1;
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
            if !self.procs[j].alive {
                return self
                    .ready
                    .push_back((i, Input::PeerFailed { to, question }));
            }
            let steps = self.cfg.ask_timeout.as_millis() / self.quantum.as_millis();
            let due = self.now + u64::try_from(steps).unwrap();
            self.procs[i].open.insert((due, to, question));
        }
        match &msg {
            LeaseMsg::Ask { purpose, .. } if *purpose == Purpose::Renew => {}
            LeaseMsg::Ask { epoch, .. } => self.note(i, || format!("to n{j}: claims {epoch}")),
            LeaseMsg::Answer { reply, .. } if *reply == Reply::Confirmed => {}
            LeaseMsg::Answer { reply, .. } => self.note(i, || format!("to n{j}: {reply:?}")),
            LeaseMsg::HandedOver { epoch } => self.note(i, || format!("to n{j}: gave up {epoch}")),
        }
        let incarnation = self.procs[j].incarnation;
        let input = Input::Peer { from, msg };
        let on_link = |f| match f {
            Fault::Lose(a, b) | Fault::Delay(a, b, _) | Fault::Duplicate(a, b, _) => {
                (a, b) == (i, j)
            }
            _ => false,
        };
        if self.procs[j].frozen_until > self.now {
            return;
        }
        match self.take_fault(on_link) {
            Some(Fault::Lose(..) | Fault::Delay(..)) if self.troubled => {}
            Some(Fault::Lose(..)) => {
                self.troubled = true;
                return;
            }
            Some(Fault::Delay(.., steps)) => {
                self.troubled = true;
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

    fn request(&mut self, i: usize, call: u64, write: Option<(Option<u64>, LeaseRow)>) {
        let is_write = write.is_some();
        let incarnation = self.procs[i].incarnation;
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
        if self.procs[i].cut_until > self.now {
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
                self.serve(&request);
                self.ready.push_back((i, unknown));
            }
            None => {
                let reply = self.serve(&request);
                self.ready.push_back((i, reply));
            }
        }
    }

    fn serve(&mut self, request: &Request) -> Input {
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

    /// The row as text.
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
