//! Counts the answers of the table that starts and shown states wait for.

/// The number of events, and of the scheduler's transactions that they waited for one after the other, from the decision
/// to the effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TripCount {
    /// The number of events.
    pub events: u64,
    /// The number of transactions that all of them waited for.
    pub trips: u64,
    /// The most transactions that one of them waited for.
    pub most: u64,
}

impl TripCount {
    pub(crate) fn record(&mut self, trips: u64) {
        self.events += 1;
        self.trips += trips;
        self.most = self.most.max(trips);
    }
}

/// The counts since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trips {
    /// Starts of tasks, of first and of later steps, from the decision to the order.
    pub starts: TripCount,
    /// Final states of jobs, from the end of the last task to the publication.
    pub ends: TripCount,
}
