//! How current a node's configuration is.

use std::time::Duration;

use model::Time;

use crate::{Node, Ports};

/// From whom a node learned that its configuration is the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Source {
    /// The table.
    #[default]
    Table,
}

/// When the configuration in force was last known to be the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct View {
    confirmed_at: Time,
    source: Source,
}

impl View {
    /// Returns how long ago the configuration was known to be the newest one.
    pub(crate) fn age(self, now: Time) -> Duration {
        now - self.confirmed_at
    }

    /// Returns the name of the source for logs.
    pub(crate) const fn source_name(self) -> &'static str {
        match self.source {
            Source::Table => "table",
        }
    }

    /// Records that there was no newer configuration at `at`. Answers may arrive out of order.
    pub(crate) fn confirm(&mut self, at: Time, source: Source) {
        if at > self.confirmed_at {
            *self = Self {
                confirmed_at: at,
                source,
            };
        }
    }
}

impl<P: Ports> Node<P> {
    /// Records that there was no newer configuration than the one in force at `at`.
    pub(crate) fn confirm_configuration(&self, at: Time, source: Source) {
        let mut view = self.0.team_jobs.view.get();
        view.confirm(at, source);
        self.0.team_jobs.view.set(view);
    }
}
