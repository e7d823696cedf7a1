//! Leases on workers that restart under their names. An order on the clock of an earlier incarnation grants the next one the
//! longest lease, which lasts though nothing runs, and applies to what starts later.

use jobs::{ApprovalCost, Incarnation, Job, JobId, Progress, Queue, Step, TaskKey};
use model::{Size, Time, WorkerId};
use sched::{
    Action, LeaseRow, Listing, Now, PastLeases, Poll, PollFailure, PollOrder, Recovered,
    RunningRow, SchedConfig, Scheduler, StartAnswer, StartOrder, WorkerInfo,
};

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

const JOB: JobId = JobId(7);

const TASK: TaskKey = TaskKey {
    job: JOB,
    occurrence: 0,
    step: 0,
    index: 0,
};

fn queue() -> Queue {
    Queue {
        name: "studies".into(),
        pool: "desk".into(),
        ..Queue::default()
    }
}

fn job() -> Job {
    Job {
        queue: queue(),
        steps: vec![Step {
            tasks: 1,
            size: Size::new(1_000, 1_000, 0),
            estimate_ms: 9_000,
            ..Step::default()
        }],
        ..Job::default()
    }
}

fn info(started_unix_ms: u64) -> WorkerInfo {
    WorkerInfo {
        name: "w1".into(),
        address: "w1".into(),
        pool: "desk".into(),
        size: Size::new(8_000, 32_000, 0),
        started_unix_ms,
        ..WorkerInfo::default()
    }
}

/// Returns the job in a queue whose starts need tickets, which a later incarnation refuses.
fn job_with_tickets() -> Job {
    let queue = Queue {
        approval: Some(ApprovalCost::default()),
        ..queue()
    };
    Job { queue, ..job() }
}

/// The longest lease, on a clock that is exact.
const LONGEST_MS: u64 = 10_000;

/// A worker as the platform describes it. Its clock shows the time since it started.
#[derive(Default)]
struct Worker {
    started_ms: u64,
    fence: u64,
    lease_until_ms: u64,
    running: Vec<RunningRow>,
}

impl Worker {
    /// Returns a worker that started at `ms`, and knows nothing of before.
    fn started_at(ms: u64) -> Self {
        Self {
            started_ms: ms,
            ..Self::default()
        }
    }

    fn clock_ms(&self, now: Now) -> u64 {
        now.time.as_ms() - self.started_ms
    }

    fn renew(&mut self, now: Now, until_ms: u64) {
        let until_ms = until_ms.min(self.clock_ms(now) + LONGEST_MS);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn poll(&mut self, now: Now, order: &PollOrder, fence: u64) -> Listing {
        assert!(fence >= self.fence, "a poll of a former scheduler");
        self.fence = fence;
        self.renew(now, order.lease_until_ms.unwrap_or(0));
        Listing {
            started_unix_ms: self.started_ms + 1,
            clock_ms: self.clock_ms(now),
            running: self.running.clone(),
            ..Listing::default()
        }
    }

    fn start(&mut self, now: Now, order: &StartOrder) {
        assert!(order.fence >= self.fence, "an order of a former scheduler");
        self.fence = order.fence;
        self.renew(now, order.lease_until_ms);
        self.running.push(RunningRow {
            key: order.key,
            run: order.run,
            ..RunningRow::default()
        });
    }

    /// Returns when its leases have lapsed.
    fn lapses_at(&self) -> u64 {
        self.started_ms + self.lease_until_ms
    }
}

/// A scheduler and the time of its last transaction.
struct Node {
    scheduler: Scheduler,
    row: LeaseRow,
}

impl Node {
    fn new(epoch: u64, now: Now, recovered: Recovered) -> Self {
        let mut scheduler = Scheduler::new(SchedConfig::default(), epoch, now, recovered);
        scheduler.set_queues([queue()]);
        let row = LeaseRow {
            holder: format!("n{epoch}"),
            epoch,
            ..LeaseRow::default()
        };
        Self { scheduler, row }
    }

    fn worker(&self) -> WorkerId {
        self.scheduler.worker_id("w1").unwrap()
    }

    /// Polls the worker and reads its lists.
    fn poll(&mut self, now: Now, worker: &mut Worker) {
        let order = self.next_poll(now);
        let fence = self.scheduler.fence(order.worker);
        let listing = worker.poll(now, &order, fence);
        let id = self.worker();
        self.scheduler.polled(now, id, now.time, &listing);
    }

    fn next_poll(&mut self, now: Now) -> PollOrder {
        match self.scheduler.next_poll(now, self.worker()) {
            Poll::Now(order) => order,
            other => panic!("no poll: {other:?}"),
        }
    }

    /// Runs a pass and stores its changes. Returns the start orders.
    fn store(&mut self, now: Now) -> Vec<StartOrder> {
        self.scheduler.request_pass();
        self.scheduler.decide(now);
        if let Some(batch) = self.scheduler.take_batch(now) {
            self.row.leases = batch.leases;
            self.scheduler.batch_stored(now);
        }
        let actions = self.scheduler.take_actions().into_iter();
        let starts = actions.filter_map(|action| match action {
            Action::Start(order) => Some(order),
            _ => None,
        });
        starts.collect()
    }

    /// Has the worker start the task.
    fn start(&mut self, now: Now, worker: &mut Worker) {
        let starts = self.store(now);
        assert_eq!(starts.len(), 1);
        worker.start(now, &starts[0]);
        (self.scheduler).start_answered(now, &starts[0], StartAnswer::Started);
    }

    /// Returns a node that replaces this one. The list shows the incarnation of the worker that started then, and the task
    /// is assigned to an incarnation, if to any.
    fn successor(&self, now: Now, listed: u64, assigned_to: Option<u64>) -> Self {
        self.successor_with(now, listed, assigned_to, job())
    }

    /// The same for another job.
    fn successor_with(&self, now: Now, listed: u64, assigned_to: Option<u64>, job: Job) -> Self {
        let cfg = SchedConfig::default();
        let past = PastLeases::from_row(now.time, now.time, &self.row, "other", &cfg);
        let mut progress = Progress::new(&job);
        if let Some(started_unix_ms) = assigned_to {
            progress.assign(&[(TASK, Incarnation::new("w1", started_unix_ms))]);
        }
        let recovered = Recovered {
            jobs: vec![(JOB, job)],
            progress: [(JOB, progress)].into(),
            leases: Some(past),
            ..Recovered::default()
        };
        let mut node = Self::new(self.row.next_epoch(), now, recovered);
        node.scheduler.worker_listed(now, info(listed));
        node
    }

    /// The worker does not answer from now on. Returns when the task may start elsewhere.
    fn gives_up_at(&mut self, from_ms: u64) -> u64 {
        let id = self.worker();
        (self.scheduler).poll_failed(at_ms(from_ms), id, PollFailure::Silent);
        self.lapses_at(from_ms)
    }

    /// Returns when the task may start elsewhere if the worker is not polled.
    fn lapses_at(&mut self, from_ms: u64) -> u64 {
        self.scheduler.take_actions();
        let is_end = |action: &Action| matches!(action, Action::Interrupted { .. });
        let mut times = (from_ms..from_ms + 30_000).step_by(10);
        let found = times.find(|&ms| {
            self.scheduler.decide(at_ms(ms));
            self.scheduler.take_actions().iter().any(is_end)
        });
        found.expect("the run is given up")
    }
}

/// Returns the first of all schedulers, which knows the worker's first incarnation.
fn first(worker: &mut Worker) -> Node {
    let now = at_ms(60_000);
    let mut node = Node::new(
        1,
        now,
        Recovered {
            leases: Some(PastLeases::default()),
            ..Recovered::default()
        },
    );
    (node.scheduler).worker_listed(now, info(worker.started_ms + 1));
    node.poll(now, worker);
    node
}

/// Orders on the clock of the incarnation before reach the one of 61.0 s until 61.7 s.
fn restart(node: &mut Node, worker: &mut Worker) {
    *worker = Worker::started_at(61_000);
    for ms in [61_100, 61_700] {
        worker.renew(at_ms(ms), 61_700 + 5_000);
    }
    assert_eq!(worker.lapses_at(), 61_700 + LONGEST_MS);
    // The scheduler learns of the restart from the list of workers.
    (node.scheduler).worker_listed(at_ms(61_750), info(61_001));
}

/// Guards against two runs of a task: the worker that the successor finds idle has a lease from the former scheduler.
#[test]
fn a_lease_of_a_worker_without_runs_is_forgotten_in_a_takeover() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    restart(&mut first, &mut worker);
    first.store(at_ms(61_800));

    let now = at_ms(62_000);
    let mut next = first.successor(now, 61_001, None);
    next.poll(now, &mut worker);
    next.start(now, &mut worker);
    next.poll(at_ms(62_100), &mut worker);
    assert!(next.gives_up_at(62_300) >= worker.lapses_at());
}

/// Guards against two runs of a task: the former scheduler is lost before it has noticed the restart.
#[test]
fn a_lease_that_the_former_scheduler_did_not_know_of_is_not_waited_for() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_300));
    assert!(first.row.leases.is_some());
    worker = Worker::started_at(61_000);
    worker.renew(at_ms(61_700), 66_700);

    let now = at_ms(62_000);
    let mut next = first.successor(now, 61_001, None);
    next.poll(now, &mut worker);
    next.start(now, &mut worker);
    next.poll(at_ms(62_100), &mut worker);
    assert!(next.gives_up_at(62_300) >= worker.lapses_at());
}

/// Guards against two runs of a task: the answer of its worker makes the successor forget what the row tells.
#[test]
fn a_longer_lease_is_forgotten_once_the_worker_has_answered_a_successor() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    restart(&mut first, &mut worker);
    first.poll(at_ms(61_800), &mut worker);
    first.scheduler.job_stored(at_ms(61_800), JOB, job());
    first.start(at_ms(61_800), &mut worker);
    first.poll(at_ms(61_900), &mut worker);
    first.store(at_ms(62_100));

    let mut next = first.successor(at_ms(62_200), 61_001, Some(61_001));
    next.poll(at_ms(62_200), &mut worker);
    next.store(at_ms(62_200));
    next.poll(at_ms(62_300), &mut worker);
    assert!(next.gives_up_at(62_500) >= worker.lapses_at());
}

/// Guards against two runs of a task: the scheduler is lost with the row that has stored the start.
#[test]
fn a_longer_lease_is_not_told_by_the_row_that_stores_a_start() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    restart(&mut first, &mut worker);
    first.poll(at_ms(61_800), &mut worker);
    first.scheduler.job_stored(at_ms(61_800), JOB, job());
    first.start(at_ms(61_800), &mut worker);

    let mut next = first.successor(at_ms(62_200), 61_001, Some(61_001));
    next.poll(at_ms(62_200), &mut worker);
    next.store(at_ms(62_200));
    next.poll(at_ms(62_300), &mut worker);
    assert!(next.gives_up_at(62_500) >= worker.lapses_at());
}

/// Guards against two runs of a task: the worker restarts, begins a run and is cut off before any list of it is read.
#[test]
fn a_run_that_a_later_incarnation_may_have_begun_is_given_up_after_a_usual_lease() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    worker = Worker::started_at(61_000);
    first.scheduler.job_stored(at_ms(61_200), JOB, job());
    first.start(at_ms(61_200), &mut worker);
    assert!(first.gives_up_at(61_900) >= worker.lapses_at());
}

/// Guards against two runs of a task: the same, and the scheduler is lost as well.
#[test]
fn a_run_that_a_later_incarnation_may_have_begun_is_given_up_early_by_a_successor() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    worker = Worker::started_at(61_000);
    first.scheduler.job_stored(at_ms(61_200), JOB, job());
    first.start(at_ms(61_200), &mut worker);

    let now = at_ms(62_000);
    let mut next = first.successor(now, 1, Some(1));
    next.scheduler.node_follows(now, &first.row.holder);
    next.store(now);
    assert!(next.gives_up_at(62_300) >= worker.lapses_at());
}

/// Guards against a wait for the longest lease where a usual one is known to be the last.
#[test]
fn a_run_that_its_worker_has_listed_is_given_up_after_a_usual_lease() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.scheduler.job_stored(at_ms(60_000), JOB, job());
    first.start(at_ms(60_000), &mut worker);
    first.poll(at_ms(60_100), &mut worker);
    first.store(at_ms(60_300));
    let mut next = first.successor(at_ms(61_000), 1, Some(1));
    first.poll(at_ms(60_400), &mut worker);
    let given_up_at = first.gives_up_at(60_700);
    assert!((worker.lapses_at()..=65_700).contains(&given_up_at));

    next.poll(at_ms(61_000), &mut worker);
    next.store(at_ms(61_000));
    next.poll(at_ms(61_200), &mut worker);
    let given_up_at = next.gives_up_at(61_500);
    assert!((worker.lapses_at()..=66_500).contains(&given_up_at));
}

/// Guards against a wait for the longest lease on each worker that a successor cannot reach.
#[test]
fn a_run_that_its_worker_had_listed_is_given_up_by_a_successor_after_a_usual_lease() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.scheduler.job_stored(at_ms(60_000), JOB, job());
    first.start(at_ms(60_000), &mut worker);
    first.poll(at_ms(60_100), &mut worker);
    first.store(at_ms(60_300));
    let now = at_ms(61_000);
    let mut next = first.successor(now, 1, Some(1));
    next.scheduler.node_follows(now, &first.row.holder);
    next.store(now);
    assert!(next.gives_up_at(61_300) <= 66_300);
}

/// Guards against two runs of a task: a row whose list of bounds is full tells neither the bound of a worker nor its longer
/// lease.
#[test]
fn a_longer_lease_is_told_if_the_list_of_bounds_is_full() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    restart(&mut first, &mut worker);
    first.poll(at_ms(61_800), &mut worker);
    first.scheduler.job_stored(at_ms(61_800), JOB, job());
    first.start(at_ms(61_800), &mut worker);
    first.poll(at_ms(61_900), &mut worker);
    first.store(at_ms(62_100));
    assert_eq!(first.row.leases.as_ref().unwrap().longer.len(), 1);

    // The successor has found runs on many workers, and is lost before any has answered.
    let now = at_ms(62_200);
    let cfg = SchedConfig::default();
    let past = PastLeases::from_row(now.time, now.time, &first.row, "other", &cfg);
    let mut many = job();
    many.steps[0].tasks = 2_000;
    let mut progress = Progress::new(&many);
    for index in 0..2_000 {
        let task = TaskKey { index, ..TASK };
        let name = format!("i-{index:010}");
        progress.assign(&[(task, Incarnation::new(&name, 1))]);
    }
    let mut own = Progress::new(&job());
    own.assign(&[(TASK, Incarnation::new("w1", 61_001))]);
    let recovered = Recovered {
        jobs: vec![(JobId(6), many), (JOB, job())],
        progress: [(JobId(6), progress), (JOB, own)].into(),
        leases: Some(past),
        ..Recovered::default()
    };
    let mut second = Node::new(first.row.next_epoch(), now, recovered);
    (second.scheduler).worker_listed(now, info(61_001));
    second.store(now);

    let now = at_ms(62_500);
    let mut third = second.successor(now, 61_001, Some(61_001));
    third.scheduler.node_follows(now, &first.row.holder);
    third.scheduler.node_follows(now, &second.row.holder);
    third.store(now);
    assert!(third.gives_up_at(62_700) >= worker.lapses_at());
}

/// Guards against two runs of a task: the former scheduler orders a run of a job that it has been told of before its row was
/// stored, and the scheduler in between has read the table before the row appeared.
#[test]
fn a_worker_of_a_job_whose_row_appears_late_is_named_by_further_rows() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.scheduler.job_announced(at_ms(60_900), JOB, job(), 1);
    assert_eq!(first.store(at_ms(61_000)).len(), 0);
    let told = first.row.leases.clone().unwrap().unsettled;
    assert_eq!(told, Some(vec!["w1".into()]));

    let cfg = SchedConfig::default();
    let now = at_ms(61_500);
    let mut progress = Progress::new(&job());
    progress.assign(&[(TASK, Incarnation::new("w1", 1))]);
    let recovered = Recovered {
        progress: [(JOB, progress)].into(),
        leases: Some(PastLeases::from_row(
            now.time, now.time, &first.row, "n2", &cfg,
        )),
        ..Recovered::default()
    };
    let mut second = Node::new(first.row.next_epoch(), now, recovered);
    second.scheduler.worker_listed(now, info(1));
    second.store(at_ms(61_800));
    assert!(second.row.leases.is_some());

    // The row has appeared. The first scheduler is told, and orders the run: the worker has restarted.
    let mut third = second.successor(at_ms(62_500), 1, Some(1));
    third
        .scheduler
        .node_follows(at_ms(62_500), &second.row.holder);
    third.store(at_ms(62_500));
    worker = Worker::started_at(63_000);
    first
        .scheduler
        .job_settled(at_ms(63_800), JOB, 1, sched::Settlement::Stored);
    let actions = first.scheduler.take_actions().into_iter();
    let mut starts = actions.filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    worker.start(at_ms(63_800), &starts.next().unwrap());
    assert!(third.gives_up_at(62_700) >= worker.lapses_at());
}

/// Guards against two runs of a task: a start order without an answer is carried out late, by a later incarnation, within
/// the time for which the scheduler expects that.
#[test]
fn a_start_that_a_later_incarnation_carries_out_late_is_waited_for() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    first.scheduler.job_stored(at_ms(61_200), JOB, job());
    let order = first.store(at_ms(61_200)).remove(0);
    let id = first.worker();
    (first.scheduler).poll_failed(at_ms(61_900), id, PollFailure::Silent);
    let mut open = order.clone();
    for ms in [61_900, 62_600, 63_300] {
        (first.scheduler).start_answered(at_ms(ms), &open, StartAnswer::Unknown);
        for action in first.scheduler.take_actions() {
            if let Action::Start(again) = action {
                open = again;
            }
        }
    }
    // It is up when the order is sent.
    let mut later = Worker::started_at(61_000);
    later.start(at_ms(67_100), &order);
    assert!(first.gives_up_at(63_400) >= later.lapses_at());
}

/// Guards against two runs of a task: a renewal without an answer is carried out late, by the incarnation that has begun the
/// run.
#[test]
fn a_renewal_that_a_later_incarnation_carries_out_late_is_waited_for() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    worker = Worker::started_at(61_000);
    first.scheduler.job_stored(at_ms(61_200), JOB, job());
    first.start(at_ms(61_200), &mut worker);
    let poll = first.next_poll(at_ms(61_300));
    let given_up_at = first.gives_up_at(62_000);
    let fence = first.scheduler.fence(first.worker());
    worker.poll(at_ms(65_000), &poll, fence);
    assert!(given_up_at >= worker.lapses_at());
}

/// Guards against two runs of a task: the run counts as begun by the known incarnation once no start order can be carried out
/// any more, though a later one has carried one out before.
#[test]
fn a_late_start_is_waited_for_after_it_may_no_longer_be_carried_out() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    first.scheduler.job_stored(at_ms(60_200), JOB, job());
    let order = first.store(at_ms(60_200)).remove(0);
    (first.scheduler).start_answered(at_ms(60_900), &order, StartAnswer::Unknown);
    let actions = first.scheduler.take_actions().into_iter();
    let mut again = actions.filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    let again = again.next().unwrap();
    worker.start(at_ms(61_000), &again);
    (first.scheduler).start_answered(at_ms(61_000), &again, StartAnswer::Started);
    first.poll(at_ms(61_050), &mut worker);
    first.store(at_ms(61_300));

    // The worker restarts, and the first order reaches it 1.6 s after it was given up.
    let mut later = Worker::started_at(62_000);
    later.start(at_ms(62_500), &order);
    assert!(first.gives_up_at(61_900) >= later.lapses_at());
}

/// The same, and the scheduler is lost: the row tells of the late order, but the list of the former incarnation makes the
/// successor forget it.
#[test]
fn a_late_start_of_the_former_scheduler_is_forgotten_once_its_run_is_listed() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    first.scheduler.job_stored(at_ms(60_200), JOB, job());
    let order = first.store(at_ms(60_200)).remove(0);
    (first.scheduler).start_answered(at_ms(60_900), &order, StartAnswer::Unknown);
    let actions = first.scheduler.take_actions().into_iter();
    let mut again = actions.filter_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    let again = again.next().unwrap();
    worker.start(at_ms(61_000), &again);
    (first.scheduler).start_answered(at_ms(61_000), &again, StartAnswer::Started);
    first.poll(at_ms(61_050), &mut worker);
    first.store(at_ms(61_300));
    let told = first.row.leases.clone().unwrap().unsettled;
    assert_eq!(told, Some(vec!["w1".into()]));

    let mut next = first.successor(at_ms(61_500), 1, Some(1));
    next.poll(at_ms(61_500), &mut worker);
    next.store(at_ms(61_500));
    next.poll(at_ms(61_600), &mut worker);
    let mut later = Worker::started_at(62_000);
    later.start(at_ms(62_500), &order);
    assert!(next.gives_up_at(62_300) >= later.lapses_at());
}

/// Guards against two runs of a task: an order of the former scheduler is carried out after that one has stopped, and before
/// the worker answers its successor.
#[test]
fn a_late_order_of_a_scheduler_that_has_stopped_is_waited_for() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_300));
    assert!(first.row.leases.is_some());
    let now = at_ms(62_000);
    let mut next = first.successor(now, 61_001, None);
    next.scheduler.node_follows(now, &first.row.holder);
    worker = Worker::started_at(61_000);
    // Sent at 61.7 s.
    worker.renew(at_ms(66_500), 1_000_000);
    let now = at_ms(66_600);
    next.poll(now, &mut worker);
    next.start(now, &mut worker);
    next.poll(at_ms(66_700), &mut worker);
    assert!(next.gives_up_at(67_000) >= worker.lapses_at());
}

/// Has the worker start the task, and reads its clock in the answer. Returns when the run is given up.
fn gives_up_after_answer(first: &mut Node, worker: &mut Worker) -> u64 {
    first.scheduler.job_stored(at_ms(61_200), JOB, job());
    let now = at_ms(61_200);
    let order = first.store(now).remove(0);
    worker.start(now, &order);
    let clock_ms = worker.clock_ms(now);
    (first.scheduler).start_answered(now, &order, StartAnswer::Started);
    first.scheduler.start_clock_read(now, &order, clock_ms);
    first.gives_up_at(61_900)
}

/// Guards against a wait for the longest lease where an answer has shown that the worker takes orders for usual ones.
#[test]
fn a_run_whose_worker_has_told_its_clock_is_given_up_after_a_usual_lease() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    let given_up_at = gives_up_after_answer(&mut first, &mut worker);
    assert!((worker.lapses_at()..=66_500).contains(&given_up_at));
}

/// Guards against two runs of a task: the clock in the answer is that of a later incarnation.
#[test]
fn a_run_whose_worker_has_told_another_clock_is_given_up_after_a_usual_lease() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    worker = Worker::started_at(61_000);
    assert!(gives_up_after_answer(&mut first, &mut worker) >= worker.lapses_at());
}

/// Has a scheduler start the task on a worker that has restarted without its knowledge.
fn first_without_list(worker: &mut Worker) -> Node {
    let mut first = first(worker);
    first.store(at_ms(60_000));
    *worker = Worker::started_at(61_000);
    first.scheduler.job_stored(at_ms(61_200), JOB, job());
    first.start(at_ms(61_200), worker);
    first
}

/// Guards against two runs of a task: the successor never reaches the worker, and knows of it by the row only.
#[test]
fn a_run_of_a_worker_that_the_row_names_lapses_early() {
    let mut worker = Worker::default();
    let first = first_without_list(&mut worker);
    let now = at_ms(62_000);
    let mut next = first.successor_with(now, 1, Some(1), job_with_tickets());
    next.scheduler.node_follows(now, &first.row.holder);
    next.store(now);
    assert!(next.lapses_at(62_000) >= worker.lapses_at());
}

/// Guards against two runs of a task: a row of an earlier build does not tell which runs no list has shown.
#[test]
fn a_run_lapses_early_after_a_row_of_an_earlier_build() {
    let mut worker = Worker::default();
    let mut first = first_without_list(&mut worker);
    first.row.leases.as_mut().unwrap().unsettled = None;
    let now = at_ms(62_000);
    let mut next = first.successor_with(now, 1, Some(1), job_with_tickets());
    next.scheduler.node_follows(now, &first.row.holder);
    next.store(now);
    assert!(next.lapses_at(62_000) >= worker.lapses_at());
}

/// Guards against two runs of a task: a row of an earlier build may not tell a longer lease of a worker that answers.
#[test]
fn a_listed_run_is_given_up_early_after_a_row_of_an_earlier_build() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_000));
    restart(&mut first, &mut worker);
    first.poll(at_ms(61_800), &mut worker);
    first.scheduler.job_stored(at_ms(61_800), JOB, job());
    first.start(at_ms(61_800), &mut worker);
    let leases = first.row.leases.as_mut().unwrap();
    leases.longer.clear();
    leases.unsettled = None;

    let mut next = first.successor_with(at_ms(62_200), 61_001, Some(61_001), job_with_tickets());
    next.poll(at_ms(62_200), &mut worker);
    next.store(at_ms(62_200));
    next.poll(at_ms(62_300), &mut worker);
    assert!(next.gives_up_at(62_500) >= worker.lapses_at());
}

/// Guards against a row that leaves workers out, and is taken to name all.
#[test]
fn a_row_with_too_many_workers_names_none() {
    let mut many = job();
    many.steps[0].tasks = 2_000;
    let mut progress = Progress::new(&many);
    for index in 0..2_000 {
        let task = TaskKey { index, ..TASK };
        progress.assign(&[(task, Incarnation::new(&format!("i-{index:010}"), 1))]);
    }
    let now = at_ms(60_000);
    let recovered = Recovered {
        jobs: vec![(JOB, many)],
        progress: [(JOB, progress)].into(),
        ..Recovered::default()
    };
    let mut node = Node::new(1, now, recovered);
    node.store(now);
    let leases = node.row.leases.unwrap();
    assert_eq!(leases.unsettled, None);
    assert!(
        jobs::encode(&leases).len() < 60 << 10,
        "the row is too long"
    );
}

/// Returns a scheduler that has stored the start of the task at 61.0 s, and the start order that it has not sent: its process is
/// suspended.
fn suspended(worker: &mut Worker, job: Job) -> (Node, StartOrder) {
    let mut first = first(worker);
    first.store(at_ms(60_900));
    first.scheduler.job_stored(at_ms(61_000), JOB, job);
    let order = first.store(at_ms(61_000)).remove(0);
    (first, order)
}

/// Polls the worker until it has been given the task. Panics if the run is given up.
fn starts_after_poll(node: &mut Node, now: Now, worker: &mut Worker) -> Vec<StartOrder> {
    node.poll(now, worker);
    assert!(!gives_up(node, now));
    node.poll(now, worker);
    node.store(now)
}

/// Returns whether the present run of the task is given up now.
fn gives_up(node: &mut Node, now: Now) -> bool {
    node.scheduler.decide(now);
    let actions = node.scheduler.take_actions();
    if let Some(batch) = node.scheduler.take_batch(now) {
        node.row.leases = batch.leases;
        node.scheduler.batch_stored(now);
    }
    let is_end = |action: &Action| matches!(action, Action::Interrupted { .. });
    actions.iter().any(is_end)
}

/// Guards against two runs of a task: a suspended scheduler orders a stored start when it wakes, its successor has given the run
/// up as the worker did not list it, and the worker has restarted and so does not refuse the order.
#[test]
fn a_stored_run_is_given_up_though_a_suspended_scheduler_may_still_order_it() {
    let mut worker = Worker::default();
    let (first, late) = suspended(&mut worker, job());
    let mut next = first.successor(at_ms(61_500), 1, Some(1));
    let starts = starts_after_poll(&mut next, at_ms(61_600), &mut worker);
    assert_eq!((starts.len(), starts[0].run), (1, late.run), "the same run");
    worker.start(at_ms(61_650), &starts[0]);
    (next.scheduler).start_answered(at_ms(61_650), &starts[0], StartAnswer::Started);

    worker = Worker::started_at(62_000);
    next.poll(at_ms(62_200), &mut worker);
    // These lists were requested before the order could be refused.
    assert!(!gives_up(&mut next, at_ms(62_200)));
    let mut later = Worker::started_at(62_500);
    later.start(at_ms(62_800), &late);
    worker = later;
    next.poll(at_ms(63_000), &mut worker);
    assert!(!gives_up(&mut next, at_ms(63_000)), "it is at work");
}

/// The same with a worker that has restarted before it answers the successor, and restarts again.
#[test]
fn a_stored_run_of_a_former_incarnation_is_given_up_though_its_order_may_still_come() {
    let mut worker = Worker::default();
    let (first, _) = suspended(&mut worker, job());
    worker = Worker::started_at(61_300);
    let mut next = first.successor(at_ms(61_500), 61_301, Some(1));
    for ms in [61_600, 62_000, 67_000] {
        next.poll(at_ms(ms), &mut worker);
        assert!(!gives_up(&mut next, at_ms(ms)), "at {ms} ms");
    }
    // From 67.5 s on, the former scheduler sends no orders.
    next.poll(at_ms(67_600), &mut worker);
    assert!(gives_up(&mut next, at_ms(67_600)));
}

/// Guards against a wait after the former scheduler is known to have stopped, and before a start that needs a ticket, which
/// no later incarnation accepts.
#[test]
fn a_stored_run_that_cannot_begin_any_more_is_waited_for() {
    let mut worker = Worker::default();
    let (first, _) = suspended(&mut worker, job());
    worker = Worker::started_at(61_300);
    let mut next = first.successor(at_ms(61_500), 61_301, Some(1));
    next.poll(at_ms(61_600), &mut worker);
    assert!(!gives_up(&mut next, at_ms(61_600)));
    (next.scheduler).node_follows(at_ms(61_700), &first.row.holder);
    next.poll(at_ms(61_800), &mut worker);
    assert!(gives_up(&mut next, at_ms(61_800)));

    let mut worker = Worker::default();
    let (first, _) = suspended(&mut worker, job());
    let mut next = first.successor_with(at_ms(61_500), 1, Some(1), job_with_tickets());
    next.poll(at_ms(61_600), &mut worker);
    assert!(gives_up(&mut next, at_ms(61_600)));
}

/// Guards against two runs of a task: the worker has refused the successor's order for a stored run, and restarts before the one
/// of the former scheduler comes.
#[test]
fn a_stored_run_is_given_up_by_a_refusal_of_another_order() {
    let mut worker = Worker::default();
    let (first, _) = suspended(&mut worker, job());
    let mut next = first.successor(at_ms(61_500), 1, Some(1));
    let starts = starts_after_poll(&mut next, at_ms(61_600), &mut worker);
    (next.scheduler).start_answered(at_ms(61_650), &starts[0], StartAnswer::NoRoom);
    let actions = next.scheduler.take_actions().into_iter();
    let mut stops = actions.filter_map(|action| match action {
        Action::Stop(order) => Some(order),
        _ => None,
    });
    let stop = stops.next().expect("it is stopped first");
    next.scheduler.stop_answered(at_ms(61_700), &stop);
    next.poll(at_ms(61_800), &mut worker);
    assert!(!gives_up(&mut next, at_ms(61_800)));
    next.poll(at_ms(67_600), &mut worker);
    assert!(gives_up(&mut next, at_ms(67_600)));
}

/// Guards against two runs of a task: the progress of an announced job is forgotten as its worker does not list the run, the row
/// appears, and the suspended scheduler learns that and orders the run after a restart of the worker.
#[test]
fn the_run_of_an_announced_job_is_forgotten_though_a_suspended_scheduler_may_still_order_it() {
    let mut worker = Worker::default();
    let mut first = first(&mut worker);
    first.store(at_ms(60_900));
    (first.scheduler).job_announced(at_ms(61_000), JOB, job(), 1);
    assert!(first.store(at_ms(61_000)).is_empty());

    let now = at_ms(61_500);
    let mut progress = Progress::new(&job());
    progress.assign(&[(TASK, Incarnation::new("w1", 1))]);
    let past = PastLeases::from_row(
        now.time,
        now.time,
        &first.row,
        "n2",
        &SchedConfig::default(),
    );
    let recovered = Recovered {
        progress: [(JOB, progress)].into(),
        leases: Some(past),
        ..Recovered::default()
    };
    let mut next = Node::new(first.row.next_epoch(), now, recovered);
    next.scheduler.worker_listed(now, info(1));
    next.poll(now, &mut worker);
    next.store(now);
    next.scheduler.take_actions();
    next.scheduler.job_stored(at_ms(61_700), JOB, job());
    let wakes = |action: &Action| matches!(action, Action::Wake(_));
    let actions = next.scheduler.take_actions();
    assert!(actions.iter().any(wakes), "its worker is polled seldom");
    assert!(next.store(at_ms(61_700)).is_empty(), "a second run");
    next.poll(at_ms(61_800), &mut worker);
    let starts = next.store(at_ms(61_800));
    assert_eq!((starts.len(), starts[0].run), (1, 1), "the same run");
}

/// Guards against a job that waits for the run of its announcement though that one cannot begin any more: its start needs a
/// ticket, and the worker refuses the former scheduler.
#[test]
fn a_run_of_an_announced_job_that_cannot_begin_any_more_is_waited_for() {
    for is_announced in [false, true] {
        let mut worker = Worker::default();
        let mut first = first(&mut worker);
        first.store(at_ms(60_900));
        let now = at_ms(61_500);
        let mut progress = Progress::new(&job_with_tickets());
        progress.assign(&[(TASK, Incarnation::new("w1", 1))]);
        let past = PastLeases::from_row(
            now.time,
            now.time,
            &first.row,
            "n2",
            &SchedConfig::default(),
        );
        let recovered = Recovered {
            progress: [(JOB, progress)].into(),
            leases: Some(past),
            ..Recovered::default()
        };
        let mut next = Node::new(first.row.next_epoch(), now, recovered);
        next.scheduler.set_queues([job_with_tickets().queue]);
        next.scheduler.worker_listed(now, info(1));
        next.poll(now, &mut worker);
        if is_announced {
            (next.scheduler).job_announced(at_ms(61_600), JOB, job_with_tickets(), 1);
            assert_eq!(next.scheduler.announcement_counts().open, 1);
        } else {
            (next.scheduler).job_stored(at_ms(61_600), JOB, job_with_tickets());
        }
        assert_eq!(next.scheduler.announcement_counts().orphans, 0);
        assert_eq!(next.scheduler.summary(now).runs, 0);
    }
}
