//! Links between nodes: one `h2` stream with `bincode` messages each way.
//!
//! A link is closed by dropping its sender, or when the other side is gone. Silence is not noticed here:
//! both sides send signs of life and watch for those of the other.

use std::{future::poll_fn, io, net::SocketAddr, time::Duration};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream, client, server};
use http::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::spawn_local,
    time::timeout,
};

use crate::message::Message;

/// Messages that wait to be sent. A link that falls behind further is closed, and opened anew with the
/// whole state.
const QUEUE: usize = 1_024;

/// The window of a stream and of a connection, in bytes: a whole state of some thousand jobs.
const WINDOW: u32 = 1 << 20;

/// The longest message, in bytes. It bounds what a faulty peer can make a node hold.
const MESSAGE_MAX: usize = 8 << 20;

/// The longest run of messages that is sent as one frame, in bytes.
const FRAME: usize = 16 << 10;

/// How long opening a link may take. Regions are 20 ms apart; a lost packet is sent again after 1 s.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(100);

/// The two ends of a link.
pub(crate) struct Link {
    pub(crate) tx: mpsc::Sender<Message>,
    pub(crate) rx: mpsc::Receiver<Message>,
}

/// Opens a link.
pub(crate) async fn open(to: SocketAddr) -> io::Result<Link> {
    timeout(OPEN_TIMEOUT, connect(to))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn connect(to: SocketAddr) -> io::Result<Link> {
    let socket = TcpStream::connect(to).await?;
    socket.set_nodelay(true)?;
    let (mut requests, connection) = client::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(socket)
        .await
        .map_err(io::Error::other)?;
    let driver = spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("link closed: {e}");
        }
    });
    let request = Request::post("/link").body(()).map_err(io::Error::other)?;
    let (response, send) = requests
        .send_request(request, false)
        .map_err(io::Error::other)?;
    let (tx, outgoing) = mpsc::channel(QUEUE);
    let (incoming, rx) = mpsc::channel(QUEUE);
    spawn_local(async move {
        write(send, outgoing).await;
        // The connection ends with its last stream.
        drop(requests);
    });
    spawn_local(async move {
        match response.await {
            Ok(response) => read(response.into_body(), incoming).await,
            Err(e) => log::debug!("link not opened: {e}"),
        }
        driver.abort();
    });
    Ok(Link { tx, rx })
}

/// Accepts links, and passes each to `on_link`.
pub(crate) async fn accept(listener: TcpListener, on_link: impl Fn(Link) + Clone + 'static) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let on_link = on_link.clone();
                spawn_local(async move {
                    if let Err(e) = serve(socket, on_link).await {
                        log::debug!("link closed: {e}");
                    }
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed error={e:?}");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

async fn serve(socket: TcpStream, on_link: impl Fn(Link)) -> Result<(), h2::Error> {
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("no delay: {e}");
    }
    let mut connection = server::Builder::new()
        .initial_window_size(WINDOW)
        .initial_connection_window_size(WINDOW)
        .handshake::<_, Bytes>(socket)
        .await?;
    while let Some(stream) = connection.accept().await {
        let (request, mut respond) = stream?;
        let send = respond.send_response(Response::new(()), false)?;
        let (tx, outgoing) = mpsc::channel(QUEUE);
        let (incoming, rx) = mpsc::channel(QUEUE);
        spawn_local(write(send, outgoing));
        spawn_local(read(request.into_body(), incoming));
        on_link(Link { tx, rx });
    }
    Ok(())
}

async fn write(mut send: SendStream<Bytes>, mut outgoing: mpsc::Receiver<Message>) {
    while let Some(message) = outgoing.recv().await {
        let mut buf = BytesMut::new();
        put(&mut buf, &message);
        while buf.len() < FRAME {
            let Ok(message) = outgoing.try_recv() else {
                break;
            };
            put(&mut buf, &message);
        }
        if let Err(e) = send_all(&mut send, buf.freeze()).await {
            log::debug!("link not written: {e}");
            return;
        }
    }
    // The other side is told that nothing follows; a fault here means that it is gone already.
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

async fn read(mut body: RecvStream, incoming: mpsc::Sender<Message>) {
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
            match take(&mut buf) {
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
    }
}

fn put(buf: &mut BytesMut, message: &Message) {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("messages have a known length");
    buf.put_u32(u32::try_from(bytes.len()).expect("messages are shorter than 4 GB"));
    buf.put_slice(&bytes);
}

fn take(buf: &mut BytesMut) -> Result<Option<Message>, String> {
    let Some(head) = buf.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*head)).unwrap_or(usize::MAX);
    if length > MESSAGE_MAX {
        return Err(format!("{length} bytes"));
    }
    if buf.len() < 4 + length {
        return Ok(None);
    }
    buf.advance(4);
    let bytes = buf.split_to(length);
    let (message, _) = bincode::serde::decode_from_slice(&bytes, bincode::config::standard())
        .map_err(|e| e.to_string())?;
    Ok(Some(message))
}
