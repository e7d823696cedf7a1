//! What goes wrong in a cell.

use std::time::Duration;

/// A fault of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// The node that schedules dies, with all that it knows.
    SchedulerDies,
    /// Another node takes over while the one that schedules goes on, and does not know.
    SchedulerReplaced,
    /// The node that schedules stands still for a time, and then goes on.
    SchedulerPauses(Duration),
    /// All nodes die at once.
    AllNodesDie,
    /// A host crashes, and starts again under its name.
    HostCrashes(Duration),
    /// A host is gone for good, without a word.
    HostGone,
    /// Nodes and a host don't reach each other for a time.
    HostCut(Duration),
    /// The table answers nobody for a time.
    TableDown(Duration),
    /// A share of orders to hosts is unanswered, and carried out seconds later, for a time.
    OrdersLate(Duration),
    /// A share of the table's answers is lost, for a time.
    TableAnswersLost(Duration),
    /// All that a host starts fails, for a time.
    HostFailsAll(Duration),
}

/// A guard that is left out, to see that the judge finds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// Nothing is left out.
    #[default]
    None,
    /// Orders go out before what they rest on is stored.
    StartBeforeStored,
    /// The table stores whatever a scheduler writes, also one that was replaced.
    NoCondition,
    /// A new scheduler gives out work before it has read the hosts' lists.
    NoLists,
    /// Hosts run on for long after a lease has lapsed, as if schedulers did not wait for the lapse.
    NoLapse,
    /// Ends are acknowledged to hosts before they are stored.
    AcknowledgeEarly,
}
