//! Finds the queue that a request is for.

use std::collections::HashMap;

use jobs::Queue;

/// A queue, and the host and path at which clients reach it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The host that requests must name.
    pub host: String,
    /// The prefix that the path of requests must have.
    pub path_prefix: String,
    /// The queue.
    pub queue: Queue,
}

/// The queues of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    version: u64,
    /// The routes by host, longest prefix first.
    by_host: HashMap<String, Vec<Route>>,
}

impl Routes {
    /// Creates the queues of a version of the configuration.
    #[must_use]
    pub fn new(version: u64, routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { version, by_host }
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
        let routes = self.by_host.get(host)?;
        routes.iter().find_map(|route| {
            let rest = path.strip_prefix(route.path_prefix.as_str())?;
            Some((&route.queue, rest))
        })
    }

    /// Returns all queues, in no particular order.
    pub fn queues(&self) -> impl Iterator<Item = &Queue> {
        self.by_host.values().flatten().map(|route| &route.queue)
    }
}
