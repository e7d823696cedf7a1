//! The scheduler of a failure domain, while this node holds the domain's lease.
//!
//! It is made anew at each takeover and rebuilt from the table's rows and the workers' own lists.
//! A task that may have an attempt under an earlier scheduler is started only once every worker was
//! read, or can hold no lease any more.

use std::collections::{BTreeMap, BTreeSet};

use model::{DomainId, Epoch, Size, TaskId, Team, Time, UnitId, WorkerId};
use peer::BackendView;
use place::{Decision, Next, PlaceConfig, Placer, TaskEnd, WorkerSpec};
use store::{
    Command, Row, Settlement, StoreError, TableReq, TableResp, TaskPhase as Reported, TaskView,
    VmInfo, VmRole, VmState, WorkerReport, decode,
};

use super::{
    calls::{Cx, Owner, Purpose},
    event::Action,
    jobs::{Job, Jobs, task_state},
    poll::Poll,
    rows::{
        StateRow, UnitRow, done_key, inbox_key, inbox_prefix, last_part, state_prefix, unit_key,
    },
    settings::SchedulerConfig,
    workers::{PendingStart, Worker},
};
use crate::api::TaskPhase;

/// The most rows that are read at a time.
const ROWS_PER_READ: u32 = 200;

/// How far the rebuilding after a takeover has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Recovery {
    /// The rows are being read; those after this key are still to come.
    Rows { after: String, reading: bool },
    /// The workers are being read; tasks that may run somewhere wait.
    Workers,
    /// Done.
    Complete,
}

/// The scheduler of a failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Scheduler {
    cfg: SchedulerConfig,
    domain: DomainId,
    epoch: Epoch,
    placer: Placer,
    jobs: Jobs,
    workers: BTreeMap<WorkerId, Worker>,
    recovery: Recovery,
    /// When an attempt under an earlier scheduler surely holds no lease any more.
    old_leases_until: Time,
    /// An earlier scheduler's starts that are still on their way arrive before this, so a list that is
    /// read later shows all that it started.
    reads_from: Time,
    vms_read: bool,
    vms_poll: Poll,
    inbox_poll: Poll,
    superseded: Option<Epoch>,
    /// Attempts whose end is to be committed before their worker drops them, by unit.
    ended: BTreeMap<UnitId, Vec<(WorkerId, TaskId, model::Attempt)>>,
}

impl Scheduler {
    pub(crate) fn new(
        now: Time,
        cfg: SchedulerConfig,
        place: PlaceConfig,
        domain: DomainId,
        epoch: Epoch,
    ) -> Self {
        let reads_from = now + cfg.start_window + cfg.drift_margin;
        let old_leases_until = now + cfg.task_lease + cfg.call_timeout + cfg.drift_margin;
        Self {
            cfg,
            domain,
            epoch,
            placer: Placer::new(place),
            jobs: Jobs::new(),
            workers: BTreeMap::new(),
            recovery: Recovery::Rows {
                after: String::new(),
                reading: false,
            },
            old_leases_until,
            reads_from,
            vms_read: false,
            vms_poll: Poll::default(),
            inbox_poll: Poll::default(),
            superseded: None,
            ended: BTreeMap::new(),
        }
    }

    /// Whether a higher epoch has been seen at a worker: this scheduler must stop at once.
    pub(crate) const fn is_superseded(&self) -> bool {
        self.superseded.is_some()
    }

    /// The epoch that was seen, if it is higher than this scheduler's own.
    pub(crate) fn superseded_by(&self) -> Option<Epoch> {
        self.superseded.filter(|epoch| *epoch > self.epoch)
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) const fn jobs(&self) -> &Jobs {
        &self.jobs
    }

    pub(crate) fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    pub(crate) fn is_recovered(&self) -> bool {
        self.recovery == Recovery::Complete
    }

    pub(crate) fn set_teams<'a>(&mut self, teams: impl Iterator<Item = &'a Team>) {
        for team in teams {
            self.placer.set_team(team);
        }
    }

    /// What the domain's workers have free.
    pub(crate) fn free(&self) -> Size {
        self.placer.free()
    }

    /// The replicas that take new requests.
    pub(crate) fn backends(&self) -> Vec<BackendView> {
        let open = self.workers.values().filter(|w| w.known && !w.leaving);
        open.flat_map(|worker| {
            worker.endpoints.iter().filter_map(|(task, endpoint)| {
                let job = self.jobs.get(&task.unit)?;
                Some(BackendView {
                    service: job.row.unit.name.clone(),
                    worker: worker.spec.id,
                    endpoint: endpoint.clone(),
                })
            })
        })
        .collect()
    }

    /// Does all that is due. `valid_until` is the end of this scheduler's lease.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>, valid_until: Time) {
        self.read_rows(cx);
        self.read_vms(cx);
        self.read_inbox(cx);
        self.drop_lapsed(cx.now);
        self.finish_recovery(cx.now);
        self.place(cx.now);
        self.call_workers(cx, valid_until);
        self.flush(cx);
    }

    // Recovery

    fn read_rows(&mut self, cx: &mut Cx<'_>) {
        if let Recovery::Rows { after, reading } = &mut self.recovery
            && !*reading
        {
            *reading = true;
            let req = TableReq::Scan {
                prefix: state_prefix(self.domain),
                after: after.clone(),
                limit: ROWS_PER_READ,
            };
            cx.table(Purpose::StateScan, req);
        }
    }

    pub(crate) fn rows_read(&mut self, now: Time, result: Result<TableResp, StoreError>) {
        let Recovery::Rows { after, reading } = &mut self.recovery else {
            return;
        };
        *reading = false;
        let Ok(TableResp::Rows(rows)) = result else {
            return;
        };
        let complete = rows.len() < ROWS_PER_READ as usize;
        if let Some(last) = rows.last() {
            last.key.clone_into(after);
        }
        if complete {
            self.recovery = Recovery::Workers;
        }
        for row in &rows {
            self.load(now, row);
        }
    }

    fn load(&mut self, now: Time, row: &Row) {
        let id = UnitId::new(last_part(&row.key));
        let state: StateRow = match decode(&row.value) {
            Ok(state) => state,
            Err(e) => {
                log::error!("scheduler: row {} cannot be read: {e}", row.key);
                return;
            }
        };
        self.placer.add_unit(&id, &state.unit);
        for (task, index) in state.tasks.iter().zip(0..) {
            if let TaskPhase::Running { worker } = task.phase {
                let expected = super::workers::Expected {
                    attempt: task.attempt,
                    start_limit: now,
                    sent: true,
                };
                let task = TaskId::new(&id, index);
                self.placer.adopt(now, &task, worker, state.unit.size);
                self.worker_or_unknown(worker)
                    .expected
                    .insert(task, expected);
            }
        }
        self.jobs.insert(id, Job::loaded(state, Some(row.version)));
    }

    /// A worker that a row names may be missing from the VM list, which lags: it is kept, closed,
    /// until its leases have lapsed.
    fn worker_or_unknown(&mut self, id: WorkerId) -> &mut Worker {
        let leases_until = self.old_leases_until;
        self.workers.entry(id).or_insert_with(|| {
            let spec = WorkerSpec {
                id,
                rack: model::RackId::default(),
                size: Size::ZERO,
            };
            Worker::new(spec, leases_until)
        })
    }

    /// Queues what waited for the workers to be read.
    fn finish_recovery(&mut self, now: Time) {
        let settled = |worker: &Worker| worker.known || now >= worker.leases_until;
        let ready = self.recovery == Recovery::Workers
            && self.vms_read
            && self.workers.values().all(settled);
        if !ready {
            return;
        }
        self.recovery = Recovery::Complete;
        let ids: Vec<UnitId> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.enqueue(now, &id);
        }
        log::info!(
            "scheduler: {} places work under {}",
            self.domain,
            self.epoch
        );
    }

    fn enqueue(&mut self, now: Time, id: &UnitId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.row.cancelled {
            self.cancel(now, id);
            return;
        }
        match self.placer.enqueue(now, id, &job.waiting()) {
            Ok(()) => job.set_reason(""),
            Err(e) => job.set_reason(&e.to_string()),
        }
    }

    // The VM list

    fn read_vms(&mut self, cx: &mut Cx<'_>) {
        if self.vms_poll.begin(cx.now, self.cfg.vms_interval) {
            cx.out.push(Action::Vms);
        }
    }

    pub(crate) fn vms(&mut self, now: Time, result: Result<Vec<VmInfo>, StoreError>) {
        self.vms_poll.end();
        let Ok(vms) = result else {
            return;
        };
        self.vms_read = true;
        let mut listed = BTreeSet::new();
        for vm in &vms {
            if let VmRole::Worker { worker, rack, size } = vm.role {
                let spec = WorkerSpec {
                    id: worker,
                    rack,
                    size,
                };
                listed.insert(worker);
                self.worker_listed(now, spec, vm.state == VmState::Leaving);
            }
        }
        let gone: Vec<WorkerId> = self.workers.keys().copied().collect();
        for id in gone.into_iter().filter(|id| !listed.contains(id)) {
            self.set_leaving(now, id, true);
        }
        self.retry_unplaceable(now);
    }

    fn worker_listed(&mut self, now: Time, spec: WorkerSpec, leaving: bool) {
        let leases_until = self.old_leases_until;
        let worker = self
            .workers
            .entry(spec.id)
            .or_insert_with(|| Worker::new(spec, leases_until));
        worker.spec = spec;
        self.placer.add_worker(spec);
        self.set_leaving(now, spec.id, leaving);
    }

    fn set_leaving(&mut self, now: Time, id: WorkerId, leaving: bool) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        worker.leaving = leaving;
        if leaving {
            self.placer.close_worker(id);
        } else if worker.known {
            self.placer.open_worker(now, id);
        }
    }

    /// Units that no worker could hold are looked at again when the list has changed.
    fn retry_unplaceable(&mut self, now: Time) {
        if self.recovery != Recovery::Complete {
            return;
        }
        let blocked: Vec<UnitId> = self
            .jobs
            .iter()
            .filter(|(_, job)| !job.row.reason.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        for id in blocked {
            self.enqueue(now, &id);
        }
    }

    // The inbox

    pub(crate) fn read_inbox_soon(&mut self) {
        self.inbox_poll.soon();
    }

    fn read_inbox(&mut self, cx: &mut Cx<'_>) {
        let loaded = !matches!(self.recovery, Recovery::Rows { .. });
        if loaded && self.inbox_poll.begin(cx.now, self.cfg.inbox_interval) {
            let req = TableReq::Scan {
                prefix: inbox_prefix(self.domain),
                after: String::new(),
                limit: ROWS_PER_READ,
            };
            cx.table(Purpose::InboxScan, req);
        }
    }

    pub(crate) fn inbox_read(&mut self, cx: &mut Cx<'_>, result: Result<TableResp, StoreError>) {
        self.inbox_poll.end();
        let Ok(TableResp::Rows(rows)) = result else {
            return;
        };
        for row in rows {
            let id = UnitId::new(last_part(&row.key));
            let req = TableReq::Get { key: unit_key(&id) };
            let notice = (row.key, row.version);
            cx.table(Purpose::InboxUnit(id, notice), req);
        }
    }

    pub(crate) fn unit_read(
        &mut self,
        now: Time,
        id: &UnitId,
        notice: (String, u64),
        result: Result<TableResp, StoreError>,
    ) {
        let Ok(TableResp::Row(Some(row))) = result else {
            return;
        };
        let Ok(unit_row) = decode::<UnitRow>(&row.value) else {
            log::error!("scheduler: row {} cannot be read", row.key);
            return;
        };
        if unit_row.home != self.domain {
            return;
        }
        self.placer.add_unit(id, &unit_row.unit);
        let job = self
            .jobs
            .entry(id.clone())
            .or_insert_with(|| Job::new(unit_row.unit.clone(), unit_row.cancelled));
        job.set_unit(unit_row.unit, unit_row.cancelled);
        job.set_notice(notice.0, notice.1);
        if job.is_recorded() && self.recovery == Recovery::Complete {
            self.enqueue(now, id);
        }
    }

    fn cancel(&mut self, now: Time, id: &UnitId) {
        let mut decisions = Vec::new();
        self.placer.cancel(now, id, &mut decisions);
        if let Some(job) = self.jobs.get_mut(id) {
            for task in job.waiting() {
                job.set_phase(task.index, TaskPhase::Cancelled);
            }
        }
        for decision in decisions {
            self.carry_out(now, decision);
        }
    }

    // Placement

    fn place(&mut self, now: Time) {
        let mut decisions = Vec::new();
        self.placer.decide(now, &mut decisions);
        for decision in decisions {
            self.carry_out(now, decision);
        }
    }

    fn carry_out(&mut self, now: Time, decision: Decision) {
        match decision {
            Decision::Start { task, worker, .. } => self.begin(&task, worker),
            Decision::Stop { task, worker } => self.stop(now, task, worker),
            Decision::Checkpoint { task, worker } => self.checkpoint(now, task, worker),
            Decision::Throttle {
                task,
                worker,
                milli_processors,
            } => self.throttle(task, worker, milli_processors),
            Decision::Explain { unit, reason } => {
                if let Some(job) = self.jobs.get_mut(&unit) {
                    job.set_reason(&reason.map(|e| e.to_string()).unwrap_or_default());
                }
            }
        }
    }

    fn checkpoint(&mut self, now: Time, task: TaskId, worker: WorkerId) {
        let Some(state) = task_state(&self.jobs, &task) else {
            return;
        };
        let Some(book) = self.workers.get_mut(&worker) else {
            return;
        };
        if book.unqueue(&task) {
            self.task_ended(&task, TaskEnd::NotStarted, now);
            return;
        }
        let attempt = state.attempt;
        book.command(Command::Checkpoint { task, attempt });
    }

    fn throttle(&mut self, task: TaskId, worker: WorkerId, milli_processors: u64) {
        let Some(state) = task_state(&self.jobs, &task) else {
            return;
        };
        if let Some(book) = self.workers.get_mut(&worker) {
            book.command(Command::Throttle {
                task,
                attempt: state.attempt,
                milli_processors,
            });
        }
    }

    fn begin(&mut self, task: &TaskId, worker: WorkerId) {
        let Some(job) = self.jobs.get_mut(&task.unit) else {
            return;
        };
        let commit_first = job.begin_attempt(task.index, worker);
        if !commit_first {
            self.send_start(task);
        }
    }

    /// Queues the start of the attempt that the job records.
    fn send_start(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.unit) else {
            return;
        };
        let state = job.task(task.index);
        let TaskPhase::Running { worker } = state.phase else {
            return;
        };
        let unit = &job.row.unit;
        let service = if unit.kind.is_service() {
            unit.name.clone()
        } else {
            String::new()
        };
        let start = PendingStart {
            task: task.clone(),
            attempt: state.attempt,
            size: self.placer.reserved(task).unwrap_or(unit.size),
            command: unit.command.clone(),
            service,
        };
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.start(start);
        }
    }

    fn stop(&mut self, now: Time, task: TaskId, worker: WorkerId) {
        let Some(state) = task_state(&self.jobs, &task) else {
            return;
        };
        let Some(book) = self.workers.get_mut(&worker) else {
            return;
        };
        if book.unqueue(&task) {
            self.task_ended(&task, TaskEnd::NotStarted, now);
            return;
        }
        book.endpoints.remove(&task);
        let attempt = state.attempt;
        book.command(Command::Stop { task, attempt });
    }

    // Workers

    fn call_workers(&mut self, cx: &mut Cx<'_>, valid_until: Time) {
        if cx.now < self.reads_from {
            return;
        }
        for worker in self.workers.values_mut() {
            if let Some(call) = worker.next_call(cx.now, self.epoch, valid_until, &self.cfg) {
                cx.calls.worker(cx.now, call, cx.out);
            }
        }
    }

    pub(crate) fn worker_answered(
        &mut self,
        now: Time,
        id: WorkerId,
        sent: Time,
        result: Result<WorkerReport, StoreError>,
    ) {
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        let report = match result {
            Ok(report) => report,
            Err(e) => {
                log::debug!("scheduler: {id} gave no answer: {e}");
                worker.not_reported(now, self.cfg.worker_retry);
                return;
            }
        };
        if report.highest_epoch > self.epoch {
            log::warn!(
                "scheduler: {id} has been commanded under {}",
                report.highest_epoch
            );
            self.superseded = Some(report.highest_epoch);
            return;
        }
        worker.reported(now, sent, &report);
        if !worker.leaving {
            self.placer.open_worker(now, id);
        }
        if matches!(self.recovery, Recovery::Rows { .. }) {
            // Which attempts belong to which units is not known yet: the worker is read again.
            worker.known = false;
            worker.not_reported(now, self.cfg.worker_retry);
            self.placer.close_worker(id);
            return;
        }
        let missing = worker.missing(sent, &report);
        for task in missing {
            self.lose(now, id, &task);
        }
        for view in &report.tasks {
            self.take_view(now, id, view);
        }
    }

    fn take_view(&mut self, now: Time, id: WorkerId, view: &TaskView) {
        let state = task_state(&self.jobs, &view.task);
        let here = TaskPhase::Running { worker: id };
        let current = state.is_some_and(|s| s.attempt == view.attempt && s.phase == here);
        let running = view.phase == Reported::Running;
        if current && running {
            self.placer.usage(now, &view.task, view.usage);
            self.runs_here(id, view);
        } else if current {
            self.ended_here(now, id, view);
        } else if running && state.is_some_and(|s| s.phase == TaskPhase::Waiting) {
            self.adopt(now, id, view);
        } else {
            self.reject(id, view);
        }
    }

    fn runs_here(&mut self, id: WorkerId, view: &TaskView) {
        if let Some(worker) = self.workers.get_mut(&id)
            && !view.endpoint.is_empty()
        {
            worker
                .endpoints
                .insert(view.task.clone(), view.endpoint.clone());
        }
    }

    fn ended_here(&mut self, now: Time, id: WorkerId, view: &TaskView) {
        let end = match view.phase {
            Reported::Running => return,
            Reported::Succeeded => TaskEnd::Succeeded,
            Reported::Failed => TaskEnd::Failed,
            Reported::StartFailed => TaskEnd::StartFailed,
            Reported::Stopped => TaskEnd::Stopped,
            Reported::Checkpointed => TaskEnd::Checkpointed,
            Reported::LeaseLapsed => TaskEnd::Lost,
            Reported::NotStarted => TaskEnd::NotStarted,
        };
        self.forget_expected(id, &view.task);
        let ended = self.ended.entry(view.task.unit.clone()).or_default();
        ended.push((id, view.task.clone(), view.attempt));
        self.task_ended(&view.task, end, now);
    }

    /// Takes over an attempt that an earlier scheduler started.
    fn adopt(&mut self, now: Time, id: WorkerId, view: &TaskView) {
        let expected = super::workers::Expected {
            attempt: view.attempt,
            start_limit: now,
            sent: true,
        };
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.expected.insert(view.task.clone(), expected);
        }
        self.placer.adopt(now, &view.task, id, view.size);
        if let Some(job) = self.jobs.get_mut(&view.task.unit) {
            job.adopt(view.task.index, id, view.attempt);
        }
        self.runs_here(id, view);
    }

    /// Clears an attempt away that is not the task's present one.
    fn reject(&mut self, id: WorkerId, view: &TaskView) {
        let pending = self.ended.get(&view.task.unit);
        let uncommitted = pending.is_some_and(|list| {
            list.iter()
                .any(|(_, task, attempt)| *task == view.task && *attempt == view.attempt)
        });
        if uncommitted {
            return;
        }
        let task = view.task.clone();
        let attempt = view.attempt;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.command(if view.phase == Reported::Running {
                Command::Stop { task, attempt }
            } else {
                Command::Forget { task, attempt }
            });
        }
    }

    fn forget_expected(&mut self, id: WorkerId, task: &TaskId) {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.expected.remove(task);
            worker.endpoints.remove(task);
        }
    }

    fn lose(&mut self, now: Time, id: WorkerId, task: &TaskId) {
        log::info!("scheduler: {task} is lost on {id}");
        self.forget_expected(id, task);
        self.task_ended(task, TaskEnd::Lost, now);
    }

    /// Gives up the tasks of workers that have not answered for so long that all leases there have
    /// lapsed.
    fn drop_lapsed(&mut self, now: Time) {
        let silent: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| now >= worker.leases_until && !worker.expected.is_empty())
            .map(|worker| worker.spec.id)
            .collect();
        for id in silent {
            self.placer.close_worker(id);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            worker.known = false;
            let sent = worker.expected.iter().filter(|(_, expected)| expected.sent);
            let tasks: Vec<TaskId> = sent.map(|(task, _)| task.clone()).collect();
            for task in tasks {
                self.lose(now, id, &task);
            }
        }
    }

    fn task_ended(&mut self, task: &TaskId, end: TaskEnd, now: Time) {
        let next = self.placer.ended(now, task, end);
        let Some(job) = self.jobs.get_mut(&task.unit) else {
            return;
        };
        // Failures that are blamed on the worker do not count against the task.
        let counted = self.placer.failures(task) > job.task(task.index).failures;
        if end.is_failure() && (counted || matches!(next, Next::GivenUp { .. })) {
            job.add_failure(task.index);
        }
        let cancelled = job.row.cancelled;
        let phase = match next {
            Next::Done => TaskPhase::Succeeded,
            Next::Waits if cancelled => TaskPhase::Cancelled,
            Next::Waits => TaskPhase::Waiting,
            Next::GivenUp { reason } => {
                job.set_reason(&reason);
                TaskPhase::Failed
            }
        };
        job.set_phase(task.index, phase);
    }

    // The table

    fn flush(&mut self, cx: &mut Cx<'_>) {
        for (id, job) in &mut self.jobs {
            if let Some((checks, writes)) = job.flush(self.domain, id) {
                let owner = Owner::State(id.clone());
                if cx.commits.push(cx.now, owner, checks, writes).is_err() {
                    job.not_flushed();
                }
            }
        }
    }

    pub(crate) fn state_settled(&mut self, now: Time, id: &UnitId, settlement: Settlement) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        match settlement {
            Settlement::Committed { version } => self.state_committed(now, id, version),
            Settlement::Conflict { key } if key == inbox_key(self.domain, id) => {
                job.drop_notice();
                job.not_flushed();
            }
            Settlement::Conflict { key } if key == done_key(self.domain, id) => {
                log::info!("scheduler: {id} was done before");
                self.placer.remove_unit(id);
                self.jobs.remove(id);
            }
            Settlement::Conflict { key } => {
                log::warn!("scheduler: {key} was written by another scheduler");
                self.superseded = Some(self.epoch);
            }
            Settlement::Refused { reason } => {
                log::error!("scheduler: the state of {id} was refused: {reason}");
                job.not_flushed();
            }
            Settlement::NotRun => job.not_flushed(),
            Settlement::MayHaveRun => {
                log::warn!("scheduler: a later start of this node writes to the table");
                self.superseded = Some(self.epoch);
            }
        }
    }

    fn state_committed(&mut self, now: Time, id: &UnitId, version: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let is_new = !job.is_recorded();
        let to_start = job.flushed(version);
        let clean = job.is_clean();
        let over = job.is_over();
        for index in to_start {
            self.send_start(&TaskId::new(id, index));
        }
        if is_new && self.recovery == Recovery::Complete {
            self.enqueue(now, id);
        }
        if clean {
            self.forget_ended(id);
        }
        if clean && over {
            self.placer.remove_unit(id);
            self.jobs.remove(id);
        }
    }

    /// Lets workers drop the attempts whose end is now in the table.
    fn forget_ended(&mut self, id: &UnitId) {
        for (worker, task, attempt) in self.ended.remove(id).unwrap_or_default() {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.command(Command::Forget { task, attempt });
            }
        }
    }
}
