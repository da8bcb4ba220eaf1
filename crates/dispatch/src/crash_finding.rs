//! Log entry for a worker's crash under a task.

use crate::{
    TaskKey,
    WorkerCrash, //
};

/// What the owner found out about a lost run whose worker had stopped answering.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The worker may have crashed while it executed the run; counts for isolation only.
    Suspected,
    /// The registry went on without the worker, or the worker has restarted.
    Confirmed,
    /// The same incarnation answered again, or the registry went on listing it: the worker was unreachable.
    Dismissed,
}

/// Log entry: a crash under a task was suspected, confirmed or dismissed.
#[derive(Clone, Debug, PartialEq)]
pub struct CrashFinding {
    /// The task whose run was lost.
    pub task: TaskKey,
    /// The crash.
    pub crash: WorkerCrash,
    /// The finding.
    pub verdict: CrashVerdict,
    /// The number of crashes that are on record for the task.
    pub recorded_crashes: usize,
    /// Whether the job is given up because of it.
    pub gives_up: bool,
}
