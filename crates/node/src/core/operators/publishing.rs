//! Operators' changes on their way into the configuration.
//!
//! Changes that wait go into one entry together, where they do not concern the same items. There is
//! one entry of a node under way at a time. A change that loses the race for the head waits for the
//! other's entry and is looked at again: only a change of the same item refuses it.

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

/// A change that is not decided after this time is answered: refused where it is not on its way to
/// the table, uncertain where it is.
const DECIDE_WITHIN: Duration = Duration::from_secs(10);
/// The shortest interval between two entries of a node, so that a burst of changes makes few versions.
/// A recall does not wait for it.
const ENTRY_INTERVAL: Duration = Duration::from_millis(500);
/// How often a change is tried again after others came first.
const RACES_MAX: u32 = 50;

/// A change that is not settled.
#[derive(Clone, Debug)]
struct Pending {
    /// The call to answer; `None` once it was answered.
    call: Option<OperatorCallId>,
    submission: Submission,
    /// The version that the change is based on; `None` until a fresh one is known here.
    base: Option<u64>,
    /// What the configuration has to be fresh by.
    fresh: u64,
    since: Time,
    races: u32,
}

/// How far the entry under way has come.
#[derive(Clone, Debug, Default)]
enum Round {
    /// There is none.
    #[default]
    Idle,
    /// The members are being read, to know the domains.
    Members,
    /// The rows that the entry replaces are being read.
    Rows {
        plan: Plan,
        /// The prefixes that are still to be read; the last one is being read, after this key.
        prefixes: Vec<String>,
        after: String,
        rows: Vec<Row>,
    },
    /// The entry is on its way to the table.
    Committing(Plan),
}

/// An entry, and the changes that are in it.
#[derive(Clone, Debug)]
struct Plan {
    entry: Entry,
    joined: Vec<Pending>,
    domains: Vec<DomainId>,
}

/// The operators' changes under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Publishing {
    waiting: VecDeque<Pending>,
    round: Round,
    next_entry: Time,
}

impl Publishing {
    /// Takes a change.
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
            fresh: config.want_fresh(),
            since: now,
            races: 0,
        };
        if pending.is_recall() {
            self.waiting.push_front(pending);
        } else {
            self.waiting.push_back(pending);
        }
    }

    /// Begins an entry if one is due, and answers calls that have waited too long.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>, config: &mut ConfigSync) {
        self.answer_seen(cx, config.config());
        self.give_up(cx);
        let is_due = cx.now >= self.next_entry || self.waiting.iter().any(Pending::is_recall);
        if !matches!(self.round, Round::Idle) || self.waiting.is_empty() || !is_due {
            return;
        }
        if self.waiting.iter().any(|p| config.is_fresh(p.fresh)) {
            self.round = Round::Members;
            scan(cx, MEMBER_PREFIX, String::new());
        } else {
            config.poll_soon();
        }
    }

    /// Answers calls whose change has come into force, though the reply to the commit is still missing.
    fn answer_seen(&mut self, cx: &mut Cx<'_>, current: &config::Config) {
        let Round::Committing(plan) = &mut self.round else {
            return;
        };
        if plan.entry.version > current.version() {
            return;
        }
        for (pending, made) in plan.joined.iter_mut().zip(&plan.entry.submissions) {
            if let Some(version) = current.submitted_in(&made.id) {
                pending.done(cx, message(version, made), version);
                pending.call = None;
            }
        }
    }

    fn give_up(&mut self, cx: &mut Cx<'_>) {
        let now = cx.now;
        let late = |pending: &Pending| now >= pending.since + DECIDE_WITHIN;
        self.waiting.retain(|pending| {
            if late(pending) {
                let message = "the platform's table gives no answer; try again later";
                pending.refuse(cx, Verdict::NotRun, message);
            }
            !late(pending)
        });
        if let Round::Committing(plan) = &mut self.round {
            for pending in plan.joined.iter_mut().filter(|pending| late(pending)) {
                let message = "the platform's table gives no answer: the change may come into force; \
                               resend it to learn what became of it";
                pending.refuse(cx, Verdict::MayHaveRun, message);
                pending.call = None;
            }
        }
    }

    /// Takes rows that were read for the entry under way.
    pub(super) fn rows_read(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        result: Result<TableResp, StoreError>,
    ) {
        let Ok(TableResp::Rows(read)) = result else {
            return self.abandon();
        };
        match std::mem::take(&mut self.round) {
            Round::Members => self.plan(cx, config, &member_domains(&read)),
            Round::Rows {
                plan,
                mut prefixes,
                mut after,
                mut rows,
            } => {
                let whole = read.len() < ROWS_PER_READ as usize;
                if whole {
                    prefixes.pop();
                    after.clear();
                } else if let Some(last) = read.last() {
                    last.key.clone_into(&mut after);
                }
                rows.extend(read);
                self.read_or_commit(cx, config, plan, prefixes, after, rows);
            }
            round => self.round = round,
        }
    }

    /// Gives the entry up that is not on its way to the table; the next tick begins another one.
    fn abandon(&mut self) {
        match std::mem::take(&mut self.round) {
            Round::Rows { plan, .. } => self.put_back(plan),
            Round::Committing(plan) => self.round = Round::Committing(plan),
            Round::Idle | Round::Members => {}
        }
    }

    fn put_back(&mut self, plan: Plan) {
        for pending in plan.joined.into_iter().rev() {
            self.waiting.push_front(pending);
        }
    }

    /// Merges the changes that wait into an entry.
    fn plan(&mut self, cx: &mut Cx<'_>, config: &mut ConfigSync, members: &[DomainId]) {
        let current = config.config();
        let mut ready: Vec<Pending> = Vec::new();
        for mut pending in std::mem::take(&mut self.waiting) {
            if !config.is_fresh(pending.fresh) {
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
        let mut joined = Vec::new();
        let newest = current.version();
        for (pending, outcome) in ready.into_iter().zip(merge.outcomes) {
            match outcome {
                Outcome::Merged => joined.push(pending),
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
        let plan = Plan {
            entry,
            joined,
            domains,
        };
        if plan.has_no_home() {
            // Its units would be in force, but placed by nobody.
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
        plan: Plan,
        prefixes: Vec<String>,
        after: String,
        rows: Vec<Row>,
    ) {
        if let Some(prefix) = prefixes.last() {
            scan(cx, prefix, after.clone());
            self.round = Round::Rows {
                plan,
                prefixes,
                after,
                rows,
            };
        } else {
            self.commit(cx, config, plan, &rows);
        }
    }

    fn commit(&mut self, cx: &mut Cx<'_>, config: &ConfigSync, plan: Plan, rows: &[Row]) {
        let before = config.config();
        if plan.entry.version != before.version() + 1 {
            // Another entry has come in the meantime, by the table or by a peer.
            return self.put_back(plan);
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
            for pending in &plan.joined {
                let message = "too many changes wait for the table; try again later";
                pending.refuse(cx, Verdict::NotRun, message);
            }
            return;
        }
        self.next_entry = cx.now + ENTRY_INTERVAL;
        self.round = Round::Committing(plan);
    }

    /// Takes what became of the entry, and returns whether the configuration has changed.
    pub(super) fn settled(
        &mut self,
        cx: &mut Cx<'_>,
        config: &mut ConfigSync,
        settlement: &Settlement,
    ) -> bool {
        let Round::Committing(plan) = std::mem::take(&mut self.round) else {
            return false;
        };
        match settlement {
            Settlement::Committed { version } => {
                for (pending, made) in plan.joined.iter().zip(&plan.entry.submissions) {
                    pending.done(cx, message(plan.entry.version, made), plan.entry.version);
                }
                config.committed(cx, &plan.entry, *version)
            }
            Settlement::Conflict { .. } => {
                for mut pending in plan.joined {
                    pending.races += 1;
                    pending.fresh = config.want_fresh();
                    if pending.races <= RACES_MAX {
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

impl Plan {
    /// Whether units are to be placed but no failure domain can.
    fn has_no_home(&self) -> bool {
        let mut changes = self.entry.changes();
        self.domains.is_empty() && changes.any(|change| matches!(change, Change::SetUnit(_)))
    }

    /// Refuses all changes of the entry. The configuration has not changed.
    fn refuse(&self, cx: &mut Cx<'_>, verdict: Verdict, message: &str) -> bool {
        for pending in &self.joined {
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
