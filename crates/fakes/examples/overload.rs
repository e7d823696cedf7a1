//! Times the scheduler's passes over a long line: `overload HOSTS FACTOR SECONDS`.

use std::{
    env,
    time::{Duration, Instant},
};

use fakes::cell::{Cell, CellSpec, LoadSpec, generate};
use model::Size;

fn main() {
    let words: Vec<f64> = env::args().skip(1).filter_map(|w| w.parse().ok()).collect();
    let [hosts, factor, seconds] = words[..] else {
        eprintln!("usage: overload HOSTS FACTOR SECONDS");
        return;
    };
    let load = LoadSpec {
        lasts: Duration::from_secs_f64(seconds),
        factor,
        ..LoadSpec::reminders()
    };
    let arrivals = generate(&load, 1);
    let jobs = arrivals.len();
    let spec = CellSpec {
        arrivals,
        kinds: load.kinds,
        nodes: 10,
        hosts: hosts as usize,
        host_size: Size::new(32_000, 131_072, 0),
        rack: 12,
        seed: 1,
        ..CellSpec::default()
    };
    let began = Instant::now();
    let report = Cell::new(spec).run();
    let took = began.elapsed();
    println!(
        "{jobs} jobs, {} starts, {} decisions, {took:?}, breaches {}",
        report.starts,
        report.decisions,
        report.breaches.len()
    );
}
