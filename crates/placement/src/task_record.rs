//! A task as the ledger keeps it.

use jasminebend_base::VmName;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CheckpointName,
    TaskEnd,
    TaskState, //
};

/// A task as the ledger keeps it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRecord {
    /// Where it stands.
    pub state: TaskState,
    /// The number of its last run; zero before the first.
    pub attempt: u32,
    /// Where its next run resumes from.
    pub checkpoint: Option<CheckpointName>,
    /// The workers on which it failed of itself, each once.
    pub failed_on: Vec<VmName>,
    /// The number of its evictions.
    pub evictions: u32,
    /// The time of its runs whose work was lost, in milliseconds.
    pub lost_ms: u64,
    /// The code of its last failure.
    pub last_code: i32,
}

impl TaskRecord {
    /// Ends the current run.
    pub(crate) fn end(&mut self, end: &TaskEnd, cancelled: bool, ran_ms: u64) {
        if end.loses_work() && !cancelled {
            self.lost_ms += ran_ms;
        }
        let worker = match std::mem::take(&mut self.state) {
            TaskState::Placed { worker, .. } => Some(worker),
            _ => None,
        };
        match end {
            TaskEnd::Finished { result } => {
                self.state = TaskState::Finished {
                    result: result.clone(),
                };
                return;
            }
            TaskEnd::Failed { code } => self.note_failure(worker, *code),
            TaskEnd::Checkpointed { checkpoint } => {
                self.checkpoint = Some(checkpoint.clone());
                self.evictions += u32::from(!cancelled);
            }
            TaskEnd::Stopped => self.evictions += u32::from(!cancelled),
            TaskEnd::Lost { checkpoint } => {
                if checkpoint.is_some() {
                    self.checkpoint.clone_from(checkpoint);
                }
            }
            TaskEnd::NotStarted => {}
        }
        if cancelled {
            self.state = TaskState::Cancelled;
        }
    }

    fn note_failure(&mut self, worker: Option<VmName>, code: i32) {
        self.last_code = code;
        let Some(worker) = worker else { return };
        if !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }
}
