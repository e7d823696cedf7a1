//! Connects the lease of the domain with the table, with the other nodes and with the scheduler, which
//! runs while the lease is held.

use lease::{Input, LeaseRow, Output, QuestionId, RowState, WriteResult};
use model::{Epoch, NodeId, Time};
use peer::PeerMsg;
use store::{Check, StoreError, TableReq, TableResp, Write, decode, encode};

use super::{
    Node,
    calls::Purpose,
    event::Action,
    rows::lease_key,
    scheduler::{Policy, Scheduler},
};

impl Node {
    pub(super) fn lease_step(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        self.lease.step(now, input, &mut outputs);
        for output in outputs {
            self.lease_output(now, output, out);
        }
    }

    pub(super) fn lease_output(&mut self, now: Time, output: Output, out: &mut Vec<Action>) {
        let key = lease_key(self.me.domain);
        match output {
            Output::ReadRow { call } => {
                let purpose = Purpose::LeaseRead(call);
                self.calls.table(purpose, TableReq::Get { key }, out);
            }
            Output::WriteRow {
                call,
                expected,
                row,
            } => {
                let check = Check {
                    key: key.clone(),
                    version: expected,
                };
                let value = Some(encode(&row));
                let txn = store::Txn {
                    checks: vec![check],
                    writes: vec![Write { key, value }],
                };
                let purpose = Purpose::LeaseWrite(call);
                self.calls.table(purpose, TableReq::Commit(txn), out);
            }
            Output::Send { to, address, msg } => {
                if let Some(question) = msg.question() {
                    self.questions.insert((to, question), now);
                }
                self.lease_addresses.insert(to, address);
                out.push(Action::Peer {
                    to,
                    needs_new_connection: true,
                    msg: PeerMsg::Lease(msg),
                });
            }
            Output::Activated(epoch) => {
                log::info!(
                    "lease: {} schedules {} under {epoch}",
                    self.me.node,
                    self.me.domain
                );
                self.start_scheduler(now, epoch);
            }
            Output::Stopped(epoch) => {
                log::info!(
                    "lease: {} no longer schedules {} ({epoch})",
                    self.me.node,
                    self.me.domain
                );
                self.scheduler = None;
            }
        }
    }

    /// Stops the scheduler after a sign that another one may have acted: a higher epoch at a worker, or a
    /// transaction that met a conflict or whose result is unknown. Starts a new scheduler if the lease is
    /// still valid.
    pub(super) fn superseded(&mut self, now: Time, out: &mut Vec<Action>) {
        log::warn!(
            "node: stops scheduling {}: another scheduler or another transaction of this node may have acted",
            self.me.domain
        );
        let seen = self
            .scheduler
            .take()
            .and_then(|scheduler| scheduler.superseded_by());
        if let Some(epoch) = seen {
            self.lease_step(now, Input::EpochSeen(epoch), out);
        }
        // If the lease is still valid, the conflict came from a late transaction of this node itself. A
        // new scheduler then rebuilds its state from the table.
        if let Some(epoch) = self.lease.active_epoch(now) {
            self.start_scheduler(now, epoch);
        }
    }

    /// Reports to the lease the questions that were not answered in time.
    pub(super) fn expire_questions(&mut self, now: Time, out: &mut Vec<Action>) {
        let timeout = self.cfg.lease.ask_timeout;
        let overdue: Vec<(NodeId, QuestionId)> = self
            .questions
            .iter()
            .filter(|(_, sent)| now.since(**sent) >= timeout)
            .map(|(key, _)| *key)
            .collect();
        for (to, question) in overdue {
            self.question_failed(now, to, question, out);
        }
    }

    pub(super) fn question_failed(
        &mut self,
        now: Time,
        to: NodeId,
        question: QuestionId,
        out: &mut Vec<Action>,
    ) {
        if self.questions.remove(&(to, question)).is_some() {
            self.lease_step(now, Input::PeerFailed { to, question }, out);
        }
    }

    pub(super) fn start_scheduler(&mut self, now: Time, epoch: Epoch) {
        self.generation.0 += 1;
        let mut scheduler = Scheduler::new(
            now,
            self.cfg.scheduler.clone(),
            self.cfg.place.clone(),
            self.me.domain,
            epoch,
            self.generation,
        );
        let policy = Policy::new(self.config.config(), self.me.domain);
        scheduler.set_policy(now, policy);
        self.scheduler = Some(scheduler);
    }
}

pub(super) fn row_state(result: Result<TableResp, StoreError>) -> RowState {
    match result {
        Ok(TableResp::Row(None)) => RowState::Absent,
        Ok(TableResp::Row(Some(row))) => match decode::<LeaseRow>(&row.value) {
            Ok(lease) => RowState::Present(row.version, lease),
            Err(e) => {
                log::error!("lease: row {} cannot be read: {e}", row.key);
                RowState::Unreachable
            }
        },
        Ok(_) | Err(_) => RowState::Unreachable,
    }
}

pub(super) fn write_result(result: &Result<TableResp, StoreError>) -> WriteResult {
    match result {
        Ok(TableResp::Committed { version }) => WriteResult::Written(*version),
        Ok(TableResp::Conflict { .. }) => WriteResult::Conflict,
        Ok(_) | Err(StoreError::Lost(_)) => WriteResult::Unknown,
        Err(StoreError::Unreachable(_) | StoreError::Refused(_)) => WriteResult::NotWritten,
    }
}
