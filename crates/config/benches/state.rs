//! Measures the configuration at the target size: the bytes of a snapshot, and the processor time of a
//! change.
//!
//! The baseline is the same configuration without the earlier contents of its units.

use std::time::{Duration, Instant};

use config::{Change, Config, Proposal, Submission};
use model::{Class, Kind, Repeat, RequestPolicy, Size, Spread, Team, Unit};
use store::encode;

const TEAMS: u32 = 63;
const SERVICES: u32 = 400;
const BATCHES: u32 = 1_000;
/// The number of changes in a day.
const CHANGES: u32 = 3_200;

fn main() {
    let config = initial_config();
    report("state", &config, 1);
    let (config, elapsed) = after_a_day(config);
    report("state_after_a_day", &config, u64::from(CHANGES));
    let micros = elapsed.as_secs_f64() * 1e6 / f64::from(CHANGES);
    println!("figure change_merged_and_applied {micros:.1} us");
}

fn report(name: &str, config: &Config, versions: u64) {
    println!("figure {name}_bytes {} B", encode(config).len());
    assert!(config.version() >= versions);
}

/// Returns a configuration with all teams, services and batches, each set once.
fn initial_config() -> Config {
    let teams = (0..TEAMS).map(|i| {
        Change::SetTeam(Team {
            name: format!("team-{i}"),
            quota: Size::new(1_000_000, 1_000_000, 50),
        })
    });
    let services = (0..SERVICES).map(|i| Change::SetUnit(service(i, 1)));
    let batches = (0..BATCHES).map(|i| Change::SetUnit(batch(i)));
    let mut config = Config::default();
    submit(
        &mut config,
        "fill",
        teams.chain(services).chain(batches).collect(),
    );
    config
}

/// Applies the changes of a day, by which each service gets new content eight times. Returns the
/// configuration and the elapsed time.
fn after_a_day(mut config: Config) -> (Config, Duration) {
    let started = Instant::now();
    for i in 0..CHANGES {
        let change = Change::SetUnit(service(i % SERVICES, i + 2));
        submit(&mut config, &format!("change-{i}"), vec![change]);
    }
    (config, started.elapsed())
}

/// Merges and applies the changes as one entry.
fn submit(config: &mut Config, id: &str, changes: Vec<Change>) {
    let proposal = Proposal {
        submission: Submission::new(id, "bench", changes),
        base: config.version(),
    };
    let entry = config
        .merge(&[proposal])
        .entry
        .expect("the change has an effect");
    config.apply(&entry).expect("the entry follows");
}

fn service(i: u32, replicas: u32) -> Unit {
    let kind = Kind::Service {
        replicas,
        spread: Spread::FailureDomain,
        requests: RequestPolicy::default(),
    };
    unit(format!("service-{i}"), i, kind)
}

fn batch(i: u32) -> Unit {
    unit(format!("batch-{i}"), i, Kind::Batch { tasks: 40 })
}

fn unit(name: String, i: u32, kind: Kind) -> Unit {
    Unit {
        command: vec!["run".to_owned(), "--for".to_owned(), name.clone()],
        name,
        team: format!("team-{}", i % TEAMS),
        size: Size::new(1_000, 2_048, 0),
        class: Class::Standard,
        repeat: Repeat::Safe,
        attempts: 3,
        run_time: Duration::from_secs(60),
        kind,
    }
}
