//! Outgoing connections to other nodes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use bytes::Bytes;
use h2::{RecvStream, SendStream, client::SendRequest};
use http::{HeaderValue, Request, Response, StatusCode, Uri, request};
use model::NodeId;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{sleep, timeout},
};

use crate::{
    BodyReader, LinkError, LinksConfig, PeerMsg,
    body::{self, Chunk},
};

pub(crate) const NODE_HEADER: &str = "lacewing-node";
pub(crate) const TOKEN_HEADER: &str = "lacewing-token";
pub(crate) const MESSAGE_PATH: &str = "/message";

/// A node and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Target {
    pub(crate) node: NodeId,
    pub(crate) address: SocketAddr,
}

/// The connection to one node, if it is open. The lock is held while a connection is opened, so that only
/// one is opened.
type Slot = Arc<tokio::sync::Mutex<Option<SendRequest<Bytes>>>>;

/// Sends messages and requests to other nodes and keeps one open connection to each. Clones share the
/// connections.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    cfg: LinksConfig,
    slots: Arc<Mutex<BTreeMap<Target, Slot>>>,
}

impl Client {
    pub(crate) fn new(cfg: LinksConfig) -> Self {
        Self {
            cfg,
            slots: Arc::default(),
        }
    }

    /// Sends a message and waits for its acknowledgement.
    pub(crate) async fn send(
        &self,
        target: Target,
        needs_new_connection: bool,
        msg: &PeerMsg,
    ) -> Result<(), LinkError> {
        let body = bincode::serde::encode_to_vec(msg, bincode::config::standard())
            .map_err(|e| LinkError::Refused(e.to_string()))?;
        let req = Request::post(MESSAGE_PATH).body(());
        let (parts, ()) = req
            .map_err(|e| LinkError::Refused(e.to_string()))?
            .into_parts();
        let sending = async {
            let sender = self.connection(target, needs_new_connection).await?;
            let (resp, mut stream) = self.open_stream(sender, parts, target).await?;
            stream
                .send_data(Bytes::from(body), true)
                .map_err(|e| LinkError::Lost(e.to_string()))?;
            resp.await.map_err(|e| LinkError::Lost(e.to_string()))
        };
        let answer = timeout(self.cfg.message_timeout, sending)
            .await
            .unwrap_or_else(|_| Err(LinkError::Lost("no acknowledgement in time".to_owned())));
        match answer {
            Ok(resp) if resp.status() == StatusCode::OK => Ok(()),
            Ok(resp) => Err(LinkError::Refused(resp.status().to_string())),
            Err(e) => {
                // The connection may be dead, so the next message opens a new one.
                self.drop_connection(target);
                Err(e)
            }
        }
    }

    /// Forwards a request and waits for the head of its answer.
    pub(crate) async fn forward(
        &self,
        target: Target,
        req: Request<mpsc::Receiver<Chunk>>,
    ) -> Result<Response<BodyReader>, LinkError> {
        let (parts, body) = req.into_parts();
        let opening = async {
            let sender = self.connection(target, false).await?;
            self.open_stream(sender, parts, target).await
        };
        let opened = timeout(self.cfg.message_timeout, opening)
            .await
            .unwrap_or_else(|_| Err(LinkError::Unreachable("no connection in time".to_owned())));
        let (resp, stream) = opened.inspect_err(|_| self.drop_connection(target))?;
        tokio::spawn(send_body(stream, body));
        // This wait has no timeout: if the connection is dead, a ping fails and closes it.
        let resp = resp.await.map_err(|e| LinkError::Lost(e.to_string()))?;
        let (parts, recv) = resp.into_parts();
        if parts.status == StatusCode::UNAUTHORIZED {
            return Err(LinkError::Refused("the nodes' token is wrong".to_owned()));
        }
        let (tx, reader) = body::channel();
        tokio::spawn(receive_body(recv, tx));
        Ok(Response::from_parts(parts, reader))
    }

    /// Opens a stream to a node and sends the request's head.
    async fn open_stream(
        &self,
        sender: SendRequest<Bytes>,
        mut parts: request::Parts,
        target: Target,
    ) -> Result<(h2::client::ResponseFuture, SendStream<Bytes>), LinkError> {
        let refused = |e: http::Error| LinkError::Refused(e.to_string());
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        parts.uri = Uri::builder()
            .scheme("http")
            .authority(target.address.to_string())
            .path_and_query(path)
            .build()
            .map_err(refused)?;
        let mut token = HeaderValue::from_str(&self.cfg.token)
            .map_err(|e| LinkError::Refused(e.to_string()))?;
        // A header that is not sensitive is stored in the connection's HPACK table, so that the token is
        // transmitted only once.
        token.set_sensitive(false);
        parts.headers.insert(TOKEN_HEADER, token);
        parts
            .headers
            .insert(NODE_HEADER, HeaderValue::from(self.cfg.node.0));
        let unreachable = |e: h2::Error| LinkError::Unreachable(e.to_string());
        let mut sender = sender.ready().await.map_err(unreachable)?;
        sender
            .send_request(Request::from_parts(parts, ()), false)
            .map_err(unreachable)
    }

    /// Returns the open connection to a node, or opens one. A new connection is not shared if
    /// `needs_new_connection` is set.
    async fn connection(
        &self,
        target: Target,
        needs_new_connection: bool,
    ) -> Result<SendRequest<Bytes>, LinkError> {
        if needs_new_connection {
            return self.connect(target).await;
        }
        let slot = self.slot(target);
        let mut slot = slot.lock().await;
        if let Some(sender) = &*slot {
            return Ok(sender.clone());
        }
        let sender = self.connect(target).await?;
        *slot = Some(sender.clone());
        Ok(sender)
    }

    fn slot(&self, target: Target) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.entry(target).or_default().clone()
    }

    fn drop_connection(&self, target: Target) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.remove(&target);
    }

    async fn connect(&self, target: Target) -> Result<SendRequest<Bytes>, LinkError> {
        let unreachable = |e: String| LinkError::Unreachable(e);
        let connecting = async {
            let tcp = TcpStream::connect(target.address)
                .await
                .map_err(|e| e.to_string())?;
            tcp.set_nodelay(true).map_err(|e| e.to_string())?;
            h2::client::handshake(tcp).await.map_err(|e| e.to_string())
        };
        let (sender, mut connection) = timeout(self.cfg.connect_timeout, connecting)
            .await
            .map_err(|_| unreachable("no connection in time".to_owned()))?
            .map_err(unreachable)?;
        let pings = connection.ping_pong();
        let client = self.clone();
        tokio::spawn(async move {
            // Ends when the connection is closed or a ping is not answered in time.
            tokio::select! {
                _ = connection => {}
                () = wait_for_ping_failure(&client.cfg, pings) => {}
            }
            client.drop_connection(target);
        });
        Ok(sender)
    }
}

/// Sends pings at regular intervals. Returns when a ping is not answered in time.
pub(crate) async fn wait_for_ping_failure(cfg: &LinksConfig, pings: Option<h2::PingPong>) {
    let Some(mut pings) = pings else {
        return;
    };
    loop {
        sleep(cfg.ping_interval).await;
        let answered = timeout(cfg.ping_timeout, pings.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
    }
}

/// Sends a body at the pace of the receiver's flow control. Resets the stream if the body is truncated.
pub(crate) async fn send_body(mut stream: SendStream<Bytes>, mut body: mpsc::Receiver<Chunk>) {
    loop {
        match body.recv().await {
            Some(Chunk::Data(data)) => {
                if !send_chunk(&mut stream, data).await {
                    return;
                }
            }
            Some(Chunk::End) => {
                // This fails if the stream has been reset, which needs no handling.
                let _ = stream.send_data(Bytes::new(), true);
                return;
            }
            None => return stream.send_reset(h2::Reason::CANCEL),
        }
    }
}

/// Sends one chunk. Returns false if the stream has failed.
async fn send_chunk(stream: &mut SendStream<Bytes>, mut data: Bytes) -> bool {
    while !data.is_empty() {
        stream.reserve_capacity(data.len());
        let granted = std::future::poll_fn(|cx| stream.poll_capacity(cx)).await;
        let Some(Ok(n)) = granted else {
            return false;
        };
        let part = data.split_to(n.min(data.len()));
        if stream.send_data(part, false).is_err() {
            return false;
        }
    }
    true
}

/// Copies a received body into a channel. Does not send the end if the body is truncated.
pub(crate) async fn receive_body(mut recv: RecvStream, tx: mpsc::Sender<Chunk>) {
    while let Some(data) = recv.data().await {
        let Ok(data) = data else {
            return;
        };
        let n = data.len();
        if tx.send(Chunk::Data(data)).await.is_err() {
            return;
        }
        if recv.flow_control().release_capacity(n).is_err() {
            return;
        }
    }
    // This fails if the reader has been dropped, which needs no handling.
    let _ = tx.send(Chunk::End).await;
}
