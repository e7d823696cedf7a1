//! A small HTTP/1.1 server and client.

use std::{net::SocketAddr, time::Duration};

use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, body::Bytes, body::Incoming,
    client::conn::http1 as client, server::conn::http1 as server, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::spawn_local,
    time::timeout,
};

pub type Reply = Response<Full<Bytes>>;

/// A request to a stand-in.
pub struct Call {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Value,
}

impl Call {
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.uri.query().unwrap_or_default();
        form_urlencoded::parse(query.as_bytes())
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.into_owned())
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// The handler gives no answer, and the connection is closed.
#[derive(Debug)]
pub struct NoAnswer;

impl std::fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("no answer")
    }
}

impl std::error::Error for NoAnswer {}

/// Serves requests until the runtime ends. While `is_up` is false, connections are closed and none is accepted.
pub async fn serve<H, F>(listener: TcpListener, is_up: watch::Receiver<bool>, handler: H)
where
    H: Fn(Call) -> F + Clone + 'static,
    F: Future<Output = Result<Reply, NoAnswer>> + 'static,
{
    while let Ok((socket, _)) = listener.accept().await {
        let _ = socket.set_nodelay(true);
        if !*is_up.borrow() {
            continue;
        }
        let (handler, mut is_up) = (handler.clone(), is_up.clone());
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let handler = handler.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let bytes = body.collect().await.map_err(|_| NoAnswer)?.to_bytes();
                    let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
                    let call = Call {
                        method: head.method,
                        uri: head.uri,
                        headers: head.headers,
                        body,
                    };
                    handler(call).await
                }
            });
            let connection = server::Builder::new().serve_connection(TokioIo::new(socket), service);
            tokio::select! {
                _ = connection => {}
                _ = is_up.wait_for(|is_up| !is_up) => {}
            }
        });
    }
}

pub fn reply(status: u16, body: &Value) -> Result<Reply, NoAnswer> {
    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
    *reply.status_mut() = StatusCode::from_u16(status).map_err(|_| NoAnswer)?;
    Ok(reply)
}

/// What a client sends.
pub struct Send<'a> {
    pub method: Method,
    pub host: &'a str,
    pub path: &'a str,
    pub body: Option<&'a Value>,
    pub limit: Duration,
}

/// Sends a request over a connection of its own. Returns the status and the body, or why there is no answer.
pub async fn send(to: SocketAddr, send: Send<'_>) -> Result<(u16, Value), String> {
    let calling = async {
        let socket = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
        let handshake = client::handshake(TokioIo::new(socket)).await;
        let (mut sender, connection) = handshake.map_err(|e| e.to_string())?;
        let driver = spawn_local(async move {
            let _ = connection.await;
        });
        let bytes = send.body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(send.method)
            .uri(send.path)
            .header("host", send.host)
            .header("content-type", "application/json")
            .header(
                "x-lacewingrouter-timeout-ms",
                send.limit.as_millis().to_string(),
            )
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|e| e.to_string())?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|e| e.to_string())?;
        driver.abort();
        let body = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
        Ok((status, body))
    };
    match timeout(send.limit, calling).await {
        Ok(answer) => answer,
        Err(_) => Err("no answer in time".to_owned()),
    }
}
