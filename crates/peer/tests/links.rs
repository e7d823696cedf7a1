//! Tests the links between two nodes over loopback.

use std::{
    io::{Cursor, ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{self, Receiver, Sender},
    thread,
    time::Duration,
};

use http::{Request, Response};
use model::{NodeId, Verdict};
use peer::{ForwardedRequest, LinkError, LinkHandler, Links, LinksConfig, PeerMsg};

/// The longest wait for an event of a test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// What the handler of a node was called with.
enum Received {
    Message(NodeId, PeerMsg),
    Failed(NodeId),
    Forwarded(ForwardedRequest),
}

#[derive(Clone)]
struct Inbox(Sender<Received>);

impl LinkHandler for Inbox {
    fn handle_message(&self, from: NodeId, msg: PeerMsg) {
        let _ = self.0.send(Received::Message(from, msg));
    }

    fn handle_send_failure(&self, to: NodeId, _msg: PeerMsg) {
        let _ = self.0.send(Received::Failed(to));
    }

    fn handle_forwarded(&self, req: ForwardedRequest) {
        let _ = self.0.send(Received::Forwarded(req));
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

/// Starts the links of a node with short timeouts. Returns them with what they receive.
fn start_node(id: u32, token: &str) -> (Links, Receiver<Received>) {
    let (tx, rx) = mpsc::channel();
    let cfg = LinksConfig {
        node: NodeId(id),
        token: token.to_owned(),
        connect_timeout: Duration::from_millis(500),
        message_timeout: Duration::from_millis(500),
        ping_interval: Duration::from_millis(100),
        ping_timeout: Duration::from_millis(300),
        ..LinksConfig::default()
    };
    let links = Links::start(cfg, loopback(), Inbox(tx)).expect("loopback can be listened on");
    (links, rx)
}

/// Returns the node to which the next message failed, or a description of anything else that happened.
fn expect_failure(received: &Receiver<Received>) -> Result<NodeId, String> {
    match received.recv_timeout(TIMEOUT) {
        Ok(Received::Failed(to)) => Ok(to),
        Ok(Received::Message(from, msg)) => Err(format!("{from} sent {msg:?}")),
        Ok(Received::Forwarded(req)) => Err(format!("{req:?}")),
        Err(e) => Err(e.to_string()),
    }
}

/// Guards against a lost message or a wrong sender.
#[test]
fn messages_arrive_with_their_sender() {
    let (a, _) = start_node(1, "secret-secret");
    let (b, rx) = start_node(2, "secret-secret");
    a.send(NodeId(2), b.address(), PeerMsg::ConfigWanted { after: 7 });
    let Ok(Received::Message(from, msg)) = rx.recv_timeout(TIMEOUT) else {
        panic!("no message");
    };
    assert_eq!((from, msg), (NodeId(1), PeerMsg::ConfigWanted { after: 7 }));
}

/// Guards against messages being accepted from a sender without the nodes' token.
#[test]
fn a_wrong_token_is_refused() {
    let (a, failures) = start_node(1, "wrong-secret!");
    let (b, rx) = start_node(2, "secret-secret");
    a.send(NodeId(2), b.address(), PeerMsg::InboxNews);
    assert_eq!(expect_failure(&failures), Ok(NodeId(2)));
    assert!(rx.try_recv().is_err());
}

/// Guards against waiting forever for a node that accepts a connection and never responds.
#[test]
fn a_message_to_a_silent_node_fails() {
    let silent = TcpListener::bind(loopback()).expect("loopback can be listened on");
    let address = silent.local_addr().expect("the listener has an address");
    let (a, failures) = start_node(1, "secret-secret");
    a.send_on_new_connection(NodeId(2), address, PeerMsg::InboxNews);
    assert_eq!(expect_failure(&failures), Ok(NodeId(2)));
}

/// Guards against damaged bodies: both are longer than the channel between the threads can hold.
#[test]
fn a_request_is_forwarded_with_both_bodies() {
    let (a, _) = start_node(1, "secret-secret");
    let (b, rx) = start_node(2, "secret-secret");
    let answering = thread::spawn(move || {
        let Ok(Received::Forwarded(forwarded)) = rx.recv_timeout(TIMEOUT) else {
            panic!("no request");
        };
        let path = forwarded.req.uri().path().to_owned();
        let mut body = Vec::new();
        forwarded
            .req
            .into_body()
            .read_to_end(&mut body)
            .expect("the body is whole");
        body.reverse();
        forwarded
            .answer
            .answer(Response::new(Cursor::new(body)))
            .expect("the other node is connected");
        path
    });
    let body: Vec<u8> = (0..300_000_u32).map(|i| i.to_le_bytes()[0]).collect();
    let req = Request::post("/s/lookup/x")
        .body(Cursor::new(body.clone()))
        .expect("the request is valid");
    let resp = a.forward(NodeId(2), b.address(), req).expect("an answer");
    let mut answer = Vec::new();
    resp.into_body()
        .read_to_end(&mut answer)
        .expect("the answer is whole");
    assert!(body.iter().rev().eq(answer.iter()));
    assert_eq!(
        answering.join().expect("the thread does not panic"),
        "/s/lookup/x"
    );
}

/// A body that can be read the given number of times, then fails.
struct FailingReader(usize);

impl Read for FailingReader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Err(std::io::Error::other("broken"));
        }
        self.0 -= 1;
        buf.fill(1);
        Ok(buf.len())
    }
}

/// Guards against a truncated answer being taken for a complete one. The answering node fails to read the
/// rest of the body after the head has been sent.
#[test]
fn a_truncated_answer_ends_in_an_error() {
    let (a, _) = start_node(1, "secret-secret");
    let (b, rx) = start_node(2, "secret-secret");
    thread::spawn(move || {
        if let Ok(Received::Forwarded(forwarded)) = rx.recv_timeout(TIMEOUT) {
            let _ = forwarded.answer.answer(Response::new(FailingReader(2)));
        }
    });
    let req = Request::get("/s/lookup/x")
        .body(Cursor::new(Vec::new()))
        .expect("the request is valid");
    let resp = a
        .forward(NodeId(2), b.address(), req)
        .expect("the answer's head");
    let mut answer = Vec::new();
    assert!(resp.into_body().read_to_end(&mut answer).is_err());
}

/// Guards against a refused connection being reported as a request that may have run, which would
/// prevent a retry.
#[test]
fn a_request_to_an_unreachable_node_has_not_run() {
    let closed = TcpListener::bind(loopback()).expect("loopback can be listened on");
    let address = closed.local_addr().expect("the listener has an address");
    drop(closed);
    let (a, _) = start_node(1, "secret-secret");
    let req = Request::get("/s/lookup/x")
        .body(Cursor::new(Vec::new()))
        .expect("the request is valid");
    let e: LinkError = a
        .forward(NodeId(2), address, req)
        .expect_err("nothing listens");
    assert_eq!(e.verdict(), Verdict::NotRun, "{e}");
}

/// Guards against connections that are held for good by nodes that vanish without closing them.
#[test]
fn an_accepted_connection_that_answers_no_pings_is_closed() {
    let (links, _received) = start_node(1, "secret");
    let mut socket = TcpStream::connect(links.address()).expect("the node listens");
    let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0];
    let opening = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", &settings[..]].concat();
    socket.write_all(&opening).expect("the node reads");
    let timeout = Some(Duration::from_secs(5));
    socket.set_read_timeout(timeout).expect("a valid timeout");
    // Whatever the node sends is read, and nothing is answered.
    let mut sent = Vec::new();
    let end = socket.read_to_end(&mut sent).map_err(|e| e.kind());
    let is_closed = matches!(end, Ok(_) | Err(ErrorKind::ConnectionReset));
    assert!(is_closed, "{end:?} after {} bytes", sent.len());
}
