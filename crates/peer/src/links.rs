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
    /// The id of this node.
    pub node: NodeId,
    /// The secret that all nodes share.
    pub token: String,
    /// The timeout for opening a connection. 1 s by default.
    pub connect_timeout: Duration,
    /// The timeout for the acknowledgement of a message. 2 s by default.
    pub message_timeout: Duration,
    /// The interval between pings on an open connection. 2 s by default.
    pub ping_interval: Duration,
    /// The timeout for the answer to a ping, after which the connection is closed. 2 s by default.
    pub ping_timeout: Duration,
    /// The maximum size of a received message, in bytes. 4 MiB by default.
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

/// Receives what arrives on the links. The methods are called on the links' thread and must not block.
pub trait LinkHandler: Clone + Send + 'static {
    /// Handles a message from another node.
    fn handle_message(&self, from: NodeId, msg: PeerMsg);

    /// Handles a message to another node that was not acknowledged. It may or may not have arrived.
    fn handle_send_failure(&self, to: NodeId, msg: PeerMsg);

    /// Handles a caller's request that another node has forwarded.
    fn handle_forwarded(&self, req: ForwardedRequest);
}

/// A command to the links' thread.
pub(crate) enum Command {
    Send {
        target: Target,
        needs_new_connection: bool,
        msg: PeerMsg,
    },
    Forward {
        target: Target,
        req: Request<mpsc::Receiver<Chunk>>,
        reply: oneshot::Sender<Result<Response<BodyReader>, LinkError>>,
    },
}

/// A handle to the links of a node. The links' thread ends when all clones are dropped.
#[derive(Clone, Debug)]
pub struct Links {
    commands: mpsc::UnboundedSender<Command>,
    address: SocketAddr,
}

impl Links {
    /// Listens on an address and starts the links' thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on or the thread cannot be started.
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

    /// Returns the address on which this node listens for other nodes.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message on the open connection to a node, opening one if necessary.
    pub fn send(&self, node: NodeId, address: SocketAddr, msg: PeerMsg) {
        self.send_message(node, address, false, msg);
    }

    /// Sends a message on a new connection, which verifies that the node can currently be reached.
    pub fn send_on_new_connection(&self, node: NodeId, address: SocketAddr, msg: PeerMsg) {
        self.send_message(node, address, true, msg);
    }

    fn send_message(
        &self,
        node: NodeId,
        address: SocketAddr,
        needs_new_connection: bool,
        msg: PeerMsg,
    ) {
        let target = Target { node, address };
        // The thread ends only when all handles are dropped, so sending does not fail.
        let _ = self.commands.send(Command::Send {
            target,
            needs_new_connection,
            msg,
        });
    }

    /// Forwards a caller's request to another node and waits for the head of the answer. If the answer
    /// arrives before the request's body has been read completely, reading stops.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer. [`LinkError::verdict`] says whether the request may have
    /// run.
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
        body::copy_to_channel(body, &tx);
        drop(tx);
        answer
            .blocking_recv()
            .unwrap_or_else(|_| Err(LinkError::Lost("the links are closed".to_owned())))
    }
}

/// Runs the links' thread: accepts connections and executes commands until all handles are dropped.
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
                Command::Send {
                    target,
                    needs_new_connection,
                    msg,
                } => {
                    if let Err(e) = client.send(target, needs_new_connection, &msg).await {
                        log::debug!("peer: {}: {e}", target.node);
                        handler.handle_send_failure(target.node, msg);
                    }
                }
                Command::Forward { target, req, reply } => {
                    // This fails if the caller has been dropped, which needs no handling.
                    let _ = reply.send(client.forward(target, req).await);
                }
            }
        });
    }
}
