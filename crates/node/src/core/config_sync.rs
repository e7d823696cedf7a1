//! The configuration in force at a node, and how it follows the table.

use config::{Config, Entry};
use serde::{Deserialize, Serialize};
use store::{Check, Row, StoreError, TableReq, TableResp, Write, decode, encode};

use super::{
    calls::{Cx, Purpose},
    poll::Poll,
    settings::ConfigSyncConfig,
};

/// The most entries that are read at a time.
const ENTRIES_PER_READ: u32 = 100;
const HEAD_KEY: &str = "config/head";
const ENTRY_PREFIX: &str = "config/entry/";

/// The row `config/head`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    version: u64,
}

/// The configuration in force at a node.
#[derive(Clone, Debug)]
pub(crate) struct ConfigSync {
    cfg: ConfigSyncConfig,
    config: Config,
    /// The head row's version in the table when this node's version was the newest.
    head_row: Option<u64>,
    /// Whether the table was read at least once.
    known: bool,
    poll: Poll,
}

impl ConfigSync {
    pub(crate) fn new(cfg: ConfigSyncConfig) -> Self {
        Self {
            cfg,
            config: Config::default(),
            head_row: None,
            known: false,
            poll: Poll::default(),
        }
    }

    pub(crate) const fn config(&self) -> &Config {
        &self.config
    }

    /// Whether the node has had a version in force that the table named the newest.
    pub(crate) const fn is_known(&self) -> bool {
        self.known
    }

    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        if self.poll.begin(cx.now, self.cfg.poll_interval) {
            let key = HEAD_KEY.to_owned();
            cx.table(Purpose::ConfigHead, TableReq::Get { key });
        }
    }

    /// Reads the head at the next tick.
    pub(crate) fn poll_soon(&mut self) {
        self.poll.soon();
    }

    pub(crate) fn head_read(&mut self, cx: &mut Cx<'_>, result: Result<TableResp, StoreError>) {
        let Ok(TableResp::Row(row)) = result else {
            self.poll.end();
            return;
        };
        let Some(row) = row else {
            self.poll.end();
            self.known = true;
            return;
        };
        let Ok(head) = decode::<Head>(&row.value) else {
            self.poll.end();
            log::error!("config: the head row cannot be read");
            return;
        };
        if head.version <= self.config.version() {
            self.poll.end();
        }
        if head.version == self.config.version() {
            self.known = true;
            self.head_row = Some(row.version);
        } else if head.version > self.config.version() {
            self.read_entries(cx);
        }
    }

    fn read_entries(&mut self, cx: &mut Cx<'_>) {
        let req = TableReq::Scan {
            prefix: ENTRY_PREFIX.to_owned(),
            after: entry_key(self.config.version()),
            limit: ENTRIES_PER_READ,
        };
        cx.table(Purpose::ConfigEntries, req);
    }

    /// Takes entries, and returns whether the configuration has changed.
    pub(crate) fn entries_read(&mut self, result: Result<TableResp, StoreError>) -> bool {
        self.poll.end();
        self.poll_soon();
        let Ok(TableResp::Rows(rows)) = result else {
            return false;
        };
        let before = self.config.version();
        for row in &rows {
            self.apply(row);
        }
        self.config.version() > before
    }

    fn apply(&mut self, row: &Row) {
        match decode::<Entry>(&row.value) {
            Ok(entry) => {
                if let Err(e) = self.config.apply(&entry) {
                    log::warn!("config: {e}");
                }
            }
            Err(e) => log::error!("config: {}: {e}", row.key),
        }
    }

    /// The check and writes that make an entry the newest version.
    pub(crate) fn writes(&self, entry: &Entry) -> (Check, Vec<Write>) {
        let head = Head {
            version: entry.version,
        };
        let check = Check {
            key: HEAD_KEY.to_owned(),
            version: self.head_row,
        };
        let writes = vec![
            Write {
                key: HEAD_KEY.to_owned(),
                value: Some(encode(&head)),
            },
            Write {
                key: entry_key(entry.version),
                value: Some(encode(entry)),
            },
        ];
        (check, writes)
    }
}

/// Keys sort as their versions do.
fn entry_key(version: u64) -> String {
    format!("{ENTRY_PREFIX}{version:016}")
}
