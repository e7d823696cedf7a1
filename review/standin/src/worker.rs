//! Minions, as the platform's pages describe them, with `admissionCheck` false.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::spawn_local,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    http::{Call, Reply, serve},
    record::Record,
    store::Store,
    unix_ms,
};

/// `holdMaxMs` of the settings.
pub const HOLD_MAX_MS: u64 = 6_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const STOP_TIME: Duration = Duration::from_millis(50);
/// The most ends in a list.
const LISTED_ENDS: usize = 500;

/// A run of a task that has begun.
struct Run {
    number: u32,
    began: Instant,
    /// When its work is done; `None` if it lasts until it is stopped.
    until: Option<Instant>,
    is_stopping: bool,
    fails: bool,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
}

/// What one life of a minion knows.
struct Life {
    born: u64,
    start: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended here.
    past: HashMap<String, u32>,
    ended: Vec<End>,
    last_end: u64,
    acknowledged: u64,
}

impl Life {
    /// Begins a life on a machine whose time of day is ahead by `ahead_ms`.
    fn new(ahead_ms: u64) -> Self {
        Self {
            born: unix_ms() + ahead_ms,
            start: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            past: HashMap::new(),
            ended: Vec::new(),
            last_end: 0,
            acknowledged: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0) + 1_000
    }
}

/// What the minions have seen of all tasks, for the checks.
#[derive(Default)]
pub struct Seen {
    /// The tasks that run now, by job.
    pub running: HashMap<String, u32>,
    /// The runs that have begun, and those that have ended `done`, by job.
    pub starts: HashMap<String, u32>,
    pub done: HashMap<String, u32>,
    pub all_starts: u64,
    pub all_done: u64,
    pub all_lapsed: u64,
    pub cpu_in_use: u64,
    /// Violations of TWICE: a task that runs on two minions, or a start after an end `done` that was taken note of.
    pub twice: Vec<String>,
    now_running: HashMap<String, u32>,
    noted_done: HashMap<String, ()>,
}

/// How long the tasks of a job work, and their size; told by the script through the `spec`.
#[derive(Clone, Copy)]
pub struct Work {
    pub for_ms: Option<u64>,
    pub cpu: u64,
    /// Whether its runs end as `failed`.
    pub fails: bool,
}

/// Reads `ms=N cpu=N` from a spec; `ms=0` for a task that lasts. With `from=N`, the steps from that number on have
/// `later_ms=N later_cpu=N`.
fn work(spec: &str, task: &str) -> Work {
    let number = |name: &str| {
        spec.split(' ')
            .find_map(|word| word.strip_prefix(name)?.parse::<u64>().ok())
    };
    let step: u64 = task
        .split('.')
        .nth(2)
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let is_later = number("from=").is_some_and(|from| step >= from);
    let (ms, cpu) = if is_later {
        (number("later_ms="), number("later_cpu="))
    } else {
        (number("ms="), number("cpu="))
    };
    Work {
        for_ms: ms.filter(|&ms| ms > 0),
        cpu: cpu.unwrap_or(0),
        fails: number("fails=").is_some_and(|fails| fails > 0),
    }
}

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    zone: String,
    rack: String,
    /// The kind, which is the first label.
    kind: &'static str,
    pub cpu: u64,
    life: RefCell<Life>,
    pub is_down: Cell<bool>,
    /// Whether the minion is partitioned from the machines of the system. It runs on.
    is_cut: Cell<bool>,
    /// By how much the time of day of its machine is ahead.
    clock_ahead_ms: Cell<u64>,
    ended: Notify,
    /// Signals that a new life has begun, which registers at once.
    restarted: Notify,
    changed: Notify,
    seen: Rc<RefCell<Seen>>,
    record: Rc<Record>,
    cpu_of: RefCell<HashMap<String, u64>>,
}

fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}

impl Worker {
    pub async fn start(
        number: usize,
        cpu: u64,
        store: Rc<Store>,
        seen: Rc<RefCell<Seen>>,
        record: Rc<Record>,
    ) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = Rc::new(Self {
            name: format!("i-{:010x}", 0x19_1718_74ef_u64 + 7_919 * number as u64),
            address: listener.local_addr()?,
            zone: "a".to_owned(),
            rack: format!("r1-{}", number / 8),
            kind: if number == 0 { "b" } else { "a" },
            cpu,
            life: RefCell::new(Life::new(0)),
            is_down: Cell::new(false),
            is_cut: Cell::new(false),
            clock_ahead_ms: Cell::new(0),
            ended: Notify::new(),
            restarted: Notify::new(),
            changed: Notify::new(),
            seen,
            record,
            cpu_of: RefCell::default(),
        });
        let answering = worker.clone();
        spawn_local(serve(listener, move |call| answering.clone().answer(call)));
        spawn_local(worker.clone().beat(store));
        spawn_local(worker.clone().work());
        Ok(worker)
    }

    async fn beat(self: Rc<Self>, store: Rc<Store>) {
        let mut seq = 0_u64;
        loop {
            if !self.is_down.get() && store.fault.get() == crate::store::Fault::None {
                seq += 1;
                let born = self.life.borrow().born;
                let entry = json!({
                    "service": "work", "address": self.address.to_string(), "zone": self.zone,
                    "version": "1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "seq": seq,
                    "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0},
                    "labels": [self.kind, self.rack], "born": born, "machine": format!("m{}", self.name),
                });
                store.put("servers", &self.name, Some(&entry));
            }
            let _ = timeout(HEARTBEAT, self.restarted.notified()).await;
        }
    }

    /// Ends the runs whose work is done, and all runs when the lease has expired.
    async fn work(self: Rc<Self>) {
        loop {
            let next = {
                let now = Instant::now();
                let mut life = self.life.borrow_mut();
                let clock = life.clock_ms();
                if !life.running.is_empty() && clock >= life.deadline_ms {
                    let tasks: Vec<String> = life.running.keys().cloned().collect();
                    self.record.line(&format!(
                        "{} lease expired, {} runs lapsed",
                        self.name,
                        tasks.len()
                    ));
                    for task in tasks {
                        self.end(&mut life, &task, "lapsed");
                    }
                }
                let due: Vec<String> = life
                    .running
                    .iter()
                    .filter(|(_, run)| run.until.is_some_and(|at| at <= now))
                    .map(|(task, _)| task.clone())
                    .collect();
                for task in due {
                    let run = &life.running[&task];
                    let how = if run.is_stopping {
                        "stopped"
                    } else if run.fails {
                        "failed"
                    } else {
                        "done"
                    };
                    self.end(&mut life, &task, how);
                }
                let lease = Duration::from_millis(life.deadline_ms.saturating_sub(clock).max(1));
                let lease = (!life.running.is_empty()).then(|| now + lease);
                life.running
                    .values()
                    .filter_map(|run| run.until)
                    .chain(lease)
                    .min()
                    .unwrap_or(now + Duration::from_secs(1))
            };
            tokio::select! {
                () = sleep_until(next) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    fn end(&self, life: &mut Life, task: &str, how: &'static str) {
        let Some(run) = life.running.remove(task) else {
            return;
        };
        life.last_end += 1;
        let number = life.last_end;
        life.past.insert(task.to_owned(), run.number);
        life.ended.push(End {
            number,
            task: task.to_owned(),
            run: run.number,
            how,
        });
        let job = job_of(task);
        let mut seen = self.seen.borrow_mut();
        *seen.running.entry(job.clone()).or_default() -= 1;
        *seen.now_running.entry(task.to_owned()).or_default() -= 1;
        let cpu = self.cpu_of.borrow_mut().remove(task).unwrap_or(0);
        seen.cpu_in_use -= cpu;
        match how {
            "done" => {
                *seen.done.entry(job).or_default() += 1;
                seen.all_done += 1;
            }
            "lapsed" => seen.all_lapsed += 1,
            _ => {}
        }
        self.record.line(&format!(
            "{} ended {task} run {} {how} after {} ms",
            self.name,
            run.number,
            run.began.elapsed().as_millis()
        ));
        self.ended.notify_waiters();
    }

    /// Returns the tasks of a job that run here.
    pub fn running_of(&self, job: &str) -> Vec<String> {
        let life = self.life.borrow();
        let tasks = life.running.keys().filter(|task| job_of(task) == job);
        tasks.cloned().collect()
    }

    /// Lets the time of day of its machine jump.
    pub fn set_clock_ahead(&self, ms: u64) {
        self.record.line(&format!(
            "the time of day of {} is {ms} ms ahead",
            self.name
        ));
        self.clock_ahead_ms.set(ms);
    }

    /// Crashes the minion: what runs is gone, and nothing of before is known when it is back.
    pub fn crash(self: &Rc<Self>, down: Duration) {
        self.record.line(&format!(
            "{} crashes for {} ms",
            self.name,
            down.as_millis()
        ));
        self.is_down.set(true);
        {
            let mut life = self.life.borrow_mut();
            let tasks: Vec<String> = life.running.keys().cloned().collect();
            let mut seen = self.seen.borrow_mut();
            for task in tasks {
                *seen.running.entry(job_of(&task)).or_default() -= 1;
                *seen.now_running.entry(task.clone()).or_default() -= 1;
                seen.cpu_in_use -= self.cpu_of.borrow_mut().remove(&task).unwrap_or(0);
            }
            life.running.clear();
        }
        let worker = self.clone();
        spawn_local(async move {
            sleep(down).await;
            *worker.life.borrow_mut() = Life::new(worker.clock_ahead_ms.get());
            worker.is_down.set(false);
            worker.record.line(&format!("{} is back", worker.name));
            worker.restarted.notify_one();
        });
    }

    /// Partitions the minion from the machines of the system, or ends that.
    pub fn cut(&self, is_cut: bool) {
        let text = if is_cut {
            "is cut off"
        } else {
            "is reached again"
        };
        self.record.line(&format!("{} {text}", self.name));
        self.is_cut.set(is_cut);
    }

    async fn answer(self: Rc<Self>, call: Call) -> Reply {
        if self.is_cut.get() {
            // What was sent during the cut is lost, and its connection is silent.
            while self.is_cut.get() {
                sleep(Duration::from_millis(20)).await;
            }
            return None;
        }
        if self.is_down.get() {
            return None;
        }
        if call.path == "/health" {
            return Some((200, json!({})));
        }
        if call
            .instance
            .as_ref()
            .is_some_and(|name| *name != self.name)
        {
            return Some((421, json!({})));
        }
        let body = &call.body;
        let fence = body["fence"].as_u64().unwrap_or(0);
        {
            let mut life = self.life.borrow_mut();
            let clock = life.clock_ms();
            if fence < life.fence {
                return Some((409, json!({"clockMs": clock, "reason": "fence"})));
            }
            life.fence = fence;
        }
        match call.path.as_str() {
            "/-/run-start" => Some(self.run_start(body)),
            "/-/run-stop" => Some(self.run_stop(body)),
            "/-/hold" => self.hold(body).await,
            _ => Some((404, json!({}))),
        }
    }

    fn extend(&self, life: &mut Life, body: &Value) {
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            let longest = life.clock_ms() + HOLD_MAX_MS;
            life.deadline_ms = life.deadline_ms.max(deadline.min(longest));
        }
    }

    fn run_start(&self, body: &Value) -> (u16, Value) {
        let mut life = self.life.borrow_mut();
        let clock = life.clock_ms();
        let refusal = |reason: &str| (409, json!({"clockMs": clock, "reason": reason}));
        let (Some(task), Some(number), Some(deadline), Some(spec)) = (
            body["task"].as_str(),
            body["run"].as_u64().and_then(|n| u32::try_from(n).ok()),
            body["deadlineMs"].as_u64(),
            body["spec"].as_str(),
        ) else {
            return (400, json!({"clockMs": clock}));
        };
        if let Some(run) = life.running.get(task) {
            if run.number == number {
                self.extend(&mut life, body);
                return (200, json!({"clockMs": clock}));
            }
            return refusal("old");
        }
        if deadline <= clock {
            return refusal("late");
        }
        self.extend(&mut life, body);
        if life.past.get(task).is_some_and(|&past| number <= past) {
            return refusal("old");
        }
        let work = work(spec, task);
        let now = Instant::now();
        life.running.insert(
            task.to_owned(),
            Run {
                number,
                began: now,
                until: work.for_ms.map(|ms| now + Duration::from_millis(ms)),
                is_stopping: false,
                fails: work.fails,
            },
        );
        drop(life);
        self.cpu_of.borrow_mut().insert(task.to_owned(), work.cpu);
        let mut seen = self.seen.borrow_mut();
        let job = job_of(task);
        *seen.running.entry(job.clone()).or_default() += 1;
        *seen.starts.entry(job).or_default() += 1;
        seen.all_starts += 1;
        seen.cpu_in_use += work.cpu;
        let running = seen.now_running.entry(task.to_owned()).or_default();
        *running += 1;
        if *running > 1 {
            let text = format!("TWICE: {task} run {number} runs on two minions");
            self.record.line(&text);
            seen.twice.push(text);
        }
        if seen.noted_done.contains_key(task) {
            let text = format!("TWICE: {task} run {number} starts after its end was taken note of");
            self.record.line(&text);
            seen.twice.push(text);
        }
        self.record
            .line(&format!("{} started {task} run {number}", self.name));
        self.changed.notify_waiters();
        (200, json!({"clockMs": clock}))
    }

    fn run_stop(&self, body: &Value) -> (u16, Value) {
        let mut life = self.life.borrow_mut();
        let clock = life.clock_ms();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run"].as_u64().unwrap_or(0);
        let number = u32::try_from(number).unwrap_or(0);
        match life.running.get_mut(&task) {
            Some(run) if run.number == number => {
                run.is_stopping = true;
                run.until = Some(Instant::now() + STOP_TIME);
            }
            Some(_) => {}
            None => {
                let past = life.past.entry(task).or_default();
                *past = (*past).max(number);
            }
        }
        drop(life);
        self.changed.notify_waiters();
        (200, json!({"clockMs": clock}))
    }

    async fn hold(&self, body: &Value) -> Reply {
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        let wait = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
        {
            let mut life = self.life.borrow_mut();
            self.extend(&mut life, body);
            if last_seen > life.acknowledged {
                life.acknowledged = last_seen;
                let mut seen = self.seen.borrow_mut();
                for end in life.ended.iter().filter(|end| end.number <= last_seen) {
                    if end.how == "done" {
                        seen.noted_done.insert(end.task.clone(), ());
                    }
                }
                life.ended.retain(|end| end.number > last_seen);
            }
        }
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            if !self.life.borrow().ended.is_empty() || Instant::now() >= until {
                break;
            }
            let _ = timeout(until - Instant::now(), ended).await;
        }
        while self.is_cut.get() {
            sleep(Duration::from_millis(20)).await;
            if !self.is_cut.get() {
                return None;
            }
        }
        if self.is_down.get() {
            return None;
        }
        let life = self.life.borrow();
        let now = Instant::now();
        let running: Vec<Value> = life
            .running
            .iter()
            .map(|(task, run)| {
                let percent = run.until.map_or(100, |until| {
                    let total = (until - run.began).as_millis().max(1);
                    ((now - run.began).as_millis() * 100 / total).min(100)
                });
                json!([task, run.number, "", percent, 0])
            })
            .collect();
        let ended: Vec<Value> = life
            .ended
            .iter()
            .take(LISTED_ENDS)
            .map(|end| json!([end.number, end.task, end.run, end.how, ""]))
            .collect();
        Some((
            200,
            json!({"clockMs": life.clock_ms(), "born": life.born, "running": running, "ended": ended}),
        ))
    }
}
