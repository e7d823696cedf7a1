//! The scheduler of a failure domain, while this node holds the domain's lease.
//!
//! It is made anew at each takeover and rebuilt from the table's rows and the workers' own lists.
//! A task that may have an attempt under an earlier scheduler is started only once every worker was
//! read, or can hold no lease any more.

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

/// Tells a node's schedulers apart: a later one must not take an earlier one's answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Generation(pub(crate) u64);

/// The key of an inbox row, and its version.
pub(crate) type Notice = (String, u64);

/// What a scheduler reads in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Read {
    /// The states of the domain's units, after a takeover.
    States,
    /// The notices of changed units.
    Inbox,
    /// A unit that a notice names.
    Unit(UnitId, Notice),
    /// The state of a unit that this scheduler does not know.
    State(UnitId, Notice, Box<UnitRow>),
    /// A unit that is to be moved to another domain.
    Move(UnitId, DomainId),
}

/// What a scheduler changes in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    /// A unit's state.
    State(UnitId),
    /// A unit's home.
    Move(UnitId),
    /// A notice that is of no use is deleted.
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
    ended: BTreeMap<UnitId, Vec<(WorkerId, TaskId, Attempt)>>,
    /// Units whose state is to be written.
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
        let reads_from = now + cfg.start_window + cfg.drift_margin;
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
            reads_from,
            vms_read: false,
            vms_poll: Poll::default(),
            inbox_poll: Poll::default(),
            superseded: None,
            ended: BTreeMap::new(),
            dirty: BTreeSet::new(),
            moves: Moves::default(),
            updates: Updates::default(),
        }
    }

    /// Whether another scheduler has acted: this one must stop at once.
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

    /// Whether a worker gets no work because everything failed there.
    pub(crate) fn is_quarantined(&self, worker: WorkerId) -> bool {
        self.placer.is_quarantined(worker)
    }

    /// What the domain's workers have free.
    pub(crate) fn free(&self) -> Size {
        self.placer.free()
    }

    /// The replicas that take new requests.
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

    /// The service of a replica. The name stands before the part's domain in the unit's id, should the
    /// unit's state not be known yet.
    fn service_of(&self, task: &TaskId) -> String {
        let id = task.unit.as_str();
        let name = id.split_once('@').map_or(id, |(name, _)| name);
        let job = self.jobs.get(&task.unit);
        job.map_or(name, |job| &job.row.unit.name).to_owned()
    }

    /// Does all that is due. `valid_until` is the end of this scheduler's lease, `elsewhere` what other
    /// domains have free.
    pub(crate) fn tick(
        &mut self,
        cx: &mut Cx<'_>,
        valid_until: Time,
        elsewhere: &[(DomainId, Size)],
    ) {
        self.read_states(cx);
        self.read_vms(cx);
        self.read_inbox(cx);
        self.drop_lapsed(cx.now);
        self.finish_recovery(cx.now);
        self.empty_closed_workers(cx.now);
        self.update_services(cx.now);
        self.place(cx.now);
        self.consider_moves(cx, elsewhere);
        self.call_workers(cx, valid_until);
        self.flush(cx);
    }

    /// Makes a call to the table, whose answer comes to [`Self::read`].
    fn table(&self, cx: &mut Cx<'_>, read: Read, req: TableReq) {
        cx.table(Purpose::Scheduler(self.generation, read), req);
    }

    /// Takes the answer to a call to the table.
    pub(crate) fn read(
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
            Read::Move(id, to) => self.move_read(cx, &id, to, result),
        }
    }

    /// Takes what became of a change in the table.
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
