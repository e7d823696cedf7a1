//! The real router on virtual time, with a small loop of servers that take a drawn time for a request.

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

const SEED: u64 = 7;
const MS: Duration = Duration::from_millis(1);
const TICK_MS: u64 = 25;

/// A kind of requests: how often they come and how long they run.
#[derive(Clone, Copy)]
struct Stream {
    service: &'static str,
    class: Class,
    deadline: Duration,
    per_s: u64,
    run: (Duration, Duration),
}

/// When a request came, and how long it runs.
#[derive(Clone, Copy)]
struct Job {
    stream: usize,
    came: Time,
    run: Duration,
}

/// All requests of a run, in the order in which they come.
fn jobs(streams: &[Stream], span: Duration) -> Vec<Job> {
    let mut rng = Rng::new(SEED);
    let mut jobs = Vec::new();
    for (i, stream) in streams.iter().enumerate() {
        // Gaps are drawn evenly from zero to twice the mean, in microseconds.
        let gap_us = 2_000_000 / stream.per_s.max(1);
        let mut at_us = 0;
        while at_us < u64::try_from(span.as_micros()).unwrap_or(u64::MAX) && stream.per_s > 0 {
            at_us += rng.below(gap_us) + 1;
            jobs.push(Job {
                stream: i,
                came: Time::from_ms(at_us / 1_000),
                run: rng.span(stream.run.0, stream.run.1),
            });
        }
    }
    jobs.sort_by_key(|job| job.came);
    jobs
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

/// What became of the requests of one run: response times by stream, and how many were refused.
#[derive(Default)]
struct Result {
    times: BTreeMap<usize, Vec<Duration>>,
    waits: BTreeMap<usize, Vec<Duration>>,
    refused: BTreeMap<usize, u64>,
}

impl Result {
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

/// Runs the router over the requests. `outcome` says what becomes of an attempt begun at a time.
fn drive(router: &mut Router, streams: &[Stream], jobs: &[Job]) -> Result {
    let mut result = Result::default();
    let mut ends: BTreeMap<(Time, u64), AttemptEnd> = BTreeMap::new();
    let mut next_end = 0;
    let mut next_job = 0;
    let mut now = Time::ZERO;
    let mut out = Vec::new();
    while next_job < jobs.len() || !ends.is_empty() {
        now += MS;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let end = entry.remove();
            router.attempt_finished(now, &end, &mut out);
        }
        while let Some(job) = jobs.get(next_job).filter(|job| job.came <= now) {
            let offer = IncomingRequest {
                req: ReqId(next_job as u64),
                service: streams[job.stream].service.to_owned(),
                ..IncomingRequest::default()
            };
            router.submit(now, &offer, &mut out);
            next_job += 1;
        }
        if now.as_ms().is_multiple_of(TICK_MS) {
            router.tick(now, &mut out);
        }
        for action in out.drain(..) {
            match action {
                RouteAction::Dispatch(dispatch) => {
                    let job = job_of(jobs, dispatch.req);
                    let waits = result.waits.entry(job.stream).or_default();
                    waits.push(now.since(job.came));
                    let times = result.times.entry(job.stream).or_default();
                    times.push(now.since(job.came) + job.run);
                    next_end += 1;
                    let end = AttemptEnd::new(dispatch.req, dispatch.attempt, Outcome::Answered);
                    ends.insert((now + job.run, next_end), end);
                }
                RouteAction::Refuse(refuse) => {
                    let job = job_of(jobs, refuse.req);
                    *result.refused.entry(job.stream).or_default() += 1;
                }
                _ => {}
            }
        }
    }
    result
}

fn job_of(jobs: &[Job], req: ReqId) -> Job {
    jobs[usize::try_from(req.0).unwrap_or(0)]
}

/// One queue in the order of arrival in front of the same slots.
fn shared_queue(jobs: &[Job], slots: usize) -> Result {
    let mut result = Result::default();
    let mut free: VecDeque<Time> = VecDeque::from(vec![Time::ZERO; slots]);
    for job in jobs {
        // The slot that comes free first.
        let first = free.iter().enumerate().min_by_key(|(_, at)| **at);
        let Some((i, at)) = first.map(|(i, at)| (i, *at)) else {
            continue;
        };
        let start = at.max(job.came);
        free[i] = start + job.run;
        let times = result.times.entry(job.stream).or_default();
        times.push(start.since(job.came) + job.run);
        let waits = result.waits.entry(job.stream).or_default();
        waits.push(start.since(job.came));
    }
    result
}

/// Interactive requests with bulk at ten times what the slots can carry, against idle slots.
pub(super) fn interactive() {
    const WORKERS: u32 = 6;
    const SLOTS: u32 = 8;
    // 48 slots carry 240 bulk requests of 200 ms a second.
    let lookup = Stream {
        service: "lookup",
        class: Class::Interactive,
        deadline: Duration::from_millis(800),
        per_s: 480,
        run: (10 * MS, 31 * MS),
    };
    let bulk = Stream {
        service: "rebuild",
        class: Class::Bulk,
        deadline: Duration::from_secs(10),
        per_s: 2_400,
        run: (100 * MS, 301 * MS),
    };
    compare(lookup, bulk, WORKERS, SLOTS, "");
    // Interactive requests alone use 60 % of the slots, more than are kept for them.
    let busy = Stream {
        per_s: 1_440,
        ..lookup
    };
    compare(busy, bulk, WORKERS, SLOTS, "_at_60_percent");
}

fn compare(lookup: Stream, bulk: Stream, workers: u32, slots: u32, suffix: &str) {
    let span = Duration::from_secs(30);
    let idle_streams = [lookup, Stream { per_s: 0, ..bulk }];
    let idle_jobs = jobs(&idle_streams, span);
    let mut idle = drive(
        &mut router(&idle_streams, workers, slots),
        &idle_streams,
        &idle_jobs,
    );
    let streams = [lookup, bulk];
    let jobs = jobs(&streams, span);
    let mut loaded = drive(&mut router(&streams, workers, slots), &streams, &jobs);
    let mut shared = shared_queue(&jobs, (workers * slots) as usize);
    let tell = |name: &str, value, unit| figure(&format!("{name}{suffix}"), value, unit);
    tell("interactive_idle_p99_ms", idle.p99(0), "ms");
    tell("interactive_overloaded_p99_ms", loaded.p99(0), "ms");
    tell(
        "interactive_overloaded_wait_p99_ms",
        loaded.wait_p99(0),
        "ms",
    );
    tell(
        "interactive_p99_ratio",
        loaded.p99(0) / idle.p99(0),
        "ratio",
    );
    let shared_ratio = shared.p99(0) / idle.p99(0);
    tell("interactive_p99_ratio_shared_queue", shared_ratio, "ratio");
    let refused = loaded.refused.get(&0).copied().unwrap_or(0);
    tell("interactive_refused", as_f64(refused), "requests");
    let bulk_done = loaded.times.get(&1).map_or(0, Vec::len) as u64;
    tell(
        "bulk_served_of_capacity",
        as_f64(bulk_done) / (240.0 * 30.0),
        "ratio",
    );
}

/// Retries while every backend server refuses connections for a while.
pub(super) fn outage() {
    let lookup = Stream {
        service: "lookup",
        class: Class::Interactive,
        deadline: Duration::from_millis(800),
        per_s: 500,
        run: (10 * MS, 31 * MS),
    };
    let streams = [lookup];
    let jobs = jobs(&streams, Duration::from_secs(30));
    let mut router = router(&streams, 6, 8);
    let mut now = Time::ZERO;
    let mut out = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        while now < job.came {
            now += MS;
            if now.as_ms().is_multiple_of(TICK_MS) {
                router.tick(now, &mut out);
            }
            refuse_all(&mut router, now, &mut out);
        }
        let offer = IncomingRequest {
            req: ReqId(i as u64),
            service: "lookup".to_owned(),
            ..IncomingRequest::default()
        };
        router.submit(now, &offer, &mut out);
        refuse_all(&mut router, now, &mut out);
    }
    let counters = router.counters("lookup");
    let percent = as_f64(counters.retries) * 100.0 / as_f64(counters.offered);
    figure("outage_retries_percent", percent, "%");
    // Three attempts for each request.
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

/// Bytes that cross regions: a node whose domain carries the load but for one second in ten, with a node
/// in its region, for the first twenty seconds, and two in others.
pub(super) fn regions() {
    const BYTES: u64 = 20_000;
    let lookup = Stream {
        service: "lookup",
        class: Class::Interactive,
        deadline: Duration::from_millis(800),
        per_s: 1_200,
        run: (10 * MS, 31 * MS),
    };
    let streams = [lookup];
    let jobs = jobs(&streams, Duration::from_secs(30));
    // 32 slots carry 1,600 requests of 20 ms a second.
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
    while next < jobs.len() || !ends.is_empty() {
        now += MS;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            router.attempt_finished(now, &entry.remove(), &mut out);
        }
        // Each ten seconds the domain loses its servers for one second.
        let away = now.as_ms() % 10_000 < 1_000;
        if now.as_ms().is_multiple_of(1_000) {
            let backends = (1..=4).map(|worker| Backend {
                worker: WorkerId(worker),
                endpoint: String::new(),
            });
            let backends = if away { Vec::new() } else { backends.collect() };
            router.set_backends("lookup", backends);
            if now.as_ms() == 20_000 {
                router.set_remotes("lookup", vec![remote(3, false), remote(4, false)]);
            }
        }
        while let Some(job) = jobs.get(next).filter(|job| job.came <= now) {
            let offer = IncomingRequest {
                req: ReqId(next as u64),
                service: streams[job.stream].service.to_owned(),
                ..IncomingRequest::default()
            };
            router.submit(now, &offer, &mut out);
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
            ends.insert((now + job_of(&jobs, req).run, req.0), end);
        }
    }
    let crossed = router.counters("lookup").cross_region_bytes;
    // Regardless of place, each request goes to one of three regions.
    let baseline = as_f64(jobs.len() as u64 * BYTES) * 2.0 / 3.0;
    figure("cross_region_mb", as_f64(crossed) / 1e6, "MB");
    figure("cross_region_mb_without_place", baseline / 1e6, "MB");
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
const fn as_f64(count: u64) -> f64 {
    count as f64
}
