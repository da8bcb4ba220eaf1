//! Stored record of a job's progress.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    JobOutcome,
    RunNumber, //
};

/// Stored record of a job's progress. A run's completion is acknowledged to its worker only after
/// the record that contains it is stored.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgressRecord {
    /// The job's outcome, if it has ended.
    pub outcome: Option<JobOutcome>,
    /// The steps that have progress to record; empty once the job has ended.
    pub steps: Vec<StepProgress>,
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
