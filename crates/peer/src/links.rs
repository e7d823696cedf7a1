//! The handle to the links' thread.

use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use http::{Request, Response};
use model::NodeId;
use tokio::sync::{mpsc, oneshot};

use crate::{
    BodyReader, ForwardedRequest, LinkError, PeerMsg,
    body::{self, Chunk},
    client::{Client, Target},
    server,
};

/// Settings of the links.
#[derive(Clone, Debug)]
pub struct LinksConfig {
    /// This node.
    pub node: NodeId,
    /// The secret that all nodes share.
    pub token: String,
    /// The longest wait for a connection. 1 s by default.
    pub connect_timeout: Duration,
    /// The longest wait for a message's acknowledgement. 2 s by default.
    pub message_timeout: Duration,
    /// The interval of pings on an open connection. 2 s by default.
    pub ping_interval: Duration,
    /// The longest wait for a ping's answer, after which the connection is given up. 2 s by default.
    pub ping_timeout: Duration,
    /// The largest message that is taken, in bytes. 4 MiB by default.
    pub max_message_bytes: usize,
}

impl Default for LinksConfig {
    fn default() -> Self {
        Self {
            node: NodeId::default(),
            token: String::new(),
            connect_timeout: Duration::from_secs(1),
            message_timeout: Duration::from_secs(2),
            ping_interval: Duration::from_secs(2),
            ping_timeout: Duration::from_secs(2),
            max_message_bytes: 4 << 20,
        }
    }
}

/// Takes what arrives on the links. Its methods are called on the links' thread and must not block.
pub trait LinkHandler: Clone + Send + 'static {
    /// A message has arrived.
    fn handle_message(&self, from: NodeId, msg: PeerMsg);

    /// A message was not acknowledged: it may or may not have arrived.
    fn handle_send_failure(&self, to: NodeId, msg: PeerMsg);

    /// Another node passes a caller's request on.
    fn handle_forwarded(&self, req: ForwardedRequest);
}

pub(crate) enum Command {
    Send {
        target: Target,
        fresh: bool,
        msg: PeerMsg,
    },
    Forward {
        target: Target,
        req: Request<mpsc::Receiver<Chunk>>,
        reply: oneshot::Sender<Result<Response<BodyReader>, LinkError>>,
    },
}

/// The links of a node. Dropping it ends their thread.
#[derive(Clone, Debug)]
pub struct Links {
    commands: mpsc::UnboundedSender<Command>,
    address: SocketAddr,
}

impl Links {
    /// Starts the links' thread and listens.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on, or the thread cannot be started.
    pub fn start(
        cfg: LinksConfig,
        listen: SocketAddr,
        handler: impl LinkHandler,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()?;
        let (commands, rx) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name("links".to_owned())
            .spawn(move || runtime.block_on(run(cfg, listener, handler, rx)))?;
        Ok(Self { commands, address })
    }

    /// Where other nodes reach this one.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message on the open connection to a node, or a new one.
    pub fn send(&self, node: NodeId, address: SocketAddr, msg: PeerMsg) {
        self.send_on(node, address, false, msg);
    }

    /// Sends a message on a fresh connection, which tells whether the node can be reached now.
    pub fn send_on_new_connection(&self, node: NodeId, address: SocketAddr, msg: PeerMsg) {
        self.send_on(node, address, true, msg);
    }

    fn send_on(&self, node: NodeId, address: SocketAddr, fresh: bool, msg: PeerMsg) {
        let target = Target { node, address };
        // The thread ends only once all handles are dropped.
        let _ = self.commands.send(Command::Send { target, fresh, msg });
    }

    /// Passes a caller's request on to another node, and waits for the head of the answer. An answer
    /// that comes before the request's body was read whole ends the reading.
    ///
    /// # Errors
    ///
    /// No answer came; the error says whether the request may have run.
    pub fn forward(
        &self,
        node: NodeId,
        address: SocketAddr,
        req: Request<impl Read>,
    ) -> Result<Response<BodyReader>, LinkError> {
        let (parts, body) = req.into_parts();
        let (tx, rx) = mpsc::channel(1);
        let (reply, answer) = oneshot::channel();
        let command = Command::Forward {
            target: Target { node, address },
            req: Request::from_parts(parts, rx),
            reply,
        };
        if self.commands.send(command).is_err() {
            return Err(LinkError::Unreachable("the links are closed".to_owned()));
        }
        body::pump(body, &tx);
        drop(tx);
        answer
            .blocking_recv()
            .unwrap_or_else(|_| Err(LinkError::Lost("the links are closed".to_owned())))
    }
}

async fn run(
    cfg: LinksConfig,
    listener: TcpListener,
    handler: impl LinkHandler,
    mut rx: mpsc::UnboundedReceiver<Command>,
) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::spawn(server::listen(cfg.clone(), listener, handler.clone()));
        }
        Err(e) => log::error!("peer: cannot listen: {e}"),
    }
    let client = Client::new(cfg);
    while let Some(command) = rx.recv().await {
        let client = client.clone();
        let handler = handler.clone();
        tokio::spawn(async move {
            match command {
                Command::Send { target, fresh, msg } => {
                    if let Err(e) = client.send(target, fresh, &msg).await {
                        log::debug!("peer: {}: {e}", target.node);
                        handler.handle_send_failure(target.node, msg);
                    }
                }
                Command::Forward { target, req, reply } => {
                    // The caller may have gone away.
                    let _ = reply.send(client.forward(target, req).await);
                }
            }
        });
    }
}
