//! The queues: a line of units per class and team, and the tasks that wait out a backoff.

use std::collections::{BTreeMap, BTreeSet};

use model::{Class, Size, Time};

use crate::{
    failed::Need,
    teams::TeamIx,
    units::{Entry, TaskKey, UnitIx},
};

/// The units of one class and team in order of arrival.
type Line = BTreeMap<(u64, UnitIx), Queued>;

/// What a unit in a queue was last known to need for a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Queued {
    pub(crate) need: Need,
    pub(crate) size: Size,
}

/// All queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queues {
    lines: BTreeMap<(Class, TeamIx), Line>,
    delayed: BTreeSet<(Time, TaskKey)>,
}

impl Queues {
    /// Brings the queue in step with a unit.
    pub(crate) fn file(&mut self, ix: UnitIx, entry: &Entry, size: Size) {
        if !entry.queued() {
            self.remove(ix, entry);
            return;
        }
        let line = self.lines.entry((entry.class(), entry.team)).or_default();
        let need = entry.need();
        line.insert((entry.seq, ix), Queued { need, size });
    }

    pub(crate) fn remove(&mut self, ix: UnitIx, entry: &Entry) {
        let key = (entry.class(), entry.team);
        if let Some(line) = self.lines.get_mut(&key) {
            line.remove(&(entry.seq, ix));
            if line.is_empty() {
                self.lines.remove(&key);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// The teams with work of a class.
    pub(crate) fn teams(&self, class: Class) -> impl Iterator<Item = TeamIx> {
        let lines = self.lines.range((class, 0)..=(class, TeamIx::MAX));
        lines.map(|((_, team), _)| *team)
    }

    /// The units of a line that arrived no earlier than `seq`, in order.
    pub(crate) fn line(
        &self,
        class: Class,
        team: TeamIx,
        seq: u64,
    ) -> impl Iterator<Item = (u64, UnitIx, &Queued)> {
        let line = self.lines.get(&(class, team)).into_iter();
        line.flat_map(move |line| line.range((seq, 0)..))
            .map(|((seq, ix), queued)| (*seq, *ix, queued))
    }

    pub(crate) fn delay(&mut self, until: Time, key: TaskKey) {
        self.delayed.insert((until, key));
    }

    pub(crate) fn undelay(&mut self, until: Time, key: TaskKey) {
        self.delayed.remove(&(until, key));
    }

    pub(crate) fn first_delay(&self) -> Option<Time> {
        self.delayed.first().map(|(until, _)| *until)
    }

    /// The next task whose backoff is over.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<TaskKey> {
        let (until, _) = self.delayed.first()?;
        if *until > now {
            return None;
        }
        self.delayed.pop_first().map(|(_, key)| key)
    }
}
