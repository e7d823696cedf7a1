//! The scheduler of a failure domain, which runs while this node holds the domain's lease.
//!
//! Each takeover creates a new scheduler, which rebuilds its state from the rows of the table and
//! the task lists of the workers. It starts tasks only once every worker either has been read or can
//! no longer hold a task lease: until then, an attempt started by an earlier scheduler may still run.

mod fleet;
mod inbox;
mod jobs;
mod moves;
mod policy;
mod recovery;
mod reports;
mod tasks;
mod updates;
mod workers;

use std::collections::{BTreeMap, BTreeSet};

use model::{Attempt, DomainId, Epoch, Size, TaskId, Time, UnitId, WorkerId};
use peer::BackendView;
use place::{PlaceConfig, Placer};
use store::{Settlement, StoreError, TableReq, TableResp};

use self::{jobs::Jobs, moves::Moves, recovery::Recovery, updates::Updates};
pub(crate) use self::{policy::Policy, workers::Worker};
use super::{
    calls::{Cx, Owner, Purpose},
    poll::Poll,
    rows::UnitRow,
    settings::SchedulerConfig,
};

/// The number of a scheduler among those of one node. Answers to the calls of an earlier scheduler
/// are dropped by comparing it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Generation(pub(crate) u64);

/// The key of an inbox row and its version in the table.
pub(crate) type Notice = (String, u64);

/// A read of the table by a scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Read {
    /// The states of the domain's units, after a takeover.
    States,
    /// The inbox, which holds the notices of changed units.
    Inbox,
    /// The row of a unit that a notice names.
    Unit(UnitId, Notice),
    /// The state of a unit that this scheduler does not know.
    State(UnitId, Notice, Box<UnitRow>),
    /// The row of a unit that is to be moved to the given domain.
    Move(UnitId, DomainId),
}

/// A change to the table by a scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// Writes the state of a unit.
    State(UnitId),
    /// Moves a unit to another home domain.
    Move(UnitId),
    /// Deletes a notice that needs no action.
    Notice,
}

/// The scheduler of a failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Scheduler {
    cfg: SchedulerConfig,
    domain: DomainId,
    epoch: Epoch,
    generation: Generation,
    placer: Placer,
    policy: Policy,
    jobs: Jobs,
    workers: BTreeMap<WorkerId, Worker>,
    recovery: Recovery,
    /// The time by which every task lease granted by an earlier scheduler has expired.
    old_leases_until: Time,
    /// The time of the first calls to workers. Start commands that an earlier scheduler has sent arrive
    /// before this time or are refused, so a list read from then on has every task that was started.
    first_read_at: Time,
    has_vm_list: bool,
    vms_poll: Poll,
    inbox_poll: Poll,
    superseded: Option<Epoch>,
    /// Ended attempts by unit. A worker may drop an attempt only once its end is committed.
    ended: BTreeMap<UnitId, Vec<(WorkerId, TaskId, Attempt)>>,
    /// Units whose state must be written to the table.
    dirty: BTreeSet<UnitId>,
    moves: Moves,
    updates: Updates,
}

impl Scheduler {
    pub(crate) fn new(
        now: Time,
        cfg: SchedulerConfig,
        place: PlaceConfig,
        domain: DomainId,
        epoch: Epoch,
        generation: Generation,
    ) -> Self {
        let first_read_at = now + cfg.start_window + cfg.drift_margin;
        let old_leases_until = now + cfg.task_lease + cfg.call_timeout + cfg.drift_margin;
        Self {
            cfg,
            domain,
            epoch,
            generation,
            placer: Placer::new(place),
            policy: Policy::default(),
            jobs: Jobs::new(),
            workers: BTreeMap::new(),
            recovery: Recovery::new(),
            old_leases_until,
            first_read_at,
            has_vm_list: false,
            vms_poll: Poll::default(),
            inbox_poll: Poll::default(),
            superseded: None,
            ended: BTreeMap::new(),
            dirty: BTreeSet::new(),
            moves: Moves::default(),
            updates: Updates::default(),
        }
    }

    /// Whether another scheduler has acted. If so, this scheduler must stop at once.
    pub(crate) const fn is_superseded(&self) -> bool {
        self.superseded.is_some()
    }

    /// The epoch of the other scheduler, if it is higher than this scheduler's own.
    pub(crate) fn superseded_by(&self) -> Option<Epoch> {
        self.superseded.filter(|epoch| *epoch > self.epoch)
    }

    pub(crate) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) const fn generation(&self) -> Generation {
        self.generation
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

    /// Whether a worker gets no work after repeated failures of tasks on it.
    pub(crate) fn is_quarantined(&self, worker: WorkerId) -> bool {
        self.placer.is_quarantined(worker)
    }

    /// The free capacity of the domain's workers.
    pub(crate) fn free(&self) -> Size {
        self.placer.free()
    }

    /// The backend servers that take new requests.
    pub(crate) fn backends(&self) -> Vec<BackendView> {
        let open = self.workers.values().filter(|worker| worker.serves());
        open.flat_map(|worker| {
            worker.endpoints.iter().map(|(task, endpoint)| BackendView {
                service: self.service_of(task),
                worker: worker.spec.id,
                endpoint: endpoint.clone(),
            })
        })
        .collect()
    }

    /// The name of the service that a replica belongs to. While the state of the unit is not known, it
    /// is taken from the unit's id, `<service>@<domain>`.
    fn service_of(&self, task: &TaskId) -> String {
        let id = task.unit.as_str();
        let name = id.split_once('@').map_or(id, |(name, _)| name);
        let job = self.jobs.get(&task.unit);
        job.map_or(name, |job| &job.row.unit.name).to_owned()
    }

    /// Performs all work that is due. `valid_until` is the end of this scheduler's lease, `elsewhere`
    /// the free capacity of the other domains.
    pub(crate) fn tick(
        &mut self,
        cx: &mut Cx<'_>,
        valid_until: Time,
        elsewhere: &[(DomainId, Size)],
    ) {
        self.read_states(cx);
        self.read_vms(cx);
        self.read_inbox(cx);
        self.drop_expired_tasks(cx.now);
        self.finish_recovery(cx.now);
        self.drain_closed_workers(cx.now);
        self.update_services(cx.now);
        self.place(cx.now);
        self.start_moves(cx, elsewhere);
        self.call_workers(cx, valid_until);
        self.flush(cx);
    }

    /// Calls the table. The answer is passed to [`Self::read_answered`].
    fn table(&self, cx: &mut Cx<'_>, read: Read, req: TableReq) {
        cx.table(Purpose::Scheduler(self.generation, read), req);
    }

    /// Handles the answer to a call of [`Self::table`].
    pub(crate) fn read_answered(
        &mut self,
        cx: &mut Cx<'_>,
        read: Read,
        result: Result<TableResp, StoreError>,
    ) {
        match read {
            Read::States => self.states_read(cx.now, result),
            Read::Inbox => self.inbox_read(cx, result),
            Read::Unit(id, notice) => self.unit_read(cx, id, notice, result),
            Read::State(id, notice, row) => self.state_read(cx.now, &id, notice, *row, result),
            Read::Move(id, to) => self.unit_to_move_read(cx, &id, to, result),
        }
    }

    /// Handles the outcome of a change to the table.
    pub(crate) fn settled(&mut self, now: Time, change: Change, settlement: Settlement) {
        match change {
            Change::State(id) => self.state_settled(now, &id, settlement),
            Change::Move(id) => self.move_settled(now, &id, &settlement),
            Change::Notice => {}
        }
    }

    const fn owner(&self, change: Change) -> Owner {
        Owner::Scheduler(self.generation, change)
    }
}
