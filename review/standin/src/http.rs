//! A small HTTP/1.1 server and client.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, StatusCode, body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{
    net::{TcpListener, TcpStream},
    task::spawn_local,
    time::timeout,
};

/// A request that a stand-in has received.
pub struct Call {
    pub path: String,
    query: Vec<(String, String)>,
    pub instance: Option<String>,
    pub body: Value,
    pub body_bytes: usize,
}

impl Call {
    pub fn query(&self, name: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(key, _)| key == name);
        pair.map(|(_, value)| value.as_str())
    }
}

/// An answer; `None` closes the connection without one.
pub type Reply = Option<(u16, Value)>;

/// Serves a listener until the process ends.
pub async fn serve<F, Fut>(listener: TcpListener, answer: F)
where
    F: Fn(Call) -> Fut + Clone + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let answer = answer.clone();
        spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer.clone();
                async move {
                    let (head, body) = request.into_parts();
                    let bytes = body.collect().await?.to_bytes();
                    let query = head.uri.query().unwrap_or_default();
                    let call = Call {
                        path: head.uri.path().to_owned(),
                        query: form_urlencoded::parse(query.as_bytes())
                            .into_owned()
                            .collect(),
                        instance: head
                            .headers
                            .get("x-lacewingrouter-target-instance")
                            .and_then(|v| v.to_str().ok())
                            .map(str::to_owned),
                        body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
                        body_bytes: bytes.len(),
                    };
                    let Some((status, body)) = answer(call).await else {
                        return Err(Box::<dyn std::error::Error + Send + Sync>::from(
                            "no answer",
                        ));
                    };
                    let mut reply = Response::new(Full::new(Bytes::from(body.to_string())));
                    *reply.status_mut() =
                        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
                    let json = hyper::header::HeaderValue::from_static("application/json");
                    reply.headers_mut().insert("content-type", json);
                    Ok::<_, Box<dyn std::error::Error + Send + Sync>>(reply)
                }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}

/// Sends a client's request on a connection of its own. Returns the status and the body, or `None` without an answer.
pub async fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: Option<&Value>,
    limit: Duration,
) -> Option<(u16, Value)> {
    let sending = async {
        let socket = TcpStream::connect(to).await.ok()?;
        let _ = socket.set_nodelay(true);
        let (mut tx, connection) =
            hyper::client::conn::http1::handshake::<_, Full<Bytes>>(TokioIo::new(socket))
                .await
                .ok()?;
        let connection = spawn_local(async move {
            let _ = connection.await;
        });
        let text = body.map(Value::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", host)
            .header("content-type", "application/json")
            .header("x-lacewingrouter-timeout-ms", limit.as_millis().to_string())
            .body(Full::new(Bytes::from(text)))
            .ok()?;
        let response = tx.send_request(request).await.ok()?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.ok()?.to_bytes();
        connection.abort();
        Some((
            status,
            serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        ))
    };
    timeout(limit, sending).await.ok().flatten()
}
