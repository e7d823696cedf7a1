//! Compares an adaptive with a fixed rate of audit reads, which detect a table that serves stale heads.
//!
//! Time is divided into slots. The fixed auditor makes the same number of reads in each slot. The adaptive
//! auditor doubles its reads after a slot with a violation, and halves them, down to its base rate, after
//! a slot without one. A read is a violation if it returns a lower version than one that was read or
//! written before. The mean rate of the adaptive auditor is measured first. A fixed auditor with the same
//! number of reads is then run for comparison.

use std::time::Duration;

use fakes::{FakeTable, Rng};
use store::{Row, TableReq, TableResp, Txn, Write};

const SEEDS: u64 = 20;
/// The number of slots of a run, which last a day together.
const SLOTS: u64 = 8_640;
/// The length of a slot.
const SLOT: Duration = Duration::from_secs(10);
/// The reads in a slot that the fleet's polls make anyway: 72 nodes with one read a second each.
const POLL_READS: u64 = 720;
/// The number of audit reads in a slot at the base rate.
const BASE_READS: u64 = 2;
/// The maximum number of audit reads in a slot.
const MAX_READS: u64 = 32;
/// The number of slots per 1,000 in which a burst of stale reads begins.
const BURSTS_PER_MILLE: u32 = 4;
/// The length of a burst in slots.
const BURST_SLOTS: u64 = 18;
/// The number of stale reads per 1,000 reads in a burst.
const STALE_PER_MILLE: u32 = 150;
/// The interval between new versions of the head, in slots: 3,200 versions a day are one every 27 s, which is
/// rounded up to whole slots.
const VERSION_SLOTS: u64 = 3;

fn main() {
    let adaptive = run_all(Rate::Adaptive);
    let mean = adaptive.reads.div_ceil(SEEDS * SLOTS);
    adaptive.report("adaptive");
    run_all(Rate::Fixed(BASE_READS)).report("fixed_base");
    run_all(Rate::Fixed(mean)).report("fixed_same_reads");
    run_all(Rate::Fixed(POLL_READS)).report("polls_only");
}

/// How many reads an auditor makes in a slot.
#[derive(Clone, Copy)]
enum Rate {
    Adaptive,
    Fixed(u64),
}

/// The counts of an auditor over all seeds.
#[derive(Default)]
struct AuditResult {
    reads: u64,
    violations: u64,
    bursts: u64,
    detected: u64,
    /// The sum of the delays from the start of a burst to its first violation, in slots.
    delay: f64,
}

impl AuditResult {
    fn report(&self, name: &str) {
        let figure = |what: &str, value: f64, unit: &str| {
            println!("figure audit_{name}_{what} {value:.4} {unit}");
        };
        let detected = as_f64(self.detected.max(1));
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
        figure("first_delay_s", self.delay / detected * slot, "s");
    }
}

/// Runs an auditor with all seeds.
fn run_all(rate: Rate) -> AuditResult {
    let mut result = AuditResult::default();
    for seed in 0..SEEDS {
        run(seed, rate, &mut result);
    }
    result
}

/// A table of which some reads of the head are stale during a burst.
struct StaleTable {
    table: FakeTable,
    previous_row: Option<Row>,
    rng: Rng,
}

impl StaleTable {
    fn new(seed: u64) -> Self {
        Self {
            table: FakeTable::default(),
            previous_row: None,
            rng: Rng::new(seed),
        }
    }

    /// Commits a new version of the head.
    fn raise_head(&mut self) {
        self.previous_row = self.current_row();
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

    /// Returns the head's row without staleness.
    fn current_row(&mut self) -> Option<Row> {
        let key = "config/head".to_owned();
        match self.table.call(&TableReq::Get { key }) {
            TableResp::Row(row) => row,
            _ => None,
        }
    }

    /// Returns the version of the head's row, which may be stale during a burst.
    fn read(&mut self, is_burst: bool) -> u64 {
        let is_stale = is_burst && self.rng.chance(STALE_PER_MILLE);
        let row = if is_stale {
            self.previous_row.clone()
        } else {
            self.current_row()
        };
        row.map_or(0, |row| row.version)
    }
}

/// Runs an auditor with one seed, and adds to the counts.
fn run(seed: u64, rate: Rate, result: &mut AuditResult) {
    let mut table = StaleTable::new(seed);
    // All auditors with the same seed meet the same bursts.
    let mut bursts = Rng::new(seed + 1_000);
    let (mut burst_end, mut burst_start, mut is_detected) = (0, 0, true);
    let mut reads = BASE_READS;
    let mut newest_seen = 0;
    for slot in 0..SLOTS {
        if slot % VERSION_SLOTS == 0 {
            table.raise_head();
            newest_seen = table.current_row().map_or(newest_seen, |row| row.version);
        }
        let begins_burst = bursts.chance(BURSTS_PER_MILLE);
        if begins_burst && slot >= burst_end {
            (burst_start, burst_end, is_detected) = (slot, slot + BURST_SLOTS, false);
            result.bursts += 1;
        }
        let n = match rate {
            Rate::Fixed(n) => n,
            Rate::Adaptive => reads,
        };
        let mut violations = 0;
        for i in 0..n {
            let version = table.read(slot < burst_end);
            result.reads += 1;
            if version < newest_seen {
                violations += 1;
                if !is_detected {
                    is_detected = true;
                    result.detected += 1;
                    result.delay += as_f64(slot - burst_start) + as_f64(i + 1) / as_f64(n);
                }
            }
            newest_seen = newest_seen.max(version);
        }
        result.violations += violations;
        reads = if violations > 0 {
            (reads * 2).min(MAX_READS)
        } else {
            (reads / 2).max(BASE_READS)
        };
    }
}

#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
fn as_f64(n: u64) -> f64 {
    n as f64
}
