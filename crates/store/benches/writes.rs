//! Transactions a second of real group commits, one for each of ten failure domains, on virtual time.
//! Each task is a change at its start and one at its end. The baseline is one write per change.

use std::{collections::VecDeque, time::Duration};

use fakes::Rng;
use model::{Incarnation, NodeId, Time};
use store::{CommitChange, CommitConfig, CommitOutput, GroupCommit, TableReq, TableResp};

const DOMAINS: u32 = 10;
const STARTS_PER_S: [u32; 4] = [35, 70, 140, 280];
const CHANGES_PER_START: u32 = 2;
const SECONDS: u64 = 120;
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// One domain's commits, and the call under way.
struct Domain {
    group: GroupCommit,
    pending: VecDeque<(Time, TableReq)>,
    version: u64,
    settled: u64,
    waits: Duration,
    pushed_at: Vec<Time>,
}

impl Domain {
    fn new(node: u32) -> Self {
        Self {
            group: GroupCommit::new(CommitConfig::default(), NodeId(node), Incarnation(1)),
            pending: VecDeque::new(),
            version: 0,
            settled: 0,
            waits: Duration::ZERO,
            pushed_at: Vec::new(),
        }
    }

    fn push(&mut self, now: Time) {
        let change = CommitChange {
            tag: u64::try_from(self.pushed_at.len()).expect("a short run"),
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
                    let at = usize::try_from(tag).expect("a short run");
                    self.settled += 1;
                    self.waits += now - self.pushed_at[at];
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
    let mut domains: Vec<Domain> = (0..DOMAINS).map(Domain::new).collect();
    let per_s = u64::from(starts_per_s * CHANGES_PER_START);
    for ms in 0..SECONDS * 1_000 {
        let now = Time::from_ms(ms);
        for domain in &mut domains {
            // Changes come independently of each other.
            if rng.below(1_000 * u64::from(DOMAINS)) < per_s {
                domain.push(now);
            }
            domain.advance(now);
        }
    }
    let transactions: u64 = domains.iter().map(|d| d.group.transactions()).sum();
    let settled: u64 = domains.iter().map(|d| d.settled).sum();
    let waits: Duration = domains.iter().map(|d| d.waits).sum();
    Rates {
        transactions: transactions as f64 / SECONDS as f64,
        changes: settled as f64 / SECONDS as f64,
        wait_ms: waits.as_secs_f64() * 1_000.0 / settled as f64,
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
    let more = f64::from(STARTS_PER_S[3] - STARTS_PER_S[0]);
    let slope = (high.transactions - low.transactions) / more;
    let one_each = (high.changes - low.changes) / more;
    println!("figure table_writes_per_start {slope:.2} 1");
    println!("figure table_writes_per_start/one_per_change {one_each:.2} 1");
}
