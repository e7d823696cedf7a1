//! The target's load: services, and batches that keep the starts at the peak's rate.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use node::api::{FileText, OperatorReq, Submitter};

/// The target's starts at the peak, per second over 10 domains.
const STARTS_PER_S: u32 = 140;
/// How long a batch's tasks run on average.
pub(crate) const RUN_TIME: Duration = Duration::from_secs(50);
/// How often batches are published.
pub(crate) const BATCH_EVERY: Duration = Duration::from_secs(5);
/// The target's teams.
const TEAMS: u32 = 63;
/// The replicas of one service: two in each of the target's domains.
const REPLICAS_PER_DOMAIN: u32 = 2;

/// The run times that the stand-in workers know, by name.
pub(crate) fn run_times(batches: u32) -> BTreeMap<String, Duration> {
    (0..batches).map(|n| (batch_name(n), RUN_TIME)).collect()
}

fn batch_name(n: u32) -> String {
    format!("batch-{n}")
}

fn team(n: u32) -> String {
    format!(
        "[team]\nname = \"team-{}\"\nquota = {{ processors = 100000.0, memory_mb = 100000000 }}\n",
        n % TEAMS
    )
}

/// Publishes the services: a fifth of the tasks that run.
pub(crate) fn services(domains: u32, workers: u32) -> OperatorReq {
    // 176 of 880 tasks in a domain of 120 workers are replicas.
    let per_domain = workers * 176 / 120;
    let count = per_domain / REPLICAS_PER_DOMAIN;
    let files = (0..TEAMS).map(|n| {
        let mut text = team(n);
        for service in (0..count).filter(|service| service % TEAMS == n) {
            let replicas = REPLICAS_PER_DOMAIN * domains;
            // Writing to a string does not fail.
            let _ = write!(
                text,
                "[[service]]\nname = \"service-{service}\"\nteam = \"team-{n}\"\n\
                 command = [\"serve\"]\nsize = {{ processors = 2.0, memory_mb = 2048 }}\n\
                 class = \"interactive\"\nreplicas = {replicas}\nspread = \"failure-domain\"\n"
            );
        }
        file(&format!("services-{n}"), text)
    });
    publish("services", files.collect())
}

/// Publishes the batch number `n`, which keeps the starts at the peak's rate up to the next one.
pub(crate) fn batch(n: u32, domains: u32, workers: u32) -> OperatorReq {
    let per_domain = STARTS_PER_S * workers / 120 / 10;
    let tasks = per_domain * domains * u32::try_from(BATCH_EVERY.as_secs()).unwrap_or(1);
    let name = batch_name(n);
    let mut text = team(n);
    let _ = write!(
        text,
        "[[batch]]\nname = \"{name}\"\nteam = \"team-{}\"\ncommand = [\"run\"]\n\
         size = {{ processors = 2.0, memory_mb = 4096 }}\nclass = \"standard\"\n\
         tasks = {tasks}\nrepeat = \"safe\"\nrun_time_s = {}\n",
        n % TEAMS,
        RUN_TIME.as_secs()
    );
    publish(&name, vec![file(&name, text)])
}

fn file(path: &str, text: String) -> FileText {
    FileText {
        path: format!("{path}/lacewing.toml"),
        text,
    }
}

fn publish(id: &str, files: Vec<FileText>) -> OperatorReq {
    OperatorReq::Publish {
        by: Submitter {
            id: id.to_owned(),
            author: "bench".to_owned(),
        },
        base: None,
        files,
        dry_run: false,
    }
}
