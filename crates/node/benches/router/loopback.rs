//! Measures the proxy on loopback, with simulated backend servers and callers in the same process.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use model::{Class, Repeat};
use node::{FixedProxy, FixedService};
use route::{RouteConfig, ServicePolicy};

use super::{figure, percentile_ms};

const BACKENDS: usize = 4;
/// The slots on each backend server.
const SLOTS: u32 = 32;
const ANSWER_BYTES: usize = 1_000;
/// The number of latency measurements, of which the median is printed.
const ROUNDS: usize = 3;
const REQUESTS_PER_CALLER: usize = 500;
/// The number of concurrent callers when the latency is measured.
const LATENCY_CALLERS: usize = 4;
/// The number of concurrent callers when the throughput is measured.
const THROUGHPUT_CALLERS: usize = 32;

/// Starts a backend server that gives the same answer to every request, and returns its URL. It uses one
/// thread per connection.
fn backend() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || answer_all(stream));
        }
    });
    format!("http://{address}")
}

fn answer_all(mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + ANSWER_BYTES, 7);
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    while reader.read_line(&mut line)? > 0 {
        // The requests have no body, so an empty line ends a request.
        if line == "\r\n" {
            stream.write_all(&answer)?;
        }
        line.clear();
    }
    Ok(())
}

/// Calls the URLs in turn from a number of concurrent callers. Returns the sorted response times and the
/// requests per second.
fn load(urls: &[String], callers: usize) -> (Vec<Duration>, f64) {
    let agent = ureq::Agent::config_builder()
        .max_idle_connections(256)
        .max_idle_connections_per_host(64)
        .build()
        .new_agent();
    let started = Instant::now();
    let mut times: Vec<Duration> = thread::scope(|scope| {
        let callers: Vec<_> = (0..callers)
            .map(|caller| {
                let agent = agent.clone();
                scope.spawn(move || {
                    let mut times = Vec::with_capacity(REQUESTS_PER_CALLER);
                    for i in 0..REQUESTS_PER_CALLER {
                        let url = &urls[(caller + i) % urls.len()];
                        let sent = Instant::now();
                        let mut resp = agent.get(url).call().expect("an answer");
                        let body = resp.body_mut().read_to_vec().expect("a whole answer");
                        assert_eq!(body.len(), ANSWER_BYTES);
                        times.push(sent.elapsed());
                    }
                    times
                })
            })
            .collect();
        let joined = callers.into_iter().map(thread::ScopedJoinHandle::join);
        joined.flat_map(|times| times.expect("no panic")).collect()
    });
    #[expect(clippy::cast_precision_loss, reason = "a small count")]
    let rate = times.len() as f64 / started.elapsed().as_secs_f64();
    times.sort_unstable();
    (times, rate)
}

pub(super) fn run() {
    let endpoints: Vec<String> = (0..BACKENDS).map(|_| backend()).collect();
    let service = FixedService {
        name: "lookup".to_owned(),
        policy: ServicePolicy {
            class: Class::Interactive,
            repeat: Repeat::Safe,
            deadline: Duration::from_secs(5),
            ..ServicePolicy::default()
        },
        endpoints: endpoints.clone(),
        slots: SLOTS,
    };
    let proxy = FixedProxy::start(RouteConfig::default(), vec![service]).expect("a free port");
    let direct: Vec<String> = endpoints.iter().map(|e| format!("{e}/x")).collect();
    let routed = vec![format!("http://{}/s/lookup/x", proxy.address())];
    load(&direct, LATENCY_CALLERS);
    load(&routed, LATENCY_CALLERS);
    let mut rounds = Vec::new();
    for _ in 0..ROUNDS {
        let (direct, _) = load(&direct, LATENCY_CALLERS);
        let (routed, _) = load(&routed, LATENCY_CALLERS);
        let at = |part| (percentile_ms(&direct, part), percentile_ms(&routed, part));
        rounds.push((at(0.5), at(0.99)));
    }
    // Take the round with the median of the added 99th percentile.
    rounds.sort_by(|a, b| (a.1.1 - a.1.0).total_cmp(&(b.1.1 - b.1.0)));
    let (p50, p99) = rounds[ROUNDS / 2];
    figure("direct_p50_ms", p50.0, "ms");
    figure("direct_p99_ms", p99.0, "ms");
    figure("routed_p50_ms", p50.1, "ms");
    figure("routed_p99_ms", p99.1, "ms");
    figure("added_p50_ms", p50.1 - p50.0, "ms");
    figure("added_p99_ms", p99.1 - p99.0, "ms");
    let (_, direct_rate) = load(&direct, THROUGHPUT_CALLERS);
    let (_, routed_rate) = load(&routed, THROUGHPUT_CALLERS);
    figure("direct_requests_per_s", direct_rate, "1/s");
    figure("routed_requests_per_s", routed_rate, "1/s");
}
