//! The logic of a node as a state machine that handles events and returns actions.
//!
//! It does no I/O and reads no clock. The daemon and the embedded cell drive the same machine.

mod calls;
mod config_sync;
mod dump;
mod entry;
mod event;
mod leadership;
mod members;
mod operators;
mod peers;
mod poll;
mod requests;
mod rows;
mod scheduler;
mod serving;
mod settings;
mod views;

use std::collections::BTreeMap;

use lease::{Holder, Input, LeaseMachine, QuestionId};
use model::{NodeId, Time};
use peer::PeerMsg;
use route::RouteConfig;
use store::{Settlement, StoreError, TableResp};

use self::{
    calls::{Calls, Commits, Cx, Owner, Purpose},
    config_sync::ConfigSync,
    entry::Entry,
    leadership::{row_state, write_result},
    members::Members,
    operators::Operators,
    scheduler::{Generation, Policy, Scheduler},
    views::{OwnView, Views},
};
use crate::api::OperatorReq;

pub use self::{
    dump::{Dump, MemberDump, SchedulerDump, WorkerDump},
    event::{Action, CallId, Event, OperatorCallId},
    requests::RequestNode,
    settings::{ConfigSyncConfig, Identity, MembersConfig, NodeConfig, SchedulerConfig},
};

/// The state machine of one node.
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
    generation: Generation,
    members: Members,
    /// The addresses to which the lease's questions go, including those of nodes that are no longer
    /// members.
    lease_addresses: BTreeMap<NodeId, String>,
    /// The lease's unanswered questions to other nodes, with the time at which each was sent.
    questions: BTreeMap<(NodeId, QuestionId), Time>,
    views: Option<Views>,
    view: OwnView,
    next_own_view: Time,
    next_remotes_refresh: Time,
    next_expiry_check: Time,
    is_shutting_down: bool,
}

impl Node {
    /// Creates a node that has just started.
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
            entry: Entry::new(RouteConfig {
                seed: cfg.route.seed ^ me.incarnation.0 ^ u64::from(me.node.0),
                ..cfg.route.clone()
            }),
            operators: Operators::new(me.clone()),
            scheduler: None,
            generation: Generation::default(),
            questions: BTreeMap::new(),
            lease_addresses: BTreeMap::new(),
            members: Members::new(cfg.members.clone(), me.clone()),
            views: None,
            view: OwnView::default(),
            next_own_view: Time::ZERO,
            next_remotes_refresh: Time::ZERO,
            next_expiry_check: Time::ZERO,
            is_shutting_down: false,
            cfg,
            me,
        }
    }

    /// Whether the node serves callers and operators.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.config.is_ready() && !self.is_shutting_down
    }

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> &config::Config {
        self.config.config()
    }

    /// Whether the node is shutting down.
    #[must_use]
    pub const fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Returns the node's state as operators see it.
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
            members: self.member_dumps(now),
            free: self.view.free(),
            free_elsewhere: self
                .members
                .free_elsewhere(now)
                .map(|(domain, free)| (domain.to_string(), free))
                .collect(),
            requests: self.entry.dump(),
            scheduler: self.scheduler.as_ref().map(Scheduler::dump),
        }
    }

    fn member_dumps(&self, now: Time) -> BTreeMap<String, MemberDump> {
        let versions = self.members.config_versions(now).into_iter();
        let dumps = versions.map(|(node, (domain, version, age))| {
            let age_ms = age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
            let dump = MemberDump {
                domain: domain.to_string(),
                config_version: version,
                heard_ms_ago: age_ms,
            };
            (node.to_string(), dump)
        });
        dumps.collect()
    }

    /// The address of another node, or `None` if it is not known.
    #[must_use]
    pub fn address(&self, node: NodeId) -> Option<&str> {
        let known = self.members.address(node);
        known.or_else(|| self.lease_addresses.get(&node).map(String::as_str))
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now, out),
            Event::Table(call, result) => self.table_answered(now, call, result, out),
            Event::Vms(result) => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.vms_listed(now, result);
                }
            }
            Event::Worker(call, worker, result) => {
                if let Some(Purpose::Worker { generation, sent }) = self.calls.answered(call)
                    && let Some(scheduler) = current(&mut self.scheduler, generation)
                {
                    scheduler.worker_answered(now, worker, sent, result);
                }
            }
            Event::Operator(id, OperatorReq::Drain { node }) => self.drain(now, id, node, out),
            Event::Operator(id, req) => {
                let (mut cx, parts) = self.split(now, out);
                parts
                    .operators
                    .call(&mut cx, parts.config, parts.members, id, req);
            }
            Event::Peer(from, msg) => self.peer(now, from, msg, out),
            Event::Request(req) => {
                let (mut cx, parts) = self.split(now, out);
                parts.entry.submit(&mut cx, &req);
            }
            Event::AttemptFinished(end) => {
                let (mut cx, parts) = self.split(now, out);
                parts.entry.attempt_finished(&mut cx, &end);
            }
            Event::Object(call, result) => {
                if let Some(Purpose::Claim(req)) = self.calls.answered(call) {
                    let (mut cx, parts) = self.split(now, out);
                    parts.entry.claim_object(&mut cx, req, result);
                }
            }
            Event::PeerFailed(to, PeerMsg::Lease(msg)) => {
                if let Some(question) = msg.question() {
                    self.question_failed(now, to, question, out);
                }
            }
            Event::PeerFailed(..) => {}
            Event::Shutdown => self.shutdown(now, out),
        }
        let given_up = self.commits.poll(now, &mut self.calls, out);
        for (owner, settlement) in given_up {
            self.settled(now, owner, settlement, out);
        }
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
            members: &mut self.members,
            view: &self.view,
            operators: &mut self.operators,
            scheduler: &mut self.scheduler,
            entry: &mut self.entry,
        };
        (cx, parts)
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.expire_questions(now, out);
        self.lease_step(now, Input::Tick, out);
        let valid_until = self.lease.valid_until(now);
        let state = self.self_state(now);
        let elsewhere = self.free_elsewhere(now);
        let (mut cx, parts) = self.split(now, out);
        parts.config.tick(&mut cx);
        parts.members.tick(&mut cx, &state, parts.view.services());
        parts.operators.tick(&mut cx, parts.config);
        if let (Some(scheduler), Some(valid_until)) = (parts.scheduler, valid_until) {
            scheduler.tick(&mut cx, valid_until, &elsewhere);
        }
        self.delete_expired_members(now);
        self.refresh_views(now, out);
        self.refresh_remotes(now);
        let (mut cx, parts) = self.split(now, out);
        parts.entry.tick(&mut cx);
        if self.is_shutting_down && self.entry.is_drained(now) && self.commits.unsettled() == 0 {
            out.push(Action::Exit);
        }
        if self
            .scheduler
            .as_ref()
            .is_some_and(Scheduler::is_superseded)
        {
            self.superseded(now, out);
        }
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
                    self.config_changed(now, out);
                }
            }
            Purpose::Members => {
                let rows = match &result {
                    Ok(TableResp::Rows(rows)) => Some(&rows[..]),
                    _ => None,
                };
                self.members.rows_read(now, rows);
                if let Some(members) = self.members.holders() {
                    self.lease_step(now, Input::Members(members), out);
                }
            }
            Purpose::ConfigSnapshot => {
                let (mut cx, parts) = self.split(now, out);
                if parts.config.snapshot_read(&mut cx, result) {
                    self.config_changed(now, out);
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
                parts.operators.rows_read(&mut cx, id, result);
            }
            Purpose::Scheduler(generation, read) => {
                let (mut cx, parts) = self.split(now, out);
                if let Some(scheduler) = current(parts.scheduler, generation) {
                    scheduler.read_answered(&mut cx, read, result);
                }
            }
            Purpose::Claim(req) => {
                let (mut cx, parts) = self.split(now, out);
                parts.entry.claim_read(&mut cx, req, result);
            }
            Purpose::Worker { .. } => {}
        }
    }

    fn settled(&mut self, now: Time, owner: Owner, settlement: Settlement, out: &mut Vec<Action>) {
        let (mut cx, parts) = self.split(now, out);
        match owner {
            Owner::Unowned => {}
            Owner::Scheduler(generation, change) => {
                if let Some(scheduler) = current(parts.scheduler, generation) {
                    scheduler.settled(now, change, settlement);
                }
            }
            Owner::Publishing => {
                let operators = parts.operators;
                if operators.settled(&mut cx, parts.config, &settlement) {
                    self.config_changed(now, out);
                }
            }
            Owner::Claim(req) => parts.entry.claim_settled(&mut cx, req, &settlement),
        }
    }

    fn config_changed(&mut self, now: Time, out: &mut Vec<Action>) {
        log::info!(
            "config: version {} is in force",
            self.config.config().version()
        );
        let (mut cx, parts) = self.split(now, out);
        parts.entry.set_config(&mut cx, parts.config.config());
        if let Some(scheduler) = &mut self.scheduler {
            let policy = Policy::new(self.config.config(), self.me.domain);
            scheduler.set_policy(now, policy);
            scheduler.read_inbox_soon();
        }
    }

    fn shutdown(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.is_shutting_down {
            self.is_shutting_down = true;
            self.entry.start_drain(now);
            self.lease_step(now, Input::HandOver, out);
        }
    }
}

struct Parts<'a> {
    config: &'a mut ConfigSync,
    members: &'a mut Members,
    view: &'a OwnView,
    operators: &'a mut Operators,
    scheduler: &'a mut Option<Scheduler>,
    entry: &'a mut Entry,
}

/// Returns the present scheduler if it has this generation.
fn current(scheduler: &mut Option<Scheduler>, generation: Generation) -> Option<&mut Scheduler> {
    let present = scheduler.as_mut()?;
    (present.generation() == generation).then_some(present)
}
