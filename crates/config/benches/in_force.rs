//! Measures how soon a change is in force at 80 nodes in 10 failure domains, one of them cut off from the
//! platform, and the traffic that this takes. The baseline is the same run without configuration updates
//! between nodes.
//!
//! The nodes are the state machines of the daemon. They poll and send heartbeats as the daemon does, on
//! virtual time.

#[path = "../../node/tests/fleet/mod.rs"]
#[expect(dead_code, reason = "the sessions of the node's tests use the rest")]
mod fleet;

use std::{collections::BTreeMap, time::Duration};

use fakes::Rng;
use fleet::{Fleet, Traffic, domain};
use model::{NodeId, Time};
use node::{
    OperatorCallId,
    api::{FileText, OperatorReq, OperatorResp, Submitter},
};

const SEED: u64 = 5;
const DOMAINS: u32 = 10;
const NODES_PER_DOMAIN: u32 = 8;
const NODES: u32 = DOMAINS * NODES_PER_DOMAIN;
/// The number of the failure domain that is cut off from the platform.
const CUT_DOMAIN: u32 = 10;
/// How long the fleet runs after its start, and again after the first publication.
const SETTLE_TIME: Duration = Duration::from_secs(30);
/// The mean interval of changes at 3,200 a day.
const CHANGE_INTERVAL: Duration = Duration::from_secs(27);
/// The number of rounds of changes, which are single changes or bursts.
const CHANGES: u32 = 20;
/// Every tenth round of changes is a burst.
const BURST_INTERVAL: u32 = 10;
/// The number of changes in a burst, which are made within one second.
const BURST_SIZE: u32 = 20;
/// How long the fleet runs after the last change.
const FINAL_WAIT: Duration = Duration::from_secs(30);
const UNITS: u32 = 200;

fn main() {
    run("", true);
    run("poll_only_", false);
}

/// A change that was made: its call and the time of the call.
struct MadeChange {
    call: OperatorCallId,
    at: Time,
}

fn run(prefix: &str, gossip: bool) {
    let mut fleet = Fleet::new(DOMAINS, NODES_PER_DOMAIN, SEED);
    fleet.has_gossip = gossip;
    let mut rng = Rng::new(SEED);
    fleet.run(SETTLE_TIME);
    let first = fleet.ask(
        1,
        publish("all", &(0..UNITS).map(|i| (i, 1)).collect::<Vec<_>>()),
    );
    fleet.run(SETTLE_TIME);
    assert!(matches!(
        fleet.answers.get(&first),
        Some(OperatorResp::Done { .. })
    ));
    fleet.cut.insert(domain(CUT_DOMAIN));
    let (from, used) = (fleet.now, fleet.traffic);
    let made = make_changes(&mut fleet, &mut rng);
    fleet.run(FINAL_WAIT);
    report(prefix, &fleet, &made, from, used);
}

/// Makes all changes at random nodes that can reach the platform.
fn make_changes(fleet: &mut Fleet, rng: &mut Rng) -> Vec<MadeChange> {
    let mut made = Vec::new();
    let mut replicas = 1;
    for i in 0..CHANGES {
        let is_burst = i % BURST_INTERVAL == BURST_INTERVAL - 1;
        for _ in 0..if is_burst { BURST_SIZE } else { 1 } {
            replicas += 1;
            let unit = u32::try_from(rng.below(u64::from(UNITS))).expect("a small number");
            let req = publish(&format!("c{replicas}"), &[(unit, replicas)]);
            let call = fleet.ask(reachable_node(rng), req);
            made.push(MadeChange {
                call,
                at: fleet.now,
            });
            fleet.run(Duration::from_secs(1) / BURST_SIZE);
        }
        fleet.run(rng.span(CHANGE_INTERVAL / 2, CHANGE_INTERVAL * 3 / 2));
    }
    made
}

/// Returns a random node that can reach the platform. The load balancer does not send operators to others.
fn reachable_node(rng: &mut Rng) -> u32 {
    loop {
        let node = u32::try_from(rng.below(u64::from(NODES))).expect("a small number");
        if node % DOMAINS + 1 != CUT_DOMAIN {
            return node + 1;
        }
    }
}

/// Returns a publication of services with the given numbers of replicas.
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

/// Prints the delays until the changes were in force, and the traffic since `from`.
fn report(prefix: &str, fleet: &Fleet, made: &[MadeChange], from: Time, before: Traffic) {
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
        for (node, versions_seen) in &seen {
            let is_cut = (node.0 - 1) % DOMAINS + 1 == CUT_DOMAIN;
            match versions_seen.iter().find(|(v, _)| v >= version) {
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
    let used = fleet.traffic;
    let config_bytes =
        used.table_bytes - before.table_bytes + used.update_bytes - before.update_bytes;
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
/// Returns the quantile `q` of the spans, which are sorted in place.
fn quantile(spans: &mut [f64], q: f64) -> f64 {
    spans.sort_by(f64::total_cmp);
    let at = ((spans.len() as f64 * q).ceil() as usize).clamp(1, spans.len().max(1)) - 1;
    spans.get(at).copied().unwrap_or(f64::NAN)
}
