//! The publication of operators' changes as entries of the configuration.
//!
//! Waiting changes are merged into one entry if they concern different items. A node has at most one
//! entry in progress. If another node's entry is committed first, the changes wait until that entry is
//! known here and are merged again: a change is refused only if the other entry concerns the same item.

use std::{collections::VecDeque, time::Duration};

use config::{Change, Entry, Outcome, Proposal, Submission};
use model::{DomainId, Time, Verdict};
use store::{Row, Settlement, StoreError, TableReq, TableResp};

use super::{
    super::{
        calls::{Cx, Owner, Purpose},
        config_sync::ConfigSync,
        event::OperatorCallId,
        members::MEMBER_PREFIX,
    },
    ROWS_PER_READ, done, homes,
    homes::Homes,
    member_domains, refuse,
    submitted::{evacuates_last, message},
};

/// The time after which an undecided change is answered: as not run if no entry with it was sent to the
/// table, and otherwise as uncertain.
const DECISION_TIMEOUT: Duration = Duration::from_secs(10);
/// The minimum interval between two entries of a node, so that a burst of changes makes few versions.
/// Recalls do not wait for it.
const ENTRY_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum number of retries of a change after conflicts with other entries.
const MAX_CONFLICTS: u32 = 50;

/// The answer to an overdue call whose change is in an open entry.
const MAY_COME_INTO_FORCE: &str = "the platform's table gives no answer: the change may come into force; \
                                   resend it to learn what became of it";

/// An operator's change that is not settled.
#[derive(Clone, Debug)]
struct Pending {
    /// The call to answer, or `None` once it was answered.
    call: Option<OperatorCallId>,
    submission: Submission,
    /// The version that the change is based on. If the operator gave none, `None` until the
    /// configuration is refreshed here.
    base: Option<u64>,
    /// The number of the refresh that must be complete before the change is merged.
    refresh: u64,
    since: Time,
    conflicts: u32,
}

/// The progress of the entry of this node.
#[derive(Clone, Debug, Default)]
enum EntryProgress {
    /// There is no entry in progress.
    #[default]
    Idle,
    /// The member rows are being read, to determine the domains.
    Members,
    /// The rows that the entry replaces are being read.
    Rows {
        plan: PendingEntry,
        /// The key prefixes that remain to be read. The last one is being read, after the key `after`.
        prefixes: Vec<String>,
        after: String,
        rows: Vec<Row>,
    },
    /// The entry is being committed.
    Committing(PendingEntry),
}

/// An entry with the changes that it includes and the domains that take new work.
#[derive(Clone, Debug)]
struct PendingEntry {
    entry: Entry,
    included: Vec<Pending>,
    domains: Vec<DomainId>,
}

/// The operators' changes that are not settled.
#[derive(Clone, Debug, Default)]
pub(super) struct Publishing {
    waiting: VecDeque<Pending>,
    progress: EntryProgress,
    next_entry: Time,
}

impl Publishing {
    /// Adds a change. Recalls go before all others.
    pub(super) fn add(
        &mut self,
        now: Time,
        config: &mut ConfigSync,
        call: OperatorCallId,
        submission: Submission,
        base: Option<u64>,
    ) {
        let pending = Pending {
            call: Some(call),
            submission,
            base,
            refresh: config.request_refresh(),
            since: now,
            conflicts: 0,
        };
        if pending.is_recall() {
            self.waiting.push_front(pending);
        } else {
            self.waiting.push_back(pending);
        }
    }

    /// Begins an entry if one is due, and answers overdue calls.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, config: &mut ConfigSync) {
        self.answer_committed(cx, config.config());
        self.answer_overdue(cx);
        let is_due = cx.now >= self.next_entry || self.waiting.iter().any(Pending::is_recall);
        if !matches!(self.progress, EntryProgress::Idle) || self.waiting.is_empty() || !is_due {
            return;
        }
        if self.waiting.iter().any(|p| config.is_refreshed(p.refresh)) {
            self.progress = EntryProgress::Members;
            scan(cx, MEMBER_PREFIX, String::new());
        } else {
            config.poll_soon();
        }
    }

    /// Answers the calls whose change is in force although the reply to the commit has not arrived.
    fn answer_committed(&mut self, cx: &mut Cx<'_>, current: &config::Config) {
        let EntryProgress::Committing(plan) = &mut self.progress else {
            return;
        };
        if plan.entry.version > current.version() {
            return;
        }
        for (pending, submission) in plan.included.iter_mut().zip(&plan.entry.submissions) {
            if let Some(version) = current.submitted_in(&submission.id) {
                pending.done(cx, message(version, submission), version);
                pending.call = None;
            }
        }
    }

    fn answer_overdue(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let is_overdue = |pending: &Pending| now >= pending.since + DECISION_TIMEOUT;
        let progress = &self.progress;
        self.waiting.retain(|pending| {
            if is_overdue(pending) && progress.includes(&pending.submission.id) {
                // This call is a resend, and the entry with the first call may still be committed.
                pending.refuse(cx, Verdict::MayHaveRun, MAY_COME_INTO_FORCE);
            } else if is_overdue(pending) {
                let message = "the platform's table gives no answer; try again later";
                pending.refuse(cx, Verdict::NotRun, message);
            }
            !is_overdue(pending)
        });
        if let EntryProgress::Committing(plan) = &mut self.progress {
            for pending in plan
                .included
                .iter_mut()
                .filter(|pending| is_overdue(pending))
            {
                pending.refuse(cx, Verdict::MayHaveRun, MAY_COME_INTO_FORCE);
                pending.call = None;
            }
        }
    }

    /// Handles rows that were read for the entry in progress.
    pub(super) fn rows_read(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        result: Result<TableResp, StoreError>,
    ) {
        let Ok(TableResp::Rows(read)) = result else {
            return self.abandon();
        };
        match std::mem::take(&mut self.progress) {
            EntryProgress::Members => self.plan(cx, config, &member_domains(&read)),
            EntryProgress::Rows {
                plan,
                mut prefixes,
                mut after,
                mut rows,
            } => {
                let is_last_page = read.len() < ROWS_PER_READ as usize;
                if is_last_page {
                    prefixes.pop();
                    after.clear();
                } else if let Some(last) = read.last() {
                    last.key.clone_into(&mut after);
                }
                rows.extend(read);
                self.read_or_commit(cx, config, plan, prefixes, after, rows);
            }
            progress => self.progress = progress,
        }
    }

    /// Abandons the entry unless it is being committed. The next tick begins another one.
    fn abandon(&mut self) {
        match std::mem::take(&mut self.progress) {
            EntryProgress::Rows { plan, .. } => self.requeue(plan),
            EntryProgress::Committing(plan) => self.progress = EntryProgress::Committing(plan),
            EntryProgress::Idle | EntryProgress::Members => {}
        }
    }

    fn requeue(&mut self, plan: PendingEntry) {
        for pending in plan.included.into_iter().rev() {
            self.waiting.push_front(pending);
        }
    }

    /// Merges the waiting changes into an entry.
    fn plan(&mut self, cx: &mut Cx<'_>, config: &mut ConfigSync, members: &[DomainId]) {
        let current = config.config();
        let mut ready: Vec<Pending> = Vec::new();
        for mut pending in std::mem::take(&mut self.waiting) {
            if !config.is_refreshed(pending.refresh) {
                self.waiting.push_back(pending);
            } else if evacuates_last(&pending.submission, current, members) {
                let message = "no other failure domain takes work; nothing was evacuated";
                pending.refuse(cx, Verdict::NotRun, message);
            } else {
                pending.base.get_or_insert(current.version());
                ready.push(pending);
            }
        }
        let proposals: Vec<Proposal> = ready
            .iter()
            .map(|pending| Proposal {
                submission: pending.submission.clone(),
                base: pending.base.unwrap_or(current.version()),
            })
            .collect();
        let merge = current.merge(&proposals);
        let mut included = Vec::new();
        let newest = current.version();
        for (pending, outcome) in ready.into_iter().zip(merge.outcomes) {
            match outcome {
                Outcome::Merged => included.push(pending),
                Outcome::Deferred => self.waiting.push_back(pending),
                Outcome::Unchanged => pending.done(cx, "nothing has changed".to_owned(), newest),
                Outcome::AlreadyCommitted { version } => {
                    let message = format!("version {version}: it was done before");
                    pending.done(cx, message, version);
                }
                Outcome::Refused(e) => pending.refuse(cx, Verdict::NotRun, &e.to_string()),
            }
        }
        let Some(entry) = merge.entry else {
            return;
        };
        let prefixes = homes::prefixes(&entry, current);
        let takes_work = |domain: &&DomainId| {
            let readmitted = entry.changes().any(|c| *c == Change::Readmit(**domain));
            let evacuated = entry.changes().any(|c| *c == Change::Evacuate(**domain));
            !evacuated && (readmitted || !current.is_evacuated(**domain))
        };
        let domains = members.iter().filter(takes_work).copied().collect();
        let plan = PendingEntry {
            entry,
            included,
            domains,
        };
        if plan.lacks_domain() {
            // The units would be in force, but no scheduler would place them.
            let message = "no node of a failure domain that takes work is registered; try again";
            plan.refuse(cx, Verdict::NotRun, message);
            return;
        }
        self.read_or_commit(cx, config, plan, prefixes, String::new(), Vec::new());
    }

    fn read_or_commit(
        &mut self,
        cx: &mut Cx<'_>,
        config: &ConfigSync,
        plan: PendingEntry,
        prefixes: Vec<String>,
        after: String,
        rows: Vec<Row>,
    ) {
        if let Some(prefix) = prefixes.last() {
            scan(cx, prefix, after.clone());
            self.progress = EntryProgress::Rows {
                plan,
                prefixes,
                after,
                rows,
            };
        } else {
            self.commit(cx, config, plan, &rows);
        }
    }

    fn commit(&mut self, cx: &mut Cx<'_>, config: &ConfigSync, plan: PendingEntry, rows: &[Row]) {
        let before = config.config();
        if plan.entry.version != before.version() + 1 {
            // Another entry has arrived in the meantime, from the table or a peer.
            return self.requeue(plan);
        }
        let (head, mut writes) = config.writes(&plan.entry);
        let homes = Homes {
            before,
            domains: &plan.domains,
            rows,
        };
        let (mut checks, unit_writes) = homes.writes(&plan.entry);
        checks.insert(0, head);
        writes.extend(unit_writes);
        if cx
            .commits
            .push(cx.now, Owner::Publishing, checks, writes)
            .is_err()
        {
            for pending in &plan.included {
                let message = "too many changes wait for the table; try again later";
                pending.refuse(cx, Verdict::NotRun, message);
            }
            return;
        }
        self.next_entry = cx.now + ENTRY_INTERVAL;
        self.progress = EntryProgress::Committing(plan);
    }

    /// Handles the settlement of the entry. Returns whether the configuration has changed.
    pub(super) fn settled(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        settlement: &Settlement,
    ) -> bool {
        let EntryProgress::Committing(plan) = std::mem::take(&mut self.progress) else {
            return false;
        };
        match settlement {
            Settlement::Committed { version } => {
                for (pending, submission) in plan.included.iter().zip(&plan.entry.submissions) {
                    pending.done(
                        cx,
                        message(plan.entry.version, submission),
                        plan.entry.version,
                    );
                }
                config.committed(cx, &plan.entry, *version)
            }
            Settlement::Conflict { .. } => {
                for mut pending in plan.included {
                    pending.conflicts += 1;
                    pending.refresh = config.request_refresh();
                    if pending.conflicts <= MAX_CONFLICTS {
                        self.waiting.push_back(pending);
                    } else {
                        let message = "too many other changes at the same time; try again";
                        pending.refuse(cx, Verdict::NotRun, message);
                    }
                }
                false
            }
            Settlement::Refused { reason } => plan.refuse(cx, Verdict::NotRun, reason),
            Settlement::NotRun => {
                let message = "the table could not be reached in time; try again later";
                plan.refuse(cx, Verdict::NotRun, message)
            }
            Settlement::MayHaveRun => {
                let message = "a later start of this node writes to the table; ask another node";
                plan.refuse(cx, Verdict::MayHaveRun, message)
            }
        }
    }
}

impl EntryProgress {
    /// Whether the entry in progress includes the submission with this id.
    fn includes(&self, id: &str) -> bool {
        match self {
            Self::Idle | Self::Members => false,
            Self::Rows { plan, .. } | Self::Committing(plan) => {
                plan.included.iter().any(|p| p.submission.id == id)
            }
        }
    }
}

impl PendingEntry {
    /// Whether the entry sets units but no failure domain takes new work.
    fn lacks_domain(&self) -> bool {
        let mut changes = self.entry.changes();
        self.domains.is_empty() && changes.any(|change| matches!(change, Change::SetUnit(_)))
    }

    /// Refuses all changes of the entry. Always returns `false`: the configuration has not changed.
    fn refuse(&self, cx: &mut Cx<'_>, verdict: Verdict, message: &str) -> bool {
        for pending in &self.included {
            pending.refuse(cx, verdict, message);
        }
        false
    }
}

impl Pending {
    fn is_recall(&self) -> bool {
        matches!(self.submission.changes.first(), Some(Change::Recall(_)))
    }

    fn done(&self, cx: &mut Cx<'_>, message: String, version: u64) {
        if let Some(call) = self.call {
            done(cx, call, message, version);
        }
    }

    fn refuse(&self, cx: &mut Cx<'_>, verdict: Verdict, message: &str) {
        if let Some(call) = self.call {
            refuse(cx, call, verdict, message.to_owned());
        }
    }
}

fn scan(cx: &mut Cx<'_>, prefix: &str, after: String) {
    let req = TableReq::Scan {
        prefix: prefix.to_owned(),
        after,
        limit: ROWS_PER_READ,
    };
    cx.table(Purpose::Publishing, req);
}
