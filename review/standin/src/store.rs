//! The platform's store in its table form, with the limits that the platform's pages state.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::{
    sync::{Mutex, Notify},
    time::{Instant, sleep, timeout},
};

use crate::{
    http::{Call, Reply},
    record::Record,
};

/// `txMs`, the time of a transaction. A part carries them out one after the other.
const TX_TIME: Duration = Duration::from_millis(5);
const READ_TIME: Duration = Duration::from_millis(4);
/// "A call holds at most 100 entries and at most 1 MB."
const MAX_ENTRIES: usize = 100;
const MAX_CALL_BYTES: usize = 1 << 20;
/// `rowBytes`: "`value` (base64 of at most `rowBytes`)".
const ROW_BYTES: usize = 65_536;
/// "The range ... at most 500 rows or 1 MB".
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    by_key: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key, Option<String>)>,
}

/// What the store does with the calls of the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// All calls get 503, which means that nothing was done.
    Busy,
}

pub struct Store {
    rows: RefCell<Rows>,
    pub fault: Cell<Fault>,
    changed: Notify,
    parts: RefCell<HashMap<String, Rc<Mutex<()>>>>,
    record: Rc<Record>,
    start: Instant,
    /// The largest value that was stored, and the largest transaction, in bytes.
    pub largest_row: Cell<usize>,
    pub largest_call: Cell<usize>,
    pub refused: Cell<u64>,
    /// The node whose transaction with a condition on an existing row was made last.
    pub last_writer: Cell<Option<usize>>,
}

fn text(row: &Value, field: &str) -> String {
    row[field].as_str().unwrap_or_default().to_owned()
}

fn key(row: &Value) -> Key {
    (text(row, "table"), text(row, "part"), text(row, "key"))
}

fn entries<'a>(body: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    body[field].as_array().into_iter().flatten()
}

fn shown(key: &Key, value: Option<&str>, ver: u64) -> Value {
    let mut row = json!({"table": key.0, "part": key.1, "key": key.2, "ver": ver});
    if let Some(value) = value {
        row["value"] = json!(value);
    }
    row
}

impl Store {
    pub fn new(record: Rc<Record>) -> Rc<Self> {
        Rc::new(Self {
            rows: RefCell::default(),
            fault: Cell::default(),
            changed: Notify::new(),
            parts: RefCell::default(),
            record,
            start: Instant::now(),
            largest_row: Cell::default(),
            largest_call: Cell::default(),
            refused: Cell::default(),
            last_writer: Cell::default(),
        })
    }

    /// Writes or deletes a row, as the operator or a worker does.
    pub fn put(&self, table: &str, name: &str, value: Option<&Value>) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        let mut rows = self.rows.borrow_mut();
        rows.version += 1;
        rows.put(key, value);
        drop(rows);
        self.changed.notify_waiters();
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(0)
    }

    pub async fn answer(self: Rc<Self>, node: usize, call: Call) -> Reply {
        if self.fault.get() == Fault::Busy {
            sleep(READ_TIME).await;
            return Some((503, json!({})));
        }
        match call.path.as_str() {
            "/-/rows-tx" => self.transact(node, call).await,
            "/-/rows-get" => {
                sleep(READ_TIME).await;
                Some(self.get(&call))
            }
            "/-/rows-parts" => {
                sleep(READ_TIME).await;
                let rows = self.rows.borrow();
                let table = call.query("table").unwrap_or_default();
                let mut parts: Vec<&String> = rows
                    .by_key
                    .keys()
                    .filter(|key| key.0 == table)
                    .map(|key| &key.1)
                    .collect();
                parts.dedup();
                Some((200, json!({"parts": parts})))
            }
            "/-/rows-feed" => Some(self.feed(&call).await),
            _ => Some((404, json!({}))),
        }
    }

    fn refuse(&self, why: &str) -> Reply {
        self.refused.set(self.refused.get() + 1);
        if self.refused.get() <= 5 || self.refused.get().is_multiple_of(50) {
            self.record.line(&format!(
                "store refused a transaction (400): {why}; refused so far: {}",
                self.refused.get()
            ));
        }
        Some((400, json!({"error": why})))
    }

    async fn transact(&self, node: usize, call: Call) -> Reply {
        let body = &call.body;
        let all = ["expected", "setKeys", "deleteKeys"];
        let count: usize = all.iter().map(|field| entries(body, field).count()).sum();
        if count > MAX_ENTRIES {
            return self.refuse(&format!("{count} entries, at most {MAX_ENTRIES}"));
        }
        if call.body_bytes > MAX_CALL_BYTES {
            return self.refuse(&format!(
                "a call of {} bytes, at most 1 MB",
                call.body_bytes
            ));
        }
        let mut keys = all.iter().flat_map(|field| entries(body, field)).map(key);
        let first = keys.next().unwrap_or_default();
        if keys.any(|key| key.1 != first.1) {
            return self.refuse("entries of several parts");
        }
        for row in entries(body, "setKeys") {
            if row["table"] == "op" || row["table"] == "servers" {
                return Some((403, json!({})));
            }
            let Ok(value) = STANDARD.decode(row["value"].as_str().unwrap_or_default()) else {
                return self.refuse("a value that is not base64");
            };
            if value.len() > ROW_BYTES {
                return self.refuse(&format!(
                    "row {}/{} of {} bytes, rowBytes is {ROW_BYTES}",
                    text(row, "table"),
                    text(row, "key"),
                    value.len()
                ));
            }
            if value.len() > 4_000 {
                self.record.line(&format!(
                    "store gets row {}/{} of {} bytes",
                    text(row, "table"),
                    text(row, "key"),
                    value.len()
                ));
            }
            self.largest_row
                .set(self.largest_row.get().max(value.len()));
        }
        self.largest_call
            .set(self.largest_call.get().max(call.body_bytes));
        let part = {
            let mut parts = self.parts.borrow_mut();
            parts.entry(first.1.clone()).or_default().clone()
        };
        let _turn = part.lock().await;
        sleep(TX_TIME).await;
        if self.fault.get() == Fault::Busy {
            return Some((503, json!({})));
        }
        let mut rows = self.rows.borrow_mut();
        let version = |key: &Key| rows.by_key.get(key).map_or(0, |row| row.1);
        let holds = entries(body, "expected")
            .all(|row| row["ver"].as_u64().unwrap_or(0) == version(&key(row)));
        if !holds {
            let current: Vec<Value> = entries(body, "expected")
                .map(|row| {
                    let key = key(row);
                    let found = rows.by_key.get(&key);
                    let value = found.map(|row| row.0.as_str());
                    shown(&key, value, found.map_or(0, |row| row.1))
                })
                .collect();
            return Some((
                412,
                json!({"rows": current, "ver": rows.version, "nowMs": self.now_ms()}),
            ));
        }
        if entries(body, "expected").any(|row| row["ver"].as_u64().unwrap_or(0) > 0) {
            self.last_writer.set(Some(node));
        }
        rows.version += 1;
        for row in entries(body, "setKeys") {
            rows.put(key(row), Some(text(row, "value")));
        }
        for row in entries(body, "deleteKeys") {
            rows.put(key(row), None);
        }
        let ver = rows.version;
        drop(rows);
        self.changed.notify_waiters();
        Some((200, json!({"ver": ver, "rows": [], "nowMs": self.now_ms()})))
    }

    fn get(&self, call: &Call) -> (u16, Value) {
        let table = call.query("table").unwrap_or_default();
        let part = call.query("part").unwrap_or_default();
        let from = call.query("from").unwrap_or_default();
        let to = call.query("to");
        let limit = call.query("limit").and_then(|n| n.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let rows = self.rows.borrow();
        let start = (table.to_owned(), part.to_owned(), from.to_owned());
        let mut found = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (key, (value, ver)) in rows.by_key.range(start..) {
            let is_past = to.is_some_and(|to| key.2.as_str() >= to);
            if key.0 != table || key.1 != part || is_past {
                break;
            }
            if found.len() >= limit || (!found.is_empty() && bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            found.push(shown(key, Some(value), *ver));
        }
        (
            200,
            json!({"rows": found, "hasMore": has_more, "ver": rows.version, "nowMs": self.now_ms()}),
        )
    }

    async fn feed(&self, call: &Call) -> (u16, Value) {
        let table = call.query("table").unwrap_or_default().to_owned();
        let after: u64 = call
            .query("after")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let wait = call
            .query("waitMs")
            .and_then(|n| n.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.fault.get() == Fault::Busy {
                return (503, json!({}));
            }
            let (found, version) = {
                let rows = self.rows.borrow();
                let first = rows.log.partition_point(|(ver, _, _)| *ver <= after);
                // Only the last change of a row is reported.
                let mut last: BTreeMap<&Key, (u64, Option<&str>)> = BTreeMap::new();
                for (ver, key, value) in &rows.log[first..] {
                    if key.0 == table {
                        last.insert(key, (*ver, value.as_deref()));
                    }
                }
                let mut found: Vec<(u64, Value)> = last
                    .into_iter()
                    .map(|(key, (ver, value))| {
                        let mut row = shown(key, value, ver);
                        if value.is_none() {
                            row["removed"] = json!(true);
                        }
                        (ver, row)
                    })
                    .collect();
                found.sort_by_key(|(ver, _)| *ver);
                let found: Vec<Value> = found.into_iter().map(|(_, row)| row).collect();
                (found, rows.version)
            };
            if !found.is_empty() || Instant::now() >= until {
                sleep(READ_TIME).await;
                return (
                    200,
                    json!({"rows": found, "ver": version, "nowMs": self.now_ms()}),
                );
            }
            let _ = timeout(until - Instant::now(), changed).await;
        }
    }
}

impl Rows {
    fn put(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                self.by_key
                    .insert(key.clone(), (value.clone(), self.version));
            }
            None => {
                self.by_key.remove(&key);
            }
        }
        self.log.push((self.version, key, value));
        // The history is bounded by rows instead of `historyS`; no script comes near.
        if self.log.len() > 400_000 {
            self.log.drain(..100_000);
        }
    }
}
