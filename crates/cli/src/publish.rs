//! `lacewing publish`: shows the changes, submits them, and waits until they are in force.

use std::{
    env, process, thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use node::api::{
    ChangeKind, FileText, ItemChange, MemberVersion, OperatorReq, OperatorResp, Submitter,
};
use serde::Serialize;

use crate::{
    client::{Client, ClientError},
    exit::{Exit, failed},
    print,
};

/// The longest time to wait until all nodes have a version in force. Reachable nodes take a few seconds.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(15);
/// The interval of the calls that ask which nodes have the version in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The result of a publication.
#[derive(Serialize)]
struct Published {
    message: String,
    version: u64,
    changes: Vec<ItemChange>,
    nodes: Vec<NodeLine>,
    seconds: f64,
}

/// A node and the version that it has in force.
#[derive(Serialize)]
struct NodeLine {
    node: String,
    domain: String,
    version: Option<u64>,
    in_force: bool,
    heard_ms_ago: Option<u64>,
}

/// Returns the submitter of this command's calls. A resend with the same submitter is the same call.
pub(crate) fn submitter() -> Submitter {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since.map_or(0, |since| since.as_nanos());
    let author = env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    Submitter {
        id: format!("{author}-{:x}-{nanos:x}", process::id()),
        author,
    }
}

/// Publishes operator files. With `dry_run`, only shows what would change.
pub(crate) fn publish(client: &Client, files: &[FileText], dry_run: bool, json: bool) -> Exit {
    let by = submitter();
    let request = |base, dry_run| OperatorReq::Publish {
        by: by.clone(),
        base,
        files: files.to_vec(),
        dry_run,
    };
    let (base, changes) = match client.operator(&request(None, true)) {
        Ok(OperatorResp::Changes { version, changes }) => (Some(version), changes),
        Ok(OperatorResp::Failed { verdict, message }) => return failed(message, verdict),
        Ok(other) => return print::unexpected(&other),
        Err(e) => return failed(&e, e.exit()),
    };
    if dry_run {
        return show_changes(&changes, json);
    }
    if !json {
        show_changes(&changes, false);
    }
    if changes.is_empty() {
        return Exit::Done;
    }
    let started = Instant::now();
    match send(client, &request(base, false)) {
        Ok(OperatorResp::Done { message, version }) => {
            let nodes = wait(client, version, started);
            report(
                &Published {
                    message,
                    version,
                    changes,
                    nodes,
                    seconds: started.elapsed().as_secs_f64(),
                },
                json,
            )
        }
        Ok(OperatorResp::Failed { verdict, message }) => failed(message, verdict),
        Ok(other) => print::unexpected(&other),
        Err(e) => failed(&e, e.exit()),
    }
}

/// Sends a call, and resends it once if the answer was lost. The submitter's id makes both the same call.
fn send(client: &Client, req: &OperatorReq) -> Result<OperatorResp, ClientError> {
    match client.operator(req) {
        Err(ClientError::Lost { .. }) => client.operator(req),
        other => other,
    }
}

/// Prints the changes.
fn show_changes(changes: &[ItemChange], json: bool) -> Exit {
    if json {
        return print::json(&changes);
    }
    for change in changes {
        let mark = match change.kind {
            ChangeKind::Added => '+',
            ChangeKind::Changed => '~',
            ChangeKind::Removed => '-',
        };
        println!("{mark} {}", change.item);
        let is_changed = change.kind == ChangeKind::Changed;
        for key in change.keys.iter().filter(|_| is_changed) {
            let old = key.before.as_deref().unwrap_or("none");
            let new = key.after.as_deref().unwrap_or("none");
            println!("    {}: {old} -> {new}", key.key);
        }
    }
    if changes.is_empty() {
        println!("nothing changes");
    }
    Exit::Done
}

/// Waits until all listed nodes have the version in force, or until the timeout. Returns the latest state.
fn wait(client: &Client, version: u64, started: Instant) -> Vec<NodeLine> {
    let mut nodes = Vec::new();
    while version > 0 && started.elapsed() < IN_FORCE_TIMEOUT {
        match client.operator(&OperatorReq::InForce { version }) {
            Ok(OperatorResp::InForce { members, .. }) => {
                nodes = members.iter().map(node_line).collect();
                if members.iter().all(|member| member.in_force) {
                    break;
                }
            }
            Ok(OperatorResp::Failed { message, .. }) => {
                log::warn!("lacewing: where the version is in force is not known: {message}");
                break;
            }
            Ok(_) | Err(_) => {}
        }
        thread::sleep(POLL_INTERVAL);
    }
    nodes
}

fn node_line(member: &MemberVersion) -> NodeLine {
    NodeLine {
        node: member.node.to_string(),
        domain: member.domain.to_string(),
        version: member.version,
        in_force: member.in_force,
        heard_ms_ago: member.age_ms,
    }
}

/// Prints the result of a publication.
fn report(published: &Published, json: bool) -> Exit {
    if json {
        return print::json(published);
    }
    println!("{}", published.message);
    let count = published.nodes.iter().filter(|node| node.in_force).count();
    for node in &published.nodes {
        let state = match (node.in_force, node.version) {
            (true, _) => "in force".to_owned(),
            (false, Some(version)) => format!("not yet: has version {version}"),
            (false, None) => "not heard of: cut off, or gone".to_owned(),
        };
        println!("  {:<5} {:<10} {state}", node.node, node.domain);
    }
    println!(
        "version {} is in force on {count} of {} nodes after {:.1} s",
        published.version,
        published.nodes.len(),
        published.seconds
    );
    if count < published.nodes.len() {
        println!("a node that is cut off takes it when it is reached again, before it serves");
    }
    Exit::Done
}
