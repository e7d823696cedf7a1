//! Stand-ins for the table and the object store.

use std::collections::BTreeMap;

use store::{ObjectReq, ObjectResp, Row, TableReq, TableResp, Txn};

#[derive(Clone, Debug)]
struct Cell {
    version: u64,
    value: Vec<u8>,
}

/// A transactional table in memory.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, Cell>,
    version: u64,
    reads: u64,
    writes: u64,
}

impl FakeTable {
    /// How many calls have read.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.reads
    }

    /// How many transactions were tried.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.writes
    }

    /// Makes one call.
    pub fn call(&mut self, req: &TableReq) -> TableResp {
        match req {
            TableReq::Get { key } => {
                self.reads += 1;
                TableResp::Row(self.rows.get(key).map(|cell| row(key, cell)))
            }
            TableReq::Scan {
                prefix,
                after,
                limit,
            } => {
                self.reads += 1;
                let start = after.max(prefix).clone();
                let rows = self
                    .rows
                    .range(start..)
                    .skip_while(|(key, _)| *key <= after)
                    .take_while(|(key, _)| key.starts_with(prefix))
                    .take(usize::try_from(*limit).unwrap_or(usize::MAX))
                    .map(|(key, cell)| row(key, cell))
                    .collect();
                TableResp::Rows(rows)
            }
            TableReq::Commit(txn) => self.commit(txn),
        }
    }

    fn commit(&mut self, txn: &Txn) -> TableResp {
        self.writes += 1;
        for check in &txn.checks {
            let version = self.rows.get(&check.key).map(|cell| cell.version);
            if version != check.version {
                let key = check.key.clone();
                return TableResp::Conflict { key };
            }
        }
        self.version += 1;
        let version = self.version;
        for write in &txn.writes {
            if let Some(value) = &write.value {
                let value = value.clone();
                self.rows.insert(write.key.clone(), Cell { version, value });
            } else {
                self.rows.remove(&write.key);
            }
        }
        TableResp::Committed { version }
    }
}

fn row(key: &str, cell: &Cell) -> Row {
    Row {
        key: key.to_owned(),
        version: cell.version,
        value: cell.value.clone(),
    }
}

/// An object store in memory.
#[derive(Clone, Debug, Default)]
pub struct FakeObjects {
    objects: BTreeMap<String, Vec<u8>>,
}

impl FakeObjects {
    /// Makes one call.
    pub fn call(&mut self, req: &ObjectReq) -> ObjectResp {
        match req {
            ObjectReq::Get { key } => ObjectResp::Object(self.objects.get(key).cloned()),
            ObjectReq::Put { key, value } => {
                self.objects.insert(key.clone(), value.clone());
                ObjectResp::Done
            }
            ObjectReq::Delete { key } => {
                self.objects.remove(key);
                ObjectResp::Done
            }
        }
    }
}
