//! Structured logs on standard output that never hold the process up.
//!
//! Lines go through a bounded queue to a thread of their own. What does not fit is counted, and the count
//! is written as soon as there is room again.

use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};

/// Lines that wait to be written: a few seconds of a busy node.
const QUEUE: usize = 4_096;

/// Lines are written together up to this many bytes.
const CHUNK: usize = 32 << 10;

struct Logs {
    node: String,
    lines: SyncSender<String>,
    dropped: &'static AtomicU64,
}

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends all log lines of the process to standard output, each marked with the node's name.
///
/// # Errors
///
/// There is a logger already.
pub fn start_logs(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    let (lines, queue) = sync_channel(QUEUE);
    thread::spawn(move || write_lines(&queue));
    log::set_boxed_logger(Box::new(Logs {
        node: node.to_owned(),
        lines,
        dropped: &DROPPED,
    }))?;
    log::set_max_level(level);
    Ok(())
}

impl Log for Logs {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // Libraries log what only their authors can use.
        let part = metadata.target();
        ["cluster", "platform", "node"]
            .iter()
            .any(|own| part.starts_with(own))
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let line = format!(
            "t={} level={} node={} part={} {}\n",
            unix.as_millis(),
            record.level(),
            self.node,
            record.target(),
            record.args()
        );
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn write_lines(queue: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(mut chunk) = queue.recv() {
        while chunk.len() < CHUNK {
            let Ok(line) = queue.try_recv() else {
                break;
            };
            chunk.push_str(&line);
        }
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            chunk.push_str(&format!(
                "level=WARN part=logs event=lines_dropped count={dropped}\n"
            ));
        }
        if out.write_all(chunk.as_bytes()).is_err() {
            // Nobody reads any more, and there is nowhere else to tell it.
            return;
        }
    }
}
