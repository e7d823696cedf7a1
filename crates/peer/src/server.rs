//! Incoming connections from other nodes.

use std::{hint, time::Duration};

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response, StatusCode, request};
use model::NodeId;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    AnswerWriter, BodyReader, LinkHandler, LinksConfig, PeerMsg,
    body::{self, Answer},
    client::{
        MESSAGE_PATH, NODE_HEADER, TOKEN_HEADER, receive_body, send_body, wait_for_ping_failure,
    },
};

/// The delay after a connection could not be accepted, for example because no file descriptor was free.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// The most memory that decoding a message may take, in bytes. A text is allocated with the length that it states before it
/// is read.
const MAX_DECODED_BYTES: usize = 128 << 20;

/// A caller's request that another node has forwarded.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The node that forwarded the request.
    pub from: NodeId,
    /// The request, with the path of the caller's request.
    pub req: Request<BodyReader>,
    /// The writer for the answer.
    pub answer: AnswerWriter,
}

/// Accepts connections for as long as the runtime exists.
pub(crate) async fn listen(cfg: LinksConfig, listener: TcpListener, handler: impl LinkHandler) {
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => {
                tokio::spawn(connection(cfg.clone(), tcp, handler.clone()));
            }
            Err(e) => {
                log::warn!("peer: a connection was not accepted: {e}");
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn connection(cfg: LinksConfig, tcp: TcpStream, handler: impl LinkHandler) {
    // A failure only increases the latency.
    let _ = tcp.set_nodelay(true);
    let handshake = timeout(cfg.connect_timeout, h2::server::handshake(tcp));
    let Ok(Ok(mut connection)) = handshake.await else {
        return;
    };
    let ping_failure = wait_for_ping_failure(&cfg, connection.ping_pong());
    tokio::pin!(ping_failure);
    loop {
        tokio::select! {
            accepted = connection.accept() => {
                let Some(Ok((req, respond))) = accepted else {
                    return;
                };
                tokio::spawn(stream(cfg.clone(), req, respond, handler.clone()));
            }
            // A node that vanishes closes none of its connections.
            () = &mut ping_failure => return,
        }
    }
}

async fn stream(
    cfg: LinksConfig,
    req: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    handler: impl LinkHandler,
) {
    let (parts, recv) = req.into_parts();
    let Some(from) = authenticate(&cfg, &parts) else {
        log::warn!("peer: a stream without the right token was refused");
        return answer_status(&mut respond, StatusCode::UNAUTHORIZED);
    };
    if parts.uri.path() == MESSAGE_PATH {
        let msg = read_message(&cfg, from, recv).await;
        let status = if msg.is_some() {
            StatusCode::OK
        } else {
            StatusCode::BAD_REQUEST
        };
        if let Some(msg) = msg {
            handler.handle_message(from, msg);
        }
        return answer_status(&mut respond, status);
    }
    let (tx, reader) = body::channel();
    tokio::spawn(receive_body(recv, tx));
    let (answer, rx) = AnswerWriter::new();
    handler.handle_forwarded(ForwardedRequest {
        from,
        req: Request::from_parts(parts, reader),
        answer,
    });
    match rx.await {
        Ok(answer) => answer_forwarded(&mut respond, answer).await,
        Err(_) => respond.send_reset(h2::Reason::CANCEL),
    }
}

/// Returns the sender if it presented the nodes' token.
fn authenticate(cfg: &LinksConfig, parts: &request::Parts) -> Option<NodeId> {
    let given = parts.headers.get(TOKEN_HEADER)?.as_bytes();
    if !secrets_equal(given, cfg.token.as_bytes()) {
        return None;
    }
    let node = parts.headers.get(NODE_HEADER)?.to_str().ok()?;
    node.parse().ok()
}

/// Returns whether two secrets are equal, in a time that depends only on their lengths.
///
/// # Examples
///
/// ```
/// assert!(peer::secrets_equal(b"one secret", b"one secret"));
/// assert!(!peer::secrets_equal(b"one secret", b"two secret"));
/// ```
#[must_use]
pub fn secrets_equal(a: &[u8], b: &[u8]) -> bool {
    if a.len() != b.len() {
        return false;
    }
    let differences = a.iter().zip(b).fold(0, |sum, (x, y)| sum | (x ^ y));
    hint::black_box(differences) == 0
}

async fn read_message(cfg: &LinksConfig, from: NodeId, recv: RecvStream) -> Option<PeerMsg> {
    let reading = read_body(cfg.max_message_bytes, recv);
    let body = timeout(cfg.message_timeout, reading).await.ok()??;
    let cfg = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    match bincode::serde::decode_from_slice(&body, cfg) {
        Ok((msg, _)) => Some(msg),
        Err(e) => {
            log::warn!("peer: a message of {from} cannot be read: {e}");
            None
        }
    }
}

/// Reads a body. Returns `None` if reading fails or the body is longer than `max_bytes`.
async fn read_body(max_bytes: usize, mut recv: RecvStream) -> Option<Bytes> {
    let mut body = BytesMut::new();
    while let Some(data) = recv.data().await {
        let data = data.ok()?;
        if body.len() + data.len() > max_bytes {
            return None;
        }
        recv.flow_control().release_capacity(data.len()).ok()?;
        body.extend_from_slice(&data);
    }
    Some(body.freeze())
}

fn answer_status(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // This fails if the other node has disconnected, which needs no handling.
    let _ = respond.send_response(response, true);
}

async fn answer_forwarded(respond: &mut SendResponse<Bytes>, (parts, body): Answer) {
    let response = Response::from_parts(parts, ());
    if let Ok(stream) = respond.send_response(response, false) {
        send_body(stream, body).await;
    }
}
