//! The target load: services, and batches that keep task starts at the peak rate.

use std::{collections::BTreeMap, fmt::Write as _, time::Duration};

use node::api::{FileText, OperatorReq, Submitter};

/// The target's peak rate of task starts, per second over 10 domains.
const STARTS_PER_S: u32 = 140;
/// The mean run time of a batch's tasks.
pub(crate) const RUN_TIME: Duration = Duration::from_secs(50);
/// The interval at which batches are published.
pub(crate) const BATCH_INTERVAL: Duration = Duration::from_secs(5);
/// The target's number of teams.
const TEAM_COUNT: u32 = 63;
/// The number of replicas of one service in each domain.
const REPLICAS_PER_DOMAIN: u32 = 2;

/// Returns the run times of the batches' tasks for the fake workers, by batch name.
pub(crate) fn run_times(batches: u32) -> BTreeMap<String, Duration> {
    (0..batches).map(|n| (batch_name(n), RUN_TIME)).collect()
}

fn batch_name(n: u32) -> String {
    format!("batch-{n}")
}

/// Returns the configuration of the `n`th team, modulo the number of teams.
fn team(n: u32) -> String {
    format!(
        "[team]\nname = \"team-{}\"\nquota = {{ processors = 100000.0, memory_mb = 100000000 }}\n",
        n % TEAM_COUNT
    )
}

/// Returns the call that publishes the services. Their replicas are a fifth of the running tasks.
pub(crate) fn services(domains: u32, workers: u32) -> OperatorReq {
    // 176 of 880 tasks in a domain of 120 workers are replicas.
    let per_domain = workers * 176 / 120;
    let count = per_domain / REPLICAS_PER_DOMAIN;
    let files = (0..TEAM_COUNT).map(|n| {
        let mut text = team(n);
        for service in (0..count).filter(|service| service % TEAM_COUNT == n) {
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

/// Returns the call that publishes batch number `n`. Its size keeps task starts at the peak rate until
/// the next batch.
pub(crate) fn batch(n: u32, domains: u32, workers: u32) -> OperatorReq {
    let per_domain = STARTS_PER_S * workers / 120 / 10;
    let tasks = per_domain * domains * u32::try_from(BATCH_INTERVAL.as_secs()).unwrap_or(1);
    let name = batch_name(n);
    let mut text = team(n);
    let _ = write!(
        text,
        "[[batch]]\nname = \"{name}\"\nteam = \"team-{}\"\ncommand = [\"run\"]\n\
         size = {{ processors = 2.0, memory_mb = 4096 }}\nclass = \"standard\"\n\
         tasks = {tasks}\nrepeat = \"safe\"\nrun_time_s = {}\n",
        n % TEAM_COUNT,
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
