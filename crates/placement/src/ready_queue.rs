//! The jobs that have tasks to start.

use std::collections::BTreeSet;

use indexmap::IndexMap;

use crate::{
    JobId,
    LatestStart,
    TaskId, //
};

#[derive(Clone, Debug)]
struct ReadyJob {
    start: LatestStart,
    tasks: Vec<u32>,
}

/// The jobs that have tasks to start, the one with the least laxity first. It is ordered by jobs, of
/// which there are far fewer than tasks.
#[derive(Clone, Debug, Default)]
pub struct ReadyQueue {
    jobs: IndexMap<JobId, ReadyJob>,
    order: BTreeSet<(LatestStart, JobId)>,
    tasks: usize,
}

impl ReadyQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a task of a job; `start` replaces the job's latest start if it is earlier.
    pub fn push(&mut self, task: TaskId, start: LatestStart) {
        self.tasks += 1;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            let tasks = vec![task.index];
            self.jobs.insert(task.job, ReadyJob { start, tasks });
            self.order.insert((start, task.job));
            return;
        };
        job.tasks.push(task.index);
        if start < job.start {
            self.order.remove(&(job.start, task.job));
            job.start = start;
            self.order.insert((start, task.job));
        }
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.tasks
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.tasks == 0
    }

    /// Returns the job that follows `after` in the order of laxity.
    pub fn next_after(&self, after: Option<(LatestStart, JobId)>) -> Option<(LatestStart, JobId)> {
        let from = match after {
            Some(key) => std::ops::Bound::Excluded(key),
            None => std::ops::Bound::Unbounded,
        };
        self.order
            .range((from, std::ops::Bound::Unbounded))
            .next()
            .copied()
    }

    /// Returns the next task of a job.
    pub fn peek(&self, job: JobId) -> Option<TaskId> {
        let index = *self.jobs.get(&job)?.tasks.last()?;
        Some(TaskId { job, index })
    }

    /// Removes the next task of a job.
    pub fn pop(&mut self, job: JobId) {
        let Some(ready) = self.jobs.get_mut(&job) else {
            return;
        };
        if ready.tasks.pop().is_some() {
            self.tasks -= 1;
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
        self.tasks -= ready.tasks.len();
        self.order.remove(&(ready.start, job));
    }
}
