//! Plays one case of the second review: `review-standin-2 CASE RECORD`, in the root of the repository. Exits with 1 if the
//! rule was broken, with 0 if it held, and with 2 if the case could not run.

#![recursion_limit = "256"]

mod cancel;
mod flap;
mod http;
mod nodes;
mod reborn;
mod record;
mod store;
mod thaw;
mod workers;

use std::{
    fs, io,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use hyper::Method;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{LocalSet, spawn_local},
    time::sleep,
};

use crate::{
    http::{Send, send, serve},
    nodes::Node,
    record::Record,
    store::Store,
    workers::{Fleet, VALID_MS},
};

/// The host of all queues.
pub const HOST: &str = "nony24.example";

/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// What a case has found: whether the rule was broken.
pub type Verdict = Result<bool, String>;

/// A small deployment: a store, workers, and the project's own processes.
pub struct Deployment {
    pub record: Record,
    pub store: Rc<Store>,
    pub fleet: Rc<Fleet>,
    pub nodes: Vec<Node>,
    pub dir: PathBuf,
    /// Whether the disruption is brought about.
    pub has_trouble: bool,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

fn route(name: &str, priority: u32, target_ms: u32, has_advice: bool) -> Value {
    let advice =
        has_advice.then(|| json!({"decideMs": 8.1, "periodMs": 0.12, "validMs": VALID_MS}));
    json!({
        "name": format!("r-{name}"), "host": HOST, "pathPrefix": format!("/{name}/"), "kind": "non_idempotent",
        "timeoutMs": 3000, "targetDurationMs": target_ms, "priority": priority, "service": "huvo11a",
        "maxAttempts": 4, "stretch": 2.2, "advice": advice,
    })
}

impl Deployment {
    /// Starts everything, and waits until the nodes are ready.
    async fn start(
        record: Record,
        dir: PathBuf,
        fleet: Rc<Fleet>,
        sizes: (u8, usize),
    ) -> io::Result<Self> {
        let (node_count, worker_count) = sizes;
        let platform = nodes::address(250);
        let store = Rc::new(Store::new(record.clone()));
        let routes = [
            route("lookup", 0, 500, fleet.needs_tickets),
            route("recon", 2, 3_000, fleet.needs_tickets),
            route("study", 1, 1_200, fleet.needs_tickets),
        ];
        let config = json!({
            "version": 7, "routes": routes,
            "services": [{"name": "huvo11a", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false,
                "admissionCheck": false, "standby": false}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        });
        store.put("op", "config", Some(&config));
        for number in 0..worker_count {
            let worker = fleet.add(platform, unix_ms()).await?;
            let (store, first) = (
                store.clone(),
                Duration::from_millis(31 * u64::try_from(number).unwrap_or(0)),
            );
            store.put(
                "servers",
                &worker.id,
                Some(&worker.entry(16_000, 65_536, 1)),
            );
            spawn_local(async move {
                sleep(first).await;
                for seq in 2.. {
                    worker.pause(HEARTBEAT).await;
                    if worker.is_up() && !worker.is_cut.get() {
                        store.put(
                            "servers",
                            &worker.id,
                            Some(&worker.entry(16_000, 65_536, seq)),
                        );
                    }
                }
            });
        }
        let mut advice = None;
        if fleet.needs_tickets {
            let listener = TcpListener::bind((platform, 0)).await?;
            advice = Some(listener.local_addr()?);
            let advising = fleet.clone();
            let (up, is_up) = watch::channel(true);
            spawn_local(async move {
                serve(listener, is_up, move |call| advising.clone().advise(call)).await;
                drop(up);
            });
        }
        let mut nodes = Vec::new();
        for number in 1..=node_count {
            // Each node has an address of the store of its own, so that the store can tell them apart.
            let listener = TcpListener::bind((platform, 0)).await?;
            let node = Node::new(&dir, number, listener.local_addr()?, advice)?;
            let (serving, index) = (store.clone(), nodes.len());
            let (up, is_up) = watch::channel(true);
            spawn_local(async move {
                serve(listener, is_up, move |call| {
                    serving.clone().answer(index, call)
                })
                .await;
                drop(up);
            });
            node.start()?;
            nodes.push(node);
        }
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let deployment = Self {
            record,
            store,
            fleet,
            nodes,
            dir,
            has_trouble,
        };
        for _ in 0..200 {
            sleep(Duration::from_millis(50)).await;
            let mut ready = 0;
            for node in &deployment.nodes {
                let request = Send {
                    method: Method::GET,
                    host: HOST,
                    path: "/-/ready",
                    body: None,
                    limit: Duration::from_millis(500),
                };
                ready += usize::from(
                    send(node.ready(), request)
                        .await
                        .is_ok_and(|(status, _)| status == 200),
                );
            }
            if ready == deployment.nodes.len() {
                // Traffic starts 10 s after the machines do; the first scheduler needs less.
                sleep(Duration::from_secs(3)).await;
                deployment.record.line("all nodes are ready");
                return Ok(deployment);
            }
        }
        Err(io::Error::other("the nodes were not ready in time"))
    }

    /// Sends a client's request, and records it with its answer. The status of no answer is 0.
    pub async fn call(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let request = Send {
            method: method.clone(),
            host: HOST,
            path,
            body,
            limit: Duration::from_secs(3),
        };
        self.record
            .line(&format!("client: {method} {path} to {to}"));
        let answer = send(to, request).await;
        self.record.line(&format!(
            "client: {method} {path} is answered with {answer:?}"
        ));
        answer.unwrap_or((0, Value::Null))
    }

    /// Returns the front address of a node.
    pub fn front(&self, number: usize) -> SocketAddr {
        self.nodes[number % self.nodes.len()].front()
    }
}

async fn play(case: &str, record: Record, dir: PathBuf) -> Verdict {
    match case {
        "cancel" => cancel::play(record, dir).await,
        "flap" => flap::play(record, dir).await,
        "reborn" => reborn::play(record, dir).await,
        "thaw" => thaw::play(record, dir).await,
        _ => Err(format!("there is no case `{case}`")),
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let record = Record::create(path);
    let (Ok(()), Ok(record)) = (fs::create_dir_all(&dir), record) else {
        eprintln!("cannot write to {path} or {}", dir.display());
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::from(2);
    };
    let verdict = LocalSet::new().block_on(&runtime, play(case, record.clone(), dir.clone()));
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    let (text, code) = match verdict {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(e) => (format!("the case could not run: {e}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
