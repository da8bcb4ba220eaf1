//! Stored record of a job's progress.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    JobFailure,
    JobKey,
    JobOutcome,
    RunNumber,
    StepKey,
    TaskKey,
    WorkerCrash, //
};

/// Stored record of a job's progress. A run's completion is acknowledged to its worker only after
/// the record that contains it is stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// The job's outcome, if it has ended.
    pub outcome: Option<JobOutcome>,
    /// The steps that have progress to record; empty once the job has ended.
    pub steps: Vec<StepProgress>,
    /// The crashes of workers under the job's unfinished tasks. The store's codec appends them to
    /// the record, which earlier versions read without them.
    #[serde(skip)]
    pub crashes: Vec<TaskCrashes>,
    /// Why the job has failed, if it has; appended in the same way.
    #[serde(skip)]
    pub failure: Option<JobFailure>,
}

/// The crashes of workers under one task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskCrashes {
    /// The occurrence's number, from 0.
    pub occurrence: u32,
    /// The step's number, from 0.
    pub step: u16,
    /// The task's number in its step, from 0.
    pub index: u32,
    /// The crashes, in their order.
    pub crashes: Vec<WorkerCrash>,
    /// The worker on which the task is about to start, or has started without an end on record; known
    /// only if a crash is feared.
    pub started_on: Option<Arc<str>>,
    /// The incarnation of that worker that has certainly begun to execute the run; appended in the
    /// same way as the evidence of the crashes.
    #[serde(skip)]
    pub begun_in: Option<Duration>,
}

impl TaskCrashes {
    /// Returns the key of the task in this job.
    pub(crate) fn task(&self, job: JobKey) -> TaskKey {
        let step = StepKey {
            job,
            occurrence: self.occurrence,
            step: self.step,
        };
        step.task(self.index)
    }
}

impl StepProgress {
    /// Returns the key of the step in this job.
    pub(crate) fn key(&self, job: JobKey) -> StepKey {
        StepKey {
            job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

/// Progress of one step of one occurrence.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepProgress {
    /// The occurrence's number, from 0.
    pub occurrence: u32,
    /// The step's number, from 0.
    pub step: u16,
    /// Whether all tasks of the step are done.
    #[serde(rename = "whole")]
    pub all_done: bool,
    /// The numbers of the done tasks; empty if all are done.
    pub done: Vec<u32>,
    /// The runs that failed, each with its task's number.
    pub failures: Vec<(u32, RunNumber)>,
    /// The last checkpoints of unfinished tasks, each with its task's number.
    pub checkpoints: Vec<(u32, String)>,
}
