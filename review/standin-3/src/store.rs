//! The platform's store, as PROTOCOL.md describes it, with the limits that the settings name.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Reply, Request},
    record::Record,
};

/// The time of an answer, and of a transaction.
const ANSWER: Duration = Duration::from_millis(4);
const TRANSACTION: Duration = Duration::from_millis(5);

/// The most bytes of a row's value (`rowBytes`), the most entries and the most bytes of a call, and the most rows of a page.
pub const ROW_BYTES: usize = 65_536;
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1_000_000;
const MAX_PAGE_ROWS: usize = 500;
const MAX_PAGE_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    by_key: BTreeMap<Key, (String, u64)>,
    /// The changes in order; the value is `None` for a deletion.
    log: Vec<(u64, Key, Option<String>)>,
}

impl Rows {
    fn version_of(&self, key: &Key) -> u64 {
        self.by_key.get(key).map_or(0, |(_, version)| *version)
    }

    fn put(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self.by_key.insert(key.clone(), (value.clone(), self.version)),
            None => self.by_key.remove(&key),
        };
        self.log.push((self.version, key, value));
    }

    fn show(&self, key: &Key) -> Value {
        let (table, part, name) = key;
        match self.by_key.get(key) {
            Some((value, ver)) => {
                json!({"table": table, "part": part, "key": name, "value": value, "ver": ver})
            }
            None => json!({"table": table, "part": part, "key": name, "ver": 0}),
        }
    }
}

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// A part carries out one transaction after the other.
    parts: Mutex<HashMap<String, Arc<Mutex<()>>>>,
    began: Instant,
    record: Arc<Record>,
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            parts: Mutex::default(),
            began: Instant::now(),
            record,
        })
    }

    /// Serves a node at an address of its own, so that its calls can be told from others.
    pub fn serve(self: &Arc<Self>, node: usize) -> io::Result<SocketAddr> {
        let store = self.clone();
        http::serve(move |request| store.answer(node, &request))
    }

    /// Writes or deletes a row, as the operator or a minion does.
    pub fn put(&self, table: &str, name: &str, value: Option<&Value>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let value = value.map(|value| encode(value.to_string().as_bytes()));
        rows.put((table.to_owned(), String::new(), name.to_owned()), value);
        drop(rows);
        self.changed.notify_all();
    }

    fn answer(&self, node: usize, request: &Request) -> Reply {
        sleep(ANSWER / 2);
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/rows-tx") => self.transact(node, request),
            ("GET", "/-/rows-get") => self.get(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            _ => (404, json!({})),
        };
        sleep(ANSWER / 2);
        let (status, mut body) = reply;
        body["nowMs"] = json!(u64::try_from(self.began.elapsed().as_millis()).unwrap_or(0));
        Some((status, body.to_string()))
    }

    fn transact(&self, node: usize, request: &Request) -> (u16, Value) {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, set, delete) = (list("expected"), list("setKeys"), list("deleteKeys"));
        let all = || expected.iter().chain(&set).chain(&delete);
        let entries = all().count();
        let longest = set.iter().map(|row| decoded_len(&row["value"])).max();
        let longest = longest.unwrap_or(0);
        if entries > MAX_ENTRIES || request.body.len() > MAX_CALL_BYTES || longest > ROW_BYTES {
            self.record.add(&format!(
                "store node={node} refuses a transaction with 400: entries={entries} bytes={} longest_row={longest}",
                request.body.len()
            ));
            return (400, json!({}));
        }
        let parts: HashSet<&str> = all().filter_map(|row| row["part"].as_str()).collect();
        let is_foreign = set.iter().chain(&delete).any(|row| row["table"] == "op" || row["table"] == "servers");
        if parts.len() > 1 && body["across"] != true {
            return (400, json!({}));
        }
        if is_foreign {
            return (403, json!({}));
        }
        let part = parts.into_iter().next().unwrap_or_default().to_owned();
        let part = self.parts.lock().unwrap().entry(part).or_default().clone();
        let _turn = part.lock().unwrap();
        sleep(TRANSACTION);
        let mut rows = self.rows.lock().unwrap();
        let is_expected = |row: &Value| row["ver"].as_u64() == Some(rows.version_of(&key(row)));
        if !expected.iter().all(is_expected) {
            let current: Vec<Value> = expected.iter().map(|row| rows.show(&key(row))).collect();
            return (412, json!({"rows": current, "ver": rows.version}));
        }
        rows.version += 1;
        for row in set {
            let value = row["value"].as_str().unwrap_or_default().to_owned();
            rows.put(key(&row), Some(value));
        }
        for row in delete {
            rows.put(key(&row), None);
        }
        let version = rows.version;
        drop(rows);
        self.changed.notify_all();
        (200, json!({"ver": version}))
    }

    fn get(&self, request: &Request) -> (u16, Value) {
        let text = |name| request.query(name).unwrap_or_default().to_owned();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let to = request.query("to");
        let rows = self.rows.lock().unwrap();
        let first = (table.clone(), part.clone(), from);
        let matching = rows.by_key.range(first..).take_while(|((t, p, name), _)| {
            *t == table && *p == part && to.is_none_or(|to| name.as_str() < to)
        });
        let mut page = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for (key, (value, _)) in matching {
            bytes += value.len();
            if page.len() >= MAX_PAGE_ROWS || bytes > MAX_PAGE_BYTES {
                has_more = true;
                break;
            }
            page.push(rows.show(key));
        }
        (200, json!({"rows": page, "hasMore": has_more, "ver": rows.version}))
    }

    fn feed(&self, request: &Request) -> (u16, Value) {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let table = request.query("table").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let first = rows.log.partition_point(|(version, _, _)| *version <= after);
            let changes = rows.log[first..].iter().filter(|(_, key, _)| key.0 == table);
            let page: Vec<Value> = changes
                .take(MAX_PAGE_ROWS)
                .map(|(ver, (table, part, name), value)| match value {
                    Some(value) => json!({"table": table, "part": part, "key": name, "value": value, "ver": ver}),
                    None => json!({"table": table, "part": part, "key": name, "ver": ver, "removed": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !page.is_empty() || left.is_zero() {
                let last = page.last().filter(|_| page.len() == MAX_PAGE_ROWS);
                let ver = last.and_then(|row| row["ver"].as_u64());
                let ver = ver.unwrap_or(rows.version);
                return (200, json!({"rows": page, "ver": ver}));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn key(row: &Value) -> Key {
    let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

/// Returns how many bytes a value in base64 encodes.
fn decoded_len(value: &Value) -> usize {
    let text = value.as_str().unwrap_or_default();
    text.len() / 4 * 3 - text.bytes().rev().take_while(|b| *b == b'=').count().min(text.len())
}

fn encode(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { digit.into() } else { '=' });
        }
    }
    text
}
