//! The states of jobs that are shown to clients.

use jobs::{End, EndKind, Job, JobId, Queue, State, Step};
use model::{Size, Time, WorkerId};
use sched::{
    Action, EndedRow, Listing, Now, Recovered, SchedConfig, Scheduler, StartAnswer, WorkerInfo,
};

const JOB: JobId = JobId(7);

fn at_ms(ms: u64) -> Now {
    Now {
        time: Time::from_ms(ms),
        unix_ms: 1_700_000_000_000 + ms,
    }
}

fn poll(scheduler: &mut Scheduler, now: Now, id: WorkerId, ended: Vec<EndedRow>) {
    let listing = Listing {
        started_unix_ms: 1,
        clock_ms: 500 + now.time.as_ms(),
        ended,
        ..Listing::default()
    };
    scheduler.polled(now, id, now.time, &listing);
}

fn shown(scheduler: &Scheduler) -> Vec<(JobId, State)> {
    scheduler.states().collect()
}

/// Guards against a job that is shown as completed to a newly linked node before it is stored. If the scheduler
/// fails then, its successor runs the job again.
#[test]
fn a_completed_job_is_not_shown_before_it_is_stored() {
    let now = at_ms(1_000);
    let mut scheduler = Scheduler::new(SchedConfig::default(), 1, now, Recovered::default());
    let queue = Queue {
        name: "lookup".into(),
        pool: "desk".into(),
        ..Queue::default()
    };
    scheduler.set_queues([queue.clone()]);
    scheduler.worker_listed(
        now,
        WorkerInfo {
            name: "w1".into(),
            address: "w1".into(),
            pool: "desk".into(),
            size: Size::new(8_000, 32_000, 0),
            started_unix_ms: 1,
            ..WorkerInfo::default()
        },
    );
    let w1 = scheduler.worker_id("w1").unwrap();
    poll(&mut scheduler, now, w1, Vec::new());
    let step = Step {
        tasks: 1,
        size: Size::new(4_000, 1_000, 0),
        estimate_ms: 800,
        ..Step::default()
    };
    let job = Job {
        queue,
        steps: vec![step],
        ..Job::default()
    };
    scheduler.job_stored(now, JOB, job);
    assert_eq!(shown(&scheduler), [(JOB, State::Queued)]);

    scheduler.decide(now);
    assert_eq!(
        shown(&scheduler),
        [(JOB, State::Queued)],
        "the start is not stored"
    );
    assert!(scheduler.take_batch(now).is_some());
    scheduler.batch_stored(now);
    assert_eq!(shown(&scheduler), [(JOB, State::Running)]);

    let mut actions = scheduler.take_actions().into_iter();
    let start = actions.find_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    let order = start.unwrap();
    scheduler.start_answered(now, &order, StartAnswer::Started);
    let end = End {
        key: order.key,
        run: order.run,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    poll(
        &mut scheduler,
        at_ms(1_900),
        w1,
        vec![EndedRow { number: 1, end }],
    );
    assert!(scheduler.take_batch(at_ms(1_900)).is_some());
    assert_eq!(
        shown(&scheduler),
        [(JOB, State::Running)],
        "the end is not stored"
    );
    scheduler.batch_stored(at_ms(1_910));
    assert_eq!(shown(&scheduler), [(JOB, State::Completed)]);
}
