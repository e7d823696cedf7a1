//! Claims of requests that must not be repeated.
//!
//! Before such a request is dispatched, the row `claim/<service>/<key>` is written on the condition
//! that it does not exist. Its states are: claimed (a request may be running), answered (with the
//! answer, or a mark that the object store has it) and ran (the answer was too large or could not be
//! stored). A claim is voided by deleting its row, which frees the key.
//!
//! All changes go through the node's group commit, which settles those whose reply was lost. A request
//! whose claim is not settled is neither dispatched nor reported as not run. While the table does not
//! answer, a claim that was certainly not made is withdrawn from the group commit, so that its request
//! can be refused as not run at once.

use std::{collections::BTreeMap, time::Duration};

use model::Time;
use route::{ClaimResult, ReqId, StoredAnswer};
use serde::{Deserialize, Serialize};
use store::{
    Check, ObjectReq, ObjectResp, Settlement, StoreError, TableReq, TableResp, Write, decode,
    encode,
};

use crate::core::calls::{Cx, Owner, Purpose};

/// The time after which an unsettled claim is withdrawn if possible. Otherwise no other claims are made
/// until it is settled.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest encoded answer that is stored in the claim's row, in bytes. Larger ones are stored in
/// the object store.
const MAX_INLINE_BYTES: usize = 4 << 10;

/// The row of a claim in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct ClaimRow {
    fingerprint: u64,
    state: ClaimState,
}

#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum ClaimState {
    Claimed,
    Answered(StoredAnswer),
    /// The answer is in the object store under the row's key.
    AnsweredLarge,
    Ran,
}

/// The state of a request's claim at this node.
#[derive(Clone, Debug)]
enum Phase {
    /// The row is being written.
    Committing { since: Time },
    /// The row exists already and is being read.
    Reading,
    /// The answer of an earlier request is being read from the object store.
    Fetching,
    /// The row belongs to this request.
    Held { version: u64 },
    /// The row is being deleted.
    Voiding,
    /// The answer is being written to the object store.
    Storing { version: u64 },
    /// The answer is being written to the row.
    WritingAnswer,
}

#[derive(Clone, Debug)]
struct Claim {
    key: String,
    fingerprint: u64,
    phase: Phase,
    /// The answer, while it is being stored.
    answer: Option<StoredAnswer>,
}

/// An outcome that is passed on to the router.
#[derive(Clone, Debug)]
pub(super) enum ClaimOutcome {
    Claim(ClaimResult),
    /// Whether the claim was voided.
    Void(bool),
}

/// The claims of this node's requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    claims: BTreeMap<ReqId, Claim>,
}

impl Claims {
    /// Begins a claim. Returns a result at once if no claim is made, either because the table does not
    /// answer or because this node has another request with the same key. Both claims could otherwise
    /// end up in one transaction, in which the checks of both would hold.
    pub(super) fn claim(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        service: &str,
        key: &str,
        fingerprint: u64,
    ) -> Option<ClaimResult> {
        let key = format!("claim/{service}/{key}");
        let mut others = self.claims.values();
        if let Some(other) = others.find(|claim| claim.key == key && claim.is_own()) {
            let is_same = other.fingerprint == fingerprint;
            return Some(match &other.answer {
                _ if !is_same => ClaimResult::Mismatch,
                Some(answer) => ClaimResult::Answered(answer.clone()),
                None => ClaimResult::Uncertain,
            });
        }
        // Checked last, as another request with the key may be running or be dispatched later.
        if self.is_stuck(cx.now) {
            return Some(ClaimResult::Unreachable);
        }
        let row = ClaimRow {
            fingerprint,
            state: ClaimState::Claimed,
        };
        let phase = Phase::Committing { since: cx.now };
        if !push(cx, req, &key, None, Some(&row)) {
            return Some(ClaimResult::Unreachable);
        }
        let claim = Claim {
            key,
            fingerprint,
            phase,
            answer: None,
        };
        self.claims.insert(req, claim);
        None
    }

    /// Whether any claim is overdue.
    fn is_stuck(&self, now: Time) -> bool {
        self.claims.values().any(|claim| claim.is_overdue(now))
    }

    /// Withdraws overdue claims that are certain not to have been made, and returns their outcomes.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<(ReqId, ClaimOutcome)> {
        let overdue = self.claims.iter().filter(|(_, c)| c.is_overdue(cx.now));
        let overdue: Vec<ReqId> = overdue.map(|(req, _)| *req).collect();
        let mut outcomes = Vec::new();
        for req in overdue {
            if cx.commits.withdraw(&Owner::Claim(req)) {
                self.claims.remove(&req);
                outcomes.push((req, ClaimOutcome::Claim(ClaimResult::Unreachable)));
            }
        }
        outcomes
    }

    /// Handles the settlement of a change to a claim's row.
    pub(super) fn settled(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        settlement: &Settlement,
    ) -> Vec<(ReqId, ClaimOutcome)> {
        let Some(claim) = self.claims.get_mut(&req) else {
            return Vec::new();
        };
        let outcomes = match (&claim.phase, settlement) {
            (Phase::Committing { .. }, Settlement::Committed { version }) => {
                claim.phase = Phase::Held { version: *version };
                return vec![(req, ClaimOutcome::Claim(ClaimResult::Claimed))];
            }
            (Phase::Committing { .. }, Settlement::Conflict { .. }) => {
                claim.phase = Phase::Reading;
                let key = claim.key.clone();
                cx.table(Purpose::Claim(req), TableReq::Get { key });
                return Vec::new();
            }
            (Phase::Committing { .. }, Settlement::NotRun) => {
                vec![(req, ClaimOutcome::Claim(ClaimResult::Unreachable))]
            }
            (Phase::Committing { .. }, Settlement::Refused { reason }) => {
                log::warn!("entry: the platform refused a claim: {reason}");
                vec![(req, ClaimOutcome::Claim(ClaimResult::Unreachable))]
            }
            (Phase::Voiding, Settlement::Committed { .. }) => vec![(req, ClaimOutcome::Void(true))],
            (Phase::Voiding, _) => vec![(req, ClaimOutcome::Void(false))],
            _ => Vec::new(),
        };
        self.claims.remove(&req);
        outcomes
    }

    /// Handles the read of the row of an earlier request with the same key.
    pub(super) fn row_read(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<TableResp, StoreError>,
    ) -> Vec<(ReqId, ClaimOutcome)> {
        let Some(claim) = self.claims.get_mut(&req) else {
            return Vec::new();
        };
        let row: Option<ClaimRow> = match result {
            Ok(TableResp::Row(Some(row))) => decode(&row.value).ok(),
            // The row was voided in the meantime or cannot be read, so the earlier request may have
            // run.
            _ => None,
        };
        let result = match row {
            None => ClaimResult::Uncertain,
            Some(row) if row.fingerprint != claim.fingerprint => ClaimResult::Mismatch,
            Some(row) => match row.state {
                ClaimState::Claimed => ClaimResult::Uncertain,
                ClaimState::Ran => ClaimResult::Ran,
                ClaimState::Answered(answer) => ClaimResult::Answered(answer),
                ClaimState::AnsweredLarge => {
                    claim.phase = Phase::Fetching;
                    let key = claim.key.clone();
                    cx.object(Purpose::Claim(req), ObjectReq::Get { key });
                    return Vec::new();
                }
            },
        };
        self.claims.remove(&req);
        vec![(req, ClaimOutcome::Claim(result))]
    }

    /// Handles an answer of the object store.
    pub(super) fn object_answered(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<ObjectResp, StoreError>,
    ) -> Vec<(ReqId, ClaimOutcome)> {
        let Some(claim) = self.claims.get(&req) else {
            return Vec::new();
        };
        if let Phase::Storing { version } = claim.phase {
            let state = if result.is_ok() {
                ClaimState::AnsweredLarge
            } else {
                ClaimState::Ran
            };
            self.write_answer(cx, req, version, state);
            return Vec::new();
        }
        let answer = match result {
            Ok(ObjectResp::Object(Some(bytes))) => decode(&bytes).ok(),
            _ => None,
        };
        self.claims.remove(&req);
        let result = answer.map_or(ClaimResult::Ran, ClaimResult::Answered);
        vec![(req, ClaimOutcome::Claim(result))]
    }

    /// Removes the claim of a finished request from memory if no change to its row is in progress.
    pub(super) fn release(&mut self, req: ReqId) {
        let claim = self.claims.get(&req);
        if claim.is_some_and(|claim| matches!(claim.phase, Phase::Held { .. })) {
            self.claims.remove(&req);
        }
    }

    /// Begins to void the claim of a request. Returns `false` if that is not possible.
    pub(super) fn void(&mut self, cx: &mut Cx<'_>, req: ReqId) -> bool {
        let Some(claim) = self.claims.get_mut(&req) else {
            return false;
        };
        let Phase::Held { version } = claim.phase else {
            return false;
        };
        claim.phase = Phase::Voiding;
        let key = claim.key.clone();
        let pushed = push(cx, req, &key, Some(version), None);
        if !pushed {
            self.claims.remove(&req);
        }
        pushed
    }

    /// Stores the answer of a request that has run, or marks the request as run if there is none. If
    /// that fails, a resend is answered that the request may have run.
    pub(super) fn keep_answer(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        answer: Option<StoredAnswer>,
    ) {
        let Some(claim) = self.claims.get_mut(&req) else {
            return;
        };
        let Phase::Held { version } = claim.phase else {
            return;
        };
        let Some(answer) = answer else {
            return self.write_answer(cx, req, version, ClaimState::Ran);
        };
        claim.answer = Some(answer.clone());
        let value = encode(&answer);
        if value.len() <= MAX_INLINE_BYTES {
            return self.write_answer(cx, req, version, ClaimState::Answered(answer));
        }
        claim.phase = Phase::Storing { version };
        let key = claim.key.clone();
        cx.object(Purpose::Claim(req), ObjectReq::Put { key, value });
    }

    fn write_answer(&mut self, cx: &mut Cx<'_>, req: ReqId, version: u64, state: ClaimState) {
        let Some(claim) = self.claims.get_mut(&req) else {
            return;
        };
        claim.phase = Phase::WritingAnswer;
        let row = ClaimRow {
            fingerprint: claim.fingerprint,
            state,
        };
        let key = claim.key.clone();
        if !push(cx, req, &key, Some(version), Some(&row)) {
            log::warn!("entry: the answer of {key} is not stored: the queue of changes is full");
            self.claims.remove(&req);
        }
    }
}

impl Claim {
    /// Whether the row belongs to this request or may come to belong to it.
    const fn is_own(&self) -> bool {
        !matches!(self.phase, Phase::Reading | Phase::Fetching)
    }

    fn is_overdue(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Committing { since } if now.since(since) >= COMMIT_TIMEOUT)
    }
}

/// Queues a change to a claim's row in the group commit. Returns `false` if the queue is full.
fn push(
    cx: &mut Cx<'_>,
    req: ReqId,
    key: &str,
    version: Option<u64>,
    row: Option<&ClaimRow>,
) -> bool {
    let check = Check {
        key: key.to_owned(),
        version,
    };
    let write = Write {
        key: key.to_owned(),
        value: row.map(encode),
    };
    let pushed = cx
        .commits
        .push(cx.now, Owner::Claim(req), vec![check], vec![write]);
    pushed.is_ok()
}
