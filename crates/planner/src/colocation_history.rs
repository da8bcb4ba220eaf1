//! The recent history of the classes that ran together on a worker.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use jasminebend_placement::ClassKey;

/// How long the history reaches back; measurements arrive at most this late.
const HISTORY_RETENTION: Duration = Duration::from_secs(60);
/// The time after a change of the co-located tasks until measurements reflect it.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The recent history of the classes that ran together on a worker. A measurement arrives late and
/// describes the tasks that ran when it was made. Attributing it to the tasks that run when it
/// arrives would learn interference between classes that never ran together.
#[derive(Debug, Default)]
pub(crate) struct ColocationHistory {
    /// Times of change, oldest first, each with the classes that run from then on; a throttled task
    /// counts as the fraction of its speed.
    changes: VecDeque<(Duration, Vec<(ClassKey, f64)>)>,
}

impl ColocationHistory {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Records the classes that run together from `now` on, and drops entries older than needed.
    pub(crate) fn record(&mut self, now: Duration, colocated_classes: Vec<(ClassKey, f64)>) {
        self.changes.push_back((now, colocated_classes));
        while let Some((next, _)) = self.changes.get(1)
            && *next + HISTORY_RETENTION < now
        {
            self.changes.pop_front();
        }
    }

    /// Returns the classes that run together now, with their weights.
    pub(crate) fn current(&self) -> &[(ClassKey, f64)] {
        self.changes
            .back()
            .map_or(&[], |(_, colocated_classes)| colocated_classes.as_slice())
    }

    /// Returns the classes that ran together at `time`. Returns `None` if they had changed less
    /// than [`SETTLING_TIME`] before it, or if the history does not reach back that far.
    pub(crate) fn classes_at(&self, time: Duration) -> Option<&[(ClassKey, f64)]> {
        let found = self
            .changes
            .iter()
            .rev()
            .find(|(since, _)| *since <= time)?;
        let settled = found.0 + SETTLING_TIME <= time;
        settled.then_some(found.1.as_slice())
    }
}
