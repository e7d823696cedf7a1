//! Tests of the limits of inbound connections.

use std::time::Duration;

use cluster::{Closing, Inbound, InboundConnection, InboundLimits, Metrics, NoRoom};
use tokio::time::Instant;

const LIMITS: InboundLimits = InboundLimits {
    connections: 3,
    bytes: 1_000,
    small_bytes: 10,
    reserve_bytes: 20,
};

fn inbound(limits: InboundLimits) -> Inbound {
    Inbound::new("test", limits, Metrics::default())
}

/// Returns times that are a second apart.
fn times() -> [Instant; 6] {
    let start = Instant::now();
    [0, 1, 2, 3, 4, 5].map(|seconds| start + Duration::from_secs(seconds))
}

fn open(inbound: &Inbound, now: Instant) -> (InboundConnection, Closing) {
    inbound.open(now).expect("there is room")
}

fn is_closing(closing: &mut Closing) -> bool {
    closing.try_recv().is_ok()
}

/// Guards against turning newcomers away while idle connections hold all places.
#[test]
fn the_connection_without_progress_for_longest_makes_room() {
    let inbound = inbound(LIMITS);
    let times = times();
    let mut all: Vec<_> = (0..3).map(|number| open(&inbound, times[number])).collect();
    all[0].0.receive(times[3], 5).unwrap();
    all.push(open(&inbound, times[4]));
    let closing: Vec<_> = all
        .iter_mut()
        .map(|(_, closing)| is_closing(closing))
        .collect();
    assert_eq!(closing, [false, true, false, false]);
    assert_eq!(inbound.len(), 3);
}

/// Guards against an answer that is lost though its request was carried out.
#[test]
fn a_connection_that_is_answered_is_not_closed() {
    let inbound = inbound(LIMITS);
    let times = times();
    let mut all: Vec<_> = (0..3).map(|number| open(&inbound, times[number])).collect();
    for (connection, _) in &all {
        connection.receive(times[3], 300).unwrap();
        connection.answer(times[3]);
    }
    assert!(inbound.open(times[4]).is_none());
    assert!(!all.iter_mut().any(|(_, closing)| is_closing(closing)));
    all[1].0.finish(times[4]);
    let newcomer = open(&inbound, times[5]);
    assert!(is_closing(&mut all[1].1));
    assert_eq!(newcomer.0.receive(times[5], 500), Err(NoRoom));
    assert_eq!(newcomer.0.receive(times[5], 400), Ok(()));
}

/// Guards against bodies that stall and keep others from being received.
#[test]
fn a_stalled_message_makes_room_for_others() {
    let inbound = inbound(LIMITS);
    let times = times();
    let (mut small, mut stalled, recent) = (
        open(&inbound, times[0]),
        open(&inbound, times[0]),
        open(&inbound, times[0]),
    );
    small.0.receive(times[0], 10).unwrap();
    stalled.0.receive(times[1], 600).unwrap();
    recent.0.receive(times[2], 300).unwrap();
    recent.0.receive(times[3], 500).unwrap();
    assert!(is_closing(&mut stalled.1));
    assert!(!is_closing(&mut small.1));
    // What the closed connection held is free, and it takes no more.
    assert_eq!(stalled.0.receive(times[4], 700), Err(NoRoom));
    recent.0.receive(times[4], 990).unwrap();
    recent.0.receive(times[4], 1_000).unwrap();
    assert!(is_closing(&mut small.1));
}

/// Guards against large messages that leave no room for ordinary requests.
#[test]
fn small_messages_have_a_reserve() {
    let inbound = inbound(LIMITS);
    let times = times();
    let (large, small, late) = (
        open(&inbound, times[0]),
        open(&inbound, times[0]),
        open(&inbound, times[0]),
    );
    large.0.receive(times[0], 1_000).unwrap();
    large.0.answer(times[0]);
    assert_eq!(late.0.receive(times[1], 11), Err(NoRoom));
    assert_eq!(small.0.receive(times[1], 10), Ok(()));
    assert_eq!(late.0.receive(times[1], 10), Ok(()));
}

/// Guards against counts that drift when connections end in different ways.
#[test]
fn nothing_counts_after_connections_have_ended() {
    let inbound = inbound(LIMITS);
    let times = times();
    for _ in 0..10 {
        let (dropped, finished) = (open(&inbound, times[0]), open(&inbound, times[0]));
        dropped.0.receive(times[0], 400).unwrap();
        finished.0.receive(times[0], 400).unwrap();
        finished.0.answer(times[0]);
        finished.0.finish(times[0]);
        drop(dropped);
        let whole = open(&inbound, times[1]);
        whole.0.receive(times[1], 1_000).unwrap();
    }
    assert!(inbound.is_empty());
}

/// Guards against limits that ordinary clients of a small node meet.
#[test]
fn limits_follow_from_the_memory_and_the_sockets() {
    let limits = InboundLimits::clients(260 << 20, 4_000);
    assert_eq!((limits.connections, limits.bytes), (2_080, 65 << 20));
    assert_eq!(InboundLimits::clients(0, 0).connections, 1);
}
