//! Tracking of which changes are on record.

use std::collections::HashSet;

use indexmap::IndexMap;

use crate::{
    JobKey,
    JobOutcome, //
};

/// Tracks which changes are on record. Changes are numbered. A job's record contains all its
/// changes up to the moment at which it was taken, so only each job's first uncommitted change has
/// to be known.
#[derive(Debug, Default)]
pub(crate) struct CommitTracker {
    /// The number of the last change.
    last_change: u64,
    /// Jobs with changes that no commit contains yet, each with its first such change.
    uncommitted: IndexMap<JobKey, u64>,
    /// Jobs in the commit in flight, each with its first uncommitted change and the outcome that
    /// its record contains.
    in_flight: IndexMap<JobKey, (u64, Option<JobOutcome>)>,
    /// Jobs whose records could not be written, each with its first uncommitted change. They are not taken again before they
    /// change again.
    withdrawn: IndexMap<JobKey, u64>,
    /// Jobs whose records must stay as they are.
    frozen: HashSet<JobKey>,
}

impl CommitTracker {
    /// Leaves a job's record as it is from now on. Changes of the job that no commit contains yet are not written.
    pub(crate) fn freeze(&mut self, job: JobKey) {
        self.uncommitted.swap_remove(&job);
        self.frozen.insert(job);
    }

    pub(crate) fn is_frozen(&self, job: JobKey) -> bool {
        self.frozen.contains(&job)
    }

    /// Records a change of a job and returns its number. A change of a frozen job counts as on record.
    pub(crate) fn record_change(&mut self, job: JobKey) -> u64 {
        match self.is_frozen(job) {
            true => self.committed_through(),
            false => self.record_end(job),
        }
    }

    /// Records the end of a run of a job, which may be frozen, and returns the number of the change.
    pub(crate) fn record_end(&mut self, job: JobKey) -> u64 {
        self.last_change += 1;
        let withdrawn = self.withdrawn.swap_remove(&job);
        let first = withdrawn.unwrap_or(self.last_change);
        self.uncommitted.entry(job).or_insert(first);
        self.last_change
    }

    /// Returns the number of the change up to which all changes must be on record for the job's present
    /// state to be.
    pub(crate) fn pending_change(&self, job: JobKey) -> u64 {
        let uncommitted = self.uncommitted.get(&job).copied();
        let in_flight = || self.in_flight.get(&job).map(|&(change, _)| change);
        let withdrawn = || self.withdrawn.get(&job).copied();
        uncommitted
            .or_else(in_flight)
            .or_else(withdrawn)
            .unwrap_or_else(|| self.committed_through())
    }

    /// Moves up to `limit` jobs into the commit in flight and returns them.
    pub(crate) fn take_jobs(&mut self, limit: usize) -> Vec<JobKey> {
        let count = limit.min(self.uncommitted.len());
        let taken: Vec<(JobKey, u64)> = self.uncommitted.drain(..count).collect();
        let keys = taken.iter().map(|&(key, _)| key).collect();
        for (key, change) in taken {
            self.in_flight.insert(key, (change, None));
        }
        keys
    }

    /// Takes a job whose record can't be written out of the commit in flight. Its changes stay off the record.
    pub(crate) fn withdraw(&mut self, job: JobKey) {
        let Some((change, _)) = self.in_flight.swap_remove(&job) else {
            return;
        };
        match self.uncommitted.get_mut(&job) {
            Some(first) => *first = change,
            None => drop(self.withdrawn.insert(job, change)),
        }
    }

    /// Stores the outcome that a job's record in flight contains.
    pub(crate) fn set_outcome(&mut self, job: JobKey, outcome: Option<JobOutcome>) {
        if let Some((_, carried)) = self.in_flight.get_mut(&job) {
            *carried = outcome;
        }
    }

    /// Marks the commit in flight as on record and returns the job outcomes that it contained.
    pub(crate) fn confirm(&mut self) -> Vec<(JobKey, JobOutcome)> {
        let done = std::mem::take(&mut self.in_flight);
        done.into_iter()
            .filter_map(|(key, (_, outcome))| Some((key, outcome?)))
            .collect()
    }

    /// Marks the commit in flight as failed: its jobs are taken again, before the others.
    pub(crate) fn abort(&mut self) {
        let newer = std::mem::take(&mut self.uncommitted);
        for (key, (change, _)) in std::mem::take(&mut self.in_flight) {
            self.uncommitted.insert(key, change);
        }
        for (key, change) in newer {
            self.uncommitted.entry(key).or_insert(change);
        }
    }

    /// Returns the highest change number up to which all changes are on record.
    pub(crate) fn committed_through(&self) -> u64 {
        let uncommitted = self.uncommitted.values().copied();
        let in_flight = self.in_flight.values().map(|&(change, _)| change);
        uncommitted
            .chain(in_flight)
            .chain(self.withdrawn.values().copied())
            .min()
            .map_or(self.last_change, |first| first - 1)
    }

    /// Returns whether every change is on record or in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.uncommitted.is_empty()
    }

    /// Returns whether a commit is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }
}
