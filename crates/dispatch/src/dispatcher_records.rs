//! Conversion of the dispatcher's state to stored records and back.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    Dispatcher,
    JobKey,
    JobOutcome,
    LearnedRecord,
    PolicyPart,
    ProgressRecord,
    StepKey,
    StepProgress,
    TaskCrashes,
    TaskKey,
    crash_history::CrashHistory,
    dispatcher::StepOrigin,
    inherited_start::InheritedStart,
    job_state::{
        JobState,
        StepState,
        TaskState, //
    }, //
};

/// The most tasks whose crashes are recorded, at up to 200 bytes each: a row may have 64 KiB.
const MAX_RECORDED_CRASHED_TASKS: usize = 100;

impl Dispatcher {
    /// Takes up to `limit` jobs with uncommitted changes, with the records to write; of a job that [can't be
    /// read](Dispatcher::is_unreadable) the ends, to be written beside its record. Returns nothing while a commit is in
    /// flight: there is at most one at a time.
    pub fn take_records_to_commit(&mut self, limit: usize) -> Vec<(JobKey, ProgressRecord)> {
        if self.commits.is_in_flight() {
            return Vec::new();
        }
        let keys = self.commits.take_jobs(limit);
        let mut records = Vec::with_capacity(keys.len());
        for key in keys {
            if self.is_unreadable(key) {
                let ends = self.recorded_ends.get(&key).cloned();
                records.push((key, ends.unwrap_or_default()));
                continue;
            }
            let Some(job) = self.jobs.get(&key) else {
                continue;
            };
            records.push((key, job_record(key, job, &self.inherited_starts)));
            self.commits.set_outcome(key, job.outcome);
        }
        records
    }

    /// Returns whether there are changes to commit and no commit is in flight.
    pub fn has_changes_to_commit(&self) -> bool {
        !self.commits.is_empty() && !self.commits.is_in_flight()
    }

    /// Reports that the commit in flight is on record.
    pub fn confirm_commit(&mut self) {
        for (key, outcome) in self.commits.confirm() {
            if let Some(job) = self.jobs.get_mut(&key) {
                job.recorded_outcome = Some(outcome);
            }
        }
        self.acknowledge();
    }

    /// Reports that the commit in flight does not contain a job's record, which could not be encoded. The record is taken again
    /// once the job has changed.
    pub fn withdraw_record(&mut self, key: JobKey) {
        self.commits.withdraw(key);
    }

    /// Reports that the commit in flight is not known to be on record; its jobs are taken again.
    pub fn abort_commit(&mut self) {
        self.commits.abort();
    }

    /// Restores a job's state from its record, as soon as the job is known. Must be called before any
    /// task of the job is started.
    pub fn restore_job(&mut self, key: JobKey, record: &ProgressRecord) {
        if !self.jobs.contains_key(&key) {
            self.early_records.insert(key, record.clone());
            return;
        }
        let progressed = record.steps.iter().map(|step| step.occurrence);
        let crashed = record.crashes.iter().map(|task| task.occurrence);
        let occurrences: IndexSet<u32> = progressed.chain(crashed).collect();
        for occurrence in occurrences {
            self.open_occurrence(key, occurrence);
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        for stored in &record.steps {
            if let Some(step) = job.step_mut(stored.occurrence, stored.step) {
                restore_step(step, stored);
            }
        }
        for stored in &record.crashes {
            if let Some(step) = job.step_mut(stored.occurrence, stored.step)
                && let Some(task) = step.tasks.get_mut(stored.index as usize)
            {
                task.crashes = CrashHistory::from_records(stored.crashes.clone());
                if let Some(worker) = stored.started_on.clone().filter(|_| !task.done) {
                    let begun_in = stored.begun_in;
                    let start = InheritedStart { worker, begun_in };
                    self.inherited_starts.insert(stored.task(key), start);
                }
            }
        }
        for stored in &record.crashes {
            // The former owner counted them once their runs were over.
            self.inherit_crashes(stored.task(key), &stored.crashes, Duration::ZERO);
        }
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let is_on_record = !record.steps.is_empty() || !record.crashes.is_empty();
        job.started |= is_on_record;
        let has_begun = |task: &TaskCrashes| task.begun_in.is_some() || !task.crashes.is_empty();
        job.has_begun |= !record.steps.is_empty() || record.crashes.iter().any(has_begun);
        if !job.cancelled {
            job.outcome = record.outcome;
            job.recorded_outcome = record.outcome;
            job.failure = record.failure.clone();
        }
        let occurrences: Vec<u32> = job.occurrences.keys().copied().collect();
        if job.is_over() {
            self.stop_job_runs(key);
            return;
        }
        for occurrence in occurrences {
            self.open_steps(key, occurrence, StepOrigin::Unknown);
        }
        self.fail_if_any_exhausted(key);
        self.pending_steps.retain(|step| {
            let state = self.jobs.get(&step.job);
            let state = state.and_then(|job| job.step(step.occurrence, step.step));
            state.is_some_and(StepState::has_pending)
        });
    }

    /// Returns the number of records that were read of jobs that are not known yet.
    pub fn early_record_count(&self) -> usize {
        self.early_records.len()
    }

    /// Returns the learned interference between fillers and services, to be stored for a successor.
    pub fn learned_record(&self) -> LearnedRecord {
        self.interference.record()
    }

    /// Restores the interference that a former owner has learned.
    pub fn restore_learned(&mut self, record: &LearnedRecord) {
        if !self.settings.switches.has(PolicyPart::LearnedStateRestore) {
            return;
        }
        self.interference.restore(record);
    }

    /// Advances every worker's acknowledgement over the completions that are now on record.
    pub(crate) fn acknowledge(&mut self) {
        let on_record = self.commits.committed_through();
        for worker in &mut self.workers {
            worker.acknowledge(on_record);
        }
    }

    /// Ends a job with this outcome and queues the outcome to be committed.
    pub(crate) fn finish_job(&mut self, key: JobKey, outcome: JobOutcome) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.is_over() {
            return;
        }
        job.outcome = Some(outcome);
        self.commits.record_change(key);
        self.stop_job_runs(key);
    }

    /// Returns how long ago a job was accepted, or `None` if it is unknown.
    pub fn job_age(&self, key: JobKey, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.jobs.get(&key)?.accepted))
    }
}

fn count<Items>(items: Items) -> u32
where
    Items: Iterator,
{
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}

/// Returns the record of a job; one that has ended needs only its outcome.
fn job_record(
    key: JobKey,
    job: &JobState,
    inherited: &IndexMap<TaskKey, InheritedStart>,
) -> ProgressRecord {
    let mut steps = Vec::new();
    if job.outcome.is_none() {
        for (&occurrence, state) in &job.occurrences {
            for (number, step) in state.steps.iter().enumerate() {
                // CAST: A job has at most 256 steps.
                steps.extend(step_record(occurrence, number as u16, step));
            }
        }
    }
    ProgressRecord {
        outcome: job.outcome,
        steps,
        crashes: crash_records(key, job, inherited),
        failure: job.failure.clone(),
    }
}

/// Returns the crashes under a job's unfinished tasks, of those with the most crashes if there are
/// too many to record.
fn crash_records(
    key: JobKey,
    job: &JobState,
    inherited: &IndexMap<TaskKey, InheritedStart>,
) -> Vec<TaskCrashes> {
    let mut records = Vec::new();
    if job.outcome.is_some() {
        return records;
    }
    for (&occurrence, state) in &job.occurrences {
        for (step, step_state) in (0..).zip(&state.steps) {
            let tasks = (0..).zip(&step_state.tasks);
            let step_key = StepKey {
                job: key,
                occurrence,
                step,
            };
            let start = |index: u32| inherited.get(&step_key.task(index));
            let crashed = tasks.filter(|(index, task)| {
                let crashes = &task.crashes;
                let is_announced = crashes.announcement().is_some() || start(*index).is_some();
                !task.done && (!crashes.is_empty() || is_announced)
            });
            records.extend(crashed.map(|(index, task)| {
                TaskCrashes {
                    occurrence,
                    step,
                    index,
                    crashes: task.crashes.records().to_vec(),
                    started_on: announced_worker(task)
                        .or_else(|| start(index).map(|start| Arc::clone(&start.worker))),
                    begun_in: match task.crashes.announcement() {
                        Some(announced) => announced.begun_in,
                        None => start(index).and_then(|start| start.begun_in),
                    },
                }
            }));
        }
    }
    records.sort_by_key(|record| std::cmp::Reverse(record.crashes.len()));
    records.truncate(MAX_RECORDED_CRASHED_TASKS);
    records
}

/// Returns the worker on which a task's start is announced, if it is.
fn announced_worker(task: &TaskState) -> Option<Arc<str>> {
    let announcement = task.crashes.announcement()?;
    Some(Arc::clone(&announcement.worker))
}

/// Returns the record of a step, or `None` if nothing of it has ended.
fn step_record(occurrence: u32, number: u16, step: &StepState) -> Option<StepProgress> {
    let mut stored = StepProgress {
        occurrence,
        step: number,
        all_done: step.is_done(),
        ..StepProgress::default()
    };
    for (index, task) in step.tasks.iter().enumerate() {
        // CAST: A step has at most 20,000 tasks.
        let index = index as u32;
        if task.done {
            if !stored.all_done {
                stored.done.push(index);
            }
            continue;
        }
        let failures = task.failures.iter().map(|&run| (index, run));
        stored.failures.extend(failures);
        if let Some(checkpoint) = &task.checkpoint {
            stored.checkpoints.push((index, checkpoint.to_string()));
        }
    }
    let empty = !stored.all_done
        && stored.done.is_empty()
        && stored.failures.is_empty()
        && stored.checkpoints.is_empty();
    (!empty).then_some(stored)
}

fn restore_step(step: &mut StepState, stored: &StepProgress) {
    for (index, task) in step.tasks.iter_mut().enumerate() {
        // CAST: A step has at most 20,000 tasks.
        task.done = stored.all_done || stored.done.contains(&(index as u32));
    }
    for &(index, run) in &stored.failures {
        if let Some(task) = step.tasks.get_mut(index as usize) {
            task.failures.push(run);
        }
    }
    for (index, checkpoint) in &stored.checkpoints {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.checkpoint = Some(checkpoint.as_str().into());
        }
    }
    step.done_count = count(step.tasks.iter().filter(|task| task.done));
}
