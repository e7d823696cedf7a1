//! The project's own processes, started with the command of the deploy file.

use std::{
    cell::RefCell,
    fs::{self, File},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

pub const FRONT: u16 = 8161;
const READY: u16 = 8167;
const PORTS: [u16; 2] = [7720, 7735];

/// One node. It is killed when it is dropped.
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
}

/// Returns a loopback address that belongs to this run.
pub fn address(number: u8) -> IpAddr {
    let pid = std::process::id();
    let byte = |shift: u32, least: u8, count: u32| {
        least + u8::try_from((pid >> shift) % count).unwrap_or(0)
    };
    IpAddr::V4(Ipv4Addr::new(
        127,
        byte(8, 32, 200),
        byte(0, 0, 255),
        number,
    ))
}

impl Node {
    /// Writes the settings of a node. `store` is the address of the platform's store.
    pub fn new(
        dir: &Path,
        number: u8,
        store: SocketAddr,
        advice: Option<SocketAddr>,
    ) -> io::Result<Self> {
        let ip = address(number);
        let name = format!("edge-z{}-{number}", number % 3);
        let at = |port: u16| format!("{ip}:{port}");
        let settings = dir.join(format!("{name}.json"));
        let zone = format!("z{}", number % 3);
        let text = json!({
            "node": name, "role": "entry", "class": "edge", "serves": ["edge"], "ip": ip.to_string(),
            "zone": zone, "region": zone, "zones": {"z0": "z0", "z1": "z1", "z2": "z2"},
            "listen": {"front": at(FRONT), "ready": at(READY)}, "portRange": PORTS, "seeds": [],
            "bootstrap": true, "lossCounts": false,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": null, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackTimeoutMs": 5000, "catchUpS": 4,
                "drainMs": 2500, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250,
                "maxSkewMs": 6000, "recoveryS": 12, "holdMaxMs": 10000, "stopGraceMs": 200, "gangWaitMs": 3000,
                "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
                "farFactor": 3, "checkpointIntervalS": 2, "restoreMs": 100, "noticeMs": 5500, "moveS": 1.5,
                "maintenanceS": 2, "requireFence": false, "leaseTtlMs": 3000, "thawMs": 300, "paceMs": 100,
                "harmMs": 4000,
            },
            "orders": "push", "advice": advice.map(|address| address.to_string()),
            "platform": {
                "address": store.to_string(), "form": "table", "writesPerS": 600, "readsPerS": 2000, "txMs": 5.0,
                "partitionWritesS": 200, "rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608,
                "blobMs": 25.0, "blobMbS": 80.0,
            },
        });
        fs::write(&settings, text.to_string())?;
        Ok(Self {
            log: dir.join(format!("{name}.log")),
            name,
            ip,
            settings,
            child: RefCell::default(),
        })
    }

    /// Starts the process: `target/release/lacewingrouter entry`.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/lacewingrouter")
            .arg("entry")
            .env_clear()
            .env("LACEWINGROUTER_SETTINGS", &self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Freezes the process, or wakes it again.
    pub fn freeze(&self, is_frozen: bool) {
        let signal = if is_frozen {
            Signal::STOP
        } else {
            Signal::CONT
        };
        let pid = self
            .child
            .borrow()
            .as_ref()
            .and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        child
            .as_mut()
            .is_some_and(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Returns how often a text occurs in the log.
    pub fn count_in_log(&self, text: &str) -> usize {
        fs::read_to_string(&self.log)
            .unwrap_or_default()
            .matches(text)
            .count()
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
