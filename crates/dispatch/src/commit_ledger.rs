//! Tracking of which changes are on record.

use indexmap::IndexMap;

use crate::{
    JobKey,
    JobOutcome, //
};

/// Tracks which changes are on record. Changes are numbered. A job's record contains all its
/// changes up to the moment at which it was taken, so only each job's first uncommitted change has
/// to be known.
#[derive(Debug, Default)]
pub(crate) struct CommitLedger {
    changes: u64,
    dirty: IndexMap<JobKey, u64>,
    in_flight: IndexMap<JobKey, (u64, Option<JobOutcome>)>,
}

impl CommitLedger {
    /// Records a change of a job and returns its number.
    pub(crate) fn note(&mut self, job: JobKey) -> u64 {
        self.changes += 1;
        self.dirty.entry(job).or_insert(self.changes);
        self.changes
    }

    /// Moves up to `limit` jobs into the commit in flight and returns them.
    pub(crate) fn take(&mut self, limit: usize) -> Vec<JobKey> {
        let count = limit.min(self.dirty.len());
        let taken: Vec<(JobKey, u64)> = self.dirty.drain(..count).collect();
        let keys = taken.iter().map(|&(key, _)| key).collect();
        for (key, change) in taken {
            self.in_flight.insert(key, (change, None));
        }
        keys
    }

    /// Stores the outcome that a job's record in flight contains.
    pub(crate) fn carry(&mut self, job: JobKey, outcome: Option<JobOutcome>) {
        if let Some((_, carried)) = self.in_flight.get_mut(&job) {
            *carried = outcome;
        }
    }

    /// Marks the commit in flight as on record and returns the job outcomes that it contained.
    pub(crate) fn settle(&mut self) -> Vec<(JobKey, JobOutcome)> {
        let done = std::mem::take(&mut self.in_flight);
        done.into_iter()
            .filter_map(|(key, (_, outcome))| Some((key, outcome?)))
            .collect()
    }

    /// Marks the commit in flight as failed: its jobs are taken again, before the others.
    pub(crate) fn give_back(&mut self) {
        let later = std::mem::take(&mut self.dirty);
        for (key, (change, _)) in std::mem::take(&mut self.in_flight) {
            self.dirty.insert(key, change);
        }
        for (key, change) in later {
            self.dirty.entry(key).or_insert(change);
        }
    }

    /// Returns the highest change number up to which all changes are on record.
    pub(crate) fn on_record(&self) -> u64 {
        let dirty = self.dirty.values().copied();
        let flying = self.in_flight.values().map(|&(change, _)| change);
        dirty
            .chain(flying)
            .min()
            .map_or(self.changes, |first| first - 1)
    }

    pub(crate) fn is_clean(&self) -> bool {
        self.dirty.is_empty()
    }

    pub(crate) fn is_flying(&self) -> bool {
        !self.in_flight.is_empty()
    }
}
