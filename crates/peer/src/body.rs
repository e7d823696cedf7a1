//! Bodies between the links' thread and threads that read and write blockingly.
//!
//! A body passes through a channel of a few chunks, so that its memory is bounded. Its end is a chunk
//! of its own: a channel that closes before is a body that was cut short, never a whole one.

use std::io::{self, Read};

use bytes::{Buf, Bytes};
use http::{Response, response};
use tokio::sync::{mpsc, oneshot};

/// How many chunks a body may have on the way between two threads.
const CHUNKS_MAX: usize = 4;
/// The largest chunk, in bytes.
pub(crate) const CHUNK_MAX_BYTES: usize = 64 << 10;

/// A part of a body.
#[derive(Clone, Debug)]
pub(crate) enum Chunk {
    Data(Bytes),
    End,
}

/// Makes a channel for a body.
pub(crate) fn channel() -> (mpsc::Sender<Chunk>, BodyReader) {
    let (tx, rx) = mpsc::channel(CHUNKS_MAX);
    let reader = BodyReader {
        rx,
        chunk: Bytes::new(),
        ended: false,
    };
    (tx, reader)
}

/// A body that another node sends. Reading blocks; a body that is cut short ends in an error.
#[derive(Debug)]
pub struct BodyReader {
    rx: mpsc::Receiver<Chunk>,
    chunk: Bytes,
    ended: bool,
}

impl Read for BodyReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.chunk.is_empty() && !self.ended {
            match self.rx.blocking_recv() {
                Some(Chunk::Data(data)) => self.chunk = data,
                Some(Chunk::End) => self.ended = true,
                None => {
                    let message = "the body was cut short";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, message));
                }
            }
        }
        let n = buf.len().min(self.chunk.len());
        buf[..n].copy_from_slice(&self.chunk[..n]);
        self.chunk.advance(n);
        Ok(n)
    }
}

/// Copies a blocking body into a channel. Returns without an end where the body cannot be read whole.
pub(crate) fn pump(mut body: impl Read, tx: &mpsc::Sender<Chunk>) {
    let mut buf = vec![0; CHUNK_MAX_BYTES];
    loop {
        let chunk = match body.read(&mut buf) {
            Ok(0) => Chunk::End,
            Ok(n) => Chunk::Data(Bytes::copy_from_slice(&buf[..n])),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return,
        };
        let end = matches!(chunk, Chunk::End);
        if tx.blocking_send(chunk).is_err() || end {
            return;
        }
    }
}

/// The head of an answer and its body's channel.
pub(crate) type Answer = (response::Parts, mpsc::Receiver<Chunk>);

/// Answers a request that another node has passed on. Dropped without an answer, it resets the stream.
#[derive(Debug)]
pub struct AnswerWriter {
    tx: oneshot::Sender<Answer>,
}

impl AnswerWriter {
    pub(crate) fn new() -> (Self, oneshot::Receiver<Answer>) {
        let (tx, rx) = oneshot::channel();
        (Self { tx }, rx)
    }

    /// Sends a whole answer, reading its body to the end. A body that cannot be read whole resets the
    /// stream, so that the other node sees that the answer was cut short.
    ///
    /// # Errors
    ///
    /// The other node has gone away.
    pub fn answer(self, answer: Response<impl Read>) -> io::Result<()> {
        let (parts, body) = answer.into_parts();
        let (tx, rx) = mpsc::channel(CHUNKS_MAX);
        let gone = |_| io::Error::new(io::ErrorKind::BrokenPipe, "the other node has gone away");
        self.tx.send((parts, rx)).map_err(gone)?;
        pump(body, &tx);
        Ok(())
    }
}
