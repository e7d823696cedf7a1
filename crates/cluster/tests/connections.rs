//! Tests of the bounded connections to servers.

use std::{cell::RefCell, rc::Rc, time::Duration};

use cluster::{CallClass, Connection, ConnectionLimits, ConnectionPool, Lease, Metrics};
use quickcheck::{QuickCheck, TestResult};
use tokio::{
    runtime::Builder,
    task::{JoinHandle, LocalSet, spawn_local, yield_now},
    time::Instant,
};

const WORKER: &str = "10.0.0.1:80";

/// A connection with its number. The other side has closed number 0.
#[derive(Debug, PartialEq, Eq)]
struct Fake(u32);

impl Connection for Fake {
    fn is_open(&self) -> bool {
        let Self(number) = self;
        *number > 0
    }
}

const CLASSES: [CallClass; 3] = [CallClass::Urgent, CallClass::Normal, CallClass::Reserved];

type Pool = ConnectionPool<Fake>;

fn pool(open: usize) -> Pool {
    let limits = ConnectionLimits {
        open,
        ..ConnectionLimits::default()
    };
    ConnectionPool::new("worker", limits, Metrics::default())
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_time().build();
    LocalSet::new().block_on(&runtime.unwrap(), test);
}

/// Leases a connection that must be free.
async fn lease(pool: &Pool) -> Lease<Fake> {
    let now = Instant::now();
    let lease = tokio::time::timeout(Duration::ZERO, pool.lease(now, WORKER, CallClass::Normal));
    lease.await.expect("a connection is free")
}

/// Begins a call that writes its name once it has a connection, and keeps the connection.
fn wait_for(
    pool: &Pool,
    class: CallClass,
    name: &'static str,
    log: &Rc<RefCell<Vec<&'static str>>>,
) -> JoinHandle<Lease<Fake>> {
    let (pool, log) = (pool.clone(), log.clone());
    spawn_local(async move {
        let lease = pool.lease(Instant::now(), WORKER, class).await;
        log.borrow_mut().push(name);
        lease
    })
}

/// Guards against bursts that open a connection for each call.
#[test]
fn a_call_waits_rather_than_exceed_the_limit() {
    run(async {
        let pool = pool(3);
        let log = Rc::default();
        let (first, _second) = (lease(&pool).await, lease(&pool).await);
        let regular = wait_for(&pool, CallClass::Reserved, "poll", &log).await;
        let waiting = CLASSES.map(|class| wait_for(&pool, class, "later", &log));
        yield_now().await;
        assert_eq!((pool.open_to(WORKER), log.borrow().len()), (3, 1));
        first.answered(Instant::now(), Fake(1));
        let [urgent, ..] = waiting;
        let mut urgent = urgent.await.unwrap();
        assert_eq!((urgent.take(), pool.open_to(WORKER)), (Some(Fake(1)), 3));
        drop(regular);
    });
}

/// Guards against polls, which renew leases, that wait behind stop orders to a worker that leaves these unanswered.
#[test]
fn other_calls_leave_a_connection_to_the_regular_one() {
    run(async {
        let pool = pool(3);
        let log = Rc::default();
        let mut stops = vec![lease(&pool).await, lease(&pool).await];
        let waiting = wait_for(&pool, CallClass::Urgent, "stop", &log);
        yield_now().await;
        assert!(log.borrow().is_empty());
        let regular = wait_for(&pool, CallClass::Reserved, "poll", &log);
        regular.await.unwrap().answered(Instant::now(), Fake(1));
        yield_now().await;
        assert_eq!(*log.borrow(), ["poll"], "the connection stays idle");
        stops.clear();
        waiting.await.unwrap();
    });
}

/// Guards against stop orders that wait behind a burst of starts.
#[test]
fn an_urgent_call_goes_before_those_that_came_earlier() {
    run(async {
        let pool = pool(1);
        let log = Rc::default();
        let first = lease(&pool).await;
        let mut waiting = vec![wait_for(&pool, CallClass::Normal, "start", &log)];
        yield_now().await;
        waiting.push(wait_for(&pool, CallClass::Urgent, "stop", &log));
        yield_now().await;
        first.answered(Instant::now(), Fake(1));
        waiting
            .pop()
            .unwrap()
            .await
            .unwrap()
            .answered(Instant::now(), Fake(1));
        waiting.pop().unwrap().await.unwrap();
        assert_eq!(*log.borrow(), ["stop", "start"]);
    });
}

/// Guards against stop orders that are refused again and again beside a poll that is answered.
#[test]
fn calls_share_the_connection_that_works_while_others_are_refused() {
    run(async {
        let pool = pool(4);
        let log = Rc::default();
        lease(&pool).await.answered(Instant::now(), Fake(1));
        let first = lease(&pool).await;
        assert!(first.is_proven());
        lease(&pool).await.refused(Instant::now());
        assert!(pool.is_refusing(WORKER));
        let stop = wait_for(&pool, CallClass::Urgent, "stop", &log);
        yield_now().await;
        assert_eq!(pool.open_to(WORKER), 1, "no further connection is tried");
        first.answered(Instant::now(), Fake(1));
        assert_eq!(stop.await.unwrap().take(), Some(Fake(1)));
    });
}

/// Guards against a worker that is never connected to again after it had no room.
#[test]
fn a_server_is_tried_again_after_a_pause_or_once_nothing_else_works() {
    run(async {
        let pool = pool(4);
        let log = Rc::default();
        lease(&pool).await.answered(Instant::now(), Fake(1));
        let mut first = lease(&pool).await;
        lease(&pool).await.refused(Instant::now());
        let later = Instant::now() + ConnectionLimits::default().refused_pause;
        let another = pool.lease(later, WORKER, CallClass::Normal).await;
        assert!(!another.is_proven());
        another.refused(later);
        let start = wait_for(&pool, CallClass::Normal, "start", &log);
        yield_now().await;
        let _lost = first.take();
        drop(first);
        assert!(!start.await.unwrap().is_proven());
    });
}

/// Guards against connections that are lost with a call that has given up.
#[test]
fn a_call_that_gives_up_leaves_its_connection_to_others() {
    run(async {
        let pool = pool(1);
        let log = Rc::default();
        let first = lease(&pool).await;
        let gone = wait_for(&pool, CallClass::Urgent, "gone", &log);
        let stays = wait_for(&pool, CallClass::Normal, "stays", &log);
        yield_now().await;
        first.answered(Instant::now(), Fake(1));
        gone.abort();
        assert!(gone.await.is_err());
        assert_eq!(stays.await.unwrap().take(), Some(Fake(1)));
    });
}

/// Guards against connections that a node keeps to workers after it has stopped to schedule.
#[test]
fn all_idle_connections_are_closed_together() {
    run(async {
        let pool = pool(4);
        lease(&pool).await.answered(Instant::now(), Fake(1));
        let used = lease(&pool).await;
        lease(&pool).await.answered(Instant::now(), Fake(2));
        pool.close_all_idle();
        assert_eq!(pool.open_to(WORKER), 1);
        used.answered(Instant::now(), Fake(1));
        assert_eq!(pool.open_to(WORKER), 1);
    });
}

/// Guards against closed connections to workers that have left, which would count among the idle ones for good.
#[test]
fn closed_connections_to_servers_that_are_not_called_any_more_are_removed() {
    run(async {
        let pool = pool(4);
        let now = Instant::now();
        let gone = "10.0.1.1:80";
        let lease_of_gone = pool.lease(now, gone, CallClass::Reserved).await;
        lease_of_gone.answered(now, Fake(0));
        assert_eq!(pool.open_to(gone), 1);
        lease(&pool).await.opened();
        assert_eq!(pool.open_to(gone), 0);
    });
}

/// Guards against polls that fail because they try whether a full worker accepts a connection again.
#[test]
fn only_normal_calls_try_a_server_again_that_refuses_connections() {
    run(async {
        let pool = pool(4);
        let log = Rc::default();
        lease(&pool).await.answered(Instant::now(), Fake(1));
        let first = lease(&pool).await;
        lease(&pool).await.refused(Instant::now());
        let later = Instant::now() + ConnectionLimits::default().refused_pause;
        for class in [CallClass::Urgent, CallClass::Reserved] {
            let waiting = tokio::time::timeout(Duration::ZERO, pool.lease(later, WORKER, class));
            assert!(waiting.await.is_err(), "{class:?}");
        }
        let start = pool.lease(later, WORKER, CallClass::Normal).await;
        assert!(!start.is_proven());
        let another = wait_for(&pool, CallClass::Normal, "start", &log);
        yield_now().await;
        assert!(log.borrow().is_empty(), "one is tried at a time");
        first.answered(later, Fake(1));
        assert!(another.await.unwrap().is_proven());
    });
}

/// The steps of the property below, each chosen by a byte: a call begins, one gives up, or a leased connection is
/// answered, refused or lost.
async fn play(mut steps: Vec<u8>) -> Result<(), String> {
    let (pool, limit) = (pool(3), 3);
    let held: Rc<RefCell<Vec<Lease<Fake>>>> = Rc::default();
    let mut calls: Vec<JoinHandle<()>> = Vec::new();
    // At the end, all leases are returned until no call waits.
    steps.extend(vec![2; steps.len()]);
    for (number, step) in steps.iter().enumerate() {
        match step % 6 {
            0 | 1 => {
                let (pool, held) = (pool.clone(), held.clone());
                let class = CLASSES[number % 3];
                calls.push(spawn_local(async move {
                    let lease = pool.lease(Instant::now(), WORKER, class).await;
                    held.borrow_mut().push(lease);
                }));
            }
            5 => calls.iter().take(1).for_each(JoinHandle::abort),
            way => {
                let lease = held.borrow_mut().pop();
                match (way, lease) {
                    (2, Some(lease)) => lease.answered(Instant::now(), Fake(1)),
                    (3, Some(lease)) => lease.refused(Instant::now()),
                    // The connection is lost while it is used.
                    (_, Some(mut lease)) => drop(lease.take()),
                    (_, None) => {}
                }
            }
        }
        yield_now().await;
        yield_now().await;
        calls.retain(|call| !call.is_finished());
        let (open, used) = (pool.open_to(WORKER), held.borrow().len());
        if open > limit || used > open {
            return Err(format!("step {number}: {open} open, {used} in use"));
        }
        if used == 0 && !calls.is_empty() {
            return Err(format!("step {number}: calls wait though none is in use"));
        }
    }
    Ok(())
}

/// Guards against leaks of the count of open connections, and against calls that wait for ever.
#[test]
fn connections_stay_within_the_limit_and_no_call_is_forgotten() {
    fn holds(steps: Vec<u8>) -> TestResult {
        let mut outcome = Ok(());
        run(async { outcome = play(steps).await });
        match outcome {
            Ok(()) => TestResult::passed(),
            Err(text) => TestResult::error(text),
        }
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>) -> TestResult);
}
