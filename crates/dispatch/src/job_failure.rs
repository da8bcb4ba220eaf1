//! Reason for which a job has failed.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::WorkerCrash;

/// Reason for which a job has failed, as callers are told it.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum JobFailure {
    /// A task, or a gang, has used up its attempts.
    #[display("task {task} failed in {runs} runs, which is all that its queue allows")]
    Attempts {
        /// The task's key.
        task: String,
        /// The number of failed runs.
        runs: u32,
    },
    /// Workers crashed under a task.
    #[display("task {task} was given up: {}", describe_crashes(crashes))]
    Crashes {
        /// The task's key.
        task: String,
        /// The crashes, in their order.
        crashes: Vec<WorkerCrash>,
    },
}

/// Returns how many workers certainly crashed, and how many more may have.
fn describe_crashes(crashes: &[WorkerCrash]) -> String {
    let proven = crashes.iter().filter(|crash| crash.evidence.is_proof());
    let proven = proven.count();
    let certain = format!("{proven} workers crashed while they executed it");
    match crashes.len() - proven {
        0 => certain,
        suspected => format!("{certain}, {suspected} more may have"),
    }
}
