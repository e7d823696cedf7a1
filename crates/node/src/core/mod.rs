//! A node's decisions as one state machine: events in, actions out.
//!
//! The daemon and the embedded cell drive the same machine. It does no I/O and reads no clock.

mod calls;
mod config_sync;
mod dump;
mod entry;
mod event;
mod members;
mod operators;
mod poll;
mod requests;
mod rows;
mod scheduler;
mod settings;
mod views;

use std::collections::BTreeMap;

use lease::{
    Holder, Input, LeaseMachine, LeaseMsg, LeaseRow, Output, Question, RowState, WriteResult,
};
use model::{DomainId, Epoch, NodeId, Size, Time, Verdict};
use peer::{DomainSummary, DomainView, Heartbeat, PeerMsg};
use route::{GrantConfig, NodeShares, RouteConfig};
use store::{Check, Settlement, StoreError, TableReq, TableResp, Write, decode, encode};

use self::{
    calls::{Calls, Commits, Cx, Owner, Purpose},
    config_sync::ConfigSync,
    entry::Entry,
    members::{Members, SelfState, member_key},
    operators::Operators,
    rows::lease_key,
    scheduler::{Generation, Policy, Scheduler},
    views::{Beat, OwnView, Views},
};
use crate::api::{OperatorReq, OperatorResp};

pub use self::{
    dump::{Dump, MemberDump, SchedulerDump, WorkerDump},
    event::{Action, CallId, Event, OperatorId},
    requests::RequestNode,
    settings::{ConfigSyncConfig, Identity, MembersConfig, NodeConfig, SchedulerConfig},
};

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
    generation: Generation,
    members: Members,
    /// Where the lease's questions go, also to nodes that are no longer among the members.
    lease_addresses: BTreeMap<NodeId, String>,
    /// The lease's questions to other nodes that are not answered, and when each was sent.
    questions: BTreeMap<(NodeId, Question), Time>,
    views: Option<Views>,
    view: OwnView,
    next_own_view: Time,
    next_remotes: Time,
    next_forget: Time,
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
            next_remotes: Time::ZERO,
            next_forget: Time::ZERO,
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

    /// The configuration in force.
    #[must_use]
    pub const fn config(&self) -> &config::Config {
        self.config.config()
    }

    /// Whether the node shuts down.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
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

    /// Where another node is reached.
    #[must_use]
    pub fn address(&self, node: NodeId) -> Option<&str> {
        let known = self.members.address(node);
        known.or_else(|| self.lease_addresses.get(&node).map(String::as_str))
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
            Event::Request(offer) => {
                let (mut cx, parts) = self.split(now, out);
                parts.entry.offer(&mut cx, &offer);
            }
            Event::Finished(end) => {
                let (mut cx, parts) = self.split(now, out);
                parts.entry.finished(&mut cx, &end);
            }
            Event::Object(call, result) => {
                if let Some(Purpose::Claim(req)) = self.calls.answered(call) {
                    let (mut cx, parts) = self.split(now, out);
                    parts.entry.claim_object(&mut cx, req, result);
                }
            }
            Event::PeerFailed(to, PeerMsg::Lease(msg)) => {
                if let Some(question) = msg.asks() {
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
        self.fail_unanswered(now, out);
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
        self.forget_members(now);
        self.refresh_views(now, out);
        self.refresh_remotes(now);
        let (mut cx, parts) = self.split(now, out);
        parts.entry.tick(&mut cx);
        if self.leaving && self.entry.is_drained(now) && self.commits.unsettled() == 0 {
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

    fn self_state(&self, now: Time) -> SelfState {
        let scheduler = self.scheduler.as_ref();
        SelfState {
            config_version: self.config.config().version(),
            scheduler: scheduler.map(Scheduler::epoch),
            view: self.view.version(),
            leaving: self.leaving,
            free: scheduler.map_or(self.view.free(), Scheduler::free),
            shares: self.node_shares(now),
        }
    }

    /// While this node schedules the domain: deletes the rows of its nodes that are long gone.
    fn forget_members(&mut self, now: Time) {
        if self.scheduler.is_none() || now < self.next_forget {
            return;
        }
        self.next_forget = now + self.cfg.members.forget_after;
        for node in self.members.forgotten(now) {
            log::info!("members: {node} is forgotten");
            let write = Write {
                key: member_key(node),
                value: None,
            };
            // A full queue only delays it.
            let _ = self
                .commits
                .push(now, Owner::Nobody, Vec::new(), vec![write]);
        }
    }

    /// While this node schedules the domain: tells its nodes at once of a change of backend servers, and
    /// itself each second.
    fn refresh_views(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(scheduler) = &self.scheduler else {
            self.views = None;
            return;
        };
        let epoch = scheduler.epoch();
        let current = self.views.take().filter(|views| views.epoch() == epoch);
        let views = self.views.insert(current.unwrap_or_else(|| {
            let cfg = GrantConfig {
                term: self.cfg.lease.term,
                drift_margin: self.cfg.lease.drift_margin,
                request_max: self.entry.request_max(),
                ..GrantConfig::default()
            };
            Views::new(now, epoch, cfg)
        }));
        views.set_request_max(self.entry.request_max());
        let changed = views.refresh(scheduler);
        if changed {
            let others: Vec<NodeId> = self.members.live_in_domain(now).map(|(n, _)| n).collect();
            for node in others {
                self.send_view(now, node, out);
            }
        }
        if changed || now >= self.next_own_view {
            self.next_own_view = now + self.cfg.members.heartbeat_interval;
            self.take_own_view(now);
        }
    }

    /// What other failure domains have free that take new work.
    fn free_elsewhere(&self, now: Time) -> Vec<(DomainId, Size)> {
        let config = self.config.config();
        let domains = self.members.free_elsewhere(now);
        domains
            .filter(|(domain, _)| !config.is_evacuated(*domain))
            .collect()
    }

    fn node_shares(&self, now: Time) -> NodeShares {
        NodeShares {
            applied: self.view.applied(),
            shares: self.entry.shares(now),
        }
    }

    /// Takes the view of this node's own scheduler, which needs no message.
    fn take_own_view(&mut self, now: Time) {
        let shares = self.node_shares(now);
        let has = self.view.version();
        let (Some(views), Some(scheduler)) = (&mut self.views, &self.scheduler) else {
            return;
        };
        let seq = self.members.own_beat(now);
        let beat = Beat {
            node: self.me.node,
            start: self.me.incarnation,
            seq,
            shares: &shares,
        };
        views.heard(now, beat);
        if let Some(view) = views.view(now, self.me.node, has, scheduler.free()) {
            self.take_view(now, &view);
        }
    }

    fn send_view(&mut self, now: Time, to: NodeId, out: &mut Vec<Action>) {
        let (Some(views), Some(scheduler)) = (&mut self.views, &self.scheduler) else {
            return;
        };
        let Some(has) = self.members.view_of(to) else {
            return;
        };
        if let Some(view) = views.view(now, to, has, scheduler.free()) {
            send_peer(out, to, PeerMsg::View(view));
        }
    }

    /// Takes a view that answers a heartbeat sent at `sent`.
    fn take_view(&mut self, sent: Time, view: &DomainView) {
        if !self.view.take(view) {
            return;
        }
        let until = sent + view.term;
        match &view.content {
            Some(content) => self.entry.set_view(until, content),
            None => self.entry.renew_grants(until),
        }
    }

    fn peer(&mut self, now: Time, from: NodeId, msg: PeerMsg, out: &mut Vec<Action>) {
        match msg {
            PeerMsg::Heartbeat(heartbeat) => self.heartbeat(now, from, &heartbeat, out),
            PeerMsg::Summary(summary) => self.summary(now, from, summary, out),
            PeerMsg::View(view) => {
                if let Some(sent) = self.members.newest_heartbeat_sent(view.answers) {
                    self.take_view(sent, &view);
                }
            }
            PeerMsg::Lease(msg) => {
                if let LeaseMsg::Answer { question, .. } = &msg {
                    self.questions.remove(&(from, *question));
                }
                self.lease_step(now, Input::Peer { from, msg }, out);
            }
            PeerMsg::InboxNews => {
                if let Some(scheduler) = &mut self.scheduler {
                    scheduler.read_inbox_soon();
                }
            }
            PeerMsg::Drain => self.shutdown(now, out),
            PeerMsg::ConfigWanted { after } => {
                if let Some(news) = self.config.entries_after(after) {
                    send_peer(out, from, PeerMsg::ConfigEntries(news));
                }
            }
            PeerMsg::ConfigEntries(news) => {
                if self.config.take_entries(news) {
                    self.config_changed(now, out);
                }
            }
        }
    }

    /// Another scheduler has acted: this one stops at once.
    fn superseded(&mut self, now: Time, out: &mut Vec<Action>) {
        log::warn!("node: stops scheduling {}", self.me.domain);
        let seen = self
            .scheduler
            .take()
            .and_then(|scheduler| scheduler.superseded_by());
        if let Some(epoch) = seen {
            self.lease_step(now, Input::EpochSeen(epoch), out);
        }
        // A row that this node's own earlier transaction wrote after all: the lease still holds, and
        // the state is rebuilt from the table.
        if let Some(epoch) = self.lease.active(now) {
            self.start_scheduler(now, epoch);
        }
    }

    /// Reports the questions that were not answered in time.
    fn fail_unanswered(&mut self, now: Time, out: &mut Vec<Action>) {
        let timeout = self.cfg.lease.ask_timeout;
        let late: Vec<(NodeId, Question)> = self
            .questions
            .iter()
            .filter(|(_, sent)| now.since(**sent) >= timeout)
            .map(|(key, _)| *key)
            .collect();
        for (to, question) in late {
            self.question_failed(now, to, question, out);
        }
    }

    fn question_failed(
        &mut self,
        now: Time,
        to: NodeId,
        question: Question,
        out: &mut Vec<Action>,
    ) {
        if self.questions.remove(&(to, question)).is_some() {
            self.lease_step(now, Input::PeerFailed { to, question }, out);
        }
    }

    fn summary(&mut self, now: Time, from: NodeId, summary: DomainSummary, out: &mut Vec<Action>) {
        if summary.leaving {
            // Nothing more is passed on to it.
            self.next_remotes = now;
        }
        let (mut cx, parts) = self.split(now, out);
        // What it tells of other nodes is left out: they may be out of this node's reach.
        let version = summary.config_version;
        parts.config.peer_version(&mut cx, from, version);
        parts.members.summary(now, from, summary);
    }

    fn heartbeat(&mut self, now: Time, from: NodeId, msg: &Heartbeat, out: &mut Vec<Action>) {
        if !self.members.heard(now, from, msg) {
            return;
        }
        let (mut cx, parts) = self.split(now, out);
        parts.config.peer_version(&mut cx, from, msg.config_version);
        if let Some(views) = &mut self.views {
            let beat = Beat {
                node: from,
                start: msg.incarnation,
                seq: msg.seq,
                shares: &msg.shares,
            };
            views.heard(now, beat);
            self.send_view(now, from, out);
        }
    }

    /// Tells the router which nodes of other domains can serve.
    fn refresh_remotes(&mut self, now: Time) {
        if now < self.next_remotes {
            return;
        }
        self.next_remotes = now + self.cfg.members.summary_interval;
        let members = &self.members;
        self.entry
            .set_remotes(|service| members.remotes(now, service));
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
                    scheduler.read(&mut cx, read, result);
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
            Owner::Nobody => {}
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
            Output::Send { to, address, msg } => {
                if let Some(question) = msg.asks() {
                    self.questions.insert((to, question), now);
                }
                self.lease_addresses.insert(to, address);
                out.push(Action::Peer {
                    to,
                    fresh: true,
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

    fn start_scheduler(&mut self, now: Time, epoch: Epoch) {
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

    /// Answers an operator's call to shut a node down gracefully.
    fn drain(&mut self, now: Time, id: OperatorId, node: NodeId, out: &mut Vec<Action>) {
        let resp = if node == self.me.node {
            self.shutdown(now, out);
            drain_answer(node)
        } else if self.address(node).is_some() {
            send_peer(out, node, PeerMsg::Drain);
            drain_answer(node)
        } else {
            OperatorResp::Failed {
                verdict: Verdict::NotRun,
                message: format!("no node {node} is known; `lacewing dump` names the known ones"),
            }
        };
        out.push(Action::Operator(id, resp));
    }

    fn shutdown(&mut self, now: Time, out: &mut Vec<Action>) {
        if !self.leaving {
            self.leaving = true;
            self.entry.leave(now);
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

fn drain_answer(node: NodeId) -> OperatorResp {
    OperatorResp::Done {
        message: format!("{node} is asked to shut down gracefully"),
        version: 0,
    }
}

fn send_peer(out: &mut Vec<Action>, to: NodeId, msg: PeerMsg) {
    out.push(Action::Peer {
        to,
        fresh: false,
        msg,
    });
}

/// The present scheduler, if it is the one of this generation.
fn current(scheduler: &mut Option<Scheduler>, generation: Generation) -> Option<&mut Scheduler> {
    let present = scheduler.as_mut()?;
    (present.generation() == generation).then_some(present)
}

/// A hash that is the same in every process (FNV-1a).
fn stable_hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
