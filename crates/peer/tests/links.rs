//! Links between two nodes on loopback.

use std::{
    io::{Cursor, Read},
    net::{SocketAddr, TcpListener},
    sync::mpsc::{self, Receiver, Sender},
    thread,
    time::Duration,
};

use http::{Request, Response};
use model::{NodeId, Verdict};
use peer::{ForwardedRequest, LinkError, LinkHandler, Links, LinksConfig, PeerMsg};

const WAIT: Duration = Duration::from_secs(20);

enum Seen {
    Message(NodeId, PeerMsg),
    Failed(NodeId),
    Forwarded(ForwardedRequest),
}

#[derive(Clone)]
struct Inbox(Sender<Seen>);

impl LinkHandler for Inbox {
    fn handle_message(&self, from: NodeId, msg: PeerMsg) {
        let _ = self.0.send(Seen::Message(from, msg));
    }

    fn handle_send_failure(&self, to: NodeId, _msg: PeerMsg) {
        let _ = self.0.send(Seen::Failed(to));
    }

    fn handle_forwarded(&self, req: ForwardedRequest) {
        let _ = self.0.send(Seen::Forwarded(req));
    }
}

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

fn node(id: u32, token: &str) -> (Links, Receiver<Seen>) {
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

/// The node to which the next message failed.
fn failed(seen: &Receiver<Seen>) -> Result<NodeId, String> {
    match seen.recv_timeout(WAIT) {
        Ok(Seen::Failed(to)) => Ok(to),
        Ok(Seen::Message(from, msg)) => Err(format!("{from} sent {msg:?}")),
        Ok(Seen::Forwarded(req)) => Err(format!("{req:?}")),
        Err(e) => Err(e.to_string()),
    }
}

#[test]
fn messages_arrive_with_their_sender() {
    let (a, _) = node(1, "secret-secret");
    let (b, rx) = node(2, "secret-secret");
    a.send(NodeId(2), b.address(), PeerMsg::ConfigWanted { after: 7 });
    let Ok(Seen::Message(from, msg)) = rx.recv_timeout(WAIT) else {
        panic!("no message");
    };
    assert_eq!((from, msg), (NodeId(1), PeerMsg::ConfigWanted { after: 7 }));
}

#[test]
fn a_wrong_token_is_refused() {
    let (a, failures) = node(1, "wrong-secret!");
    let (b, rx) = node(2, "secret-secret");
    a.send(NodeId(2), b.address(), PeerMsg::InboxNews);
    assert_eq!(failed(&failures), Ok(NodeId(2)));
    assert!(rx.try_recv().is_err());
}

#[test]
fn a_silent_node_is_noticed() {
    let silent = TcpListener::bind(loopback()).expect("loopback can be listened on");
    let address = silent.local_addr().expect("it has an address");
    let (a, failures) = node(1, "secret-secret");
    a.send_on_new_connection(NodeId(2), address, PeerMsg::InboxNews);
    assert_eq!(failed(&failures), Ok(NodeId(2)));
}

#[test]
fn a_request_is_passed_on_with_both_bodies() {
    let (a, _) = node(1, "secret-secret");
    let (b, rx) = node(2, "secret-secret");
    let answering = thread::spawn(move || {
        let Ok(Seen::Forwarded(forwarded)) = rx.recv_timeout(WAIT) else {
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
            .expect("the caller waits");
        path
    });
    let body: Vec<u8> = (0..300_000_u32).map(|i| i.to_le_bytes()[0]).collect();
    let req = Request::post("/s/lookup/x")
        .body(Cursor::new(body.clone()))
        .expect("valid");
    let resp = a.forward(NodeId(2), b.address(), req).expect("an answer");
    let mut answer = Vec::new();
    resp.into_body()
        .read_to_end(&mut answer)
        .expect("the answer is whole");
    assert!(body.iter().rev().eq(answer.iter()));
    assert_eq!(answering.join().expect("it ends"), "/s/lookup/x");
}

/// A body that breaks off in its middle.
struct Broken(usize);

impl Read for Broken {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Err(std::io::Error::other("broken"));
        }
        self.0 -= 1;
        buf.fill(1);
        Ok(buf.len())
    }
}

#[test]
fn an_answer_that_is_cut_short_is_no_whole_answer() {
    let (a, _) = node(1, "secret-secret");
    let (b, rx) = node(2, "secret-secret");
    thread::spawn(move || {
        if let Ok(Seen::Forwarded(forwarded)) = rx.recv_timeout(WAIT) {
            let _ = forwarded.answer.answer(Response::new(Broken(2)));
        }
    });
    let req = Request::get("/s/lookup/x")
        .body(Cursor::new(Vec::new()))
        .expect("valid");
    let resp = a
        .forward(NodeId(2), b.address(), req)
        .expect("the answer's head");
    let mut answer = Vec::new();
    assert!(resp.into_body().read_to_end(&mut answer).is_err());
}

#[test]
fn an_unreachable_node_has_run_nothing() {
    let closed = TcpListener::bind(loopback()).expect("loopback can be listened on");
    let address = closed.local_addr().expect("it has an address");
    drop(closed);
    let (a, _) = node(1, "secret-secret");
    let req = Request::get("/s/lookup/x")
        .body(Cursor::new(Vec::new()))
        .expect("valid");
    let e: LinkError = a
        .forward(NodeId(2), address, req)
        .expect_err("nothing listens");
    assert_eq!(e.verdict(), Verdict::NotRun, "{e}");
}
