//! Handling of run completions.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    Dispatcher,
    EndedRun,
    JobFailure,
    JobKey,
    JobOutcome,
    RunNumber,
    RunResult,
    StepKey,
    TaskKey,
    WorkerKey,
    dispatcher::StepOrigin, //
};

impl Dispatcher {
    /// Applies the completion of a run to its task, step and job. Returns the number of the change
    /// that must be on record before the completion may be acknowledged, or `None` if it can't be recorded. `heard_alone` tells
    /// whether only this owner can have heard of the completion from this worker.
    pub(crate) fn apply_completion(
        &mut self,
        key: WorkerKey,
        ended: &EndedRun,
        heard_alone: bool,
        now: Duration,
    ) -> Option<u64> {
        let change = self.count_completion(key, ended, heard_alone, now);
        match self.is_unreadable(ended.task.job()) {
            true => self.record_end(ended),
            false => Some(change),
        }
    }

    fn count_completion(
        &mut self,
        key: WorkerKey,
        ended: &EndedRun,
        heard_alone: bool,
        now: Duration,
    ) -> u64 {
        let committed = self.commits.committed_through();
        let step = ended.task.step;
        let Some(job) = self.jobs.get(&step.job) else {
            return committed;
        };
        let Some(spec) = job.graph.steps.get(usize::from(step.step)).cloned() else {
            return committed;
        };
        self.open_occurrence(step.job, step.occurrence);
        self.inherited_starts.swap_remove(&ended.task);
        // A run that was stopped may not have begun.
        if ended.result != RunResult::Stopped
            && let Some(job) = self.jobs.get_mut(&step.job)
        {
            job.has_begun = true;
        }
        match ended.result {
            RunResult::Done => self.worker_mut(key).health.record_success(),
            RunResult::Failed => self.worker_mut(key).health.record_failure(ended.task, now),
            _ => {}
        }
        if spec.long_running {
            self.mark_unavailable(ended.task, now);
            return committed;
        }
        if let Some(checkpoint) = &ended.checkpoint {
            self.record_checkpoint(ended.task, Arc::clone(checkpoint));
        }
        match ended.result {
            RunResult::Done => {
                // For gangs and copies, another worker may have reported the same result to the
                // former owner.
                let heard_alone = heard_alone && !spec.gang && !spec.allows_copies;
                let origin = if heard_alone {
                    StepOrigin::ThisOwner
                } else {
                    StepOrigin::Unknown
                };
                self.mark_done(ended.task, spec.gang, origin)
            }
            RunResult::Failed => self.count_failure(ended.task, ended.run, Some(key), spec.gang),
            RunResult::Stopped | RunResult::Lapsed if ended.checkpoint.is_some() => {
                self.commits.record_change(step.job)
            }
            _ => committed,
        }
    }

    /// Records how long a task took, for a run that this owner placed at `placed`.
    pub(crate) fn record_run_time(&mut self, ended: &EndedRun, placed: Duration, now: Duration) {
        let step = ended.task.step;
        if ended.result != RunResult::Done || !ended.run.is_of_owner(self.fencing_token) {
            return;
        }
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        let (queue, graph) = (Arc::clone(&job.queue), Arc::clone(&job.graph));
        if let Some(spec) = graph.steps.get(usize::from(step.step))
            && let Some(demand) = self.demand_mut(&queue)
        {
            let took = now.saturating_sub(placed);
            demand.short.record_run_time(spec, took, now);
        }
    }

    /// Marks a task, or all tasks of a gang, as done and stops surplus copies. Returns the number
    /// of the change.
    pub(crate) fn mark_done(&mut self, task: TaskKey, gang: bool, origin: StepOrigin) -> u64 {
        let step = task.step;
        let mut surplus = Vec::new();
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return 0;
        };
        if job.is_over() {
            return self.commits.pending_change(step.job);
        }
        let Some(state) = job.step_mut(step.occurrence, step.step) else {
            return 0;
        };
        for (index, held) in state.tasks.iter_mut().enumerate() {
            // CAST: A step has at most 20,000 tasks.
            let index = index as u32;
            if held.done || (!gang && index != task.index) {
                continue;
            }
            held.done = true;
            held.checkpoint = None;
            state.done_count += 1;
            let key = step.task(index);
            surplus.extend(held.runs.iter().map(|&(worker, run)| (worker, key, run)));
        }
        let is_done = state.is_done();
        if !gang {
            for (worker, key, run) in surplus {
                self.stop_run(worker, key, run);
            }
        }
        let change = self.commits.record_change(step.job);
        if is_done {
            self.pending_steps.swap_remove(&step);
            self.open_steps(step.job, step.occurrence, origin);
            self.complete_job_if_done(task);
        }
        change
    }

    /// Completes the job if all its occurrences are done.
    fn complete_job_if_done(&mut self, task: TaskKey) {
        let step = task.step;
        let Some(job) = self.jobs.get(&step.job) else {
            return;
        };
        // Each member of a gang reports the same completion, and a successor receives it again; so
        // the finished occurrences are recounted instead of incrementing a counter.
        let done = job.occurrences.values().filter(|state| state.is_done());
        if done.count() >= job.graph.occurrences() as usize {
            self.finish_job(step.job, JobOutcome::Completed);
        }
    }

    /// Counts a failed run and fails the job if the task has used up its attempts. Returns the
    /// number of the change.
    pub(crate) fn count_failure(
        &mut self,
        task: TaskKey,
        run: RunNumber,
        worker: Option<WorkerKey>,
        gang: bool,
    ) -> u64 {
        let step = task.step;
        let Some(job) = self.jobs.get_mut(&step.job) else {
            return 0;
        };
        if job.is_over() {
            return self.commits.pending_change(step.job);
        }
        let queue = Arc::clone(&job.queue);
        let Some(state) = job.step_mut(step.occurrence, step.step) else {
            return 0;
        };
        // A gang fails as a whole: its failures are counted at its first task.
        let counted_index = if gang { 0 } else { task.index };
        let mut failures = 0;
        if let Some(task) = state.tasks.get_mut(counted_index as usize) {
            if !task.failures.contains(&run) {
                task.failures.push(run);
            }
            task.failed_on = worker.or(task.failed_on);
            failures = task.failures.len();
        }
        let change = self.commits.record_change(step.job);
        self.fail_if_exhausted(step.task(counted_index), failures, &queue);
        change
    }

    /// Fails a job if one of its tasks has used up its attempts. While the queue's rule is unknown, the number of attempts is
    /// too.
    fn fail_if_exhausted(&mut self, task: TaskKey, failures: usize, queue: &str) {
        let Some(rule) = self.queue_rules.get(queue) else {
            return;
        };
        if failures >= rule.max_attempts.max(1) as usize {
            let key = task.job();
            let task = task.to_string();
            // CAST: At most `max_attempts` runs.
            let runs = failures as u32;
            self.fail_job(key, JobFailure::Attempts { task, runs });
        }
    }

    /// Fails the jobs of a queue, whose rule has just become known, of which a task has used up its attempts.
    pub(crate) fn fail_exhausted_jobs(&mut self, queue: &str) {
        let jobs = self.jobs.iter();
        let of_queue = jobs.filter(|(_, state)| *state.queue == *queue);
        let keys: Vec<JobKey> = of_queue.map(|(&job, _)| job).collect();
        for key in keys {
            self.fail_if_any_exhausted(key);
        }
    }

    /// Fails a job of which a task has used up its attempts.
    pub(crate) fn fail_if_any_exhausted(&mut self, job: JobKey) {
        let Some(state) = self.jobs.get(&job).filter(|state| !state.is_over()) else {
            return;
        };
        let queue = Arc::clone(&state.queue);
        let mut failed = Vec::new();
        for (&occurrence, opened) in &state.occurrences {
            for (step, opened) in (0..).zip(&opened.steps) {
                let key = StepKey {
                    job,
                    occurrence,
                    step,
                };
                let tasks = (0..).zip(&opened.tasks);
                let tasks = tasks.filter(|(_, task)| !task.done && !task.failures.is_empty());
                failed.extend(tasks.map(|(index, task)| (key.task(index), task.failures.len())));
            }
        }
        for (task, failures) in failed {
            self.fail_if_exhausted(task, failures, &queue);
        }
    }
}
