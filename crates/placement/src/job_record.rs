//! A job as the ledger keeps it.

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

/// A job as the ledger keeps it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// As it was submitted.
    pub spec: JobSpec,
    /// The kind of its class when it was submitted.
    pub kind: ClassKind,
    /// When it was submitted, in milliseconds of the time of day since 1970.
    pub submitted_ms: u64,
    /// Whether it was given up.
    pub cancelled: bool,
    /// Why it is held, if it is.
    pub held: Option<HoldReason>,
    /// Its tasks, in their order.
    pub tasks: Vec<TaskRecord>,
    /// The number of its tasks that are neither finished nor given up.
    pub open: u32,
}

impl JobRecord {
    /// Creates a job none of whose tasks ran.
    pub fn new(spec: JobSpec, kind: ClassKind, submitted_ms: u64) -> Self {
        let tasks = vec![TaskRecord::default(); spec.tasks as usize];
        Self {
            open: spec.tasks,
            spec,
            kind,
            submitted_ms,
            cancelled: false,
            held: None,
            tasks,
        }
    }

    /// Tells whether none of its tasks will ever run again.
    pub fn ended(&self) -> bool {
        self.open == 0
    }

    /// Counts the tasks in a state.
    pub fn count<Test>(&self, test: Test) -> u32
    where
        Test: Fn(&TaskState) -> bool,
    {
        let count = self.tasks.iter().filter(|task| test(&task.state)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
