//! Ends of runs of jobs that an owner can't read.

use crate::{
    Dispatcher,
    EndedRun,
    JobKey,
    ProgressRecord,
    RunResult,
    StepProgress,
    TaskKey,
    dispatcher::StepOrigin, //
};

/// The most bytes of the ends of one job, a row in the store, which accepts 64 KiB.
const MAX_ENDS_BYTES: usize = 60 << 10;
/// The most bytes that a done task, a failed run, and a step add to a record of ends.
const DONE_BYTES: usize = 5;
const FAILURE_BYTES: usize = 15;
const STEP_BYTES: usize = 24;

impl Dispatcher {
    /// Holds a job back whose record can't be read: none of its tasks starts, and its record stays as it is. Ends of its runs
    /// are recorded beside it.
    pub fn freeze_job(&mut self, key: JobKey) {
        self.commits.freeze(key);
    }

    /// Records ends of a job's runs that are not known, and can't be written for that reason: the job is held back, and further
    /// ends of its runs stay with their workers.
    pub fn close_ends(&mut self, key: JobKey) {
        self.freeze_job(key);
        self.closed_ends.insert(key);
    }

    /// Records that a job's row can't be read. Returns whether that was not known before, and the job neither.
    pub fn mark_unreadable(&mut self, key: JobKey) -> bool {
        if self.jobs.contains_key(&key) || !self.unreadable_jobs.insert(key) {
            return false;
        }
        self.record_held_ends(key);
        true
    }

    /// Returns whether a job's row or its record can't be read, so that ends of its runs are recorded beside its record.
    pub fn is_unreadable(&self, key: JobKey) -> bool {
        let is_unknown = !self.jobs.contains_key(&key);
        self.commits.is_frozen(key) || is_unknown && self.unreadable_jobs.contains(&key)
    }

    /// Restores the ends of a job's runs that an owner recorded which could not read the job. Must be called after the job's
    /// record was restored, or could not be.
    pub fn restore_ends(&mut self, key: JobKey, ends: ProgressRecord) {
        self.recorded_ends.insert(key, ends);
        self.apply_recorded_ends(key);
    }

    /// Applies the recorded ends of a job if it is known and its record could be read.
    pub(crate) fn apply_recorded_ends(&mut self, key: JobKey) {
        if !self.jobs.contains_key(&key) || self.is_unreadable(key) {
            return;
        }
        let ends = self.recorded_ends.swap_remove(&key);
        for ended in ends.map(|ends| ends.steps).unwrap_or_default() {
            self.apply_recorded_step(key, &ended);
        }
    }

    fn apply_recorded_step(&mut self, key: JobKey, ended: &StepProgress) {
        let step = ended.key(key);
        let Some(spec) = self.step_spec(step) else {
            return;
        };
        let (is_gang, is_long_running) = (spec.gang, spec.long_running);
        if is_long_running {
            return;
        }
        self.open_occurrence(key, ended.occurrence);
        for &index in &ended.done {
            if !self.is_task_done(step.task(index)) {
                self.mark_done(step.task(index), is_gang, StepOrigin::Unknown);
            }
        }
        for &(index, run) in &ended.failures {
            if !self.is_task_done(step.task(index)) {
                self.count_failure(step.task(index), run, None, is_gang);
            }
        }
    }

    fn is_task_done(&self, task: TaskKey) -> bool {
        let step = task.step;
        let job = self.jobs.get(&step.job);
        let state = job.and_then(|job| job.step(step.occurrence, step.step));
        state.is_some_and(|state| {
            let task = state.tasks.get(task.index as usize);
            task.is_some_and(|task| task.done)
        })
    }

    /// Records the end of a run of a job that can't be read. Returns the number of the change that must be on record before the
    /// end may be acknowledged, or `None` if it can't be recorded and stays with its worker.
    pub(crate) fn record_end(&mut self, ended: &EndedRun) -> Option<u64> {
        let key = ended.task.job();
        let is_long_running = self
            .step_spec(ended.task.step)
            .is_some_and(|spec| spec.long_running);
        let counts = matches!(ended.result, RunResult::Done | RunResult::Failed);
        if is_long_running || !counts {
            return Some(self.commits.committed_through());
        }
        if self.closed_ends.contains(&key) {
            return None;
        }
        let ends = self.recorded_ends.entry(key).or_default();
        let is_full = ends_bytes(ends) + STEP_BYTES + FAILURE_BYTES > MAX_ENDS_BYTES;
        match add_end(ends, ended, is_full) {
            EndAddition::Known => Some(self.commits.pending_change(key)),
            EndAddition::Full => None,
            EndAddition::Added => Some(self.commits.record_end(key)),
        }
    }
}

/// The outcome of adding an end to a record.
enum EndAddition {
    Added,
    /// The record has it.
    Known,
    /// The record has no room.
    Full,
}

fn add_end(ends: &mut ProgressRecord, ended: &EndedRun, is_full: bool) -> EndAddition {
    let key = ended.task.step;
    let index = ended.task.index;
    let failure = (index, ended.run);
    let is_done = ended.result == RunResult::Done;
    let known = ends
        .steps
        .iter_mut()
        .find(|step| (step.occurrence, step.step) == (key.occurrence, key.step));
    let is_known = known.as_ref().is_some_and(|step| {
        step.done.contains(&index) || !is_done && step.failures.contains(&failure)
    });
    if is_known {
        return EndAddition::Known;
    }
    if is_full {
        return EndAddition::Full;
    }
    let step = match known {
        Some(step) => step,
        None => {
            ends.steps.push(StepProgress {
                occurrence: key.occurrence,
                step: key.step,
                ..StepProgress::default()
            });
            let last = ends.steps.len() - 1;
            &mut ends.steps[last]
        }
    };
    match is_done {
        true => step.done.push(index),
        false => step.failures.push(failure),
    }
    EndAddition::Added
}

fn ends_bytes(ends: &ProgressRecord) -> usize {
    let sizes = ends.steps.iter().map(|step| {
        STEP_BYTES + DONE_BYTES * step.done.len() + FAILURE_BYTES * step.failures.len()
    });
    sizes.sum()
}
