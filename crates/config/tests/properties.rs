//! Properties of versions, merges and recalls, over seeded random histories.

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

fn below(g: &mut Gen, n: usize) -> usize {
    usize::arbitrary(g) % n
}

fn up_to(g: &mut Gen, n: u32) -> u32 {
    u32::arbitrary(g) % n + 1
}

fn proposal(config: &Config, changes: Vec<Change>) -> Proposal {
    Proposal {
        submission: Submission::new("", "ayla", changes),
        base: config.version(),
    }
}

fn make(config: &mut Config, changes: Vec<Change>) -> Option<Entry> {
    let merge = config.merge(&[proposal(config, changes)]);
    let entry = merge.entry?;
    config.apply(&entry).expect("the entry follows");
    Some(entry)
}

fn random_change(g: &mut Gen, config: &Config) -> Change {
    let name = format!("s{}", below(g, 4));
    let batch = format!("b{}", below(g, 4));
    let settings = config.retained_settings(&name);
    let version = settings
        .get(below(g, settings.len().max(1)))
        .map_or(0, |setting| setting.version);
    let setting = RecallTarget::Setting {
        service: name.clone(),
        version,
    };
    match below(g, 8) {
        0 | 1 => Change::SetUnit(service(&name, up_to(g, 5))),
        2 | 3 => {
            let tasks = up_to(g, 50);
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

/// A random history: the entries, and the state after each of them.
fn history(g: &mut Gen, n: usize) -> (Vec<Entry>, Vec<Config>) {
    let mut entries = Vec::new();
    let mut states = vec![Config::default()];
    while entries.len() < n {
        let mut config = states.last().expect("there is a first state").clone();
        let change = random_change(g, &config);
        if let Some(entry) = make(&mut config, vec![change]) {
            entries.push(entry);
            states.push(config);
        }
    }
    (entries, states)
}

/// Whatever arrives, in whatever order: the version never goes down, and the state at a version is
/// the state that the history has there.
#[test]
fn a_follower_only_rises() {
    let mut g = Gen::from_size_and_seed(30, SEED);
    for _ in 0..ROUNDS {
        let (entries, states) = history(&mut g, 30);
        let mut follower = Follower::new(FollowerConfig::default());
        let mut out = Vec::new();
        let mut version = 0;
        for step in 0..120_u64 {
            let at = below(&mut g, entries.len() + 1);
            let from = below(&mut g, at + 1);
            let row_version = at as u64 + 100;
            let head = Head {
                version: at as u64,
                row_version,
            };
            match below(&mut g, 7) {
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
            if let Some(ConfigUpdate::Entries(news)) = follower.update_after(now.saturating_sub(3))
            {
                let last = news.last().map(|entry| entry.version);
                assert_eq!(last, Some(now));
            }
        }
    }
}

/// An entry applies only as the next version; any other leaves the state as it was.
#[test]
fn only_the_next_entry_applies() {
    let mut g = Gen::from_size_and_seed(30, SEED + 1);
    for _ in 0..ROUNDS {
        let (entries, states) = history(&mut g, 12);
        let at = below(&mut g, states.len());
        for (i, entry) in entries.iter().enumerate() {
            let mut config = states[at].clone();
            let applied = config.apply(entry).is_ok();
            assert_eq!(applied, i == at);
            assert_eq!(config, states[if applied { at + 1 } else { at }]);
        }
    }
}

/// Changes of different items merge into one entry, and their order does not matter.
#[test]
fn changes_of_different_items_commute() {
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

/// A recall touches what it names, and nothing else; content that it names cannot come back.
#[test]
fn recalls_are_exact_and_hold() {
    let mut g = Gen::from_size_and_seed(30, SEED + 3);
    let (mut recalls, mut undone) = (0, 0);
    for _ in 0..ROUNDS * 4 {
        let (_, states) = history(&mut g, 15);
        let before = states.last().unwrap().clone();
        let change = random_change(&mut g, &before);
        let Change::Recall(target) = &change else {
            continue;
        };
        let mut after = before.clone();
        if make(&mut after, vec![change.clone()]).is_none() {
            continue;
        }
        recalls += 1;
        undone += u32::from(before.units() != after.units());
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
        recalls > 20 && undone > 10,
        "only {recalls} recalls, {undone} with effect"
    );
}

/// A node that starts reads the snapshot and what follows it, however long the history is.
#[test]
fn a_new_node_reads_a_bounded_amount() {
    let mut g = Gen::from_size_and_seed(30, SEED + 4);
    let (entries, states) = history(&mut g, 700);
    let kept_from = 500;
    let mut follower = Follower::new(FollowerConfig::default());
    let mut wants = Vec::new();
    follower.tick(Time::ZERO, &mut wants);
    let mut reads = 0;
    while let Some(want) = wants.pop() {
        reads += 1;
        match want {
            FollowerAction::Head => {
                let (version, row_version) = (700, 1);
                follower.head_read(
                    Some(Head {
                        version,
                        row_version,
                    }),
                    &mut wants,
                );
            }
            FollowerAction::Snapshot => {
                let (deleted_to, config) = (kept_from as u64, states[640].clone());
                follower.snapshot_read(Some(Snapshot { deleted_to, config }), &mut wants);
            }
            FollowerAction::Entries { after, limit } => {
                let from = usize::try_from(after).unwrap().max(kept_from);
                let to = (from + limit as usize).min(entries.len());
                follower.entries_read(&entries[from..to], &mut wants);
            }
            FollowerAction::Peer { .. } => unreachable!("no peer was heard"),
        }
    }
    assert_eq!(*follower.config(), states[700]);
    assert_eq!(reads, 3);
}

/// A node that starts cut off from the table serves only with what its newest reachable peer has.
#[test]
fn a_node_that_starts_cut_off_waits_for_its_newest_peer() {
    let mut g = Gen::from_size_and_seed(30, SEED + 5);
    let (entries, _) = history(&mut g, 9);
    let mut follower = Follower::new(FollowerConfig::default());
    let mut wants = Vec::new();
    let second = |n: u64| Time::from_ms(n * 1_000);
    follower.tick(second(0), &mut wants);
    follower.read_failed();
    follower.set_peer_version(second(1), NodeId(2), 0, &mut wants);
    follower.tick(second(2), &mut wants);
    assert!(
        !follower.is_ready(),
        "a peer without a version proves nothing"
    );
    follower.set_peer_version(second(3), NodeId(3), 5, &mut wants);
    follower.apply_update(ConfigUpdate::Entries(entries[..5].to_vec()));
    follower.set_peer_version(second(3), NodeId(4), 9, &mut wants);
    follower.tick(second(4), &mut wants);
    assert!(
        !follower.is_ready(),
        "a peer that is reachable has a newer one"
    );
    assert!(wants.contains(&FollowerAction::Peer {
        node: NodeId(4),
        after: 5
    }));
    follower.apply_update(ConfigUpdate::Entries(entries.clone()));
    follower.tick(second(5), &mut wants);
    assert!(follower.is_ready());
    assert_eq!(follower.config().version(), 9);
}
