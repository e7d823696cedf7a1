//! A minimal HTTP/1.1 server and client on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server has read it.
#[derive(Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A handler returns a status and a body, or `None` to close the connection without an answer.
pub type Reply = Option<(u16, String)>;

/// Serves requests on a new loopback port, one thread for each connection, until the process ends.
pub fn serve(handler: impl Fn(Request) -> Reply + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(socket, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection(socket: TcpStream, handler: &dyn Fn(Request) -> Reply) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut out = socket.try_clone()?;
    let mut reader = BufReader::new(socket);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        out.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

/// Reads a line without its end. Returns `None` at the end of the stream.
fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    let length = reader.read_line(&mut line)?;
    Ok((length > 0).then(|| line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(headers)
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect(),
        headers,
        body,
    }))
}

/// Decodes a value of a query.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        rest = tail;
        let hex = || std::str::from_utf8(tail.get(..2)?).ok();
        match (first, hex().and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends a request on a connection of its own. Returns the status and the body, or `None` without a complete answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut socket = TcpStream::connect_timeout(&to, limit).ok()?;
    socket.set_nodelay(true).ok()?;
    socket.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-lacewingrouter-timeout-ms: {}\r\n\
         connection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    socket.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(socket);
    let line = read_line(&mut reader).ok()??;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
