//! Finds the queue that a request is for, and the teams whose keys it may carry.

use std::collections::HashMap;

use jobs::{Queue, TeamPolicy};
use serde::{Deserialize, Serialize};

use crate::access::{Keys, Team, number_of};

/// A queue, and the host and path at which clients reach it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// The host that requests must name.
    pub host: String,
    /// The prefix that the path of requests must have.
    pub path_prefix: String,
    /// The queue.
    pub queue: Queue,
    /// Whether requests need no key although the configuration has teams.
    pub is_anonymous: bool,
}

/// The queues and teams of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    version: u64,
    /// The routes by host, longest prefix first.
    by_host: HashMap<String, Vec<Route>>,
    keys: Keys,
}

impl Routes {
    /// Creates the queues of a version of the configuration that has no teams.
    #[must_use]
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self {
            version,
            by_host,
            keys: Keys::default(),
        }
    }

    /// Adds teams. From then on, requests need a key of one of them, even if there are none.
    #[must_use]
    pub fn with_teams(self, teams: impl IntoIterator<Item = Team>) -> Self {
        Self {
            keys: Keys::new(teams.into_iter().collect(), true),
            ..self
        }
    }

    /// Returns the version of the configuration. A higher one is newer.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the queue that a request is for, and the rest of the path after the queue's prefix. If
    /// several prefixes match, the longest one is used.
    #[must_use]
    pub fn find<'r, 'p>(&'r self, host: &str, path: &'p str) -> Option<(&'r Queue, &'p str)> {
        let (route, rest) = self.find_route(host, path)?;
        Some((&route.queue, rest))
    }

    /// Returns the route that a request is for, and the rest of the path after its prefix.
    #[must_use]
    pub fn find_route<'r, 'p>(&'r self, host: &str, path: &'p str) -> Option<(&'r Route, &'p str)> {
        let routes = self.by_host.get(host)?;
        routes.iter().find_map(|route| {
            let rest = path.strip_prefix(route.path_prefix.as_str())?;
            Some((route, rest))
        })
    }

    /// Returns all queues, in no particular order.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.routes().map(|route| &route.queue)
    }

    /// Returns the weights and limits of all teams.
    pub fn teams(&self) -> impl Iterator<Item = &TeamPolicy> {
        self.keys.teams().iter().map(|team| &team.policy)
    }

    /// Returns all routes, in no particular order.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Route> {
        self.by_host.values().flatten()
    }

    /// Returns whether the queue whose name has this number accepts calls without a key.
    pub(crate) fn is_anonymous(&self, queue: u32) -> bool {
        self.routes()
            .any(|route| route.is_anonymous && number_of(&route.queue.name) == queue)
    }

    pub(crate) const fn keys(&self) -> &Keys {
        &self.keys
    }
}
