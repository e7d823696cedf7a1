//! A node, and what its parts share.

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
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    Clock, Metrics, Ports, Routes,
    approve::Asker,
    feed, follow,
    health::{TableHealth, Watched},
    intake::Intake,
    lead::Lead,
    link,
    message::Message,
    recover,
    relay::Relays,
};

/// How often what is not needed any more is dropped.
const TIDY_INTERVAL: Duration = Duration::from_secs(10);

/// How long a node that shuts down waits for its scheduling to be handed over. The table takes some
/// 10 ms for the transaction, and as long again for the one before it.
const HAND_OVER: Duration = Duration::from_millis(800);

/// Settings of a [`Node`].
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The node's name, unique among the nodes.
    pub name: Arc<str>,
    /// Where other nodes reach it.
    pub link_address: SocketAddr,
    /// How many nodes try to become the scheduler before this one, when several could.
    pub rank: u32,
    /// Settings of the scheduler.
    pub sched: SchedConfig,
    /// When to become the scheduler.
    pub candidacy: CandidacyConfig,
}

/// What a node knows of a job's state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Known {
    pub(crate) state: State,
    pub(crate) since: Time,
}

/// What the parts of a node share.
pub(crate) struct Inner<P> {
    pub(crate) ports: Watched<P>,
    pub(crate) settings: NodeSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    /// The configuration in force; none before the first was read.
    pub(crate) routes: RefCell<Option<Rc<Routes>>>,
    pub(crate) routes_changed: Notify,
    pub(crate) states: RefCell<HashMap<JobId, Known>>,
    /// How many jobs of each queue have not started; none before the scheduler has told.
    pub(crate) pending: RefCell<Option<BTreeMap<String, u64>>>,
    /// The workers that take work, by pool.
    pub(crate) workers: RefCell<BTreeMap<String, Vec<Arc<str>>>>,
    /// The link to the scheduler.
    pub(crate) upstream: RefCell<Option<mpsc::Sender<Message>>>,
    /// When the scheduler was last heard of.
    pub(crate) heard_at: Cell<Option<Time>>,
    /// The scheduler, if this node is it.
    pub(crate) lead: RefCell<Option<Rc<Lead<P>>>>,
    pub(crate) candidacy: RefCell<Candidacy>,
    pub(crate) candidacy_changed: Notify,
    /// The address that the link goes to has changed.
    pub(crate) target_changed: Notify,
    pub(crate) asker: Asker,
    pub(crate) is_draining: Cell<bool>,
    pub(crate) draining: Notify,
    /// Set while the node takes over and reads what it goes on from: when the last of its transactions was sent
    /// that may be stored.
    pub(crate) recovering: Cell<Option<Time>>,
    pub(crate) table: Rc<TableHealth>,
    pub(crate) intake: Intake,
    pub(crate) relays: Relays,
    /// Where other nodes are reached, as the scheduler has told.
    pub(crate) nodes: RefCell<Vec<String>>,
}

/// A node. Clones are the same node. See the [crate documentation](crate).
pub struct Node<P>(pub(crate) Rc<Inner<P>>);

impl<P> Clone for Node<P> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: Ports> Node<P> {
    /// A node that does not run yet.
    #[must_use]
    pub fn new(settings: NodeSettings, clock: Clock, ports: P, metrics: Metrics) -> Self {
        let candidacy = Candidacy::new(settings.candidacy, settings.rank);
        let table = Rc::new(TableHealth::new(clock, metrics.clone()));
        let ports = Watched::new(ports, table.clone());
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
            heard_at: Cell::default(),
            lead: RefCell::default(),
            candidacy: RefCell::new(candidacy),
            candidacy_changed: Notify::new(),
            target_changed: Notify::new(),
            asker: Asker::default(),
            is_draining: Cell::default(),
            draining: Notify::new(),
            recovering: Cell::default(),
            table,
            intake: Intake::default(),
            relays: Relays::default(),
            nodes: RefCell::default(),
        }))
    }

    /// Runs the node until [`drain`](Self::drain) is called. Other nodes' links come in at `links`. Must
    /// be called inside a `LocalSet`.
    pub async fn run(&self, links: TcpListener) {
        let node = self.clone();
        let links = spawn_local(link::accept(links, move |link| node.serve_link(link)));
        let parts = [
            links,
            spawn_local(feed::follow_routes(self.clone())),
            spawn_local(follow::link_up(self.clone())),
            spawn_local(self.clone().tidy()),
            spawn_local(watch_table(self.clone())),
        ];
        let campaign = spawn_local(follow::campaign(self.clone()));
        while !self.0.is_draining.get() {
            self.0.draining.notified().await;
        }
        if timeout(HAND_OVER, campaign).await.is_err() {
            log::warn!("event=hand_over_unfinished");
        }
        for part in parts {
            part.abort();
        }
    }

    /// Hands scheduling over, if this node schedules, and lets [`run`](Self::run) return. Jobs are still
    /// taken in and answered for.
    pub fn drain(&self) {
        self.0.is_draining.set(true);
        self.0.draining.notify_one();
        self.0.candidacy_changed.notify_one();
        self.0.target_changed.notify_one();
        if let Some(lead) = &*self.0.lead.borrow() {
            lead.drain();
        }
    }

    /// Whether jobs can be taken in: there is a configuration, and the node does not shut down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.routes.borrow().is_some() && !self.0.is_draining.get()
    }

    /// The configuration in force; none before the first was read.
    #[must_use]
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.0.routes.borrow().clone()
    }

    /// A link of another node.
    fn serve_link(&self, link: link::Link) {
        let lead = self.0.lead.borrow().clone();
        match lead {
            Some(lead) => {
                spawn_local(lead.serve(link));
            }
            None if self.0.recovering.get().is_some() => {
                spawn_local(recover::serve_meanwhile(self.clone(), link));
            }
            None => {
                let row = self.0.candidacy.borrow().row().cloned();
                // A link that is closed before this arrives tells the same.
                let _ = link.tx.try_send(Message::NotScheduler(row));
            }
        }
    }

    /// Whether a state differs from the one that is known.
    pub(crate) fn is_news(&self, id: JobId, state: State) -> bool {
        self.0
            .states
            .borrow()
            .get(&id)
            .is_none_or(|known| known.state != state)
    }

    /// Puts the scheduler's news in force.
    pub(crate) fn learn_states(&self, news: impl IntoIterator<Item = (JobId, State)>) {
        let since = self.0.clock.time();
        let mut states = self.0.states.borrow_mut();
        for (id, state) in news {
            let known = states.entry(id).or_insert(Known { state, since });
            if !known.state.is_final() {
                *known = Known { state, since };
            }
        }
    }

    /// Drops states that clients do not ask for any more.
    async fn tidy(self) {
        loop {
            sleep(TIDY_INTERVAL).await;
            let now = self.0.clock.time();
            let remember = self.0.settings.sched.job_retention;
            let is_wanted = |known: &Known| !known.state.is_final() || now < known.since + remember;
            self.0
                .states
                .borrow_mut()
                .retain(|_, known| is_wanted(known));
        }
    }
}

async fn watch_table<P: Ports>(node: Node<P>) {
    node.0.table.watch(&node.0.ports).await;
}
