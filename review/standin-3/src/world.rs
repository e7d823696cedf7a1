//! A small deployment: the store, minions, and nodes as separate processes with the command of the deploy file.

use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http,
    minion::{HOLD_MAX_MS, Minion, Run},
    record::Record,
    store::{ROW_BYTES, Store},
};

pub const HOST: &str = "nony24.example";
const CLIENT_LIMIT: Duration = Duration::from_secs(3);
const START_LIMIT: Duration = Duration::from_secs(15);

struct Node {
    front: SocketAddr,
    ready: SocketAddr,
    process: Child,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    nodes: Vec<Node>,
    temp: PathBuf,
}

/// A route of the configuration without advice.
pub fn route(name: &str, prefix: &str, priority: u32, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
        "targetDurationMs": 1200, "priority": priority, "service": "svc", "maxAttempts": attempts, "stretch": 3.0,
    })
}

pub fn config(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version, "routes": routes,
        "services": [{"name": "svc", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
            "admissionCheck": false, "standby": false}],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
    })
}

/// Returns the first of sixteen consecutive free ports.
fn free_ports() -> io::Result<u16> {
    loop {
        let first = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        let Some(last) = first.checked_add(15) else {
            continue;
        };
        if (first..=last).all(|port| TcpListener::bind(("127.0.0.1", port)).is_ok()) {
            return Ok(first);
        }
    }
}

impl World {
    /// Starts everything, and waits until all nodes are ready.
    pub fn start(dir: &Path, nodes: usize, minions: usize, cpu: u64, config: &Value) -> io::Result<Self> {
        let record = Arc::new(Record::new(&dir.join("record.txt"))?);
        let store = Store::new(record.clone());
        store.put("op", "config", Some(config));
        let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
        let minions = (0..minions)
            .map(|number| Minion::start(number, cpu, runs.clone(), store.clone(), record.clone()))
            .collect::<io::Result<_>>()?;
        let temp = std::env::temp_dir().join(format!("standin-3-{}", std::process::id()));
        fs::create_dir_all(&temp)?;
        let mut world = Self {
            record,
            store,
            minions,
            runs,
            nodes: Vec::new(),
            temp,
        };
        for number in 0..nodes {
            world.start_node(number)?;
        }
        let deadline = Instant::now() + START_LIMIT;
        for node in &world.nodes {
            while !matches!(http::call(node.ready, "GET", "/-/ready", HOST, "", CLIENT_LIMIT), Some((200, _))) {
                if Instant::now() > deadline {
                    return Err(io::Error::other("the nodes are not ready in time"));
                }
                sleep(Duration::from_millis(50));
            }
        }
        Ok(world)
    }

    fn start_node(&mut self, number: usize) -> io::Result<()> {
        let ports = free_ports()?;
        let at = |offset: u16| SocketAddr::from(([127, 0, 0, 1], ports + offset));
        let (front, ready) = (at(4), at(5));
        let zone = ["za", "zb", "zc"][number % 3];
        let settings = json!({
            "node": format!("edge-{zone}-{number}"), "role": "entry", "class": "edge", "serves": ["edge"],
            "ip": "127.0.0.1", "zone": zone, "region": format!("r{zone}"),
            "zones": {"za": "rza", "zb": "rzb", "zc": "rzc"},
            "listen": {"front": front.to_string(), "ready": ready.to_string()},
            "portRange": [ports, ports + 15], "seeds": [], "bootstrap": true, "lossCounts": false,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": null, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "bounds": {"contactMs": 4000, "ackTimeoutMs": 5000, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
                "configApplyMs": 2500, "rollbackSlackMs": 250, "maxSkewMs": 6000, "recoveryS": 12,
                "holdMaxMs": HOLD_MAX_MS, "stopGraceMs": 400, "gangWaitMs": 3000, "cancel_ms": 3000,
                "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120},
            "orders": "push", "advice": null,
            "platform": {"address": self.store.serve(number)?.to_string(), "form": "table", "writesPerS": 800,
                "readsPerS": 2000, "txMs": 5.0, "partitionWritesS": 200, "rowBytes": ROW_BYTES, "across": false,
                "historyS": 20},
        });
        let path = self.temp.join(format!("node-{number}.json"));
        fs::write(&path, settings.to_string())?;
        let log = File::create(self.temp.join(format!("node-{number}.log")))?;
        let process = Command::new("target/release/lacewingrouter")
            .arg("entry")
            .env("LACEWINGROUTER_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.nodes.push(Node {
            front,
            ready,
            process,
        });
        Ok(())
    }

    /// Sends a client's request to a node, and records it with its answer.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &Value) -> Option<(u16, String)> {
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let sent = self.record.ms();
        let answer = http::call(self.nodes[node].front, method, path, HOST, &body, CLIENT_LIMIT);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {}", text.chars().take(60).collect::<String>()),
            None => "no answer".to_owned(),
        };
        let what: String = body.chars().take(100).collect();
        self.record.add(&format!("client sent_ms={sent} node={node} {method} {path} {what} -> {shown}"));
        answer
    }

    /// Asks all nodes again and again whether they are ready, for some time, and returns the longest time that each one has
    /// taken to answer.
    pub fn longest_answers(&self, lasts: Duration) -> Vec<Duration> {
        let until = Instant::now() + lasts;
        let ask = |ready: SocketAddr| {
            let mut longest = Duration::ZERO;
            while Instant::now() < until {
                let began = Instant::now();
                let _ = http::call(ready, "GET", "/-/ready", HOST, "", lasts);
                longest = longest.max(began.elapsed());
                sleep(Duration::from_millis(50));
            }
            longest
        };
        thread::scope(|scope| {
            let asking = self.nodes.iter().map(|node| scope.spawn(move || ask(node.ready)));
            let asking: Vec<_> = asking.collect();
            asking.into_iter().map(|asked| asked.join().unwrap_or_default()).collect()
        })
    }

    /// Returns the runs of a job's tasks so far.
    pub fn runs_of(&self, job: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.task.starts_with(job)).cloned().collect()
    }

    /// Returns the number of nodes whose processes have ended.
    pub fn ended_nodes(&mut self) -> usize {
        let ended = |node: &mut Node| matches!(node.process.try_wait(), Ok(Some(_)));
        self.nodes.iter_mut().filter_map(|node| ended(node).then_some(())).count()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.temp);
        } else {
            println!("logs: {}", self.temp.display());
        }
    }
}
