//! The handling of operators' calls.

mod homes;
mod listing;
mod publishing;
mod submitted;
mod views;

use std::collections::{BTreeMap, BTreeSet};

use config::{Change, Outcome, Proposal, RecallTarget, Submission};
use model::{DomainId, Verdict};
use store::{Row, Settlement, StoreError, TableReq, TableResp, decode};

use self::{
    listing::{Listing, Next},
    publishing::Publishing,
};
use super::{
    calls::{Cx, Purpose},
    config_sync::ConfigSync,
    event::{Action, OperatorCallId},
    members::{MemberRow, Members},
    rows::UNIT_PREFIX,
    settings::Identity,
};
use crate::api::{FileText, OperatorReq, OperatorResp, Submitter, parse_files};

/// The maximum number of rows per read.
const ROWS_PER_READ: u32 = 500;

/// The operators' calls that have not been answered.
#[derive(Clone, Debug)]
pub(crate) struct Operators {
    me: Identity,
    listings: BTreeMap<OperatorCallId, Listing>,
    publishing: Publishing,
}

impl Operators {
    pub(crate) fn new(me: Identity) -> Self {
        Self {
            me,
            listings: BTreeMap::new(),
            publishing: Publishing::default(),
        }
    }

    /// Handles a call.
    pub(crate) fn call(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        members: &Members,
        id: OperatorCallId,
        req: OperatorReq,
    ) {
        match req {
            OperatorReq::Publish {
                by,
                base,
                files,
                dry_run,
            } => match parse_changes(&files) {
                Err(message) => refuse(cx, id, Verdict::NotRun, message),
                Ok(changes) if dry_run => answer_dry_run(cx, config, id, &by, base, changes),
                Ok(changes) => self.submit(cx, config, id, &by, base, changes),
            },
            OperatorReq::Status { name } => {
                self.listings.insert(id, Listing::new(name));
                scan(cx, id, UNIT_PREFIX, String::new());
            }
            OperatorReq::Cancel { by, name } => {
                let changes = vec![Change::RemoveUnit(name)];
                self.submit(cx, config, id, &by, None, changes);
            }
            OperatorReq::Recall { by, targets } => {
                let changes = changes_for(targets, Change::Recall);
                self.submit(cx, config, id, &by, None, changes);
            }
            OperatorReq::Lift { by, targets } => {
                let changes = changes_for(targets, Change::Lift);
                self.submit(cx, config, id, &by, None, changes);
            }
            OperatorReq::Evacuate { by, domain, undo } => {
                let change = if undo {
                    Change::Readmit(domain)
                } else {
                    Change::Evacuate(domain)
                };
                self.submit(cx, config, id, &by, None, vec![change]);
            }
            OperatorReq::Recalls => {
                let recalls = views::recalls(config.config());
                answer(cx, id, OperatorResp::Recalls(recalls));
            }
            OperatorReq::InForce { version } => {
                let members = views::in_force(cx.now, &self.me, config, members, version);
                answer(cx, id, OperatorResp::InForce { version, members });
            }
            // The node handles this call itself.
            OperatorReq::Drain { .. } => {}
        }
    }

    fn submit(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        id: OperatorCallId,
        by: &Submitter,
        base: Option<u64>,
        changes: Vec<Change>,
    ) {
        let mut submission = submission(by, changes);
        if submission.id.is_empty() {
            let (node, start, call) = (self.me.node, self.me.incarnation, id.0);
            submission.id = format!("{node}/{start}/{call}");
        }
        self.publishing.add(cx.now, config, id, submission, base);
    }

    /// Performs all work that is due.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>, config: &mut ConfigSync) {
        self.publishing.tick(cx, config);
    }

    /// Handles rows that were read for a call.
    pub(crate) fn rows_read(
        &mut self,
        cx: &mut Cx<'_>,
        id: OperatorCallId,
        result: Result<TableResp, StoreError>,
    ) {
        let Some(mut listing) = self.listings.remove(&id) else {
            return;
        };
        let rows = match result {
            Ok(TableResp::Rows(rows)) => rows,
            Ok(_) => return refuse(cx, id, Verdict::NotRun, "the table gave no rows".to_owned()),
            Err(e) => return refuse(cx, id, Verdict::NotRun, format!("{e}; try again later")),
        };
        match listing.rows_read(&rows) {
            Next::Read(prefix, after) => {
                self.listings.insert(id, listing);
                scan(cx, id, prefix, after);
            }
            Next::Answer(units) => answer(cx, id, OperatorResp::Status(units)),
        }
    }

    /// Handles rows that were read for the entry in progress.
    pub(crate) fn publishing_read(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        result: Result<TableResp, StoreError>,
    ) {
        self.publishing.rows_read(cx, config, result);
    }

    /// Handles the settlement of the entry in progress. Returns whether the configuration has changed.
    pub(crate) fn settled(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        settlement: &Settlement,
    ) -> bool {
        self.publishing.settled(cx, config, settlement)
    }
}

fn submission(by: &Submitter, changes: Vec<Change>) -> Submission {
    let author = if by.author.is_empty() {
        "an operator"
    } else {
        &by.author
    };
    Submission::new(&by.id, author, changes)
}

fn changes_for(targets: Vec<RecallTarget>, change: impl Fn(RecallTarget) -> Change) -> Vec<Change> {
    targets.into_iter().map(change).collect()
}

/// Returns the changes that put operator files in force, or the text of all errors in the files.
fn parse_changes(files: &[FileText]) -> Result<Vec<Change>, String> {
    let catalog = parse_files(files).map_err(|e| e.to_string())?;
    let teams = catalog.teams.into_values().map(Change::SetTeam);
    let units = catalog.units.into_values().map(Change::SetUnit);
    Ok(teams.chain(units).collect())
}

fn answer_dry_run(
    cx: &mut Cx<'_>,
    config: &ConfigSync,
    id: OperatorCallId,
    by: &Submitter,
    base: Option<u64>,
    changes: Vec<Change>,
) {
    let current = config.config();
    let version = current.version();
    let diff = current.diff(&changes);
    let proposal = Proposal {
        submission: submission(by, changes),
        base: base.unwrap_or(version),
    };
    if let Some(Outcome::Refused(e)) = current.merge(&[proposal]).outcomes.pop() {
        return refuse(cx, id, Verdict::NotRun, e.to_string());
    }
    let changes = diff;
    answer(cx, id, OperatorResp::Changes { version, changes });
}

fn scan(cx: &mut Cx<'_>, id: OperatorCallId, prefix: &str, after: String) {
    let req = TableReq::Scan {
        prefix: prefix.to_owned(),
        after,
        limit: ROWS_PER_READ,
    };
    cx.table(Purpose::Operator(id), req);
}

fn answer(cx: &mut Cx<'_>, id: OperatorCallId, resp: OperatorResp) {
    cx.out.push(Action::Operator(id, resp));
}

fn done(cx: &mut Cx<'_>, id: OperatorCallId, message: String, version: u64) {
    answer(cx, id, OperatorResp::Done { message, version });
}

fn refuse(cx: &mut Cx<'_>, id: OperatorCallId, verdict: Verdict, message: String) {
    answer(cx, id, OperatorResp::Failed { verdict, message });
}

fn member_domains(rows: &[Row]) -> Vec<DomainId> {
    let members = rows
        .iter()
        .filter_map(|row| decode::<MemberRow>(&row.value).ok());
    let domains: BTreeSet<DomainId> = members.map(|member| member.domain).collect();
    domains.into_iter().collect()
}
