//! Transfer of bodies between the links' thread and threads that read and write with blocking calls.
//!
//! A body passes through a channel of a few chunks, so that its memory use is bounded. The end of the body
//! is a chunk of its own. If the channel closes without it, the body is truncated.

use std::io::{self, Read};

use bytes::{Buf, Bytes};
use http::{Response, response};
use tokio::sync::{mpsc, oneshot};

/// The capacity of a body's channel, in chunks.
const CHUNKS_MAX: usize = 4;
/// The maximum size of a chunk, in bytes.
pub(crate) const CHUNK_MAX_BYTES: usize = 64 << 10;

/// A part of a body.
#[derive(Clone, Debug)]
pub(crate) enum Chunk {
    Data(Bytes),
    End,
}

/// Creates a channel for a body.
pub(crate) fn channel() -> (mpsc::Sender<Chunk>, BodyReader) {
    let (tx, rx) = mpsc::channel(CHUNKS_MAX);
    let reader = BodyReader {
        rx,
        chunk: Bytes::new(),
        reached_end: false,
    };
    (tx, reader)
}

/// A reader of a body that another node sends. Reading blocks. A truncated body ends in an error.
#[derive(Debug)]
pub struct BodyReader {
    rx: mpsc::Receiver<Chunk>,
    chunk: Bytes,
    reached_end: bool,
}

impl Read for BodyReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        while self.chunk.is_empty() && !self.reached_end {
            match self.rx.blocking_recv() {
                Some(Chunk::Data(data)) => self.chunk = data,
                Some(Chunk::End) => self.reached_end = true,
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

/// Copies a body into a channel. Returns without sending the end if the body cannot be read completely.
pub(crate) fn copy_to_channel(mut body: impl Read, tx: &mpsc::Sender<Chunk>) {
    let mut buf = vec![0; CHUNK_MAX_BYTES];
    loop {
        let chunk = match body.read(&mut buf) {
            Ok(0) => Chunk::End,
            Ok(n) => Chunk::Data(Bytes::copy_from_slice(&buf[..n])),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return,
        };
        let is_end = matches!(chunk, Chunk::End);
        if tx.blocking_send(chunk).is_err() || is_end {
            return;
        }
    }
}

/// The head of an answer and the channel of its body.
pub(crate) type Answer = (response::Parts, mpsc::Receiver<Chunk>);

/// Answers a request that another node has forwarded. If it is dropped without an answer, the stream is
/// reset.
#[derive(Debug)]
pub struct AnswerWriter {
    tx: oneshot::Sender<Answer>,
}

impl AnswerWriter {
    pub(crate) fn new() -> (Self, oneshot::Receiver<Answer>) {
        let (tx, rx) = oneshot::channel();
        (Self { tx }, rx)
    }

    /// Sends an answer, reading its body to the end. If the body cannot be read completely, the stream is
    /// reset, so that the other node detects the truncation.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream to the other node no longer exists.
    pub fn answer(self, answer: Response<impl Read>) -> io::Result<()> {
        let (parts, body) = answer.into_parts();
        let (tx, rx) = mpsc::channel(CHUNKS_MAX);
        let disconnected =
            |_| io::Error::new(io::ErrorKind::BrokenPipe, "the other node has disconnected");
        self.tx.send((parts, rx)).map_err(disconnected)?;
        copy_to_channel(body, &tx);
        Ok(())
    }
}
