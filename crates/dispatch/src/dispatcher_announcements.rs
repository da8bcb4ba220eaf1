//! Announcement, in jobs' records, of starts whose crash an owner may not live to see.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    CrashEvidence,
    Dispatcher,
    TaskKey,
    WorkerCrash,
    WorkerKey,
    inherited_start::InheritedStart,
    start_announcement::StartAnnouncement,
    worker_state::WorkerState, //
};

impl Dispatcher {
    /// Returns whether a task may start on a worker now. A suspected task must be announced first,
    /// so that a successor knows of a start whose crash this owner may not live to see.
    pub(crate) fn may_start_on(&mut self, task: TaskKey, key: WorkerKey, now: Duration) -> bool {
        let committed = self.commits.committed_through();
        let Some(crashes) = self.crash_history(task) else {
            return false;
        };
        let worker = &self.worker(key).record.id;
        if crashes.may_start_on(worker, committed) {
            return true;
        }
        if !crashes.is_announced_on(worker) {
            self.announce_start(task, key);
            self.worker_mut(key).isolate(task, now);
        }
        false
    }

    /// Returns whether a task for which no worker was found is suspected, so that other suspected tasks may keep it waiting beside
    /// free capacity; limits how long it waits for a worker on which nothing else starts.
    pub(crate) fn awaits_isolation(&mut self, task: TaskKey, now: Duration) -> bool {
        let Some(crashes) = self.crash_history_mut(task) else {
            return false;
        };
        let is_suspect = crashes.is_suspect();
        crashes.wait_for_isolation(now);
        is_suspect
    }

    /// Records that a placed task starts, and announces it if workers have crashed under it.
    pub(crate) fn begin_start(&mut self, task: TaskKey, key: WorkerKey) {
        let Some(crashes) = self.crash_history_mut(task) else {
            return;
        };
        crashes.end_wait();
        if !crashes.is_empty() {
            self.announce_start(task, key);
        }
    }

    /// Announces that a task starts, or has started, on a worker, unless that is announced already.
    pub(crate) fn announce_start(&mut self, task: TaskKey, key: WorkerKey) {
        let worker = Arc::clone(&self.worker(key).record.id);
        let history = self.crash_history(task);
        if history.is_some_and(|history| history.is_announced_on(&worker)) {
            return;
        }
        let begun_in = self.worker(key).incarnation_executing(task);
        let change = self.commits.record_change(task.job());
        if let Some(crashes) = self.crash_history_mut(task) {
            crashes.announce(StartAnnouncement {
                worker,
                change,
                begun_in,
            });
        }
    }

    /// Records that a worker has begun to execute a task, in its job and in the announcement of its start, if there is one.
    pub(crate) fn record_begin(&mut self, key: WorkerKey, task: TaskKey) {
        if let Some(job) = self.jobs.get_mut(&task.job()) {
            job.has_begun = true;
        }
        let worker = self.worker(key);
        let id = Arc::clone(&worker.record.id);
        let Some(begun_in) = worker.incarnation_executing(task) else {
            return;
        };
        let history = self.crash_history_mut(task);
        if history.is_some_and(|history| history.record_begin(&id, begun_in)) {
            self.commits.record_change(task.job());
        }
    }

    /// Announces, although they have begun, the runs that may have crashed a worker which does not
    /// answer: if this owner is replaced before the loss is certain, its successor counts them.
    pub(crate) fn announce_endangered_runs(&mut self, key: WorkerKey) {
        let runs = self.worker(key).runs.iter();
        let early = runs.filter(|(_, run)| run.is_early());
        let tasks: Vec<TaskKey> = early.map(|((task, _), _)| *task).collect();
        for task in tasks {
            self.announce_start(task, key);
        }
    }

    /// Counts a crash for each start that a former owner has announced, of which no worker tells,
    /// and whose worker was lost; without that loss, the start was never sent.
    pub(crate) fn settle_inherited_starts(&mut self, now: Duration) {
        for (task, start) in std::mem::take(&mut self.inherited_starts) {
            match self.evidence_of_loss(&start) {
                Some(evidence) => self.count_inherited_start(task, start, evidence, now),
                None => drop(self.commits.record_change(task.job())),
            }
        }
    }

    /// Returns what shows that an announced start was lost with its worker, or `None` if it was not.
    fn evidence_of_loss(&self, start: &InheritedStart) -> Option<CrashEvidence> {
        let worker = self.worker_key(&start.worker).map(|key| self.worker(key));
        let incarnation = worker.and_then(|worker| worker.incarnation);
        if let Some((former, current)) = start.begun_in.zip(incarnation) {
            return (former != current).then_some(CrashEvidence::Restarted);
        }
        let is_lost = worker.is_none_or(WorkerState::was_lost_in_takeover);
        let has_begun = start.begun_in.is_some();
        match has_begun {
            _ if !is_lost => None,
            true => Some(CrashEvidence::Silent),
            false => Some(CrashEvidence::Uncertain),
        }
    }

    fn count_inherited_start(
        &mut self,
        task: TaskKey,
        start: InheritedStart,
        evidence: CrashEvidence,
        now: Duration,
    ) {
        let crash = WorkerCrash {
            run: self.next_run(),
            worker: start.worker,
            at: self.clock_origin + now,
            early: true,
            alone: false,
            widespread: false,
            evidence,
            incarnation: start.begun_in,
        };
        self.confirm_crash(task, crash.clone());
        self.inherit_crashes(task, &[crash], now);
    }
}
