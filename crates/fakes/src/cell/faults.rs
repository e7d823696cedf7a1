//! Faults that can be injected into a cell.

use std::time::Duration;

/// A fault of a cell. Durations are how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CellFault {
    /// The node that is the scheduler crashes and loses its state.
    SchedulerDies,
    /// The node that is the scheduler is lost for good, with its state.
    SchedulerGone,
    /// Another node takes over, while the current scheduler continues without noticing it.
    SchedulerReplaced,
    /// The node that is the scheduler is paused for this time, and then continues.
    SchedulerPauses(Duration),
    /// All nodes crash at once and lose their state.
    AllNodesDie,
    /// A host crashes, and restarts under the same name after this time.
    HostCrashes(Duration),
    /// This percentage of the hosts, at least one, crash by themselves at once. Each restarts under the same name after
    /// this time.
    HostsCrash(u32, Duration),
    /// This percentage of the hosts, at least one, crash by themselves at once, restart under the same name, and are cut off
    /// from all nodes soon after. The choice of a host at random for each fault seldom meets one that has just restarted.
    HostsRecut {
        /// The percentage.
        percent: u32,
        /// How long they are down.
        down: Duration,
        /// How long after their restart they are cut off.
        up: Duration,
        /// How long they are cut off.
        cut: Duration,
    },
    /// A host crashes and never restarts; no notice is given.
    HostGone,
    /// Messages between the nodes and a host are lost.
    HostCut(Duration),
    /// Messages between a host and all nodes but the present scheduler are lost.
    HostCutFromOthers(Duration),
    /// Every other host is reached by the present scheduler only, and the rest by the other nodes only.
    HostsSplit(Duration),
    /// The present scheduler does not reach the table. It is followed.
    SchedulerCutFromTable(Duration),
    /// The table is unreachable.
    TableDown(Duration),
    /// Each transaction of the table takes half a second longer.
    TableSlow(Duration),
    /// A share of the orders to hosts is unanswered and carried out seconds later.
    OrdersLate(Duration),
    /// A share of the table's answers is lost.
    TableAnswersLost(Duration),
    /// All runs that a host starts fail.
    HostFailsAll(Duration),
    /// A host is unhealthy: it answers start orders with a refusal and does nothing.
    HostUnhealthy(Duration),
    /// A host is unhealthy half of the time, by turns of a few hundred milliseconds.
    HostFlaps(Duration),
    /// Orders and polls reach a host and are carried out, and their answers are lost.
    HostAnswersCut(Duration),
    /// A share of the connections to hosts is reset before the answer arrives. Their orders and polls are carried
    /// out at once or seconds later.
    OrdersReset(Duration),
    /// Hosts answer polls, and reset the connections of all orders to start and stop tasks before they read them.
    OrdersRefused(Duration),
    /// A host has half of its size. It is listed with it after the delay of the list.
    HostShrinks(Duration),
    /// The schedulers see no changes of the list of hosts.
    DirectoryStuck(Duration),
}

/// A safeguard that is left out, to test that the checker detects the consequences.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    /// All safeguards are in place.
    #[default]
    None,
    /// Orders are sent before the batch that they depend on is stored.
    StartBeforeStored,
    /// The table stores all transactions, including those of a scheduler that was replaced.
    NoCondition,
    /// A new scheduler starts tasks before it has read the hosts' lists of runs.
    NoLists,
    /// Runs continue for 8 s after their lease has lapsed, as if schedulers did not wait for the lapse.
    NoLapse,
    /// A new scheduler takes the one before for stopped.
    TakeForStopped,
    /// Lease rows do not tell which earlier schedulers may still renew leases.
    ForgetRenewers,
    /// Lease rows go on telling the bounds of hosts whose leases are renewed again.
    KeepBounds,
    /// Ends are acknowledged to hosts before they are stored.
    AcknowledgeEarly,
    /// Announced jobs are treated as stored at once.
    TrustAnnouncements,
    /// A new scheduler ignores progress of jobs whose rows it has not found.
    IgnoreOrphans,
    /// Start orders carry another specification.
    OtherSpec,
    /// Start orders carry another checkpoint, where they carry one.
    OtherCheckpoint,
    /// Start orders name tasks that their jobs do not have.
    UnknownTask,
    /// Stop orders are confirmed and not carried out.
    NoStops,
    /// Schedulers do not learn of cancellations before a takeover.
    IgnoreCancels,
}
