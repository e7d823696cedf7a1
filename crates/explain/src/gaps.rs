//! The times in which no node scheduled.

use std::collections::BTreeMap;

use crate::{history::Millis, line::Line};

/// The signs of life of schedulers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gaps {
    /// When each epoch began to schedule.
    began: BTreeMap<u64, Millis>,
    /// When each epoch last gave a sign of life.
    seen: BTreeMap<u64, Millis>,
}

impl Gaps {
    pub(crate) fn add(&mut self, line: &Line<'_>) {
        let Some(epoch) = line.number("epoch") else {
            return;
        };
        if line.event == "scheduling" {
            self.began.insert(epoch, line.at_ms);
        }
        // Other nodes name an epoch before its scheduler has begun.
        if matches!(
            line.event,
            "scheduling" | "started" | "state" | "load" | "handed_over"
        ) {
            let seen = self.seen.entry(epoch).or_default();
            *seen = line.at_ms.max(*seen);
        }
    }

    /// Returns the part of a span of time in which no node scheduled, in milliseconds.
    pub(crate) fn within(&self, from: Millis, to: Millis) -> u64 {
        let gaps = self.began.iter().filter_map(|(epoch, &began)| {
            let (_, &last) = self.seen.range(..epoch).next_back()?;
            Some((last, began))
        });
        gaps.map(|(start, end)| end.min(to).saturating_sub(start.max(from)))
            .sum()
    }
}
