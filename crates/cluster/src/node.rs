//! A node, and the state that its parts share.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use jobs::{JobId, State};
use model::Time;
use sched::{Candidacy, CandidacyConfig, SchedConfig};
use tokio::{
    net::TcpListener,
    sync::{Notify, mpsc},
    task::{JoinSet, spawn_local},
    time::{sleep, timeout},
};

use crate::{
    AccessSettings, Clock, Metrics, NodePolicy, Ports, Routes,
    approve::ApprovalQueue,
    callers::TeamJobs,
    door::Door,
    early_cancels::EarlyCancelLimit,
    feed, follow,
    guard::Guards,
    health::{MonitoredPorts, TableHealth},
    inbound::{Inbound, InboundLimits},
    intake::WriteQueue,
    lead::Leader,
    link,
    message::Message,
    recover,
    relay::PendingRelays,
    succession::Standing,
};

/// How often the states of ended jobs are checked for ones whose retention time has passed.
const STATE_EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// How long a node that shuts down waits for the handover of its scheduling. The table takes about 10 ms
/// for the handover transaction, and as long again for a transaction that is still in flight.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);

/// Settings of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name, unique among the nodes.
    pub name: Arc<str>,
    /// The address at which the node accepts links from other nodes.
    pub link_address: SocketAddr,
    /// The number of nodes that try to become the scheduler before this one when several could.
    pub rank: u32,
    /// The node's share of processors, in thousandths of a processor.
    pub processor_milli: u64,
    /// Settings of the scheduler.
    pub sched: SchedConfig,
    /// Settings that decide when the node tries to become the scheduler.
    pub candidacy: CandidacyConfig,
    /// What the node does for the jobs that it accepts, and as the scheduler for the other nodes.
    pub policy: NodePolicy,
    /// How current the configuration has to be for decisions about keys.
    pub access: AccessSettings,
    /// Limits of the links that other nodes open.
    pub links: InboundLimits,
}

/// The last state of a job that a node knows, and when it was recorded. A final state keeps the time at which
/// it was first recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownState {
    pub(crate) state: State,
    pub(crate) since: Time,
}

/// The state that the parts of a node share.
pub(crate) struct Inner<P> {
    pub(crate) ports: MonitoredPorts<P>,
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// The configuration in force; `None` until the first one was read.
    pub(crate) routes: RefCell<Option<Rc<Routes>>>,
    pub(crate) routes_changed: Notify,
    pub(crate) states: RefCell<HashMap<JobId, KnownState>>,
    /// The number of jobs of each queue that have not started; `None` until the scheduler has sent it.
    pub(crate) pending: RefCell<Option<BTreeMap<String, u64>>>,
    /// The names of the workers that accept work, by pool.
    pub(crate) workers: RefCell<BTreeMap<String, Vec<Arc<str>>>>,
    /// The sender of the link to the scheduler; `None` while there is no link.
    pub(crate) upstream: RefCell<Option<mpsc::Sender<Message>>>,
    /// The protocol level of the scheduler that `upstream` leads to; 0 until its first heartbeat has arrived.
    pub(crate) upstream_level: Cell<u32>,
    /// When the last message of the scheduler arrived, except for [`Message::Recovering`]. If this node is
    /// the scheduler, when it last sent a summary.
    pub(crate) scheduler_seen_at: Cell<Option<Time>>,
    /// The scheduling side of this node; `None` while another node is the scheduler.
    pub(crate) leader: RefCell<Option<Rc<Leader<P>>>>,
    pub(crate) candidacy: RefCell<Candidacy>,
    pub(crate) candidacy_changed: Notify,
    /// Signals that the address of the scheduler has changed.
    pub(crate) target_changed: Notify,
    pub(crate) approval_queue: ApprovalQueue,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) draining: Notify,
    /// Set from the start of a takeover until this node schedules: when the node sent its latest
    /// transaction that is or may be stored.
    pub(crate) recovery_sent_at: Cell<Option<Time>>,
    pub(crate) table: Rc<TableHealth>,
    pub(crate) write_queue: WriteQueue,
    pub(crate) guards: Guards,
    pub(crate) pending_relays: PendingRelays,
    pub(crate) door: RefCell<Door>,
    /// The link addresses of all nodes, as sent by the scheduler.
    pub(crate) node_addresses: RefCell<Vec<String>>,
    pub(crate) team_jobs: TeamJobs,
    pub(crate) early_cancels: RefCell<EarlyCancelLimit>,
}

/// A node. Clones refer to the same node. See the [crate documentation](crate).
pub struct Node<P>(pub(crate) Rc<Inner<P>>);

impl<P> Clone for Node<P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Ports> Node<P> {
    /// Creates a node. It does nothing until [`run`](Self::run) is called.
    #[must_use]
    pub fn new(settings: NodeSettings, clock: Clock, ports: P, metrics: Metrics) -> Self {
        let candidacy = Candidacy::new(settings.candidacy, settings.rank);
        let table = Rc::new(TableHealth::new(clock, metrics.clone()));
        let ports = MonitoredPorts::new(ports, table.clone());
        Self(Rc::new(Inner {
            ports,
            settings,
            clock,
            metrics,
            routes: RefCell::default(),
            routes_changed: Notify::new(),
            states: RefCell::default(),
            pending: RefCell::default(),
            workers: RefCell::default(),
            upstream: RefCell::default(),
            upstream_level: Cell::default(),
            scheduler_seen_at: Cell::default(),
            leader: RefCell::default(),
            candidacy: RefCell::new(candidacy),
            candidacy_changed: Notify::new(),
            target_changed: Notify::new(),
            approval_queue: ApprovalQueue::default(),
            is_draining: Cell::default(),
            draining: Notify::new(),
            recovery_sent_at: Cell::default(),
            table,
            write_queue: WriteQueue::default(),
            guards: Guards::default(),
            pending_relays: PendingRelays::default(),
            door: RefCell::default(),
            node_addresses: RefCell::default(),
            team_jobs: TeamJobs::default(),
            early_cancels: RefCell::default(),
        }))
    }

    /// Runs the node until [`drain`](Self::drain) is called and scheduling is handed over. Accepts the links of other
    /// nodes on `links`. Must be called inside a `LocalSet`. Returns early if a task that the node depends on has
    /// panicked; the process should then end.
    ///
    /// The links and feeds stay open after that, until the `LocalSet` is dropped: the node still accepts jobs, and
    /// requests approvals for them.
    pub async fn run(&self, links: TcpListener) {
        let node = self.clone();
        // None of these tasks returns.
        let mut tasks = JoinSet::new();
        let peers = Inbound::new("links", self.0.settings.links, self.0.metrics.clone());
        tasks.spawn_local(link::accept(links, peers, move |link| {
            node.serve_link(link);
        }));
        tasks.spawn_local(feed::follow_routes(self.clone()));
        tasks.spawn_local(follow::keep_scheduler_link(self.clone()));
        tasks.spawn_local(self.clone().expire_states());
        tasks.spawn_local(monitor_table(self.clone()));
        tasks.spawn_local(self.clone().exchange_configuration());
        tasks.spawn_local(self.clone().watch_door());
        let mut candidacy = spawn_local(follow::run_candidacy(self.clone()));
        let draining = async {
            while !self.0.is_draining.get() {
                self.0.draining.notified().await;
            }
        };
        let failed = tokio::select! {
            // Once the node drains, `candidacy` returns.
            biased;
            () = draining => None,
            ended = &mut candidacy => Some(ended),
            Some(ended) = tasks.join_next() => Some(ended),
        };
        if let Some(ended) = failed {
            log::error!("event=task_ended result={ended:?}");
            return;
        }
        tasks.detach_all();
        if timeout(HANDOVER_TIMEOUT, candidacy).await.is_err() {
            log::warn!("event=hand_over_unfinished");
        }
        spawn_local(follow::observe_candidacy(self.clone()));
    }

    /// Hands scheduling over if this node is the scheduler, and lets [`run`](Self::run) return. The node
    /// still accepts jobs and answers queries for their state.
    pub fn drain(&self) {
        self.0.is_draining.set(true);
        self.0.draining.notify_one();
        self.0.candidacy_changed.notify_one();
        self.0.target_changed.notify_one();
        if let Some(leader) = &*self.0.leader.borrow() {
            leader.drain();
        }
    }

    /// Returns whether the node accepts jobs: it has a configuration and is not shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.routes.borrow().is_some() && !self.0.is_draining.get()
    }

    /// Returns how well this node could schedule.
    pub(crate) fn standing(&self) -> Standing {
        let answer_time = self.0.table.answer_time().unwrap_or(Duration::MAX);
        Standing {
            is_draining: self.0.is_draining.get(),
            table_answer_us: u64::try_from(answer_time.as_micros()).unwrap_or(u64::MAX),
            processor_milli: self.0.settings.processor_milli,
        }
    }

    /// Returns the configuration in force, or `None` if none was read yet.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.0.routes.borrow().clone()
    }

    /// Serves a link that another node has opened.
    fn serve_link(&self, link: link::Link) {
        let leader = self.0.leader.borrow().clone();
        match leader {
            Some(leader) => {
                spawn_local(leader.serve(link));
            }
            None if self.0.recovery_sent_at.get().is_some() => {
                spawn_local(recover::serve_while_recovering(self.clone(), link));
            }
            None => {
                let row = self.0.candidacy.borrow().row().cloned();
                // If this message is lost, the closed link also shows that this node does not schedule.
                let _ = link.tx.try_send(Message::NotScheduler(row));
                spawn_local(self.clone().serve_questions(link, None));
            }
        }
    }

    /// Returns whether `state` differs from the known state of the job.
    pub(crate) fn is_state_changed(&self, id: JobId, state: State) -> bool {
        self.0
            .states
            .borrow()
            .get(&id)
            .is_none_or(|known| known.state != state)
    }

    /// Records new states of jobs. A final state is never replaced.
    pub(crate) fn update_states(&self, new_states: impl IntoIterator<Item = (JobId, State)>) {
        let since = self.0.clock.time();
        let mut states = self.0.states.borrow_mut();
        for (id, state) in new_states {
            let known = states.entry(id).or_insert(KnownState { state, since });
            if !known.state.is_final() {
                *known = KnownState { state, since };
            }
        }
    }

    /// Periodically drops the final states that have been kept for the configured time.
    async fn expire_states(self) {
        loop {
            sleep(STATE_EXPIRY_INTERVAL).await;
            let now = self.0.clock.time();
            let retention = self.0.settings.sched.job_retention;
            let is_wanted =
                |known: &KnownState| !known.state.is_final() || now < known.since + retention;
            self.0
                .states
                .borrow_mut()
                .retain(|_, known| is_wanted(known));
            let states = self.0.states.borrow();
            self.0
                .team_jobs
                .expire(now, retention, |id| states.contains_key(&id));
        }
    }
}

async fn monitor_table<P: Ports>(node: Node<P>) {
    node.0.table.monitor(&node.0.ports).await;
}
