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
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};

/// Lines that wait to be written: a few seconds of a busy node.
const QUEUE: usize = 4_096;

/// Lines are written together up to this many bytes. A pipe takes as much at a time, whole or not at all.
const CHUNK: usize = 4 << 10;

/// How often a chunk is offered to a reader that does not keep up, and the pause between.
const OFFERS: u32 = 200;
const OFFER_PAUSE: Duration = Duration::from_millis(5);

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
            let line = format!("level=WARN part=logs event=lines_dropped count={dropped}\n");
            chunk.push_str(&line);
        }
        offer(&mut out, chunk.as_bytes());
    }
}

/// Writes a chunk. One that nobody takes is counted as dropped.
fn offer(out: &mut impl Write, mut bytes: &[u8]) {
    for _ in 0..OFFERS {
        match out.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => thread::sleep(OFFER_PAUSE),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            // There is nowhere else to tell it.
            Err(_) => break,
        }
        if bytes.is_empty() {
            // Standard output keeps what follows the last end of a line; all chunks end with one.
            return;
        }
    }
    DROPPED.fetch_add(1, Ordering::Relaxed);
}
