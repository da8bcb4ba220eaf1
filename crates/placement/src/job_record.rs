//! The record of a job in the ledger.

use jasminebend_base::ClassKind;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    HoldReason,
    JobSpec,
    TaskRecord,
    TaskState, //
};

/// The state of a job and its tasks in a [`crate::JobLedger`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// The kind that the job's class had when the job was submitted.
    pub kind: ClassKind,
    /// When the job was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Why the job is held; `None` if it is not.
    #[serde(rename = "held")]
    pub hold_reason: Option<HoldReason>,
    /// The job's tasks, in the order of their index.
    pub tasks: Vec<TaskRecord>,
    /// The number of tasks that are neither finished nor cancelled.
    #[serde(rename = "open")]
    pub open_tasks: u32,
}

impl JobRecord {
    /// Creates the record of a job whose tasks are all queued.
    pub fn new(spec: JobSpec, kind: ClassKind, submitted_ms: u64) -> Self {
        let tasks = vec![TaskRecord::default(); spec.tasks as usize];
        Self {
            open_tasks: spec.tasks,
            spec,
            kind,
            submitted_ms,
            cancelled: false,
            hold_reason: None,
            tasks,
        }
    }

    /// Returns whether every task is finished or cancelled, so that none will run again.
    pub fn is_complete(&self) -> bool {
        self.open_tasks == 0
    }

    /// Counts the tasks whose state passes a test.
    pub fn count_tasks<Test>(&self, test: Test) -> u32
    where
        Test: Fn(&TaskState) -> bool,
    {
        let count = self.tasks.iter().filter(|task| test(&task.state)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
