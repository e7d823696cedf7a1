//! How soon a change is in force at 80 nodes in 10 failure domains, one of them cut off from the
//! platform, and what that costs. The baseline is the same run without news between nodes.
//!
//! The nodes are the daemon's own machines, polling and sending heartbeats as they do, on virtual time.

#[path = "../../node/tests/fleet/mod.rs"]
#[expect(dead_code, reason = "the sessions of the node's tests use the rest")]
mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fakes::Rng;
use fleet::{Fleet, Used, domain};
use model::{NodeId, Time};
use node::{
    OperatorId,
    api::{FileText, OperatorReq, OperatorResp, Submitter},
};

const SEED: u64 = 5;
const DOMAINS: u32 = 10;
const NODES_PER_DOMAIN: u32 = 8;
const NODES: u32 = DOMAINS * NODES_PER_DOMAIN;
/// The domain that is cut off from the platform.
const CUT: u32 = 10;
const SETTLE: Duration = Duration::from_secs(30);
/// The mean interval of changes at 3,200 a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(27);
const CHANGES: u32 = 20;
/// A burst of 20 changes within a second follows each ten changes.
const BURST_EVERY: u32 = 10;
const BURST: u32 = 20;
const LAST_WAIT: Duration = Duration::from_secs(30);
const UNITS: u32 = 200;

fn main() {
    run("", true);
    run("poll_only_", false);
}

/// One change: its call and when it was made.
struct Made {
    call: OperatorId,
    at: Time,
}

fn run(prefix: &str, gossip: bool) {
    let mut fleet = Fleet::new(DOMAINS, NODES_PER_DOMAIN, SEED);
    fleet.gossip = gossip;
    let mut rng = Rng::new(SEED);
    fleet.run(SETTLE);
    let first = fleet.ask(
        1,
        publish("all", &(0..UNITS).map(|i| (i, 1)).collect::<Vec<_>>()),
    );
    fleet.run(SETTLE);
    assert!(matches!(
        fleet.answers.get(&first),
        Some(OperatorResp::Done { .. })
    ));
    fleet.cut.insert(domain(CUT));
    let (from, used) = (fleet.now, fleet.used);
    let made = change_all(&mut fleet, &mut rng);
    fleet.run(LAST_WAIT);
    report(prefix, &fleet, &made, from, used);
}

fn change_all(fleet: &mut Fleet, rng: &mut Rng) -> Vec<Made> {
    let mut made = Vec::new();
    let mut replicas = 1;
    for i in 0..CHANGES {
        let burst = i % BURST_EVERY == BURST_EVERY - 1;
        for _ in 0..if burst { BURST } else { 1 } {
            replicas += 1;
            let unit = u32::try_from(rng.below(u64::from(UNITS))).expect("a small number");
            let req = publish(&format!("c{replicas}"), &[(unit, replicas)]);
            let call = fleet.ask(reachable_node(rng), req);
            made.push(Made {
                call,
                at: fleet.now,
            });
            fleet.run(Duration::from_secs(1) / BURST);
        }
        fleet.run(rng.span(CHANGE_INTERVAL / 2, CHANGE_INTERVAL * 3 / 2));
    }
    made
}

/// A node that the platform can be reached from: the balancer does not send operators to others.
fn reachable_node(rng: &mut Rng) -> u32 {
    loop {
        let node = u32::try_from(rng.below(u64::from(NODES))).expect("a small number");
        if node % DOMAINS + 1 != CUT {
            return node + 1;
        }
    }
}

fn publish(id: &str, units: &[(u32, u32)]) -> OperatorReq {
    let mut text =
        "[team]\nname = \"t\"\nquota = { processors = 100000, memory_mb = 100000 }\n".to_owned();
    for (unit, replicas) in units {
        text += &service(*unit, *replicas);
    }
    let path = "lacewing.toml".to_owned();
    OperatorReq::Publish {
        by: Submitter {
            id: id.to_owned(),
            author: "bench".to_owned(),
        },
        base: None,
        files: vec![FileText { path, text }],
        dry_run: false,
    }
}

fn service(unit: u32, replicas: u32) -> String {
    format!(
        "[[service]]\nname = \"service-{unit}\"\nteam = \"t\"\ncommand = [\"serve\", \"desk\"]\n\
         size = {{ processors = 1, memory_mb = 1 }}\nclass = \"standard\"\n\
         replicas = {replicas}\nspread = \"failure-domain\"\n"
    )
}

fn report(prefix: &str, fleet: &Fleet, made: &[Made], from: Time, before: Used) {
    let mut seen: BTreeMap<NodeId, Vec<(u64, Time)>> = BTreeMap::new();
    for (at, node, version) in &fleet.seen {
        seen.entry(*node).or_default().push((*version, *at));
    }
    let mut spans = Vec::new();
    let mut cut_spans = Vec::new();
    let (mut refused, mut missing) = (0, 0);
    let mut versions = std::collections::BTreeSet::new();
    for change in made {
        let Some(OperatorResp::Done { version, .. }) = fleet.answers.get(&change.call) else {
            refused += 1;
            continue;
        };
        versions.insert(*version);
        for (node, had) in &seen {
            let is_cut = (node.0 - 1) % DOMAINS + 1 == CUT;
            match had.iter().find(|(v, _)| v >= version) {
                None => missing += 1,
                Some((_, at)) => {
                    let span = at.since(change.at).as_secs_f64();
                    spans.push(span);
                    if is_cut {
                        cut_spans.push(span);
                    }
                }
            }
        }
    }
    let seconds = fleet.now.since(from).as_secs_f64();
    let nodes = f64::from(NODES);
    let used = fleet.used;
    let config_bytes = used.table_bytes - before.table_bytes + used.news_bytes - before.news_bytes;
    let peer_bytes = used.peer_bytes - before.peer_bytes;
    let reads = used.table_reads - before.table_reads;
    let figure = |name: &str, value: f64, unit: &str| {
        println!("figure {prefix}{name} {value:.3} {unit}");
    };
    figure("config_in_force_p50_s", quantile(&mut spans, 0.5), "s");
    figure("config_in_force_p99_s", quantile(&mut spans, 0.99), "s");
    figure("config_in_force_max_s", quantile(&mut spans, 1.0), "s");
    figure(
        "config_in_force_cut_domain_p99_s",
        quantile(&mut cut_spans, 0.99),
        "s",
    );
    figure("config_never_in_force", f64::from(missing), "node-changes");
    figure("changes", as_f64(made.len() as u64), "changes");
    figure("changes_refused", f64::from(refused), "changes");
    figure("versions", as_f64(versions.len() as u64), "versions");
    figure("table_reads_per_s", as_f64(reads) / seconds, "1/s");
    figure(
        "bytes_per_node_per_s",
        as_f64(config_bytes) / seconds / nodes,
        "B/s",
    );
    figure(
        "all_peer_bytes_per_node_per_s",
        as_f64(peer_bytes) / seconds / nodes,
        "B/s",
    );
}

#[expect(clippy::cast_precision_loss, reason = "the counts are far below 2^52")]
fn as_f64(n: u64) -> f64 {
    n as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "an index into a list of moderate length"
)]
fn quantile(spans: &mut [f64], q: f64) -> f64 {
    spans.sort_by(f64::total_cmp);
    let at = ((spans.len() as f64 * q).ceil() as usize).clamp(1, spans.len().max(1)) - 1;
    spans.get(at).copied().unwrap_or(f64::NAN)
}
