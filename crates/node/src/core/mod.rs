//! A node's decisions as one state machine: events in, actions out.
//!
//! The daemon and the embedded cell drive the same machine. It does no I/O and reads no clock.

mod calls;
mod config_sync;
mod dump;
mod entry;
mod event;
mod jobs;
mod operators;
mod poll;
mod rows;
mod scheduler;
mod settings;
mod workers;

use std::time::Duration;

use lease::{Holder, Input, LeaseMachine, LeaseRow, Output, RowState, WriteResult};
use model::Time;
use peer::{DomainView, GrantView, PeerMsg};
use route::Offer;
use store::{Check, Settlement, StoreError, TableReq, TableResp, Write, decode, encode};

use self::{
    calls::{Calls, Commits, Cx, Owner, Purpose},
    config_sync::ConfigSync,
    entry::Entry,
    operators::{MEMBER_PREFIX, MemberRow, Operators},
    rows::lease_key,
    scheduler::Scheduler,
};
pub use self::{
    dump::{Dump, SchedulerDump},
    event::{Action, CallId, Event, OperatorId},
    settings::{ConfigSyncConfig, Identity, NodeConfig, SchedulerConfig},
};

/// How many requests a backend server takes at a time.
const SLOTS_PER_WORKER: u32 = 8;
/// How many connections a backend server takes at a time.
const CONNECTIONS_PER_WORKER: u32 = 64;
/// How often the domain's nodes are told what they may serve.
const VIEW_INTERVAL: Duration = Duration::from_secs(1);

/// One node.
#[derive(Clone, Debug)]
pub struct Node {
    cfg: NodeConfig,
    me: Identity,
    calls: Calls,
    commits: Commits,
    lease: LeaseMachine,
    config: ConfigSync,
    entry: Entry,
    operators: Operators,
    scheduler: Option<Scheduler>,
    next_view: Time,
    registered: bool,
    leaving: bool,
}

impl Node {
    /// A node that has just started.
    #[must_use]
    pub fn new(cfg: NodeConfig, me: Identity) -> Self {
        let holder = Holder {
            node: me.node,
            incarnation: me.incarnation,
            address: me.peer_address.clone(),
        };
        Self {
            calls: Calls::default(),
            commits: Commits::new(cfg.commit.clone(), me.node, me.incarnation),
            lease: LeaseMachine::new(cfg.lease.clone(), holder),
            config: ConfigSync::new(&cfg.config),
            entry: Entry::new(cfg.route.clone()),
            operators: Operators::new(me.clone()),
            scheduler: None,
            next_view: Time::ZERO,
            registered: false,
            leaving: false,
            cfg,
            me,
        }
    }

    /// Whether callers and operators may be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_known() && !self.leaving
    }

    /// The node's state as an operator sees it.
    #[must_use]
    pub fn dump(&self, now: Time) -> Dump {
        let recalls = self.config.config().recalls().keys();
        Dump {
            node: self.me.node.to_string(),
            domain: self.me.domain.to_string(),
            region: self.me.region.to_string(),
            uptime_ms: now.as_ms(),
            ready: self.is_ready(),
            config_version: self.config.config().version(),
            stale_heads: self.config.stale_heads(),
            recalls: recalls.map(ToString::to_string).collect(),
            unsettled_changes: self.commits.unsettled(),
            transactions: self.commits.transactions(),
            scheduler: self.scheduler.as_ref().map(Scheduler::dump),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Table(call, result) => self.table_answered(now, call, result, out),
            Event::Vms(result) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.vms(now, result);
                }
            }
            Event::Worker(call, worker, result) => {
                if let Some(Purpose::Worker { sent, .. }) = self.calls.answered(call)
                    && let Some(scheduler) = &mut self.scheduler
                {
                    scheduler.worker_answered(now, worker, sent, result);
                }
            }
            Event::Operator(id, req) => {
                let (mut cx, parts) = self.split(now, out);
                parts.operators.call(&mut cx, parts.config, id, req);
            }
            Event::Peer(from, PeerMsg::Lease(msg)) => {
                self.lease_step(now, Input::Peer { from, msg }, out);
            }
            Event::Request {
                req,
                service,
                key,
                forwarded,
            } => {
                let offer = Offer {
                    req,
                    service,
                    key,
                    forwarded,
                };
                self.entry.offer(now, &offer, out);
            }
            Event::Finished(req, outcome) => self.entry.finished(now, req, outcome, out),
            Event::Peer(from, PeerMsg::Heartbeat(heartbeat)) => {
                let (mut cx, parts) = self.split(now, out);
                let version = heartbeat.config_version;
                parts
                    .config
                    .peer_version(&mut cx, from, heartbeat.domain, version);
            }
            Event::Peer(from, PeerMsg::ConfigWanted { after }) => {
                if let Some(news) = self.config.entries_after(after) {
                    out.push(Action::Peer(from, PeerMsg::ConfigEntries(news)));
                }
            }
            Event::Peer(_, PeerMsg::ConfigEntries(news)) => {
                if self.config.take_entries(news) {
                    self.config_changed();
                }
            }
            Event::Object(..) | Event::Peer(..) => {}
            Event::Shutdown => self.shutdown(now, out),
        }
        self.commits.poll(now, &mut self.calls, out);
    }

    fn split<'a>(&'a mut self, now: Time, out: &'a mut Vec<Action>) -> (Cx<'a>, Parts<'a>) {
        let cx = Cx {
            now,
            calls: &mut self.calls,
            commits: &mut self.commits,
            out,
        };
        let parts = Parts {
            config: &mut self.config,
            operators: &mut self.operators,
            scheduler: &mut self.scheduler,
        };
        (cx, parts)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.lease_step(now, Input::Tick, out);
        self.register();
        let valid_until = self.lease.valid_until(now);
        let (mut cx, parts) = self.split(now, out);
        parts.config.tick(&mut cx);
        parts.operators.tick(&mut cx, parts.config);
        if let (Some(scheduler), Some(valid_until)) = (parts.scheduler, valid_until) {
            scheduler.tick(&mut cx, valid_until);
        }
        self.share_view(now);
        self.entry.tick(now, out);
        if self.leaving && self.entry.in_flight() == 0 && self.commits.unsettled() == 0 {
            out.push(Action::Exit);
        }
        if self
            .scheduler
            .as_ref()
            .is_some_and(Scheduler::is_superseded)
        {
            log::warn!("node: stops scheduling {}", self.me.domain);
            self.scheduler = None;
        }
    }

    /// Lets this node serve the domain's backend servers while it is their scheduler.
    fn share_view(&mut self, now: Time) {
        let Some(scheduler) = self.scheduler.as_ref().filter(|_| now >= self.next_view) else {
            return;
        };
        self.next_view = now + VIEW_INTERVAL;
        let backends = scheduler.backends();
        let grants = backends.iter().map(|backend| GrantView {
            worker: backend.worker,
            slots: SLOTS_PER_WORKER,
            connections: CONNECTIONS_PER_WORKER,
        });
        let view = DomainView {
            epoch: scheduler.epoch(),
            answers: 0,
            term: self.cfg.lease.term,
            grants: grants.collect(),
            backends,
        };
        self.entry.set_view(now, &view);
    }

    /// Writes this node's row among the members.
    fn register(&mut self) {
        if self.registered {
            return;
        }
        let row = MemberRow {
            domain: self.me.domain,
            address: self.me.peer_address.clone(),
        };
        let write = Write {
            key: format!("{MEMBER_PREFIX}{}", self.me.node),
            value: Some(encode(&row)),
        };
        self.registered = self
            .commits
            .push(Owner::Nobody, Vec::new(), vec![write])
            .is_ok();
    }

    fn table_answered(
        &mut self,
        now: Time,
        call: CallId,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<Action>,
    ) {
        let Some(purpose) = self.calls.answered(call) else {
            return;
        };
        match purpose {
            Purpose::LeaseRead(call) => {
                let state = row_state(result);
                self.lease_step(now, Input::RowRead { call, state }, out);
            }
            Purpose::LeaseWrite(call) => {
                let result = write_result(&result);
                self.lease_step(now, Input::RowWritten { call, result }, out);
            }
            Purpose::Commit => {
                let settled = self.commits.reply(now, result, &mut self.calls, out);
                for (owner, settlement) in settled {
                    self.settled(now, owner, settlement, out);
                }
            }
            Purpose::ConfigHead => {
                let (mut cx, parts) = self.split(now, out);
                parts.config.head_read(&mut cx, result);
            }
            Purpose::ConfigEntries => {
                let (mut cx, parts) = self.split(now, out);
                if parts.config.entries_read(&mut cx, result) {
                    self.config_changed();
                }
            }
            Purpose::ConfigSnapshot => {
                let (mut cx, parts) = self.split(now, out);
                if parts.config.snapshot_read(&mut cx, result) {
                    self.config_changed();
                }
            }
            Purpose::ConfigCompact => {
                let (mut cx, parts) = self.split(now, out);
                parts.config.compact(&mut cx, result);
            }
            Purpose::Publishing => {
                let (mut cx, parts) = self.split(now, out);
                parts
                    .operators
                    .publishing_read(&mut cx, parts.config, result);
            }
            Purpose::Operator(id) => {
                let (mut cx, parts) = self.split(now, out);
                parts.operators.rows_read(&mut cx, parts.config, id, result);
            }
            Purpose::StateScan | Purpose::InboxScan | Purpose::InboxUnit(..) => {
                self.scheduler_answered(now, purpose, result, out);
            }
            Purpose::Worker { .. } => {}
        }
    }

    fn scheduler_answered(
        &mut self,
        now: Time,
        purpose: Purpose,
        result: Result<TableResp, StoreError>,
        out: &mut Vec<Action>,
    ) {
        let (mut cx, parts) = self.split(now, out);
        let Some(scheduler) = parts.scheduler else {
            return;
        };
        match purpose {
            Purpose::StateScan => scheduler.rows_read(now, result),
            Purpose::InboxScan => scheduler.inbox_read(&mut cx, result),
            Purpose::InboxUnit(id, notice) => scheduler.unit_read(now, &id, notice, result),
            _ => {}
        }
    }

    fn settled(&mut self, now: Time, owner: Owner, settlement: Settlement, out: &mut Vec<Action>) {
        let (mut cx, parts) = self.split(now, out);
        match owner {
            Owner::Nobody => {}
            Owner::State(id) => {
                if let Some(scheduler) = parts.scheduler {
                    scheduler.state_settled(now, &id, settlement);
                }
            }
            Owner::Publishing => {
                let operators = parts.operators;
                if operators.settled(&mut cx, parts.config, &settlement) {
                    self.config_changed();
                }
            }
        }
    }

    fn config_changed(&mut self) {
        log::info!(
            "config: version {} is in force",
            self.config.config().version()
        );
        self.entry.set_config(self.config.config());
        if let Some(scheduler) = &mut self.scheduler {
            scheduler.set_teams(self.config.config().teams().values());
            scheduler.read_inbox_soon();
        }
    }

    fn lease_step(&mut self, now: Time, input: Input, out: &mut Vec<Action>) {
        let mut outputs = Vec::new();
        self.lease.step(now, input, &mut outputs);
        for output in outputs {
            self.lease_output(now, output, out);
        }
    }

    fn lease_output(&mut self, now: Time, output: Output, out: &mut Vec<Action>) {
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
            Output::Broadcast(_) => {}
            Output::Activated(epoch) => {
                log::info!(
                    "lease: {} schedules {} under {epoch}",
                    self.me.node,
                    self.me.domain
                );
                let cfg = self.cfg.scheduler.clone();
                let place = self.cfg.place.clone();
                let mut scheduler = Scheduler::new(now, cfg, place, self.me.domain, epoch);
                scheduler.set_teams(self.config.config().teams().values());
                self.scheduler = Some(scheduler);
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

    fn shutdown(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.leaving {
            self.leaving = true;
            self.lease_step(now, Input::HandOver, out);
        }
    }
}

struct Parts<'a> {
    config: &'a mut ConfigSync,
    operators: &'a mut Operators,
    scheduler: &'a mut Option<Scheduler>,
}

fn row_state(result: Result<TableResp, StoreError>) -> RowState {
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

fn write_result(result: &Result<TableResp, StoreError>) -> WriteResult {
    match result {
        Ok(TableResp::Committed { version }) => WriteResult::Written(*version),
        Ok(TableResp::Conflict { .. }) => WriteResult::Conflict,
        Ok(_) | Err(StoreError::Lost(_)) => WriteResult::Unknown,
        Err(StoreError::Unreachable(_) | StoreError::Refused(_)) => WriteResult::NotWritten,
    }
}
