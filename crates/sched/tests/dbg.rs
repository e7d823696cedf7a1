//! debug
use std::time::Duration;
use fakes::cell::*;
use model::Size;
#[test]
fn dbg() {
    let load = LoadSpec { lasts: Duration::from_secs(10), factor: 0.12, cancelled: 0.05, ..LoadSpec::reminders() };
    for seed in 0..3 {
    let arrivals = generate(&load, seed);
    let report = Cell::new(CellSpec { arrivals: arrivals.clone(), kinds: load.kinds.clone(), hosts: 8, host_size: Size::new(32_000,131_072,0), seed, ..CellSpec::default()}).run();
    println!("{seed} {:?} starts {} wasted {} useful {} decisions {}", report.breaches, report.starts, report.wasted, report.useful, report.decisions);
    for b in &report.breaches { if let Breach::Unfinished(id) = b { for a in &arrivals { if a.id==*id { println!("{:?} {:?} kind {} steps {:?}", a.at, a.cancelled_at, a.kind, a.job.steps.iter().map(|s|(s.tasks,s.size,s.gang)).collect::<Vec<_>>()); } } } }
    let late = report.served.iter().filter(|s| s.took.is_none_or(|t| t>s.objective)).count();
    println!("served {} late {}", report.served.len(), late);
    }
}
