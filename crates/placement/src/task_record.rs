//! The record of a task in the ledger.

use jasminebend_base::VmName;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CheckpointName,
    RunOutcome,
    TaskState, //
};

/// The state and the history of a task in a [`crate::JobLedger`].
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The current state of the task.
    pub state: TaskState,
    /// The number of the last run; zero before the first.
    pub attempt: u32,
    /// The checkpoint from which the next run resumes; `None` starts from the beginning.
    pub checkpoint: Option<CheckpointName>,
    /// The workers on which the task itself failed, each listed once.
    pub failed_on: Vec<VmName>,
    /// How often the task was evicted, with or without a checkpoint.
    pub evictions: u32,
    /// The total duration of the runs whose work was lost, in milliseconds.
    #[serde(rename = "lost_ms")]
    pub lost_work_ms: u64,
    /// The code of the last failure; zero before the first.
    #[serde(rename = "last_code")]
    pub last_failure_code: i32,
}

impl TaskRecord {
    /// Ends the current run: the task finishes, is queued again, or is cancelled with its job.
    pub(crate) fn end_run(&mut self, end: &RunOutcome, cancelled: bool, ran_ms: u64) {
        if end.loses_work() && !cancelled {
            self.lost_work_ms += ran_ms;
        }
        let worker = match std::mem::take(&mut self.state) {
            TaskState::Placed { worker, .. } => Some(worker),
            _ => None,
        };
        match end {
            RunOutcome::Finished { result } => {
                self.state = TaskState::Finished {
                    result: result.clone(),
                };
                return;
            }
            RunOutcome::Failed { code } => self.record_failure(worker, *code),
            RunOutcome::Checkpointed { checkpoint } => {
                self.checkpoint = Some(checkpoint.clone());
                self.evictions += u32::from(!cancelled);
            }
            RunOutcome::Stopped => self.evictions += u32::from(!cancelled),
            RunOutcome::Lost { checkpoint } => {
                if checkpoint.is_some() {
                    self.checkpoint.clone_from(checkpoint);
                }
            }
            RunOutcome::NotStarted => {}
        }
        if cancelled {
            self.state = TaskState::Cancelled;
        }
    }

    fn record_failure(&mut self, worker: Option<VmName>, code: i32) {
        self.last_failure_code = code;
        let Some(worker) = worker else { return };
        if !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }
}
