//! Stand-ins for workers ("minions"), as PROTOCOL.md describes them. They accept whatever they are told to start.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::spawn_local,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    http::{Call, NoAnswer, Reply, reply, serve},
    record::Record,
};

/// `holdMaxMs` of the settings.
pub const HOLD_MAX_MS: u64 = 10_000;
/// `validMs` of the advice.
pub const VALID_MS: u64 = 2_000;
/// `gangWaitMs` of the settings.
const GANG_WAIT: Duration = Duration::from_millis(3_000);
/// How long a stop takes; `stopGraceMs` is 200.
const STOP_TIME: Duration = Duration::from_millis(100);
/// How long after its start a worker's entry is in the store: `lag_ms` of the site files.
const FIRST_BEAT: Duration = Duration::from_millis(800);
const TARGET: &str = "x-lacewingrouter-target-instance";

/// A run that has begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at_ms: u64,
    pub worker: usize,
    pub task: String,
    pub run: u64,
}

/// The end of a run.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at_ms: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

#[derive(Clone)]
struct Running {
    run: u64,
    /// Distinguishes this run from another of the same number.
    number: u64,
    is_stopping: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Running>,
    /// The highest run of each task that was stopped or has ended here.
    past: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

pub struct Worker {
    pub number: usize,
    pub id: String,
    pub address: SocketAddr,
    state: RefCell<State>,
    changed: Notify,
    is_up: watch::Sender<bool>,
    /// Whether it is cut off: it runs on, and nothing reaches it.
    pub is_cut: Cell<bool>,
    /// When the present incarnation started, in Unix milliseconds.
    pub born: Cell<u64>,
    /// The reading of the record's clock at which its own clock began.
    clock_zero: Cell<u64>,
    next_number: Cell<u64>,
}

/// A run of a gang.
#[derive(Default)]
struct Gang {
    /// The workers and numbers of the members that are present, by task.
    members: BTreeMap<String, (usize, u64)>,
    works: bool,
}

/// All workers, and what has happened on them.
pub struct Fleet {
    gangs: RefCell<BTreeMap<(String, u64), Gang>>,
    pub workers: RefCell<Vec<Rc<Worker>>>,
    pub begun: RefCell<Vec<Begun>>,
    pub ended: RefCell<Vec<Ended>>,
    pub record: Record,
    /// Returns how long a task runs, given its name and spec.
    pub duration: Box<dyn Fn(&str, &str) -> Duration>,
    /// Whether starts need a ticket.
    pub needs_tickets: bool,
}

impl Fleet {
    pub fn new(
        record: Record,
        needs_tickets: bool,
        duration: impl Fn(&str, &str) -> Duration + 'static,
    ) -> Rc<Self> {
        Rc::new(Self {
            gangs: RefCell::default(),
            workers: RefCell::default(),
            begun: RefCell::default(),
            ended: RefCell::default(),
            record,
            duration: Box::new(duration),
            needs_tickets,
        })
    }

    pub async fn add(self: &Rc<Self>, ip: IpAddr, born: u64) -> std::io::Result<Rc<Worker>> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let number = self.workers.borrow().len();
        let worker = Rc::new(Worker {
            number,
            id: format!(
                "i-{:08x}",
                0x7f3a_91c2_u32.wrapping_mul(u32::try_from(number).unwrap_or(0) + 3)
            ),
            address: listener.local_addr()?,
            state: RefCell::default(),
            changed: Notify::new(),
            is_up: watch::channel(true).0,
            is_cut: Cell::new(false),
            born: Cell::new(born),
            clock_zero: Cell::new(self.record.ms()),
            next_number: Cell::new(0),
        });
        self.workers.borrow_mut().push(worker.clone());
        let (fleet, serving) = (self.clone(), worker.clone());
        spawn_local(serve(listener, worker.is_up.subscribe(), move |call| {
            let (fleet, worker) = (fleet.clone(), serving.clone());
            async move { fleet.answer(worker, call).await }
        }));
        let (fleet, expiring) = (self.clone(), worker.clone());
        spawn_local(async move {
            loop {
                sleep(Duration::from_millis(20)).await;
                fleet.expire(&expiring);
            }
        });
        Ok(worker)
    }

    /// Crashes a worker: all that it runs ends, and it answers nothing until it is started again.
    pub fn crash(&self, worker: &Worker) {
        self.record.line(&format!("{} crashes", worker.id));
        let _ = worker.is_up.send(false);
        let lost = std::mem::take(&mut *worker.state.borrow_mut());
        for (task, running) in lost.running {
            self.ended.borrow_mut().push(Ended {
                at_ms: self.record.ms(),
                task: task.clone(),
                run: running.run,
                how: "crashed",
            });
            self.member_ended(&task, running.run, "crashed");
        }
    }

    /// Starts a crashed worker again, under the id that it had.
    pub fn restart(&self, worker: &Worker, unix_ms: u64) {
        self.record
            .line(&format!("{} starts again under its id", worker.id));
        worker.born.set(unix_ms);
        worker.clock_zero.set(self.record.ms());
        *worker.state.borrow_mut() = State::default();
        let _ = worker.is_up.send(true);
    }

    fn clock(&self, worker: &Worker) -> u64 {
        1_000 + self.record.ms() - worker.clock_zero.get()
    }

    /// Ends all runs of a worker whose lease has lapsed.
    fn expire(&self, worker: &Worker) {
        let is_over = self.clock(worker) >= worker.state.borrow().deadline_ms;
        let tasks: Vec<String> = worker.state.borrow().running.keys().cloned().collect();
        if is_over {
            for task in tasks {
                self.end(worker, &task, None, "lapsed");
            }
        }
    }

    /// Ends a run; `number` names it, if only that one may be ended.
    fn end(&self, worker: &Worker, task: &str, number: Option<u64>, how: &'static str) {
        let mut state = worker.state.borrow_mut();
        let Some(running) = state.running.get(task).cloned() else {
            return;
        };
        if number.is_some_and(|number| number != running.number) {
            return;
        }
        state.running.remove(task);
        state.past.insert(task.to_owned(), running.run);
        state.ends += 1;
        let ends = state.ends;
        state.ended.push((ends, task.to_owned(), running.run, how));
        drop(state);
        self.record.line(&format!(
            "{} ends {task} run {}: {how}",
            worker.id, running.run
        ));
        self.ended.borrow_mut().push(Ended {
            at_ms: self.record.ms(),
            task: task.to_owned(),
            run: running.run,
            how,
        });
        worker.changed.notify_waiters();
        self.member_ended(task, running.run, how);
    }

    /// Ends the other members of a gang's run: as done if one is done, and broken otherwise.
    fn member_ended(&self, task: &str, run: u64, how: &'static str) {
        let step = task
            .rsplit_once('.')
            .map_or(task, |(step, _)| step)
            .to_owned();
        let Some(gang) = self.gangs.borrow_mut().remove(&(step, run)) else {
            return;
        };
        let how = if how == "done" { "done" } else { "broken" };
        for (other, (worker, number)) in gang.members.iter().filter(|(other, _)| *other != task) {
            let worker = self.workers.borrow()[*worker].clone();
            self.end(&worker, other, Some(*number), how);
        }
    }

    /// Adds a member to a gang's run. It works once all are present, and ends after `duration` of work.
    fn join_gang(
        self: &Rc<Self>,
        worker: &Worker,
        task: &str,
        run: u64,
        number: u64,
        size: usize,
        duration: Duration,
    ) {
        let step = task
            .rsplit_once('.')
            .map_or(task, |(step, _)| step)
            .to_owned();
        let key = (step, run);
        let mut gangs = self.gangs.borrow_mut();
        let gang = gangs.entry(key.clone()).or_default();
        gang.members
            .insert(task.to_owned(), (worker.number, number));
        let is_whole = gang.members.len() == size
            && !std::mem::replace(&mut gang.works, gang.members.len() == size);
        drop(gangs);
        let (fleet, on, task) = (
            self.clone(),
            self.workers.borrow()[worker.number].clone(),
            task.to_owned(),
        );
        if is_whole {
            self.record
                .line(&format!("the gang {} run {run} is at work", key.0));
            spawn_local(async move {
                sleep(duration).await;
                fleet.end(&on, &task, Some(number), "done");
            });
        } else {
            spawn_local(async move {
                sleep(GANG_WAIT).await;
                let works = fleet
                    .gangs
                    .borrow()
                    .get(&key)
                    .is_some_and(|gang| gang.works);
                if !works {
                    fleet.end(&on, &task, Some(number), "alone");
                }
            });
        }
    }

    /// Answers a request for advice: all workers may run the step. A ticket is valid during this life of the worker.
    pub async fn advise(self: Rc<Self>, call: Call) -> Result<Reply, NoAnswer> {
        sleep(Duration::from_millis(8)).await;
        let step = call.body["step"].as_str().unwrap_or_default();
        let named = call.body["workers"].as_array().into_iter().flatten();
        let workers = self.workers.borrow();
        let ticket = |id: &str| {
            let worker = workers.iter().find(|worker| worker.id == id)?;
            let until = self.record.ms() + VALID_MS;
            Some(json!([id, format!("{step}/{}/{until}", worker.born.get())]))
        };
        let allowed: Vec<Value> = named.filter_map(|id| ticket(id.as_str()?)).collect();
        reply(200, &json!({"allowed": allowed, "validMs": VALID_MS}))
    }

    /// Returns whether a start order carries a ticket for its step and for this life of the worker.
    fn has_ticket(&self, worker: &Worker, task: &str, body: &Value) -> bool {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let ticket = body["ticket"].as_str().unwrap_or_default();
        let until = ticket.strip_prefix(&format!("{step}/{}/", worker.born.get()));
        until
            .and_then(|ms| ms.parse().ok())
            .is_some_and(|ms: u64| self.record.ms() < ms)
    }

    /// Returns the tasks that run now.
    pub fn running(&self) -> Vec<String> {
        let workers = self.workers.borrow();
        workers
            .iter()
            .flat_map(|w| w.state.borrow().running.keys().cloned().collect::<Vec<_>>())
            .collect()
    }

    async fn answer(self: Rc<Self>, worker: Rc<Worker>, call: Call) -> Result<Reply, NoAnswer> {
        if worker.is_cut.get() {
            return self.lose(&worker).await;
        }
        let answer = self.handle(&worker, call).await;
        if worker.is_cut.get() {
            return self.lose(&worker).await;
        }
        answer
    }

    /// Gives no answer, and closes the connection once the worker is no longer cut off.
    async fn lose(&self, worker: &Worker) -> Result<Reply, NoAnswer> {
        while worker.is_cut.get() {
            sleep(Duration::from_millis(50)).await;
        }
        Err(NoAnswer)
    }

    async fn handle(self: &Rc<Self>, worker: &Rc<Worker>, call: Call) -> Result<Reply, NoAnswer> {
        let target = call
            .headers
            .get(TARGET)
            .and_then(|value| value.to_str().ok());
        if target.is_some_and(|target| target != worker.id) {
            return reply(421, &json!({}));
        }
        match call.uri.path() {
            "/-/run-start" => self.start(worker, &call.body),
            "/-/run-stop" => self.stop(worker, &call.body),
            "/-/hold" => self.hold(worker, &call.body).await,
            _ => reply(404, &json!({})),
        }
    }

    fn refuse(&self, worker: &Worker, reason: &str) -> Result<Reply, NoAnswer> {
        reply(
            409,
            &json!({"clockMs": self.clock(worker), "reason": reason, "born": worker.born.get()}),
        )
    }

    fn is_fenced(worker: &Worker, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        let mut state = worker.state.borrow_mut();
        let is_old = fence < state.fence;
        state.fence = state.fence.max(fence);
        is_old
    }

    fn extend(&self, worker: &Worker, body: &Value) {
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            let most = self.clock(worker) + HOLD_MAX_MS;
            let mut state = worker.state.borrow_mut();
            state.deadline_ms = state.deadline_ms.max(deadline.min(most));
        }
    }

    fn start(self: &Rc<Self>, worker: &Rc<Worker>, body: &Value) -> Result<Reply, NoAnswer> {
        if Self::is_fenced(worker, body) {
            return self.refuse(worker, "fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let spec = body["spec"].as_str().unwrap_or_default();
        if self.needs_tickets && !self.has_ticket(worker, &task, body) {
            return self.refuse(worker, "ticket");
        }
        if body["deadlineMs"].as_u64().unwrap_or(0) <= self.clock(worker) {
            return self.refuse(worker, "late");
        }
        let present = worker
            .state
            .borrow()
            .running
            .get(&task)
            .map(|running| running.run);
        let past = worker.state.borrow().past.get(&task).copied().unwrap_or(0);
        self.extend(worker, body);
        if present == Some(run) {
            return reply(
                200,
                &json!({"clockMs": self.clock(worker), "born": worker.born.get()}),
            );
        }
        if present.is_some() || run <= past {
            return self.refuse(worker, "old");
        }
        let number = worker.next_number.get();
        worker.next_number.set(number + 1);
        let running = Running {
            run,
            number,
            is_stopping: false,
        };
        worker
            .state
            .borrow_mut()
            .running
            .insert(task.clone(), running);
        self.record
            .line(&format!("{} begins {task} run {run}", worker.id));
        self.begun.borrow_mut().push(Begun {
            at_ms: self.record.ms(),
            worker: worker.number,
            task: task.clone(),
            run,
        });
        let (fleet, on, duration) = (self.clone(), worker.clone(), (self.duration)(&task, spec));
        if let Some(size) = spec
            .strip_prefix("gang of ")
            .and_then(|size| size.parse().ok())
        {
            self.join_gang(worker, &task, run, number, size, duration);
            return reply(
                200,
                &json!({"clockMs": self.clock(worker), "born": worker.born.get()}),
            );
        }
        spawn_local(async move {
            sleep(duration).await;
            fleet.end(&on, &task, Some(number), "done");
        });
        reply(
            200,
            &json!({"clockMs": self.clock(worker), "born": worker.born.get()}),
        )
    }

    fn stop(self: &Rc<Self>, worker: &Rc<Worker>, body: &Value) -> Result<Reply, NoAnswer> {
        if Self::is_fenced(worker, body) {
            return self.refuse(worker, "fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        let answer = reply(
            200,
            &json!({"clockMs": self.clock(worker), "born": worker.born.get()}),
        );
        let mut state = worker.state.borrow_mut();
        match state.running.get_mut(&task) {
            Some(running) if running.run == run => {
                if !std::mem::replace(&mut running.is_stopping, true) {
                    let (fleet, on, number) = (self.clone(), worker.clone(), running.number);
                    spawn_local(async move {
                        sleep(STOP_TIME).await;
                        fleet.end(&on, &task, Some(number), "stopped");
                    });
                }
            }
            _ => {
                let past = state.past.entry(task).or_default();
                *past = (*past).max(run);
            }
        }
        answer
    }

    async fn hold(&self, worker: &Worker, body: &Value) -> Result<Reply, NoAnswer> {
        if Self::is_fenced(worker, body) {
            return self.refuse(worker, "fence");
        }
        self.extend(worker, body);
        let seen = body["lastSeen"].as_u64().unwrap_or(0);
        worker
            .state
            .borrow_mut()
            .ended
            .retain(|(number, ..)| *number > seen);
        let until =
            Instant::now() + Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        loop {
            let changed = worker.changed.notified();
            if !worker.state.borrow().ended.is_empty() || Instant::now() >= until {
                break;
            }
            let _ = timeout_at(until, changed).await;
        }
        let state = worker.state.borrow();
        let running: Vec<Value> = state
            .running
            .iter()
            .map(|(task, r)| json!([task, r.run, "", 10, 0]))
            .collect();
        let ended: Vec<Value> = state
            .ended
            .iter()
            .take(500)
            .map(|(n, task, run, how)| json!([n, task, run, how, ""]))
            .collect();
        reply(
            200,
            &json!({"clockMs": self.clock(worker), "born": worker.born.get(), "running": running, "ended": ended}),
        )
    }
}

impl Worker {
    /// Waits for the time between two heartbeats. The first one after a start comes [`FIRST_BEAT`] after it.
    pub async fn pause(&self, time: Duration) {
        let born = self.born.get();
        let until = Instant::now() + time;
        while Instant::now() < until && self.born.get() == born {
            sleep(Duration::from_millis(10)).await;
        }
        if self.born.get() != born {
            sleep(FIRST_BEAT).await;
        }
    }

    pub fn is_up(&self) -> bool {
        *self.is_up.borrow()
    }

    /// Returns the entry under `servers/ID`.
    pub fn entry(&self, cpu: u64, mem_mb: u64, seq: u64) -> Value {
        let number = self.number;
        json!({
            "service": "huvo11a", "address": self.address.to_string(), "zone": format!("z{}", number % 3),
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": seq, "clockMs": seq * 1_500, "born": self.born.get(),
            "capacity": {"cpu": cpu, "memMb": mem_mb, "gpu": 0}, "labels": ["a", format!("r1-{}", number / 8)],
        })
    }
}
