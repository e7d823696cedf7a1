//! A stand-in for the platform's store, as PROTOCOL.md describes it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::Method;
use serde_json::{Value, json};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    http::{Call, NoAnswer, Reply, reply},
    record::Record,
};

/// `rowBytes` of the settings: the most bytes of a value.
pub const ROW_BYTES: usize = 65_536;

const ANSWER_DELAY: Duration = Duration::from_millis(4);
const MAX_PAGE_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1_000_000;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    by_key: BTreeMap<Key, (String, u64)>,
    log: Vec<(u64, Key, Option<String>)>,
}

/// Decides what happens to a write: `None` carries it out and answers it; a delay carries it out that much later, if its
/// condition still holds, and answers nothing.
pub type WriteFault = Box<dyn Fn(&Value) -> Option<Duration>>;

/// Is told of a write that was carried out for a node, before it is answered.
pub type WriteHook = Box<dyn Fn(usize, &Value)>;

#[derive(Default)]
pub struct Store {
    rows: RefCell<Rows>,
    changed: Notify,
    pub write_fault: RefCell<Option<WriteFault>>,
    pub write_hook: RefCell<Option<WriteHook>>,
    pub record: Record,
    refused: Cell<u64>,
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

impl Rows {
    fn row(&self, key: &Key) -> Value {
        let (table, part, name) = key;
        match self.by_key.get(key) {
            Some((value, ver)) => {
                json!({"table": table, "part": part, "key": name, "value": value, "ver": ver})
            }
            None => json!({"table": table, "part": part, "key": name, "ver": 0}),
        }
    }

    fn put(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self
                .by_key
                .insert(key.clone(), (value.clone(), self.version)),
            None => self.by_key.remove(&key),
        };
        self.log.push((self.version, key, value));
    }

    fn commit(&mut self, body: &Value) -> Result<u64, Vec<Value>> {
        let version = |key: &Key| self.by_key.get(key).map_or(0, |row| row.1);
        let is_expected = |row: &Value| row["ver"].as_u64().unwrap_or(0) == version(&key(row));
        if !entries(body, "expected").all(is_expected) {
            return Err(entries(body, "expected")
                .map(|row| self.row(&key(row)))
                .collect());
        }
        self.version += 1;
        for row in entries(body, "setKeys") {
            self.put(key(row), Some(text(row, "value")));
        }
        for row in entries(body, "deleteKeys") {
            self.put(key(row), None);
        }
        Ok(self.version)
    }
}

/// Returns why a transaction is outside of the limits that the pages set.
fn excess(body: &Value) -> Option<String> {
    let count: usize = ["expected", "setKeys", "deleteKeys"]
        .iter()
        .map(|field| entries(body, field).count())
        .sum();
    if count > MAX_ENTRIES {
        return Some(format!("{count} entries"));
    }
    let mut sum = 0;
    for row in entries(body, "setKeys") {
        let bytes = row["value"]
            .as_str()
            .map_or(0, |v| STANDARD.decode(v).map_or(0, |v| v.len()));
        if bytes > ROW_BYTES {
            let (table, _, name) = key(row);
            return Some(format!(
                "the value of {table}/{name} has {bytes} bytes, rowBytes is {ROW_BYTES}"
            ));
        }
        sum += bytes;
    }
    (sum > MAX_TX_BYTES).then(|| format!("the values have {sum} bytes together"))
}

impl Store {
    pub fn new(record: Record) -> Self {
        Self {
            record,
            ..Self::default()
        }
    }

    /// Writes a row as the operator or a worker does.
    pub fn put(&self, table: &str, name: &str, value: Option<&Value>) {
        let mut rows = self.rows.borrow_mut();
        rows.version += 1;
        let value = value.map(|value| STANDARD.encode(value.to_string()));
        rows.put((table.to_owned(), String::new(), name.to_owned()), value);
        drop(rows);
        self.changed.notify_waiters();
    }

    /// Returns the number of writes that were refused because they exceed a limit.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Answers a call of the node with this number.
    pub async fn answer(self: Rc<Self>, node: usize, call: Call) -> Result<Reply, NoAnswer> {
        sleep(ANSWER_DELAY).await;
        match (&call.method, call.uri.path()) {
            (&Method::POST, "/-/rows-tx") => match self.transact(node, &call.body) {
                // The connection delivers nothing further.
                Err(NoAnswer) => std::future::pending().await,
                answer => answer,
            },
            (&Method::GET, "/-/rows-get") => self.get(&call),
            (&Method::GET, "/-/rows-feed") => self.feed(&call).await,
            _ => reply(404, &json!({})),
        }
    }

    fn transact(self: &Rc<Self>, node: usize, body: &Value) -> Result<Reply, NoAnswer> {
        if let Some(excess) = excess(body) {
            self.refused.set(self.refused.get() + 1);
            if self.refused.get() <= 20 {
                self.record.line(&format!(
                    "the store refuses a transaction with 400: {excess}"
                ));
            }
            return reply(400, &json!({"error": excess}));
        }
        let late = self
            .write_fault
            .borrow()
            .as_ref()
            .and_then(|fault| fault(body));
        if let Some(delay) = late {
            let keys: Vec<String> = entries(body, "setKeys").map(|row| key(row).2).collect();
            let ms = delay.as_millis();
            self.record.line(&format!(
                "the store loses the answer to a write of {keys:?}, and does it {ms} ms later"
            ));
            let (store, body) = (self.clone(), body.clone());
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                let outcome = store.commit(&body);
                let done = if outcome.is_ok() {
                    "done"
                } else {
                    "not done, its condition does not hold"
                };
                store
                    .record
                    .line(&format!("the late write of {keys:?} is {done}"));
            });
            return Err(NoAnswer);
        }
        match self.commit(body) {
            Ok(version) => {
                if let Some(hook) = &*self.write_hook.borrow() {
                    hook(node, body);
                }
                reply(200, &json!({"ver": version, "nowMs": self.record.ms()}))
            }
            Err(rows) => reply(
                412,
                &json!({"rows": rows, "ver": self.rows.borrow().version}),
            ),
        }
    }

    fn commit(&self, body: &Value) -> Result<u64, Vec<Value>> {
        let outcome = self.rows.borrow_mut().commit(body);
        if outcome.is_ok() {
            self.changed.notify_waiters();
        }
        outcome
    }

    fn get(&self, call: &Call) -> Result<Reply, NoAnswer> {
        let table = call.query("table").unwrap_or_default();
        let part = call.query("part").unwrap_or_default();
        let from = call.query("from").unwrap_or_default();
        let to = call.query("to");
        let rows = self.rows.borrow();
        let first = (table.clone(), part.clone(), from);
        let matching = rows
            .by_key
            .range(first..)
            .map(|(key, _)| key)
            .take_while(|(t, p, name)| {
                *t == table && *p == part && to.as_ref().is_none_or(|to| name < to)
            });
        let mut page: Vec<Value> = Vec::new();
        let (mut bytes, mut has_more) = (0, false);
        for key in matching {
            let row = rows.row(key);
            bytes += row["value"].as_str().map_or(0, str::len);
            if page.len() >= MAX_PAGE_ROWS || (bytes > 1_300_000 && !page.is_empty()) {
                has_more = true;
                break;
            }
            page.push(row);
        }
        reply(
            200,
            &json!({"rows": page, "hasMore": has_more, "ver": rows.version, "nowMs": self.record.ms()}),
        )
    }

    async fn feed(&self, call: &Call) -> Result<Reply, NoAnswer> {
        let table = call.query("table").unwrap_or_default();
        let after = call.number("after");
        let until = Instant::now() + Duration::from_millis(call.number("waitMs").min(30_000));
        loop {
            let changed = self.changed.notified();
            {
                let rows = self.rows.borrow();
                let first = rows
                    .log
                    .partition_point(|(version, _, _)| *version <= after);
                let mut page: Vec<Value> = Vec::new();
                let mut last = rows.version;
                for (ver, (t, part, name), value) in rows.log[first..]
                    .iter()
                    .filter(|(_, key, _)| key.0 == table)
                {
                    if page.len() >= MAX_PAGE_ROWS && last != *ver {
                        break;
                    }
                    last = *ver;
                    page.push(match value {
                        Some(value) => json!({"table": t, "part": part, "key": name, "value": value, "ver": ver}),
                        None => json!({"table": t, "part": part, "key": name, "ver": ver, "removed": true}),
                    });
                }
                let ver = if page.len() >= MAX_PAGE_ROWS {
                    last
                } else {
                    rows.version
                };
                if !page.is_empty() || Instant::now() >= until {
                    return reply(
                        200,
                        &json!({"rows": page, "ver": ver, "nowMs": self.record.ms()}),
                    );
                }
            }
            let _ = timeout_at(until, changed).await;
        }
    }
}
