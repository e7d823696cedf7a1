//! Runs the real router on virtual time, with simulated servers whose run times are drawn at random.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use fakes::Rng;
use model::{Class, NodeId, Repeat, Time, WorkerId};
use route::{
    AttemptEnd, Backend, Grant, IncomingRequest, Outcome, Remote, ReqId, RouteAction, RouteConfig,
    Router, ServicePolicy,
};

use super::{figure, percentile_ms};

/// The seed of the arrivals and run times.
const SEED: u64 = 7;
const MS: Duration = Duration::from_millis(1);
/// The interval of the router's ticks, in milliseconds.
const TICK_MS: u64 = 25;

/// A stream of requests to one service.
#[derive(Clone, Copy)]
struct Stream {
    service: &'static str,
    class: Class,
    deadline: Duration,
    /// The mean number of requests per second.
    rate_per_s: u64,
    /// The bounds of the run times, of which the upper one is exclusive.
    run_time: (Duration, Duration),
}

/// A request with its time of arrival and its run time.
#[derive(Clone, Copy)]
struct TimedRequest {
    stream: usize,
    arrived_at: Time,
    run_time: Duration,
}

/// Generates the requests of all streams, in the order of arrival.
fn generate_requests(streams: &[Stream], span: Duration) -> Vec<TimedRequest> {
    let mut rng = Rng::new(SEED);
    let mut requests = Vec::new();
    for (i, stream) in streams.iter().enumerate() {
        // Gaps are distributed uniformly between zero and twice the mean, in microseconds.
        let gap_us = 2_000_000 / stream.rate_per_s.max(1);
        let mut at_us = 0;
        while at_us < u64::try_from(span.as_micros()).unwrap_or(u64::MAX) && stream.rate_per_s > 0 {
            at_us += rng.below(gap_us) + 1;
            requests.push(TimedRequest {
                stream: i,
                arrived_at: Time::from_ms(at_us / 1_000),
                run_time: rng.span(stream.run_time.0, stream.run_time.1),
            });
        }
    }
    requests.sort_by_key(|request| request.arrived_at);
    requests
}

fn router(streams: &[Stream], workers: u32, slots: u32) -> Router {
    let mut router = Router::new(RouteConfig::default());
    for stream in streams {
        let policy = ServicePolicy {
            team: stream.service.to_owned(),
            class: stream.class,
            repeat: Repeat::Safe,
            deadline: stream.deadline,
        };
        router.set_service(stream.service, policy);
        let backends = (1..=workers).map(|worker| Backend {
            worker: WorkerId(worker),
            endpoint: String::new(),
        });
        router.set_backends(stream.service, backends.collect());
    }
    for worker in 1..=workers {
        let grant = Grant {
            slots,
            connections: slots * 8,
            until: Time::MAX,
        };
        router.set_grant(WorkerId(worker), grant);
    }
    router
}

/// The response times, the waits and the number of refusals of one simulation, by the index of the stream.
#[derive(Default)]
struct SimulationResult {
    times: BTreeMap<usize, Vec<Duration>>,
    waits: BTreeMap<usize, Vec<Duration>>,
    refused: BTreeMap<usize, u64>,
}

impl SimulationResult {
    fn p99(&mut self, stream: usize) -> f64 {
        let times = self.times.entry(stream).or_default();
        times.sort_unstable();
        percentile_ms(times, 0.99)
    }

    fn wait_p99(&mut self, stream: usize) -> f64 {
        let waits = self.waits.entry(stream).or_default();
        waits.sort_unstable();
        percentile_ms(waits, 0.99)
    }
}

/// Runs the router over the requests. All attempts are answered after the run time of their request.
fn simulate(
    router: &mut Router,
    streams: &[Stream],
    requests: &[TimedRequest],
) -> SimulationResult {
    let mut result = SimulationResult::default();
    let mut ends: BTreeMap<(Time, u64), AttemptEnd> = BTreeMap::new();
    let mut next_end = 0;
    let mut next_request = 0;
    let mut now = Time::ZERO;
    let mut out = Vec::new();
    while next_request < requests.len() || !ends.is_empty() {
        now += MS;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let end = entry.remove();
            router.attempt_finished(now, &end, &mut out);
        }
        while let Some(request) = requests
            .get(next_request)
            .filter(|request| request.arrived_at <= now)
        {
            let incoming = IncomingRequest {
                req: ReqId(next_request as u64),
                service: streams[request.stream].service.to_owned(),
                ..IncomingRequest::default()
            };
            router.submit(now, &incoming, &mut out);
            next_request += 1;
        }
        if now.as_ms().is_multiple_of(TICK_MS) {
            router.tick(now, &mut out);
        }
        for action in out.drain(..) {
            match action {
                RouteAction::Dispatch(dispatch) => {
                    let request = request_of(requests, dispatch.req);
                    let waits = result.waits.entry(request.stream).or_default();
                    waits.push(now.since(request.arrived_at));
                    let times = result.times.entry(request.stream).or_default();
                    times.push(now.since(request.arrived_at) + request.run_time);
                    next_end += 1;
                    let end = AttemptEnd::new(dispatch.req, dispatch.attempt, Outcome::Answered);
                    ends.insert((now + request.run_time, next_end), end);
                }
                RouteAction::Refuse(refusal) => {
                    let request = request_of(requests, refusal.req);
                    *result.refused.entry(request.stream).or_default() += 1;
                }
                _ => {}
            }
        }
    }
    result
}

fn request_of(requests: &[TimedRequest], req: ReqId) -> TimedRequest {
    requests[usize::try_from(req.0).unwrap_or(0)]
}

/// Simulates the baseline: the same slots behind one queue in the order of arrival.
fn simulate_shared_queue(requests: &[TimedRequest], slots: usize) -> SimulationResult {
    let mut result = SimulationResult::default();
    let mut free: VecDeque<Time> = VecDeque::from(vec![Time::ZERO; slots]);
    for request in requests {
        // The slot that becomes free first.
        let first = free.iter().enumerate().min_by_key(|(_, at)| **at);
        let Some((i, at)) = first.map(|(i, at)| (i, *at)) else {
            continue;
        };
        let start = at.max(request.arrived_at);
        free[i] = start + request.run_time;
        let times = result.times.entry(request.stream).or_default();
        times.push(start.since(request.arrived_at) + request.run_time);
        let waits = result.waits.entry(request.stream).or_default();
        waits.push(start.since(request.arrived_at));
    }
    result
}

/// Compares interactive requests under a bulk load of ten times the capacity with the same requests
/// without any bulk load.
pub(super) fn interactive() {
    const WORKERS: u32 = 6;
    const SLOTS: u32 = 8;
    // 48 slots can run 240 bulk requests of 200 ms per second.
    let lookup = Stream {
        service: "lookup",
        class: Class::Interactive,
        deadline: Duration::from_millis(800),
        rate_per_s: 480,
        run_time: (10 * MS, 31 * MS),
    };
    let bulk = Stream {
        service: "rebuild",
        class: Class::Bulk,
        deadline: Duration::from_secs(10),
        rate_per_s: 2_400,
        run_time: (100 * MS, 301 * MS),
    };
    compare(lookup, bulk, WORKERS, SLOTS, "");
    // Here, interactive requests alone use 60 % of the slots, which is more than are reserved for them.
    let busy = Stream {
        rate_per_s: 1_440,
        ..lookup
    };
    compare(busy, bulk, WORKERS, SLOTS, "_at_60_percent");
}

fn compare(lookup: Stream, bulk: Stream, workers: u32, slots: u32, suffix: &str) {
    let span = Duration::from_secs(30);
    let idle_streams = [
        lookup,
        Stream {
            rate_per_s: 0,
            ..bulk
        },
    ];
    let idle_requests = generate_requests(&idle_streams, span);
    let mut idle = simulate(
        &mut router(&idle_streams, workers, slots),
        &idle_streams,
        &idle_requests,
    );
    let streams = [lookup, bulk];
    let requests = generate_requests(&streams, span);
    let mut loaded = simulate(&mut router(&streams, workers, slots), &streams, &requests);
    let mut shared = simulate_shared_queue(&requests, (workers * slots) as usize);
    let print = |name: &str, value, unit| figure(&format!("{name}{suffix}"), value, unit);
    print("interactive_idle_p99_ms", idle.p99(0), "ms");
    print("interactive_overloaded_p99_ms", loaded.p99(0), "ms");
    print(
        "interactive_overloaded_wait_p99_ms",
        loaded.wait_p99(0),
        "ms",
    );
    print(
        "interactive_p99_ratio",
        loaded.p99(0) / idle.p99(0),
        "ratio",
    );
    let shared_ratio = shared.p99(0) / idle.p99(0);
    print("interactive_p99_ratio_shared_queue", shared_ratio, "ratio");
    let refused = loaded.refused.get(&0).copied().unwrap_or(0);
    print("interactive_refused", as_f64(refused), "requests");
    let bulk_done = loaded.times.get(&1).map_or(0, Vec::len) as u64;
    print(
        "bulk_served_of_capacity",
        as_f64(bulk_done) / (240.0 * 30.0),
        "ratio",
    );
}

/// Measures the retries while every backend server refuses connections.
pub(super) fn outage() {
    let lookup = Stream {
        service: "lookup",
        class: Class::Interactive,
        deadline: Duration::from_millis(800),
        rate_per_s: 500,
        run_time: (10 * MS, 31 * MS),
    };
    let streams = [lookup];
    let requests = generate_requests(&streams, Duration::from_secs(30));
    let mut router = router(&streams, 6, 8);
    let mut now = Time::ZERO;
    let mut out = Vec::new();
    for (i, request) in requests.iter().enumerate() {
        while now < request.arrived_at {
            now += MS;
            if now.as_ms().is_multiple_of(TICK_MS) {
                router.tick(now, &mut out);
            }
            refuse_all(&mut router, now, &mut out);
        }
        let incoming = IncomingRequest {
            req: ReqId(i as u64),
            service: "lookup".to_owned(),
            ..IncomingRequest::default()
        };
        router.submit(now, &incoming, &mut out);
        refuse_all(&mut router, now, &mut out);
    }
    let counters = router.counters("lookup");
    let percent = as_f64(counters.retries) * 100.0 / as_f64(counters.offered);
    figure("outage_retries_percent", percent, "%");
    // Without a retry budget, each request takes three attempts.
    figure("outage_retries_percent_without_budget", 200.0, "%");
}

fn refuse_all(router: &mut Router, now: Time, out: &mut Vec<RouteAction>) {
    let mut more = Vec::new();
    for action in out.drain(..) {
        if let RouteAction::Dispatch(dispatch) = action {
            let end = AttemptEnd::new(dispatch.req, dispatch.attempt, Outcome::NotSent);
            router.attempt_finished(now, &end, &mut more);
        }
    }
    if !more.is_empty() {
        out.extend(more);
        refuse_all(router, now, out);
    }
}

/// Measures the bytes that cross regions. The node's domain can serve the load except for one second in
/// ten. Requests can be forwarded to two nodes in other regions and, for the first 20 seconds, to one node
/// in the same region.
pub(super) fn regions() {
    /// The bytes of a request and its answer.
    const BYTES: u64 = 20_000;
    let lookup = Stream {
        service: "lookup",
        class: Class::Interactive,
        deadline: Duration::from_millis(800),
        rate_per_s: 1_200,
        run_time: (10 * MS, 31 * MS),
    };
    let streams = [lookup];
    let requests = generate_requests(&streams, Duration::from_secs(30));
    // 32 slots can run 1,600 requests of 20 ms per second.
    let mut router = router(&streams, 4, 8);
    let remote = |node, is_same_region| Remote {
        node: NodeId(node),
        is_same_region,
    };
    let remotes = vec![remote(2, true), remote(3, false), remote(4, false)];
    router.set_remotes("lookup", remotes);
    let mut ends: BTreeMap<(Time, u64), AttemptEnd> = BTreeMap::new();
    let mut now = Time::ZERO;
    let mut next = 0;
    let mut out = Vec::new();
    while next < requests.len() || !ends.is_empty() {
        now += MS;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            router.attempt_finished(now, &entry.remove(), &mut out);
        }
        // The domain has no servers during the first of every ten seconds.
        let is_domain_down = now.as_ms() % 10_000 < 1_000;
        if now.as_ms().is_multiple_of(1_000) {
            let backends = (1..=4).map(|worker| Backend {
                worker: WorkerId(worker),
                endpoint: String::new(),
            });
            let backends = if is_domain_down {
                Vec::new()
            } else {
                backends.collect()
            };
            router.set_backends("lookup", backends);
            if now.as_ms() == 20_000 {
                router.set_remotes("lookup", vec![remote(3, false), remote(4, false)]);
            }
        }
        while let Some(request) = requests
            .get(next)
            .filter(|request| request.arrived_at <= now)
        {
            let incoming = IncomingRequest {
                req: ReqId(next as u64),
                service: streams[request.stream].service.to_owned(),
                ..IncomingRequest::default()
            };
            router.submit(now, &incoming, &mut out);
            next += 1;
        }
        if now.as_ms().is_multiple_of(TICK_MS) {
            router.tick(now, &mut out);
        }
        for action in out.drain(..) {
            let (req, attempt) = match &action {
                RouteAction::Dispatch(dispatch) => (dispatch.req, dispatch.attempt),
                RouteAction::Forward(forward) => (forward.req, forward.attempt),
                _ => continue,
            };
            let end = AttemptEnd {
                bytes: BYTES,
                ..AttemptEnd::new(req, attempt, Outcome::Answered)
            };
            ends.insert((now + request_of(&requests, req).run_time, req.0), end);
        }
    }
    let crossed = router.counters("lookup").cross_region_bytes;
    // The baseline ignores regions, so two thirds of the requests go to one of the other two regions.
    let baseline = as_f64(requests.len() as u64 * BYTES) * 2.0 / 3.0;
    figure("cross_region_mb", as_f64(crossed) / 1e6, "MB");
    figure("cross_region_mb_without_place", baseline / 1e6, "MB");
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
const fn as_f64(count: u64) -> f64 {
    count as f64
}
