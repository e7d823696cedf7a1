//! When nodes take over, on virtual time: soon enough, and not for nothing.

use std::time::Duration;

use model::Time;
use sched::{Candidacy, CandidacyConfig, LeaseRow, LinkState, Step};

const MS: Duration = Duration::from_millis(1);

/// How the scheduler that is watched behaves from a point on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scheduler {
    /// It goes on.
    Lives,
    /// Its process is gone: its row stands still and its address refuses.
    Dead,
    /// It is silent, and its row stands still.
    Silent,
    /// The table turns it away; the link says so.
    WithoutTable,
    /// Only the link to it is cut.
    LinkCut,
    /// The table is slow: reads take 0.4 s, and its transactions come each 1.5 s.
    TableSlow,
    /// The same, and the link to it is cut.
    TableSlowLinkCut,
}

impl Scheduler {
    const fn is_slow(self) -> bool {
        matches!(self, Self::TableSlow | Self::TableSlowLinkCut)
    }

    const fn is_storing(self) -> bool {
        matches!(self, Self::Lives | Self::LinkCut) || self.is_slow()
    }

    const fn is_heard(self) -> bool {
        matches!(self, Self::Lives | Self::WithoutTable | Self::TableSlow)
    }
}

fn row(seq: u64) -> LeaseRow {
    LeaseRow {
        holder: "n1".into(),
        address: "n1:1".into(),
        epoch: 3,
        seq,
    }
}

/// Watches a scheduler that behaves as told from 5 s on. Returns when it is taken over.
fn taken_over_at(behaviour: Scheduler, rank: u32) -> Option<Duration> {
    let turn = Time::from_ms(5_000);
    let mut candidacy = Candidacy::new(CandidacyConfig::default(), rank);
    let mut read_due: Option<(Time, LeaseRow)> = None;
    for ms in 0..20_000 {
        let now = Time::from_ms(ms);
        let is_after = now >= turn;
        let is_storing = !is_after || behaviour.is_storing();
        // The scheduler stores something every 400 ms, and tells of itself every 250 ms.
        let is_slow = is_after && behaviour.is_slow();
        let (interval, read_ms) = if is_slow { (1_500, 400) } else { (400, 45) };
        let seq = if is_storing {
            ms / interval
        } else {
            turn.as_ms() / 400
        };
        if let Some((_, row)) = read_due.take_if(|(due, _)| *due <= now) {
            candidacy.row_read(now, Some(row));
        }
        let is_heard = !is_after || behaviour.is_heard();
        if ms % 250 == 0 && is_heard {
            // When the last transaction was sent that is known to be stored: one is always on its way while
            // the table is slow.
            let stored_at = if is_slow {
                (ms / interval - 1) * interval
            } else if is_storing {
                ms / interval * interval
            } else {
                turn.as_ms()
            };
            let link = LinkState::Up {
                heard_at: now,
                table_age: MS * u32::try_from(ms - stored_at.min(ms)).unwrap(),
                is_table_lost: is_after && behaviour == Scheduler::WithoutTable,
            };
            candidacy.link_changed(now, link);
        }
        if is_after && behaviour == Scheduler::Dead && (ms - turn.as_ms()) % 150 == 2 {
            candidacy.link_changed(now, LinkState::Gone);
        }
        if read_due.is_some() {
            // A node does one thing at a time.
            continue;
        }
        match candidacy.next_step(now) {
            Step::Wait(_) => {}
            Step::Read => {
                candidacy.read_started(now);
                read_due = Some((now + MS * read_ms, row(seq)));
            }
            Step::TakeOver => return Some(now - turn),
        }
    }
    None
}

/// Behaviour, and the longest time until the first node takes over.
const BOUNDS: [(Scheduler, Option<Duration>); 7] = [
    (Scheduler::TableSlow, None),
    (Scheduler::TableSlowLinkCut, None),
    (Scheduler::Lives, None),
    (Scheduler::LinkCut, None),
    (Scheduler::Dead, Some(Duration::from_secs(1))),
    (Scheduler::Silent, Some(Duration::from_millis(2_500))),
    (Scheduler::WithoutTable, Some(Duration::from_millis(2_500))),
];

#[test]
fn takeovers_come_in_time_and_not_for_nothing() {
    for (behaviour, bound) in BOUNDS {
        let taken = taken_over_at(behaviour, 0);
        match (taken, bound) {
            (None, None) => {}
            (Some(taken), Some(bound)) if taken <= bound => {}
            other => panic!(
                "{behaviour:?}: taken over after {:?}, bound {:?}",
                other.0, other.1
            ),
        }
    }
}

#[test]
fn nodes_try_one_after_the_other() {
    let first = taken_over_at(Scheduler::Dead, 0).unwrap();
    let fourth = taken_over_at(Scheduler::Dead, 3).unwrap();
    assert!(fourth > first, "{fourth:?} is not after {first:?}");
}

#[test]
fn a_released_row_is_taken_over_at_once() {
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

#[test]
fn a_row_that_was_only_told_of_is_read_before_it_is_taken_over() {
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
            // The table does not answer.
            candidacy.read_started(now);
        }
    }
}
