//! The crashes of workers under one task, and what follows from them.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    CrashEvidence,
    RunNumber,
    WorkerCrash,
    start_announcement::StartAnnouncement, //
};

/// How long a worker must have listed a run before a crash counts as none that the run's start
/// caused. Reports arrive at most every 2 s; a task that crashes its worker on start does so within
/// milliseconds.
pub(crate) const EARLY_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// The number of early crashes from which a task is started only where nothing else starts, so that
/// the next crash tells whether it is the cause.
const SUSPICION_THRESHOLD: usize = 2;
/// The number of early crashes at which a task is given up if it was alone in one of them. Two more
/// starts after the third crash are tolerated.
const ISOLATED_CRASH_LIMIT: usize = 3;
/// The number of early crashes at which a task is given up whatever else happened at the time.
const EARLY_CRASH_LIMIT: usize = 4;
/// The number of crashes long after the start at which a task is given up, unless other workers
/// were lost at the same time. Kills in series rarely meet one task as often.
const LATE_CRASH_LIMIT: usize = 8;
/// The number of early crashes of workers at which a task is given up although each of its runs may never have begun: it
/// may crash its worker before the start is answered. Two more starts after the third crash are tolerated.
const UNBEGUN_CRASH_LIMIT: usize = 5;
/// The number of crashes that must be proven before a task is given up; the others may be none.
const PROVEN_CRASH_MINIMUM: usize = 2;
/// How long a suspected task waits for a worker on which nothing else starts.
const ISOLATION_PATIENCE: Duration = Duration::from_secs(2);

/// The confirmed crashes of workers under one task. Boxed, since few of very many tasks have any.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory(Option<Box<CrashDetails>>);

#[derive(Clone, Debug, Default)]
struct CrashDetails {
    crashes: Vec<WorkerCrash>,
    announcement: Option<StartAnnouncement>,
    /// Since when the task has found no worker on which nothing else starts.
    unisolated_since: Option<Duration>,
}

impl CrashHistory {
    pub(crate) fn from_records(crashes: Vec<WorkerCrash>) -> Self {
        Self(Some(Box::new(CrashDetails {
            crashes,
            ..CrashDetails::default()
        })))
    }

    pub(crate) fn records(&self) -> &[WorkerCrash] {
        self.0.as_ref().map_or(&[], |details| &details.crashes)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.records().is_empty()
    }

    /// Returns whether the crash under a run is on record.
    pub(crate) fn contains(&self, run: RunNumber) -> bool {
        self.records().iter().any(|crash| crash.run == run)
    }

    /// Adds a crash, or the stronger evidence of a known one; returns whether that changed anything.
    pub(crate) fn add(&mut self, crash: WorkerCrash) -> bool {
        let details = self.0.get_or_insert_default();
        let mut known = details.crashes.iter_mut();
        match known.find(|known| known.run == crash.run) {
            Some(known) if known.evidence >= crash.evidence => return false,
            Some(known) => known.evidence = crash.evidence,
            None => details.crashes.push(crash),
        }
        true
    }

    /// Removes the crash under a run; returns whether it was on record.
    pub(crate) fn remove(&mut self, run: RunNumber) -> bool {
        let was_known = self.contains(run);
        if let Some(details) = &mut self.0 {
            details.crashes.retain(|crash| crash.run != run);
        }
        was_known
    }

    /// Removes the early crashes: a run of the task has outlived them.
    pub(crate) fn clear_early(&mut self) {
        if let Some(details) = &mut self.0 {
            details.crashes.retain(|crash| !crash.early);
        }
    }

    /// Returns whether the task may be the cause of its workers' crashes.
    pub(crate) fn is_suspect(&self) -> bool {
        self.early_count() >= SUSPICION_THRESHOLD
    }

    /// Returns whether the task may only start where nothing else starts.
    pub(crate) fn needs_isolation(&self, now: Duration) -> bool {
        let since = self.0.as_ref().and_then(|details| details.unisolated_since);
        let has_waited = since.is_some_and(|since| now >= since + ISOLATION_PATIENCE);
        self.is_suspect() && !has_waited
    }

    /// Records that the task, if it is suspected, found no worker on which nothing else starts.
    pub(crate) fn wait_for_isolation(&mut self, now: Duration) {
        let is_suspect = self.is_suspect();
        if let Some(details) = self.0.as_mut().filter(|_| is_suspect) {
            details.unisolated_since.get_or_insert(now);
        }
    }

    /// Returns whether a start that begins now would delay the task beyond its patience.
    pub(crate) fn is_losing_patience(&self, now: Duration) -> bool {
        let since = self.0.as_ref().and_then(|details| details.unisolated_since);
        since.is_some_and(|since| now + EARLY_CRASH_WINDOW >= since + ISOLATION_PATIENCE)
    }

    /// Records that a run of the task is started.
    pub(crate) fn end_wait(&mut self) {
        if let Some(details) = &mut self.0 {
            details.unisolated_since = None;
        }
    }

    /// Returns whether the task's start on a worker needs no announcement, or has one that is on
    /// record, as are all changes up to `committed`.
    pub(crate) fn may_start_on(&self, worker: &Arc<str>, committed: u64) -> bool {
        !self.is_suspect()
            || self.announcement().is_some_and(|announcement| {
                announcement.worker == *worker && announcement.change <= committed
            })
    }

    /// Returns whether the task's start on a worker is announced.
    pub(crate) fn is_announced_on(&self, worker: &Arc<str>) -> bool {
        self.announcement()
            .is_some_and(|announcement| announcement.worker == *worker)
    }

    /// Returns the announcement of the task's start, if there is one.
    pub(crate) fn announcement(&self) -> Option<&StartAnnouncement> {
        self.0.as_ref()?.announcement.as_ref()
    }

    /// Announces the task's start.
    pub(crate) fn announce(&mut self, announcement: StartAnnouncement) {
        self.0.get_or_insert_default().announcement = Some(announcement);
    }

    /// Ends the announcement of the task's start; returns whether there was one.
    pub(crate) fn end_announcement(&mut self) -> bool {
        let details = self.0.as_mut();
        details.is_some_and(|details| details.announcement.take().is_some())
    }

    /// Records that a worker's incarnation has begun to execute the announced run; returns whether that
    /// changed anything.
    pub(crate) fn record_begin(&mut self, worker: &Arc<str>, incarnation: Duration) -> bool {
        let announcement = self.0.as_mut();
        let announcement = announcement.and_then(|details| details.announcement.as_mut());
        let Some(announcement) = announcement.filter(|announced| announced.worker == *worker)
        else {
            return false;
        };
        announcement.begun_in.replace(incarnation) != Some(incarnation)
    }

    /// Returns whether the task must not be started any more.
    pub(crate) fn requires_giving_up(&self) -> bool {
        let crashed_early =
            |crash: &&WorkerCrash| crash.early && crash.evidence >= CrashEvidence::Unbegun;
        if self.records().iter().filter(crashed_early).count() >= UNBEGUN_CRASH_LIMIT {
            return true;
        }
        let is_proven = |crash: &&WorkerCrash| crash.evidence.is_proof();
        if self.records().iter().filter(is_proven).count() < PROVEN_CRASH_MINIMUM {
            return false;
        }
        let early = self.early_count();
        let is_isolated = |crash: &WorkerCrash| crash.early && crash.alone && !crash.widespread;
        let late = self
            .records()
            .iter()
            .filter(|crash| !crash.early && !crash.widespread && crash.evidence.is_proof());
        early >= ISOLATED_CRASH_LIMIT && self.records().iter().any(is_isolated)
            || early >= EARLY_CRASH_LIMIT
            || late.count() >= LATE_CRASH_LIMIT
    }

    fn early_count(&self) -> usize {
        self.records().iter().filter(|crash| crash.early).count()
    }
}
