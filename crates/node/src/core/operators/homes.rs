//! The assignment of the parts of units to home domains, and the rows that announce changes of units to
//! the schedulers of these domains.

use std::collections::BTreeSet;

use config::{Change, Config, Entry};
use model::{DomainId, Kind, Unit, UnitId, stable_hash};
use store::{Check, Row, Write, decode, encode};

use super::super::rows::{UNIT_PREFIX, UnitRow, inbox_key, last_part, unit_key};

/// The input from which the unit and inbox rows of an entry are made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Homes<'a> {
    /// The configuration before the entry.
    pub(super) before: &'a Config,
    /// The domains that take new work.
    pub(super) domains: &'a [DomainId],
    /// The present rows of the units that the entry removes or replaces.
    pub(super) rows: &'a [Row],
}

impl Homes<'_> {
    /// Returns the checks and writes that announce the changes of an entry to the home domains.
    pub(super) fn writes(&self, entry: &Entry) -> (Vec<Check>, Vec<Write>) {
        let mut checks = Vec::new();
        let mut writes = Vec::new();
        for change in entry.changes() {
            match change {
                Change::SetUnit(unit) => {
                    let parts = parts(unit, self.before.removed_at(&unit.name), self.domains);
                    let kept: BTreeSet<UnitId> =
                        parts.iter().map(|(id, _, _)| id.clone()).collect();
                    let replaced = |id: &UnitId, old: &UnitRow| {
                        old.unit.kind.is_service() && !kept.contains(id)
                    };
                    self.cancel(&unit.name, replaced, &mut checks, &mut writes);
                    for (id, part, home) in parts {
                        let row = UnitRow {
                            unit: part,
                            home: self.kept_home(&id, &mut checks).unwrap_or(home),
                            cancelled: false,
                        };
                        add_unit(&id, &row, &mut writes);
                    }
                }
                Change::RemoveUnit(name) => {
                    self.cancel(name, |_, _| true, &mut checks, &mut writes);
                }
                Change::SetTeam(_)
                | Change::Recall(_)
                | Change::Lift(_)
                | Change::Evacuate(_)
                | Change::Readmit(_) => {}
            }
        }
        (checks, writes)
    }

    /// Returns the present home of a part that exists already. The part may have been moved since it
    /// was first published, and its tasks may run at that home, whose scheduler alone may start them.
    fn kept_home(&self, id: &UnitId, checks: &mut Vec<Check>) -> Option<DomainId> {
        let key = unit_key(id);
        let row = self.rows.iter().find(|row| row.key == key)?;
        let old = decode::<UnitRow>(&row.value).ok()?;
        checks.push(Check {
            key,
            version: Some(row.version),
        });
        Some(old.home)
    }

    /// Cancels the selected rows of a unit and notifies the home that each row names.
    fn cancel(
        &self,
        name: &str,
        is_selected: impl Fn(&UnitId, &UnitRow) -> bool,
        checks: &mut Vec<Check>,
        writes: &mut Vec<Write>,
    ) {
        for row in self.rows {
            let id = UnitId::new(last_part(&row.key));
            let Ok(old) = decode::<UnitRow>(&row.value) else {
                log::error!("operator: row {} cannot be read", row.key);
                continue;
            };
            if old.unit.name != name || old.cancelled || !is_selected(&id, &old) {
                continue;
            }
            checks.push(Check {
                key: row.key.clone(),
                version: Some(row.version),
            });
            let cancelled = UnitRow {
                cancelled: true,
                ..old
            };
            add_unit(&id, &cancelled, writes);
        }
    }
}

/// Returns the key prefixes of the rows that an entry removes or replaces.
pub(super) fn prefixes(entry: &Entry, before: &Config) -> Vec<String> {
    let units = entry.changes().filter_map(|change| match change {
        Change::SetUnit(unit) => unit.kind.is_service().then_some(unit),
        Change::RemoveUnit(name) => before.units().get(name),
        _ => None,
    });
    let prefix = |unit: &Unit| {
        let separator = if unit.kind.is_service() { '@' } else { '.' };
        format!("{UNIT_PREFIX}{}{separator}", unit.name)
    };
    units.map(prefix).collect()
}

fn add_unit(id: &UnitId, row: &UnitRow, writes: &mut Vec<Write>) {
    writes.push(Write {
        key: unit_key(id),
        value: Some(encode(row)),
    });
    writes.push(Write {
        key: inbox_key(row.home, id),
        value: Some(Vec::new()),
    });
}

/// Splits a unit into parts by home domain. Services and batches have one part in each domain, so that
/// the workers of all domains share them. A gang, whose tasks start together, has a single part.
///
/// `removed_at` is the version that last removed a unit of this name. A batch or gang that is published
/// after that is another run and has another id.
fn parts(unit: &Unit, removed_at: u64, domains: &[DomainId]) -> Vec<(UnitId, Unit, DomainId)> {
    let n = u32::try_from(domains.len()).unwrap_or(u32::MAX);
    if n == 0 {
        return Vec::new();
    }
    // Units begin at a domain chosen by their name, so that the remainders of the division of tasks are
    // spread over the domains.
    let first = usize::try_from(stable_hash(unit.name.bytes()) % u64::from(n)).unwrap_or(0);
    let run = run_hash(unit, removed_at) & 0xffff_ffff;
    let name = &unit.name;
    if let Kind::Gang { .. } = unit.kind {
        let id = UnitId::new(&format!("{name}.{run:08x}"));
        return vec![(id, unit.clone(), domains[first])];
    }
    let tasks = unit.kind.tasks();
    let share = |i: u32| tasks / n + u32::from(i < tasks % n);
    (0..n)
        .filter(|i| share(*i) > 0)
        .map(|i| {
            let domain = domains[(first + i as usize) % domains.len()];
            let id = if unit.kind.is_service() {
                format!("{name}@{domain}")
            } else {
                format!("{name}.{run:08x}@{domain}")
            };
            let mut part = unit.clone();
            part.kind = with_tasks(&unit.kind, share(i));
            (UnitId::new(&id), part, domain)
        })
        .collect()
}

/// Returns the kind with another number of tasks.
fn with_tasks(kind: &Kind, tasks: u32) -> Kind {
    match *kind {
        Kind::Service {
            spread, requests, ..
        } => Kind::Service {
            replicas: tasks,
            spread,
            requests,
        },
        Kind::Batch { .. } => Kind::Batch { tasks },
        Kind::Gang { .. } => Kind::Gang { tasks },
    }
}

fn run_hash(unit: &Unit, removed_at: u64) -> u64 {
    let mut content = encode(unit);
    if removed_at > 0 {
        content.extend_from_slice(&removed_at.to_le_bytes());
    }
    stable_hash(content)
}
