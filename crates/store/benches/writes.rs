//! Measures the transactions per second of group commit in ten failure domains, on virtual time.
//!
//! Each task causes one change at its start and one at its end. The baseline is one transaction per
//! change.

use std::{collections::VecDeque, time::Duration};

use fakes::Rng;
use model::{Incarnation, NodeId, Time};
use store::{CommitChange, CommitConfig, CommitOutput, GroupCommit, TableReq, TableResp};

/// The number of failure domains, each with one group commit.
const DOMAIN_COUNT: u32 = 10;
/// The rates of task starts over all domains, per second.
const STARTS_PER_S: [u32; 4] = [35, 70, 140, 280];
const CHANGES_PER_START: u32 = 2;
/// The measured virtual time, in seconds.
const DURATION_S: u64 = 120;
/// The time from a call to the table to its reply.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// The group commit of one domain, with the calls in flight and the sum of the changes' waits.
struct Domain {
    group: GroupCommit,
    pending: VecDeque<(Time, TableReq)>,
    version: u64,
    settled: u64,
    total_wait: Duration,
    pushed_at: Vec<Time>,
}

impl Domain {
    fn new(node: u32) -> Self {
        Self {
            group: GroupCommit::new(CommitConfig::default(), NodeId(node), Incarnation(1)),
            pending: VecDeque::new(),
            version: 0,
            settled: 0,
            total_wait: Duration::ZERO,
            pushed_at: Vec::new(),
        }
    }

    fn push(&mut self, now: Time) {
        let change = CommitChange {
            tag: u64::try_from(self.pushed_at.len()).expect("the number of changes fits"),
            checks: Vec::new(),
            writes: Vec::new(),
        };
        self.pushed_at.push(now);
        self.group.push(now, change).expect("the queue has room");
    }

    fn advance(&mut self, now: Time) {
        let mut out = Vec::new();
        self.group.poll(now, &mut out);
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, req)) = self.pending.pop_front() else {
                break;
            };
            self.version += 1;
            let version = self.version;
            let resp = if req.is_write() {
                TableResp::Committed { version }
            } else {
                TableResp::Row(None)
            };
            self.group.reply(now, Ok(resp), &mut out);
        }
        for output in out {
            match output {
                CommitOutput::Call(req) => self.pending.push_back((now + ROUND_TRIP, req)),
                CommitOutput::Settled(tag, _) => {
                    let i = usize::try_from(tag).expect("the number of changes fits");
                    self.settled += 1;
                    self.total_wait += now - self.pushed_at[i];
                }
            }
        }
    }
}

struct Rates {
    transactions: f64,
    changes: f64,
    wait_ms: f64,
}

#[expect(clippy::cast_precision_loss, reason = "counts of a short run")]
fn run(starts_per_s: u32) -> Rates {
    let mut rng = Rng::new(u64::from(starts_per_s));
    let mut domains: Vec<Domain> = (0..DOMAIN_COUNT).map(Domain::new).collect();
    let per_s = u64::from(starts_per_s * CHANGES_PER_START);
    for ms in 0..DURATION_S * 1_000 {
        let now = Time::from_ms(ms);
        for domain in &mut domains {
            // Each domain draws independently whether a change arrives in this millisecond.
            if rng.below(1_000 * u64::from(DOMAIN_COUNT)) < per_s {
                domain.push(now);
            }
            domain.advance(now);
        }
    }
    let transactions: u64 = domains.iter().map(|d| d.group.transactions()).sum();
    let settled: u64 = domains.iter().map(|d| d.settled).sum();
    let total_wait: Duration = domains.iter().map(|d| d.total_wait).sum();
    Rates {
        transactions: transactions as f64 / DURATION_S as f64,
        changes: settled as f64 / DURATION_S as f64,
        wait_ms: total_wait.as_secs_f64() * 1_000.0 / settled as f64,
    }
}

fn main() {
    let rates = STARTS_PER_S.map(run);
    for (starts, rates) in STARTS_PER_S.iter().zip(&rates) {
        let Rates {
            transactions,
            changes,
            wait_ms,
        } = rates;
        println!("figure table_writes_per_s/{starts}_starts {transactions:.1} 1/s");
        println!("figure table_writes_per_s/{starts}_starts/one_per_change {changes:.1} 1/s");
        println!("figure commit_wait_ms/{starts}_starts {wait_ms:.1} ms");
    }
    let [low, .., high] = &rates;
    let added_starts = f64::from(STARTS_PER_S[3] - STARTS_PER_S[0]);
    let slope = (high.transactions - low.transactions) / added_starts;
    let baseline_slope = (high.changes - low.changes) / added_starts;
    println!("figure table_writes_per_start {slope:.2} 1");
    println!("figure table_writes_per_start/one_per_change {baseline_slope:.2} 1");
}
