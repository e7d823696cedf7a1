//! A small deployment: the store, minions, processes of the system, and clients.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{net::TcpListener, task::spawn_local, time::sleep};

use crate::{
    http,
    node::Node,
    record::Record,
    store::Store,
    worker::{Seen, Worker},
};

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

/// How long clients wait for a response.
const CLIENT_LIMIT: Duration = Duration::from_secs(3);

pub struct World {
    pub record: Rc<Record>,
    pub store: Rc<Store>,
    pub workers: Vec<Rc<Worker>>,
    pub nodes: Vec<Rc<Node>>,
    pub seen: Rc<RefCell<Seen>>,
    /// The answers to submissions, by job.
    pub accepted: RefCell<HashMap<String, u16>>,
    next_node: Cell<usize>,
    dir: PathBuf,
}

impl World {
    pub async fn new(
        root: &Path,
        case_dir: &Path,
        nodes: usize,
        workers: usize,
        worker_cpu: u64,
    ) -> io::Result<Rc<Self>> {
        let record = Rc::new(Record::new(&case_dir.join("record.txt"))?);
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let store = Store::new(record.clone());
        let route = json!({
            "name": "queue-a", "host": HOST, "pathPrefix": PREFIX, "service": "work", "priority": 1,
            "maxAttempts": 3, "stretch": 4.0, "targetDurationMs": 3000, "timeoutMs": 3000,
        });
        let config = json!({"version": 7, "routes": [route], "services": [{"name": "work", "admissionCheck": false}], "limits": {}});
        store.put("op", "config", Some(&config));
        let seen = Rc::new(RefCell::new(Seen::default()));
        let mut all = Vec::new();
        for number in 0..workers {
            let worker = Worker::start(
                number,
                worker_cpu,
                store.clone(),
                seen.clone(),
                record.clone(),
            );
            all.push(worker.await?);
        }
        let mut started = Vec::new();
        for number in 0..nodes {
            // Each node reaches the store at an address of its own, which tells its calls from those of others.
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            let address = listener.local_addr()?;
            let answering = store.clone();
            spawn_local(http::serve(listener, move |call| {
                answering.clone().answer(number, call)
            }));
            started.push(Node::new(number + 1, root, &dir, address, record.clone())?);
        }
        let nodes = started;
        for node in &nodes {
            node.supervise();
        }
        Ok(Rc::new(Self {
            record,
            store,
            workers: all,
            nodes,
            seen,
            accepted: RefCell::default(),
            next_node: Cell::default(),
            dir,
        }))
    }

    /// Sends a client's request to the next node.
    pub async fn request(
        &self,
        method: &str,
        id: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Value)> {
        let index = self.next_node.get();
        self.next_node.set(index + 1);
        let node = &self.nodes[index % self.nodes.len()];
        let path = format!("{PREFIX}{id}");
        let answer = http::request(node.front, method, &path, HOST, body, CLIENT_LIMIT).await;
        let text = match &answer {
            Some((status, body)) if body.is_null() => status.to_string(),
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record
            .line(&format!("client {method} {id} at {}: {text}", node.name));
        answer
    }

    /// Hands a job in, up to five times until it is accepted. Returns whether it was.
    pub async fn submit(&self, id: &str, body: &Value) -> bool {
        for attempt in 0..5 {
            if attempt > 0 {
                sleep(Duration::from_secs(1)).await;
            }
            let status = self
                .request("POST", id, Some(body))
                .await
                .map_or(0, |a| a.0);
            self.accepted.borrow_mut().insert(id.to_owned(), status);
            if (200..300).contains(&status) {
                return true;
            }
        }
        false
    }

    pub async fn state(&self, id: &str) -> Option<String> {
        for _ in 0..4 {
            if let Some((200, body)) = self.request("GET", id, None).await {
                return body["state"].as_str().map(str::to_owned);
            }
            sleep(Duration::from_millis(300)).await;
        }
        None
    }

    /// Returns the node whose transaction with a condition on an existing row the store made last.
    pub fn scheduling_node(&self) -> Option<&Rc<Node>> {
        let writer = self.store.last_writer.get()?;
        self.nodes.get(writer)
    }

    /// Waits until a node answers requests.
    pub async fn wait_until_ready(&self) -> bool {
        for _ in 0..100 {
            if let Some((200, _)) = self.request("GET", "", None).await {
                return true;
            }
            sleep(Duration::from_millis(200)).await;
        }
        false
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.is_held.set(true);
            node.kill();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
