//! The bookkeeping of a node's calls to the platform and of its queued changes to the table.

use std::collections::BTreeMap;

use model::{Incarnation, NodeId, Time};
use route::ReqId;
use store::{
    Check, CommitChange, CommitConfig, CommitOutput, GroupCommit, ObjectReq, PushError, Settlement,
    StoreError, TableReq, TableResp, WorkerCall, Write,
};

use super::{
    event::{Action, CallId, OperatorCallId},
    scheduler::{Change, Generation, Read},
};

/// The purpose of a call to the platform, which decides where its answer goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    LeaseRead(u64),
    LeaseWrite(u64),
    Commit,
    ConfigHead,
    ConfigEntries,
    Members,
    ConfigSnapshot,
    ConfigCompact,
    Scheduler(Generation, Read),
    Operator(OperatorCallId),
    /// The row or object of a request's claim.
    Claim(ReqId),
    /// Rows that the configuration's next entry depends on.
    Publishing,
    Worker {
        generation: Generation,
        sent: Time,
    },
}

/// The receiver of the settlement of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// None: the settlement is ignored.
    Unowned,
    Scheduler(Generation, Change),
    /// A request that must not be repeated.
    Claim(ReqId),
    /// The configuration's next entry.
    Publishing,
}

/// The calls that have not been answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Calls {
    last: u64,
    pending: BTreeMap<CallId, Purpose>,
}

impl Calls {
    pub(crate) fn table(&mut self, purpose: Purpose, req: TableReq, out: &mut Vec<Action>) {
        let call = self.add(purpose);
        out.push(Action::Table(call, req));
    }

    pub(crate) fn object(&mut self, purpose: Purpose, req: ObjectReq, out: &mut Vec<Action>) {
        let call = self.add(purpose);
        out.push(Action::Object(call, req));
    }

    pub(crate) fn worker(
        &mut self,
        generation: Generation,
        now: Time,
        req: WorkerCall,
        out: &mut Vec<Action>,
    ) {
        let sent = now;
        let call = self.add(Purpose::Worker { generation, sent });
        out.push(Action::Worker(call, req));
    }

    /// Removes an answered call and returns its purpose, or `None` if it was answered before.
    pub(crate) fn answered(&mut self, call: CallId) -> Option<Purpose> {
        self.pending.remove(&call)
    }

    fn add(&mut self, purpose: Purpose) -> CallId {
        self.last += 1;
        let call = CallId(self.last);
        self.pending.insert(call, purpose);
        call
    }
}

/// The node's group commit with the owners of its changes.
#[derive(Clone, Debug)]
pub(crate) struct Commits {
    group: GroupCommit,
    owners: BTreeMap<u64, Owner>,
    last_tag: u64,
}

impl Commits {
    pub(crate) fn new(cfg: CommitConfig, node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            group: GroupCommit::new(cfg, node, incarnation),
            owners: BTreeMap::new(),
            last_tag: 0,
        }
    }

    pub(crate) fn unsettled(&self) -> usize {
        self.group.unsettled()
    }

    pub(crate) fn transactions(&self) -> u64 {
        self.group.transactions()
    }

    pub(crate) fn push(
        &mut self,
        now: Time,
        owner: Owner,
        checks: Vec<Check>,
        writes: Vec<Write>,
    ) -> Result<(), PushError> {
        let tag = self.last_tag + 1;
        let change = CommitChange {
            tag,
            checks,
            writes,
        };
        self.group.push(now, change)?;
        self.last_tag = tag;
        self.owners.insert(tag, owner);
        Ok(())
    }

    /// Withdraws the newest change of an owner if it was certainly not made, so that it never will be.
    /// Returns whether it was withdrawn.
    pub(crate) fn withdraw(&mut self, owner: &Owner) -> bool {
        let tag = self.owners.iter().rev().find(|(_, other)| *other == owner);
        let Some(tag) = tag.map(|(tag, _)| *tag) else {
            return false;
        };
        let is_withdrawn = self.group.withdraw(tag);
        if is_withdrawn {
            self.owners.remove(&tag);
        }
        is_withdrawn
    }

    /// Makes the next call if one is due, and returns the changes that were given up.
    pub(crate) fn poll(
        &mut self,
        now: Time,
        calls: &mut Calls,
        out: &mut Vec<Action>,
    ) -> Vec<(Owner, Settlement)> {
        let mut outputs = Vec::new();
        self.group.poll(now, &mut outputs);
        self.carry_out(outputs, calls, out)
    }

    /// Handles the result of a commit's call, and returns the changes that it settles.
    pub(crate) fn reply(
        &mut self,
        now: Time,
        result: Result<TableResp, StoreError>,
        calls: &mut Calls,
        out: &mut Vec<Action>,
    ) -> Vec<(Owner, Settlement)> {
        let mut outputs = Vec::new();
        self.group.reply(now, result, &mut outputs);
        self.carry_out(outputs, calls, out)
    }

    fn carry_out(
        &mut self,
        outputs: Vec<CommitOutput>,
        calls: &mut Calls,
        out: &mut Vec<Action>,
    ) -> Vec<(Owner, Settlement)> {
        let mut settled = Vec::new();
        for output in outputs {
            match output {
                CommitOutput::Call(req) => calls.table(Purpose::Commit, req, out),
                CommitOutput::Settled(tag, settlement) => {
                    let owner = self.owners.remove(&tag).unwrap_or(Owner::Unowned);
                    settled.push((owner, settlement));
                }
            }
        }
        settled
    }
}

/// The context of a handler: the time, the node's calls and commits, and the list of actions.
pub(crate) struct Cx<'a> {
    pub(crate) now: Time,
    pub(crate) calls: &'a mut Calls,
    pub(crate) commits: &'a mut Commits,
    pub(crate) out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    pub(crate) fn table(&mut self, purpose: Purpose, req: TableReq) {
        self.calls.table(purpose, req, self.out);
    }

    pub(crate) fn object(&mut self, purpose: Purpose, req: ObjectReq) {
        self.calls.object(purpose, req, self.out);
    }
}
