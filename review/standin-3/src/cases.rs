//! The cases. Each returns whether the rule held.

use std::{
    io,
    path::Path,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::world::{World, config, route};

const SECOND: Duration = Duration::from_secs(1);

/// How long after the end of the traffic jobs are asked for (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);

fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_d94b_0000_u64 + number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn step(count: u32, cpu: u64, ms: u64) -> Value {
    json!({"count": count, "cpu": cpu, "memMb": 60, "estimateMs": ms})
}

fn is_accepted(answer: &Option<(u16, String)>) -> bool {
    matches!(answer, Some((200..=299, _)))
}

/// Submits lookups, one after the other, for some time. Returns the ids of the accepted ones.
fn send_lookups(world: &World, first: u64, lasts: Duration, pause: Duration) -> Vec<String> {
    let until = Instant::now() + lasts;
    let mut accepted = Vec::new();
    let mut number = first;
    while Instant::now() < until {
        number += 1;
        let job = id(number);
        let body = json!({"spec": "ms=300 how=done", "steps": [step(2, 1_000, 300)]});
        let node = usize::try_from(number % 3).unwrap_or(0);
        if is_accepted(&world.call(node, "POST", &format!("/lookup/{job}"), &body)) {
            accepted.push(job);
        }
        sleep(pause);
    }
    accepted
}

/// Waits for the time after the end of the traffic, and counts the jobs that are not completed and have nothing running.
fn count_lost(world: &World, jobs: &[String]) -> usize {
    sleep(FINISH);
    let mut lost = 0;
    for job in jobs {
        let answer = world.call(0, "GET", &format!("/lookup/{job}"), &Value::Null);
        let is_completed = matches!(&answer, Some((200, text)) if text.contains("completed"));
        if !is_completed && world.runs_of(job).iter().all(|run| run.until.is_some()) {
            lost += 1;
        }
    }
    lost
}

/// A client submits one job with many tasks.
pub fn large_job(dir: &Path, has_trouble: bool) -> io::Result<bool> {
    let routes = [route("r-batch", "/batch/", 2, 4), route("r-lookup", "/lookup/", 0, 3)];
    let mut world = World::start(dir, 3, 8, 32_000, &config(7, &routes))?;
    sleep(3 * SECOND);
    let mut jobs = send_lookups(&world, 0, 4 * SECOND, Duration::from_millis(400));
    let tasks = if has_trouble { 500 } else { 20 };
    let steps: Vec<Value> = (0..6).map(|_| step(tasks, 50, 3_000)).collect();
    let body = json!({"spec": "ms=3000 how=done", "steps": steps});
    let batch = id(1_000_000);
    let answer = world.call(0, "POST", &format!("/batch/{batch}"), &body);
    world.record.tell(&format!("the job of 6 steps with {tasks} tasks each is answered {answer:?}"));
    if !is_accepted(&answer) {
        return Ok(true);
    }
    jobs.extend(send_lookups(&world, 1_000, 30 * SECOND, Duration::from_millis(500)));
    let lost = count_lost(&world, &jobs);
    let state = world.call(1, "GET", &format!("/batch/{batch}"), &Value::Null);
    let runs = world.runs_of(&batch).len();
    let ended = world.ended_nodes();
    world.record.tell(&format!(
        "{lost} of {} accepted lookups have nothing running and are not completed 14 s after the traffic; \
         the large job had {runs} runs and is shown as {state:?}; {ended} node processes have ended",
        jobs.len()
    ));
    Ok(lost == 0)
}

/// Returns the longest time for which a task of these jobs was without a run after its first one.
fn longest_gap(world: &World, jobs: &[String], now: Instant) -> Duration {
    let mut longest = Duration::ZERO;
    for job in jobs {
        let mut runs = world.runs_of(job);
        runs.sort_by_key(|run| (run.task.clone(), run.from));
        for (i, run) in runs.iter().enumerate() {
            let next = runs.get(i + 1).filter(|next| next.task == run.task);
            if let Some(end) = run.until {
                longest = longest.max(next.map_or(now, |next| next.from) - end);
            }
        }
    }
    longest
}

/// The tasks of one job that lasts fail soon after each start.
pub fn crash_loop(dir: &Path, has_trouble: bool) -> io::Result<bool> {
    const MINIONS: usize = 8;
    // From 6 s after its last run, a task must not be without a run for 3 s.
    const LIMIT: Duration = Duration::from_secs(9);
    let routes = [route("r-watch", "/watch/", 1, 4)];
    let world = World::start(dir, 3, MINIONS, 32_000, &config(7, &routes))?;
    sleep(3 * SECOND);
    let submit = |job: &String, count: u32, cpu: u64, lasts_ms: u64| {
        let step = json!({"count": count, "cpu": cpu, "memMb": 500, "estimateMs": 300, "longRunning": true});
        let body = json!({"spec": format!("ms={lasts_ms} how=failed"), "steps": [step]});
        world.call(0, "POST", &format!("/watch/{job}"), &body)
    };
    // The tasks of these fail once in a while.
    let sound: Vec<String> = (0..12).map(id).collect();
    for (number, job) in (0..).zip(&sound) {
        if !is_accepted(&submit(job, 1, 500, 14_000 + 1_100 * number)) {
            return Err(io::Error::other("a job was not accepted"));
        }
    }
    sleep(2 * SECOND);
    let failing = id(1_000_000);
    let lasts_ms = if has_trouble { 700 } else { 600_000 };
    let answer = submit(&failing, 8, 20_000, lasts_ms);
    world.record.tell(&format!("the job whose tasks fail after {lasts_ms} ms is answered {answer:?}"));
    sleep(80 * SECOND);
    let now = Instant::now();
    let of_sound = longest_gap(&world, &sound, now);
    let of_failing = longest_gap(&world, &[failing], now);
    world.record.tell(&format!(
        "the longest time without a run: {of_sound:.1?} of a task of the other jobs, {of_failing:.1?} of a task of that job; \
         {LIMIT:?} allowed; the minions have been up and empty but for these tasks"
    ));
    Ok(of_sound <= LIMIT && of_failing <= LIMIT)
}

/// The minion that runs a job's only task crashes three times.
pub fn innocent(dir: &Path, has_trouble: bool) -> io::Result<bool> {
    let routes = [route("r-study", "/study/", 1, 2), route("r-lookup", "/lookup/", 0, 3)];
    let world = World::start(dir, 3, 12, 32_000, &config(7, &routes))?;
    sleep(3 * SECOND);
    let job = id(1);
    let body = json!({"spec": "ms=6000 how=done", "steps": [step(1, 9_000, 6_000)]});
    let answer = world.call(0, "POST", &format!("/study/{job}"), &body);
    world.record.tell(&format!("the job is answered {answer:?}"));
    let mut crashes = 0;
    let began = Instant::now();
    while began.elapsed() < 60 * SECOND {
        sleep(SECOND);
        let found = world.minions.iter().find(|minion| minion.has_job(&job));
        if let Some(minion) = found.filter(|_| has_trouble && crashes < 3) {
            sleep(SECOND);
            minion.crash();
            crashes += 1;
            sleep(3 * SECOND);
            minion.begin();
        }
        let state = world.call(1, "GET", &format!("/study/{job}"), &Value::Null);
        if matches!(&state, Some((200, text)) if text.contains("completed") || text.contains("failed")) {
            let failed = world.runs_of(&job).iter().filter(|run| run.how == "failed").count();
            world.record.tell(&format!("after {crashes} crashes the job is shown as {state:?}; {failed} of its runs ended failed"));
            return Ok(state.is_some_and(|(_, text)| text.contains("completed")));
        }
    }
    Err(io::Error::other("the job has not ended"))
}

/// A client submits a job with a schedule that has begun a day ago.
pub fn past_times(dir: &Path, has_trouble: bool) -> io::Result<bool> {
    // Every ten seconds since 25 hours ago; the program accepts at most 10,000 times.
    const TIMES: u64 = 9_000;
    const INTERVAL_MS: u64 = 10_000;
    let routes = [route("r-batch", "/batch/", 2, 4), route("r-lookup", "/lookup/", 0, 3)];
    let mut world = World::start(dir, 3, 8, 32_000, &config(7, &routes))?;
    sleep(3 * SECOND);
    let mut jobs = send_lookups(&world, 0, 4 * SECOND, Duration::from_millis(400));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now = u64::try_from(now.as_millis()).unwrap_or(0);
    // Without the disruption, the same schedule begins now.
    let first = if has_trouble { now - TIMES * INTERVAL_MS } else { now };
    let body = json!({"spec": "ms=200 how=done", "steps": [step(1, 500, 200)],
        "repeatCount": TIMES, "intervalMs": INTERVAL_MS, "startAtMs": first});
    let batch = id(1_000_000);
    let answer = world.call(0, "POST", &format!("/batch/{batch}"), &body);
    world.record.tell(&format!("the job with {TIMES} times is answered {answer:?}"));
    if !is_accepted(&answer) {
        return Ok(true);
    }
    let stalls = world.longest_answers(10 * SECOND);
    world.record.tell(&format!("in the 10 s after that, the nodes have taken up to {stalls:.1?} to tell whether they are ready"));
    jobs.extend(send_lookups(&world, 1_000, 25 * SECOND, Duration::from_millis(500)));
    let lost = count_lost(&world, &jobs);
    let runs = world.runs_of(&batch).len();
    let ended = world.ended_nodes();
    world.record.tell(&format!(
        "{lost} of {} accepted lookups have nothing running and are not completed 14 s after the traffic; \
         the job had {runs} runs; {ended} node processes have ended",
        jobs.len()
    ));
    Ok(lost == 0)
}
