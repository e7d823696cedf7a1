//! Tests of takeover decisions in virtual time: a node takes over soon enough after a failure, and
//! does not take over from a scheduler that still works.

use std::time::Duration;

use model::Time;
use sched::{Candidacy, CandidacyConfig, LeaseRow, LinkState, Step};

const MS: Duration = Duration::from_millis(1);

/// How the observed scheduler behaves from the time of the fault on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// It works normally.
    Healthy,
    /// Its process is gone: its lease row no longer changes, and its address refuses connections.
    Crashed,
    /// It is silent, and its lease row no longer changes.
    Silent,
    /// The table refuses its requests, and it reports that over the link.
    WithoutTable,
    /// Only the link to it is cut.
    LinkCut,
    /// The table is slow: reads take 0.4 s, and the scheduler stores a transaction every 1.5 s.
    TableSlow,
    /// The table is equally slow, and the link to the scheduler is cut.
    TableSlowLinkCut,
}

impl Behaviour {
    const fn is_slow(self) -> bool {
        matches!(self, Self::TableSlow | Self::TableSlowLinkCut)
    }

    const fn is_storing(self) -> bool {
        matches!(self, Self::Healthy | Self::LinkCut) || self.is_slow()
    }

    const fn is_heard(self) -> bool {
        matches!(self, Self::Healthy | Self::WithoutTable | Self::TableSlow)
    }
}

/// How often a scheduler shows that it works.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// The interval between its transactions, in milliseconds.
    store_ms: u64,
    /// The interval between its heartbeats, in milliseconds.
    heartbeat_ms: u64,
    /// Whether the observer knows that it is of this build.
    is_known: bool,
}

/// The pace of a scheduler of this build.
const PACE: Pace = Pace {
    store_ms: 200,
    heartbeat_ms: 150,
    is_known: true,
};

/// The pace of schedulers of earlier builds, which this build's nodes follow during an upgrade.
const EARLIER_PACE: Pace = Pace {
    store_ms: 400,
    heartbeat_ms: 250,
    is_known: false,
};

fn row(seq: u64) -> LeaseRow {
    LeaseRow {
        holder: "n1".into(),
        address: "n1:1".into(),
        epoch: 3,
        seq,
        ..LeaseRow::default()
    }
}

/// Observes a scheduler that behaves normally until 5 s and as given from then on. Returns the time
/// from the fault to the takeover, or `None` if there is no takeover within 20 s.
fn takeover_delay(behaviour: Behaviour, pace: Pace, rank: u32) -> Option<Duration> {
    let fault_at = Time::from_ms(5_000);
    let mut candidacy = Candidacy::new(CandidacyConfig::default(), rank);
    let mut read_due: Option<(Time, LeaseRow)> = None;
    for ms in 0..20_000 {
        let now = Time::from_ms(ms);
        let is_after = now >= fault_at;
        let is_storing = !is_after || behaviour.is_storing();
        let is_slow = is_after && behaviour.is_slow();
        let (interval, read_ms) = if is_slow {
            (1_500, 400)
        } else {
            (pace.store_ms, 45)
        };
        let seq = if is_storing {
            ms / interval
        } else {
            fault_at.as_ms() / pace.store_ms
        };
        if let Some((_, row)) = read_due.take_if(|(due, _)| *due <= now) {
            candidacy.row_read(now, Some(row));
        }
        let is_heard = !is_after || behaviour.is_heard();
        if ms % pace.heartbeat_ms == 0 && is_heard {
            // The time when the last transaction that is known to be stored was sent. While the
            // table is slow, one more transaction is always in flight.
            let stored_at = if is_slow {
                (ms / interval - 1) * interval
            } else if is_storing {
                ms / interval * interval
            } else {
                fault_at.as_ms()
            };
            let link = LinkState::Up {
                heard_at: now,
                table_age: MS * u32::try_from(ms - stored_at.min(ms)).unwrap(),
                is_table_lost: is_after && behaviour == Behaviour::WithoutTable,
            };
            candidacy.link_changed(now, link);
            // As a heartbeat tells it.
            candidacy.set_quick(pace.is_known);
        }
        if is_after && behaviour == Behaviour::Crashed && (ms - fault_at.as_ms()) % 150 == 2 {
            candidacy.link_changed(now, LinkState::Gone);
        }
        if read_due.is_some() {
            // A node does not act while a read is in flight.
            continue;
        }
        match candidacy.next_step(now) {
            Step::Wait(_) => {}
            Step::Read => {
                candidacy.read_started(now);
                read_due = Some((now + MS * read_ms, row(seq)));
            }
            Step::TakeOver => return Some(now - fault_at),
        }
    }
    None
}

/// Each behaviour with the longest time until the first node takes over; `None` if it must not.
const BOUNDS: [(Behaviour, Option<Duration>); 7] = [
    (Behaviour::TableSlow, None),
    (Behaviour::TableSlowLinkCut, None),
    (Behaviour::Healthy, None),
    (Behaviour::LinkCut, None),
    (Behaviour::Crashed, Some(Duration::from_secs(1))),
    (Behaviour::Silent, Some(Duration::from_secs(1))),
    (Behaviour::WithoutTable, Some(Duration::from_millis(2_500))),
];

/// Guards against slow takeovers from a failed scheduler, and against takeovers from one that works
/// while its link is cut or the table is slow.
#[test]
fn takeovers_are_timely_and_only_after_failures() {
    for (pace, (behaviour, bound)) in [PACE, EARLIER_PACE]
        .into_iter()
        .flat_map(|pace| BOUNDS.map(|case| (pace, case)))
    {
        let taken = takeover_delay(behaviour, pace, 0);
        match (taken, bound) {
            (None, None) => {}
            (Some(taken), Some(bound)) if taken <= bound => {}
            other => panic!(
                "{behaviour:?}, {pace:?}: taken over after {:?}, bound {:?}",
                other.0, other.1
            ),
        }
    }
}

/// Guards against a silent scheduler for whose row each node begins to wait only once the link counts as lost.
#[test]
fn a_quick_scheduler_is_followed_sooner() {
    let taken = |pace| takeover_delay(Behaviour::Silent, pace, 0).unwrap();
    let unknown = Pace {
        is_known: false,
        ..PACE
    };
    let (quick, slow) = (taken(PACE), taken(unknown));
    assert!(quick + MS * 100 < slow, "{quick:?}, {slow:?}");
}

/// Guards against takeovers by several nodes at once, which would disturb each other.
#[test]
fn nodes_of_higher_rank_take_over_later() {
    let first = takeover_delay(Behaviour::Crashed, PACE, 0).unwrap();
    let fourth = takeover_delay(Behaviour::Crashed, PACE, 3).unwrap();
    assert!(fourth > first, "{fourth:?} is not after {first:?}");
}

/// Guards against a delay after a handover, in which the scheduler has released the lease row.
#[test]
fn a_released_row_is_taken_over_immediately() {
    let mut candidacy = Candidacy::new(CandidacyConfig::default(), 0);
    let now = Time::from_ms(100);
    assert_eq!(candidacy.next_step(now), Step::Read);
    candidacy.read_started(now);
    let released = LeaseRow {
        holder: String::new(),
        ..row(9)
    };
    candidacy.row_read(now, Some(released));
    assert_eq!(candidacy.next_step(now), Step::TakeOver);
}

/// Guards against a delay of a released row's takeover until a second read: the takeover itself fails if the row has changed.
#[test]
fn a_released_row_is_not_read_twice() {
    let mut candidacy = Candidacy::new(CandidacyConfig::default(), 0);
    let asked = Time::from_ms(100);
    candidacy.read_started(asked);
    let released = LeaseRow {
        holder: String::new(),
        ..row(9)
    };
    let answered = asked + MS * 45;
    candidacy.row_read(answered, Some(released));
    assert_eq!(candidacy.next_step(answered), Step::TakeOver);
}

/// Guards against a delay after all VMs were off: the scheduler's own VM knows first that its former process is gone.
#[test]
fn a_restarted_scheduler_takes_over_immediately() {
    let first_step = |link| {
        let mut candidacy = Candidacy::new(CandidacyConfig::default(), 3);
        let asked = Time::from_ms(100);
        candidacy.read_started(asked);
        let answered = asked + MS * 45;
        candidacy.row_read(answered, Some(row(9)));
        candidacy.link_changed(answered, link);
        candidacy.next_step(answered)
    };
    assert_eq!(first_step(LinkState::Restarted), Step::TakeOver);
    assert_ne!(first_step(LinkState::Gone), Step::TakeOver);
}

/// Guards against a takeover based on the message of another node alone, while the table does not
/// answer.
#[test]
fn a_hinted_row_is_read_before_a_takeover() {
    let mut candidacy = Candidacy::new(CandidacyConfig::default(), 0);
    let mut now = Time::from_ms(100);
    candidacy.read_started(now);
    candidacy.row_read(now, Some(row(1)));
    candidacy.hint(LeaseRow { epoch: 4, ..row(0) });
    for _ in 0..10_000 {
        now += MS;
        let step = candidacy.next_step(now);
        assert_ne!(step, Step::TakeOver);
        if step == Step::Read {
            // The table does not answer the read.
            candidacy.read_started(now);
        }
    }
}

/// Guards against replacing a row that cannot be read as if no node had ever scheduled.
#[test]
fn a_row_that_cannot_be_read_is_not_replaced() {
    let mut candidacy = Candidacy::new(CandidacyConfig::default(), 0);
    let released = LeaseRow {
        holder: String::new(),
        ..row(4)
    };
    candidacy.read_started(Time::ZERO);
    candidacy.row_read(Time::ZERO, Some(released.clone()));
    assert_eq!(candidacy.next_step(Time::from_ms(10)), Step::TakeOver);
    candidacy.row_unreadable();
    for ms in 10..5_000 {
        assert_ne!(candidacy.next_step(Time::from_ms(ms)), Step::TakeOver);
    }
    candidacy.read_started(Time::from_ms(5_000));
    candidacy.row_read(Time::from_ms(5_010), Some(released));
    assert_eq!(candidacy.next_step(Time::from_ms(5_010)), Step::TakeOver);
}
