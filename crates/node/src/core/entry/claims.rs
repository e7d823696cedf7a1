//! Claims of requests that must not be repeated.
//!
//! Row `claim/<service>/<key>` is written before such a request is dispatched, on the condition that
//! there is none. Its states are: claimed (a request may be running), answered (with the answer, or
//! where it is kept), ran (the answer was too large or could not be kept). A claim is voided by
//! deleting its row: the key is then free again.
//!
//! All changes go through the node's group commit, which settles those whose reply was lost. A claim
//! that is not settled is neither dispatched nor reported as not run. While the table does not answer,
//! a claim that was surely not made is taken back from the group commit, so that its request is
//! refused as not run at once.

use std::{collections::BTreeMap, time::Duration};

use model::Time;
use route::{ClaimResult, ReqId, StoredAnswer};
use serde::{Deserialize, Serialize};
use store::{
    Check, ObjectReq, ObjectResp, Settlement, StoreError, TableReq, TableResp, Write, decode,
    encode,
};

use crate::core::calls::{Cx, Owner, Purpose};

/// A claim that is not settled after this time is taken back if it can be, and no others are made
/// until it is settled.
const PATIENCE: Duration = Duration::from_millis(500);
/// The largest answer that is kept in the claim's row, in bytes; larger ones go to the object store.
const INLINE_MAX_BYTES: usize = 4 << 10;

/// A claim as it stands in the table.
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
    /// The answer is kept in the object store under the row's key.
    AnsweredLarge,
    Ran,
}

/// How far a request's claim has come.
#[derive(Clone, Debug)]
enum Phase {
    /// The row is on its way to the table.
    Committing { since: Time },
    /// There is a row: it is being read.
    Reading,
    /// Another request's answer is being read from the object store.
    Fetching,
    /// The row is this request's.
    Held { version: u64 },
    /// The row is being deleted.
    Voiding,
    /// The answer is on its way to the object store.
    Storing { version: u64 },
    /// The answer is on its way to the row.
    Keeping,
}

#[derive(Clone, Debug)]
struct Claim {
    key: String,
    fingerprint: u64,
    phase: Phase,
}

/// What a router is told of a claim.
#[derive(Clone, Debug)]
pub(super) enum Told {
    Claim(ClaimResult),
    /// Whether the claim is void.
    Void(bool),
}

/// The claims of this node's requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Claims {
    claims: BTreeMap<ReqId, Claim>,
}

impl Claims {
    /// Begins a claim. Returns its result if none is made: because the table does not answer, or because
    /// another request with the key is under way at this node. That one's claim may be in the same
    /// transaction, where the checks of both would hold.
    pub(super) fn claim(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        service: &str,
        key: &str,
        fingerprint: u64,
    ) -> Option<ClaimResult> {
        if self.is_stuck(cx.now) {
            return Some(ClaimResult::Unreachable);
        }
        let key = format!("claim/{service}/{key}");
        let mut others = self.claims.values();
        if let Some(other) = others.find(|claim| claim.key == key && claim.is_own()) {
            let same = other.fingerprint == fingerprint;
            return Some(if same {
                ClaimResult::Uncertain
            } else {
                ClaimResult::Mismatch
            });
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
        };
        self.claims.insert(req, claim);
        None
    }

    /// Whether a claim has waited for the table for too long.
    fn is_stuck(&self, now: Time) -> bool {
        self.claims.values().any(|claim| claim.is_late(now))
    }

    /// Takes back the claims that have waited for too long and were surely not made.
    pub(super) fn tick(&mut self, cx: &mut Cx<'_>) -> Vec<(ReqId, Told)> {
        let late = self.claims.iter().filter(|(_, c)| c.is_late(cx.now));
        let late: Vec<ReqId> = late.map(|(req, _)| *req).collect();
        let mut told = Vec::new();
        for req in late {
            if cx.commits.withdraw(&Owner::Claim(req)) {
                self.claims.remove(&req);
                told.push((req, Told::Claim(ClaimResult::Unreachable)));
            }
        }
        told
    }

    /// A change of a claim's row is settled.
    pub(super) fn settled(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        settlement: &Settlement,
    ) -> Vec<(ReqId, Told)> {
        let Some(claim) = self.claims.get_mut(&req) else {
            return Vec::new();
        };
        let told = match (&claim.phase, settlement) {
            (Phase::Committing { .. }, Settlement::Committed { version }) => {
                claim.phase = Phase::Held { version: *version };
                return vec![(req, Told::Claim(ClaimResult::Claimed))];
            }
            (Phase::Committing { .. }, Settlement::Conflict { .. }) => {
                claim.phase = Phase::Reading;
                let key = claim.key.clone();
                cx.table(Purpose::Claim(req), TableReq::Get { key });
                return Vec::new();
            }
            (Phase::Committing { .. }, Settlement::NotRun) => {
                vec![(req, Told::Claim(ClaimResult::Unreachable))]
            }
            (Phase::Committing { .. }, Settlement::Refused { reason }) => {
                log::warn!("entry: the platform refused a claim: {reason}");
                vec![(req, Told::Claim(ClaimResult::Unreachable))]
            }
            (Phase::Voiding, Settlement::Committed { .. }) => vec![(req, Told::Void(true))],
            (Phase::Voiding, _) => vec![(req, Told::Void(false))],
            _ => Vec::new(),
        };
        self.claims.remove(&req);
        told
    }

    /// The row of an earlier request with the same key was read.
    pub(super) fn row_read(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<TableResp, StoreError>,
    ) -> Vec<(ReqId, Told)> {
        let Some(claim) = self.claims.get_mut(&req) else {
            return Vec::new();
        };
        let row: Option<ClaimRow> = match result {
            Ok(TableResp::Row(Some(row))) => decode(&row.value).ok(),
            // The row was voided in between, or cannot be read: the earlier request may have run.
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
        vec![(req, Told::Claim(result))]
    }

    /// The object store has answered.
    pub(super) fn object_answered(
        &mut self,
        cx: &mut Cx<'_>,
        req: ReqId,
        result: Result<ObjectResp, StoreError>,
    ) -> Vec<(ReqId, Told)> {
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
        vec![(req, Told::Claim(result))]
    }

    /// Forgets a request whose claim stands and will not be changed any more.
    pub(super) fn release(&mut self, req: ReqId) {
        let claim = self.claims.get(&req);
        if claim.is_some_and(|claim| matches!(claim.phase, Phase::Held { .. })) {
            self.claims.remove(&req);
        }
    }

    /// Begins to void a request's claim. Returns false if that is not possible.
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

    /// Keeps the answer of a request that has run. Where that fails, a resend is told that the request
    /// may have run.
    pub(super) fn keep(&mut self, cx: &mut Cx<'_>, req: ReqId, answer: Option<StoredAnswer>) {
        let Some(claim) = self.claims.get_mut(&req) else {
            return;
        };
        let Phase::Held { version } = claim.phase else {
            return;
        };
        let Some(answer) = answer else {
            return self.write_answer(cx, req, version, ClaimState::Ran);
        };
        let value = encode(&answer);
        if value.len() <= INLINE_MAX_BYTES {
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
        claim.phase = Phase::Keeping;
        let row = ClaimRow {
            fingerprint: claim.fingerprint,
            state,
        };
        let key = claim.key.clone();
        if !push(cx, req, &key, Some(version), Some(&row)) {
            log::warn!("entry: the answer of {key} is not kept: too many changes wait");
            self.claims.remove(&req);
        }
    }
}

impl Claim {
    /// Whether the row is this request's, or may become so.
    const fn is_own(&self) -> bool {
        !matches!(self.phase, Phase::Reading | Phase::Fetching)
    }

    fn is_late(&self, now: Time) -> bool {
        matches!(self.phase, Phase::Committing { since } if now.since(since) >= PATIENCE)
    }
}

/// Hands a change of a claim's row to the group commit.
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
