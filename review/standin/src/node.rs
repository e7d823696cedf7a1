//! The processes of the system, started with the command of the deploy file.

use std::{
    cell::{Cell, RefCell},
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    time::Duration,
};

use serde_json::json;
use tokio::{task::spawn_local, time::sleep};

use crate::record::Record;

/// The pause before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Whether the script keeps the process down.
    pub is_held: Cell<bool>,
    /// How often the process has ended by itself.
    pub own_ends: Cell<u32>,
    record: Rc<Record>,
}

/// The ports of a node, at a loopback address of its own.
const PORTS: [u16; 4] = [8161, 8167, 7720, 7735];

/// Returns a loopback address at which the ports of a node are free. Connections of other programs start at 127.0.0.1, so
/// they do not take the ports while the node is down.
fn free_address(number: usize) -> io::Result<String> {
    let process = std::process::id() % 16_000;
    for attempt in 0..20_usize {
        let (high, low) = (16 + process / 250, 1 + process % 250);
        let ip = format!("127.{high}.{low}.{}", 1 + (number + attempt * 10) % 250);
        let are_free = PORTS
            .iter()
            .all(|port| TcpListener::bind(format!("{ip}:{port}")).is_ok());
        if are_free {
            return Ok(ip);
        }
    }
    Err(io::Error::other("no free address"))
}

/// Returns the command of the role from the deploy file.
fn command(root: &Path) -> Vec<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml")).unwrap_or_default();
    let run = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("run = \"")?.strip_suffix('"'))
        .unwrap_or("target/release/lacewingrouter entry");
    run.split_whitespace().map(str::to_owned).collect()
}

impl Node {
    pub fn new(
        number: usize,
        root: &Path,
        dir: &Path,
        store: SocketAddr,
        record: Rc<Record>,
    ) -> io::Result<Rc<Self>> {
        let ip = free_address(number)?;
        let at = |index: usize| format!("{ip}:{}", PORTS[index]);
        let name = format!("edge-a-{number}");
        let settings = dir.join(format!("{name}.json"));
        // The settings of a small deployment, as `DEPLOY.md` shows them.
        let text = json!({
            "node": name, "role": "entry", "class": "edge", "serves": ["edge", "control"],
            "ip": ip, "zone": "a", "region": "r", "zones": {"a": "r"},
            "listen": {"front": at(0), "ready": at(1)},
            "portRange": [PORTS[2], PORTS[3]],
            "bootstrap": true, "lossCounts": false,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": null, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
                "drainMs": 2500, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250,
                "maxSkewMs": 6000, "recoveryS": 12, "holdMaxMs": 6000, "stopGraceMs": 400, "gangWaitMs": 3000,
                "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120
            },
            "orders": "push",
            "platform": {
                "address": store.to_string(), "form": "table", "writesPerS": 800, "readsPerS": 2000, "txMs": 5.0,
                "partitionWritesS": 200, "rowBytes": 65536, "across": false, "historyS": 20
            },
        });
        fs::write(&settings, text.to_string())?;
        Ok(Rc::new(Self {
            front: at(0).parse().map_err(io::Error::other)?,
            command: command(root),
            log: dir.join(format!("{name}.log")),
            name,
            settings,
            child: RefCell::default(),
            is_held: Cell::default(),
            own_ends: Cell::default(),
            record,
        }))
    }

    pub fn supervise(self: &Rc<Self>) {
        let node = self.clone();
        spawn_local(async move {
            loop {
                if node.is_held.get() {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                }
                if let Err(e) = node.spawn() {
                    node.record
                        .say(&format!("{} does not start: {e}", node.name));
                }
                while node.is_alive() {
                    sleep(Duration::from_millis(50)).await;
                }
                if !node.is_held.get() {
                    node.own_ends.set(node.own_ends.get() + 1);
                    node.record
                        .line(&format!("{} has ended by itself", node.name));
                }
                sleep(RESTART_DELAY).await;
            }
        });
    }

    fn spawn(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("LACEWINGROUTER_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .line(&format!("{} started, process {}", self.name, child.id()));
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    fn is_alive(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process. It is started again after a pause unless the script holds it down.
    pub fn kill(&self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            self.record.line(&format!("{} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by its name to the process.
    pub fn signal(&self, name: &str) {
        let id = self.child.borrow().as_ref().map(Child::id);
        if let Some(id) = id {
            self.record.line(&format!("{} gets SIG{name}", self.name));
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(id.to_string())
                .status();
        }
    }

    /// Copies the process's log lines with any of `words` into the record.
    pub fn quote_log(&self, words: &[&str], most: usize) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)))
            .collect();
        for line in lines.iter().take(most) {
            self.record.line(&format!("log of {}: {line}", self.name));
        }
        if lines.len() > most {
            self.record
                .line(&format!("log of {}: {} such lines", self.name, lines.len()));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = self.child.borrow_mut().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
