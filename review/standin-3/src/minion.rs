//! A minion: runs tasks as PROTOCOL.md says. What a task does stands in its job's `spec`: `ms=TIME how=done|failed`.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    thread::{self, sleep},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Reply, Request},
    record::Record,
    store::Store,
};

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// The longest lease (`holdMaxMs`).
pub const HOLD_MAX_MS: u64 = 6_000;

/// The time that a stop takes; at most `stopGraceMs`.
const STOP_TIME: Duration = Duration::from_millis(100);

/// How often waiting calls look for ends.
const LOOK: Duration = Duration::from_millis(5);

/// A run, from its start on; kept after its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u32,
    pub from: Instant,
    pub until: Option<Instant>,
    pub how: &'static str,
}

#[derive(Clone, Debug)]
struct Active {
    number: u32,
    ends_at: Instant,
    how: &'static str,
    /// Its position among all runs.
    index: usize,
}

#[derive(Default)]
struct Life {
    is_up: bool,
    born: u64,
    began: Option<Instant>,
    fence: u64,
    lease_until: u64,
    running: BTreeMap<String, Active>,
    /// The highest run that was stopped or has ended, by task.
    past: HashMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end: u64,
    seq: u64,
}

pub struct Minion {
    pub id: String,
    pub cpu: u64,
    zone: &'static str,
    rack: String,
    life: Mutex<Life>,
    runs: Arc<Mutex<Vec<Run>>>,
    store: Arc<Store>,
    record: Arc<Record>,
    address: Mutex<Option<SocketAddr>>,
}

impl Minion {
    pub fn start(
        number: usize,
        cpu: u64,
        runs: Arc<Mutex<Vec<Run>>>,
        store: Arc<Store>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let minion = Arc::new(Self {
            id: format!("i-{:08x}", 0x7f3a_91c2_u32.wrapping_mul(number as u32 * 2 + 1)),
            cpu,
            zone: ["za", "zb", "zc"][number % 3],
            rack: format!("r1-{}", number / 8),
            life: Mutex::default(),
            runs,
            store,
            record,
            address: Mutex::default(),
        });
        let serving = minion.clone();
        *minion.address.lock().unwrap() = Some(http::serve(move |request| serving.answer(&request))?);
        minion.begin();
        let beating = minion.clone();
        thread::spawn(move || {
            loop {
                sleep(HEARTBEAT);
                beating.beat();
            }
        });
        Ok(minion)
    }

    /// Begins a new incarnation, which knows nothing of those before.
    pub fn begin(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        *self.life.lock().unwrap() = Life {
            is_up: true,
            born: u64::try_from(born.as_millis()).unwrap_or(0),
            began: Some(Instant::now()),
            ..Life::default()
        };
        self.record.add(&format!("minion {} begins", self.id));
        self.beat();
    }

    /// Crashes: everything that runs ends, and connections are closed.
    pub fn crash(&self) {
        let mut life = self.lock();
        life.is_up = false;
        self.record.add(&format!("minion {} crashes with {} tasks", self.id, life.running.len()));
        for active in std::mem::take(&mut life.running).into_values() {
            self.end_run(&active, "crashed");
        }
    }

    /// Returns whether a task of this job runs here.
    pub fn has_job(&self, job: &str) -> bool {
        self.lock().running.keys().any(|task| task.starts_with(job))
    }

    fn beat(&self) {
        let mut life = self.life.lock().unwrap();
        let Some(address) = *self.address.lock().unwrap() else {
            return;
        };
        if !life.is_up {
            return;
        }
        life.seq += 1;
        let entry = json!({
            "service": "svc", "address": address.to_string(), "zone": self.zone, "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "seq": life.seq, "born": life.born,
            "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0}, "labels": ["a", self.rack],
        });
        drop(life);
        self.store.put("servers", &self.id, Some(&entry));
    }

    /// Returns the state after all that was due by now.
    fn lock(&self) -> MutexGuard<'_, Life> {
        let mut life = self.life.lock().unwrap();
        let now = Instant::now();
        let has_lapsed = clock_ms(&life) >= life.lease_until;
        let due = life.running.iter().filter(|(_, active)| has_lapsed || active.ends_at <= now);
        let due: Vec<(String, Active)> = due.map(|(task, a)| (task.clone(), a.clone())).collect();
        for (task, active) in due {
            let how = if active.ends_at <= now { active.how } else { "lapsed" };
            life.running.remove(&task);
            life.last_end += 1;
            let number = life.last_end;
            life.ended.push((number, task.clone(), active.number, how));
            life.past.insert(task, active.number);
            self.end_run(&active, how);
        }
        life
    }

    fn end_run(&self, active: &Active, how: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        let run = &mut runs[active.index];
        run.until = Some(Instant::now());
        run.how = how;
        self.record.add(&format!("end {} run={} on {}: {how}", run.task, run.number, self.id));
    }

    fn answer(&self, request: &Request) -> Reply {
        if !self.life.lock().unwrap().is_up {
            return None;
        }
        if request.header("x-lacewingrouter-target-instance").is_some_and(|id| id != self.id) {
            return Some((421, "{}".to_owned()));
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        match request.path.as_str() {
            "/health" => Some((200, "{}".to_owned())),
            "/-/run-start" => self.start_run(&body),
            "/-/run-stop" => self.stop_run(&body),
            "/-/hold" => self.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start_run(&self, body: &Value) -> Reply {
        let mut life = self.lock();
        let clock = clock_ms(&life);
        if !take_fence(&mut life, body) {
            return refuse(&life, "fence");
        }
        let task = body["task"].as_str()?.to_owned();
        let number = u32::try_from(body["run"].as_u64()?).ok()?;
        if life.running.get(&task).is_some_and(|active| active.number == number) {
            return accept(&life);
        }
        let deadline = body["deadlineMs"].as_u64()?;
        if deadline <= clock {
            return refuse(&life, "late");
        }
        take_lease(&mut life, deadline);
        if life.past.get(&task).is_some_and(|&past| number <= past) || life.running.contains_key(&task) {
            return refuse(&life, "old");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let word = |name: &str| spec.split(' ').find_map(|word| word.strip_prefix(name));
        let ms = word("ms=").and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            task: task.clone(),
            number,
            from: Instant::now(),
            until: None,
            how: "",
        });
        let active = Active {
            number,
            ends_at: Instant::now() + Duration::from_millis(ms),
            how: if word("how=") == Some("failed") { "failed" } else { "done" },
            index: runs.len() - 1,
        };
        drop(runs);
        self.record.add(&format!("start {task} run={number} on {}", self.id));
        life.running.insert(task, active);
        accept(&life)
    }

    fn stop_run(&self, body: &Value) -> Reply {
        let mut life = self.lock();
        if !take_fence(&mut life, body) {
            return refuse(&life, "fence");
        }
        let task = body["task"].as_str()?.to_owned();
        let number = u32::try_from(body["run"].as_u64()?).ok()?;
        let past = life.past.entry(task.clone()).or_default();
        *past = number.max(*past);
        if let Some(active) = life.running.get_mut(&task).filter(|active| active.number <= number) {
            active.ends_at = active.ends_at.min(Instant::now() + STOP_TIME);
            active.how = "stopped";
        }
        accept(&life)
    }

    fn hold(&self, body: &Value) -> Reply {
        let mut life = self.lock();
        if !take_fence(&mut life, body) {
            return refuse(&life, "fence");
        }
        let born = life.born;
        let seen = body["lastSeen"].as_u64().unwrap_or(0);
        life.ended.retain(|(number, ..)| *number > seen);
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            take_lease(&mut life, deadline);
        }
        let wait = body["waitMs"].as_u64().unwrap_or(0).min(2_000);
        let until = Instant::now() + Duration::from_millis(wait);
        while life.ended.is_empty() && Instant::now() < until {
            drop(life);
            sleep(LOOK);
            life = self.lock();
            if !life.is_up || life.born != born {
                return None;
            }
        }
        let running: Vec<Value> = life
            .running
            .iter()
            .map(|(task, active)| json!([task, active.number, "", 50, 100]))
            .collect();
        let ended: Vec<Value> = life
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let lists = json!({"clockMs": clock_ms(&life), "born": life.born, "running": running, "ended": ended});
        Some((200, lists.to_string()))
    }
}

fn clock_ms(life: &Life) -> u64 {
    let since = life.began.map(|began| began.elapsed()).unwrap_or_default();
    1_000 + u64::try_from(since.as_millis()).unwrap_or(0)
}

fn take_fence(life: &mut Life, body: &Value) -> bool {
    let fence = body["fence"].as_u64().unwrap_or(0);
    let is_current = fence >= life.fence;
    life.fence = fence.max(life.fence);
    is_current
}

fn take_lease(life: &mut Life, deadline: u64) {
    let longest = clock_ms(life) + HOLD_MAX_MS;
    life.lease_until = life.lease_until.max(deadline.min(longest));
}

fn accept(life: &Life) -> Reply {
    Some((200, json!({"clockMs": clock_ms(life)}).to_string()))
}

fn refuse(life: &Life, reason: &str) -> Reply {
    Some((409, json!({"clockMs": clock_ms(life), "reason": reason}).to_string()))
}
