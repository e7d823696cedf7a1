//! The number of bytes that calls and messages take on the wire.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
};

use fakes::{FakePlatform, PlatformSpec, serve};
use serde::Serialize;
use store::{HttpPlatform, HttpPlatformConfig, Table, TableReq};

/// The overhead of an `h2` stream with a short body, in bytes: frame headers, indexed headers and the
/// acknowledgement.
pub(crate) const STREAM_OVERHEAD: u64 = 80;

/// The HTTP overhead of a call and its answer, in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Overhead {
    pub(crate) request: u64,
    pub(crate) answer: u64,
}

impl Overhead {
    /// Measures one real call and one real answer on loopback.
    pub(crate) fn measure() -> Self {
        Self {
            request: request_overhead(),
            answer: answer_overhead(),
        }
    }

    /// Returns the total bytes of a call and its answer with these bodies.
    pub(crate) fn call(&self, req: &impl Serialize, resp: &impl Serialize) -> u64 {
        self.request + json_len(req) + self.answer + json_len(resp)
    }
}

/// Returns the length in bytes of a body as sent by the HTTP adapter.
pub(crate) fn json_len(value: &impl Serialize) -> u64 {
    serde_json::to_vec(value).map_or(0, |body| body.len() as u64)
}

/// Returns the length in bytes of a message between nodes, including the stream's overhead.
pub(crate) fn message_len(value: &impl Serialize) -> u64 {
    store::encode(value).len() as u64 + STREAM_OVERHEAD
}

/// Returns the request whose overhead is measured.
fn sample() -> TableReq {
    TableReq::Get {
        key: "config/head".to_owned(),
    }
}

fn request_overhead() -> u64 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback can be listened on");
    let address = listener.local_addr().expect("the listener has an address");
    let reading = thread::spawn(move || {
        let (mut tcp, _) = listener.accept().expect("a connection");
        let mut buf = [0; 4_096];
        let n = tcp.read(&mut buf).expect("a request");
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"Row\":null}";
        tcp.write_all(answer.as_bytes()).expect("the caller reads");
        n as u64
    });
    let cfg = HttpPlatformConfig {
        url: format!("http://{address}"),
        ..HttpPlatformConfig::default()
    };
    HttpPlatform::new(cfg).table(&sample()).expect("an answer");
    let total = reading.join().expect("the thread does not panic");
    total.saturating_sub(json_len(&sample()))
}

fn answer_overhead() -> u64 {
    let platform = FakePlatform::new(&PlatformSpec::default());
    let server = serve("127.0.0.1:0", platform).expect("loopback can be listened on");
    let mut tcp = TcpStream::connect(server.address()).expect("the server listens");
    let body = serde_json::to_string(&sample()).expect("the request can be serialised");
    let head = format!(
        "POST /table HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    tcp.write_all((head + &body).as_bytes())
        .expect("the server reads");
    let mut answer = String::new();
    tcp.read_to_string(&mut answer).expect("an answer");
    let head = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
    head as u64
}
