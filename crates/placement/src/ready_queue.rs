//! The queue of jobs with tasks to start.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::{
    JobId,
    LatestStart,
    TaskId, //
};

/// A job in the queue.
#[derive(Clone, Debug)]
struct ReadyJob {
    latest_start: LatestStart,
    /// The indices of the tasks to start.
    tasks: Vec<u32>,
}

/// The queue of jobs with tasks to start, ordered by laxity, the least first. It is ordered by job
/// and not by task because there are far fewer jobs than tasks.
#[derive(Clone, Debug, Default)]
pub struct ReadyQueue {
    jobs: IndexMap<JobId, ReadyJob>,
    jobs_by_latest_start: BTreeSet<(LatestStart, JobId)>,
    /// The number of queued tasks of all jobs.
    task_count: usize,
}

impl ReadyQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a task of a job; `latest_start` replaces that of the job if it is earlier.
    pub fn push(&mut self, task: TaskId, latest_start: LatestStart) {
        self.task_count += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            let tasks = vec![task.index];
            self.jobs.insert(
                task.job,
                ReadyJob {
                    latest_start,
                    tasks,
                },
            );
            self.jobs_by_latest_start.insert((latest_start, task.job));
            return;
        };
        job.tasks.push(task.index);
        if latest_start < job.latest_start {
            self.jobs_by_latest_start
                .remove(&(job.latest_start, task.job));
            job.latest_start = latest_start;
            self.jobs_by_latest_start.insert((latest_start, task.job));
        }
    }

    /// Returns the number of queued tasks.
    pub fn len(&self) -> usize {
        self.task_count
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.task_count == 0
    }

    /// Returns the job that follows `after` in the order of laxity, or the first job for `None`.
    pub fn next_after(&self, after: Option<(LatestStart, JobId)>) -> Option<(LatestStart, JobId)> {
        let lower_bound = match after {
            Some(key) => std::ops::Bound::Excluded(key),
            None => std::ops::Bound::Unbounded,
        };
        self.jobs_by_latest_start
            .range((lower_bound, std::ops::Bound::Unbounded))
            .next()
            .copied()
    }

    /// Returns the next task to start of a job: the one that was added last.
    pub fn peek(&self, job: JobId) -> Option<TaskId> {
        let index = *self.jobs.get(&job)?.tasks.last()?;
        Some(TaskId { job, index })
    }

    /// Removes the task of a job that [`Self::peek`] returns.
    pub fn pop(&mut self, job: JobId) {
        let Some(ready) = self.jobs.get_mut(&job) else {
            return;
        };
        if ready.tasks.pop().is_some() {
            self.task_count -= 1;
        }
        if ready.tasks.is_empty() {
            self.remove(job);
        }
    }

    /// Removes all tasks of a job.
    pub fn remove(&mut self, job: JobId) {
        let Some(ready) = self.jobs.swap_remove(&job) else {
            return;
        };
        self.task_count -= ready.tasks.len();
        self.jobs_by_latest_start.remove(&(ready.latest_start, job));
    }
}
