//! Links between nodes: one `h2` stream with `bincode` messages each way.
//!
//! A link is closed by dropping both of its ends, or by the failure of the other side's connection. A peer
//! that has gone silent is not detected here: both sides send messages at intervals and time out on
//! missing ones. The connection is closed soon after the link, whether the other side answers or not.

use std::{
    future::{poll_fn, ready},
    io,
    net::SocketAddr,
    time::Duration,
};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream, client, server};
use http::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::{spawn_local, yield_now},
    time::{Instant, timeout},
};

use crate::{
    inbound::{Closing, Inbound, InboundConnection},
    message::Message,
};

/// The number of messages that may wait to be sent or handled. The scheduler closes a link on which more
/// wait to be sent; the node reopens it and receives the whole state.
const QUEUE_MESSAGES: usize = 1_024;

/// The flow-control window of a stream and of a connection, in bytes. It holds the whole state of a few
/// thousand jobs.
const WINDOW_BYTES: u32 = 1 << 20;

/// The longest message, in bytes. It bounds the memory that a faulty peer can make a node use.
pub(crate) const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// The most memory that decoding a message may take, in bytes. A number of one byte counts as eight.
const MAX_DECODED_BYTES: usize = 8 * MAX_MESSAGE_BYTES + (1 << 20);

/// The buffer that an idle link keeps, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;

/// The longest headers of the request that opens a link, in bytes.
const MAX_HEADER_BYTES: u32 = 4 << 10;

/// Waiting messages are joined into one write until it has at least this many bytes.
const WRITE_TARGET_BYTES: usize = 16 << 10;

/// How long opening a link may take. The delay between regions is 20 ms, and a lost packet is resent after
/// 1 s.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long the last messages and the closing of a link may take.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause after a connection could not be accepted, for example because no file descriptors were left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The two ends of a link.
pub(crate) struct Link {
    pub(crate) tx: mpsc::Sender<Message>,
    pub(crate) rx: mpsc::Receiver<Message>,
}

/// Opens a link to the node at `to`.
pub(crate) async fn open(to: SocketAddr) -> io::Result<Link> {
    timeout(OPEN_TIMEOUT, connect(to))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn connect(to: SocketAddr) -> io::Result<Link> {
    let socket = TcpStream::connect(to).await?;
    socket.set_nodelay(true)?;
    let (mut requests, connection) = client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(io::Error::other)?;
    let mut driver = spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("link closed: {e}");
        }
    });
    let request = Request::post("/link").body(()).map_err(io::Error::other)?;
    let (response, send) = requests
        .send_request(request, false)
        .map_err(io::Error::other)?;
    let (tx, outgoing) = mpsc::channel(QUEUE_MESSAGES);
    let (incoming, rx) = mpsc::channel(QUEUE_MESSAGES);
    let body = async {
        let response = response.await;
        response.map(Response::into_body)
    };
    spawn_local(async move {
        carry(send, outgoing, body, incoming, None).await;
        // Dropping the last handle lets the connection close once its stream has ended.
        drop(requests);
        if timeout(CLOSE_TIMEOUT, &mut driver).await.is_err() {
            driver.abort();
        }
    });
    Ok(Link { tx, rx })
}

/// Accepts links, and passes each to `on_link`.
pub(crate) async fn accept(
    listener: TcpListener,
    peers: Inbound,
    on_link: impl Fn(Link) + Clone + 'static,
) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                if let Some((peer, closing)) = peers.open(Instant::now()) {
                    let on_link = on_link.clone();
                    spawn_local(async move {
                        if let Err(e) = serve(socket, peer, closing, on_link).await {
                            log::debug!("link closed: {e}");
                        }
                    });
                }
                if peers.is_full() {
                    // Lets the connection that made room close its socket.
                    yield_now().await;
                }
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(
    socket: TcpStream,
    peer: InboundConnection,
    mut closing: Closing,
    on_link: impl Fn(Link),
) -> Result<(), h2::Error> {
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY: {e}");
    }
    let handshake = server::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .max_concurrent_streams(1)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake::<_, Bytes>(socket);
    let opening = async {
        let mut connection = handshake.await?;
        let stream = connection.accept().await.transpose()?;
        Ok::<_, h2::Error>((connection, stream))
    };
    let opened = tokio::select! {
        opened = timeout(OPEN_TIMEOUT, opening) => opened,
        Ok(()) = &mut closing => return Ok(()),
    };
    let Ok(opened) = opened else {
        return Err(h2::Reason::SETTINGS_TIMEOUT.into());
    };
    let (mut connection, stream) = opened?;
    let Some((request, mut respond)) = stream else {
        return Ok(());
    };
    let send = respond.send_response(Response::new(()), false)?;
    let (tx, outgoing) = mpsc::channel(QUEUE_MESSAGES);
    let (incoming, rx) = mpsc::channel(QUEUE_MESSAGES);
    on_link(Link { tx, rx });
    let body = ready(Ok(request.into_body()));
    let mut carrying = spawn_local(carry(send, outgoing, body, incoming, Some(peer)));
    tokio::select! {
        _ = &mut carrying => {}
        Ok(()) = &mut closing => {
            carrying.abort();
            return Ok(());
        }
        // There is no further stream, and the connection has to be polled all the time. Messages that have arrived are
        // still read when it is closed.
        closed = poll_fn(|cx| connection.poll_closed(cx)) => return closed,
    }
    connection.graceful_shutdown();
    let closing = poll_fn(|cx| connection.poll_closed(cx));
    timeout(CLOSE_TIMEOUT, closing).await.unwrap_or(Ok(()))
}

/// Passes messages both ways until the other side ends the link, or `incoming` is not read any more. The messages of
/// `outgoing` are then sent for a while longer.
async fn carry(
    send: SendStream<Bytes>,
    outgoing: mpsc::Receiver<Message>,
    body: impl Future<Output = Result<RecvStream, h2::Error>>,
    incoming: mpsc::Sender<Message>,
    peer: Option<InboundConnection>,
) {
    let mut writing = spawn_local(write(send, outgoing));
    let reader = incoming.clone();
    let reading = async move {
        match body.await {
            Ok(body) => read(body, incoming, peer.as_ref()).await,
            Err(e) => log::debug!("cannot open link: {e}"),
        }
    };
    tokio::select! {
        () = reading => {}
        () = reader.closed() => {}
    }
    drop(reader);
    if timeout(CLOSE_TIMEOUT, &mut writing).await.is_err() {
        writing.abort();
    }
}

/// Sends the messages of `outgoing` until its sender is dropped.
async fn write(mut send: SendStream<Bytes>, mut outgoing: mpsc::Receiver<Message>) {
    while let Some(message) = outgoing.recv().await {
        let mut buf = BytesMut::new();
        encode_message(&mut buf, &message);
        while buf.len() < WRITE_TARGET_BYTES {
            let Ok(message) = outgoing.try_recv() else {
                break;
            };
            encode_message(&mut buf, &message);
        }
        if let Err(e) = send_all(&mut send, buf.freeze()).await {
            log::debug!("cannot write to link: {e}");
            return;
        }
    }
    // Ends the stream. An error means that the other side has already closed it.
    let _ = send.send_data(Bytes::new(), true);
}

async fn send_all(send: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), h2::Error> {
    while bytes.has_remaining() {
        send.reserve_capacity(bytes.len());
        let Some(granted) = poll_fn(|cx| send.poll_capacity(cx)).await else {
            return Err(h2::Reason::STREAM_CLOSED.into());
        };
        let part = bytes.split_to(granted?.min(bytes.len()));
        send.send_data(part, false)?;
    }
    Ok(())
}

/// Passes received messages to `incoming` until the stream ends or a message cannot be decoded.
async fn read(
    mut body: RecvStream,
    incoming: mpsc::Sender<Message>,
    peer: Option<&InboundConnection>,
) {
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let Ok(chunk) = chunk else {
            return;
        };
        if body.flow_control().release_capacity(chunk.len()).is_err() {
            return;
        }
        buf.extend_from_slice(&chunk);
        loop {
            match decode_message(&mut buf) {
                Ok(Some(message)) => {
                    if incoming.send(message).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(e) => {
                    log::warn!("event=bad_message error={e:?}");
                    return;
                }
            }
        }
        if buf.is_empty() && buf.capacity() > MAX_IDLE_BUFFER_BYTES {
            buf = BytesMut::new();
        }
        let Some(peer) = peer else {
            continue;
        };
        if buf.is_empty() {
            peer.finish(Instant::now());
        } else if peer.receive(Instant::now(), buf.capacity()).is_err() {
            return;
        }
    }
}

/// Appends a message, preceded by its length in bytes as a big-endian `u32`.
fn encode_message(buf: &mut BytesMut, message: &Message) {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("messages have a known length");
    buf.put_u32(u32::try_from(bytes.len()).expect("messages are shorter than 4 GB"));
    buf.put_slice(&bytes);
}

/// Removes the first message from `buf`. Returns `None` if it is not complete yet.
fn decode_message(buf: &mut BytesMut) -> Result<Option<Message>, String> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*head)).unwrap_or(usize::MAX);
    if length > MAX_MESSAGE_BYTES {
        return Err(format!("message of {length} bytes is too long"));
    }
    if buf.len() < 4 + length {
        return Ok(None);
    }
    buf.advance(4);
    let bytes = buf.split_to(length);
    let cfg = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let (message, _) = bincode::serde::decode_from_slice(&bytes, cfg).map_err(|e| e.to_string())?;
    Ok(Some(message))
}
