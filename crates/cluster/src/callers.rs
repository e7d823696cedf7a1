//! Calls of clients on behalf of teams: whether a call is accepted, and which jobs it may access.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    time::Duration,
};

use jobs::{Job, JobId};
use model::Time;
use tokio::time::Instant;

use crate::{
    CancelOutcome, Node, Ports, Route, Row, StateAnswer,
    access::{self, Caller, Owner, Refusal},
    admission::Admissions,
    configuration::{Sources, View},
    rows::{JobContent, read_job_row},
};

/// What a node knows about teams and their jobs.
#[derive(Debug, Default)]
pub(crate) struct TeamJobs {
    /// The owners of jobs, and when they were recorded.
    owners: RefCell<HashMap<JobId, (Owner, Time)>>,
    /// When the configuration in force was last known to be the newest one.
    pub(crate) view: Cell<View>,
    /// When linked nodes were asked for the newest configuration; `None` once one has answered.
    pub(crate) asked_at: Cell<Option<Time>>,
    /// The nodes that may be asked for the newest configuration while there is no link to a scheduler.
    pub(crate) sources: RefCell<Sources>,
    /// The teams whose new jobs are to be refused in part.
    pub(crate) admissions: RefCell<Admissions>,
}

impl TeamJobs {
    fn owner(&self, id: JobId) -> Option<Owner> {
        self.owners.borrow().get(&id).map(|(owner, _)| *owner)
    }

    /// Records the owners of jobs.
    pub(crate) fn record(&self, now: Time, owners: impl IntoIterator<Item = (JobId, Owner)>) {
        let owners = owners.into_iter().map(|(id, owner)| (id, (owner, now)));
        self.owners.borrow_mut().extend(owners);
    }

    /// Returns the owners of all jobs.
    pub(crate) fn owners(&self) -> Vec<(JobId, Owner)> {
        let owners = self.owners.borrow();
        owners
            .iter()
            .map(|(id, (owner, _))| (*id, *owner))
            .collect()
    }

    /// Drops the owners of jobs that are no longer wanted and that were recorded at least `retention` ago.
    pub(crate) fn expire(&self, now: Time, retention: Duration, is_wanted: impl Fn(JobId) -> bool) {
        self.owners
            .borrow_mut()
            .retain(|id, (_, since)| now < *since + retention || is_wanted(*id));
    }
}

impl<P: Ports> Node<P> {
    /// Decides whether to accept a call to `route` with `key`, and logs a refusal.
    ///
    /// # Errors
    ///
    /// Returns why the call is not accepted.
    pub fn authorize(&self, route: &Route, key: Option<&[u8]>) -> Result<Caller, Refusal> {
        let routes = self.0.routes.borrow();
        let Some(routes) = routes.as_ref() else {
            return Err(Refusal::NoKey);
        };
        let view = self.0.team_jobs.view.get();
        let view_age = view.age(self.0.clock.time());
        let settings = &self.0.settings.access;
        let decision = access::decide(
            routes.keys(),
            view_age,
            settings,
            route.is_anonymous,
            key.filter(|key| !key.is_empty()),
        );
        if let Err(refusal) = decision {
            let reason = refusal.name();
            log::info!(
                "event=key_refused reason={reason} queue={} view_ms={} source={} version={}",
                route.queue.name,
                u64::try_from(view_age.as_millis()).unwrap_or(u64::MAX),
                view.source_name(),
                routes.version()
            );
            self.0.metrics.count("keys_refused");
            self.0.metrics.count(&format!("keys_refused_{reason}"));
        }
        decision
    }

    /// Returns whether the configuration in force has teams. Without teams, nothing is recorded about jobs.
    pub(crate) fn has_teams(&self) -> bool {
        let routes = self.0.routes.borrow();
        routes
            .as_ref()
            .is_some_and(|routes| routes.keys().is_required())
    }

    /// Records the team of a job that this node has accepted or read.
    pub(crate) fn record_job(&self, id: JobId, job: &Job) {
        let owner = Owner::of(job).map(|owner| (id, owner));
        self.0.team_jobs.record(self.0.clock.time(), owner);
    }

    /// Records the teams of jobs whose rows were read.
    pub(crate) fn record_job_rows(&self, rows: &[Row]) {
        if !self.has_teams() {
            return;
        }
        for content in rows.iter().filter_map(read_job_row) {
            if let JobContent::Job(id, job) = content {
                self.record_job(id, &job);
            }
        }
    }

    /// Returns whether a caller may access a job, as far as this node knows its team.
    fn admits(&self, caller: &Caller, id: JobId) -> bool {
        let is_anonymous = |queue| {
            let routes = self.0.routes.borrow();
            routes
                .as_ref()
                .is_some_and(|routes| routes.is_anonymous(queue))
        };
        let owner = self.0.team_jobs.owner(id);
        let is_admitted = owner.is_none_or(|owner| owner.admits(caller, is_anonymous));
        if !is_admitted {
            log::info!("event=access_denied job={id} caller={caller:?}");
            self.0.metrics.count("accesses_denied");
        }
        is_admitted
    }

    /// Returns after which time a client may submit a job again if it is to be refused because its team submits more
    /// than its rate. A job that this node knows is never refused.
    #[must_use]
    pub fn retry_surplus_after(&self, caller: &Caller, id: JobId) -> Option<Duration> {
        let Caller::Team(team) = caller else {
            return None;
        };
        let team_jobs = &self.0.team_jobs;
        let now = self.0.clock.time();
        let retry_after = team_jobs.admissions.borrow().retry_after(now, team, id)?;
        if self.0.states.borrow().contains_key(&id) || team_jobs.owner(id).is_some() {
            return None;
        }
        log::info!(
            "event=surplus_refused job={id} team={team:?} retry_ms={}",
            retry_after.as_millis()
        );
        self.0.metrics.count("surplus_refused");
        Some(retry_after)
    }

    /// Returns a job's state as [`state`](Self::state) does. A job of another team is reported as missing.
    pub async fn state_for(&self, caller: &Caller, id: JobId, deadline: Instant) -> StateAnswer {
        if !self.admits(caller, id) {
            return StateAnswer::NoJob;
        }
        // Reading the state may also show the team.
        let answer = self.state(id, deadline).await;
        match answer {
            StateAnswer::State(_) if !self.admits(caller, id) => StateAnswer::NoJob,
            answer => answer,
        }
    }

    /// Cancels a job as [`cancel`](Self::cancel) does. A job of another team is reported as missing.
    pub async fn cancel_for(&self, caller: &Caller, id: JobId, deadline: Instant) -> CancelOutcome {
        let is_known = self.0.states.borrow().contains_key(&id);
        if !is_known && self.0.team_jobs.owner(id).is_none() {
            // Reading the state shows the team, if this node reaches the table.
            match self.state(id, deadline).await {
                StateAnswer::State(_) => {}
                StateAnswer::NoJob => return self.cancel_unknown(id, deadline).await,
                StateAnswer::Unknown => return CancelOutcome::Unknown,
            }
        }
        if !self.admits(caller, id) {
            return CancelOutcome::NoJob;
        }
        self.cancel(id, deadline).await
    }
}
