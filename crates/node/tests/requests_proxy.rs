//! Tests of the proxy on loopback: complete answers are passed on, truncated ones are never reported as
//! complete, and each refusal says whether the request may have run.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use model::{Class, Repeat};
use node::{FixedProxy, FixedService};
use route::{RouteConfig, ServicePolicy};
use tiny_http::{Header, Response, Server};
use ureq::{Agent, SendBody, http};

/// The size of a large answer, in bytes.
const LARGE_BYTES: usize = 1 << 20;

/// Starts a backend server that answers by path. Returns its endpoint and the counter of its requests.
fn backend() -> (String, Arc<AtomicU32>) {
    let server = Server::http("127.0.0.1:0").unwrap();
    let address = server.server_addr().to_ip().unwrap();
    let endpoint = format!("http://{address}");
    // `tiny_http` does not serve some of the connections that arrive together until a further one arrives. The node's
    // own server is woken in the same way.
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(50));
            let _ = TcpStream::connect(address);
        }
    });
    let runs = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&runs);
    thread::spawn(move || {
        for req in server.incoming_requests() {
            let run = counter.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || answer(req, run));
        }
    });
    (endpoint, runs)
}

fn answer(mut req: tiny_http::Request, run: u32) {
    let mut body = Vec::new();
    req.as_reader().read_to_end(&mut body).unwrap();
    let _ = match req.url() {
        "/large" => req.respond(Response::from_data(vec![7; LARGE_BYTES])),
        "/chunked" => {
            let data = std::io::Cursor::new(vec![7; LARGE_BYTES]);
            req.respond(Response::new(200.into(), Vec::new(), data, None, None))
        }
        "/huge" => req.respond(Response::from_data(vec![7; 64 * LARGE_BYTES])),
        "/empty" => req.respond(Response::empty(204)),
        "/headers" => {
            let names = req.headers().iter().map(|h| h.field.to_string());
            let names: Vec<String> = names.collect();
            let kept = Header::from_bytes("X-Kept", "yes").unwrap();
            let text = names.join(" ").to_lowercase();
            req.respond(Response::from_string(text).with_header(kept))
        }
        "/echo" => {
            let sum: u64 = body.iter().map(|b| u64::from(*b)).sum();
            let text = format!("{} {} {sum}", req.method(), body.len());
            req.respond(Response::from_string(text))
        }
        path => {
            let text = format!("run {run} of {path}");
            req.respond(Response::from_string(text))
        }
    };
}

/// Starts a backend server that sends `bytes` and then closes the connection or, if `is_silent`, leaves
/// it open without sending more. Returns its endpoint.
fn faulty_backend(bytes: Vec<u8>, is_silent: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let endpoint = format!("http://{}", listener.local_addr().unwrap());
    thread::spawn(move || {
        let mut kept = Vec::new();
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut head = [0; 4096];
            let _ = stream.read(&mut head);
            let _ = stream.write_all(&bytes);
            if is_silent {
                kept.push(stream);
            }
        }
    });
    endpoint
}

fn cut_answer(length: usize, sent: usize) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + sent, 7);
    bytes
}

/// The proxy that all tests share, since a process can have only one. Each test has a service of its
/// own.
struct Setup {
    url: String,
    runs: BTreeMap<&'static str, Arc<AtomicU32>>,
    /// The connection whose client's port refuses connections.
    _refused: (TcpListener, TcpStream),
}

fn setup() -> &'static Setup {
    static SETUP: OnceLock<Setup> = OnceLock::new();
    SETUP.get_or_init(|| {
        // The port of a closed listener may go to another one, also of another process. The client's port of an open
        // connection is taken, and nothing listens there.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let refused = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let refused_endpoint = format!("http://{}", refused.local_addr().unwrap());
        let unclear = b"HTTP/1.0 200 OK\r\n\r\nhalf of".to_vec();
        let mut services = vec![
            service(
                "short",
                Repeat::Safe,
                faulty_backend(cut_answer(100, 50), false),
            ),
            service(
                "long",
                Repeat::Safe,
                faulty_backend(cut_answer(LARGE_BYTES, LARGE_BYTES / 2), false),
            ),
            service("unclear", Repeat::Safe, faulty_backend(unclear, false)),
            service("refused", Repeat::Safe, refused_endpoint.clone()),
            service("refused-once", Repeat::Never, refused_endpoint),
            service("silent", Repeat::Safe, faulty_backend(Vec::new(), true)),
            service(
                "silent-once",
                Repeat::Never,
                faulty_backend(Vec::new(), true),
            ),
            service(
                "stalled",
                Repeat::Safe,
                faulty_backend(cut_answer(100, 50), true),
            ),
        ];
        let mut runs = BTreeMap::new();
        for (name, repeat) in [
            ("whole", Repeat::Safe),
            ("bodies", Repeat::Safe),
            ("headers", Repeat::Safe),
            ("bounds", Repeat::Safe),
            ("together", Repeat::Safe),
            ("slow-caller", Repeat::Safe),
            ("once", Repeat::Never),
        ] {
            let (endpoint, counter) = backend();
            runs.insert(name, counter);
            services.push(service(name, repeat, endpoint));
        }
        let proxy = FixedProxy::start(RouteConfig::default(), services).unwrap();
        let url = format!("http://{}/s", proxy.address());
        Setup {
            url,
            runs,
            _refused: (listener, refused),
        }
    })
}

fn service(name: &str, repeat: Repeat, endpoint: String) -> FixedService {
    FixedService {
        name: name.to_owned(),
        policy: ServicePolicy {
            class: Class::Interactive,
            repeat,
            deadline: Duration::from_secs(2),
            ..ServicePolicy::default()
        },
        endpoints: vec![endpoint],
        slots: 8,
    }
}

fn url(service: &str) -> String {
    format!("{}/{service}", setup().url)
}

fn client() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build()
        .new_agent()
}

/// Returns the status, the verdict and the body of an answer, or the body's error if it was truncated.
fn get(url: &str) -> (u16, String, Result<Vec<u8>, ureq::Error>) {
    read(client().get(url).call().unwrap())
}

fn read(mut resp: http::Response<ureq::Body>) -> (u16, String, Result<Vec<u8>, ureq::Error>) {
    let verdict = resp.headers().get("lacewing-verdict");
    let verdict = verdict.map_or("", |v| v.to_str().unwrap()).to_owned();
    let body = resp.body_mut().read_to_vec();
    (resp.status().as_u16(), verdict, body)
}

/// Guards against answers that change on their way through the proxy, in each framing.
#[test]
fn whole_answers_pass() {
    let url = url("whole");
    for (path, status, body) in [
        ("large", 200, vec![7; LARGE_BYTES]),
        ("chunked", 200, vec![7; LARGE_BYTES]),
        ("empty", 204, Vec::new()),
        ("a/b?c=d", 200, b"run 3 of /a/b?c=d".to_vec()),
    ] {
        let (got, verdict, answer) = get(&format!("{url}/{path}"));
        assert_eq!((got, verdict.as_str()), (status, "ran"), "{path}");
        assert!(answer.unwrap() == body, "{path}");
    }
    let resp = client().head(format!("{url}/head")).call().unwrap();
    assert_eq!(resp.headers()["content-length"], "14");
}

/// Guards against request bodies that are lost or truncated for some method, framing or size.
#[test]
fn bodies_pass_with_every_method_and_framing() {
    let url = url("bodies") + "/echo";
    for size in [1_usize, 5_000, 300_000] {
        let data = vec![1; size];
        for method in ["POST", "PUT", "PATCH", "DELETE"] {
            let (with_length, chunked) = match method {
                "DELETE" => (client().delete(&url).force_send_body(), None),
                "PUT" => (client().put(&url), Some(client().put(&url))),
                "PATCH" => (client().patch(&url), Some(client().patch(&url))),
                _ => (client().post(&url), Some(client().post(&url))),
            };
            let expected = format!("{method} {size} {size}").into_bytes();
            let (_, verdict, body) = read(with_length.send(&data).unwrap());
            assert_eq!((verdict.as_str(), body.unwrap()), ("ran", expected.clone()));
            if let Some(chunked) = chunked {
                let mut reader = &data[..];
                let body = SendBody::from_reader(&mut reader);
                let (_, verdict, body) = read(chunked.send(body).unwrap());
                assert_eq!((verdict.as_str(), body.unwrap()), ("ran", expected));
            }
        }
    }
}

/// Guards against hop-by-hop headers and forged internal headers of a caller that reach a backend
/// server.
#[test]
fn headers_of_one_connection_are_dropped() {
    let url = url("headers") + "/headers";
    let req = client().get(&url).header("connection", "x-mine");
    let req = req.header("x-mine", "1").header("x-other", "2");
    let resp = req.header("lacewing-token", "guess").call().unwrap();
    assert_eq!(resp.headers()["x-kept"], "yes");
    let (_, _, body) = read(resp);
    let names = String::from_utf8(body.unwrap()).unwrap();
    assert!(names.contains("x-other") && names.contains("lacewing-attempt"));
    assert!(!names.contains("x-mine") && !names.contains("lacewing-token"));
}

/// Guards against truncated answers that are reported as complete, when a backend server closes the
/// connection early.
#[test]
fn a_cut_answer_is_never_taken_for_whole() {
    // Nothing of the short answer was passed on. The end of an answer without a length cannot be told
    // from a truncation.
    for name in ["short", "unclear"] {
        let (status, verdict, _) = get(&url(name));
        assert_eq!((status, verdict.as_str()), (502, "may-have-run"), "{name}");
    }
    // The head of the long answer was passed on, so the caller sees the truncation.
    let (status, _, body) = get(&url("long"));
    assert_eq!(status, 200);
    assert!(body.is_err());
}

/// Guards against requests reported as possibly run although no connection to a backend server was
/// made.
#[test]
fn refused_connections_are_not_run() {
    for name in ["refused", "refused-once"] {
        let req = client().get(url(name)).header("idempotency-key", "k1");
        let resp = req.call().unwrap();
        assert!(resp.headers().contains_key("retry-after"));
        let (status, verdict, _) = read(resp);
        assert_eq!((status, verdict.as_str()), (503, "not-run"), "{name}");
    }
}

/// Guards against callers that wait past the deadline for a backend server that stops sending.
#[test]
fn silent_servers_are_given_up_at_the_deadline() {
    for name in ["silent", "silent-once", "stalled"] {
        let req = client().get(url(name)).header("idempotency-key", "k1");
        let (status, verdict, _) = read(req.call().unwrap());
        assert_eq!((status, verdict.as_str()), (502, "may-have-run"), "{name}");
    }
}

/// Guards against a second run of a request that must not be repeated when it is sent again with its
/// key, and against such requests without a key.
#[test]
fn a_request_that_must_not_be_repeated_runs_once() {
    let url = url("once");
    let (status, verdict, body) = get(&format!("{url}/send"));
    assert_eq!((status, verdict.as_str()), (400, "not-run"));
    assert!(
        String::from_utf8(body.unwrap())
            .unwrap()
            .contains("Idempotency-Key")
    );
    for _ in 0..3 {
        let req = client().post(format!("{url}/send"));
        let resp = req.header("idempotency-key", "reminder-7").send("text");
        let (status, verdict, body) = read(resp.unwrap());
        assert_eq!((status, verdict.as_str()), (200, "ran"));
        assert_eq!(body.unwrap(), b"run 0 of /send");
    }
    assert_eq!(setup().runs["once"].load(Ordering::SeqCst), 1);
}

/// Guards against oversized or ambiguous requests that reach a backend server. A request with both a
/// content length and chunked framing can be read in two ways.
#[test]
fn requests_out_of_bounds_are_not_run() {
    let url = url("bounds");
    let long = "a".repeat(9_000);
    let long_header = "b".repeat(40_000);
    let cases = [
        (client().get(format!("{url}/{long}")), 414),
        (client().get(&url).header("x-long", &long_header), 431),
        (
            client().get(&url).header("idempotency-key", "two words"),
            400,
        ),
    ];
    for (req, expected) in cases {
        let (status, verdict, _) = read(req.call().unwrap());
        assert_eq!((status, verdict.as_str()), (expected, "not-run"));
    }
    let both = "POST /s/bounds/x HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\
                transfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n";
    let host = url.trim_start_matches("http://").split('/').next().unwrap();
    let mut stream = std::net::TcpStream::connect(host).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    stream.write_all(both.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 400") && answer.contains("not-run"));
    assert_eq!(setup().runs["bounds"].load(Ordering::SeqCst), 0);
}

/// Guards against connections that wait for a thread when many callers connect at the same time while
/// earlier connections stay open.
#[test]
fn connections_that_come_together_are_all_served() {
    let url = url("together");
    let host = url.trim_start_matches("http://").split('/').next().unwrap();
    let request = "GET /s/together/x HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut kept = Vec::new();
    for _ in 0..5 {
        let connect = |_| std::net::TcpStream::connect(host).unwrap();
        let mut streams: Vec<_> = (0..30).map(connect).collect();
        for stream in &mut streams {
            stream
                .set_read_timeout(Some(Duration::from_secs(5)))
                .unwrap();
            stream.write_all(request.as_bytes()).unwrap();
        }
        for stream in &mut streams {
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).unwrap();
            assert_eq!(&answer, b"HTTP/1.1 200");
        }
        // The connections stay open, so that their threads stay occupied.
        kept.push(streams);
    }
}

/// Guards against callers that do not read their answers and thereby hold the slots of a backend
/// server.
#[test]
fn a_caller_that_does_not_read_holds_no_slot_past_the_deadline() {
    let url = url("slow-caller");
    let host = url.trim_start_matches("http://").split('/').next().unwrap();
    // The answer is larger than the buffers of both connections.
    let request = "GET /s/slow-caller/huge HTTP/1.1\r\nhost: h\r\n\r\n";
    let mut streams = Vec::new();
    for _ in 0..8 {
        let mut stream = std::net::TcpStream::connect(host).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        streams.push(stream);
    }
    for stream in &mut streams {
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"HTTP/1.1 200");
    }
    // All slots are held at first. A refused request is sent again.
    for _ in 0..20 {
        let (status, verdict, _) = get(&format!("{url}/x"));
        if status == 200 {
            return;
        }
        assert_eq!(verdict, "not-run");
        thread::sleep(Duration::from_millis(200));
    }
    panic!("the slots are held for good");
}
