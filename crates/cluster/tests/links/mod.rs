//! Links whose other side has vanished without closing them.

use std::{future::poll_fn, time::Duration};

use bytes::Bytes;
use h2::{client, server};
use http::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    run,
    support::{platform, start, until},
};

/// How long a node may keep the connection of a link after the other side has vanished. It treats a node as failed after
/// 3.5 s of silence.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Guards against descriptors that are held for good by other nodes that vanish before they have opened a link.
#[test]
fn a_connection_without_a_link_is_closed() {
    run(async {
        let platform = platform();
        let _node = start("n1", 0, &platform).await;
        until("n1 schedules", || platform.lease().is_some()).await;
        let address = platform.lease().unwrap().address;
        let socket = TcpStream::connect(address).await.unwrap();
        let closed = async {
            // Whatever the node sends is read until it closes the connection.
            let mut buf = [0; 1_024];
            loop {
                socket.readable().await.unwrap();
                match socket.try_read(&mut buf) {
                    Ok(1..) => {}
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Ok(0) | Err(_) => return,
                }
            }
        };
        assert!(timeout(CLOSE_LIMIT, closed).await.is_ok());
    });
}

/// Guards against the same if they vanish later.
#[test]
fn an_accepted_link_that_is_silent_is_closed() {
    run(async {
        let platform = platform();
        let _node = start("n1", 0, &platform).await;
        until("n1 schedules", || platform.lease().is_some()).await;
        let address = platform.lease().unwrap().address;
        let socket = TcpStream::connect(address).await.unwrap();
        let (mut requests, connection) = client::handshake(socket).await.unwrap();
        let opening = Request::post("/link").body(()).unwrap();
        let (_response, _send) = requests.send_request(opening, false).unwrap();
        let _: (Result<_, _>, &client::SendRequest<Bytes>) = (
            timeout(CLOSE_LIMIT, connection)
                .await
                .expect("the connection is open still"),
            &requests,
        );
    });
}

/// Guards against descriptors that are held for good by schedulers that have vanished.
#[test]
fn an_opened_link_to_a_silent_scheduler_is_closed() {
    run(async {
        let platform = platform();
        let _node = start("n1", 0, &platform).await;
        until("n1 schedules", || platform.lease().is_some()).await;
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        platform.name_scheduler("n2", listener.local_addr().unwrap());
        let (socket, _) = timeout(CLOSE_LIMIT, listener.accept())
            .await
            .unwrap()
            .unwrap();
        let mut connection = server::handshake(socket).await.unwrap();
        let (request, mut respond) = connection.accept().await.unwrap().unwrap();
        let send = respond.send_response(Response::new(()), false);
        let _open: (_, h2::SendStream<Bytes>) = (request, send.unwrap());
        let closed = poll_fn(|cx| connection.poll_closed(cx));
        let is_closed = timeout(CLOSE_LIMIT, closed).await.is_ok();
        assert!(is_closed, "the connection is open still");
    });
}
