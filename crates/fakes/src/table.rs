//! Stand-ins for the table and the object store, in memory.

use std::collections::BTreeMap;

use store::{ObjectReq, ObjectResp, Row, TableReq, TableResp, Txn};

#[derive(Clone, Debug)]
struct VersionedValue {
    version: u64,
    value: Vec<u8>,
}

/// A transactional table in memory.
#[derive(Clone, Debug, Default)]
pub struct FakeTable {
    rows: BTreeMap<String, VersionedValue>,
    version: u64,
    reads: u64,
    writes: u64,
}

impl FakeTable {
    /// Returns the number of calls that read so far.
    #[must_use]
    pub const fn reads(&self) -> u64 {
        self.reads
    }

    /// Returns the number of transactions so far, including those with a conflict.
    #[must_use]
    pub const fn writes(&self) -> u64 {
        self.writes
    }

    /// Executes one call.
    pub fn call(&mut self, req: &TableReq) -> TableResp {
        match req {
            TableReq::Get { key } => {
                self.reads += 1;
                TableResp::Row(self.rows.get(key).map(|stored| row(key, stored)))
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
                    .map(|(key, stored)| row(key, stored))
                    .collect();
                TableResp::Rows(rows)
            }
            TableReq::Commit(txn) => self.commit(txn),
        }
    }

    fn commit(&mut self, txn: &Txn) -> TableResp {
        self.writes += 1;
        for check in &txn.checks {
            let version = self.rows.get(&check.key).map(|stored| stored.version);
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
                self.rows
                    .insert(write.key.clone(), VersionedValue { version, value });
            } else {
                self.rows.remove(&write.key);
            }
        }
        TableResp::Committed { version }
    }
}

fn row(key: &str, stored: &VersionedValue) -> Row {
    Row {
        key: key.to_owned(),
        version: stored.version,
        value: stored.value.clone(),
    }
}

/// An object store in memory.
#[derive(Clone, Debug, Default)]
pub struct FakeObjects {
    objects: BTreeMap<String, Vec<u8>>,
}

impl FakeObjects {
    /// Executes one call.
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
