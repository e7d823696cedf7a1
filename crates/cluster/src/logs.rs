//! Structured logs on standard output that never block the process.
//!
//! Lines go through a bounded queue to a writer thread. Lines that do not fit into the queue are dropped
//! and counted, and the count is written with the next chunk.

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

/// The number of lines that may wait to be written: a few seconds of a busy node.
const QUEUE_LINES: usize = 4_096;

/// Lines are joined until a chunk has at least this many bytes. A pipe accepts up to this many bytes
/// atomically.
const CHUNK_BYTES: usize = 4 << 10;

/// The most attempts to write a chunk to a reader that does not keep up. The chunk is then dropped.
const MAX_WRITE_ATTEMPTS: u32 = 200;
/// The pause between two attempts to write a chunk.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Queues log lines for the writer thread.
struct NodeLogger {
    node: String,
    lines: SyncSender<String>,
    dropped: &'static AtomicU64,
}

/// The number of lines and chunks that were dropped since the last report.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Sends the log lines of this program's crates to standard output, each marked with the node's name.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn start_logs(node: &str, level: LevelFilter) -> Result<(), SetLoggerError> {
    let (lines, queue) = sync_channel(QUEUE_LINES);
    thread::spawn(move || write_lines(&queue));
    log::set_boxed_logger(Box::new(NodeLogger {
        node: node.to_owned(),
        lines,
        dropped: &DROPPED,
    }))?;
    log::set_max_level(level);
    Ok(())
}

impl Log for NodeLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // The logs of libraries are of no use to operators.
        let target = metadata.target();
        ["cluster", "platform", "node"]
            .iter()
            .any(|own| target.starts_with(own))
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

/// Writes queued lines until the logger is dropped.
fn write_lines(queue: &Receiver<String>) {
    let mut out = io::stdout();
    while let Ok(mut chunk) = queue.recv() {
        while chunk.len() < CHUNK_BYTES {
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
        write_chunk(&mut out, chunk.as_bytes());
    }
}

/// Writes a chunk. A chunk that is not fully written within [`MAX_WRITE_ATTEMPTS`] is counted as dropped.
fn write_chunk(out: &mut impl Write, mut bytes: &[u8]) {
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match out.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => thread::sleep(WRITE_RETRY_DELAY),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            // There is no other output for the error.
            Err(_) => break,
        }
        if bytes.is_empty() {
            // No flush is needed: standard output buffers only the text after the last line break, and all
            // chunks end with one.
            return;
        }
    }
    DROPPED.fetch_add(1, Ordering::Relaxed);
}
