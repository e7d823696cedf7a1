//! Properties of versions, merges and recalls, checked on random histories with fixed seeds.

use std::time::Duration;

use config::{
    Change, ChangeError, Config, ConfigUpdate, Entry, Follower, FollowerAction, FollowerConfig,
    Head, Outcome, Proposal, RecallTarget, Snapshot, Submission,
};
use model::{Class, Kind, NodeId, Repeat, RequestPolicy, Size, Spread, Time, Unit};
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 11;
const ROUNDS: usize = 120;

fn service(name: &str, replicas: u32) -> Unit {
    let requests = RequestPolicy::default();
    let spread = Spread::Rack;
    unit(
        name,
        Kind::Service {
            replicas,
            spread,
            requests,
        },
    )
}

fn unit(name: &str, kind: Kind) -> Unit {
    Unit {
        name: name.to_owned(),
        team: "t".to_owned(),
        command: vec!["run".to_owned()],
        size: Size::new(1_000, 1, 0),
        class: Class::Standard,
        repeat: Repeat::Safe,
        attempts: 3,
        run_time: Duration::ZERO,
        kind,
    }
}

/// Returns a random number below `n`.
fn random_below(g: &mut Gen, n: usize) -> usize {
    usize::arbitrary(g) % n
}

/// Returns a random number from 1 to `n`.
fn random_up_to(g: &mut Gen, n: u32) -> u32 {
    u32::arbitrary(g) % n + 1
}

/// Returns a proposal that is based on the version of `config`.
fn proposal(config: &Config, changes: Vec<Change>) -> Proposal {
    Proposal {
        submission: Submission::new("", "ayla", changes),
        base: config.version(),
    }
}

/// Merges and applies changes. Returns the entry, or `None` if they are refused or have no effect.
fn commit(config: &mut Config, changes: Vec<Change>) -> Option<Entry> {
    let merge = config.merge(&[proposal(config, changes)]);
    let entry = merge.entry?;
    config.apply(&entry).expect("the entry follows");
    Some(entry)
}

fn random_change(g: &mut Gen, config: &Config) -> Change {
    let name = format!("s{}", random_below(g, 4));
    let batch = format!("b{}", random_below(g, 4));
    let settings = config.retained_settings(&name);
    let version = settings
        .get(random_below(g, settings.len().max(1)))
        .map_or(0, |setting| setting.version);
    let setting = RecallTarget::Setting {
        service: name.clone(),
        version,
    };
    match random_below(g, 8) {
        0 | 1 => Change::SetUnit(service(&name, random_up_to(g, 5))),
        2 | 3 => {
            let tasks = random_up_to(g, 50);
            Change::SetUnit(unit(&batch, Kind::Batch { tasks }))
        }
        4 => Change::Recall(setting),
        5 => Change::Recall(RecallTarget::Batch(batch)),
        6 => match config.recalls().keys().next() {
            Some(target) => Change::Lift(target.clone()),
            None => Change::RemoveUnit(name),
        },
        _ => Change::RemoveUnit(batch),
    }
}

/// Returns a random history of `n` entries, and the states before the first entry and after each one.
fn history(g: &mut Gen, n: usize) -> (Vec<Entry>, Vec<Config>) {
    let mut entries = Vec::new();
    let mut states = vec![Config::default()];
    while entries.len() < n {
        let mut config = states.last().expect("there is a first state").clone();
        let change = random_change(g, &config);
        if let Some(entry) = commit(&mut config, vec![change]) {
            entries.push(entry);
            states.push(config);
        }
    }
    (entries, states)
}

/// Reads, answers and own commits can reach a follower late and in any order. Its version must never
/// decrease, and its state must be the one that the history has at that version.
#[test]
fn the_version_of_a_follower_never_decreases() {
    let mut g = Gen::from_size_and_seed(30, SEED);
    for _ in 0..ROUNDS {
        let (entries, states) = history(&mut g, 30);
        let mut follower = Follower::new(FollowerConfig::default());
        let mut out = Vec::new();
        let mut version = 0;
        for step in 0..120_u64 {
            let at = random_below(&mut g, entries.len() + 1);
            let from = random_below(&mut g, at + 1);
            let row_version = at as u64 + 100;
            let head = Head {
                version: at as u64,
                row_version,
            };
            match random_below(&mut g, 7) {
                0 => follower.tick(Time::from_ms(step * 400), &mut out),
                1 => follower.head_read(Some(head), &mut out),
                2 => drop(follower.entries_read(&entries[from..at], &mut out)),
                3 => {
                    let config = states[at].clone();
                    let deleted_to = 0;
                    let snapshot = Snapshot { deleted_to, config };
                    follower.snapshot_read(Some(snapshot), &mut out);
                }
                4 => drop(follower.apply_update(ConfigUpdate::Entries(entries[from..at].to_vec()))),
                5 => drop(follower.apply_update(ConfigUpdate::Whole(Box::new(states[at].clone())))),
                _ if at > 0 => drop(follower.committed(&entries[at - 1], row_version)),
                _ => follower.read_failed(),
            }
            let now = follower.config().version();
            assert!(now >= version, "version {version} went down to {now}");
            version = now;
            assert_eq!(*follower.config(), states[usize::try_from(now).unwrap()]);
            if let Some(ConfigUpdate::Entries(newer)) = follower.update_after(now.saturating_sub(3))
            {
                let last = newer.last().map(|entry| entry.version);
                assert_eq!(last, Some(now));
            }
        }
    }
}

/// Applying an entry to any version but the preceding one would make the states of nodes differ. Such an entry
/// must be refused and must leave the state unchanged.
#[test]
fn only_the_next_entry_applies() {
    let mut g = Gen::from_size_and_seed(30, SEED + 1);
    for _ in 0..ROUNDS {
        let (entries, states) = history(&mut g, 12);
        let at = random_below(&mut g, states.len());
        for (i, entry) in entries.iter().enumerate() {
            let mut config = states[at].clone();
            let applied = config.apply(entry).is_ok();
            assert_eq!(applied, i == at);
            assert_eq!(config, states[if applied { at + 1 } else { at }]);
        }
    }
}

/// Concurrent proposals reach the publishing node in any order. If they merge into one entry, the resulting
/// state must not depend on that order.
#[test]
fn merged_changes_commute() {
    let mut g = Gen::from_size_and_seed(30, SEED + 2);
    let mut merged = 0;
    for _ in 0..ROUNDS {
        let (_, states) = history(&mut g, 10);
        let config = states.last().unwrap();
        let one = proposal(config, vec![random_change(&mut g, config)]);
        let two = proposal(config, vec![random_change(&mut g, config)]);
        let ab = config.merge(&[one.clone(), two.clone()]);
        let ba = config.merge(&[two, one]);
        if ab.outcomes != [Outcome::Merged, Outcome::Merged] || ba.outcomes != ab.outcomes {
            continue;
        }
        merged += 1;
        let [mut x, mut y] = [config.clone(), config.clone()];
        x.apply(&ab.entry.unwrap()).unwrap();
        y.apply(&ba.entry.unwrap()).unwrap();
        assert_eq!((x.units(), x.recalls()), (y.units(), y.recalls()));
    }
    assert!(merged > ROUNDS / 10, "only {merged} pairs were merged");
}

/// A recall must not change any item but the recalled one, and must prevent the recalled content from being
/// published again.
#[test]
fn recalls_are_exact_and_hold() {
    let mut g = Gen::from_size_and_seed(30, SEED + 3);
    let (mut recalls, mut effective) = (0, 0);
    for _ in 0..ROUNDS * 4 {
        let (_, states) = history(&mut g, 15);
        let before = states.last().unwrap().clone();
        let change = random_change(&mut g, &before);
        let Change::Recall(target) = &change else {
            continue;
        };
        let mut after = before.clone();
        if commit(&mut after, vec![change.clone()]).is_none() {
            continue;
        }
        recalls += 1;
        effective += u32::from(before.units() != after.units());
        let named = match target {
            RecallTarget::Batch(name) => name.as_str(),
            RecallTarget::Setting { service, .. } => service.as_str(),
            RecallTarget::Worker(_) => "",
        };
        let others = |config: &Config| {
            let units = config.units().clone().into_iter();
            units.filter(|(name, _)| name != named).collect::<Vec<_>>()
        };
        assert_eq!(others(&before), others(&after));
        let mut recalled = before.recalls().clone();
        recalled.insert(target.clone(), after.recalls()[target].clone());
        assert_eq!(*after.recalls(), recalled);
        for content in &after.recalls()[target].contents {
            assert_ne!(after.units().get(&content.name), Some(content));
            let again = proposal(&after, vec![Change::SetUnit(content.clone())]);
            let outcome = after.merge(&[again]).outcomes.pop();
            let refused = matches!(
                outcome,
                Some(Outcome::Refused(ChangeError::Recalled { .. }))
            );
            assert!(refused, "{outcome:?}");
        }
    }
    assert!(
        recalls > 20 && effective > 10,
        "only {recalls} recalls, {effective} with effect"
    );
}

/// A starting node must not read the whole history, most of which is deleted: it reads the head, the
/// snapshot and the entries after it.
#[test]
fn a_new_node_reads_a_bounded_amount() {
    let mut g = Gen::from_size_and_seed(30, SEED + 4);
    let (entries, states) = history(&mut g, 700);
    let kept_from = 500;
    let mut follower = Follower::new(FollowerConfig::default());
    let mut actions = Vec::new();
    follower.tick(Time::ZERO, &mut actions);
    let mut reads = 0;
    while let Some(action) = actions.pop() {
        reads += 1;
        match action {
            FollowerAction::Head => {
                let (version, row_version) = (700, 1);
                follower.head_read(
                    Some(Head {
                        version,
                        row_version,
                    }),
                    &mut actions,
                );
            }
            FollowerAction::Snapshot => {
                let (deleted_to, config) = (kept_from as u64, states[640].clone());
                follower.snapshot_read(Some(Snapshot { deleted_to, config }), &mut actions);
            }
            FollowerAction::Entries { after, limit } => {
                let from = usize::try_from(after).unwrap().max(kept_from);
                let to = (from + limit as usize).min(entries.len());
                follower.entries_read(&entries[from..to], &mut actions);
            }
            FollowerAction::Peer { .. } => unreachable!("no peer was heard"),
        }
    }
    assert_eq!(*follower.config(), states[700]);
    assert_eq!(reads, 3);
}

/// A node that starts without access to the table must not serve with an outdated configuration: it waits
/// until it has the version of the newest reachable peer.
#[test]
fn a_node_that_starts_without_the_table_waits_for_its_newest_peer() {
    let mut g = Gen::from_size_and_seed(30, SEED + 5);
    let (entries, _) = history(&mut g, 9);
    let mut follower = Follower::new(FollowerConfig::default());
    let mut actions = Vec::new();
    let second = |n: u64| Time::from_ms(n * 1_000);
    follower.tick(second(0), &mut actions);
    follower.read_failed();
    follower.set_peer_version(second(1), NodeId(2), 0, &mut actions);
    follower.tick(second(2), &mut actions);
    assert!(
        !follower.is_ready(),
        "a peer without a version proves nothing"
    );
    follower.set_peer_version(second(3), NodeId(3), 5, &mut actions);
    follower.apply_update(ConfigUpdate::Entries(entries[..5].to_vec()));
    follower.set_peer_version(second(3), NodeId(4), 9, &mut actions);
    follower.tick(second(4), &mut actions);
    assert!(
        !follower.is_ready(),
        "a peer that is reachable has a newer one"
    );
    assert!(actions.contains(&FollowerAction::Peer {
        node: NodeId(4),
        after: 5
    }));
    follower.apply_update(ConfigUpdate::Entries(entries.clone()));
    follower.tick(second(5), &mut actions);
    assert!(follower.is_ready());
    assert_eq!(follower.config().version(), 9);
}
