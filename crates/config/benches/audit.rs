//! Audit reads that spot a table which serves stale heads: an adaptive rate against a fixed one.
//!
//! Time is cut into slots. The fixed auditor makes the same number of reads in each; the adaptive one
//! makes more in the slot that follows a violation and falls back to its base rate when there is none.
//! A read is a violation where it names a lower version than one read or written before it. The
//! adaptive auditor's mean rate is measured first, and a fixed one with that many reads is run beside.

use std::time::Duration;

use fakes::{FakeTable, Rng};
use store::{Row, TableReq, TableResp, Txn, Write};

const SEEDS: u64 = 20;
const SLOTS: u64 = 8_640;
const SLOT: Duration = Duration::from_secs(10);
/// Reads of a slot that the fleet's polls make anyway: 72 nodes, one a second.
const POLLS: u64 = 720;
/// Audit reads of a slot at the base rate.
const BASE_READS: u64 = 2;
/// Audit reads of a slot at the most.
const MOST_READS: u64 = 32;
/// Stale bursts begin in so many of 1,000 slots.
const BURSTS_PER_MILLE: u32 = 4;
const BURST_SLOTS: u64 = 18;
/// So many of 1,000 reads are stale within a burst.
const STALE_PER_MILLE: u32 = 150;
/// The interval of the head's versions, in slots: 3,200 a day are one in 27 s.
const VERSION_SLOTS: u64 = 3;

fn main() {
    let adaptive = run_all(Rate::Adaptive);
    let mean = adaptive.reads.div_ceil(SEEDS * SLOTS);
    adaptive.report("adaptive");
    run_all(Rate::Fixed(BASE_READS)).report("fixed_base");
    run_all(Rate::Fixed(mean)).report("fixed_same_reads");
    run_all(Rate::Fixed(POLLS)).report("polls_only");
}

#[derive(Clone, Copy)]
enum Rate {
    Adaptive,
    Fixed(u64),
}

/// What an auditor has found.
#[derive(Default)]
struct Found {
    reads: u64,
    violations: u64,
    bursts: u64,
    detected: u64,
    /// The sum of the delays from a burst's begin to its first violation, in slots.
    delay: f64,
}

impl Found {
    fn report(&self, name: &str) {
        let figure = |what: &str, value: f64, unit: &str| {
            println!("figure audit_{name}_{what} {value:.4} {unit}");
        };
        let found = as_f64(self.detected.max(1));
        let slot = SLOT.as_secs_f64();
        figure(
            "reads_per_s",
            as_f64(self.reads) / as_f64(SEEDS * SLOTS) / slot,
            "1/s",
        );
        figure(
            "violations_per_read",
            as_f64(self.violations) / as_f64(self.reads),
            "1",
        );
        figure(
            "bursts_found",
            as_f64(self.detected) / as_f64(self.bursts),
            "share",
        );
        figure("first_delay_s", self.delay / found * slot, "s");
    }
}

fn run_all(rate: Rate) -> Found {
    let mut found = Found::default();
    for seed in 0..SEEDS {
        run(seed, rate, &mut found);
    }
    found
}

/// A table whose reads of the head are stale now and then while a burst lasts.
struct StaleTable {
    table: FakeTable,
    old: Option<Row>,
    rng: Rng,
}

impl StaleTable {
    fn new(seed: u64) -> Self {
        Self {
            table: FakeTable::default(),
            old: None,
            rng: Rng::new(seed),
        }
    }

    fn raise_head(&mut self) {
        self.old = self.fresh();
        let write = Write {
            key: "config/head".to_owned(),
            value: Some(Vec::new()),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        self.table.call(&TableReq::Commit(txn));
    }

    fn fresh(&mut self) -> Option<Row> {
        let key = "config/head".to_owned();
        match self.table.call(&TableReq::Get { key }) {
            TableResp::Row(row) => row,
            _ => None,
        }
    }

    /// The version of the head's row, stale now and then while there is a burst.
    fn read(&mut self, burst: bool) -> u64 {
        let stale = burst && self.rng.chance(STALE_PER_MILLE);
        let row = if stale {
            self.old.clone()
        } else {
            self.fresh()
        };
        row.map_or(0, |row| row.version)
    }
}

fn run(seed: u64, rate: Rate, found: &mut Found) {
    let mut table = StaleTable::new(seed);
    // The bursts are the same for all auditors of a seed.
    let mut bursts = Rng::new(seed + 1_000);
    let (mut burst_end, mut burst_start, mut spotted) = (0, 0, true);
    let mut reads = BASE_READS;
    let mut newest = 0;
    for slot in 0..SLOTS {
        if slot % VERSION_SLOTS == 0 {
            table.raise_head();
            newest = table.fresh().map_or(newest, |row| row.version);
        }
        let begins = bursts.chance(BURSTS_PER_MILLE);
        if begins && slot >= burst_end {
            (burst_start, burst_end, spotted) = (slot, slot + BURST_SLOTS, false);
            found.bursts += 1;
        }
        let n = match rate {
            Rate::Fixed(n) => n,
            Rate::Adaptive => reads,
        };
        let mut violations = 0;
        for i in 0..n {
            let version = table.read(slot < burst_end);
            found.reads += 1;
            if version < newest {
                violations += 1;
                if !spotted {
                    spotted = true;
                    found.detected += 1;
                    found.delay += as_f64(slot - burst_start) + as_f64(i + 1) / as_f64(n);
                }
            }
            newest = newest.max(version);
        }
        found.violations += violations;
        reads = if violations > 0 {
            (reads * 2).min(MOST_READS)
        } else {
            (reads / 2).max(BASE_READS)
        };
    }
}

#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
fn as_f64(n: u64) -> f64 {
    n as f64
}
