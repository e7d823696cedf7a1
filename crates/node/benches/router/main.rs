//! Benchmarks for callers' requests: the proxy on loopback compared with direct calls, and the router's
//! policy on virtual time compared with a simple baseline policy.

mod loopback;
mod policy;

use std::time::Duration;

/// Prints one figure.
fn figure(name: &str, value: f64, unit: &str) {
    println!("figure {name} {value:.3} {unit}");
}

/// Returns a percentile of sorted durations in milliseconds, with `part` between 0 and 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "an index into a list that fits in memory"
)]
fn percentile_ms(sorted: &[Duration], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let i = (last as f64 * part).round() as usize;
    sorted
        .get(i)
        .map_or(0.0, |span| span.as_secs_f64() * 1_000.0)
}

fn main() {
    // `cargo test` runs benches with `--test`. There is nothing to test here.
    if std::env::args().any(|arg| arg == "--test") {
        return;
    }
    loopback::run();
    policy::interactive();
    policy::outage();
    policy::regions();
}
