//! Operators' calls: publish, status and cancel.

use std::collections::{BTreeMap, BTreeSet};

use config::{Change, Entry};
use model::{Catalog, DomainId, Kind, SourceFile, Unit, UnitId, Verdict};
use store::{Row, Settlement, StoreError, TableReq, TableResp, Write, decode, encode};

use super::{
    calls::{Cx, Owner, Purpose},
    config_sync::ConfigSync,
    event::{Action, OperatorId},
    members::{MEMBER_PREFIX, MemberRow},
    rows::{
        DONE_PREFIX, STATE_PREFIX, StateRow, UNIT_PREFIX, UnitRow, inbox_key, last_part, unit_key,
    },
};
use crate::api::{FileText, OperatorReq, OperatorResp, TaskState, UnitStatus};

/// The most rows that are read at a time.
const ROWS_PER_READ: u32 = 500;
/// How often a change is tried again after a change of other items came first.
const RACES_MAX: u32 = 20;

#[derive(Clone, Debug)]
struct Publication {
    author: String,
    base: Option<u64>,
    changes: Vec<Change>,
    domains: Vec<DomainId>,
    version: u64,
    races: u32,
}

#[derive(Clone, Debug)]
struct Listing {
    name: Option<String>,
    prefix: &'static str,
    units: BTreeMap<String, UnitStatus>,
}

#[derive(Clone, Debug)]
enum Step {
    /// The members are being read, to know the domains.
    Members(Publication),
    /// The change waits for this node to have a newer configuration.
    Behind(Publication),
    /// The change is on its way to the table.
    Committing(Publication),
    /// Rows are being read.
    Listing(Listing),
}

/// The operators' calls under way.
#[derive(Clone, Debug, Default)]
pub(crate) struct Operators {
    steps: BTreeMap<OperatorId, Step>,
}

impl Operators {
    pub(crate) fn call(&mut self, cx: &mut Cx<'_>, id: OperatorId, req: OperatorReq) {
        match req {
            OperatorReq::Publish {
                by, base, files, ..
            } => self.publish(cx, id, by.author, base, &files),
            OperatorReq::Status { name } => self.list(cx, id, name),
            OperatorReq::Cancel { by, name } => {
                let changes = vec![Change::RemoveUnit(name)];
                self.read_members(cx, id, by.author, None, changes);
            }
            _ => refuse(cx, id, Verdict::NotRun, "not built yet".to_owned()),
        }
    }

    fn publish(
        &mut self,
        cx: &mut Cx<'_>,
        id: OperatorId,
        author: String,
        base: Option<u64>,
        files: &[FileText],
    ) {
        let sources: Vec<SourceFile<'_>> = files
            .iter()
            .map(|file| SourceFile {
                path: &file.path,
                text: &file.text,
            })
            .collect();
        match Catalog::parse(&sources) {
            Ok(catalog) => {
                let teams = catalog.teams.into_values().map(Change::SetTeam);
                let units = catalog.units.into_values().map(Change::SetUnit);
                let changes = teams.chain(units).collect();
                self.read_members(cx, id, author, base, changes);
            }
            Err(e) => refuse(cx, id, Verdict::NotRun, e.to_string()),
        }
    }

    fn read_members(
        &mut self,
        cx: &mut Cx<'_>,
        id: OperatorId,
        author: String,
        base: Option<u64>,
        changes: Vec<Change>,
    ) {
        let publication = Publication {
            author,
            base,
            changes,
            domains: Vec::new(),
            version: 0,
            races: 0,
        };
        self.steps.insert(id, Step::Members(publication));
        scan(cx, id, MEMBER_PREFIX, String::new());
    }

    /// Takes rows that were read for a call.
    pub(crate) fn rows_read(
        &mut self,
        cx: &mut Cx<'_>,
        config: &ConfigSync,
        id: OperatorId,
        result: Result<TableResp, StoreError>,
    ) {
        let Some(step) = self.steps.remove(&id) else {
            return;
        };
        let rows = match result {
            Ok(TableResp::Rows(rows)) => rows,
            Ok(_) => return refuse(cx, id, Verdict::NotRun, "the table gave no rows".to_owned()),
            Err(e) => return refuse(cx, id, Verdict::NotRun, format!("{e}; try again later")),
        };
        match step {
            Step::Members(mut publication) => {
                publication.domains = member_domains(&rows);
                self.commit(cx, config, id, publication);
            }
            Step::Listing(listing) => self.listed(cx, id, listing, &rows),
            Step::Behind(_) | Step::Committing(_) => {}
        }
    }

    /// Tries changes again that waited for a newer configuration.
    pub(crate) fn config_changed(&mut self, cx: &mut Cx<'_>, config: &ConfigSync) {
        let behind: Vec<OperatorId> = self
            .steps
            .iter()
            .filter(|(_, step)| matches!(step, Step::Behind(_)))
            .map(|(id, _)| *id)
            .collect();
        for id in behind {
            if let Some(Step::Behind(publication)) = self.steps.remove(&id) {
                self.commit(cx, config, id, publication);
            }
        }
    }

    fn commit(
        &mut self,
        cx: &mut Cx<'_>,
        config: &ConfigSync,
        id: OperatorId,
        mut publication: Publication,
    ) {
        if !config.is_known() {
            self.steps.insert(id, Step::Behind(publication));
            return;
        }
        let current = config.config();
        let base = publication.base.unwrap_or(current.version());
        let news: Vec<Change> = publication
            .changes
            .iter()
            .filter(|change| is_news(change, current))
            .cloned()
            .collect();
        if news.is_empty() {
            let message = "nothing has changed".to_owned();
            return done(cx, id, message, current.version());
        }
        let entry = match current.prepare(&publication.author, base, news) {
            Ok(entry) => entry,
            Err(e) => return refuse(cx, id, Verdict::NotRun, e.to_string()),
        };
        publication.version = entry.version;
        let (check, mut writes) = config.writes(&entry);
        unit_writes(&entry, current, &publication.domains, &mut writes);
        if cx
            .commits
            .push(Owner::Operator(id), vec![check], writes)
            .is_err()
        {
            let message = "too many changes wait for the table; try again later".to_owned();
            return refuse(cx, id, Verdict::NotRun, message);
        }
        self.steps.insert(id, Step::Committing(publication));
    }

    /// Takes what became of a change.
    pub(crate) fn settled(&mut self, cx: &mut Cx<'_>, id: OperatorId, settlement: Settlement) {
        let Some(Step::Committing(mut publication)) = self.steps.remove(&id) else {
            return;
        };
        match settlement {
            Settlement::Committed { .. } => {
                let version = publication.version;
                let message = format!("version {version}, {} changes", publication.changes.len());
                done(cx, id, message, version);
            }
            Settlement::Conflict { .. } if publication.races < RACES_MAX => {
                publication.races += 1;
                self.steps.insert(id, Step::Behind(publication));
            }
            Settlement::Conflict { .. } => {
                let message = "too many other changes at the same time; try again".to_owned();
                refuse(cx, id, Verdict::NotRun, message);
            }
            Settlement::Refused { reason } => refuse(cx, id, Verdict::NotRun, reason),
        }
    }

    fn list(&mut self, cx: &mut Cx<'_>, id: OperatorId, name: Option<String>) {
        let listing = Listing {
            name,
            prefix: UNIT_PREFIX,
            units: BTreeMap::new(),
        };
        self.steps.insert(id, Step::Listing(listing));
        scan(cx, id, UNIT_PREFIX, String::new());
    }

    fn listed(&mut self, cx: &mut Cx<'_>, id: OperatorId, mut listing: Listing, rows: &[Row]) {
        for row in rows {
            listing.add(row);
        }
        let next = if rows.len() >= ROWS_PER_READ as usize {
            let after = rows.last().map_or_else(String::new, |row| row.key.clone());
            Some((listing.prefix, after))
        } else {
            listing.next_prefix().map(|prefix| (prefix, String::new()))
        };
        if let Some((prefix, after)) = next {
            listing.prefix = prefix;
            self.steps.insert(id, Step::Listing(listing));
            scan(cx, id, prefix, after);
        } else {
            let units = listing.units.into_values().collect();
            cx.out
                .push(Action::Operator(id, OperatorResp::Status(units)));
        }
    }

    /// Whether changes wait for a newer configuration.
    pub(crate) fn waits_for_config(&self) -> bool {
        self.steps
            .values()
            .any(|step| matches!(step, Step::Behind(_)))
    }
}

impl Listing {
    fn next_prefix(&self) -> Option<&'static str> {
        match self.prefix {
            UNIT_PREFIX => Some(DONE_PREFIX),
            DONE_PREFIX => Some(STATE_PREFIX),
            _ => None,
        }
    }

    fn add(&mut self, row: &Row) {
        let id = last_part(&row.key).to_owned();
        let status = if self.prefix == UNIT_PREFIX {
            decode::<UnitRow>(&row.value).map(|row| UnitStatus {
                id: id.clone(),
                name: row.unit.name,
                home: row.home.to_string(),
                cancelled: row.cancelled,
                reason: String::new(),
                tasks: vec![TaskState::default(); row.unit.kind.tasks() as usize],
            })
        } else {
            let home = row.key.split('/').nth(1).unwrap_or_default().to_owned();
            decode::<StateRow>(&row.value).map(|row| UnitStatus {
                id: id.clone(),
                name: row.unit.name,
                home,
                cancelled: row.cancelled,
                reason: row.reason,
                tasks: row.tasks,
            })
        };
        match status {
            Ok(status) if self.name.as_ref().is_none_or(|name| *name == status.name) => {
                self.units.insert(id, status);
            }
            Ok(_) => {}
            Err(e) => log::error!("operator: row {} cannot be read: {e}", row.key),
        }
    }
}

fn scan(cx: &mut Cx<'_>, id: OperatorId, prefix: &str, after: String) {
    let req = TableReq::Scan {
        prefix: prefix.to_owned(),
        after,
        limit: ROWS_PER_READ,
    };
    cx.table(Purpose::Operator(id), req);
}

fn done(cx: &mut Cx<'_>, id: OperatorId, message: String, version: u64) {
    let resp = OperatorResp::Done { message, version };
    cx.out.push(Action::Operator(id, resp));
}

fn refuse(cx: &mut Cx<'_>, id: OperatorId, verdict: Verdict, message: String) {
    let resp = OperatorResp::Failed { verdict, message };
    cx.out.push(Action::Operator(id, resp));
}

fn member_domains(rows: &[Row]) -> Vec<DomainId> {
    let members = rows
        .iter()
        .filter_map(|row| decode::<MemberRow>(&row.value).ok());
    let domains: BTreeSet<DomainId> = members.map(|member| member.domain).collect();
    domains.into_iter().collect()
}

fn is_news(change: &Change, config: &config::Config) -> bool {
    match change {
        Change::SetTeam(team) => config.teams().get(&team.name) != Some(team),
        Change::SetUnit(unit) => config.units().get(&unit.name) != Some(unit),
        Change::RemoveUnit(name) => config.units().contains_key(name),
        Change::Recall(target) => !config.recalls().contains(target),
        Change::Lift(target) => config.recalls().contains(target),
    }
}

/// Adds the rows by which the units' home domains learn of an entry's changes.
fn unit_writes(
    entry: &Entry,
    before: &config::Config,
    domains: &[DomainId],
    writes: &mut Vec<Write>,
) {
    for change in &entry.changes {
        match change {
            Change::SetUnit(unit) => {
                for (id, part, home) in parts(unit, domains) {
                    add_unit_writes(&id, part, home, false, writes);
                }
            }
            Change::RemoveUnit(name) => {
                for (id, part, home) in before
                    .units()
                    .get(name)
                    .into_iter()
                    .flat_map(|unit| parts(unit, domains))
                {
                    add_unit_writes(&id, part, home, true, writes);
                }
            }
            Change::SetTeam(_) | Change::Recall(_) | Change::Lift(_) => {}
        }
    }
}

fn add_unit_writes(
    id: &UnitId,
    unit: Unit,
    home: DomainId,
    cancelled: bool,
    writes: &mut Vec<Write>,
) {
    let row = UnitRow {
        unit,
        home,
        cancelled,
    };
    writes.push(Write {
        key: unit_key(id),
        value: Some(encode(&row)),
    });
    writes.push(Write {
        key: inbox_key(home, id),
        value: Some(Vec::new()),
    });
}

/// The parts of a unit by home domain: a service has one in each domain that holds replicas, other
/// work is placed whole by one domain.
fn parts(unit: &Unit, domains: &[DomainId]) -> Vec<(UnitId, Unit, DomainId)> {
    let n = u32::try_from(domains.len()).unwrap_or(u32::MAX);
    if n == 0 {
        return Vec::new();
    }
    let content = stable_hash(&encode(unit));
    let first = usize::try_from(stable_hash(unit.name.as_bytes()) % u64::from(n)).unwrap_or(0);
    let Kind::Service {
        replicas,
        spread,
        requests,
    } = unit.kind
    else {
        let id = UnitId::new(&format!("{}.{:08x}", unit.name, content & 0xffff_ffff));
        return vec![(id, unit.clone(), domains[first])];
    };
    (0..n)
        .map(|i| {
            let domain = domains[(first + i as usize) % domains.len()];
            let share = replicas / n + u32::from(i < replicas % n);
            let mut part = unit.clone();
            part.kind = Kind::Service {
                replicas: share,
                spread,
                requests,
            };
            (
                UnitId::new(&format!("{}@{domain}", unit.name)),
                part,
                domain,
            )
        })
        .filter(|(_, part, _)| part.kind.tasks() > 0)
        .collect()
}

/// A hash that is the same in every process (FNV-1a).
fn stable_hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
