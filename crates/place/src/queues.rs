//! The queues: one queue of units per class and team, and the tasks in backoff.

use std::collections::{BTreeMap, BTreeSet};

use model::{Class, Size, Time};

use crate::{
    teams::TeamIx,
    unfit::RoomKind,
    units::{Entry, TaskKey, UnitIx},
};

/// The units of one class and team in order of arrival.
type TeamQueue = BTreeMap<(u64, UnitIx), QueuedUnit>;

/// The requirements of a queued unit's tasks, as of its last update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedUnit {
    pub(crate) room_kind: RoomKind,
    pub(crate) size: Size,
}

/// All queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queues {
    by_class_and_team: BTreeMap<(Class, TeamIx), TeamQueue>,
    /// The tasks in backoff, by the end of their backoff.
    backoffs: BTreeSet<(Time, TaskKey)>,
}

impl Queues {
    /// Adds a unit to its queue or updates it there, or removes it if it does not belong there.
    pub(crate) fn update(&mut self, ix: UnitIx, entry: &Entry, size: Size) {
        if !entry.is_queued() {
            self.remove(ix, entry);
            return;
        }
        let queue = self
            .by_class_and_team
            .entry((entry.class(), entry.team))
            .or_default();
        let room_kind = entry.room_kind();
        queue.insert((entry.seq, ix), QueuedUnit { room_kind, size });
    }

    pub(crate) fn remove(&mut self, ix: UnitIx, entry: &Entry) {
        let key = (entry.class(), entry.team);
        if let Some(queue) = self.by_class_and_team.get_mut(&key) {
            queue.remove(&(entry.seq, ix));
            if queue.is_empty() {
                self.by_class_and_team.remove(&key);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_class_and_team.is_empty()
    }

    /// Returns the teams with queued units of a class.
    pub(crate) fn teams(&self, class: Class) -> impl Iterator<Item = TeamIx> {
        let queues = self
            .by_class_and_team
            .range((class, 0)..=(class, TeamIx::MAX));
        queues.map(|((_, team), _)| *team)
    }

    /// Returns the units of one queue with a sequence number of at least `seq`, in order of
    /// arrival.
    pub(crate) fn team_queue(
        &self,
        class: Class,
        team: TeamIx,
        seq: u64,
    ) -> impl Iterator<Item = (u64, UnitIx, &QueuedUnit)> {
        let queue = self.by_class_and_team.get(&(class, team)).into_iter();
        queue
            .flat_map(move |queue| queue.range((seq, 0)..))
            .map(|((seq, ix), queued)| (*seq, *ix, queued))
    }

    pub(crate) fn add_backoff(&mut self, until: Time, key: TaskKey) {
        self.backoffs.insert((until, key));
    }

    pub(crate) fn remove_backoff(&mut self, until: Time, key: TaskKey) {
        self.backoffs.remove(&(until, key));
    }

    /// Returns when the first backoff ends.
    pub(crate) fn next_backoff_end(&self) -> Option<Time> {
        self.backoffs.first().map(|(until, _)| *until)
    }

    /// Removes and returns the next task whose backoff has ended.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<TaskKey> {
        let (until, _) = self.backoffs.first()?;
        if *until > now {
            return None;
        }
        self.backoffs.pop_first().map(|(_, key)| key)
    }
}
