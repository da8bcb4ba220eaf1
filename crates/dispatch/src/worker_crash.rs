//! Record of a worker's crash under a task.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::RunNumber;

/// Record of a worker's crash while it executed a run of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerCrash {
    /// The run that was lost.
    pub run: RunNumber,
    /// The worker's identity.
    pub worker: Arc<str>,
    /// When the owner lost contact with the worker, since 1970.
    pub at: Duration,
    /// Whether the run was lost before the worker had listed it for long enough to rule out that it
    /// crashes its worker when it starts.
    pub early: bool,
    /// Whether the run had certainly begun, and no other run on the worker at about the same time.
    pub alone: bool,
    /// Whether other workers were lost at the same time, without a task that explains it.
    pub widespread: bool,
}

/// What the owner found out about a lost run whose worker had stopped answering.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The registry dropped the worker, or the worker has restarted.
    Confirmed,
    /// The worker answered again as the same incarnation: it was unreachable.
    Dismissed,
}

/// Log entry: a crash under a task was confirmed or dismissed.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashFinding {
    /// The task whose run was lost.
    pub task: crate::TaskKey,
    /// The crash.
    pub crash: WorkerCrash,
    /// The finding.
    pub verdict: CrashVerdict,
    /// The number of crashes that are on record for the task.
    pub recorded_crashes: usize,
    /// Whether the job is given up because of it.
    pub gives_up: bool,
}
